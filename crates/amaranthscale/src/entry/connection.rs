//! HTTP interfaces of an entry: callers and operators on one address, peers on another.

mod caller_http;
mod operator_http;
mod peer_http;
mod reply;

pub(super) use caller_http::{CallerHttp, CallerLimits};
pub(super) use operator_http::OperatorHttp;
pub(super) use peer_http::PeerHttp;
