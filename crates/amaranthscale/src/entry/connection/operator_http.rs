//! HTTP interface for operators: settings tree, edits, status and cost.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{HostId, TreeVersion};
use amaranthscale_core::version::{EditRecord, KeyHash, TreeEdit};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use log::info;
use serde::{Deserialize, Serialize};

use super::CallerHttp;
use super::reply::status;
use crate::connection::{ResponseBody, json_response, read_body, serialised_response};
use crate::entry::process::{DecisionsStatus, EntryContext};
use crate::version::{EditProposal, EditResult, PlannerStatus, TreeStatus, TreeSyncHandle};

/// Maximum size of an edit; the largest is the import of a whole tree.
const MAX_EDIT_BYTES: usize = 16 * 1024 * 1024;
/// Timeout for reading an operator's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// HTTP handler for operators.
#[derive(Debug, Clone)]
pub struct OperatorHttp {
    context: EntryContext,
    tree: TreeSyncHandle,
    callers: CallerHttp,
    host: HostId,
    key: Option<KeyHash>,
}

#[derive(Debug, Deserialize)]
struct EditRequest {
    expected_version: TreeVersion,
    by: String,
    edit: TreeEdit,
}

#[derive(Debug, Serialize)]
struct Accepted {
    version: TreeVersion,
}

#[derive(Debug, Serialize)]
struct Refused {
    code: ResultCode,
    text: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    your_version: Option<TreeVersion>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version_in_force: Option<TreeVersion>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    other_edits: Vec<EditRecord>,
}

#[derive(Debug, Serialize)]
struct Status {
    host: HostId,
    tree: Option<TreeStatus>,
    open_requests: usize,
    decisions: DecisionsStatus,
    planner: PlannerStatus,
    counters: BTreeMap<String, u64>,
}

impl OperatorHttp {
    /// Creates the handler; calls are authorised by the key with this hash.
    #[must_use]
    pub const fn new(
        context: EntryContext,
        tree: TreeSyncHandle,
        callers: CallerHttp,
        host: HostId,
        key: Option<KeyHash>,
    ) -> Self {
        Self {
            context,
            tree,
            callers,
            host,
            key,
        }
    }

    /// Whether a path belongs to this interface.
    #[must_use]
    pub fn handles(path: &str) -> bool {
        path.starts_with("/v1/operator/") || matches!(path, "/healthz" | "/readyz" | "/status")
    }

