//! Counters and latencies as text.

use std::sync::atomic::Ordering;

use super::super::process::GatewayContext;

/// All counters and latencies, one per line.
pub(super) fn text(context: &GatewayContext) -> String {
    use std::fmt::Write;
    let mut text = String::new();
    for (name, total) in context.counters.totals() {
        let name = name.replace(['.', '-'], "_");
        // Writing to a string cannot fail.
        let _ = writeln!(text, "amaranth_{name}_total {total}");
    }
    let _ = writeln!(
        text,
        "amaranth_open_requests {}",
        context.shutdown.open_requests()
    );
    let _ = writeln!(
        text,
        "amaranth_stalled_callers_total {}",
        context.stalled_callers.load(Ordering::Relaxed)
    );
    for (suspect, servers) in context.crashes.quarantined() {
        let crashed = servers.len();
        let _ = writeln!(
            text,
            "amaranth_quarantined{{suspect=\"{suspect}\"}} {crashed}"
        );
    }
    for (server, limit) in context.limits.limits() {
        let _ = writeln!(
            text,
            "amaranth_server_limit_per_s{{server=\"{server}\"}} {limit}"
        );
    }
    let (servers, now) = (
        context.cluster_view.servers(),
        context.cluster_view.clock().now(),
    );
    for record in servers.all() {
        let server = &record.incarnation;
        if servers.has_stated_leaving(server) {
            let _ = writeln!(
                text,
                "amaranth_server_leaving_stated{{server=\"{server}\"}} 1"
            );
        }
        if let Some(until) = servers.backoff_until(server, now) {
            let left_s = until.saturating_sub(now).as_secs_f64();
            let _ = writeln!(
                text,
                "amaranth_server_backoff_left_s{{server=\"{server}\"}} {left_s:.3}"
            );
        }
    }
    text + &context.latencies.text()
}
