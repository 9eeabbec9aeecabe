//! Errors of a sweep.

use std::io;

use amaranthscale_core::id::InvalidName;
use amaranthscale_core::version::TreeError;
use quick_error::quick_error;

use crate::http::HttpError;

quick_error! {
    /// A sweep that ended early.
    #[derive(Debug)]
    pub enum CapacityError {
        /// A stand-in, process or file failed.
        Io(cause: io::Error) {
            display("a stand-in, process or file failed: {cause}")
            source(cause)
            from()
        }
        /// A call failed.
        Http(cause: HttpError) {
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
        /// A host's name is invalid.
        Name(cause: InvalidName) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The tree is invalid.
        Tree(cause: TreeError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// A program did not print its listening address.
        NotStarted(program: String) {
            display("{program} did not say where it listens: build it with cargo build --release, or name its directory with --binaries")
        }
        /// The deployment would have too many processes for this host.
        TooMany(processes: u32, most: u32) {
            display("{processes} processes are too many, at most {most} may run: give fewer sidecars or entries")
        }
        /// A condition was not met in time.
        TimedOut(what: &'static str) {
            display("{what} did not come about in time")
        }
        /// An edit was refused.
        EditRefused(text: String) {
            display("an edit was refused: {text}")
        }
    }
}
