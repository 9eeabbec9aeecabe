//! Addresses that are given as `ADDRESS:PORT` or `http://ADDRESS:PORT/`.

use std::net::SocketAddr;

/// Parses an address; none if the text is not an IP address with a port.
pub(super) fn parse_http_address(text: &str) -> Option<SocketAddr> {
    let address = text.strip_prefix("http://").unwrap_or(text);
    let address = address.strip_suffix('/').unwrap_or(address);
    address.parse().ok()
}
