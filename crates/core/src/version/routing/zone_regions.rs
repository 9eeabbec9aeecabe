//! The regions of availability zones.

use std::collections::BTreeMap;

use super::AllowedRegions;
use crate::id::{RegionId, ZoneId};
use crate::process::AllowedZones;

/// The region of each availability zone, as far as the deployment states it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ZoneRegions(BTreeMap<ZoneId, RegionId>);

impl FromIterator<(ZoneId, RegionId)> for ZoneRegions {
    fn from_iter<T: IntoIterator<Item = (ZoneId, RegionId)>>(regions: T) -> Self {
        Self(regions.into_iter().collect())
    }
}

impl ZoneRegions {
    /// The zones in allowed regions; the error says why the regions cannot be used.
    ///
    /// A zone whose region is not known is in none of them.
    pub fn allowed_zones(&self, regions: &AllowedRegions) -> Result<AllowedZones, String> {
        let regions = match regions {
            AllowedRegions::All => return Ok(AllowedZones::default()),
            AllowedRegions::Invalid(reason) => return Err(reason.clone()),
            AllowedRegions::Only(regions) => regions,
        };
        if regions.is_empty() {
            return Err("no region is allowed: name at least one".to_owned());
        }
        let is_mapped = |region: &&RegionId| self.0.values().any(|mapped| mapped == *region);
        if let Some(unmapped) = regions.iter().find(|region| !is_mapped(region)) {
            return Err(format!(
                "region {:?} is allowed, but the settings map no zone to it",
                unmapped.as_str()
            ));
        }
        let zones = self.0.iter();
        let allowed = zones.filter(|(_, region)| regions.contains(*region));
        Ok(AllowedZones::only(allowed.map(|(zone, _)| zone.clone())))
    }
}
