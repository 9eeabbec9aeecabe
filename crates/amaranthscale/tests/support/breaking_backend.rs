//! A fake backend server that closes the connection in the middle of its answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Announces 100 bytes and contains fewer.
const BROKEN_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nfirst half";

/// A fake backend server that closes the connection in the middle of its answer.
#[derive(Debug)]
pub struct BreakingBackend {
    address: SocketAddr,
    calls: Arc<AtomicUsize>,
}

impl BreakingBackend {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let calls = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&calls);
        tokio::spawn(async move {
            while let Ok((stream, _peer)) = listener.accept().await {
                break_off(stream, &counted).await;
            }
        });
        Self { address, calls }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
}

async fn break_off(mut stream: TcpStream, calls: &AtomicUsize) {
    let mut received = vec![0; 64 * 1024];
    let length = stream.read(&mut received).await.unwrap_or(0);
    if length == 0 || received.starts_with(b"POST /cancel/") {
        return;
    }
    calls.fetch_add(1, Ordering::SeqCst);
    let _ = stream.write_all(BROKEN_ANSWER).await;
    let _ = stream.shutdown().await;
}
