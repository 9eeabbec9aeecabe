//! The platform stand-in: its table, objects and hosts, and each of its faults.

#![expect(clippy::unwrap_used, reason = "a fixture that fails ends its test")]

mod support;

use std::time::Duration;

use amaranthscale_core::wire::{
    HostList, HostRecord, HostState, Row, RowCheck, RowWrite, Transaction, TransactionReply,
};
use amaranthscale_standins::http::{
    HttpClient, HttpError, HttpReply, RunningStandin, percent_decode, percent_encode,
};
use amaranthscale_standins::platform::{
    Platform, PlatformCounts, PlatformFaults, PlatformSettings,
};
use hyper::StatusCode;
use quickcheck::quickcheck;
use support::{ManualClock, eventually, run_round_trips, set_faults};
use tokio::time::Instant;

struct Fixture {
    platform: RunningStandin,
    client: HttpClient,
}

impl Fixture {
    async fn start(settings: PlatformSettings) -> Self {
        Self {
            platform: Platform::start(settings).await.unwrap(),
            client: HttpClient::new(),
        }
    }

    async fn set_faults(&self, faults: PlatformFaults) {
        set_faults(&self.client, self.platform.url("/admin/faults"), &faults).await;
    }

    async fn write(&self, key: &str, version: u64, value: &str) -> Result<HttpReply, HttpError> {
        let body = serde_json::to_vec(&write(key, version, value)).unwrap();
        let url = self.platform.url("/table/transaction");
        self.client.post(url, &[], body).await
    }

    async fn row(&self, key: &str) -> Row {
        let path = format!("/table/row?key={}", percent_encode(key));
        self.client.get_json(self.platform.url(path)).await.unwrap()
    }

    async fn rows(&self, query: &str) -> Vec<Row> {
        let url = self.platform.url(format!("/table/rows?{query}"));
        self.client.get_json(url).await.unwrap()
    }

    async fn read_status(&self) -> StatusCode {
        let url = self.platform.url("/table/row?key=k");
        self.client.get(url).await.unwrap().status
    }

    async fn hosts(&self) -> HostList {
        let url = self.platform.url("/hosts");
        self.client.get_json(url).await.unwrap()
    }

    async fn counts(&self) -> PlatformCounts {
        let url = self.platform.url("/admin/counts");
        self.client.get_json(url).await.unwrap()
    }

    async fn admin(&self, path: &str, body: &impl serde::Serialize) -> StatusCode {
        let body = serde_json::to_vec(body).unwrap();
        let url = self.platform.url(path);
        self.client.post(url, &[], body).await.unwrap().status
    }
}

fn write(key: &str, version: u64, value: &str) -> Transaction {
    Transaction {
        checks: vec![check(key, version)],
        writes: vec![RowWrite {
            key: key.to_owned(),
            value: value.to_owned(),
        }],
    }
}

fn check(key: &str, version: u64) -> RowCheck {
    serde_json::from_value(serde_json::json!({"key": key, "version": version})).unwrap()
}

fn host(name: &str) -> HostRecord {
    let record = serde_json::json!({
        "host": name, "address": "127.0.0.1:9", "region": "delta-south",
        "zone": "mill-office", "service": "assay-llm", "state": "live",
    });
    serde_json::from_value(record).unwrap()
}

fn keys(rows: &[Row]) -> Vec<&str> {
    rows.iter().map(|row| row.key.as_str()).collect()
}

#[tokio::test]
async fn a_transaction_writes_all_or_nothing() {
    let fixture = Fixture::start(PlatformSettings::default()).await;
    fixture.write("a/1", 0, "old").await.unwrap();
    let mut transaction = write("a/2", 0, "new");
    transaction.checks.push(check("a/1", 7));

    let body = serde_json::to_vec(&transaction).unwrap();
    let url = fixture.platform.url("/table/transaction");
    let reply = fixture.client.post(url, &[], body).await.unwrap();

    assert_eq!(reply.status, StatusCode::CONFLICT);
    let expected = vec![fixture.row("a/2").await, fixture.row("a/1").await];
    let conflict: TransactionReply = reply.json().unwrap();
    assert_eq!(conflict, TransactionReply::Conflict(expected));
    assert_eq!(fixture.row("a/2").await.version.get(), 0);
    assert_eq!(fixture.row("a/1").await.value, "old");
}

#[tokio::test]
async fn each_write_raises_the_version_by_one() {
    let fixture = Fixture::start(PlatformSettings::default()).await;

    let first = fixture.write("k", 0, "x").await.unwrap();
    let second = fixture.write("k", 1, "y").await.unwrap();

    assert_eq!(first.status, StatusCode::OK);
    let row = fixture.row("k").await;
    assert_eq!((row.version.get(), row.value.as_str()), (2, "y"));
    let committed: TransactionReply = second.json().unwrap();
    assert_eq!(committed, TransactionReply::Committed(vec![row]));
}

