//! A fake backend server that closes the connection after its answer, or in the middle of it, or
//! whose answers never end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Announces 100 bytes and contains fewer.
const BROKEN_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nfirst half";

/// A fake backend server that closes the connection after its answer, or in the middle of it.
#[derive(Debug)]
pub struct BreakingBackend {
    address: SocketAddr,
    calls: Arc<AtomicUsize>,
    /// Bytes of answers that never end.
    endless_bytes: Arc<AtomicUsize>,
}

impl BreakingBackend {
    /// Starts a server that breaks off its answers.
    pub async fn start() -> Self {
        Self::start_with(BROKEN_ANSWER, false).await
    }

    /// Starts a server that sends these bytes as each answer; one that `crashes` listens no more
    /// afterwards.
    pub async fn start_with(answer: &'static [u8], crashes: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let calls = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&calls);
        tokio::spawn(async move {
            let mut listener = Some(listener);
            while let Some(listening) = &listener {
                let Ok((stream, _peer)) = listening.accept().await else {
                    return;
                };
                if crashes {
                    listener = None;
                }
                answer_and_close(stream, answer, &counted).await;
            }
        });
        Self {
            address,
            calls,
            endless_bytes: Arc::default(),
        }
    }

    /// Starts a server that sends these bytes as the start of each answer, and a part again and
    /// again until the connection is closed.
    pub async fn start_endless(answer: &'static [u8], part: &'static [u8]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (calls, endless_bytes) = (Arc::new(AtomicUsize::new(0)), Arc::default());
        let (counted, sent_bytes) = (Arc::clone(&calls), Arc::clone(&endless_bytes));
        tokio::spawn(async move {
            while let Ok((stream, _peer)) = listener.accept().await {
                let (counted, sent_bytes) = (Arc::clone(&counted), Arc::clone(&sent_bytes));
                tokio::spawn(async move {
                    answer_without_end(stream, answer, part, &counted, &sent_bytes).await;
                });
            }
        });
        Self {
            address,
            calls,
            endless_bytes,
        }
    }

    /// Bytes of answers that never end which it could send.
    pub fn endless_bytes(&self) -> usize {
        self.endless_bytes.load(Ordering::SeqCst)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
}

/// Reads a request and counts it; false if it is a cancellation, or if there is none.
async fn receive_call(stream: &mut TcpStream, calls: &AtomicUsize) -> bool {
    let mut received = vec![0; 64 * 1024];
    let length = stream.read(&mut received).await.unwrap_or(0);
    let is_call = length > 0 && !received.starts_with(b"POST /cancel/");
    calls.fetch_add(usize::from(is_call), Ordering::SeqCst);
    is_call
}

async fn answer_and_close(mut stream: TcpStream, answer: &[u8], calls: &AtomicUsize) {
    if !receive_call(&mut stream, calls).await {
        return;
    }
    let _ = stream.write_all(answer).await;
    let _ = stream.shutdown().await;
}

async fn answer_without_end(
    mut stream: TcpStream,
    answer: &[u8],
    part: &[u8],
    calls: &AtomicUsize,
    endless_bytes: &AtomicUsize,
) {
    if !receive_call(&mut stream, calls).await {
        return;
    }
    let _ = stream.write_all(answer).await;
    while stream.write_all(part).await.is_ok() {
        endless_bytes.fetch_add(part.len(), Ordering::SeqCst);
    }
}
