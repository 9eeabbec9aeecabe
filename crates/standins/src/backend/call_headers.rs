//! The headers that come with a call.

use std::str::FromStr;

use amaranthscale_core::id::OrganisationId;
use amaranthscale_core::unit::Class;
use hyper::HeaderMap;
use quick_error::quick_error;

use crate::backend::CallId;

quick_error! {
    /// Headers that cannot be read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidHeaders {
        /// The call has no id.
        NoCallId {
            display("x-call-id is missing")
        }
        /// A header holds what it may not.
        Unreadable(name: &'static str) {
            display("{name} cannot be read")
        }
    }
}

/// The headers that come with a call.
#[derive(Debug, Clone)]
pub(crate) struct CallHeaders {
    /// Identity of the call.
    pub(crate) call_id: CallId,
    /// Organisation that the call works for, if told.
    pub(crate) organisation: Option<OrganisationId>,
    /// Class of the organisation, if told.
    pub(crate) class: Option<Class>,
    /// Higher goes first; 0 unless told.
    pub(crate) priority: i64,
    /// Tokens that the caller has already; 0 unless told.
    pub(crate) resume_token: u32,
}

impl CallHeaders {
    /// Reads the headers of a call.
    pub(crate) fn read(headers: &HeaderMap) -> Result<Self, InvalidHeaders> {
        Ok(Self {
            call_id: call_id(headers)?,
            organisation: optional(headers, "x-organisation")?,
            class: optional(headers, "x-class")?,
            priority: optional(headers, "x-priority")?.unwrap_or_default(),
            resume_token: optional(headers, "x-resume-token")?.unwrap_or_default(),
        })
    }
}

fn call_id(headers: &HeaderMap) -> Result<CallId, InvalidHeaders> {
    let id: Option<String> = optional(headers, "x-call-id")?;
    id.map(CallId::new).ok_or(InvalidHeaders::NoCallId)
}

fn optional<T: FromStr>(
    headers: &HeaderMap,
    name: &'static str,
) -> Result<Option<T>, InvalidHeaders> {
    let Some(header) = headers.get(name) else {
        return Ok(None);
    };
    let text = header.to_str().ok();
    let parsed = text.and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or(InvalidHeaders::Unreadable(name))
}
