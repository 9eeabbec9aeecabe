//! The keys of an entry's settings.

use super::{KeyDefault, KeySpec, ValueKind};

use ValueKind::{Address, LogLevel, Name};

/// One hour, the longest time that a setting accepts.
const HOUR_MS: u64 = 60 * 60 * 1000;

pub(super) const fn number(min: u64, max: u64) -> ValueKind {
    ValueKind::Number { min, max }
}

pub(super) const TIME: ValueKind = number(1, HOUR_MS);
pub(super) const PERCENT: ValueKind = number(0, 100);

/// Every key of an entry.
pub const ENTRY_KEYS: &[KeySpec] = &[
    KeySpec::required("entry", "host", Name, "name of this host in the host list"),
    KeySpec::required("entry", "region", Name, "region of this host"),
    KeySpec::required("entry", "zone", Name, "availability zone of this host"),
    KeySpec::optional(
        "entry",
        "listen",
        "127.0.0.1:0",
        Address,
        "address for callers and operators; port 0 takes a free one",
    ),
    KeySpec::optional(
        "entry",
        "peer_listen",
        "127.0.0.1:0",
        Address,
        "address for the system's other processes; port 0 takes a free one",
    ),
    KeySpec::required(
        "entry",
        "platform",
        Address,
        "address of the platform's HTTP",
    ),
    KeySpec::optional(
        "limits",
        "max_body_bytes",
        "8388608",
        number(1, 1 << 30),
        "largest body of a request; a larger one is refused",
    ),
    KeySpec::optional(
        "limits",
        "max_header_bytes",
        "16384",
        number(8192, 1 << 20),
        "largest headers of a request; the HTTP library needs 8192",
    ),
    KeySpec::optional(
        "limits",
        "max_requests",
        "4000",
        number(1, 1_000_000),
        "requests that the entry holds at once; one more is refused",
    ),
    KeySpec::optional(
        "limits",
        "read_timeout_ms",
        "10000",
        TIME,
        "time in which a request has to arrive whole",
    ),
    KeySpec::optional(
        "limits",
        "default_deadline_ms",
        "10000",
        TIME,
        "deadline where neither caller nor tree names one; today the tree always does",
    ),
    KeySpec::optional(
        "limits",
        "max_deadline_ms",
        "120000",
        TIME,
        "longest deadline that a caller may name",
    ),
    KeySpec::optional(
        "tree",
        "poll_ms",
        "2000",
        TIME,
        "time between two looks at the tree's version in the table",
    ),
    KeySpec::optional(
        "tree",
        "exchange_ms",
        "2000",
        TIME,
        "time between two comparisons of the tree with another process",
    ),
    KeySpec::optional(
        "retry",
        "retry_percent",
        "10",
        PERCENT,
        "retries allowed for every hundred first attempts",
    ),
    KeySpec::optional(
        "retry",
        "hedge_percent",
        "1",
        PERCENT,
        "hedges allowed for every hundred first attempts",
    ),
    KeySpec::optional(
        "connections",
        "silence_ms",
        "2000",
        TIME,
        "time for which a connection with open streams may be silent",
    ),
    KeySpec {
        section: "operator",
        name: "key_hash",
        default: KeyDefault::Unset,
        value_kind: ValueKind::KeyHash,
        meaning: "hash of the operators' key; without it operators are refused",
    },
    KeySpec {
        section: "metrics",
        name: "statsd",
        default: KeyDefault::Unset,
        value_kind: ValueKind::Address,
        meaning: "address that counters are sent to as statsd; without it they stand in /status only",
    },
    KeySpec::optional(
        "log",
        "level",
        "info",
        LogLevel,
        "least level of logged lines",
    ),
    KeySpec::optional(
        "weights",
        "attainment_percent",
        "50",
        PERCENT,
        "weight of attainment against cost in routing; no decision uses it yet",
    ),
];
