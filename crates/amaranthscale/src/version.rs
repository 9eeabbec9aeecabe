//! State that lives as long as a version of the shared configuration.

mod edit_proposal;
mod exchange_peers;
mod planner;
mod published_tree;
mod tree_client;
mod tree_sync;
mod tree_sync_handle;

#[doc(inline)]
pub use edit_proposal::{EditProposal, EditResult};
#[doc(inline)]
pub use exchange_peers::exchange_peers;
#[doc(inline)]
pub use planner::{
    OverdueLoad, Planner, PlannerArguments, PlannerHandle, PlannerMessage, PlannerSettings,
    PlannerState, PlannerStatus, WriteGate,
};
#[doc(inline)]
pub use published_tree::PublishedTree;
#[doc(inline)]
pub use tree_client::{ReadTreeError, offer_to_peer, read_from_peer, read_from_table};
#[doc(inline)]
pub use tree_sync::{
    ReplySource, TreeMessage, TreeStatus, TreeSync, TreeSyncArguments, TreeSyncSettings,
    TreeSyncState,
};
#[doc(inline)]
pub use tree_sync_handle::TreeSyncHandle;
