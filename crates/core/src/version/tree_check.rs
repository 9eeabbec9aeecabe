//! Validation of a whole tree.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::RangeInclusive;

use super::service::is_unambiguous;
use super::settings_tree::root_id;
use super::{
    MAX_STAGES, Organisation, OverrideField, Pipeline, ROOT_NAME, Service, SettingsTree, Stage,
    TreeError,
};
use crate::id::{OrganisationId, PipelineId, ServiceId};

/// Maximum ancestors of an organisation; deeper trees are mistakes, and each level costs a look-up.
pub const MAX_DEPTH: usize = 32;
/// Maximum deadline; answers are retained for one day, so a longer one could outlast its answer.
pub const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;
/// Maximum rate limit; above it the entries' counters would lose their meaning.
pub const MAX_LIMIT_PER_SECOND: f64 = 1_000_000.0;
/// Maximum limit on requests in flight of one organisation; an entry holds fewer in total.
pub const MAX_IN_FLIGHT: u32 = 1_000_000;
/// Maximum weight; above it the fair queue's shares round to zero.
pub const MAX_WEIGHT: u32 = 10_000;
/// Maximum replicas of a model; no service has as many engines, so a larger number is a mistake.
pub const MAX_REPLICAS: u32 = 1_000;

impl SettingsTree {
    /// Validates the tree as a whole.
    ///
    /// It is valid if the root has every setting and is not suspended, every organisation reaches
    /// the root within [`MAX_DEPTH`] steps, no key is shared, all numbers are in range, and every
    /// pipeline and service that is referred to exists.
    pub fn check(&self) -> Result<(), TreeError> {
        self.check_root()?;
        self.check_organisations()?;
        self.check_keys()?;
        self.services
            .iter()
            .try_for_each(|(id, service)| check_service(id, service))?;
        self.pipelines
            .iter()
            .try_for_each(|(id, pipeline)| self.check_pipeline(id, pipeline))
    }

    fn check_root(&self) -> Result<(), TreeError> {
        let root = self.organisations.get(&root_id());
        let root = root.ok_or(TreeError::NoRoot)?;
        if root.parent.is_some() {
            return Err(TreeError::RootImmutable("put under a parent"));
        }
        // Suspending the root would refuse every caller of the cooperative with one edit, so
        // organisations can only be suspended below the root.
        if root.is_suspended {
            return Err(TreeError::RootImmutable("suspended"));
        }
        let missing = OverrideField::ALL.iter().find(|field| !root.sets(**field));
        match missing {
            Some(field) => Err(TreeError::RootFieldMissing(*field)),
            None => Ok(()),
        }
    }

    fn check_organisations(&self) -> Result<(), TreeError> {
        for (id, organisation) in &self.organisations {
            self.check_parent(id, organisation)?;
            check_numbers(id, organisation)?;
            self.check_pipelines_exist(id, organisation)?;
        }
        Ok(())
    }

    fn check_parent(&self, id: &OrganisationId, own: &Organisation) -> Result<(), TreeError> {
        if id.as_str() == ROOT_NAME {
            return Ok(());
        }
        let parent = own.parent.as_ref();
        let parent = parent.ok_or_else(|| TreeError::NoParent(id.clone()))?;
        if !self.organisations.contains_key(parent) {
            return Err(TreeError::UnknownParent(id.clone(), parent.clone()));
        }
        self.check_ancestors(id, parent)
    }

    /// Follows the ancestors of an organisation up to the root, a cycle or the maximum depth.
    fn check_ancestors(
        &self,
        id: &OrganisationId,
        parent: &OrganisationId,
    ) -> Result<(), TreeError> {
        let mut seen = BTreeSet::from([id]);
        let mut next = Some(parent);
        while let Some(ancestor) = next {
            if !seen.insert(ancestor) {
                return Err(TreeError::Cycle(id.clone(), parent.clone()));
            }
            if seen.len() > MAX_DEPTH + 1 {
                return Err(TreeError::TooDeep(id.clone()));
            }
            let organisation = self.organisations.get(ancestor);
            next = organisation.and_then(|organisation| organisation.parent.as_ref());
        }
        Ok(())
    }

    fn check_pipelines_exist(
        &self,
        id: &OrganisationId,
        own: &Organisation,
    ) -> Result<(), TreeError> {
        let allowed = own.overrides.pipelines.iter().flatten();
        let mut unknown = allowed.filter(|pipeline| !self.pipelines.contains_key(*pipeline));
        match unknown.next() {
            Some(pipeline) => Err(TreeError::UnknownPipeline(id.clone(), pipeline.clone())),
            None => Ok(()),
        }
    }

