//! A settings tree indexed for look-ups by requests.

use std::collections::BTreeMap;

use super::{EffectiveSettings, KeyHash, Pipeline, Service, SettingsTree, TreeError};
use crate::id::{OrganisationId, PipelineId, ServiceId, TreeVersion};

/// A validated tree with precomputed effective settings and an index of keys.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::version::{CompiledTree, KeyHash, SettingsTree, TreeEdit};
///
/// let tree = SettingsTree::empty().apply(&TreeEdit::CreateOrganisation {
///     id: "mill".parse()?,
///     parent: "root".parse()?,
///     class: None,
///     key_hash: Some(KeyHash::of("a bearer key")),
/// })?;
/// let compiled = CompiledTree::new(tree)?;
/// let (caller, _) = compiled.caller("a bearer key").ok_or("unknown key")?;
/// assert_eq!(caller.as_str(), "mill");
/// assert!(compiled.caller("another").is_none());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Clone)]
pub struct CompiledTree {
    tree: SettingsTree,
    effective: BTreeMap<OrganisationId, EffectiveSettings>,
    /// Organisations by the first bytes of their key's hash; a list, as prefixes may collide.
    by_key: BTreeMap<u64, Vec<(KeyHash, OrganisationId)>>,
}

impl CompiledTree {
    /// Validates a tree and computes the effective settings.
    pub fn new(tree: SettingsTree) -> Result<Self, TreeError> {
        tree.check()?;
        let effective = tree
            .organisations
            .keys()
            .filter_map(|id| Some((id.clone(), tree.effective(id)?)))
            .collect();
        let by_key = index_keys(&tree);
        Ok(Self {
            tree,
            effective,
            by_key,
        })
    }

    /// Returns the organisation of a bearer key and its effective settings.
    #[must_use]
    pub fn caller(&self, bearer: impl AsRef<str>) -> Option<(&OrganisationId, &EffectiveSettings)> {
        let key_hash = KeyHash::of(bearer);
        let candidates = self.by_key.get(&key_hash.prefix())?;
        let (_, id) = candidates
            .iter()
            .find(|(hash, _)| hash.matches(&key_hash))?;
        self.effective.get_key_value(id)
    }

    /// Effective settings of an organisation.
    #[must_use]
    pub fn organisation(&self, id: &OrganisationId) -> Option<&EffectiveSettings> {
        self.effective.get(id)
    }

    /// A pipeline by name.
    #[must_use]
    pub fn pipeline(&self, id: &PipelineId) -> Option<&Pipeline> {
        self.tree.pipelines.get(id)
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.tree.services.get(id)
    }

    /// Version of the tree.
    #[must_use]
    pub fn version(&self) -> TreeVersion {
        self.tree.version
    }

    /// The tree itself.
    #[must_use]
    pub fn tree(&self) -> &SettingsTree {
        &self.tree
    }
}

fn index_keys(tree: &SettingsTree) -> BTreeMap<u64, Vec<(KeyHash, OrganisationId)>> {
    let mut by_key: BTreeMap<u64, Vec<_>> = BTreeMap::new();
    for (id, organisation) in &tree.organisations {
        if let Some(key_hash) = organisation.key_hash {
            let same_prefix = by_key.entry(key_hash.prefix()).or_default();
            same_prefix.push((key_hash, id.clone()));
        }
    }
    by_key
}
