//! Operators evacuate an availability zone and take it back, under load.

mod support;

use amaranthscale_standins::http::HttpReply;
use serde_json::{Value, json};
use support::{
    AnswerChecker, BackendPlan, BasinPlan, DeltaBasin, EntryProcess, Request, wait_until,
};

/// Settlements in each part of a test.
const SETTLEMENTS: usize = 12;
/// The zone of the second host.
const SECOND_ZONE: &str = "south-yard";

/// Two entries and two hosts of the grower ledger, the second in a zone of its own.
async fn two_zones() -> DeltaBasin {
    let plan = BasinPlan::new([BackendPlan::ledger(1), BackendPlan::ledger(2)]);
    let basin = DeltaBasin::start(plan).await;
    let second = &basin.backends[1];
    let (host, service) = (second.host(), Some(second.service()));
    basin
        .platform
        .put_host_in(SECOND_ZONE, host, second.address(), service)
        .await;
    for entry in &basin.entries {
        wait_until("the entry knows both zones", async || {
            zone(entry, SECOND_ZONE).await.is_some()
        })
        .await;
    }
    basin
}

/// An entry's line of a zone in `/status`.
async fn zone(entry: &EntryProcess, name: &str) -> Option<Value> {
    let status = entry.status().await;
    let zones = status["decisions"]["zones"].as_array()?.clone();
    zones.into_iter().find(|line| line["zone"] == name)
}

async fn edit(basin: &DeltaBasin, kind: &str, zone: &str) -> HttpReply {
    let entry = &basin.entries[0];
    let change = json!({"kind": kind, "zone": zone});
    entry
        .edit(entry.tree_version().await, "lena", &change)
        .await
}

/// Makes an edit of a zone, and waits until it is in force at every entry.
async fn in_force(basin: &DeltaBasin, kind: &str, name: &str, is_evacuated: bool) {
    edit(basin, kind, name).await.success().expect("accepted");
    for entry in &basin.entries {
        wait_until("the edit is in force", async || {
            let line = zone(entry, name).await.expect("a zone with servers");
            line["evacuated_ms"].is_u64() == is_evacuated
        })
        .await;
    }
}

/// A clerk's zone is evacuated in the middle of a day. Settlements go on elsewhere, none of them
/// reaches the zone, and each runs once; taken back, the zone is used again.
#[tokio::test]
async fn an_evacuated_zone_gets_no_settlement() {
    let basin = two_zones().await;
    let mut checker = AnswerChecker::default();
    basin
        .make_settlements(&mut checker, "before", SETTLEMENTS)
        .await;

    in_force(&basin, "evacuate_zone", SECOND_ZONE, true).await;
    let before = basin.backends[1].executions().await.len();
    basin
        .make_settlements(&mut checker, "meanwhile", SETTLEMENTS)
        .await;
    assert_eq!(basin.backends[1].executions().await.len(), before);

    in_force(&basin, "take_back_zone", SECOND_ZONE, false).await;
    in_force(&basin, "evacuate_zone", "north-yard", true).await;
    basin
        .make_settlements(&mut checker, "after", SETTLEMENTS)
        .await;
    assert!(basin.backends[1].executions().await.len() > before);
    checker.check(&basin.executions().await);
}

/// All zones of a service are evacuated: its calls are refused as not run, and told to come back.
#[tokio::test]
async fn without_a_zone_calls_are_refused_as_not_run() {
    let basin = two_zones().await;
    in_force(&basin, "evacuate_zone", SECOND_ZONE, true).await;
    in_force(&basin, "evacuate_zone", "north-yard", true).await;

    let settlement = Request::settlement("refused");
    let answer = settlement.send(&basin.entries[0]).await.expect("an answer");

    assert_eq!(answer.code, 2108, "{answer:?}");
    assert!(basin.executions().await.is_empty());
}

/// An operator mistypes the zone. Accepted, the edit would have emptied nothing and nobody would know.
#[tokio::test]
async fn a_zone_without_servers_is_refused() {
    let basin = two_zones().await;

    let unknown = edit(&basin, "evacuate_zone", "south-yrad").await;
    let not_evacuated = edit(&basin, "take_back_zone", SECOND_ZONE).await;

    let unknown: Value = unknown.json().expect("an explanation");
    assert_eq!(unknown["code"], 5003, "{unknown}");
    let text = unknown["text"].as_str().expect("a text");
    assert!(
        text.contains("south-yrad") && text.contains(SECOND_ZONE),
        "{text}"
    );
    let not_evacuated: Value = not_evacuated.json().expect("an explanation");
    assert_eq!(not_evacuated["code"], 5002, "{not_evacuated}");
}
