//! Shared configuration and its versions.
//!
//! The settings tree holds the organisations, pipelines and services. A [`TreeEdit`] applied to a
//! [`SettingsTree`] gives the next version, which is validated as a whole. [`CompiledTree`] serves
//! look-ups by requests from values computed once per version. [`TreeLog`] applies newer versions
//! from the table and from other processes, and never goes back to an older one.

mod compiled_tree;
mod conditional_write;
mod edit_record;
mod effective_settings;
mod key_hash;
mod lease;
mod organisation;
mod override_field;
mod overrides;
mod pipeline;
mod placement;
mod placement_plan;
mod routing;
mod service;
mod settings_tree;
mod sourced;
mod stage;
mod table_copy;
mod tree_check;
mod tree_edit;
mod tree_error;
mod tree_head;
mod tree_log;
mod tree_log_error;

#[doc(inline)]
pub use compiled_tree::CompiledTree;
#[doc(inline)]
pub use conditional_write::{ConditionalWrite, Envelope, EnvelopeError, WriteEvent, WriteStep};
#[doc(inline)]
pub use edit_record::EditRecord;
#[doc(inline)]
pub use effective_settings::EffectiveSettings;
#[doc(inline)]
pub use key_hash::{InvalidKeyHash, KeyHash};
#[doc(inline)]
pub use lease::{HeldLease, LEASE_KEY, LeaseRow, PlannerLease};
#[doc(inline)]
pub use organisation::Organisation;
#[doc(inline)]
pub use override_field::{InvalidOverrideField, OverrideField};
#[doc(inline)]
pub use overrides::Overrides;
#[doc(inline)]
pub use pipeline::{MAX_STAGES, Pipeline};
#[doc(inline)]
pub use placement::{
    Assignment, EngineOrder, EngineOrders, EngineRole, PLACEMENT_HEAD_KEY, PLACEMENT_KEY,
    Placement, PlacementUpdate, PlacementView, placement_head, placement_write,
    read_placement_head,
};
#[doc(inline)]
pub use placement_plan::{
    LoadTracker, PlanInput, PlanLimits, PlannedPlacement, Shortfall, plan_placement,
};
#[doc(inline)]
pub use routing::{
    AllowedRegions, BatchSpec, CallerBounds, EngineSpec, KeyHolder, Pool, Route, RouteKind,
    RouteStage, Routing, TransferSpec, ZoneRegions,
};
#[doc(inline)]
pub use service::Service;
#[doc(inline)]
pub use settings_tree::{ROOT_NAME, SettingsTree};
#[doc(inline)]
pub use sourced::Sourced;
#[doc(inline)]
pub use stage::Stage;
#[doc(inline)]
pub use table_copy::{TableChanges, TableCopy};
#[doc(inline)]
pub use tree_check::{
    MAX_DEADLINE_MS, MAX_DEPTH, MAX_IN_FLIGHT, MAX_LIMIT_PER_SECOND, MAX_REPLICAS, MAX_WEIGHT,
};
#[doc(inline)]
pub use tree_edit::TreeEdit;
#[doc(inline)]
pub use tree_error::TreeError;
#[doc(inline)]
pub use tree_head::{SNAPSHOT_EVERY_EDITS, TREE_HEAD_KEY, TREE_SNAPSHOT_KEY, TreeHead};
#[doc(inline)]
pub use tree_log::{TreeLog, TreeUpdate};
#[doc(inline)]
pub use tree_log_error::TreeLogError;
