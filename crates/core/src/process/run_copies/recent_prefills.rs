//! Engines that have recently prefilled shared prompt parts, by this entry's own sends.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::id::ServerIncarnation;

/// Time for which an engine is assumed to cache a part after it prefilled a prompt with it.
const LIFETIME: Duration = Duration::from_secs(8);
/// Maximum number of parts; the one that was used the longest ago is dropped for a new one.
const MAX_PARTS: usize = 4_096;
/// Maximum number of engines of one part.
const MAX_ENGINES: usize = 4;

#[derive(Debug, Clone)]
struct Prefill {
    engine: ServerIncarnation,
    at: Duration,
}

#[derive(Debug, Clone, Default)]
struct PartPrefills {
    /// Number of the latest record; the key in `by_use`.
    last_use: u64,
    /// Oldest first.
    prefills: VecDeque<Prefill>,
}

/// Recent prefills by the id of the part.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::RecentPrefills;
///
/// let mut prefills = RecentPrefills::default();
/// prefills.record("91bd3f06", &"p1".parse()?, Duration::from_secs(1));
/// let engines: Vec<_> = prefills.engines("91bd3f06", Duration::from_secs(2)).collect();
/// assert_eq!(engines, [&"p1".parse()?]);
/// assert_eq!(prefills.engines("91bd3f06", Duration::from_secs(10)).count(), 0);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct RecentPrefills {
    parts: BTreeMap<String, PartPrefills>,
    /// Parts by the number of their latest record, the oldest first.
    by_use: BTreeMap<u64, String>,
    records: u64,
}

impl RecentPrefills {
    /// Records that an engine has prefilled a part or had it cached.
    pub fn record(&mut self, part: &str, engine: &ServerIncarnation, now: Duration) {
        self.records += 1;
        let known = self.parts.entry(part.to_owned()).or_default();
        self.by_use.remove(&known.last_use);
        known.last_use = self.records;
        self.by_use.insert(self.records, part.to_owned());
        known.prefills.retain(|prefill| prefill.engine != *engine);
        if known.prefills.len() >= MAX_ENGINES {
            known.prefills.pop_front();
        }
        known.prefills.push_back(Prefill {
            engine: engine.clone(),
            at: now,
        });
        self.prune(now);
    }

    /// Engines that prefilled a part within the lifetime, the latest first.
    pub fn engines(
        &self,
        part: &str,
        now: Duration,
    ) -> impl Iterator<Item = &ServerIncarnation> + use<'_> {
        let prefills = self.parts.get(part).into_iter();
        prefills
            .flat_map(|known| known.prefills.iter().rev())
            .filter(move |prefill| now.saturating_sub(prefill.at) < LIFETIME)
            .map(|prefill| &prefill.engine)
    }

    /// Number of parts that are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether no part is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Drops expired parts, and the oldest ones beyond the maximum.
    fn prune(&mut self, now: Duration) {
        while let Some((use_number, part)) = self.by_use.first_key_value() {
            let latest = self
                .parts
                .get(part)
                .and_then(|known| known.prefills.back())
                .map_or(Duration::ZERO, |prefill| prefill.at);
            if self.parts.len() <= MAX_PARTS && now.saturating_sub(latest) < LIFETIME {
                return;
            }
            let use_number = *use_number;
            if let Some(part) = self.by_use.remove(&use_number) {
                self.parts.remove(&part);
            }
        }
    }
}
