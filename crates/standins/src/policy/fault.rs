//! Faults that a scenario switches on and off.

/// One change to the fakes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Fault {
    /// A server's times change by a factor.
    Speed { server: usize, factor: f64 },
    /// A process ends; its connections are reset.
    Die { server: usize },
    /// A host is gone; its connections stay silent.
    Vanish { server: usize },
    /// A process stops for a while, its connections open.
    Freeze { server: usize },
    /// A stopped process goes on.
    Thaw { server: usize },
    /// A new server of the same service takes the place of one that is gone.
    Replace { server: usize },
    /// The host list shows the servers as they now are.
    ShowHosts,
    /// The platform's table goes or comes.
    Store { is_away: bool },
    /// Demand of an organisation changes by a factor.
    Demand { organisation: usize, factor: f64 },
    /// Long case files make up a share of the requests.
    LongFiles { share: f64 },
}
