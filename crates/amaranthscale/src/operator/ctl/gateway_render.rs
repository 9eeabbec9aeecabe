//! A gateway's listings as text.

use super::render::{table, with_head};
use crate::operator::{GatewayServers, HeldBack, MovingRun, ServerReport};

/// The servers, then the runs that are being moved.
pub(super) fn servers(listing: &GatewayServers) -> String {
    let head = ["server", "service", "zone", "address", "state", "in flight"];
    let rows = with_head(head, listing.servers.iter().map(server_row));
    let mut output = format!("gateway {}\n\n{}", listing.gateway, table(&rows));
    if !listing.moving.is_empty() {
        output += "\nruns being moved\n";
        output.extend(listing.moving.iter().map(moving_line));
    }
    output
}

/// A line for each quarantined request or prompt part.
pub(super) fn held_back(quarantined: &[HeldBack]) -> String {
    if quarantined.is_empty() {
        return "no request is held back\n".to_owned();
    }
    let rows = quarantined.iter().map(|one| {
        let servers: Vec<_> = one.servers.iter().map(ToString::to_string).collect();
        [one.suspect.to_string(), servers.join(",")]
    });
    table(&with_head(
        ["request or part", "servers that crashed"],
        rows,
    ))
}

fn server_row(report: &ServerReport) -> [String; 6] {
    let text = |value: Option<String>| value.unwrap_or_else(|| "-".to_owned());
    [
        report.server.to_string(),
        text(report.service.as_ref().map(ToString::to_string)),
        text(report.zone.as_ref().map(ToString::to_string)),
        text(report.address.map(|address| address.to_string())),
        state(report),
        report.in_flight.to_string(),
    ]
}

/// The state with its figures, such as `cold, 2/s, 1500 ms left`.
fn state(report: &ServerReport) -> String {
    let mut parts = vec![report.state.clone()];
    parts.extend(report.max_per_s.map(|max_per_s| format!("{max_per_s}/s")));
    parts.extend(report.left_ms.map(|left_ms| format!("{left_ms} ms left")));
    parts.extend(
        report
            .ejected_for_ms
            .map(|elapsed_ms| format!("for {elapsed_ms} ms")),
    );
    parts.extend(report.drained_by.as_ref().map(|by| format!("by {by}")));
    parts.join(", ")
}

fn moving_line(run: &MovingRun) -> String {
    let MovingRun {
        call,
        from,
        to,
        elapsed_ms,
    } = run;
    format!("  {call} from {from} to {to}, for {elapsed_ms} ms\n")
}
