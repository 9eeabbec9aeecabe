//! Probes of one service: measures when it would have started the stages of refused jobs.

use std::time::Duration;

use super::probe::Probe;
use super::started_places::StartedPlaces;

/// Largest number of probes; while there are as many, refused jobs leave none.
const MAX_PROBES: usize = 64;

/// Probes that have not ended, in the order in which their stages would be sent.
#[derive(Debug, Default)]
pub(super) struct Probes {
    in_order: Vec<Probe>,
}

impl Probes {
    pub(super) const fn is_empty(&self) -> bool {
        self.in_order.is_empty()
    }

    pub(super) fn add(&mut self, probe: Probe) {
        if self.in_order.len() < MAX_PROBES {
            let is_before = |other: &Probe| other.scheduled_start <= probe.scheduled_start;
            let position = self.in_order.partition_point(is_before);
            self.in_order.insert(position, probe);
        }
    }

    /// Removes and returns the probes whose stages would start now.
    ///
    /// The stages of several refused jobs cannot all start in one place, so each takes its own.
    pub(super) fn end(&mut self, places: &StartedPlaces, now: Duration) -> Vec<Probe> {
        let mut taken = 0;
        let (ended, left) = std::mem::take(&mut self.in_order)
            .into_iter()
            .partition(|probe| {
                let left = places.left_for(probe.scheduled_start).saturating_sub(taken);
                let starts =
                    probe.inputs_at <= now && left > 0 && probe.result_bytes <= places.free_bytes;
                if starts {
                    taken += probe.pieces.min(left);
                }
                starts
            });
        self.in_order = left;
        ended
    }

    /// Removes and returns the probes that have reached the limit of their job.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<Probe> {
        let (expired, left) = std::mem::take(&mut self.in_order)
            .into_iter()
            .partition(|probe| probe.limit_at <= now);
        self.in_order = left;
        expired
    }
}
