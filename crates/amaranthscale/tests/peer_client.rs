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

/// Hosts are replaced all day. Without word of it, an entry would keep a place for every address
/// that it ever called, and its memory would grow until it is restarted. The cause: a connection is
/// found by its address, and nobody asks for the address of a host that is gone.
#[tokio::test]
async fn connections_to_hosts_that_are_gone_are_forgotten() {
    // Arrange
    let (stays, goes) = (server().await, server().await);
    let client = PeerClient::new(PeerClientLimits::default());
    for peer in [&stays, &goes] {
        client.post(peer.address(), "/healthz", "").await.unwrap();
    }

    // Act
    client.retain(|address| *address == stays.address());

    // Assert
    assert_eq!(client.kept(), 1);
    assert!(client.post(stays.address(), "/healthz", "").await.is_ok());
}

/// Many requests find the same connection silent at once. They share one new connection in place of
/// opening one each, and a request that comes later takes it too.
#[tokio::test]
async fn requests_that_lost_a_connection_share_the_new_one() {
    // Arrange
    let peer = server().await;
    let client = PeerClient::new(PeerClientLimits::default());
    let silent = client.connection(peer.address()).await.unwrap().number();

    // Act
    let after = client
        .connection_after(peer.address(), Some(silent))
        .await
        .unwrap();
    let also_after = client
        .connection_after(peer.address(), Some(silent))
        .await
        .unwrap();
    let later = client.connection(peer.address()).await.unwrap();

    // Assert
    assert!(after.number() > silent);
    assert_eq!(also_after.number(), after.number());
    assert_eq!(later.number(), after.number());
}

/// A caller asks a host that is gone: the answer says that nothing was sent, so another host may be
/// asked without doubt.
#[tokio::test]
async fn a_peer_that_is_not_there_has_not_seen_the_request() {
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    let client = PeerClient::new(PeerClientLimits::default());

    let error = client.post(nobody, "/healthz", "").await.unwrap_err();

    assert!(!error.may_have_arrived(), "{error}");
}

/// A peer loses power, and many requests to it wait for one connection attempt. Each tried for itself
/// after the one before it, so that the last of twenty waited eight seconds for a peer that was gone.
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

/// A listener whose queue is full, so that the system answers no further connection.
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
    let patience = std::time::Duration::from_millis(100);
    let connect = || std::net::TcpStream::connect_timeout(&address, patience).ok();
    let full = std::iter::from_fn(connect).collect();
    // Lives as long as the process: closed, it would refuse instead.
    std::mem::forget(listener);
    (address, full)
}
