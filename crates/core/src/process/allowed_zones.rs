//! The availability zones whose servers a request may use.

use std::collections::BTreeSet;

use crate::id::ZoneId;

/// The availability zones whose servers a request may use; by default all.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::process::AllowedZones;
///
/// let zone = "north-yard".parse().unwrap();
/// assert!(AllowedZones::default().contains(&zone));
/// assert!(!AllowedZones::only([]).contains(&zone));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AllowedZones(Option<BTreeSet<ZoneId>>);

impl AllowedZones {
    /// Only some zones; with none, no server may be used.
    #[must_use]
    pub fn only(zones: impl IntoIterator<Item = ZoneId>) -> Self {
        Self(Some(zones.into_iter().collect()))
    }

    /// Whether servers of all zones may be used.
    #[must_use]
    pub const fn is_all(&self) -> bool {
        self.0.is_none()
    }

    /// Whether servers of a zone may be used.
    #[must_use]
    pub fn contains(&self, zone: &ZoneId) -> bool {
        self.0.as_ref().is_none_or(|zones| zones.contains(zone))
    }
}
