//! Splits prompts of a busy home engine with the next engine by hash.
//!
//! Addresses a shared part that so many prompts have at once that its home is short of slots: they
//! would go to whichever engines have free ones, each of which prefills the part again. The split
//! begins before that, so that only one more engine fetches the part.

use std::collections::BTreeSet;

use crate::id::ServerIncarnation;

/// Fraction of the home's slots in use above which a split begins.
const MIN_HOME_FULLNESS: f64 = 0.6;
/// Fraction of slots in use below which the second engine may be used and the home needs no split.
const MAX_FREE_FULLNESS: f64 = 0.4;

/// Pairs of a home engine and the second one by hash between which prompts are split.
#[derive(Debug, Clone, Default)]
pub(super) struct HomeSplits {
    pairs: BTreeSet<(ServerIncarnation, ServerIncarnation)>,
}

impl HomeSplits {
    /// Begins or ends the split of a pair by the load that the home has reported, none if that is too
    /// old, and the second engine's; returns whether the pair is split.
    pub(super) fn update(
        &mut self,
        home: &ServerIncarnation,
        second: &ServerIncarnation,
        home_fullness: Option<f64>,
        second_fullness: f64,
    ) -> bool {
        let pair = (home.clone(), second.clone());
        let was_split = self.pairs.contains(&pair);
        // The second engine's load rises by the split, so it counts only at the start.
        let is_split = home_fullness.is_some_and(|fullness| {
            if was_split {
                fullness >= MAX_FREE_FULLNESS
            } else {
                fullness > MIN_HOME_FULLNESS && second_fullness < MAX_FREE_FULLNESS
            }
        });
        if is_split && !was_split {
            self.pairs.insert(pair);
        } else if was_split && !is_split {
            self.pairs.remove(&pair);
        }
        is_split
    }

    /// Forgets engines that are gone.
    pub(super) fn retain(&mut self, is_known: impl Fn(&ServerIncarnation) -> bool) {
        self.pairs
            .retain(|(home, second)| is_known(home) && is_known(second));
    }
}
