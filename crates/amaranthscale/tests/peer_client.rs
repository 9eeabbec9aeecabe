//! Connections to other processes.

use std::net::SocketAddr;

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
