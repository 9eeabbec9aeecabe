//! Faults of a scenario.

/// One change of the simulated servers, table or demand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Fault {
    /// A server's times are multiplied by a factor.
    Speed { server: usize, factor: f64 },
    /// A process ends; its connections are reset.
    Die { server: usize },
    /// A host is lost; its connections get no answer.
    Vanish { server: usize },
    /// A process is suspended; its connections stay open.
    Freeze { server: usize },
    /// A suspended process resumes.
    Thaw { server: usize },
    /// A new server of the same service replaces a lost one.
    Replace { server: usize },
    /// The host list is updated to the current servers.
    PublishHosts,
    /// The platform's table becomes unavailable or available again.
    Store { is_unavailable: bool },
    /// An organisation's demand is multiplied by a factor.
    Demand { organisation: usize, factor: f64 },
    /// Share of the requests with long case files.
    LongFiles { share: f64 },
}
