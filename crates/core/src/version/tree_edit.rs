//! One edit of the settings tree.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{KeyHash, OverrideField, Pipeline, Service, SettingsTree, TreeError};
use crate::id::{OrganisationId, PipelineId, ServiceId, ZoneId};
use crate::unit::Class;

/// One change to the tree, as operators send it and the table stores it.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::version::TreeEdit;
///
/// let text = r#"{"kind":"set","id":"root","field":"weight","value":"4"}"#;
/// let edit = TreeEdit::from_json(text)?;
/// assert_eq!(edit.to_json(), text);
/// # Ok::<(), amaranthscale_core::version::TreeError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum TreeEdit {
    /// Adds an organisation.
    CreateOrganisation {
        /// Name that no organisation has.
        id: OrganisationId,
        /// Organisation to inherit from.
        parent: OrganisationId,
        /// Paid or trial; inherited if absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        class: Option<Class>,
        /// Hash of its bearer key.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        key_hash: Option<KeyHash>,
    },
    /// Gives an organisation another parent.
    MoveOrganisation {
        /// Organisation to move.
        id: OrganisationId,
        /// New parent.
        parent: OrganisationId,
    },
    /// Refuses all requests of an organisation and its descendants.
    Suspend {
        /// Organisation to suspend.
        id: OrganisationId,
    },
    /// Ends the suspension of an organisation.
    Resume {
        /// Organisation to resume.
        id: OrganisationId,
    },
    /// Sets a field of an organisation.
    Set {
        /// Organisation to change.
        id: OrganisationId,
        /// Field to set.
        field: OverrideField,
        /// Value as text.
        value: String,
    },
    /// Clears a field of an organisation, so that it is inherited.
    Unset {
        /// Organisation to change.
        id: OrganisationId,
        /// Field to clear.
        field: OverrideField,
    },
    /// Replaces the bearer key of an organisation.
    SetKey {
        /// Organisation to change.
        id: OrganisationId,
        /// Hash of the new key.
        key_hash: KeyHash,
    },
    /// Adds or replaces a pipeline.
    PutPipeline {
        /// Name of the pipeline.
        id: PipelineId,
        /// Its stages.
        pipeline: Pipeline,
    },
    /// Removes a pipeline that no organisation lists.
    RemovePipeline {
        /// Name of the pipeline.
        id: PipelineId,
    },
    /// Adds or replaces a service.
    PutService {
        /// Name of the service.
        id: ServiceId,
        /// Its settings.
        service: Service,
    },
    /// Removes a service that no pipeline uses.
    RemoveService {
        /// Name of the service.
        id: ServiceId,
    },
    /// Stops sending requests to the backend servers of an availability zone.
    EvacuateZone {
        /// The zone.
        zone: ZoneId,
    },
    /// Puts an evacuated availability zone back into use.
    TakeBackZone {
        /// The zone.
        zone: ZoneId,
    },
    /// Replaces the whole tree; the version continues from the current one.
    Import {
        /// New organisations, pipelines and services.
        tree: Box<SettingsTree>,
    },
}

impl TreeEdit {
    /// Reads an edit from JSON.
    pub fn from_json(text: impl AsRef<str>) -> Result<Self, TreeError> {
        serde_json::from_str(text.as_ref()).map_err(|e| TreeError::Malformed("edit", e.to_string()))
    }

    /// Writes the edit as JSON.
    ///
    /// # Panics
    ///
    /// Never: all types of an edit can be written as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("an edit can be written as JSON")
    }

    /// Applies the edit to a tree without validating the result as a whole.
    pub(super) fn apply_to(&self, tree: &mut SettingsTree) -> Result<(), TreeError> {
        match self {
            Self::CreateOrganisation {
                id,
                parent,
                class,
                key_hash,
            } => tree.create_organisation(id, parent, *class, *key_hash),
            Self::MoveOrganisation { id, parent } => tree.move_organisation(id, parent),
            Self::Suspend { id } => tree.suspend(id, true),
            Self::Resume { id } => tree.suspend(id, false),
            Self::Set { id, field, value } => tree.organisation_mut(id)?.set(id, *field, value),
            Self::Unset { id, field } => {
                tree.organisation_mut(id)?.unset(*field);
                Ok(())
            }
            Self::SetKey { id, key_hash } => {
                tree.organisation_mut(id)?.key_hash = Some(*key_hash);
                Ok(())
            }
            Self::PutPipeline { id, pipeline } => {
                tree.pipelines.insert(id.clone(), pipeline.clone());
                Ok(())
            }
            Self::RemovePipeline { id } => tree.remove_pipeline(id),
            Self::PutService { id, service } => {
                tree.services.insert(id.clone(), service.clone());
                Ok(())
            }
            Self::RemoveService { id } => tree.remove_service(id),
            Self::EvacuateZone { zone } => tree.evacuate(zone),
            Self::TakeBackZone { zone } => tree.take_back(zone),
            Self::Import { tree: imported } => {
                let version = tree.version;
                *tree = SettingsTree {
                    version,
                    ..(**imported).clone()
                };
                Ok(())
            }
        }
    }
}

impl fmt::Display for TreeEdit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CreateOrganisation { id, parent, .. } => {
                write!(f, "create organisation {id} under {parent}")
            }
            Self::MoveOrganisation { id, parent } => write!(f, "move {id} under {parent}"),
            Self::Suspend { id } => write!(f, "suspend {id}"),
            Self::Resume { id } => write!(f, "resume {id}"),
            Self::Set { id, field, value } => write!(f, "set {field} of {id} to {value}"),
            Self::Unset { id, field } => write!(f, "unset {field} of {id}"),
            Self::SetKey { id, .. } => write!(f, "set the key of {id}"),
            Self::PutPipeline { id, .. } => write!(f, "put pipeline {id}"),
            Self::RemovePipeline { id } => write!(f, "remove pipeline {id}"),
            Self::PutService { id, .. } => write!(f, "put service {id}"),
            Self::RemoveService { id } => write!(f, "remove service {id}"),
            Self::EvacuateZone { zone } => write!(f, "evacuate zone {zone}"),
            Self::TakeBackZone { zone } => write!(f, "take back zone {zone}"),
            Self::Import { .. } => f.write_str("import a whole tree"),
        }
    }
}