    fn check_keys(&self) -> Result<(), TreeError> {
        let mut owners = BTreeMap::new();
        for (id, organisation) in &self.organisations {
            let Some(key_hash) = organisation.key_hash else {
                continue;
            };
            if let Some(first) = owners.insert(key_hash.to_string(), id) {
                return Err(TreeError::SharedKey(first.clone(), id.clone()));
            }
        }
        Ok(())
    }

    fn check_pipeline(&self, id: &PipelineId, pipeline: &Pipeline) -> Result<(), TreeError> {
        let count = pipeline.stages.len();
        if !(1..=MAX_STAGES).contains(&count) {
            return Err(TreeError::StageCount(id.clone(), count));
        }
        let mut names = BTreeSet::new();
        for (index, stage) in pipeline.stages.iter().enumerate() {
            if !names.insert(&stage.name) {
                return Err(TreeError::DuplicateStage(id.clone(), stage.name.clone()));
            }
            if stage.is_streaming && index + 1 < count {
                return Err(TreeError::StreamingNotLast(id.clone(), stage.name.clone()));
            }
            self.check_stage(id, stage)?;
        }
        Ok(())
    }

    fn check_stage(&self, pipeline: &PipelineId, stage: &Stage) -> Result<(), TreeError> {
        let owner = format_args!("stage {} of pipeline {pipeline}", stage.name);
        check_path(owner, &stage.path)?;
        let name = stage.name.clone();
        let service_id = stage.service.clone();
        let Some(service) = self.services.get(&stage.service) else {
            let pipeline = pipeline.clone();
            return Err(TreeError::StageWithoutService(pipeline, name, service_id));
        };
        // A stage marked as repeatable by mistake could post settlements, and a retry would pay
        // twice. So what the service specifies for its paths overrides the stage.
        if stage.is_repeatable && !service.allows_repeat(&stage.path) {
            let (pipeline, path) = (pipeline.clone(), stage.path.clone());
            return Err(TreeError::RepeatableConflict(
                pipeline, name, service_id, path,
            ));
        }
        Ok(())
    }
}

fn check_numbers(id: &OrganisationId, organisation: &Organisation) -> Result<(), TreeError> {
    let overrides = &organisation.overrides;
    if let Some(limit) = overrides.limit_per_second {
        let is_in_range = limit.get() > 0.0 && limit.get() <= MAX_LIMIT_PER_SECOND;
        let accepted = format!("a number above 0 and at most {MAX_LIMIT_PER_SECOND}");
        let bad = || TreeError::bad_value(id, "limit_per_second", limit.get(), accepted);
        is_in_range.then_some(()).ok_or_else(bad)?;
    }
    if let Some(weight) = overrides.weight {
        check_range(id, "weight", weight.get().into(), 1..=MAX_WEIGHT.into())?;
    }
    if let Some(in_flight) = overrides.max_in_flight {
        check_range(
            id,
            "max_in_flight",
            in_flight.into(),
            1..=MAX_IN_FLIGHT.into(),
        )?;
    }
    if let Some(deadline_ms) = overrides.deadline_ms {
        check_range(id, "deadline_ms", deadline_ms, 1..=MAX_DEADLINE_MS)?;
    }
    Ok(())
}

fn check_service(id: &ServiceId, service: &Service) -> Result<(), TreeError> {
    let deadline_ms = service.default_deadline_ms;
    check_range(id, "default_deadline_ms", deadline_ms, 1..=MAX_DEADLINE_MS)?;
    let owner = format_args!("service {id}");
    for (model, replicas) in &service.models {
        let field = format!("replicas of model {model}");
        check_range(owner, &field, (*replicas).into(), 1..=MAX_REPLICAS.into())?;
    }
    let mut listed = service
        .repeatable_paths
        .iter()
        .chain(&service.not_repeatable_paths);
    listed.try_for_each(|path| check_path(owner, path))?;
    let mut repeatable = service.repeatable_paths.iter();
    let in_both = repeatable.find(|path| service.not_repeatable_paths.contains(path));
    match in_both {
        Some(path) => Err(TreeError::PathInBothLists(id.clone(), path.clone())),
        None => Ok(()),
    }
}

fn check_path(owner: impl fmt::Display, path: &str) -> Result<(), TreeError> {
    if is_unambiguous(path) {
        Ok(())
    } else {
        Err(TreeError::BadPath(owner.to_string(), path.to_owned()))
    }
}

fn check_range(
    owner: impl fmt::Display,
    field: &str,
    value: u64,
    accepted: RangeInclusive<u64>,
) -> Result<(), TreeError> {
    if accepted.contains(&value) {
        return Ok(());
    }
    let accepted = format!(
        "a whole number from {} to {}",
        accepted.start(),
        accepted.end()
    );
    Err(TreeError::bad_value(owner, field, value, accepted))
}
