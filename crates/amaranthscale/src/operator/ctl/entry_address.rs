//! Address of an entry.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use quick_error::quick_error;

use super::http_address::parse_http_address;

quick_error! {
    /// Error for a text that is not an entry's address.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidEntryAddress {
        /// The text is not an IP address with a port.
        Malformed(text: String) {
            display("entry {text:?} cannot be read: give an IP address with a port, such as 10.0.0.1:8080 or http://10.0.0.1:8080")
        }
    }
}

/// Address of an entry, contacted over plain HTTP.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryAddress(SocketAddr);

impl fmt::Display for EntryAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "http://{}", self.0)
    }
}

impl FromStr for EntryAddress {
    type Err = InvalidEntryAddress;

    fn from_str(text: &str) -> Result<Self, InvalidEntryAddress> {
        parse_http_address(text)
            .map(Self)
            .ok_or_else(|| InvalidEntryAddress::Malformed(text.to_owned()))
    }
}
