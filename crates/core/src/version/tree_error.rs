//! Errors of invalid trees and edits.

use std::fmt;

use quick_error::quick_error;

use super::{MAX_DEPTH, MAX_STAGES, OverrideField};
use crate::id::{OrganisationId, PipelineId, ServiceId, StageName, TreeVersion, ZoneId};
use crate::result_code::ResultCode;

quick_error! {
    /// Error for an invalid tree or edit.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum TreeError {
        /// The text is not the JSON of a tree or an edit.
        Malformed(what: &'static str, cause: String) {
            display("the {what} cannot be read: {cause}")
        }
        /// The edit refers to an organisation that does not exist.
        NoSuchOrganisation(id: OrganisationId) {
            display("organisation {id} is not in the tree: create it, or check its name with tree show")
        }
        /// The edit refers to a pipeline that does not exist.
        NoSuchPipeline(id: PipelineId) {
            display("pipeline {id} is not in the tree: check its name with tree show")
        }
        /// The edit refers to a service that does not exist.
        NoSuchService(id: ServiceId) {
            display("service {id} is not in the tree: check its name with tree show")
        }
        /// An organisation with this name exists already.
        OrganisationExists(id: OrganisationId) {
            display("organisation {id} exists already: take another name, or set its fields")
        }
        /// The tree has no root.
        NoRoot {
            display("the tree has no organisation named root: add it, without a parent")
        }
        /// The root does not set a field that others inherit.
        RootFieldMissing(field: OverrideField) {
            display("the root has no {field}, which all organisations inherit: set it at the root")
        }
        /// The change is not allowed for the root.
        RootImmutable(change: &'static str) {
            display("the root cannot be {change}: do it to an organisation below it")
        }
        /// An organisation other than the root has no parent.
        NoParent(id: OrganisationId) {
            display("organisation {id} has no parent: only root has none, so give one")
        }
        /// The parent does not exist.
        UnknownParent(id: OrganisationId, parent: OrganisationId) {
            display("organisation {id} has the parent {parent}, which is not in the tree: create the parent first")
        }
        /// An organisation is its own ancestor.
        Cycle(id: OrganisationId, parent: OrganisationId) {
            display("organisation {id} under {parent} would be its own ancestor: choose a parent outside its descendants")
        }
        /// An organisation has too many ancestors.
        TooDeep(id: OrganisationId) {
            display("organisation {id} has more than {MAX_DEPTH} ancestors: move it closer to the root")
        }
        /// Two organisations have the same key.
        SharedKey(first: OrganisationId, second: OrganisationId) {
            display("organisations {first} and {second} have the same key: give each its own")
        }
        /// The service of a stage does not exist.
        StageWithoutService(pipeline: PipelineId, stage: StageName, service: ServiceId) {
            display("stage {stage} of pipeline {pipeline} uses the service {service}, which is not in the tree: put the service first")
        }
        /// An organisation lists a pipeline that does not exist.
        UnknownPipeline(id: OrganisationId, pipeline: PipelineId) {
            display("organisation {id} may use the pipeline {pipeline}, which is not in the tree: put the pipeline first, or leave it out")
        }
        /// A pipeline has no stages or too many.
        StageCount(pipeline: PipelineId, count: usize) {
            display("pipeline {pipeline} has {count} stages: give 1 to {MAX_STAGES}")
        }
        /// Two stages of a pipeline have the same name.
        DuplicateStage(pipeline: PipelineId, stage: StageName) {
            display("pipeline {pipeline} has two stages named {stage}: name each differently")
        }
        /// A stage other than the last one streams.
        StreamingNotLast(pipeline: PipelineId, stage: StageName) {
            display("stage {stage} of pipeline {pipeline} streams but is not the last: set is_streaming on the last stage only")
        }
        /// A stage is marked as repeatable, but its service does not allow its path to be repeated.
        RepeatableConflict(pipeline: PipelineId, stage: StageName, service: ServiceId, path: String) {
            display("stage {stage} of pipeline {pipeline} is repeatable, but service {service} says that {path:?} is not: set is_repeatable to false")
        }
        /// A path is invalid or has more than one interpretation.
        BadPath(owner: String, path: String) {
            display("{owner} has the path {path:?}: give one that starts with / and has no %, query, empty or dotted segments")
        }
        /// A service lists a path both as repeatable and as not repeatable.
        PathInBothLists(service: ServiceId, path: String) {
            display("service {service} lists {path:?} as repeatable and as not repeatable: keep one")
        }
        /// A value is out of range or cannot be parsed.
        BadValue(owner: String, field: String, value: String, accepted: String) {
            display("{owner}: {field} is {value:?}: give {accepted}")
        }
        /// A pipeline cannot be removed while an organisation lists it.
        PipelineInUse(pipeline: PipelineId, organisation: OrganisationId) {
            display("pipeline {pipeline} is named by organisation {organisation}: set that organisation's pipelines first")
        }
        /// A service cannot be removed while a pipeline uses it.
        ServiceInUse(service: ServiceId, pipeline: PipelineId) {
            display("service {service} is used by pipeline {pipeline}: change or remove that pipeline first")
        }
        /// The zone is already in the requested state.
        ZoneUnchanged(zone: ZoneId, state: &'static str) {
            display("availability zone {zone} is {state} already: tree show lists the evacuated ones")
        }
        /// The version number cannot be increased.
        NoNextVersion(version: TreeVersion) {
            display("no version follows {version}: import the tree into an empty table")
        }
    }
}

impl TreeError {
    /// The result code for the operator.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::NoSuchOrganisation(..) | Self::NoSuchPipeline(..) | Self::NoSuchService(..) => {
                ResultCode::NotFound
            }
            _ => ResultCode::EditInvalid,
        }
    }

    /// Creates an error for a value that is not accepted.
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
