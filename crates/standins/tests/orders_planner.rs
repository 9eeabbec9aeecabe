//! Planners that compete, and the placements that follow from the settings tree.

mod support;

use std::sync::Arc;
use std::time::Duration;

use amaranthscale::entry::{Entry, EntryConfig};
use amaranthscale::sidecar::Sidecar;
use amaranthscale::version::{EditProposal, EditResult, PlannerSettings, WriteGate};
use amaranthscale_core::id::{RowVersion, TreeVersion};
use amaranthscale_core::version::{CompiledTree, Placement, PlanLimits, Service, TreeEdit};
use amaranthscale_standins::backend::BackendFaults;
use amaranthscale_standins::engine::EngineOrder;
use amaranthscale_standins::http::{HttpClient, RunningStandin};
use serde_json::Value;
use support::{
    OrdersFixture, compiled_tree, fast_planner_settings, host_id, model_id, poll_until,
    put_service, service_id, set_faults, start_engine,
};
use tokio::sync::Semaphore;

/// Silence that no test reaches.
const LONG_SILENCE: Duration = Duration::from_mins(10);
/// Renewals of a lease during which a former holder would have written.
const RENEWALS: u64 = 3;

/// Engines with their sidecars, listed as hosts.
async fn engines(bench: &OrdersFixture, count: u32) -> Vec<(RunningStandin, Sidecar)> {
    let mut engines = Vec::new();
    for number in 0..count {
        let engine = start_engine(true).await;
        let sidecar = bench.sidecar(number, &engine, LONG_SILENCE).await;
        bench.add_host(number, sidecar.address()).await;
        engines.push((engine, sidecar));
    }
    engines
}

fn replicas(placement: &Placement, name: &str) -> Vec<u32> {
    let model = model_id(name);
    let holds = |number: &u32| {
        let assignment = placement.assignments.get(&host_id(*number));
        assignment.is_some_and(|assignment| assignment.models.contains(&model))
    };
    (0..10).filter(holds).collect()
}

/// Settings of a planner that believes in its lease for longer than any test lasts, so that on a
/// busy machine it does not take the lease back from a successor that is merely slow.
fn believing_planner() -> PlannerSettings {
    PlannerSettings {
        lease_duration: LONG_SILENCE,
        ..fast_planner_settings()
    }
}

/// A gate that holds a planner before its write until it is released.
struct HeldGate {
    reached: Arc<Semaphore>,
    release: Arc<Semaphore>,
}

impl HeldGate {
    fn new() -> (Self, WriteGate) {
        let (reached, release) = (Arc::new(Semaphore::new(0)), Arc::new(Semaphore::new(0)));
        let (at_gate, opened) = (Arc::clone(&reached), Arc::clone(&release));
        let gate = WriteGate::new(move || {
            let (at_gate, opened) = (Arc::clone(&at_gate), Arc::clone(&opened));
            async move {
                at_gate.add_permits(1);
                opened.acquire().await.expect("never closed").forget();
            }
        });
        (Self { reached, release }, gate)
    }

    /// Waits until the planner has decided and is about to write.
    async fn reached(&self) {
        self.reached.acquire().await.expect("never closed").forget();
    }

    fn release(&self) {
        self.release.add_permits(1);
    }
}

#[tokio::test]
async fn the_late_write_of_a_paused_planner_fails() {
    // Engines are sent to models that an operator has given up. A planner is paused between its
    // decision and its write, another takes the lease over and has yet to write its plan, and the
    // first wakes up still believing in its lease and writes. Only the check of the lease row in
    // that transaction can stop it, as the placement row has not moved.
    let bench = OrdersFixture::start().await;
    let _engines = engines(&bench, 1).await;
    let settings = fast_planner_settings();
    let (first_gate, gate) = HeldGate::new();
    let paused = bench
        .planner(
            "entry-1",
            compiled_tree(1, "old", 1),
            believing_planner(),
            gate,
        )
        .await;
    first_gate.reached().await;
    let (second_gate, gate) = HeldGate::new();
    let successor = bench
        .planner("entry-2", compiled_tree(2, "new", 1), settings, gate)
        .await;
    second_gate.reached().await;

    first_gate.release();
    poll_until("the paused planner learns of it", async || {
        paused.counter("lease_lost") == 1
    })
    .await;
    assert_eq!(bench.placement().await.0.version, RowVersion::default());
    second_gate.release();
    poll_until("the successor writes its plan", async || {
        successor.counter("placed") == 1
    })
    .await;
    let renewed = successor.counter("lease_written");
    poll_until("the successor goes on", async || {
        successor.counter("lease_written") >= renewed + RENEWALS
    })
    .await;

    let (row, placement) = bench.placement().await;
    assert_eq!(row.version, RowVersion::new(1));
    assert_eq!(replicas(&placement, "new"), [0]);
    assert_eq!(paused.counter("placed"), 0);
    assert_eq!(paused.handle.status().fencing, None);
}

