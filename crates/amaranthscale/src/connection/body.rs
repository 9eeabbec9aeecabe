//! Bodies of requests and responses.

use std::convert::Infallible;
use std::error::Error;
use std::pin::pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
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
        Slow(waited: Duration, received_bytes: usize) {
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
    let mut body = pin!(Limited::new(body, max_bytes));
    let mut received = BytesMut::new();
    let whole = async {
        while let Some(frame) = body.frame().await {
            // Trailers hold no content.
            if let Ok(data) = frame?.into_data() {
                received.extend_from_slice(&data);
            }
        }
        Ok(())
    };
    let read: Result<Result<(), Box<dyn Error + Send + Sync>>, _> =
        tokio::time::timeout(patience, whole).await;
    match read {
        Ok(Ok(())) => Ok(received.freeze()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ReadBodyError::TooLarge(max_bytes)),
        Ok(Err(error)) => Err(ReadBodyError::Broken(error.to_string())),
        Err(_elapsed) => Err(ReadBodyError::Slow(patience, received.len())),
    }
}
