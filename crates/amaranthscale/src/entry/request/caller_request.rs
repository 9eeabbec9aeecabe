//! A caller's request, parsed from HTTP and validated against the settings tree.

use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{IdempotencyKey, OrganisationId, PipelineId, ServiceId};
use amaranthscale_core::unit::{Class, RatePerSecond, TimeBudget, Weight};
use amaranthscale_core::version::{CompiledTree, EffectiveSettings, Service, Stage};
use amaranthscale_core::wire::CallFingerprint;
use bytes::Bytes;
use hyper::header::{ACCEPT, AUTHORIZATION};
use hyper::{HeaderMap, Method, Uri};
use serde::Deserialize;
use serde::de::IgnoredAny;

/// Header with the caller's deadline.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the caller's idempotency key, required for calls that may not be repeated.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

const PIPELINES: &str = "/v1/pipelines/";
const SERVICES: &str = "/v1/services/";

/// Target of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// All stages of a pipeline.
    Pipeline(PipelineId),
    /// One call of a plain service.
    Service(ServiceId),
}

/// A validated request.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Organisation that sent the request.
    pub organisation: OrganisationId,
    /// Class of that organisation.
    pub class: Class,
    /// Weight of that organisation in fair queues.
    pub weight: Weight,
    /// Rate limit of that organisation over all entries.
    pub limit_per_second: RatePerSecond,
    /// Maximum number of open requests of that organisation.
    pub max_in_flight: u32,
    /// Requested pipeline or service.
    pub target: Target,
    /// Stages to run, in order; a plain service is one stage.
    pub stages: Vec<Stage>,
    /// Idempotency key, if the caller sent one.
    pub key: Option<IdempotencyKey>,
    /// Digest of path and body, to detect a key reused for another call.
    pub fingerprint: CallFingerprint,
    /// Time until the deadline.
    pub budget: TimeBudget,
    /// Whether the caller wants tokens streamed.
    pub wants_stream: bool,
    /// Hash of the prompt's prefix, to prefer an engine that has it cached.
    pub affinity: Option<u64>,
    /// Body as the caller sent it.
    pub body: Bytes,
}

/// Head of a caller's request, validated before its body is read.
#[derive(Debug, Clone)]
pub struct CallerHead {
    organisation: OrganisationId,
    effective: EffectiveSettings,
    target: Target,
    stages: Vec<Stage>,
    key: Option<IdempotencyKey>,
    budget: TimeBudget,
    wants_stream: bool,
    path: String,
}

/// Limits on callers' deadlines.
#[derive(Debug, Clone, Copy)]
pub struct DeadlineLimits {
    /// Longest deadline that a caller may ask for.
    pub max: Duration,
}

impl CallerHead {
    /// Parses a request's head and validates it against a settings tree.
    pub fn read(
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
        tree: &CompiledTree,
        limits: DeadlineLimits,
    ) -> Result<Self, ResultCode> {
        let is_known = uri.path().starts_with(PIPELINES) || uri.path().starts_with(SERVICES);
        if !is_known {
            return Err(ResultCode::UnknownPath);
        }
        if method != Method::POST {
            return Err(ResultCode::WrongMethod);
        }
        let (organisation, effective) = caller(headers, tree)?;
        let (target, stages, default_deadline) = target(uri.path(), effective, tree)?;
        let key = idempotency_key(headers)?;
        if key.is_none() && stages.iter().any(|stage| !stage.is_repeatable) {
            return Err(ResultCode::MissingIdempotencyKey);
        }
        Ok(Self {
            organisation: organisation.clone(),
            effective: effective.clone(),
            target,
            stages,
            key,
            budget: budget(headers, default_deadline, limits)?,
            wants_stream: wants_stream(headers),
            path: uri.path().to_owned(),
        })
    }

    /// Adds the body, which must be JSON or empty.
    pub fn with_body(self, body: Bytes) -> Result<CallerRequest, ResultCode> {
        let body = if body.is_empty() {
            Bytes::from_static(b"null")
        } else {
            body
        };
        let hints = hints(&body)?;
        Ok(CallerRequest {
            organisation: self.organisation,
            class: self.effective.class.value,
            weight: self.effective.weight.value,
            limit_per_second: self.effective.limit_per_second.value,
            max_in_flight: self.effective.max_in_flight.value,
            target: self.target,
            stages: self.stages,
            key: self.key,
            fingerprint: CallFingerprint::of(&self.path, &body),
            budget: self.budget,
            wants_stream: self.wants_stream,
            affinity: hints
                .and_then(|hints| hints.prefix)
                .map(|prefix| prefix_hash(&prefix)),
            body,
        })
    }
}

