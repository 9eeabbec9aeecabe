//! Bodies of requests and responses.

use std::convert::Infallible;
use std::error::Error;
use std::pin::{Pin, pin};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, LengthLimitError, Limited};
use hyper::body::Body;
use quick_error::quick_error;

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
        /// The sender stopped sending.
        TimedOut(waited: Duration, received_bytes: usize) {
            display(
                "the body did not arrive within {} ms: {received_bytes} bytes came",
                waited.as_millis()
            )
        }
        /// The connection broke.
        Broken(reason: String) {
            display("the body broke off: {reason}")
        }
    }
}

/// A body without content.
#[must_use]
pub fn empty_body() -> ResponseBody {
    Empty::new().boxed_unsync()
}

/// A body that is known whole.
pub fn full_body(content: impl Into<Bytes>) -> ResponseBody {
    Full::new(content.into()).boxed_unsync()
}

/// Reads a body whole, within a size and a time.
pub async fn read_body<B>(
    body: B,
    max_bytes: usize,
    patience: Duration,
) -> Result<Bytes, ReadBodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    check_told_length(&body, max_bytes)?;
    let mut body = pin!(Limited::new(body, max_bytes));
    let mut received = Received::default();
    let whole = async {
        while let Some(part) = next_part(&mut body, max_bytes).await? {
            received.parts.push(part);
        }
        Ok(())
    };
    match tokio::time::timeout(patience, whole).await {
        Ok(read) => read.map(|()| received.whole()),
        Err(_elapsed) => Err(ReadBodyError::TimedOut(patience, received.bytes())),
    }
}

/// Reads a body whole, within a size, for as long as more of it arrives.
///
/// For bodies whose size has no small bound: a time for the whole of it would cut off what a slow link
/// still carries, and what begins it anew would be cut off again.
pub async fn read_body_with_idle_timeout<B>(
    body: B,
    max_bytes: usize,
    silence: Duration,
) -> Result<Bytes, ReadBodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    check_told_length(&body, max_bytes)?;
    let mut body = pin!(Limited::new(body, max_bytes));
    let mut received = Received::default();
    loop {
        let part = tokio::time::timeout(silence, next_part(&mut body, max_bytes)).await;
        match part.map_err(|_elapsed| ReadBodyError::TimedOut(silence, received.bytes()))?? {
            Some(part) => received.parts.push(part),
            None => return Ok(received.whole()),
        }
    }
}

/// Content of a body that has come.
#[derive(Debug, Default)]
struct Received {
    parts: Vec<Bytes>,
}

impl Received {
    fn bytes(&self) -> usize {
        self.parts.iter().map(Bytes::len).sum()
    }

    /// All of it; most bodies come in one part, which is not copied.
    fn whole(mut self) -> Bytes {
        match self.parts.len() {
            1 => self.parts.swap_remove(0),
            _ => self.parts.concat().into(),
        }
    }
}

/// Refuses a body whose head tells that it is too large, before it is transferred.
fn check_told_length(body: &impl Body, max_bytes: usize) -> Result<(), ReadBodyError> {
    let told = body.size_hint().lower();
    if usize::try_from(told).is_ok_and(|told| told <= max_bytes) {
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
