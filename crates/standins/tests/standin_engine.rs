//! The engine stand-in: batching, priorities, cache, orders, and each of its faults.

#![expect(clippy::unwrap_used, reason = "a fixture that fails ends its test")]

mod support;

use amaranthscale_standins::backend::BackendFaults;
use amaranthscale_standins::engine::{
    CacheEvent, CacheEventKind, Engine, EngineExecution, EngineLoad, EngineOrder, EngineRole,
    EngineSettings, OrderReply, OrderState,
};
use amaranthscale_standins::http::{HttpClient, HttpError, HttpReply, RunningStandin};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use support::{ManualClock, eventually, join_task, run_round_trips, set_faults};
use tokio::task::JoinHandle;

/// Time per token in tests whose sequences must not end by themselves.
const LONG_TOKEN_MS: u64 = 3_600_000;

struct Fixture {
    engine: RunningStandin,
    client: HttpClient,
}

impl Fixture {
    async fn start(settings: EngineSettings) -> Self {
        Self {
            engine: Engine::start(settings).await.unwrap(),
            client: HttpClient::new(),
        }
    }

    async fn set_faults(&self, faults: BackendFaults) {
        set_faults(&self.client, self.engine.url("/admin/faults"), &faults).await;
    }

    async fn run(&self, call: EngineCall) -> Result<HttpReply, HttpError> {
        call.send(&self.client, &self.engine.url("/run/")).await
    }

