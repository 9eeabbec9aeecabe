//! Headers of a call.

use std::str::FromStr;

use amaranthscale_core::id::OrganisationId;
use amaranthscale_core::unit::Class;
use hyper::HeaderMap;
use quick_error::quick_error;

use crate::backend::CallId;

quick_error! {
    /// Headers of a call that are missing or invalid.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidCallHeaders {
        /// The call has no id.
        NoCallId {
            display("x-call-id is missing")
        }
        /// A header's value cannot be parsed.
        Unreadable(name: &'static str) {
            display("{name} cannot be read")
        }
    }
}

/// Parsed headers of a call.
#[derive(Debug, Clone)]
pub(crate) struct CallHeaders {
    /// Id of the call.
    pub(crate) call_id: CallId,
    /// Organisation of the call, if stated.
    pub(crate) organisation: Option<OrganisationId>,
    /// Class of the organisation, if stated.
    pub(crate) class: Option<Class>,
    /// Priority, the highest first; 0 by default.
    pub(crate) priority: i64,
    /// Tokens that the caller already has; 0 by default.
    pub(crate) resume_token: u32,
}

impl CallHeaders {
    /// Parses the headers of a call.
    pub(crate) fn parse(headers: &HeaderMap) -> Result<Self, InvalidCallHeaders> {
        Ok(Self {
            call_id: call_id(headers)?,
            organisation: optional(headers, "x-organisation")?,
            class: optional(headers, "x-class")?,
            priority: optional(headers, "x-priority")?.unwrap_or_default(),
            resume_token: optional(headers, "x-resume-token")?.unwrap_or_default(),
        })
    }
}

fn call_id(headers: &HeaderMap) -> Result<CallId, InvalidCallHeaders> {
    let id: Option<String> = optional(headers, "x-call-id")?;
    id.map(CallId::new).ok_or(InvalidCallHeaders::NoCallId)
}

fn optional<T: FromStr>(
    headers: &HeaderMap,
    name: &'static str,
) -> Result<Option<T>, InvalidCallHeaders> {
    let Some(header) = headers.get(name) else {
        return Ok(None);
    };
    let text = header.to_str().ok();
    let parsed = text.and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or(InvalidCallHeaders::Unreadable(name))
}
