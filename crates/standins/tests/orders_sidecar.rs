//! A sidecar's orders to its engine: sent after reading the placement, one at a time, with rising
//! fencing numbers.

mod support;

use std::time::Duration;

use amaranthscale_core::id::FencingNumber;
use amaranthscale_standins::backend::BackendFaults;
use amaranthscale_standins::engine::{EngineOrder, OrderState};
use amaranthscale_standins::http::HttpClient;
use serde_json::{Value, json};
use support::{OrdersFixture, model_id, poll_until, set_faults, sidecar_counter, start_engine};

/// Time after which a sidecar abandons an unanswered order.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);
/// Longer than any test runs.
const LONG_TIMEOUT: Duration = Duration::from_mins(10);
/// Failed reads of the placement within which a wrong order would have been sent.
const FAILED_READS: u64 = 5;

fn fences(orders: &OrderState) -> Vec<FencingNumber> {
    orders.history.iter().map(|order| order.fence).collect()
}

#[tokio::test]
async fn a_restarted_sidecar_reads_the_placement_before_its_first_order() {
    // Guards against requests that fail on one server because its sidecar sent orders before it
    // read the placement. The sidecar restarts during an outage of the table, has no placement in
    // memory, and does not know which models the engine runs.
    let bench = OrdersFixture::start().await;
    let engine = start_engine(false).await;
    let first = bench.sidecar(0, &engine, LONG_TIMEOUT).await;
    bench.write_placement(0, &["old"]).await;
    bench.wait_until_loaded(&engine, &["old"]).await;
    first.stop().await;
    let newer = bench.write_placement(0, &["new"]).await;
    let before = bench.orders(&engine).await;

    bench.set_outage(true).await;
    let second = bench.sidecar(0, &engine, LONG_TIMEOUT).await;
    poll_until("the restarted sidecar fails to read", async || {
        sidecar_counter(&second, "orders.placement_unread") >= FAILED_READS
    })
    .await;
    assert_eq!(bench.orders(&engine).await, before, "no order yet");
    bench.set_outage(false).await;
    bench.wait_until_loaded(&engine, &["new"]).await;

    let orders = bench.orders(&engine).await;
    let number = FencingNumber::new(newer.version.get());
    let later = &fences(&orders)[before.history.len()..];
    assert!(!later.is_empty() && later.iter().all(|fence| *fence == number));
    second.stop().await;
}

async fn check_frozen_engine_ends_with_newest_placement(honours_fence: bool) {
    let bench = OrdersFixture::start().await;
    let engine = start_engine(honours_fence).await;
    let frozen = |frozen| BackendFaults {
        frozen: Some(frozen),
        ..BackendFaults::default()
    };
    let faults = engine.url("/admin/faults");
    let sidecar = bench.sidecar(0, &engine, SHORT_TIMEOUT).await;
    set_faults(&bench.client, &faults, &frozen(true)).await;
    bench.write_placement(0, &["first"]).await;
    poll_until("an order is in flight", async || {
        sidecar_counter(&sidecar, "orders.sent") >= 1
    })
    .await;
    bench.write_placement(0, &["second"]).await;
    let newest = bench.write_placement(0, &["third"]).await;

    poll_until("unanswered orders were replaced", async || {
        sidecar_counter(&sidecar, "orders.after_silence") >= 2
    })
    .await;
    set_faults(&bench.client, &faults, &frozen(false)).await;
    bench.wait_until_loaded(&engine, &["third"]).await;

    let orders = bench.orders(&engine).await;
    assert!(fences(&orders).is_sorted(), "{:?}", orders.history);
    assert_eq!(
        orders.highest_fence,
        FencingNumber::new(newest.version.get())
    );
    let sent = sidecar_counter(&sidecar, "orders.sent");
    bench.write_placement(0, &["fourth"]).await;
    bench.wait_until_loaded(&engine, &["fourth"]).await;
    assert!(sidecar_counter(&sidecar, "orders.sent") > sent);
    assert!(fences(&bench.orders(&engine).await).is_sorted());
    sidecar.stop().await;
}

#[tokio::test]
async fn an_engine_that_ignores_fences_ends_with_the_newest_placement() {
    // Guards against two orders in flight at once: an engine hangs on one order while newer
    // placements arrive, resumes, executes the old order last, and ends with the older placement.
    check_frozen_engine_ends_with_newest_placement(false).await;
}

