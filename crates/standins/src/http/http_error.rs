//! Errors of HTTP calls.

use bytes::Bytes;
use hyper::StatusCode;
use quick_error::quick_error;

quick_error! {
    /// An HTTP call without a complete, successful answer.
    #[derive(Debug)]
    pub enum HttpError {
        /// The request could not be built.
        BadRequest(cause: hyper::http::Error) {
            display("the request cannot be built: {cause}")
            source(cause)
            from()
        }
        /// No answer arrived.
        NoAnswer(cause: hyper_util::client::legacy::Error) {
            display("no answer came: {cause}")
            source(cause)
            from()
        }
        /// The answer ended before it was complete.
        Truncated(status: StatusCode, received: Bytes, cause: hyper::Error) {
            display("answer {status} broke off after {} bytes: {cause}", received.len())
            source(cause)
        }
        /// A body is not the expected JSON.
        BadJson(cause: serde_json::Error) {
            display("the body is not the JSON expected: {cause}")
            source(cause)
            from()
        }
        /// The answer's status is not a success.
        Status(status: StatusCode, body: Bytes) {
            display("answered {status}: {}", String::from_utf8_lossy(body))
        }
    }
}
