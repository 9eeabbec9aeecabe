//! Parts of the gateway that operators can switch off.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;

quick_error! {
    /// A name that is no feature.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UnknownFeature {
        /// No feature has the name.
        Name(name: String) {
            display("feature {name:?} is unknown: give one of {}", Feature::names())
        }
    }
}

/// A part of the gateway that can be disabled.
///
/// An enabled feature has an effect only where the configuration of the services calls for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Feature {
    /// Admits jobs by a forecast of their whole path.
    AdmissionForecast,
    /// Chooses engines by their measured speed.
    EngineSpeed,
    /// Replicates runs that may not be repeated to a second engine.
    RunBackup,
    /// Fetches shared parts of prompts from the engine that has read them.
    PromptFetch,
    /// Migrates runs between engines.
    RunMove,
    /// States the urgency of requests to engines.
    EngineUrgency,
}

impl Feature {
    /// All features.
    pub const ALL: [Self; 6] = [
        Self::AdmissionForecast,
        Self::EngineSpeed,
        Self::RunBackup,
        Self::PromptFetch,
        Self::RunMove,
        Self::EngineUrgency,
    ];

    /// Its name on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::AdmissionForecast => "admission-forecast",
            Self::EngineSpeed => "engine-speed",
            Self::RunBackup => "run-backup",
            Self::PromptFetch => "prompt-fetch",
            Self::RunMove => "run-move",
            Self::EngineUrgency => "engine-urgency",
        }
    }

    fn names() -> String {
        Self::ALL.map(Self::name).join(", ")
    }
}

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Feature {
    type Err = UnknownFeature;

    fn from_str(name: &str) -> Result<Self, UnknownFeature> {
        let feature = Self::ALL.into_iter().find(|feature| feature.name() == name);
        feature.ok_or_else(|| UnknownFeature::Name(name.to_owned()))
    }
}

/// The enabled features; all of them by default.
///
/// ```
/// use amaranthscale::gateway::{Feature, FeatureSet};
///
/// let features = FeatureSet::without([Feature::RunMove]);
/// assert!(features.is_enabled(Feature::RunBackup));
/// assert!(!features.is_enabled(Feature::RunMove));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FeatureSet {
    disabled: BTreeSet<Feature>,
}

impl FeatureSet {
    /// All features but some.
    pub fn without(disabled: impl IntoIterator<Item = Feature>) -> Self {
        Self {
            disabled: disabled.into_iter().collect(),
        }
    }

    /// Whether a feature is enabled.
    #[must_use]
    pub fn is_enabled(&self, feature: Feature) -> bool {
        !self.disabled.contains(&feature)
    }
}