#[tokio::test]
async fn a_paused_planner_does_not_overwrite_its_successor() {
    // The same, but the successor has written its plan before the first planner wakes up.
    let bench = OrdersFixture::start().await;
    let _engines = engines(&bench, 1).await;
    let settings = fast_planner_settings();
    let (first_gate, gate) = HeldGate::new();
    let paused = bench
        .planner(
            "entry-1",
            compiled_tree(1, "old", 1),
            believing_planner(),
            gate,
        )
        .await;
    first_gate.reached().await;
    let open = WriteGate::default();
    let successor = bench
        .planner("entry-2", compiled_tree(2, "new", 1), settings, open)
        .await;
    poll_until("the successor writes its plan", async || {
        successor.counter("placed") == 1
    })
    .await;
    let (before, _) = bench.placement().await;

    first_gate.release();
    poll_until("the paused planner learns of it", async || {
        paused.counter("overtaken") == 1
    })
    .await;
    let renewed = successor.counter("lease_written");
    poll_until("the successor goes on", async || {
        successor.counter("lease_written") >= renewed + RENEWALS
    })
    .await;

    assert_eq!(bench.placement().await.0, before);
    assert_eq!(paused.counter("placed"), 0);
    assert_eq!(paused.handle.status().fencing, None);
}

#[tokio::test]
async fn a_planner_with_an_older_tree_undoes_nothing() {
    // An accepted edit is undone for seconds. The planner that had carried it out stops, and its
    // successor has not heard of the edit yet.
    let bench = OrdersFixture::start().await;
    let _engines = engines(&bench, 1).await;
    let (settings, open) = (fast_planner_settings(), WriteGate::default());
    let first = bench
        .planner(
            "entry-1",
            compiled_tree(2, "new", 1),
            settings,
            open.clone(),
        )
        .await;
    let mut statuses = first.handle.statuses();
    let placed = statuses.wait_for(|status| status.placement_version.get() > 0);
    placed.await.expect("the planner lives");
    let (before, _) = bench.placement().await;
    first.handle.stop();

    let successor = bench
        .planner("entry-2", compiled_tree(1, "old", 1), settings, open)
        .await;
    poll_until("the successor holds the lease", async || {
        successor.counter("tree_behind") >= RENEWALS
    })
    .await;
    assert_eq!(bench.placement().await.0, before);

    successor
        .tree
        .send_replace(Arc::new(compiled_tree(3, "newest", 1)));
    poll_until("the successor plans by the newer tree", async || {
        replicas(&bench.placement().await.1, "newest") == [0]
    })
    .await;
}

#[tokio::test]
async fn a_replica_is_replaced_when_its_host_leaves() {
    // A model has one replica too few after a host has left, and requests queue at the others. Nor
    // may the leaving engine be told to unload, as requests still run on it.
    let bench = OrdersFixture::start().await;
    let engines = engines(&bench, 3).await;
    let (settings, open) = (fast_planner_settings(), WriteGate::default());
    let _planner = bench
        .planner("entry-1", compiled_tree(1, "assay", 2), settings, open)
        .await;
    bench.wait_until_loaded(&engines[0].0, &["assay"]).await;
    bench.wait_until_loaded(&engines[1].0, &["assay"]).await;

    bench.mark_leaving(0).await;
    bench.wait_until_loaded(&engines[2].0, &["assay"]).await;

    let (_, placement) = bench.placement().await;
    assert_eq!(replicas(&placement, "assay"), [1, 2]);
    let left = bench.orders(&engines[0].0).await;
    assert_eq!(left.models, [model_id("assay")]);
    let is_unload = |order: &EngineOrder| matches!(order, EngineOrder::UnloadModel(_));
    assert!(!left.history.iter().any(|record| is_unload(&record.order)));
}

