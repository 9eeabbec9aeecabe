//! The settings tree.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{
    EffectiveSettings, KeyHash, MAX_DEPTH, Organisation, Overrides, Pipeline, Service, Sourced,
    TreeEdit, TreeError,
};
use crate::id::{OrganisationId, PipelineId, ServiceId, TreeVersion, ZoneId};
use crate::unit::{Class, RatePerSecond, Weight};

/// Name of the organisation from which all others inherit.
pub const ROOT_NAME: &str = "root";

/// Request rate limit in a new tree.
const INITIAL_LIMIT_PER_SECOND: f64 = 10.0;
/// Limit on requests in flight in a new tree.
const INITIAL_MAX_IN_FLIGHT: u32 = 64;
/// Default deadline in a new tree.
const INITIAL_DEADLINE_MS: u64 = 10_000;

/// Organisations, pipelines and services at one version.
///
/// An organisation's own value replaces its parent's, whether higher or lower: a parent's limit is
/// a default for its descendants and not a limit on their sum, so that one paying organisation can
/// have more than the rest without raising the limit of all.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::version::{SettingsTree, TreeEdit};
///
/// let tree = SettingsTree::empty();
/// let edit = r#"{"kind":"create_organisation","id":"mill","parent":"root","class":"paid"}"#;
/// let tree = tree.apply(&TreeEdit::from_json(edit)?)?;
/// let mill = tree.effective(&"mill".parse()?).ok_or("not in the tree")?;
/// assert_eq!(mill.class.from.as_str(), "mill");
/// assert_eq!(mill.weight.from.as_str(), "root");
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsTree {
    /// Grows by one with every edit.
    #[serde(default)]
    pub version: TreeVersion,
    /// Organisations by name, the root among them.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    /// Pipelines by name.
    #[serde(default)]
    pub pipelines: BTreeMap<PipelineId, Pipeline>,
    /// Services by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, Service>,
    /// Evacuated availability zones: their backend servers get no requests until the zones are
    /// taken back.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub evacuated_zones: BTreeSet<ZoneId>,
}

