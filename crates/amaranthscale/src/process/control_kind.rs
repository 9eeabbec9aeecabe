//! Kinds of control messages, which keep the system running, as opposed to the work itself.

use std::fmt;

/// Purpose of a message between processes or to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlKind {
    /// A poll of the settings tree in the table.
    TreePoll,
    /// A comparison of the settings tree with another process.
    TreeExchange,
    /// An edit of the settings tree, on its way to the table or to a peer.
    Edit,
    /// A poll of the host list.
    HostList,
    /// First contact with a sidecar.
    Hello,
    /// A read or write of a claim row, or of a result stored with it.
    Claim,
    /// A write of cost totals.
    CostWrite,
    /// A read or write of lease or placement, or a report of what an engine runs.
    Placement,
    /// A query of an attempt, or its revocation.
    Revoke,
    /// A fetch of an attempt's answer on a new connection.
    Fetch,
    /// An attempt itself: work, counted for comparison.
    Attempt,
}

/// Names of the counters of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlCounterNames {
    /// Requests with their answers.
    pub messages: &'static str,
    /// Bytes sent: path and body of a request, or body of an answer.
    pub bytes_out: &'static str,
    /// Bytes received: body of a request or of an answer.
    pub bytes_in: &'static str,
}

/// Builds the names of one kind's counters.
macro_rules! counter_names {
    ($kind:literal) => {
        ControlCounterNames {
            messages: concat!("control.", $kind, ".messages"),
            bytes_out: concat!("control.", $kind, ".bytes_out"),
            bytes_in: concat!("control.", $kind, ".bytes_in"),
        }
    };
}

impl ControlKind {
    /// Names of the counters of this kind; constant, so that counting allocates nothing.
    #[must_use]
    pub const fn counter_names(self) -> ControlCounterNames {
        match self {
            Self::TreePoll => counter_names!("tree_poll"),
            Self::TreeExchange => counter_names!("tree_exchange"),
            Self::Edit => counter_names!("edit"),
            Self::HostList => counter_names!("host_list"),
            Self::Hello => counter_names!("hello"),
            Self::Claim => counter_names!("claim"),
            Self::CostWrite => counter_names!("cost_write"),
            Self::Placement => counter_names!("placement"),
            Self::Revoke => counter_names!("revoke"),
            Self::Fetch => counter_names!("fetch"),
            Self::Attempt => counter_names!("attempt"),
        }
    }

    /// The name of this kind.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::TreePoll => "tree_poll",
            Self::TreeExchange => "tree_exchange",
            Self::Edit => "edit",
            Self::HostList => "host_list",
            Self::Hello => "hello",
            Self::Claim => "claim",
            Self::CostWrite => "cost_write",
            Self::Placement => "placement",
            Self::Revoke => "revoke",
            Self::Fetch => "fetch",
            Self::Attempt => "attempt",
        }
    }
}

impl fmt::Display for ControlKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
