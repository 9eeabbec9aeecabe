//! Whether anything listens at an address.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// Result of a connection attempt to an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PortState {
    /// A process listens.
    Open,
    /// The host refuses the connection, as no process listens.
    Closed,
    /// Nothing answers: the host may be down or unreachable.
    Unreachable,
}

impl PortState {
    /// Name in counters.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Open => "listens",
            Self::Closed => "refuses",
            Self::Unreachable => "silent",
        }
    }
}

/// Opens a connection and closes it at once.
pub(crate) async fn probe_port(address: SocketAddr, timeout: Duration) -> PortState {
    match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Ok(_stream)) => PortState::Open,
        Ok(Err(error)) if is_refusal(error.kind()) => PortState::Closed,
        Ok(Err(_)) | Err(_) => PortState::Unreachable,
    }
}

const fn is_refusal(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
    )
}
