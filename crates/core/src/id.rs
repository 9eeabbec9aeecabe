//! Identifiers, each with its own type so that they cannot be mixed up.

mod attempt_id;
mod name_id;
mod number_id;
mod prompt_part_id;
mod request_fingerprint;
mod request_id;
mod result_handle;
mod server_incarnation;
mod software_version;

#[doc(inline)]
pub use attempt_id::AttemptId;
#[doc(inline)]
pub use name_id::{
    CallId, EvidenceId, HostId, IdempotencyKey, InstanceId, InvalidName, ModelId, OrganisationId,
    PipelineId, RegionId, RouteId, ServerId, ServiceId, StageName, WriteId, ZoneId,
};
#[doc(inline)]
pub use number_id::{
    AttemptNumber, FencingNumber, Incarnation, InvalidNumber, PlacementVersion, RoutingVersion,
    RowVersion, StageIndex, StartMs, StoreEra, TreeVersion,
};
#[doc(inline)]
pub use prompt_part_id::{InvalidPromptPartId, PromptPartId};
#[doc(inline)]
pub use request_fingerprint::{InvalidRequestFingerprint, RequestFingerprint};
#[doc(inline)]
pub use request_id::{InvalidRequestId, RequestId};
#[doc(inline)]
pub use result_handle::{InvalidResultHandle, ResultHandle};
#[doc(inline)]
pub use server_incarnation::ServerIncarnation;
#[doc(inline)]
pub use software_version::SoftwareVersion;
