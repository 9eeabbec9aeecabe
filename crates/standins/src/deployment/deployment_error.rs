//! Errors of starting a deployment.

use std::io;

use amaranthscale::entry::StartError;
use amaranthscale::sidecar::SidecarError;
use amaranthscale_core::id::InvalidName;
use quick_error::quick_error;

use crate::http::HttpError;

quick_error! {
    /// A deployment that did not start.
    #[derive(Debug)]
    pub enum DeploymentError {
        /// A stand-in did not start.
        Standin(cause: io::Error) {
            display("a stand-in did not start: {cause}")
            source(cause)
            from()
        }
        /// An entry did not start.
        Entry(cause: StartError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// A sidecar did not start.
        Sidecar(cause: SidecarError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// A call failed.
        Http(cause: HttpError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// A host's name is invalid.
        Name(cause: InvalidName) {
            display("{cause}")
            source(cause)
            from()
        }
        /// A message cannot be serialised.
        Json(cause: serde_json::Error) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The entry refused the tree.
        TreeRefused(text: String) {
            display("the tree was refused: {text}")
        }
        /// An entry did not become ready.
        NotReady {
            display("an entry did not become ready in time")
        }
    }
}
