//! Measures the cost of one kind of event: an edit, a change of hosts, a claimed call, a cost row
//! or a token.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranthscale_core::id::OrganisationId;
use amaranthscale_core::version::{OverrideField, TreeEdit};
use amaranthscale_core::wire::HostState;
use http_body_util::BodyExt;
use hyper::Method;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use super::capacity_error::CapacityError;
use super::capacity_tree::{key_of, name_of};
use super::fleet::{Fleet, Role};
use super::role_window::{counters, cpu_ns};
use super::spread::{Spread, float};
use crate::http::HttpClient;

/// Edits at each point whose propagation to all processes is timed.
const TIMED_EDITS: u32 = 5;
/// Time window over which a day's edits are distributed.
const EDIT_WINDOW: Duration = Duration::from_secs(30);
/// Changes of the host list at each point.
const HOST_CHANGES: u32 = 10;
/// Time in which entries notice a changed host list, which they poll every second.
const HOST_LIST_DELAY: Duration = Duration::from_millis(1300);
/// Concurrent calls while claims are measured.
const CLAIM_CONCURRENCY: u32 = 32;
/// Time between two calls while costs are measured: 35 per second, the specified load of a sidecar.
const COST_CALL_INTERVAL: Duration = Duration::from_micros(28_500);
/// Tokens of each stream.
const STREAM_TOKENS: u32 = 400;
/// Both roles, in the order of all arrays of two below.
const ROLES: [Role; 2] = [Role::Entry, Role::Sidecar];

/// Times edits until their acceptance, and from then until they are in force in every process.
pub(super) async fn edit_times(fleet: &mut Fleet) -> Result<Value, CapacityError> {
    let (mut accepted_ms, mut in_force_ms, mut last_ms) = (Vec::new(), Vec::new(), Vec::new());
    for number in 0..TIMED_EDITS {
        let started = Instant::now();
        fleet.edit(&weight_edit(number)?).await?;
        accepted_ms.push(started.elapsed().as_secs_f64() * 1000.0);
        let times_ms = fleet.wait_in_force().await?;
        last_ms.extend(times_ms.iter().copied().max_by(f64::total_cmp));
        in_force_ms.extend(times_ms);
    }
    Ok(json!({
        "edit_accepted_ms": Spread::of(accepted_ms),
        "edit_in_force_ms": Spread::of(in_force_ms),
        "edit_in_force_everywhere_ms": Spread::of(last_ms),
    }))
}

/// Makes edits at regular intervals, and returns the usage with them and that of an idle window.
pub(super) async fn edits(fleet: &mut Fleet, edits: u32) -> Result<Value, CapacityError> {
    let idle = usage_during(fleet, sleep(EDIT_WINDOW)).await?;
    let before = Usage::now(fleet).await?;
    let started = Instant::now();
    let pause = EDIT_WINDOW / edits.max(1);
    for number in 0..edits {
        sleep_until(started + pause * number).await;
        fleet.edit(&weight_edit(number % 5)?).await?;
    }
    sleep_until(started + EDIT_WINDOW).await;
    let took_s = started.elapsed().as_secs_f64();
    let behind_ms = fleet.wait_in_force().await?;
    let used = Usage::now(fleet).await?.since(&before);
    Ok(json!({
        "edits": edits, "window_s": took_s,
        "behind_at_end_ms": Spread::of(behind_ms),
        "idle": idle.to_json(fleet), "with_edits": used.to_json(fleet),
    }))
}

/// Changes the host list, and returns the usage with the changes and that of an idle window.
pub(super) async fn host_changes(fleet: &Fleet, listed: u32) -> Result<Value, CapacityError> {
    fleet.publish_hosts(listed).await?;
    sleep(HOST_LIST_DELAY).await;
    let idle = usage_during(fleet, sleep(HOST_LIST_DELAY * HOST_CHANGES)).await?;
    let changing = async {
        for number in 0..HOST_CHANGES {
            let state = match number % 2 {
                0 => HostState::Leaving,
                _ => HostState::Live,
            };
            let _ = fleet.change_host(state).await;
            sleep(HOST_LIST_DELAY).await;
        }
    };
    let used = usage_during(fleet, changing).await?;
    Ok(json!({
        "listed_hosts": listed, "changes": HOST_CHANGES,
        "idle": idle.to_json(fleet), "with_changes": used.to_json(fleet),
    }))
}

