//! Parts of the gateway that operators can switch on and off.

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

/// A part of the gateway that can be enabled and disabled.
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
    /// Closes some new connections of callers unread while the event loop is behind.
    CallerIntake,
}

impl Feature {
    /// All features.
    pub const ALL: [Self; 7] = [
        Self::AdmissionForecast,
        Self::EngineSpeed,
        Self::RunBackup,
        Self::PromptFetch,
        Self::RunMove,
        Self::EngineUrgency,
        Self::CallerIntake,
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
            Self::CallerIntake => "caller-intake",
        }
    }

    /// Whether it is enabled unless operators disable it.
    ///
    /// Admission by forecast refuses more of the least urgent requests than those that can be served
    /// late have to be refused, so operators choose it where callers prefer an early refusal.
    /// Urgency classes let engines preempt requests that they have begun.
    #[must_use]
    pub const fn is_enabled_by_default(self) -> bool {
        !matches!(self, Self::AdmissionForecast | Self::EngineUrgency)
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

/// The enabled features.
///
/// ```
/// use amaranthscale::gateway::{Feature, FeatureSet};
///
/// let features = FeatureSet::default()
///     .with([Feature::AdmissionForecast])
///     .without([Feature::RunMove]);
/// assert!(features.is_enabled(Feature::AdmissionForecast));
/// assert!(features.is_enabled(Feature::RunBackup));
/// assert!(!features.is_enabled(Feature::RunMove));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeatureSet {
    enabled: BTreeSet<Feature>,
}

impl Default for FeatureSet {
    /// The features that are enabled by default.
    fn default() -> Self {
        let features = Feature::ALL.into_iter();
        Self {
            enabled: features
                .filter(|feature| feature.is_enabled_by_default())
                .collect(),
        }
    }
}

impl FeatureSet {
    /// Adds features.
    #[must_use]
    pub fn with(mut self, enabled: impl IntoIterator<Item = Feature>) -> Self {
        self.enabled.extend(enabled);
        self
    }

    /// Removes features.
    #[must_use]
    pub fn without(mut self, disabled: impl IntoIterator<Item = Feature>) -> Self {
        for feature in disabled {
            self.enabled.remove(&feature);
        }
        self
    }

    /// Whether a feature is enabled.
    #[must_use]
    pub fn is_enabled(&self, feature: Feature) -> bool {
        self.enabled.contains(&feature)
    }
}
