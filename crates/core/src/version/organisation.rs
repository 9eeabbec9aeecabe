//! One organisation of the settings tree.

use serde::{Deserialize, Serialize};

use super::{KeyHash, OverrideField, Overrides, TreeError};
use crate::id::OrganisationId;
use crate::unit::{Class, RatePerSecond};

/// One organisation; what it does not set it inherits from its parent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Organisation to inherit from; none at the root.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<OrganisationId>,
    /// Whether its work is paid or trial.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<Class>,
    /// Whether it is suspended, and its descendants with it.
    #[serde(default)]
    pub is_suspended: bool,
    /// Hash of its bearer key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_hash: Option<KeyHash>,
    /// Settings that it sets itself.
    #[serde(default)]
    pub overrides: Overrides,
}

impl Organisation {
    /// Creates an organisation that inherits everything from a parent.
    #[must_use]
    pub fn under(parent: OrganisationId) -> Self {
        Self {
            parent: Some(parent),
            ..Self::default()
        }
    }

    /// Sets the class.
    #[must_use]
    pub fn of_class(mut self, class: Class) -> Self {
        self.class = Some(class);
        self
    }

    /// Sets the hash of the bearer key.
    #[must_use]
    pub fn with_key_hash(mut self, key_hash: KeyHash) -> Self {
        self.key_hash = Some(key_hash);
        self
    }

    /// Sets one field from an operator's text.
    pub(super) fn set(
        &mut self,
        id: &OrganisationId,
        field: OverrideField,
        text: &str,
    ) -> Result<(), TreeError> {
        let text = text.trim();
        let bad = |accepted| TreeError::bad_value(id, field, text, accepted);
        let overrides = &mut self.overrides;
        match field {
            OverrideField::Class => self.class = Some(read(text, || bad("paid or trial"))?),
            OverrideField::LimitPerSecond => {
                let number = text.strip_suffix("/s").unwrap_or(text).trim();
                let limit = read(number, || bad("a number above 0"))?;
                check_rate(limit, || bad("a number above 0"))?;
                overrides.limit_per_second = Some(RatePerSecond::new(limit));
            }
            OverrideField::Weight => {
                overrides.weight = Some(read(text, || bad("a whole number of 1 or more"))?);
            }
            OverrideField::MaxInFlight => {
                overrides.max_in_flight = Some(read(text, || bad("a whole number of 1 or more"))?);
            }
            OverrideField::Pipelines => {
                let accepted = "pipeline names separated by commas, or none";
                let pipelines = Overrides::pipelines_from(text);
                overrides.pipelines = Some(pipelines.ok_or_else(|| bad(accepted))?);
            }
            OverrideField::DeadlineMs => {
                overrides.deadline_ms = Some(read(text, || bad("a whole number of milliseconds"))?);
            }
        }
        Ok(())
    }

    /// Clears one field, so that it is inherited.
    pub(super) fn unset(&mut self, field: OverrideField) {
        let overrides = &mut self.overrides;
        match field {
            OverrideField::Class => self.class = None,
            OverrideField::LimitPerSecond => overrides.limit_per_second = None,
            OverrideField::Weight => overrides.weight = None,
            OverrideField::MaxInFlight => overrides.max_in_flight = None,
            OverrideField::Pipelines => overrides.pipelines = None,
            OverrideField::DeadlineMs => overrides.deadline_ms = None,
        }
    }

    /// Whether the organisation sets a field itself.
    #[must_use]
    pub fn sets(&self, field: OverrideField) -> bool {
        let overrides = &self.overrides;
        match field {
            OverrideField::Class => self.class.is_some(),
            OverrideField::LimitPerSecond => overrides.limit_per_second.is_some(),
            OverrideField::Weight => overrides.weight.is_some(),
            OverrideField::MaxInFlight => overrides.max_in_flight.is_some(),
            OverrideField::Pipelines => overrides.pipelines.is_some(),
            OverrideField::DeadlineMs => overrides.deadline_ms.is_some(),
        }
    }
}

fn read<T: std::str::FromStr>(
    text: &str,
    error: impl FnOnce() -> TreeError,
) -> Result<T, TreeError> {
    text.parse().ok().ok_or_else(error)
}

fn check_rate(rate: f64, error: impl FnOnce() -> TreeError) -> Result<(), TreeError> {
    if rate.is_finite() && rate > 0.0 {
        Ok(())
    } else {
        Err(error())
    }
}
