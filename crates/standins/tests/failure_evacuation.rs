//! Operators evacuate an availability zone and take it back while settlements are made.

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

/// Two entries and two hosts of the grower ledger, each host in its own zone.
async fn basin_with_two_zones() -> DeltaBasin {
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
            zone_status(entry, SECOND_ZONE).await.is_some()
        })
        .await;
    }
    basin
}

/// A zone in an entry's `/status`.
async fn zone_status(entry: &EntryProcess, name: &str) -> Option<Value> {
    let status = entry.status().await;
    let zones = status["decisions"]["zones"].as_array()?.clone();
    zones.into_iter().find(|zone| zone["zone"] == name)
}

async fn edit_zone(basin: &DeltaBasin, kind: &str, zone: &str) -> HttpReply {
    let entry = &basin.entries[0];
    let change = json!({"kind": kind, "zone": zone});
    entry
        .edit(entry.tree_version().await, "lena", &change)
        .await
}

/// Submits an edit of a zone and waits until it is in force at every entry.
async fn apply_edit(basin: &DeltaBasin, kind: &str, name: &str, is_evacuated: bool) {
    edit_zone(basin, kind, name)
        .await
        .success()
        .expect("the edit is accepted");
    for entry in &basin.entries {
        wait_until("the edit is in force", async || {
            let status = zone_status(entry, name).await.expect("a zone with servers");
            status["evacuated_ms"].is_u64() == is_evacuated
        })
        .await;
    }
}

/// Guards against settlements that reach an evacuated zone, fail or run twice: a zone is evacuated
/// and later taken back while settlements are made. Meanwhile they run in the other zone.
#[tokio::test]
async fn an_evacuated_zone_gets_no_settlement_until_it_is_taken_back() {
    let basin = basin_with_two_zones().await;
    let mut checker = AnswerChecker::default();
    basin
        .make_settlements(&mut checker, "before", SETTLEMENTS)
        .await;

    apply_edit(&basin, "evacuate_zone", SECOND_ZONE, true).await;
    let count_before = basin.backends[1].executions().await.len();
    basin
        .make_settlements(&mut checker, "meanwhile", SETTLEMENTS)
        .await;
    assert_eq!(basin.backends[1].executions().await.len(), count_before);

    apply_edit(&basin, "take_back_zone", SECOND_ZONE, false).await;
    apply_edit(&basin, "evacuate_zone", "north-yard", true).await;
    basin
        .make_settlements(&mut checker, "after", SETTLEMENTS)
        .await;
    assert!(basin.backends[1].executions().await.len() > count_before);
    checker.check(&basin.executions().await);
}

/// Guards against calls of unknown outcome: all zones of a service are evacuated, and its calls are
/// refused as not run, to be retried.
#[tokio::test]
async fn calls_are_refused_as_not_run_if_all_zones_are_evacuated() {
    let basin = basin_with_two_zones().await;
    apply_edit(&basin, "evacuate_zone", SECOND_ZONE, true).await;
    apply_edit(&basin, "evacuate_zone", "north-yard", true).await;

    let settlement = Request::settlement("refused");
    let answer = settlement.send(&basin.entries[0]).await.expect("an answer");

    assert_eq!(answer.code, 2108, "{answer:?}");
    assert!(basin.executions().await.is_empty());
}

/// Guards against an edit that is accepted and has no effect, unnoticed: an operator mistypes the
/// zone, or takes back one that is not evacuated.
#[tokio::test]
async fn edits_of_unknown_and_not_evacuated_zones_are_refused() {
    let basin = basin_with_two_zones().await;

    let unknown = edit_zone(&basin, "evacuate_zone", "south-yrad").await;
    let not_evacuated = edit_zone(&basin, "take_back_zone", SECOND_ZONE).await;

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