/// Makes calls that must not be repeated, and returns the number of table writes per call.
pub(super) async fn claims(fleet: &Fleet, calls: u32) -> Result<Value, CapacityError> {
    let platform_before = fleet.platform_counts().await?;
    let before = Usage::now(fleet).await?;
    let started = Instant::now();
    let mut workers = JoinSet::new();
    for worker in 0..CLAIM_CONCURRENCY {
        let url = fleet.entry_url("/v1/services/work/settlements");
        workers.spawn(settle_some(url, worker, calls / CLAIM_CONCURRENCY));
    }
    let mut complete = 0;
    while let Some(result) = workers.join_next().await {
        complete += result.unwrap_or(0);
    }
    let took_s = started.elapsed().as_secs_f64();
    let used = Usage::now(fleet).await?.since(&before);
    let platform = fleet.platform_counts().await?;
    let writes = platform.writes - platform_before.writes;
    Ok(json!({
        "calls": calls, "complete": complete, "took_s": took_s,
        "complete_per_s": f64::from(complete) / took_s,
        "platform_writes": writes,
        "writes_per_call": float(writes) / f64::from(complete.max(1)),
        "refused_by_rate": platform.refused_rate - platform_before.refused_rate,
        "use": used.to_json(fleet),
    }))
}

/// Makes calls of the organisations in rotation at regular intervals, and returns the table writes
/// and the usage for their cost rows.
pub(super) async fn costs(fleet: &Fleet, organisations: u32) -> Result<Value, CapacityError> {
    let platform_before = fleet.platform_counts().await?;
    let before = Usage::now(fleet).await?;
    let started = Instant::now();
    let url = fleet.entry_url("/v1/services/work/echo");
    let (mut calls, mut complete) = (0, 0);
    let window = Duration::from_millis(u64::from(fleet.size.window_ms)) * fleet.size.windows;
    while started.elapsed() < window {
        sleep_until(started + COST_CALL_INTERVAL * calls).await;
        let organisation = calls % organisations.max(1);
        complete += u32::from(call(&fleet.http, &url, organisation, None).await);
        calls += 1;
    }
    let used = Usage::now(fleet).await?.since(&before);
    let platform = fleet.platform_counts().await?;
    Ok(json!({
        "organisations_active": organisations, "calls": calls, "complete": complete,
        "platform_writes": platform.writes - platform_before.writes,
        "use": used.to_json(fleet),
    }))
}

/// Streams tokens, and returns the processor time per token.
pub(super) async fn tokens(fleet: &Fleet, streams: u32) -> Result<Value, CapacityError> {
    let mut rounds = Vec::new();
    for _round in 0..fleet.size.windows {
        let before = Usage::now(fleet).await?;
        let started = Instant::now();
        let mut running = JoinSet::new();
        for _ in 0..streams {
            running.spawn(stream(fleet.entry_url("/v1/pipelines/generate")));
        }
        let mut tokens = 0;
        while let Some(result) = running.join_next().await {
            tokens += result.unwrap_or(0);
        }
        let took_s = started.elapsed().as_secs_f64();
        let used = Usage::now(fleet).await?.since(&before);
        let per_token_us = |ns: u64| float(ns) / 1000.0 / f64::from(tokens.max(1));
        rounds.push((
            f64::from(tokens) / took_s,
            per_token_us(used.cpu_ns[0]),
            per_token_us(used.cpu_ns[1]),
        ));
    }
    Ok(json!({
        "streams": streams, "tokens_each": STREAM_TOKENS,
        "tokens_per_s": Spread::of(rounds.iter().map(|round| round.0)),
        "entry_us_per_token": Spread::of(rounds.iter().map(|round| round.1)),
        "sidecar_us_per_token": Spread::of(rounds.iter().map(|round| round.2)),
    }))
}

/// Resource usage of both roles since their start, or within a time span.
#[derive(Debug)]
struct Usage {
    at: Instant,
    cpu_ns: [u64; 2],
    control: [Vec<(String, u64)>; 2],
    reads: u64,
    seconds: f64,
}

