//! HTTP server of the stand-ins, and a client for tests and the load tool.

mod answer;
mod connection_closed;
mod http_client;
mod http_error;
mod http_reply;
mod percent;
mod query;
mod reply_body;
mod running_standin;
mod server;
mod stop_signal;

pub(crate) use answer::{
    Answer, HandlerResult, json, json_body, no_content, plain_text, status, truncated_answer,
    turned_away,
};
pub(crate) use connection_closed::ConnectionClosed;
pub(crate) use query::Query;
pub(crate) use reply_body::{Chunk, ReplyBody, cut_off};
pub(crate) use server::start_server;
pub(crate) use stop_signal::StopSignal;

#[doc(inline)]
pub use http_client::HttpClient;
#[doc(inline)]
pub use http_error::HttpError;
#[doc(inline)]
pub use http_reply::HttpReply;
#[doc(inline)]
pub use percent::{percent_decode, percent_encode};
#[doc(inline)]
pub use running_standin::RunningStandin;