/// Fields of a caller's body that are used for routing.
#[derive(Debug, Deserialize)]
struct Hints {
    prefix: Option<String>,
}

fn hints(body: &[u8]) -> Result<Option<Hints>, ResultCode> {
    if let Ok(hints) = serde_json::from_slice::<Hints>(body) {
        return Ok(Some(hints));
    }
    match serde_json::from_slice::<IgnoredAny>(body) {
        Ok(_json) => Ok(None),
        Err(_malformed) => Err(ResultCode::MalformedRequest),
    }
}

fn caller<'a>(
    headers: &HeaderMap,
    tree: &'a CompiledTree,
) -> Result<(&'a OrganisationId, &'a EffectiveSettings), ResultCode> {
    let value = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let bearer = value.and_then(|value| value.strip_prefix("Bearer "));
    let bearer = bearer.ok_or(ResultCode::WrongKey)?;
    let (organisation, effective) = tree.caller(bearer.trim()).ok_or(ResultCode::WrongKey)?;
    if effective.is_suspended.value {
        return Err(ResultCode::OrganisationSuspended);
    }
    Ok((organisation, effective))
}

fn target(
    path: &str,
    effective: &EffectiveSettings,
    tree: &CompiledTree,
) -> Result<(Target, Vec<Stage>, Duration), ResultCode> {
    if let Some(name) = path.strip_prefix(PIPELINES) {
        let unknown = |_invalid| ResultCode::UnknownPipeline;
        let id: PipelineId = name.parse().map_err(unknown)?;
        if !effective.pipelines.value.contains(&id) {
            return Err(ResultCode::UnknownPipeline);
        }
        let pipeline = tree.pipeline(&id).ok_or(ResultCode::UnknownPipeline)?;
        let deadline = Duration::from_millis(effective.deadline_ms.value);
        return Ok((Target::Pipeline(id), pipeline.stages.clone(), deadline));
    }
    let rest = path.strip_prefix(SERVICES).ok_or(ResultCode::UnknownPath)?;
    let (name, call) = rest.split_once('/').unwrap_or((rest, ""));
    let unknown = |_invalid| ResultCode::UnknownService;
    let id: ServiceId = name.parse().map_err(unknown)?;
    let service = tree.service(&id).ok_or(ResultCode::UnknownService)?;
    let deadline = Duration::from_millis(service.default_deadline_ms);
    let stage = service_stage(&id, service, call)?;
    Ok((Target::Service(id), vec![stage], deadline))
}

/// The single stage of a plain service, named after the service.
fn service_stage(id: &ServiceId, service: &Service, call: &str) -> Result<Stage, ResultCode> {
    let path = format!("/{call}");
    let name = id
        .as_str()
        .parse()
        .map_err(|_invalid| ResultCode::UnknownService)?;
    Ok(Stage {
        name,
        service: id.clone(),
        is_repeatable: service.allows_repeat(&path),
        is_streaming: false,
        path,
    })
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, ResultCode> {
    let Some(value) = headers.get(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_invalid| ResultCode::MalformedRequest)?;
    let key = text
        .parse()
        .map_err(|_invalid| ResultCode::MalformedRequest)?;
    Ok(Some(key))
}

fn budget(
    headers: &HeaderMap,
    default: Duration,
    limits: DeadlineLimits,
) -> Result<TimeBudget, ResultCode> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(TimeBudget::new(default.min(limits.max)));
    };
    let text = value.to_str().map_err(|_invalid| ResultCode::BadDeadline)?;
    let deadline_ms: u64 = text
        .trim()
        .parse()
        .map_err(|_invalid| ResultCode::BadDeadline)?;
    let deadline = Duration::from_millis(deadline_ms);
    if deadline.is_zero() || deadline > limits.max {
        return Err(ResultCode::BadDeadline);
    }
    Ok(TimeBudget::new(deadline))
}

fn wants_stream(headers: &HeaderMap) -> bool {
    let accept = headers.get(ACCEPT).and_then(|value| value.to_str().ok());
    accept.is_some_and(|accept| accept.contains("text/event-stream"))
}

/// Hashes a prefix identically on every entry, so that all of them prefer the same engines.
fn prefix_hash(prefix: &str) -> u64 {
    use sha2::{Digest as _, Sha256};

    let digest = Sha256::digest(prefix.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}