#[tokio::test]
async fn rows_are_listed_in_key_order_by_prefix_and_page() {
    let fixture = Fixture::start(PlatformSettings::default()).await;
    for key in ["b/1", "a/3", "a/1", "a/2"] {
        fixture.write(key, 0, "x").await.unwrap();
    }

    let first = fixture.rows("prefix=a%2F&limit=2").await;
    let next = fixture.rows("prefix=a%2F&after=a%2F2&limit=2").await;

    assert_eq!(keys(&first), ["a/1", "a/2"]);
    assert_eq!(keys(&next), ["a/3"]);
}

#[tokio::test]
async fn an_object_is_read_as_it_was_written() {
    let fixture = Fixture::start(PlatformSettings::default()).await;
    let url = fixture.platform.url("/objects/outcome%2F1");
    let absent = fixture.client.get(&url).await.unwrap();

    fixture.client.put(&url, &b"\x00\xff"[..]).await.unwrap();

    let present = fixture.client.get(&url).await.unwrap();
    assert_eq!(absent.status, StatusCode::NOT_FOUND);
    assert_eq!(present.body, &b"\x00\xff"[..]);
}

#[tokio::test]
async fn an_outage_refuses_calls_but_not_admin_requests() {
    let fixture = Fixture::start(PlatformSettings::default()).await;
    let outage = |outage| PlatformFaults {
        outage: Some(outage),
        ..PlatformFaults::default()
    };

    fixture.set_faults(outage(true)).await;
    let during = fixture.read_status().await;
    fixture.set_faults(outage(false)).await;

    assert_eq!(during, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(fixture.read_status().await, StatusCode::OK);
}

#[tokio::test]
async fn a_silent_platform_never_answers_a_call() {
    // The platform accepts a connection and never answers the write sent over it. The write has no
    // effect, and calls made after the fault is cleared are answered.
    let fixture = Fixture::start(PlatformSettings::default()).await;
    let silent = |silent| PlatformFaults {
        silent: Some(silent),
        ..PlatformFaults::default()
    };
    fixture.set_faults(silent(true)).await;

    let body = serde_json::to_vec(&write("k", 0, "x")).unwrap();
    let url = fixture.platform.url("/table/transaction");
    let call = tokio::spawn(async move { HttpClient::new().post(url, &[], body).await });
    run_round_trips(async || fixture.counts().await).await;
    fixture.set_faults(silent(false)).await;
    run_round_trips(async || fixture.counts().await).await;

    assert!(!call.is_finished());
    assert_eq!(fixture.row("k").await.version.get(), 0);
    call.abort();
}

#[tokio::test(start_paused = true)]
async fn latency_delays_each_call() {
    let latency_ms = 60_000;
    let settings = PlatformSettings {
        latency_ms,
        ..PlatformSettings::default()
    };
    let fixture = Fixture::start(settings).await;
    let started = Instant::now();

    let status = fixture.read_status().await;

    assert_eq!(status, StatusCode::OK);
    assert!(started.elapsed() >= Duration::from_millis(latency_ms));
}

#[tokio::test]
async fn a_write_takes_effect_although_its_answer_is_lost() {
    // A process writes a claim, and the connection closes without an answer. The write took effect
    // nevertheless: a read of the row shows it.
    let fixture = Fixture::start(PlatformSettings::default()).await;
    let faults = PlatformFaults {
        lose_answers: Some(1),
        ..PlatformFaults::default()
    };
    fixture.set_faults(faults).await;

    let lost = fixture.write("k", 0, "x").await;
    let answered = fixture.write("k", 1, "y").await.unwrap();

    assert!(matches!(lost, Err(HttpError::NoAnswer(_))), "{lost:?}");
    assert_eq!(answered.status, StatusCode::OK);
    assert_eq!(fixture.counts().await.lost, 1);
    assert_eq!(fixture.counts().await.transactions_committed, 2);
}

#[tokio::test(start_paused = true)]
async fn a_late_write_takes_effect_after_the_row_was_read_back() {
    // A process writes a claim, gets no answer, and reads the row unchanged. It takes the write for
    // failed, but the platform was still processing it, and the row changes later.
    let clock = ManualClock::install();
    let fixture = Fixture::start(PlatformSettings::default()).await;
    fixture.set_faults(late_effects(1)).await;

    let lost = fixture.write("k", 0, "x").await;
    let read_back = fixture.row("k").await.version.get();
    clock.advance_ms(LATE_EFFECT_MS).await;

    assert!(matches!(lost, Err(HttpError::NoAnswer(_))), "{lost:?}");
    assert_eq!(read_back, 0);
    eventually("the late write", async || {
        fixture.row("k").await.value == "x"
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_late_write_is_checked_when_it_takes_effect() {
    // A process writes a claim, gets no answer, and cancels the claim; the cancellation is written
    // first. The delayed write then fails its version check and changes nothing.
    let clock = ManualClock::install();
    let fixture = Fixture::start(PlatformSettings::default()).await;
    fixture.set_faults(late_effects(1)).await;

    let lost = fixture.write("k", 0, "late").await;
    fixture.write("k", 0, "cancelled").await.unwrap();
    clock.advance_ms(LATE_EFFECT_MS).await;

    assert!(lost.is_err());
    eventually("the late conflict", async || {
        fixture.counts().await.conflicts == 1
    })
    .await;
    assert_eq!(fixture.row("k").await.value, "cancelled");
}

/// Delay after which late writes take effect.
const LATE_EFFECT_MS: u64 = 3_600_000;

fn late_effects(count: u32) -> PlatformFaults {
    PlatformFaults {
        late_effect_ms: Some(LATE_EFFECT_MS),
        late_effects: Some(count),
        ..PlatformFaults::default()
    }
}

#[tokio::test(start_paused = true)]
async fn calls_above_the_rate_are_refused_until_the_next_second() {
    let clock = ManualClock::install();
    let settings = PlatformSettings {
        reads_per_second: 2,
        writes_per_second: 1,
        ..PlatformSettings::default()
    };
    let fixture = Fixture::start(settings).await;

    let reads = [(); 3].map(|()| fixture.read_status());
    let mut statuses = Vec::new();
    for read in reads {
        statuses.push(read.await);
    }
    let writes = [
        fixture.write("k", 0, "x").await.unwrap().status,
        fixture.write("k", 1, "y").await.unwrap().status,
    ];
    clock.advance_ms(1_000).await;

    let refused = StatusCode::TOO_MANY_REQUESTS;
    assert_eq!(statuses, [StatusCode::OK, StatusCode::OK, refused]);
    assert_eq!(writes, [StatusCode::OK, refused]);
    assert_eq!(fixture.read_status().await, StatusCode::OK);
    assert_eq!(fixture.counts().await.refused_rate, 2);
    assert_eq!(fixture.row("k").await.value, "x");
}

#[tokio::test(start_paused = true)]
async fn host_list_changes_become_visible_after_the_lag() {
    // A host is leaving, but the list still shows it as live for a while. Processes that rely on
    // the list alone send it new work until then.
    let clock = ManualClock::install();
    let settings = PlatformSettings {
        host_list_lag_ms: 5_000,
        ..PlatformSettings::default()
    };
    let fixture = Fixture::start(settings).await;
    fixture
        .admin("/admin/hosts", &[host("h2"), host("h1")])
        .await;
    clock.advance_ms(5_000).await;

    let change = serde_json::json!({"host": "h1", "state": "leaving"});
    fixture.admin("/admin/hosts/state", &change).await;
    clock.advance_ms(4_999).await;
    let before = fixture.hosts().await;
    clock.advance_ms(1).await;
    let after = fixture.hosts().await;

    assert_eq!(before.hosts, [host("h1"), host("h2")]);
    assert_eq!(after.hosts[0].state, HostState::Leaving);
    assert!(after.version > before.version);
}

#[tokio::test]
async fn hosts_are_put_and_removed() {
    let fixture = Fixture::start(PlatformSettings::default()).await;

    fixture.admin("/admin/hosts/put", &host("h1")).await;
    let put = fixture.hosts().await;
    let removal = serde_json::json!({"host": "h1"});
    let removed = fixture.admin("/admin/hosts/remove", &removal).await;
    let removed_again = fixture.admin("/admin/hosts/remove", &removal).await;

    assert_eq!(put.hosts, [host("h1")]);
    assert_eq!(removed, StatusCode::NO_CONTENT);
    assert_eq!(removed_again, StatusCode::NOT_FOUND);
    assert_eq!(fixture.hosts().await.hosts, []);
}

#[tokio::test]
async fn a_misspelt_fault_is_refused() {
    let fixture = Fixture::start(PlatformSettings::default()).await;

    let faults = serde_json::json!({"outtage": true});
    let status = fixture.admin("/admin/faults", &faults).await;

    assert_eq!(status, StatusCode::BAD_REQUEST);
}

quickcheck! {
    fn any_key_survives_percent_encoding(key: String) -> bool {
        percent_decode(percent_encode(&key)) == Some(key)
    }
}

/// A thousand processes poll the host list about once a second. If each answer carried a list that
/// the process already has, the list alone would exceed a host's limit for control traffic.
#[tokio::test]
async fn an_unchanged_host_list_is_not_sent_again() {
    // Arrange
    let fixture = Fixture::start(PlatformSettings::default()).await;
    fixture.admin("/admin/hosts/put", &host("h1")).await;
    let known = fixture.hosts().await.version;
    let url = fixture.platform.url(format!("/hosts?after={known}"));

    // Act
    let unchanged = fixture.client.get(&url).await.unwrap();
    fixture.admin("/admin/hosts/put", &host("h2")).await;
    let changed = fixture.client.get(&url).await.unwrap();

    // Assert
    assert_eq!(unchanged.status, StatusCode::NO_CONTENT);
    assert_eq!(changed.status, StatusCode::OK);
    assert_eq!(changed.json::<HostList>().unwrap().hosts.len(), 2);
}
