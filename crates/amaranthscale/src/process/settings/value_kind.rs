//! Kinds of values that keys accept.

use std::fmt;
use std::net::SocketAddr;

use amaranthscale_core::id::HostId;
use amaranthscale_core::version::KeyHash;
use log::LevelFilter;

/// The kind of values that a key accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ValueKind {
    /// A name of a host, zone, region or service.
    Name,
    /// An IP address with a port.
    Address,
    /// A whole number in a range.
    Number {
        /// Least value.
        min: u64,
        /// Greatest value.
        max: u64,
    },
    /// Yes or no.
    Flag,
    /// A level of the log.
    LogLevel,
    /// A hash of a bearer key. Its value is never shown, as it may be the key itself by mistake.
    KeyHash,
}

impl ValueKind {
    /// Whether a text is accepted.
    #[must_use]
    pub fn accepts(self, text: &str) -> bool {
        match self {
            // All names follow the same rule, whatever they name.
            Self::Name => text.parse::<HostId>().is_ok(),
            Self::Address => text.parse::<SocketAddr>().is_ok(),
            Self::Number { min, max } => text
                .parse::<u64>()
                .is_ok_and(|number| (min..=max).contains(&number)),
            Self::Flag => text.parse::<bool>().is_ok(),
            Self::LogLevel => text.parse::<LevelFilter>().is_ok(),
            Self::KeyHash => text.parse::<KeyHash>().is_ok(),
        }
    }

    /// Whether values may be shown in errors.
    #[must_use]
    pub fn is_secret(self) -> bool {
        self == Self::KeyHash
    }
}

impl fmt::Display for ValueKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name => f.write_str("a name of letters, digits, '-', '_', '.' and ':'"),
            Self::Address => f.write_str("an IP address with a port, such as 127.0.0.1:7000"),
            Self::Number { min, max } => write!(f, "a whole number from {min} to {max}"),
            Self::Flag => f.write_str("true or false"),
            Self::LogLevel => f.write_str("off, error, warn, info, debug or trace"),
            Self::KeyHash => f.write_str("the SHA-256 of the key as 64 hexadecimal digits"),
        }
    }
}
