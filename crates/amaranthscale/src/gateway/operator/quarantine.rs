//! Lists and lifts the quarantine of requests and prompt parts.

use amaranthscale_core::process::Suspect;
use hyper::{Response, StatusCode};

use super::super::process::GatewayContext;
use super::line;
use crate::connection::ResponseBody;
use crate::operator::QUARANTINE_LIST_PATH;

/// Quarantined requests and prompt parts, one per line with the servers that crashed under each.
pub(super) fn list(context: &GatewayContext) -> String {
    let quarantined = context.crashes.quarantined().into_iter();
    let lines = quarantined.map(|(suspect, servers)| {
        let servers: Vec<_> = servers.iter().map(ToString::to_string).collect();
        format!("{suspect} {}\n", servers.join(","))
    });
    lines.collect()
}

/// Lifts the quarantine of the request with a fingerprint, or of a prompt part.
pub(super) fn lift(context: &GatewayContext, name: &str) -> Response<ResponseBody> {
    let suspect: Suspect = match name.parse() {
        Ok(suspect) => suspect,
        Err(error) => return line(StatusCode::BAD_REQUEST, error),
    };
    if context.crashes.lift(&suspect) {
        line(
            StatusCode::OK,
            format!("{suspect} is sent to servers again"),
        )
    } else {
        line(
            StatusCode::NOT_FOUND,
            format!("{suspect} is not held back: GET {QUARANTINE_LIST_PATH} lists those that are"),
        )
    }
}
