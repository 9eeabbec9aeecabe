//! Identifiers that are numbers.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Error for text that is not a number of the expected kind.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidNumber {
        /// The text is not a whole number in range.
        NotANumber(kind: &'static str, text: String) {
            display("{kind} {text:?} is not a whole number in range")
        }
    }
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $repr:ty, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($repr);

        impl $name {
            /// Wraps a number.
            #[must_use]
            pub const fn new(number: $repr) -> Self {
                Self(number)
            }

            /// The plain number.
            #[must_use]
            pub const fn get(self) -> $repr {
                self.0
            }

            /// The number after this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = InvalidNumber;

            fn from_str(text: &str) -> Result<Self, InvalidNumber> {
                let parsed = text.parse().ok();
                parsed.map(Self).ok_or_else(|| InvalidNumber::NotANumber($kind, text.to_owned()))
            }
        }
    };
}

number_id!(
    /// One run of a process from start to end; a random number drawn at the start.
    Incarnation, u64, "incarnation");
number_id!(
    /// Start time of a backend server, in milliseconds of Unix time by the server's clock.
    StartMs, u64, "start");
number_id!(
    /// Number of an attempt at one stage of one request, from 0.
    AttemptNumber, u32, "attempt number");
number_id!(
    /// Position of a stage within its pipeline, from 0.
    StageIndex, u8, "stage index");
number_id!(
    /// Version of a row of the platform's table; 0 means absent.
    ///
    /// A store that is restored from a copy gives out its numbers again, in a new era. Versions are
    /// ordered by their eras first, so those of two eras are never taken for each other.
    RowVersion, u64, "row version");
number_id!(
    /// Number of times that a store was restored from a copy.
    StoreEra, u16, "store era");
number_id!(
    /// Version of the settings tree; 0 means none yet.
    TreeVersion, u64, "tree version");
number_id!(
    /// Version of the wanted placement; 0 means none yet.
    PlacementVersion, u64, "placement version");
number_id!(
    /// Fencing number of a lease's holder; higher for each new holder.
    FencingNumber, u64, "fencing number");
number_id!(
    /// Version of the routing in force; 0 means none yet.
    RoutingVersion, u64, "routing version");

/// Bits of a row version below its era.
const NUMBER_BITS: u32 = 48;
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

impl RowVersion {
    /// The version with a number that a store gave out in an era.
    #[must_use]
    pub fn in_era(era: StoreEra, number: u64) -> Self {
        Self(u64::from(era.0) << NUMBER_BITS | number.min(MAX_NUMBER))
    }

    /// The era in which it was given out.
    #[must_use]
    pub const fn era(self) -> StoreEra {
        StoreEra((self.0 >> NUMBER_BITS) as u16)
    }

    /// The store's own number within the era.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0 & MAX_NUMBER
    }
}
