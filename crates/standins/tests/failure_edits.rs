//! Edits of the settings tree under failure: an accepted edit comes into force everywhere and stays
//! in force.

mod support;

use std::time::Duration;

use amaranthscale_standins::http::HttpReply;
use serde_json::{Value, json};
use support::{
    BackendPlan, BasinPlan, DRIVER_TRIAL_KEY, DeltaBasin, EntryProcess, Request, await_answer,
    pause, resume, wait_until,
};

/// Rounds of edits.
const ROUNDS: u64 = 8;
/// Requests that wait at a paused entry.
const WAITING_REQUESTS: usize = 24;
/// Settings under which an entry revalidates its tree after a pause of a second.
const SHORT_POLL_INTERVALS: &str = "[tree]\npoll_ms = 300\nexchange_ms = 300\n";
/// Time for which an entry is paused; longer than three polls.
const PAUSE: Duration = Duration::from_secs(2);

/// The given number of entries and one host of the grower ledger.
async fn basin(entries: u32) -> DeltaBasin {
    DeltaBasin::start(BasinPlan::new([BackendPlan::ledger(1)]).with_entries(entries)).await
}

/// An edit that sets the weight of a trial organisation.
fn set_weight(weight: u64) -> Value {
    json!({"kind": "set", "id": "driver-trial", "field": "weight", "value": weight.to_string()})
}

/// An edit that suspends that organisation.
fn suspend() -> Value {
    json!({"kind": "suspend", "id": "driver-trial"})
}

/// A request of that organisation.
fn trial_request(marker: &str) -> Request {
    Request::balance(marker).with_bearer(DRIVER_TRIAL_KEY)
}

/// Submits an edit that must be accepted.
async fn apply_edit(entry: &EntryProcess, expected_version: u64, edit: &Value) {
    let reply = entry.edit(expected_version, "lena", edit).await;
    let body: Value = reply.success().expect("accepted").json().expect("JSON");
    assert_eq!(body["version"], expected_version + 1);
}

/// Whether an edit was accepted; if not, the reply must name the other operator's edit.
fn is_accepted(reply: &HttpReply, other: &str) -> bool {
    if reply.status.is_success() {
        return true;
    }
    let body: Value = reply.json().expect("an explanation in JSON");
    assert_eq!(body["code"], 5001, "{body}");
    assert_eq!(body["other_edits"][0]["by"], other, "{body}");
    false
}

