//! Combines the samples of all gateways.

use std::time::Duration;

use super::collected_engines::CollectedEngines;
use super::{InvalidSamples, SPEED_FORMAT, SpeedReport, SpeedUpdate, SpeedVersion};
use crate::id::{InstanceId, ServerIncarnation, ServiceId};

/// Combines samples into estimates, which gateways get as changes since a version.
#[derive(Debug)]
pub struct SpeedCollector {
    instance: InstanceId,
    engines: CollectedEngines,
}

impl SpeedCollector {
    /// Creates a collector without samples in an incarnation of a gateway.
    #[must_use]
    pub fn new(instance: InstanceId) -> Self {
        Self {
            instance,
            engines: CollectedEngines::default(),
        }
    }

    /// Adds a report's samples of listed engines; returns the invalid ones, which are not used.
    pub fn record(
        &mut self,
        report: &SpeedReport,
        service_of: impl Fn(&ServerIncarnation) -> Option<ServiceId>,
        now: Duration,
    ) -> Vec<(ServerIncarnation, InvalidSamples)> {
        let samples = report.samples.iter();
        let invalid = samples.filter_map(|(engine, samples)| {
            let recorded = self
                .engines
                .record(engine, samples, || service_of(engine), now);
            recorded.err().map(|error| (engine.clone(), error))
        });
        invalid.collect()
    }

    /// The estimates that changed since a version; all of them if it is another collector's.
    pub fn update_since(&mut self, known: Option<&SpeedVersion>, now: Duration) -> SpeedUpdate {
        self.engines.refresh(now);
        let known = known.filter(|known| known.collector == self.instance);
        let changed = self
            .engines
            .changed_after(known.map_or(0, |known| known.number));
        SpeedUpdate {
            format: SPEED_FORMAT,
            version: SpeedVersion {
                collector: self.instance.clone(),
                number: self.engines.version(),
            },
            is_complete: known.is_none(),
            estimates: changed
                .map(|(engine, estimate)| (engine.clone(), estimate))
                .collect(),
        }
    }

    /// Removes engines that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(&ServerIncarnation) -> bool) {
        self.engines.retain(is_listed);
    }

    /// Number of engines with samples.
    #[must_use]
    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }
}
