//! Competing planners, and the placements that they derive from the settings tree.

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

/// Longer than any test runs.
const LONG_TIMEOUT: Duration = Duration::from_mins(10);
/// Lease renewals within which a former holder would have written.
const RENEWALS: u64 = 3;

/// Starts engines with their sidecars and adds them to the host list.
async fn engines(bench: &OrdersFixture, count: u32) -> Vec<(RunningStandin, Sidecar)> {
    let mut engines = Vec::new();
    for number in 0..count {
        let engine = start_engine(true).await;
        let sidecar = bench.sidecar(number, &engine, LONG_TIMEOUT).await;
        bench.add_host(number, sidecar.address()).await;
        engines.push((engine, sidecar));
    }
    engines
}

fn replicas(placement: &Placement, name: &str) -> Vec<u32> {
    let model = model_id(name);
    let has_model = |number: &u32| {
        let assignment = placement.assignments.get(&host_id(*number));
        assignment.is_some_and(|assignment| assignment.models.contains(&model))
    };
    (0..10).filter(has_model).collect()
}

/// Settings of a planner whose lease outlasts any test, so that on a busy host it does not take
/// the lease back from a successor that is merely slow.
fn long_lease_planner() -> PlannerSettings {
    PlannerSettings {
        lease_duration: LONG_TIMEOUT,
        ..fast_planner_settings()
    }
}

/// Blocks a planner before its write until the test releases it.
struct WriteBarrier {
    reached: Arc<Semaphore>,
    release: Arc<Semaphore>,
}

impl WriteBarrier {
    fn new() -> (Self, WriteGate) {
        let (reached, release) = (Arc::new(Semaphore::new(0)), Arc::new(Semaphore::new(0)));
        let (gate_reached, gate_released) = (Arc::clone(&reached), Arc::clone(&release));
        let gate = WriteGate::new(move || {
            let (gate_reached, gate_released) =
                (Arc::clone(&gate_reached), Arc::clone(&gate_released));
            async move {
                gate_reached.add_permits(1);
                gate_released
                    .acquire()
                    .await
                    .expect("never closed")
                    .forget();
            }
        });
        (Self { reached, release }, gate)
    }

    /// Waits until the planner is about to write its decision.
    async fn reached(&self) {
        self.reached.acquire().await.expect("never closed").forget();
    }

    fn release(&self) {
        self.release.add_permits(1);
    }
}

