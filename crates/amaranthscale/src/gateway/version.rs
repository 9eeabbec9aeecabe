//! State with the life span of a version: the routing, servers and gateways as read from the store.

mod announce;
mod cluster_view;
mod copied_table;
mod feed;
mod feed_pace;
mod follow;
mod handed_on;
mod line_budget;
mod neighbour;
mod packed_row;
mod refused_entries;
mod store_write;
mod zones;

#[doc(inline)]
pub use announce::{announce_instance, withdraw_instance};
#[doc(inline)]
pub use cluster_view::ClusterView;
#[doc(inline)]
pub use feed::{Feed, FeedEvent};
#[doc(inline)]
pub use feed_pace::{FeedPace, KEY_AGE_PERCENT, READY_AGE_PERCENT};
#[doc(inline)]
pub use follow::{Own, follow_instances, follow_routing, follow_servers};
#[doc(inline)]
pub use handed_on::{HandedAnswer, HandedOn, HandedRows, RowsQuestion};
#[doc(inline)]
pub use neighbour::{Neighbours, ROWS_PATH};
#[doc(inline)]
pub use packed_row::{HeldRow, PackedRow, UnpackError};
pub(crate) use store_write::{write_store, write_store_if, write_store_until_taken};
