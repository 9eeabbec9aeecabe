//! Control traffic is counted by kind, on the side that sends it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use amaranthscale::connection::{HttpServer, HttpServerLimits, full_body};
use amaranthscale::process::{
    ControlKind, ControlTraffic, Counters, PlatformClient, PlatformClientLimits,
};
use hyper::Response;

const ROW: &str = r#"{"key":"tree/head","version":3,"value":""}"#;
const KINDS: [ControlKind; 11] = [
    ControlKind::TreePoll,
    ControlKind::TreeExchange,
    ControlKind::Edit,
    ControlKind::HostList,
    ControlKind::Hello,
    ControlKind::Claim,
    ControlKind::CostWrite,
    ControlKind::Revoke,
    ControlKind::Fetch,
    ControlKind::Attempt,
    ControlKind::Placement,
];

async fn platform_with_one_row() -> HttpServer {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let answer = |_request| async { Response::new(full_body(ROW)) };
    HttpServer::start(any, HttpServerLimits::default(), answer)
        .await
        .expect("a free port")
}

/// Two kinds under one name would hide which of them exceeds a bound.
#[test]
fn each_kind_has_counters_of_its_own() {
    // Arrange
    let names = KINDS.map(ControlKind::counter_names);

    // Act
    let all = names.iter();
    let distinct: BTreeSet<_> = all
        .flat_map(|names| [names.messages, names.bytes_out, names.bytes_in])
        .collect();

    // Assert
    assert_eq!(distinct.len(), 3 * KINDS.len());
}

#[tokio::test]
async fn calls_to_the_platform_are_counted_by_their_kind() {
    // Arrange
    let server = platform_with_one_row().await;
    let counters = Arc::new(Counters::local("test"));
    let platform = PlatformClient::new(server.address(), PlatformClientLimits::default())
        .with_traffic(ControlTraffic::new(Arc::clone(&counters)));

    // Act
    let polled = platform
        .with_kind(ControlKind::TreePoll)
        .row("tree/head")
        .await;
    let claimed = platform.with_kind(ControlKind::Claim).row("claim/a").await;

    // Assert
    assert!(polled.is_ok() && claimed.is_ok());
    let totals = counters.totals();
    let path_bytes = "/table/row?key=tree%2Fhead".len() as u64;
    assert_eq!(totals["control.tree_poll.messages"], 1);
    assert_eq!(totals["control.tree_poll.bytes_out"], path_bytes);
    assert_eq!(totals["control.tree_poll.bytes_in"], ROW.len() as u64);
    assert_eq!(totals["control.claim.messages"], 1);
}
