//! Memory of bodies that arrive in parts of any size.
#![expect(
    clippy::unwrap_used,
    reason = "fixtures fail by panicking, like the tests that use them"
)]

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use amaranthscale::connection::{ReadBodyError, read_body, read_body_if_kept};
use bytes::Bytes;
use hyper::body::{Body, Frame};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const MAX_BYTES: usize = 4 * 1024 * 1024;
const TIMEOUT: Duration = Duration::from_secs(5);
/// Memory that a body may take beside twice its content.
const SLACK_BYTES: usize = 64 * 1024;

/// A part in a buffer of its own, as a connection reads it, which is counted as long as it lives.
struct ReadBuffer {
    content: Vec<u8>,
    live_bytes: Arc<AtomicUsize>,
}

impl ReadBuffer {
    /// Memory of the buffer, which has room for framing.
    const fn bytes(content: usize) -> usize {
        content + 64
    }
}

impl AsRef<[u8]> for ReadBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

impl Drop for ReadBuffer {
    fn drop(&mut self) {
        let bytes = Self::bytes(self.content.len());
        self.live_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// A body of parts of these sizes, each read when it is asked for.
struct PartsBody {
    sizes: VecDeque<usize>,
    read: usize,
    live_bytes: Arc<AtomicUsize>,
}

impl PartsBody {
    fn new(sizes: impl IntoIterator<Item = usize>) -> Self {
        Self {
            sizes: sizes.into_iter().collect(),
            read: 0,
            live_bytes: Arc::default(),
        }
    }

    fn content(sizes: &[usize]) -> Vec<u8> {
        (0..sizes.iter().sum()).map(byte_at).collect()
    }
}

/// The byte at an offset of each body.
fn byte_at(offset: usize) -> u8 {
    u8::try_from(offset % 251).unwrap()
}

impl Body for PartsBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(size) = self.sizes.pop_front() else {
            return Poll::Ready(None);
        };
        let content = (self.read..self.read + size).map(byte_at).collect();
        self.read += size;
        let live_bytes = Arc::clone(&self.live_bytes);
        live_bytes.fetch_add(ReadBuffer::bytes(size), Ordering::Relaxed);
        let part = Bytes::from_owner(ReadBuffer {
            content,
            live_bytes,
        });
        Poll::Ready(Some(Ok(Frame::data(part))))
    }
}

/// Guards against uploads in small chunks that take more memory than is reserved for them.
#[tokio::test]
async fn small_parts_take_no_more_than_is_counted() {
    let body = PartsBody::new(vec![8; 100_000]);
    let live_bytes = Arc::clone(&body.live_bytes);
    let mut most = (0, 0);

    let read = read_body_if_kept(body, MAX_BYTES, TIMEOUT, |bytes| {
        most = (bytes, most.1.max(live_bytes.load(Ordering::Relaxed)));
        true
    });
    let content = read.await.unwrap();

    assert_eq!(content.len(), 800_000);
    let (counted, live) = most;
    assert!(live <= SLACK_BYTES, "{live} bytes of read buffers are kept");
    assert!(counted >= content.len(), "{counted} bytes are counted");
    assert!(
        counted <= 2 * content.len() + SLACK_BYTES,
        "{counted} bytes are counted"
    );
}

/// Guards against parts that are each read by themselves, and keep a buffer that is far larger.
#[tokio::test]
async fn medium_parts_do_not_keep_the_buffers_into_which_they_were_read() {
    let sizes = vec![2_100; 400];
    let body = PartsBody::new(sizes.clone());
    let live_bytes = Arc::clone(&body.live_bytes);
    let mut most = 0;

    let read = read_body_if_kept(body, MAX_BYTES, TIMEOUT, |_bytes| {
        most = most.max(live_bytes.load(Ordering::Relaxed));
        true
    });
    let content = read.await.unwrap();

    assert_eq!(content, PartsBody::content(&sizes));
    assert!(most <= SLACK_BYTES, "{most} bytes of read buffers are kept");
}

/// Guards against large and small parts in turn, of which each small one takes a block.
#[tokio::test]
async fn parts_of_changing_sizes_are_counted_by_the_memory_that_they_take() {
    let sizes: Vec<_> = (0..400).flat_map(|_| [2_048, 1]).collect();
    let body = PartsBody::new(sizes.clone());
    let mut counted = 0;

    let read = read_body_if_kept(body, MAX_BYTES, TIMEOUT, |bytes| {
        counted = bytes;
        true
    });
    let content = read.await.unwrap();

    assert_eq!(content, PartsBody::content(&sizes));
    assert!(
        counted <= 2 * content.len() + SLACK_BYTES,
        "{counted} bytes are counted"
    );
}

#[tokio::test]
async fn a_body_that_cannot_be_kept_is_not_read_on() {
    let body = PartsBody::new(vec![8; 100_000]);

    let read = read_body_if_kept(body, MAX_BYTES, TIMEOUT, |bytes| bytes <= 10_000).await;

    let Err(ReadBodyError::NoMemory(received_bytes)) = read else {
        panic!("{read:?}");
    };
    assert!(received_bytes <= 10_000, "{received_bytes} bytes were kept");
}

/// Sizes of parts, from empty to larger than a block.
#[derive(Debug, Clone)]
struct Sizes(Vec<usize>);

impl Arbitrary for Sizes {
    fn arbitrary(random: &mut Gen) -> Self {
        let bounds = [1, 8, 300, 2_047, 2_049, 40_000];
        let sizes = Vec::<u16>::arbitrary(random).into_iter().map(|size| {
            let bound = *random.choose(&bounds).unwrap();
            usize::from(size) % (bound + 1)
        });
        Self(sizes.collect())
    }
}

#[test]
fn parts_of_any_sizes_are_read_in_order() {
    fn is_read_in_order(Sizes(sizes): Sizes) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
            .unwrap();
        let content = PartsBody::content(&sizes);
        let read = runtime.block_on(read_body(PartsBody::new(sizes), MAX_BYTES, TIMEOUT));
        read.unwrap() == content
    }
    QuickCheck::new()
        .tests(200)
        .quickcheck(is_read_in_order as fn(Sizes) -> bool);
}
