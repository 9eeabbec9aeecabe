//! Class of an organisation: paid or trial.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Error for text that is not a class.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidClass {
        /// The text is neither of the two classes.
        Unknown(text: String) {
            display("class {text:?} is unknown: use paid or trial")
        }
    }
}

/// Class of an organisation; paid work has priority over trial work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Pays for a guaranteed attainment.
    Paid,
    /// Uses the capacity that paid work leaves idle.
    Trial,
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Paid => "paid",
            Self::Trial => "trial",
        })
    }
}

impl FromStr for Class {
    type Err = InvalidClass;

    fn from_str(text: &str) -> Result<Self, InvalidClass> {
        match text {
            "paid" => Ok(Self::Paid),
            "trial" => Ok(Self::Trial),
            _ => Err(InvalidClass::Unknown(text.to_owned())),
        }
    }
}