    /// Sends a call in the background, over a separate connection.
    fn spawn_run(&self, call: EngineCall) -> JoinHandle<Result<HttpReply, HttpError>> {
        let url = self.engine.url("/run/");
        tokio::spawn(async move { call.send(&HttpClient::new(), &url).await })
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> T {
        self.client.get_json(self.engine.url(path)).await.unwrap()
    }

    async fn executions(&self) -> Vec<EngineExecution> {
        self.get("/executions").await
    }

    async fn load(&self) -> EngineLoad {
        self.get("/load").await
    }

    async fn cancel(&self, call_id: &str) -> Value {
        let url = self.engine.url(format!("/cancel/{call_id}"));
        self.client.post_json(url, &json!({})).await.unwrap()
    }

    async fn order(&self, fence: u64, order: EngineOrder) -> (StatusCode, OrderReply) {
        let body = serde_json::to_vec(&json!({"fence": fence, "order": order})).unwrap();
        let url = self.engine.url("/orders");
        let reply = self.client.post(url, &[], body).await.unwrap();
        (reply.status, reply.json().unwrap())
    }

    async fn until_running(&self, running: u32) {
        eventually("the sequences run", async || {
            self.load().await.running == running
        })
        .await;
    }

    async fn until_waiting(&self, waiting: u32) {
        eventually("the calls wait", async || {
            self.load().await.waiting == waiting
        })
        .await;
    }
}

#[derive(Debug, Clone)]
struct EngineCall {
    operation: &'static str,
    call_id: &'static str,
    priority: i64,
    resume_token: u32,
    body: Value,
}

impl EngineCall {
    async fn send(&self, client: &HttpClient, url: &str) -> Result<HttpReply, HttpError> {
        let priority = self.priority.to_string();
        let resume_token = self.resume_token.to_string();
        let headers = [
            ("x-call-id", self.call_id),
            ("x-organisation", "north-growers"),
            ("x-class", "trial"),
            ("x-priority", priority.as_str()),
            ("x-resume-token", resume_token.as_str()),
        ];
        let url = format!("{url}{}", self.operation);
        client.post(url, &headers, self.body.to_string()).await
    }
}

fn generation(call_id: &'static str, max_tokens: u32) -> EngineCall {
    EngineCall {
        operation: "generation",
        call_id,
        priority: 0,
        resume_token: 0,
        body: json!({"request": {"max_tokens": max_tokens}}),
    }
}

fn with_prefix(call_id: &'static str, prefix: &str, length_bytes: usize) -> EngineCall {
    let text = "x".repeat(length_bytes);
    EngineCall {
        body: json!({"max_tokens": 1, "prefix": prefix, "text": text}),
        ..generation(call_id, 1)
    }
}

/// Settings without lag of reports and without processing time.
fn zero_latency_settings() -> EngineSettings {
    EngineSettings {
        load_lag_ms: 0,
        cache_event_lag_ms: 0,
        cache_event_gap_every: 0,
        prefill_ms_per_kib: 0,
        base_ms: 0,
        token_ms: 0,
        ..EngineSettings::default()
    }
}

/// Settings of an engine whose sequences end only when cancelled.
fn endless_settings() -> EngineSettings {
    EngineSettings {
        slots: 1,
        token_ms: LONG_TOKEN_MS,
        ..zero_latency_settings()
    }
}

fn lines(reply: &HttpReply) -> Vec<Value> {
    parse_lines(&reply.body)
}

fn parse_lines(body: &[u8]) -> Vec<Value> {
    let lines = body.split(|byte| *byte == b'\n');
    let non_empty = lines.filter(|line| !line.is_empty());
    non_empty
        .map(|line| serde_json::from_slice(line).unwrap())
        .collect()
}

#[tokio::test]
async fn a_generation_ends_with_its_end_line() {
    let fixture = Fixture::start(zero_latency_settings()).await;

    let reply = fixture.run(generation("c1", 3)).await.unwrap();

    let lines = lines(&reply);
    let numbers: Vec<_> = lines.iter().map(|line| line["token"].as_u64()).collect();
    assert_eq!(numbers, [Some(0), Some(1), Some(2), None]);
    assert_eq!(lines[3]["end"]["tokens"], 3);
    assert_eq!(reply.headers["content-type"], "application/x-ndjson");
    let executions = fixture.executions().await;
    assert_eq!(executions[0].tokens, 3);
    assert!(executions[0].finished);
}

#[tokio::test]
async fn a_resumed_generation_returns_the_remaining_lines() {
    let fixture = Fixture::start(zero_latency_settings()).await;
    let resumed = EngineCall {
        resume_token: 3,
        ..generation("c1", 5)
    };

    let whole = fixture.run(generation("c1", 5)).await.unwrap();
    let tail = fixture.run(resumed).await.unwrap();

    assert_eq!(lines(&tail), lines(&whole)[3..]);
}

#[tokio::test]
async fn an_operation_answer_names_operation_input_digest_and_call() {
    let fixture = Fixture::start(zero_latency_settings()).await;
    let call = EngineCall {
        operation: "reranking",
        ..generation("c1", 1)
    };

    let reply: Value = fixture.run(call).await.unwrap().json().unwrap();

    let digest = reply["input_digest"].as_str().unwrap();
    assert_eq!(digest.len(), 64);
    assert_eq!(reply["operation"], "reranking");
    assert_eq!(reply["call_id"], "c1");
}

#[tokio::test]
async fn the_engine_accepts_http2() {
    let fixture = Fixture::start(zero_latency_settings()).await;

    let url = fixture.engine.url("/run/");
    let reply = generation("c1", 2).send(&HttpClient::http2(), &url).await;

    assert_eq!(lines(&reply.unwrap()).len(), 3);
}

#[tokio::test(start_paused = true)]
async fn waiting_calls_start_by_priority_then_by_arrival() {
    let _clock = ManualClock::install();
    let fixture = Fixture::start(endless_settings()).await;
    let running = fixture.spawn_run(generation("first", 1));
    fixture.until_running(1).await;
    let mut waiting = Vec::new();
    for (call_id, priority) in [("low", 1), ("high", 2), ("high-later", 2)] {
        let call = EngineCall {
            priority,
            ..generation(call_id, 1)
        };
        waiting.push(fixture.spawn_run(call));
        let expected = u32::try_from(waiting.len()).unwrap();
        fixture.until_waiting(expected).await;
    }

    for (started, cancelled) in [(2, "first"), (3, "high"), (4, "high-later")] {
        fixture.cancel(cancelled).await;
        eventually("the next starts", async || {
            fixture.executions().await.len() == started
        })
        .await;
    }

    let executions = fixture.executions().await;
    let order: Vec<_> = executions.iter().map(|e| e.call_id.as_str()).collect();
    assert_eq!(order, ["first", "high", "high-later", "low"]);
    running.abort();
    waiting.iter().for_each(JoinHandle::abort);
}

#[tokio::test(start_paused = true)]
async fn concurrent_sequences_slow_each_other_down() {
    let clock = ManualClock::install();
    let settings = EngineSettings {
        slots: 2,
        token_ms: 100,
        batch_penalty: 0.5,
        ..zero_latency_settings()
    };
    let fixture = Fixture::start(settings).await;
    let together = [
        fixture.spawn_run(generation("c1", 4)),
        fixture.spawn_run(generation("c2", 4)),
    ];
    fixture.until_running(2).await;

    drop(clock);
    for call in together {
        call.await.unwrap().unwrap();
    }
    fixture.run(generation("alone", 4)).await.unwrap();

    let executions = fixture.executions().await;
    let alone_ms = executions[2].server_ms;
    assert!(executions[0].server_ms > alone_ms, "{executions:?}");
    assert!(executions[1].server_ms > alone_ms, "{executions:?}");
}

#[tokio::test(start_paused = true)]
async fn a_cached_prefix_shortens_the_prefill() {
    let settings = EngineSettings {
        prefill_ms_per_kib: 1_000,
        ..zero_latency_settings()
    };
    let fixture = Fixture::start(settings).await;

    for call_id in ["first", "again"] {
        let call = with_prefix(call_id, "case-17", 4096);
        fixture.run(call).await.unwrap();
    }

    let executions = fixture.executions().await;
    assert!(executions[0].server_ms >= 4_000, "{executions:?}");
    assert!(executions[1].server_ms < 1_000, "{executions:?}");
}

#[tokio::test]
async fn the_least_recently_used_prefix_is_evicted() {
    let settings = EngineSettings {
        prefix_cache_bytes: 2_500,
        ..zero_latency_settings()
    };
    let fixture = Fixture::start(settings).await;

    for prefix in ["a", "b", "a", "c"] {
        let call = with_prefix("c1", prefix, 1_000);
        fixture.run(call).await.unwrap();
    }

    let events: Vec<CacheEvent> = fixture.get("/cache/events?after=2").await;
    let reported: Vec<_> = events.iter().map(|e| (e.kind, e.prefix.as_str())).collect();
    let expected = [
        (CacheEventKind::Evicted, "b"),
        (CacheEventKind::Stored, "c"),
    ];
    assert_eq!(reported, expected);
}

#[tokio::test(start_paused = true)]
async fn cache_events_are_delayed_and_have_gaps() {
    let clock = ManualClock::install();
    let settings = EngineSettings {
        cache_event_lag_ms: 60_000,
        cache_event_gap_every: 2,
        ..zero_latency_settings()
    };
    let fixture = Fixture::start(settings).await;
    for prefix in ["a", "b", "c"] {
        let call = with_prefix("c1", prefix, 10);
        fixture.run(call).await.unwrap();
    }

    let early: Vec<CacheEvent> = fixture.get("/cache/events?after=0").await;
    clock.advance_ms(60_000).await;
    let late: Vec<CacheEvent> = fixture.get("/cache/events?after=0").await;

    assert_eq!(early, []);
    let numbers: Vec<_> = late.iter().map(|event| event.number).collect();
    assert_eq!(numbers, [1, 3]);
}

#[tokio::test(start_paused = true)]
async fn the_load_report_is_delayed() {
    let clock = ManualClock::install();
    let settings = EngineSettings {
        load_lag_ms: 60_000,
        ..endless_settings()
    };
    let fixture = Fixture::start(settings).await;
    let call = fixture.spawn_run(generation("c1", 1));
    eventually("the sequence runs", async || {
        fixture.executions().await.len() == 1
    })
    .await;

    let early = fixture.load().await;
    clock.advance_ms(60_000).await;
    let late = fixture.load().await;

    assert_eq!(early.running, 0);
    assert_eq!((late.running, late.age_ms), (1, 60_000));
    call.abort();
}

#[tokio::test(start_paused = true)]
async fn a_dropped_answer_cancels_its_sequence() {
    // A caller disconnects while its answer is generated. The engine must free the slot.
    let _clock = ManualClock::install();
    let fixture = Fixture::start(endless_settings()).await;
    let url = fixture.engine.url("/run/generation");
    let headers = [("x-call-id", "c1")];

    for client in [HttpClient::new(), HttpClient::http2()] {
        let answer = client.open(Method::POST, &url, &headers, "{}").await;
        drop(answer.unwrap());
        fixture.until_running(0).await;
    }

    let executions = fixture.executions().await;
    let finished: Vec<_> = executions.iter().map(|e| e.finished).collect();
    assert_eq!(finished, [false, false]);
}

#[tokio::test(start_paused = true)]
async fn a_waiting_call_whose_caller_disconnects_never_starts() {
    // A caller disconnects while its call waits for a slot. The call must not start later, as no
    // one reads its answer.
    let _clock = ManualClock::install();
    let fixture = Fixture::start(endless_settings()).await;
    let running = fixture.spawn_run(generation("first", 1));
    fixture.until_running(1).await;

    for client in [HttpClient::new(), HttpClient::http2()] {
        let url = fixture.engine.url("/run/");
        let call = tokio::spawn(async move { generation("second", 1).send(&client, &url).await });
        fixture.until_waiting(1).await;
        call.abort();
        fixture.until_waiting(0).await;
    }
    fixture.cancel("first").await;
    fixture.until_running(0).await;

    assert_eq!(fixture.executions().await.len(), 1);
    running.abort();
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_waiting_call_never_starts() {
    let _clock = ManualClock::install();
    let fixture = Fixture::start(endless_settings()).await;
    let running = fixture.spawn_run(generation("first", 1));
    fixture.until_running(1).await;
    let waiting = fixture.spawn_run(generation("second", 1));
    fixture.until_waiting(1).await;

    let cancelled = fixture.cancel("second").await;

    let reply = waiting.await.unwrap().unwrap();
    assert_eq!(cancelled["cancelled"], 1);
    assert_eq!(reply.status, StatusCode::CONFLICT);
    assert_eq!(reply.json::<Value>().unwrap()["started"], false);
    assert_eq!(fixture.executions().await.len(), 1);
    running.abort();
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_stream_ends_with_an_error() {
    let clock = ManualClock::install();
    let fixture = Fixture::start(endless_settings()).await;
    let url = fixture.engine.url("/run/");
    let call =
        tokio::spawn(async move { generation("c1", 1).send(&HttpClient::new(), &url).await });
    fixture.until_running(1).await;

    fixture.cancel("c1").await;
    fixture.until_running(0).await;
    drop(clock);

    let broken = call.await.unwrap();
    assert!(broken.is_err(), "{broken:?}");
}

#[tokio::test]
async fn a_broken_stream_ends_after_half_of_its_tokens() {
    // A connection ends in the middle of a streamed answer. The part that arrived must be a prefix
    // of the full answer, without an end line.
    let fixture = Fixture::start(zero_latency_settings()).await;
    let faults = BackendFaults {
        break_mid_stream: Some(1),
        ..BackendFaults::default()
    };
    fixture.set_faults(faults).await;

    let broken = fixture.run(generation("c1", 6)).await;
    let whole = fixture.run(generation("c1", 6)).await.unwrap();

    let Err(HttpError::Truncated(StatusCode::OK, arrived, _)) = broken else {
        panic!("not broken off: {broken:?}");
    };
    assert_eq!(parse_lines(&arrived), lines(&whole)[..3]);
}

#[tokio::test]
async fn a_failed_call_is_recorded_as_started_and_unfinished() {
    let fixture = Fixture::start(zero_latency_settings()).await;
    let faults = BackendFaults {
        fail_next: Some(1),
        ..BackendFaults::default()
    };
    fixture.set_faults(faults).await;

    let failed = fixture.run(generation("c1", 1)).await.unwrap();
    let next = fixture.run(generation("c2", 1)).await.unwrap();

    assert_eq!(failed.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(next.status, StatusCode::OK);
    let executions = fixture.executions().await;
    assert_eq!(executions.len(), 2);
    assert!(!executions[0].finished);
}

#[tokio::test]
async fn a_frozen_engine_makes_no_progress_until_unfrozen() {
    let fixture = Fixture::start(zero_latency_settings()).await;
    let frozen = |frozen| BackendFaults {
        frozen: Some(frozen),
        ..BackendFaults::default()
    };
    fixture.set_faults(frozen(true)).await;

    let call = fixture.spawn_run(generation("c1", 1));
    run_round_trips(async || fixture.executions().await).await;
    let while_frozen = fixture.executions().await;
    fixture.set_faults(frozen(false)).await;

    assert_eq!(while_frozen, []);
    assert_eq!(lines(&join_task(call).await.unwrap()).len(), 2);
}

#[tokio::test(start_paused = true)]
async fn the_slow_factor_multiplies_the_processing_time() {
    let settings = EngineSettings {
        token_ms: 100,
        ..zero_latency_settings()
    };
    let fixture = Fixture::start(settings).await;
    let faults = BackendFaults {
        slow_factor: Some(20.0),
        ..BackendFaults::default()
    };
    fixture.set_faults(faults).await;

    fixture.run(generation("c1", 4)).await.unwrap();

    assert!(fixture.executions().await[0].server_ms >= 8_000);
}

#[tokio::test]
async fn a_dead_engine_accepts_no_connections() {
    let mut fixture = Fixture::start(zero_latency_settings()).await;
    let faults = BackendFaults {
        die: Some(true),
        ..BackendFaults::default()
    };

    let url = fixture.engine.url("/admin/faults");
    let body = serde_json::to_vec(&faults).unwrap();
    // The answer may or may not be sent before the engine ends.
    let _ = fixture.client.post(url, &[], body).await;
    fixture.engine.wait_until_stopped().await;

    let call = fixture.run(generation("c1", 1)).await;
    assert!(matches!(call, Err(HttpError::NoAnswer(_))), "{call:?}");
}

#[tokio::test]
async fn an_order_with_an_old_fencing_number_is_refused() {
    // A planner is paused while it holds the lease, and another takes over. The first resumes and
    // sends an order with its old fencing number.
    let fixture = Fixture::start(zero_latency_settings()).await;
    let model = serde_json::from_value(json!("assay")).unwrap();
    fixture.order(2, EngineOrder::LoadModel(model)).await;

    let prefill = EngineOrder::SetRole(EngineRole::Prefill);
    let (status, reply) = fixture.order(1, prefill).await;

    assert_eq!(status, StatusCode::CONFLICT);
    assert!(!reply.applied);
    let state: OrderState = fixture.get("/orders").await;
    assert_eq!(state.role, EngineRole::Both);
    assert_eq!(state.models.len(), 1);
    let applied: Vec<_> = state.history.iter().map(|order| order.applied).collect();
    assert_eq!(applied, [true, false]);
}

#[tokio::test]
async fn an_engine_that_ignores_fencing_numbers_applies_old_orders() {
    let settings = EngineSettings {
        honours_fence: false,
        ..zero_latency_settings()
    };
    let fixture = Fixture::start(settings).await;
    let decode = EngineOrder::SetRole(EngineRole::Decode);
    let prefill = EngineOrder::SetRole(EngineRole::Prefill);
    fixture.order(2, decode).await;

    let (status, reply) = fixture.order(1, prefill).await;

    assert_eq!(status, StatusCode::OK);
    assert!(reply.applied);
    let state: OrderState = fixture.get("/orders").await;
    assert_eq!(state.role, EngineRole::Prefill);
    assert_eq!(state.highest_fence.get(), 2);
}
