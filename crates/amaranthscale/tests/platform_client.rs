//! Calls to the platform over a slow link.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale::process::{PlatformClient, PlatformClientLimits};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Timeout of the client.
const TIMEOUT: Duration = Duration::from_millis(300);
/// Parts of an answer, and the time between two of them.
const PARTS: usize = 8;
const PART_INTERVAL: Duration = Duration::from_millis(100);
const PART_BYTES: usize = 1_000;

/// A platform that sends this many parts of each answer and then nothing more.
async fn slow_platform(sent_parts: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("accepted");
            tokio::spawn(async move {
                let mut request = [0; 1_024];
                let _head = stream.read(&mut request).await;
                let length = PARTS * PART_BYTES;
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                let _sent = stream.write_all(head.as_bytes()).await;
                for _ in 0..sent_parts {
                    tokio::time::sleep(PART_INTERVAL).await;
                    let _sent = stream.write_all(&[b'x'; PART_BYTES]).await;
                }
                std::future::pending::<()>().await;
            });
        }
    });
    address
}

/// Guards against a download of the tree's snapshot that is aborted and restarted forever.
#[tokio::test]
async fn an_object_that_takes_longer_than_the_timeout_is_read() {
    let platform = slow_platform(PARTS).await;
    let client = PlatformClient::new(platform, PlatformClientLimits { timeout: TIMEOUT });

    let object = client.object("tree").await.expect("it keeps arriving");

    assert_eq!(object.len(), PARTS * PART_BYTES);
}

/// A platform that reads what is sent to it slowly, and then answers.
async fn slowly_reading_platform(bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accepted");
        let mut buffer = vec![0; bytes / PARTS];
        let mut read = 0;
        while read < bytes {
            tokio::time::sleep(PART_INTERVAL).await;
            read += stream.read(&mut buffer).await.expect("more of the body");
        }
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(answer).await.expect("answered");
        std::future::pending::<()>().await;
    });
    address
}

/// Guards against a snapshot of the tree that is too large to be stored within a second.
#[tokio::test]
async fn an_object_that_takes_longer_than_the_timeout_is_stored() {
    let bytes = 400_000;
    let platform = slowly_reading_platform(bytes).await;
    let client = PlatformClient::new(platform, PlatformClientLimits { timeout: TIMEOUT });

    let stored = client.put_object("tree", vec![0; bytes]).await;

    stored.expect("its upload makes progress");
}

/// Guards against a reader that waits forever for the rest of an answer.
#[tokio::test]
async fn a_stalled_answer_is_an_error() {
    let platform = slow_platform(PARTS / 2).await;
    let client = PlatformClient::new(platform, PlatformClientLimits { timeout: TIMEOUT });

    let read = tokio::time::timeout(PART_INTERVAL * 20, client.object("tree")).await;

    assert!(read.expect("the client gives up").is_err());
}