/// Guards against an edit that is overwritten unseen: two operators edit the same version of the
/// same organisation at two entries. One edit is accepted; the other reply states whose edit came
/// first and what it was.
#[tokio::test]
async fn one_of_two_concurrent_edits_is_accepted_and_the_other_sees_the_conflict() {
    let basin = basin(2).await;
    let [north, south] = [&basin.entries[0], &basin.entries[1]];
    for version in 1..=ROUNDS {
        let (north_edit, south_edit) = (set_weight(2 * version), set_weight(2 * version + 1));

        let (north_reply, south_reply) = tokio::join!(
            north.edit(version, "lena", &north_edit),
            south.edit(version, "omar", &south_edit),
        );

        let is_north_accepted = is_accepted(&north_reply, "omar");
        let is_south_accepted = is_accepted(&south_reply, "lena");
        assert!(
            is_north_accepted != is_south_accepted,
            "exactly one is accepted"
        );
        basin.wait_for_tree(version + 1).await;
        let expected = if is_north_accepted {
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

/// Guards against an accepted suspension that is not in force at all entries: the platform fails
/// right after the edit, before any other process has polled it.
#[tokio::test]
async fn an_accepted_edit_reaches_all_entries_during_a_platform_outage() {
    let basin = basin(4).await;
    apply_edit(&basin.entries[0], 1, &suspend()).await;
    basin.platform.set_outage(true).await;

    basin.wait_for_tree(2).await;
    for entry in &basin.entries {
        let answer = trial_request("suspended").send(entry).await.unwrap();
        assert_eq!((answer.code, answer.ran.as_str()), (2003, "no"));
    }
    basin.backends[0].wait_for_tree(2).await;
    basin.platform.set_outage(false).await;
    let next = set_weight(9);
    apply_edit(&basin.entries[3], 2, &next).await;

    basin.wait_for_tree(3).await;
    let answer = trial_request("still").send(&basin.entries[1]).await;
    assert_eq!(answer.unwrap().code, 2003);
    assert!(basin.executions().await.is_empty());
}

/// Guards against requests that a new entry decides without the tree in force: it starts while the
/// table is unavailable and its peers are paused. It refuses requests until it has the tree, with
/// the newest edits, from a peer.
#[tokio::test]
async fn an_entry_started_during_a_table_outage_gets_the_tree_from_its_peers() {
    let mut basin = basin(2).await;
    apply_edit(&basin.entries[0], 1, &suspend()).await;
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
    let early = trial_request("early").send(&newcomer).await.unwrap();
    for entry in &mut basin.entries {
        resume(&mut entry.process);
    }
    resume(&mut basin.backends[0].sidecar);
    newcomer.wait_for_tree(2).await;
    let late = trial_request("late").send(&newcomer).await.unwrap();
    let balance = Request::balance("balance")
        .send_until_final(&newcomer)
        .await;

    assert!(!was_ready);
    assert_eq!((early.code, early.ran.as_str()), (2208, "no"));
    assert_eq!(late.code, 2003);
    assert!(balance.is_complete(), "{balance:?}");
}

/// The same failure with the host list unavailable as well: the entry knows no peer, so it refuses
/// all requests until the platform is available.
#[tokio::test]
async fn an_entry_started_during_a_platform_outage_refuses_requests_until_its_end() {
    let basin = basin(1).await;
    apply_edit(&basin.entries[0], 1, &suspend()).await;
    basin.platform.set_outage(true).await;

    let newcomer = basin.start_entry("newcomer");
    newcomer.wait_for_counter("tree.unanswered", 3).await;
    let early = trial_request("early").send(&newcomer).await.unwrap();
    basin.platform.set_outage(false).await;
    newcomer.wait_for_tree(2).await;
    let late = trial_request("late").send(&newcomer).await.unwrap();

    assert_eq!((early.code, early.ran.as_str()), (2208, "no"));
    assert_eq!(late.code, 2003);
    assert!(basin.executions().await.is_empty());
}

/// Guards against decisions with an outdated tree: an entry is paused while an operator suspends an
/// organisation, and resumes with the old tree and waiting requests of that organisation. It must
/// get the newest tree before it decides on any of them.
#[tokio::test]
async fn an_entry_paused_during_an_edit_revalidates_its_tree_before_decisions() {
    let plan = BasinPlan::new([BackendPlan::ledger(1)]).with_entry_settings(SHORT_POLL_INTERVALS);
    let mut basin = DeltaBasin::start(plan).await;
    let before = trial_request("before")
        .send_until_final(&basin.entries[0])
        .await;
    pause(&mut basin.entries[0].process);
    apply_edit(&basin.entries[1], 1, &suspend()).await;
    let requests = (0..WAITING_REQUESTS).map(|number| trial_request(&format!("wait-{number}")));
    let pending: Vec<_> = requests
        .map(|request| request.send_in_background(&basin.entries[0]))
        .collect();
    tokio::time::sleep(PAUSE).await;

    resume(&mut basin.entries[0].process);
    let mut codes = Vec::new();
    for answer in pending {
        codes.push(await_answer(answer).await.code);
    }
    let after = trial_request("after")
        .send_until_final(&basin.entries[0])
        .await;

    assert!(before.is_complete(), "{before:?}");
    let is_refusal = |code: &u16| matches!(code, 2003 | 2208);
    assert!(
        codes.iter().all(is_refusal),
        "decided with an outdated tree: {codes:?}"
    );
    assert_eq!(after.code, 2003);
    assert_eq!(basin.executions().await.len(), 1);
}

/// Guards against missed edits: an entry that was paused during many edits must have them all soon
/// after it resumes.
#[tokio::test]
async fn an_entry_paused_during_many_edits_gets_all_of_them() {
    let mut basin = basin(2).await;
    pause(&mut basin.entries[1].process);
    for version in 1..=ROUNDS {
        apply_edit(&basin.entries[0], version, &set_weight(version + 10)).await;
    }

    resume(&mut basin.entries[1].process);

    basin.wait_for_tree(ROUNDS + 1).await;
    basin.backends[0].wait_for_tree(ROUNDS + 1).await;
    wait_until("both entries show the same tree", async || {
        basin.entries[0].tree().await == basin.entries[1].tree().await
    })
    .await;
}
