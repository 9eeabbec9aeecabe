//! Connections to other processes.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranthscale::connection::{
    HttpServer, HttpServerLimits, PeerClient, PeerClientLimits, empty_body,
};
use hyper::Response;

async fn server() -> HttpServer {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let answer = |_request| async { Response::new(empty_body()) };
    let started = HttpServer::start(listen, HttpServerLimits::default(), answer).await;
    started.expect("a free port")
}

/// Hosts are replaced all day. A connection is looked up by its address, and nothing looks up the
/// address of a removed host: unless it is dropped, an entry keeps a slot for every address that it
/// ever called, and its memory grows until it is restarted.
#[tokio::test]
async fn connections_to_removed_hosts_are_dropped() {
    // Arrange
    let (remaining, removed) = (server().await, server().await);
    let client = PeerClient::new(PeerClientLimits::default());
    for peer in [&remaining, &removed] {
        client.post(peer.address(), "/healthz", "").await.unwrap();
    }

    // Act
    client.retain(|address| *address == remaining.address());

    // Assert
    assert_eq!(client.peer_count(), 1);
    assert!(
        client
            .post(remaining.address(), "/healthz", "")
            .await
            .is_ok()
    );
}

/// Many requests time out on the same connection at once. They share one new connection instead of
/// opening one each, and a later request uses it too.
#[tokio::test]
async fn requests_that_lost_a_connection_share_the_new_one() {
    // Arrange
    let peer = server().await;
    let client = PeerClient::new(PeerClientLimits::default());
    let timed_out = client.connection(peer.address()).await.unwrap().number();

    // Act
    let after = client
        .connection_after(peer.address(), Some(timed_out))
        .await
        .unwrap();
    let also_after = client
        .connection_after(peer.address(), Some(timed_out))
        .await
        .unwrap();
    let later = client.connection(peer.address()).await.unwrap();

    // Assert
    assert!(after.number() > timed_out);
    assert_eq!(also_after.number(), after.number());
    assert_eq!(later.number(), after.number());
}

/// A request is sent to a host that is gone: the error shows that it did not arrive, so that it may
/// safely be sent to another host.
#[tokio::test]
async fn a_request_to_an_absent_peer_has_not_arrived() {
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    let client = PeerClient::new(PeerClientLimits::default());

    let error = client.post(nobody, "/healthz", "").await.unwrap_err();

    assert!(!error.may_have_arrived(), "{error}");
}

/// A peer loses power, and many requests to it wait for one connection attempt. Each made its own
/// attempt after the previous one, so that the last of twenty waited eight seconds in vain.
#[tokio::test(start_paused = true)]
async fn requests_that_wait_for_one_attempt_share_its_failure() {
    // Arrange
    let (address, _full) = address_that_never_answers();
    let limits = PeerClientLimits::default();
    let client = Arc::new(PeerClient::new(limits));
    let started = tokio::time::Instant::now();

    // Act
    let mut attempts = tokio::task::JoinSet::new();
    for _ in 0..20 {
        let client = Arc::clone(&client);
        attempts.spawn(async move { client.post(address, "/pieces", "").await });
    }
    let ends = attempts.join_all().await;

    // Assert
    assert!(ends.iter().all(Result::is_err));
    assert!(started.elapsed() < limits.connect_timeout * 2);
}

/// A listener whose queue is full, so that the operating system accepts no further connection.
fn address_that_never_answers() -> (SocketAddr, Vec<std::net::TcpStream>) {
    let listener = tokio::net::TcpSocket::new_v4().expect("a listener");
    listener
        .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .expect("a listener");
    let listener = listener
        .listen(1)
        .expect("a listener")
        .into_std()
        .expect("a listener");
    let address = listener.local_addr().expect("a listener");
    let timeout = std::time::Duration::from_millis(100);
    let connect = || std::net::TcpStream::connect_timeout(&address, timeout).ok();
    let full = std::iter::from_fn(connect).collect();
    // Stays open as long as the process: a closed listener would refuse connections instead.
    std::mem::forget(listener);
    (address, full)
}
