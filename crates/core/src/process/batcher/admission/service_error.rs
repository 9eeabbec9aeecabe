use std::collections::BTreeMap;
use std::time::Duration;

use super::forecast_error::ForecastError;
use crate::process::Rank;

/// Largest number of ranks of a service; all others have the error of the service.
const MAX_RANKS: usize = 64;

/// Errors of the forecasts of one service: of all ranks together, and of each.
///
/// Guards against ranks that hide each other's errors: urgent jobs wait little and start often, so
/// their samples would outweigh those of the least urgent rank.
#[derive(Debug, Default)]
pub(super) struct ServiceError {
    all: ForecastError,
    ranks: BTreeMap<Rank, ForecastError>,
}

impl ServiceError {
    /// Error of a rank; that of the service for a rank without samples.
    pub(super) fn of(&self, rank: Rank) -> &ForecastError {
        self.ranks.get(&rank).unwrap_or(&self.all)
    }

    /// Error of all ranks together.
    pub(super) const fn all(&self) -> &ForecastError {
        &self.all
    }

    /// Ranks with samples.
    pub(super) fn ranks(&self) -> impl Iterator<Item = (Rank, &ForecastError)> {
        self.ranks.iter().map(|(rank, error)| (*rank, error))
    }

    /// Adds the wait of a stage that started.
    pub(super) fn record(&mut self, rank: Rank, actual_s: f64, forecast_s: f64, now: Duration) {
        self.all.record(actual_s, forecast_s, now);
        if let Some(error) = self.of_rank(rank) {
            error.record(actual_s, forecast_s, now);
        }
    }

    /// Adds a wait that lasts longer than some time.
    pub(super) fn record_at_least(
        &mut self,
        rank: Rank,
        actual_s: f64,
        forecast_s: f64,
        now: Duration,
    ) {
        self.all.record_at_least(actual_s, forecast_s, now);
        if let Some(error) = self.of_rank(rank) {
            error.record_at_least(actual_s, forecast_s, now);
        }
    }

    fn of_rank(&mut self, rank: Rank) -> Option<&mut ForecastError> {
        let has_place = self.ranks.len() < MAX_RANKS || self.ranks.contains_key(&rank);
        let first = self.all;
        has_place.then(|| self.ranks.entry(rank).or_insert(first))
    }
}
