//! Address of a gateway's operator listener.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use quick_error::quick_error;

use super::http_address::parse_http_address;

quick_error! {
    /// Error for a text that is not a gateway's address.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidGatewayAddress {
        /// The text is not an IP address with a port.
        Malformed(text: String) {
            display("gateway {text:?} cannot be read: give the IP address and port that serve its metrics, such as 10.0.0.1:7101 or http://10.0.0.1:7101")
        }
    }
}

/// Address of a gateway's operator listener, contacted over plain HTTP.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayAddress(SocketAddr);

impl fmt::Display for GatewayAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "http://{}", self.0)
    }
}

impl FromStr for GatewayAddress {
    type Err = InvalidGatewayAddress;

    fn from_str(text: &str) -> Result<Self, InvalidGatewayAddress> {
        parse_http_address(text)
            .map(Self)
            .ok_or_else(|| InvalidGatewayAddress::Malformed(text.to_owned()))
    }
}
