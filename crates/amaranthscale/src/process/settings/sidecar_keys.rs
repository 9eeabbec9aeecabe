//! The keys of a sidecar's settings.

use super::entry_keys::{TIME, number};
use super::{KeyDefault, KeySpec, ValueKind};

use ValueKind::{Address, Flag, LogLevel, Name};

/// Every key of a sidecar.
pub const SIDECAR_KEYS: &[KeySpec] = &[
    KeySpec::required(
        "sidecar",
        "host",
        Name,
        "name of this host in the host list",
    ),
    KeySpec::required("sidecar", "region", Name, "region of this host"),
    KeySpec::required("sidecar", "zone", Name, "availability zone of this host"),
    KeySpec::optional(
        "sidecar",
        "listen",
        "127.0.0.1:0",
        Address,
        "address for the system's other processes; port 0 takes a free one",
    ),
    KeySpec::required("sidecar", "service", Name, "service of the backend server"),
    KeySpec::required(
        "sidecar",
        "backend",
        Address,
        "address of the backend server",
    ),
    KeySpec::required(
        "sidecar",
        "platform",
        Address,
        "address of the platform's HTTP",
    ),
    KeySpec::optional(
        "queue",
        "slots",
        "8",
        number(1, 10_000),
        "attempts at the backend server at once",
    ),
    KeySpec::optional(
        "queue",
        "capacity",
        "256",
        number(1, 1_000_000),
        "attempts that wait; one more is refused",
    ),
    KeySpec::optional(
        "queue",
        "paid_reserve_slots",
        "2",
        number(0, 10_000),
        "slots that trial work leaves free",
    ),
    KeySpec::optional(
        "ledger",
        "max_entries",
        "20000",
        number(1, 10_000_000),
        "attempts that the ledger remembers; one more is refused",
    ),
    KeySpec::optional(
        "ledger",
        "keep_finished_ms",
        "60000",
        TIME,
        "time for which the outcome of a finished attempt can be fetched",
    ),
    KeySpec::optional(
        "drain",
        "drain_ms",
        "30000",
        TIME,
        "longest time that a graceful shutdown waits for running attempts",
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
        "engine",
        "has_orders",
        "false",
        Flag,
        "whether the backend server is an engine that takes orders",
    ),
    KeySpec::optional(
        "engine",
        "honours_fence",
        "false",
        Flag,
        "whether the engine refuses orders with an old fencing number",
    ),
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
];
