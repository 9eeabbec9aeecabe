//! Numbered result codes, the same for callers, operators and between processes.
//!
//! The thousands tell the kind: 1 complete, 2 refused and not run, 3 ran and failed, 4 unknown,
//! 5 refused to an operator. The page docs/RESULT-CODES.md lists them all; a test compares the two.

use std::fmt;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// A number that is no result code.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum InvalidResultCode {
        /// Not in the table.
        Unknown(number: u16) {
            display("{number} is no result code: see docs/RESULT-CODES.md")
        }
    }
}

/// Whether a request ran at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It truly did not run, and never will.
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

            /// The number that stands in answers, logs and docs.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// HTTP status that carries this code to callers and operators.
            #[must_use]
            pub const fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// One short sentence for a person.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// The name under which metrics count this code.
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
    /// The whole answer follows.
    Complete = 1000, 200, "complete";

    /// Body or headers cannot be read.
    MalformedRequest = 2001, 400, "the request cannot be read";
    /// No key, or one that belongs to nobody.
    WrongKey = 2002, 401, "the key belongs to no organisation";
    /// The organisation is suspended.
    OrganisationSuspended = 2003, 403, "the organisation is suspended";
    /// No such pipeline, or none that the organisation may use.
    UnknownPipeline = 2004, 404, "the pipeline is unknown to this organisation";
    /// No such service.
    UnknownService = 2005, 404, "the service is unknown";
    /// A call that may not be repeated came without its key.
    MissingIdempotencyKey = 2006, 400, "this call needs an Idempotency-Key header";
    /// The key was used before with another body.
    KeyReused = 2007, 422, "the Idempotency-Key was used with another body";
    /// The body is above the limit.
    BodyTooLarge = 2008, 413, "the body is too large";
    /// The deadline is missing a sensible value.
    BadDeadline = 2009, 400, "the deadline is not a number of milliseconds in range";
    /// The caller took too long to send its request.
    SlowCaller = 2010, 408, "the request did not arrive in time";
    /// The path names nothing.
    UnknownPath = 2011, 404, "the path is unknown";
    /// The path does not take this method.
    WrongMethod = 2012, 405, "the path does not take this method";

    /// What remains of the deadline is below what the stages now take.
    DeadlineUnreachable = 2101, 503, "the deadline cannot be met now";
    /// The organisation is above its limit.
    OverLimit = 2102, 429, "the organisation is above its limit";
    /// The queue has no room for this class.
    QueueFull = 2103, 503, "the queue is full";
    /// No backend server of the service can take work.
    NoBackendServer = 2104, 503, "no backend server can take the request";
    /// The deadline passed while the request waited, before it ran.
    ExpiredInQueue = 2105, 504, "the deadline passed before the request ran";
    /// Trial work gave way to paid work.
    TrialShed = 2106, 503, "trial work gives way now";
    /// The entry has as many requests as it can hold.
    EntryFull = 2107, 503, "the entry holds as many requests as it can";
    /// Operators have evacuated the availability zones of all servers of the service.
    ZonesEvacuated = 2108, 503, "the zones of all its servers are evacuated";
    /// The servers of the service are cold and take no more at once.
    ServersCold = 2109, 503, "its servers are cold and take no more now";
    /// Servers crashed while they ran the same request.
    RequestQuarantined = 2110, 503, "servers crashed under this request; it is held back";
    /// The servers of the service name limits, and all that they take is sent.
    ServersLimited = 2111, 503, "its servers are in need and take no more now";

    /// The attempt was meant for another life of the sidecar.
    WrongIncarnation = 2201, 503, "the attempt names another incarnation";
    /// The attempt arrived after its expiry.
    AttemptExpired = 2202, 503, "the attempt arrived after its expiry";
    /// The attempt was revoked before it ran.
    AttemptRevoked = 2203, 503, "the attempt was revoked";
    /// The backend server is leaving.
    Leaving = 2204, 503, "the backend server is leaving";
    /// Another attempt holds the claim.
    ClaimLost = 2205, 409, "another attempt holds the claim";
    /// The table cannot be reached, so the call was not started.
    TableAway = 2206, 503, "the platform's table cannot be reached";
    /// The sidecar knows this attempt already.
    DuplicateAttempt = 2207, 409, "the attempt is known already";
    /// The process has not yet learned the settings in force.
    NotReady = 2208, 503, "the process is not ready";
    /// The sidecar's ledger has no room.
    LedgerFull = 2209, 503, "the ledger is full";
    /// The backend server could not be reached, so the call did not start.
    BackendUnreachable = 2210, 503, "the backend server cannot be reached";
    /// The attempt names a service that this sidecar does not serve.
    WrongService = 2211, 503, "the sidecar serves another service";

    /// The entry has not heard from the store for too long to believe a key.
    KnowledgeStale = 2212, 503, "the entry cannot check the key now";
    /// The entry knows that there is a newer configuration and has not taken it yet.
    RoutingBehind = 2213, 503, "the entry is still taking a newer configuration";

    /// The backend server answered with an error.
    BackendFailed = 3001, 502, "the backend server answered with an error";
    /// The deadline passed after a stage had run.
    DeadlinePassed = 3002, 504, "the deadline passed while the request ran";
    /// The backend server broke off after it had started.
    BackendBroke = 3003, 502, "the backend server broke off";
    /// A stage had run, and a later one was refused.
    StageRefused = 3004, 503, "a later stage was refused";
    /// The caller went away, so the work was cancelled.
    Cancelled = 3005, 499, "the work was cancelled";

    /// The call may have run; under its key it never runs again.
    OutcomeUnknown = 4001, 500, "the call may have run; it will not be repeated";
    /// The call under this key is still running.
    StillRunning = 4002, 409, "the call under this key is still running";

    /// The answer was lost on its way from the backend server.
    AnswerLost = 4003, 502, "the answer was lost; the call may have run";

    /// The edit was made against an older version of the tree.
    EditConflict = 5001, 409, "another edit came first";
    /// The edit would make a tree that cannot hold.
    EditInvalid = 5002, 422, "the edit does not hold";
    /// Nothing is known under this name.
    NotFound = 5003, 404, "nothing is known under this name";
    /// The operator's key is wrong.
    WrongOperatorKey = 5004, 401, "the operator's key is wrong";
    /// The edit's outcome could not be learned from the table.
    EditUnknown = 5005, 500, "whether the edit took effect is not known";
}

/// First number of the codes that say a request ran and failed.
const FIRST_FAILED: u16 = 3000;
/// First number of the codes that leave open whether a request ran.
const FIRST_UNKNOWN: u16 = 4000;
/// First number of the operators' codes.
const FIRST_OPERATOR: u16 = 5000;

impl ResultCode {
    /// Whether a request that ends with this code ran.
    #[must_use]
    pub const fn ran(self) -> Ran {
        match self.number() {
            1000 | FIRST_FAILED..FIRST_UNKNOWN => Ran::Yes,
            FIRST_UNKNOWN..FIRST_OPERATOR => Ran::Unknown,
            _ => Ran::No,
        }
    }

    /// Whether the same request may do better if it comes again later.
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