#[tokio::test]
async fn the_late_write_of_a_paused_planner_fails() {
    // Guards against engines that load models which an operator has removed. A planner is paused
    // between its decision and its write; another acquires the lease but has not written its plan
    // yet; the first resumes, takes its lease as valid, and writes. Only the check of the lease
    // row in that transaction can stop it, as the placement row's version is unchanged.
    let bench = OrdersFixture::start().await;
    let _engines = engines(&bench, 1).await;
    let settings = fast_planner_settings();
    let (first_barrier, gate) = WriteBarrier::new();
    let paused = bench
        .planner(
            "entry-1",
            compiled_tree(1, "old", 1),
            long_lease_planner(),
            gate,
        )
        .await;
    first_barrier.reached().await;
    let (second_barrier, gate) = WriteBarrier::new();
    let successor = bench
        .planner("entry-2", compiled_tree(2, "new", 1), settings, gate)
        .await;
    second_barrier.reached().await;

    first_barrier.release();
    poll_until("the paused planner detects the lost lease", async || {
        paused.counter("lease_lost") == 1
    })
    .await;
    assert_eq!(bench.placement().await.0.version, RowVersion::default());
    second_barrier.release();
    poll_until("the successor writes its plan", async || {
        successor.counter("placed") == 1
    })
    .await;
    let renewed = successor.counter("lease_written");
    poll_until("the successor renews its lease", async || {
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
    // As above, but the successor has written its plan before the paused planner resumes.
    let bench = OrdersFixture::start().await;
    let _engines = engines(&bench, 1).await;
    let settings = fast_planner_settings();
    let (first_barrier, gate) = WriteBarrier::new();
    let paused = bench
        .planner(
            "entry-1",
            compiled_tree(1, "old", 1),
            long_lease_planner(),
            gate,
        )
        .await;
    first_barrier.reached().await;
    let open_gate = WriteGate::default();
    let successor = bench
        .planner("entry-2", compiled_tree(2, "new", 1), settings, open_gate)
        .await;
    poll_until("the successor writes its plan", async || {
        successor.counter("placed") == 1
    })
    .await;
    let (before, _) = bench.placement().await;

    first_barrier.release();
    poll_until(
        "the paused planner detects the newer placement",
        async || paused.counter("overtaken") == 1,
    )
    .await;
    let renewed = successor.counter("lease_written");
    poll_until("the successor renews its lease", async || {
        successor.counter("lease_written") >= renewed + RENEWALS
    })
    .await;

    assert_eq!(bench.placement().await.0, before);
    assert_eq!(paused.counter("placed"), 0);
    assert_eq!(paused.handle.status().fencing, None);
}

#[tokio::test]
async fn a_planner_with_an_older_tree_keeps_the_placement() {
    // Guards against an accepted edit that is undone for seconds: the planner that applied it
    // stops, and its successor has not received the edit yet.
    let bench = OrdersFixture::start().await;
    let _engines = engines(&bench, 1).await;
    let (settings, open_gate) = (fast_planner_settings(), WriteGate::default());
    let first = bench
        .planner(
            "entry-1",
            compiled_tree(2, "new", 1),
            settings,
            open_gate.clone(),
        )
        .await;
    let mut statuses = first.handle.statuses();
    let placed = statuses.wait_for(|status| status.placement_version.get() > 0);
    placed.await.expect("the planner runs");
    let (before, _) = bench.placement().await;
    first.handle.stop();

    let successor = bench
        .planner("entry-2", compiled_tree(1, "old", 1), settings, open_gate)
        .await;
    poll_until("the successor holds the lease", async || {
        successor.counter("tree_behind") >= RENEWALS
    })
    .await;
    assert_eq!(bench.placement().await.0, before);

    successor
        .tree
        .send_replace(Arc::new(compiled_tree(3, "newest", 1)));
    poll_until("the successor plans from the newer tree", async || {
        replicas(&bench.placement().await.1, "newest") == [0]
    })
    .await;
}

#[tokio::test]
async fn a_replica_is_replaced_when_its_host_leaves() {
    // Guards against a model that stays one replica short after a host leaves, so that requests
    // queue at the others. The leaving engine must not be ordered to unload, as requests still run
    // on it.
    let bench = OrdersFixture::start().await;
    let engines = engines(&bench, 3).await;
    let (settings, open_gate) = (fast_planner_settings(), WriteGate::default());
    let _planner = bench
        .planner("entry-1", compiled_tree(1, "assay", 2), settings, open_gate)
        .await;
    bench.wait_until_loaded(&engines[0].0, &["assay"]).await;
    bench.wait_until_loaded(&engines[1].0, &["assay"]).await;

    bench.mark_leaving(0).await;
    bench.wait_until_loaded(&engines[2].0, &["assay"]).await;

    let (_, placement) = bench.placement().await;
    assert_eq!(replicas(&placement, "assay"), [1, 2]);
    let leaving_orders = bench.orders(&engines[0].0).await;
    assert_eq!(leaving_orders.models, [model_id("assay")]);
    let is_unload = |order: &EngineOrder| matches!(order, EngineOrder::UnloadModel(_));
    assert!(
        !leaving_orders
            .history
            .iter()
            .any(|record| is_unload(&record.order))
    );
}

#[tokio::test]
async fn engines_keep_their_models_once_the_tree_lists_none() {
    // An operator removes a service's models from the tree to load them by hand. Guards against
    // engines that unload them again because the last placement still lists the engines.
    let bench = OrdersFixture::start().await;
    let engines = engines(&bench, 1).await;
    let (settings, open_gate) = (fast_planner_settings(), WriteGate::default());
    let with_model = compiled_tree(1, "assay", 1);
    let without_model = with_model.tree().apply(&TreeEdit::PutService {
        id: service_id(),
        service: Service::repeatable(),
    });
    let without_model =
        CompiledTree::new(without_model.expect("the edit is valid")).expect("the tree is valid");
    let planner = bench
        .planner("entry-1", with_model, settings, open_gate)
        .await;
    bench.wait_until_loaded(&engines[0].0, &["assay"]).await;

    planner.tree.send_replace(Arc::new(without_model));
    poll_until("the placement names no engine", async || {
        let (row, placement) = bench.placement().await;
        row.version > RowVersion::new(1) && placement.assignments.is_empty()
    })
    .await;
    let (row, _) = bench.placement().await;
    let http = HttpClient::http2();
    let url = format!("http://{}/status", engines[0].1.address());
    poll_until("the sidecar has read the placement", async || {
        let status: Value = http.get_json(&url).await.expect("the sidecar answers");
        status["engine"]["placement_version"] == row.version.get()
    })
    .await;

    let orders = bench.orders(&engines[0].0).await;
    assert_eq!(orders.models, [model_id("assay")]);
    assert_eq!(orders.history.len(), 1);
}

#[tokio::test]
async fn concurrent_loads_stay_within_the_limit_of_the_weight_store() {
    // Guards against an edit after which no engine serves the new model for minutes: all load it
    // at once, and the weight store limits the rate of each.
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
    let open_gate = WriteGate::default();
    let planner = bench
        .planner("entry-1", compiled_tree(1, "assay", 4), settings, open_gate)
        .await;

    for loaded in 0..4 {
        poll_until("one more replica is placed", async || {
            replicas(&bench.placement().await.1, "assay").len() > loaded
        })
        .await;
        let renewed = planner.counter("lease_written");
        poll_until("the planner has had time to place another", async || {
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
    // Guards against an edit without effect because a step between the edit, the planner, the
    // placement, the sidecars and the engines is missing.
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