#[tokio::test]
async fn an_engine_that_honours_fences_accepts_orders_after_a_timeout() {
    // Guards against an engine that refuses every further order: it hangs on one order, its sidecar
    // abandons that and sends a newer one, and later orders carry a fencing number below the
    // highest that the engine has seen.
    check_frozen_engine_ends_with_newest_placement(true).await;
}

#[tokio::test]
async fn a_model_unloaded_by_others_is_loaded_again() {
    // Guards against requests that fail on one server while its sidecar reports that all orders are
    // done: the engine was ordered to unload by someone else, or has restarted.
    let bench = OrdersFixture::start().await;
    let engine = start_engine(false).await;
    let sidecar = bench.sidecar(0, &engine, LONG_TIMEOUT).await;
    bench.write_placement(0, &["kept"]).await;
    bench.wait_until_loaded(&engine, &["kept"]).await;

    let order = json!({"fence": 1, "order": {"unload_model": "kept"}});
    let reply: Value = bench
        .client
        .post_json(engine.url("/orders"), &order)
        .await
        .expect("the engine answers");
    assert_eq!(reply["applied"], true);

    bench.wait_until_loaded(&engine, &["kept"]).await;
    sidecar.stop().await;
}

#[tokio::test]
async fn the_status_shows_loaded_models_and_the_placement() {
    let bench = OrdersFixture::start().await;
    let engine = start_engine(true).await;
    let sidecar = bench.sidecar(0, &engine, LONG_TIMEOUT).await;
    let row = bench.write_placement(0, &["assay-7b"]).await;
    let http = HttpClient::http2();
    let url = format!("http://{}/status", sidecar.address());

    poll_until("the status shows the model", async || {
        let status: Value = http.get_json(&url).await.expect("the sidecar answers");
        status["engine"]["running"]["models"][0] == "assay-7b"
            && status["engine"]["placement_version"] == row.version.get()
            && status["engine"]["last_failure"].is_null()
    })
    .await;

    assert_eq!(bench.orders(&engine).await.models, [model_id("assay-7b")]);
    sidecar.stop().await;
}

#[tokio::test]
async fn a_failed_load_does_not_block_others_and_is_retried() {
    // Guards against requests for two models that fail on one server although the engine could
    // load one of them: the load of the first fails, and the sidecar stops there.
    let bench = OrdersFixture::start().await;
    let engine = start_engine(true).await;
    let one_failure = BackendFaults {
        fail_orders: Some(1),
        ..BackendFaults::default()
    };
    set_faults(&bench.client, engine.url("/admin/faults"), &one_failure).await;
    let sidecar = bench.sidecar(0, &engine, LONG_TIMEOUT).await;

    bench.write_placement(0, &["a-fails", "b-loads"]).await;
    bench
        .wait_until_loaded(&engine, &["a-fails", "b-loads"])
        .await;

    let orders = bench.orders(&engine).await;
    let loads: Vec<_> = orders.history.iter().map(|record| &record.order).collect();
    let load = |name| EngineOrder::LoadModel(model_id(name));
    assert_eq!(loads, [&load("b-loads"), &load("a-fails")]);
    assert_eq!(sidecar_counter(&sidecar, "orders.refused"), 1);
    sidecar.stop().await;
}

#[tokio::test]
async fn a_refused_order_shows_in_the_status() {
    // Guards against an engine that runs none of its models without a visible cause: an operator
    // sent it an order with a fencing number far above the placement's, and it has refused every
    // order since.
    let bench = OrdersFixture::start().await;
    let engine = start_engine(true).await;
    let by_hand = json!({"fence": 1000, "order": {"set_role": "both"}});
    let reply: Value = bench
        .client
        .post_json(engine.url("/orders"), &by_hand)
        .await
        .expect("the engine answers");
    assert_eq!(reply["applied"], true);

    let sidecar = bench.sidecar(0, &engine, LONG_TIMEOUT).await;
    bench.write_placement(0, &["assay-7b"]).await;
    let http = HttpClient::http2();
    let url = format!("http://{}/status", sidecar.address());
    poll_until("the status shows the refusal", async || {
        let status: Value = http.get_json(&url).await.expect("the sidecar answers");
        status["engine"]["last_failure"] == "the engine refused with status 409"
    })
    .await;

    assert!(bench.orders(&engine).await.models.is_empty());
    sidecar.stop().await;
}
