//! Rates at which admitted work arrives at a service, by its position in the order.

use std::collections::BTreeMap;
use std::time::Duration;

use super::decaying_rate::DecayingRate;
use super::fluid_wait::ArrivingWork;
use crate::process::Rank;
use crate::process::count::as_f64;

/// Width of an order class.
const CLASS_WIDTH: Duration = Duration::from_millis(500);
/// Rate below which a class is dropped, in fractions of one server.
const MIN_RATE: f64 = 1e-4;
/// Largest number of order classes; delays by rank, value and share are below four minutes.
const MAX_CLASSES: usize = 512;

/// Weight of one job in the average lag of its class.
const LAG_WEIGHT: f64 = 0.1;

/// Time without arrivals after which the averages start again.
const PAUSE: Duration = Duration::from_secs(4);

/// An admitted stage.
#[derive(Debug, Clone, Copy)]
pub(super) struct AdmittedStage {
    /// Time from its job's arrival to its scheduled start.
    pub(super) offset: Duration,
    pub(super) rank: Rank,
    /// Seconds of server time.
    pub(super) work_s: f64,
    /// Bytes of its results.
    pub(super) bytes: f64,
    /// Seconds until its inputs are complete.
    pub(super) lag_s: f64,
}

/// Work that arrives at one service.
#[derive(Debug, Default)]
pub(super) struct Arriving {
    /// By the time from a job's arrival to the scheduled start of its stage.
    classes: BTreeMap<u128, ClassRate>,
    ranks: BTreeMap<Rank, DecayingRate>,
    /// First and last arrival without a long pause.
    arrivals: Option<(Duration, Duration)>,
}

/// Work of one order class.
#[derive(Debug, Clone, Copy, Default)]
struct ClassRate {
    /// Seconds of server time.
    work: DecayingRate,
    /// Bytes of results.
    stored: DecayingRate,
    /// Average time from a job's arrival until its inputs are complete.
    lag_s: f64,
}

/// What a unit of work takes of a service's capacity.
#[derive(Debug, Clone, Copy)]
pub(super) struct Cost {
    /// Seconds per second of server time.
    pub(super) per_work_s: f64,
    /// Seconds per byte of results.
    pub(super) per_byte: f64,
}

impl Arriving {
    /// Adds the work of an admitted stage.
    pub(super) fn add(&mut self, stage: AdmittedStage, now: Duration) {
        let AdmittedStage {
            offset,
            rank,
            work_s,
            bytes,
            lag_s,
        } = stage;
        let since = self.arrivals.filter(|(_, last)| *last + PAUSE > now);
        self.arrivals = Some((since.map_or(now, |(first, _)| first), now));
        let class = offset.as_millis() / CLASS_WIDTH.as_millis();
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&class) {
            self.classes
                .retain(|_, class| class.work.per_s(now) >= MIN_RATE);
        }
        let first = ClassRate {
            lag_s,
            ..ClassRate::default()
        };
        let class = self.classes.entry(class).or_insert(first);
        class.work.add(work_s, now);
        class.stored.add(bytes, now);
        class.lag_s += LAG_WEIGHT * (lag_s - class.lag_s);
        self.ranks.entry(rank).or_default().add(work_s, now);
    }

    /// Factor by which the averages are too low since arrivals began.
    ///
    /// Guards against a load that begins at once: in its first seconds, the least urgent jobs would
    /// be admitted and begun, and never completed.
    fn start_factor(&self, now: Duration) -> f64 {
        self.arrivals.map_or(1.0, |(first, _)| {
            DecayingRate::start_factor(now.saturating_sub(first))
        })
    }

    /// Number of order classes.
    pub(super) fn len(&self) -> usize {
        self.classes.len()
    }

    /// Work that would be ordered before a stage that is scheduled `offset` from now, by time and by
    /// storage. Nothing that reaches the service before `free_s` goes ahead of what waits there.
    pub(super) fn before(
        &self,
        offset: Duration,
        free_s: f64,
        cost: Cost,
        now: Duration,
    ) -> (Vec<ArrivingWork>, Vec<ArrivingWork>) {
        let factor = self.start_factor(now);
        let classes = self.classes.iter();
        let earlier = classes.filter_map(|(class, rates)| {
            let start_s = (as_f64(*class) + 0.5) * CLASS_WIDTH.as_secs_f64();
            let window_s = offset.as_secs_f64() - start_s;
            (window_s > 0.0).then_some((window_s, rates))
        });
        earlier
            .map(|(window_s, class)| {
                let of = |rate: f64, lag_s: f64| ArrivingWork {
                    rate: rate * factor,
                    lag_s,
                    window_s,
                };
                (
                    of(
                        class.work.per_s(now) * cost.per_work_s,
                        class.lag_s.max(free_s),
                    ),
                    of(class.stored.per_s(now) * cost.per_byte, class.lag_s),
                )
            })
            .unzip()
    }

    /// Fraction of the service's capacity that admitted work takes.
    pub(super) fn utilisation(&self, cost: Cost, now: Duration) -> f64 {
        let classes = self.classes.values();
        let (work, bytes) = classes.fold((0.0, 0.0), |(work, bytes), rates| {
            (
                work + rates.work.per_s(now),
                bytes + rates.stored.per_s(now),
            )
        });
        (work * cost.per_work_s).max(bytes * cost.per_byte) * self.start_factor(now)
    }

    /// Server time per second of the ranks other than one.
    pub(super) fn other_ranks(&self, rank: Rank, now: Duration) -> f64 {
        let others = self.ranks.iter().filter(|(other, _)| **other != rank);
        let work: f64 = others.map(|(_, rate)| rate.per_s(now)).sum();
        work * self.start_factor(now)
    }
}
