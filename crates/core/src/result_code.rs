//! Numbered result codes, the same for callers, operators and between processes.
//!
//! The thousands digit is the kind: 1 complete, 2 refused and not run, 3 ran and failed,
//! 4 unknown, 5 an operator's call refused. docs/RESULT-CODES.md lists all codes; a test compares
//! it with this file.

use std::fmt;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Error for a number that is not a result code.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum InvalidResultCode {
        /// The number is not in the table.
        Unknown(number: u16) {
            display("{number} is no result code: see docs/RESULT-CODES.md")
        }
    }
}

/// Whether a request ran at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It did not run and never will.
    No,
    /// It ran.
    Yes,
    /// It may have run; it is never run again under its key.
    Unknown,
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        })
    }
}

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $text:literal;)*) => {
        /// The final result of a request, or of an operator's call.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "u16", into = "u16")]
        pub enum ResultCode {
            $($(#[$doc])* $name,)*
        }

        impl ResultCode {
            /// Every code, in order of number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The number used in answers, logs and docs.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// The HTTP status sent to callers and operators with this code.
            #[must_use]
            pub const fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// A short description for people.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// The name of this code in metrics.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }
        }

        impl TryFrom<u16> for ResultCode {
            type Error = InvalidResultCode;

            fn try_from(number: u16) -> Result<Self, InvalidResultCode> {
                match number {
                    $($number => Ok(Self::$name),)*
                    _ => Err(InvalidResultCode::Unknown(number)),
                }
            }
        }
    };
}

result_codes! {
    /// The complete answer follows.
    Complete = 1000, 200, "complete";

    /// Body or headers cannot be read.
    MalformedRequest = 2001, 400, "the request cannot be read";
    /// The key is missing or belongs to no organisation.
    WrongKey = 2002, 401, "the key belongs to no organisation";
    /// The organisation is suspended.
    OrganisationSuspended = 2003, 403, "the organisation is suspended";
    /// The pipeline does not exist, or the organisation may not use it.
    UnknownPipeline = 2004, 404, "the pipeline is unknown to this organisation";
    /// The service does not exist.
    UnknownService = 2005, 404, "the service is unknown";
    /// A non-repeatable call has no idempotency key.
    MissingIdempotencyKey = 2006, 400, "this call needs an Idempotency-Key header";
    /// The idempotency key was used before with another body.
    KeyReused = 2007, 422, "the Idempotency-Key was used with another body";
    /// The body exceeds the size limit.
    BodyTooLarge = 2008, 413, "the body is too large";
    /// The deadline is not a number in range.
    BadDeadline = 2009, 400, "the deadline is not a number of milliseconds in range";
    /// The caller took too long to send its request.
    SlowCaller = 2010, 408, "the request did not arrive in time";
    /// The path is not served.
    UnknownPath = 2011, 404, "the path is unknown";
    /// The path does not accept this method.
    WrongMethod = 2012, 405, "the path does not take this method";
    /// No server runs the software version at which the stream began.
    StreamVersionGone = 2013, 503, "no server runs the version at which the stream began";

    /// The time left before the deadline is less than the expected time of the stages.
    DeadlineUnreachable = 2101, 503, "the deadline cannot be met now";
    /// The organisation exceeds its rate limit or its limit on requests in flight.
    OverLimit = 2102, 429, "the organisation is above its limit";
    /// The queue has no capacity left for this class.
    QueueFull = 2103, 503, "the queue is full";
    /// No backend server of the service is available.
    NoBackendServer = 2104, 503, "no backend server can take the request";
    /// The deadline passed while the request was queued.
    ExpiredInQueue = 2105, 504, "the deadline passed before the request ran";
    /// Trial work was dropped in favour of paid work.
    TrialShed = 2106, 503, "trial work gives way now";
    /// The entry has reached its limit of open requests.
    EntryFull = 2107, 503, "the entry holds as many requests as it can";
    /// Operators have evacuated the availability zones of all servers of the service.
    ZonesEvacuated = 2108, 503, "the zones of all its servers are evacuated";
    /// The servers of the service are cold, and their rate limits are used up.
    ServersCold = 2109, 503, "its servers are cold and take no more now";
    /// Several servers crashed while running the same request.
    RequestQuarantined = 2110, 503, "servers crashed under this request; it is held back";
    /// The servers of the service report rate limits, and these are used up.
    ServersLimited = 2111, 503, "its servers are in need and take no more now";
    /// All servers of its service that may be used have requested a backoff.
    ServersBackingOff = 2112, 503, "its servers turn requests away and want none for a while";
    /// It is not known at which software version the stream began.
    StreamOriginUnknown = 2113, 503, "it is not known at which version the stream began";
    /// Several servers crashed while running requests that share a part of their prompts.
    PromptPartQuarantined = 2114, 503, "servers crashed under a part of this prompt; it is held back";

    /// The attempt was addressed to another incarnation of the sidecar.
    WrongIncarnation = 2201, 503, "the attempt names another incarnation";
    /// The attempt arrived after its expiry.
    AttemptExpired = 2202, 503, "the attempt arrived after its expiry";
    /// The attempt was revoked before it ran.
    AttemptRevoked = 2203, 503, "the attempt was revoked";
    /// The backend server is shutting down.
    Leaving = 2204, 503, "the backend server is leaving";
    /// Another attempt holds the claim for the call.
    ClaimLost = 2205, 409, "another attempt holds the claim";
    /// The table was unreachable, so the call was not started.
    TableAway = 2206, 503, "the platform's table cannot be reached";
    /// The sidecar has received this attempt before.
    DuplicateAttempt = 2207, 409, "the attempt is known already";
    /// The process has not loaded the current settings yet.
    NotReady = 2208, 503, "the process is not ready";
    /// The sidecar's ledger is full.
    LedgerFull = 2209, 503, "the ledger is full";
    /// The backend server was unreachable, so the call did not start.
    BackendUnreachable = 2210, 503, "the backend server cannot be reached";
    /// The attempt names a service that this sidecar does not serve.
    WrongService = 2211, 503, "the sidecar serves another service";

    /// The entry's copy of the keys is too old to authenticate a caller.
    KnowledgeStale = 2212, 503, "the entry cannot check the key now";
    /// The entry knows of a newer configuration that it has not applied yet.
    RoutingBehind = 2213, 503, "the entry is still taking a newer configuration";

    /// The backend server answered with an error.
    BackendFailed = 3001, 502, "the backend server answered with an error";
    /// The deadline passed after a stage had run.
    DeadlinePassed = 3002, 504, "the deadline passed while the request ran";
    /// The connection to the backend server broke after the call had started.
    BackendBroke = 3003, 502, "the backend server broke off";
    /// A stage ran, and a later one was refused.
    StageRefused = 3004, 503, "a later stage was refused";
    /// The caller disconnected, so the work was cancelled.
    Cancelled = 3005, 499, "the work was cancelled";

    /// The call may have run; it is never run again under its key.
    OutcomeUnknown = 4001, 500, "the call may have run; it will not be repeated";
    /// The call under this key is still running.
    StillRunning = 4002, 409, "the call under this key is still running";

    /// The answer from the backend server was lost in transit.
    AnswerLost = 4003, 502, "the answer was lost; the call may have run";

    /// The edit was based on an older version of the tree.
    EditConflict = 5001, 409, "another edit came first";
    /// The edit would make the tree invalid.
    EditInvalid = 5002, 422, "the edit does not hold";
    /// No object has this name.
    NotFound = 5003, 404, "nothing is known under this name";
    /// The operator's key is wrong.
    WrongOperatorKey = 5004, 401, "the operator's key is wrong";
    /// The table did not show whether the edit took effect.
    EditUnknown = 5005, 500, "whether the edit took effect is not known";
}

/// First number of the codes of requests that ran and failed.
const FIRST_FAILED: u16 = 3000;
/// First number of the codes of requests that may have run.
const FIRST_UNKNOWN: u16 = 4000;
/// First number of the operators' codes.
const FIRST_OPERATOR: u16 = 5000;

impl ResultCode {
    /// Whether a request with this result ran.
    #[must_use]
    pub const fn ran(self) -> Ran {
        match self.number() {
            1000 | FIRST_FAILED..FIRST_UNKNOWN => Ran::Yes,
            FIRST_UNKNOWN..FIRST_OPERATOR => Ran::Unknown,
            _ => Ran::No,
        }
    }

    /// Whether the same request may succeed if it is sent again later.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(self.number(), 2010 | 2101..2300 | 4002 | 5001)
    }
}

impl From<ResultCode> for u16 {
    fn from(code: ResultCode) -> Self {
        code.number()
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.text())
    }
}