impl Usage {
    async fn now(fleet: &Fleet) -> Result<Self, CapacityError> {
        let cpu_ns = [cpu_ns(fleet, ROLES[0])?, cpu_ns(fleet, ROLES[1])?];
        let entry = counters(fleet, ROLES[0]).await?;
        let sidecar = counters(fleet, ROLES[1]).await?;
        let reads = fleet.platform_counts().await?.reads;
        Ok(Self {
            at: Instant::now(),
            cpu_ns,
            control: [entry.into_iter().collect(), sidecar.into_iter().collect()],
            reads,
            seconds: 0.0,
        })
    }

    fn since(&self, before: &Self) -> Self {
        let increases = |role: usize| {
            let earlier = &before.control[role];
            let increases = self.control[role].iter().map(|(name, count)| {
                let old = earlier.iter().find(|(known, _)| known == name);
                (name.clone(), count - old.map_or(0, |(_, count)| *count))
            });
            increases.filter(|(_, count)| *count > 0).collect()
        };
        Self {
            at: self.at,
            cpu_ns: [0, 1].map(|role| self.cpu_ns[role] - before.cpu_ns[role]),
            control: [increases(0), increases(1)],
            reads: self.reads - before.reads,
            seconds: (self.at - before.at).as_secs_f64(),
        }
    }

    /// The usage of each role, as sums over its processes.
    fn to_json(&self, fleet: &Fleet) -> Value {
        let role = |index: usize| {
            json!({
                "processes": fleet.processes(ROLES[index]).len(),
                "cpu_ms": float(self.cpu_ns[index]) / 1e6,
                "control": self.control[index].iter().cloned().collect::<BTreeMap<_, _>>(),
            })
        };
        json!({
            "seconds": self.seconds, "table_reads": self.reads,
            "entries": role(0), "sidecars": role(1),
        })
    }
}

async fn usage_during(
    fleet: &Fleet,
    work: impl Future<Output = ()>,
) -> Result<Usage, CapacityError> {
    let before = Usage::now(fleet).await?;
    work.await;
    Ok(Usage::now(fleet).await?.since(&before))
}

/// An edit that sets a weight which differs from the previous one, so that the tree accepts it.
fn weight_edit(number: u32) -> Result<TreeEdit, CapacityError> {
    let id: OrganisationId = name_of(number).parse()?;
    Ok(TreeEdit::Set {
        id,
        field: OverrideField::Weight,
        value: (number % 7 + 1).to_string(),
    })
}

async fn settle_some(url: String, worker: u32, calls: u32) -> u32 {
    let http = HttpClient::new();
    let mut complete = 0;
    for number in 0..calls {
        let key = format!("claim-{worker}-{number}");
        complete += u32::from(call(&http, &url, 0, Some(&key)).await);
    }
    complete
}

/// Makes one call for an organisation; whether it succeeded.
async fn call(http: &HttpClient, url: &str, organisation: u32, key: Option<&str>) -> bool {
    let bearer = format!("Bearer {}", key_of(organisation));
    let mut headers = vec![
        ("authorization", bearer.as_str()),
        ("x-deadline-ms", "9000"),
    ];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    let reply = http.post(url, &headers, r#"{"amount":1}"#).await;
    reply.is_ok_and(|reply| reply.status.is_success())
}

/// Reads one stream of tokens; returns their number.
async fn stream(url: String) -> u32 {
    let bearer = format!("Bearer {}", key_of(0));
    let headers = [
        ("authorization", bearer.as_str()),
        ("accept", "text/event-stream"),
        ("x-deadline-ms", "60000"),
    ];
    let body = json!({"max_tokens": STREAM_TOKENS}).to_string();
    let Ok(response) = HttpClient::new()
        .open(Method::POST, url, &headers, body)
        .await
    else {
        return 0;
    };
    let mut body = response.into_body();
    let mut tokens = 0;
    while let Some(Ok(frame)) = body.frame().await {
        let data = frame.data_ref().map_or_else(Vec::new, |data| data.to_vec());
        let events = String::from_utf8_lossy(&data)
            .matches("event: token")
            .count();
        tokens += u32::try_from(events).unwrap_or(0);
    }
    tokens
}