#[tokio::test]
async fn engines_are_left_alone_once_no_model_is_wanted() {
    // An operator takes a service's models out of the tree to load them by hand, and its engines
    // unload each of them again. The last placement still names them.
    let bench = OrdersFixture::start().await;
    let engines = engines(&bench, 1).await;
    let (settings, open) = (fast_planner_settings(), WriteGate::default());
    let wanted = compiled_tree(1, "assay", 1);
    let none = wanted.tree().apply(&TreeEdit::PutService {
        id: service_id(),
        service: Service::repeatable(),
    });
    let none = CompiledTree::new(none.expect("the edit holds")).expect("the tree holds");
    let planner = bench.planner("entry-1", wanted, settings, open).await;
    bench.wait_until_loaded(&engines[0].0, &["assay"]).await;

    planner.tree.send_replace(Arc::new(none));
    poll_until("the placement names no engine", async || {
        let (row, placement) = bench.placement().await;
        row.version > RowVersion::new(1) && placement.assignments.is_empty()
    })
    .await;
    let (row, _) = bench.placement().await;
    let http = HttpClient::http2();
    let url = format!("http://{}/status", engines[0].1.address());
    poll_until("the sidecar goes by it", async || {
        let status: Value = http.get_json(&url).await.expect("the sidecar answers");
        status["engine"]["placement_version"] == row.version.get()
    })
    .await;

    let orders = bench.orders(&engines[0].0).await;
    assert_eq!(orders.models, [model_id("assay")]);
    assert_eq!(orders.history.len(), 1);
}

#[tokio::test]
async fn the_pace_of_the_weight_store_is_kept() {
    // After an edit no engine serves the new model for minutes. All load it at once, and the weight
    // store limits them all.
    let bench = OrdersFixture::start().await;
    let engines = engines(&bench, 4).await;
    let frozen = |frozen| BackendFaults {
        frozen: Some(frozen),
        ..BackendFaults::default()
    };
    for (engine, _) in &engines {
        set_faults(&bench.client, engine.url("/admin/faults"), &frozen(true)).await;
    }
    let settings = PlannerSettings {
        limits: PlanLimits { loads_per_store: 1 },
        ..fast_planner_settings()
    };
    let open = WriteGate::default();
    let planner = bench
        .planner("entry-1", compiled_tree(1, "assay", 4), settings, open)
        .await;

    for loaded in 0..4 {
        poll_until("one more replica is placed", async || {
            replicas(&bench.placement().await.1, "assay").len() > loaded
        })
        .await;
        let renewed = planner.counter("lease_written");
        poll_until("the planner has had time for another", async || {
            planner.counter("lease_written") > renewed
        })
        .await;
        let placed = replicas(&bench.placement().await.1, "assay");
        assert_eq!(placed.len(), loaded + 1);
        for number in placed {
            let index = usize::try_from(number).expect("engines are few");
            let faults = engines[index].0.url("/admin/faults");
            set_faults(&bench.client, faults, &frozen(false)).await;
        }
    }
    let status = planner.handle.status();
    assert_eq!((status.waiting_loads, status.overdue_loads.len()), (0, 0));
}

#[tokio::test]
async fn an_edit_of_the_tree_reaches_the_engines() {
    // An operator wants a model on two engines and sees nothing happen. Some link between the
    // edit, the planner, the placement, the sidecars and the engines is missing.
    let bench = OrdersFixture::start().await;
    let engines = engines(&bench, 2).await;
    let config = EntryConfig {
        planner: fast_planner_settings(),
        host_poll_interval: Duration::from_millis(20),
        ..EntryConfig::new(
            "entry-1".parse().expect("a valid name"),
            "zone-1".parse().expect("a valid name"),
            bench.platform.address(),
        )
    };
    let entry = Entry::start(config).await.expect("the entry starts");
    entry.tree().clone().ready().await;

    let edit = EditProposal {
        expected: TreeVersion::default(),
        edit: put_service("assay", 2),
        by: "operator".to_owned(),
    };
    assert!(matches!(
        entry.tree().edit(edit).await,
        EditResult::Accepted(_)
    ));
    for (engine, _) in &engines {
        bench.wait_until_loaded(engine, &["assay"]).await;
    }

    let http = HttpClient::new();
    let url = format!("http://{}/status", entry.address());
    poll_until("the status shows the loads as done", async || {
        let status: Value = http.get_json(&url).await.expect("the entry answers");
        let planner = &status["planner"];
        planner["fencing"].is_number()
            && planner["placement_version"] == 1
            && planner["loads_in_flight"] == 0
    })
    .await;
    assert!(entry.stop(Duration::from_secs(5)).await);
}
