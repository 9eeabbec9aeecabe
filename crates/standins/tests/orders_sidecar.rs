//! A sidecar's orders to its engine: read first, one at a time, only ever up.

mod support;

use std::time::Duration;

use amaranthscale_core::id::FencingNumber;
use amaranthscale_standins::backend::BackendFaults;
use amaranthscale_standins::engine::{EngineOrder, OrderState};
use amaranthscale_standins::http::HttpClient;
use serde_json::{Value, json};
use support::{OrdersFixture, model_id, poll_until, set_faults, sidecar_counter, start_engine};

/// Silence after which a test's sidecar gives an order up.
const SHORT_SILENCE: Duration = Duration::from_millis(100);
/// Silence that no test reaches.
const LONG_SILENCE: Duration = Duration::from_mins(10);
/// Turns of a sidecar that would have shown a wrong order.
const TURNS: u64 = 5;

fn fences(orders: &OrderState) -> Vec<FencingNumber> {
    orders.history.iter().map(|order| order.fence).collect()
}

#[tokio::test]
async fn a_restarted_sidecar_reads_the_placement_before_its_first_order() {
    // Requests for a model fail on one server. Its sidecar dies and starts again while the table is
    // away, meets an engine whose models it does not know, and orders by what it remembers: nothing.
    // The cause would be an order before the first look at the placement.
    let bench = OrdersFixture::start().await;
    let engine = start_engine(false).await;
    let first = bench.sidecar(0, &engine, LONG_SILENCE).await;
    bench.write_placement(0, &["old"]).await;
    bench.wait_until_loaded(&engine, &["old"]).await;
    first.stop().await;
    let newer = bench.write_placement(0, &["new"]).await;
    let before = bench.orders(&engine).await;

    bench.set_outage(true).await;
    let second = bench.sidecar(0, &engine, LONG_SILENCE).await;
    poll_until("the restarted sidecar fails to read", async || {
        sidecar_counter(&second, "orders.placement_unread") >= TURNS
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

async fn a_silent_engine_ends_with_the_newest_placement(honours_fence: bool) {
    let bench = OrdersFixture::start().await;
    let engine = start_engine(honours_fence).await;
    let frozen = |frozen| BackendFaults {
        frozen: Some(frozen),
        ..BackendFaults::default()
    };
    let faults = engine.url("/admin/faults");
    let sidecar = bench.sidecar(0, &engine, SHORT_SILENCE).await;
    set_faults(&bench.client, &faults, &frozen(true)).await;
    bench.write_placement(0, &["first"]).await;
    poll_until("an order is under way", async || {
        sidecar_counter(&sidecar, "orders.sent") >= 1
    })
    .await;
    bench.write_placement(0, &["second"]).await;
    let newest = bench.write_placement(0, &["third"]).await;

    poll_until("silent orders were replaced", async || {
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
    let turns = sidecar_counter(&sidecar, "orders.sent");
    bench.write_placement(0, &["fourth"]).await;
    bench.wait_until_loaded(&engine, &["fourth"]).await;
    assert!(sidecar_counter(&sidecar, "orders.sent") > turns);
    assert!(fences(&bench.orders(&engine).await).is_sorted());
    sidecar.stop().await;
}

#[tokio::test]
async fn an_engine_that_ignores_fences_never_goes_back() {
    // An engine ends with the older of two placements. It hangs on one order while newer placements
    // come, and when it goes on it carries the old order out last. The cause would be two orders
    // under way at once.
    a_silent_engine_ends_with_the_newest_placement(false).await;
}

#[tokio::test]
async fn an_engine_that_honours_fences_is_not_locked_out() {
    // An engine refuses all orders for good. It hangs on one, its sidecar gives it up and sends a
    // newer one, and what follows carries a number below the highest that the engine has seen.
    a_silent_engine_ends_with_the_newest_placement(true).await;
}

#[tokio::test]
async fn an_engine_that_has_forgotten_is_ordered_again() {
    // Requests for a model fail on one server, while its sidecar shows that all is done. The engine
    // has been told to unload by somebody else, or has restarted.
    let bench = OrdersFixture::start().await;
    let engine = start_engine(false).await;
    let sidecar = bench.sidecar(0, &engine, LONG_SILENCE).await;
    bench.write_placement(0, &["kept"]).await;
    bench.wait_until_loaded(&engine, &["kept"]).await;

    let order = json!({"fence": 1, "order": {"unload_model": "kept"}});
    let unloaded: Value = bench
        .client
        .post_json(engine.url("/orders"), &order)
        .await
        .expect("the engine answers");
    assert_eq!(unloaded["applied"], true);

    bench.wait_until_loaded(&engine, &["kept"]).await;
    sidecar.stop().await;
}

#[tokio::test]
async fn the_status_shows_what_is_loaded() {
    let bench = OrdersFixture::start().await;
    let engine = start_engine(true).await;
    let sidecar = bench.sidecar(0, &engine, LONG_SILENCE).await;
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
async fn a_load_that_fails_holds_up_no_other_and_is_tried_again() {
    // Requests for two models fail on one server, though the engine could load one of them. The
    // load of the first fails, and the order ends there.
    let bench = OrdersFixture::start().await;
    let engine = start_engine(true).await;
    let one_failure = BackendFaults {
        fail_orders: Some(1),
        ..BackendFaults::default()
    };
    set_faults(&bench.client, engine.url("/admin/faults"), &one_failure).await;
    let sidecar = bench.sidecar(0, &engine, LONG_SILENCE).await;

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
    // An engine runs none of its models and nobody sees why. Somebody has ordered it by hand with a
    // number far above the placement's, and it refuses every order since.
    let bench = OrdersFixture::start().await;
    let engine = start_engine(true).await;
    let by_hand = json!({"fence": 1000, "order": {"set_role": "both"}});
    let taken: Value = bench
        .client
        .post_json(engine.url("/orders"), &by_hand)
        .await
        .expect("the engine answers");
    assert_eq!(taken["applied"], true);

    let sidecar = bench.sidecar(0, &engine, LONG_SILENCE).await;
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
