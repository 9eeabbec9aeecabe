//! Lists and lifts the quarantine of requests.

use amaranthscale_core::id::RequestFingerprint;
use hyper::{Response, StatusCode};

use super::super::process::GatewayContext;
use super::line;
use crate::connection::ResponseBody;
use crate::operator::QUARANTINE_LIST_PATH;

/// Quarantined requests, one per line with the servers that crashed under each.
pub(super) fn list(context: &GatewayContext) -> String {
    let quarantined = context.crashes.quarantined_requests().into_iter();
    let lines = quarantined.map(|(request, servers)| {
        let servers: Vec<_> = servers.iter().map(ToString::to_string).collect();
        format!("{request} {}\n", servers.join(","))
    });
    lines.collect()
}

/// Lifts the quarantine of the request with a fingerprint.
pub(super) fn lift(context: &GatewayContext, name: &str) -> Response<ResponseBody> {
    let request: RequestFingerprint = match name.parse() {
        Ok(request) => request,
        Err(error) => return line(StatusCode::BAD_REQUEST, format!("{error}")),
    };
    if context.crashes.lift(request) {
        line(
            StatusCode::OK,
            format!("{request} is sent to servers again"),
        )
    } else {
        line(
            StatusCode::NOT_FOUND,
            format!("{request} is not held back: GET {QUARANTINE_LIST_PATH} lists those that are"),
        )
    }
}
