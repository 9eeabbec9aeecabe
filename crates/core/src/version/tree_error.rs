//! Why an edit does not hold.

use std::fmt;

use quick_error::quick_error;

use super::{MAX_DEPTH, MAX_STAGES, OverrideField};
use crate::id::{OrganisationId, PipelineId, ServiceId, StageName, TreeVersion, ZoneId};
use crate::result_code::ResultCode;

quick_error! {
    /// A tree or an edit that cannot hold.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum TreeError {
        /// Not the JSON of a tree or an edit.
        Malformed(what: &'static str, cause: String) {
            display("the {what} cannot be read: {cause}")
        }
        /// The edit names an organisation that is not there.
        NoSuchOrganisation(id: OrganisationId) {
            display("organisation {id} is not in the tree: create it, or check its name with tree show")
        }
        /// The edit names a pipeline that is not there.
        NoSuchPipeline(id: PipelineId) {
            display("pipeline {id} is not in the tree: check its name with tree show")
        }
        /// The edit names a service that is not there.
        NoSuchService(id: ServiceId) {
            display("service {id} is not in the tree: check its name with tree show")
        }
        /// The name is taken.
        OrganisationExists(id: OrganisationId) {
            display("organisation {id} exists already: take another name, or set its fields")
        }
        /// The tree has no root.
        NoRoot {
            display("the tree has no organisation named root: add it, without a parent")
        }
        /// The root lacks a value that others inherit.
        RootLacks(field: OverrideField) {
            display("the root has no {field}, which all organisations inherit: set it at the root")
        }
        /// The root cannot do this.
        RootIsFixed(change: &'static str) {
            display("the root cannot be {change}: do it to an organisation below it")
        }
        /// An organisation other than the root has no parent.
        NoParent(id: OrganisationId) {
            display("organisation {id} has no parent: only root has none, so give one")
        }
        /// The parent is not there.
        UnknownParent(id: OrganisationId, parent: OrganisationId) {
            display("organisation {id} has the parent {parent}, which is not in the tree: create the parent first")
        }
        /// An organisation is its own ancestor.
        Cycle(id: OrganisationId, parent: OrganisationId) {
            display("organisation {id} under {parent} would be its own ancestor: choose a parent outside its descendants")
        }
        /// Too many ancestors.
        TooDeep(id: OrganisationId) {
            display("organisation {id} has more than {MAX_DEPTH} ancestors: move it closer to the root")
        }
        /// Two organisations have one key.
        SharedKey(first: OrganisationId, second: OrganisationId) {
            display("organisations {first} and {second} have the same key: give each its own")
        }
        /// A pipeline's service is not there.
        StageWithoutService(pipeline: PipelineId, stage: StageName, service: ServiceId) {
            display("stage {stage} of pipeline {pipeline} uses the service {service}, which is not in the tree: put the service first")
        }
        /// An organisation's pipeline is not there.
        UnknownPipeline(id: OrganisationId, pipeline: PipelineId) {
            display("organisation {id} may use the pipeline {pipeline}, which is not in the tree: put the pipeline first, or leave it out")
        }
        /// No stages, or too many.
        StageCount(pipeline: PipelineId, count: usize) {
            display("pipeline {pipeline} has {count} stages: give 1 to {MAX_STAGES}")
        }
        /// Two stages have one name.
        DuplicateStage(pipeline: PipelineId, stage: StageName) {
            display("pipeline {pipeline} has two stages named {stage}: name each differently")
        }
        /// A stage that is not the last one streams.
        StreamsTooEarly(pipeline: PipelineId, stage: StageName) {
            display("stage {stage} of pipeline {pipeline} streams but is not the last: set is_streaming on the last stage only")
        }
        /// A stage claims to be repeatable where its service says it is not.
        RepeatsAgainstService(pipeline: PipelineId, stage: StageName, service: ServiceId, path: String) {
            display("stage {stage} of pipeline {pipeline} is repeatable, but service {service} says that {path:?} is not: set is_repeatable to false")
        }
        /// A path that can be read in more than one way, or none.
        BadPath(owner: String, path: String) {
            display("{owner} has the path {path:?}: give one that starts with / and has no %, query, empty or dotted segments")
        }
        /// A service lists a path as repeatable and as not repeatable.
        PathInBothLists(service: ServiceId, path: String) {
            display("service {service} lists {path:?} as repeatable and as not repeatable: keep one")
        }
        /// A value out of range or unreadable.
        BadValue(owner: String, field: String, value: String, accepted: String) {
            display("{owner}: {field} is {value:?}: give {accepted}")
        }
        /// A pipeline that an organisation names cannot go.
        PipelineInUse(pipeline: PipelineId, organisation: OrganisationId) {
            display("pipeline {pipeline} is named by organisation {organisation}: set that organisation's pipelines first")
        }
        /// A service that a pipeline uses cannot go.
        ServiceInUse(service: ServiceId, pipeline: PipelineId) {
            display("service {service} is used by pipeline {pipeline}: change or remove that pipeline first")
        }
        /// A zone is in the wanted state already.
        ZoneUnchanged(zone: ZoneId, state: &'static str) {
            display("availability zone {zone} is {state} already: tree show lists the evacuated ones")
        }
        /// No version follows the present one.
        NoNextVersion(version: TreeVersion) {
            display("no version follows {version}: import the tree into an empty table")
        }
    }
}

impl TreeError {
    /// The numbered code for the operator.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::NoSuchOrganisation(..) | Self::NoSuchPipeline(..) | Self::NoSuchService(..) => {
                ResultCode::NotFound
            }
            _ => ResultCode::EditInvalid,
        }
    }

    /// A value that cannot be taken, and what can.
    pub(super) fn bad_value(
        owner: impl fmt::Display,
        field: impl fmt::Display,
        value: impl fmt::Display,
        accepted: impl Into<String>,
    ) -> Self {
        let [owner, field, value] = [owner.to_string(), field.to_string(), value.to_string()];
        Self::BadValue(owner, field, value, accepted.into())
    }
}
