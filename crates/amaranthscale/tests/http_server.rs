//! Bounds that protect a server from its clients.

use std::net::SocketAddr;

use amaranthscale::connection::{HttpServer, HttpServerLimits, empty_body};
use hyper::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A caller sends endless headers, by mistake or on purpose. Without a bound, an entry would read
/// them all, run out of memory and fail all callers' requests.
#[tokio::test]
async fn headers_above_the_limit_are_refused() {
    // Arrange
    let limits = HttpServerLimits {
        max_header_bytes: 8192,
        ..HttpServerLimits::default()
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let answer = |_request| async { Response::new(empty_body()) };
    let server = HttpServer::start(listen, limits, answer).await.unwrap();
    let mut caller = TcpStream::connect(server.address()).await.unwrap();

    // Act
    let long = "a".repeat(64 * 1024);
    let request = format!("GET / HTTP/1.1\r\nhost: entry\r\nx-long: {long}\r\n\r\n");
    let _ = caller.write_all(request.as_bytes()).await;
    let mut head = [0; 12];
    let read = caller.read_exact(&mut head).await;

    // Assert: the server may close before all was read, but it never answers with success.
    if read.is_ok() {
        assert_eq!(&head, b"HTTP/1.1 431");
    }
}
