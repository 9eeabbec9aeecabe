//! What a server states about itself with an answer.

use super::server_backoff::{InvalidServerBackoff, ServerBackoff};
use super::server_limit::{InvalidServerLimit, ServerLimit};
use super::server_selector::ServerLoad;

/// What a server states about itself with an answer, whatever the answer is to the request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServerStatement {
    /// Its load.
    pub load: Option<ServerLoad>,
    /// Duration of work on its host now, in percent of the usual one.
    ///
    /// It changes many times a second while a choice made by it lasts for seconds, so it does not
    /// count for estimates of the server's speed.
    pub work_percent: Option<u32>,
    /// Whether it reports a load that cannot be read, of which nothing is used.
    pub has_invalid_load: bool,
    /// The rate that it accepts from all entries together.
    pub limit: Option<Result<ServerLimit, InvalidServerLimit>>,
    /// Whether it is about to leave.
    pub is_leaving: bool,
    /// How long it wants no further requests from this entry.
    pub backoff: Option<Result<ServerBackoff, InvalidServerBackoff>>,
}