impl SettingsTree {
    /// Creates a tree at version 0 with only the root.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            version: TreeVersion::default(),
            organisations: BTreeMap::from([(root_id(), initial_root())]),
            pipelines: BTreeMap::new(),
            services: BTreeMap::new(),
            evacuated_zones: BTreeSet::new(),
        }
    }

    /// Reads a tree from JSON and validates it.
    pub fn from_json(text: impl AsRef<str>) -> Result<Self, TreeError> {
        let tree: Self = serde_json::from_str(text.as_ref())
            .map_err(|e| TreeError::Malformed("tree", e.to_string()))?;
        tree.check()?;
        Ok(tree)
    }

    /// Writes the tree as JSON.
    ///
    /// # Panics
    ///
    /// Never: all types of a tree can be written as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a tree can be written as JSON")
    }

    /// Applies an edit and validates the next version as a whole.
    pub fn apply(&self, edit: &TreeEdit) -> Result<Self, TreeError> {
        let mut next = self.clone();
        next.apply_unchecked(edit)?;
        next.check()?;
        Ok(next)
    }

    /// Effective settings of an organisation; `None` if it is not in the tree.
    #[must_use]
    pub fn effective(&self, id: &OrganisationId) -> Option<EffectiveSettings> {
        let ancestry = self.ancestry(id)?;
        Some(EffectiveSettings {
            class: nearest(&ancestry, |o| o.class)?,
            is_suspended: suspension(&ancestry)?,
            limit_per_second: nearest(&ancestry, |o| o.overrides.limit_per_second)?,
            weight: nearest(&ancestry, |o| o.overrides.weight)?,
            max_in_flight: nearest(&ancestry, |o| o.overrides.max_in_flight)?,
            pipelines: nearest(&ancestry, |o| o.overrides.pipelines.clone())?,
            deadline_ms: nearest(&ancestry, |o| o.overrides.deadline_ms)?,
        })
    }

    /// Finds the organisation of a bearer key by comparing all keys.
    ///
    /// [`CompiledTree::caller`](super::CompiledTree::caller) does the same with an index.
    #[must_use]
    pub fn organisation_by_key(&self, bearer: impl AsRef<str>) -> Option<OrganisationId> {
        let presented_hash = KeyHash::of(bearer);
        let has_key = |organisation: &Organisation| {
            let key_hash = organisation.key_hash.as_ref();
            key_hash.is_some_and(|key_hash| key_hash.matches(&presented_hash))
        };
        let mut found = self.organisations.iter().filter(|(_, o)| has_key(o));
        found.next().map(|(id, _)| id.clone())
    }

    /// Applies an edit in place, without validating the next version as a whole.
    pub(super) fn apply_unchecked(&mut self, edit: &TreeEdit) -> Result<(), TreeError> {
        let next = self.version.next();
        if next == self.version {
            return Err(TreeError::NoNextVersion(next));
        }
        edit.apply_to(self)?;
        self.version = next;
        Ok(())
    }

    /// An organisation and its ancestors, nearest first; `None` if there is a cycle or a missing
    /// parent.
    pub(super) fn ancestry<'a>(
        &'a self,
        id: &'a OrganisationId,
    ) -> Option<Vec<(&'a OrganisationId, &'a Organisation)>> {
        let mut ancestry = Vec::new();
        let mut next = Some(id);
        while let Some(id) = next {
            let (id, organisation) = self.organisations.get_key_value(id)?;
            if ancestry.len() > MAX_DEPTH {
                return None;
            }
            ancestry.push((id, organisation));
            next = organisation.parent.as_ref();
        }
        Some(ancestry)
    }

    pub(super) fn organisation_mut(
        &mut self,
        id: &OrganisationId,
    ) -> Result<&mut Organisation, TreeError> {
        let found = self.organisations.get_mut(id);
        found.ok_or_else(|| TreeError::NoSuchOrganisation(id.clone()))
    }

    pub(super) fn create_organisation(
        &mut self,
        id: &OrganisationId,
        parent: &OrganisationId,
        class: Option<Class>,
        key_hash: Option<KeyHash>,
    ) -> Result<(), TreeError> {
        if self.organisations.contains_key(id) {
            return Err(TreeError::OrganisationExists(id.clone()));
        }
        let organisation = Organisation {
            class,
            key_hash,
            ..Organisation::under(parent.clone())
        };
        self.organisations.insert(id.clone(), organisation);
        Ok(())
    }

    pub(super) fn move_organisation(
        &mut self,
        id: &OrganisationId,
        parent: &OrganisationId,
    ) -> Result<(), TreeError> {
        if id.as_str() == ROOT_NAME {
            return Err(TreeError::RootImmutable("moved"));
        }
        self.organisation_mut(id)?.parent = Some(parent.clone());
        Ok(())
    }

    pub(super) fn suspend(
        &mut self,
        id: &OrganisationId,
        is_suspended: bool,
    ) -> Result<(), TreeError> {
        self.organisation_mut(id)?.is_suspended = is_suspended;
        Ok(())
    }

    pub(super) fn evacuate(&mut self, zone: &ZoneId) -> Result<(), TreeError> {
        if self.evacuated_zones.insert(zone.clone()) {
            return Ok(());
        }
        Err(TreeError::ZoneUnchanged(zone.clone(), "evacuated"))
    }

    pub(super) fn take_back(&mut self, zone: &ZoneId) -> Result<(), TreeError> {
        if self.evacuated_zones.remove(zone) {
            return Ok(());
        }
        Err(TreeError::ZoneUnchanged(zone.clone(), "in use"))
    }

    pub(super) fn remove_pipeline(&mut self, id: &PipelineId) -> Result<(), TreeError> {
        let allows_it = |organisation: &Organisation| {
            let pipelines = organisation.overrides.pipelines.as_ref();
            pipelines.is_some_and(|pipelines| pipelines.contains(id))
        };
        let mut users = self.organisations.iter().filter(|(_, o)| allows_it(o));
        if let Some((user, _)) = users.next() {
            return Err(TreeError::PipelineInUse(id.clone(), user.clone()));
        }
        let removed = self.pipelines.remove(id);
        removed.ok_or_else(|| TreeError::NoSuchPipeline(id.clone()))?;
        Ok(())
    }

    pub(super) fn remove_service(&mut self, id: &ServiceId) -> Result<(), TreeError> {
        let uses_it = |pipeline: &Pipeline| pipeline.stages.iter().any(|s| s.service == *id);
        let mut users = self.pipelines.iter().filter(|(_, p)| uses_it(p));
        if let Some((user, _)) = users.next() {
            return Err(TreeError::ServiceInUse(id.clone(), user.clone()));
        }
        let removed = self.services.remove(id);
        removed.ok_or_else(|| TreeError::NoSuchService(id.clone()))?;
        Ok(())
    }
}

/// The value of the nearest organisation that sets it.
fn nearest<T>(
    ancestry: &[(&OrganisationId, &Organisation)],
    field: impl Fn(&Organisation) -> Option<T>,
) -> Option<Sourced<T>> {
    ancestry.iter().find_map(|(id, organisation)| {
        let value = field(organisation)?;
        let from = (*id).clone();
        Some(Sourced { value, from })
    })
}

/// The suspension of the nearest suspended organisation, or that there is none.
fn suspension(ancestry: &[(&OrganisationId, &Organisation)]) -> Option<Sourced<bool>> {
    let (own_id, _) = ancestry.first()?;
    let suspended = nearest(ancestry, |o| o.is_suspended.then_some(true));
    let not_suspended = || Sourced {
        value: false,
        from: (*own_id).clone(),
    };
    Some(suspended.unwrap_or_else(not_suspended))
}

pub(super) fn root_id() -> OrganisationId {
    OrganisationId::new(ROOT_NAME).expect("the root's name is a valid name")
}

fn initial_root() -> Organisation {
    Organisation {
        parent: None,
        class: Some(Class::Trial),
        is_suspended: false,
        key_hash: None,
        overrides: Overrides {
            limit_per_second: Some(RatePerSecond::new(INITIAL_LIMIT_PER_SECOND)),
            weight: Some(Weight::DEFAULT),
            max_in_flight: Some(INITIAL_MAX_IN_FLIGHT),
            pipelines: Some(Vec::new()),
            deadline_ms: Some(INITIAL_DEADLINE_MS),
        },
    }
}
