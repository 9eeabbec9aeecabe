//! Bodies of requests and responses.

use std::convert::Infallible;
use std::error::Error;
use std::io;
use std::pin::{Pin, pin};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, LengthLimitError, Limited};
use hyper::body::Body;
use quick_error::quick_error;

use super::received_parts::ReceivedParts;

/// Body of every response that our servers send.
pub type ResponseBody = UnsyncBoxBody<Bytes, Infallible>;

quick_error! {
    /// A body that could not be read whole.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ReadBodyError {
        /// More bytes than the limit.
        TooLarge(max_bytes: usize) {
            display("the body has more than {max_bytes} bytes")
        }
        /// The body did not arrive in time.
        TimedOut(waited: Duration, received_bytes: usize) {
            display(
                "the body did not arrive within {} ms: {received_bytes} bytes arrived",
                waited.as_millis()
            )
        }
        /// There is no memory to keep it.
        NoMemory(received_bytes: usize) {
            display("there is no memory to keep {received_bytes} bytes of the body now")
        }
        /// The bytes are no body.
        Malformed(reason: String) {
            display("the body is malformed: {reason}")
        }
        /// The connection broke.
        Broken(reason: String) {
            display("the connection broke before the end of the body: {reason}")
        }
    }
}

/// A body without content.
#[must_use]
pub fn empty_body() -> ResponseBody {
    Empty::new().boxed_unsync()
}

/// A body whose whole content is known.
pub fn full_body(content: impl Into<Bytes>) -> ResponseBody {
    Full::new(content.into()).boxed_unsync()
}

/// Reads a whole body, up to a size and within a time.
pub async fn read_body<B>(
    body: B,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, ReadBodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    read_body_if_kept(body, max_bytes, timeout, |_bytes| true).await
}

/// Like [`read_body`]; `may_keep` is called with the memory that the parts received so far take
/// before each part is kept.
pub async fn read_body_if_kept<B>(
    body: B,
    max_bytes: usize,
    timeout: Duration,
    mut may_keep: impl FnMut(usize) -> bool,
) -> Result<Bytes, ReadBodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    check_declared_length(&body, max_bytes)?;
    let mut body = pin!(Limited::new(body, max_bytes));
    let mut received = ReceivedParts::default();
    let reading = async {
        while let Some(part) = next_part(&mut body, max_bytes).await? {
            if !may_keep(received.memory_bytes() + part.len()) {
                return Err(ReadBodyError::NoMemory(received.len() + part.len()));
            }
            received.push(part);
        }
        Ok(())
    };
    match tokio::time::timeout(timeout, reading).await {
        Ok(read) => read.map(|()| received.whole()),
        Err(_elapsed) => Err(ReadBodyError::TimedOut(timeout, received.len())),
    }
}

/// Reads a whole body, up to a size, as long as more of it keeps arriving.
///
/// For bodies whose size has no small bound: a timeout for the whole body would abort a transfer
/// that a slow link still carries, and the restarted transfer would be aborted again.
pub async fn read_body_with_idle_timeout<B>(
    body: B,
    max_bytes: usize,
    idle_timeout: Duration,
) -> Result<Bytes, ReadBodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    check_declared_length(&body, max_bytes)?;
    let mut body = pin!(Limited::new(body, max_bytes));
    let mut received = ReceivedParts::default();
    loop {
        let part = tokio::time::timeout(idle_timeout, next_part(&mut body, max_bytes)).await;
        match part.map_err(|_elapsed| ReadBodyError::TimedOut(idle_timeout, received.len()))?? {
            Some(part) => received.push(part),
            None => return Ok(received.whole()),
        }
    }
}

/// Rejects a body whose declared length is too large, before it is transferred.
fn check_declared_length(body: &impl Body, max_bytes: usize) -> Result<(), ReadBodyError> {
    let declared = body.size_hint().lower();
    if usize::try_from(declared).is_ok_and(|declared| declared <= max_bytes) {
        Ok(())
    } else {
        Err(ReadBodyError::TooLarge(max_bytes))
    }
}

/// The next part of a body's content; none at its end.
async fn next_part<B>(
    body: &mut Pin<&mut Limited<B>>,
    max_bytes: usize,
) -> Result<Option<Bytes>, ReadBodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            if error.is::<LengthLimitError>() {
                ReadBodyError::TooLarge(max_bytes)
            } else if is_malformed(&*error) {
                ReadBodyError::Malformed(error.to_string())
            } else {
                ReadBodyError::Broken(error.to_string())
            }
        })?;
        // Trailers hold no content.
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// Whether a body could not be read because of its bytes, and not because its connection ended.
fn is_malformed(error: &(dyn Error + Send + Sync + 'static)) -> bool {
    let kind = error.source().and_then(|source| source.downcast_ref());
    kind.map(io::Error::kind).is_some_and(|kind| {
        matches!(
            kind,
            io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput
        )
    })
}
