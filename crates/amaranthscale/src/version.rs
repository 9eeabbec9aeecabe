//! What lives for a version of shared configuration.

mod tree_client;
mod tree_keeper;

#[doc(inline)]
pub use tree_client::{ReadTreeError, offer_to_peer, read_from_peer, read_from_table};
#[doc(inline)]
pub use tree_keeper::{
    EditProposal, EditResult, TreeKeeper, TreeKeeperArguments, TreeKeeperHandle,
    TreeKeeperSettings, TreeMessage, TreeStatus,
};
