//! A listed server.

use amaranthscale_core::process::ServerRecord;

/// A ready server of the service `scale` in the zone `north`.
pub fn record(id: &str) -> ServerRecord {
    ServerRecord {
        incarnation: id.parse().unwrap(),
        service: "scale".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "north".parse().unwrap(),
        slots: 4,
        is_leaving: false,
        cold_left: None,
        software_version: None,
    }
}