    /// Handles one call.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        match request.uri().path() {
            "/healthz" => return json_response(StatusCode::OK, "{}"),
            "/readyz" => return self.readiness(),
            "/status" => return self.status().await,
            _ => {}
        }
        if !self.is_authorised(request.headers()) {
            return refusal_response(ResultCode::WrongOperatorKey, "the operator's key is wrong");
        }
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/operator/tree") => self.show_tree(),
            (&Method::GET, "/v1/operator/edits") => self.show_edits(request.uri().query()),
            (&Method::POST, "/v1/operator/edits") => self.edit(request).await,
            (&Method::GET, "/v1/operator/status") => self.status().await,
            (&Method::GET, "/v1/operator/cost") => self.cost().await,
            _ => refusal_response(
                ResultCode::UnknownPath,
                "operators' paths stand in docs/INTERFACES.md",
            ),
        }
    }

    fn readiness(&self) -> Response<ResponseBody> {
        let is_ready = self.tree.is_ready();
        let status = if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        serialised_response(status, &BTreeMap::from([("ready", is_ready)]))
    }

    async fn status(&self) -> Response<ResponseBody> {
        let status = Status {
            host: self.host.clone(),
            tree: self.tree.status().await,
            open_requests: self.callers.open_requests(),
            decisions: self.context.decisions.status().await,
            planner: self.context.planner.status(),
            counters: self.context.counters.totals(),
        };
        serialised_response(StatusCode::OK, &status)
    }

    async fn cost(&self) -> Response<ResponseBody> {
        serialised_response(StatusCode::OK, &self.context.decisions.status().await.costs)
    }

    fn show_tree(&self) -> Response<ResponseBody> {
        let tree = self.context.tree.borrow().tree().to_json();
        json_response(StatusCode::OK, tree)
    }

    fn show_edits(&self, query: Option<&str>) -> Response<ResponseBody> {
        let since = query.and_then(|query| query.strip_prefix("since="));
        let Ok(since) = since.unwrap_or("0").parse() else {
            return refusal_response(ResultCode::MalformedRequest, "since must be a tree version");
        };
        serialised_response(StatusCode::OK, &self.tree.edits_after(since))
    }

    async fn edit(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let body = match read_body(request.into_body(), MAX_EDIT_BYTES, BODY_TIMEOUT).await {
            Ok(body) => body,
            Err(error) => return refusal_response(ResultCode::MalformedRequest, error.to_string()),
        };
        let edit: EditRequest = match serde_json::from_slice(&body) {
            Ok(edit) => edit,
            Err(error) => return refusal_response(ResultCode::MalformedRequest, error.to_string()),
        };
        info!(
            "entry: operator {} edits version {}",
            edit.by, edit.expected_version
        );
        let expected = edit.expected_version;
        if let Err(refusal) = self.check_zone(&edit.edit).await {
            return refusal;
        }
        let proposal = EditProposal {
            expected,
            edit: edit.edit,
            by: edit.by,
        };
        self.context.counters.count("edit.proposed");
        edit_response(expected, self.tree.edit(proposal).await)
    }

    /// Refuses to evacuate a zone that has no backend servers.
    ///
    /// A mistyped zone name would otherwise be accepted, and operators would believe the zone empty
    /// while requests are still sent to it.
    async fn check_zone(&self, edit: &TreeEdit) -> Result<(), Response<ResponseBody>> {
        let TreeEdit::EvacuateZone { zone } = edit else {
            return Ok(());
        };
        let zones = self.context.decisions.status().await.zones;
        if zones
            .iter()
            .any(|line| line.zone == *zone && line.servers > 0)
        {
            return Ok(());
        }
        let known: Vec<_> = zones.iter().map(|line| line.zone.as_str()).collect();
        Err(refusal_response(
            ResultCode::NotFound,
            format!(
                "no backend server is in availability zone {zone}: the host list has {}",
                known.join(", ")
            ),
        ))
    }

    fn is_authorised(&self, headers: &HeaderMap) -> bool {
        let value = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok());
        let bearer = value.and_then(|value| value.strip_prefix("Bearer "));
        match (&self.key, bearer) {
            (Some(key), Some(bearer)) => key.matches(&KeyHash::of(bearer.trim())),
            _ => false,
        }
    }
}

fn edit_response(expected: TreeVersion, result: EditResult) -> Response<ResponseBody> {
    match result {
        EditResult::Accepted(version) => serialised_response(StatusCode::OK, &Accepted { version }),
        EditResult::Conflict(version, other_edits) => {
            let code = ResultCode::EditConflict;
            let body = Refused {
                code,
                text: format!("version {expected} was edited, but {version} is in force"),
                your_version: Some(expected),
                version_in_force: Some(version),
                other_edits,
            };
            serialised_response(status(code), &body)
        }
        EditResult::Invalid(error) => refusal_response(error.code(), error.to_string()),
        EditResult::Refused(code) => refusal_response(code, code.text()),
        EditResult::Unknown => {
            let code = ResultCode::EditUnknown;
            refusal_response(
                code,
                "the table did not settle the edit: look at the history later",
            )
        }
    }
}

fn refusal_response(code: ResultCode, text: impl Into<String>) -> Response<ResponseBody> {
    let text = text.into();
    let (your_version, version_in_force, other_edits) = (None, None, Vec::new());
    serialised_response(
        status(code),
        &Refused {
            code,
            text,
            your_version,
            version_in_force,
            other_edits,
        },
    )
}
