//! Bounds that protect a server from its clients.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use amaranthscale::connection::{
    ClientLimits, HttpServer, HttpServerLimits, StallLimit, empty_body, full_body,
};
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

/// Far more than the sockets' buffers hold.
const LONG_ANSWER_BYTES: usize = 64 * 1024 * 1024;

async fn server_with_long_answers(ended: &Arc<AtomicU64>) -> HttpServer {
    let limits = HttpServerLimits {
        stall: Some(StallLimit {
            timeout: Duration::from_millis(300),
            ended: Arc::clone(ended),
        }),
        ..HttpServerLimits::default()
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let answer = |_request| async { Response::new(full_body(vec![7; LONG_ANSWER_BYTES])) };
    HttpServer::start(listen, limits, answer).await.unwrap()
}

async fn send_request(server: &HttpServer) -> TcpStream {
    let mut caller = TcpStream::connect(server.address()).await.unwrap();
    let request = b"GET / HTTP/1.1\r\nhost: entry\r\n\r\n";
    caller.write_all(request).await.unwrap();
    caller
}

/// A caller sends a request and reads nothing of the answer. Without a limit the answer would stay
/// in memory for as long as the caller keeps its connection.
#[tokio::test]
async fn a_connection_whose_answer_stays_unread_is_ended() {
    let ended = Arc::<AtomicU64>::default();
    let server = server_with_long_answers(&ended).await;

    let mut caller = send_request(&server).await;
    while ended.load(Ordering::Relaxed) == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let mut rest = Vec::new();
    let _ = caller.read_to_end(&mut rest).await;

    assert!(rest.len() < LONG_ANSWER_BYTES, "the answer ends early");
}

/// A caller reads slowly, but it reads: its answer is delivered whole.
#[tokio::test]
async fn a_connection_whose_answer_is_read_slowly_is_kept() {
    let ended = Arc::<AtomicU64>::default();
    let server = server_with_long_answers(&ended).await;
    let mut caller = send_request(&server).await;
    let mut buffer = vec![0; 8 * 1024 * 1024];
    let mut read = 0;

    while read < LONG_ANSWER_BYTES {
        tokio::time::sleep(Duration::from_millis(60)).await;
        read += caller.read(&mut buffer).await.unwrap();
    }

    assert_eq!(ended.load(Ordering::Relaxed), 0);
}

/// Connections that a server for clients takes in these tests.
const MAX_CONNECTIONS: usize = 2;
const MAX_FIELDS: usize = 4096;
const HEAD_TIMEOUT: Duration = Duration::from_millis(200);

/// Time in which the server answers, longer than a head may take.
const ANSWER_TIME: Duration = Duration::from_millis(400);

async fn server_for_clients(max_connections: usize, answer_time: Duration) -> HttpServer {
    let limits = HttpServerLimits {
        clients: Some(ClientLimits {
            max_connections,
            head_timeout: HEAD_TIMEOUT,
            max_fields: MAX_FIELDS,
        }),
        ..HttpServerLimits::default()
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let answer = move |_request| async move {
        tokio::time::sleep(answer_time).await;
        Response::new(full_body(vec![7; 10]))
    };
    HttpServer::start(listen, limits, answer).await.unwrap()
}

/// A head that stops before its end must not hold its connection for as long as its client likes.
#[tokio::test]
async fn a_connection_whose_head_does_not_end_is_closed() {
    let server = server_for_clients(MAX_CONNECTIONS, ANSWER_TIME).await;
    let mut caller = TcpStream::connect(server.address()).await.unwrap();

    caller.write_all(b"GET / HTTP/1.1\r\nhost:").await.unwrap();
    let read = tokio::time::timeout(10 * HEAD_TIMEOUT, caller.read(&mut [0])).await;

    assert!(read.unwrap().is_ok_and(|count| count == 0));
}

/// Silent clients that take all connections must not keep out the next one.
#[tokio::test]
async fn the_oldest_silent_connection_is_closed_for_a_new_one() {
    let server = server_for_clients(MAX_CONNECTIONS, ANSWER_TIME).await;
    let mut silent = TcpStream::connect(server.address()).await.unwrap();
    let _second = TcpStream::connect(server.address()).await.unwrap();

    let mut caller = send_request(&server).await;
    let mut head = [0; 12];
    caller.read_exact(&mut head).await.unwrap();
    let closed = silent.read(&mut [0]).await;

    assert_eq!(&head, b"HTTP/1.1 200");
    assert!(closed.is_ok_and(|count| count == 0));
}

/// A request that was read must get its answer, also where connections run out.
#[tokio::test]
async fn a_connection_with_a_request_is_not_closed_for_a_new_one() {
    let server = server_for_clients(1, ANSWER_TIME).await;

    let mut first = send_request(&server).await;
    tokio::time::sleep(HEAD_TIMEOUT / 2).await;
    let mut second = TcpStream::connect(server.address()).await.unwrap();
    let mut head = [0; 12];
    first.read_exact(&mut head).await.unwrap();
    let refused = second.read(&mut [0]).await;

    assert_eq!(&head, b"HTTP/1.1 200");
    assert!(refused.is_ok_and(|count| count == 0));
}

/// A caller that keeps its connection and sends the next request later must be served on it.
#[tokio::test]
async fn a_kept_connection_outlasts_the_time_limit_of_a_head() {
    let server = server_for_clients(MAX_CONNECTIONS, ANSWER_TIME).await;
    let mut caller = send_request(&server).await;
    let mut first = [0; 12];
    caller.read_exact(&mut first).await.unwrap();
    let mut rest = vec![0; 1024];
    let _ = caller.read(&mut rest).await.unwrap();

    tokio::time::sleep(3 * HEAD_TIMEOUT).await;
    let request = b"GET / HTTP/1.1\r\nhost: entry\r\n\r\n";
    caller.write_all(request).await.unwrap();
    let mut second = [0; 12];
    caller.read_exact(&mut second).await.unwrap();

    assert_eq!(&second, b"HTTP/1.1 200");
}

/// Requests sent ahead on one connection must not hold up a caller on another one.
#[tokio::test]
async fn requests_sent_ahead_leave_their_turn_to_other_connections() {
    const AHEAD: usize = 2_000;
    let answered = Arc::<AtomicU64>::default();
    let count = Arc::clone(&answered);
    let limits = HttpServerLimits {
        clients: Some(ClientLimits {
            max_connections: 8,
            head_timeout: HEAD_TIMEOUT,
            max_fields: MAX_FIELDS,
        }),
        ..HttpServerLimits::default()
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let answer = move |_request| {
        count.fetch_add(1, Ordering::Relaxed);
        async { Response::new(empty_body()) }
    };
    let server = HttpServer::start(listen, limits, answer).await.unwrap();
    let mut greedy = Vec::new();
    for _ in 0..4 {
        let mut caller = TcpStream::connect(server.address()).await.unwrap();
        let requests = "GET / HTTP/1.1\r\nhost: e\r\n\r\n".repeat(AHEAD);
        caller.write_all(requests.as_bytes()).await.unwrap();
        greedy.push(caller);
    }

    let mut caller = send_request(&server).await;
    let before = answered.load(Ordering::Relaxed);
    let mut head = [0; 12];
    caller.read_exact(&mut head).await.unwrap();
    let during = answered.load(Ordering::Relaxed) - before;

    assert_eq!(&head, b"HTTP/1.1 200");
    assert!(
        during < 100,
        "{during} requests were begun before the caller's"
    );
}

async fn status_of_head_with(server: &HttpServer, fields: usize) -> String {
    let mut caller = TcpStream::connect(server.address()).await.unwrap();
    let fields = "a:1\r\n".repeat(fields);
    let request = format!("GET / HTTP/1.1\r\nhost: e\r\n{fields}\r\n");
    caller.write_all(request.as_bytes()).await.unwrap();
    let mut head = [0; 12];
    caller.read_exact(&mut head).await.unwrap();
    String::from_utf8_lossy(&head).into_owned()
}

/// Many heads of very many fields must not take the event loop, but a single one is within the limits.
#[tokio::test]
async fn few_heads_of_many_fields_are_taken_at_once() {
    const MANY: usize = 2_000;
    const ATTEMPTS: usize = 30;
    let server = server_for_clients(MAX_CONNECTIONS, Duration::ZERO).await;

    let mut answered = 0;
    for _ in 0..ATTEMPTS {
        let head = status_of_head_with(&server, MANY).await;
        answered += usize::from(head == "HTTP/1.1 200");
    }
    let usual = status_of_head_with(&server, 50).await;

    assert!((1..ATTEMPTS).contains(&answered), "{answered} were served");
    assert_eq!(usual, "HTTP/1.1 200");
}
