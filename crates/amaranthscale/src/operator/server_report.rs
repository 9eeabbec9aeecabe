//! How a gateway uses a server, for operators.

use std::net::SocketAddr;

use amaranthscale_core::id::{ServerId, ServerIncarnation, ServiceId, ZoneId};
use amaranthscale_core::process::{ServerDrain, ServerRecord, ServerUse};
use serde::{Deserialize, Serialize};

use crate::process::ms;

/// How a gateway uses a server now.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// The server's incarnation.
    pub server: ServerIncarnation,
    /// Its service.
    pub service: Option<ServiceId>,
    /// Where it listens.
    pub address: Option<SocketAddr>,
    /// Its availability zone.
    pub zone: Option<ZoneId>,
    /// Name of its [`ServerUse`].
    pub state: String,
    /// Requests per second from all gateways together, if they are limited.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_per_s: Option<f64>,
    /// Milliseconds until the state ends, if that is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub left_ms: Option<u64>,
    /// Milliseconds since the ejection of an ejected server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ejected_for_ms: Option<u64>,
    /// Operator who drained it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub drained_by: Option<String>,
    /// When it was drained, in milliseconds since 1970.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub drained_at_ms: Option<u64>,
    /// Requests and batch calls of this gateway there.
    pub in_flight: usize,
}

impl ServerReport {
    /// Report of a listed server.
    #[must_use]
    pub fn of(record: &ServerRecord, server_use: ServerUse, in_flight: usize) -> Self {
        Self {
            server: record.incarnation.clone(),
            service: Some(record.service.clone()),
            address: Some(record.address),
            zone: Some(record.zone.clone()),
            state: server_use.name().to_owned(),
            max_per_s: server_use.max_per_s(),
            left_ms: server_use.left().map(ms),
            ejected_for_ms: server_use.ejected_for().map(ms),
            drained_by: None,
            drained_at_ms: None,
            in_flight,
        }
    }

    /// Report of a drained server that is not listed.
    #[must_use]
    pub fn of_unlisted(server: &ServerId, drain: &ServerDrain) -> Self {
        Self {
            server: ServerIncarnation::new(server.clone()),
            service: None,
            address: None,
            zone: None,
            state: ServerUse::Unlisted.name().to_owned(),
            max_per_s: None,
            left_ms: None,
            ejected_for_ms: None,
            drained_by: None,
            drained_at_ms: None,
            in_flight: 0,
        }
        .with_drain(Some(drain))
    }

    /// Adds who drained the server, and when.
    #[must_use]
    pub fn with_drain(mut self, drain: Option<&ServerDrain>) -> Self {
        self.drained_by = drain.map(|drain| drain.by().to_owned());
        self.drained_at_ms = drain.map(ServerDrain::at_ms);
        self
    }
}
