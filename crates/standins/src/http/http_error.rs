//! Why a call brought no whole answer.

use bytes::Bytes;
use hyper::StatusCode;
use quick_error::quick_error;

quick_error! {
    /// A call that brought no whole answer.
    #[derive(Debug)]
    pub enum HttpError {
        /// The request could not be built.
        BadRequest(cause: hyper::http::Error) {
            display("the request cannot be built: {cause}")
            source(cause)
            from()
        }
        /// No answer came.
        NoAnswer(cause: hyper_util::client::legacy::Error) {
            display("no answer came: {cause}")
            source(cause)
            from()
        }
        /// The answer broke off.
        BrokenOff(status: StatusCode, arrived: Bytes, cause: hyper::Error) {
            display("answer {status} broke off after {} bytes: {cause}", arrived.len())
            source(cause)
        }
        /// A body is not the JSON that was expected.
        BadJson(cause: serde_json::Error) {
            display("the body is not the JSON expected: {cause}")
            source(cause)
            from()
        }
        /// The answer's status is no success.
        Status(status: StatusCode, body: Bytes) {
            display("answered {status}: {}", String::from_utf8_lossy(body))
        }
    }
}
