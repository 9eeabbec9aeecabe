//! Edits of the settings tree under failure: accepted edits are in force everywhere and stay so.

mod support;

use std::time::Duration;

use amaranthscale_standins::http::HttpReply;
use serde_json::{Value, json};
use support::{
    BackendPlan, BasinPlan, DRIVER_TRIAL_KEY, DeltaBasin, EntryProcess, Request, await_answer,
    pause, resume, wait_until,
};

/// Rounds of two operators against each other.
const ROUNDS: u64 = 8;
/// Requests that wait at a frozen entry.
const WAITING_REQUESTS: usize = 24;
/// Settings under which an entry that was frozen for a second doubts its tree.
const QUICK_POLLS: &str = "[tree]\npoll_ms = 300\nexchange_ms = 300\n";
/// Time for which an entry is frozen; longer than three polls.
const FROZEN: Duration = Duration::from_secs(2);

/// Some entries and one host of the grower ledger.
async fn basin(entries: u32) -> DeltaBasin {
    DeltaBasin::start(BasinPlan::new([BackendPlan::ledger(1)]).with_entries(entries)).await
}

/// Sets the weight of a trial organisation.
fn set_weight(weight: u64) -> Value {
    json!({"kind": "set", "id": "driver-trial", "field": "weight", "value": weight.to_string()})
}

/// Suspends a trial organisation.
fn suspend() -> Value {
    json!({"kind": "suspend", "id": "driver-trial"})
}

/// A request of that organisation.
fn drivers_request(marker: &str) -> Request {
    Request::balance(marker).with_bearer(DRIVER_TRIAL_KEY)
}

/// Makes an edit that must be accepted.
async fn accepted(entry: &EntryProcess, expected_version: u64, edit: &Value) {
    let reply = entry.edit(expected_version, "lena", edit).await;
    let body: Value = reply.success().expect("accepted").json().expect("JSON");
    assert_eq!(body["version"], expected_version + 1);
}

/// Whether an operator's edit was accepted; if not, it must show the conflict with the other's.
fn is_accepted(reply: &HttpReply, other: &str) -> bool {
    if reply.status.is_success() {
        return true;
    }
    let body: Value = reply.json().expect("an explanation in JSON");
    assert_eq!(body["code"], 5001, "{body}");
    assert_eq!(body["other_edits"][0]["by"], other, "{body}");
    false
}

/// Two operators change the same organisation at the same moment, at two entries. One is told that
/// it is done, the other sees whose edit came first and what it was; nothing is overwritten unseen.
#[tokio::test]
async fn two_operators_edit_the_same_version() {
    let basin = basin(2).await;
    let [north, south] = [&basin.entries[0], &basin.entries[1]];
    for version in 1..=ROUNDS {
        let (north_edit, south_edit) = (set_weight(2 * version), set_weight(2 * version + 1));

        let (north_reply, south_reply) = tokio::join!(
            north.edit(version, "lena", &north_edit),
            south.edit(version, "omar", &south_edit),
        );

        let is_north = is_accepted(&north_reply, "omar");
        let is_south = is_accepted(&south_reply, "lena");
        assert!(is_north != is_south, "exactly one wins");
        basin.wait_for_tree(version + 1).await;
        let expected = if is_north {
            2 * version
        } else {
            2 * version + 1
        };
        for entry in &basin.entries {
            let tree = entry.tree().await;
            let weight = &tree["organisations"]["driver-trial"]["overrides"]["weight"];
            assert_eq!(weight, expected, "{tree}");
        }
    }
}

/// An operator suspends an organisation, is told that it is done, and the platform goes down before
/// anyone has polled it. The suspension is in force at all entries all the same, and stays.
#[tokio::test]
async fn the_platform_fails_right_after_an_edit() {
    let basin = basin(4).await;
    accepted(&basin.entries[0], 1, &suspend()).await;
    basin.platform.set_outage(true).await;

    basin.wait_for_tree(2).await;
    for entry in &basin.entries {
        let answer = drivers_request("suspended").send(entry).await.unwrap();
        assert_eq!((answer.code, answer.ran.as_str()), (2003, "no"));
    }
    basin.backends[0].wait_for_tree(2).await;
    basin.platform.set_outage(false).await;
    let next = set_weight(9);
    accepted(&basin.entries[3], 2, &next).await;

    basin.wait_for_tree(3).await;
    let answer = drivers_request("still").send(&basin.entries[1]).await;
    assert_eq!(answer.unwrap().code, 2003);
    assert!(basin.executions().await.is_empty());
}

