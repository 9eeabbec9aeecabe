//! State with the life span of a version: the routing, servers and gateways as read from the store.

mod announce;
mod announcement_update;
mod announcement_writer;
mod arrival_notice;
mod cluster_view;
mod feed;
mod follow;
mod invalid_entry_log;
mod log_limiter;
mod packed_row;
mod poll_timing;
mod reader_requests;
mod relayed_table;
mod shared_read;
mod start_reader;
mod store_call;
mod store_write;
mod table_relay;
mod zone_reader_client;
mod zones;

#[doc(inline)]
pub use announce::{ANNOUNCEMENTS_PATH, Announcer, withdraw_instance};
#[doc(inline)]
pub use announcement_update::AnnouncementUpdate;
#[doc(inline)]
pub use announcement_writer::AnnouncementWriter;
#[doc(inline)]
pub use arrival_notice::ArrivalNotice;
#[doc(inline)]
pub use cluster_view::ClusterView;
#[doc(inline)]
pub use feed::{Feed, FeedEvent};
#[doc(inline)]
pub use follow::{OwnInstance, follow_instances, follow_routing, follow_servers};
pub(crate) use log_limiter::LogLimiter;
#[doc(inline)]
pub use packed_row::{KnownRow, PackedRow, UnpackError};
#[doc(inline)]
pub use poll_timing::{KEY_AGE_PERCENT, PollTiming, READY_AGE_PERCENT};
#[doc(inline)]
pub use shared_read::{RowsReader, SharedRead};
pub(crate) use store_write::{
    WriteError, write_store, write_store_if, write_store_once, write_store_with_retry,
};
#[doc(inline)]
pub use table_relay::{RelayAnswer, RelayedRows, RowsRequest, TableRelay};
#[doc(inline)]
pub use zone_reader_client::{ROWS_PATH, RelayContext};