/// A new entry host comes up while the table is away. It takes no request before it has learned the
/// tree in force, and then learns it from its peers, edits of the last minute included.
#[tokio::test]
async fn an_entry_starts_while_the_table_is_away() {
    let mut basin = basin(2).await;
    accepted(&basin.entries[0], 1, &suspend()).await;
    basin.wait_for_tree(2).await;
    basin.platform.set_table_outage(true).await;
    for entry in &mut basin.entries {
        pause(&mut entry.process);
    }
    pause(&mut basin.backends[0].sidecar);

    let newcomer = basin.start_entry("newcomer");
    newcomer.wait_for_hosts(3).await;
    newcomer.wait_for_counter("tree.unanswered", 3).await;
    let was_ready = newcomer.is_ready().await;
    let early = drivers_request("early").send(&newcomer).await.unwrap();
    for entry in &mut basin.entries {
        resume(&mut entry.process);
    }
    resume(&mut basin.backends[0].sidecar);
    newcomer.wait_for_tree(2).await;
    let late = drivers_request("late").send(&newcomer).await.unwrap();
    let balance = Request::balance("balance")
        .send_until_final(&newcomer)
        .await;

    assert!(!was_ready);
    assert_eq!((early.code, early.ran.as_str()), (2208, "no"));
    assert_eq!(late.code, 2003);
    assert!(balance.is_complete(), "{balance:?}");
}

/// The same with the host list away too: the entry knows no peer, so it waits for the platform and
/// refuses everything until then.
#[tokio::test]
async fn an_entry_starts_while_the_whole_platform_is_away() {
    let basin = basin(1).await;
    accepted(&basin.entries[0], 1, &suspend()).await;
    basin.platform.set_outage(true).await;

    let newcomer = basin.start_entry("newcomer");
    newcomer.wait_for_counter("tree.unanswered", 3).await;
    let early = drivers_request("early").send(&newcomer).await.unwrap();
    basin.platform.set_outage(false).await;
    newcomer.wait_for_tree(2).await;
    let late = drivers_request("late").send(&newcomer).await.unwrap();

    assert_eq!((early.code, early.ran.as_str()), (2208, "no"));
    assert_eq!(late.code, 2003);
    assert!(basin.executions().await.is_empty());
}

/// A suspended organisation's requests wait at an entry that was frozen as the operator suspended
/// it. The entry wakes with the old tree in memory, and requests to decide on; it asks for the
/// newest tree before it decides on any of them.
#[tokio::test]
async fn an_entry_frozen_across_an_edit() {
    let plan = BasinPlan::new([BackendPlan::ledger(1)]).with_entry_settings(QUICK_POLLS);
    let mut basin = DeltaBasin::start(plan).await;
    let before = drivers_request("before")
        .send_until_final(&basin.entries[0])
        .await;
    pause(&mut basin.entries[0].process);
    accepted(&basin.entries[1], 1, &suspend()).await;
    let requests = (0..WAITING_REQUESTS).map(|number| drivers_request(&format!("wait-{number}")));
    let asking: Vec<_> = requests
        .map(|one| one.send_in_background(&basin.entries[0]))
        .collect();
    tokio::time::sleep(FROZEN).await;

    resume(&mut basin.entries[0].process);
    let mut codes = Vec::new();
    for one in asking {
        codes.push(await_answer(one).await.code);
    }
    let after = drivers_request("after")
        .send_until_final(&basin.entries[0])
        .await;

    assert!(before.is_complete(), "{before:?}");
    let is_refusal = |code: &u16| matches!(code, 2003 | 2208);
    assert!(
        codes.iter().all(is_refusal),
        "decided by an old tree: {codes:?}"
    );
    assert_eq!(after.code, 2003);
    assert_eq!(basin.executions().await.len(), 1);
}

/// Sidecars and entries that missed edits through a long outage have them all soon after its end.
#[tokio::test]
async fn edits_reach_whoever_was_frozen_through_many() {
    let mut basin = basin(2).await;
    pause(&mut basin.entries[1].process);
    for version in 1..=ROUNDS {
        accepted(&basin.entries[0], version, &set_weight(version + 10)).await;
    }

    resume(&mut basin.entries[1].process);

    basin.wait_for_tree(ROUNDS + 1).await;
    basin.backends[0].wait_for_tree(ROUNDS + 1).await;
    wait_until("both entries show the same tree", async || {
        basin.entries[0].tree().await == basin.entries[1].tree().await
    })
    .await;
}
