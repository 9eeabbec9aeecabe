//! This gateway's shares of sends to servers whose total rate over all gateways is limited.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::{ColdAllowance, RecentSends, SendRateLimit, SendShare};

/// Time after a start in which nothing is sent to such servers, as an earlier incarnation at the
/// address may have used its share just before it ended.
const STARTUP_QUIET_PERIOD: Duration = Duration::from_secs(1);

/// Shares of cold and rate-limited servers, and the sends counted against them.
#[derive(Debug)]
pub struct SendShares {
    cold_allowance: ColdAllowance,
    started_at: Duration,
    state: Mutex<State>,
}

/// Inputs from which a share is computed.
#[derive(Debug, Clone)]
pub struct ShareInputs {
    /// Limit on the sum of all gateways' sends to the server.
    pub rate_limit: SendRateLimit,
    /// Number of servers of its service.
    pub servers: usize,
    /// This gateway's announced address.
    pub own: SocketAddr,
    /// All announced gateways; empty while this one must not send.
    pub gateways: Arc<[SocketAddr]>,
}

#[derive(Debug, Default)]
struct State {
    sends: RecentSends,
    shares: BTreeMap<ServerIncarnation, CachedShare>,
}

/// A cached share, as computing one takes a pass over all gateways.
#[derive(Debug)]
struct CachedShare {
    inputs: ShareInputs,
    share: SendShare,
}

impl SendShares {
    /// Creates the shares of a process that started at `started_at`.
    #[must_use]
    pub fn new(cold_allowance: ColdAllowance, started_at: Duration) -> Self {
        Self {
            cold_allowance,
            started_at,
            state: Mutex::default(),
        }
    }

    /// How far operators let cold servers exceed their own rate.
    #[must_use]
    pub const fn cold_allowance(&self) -> ColdAllowance {
        self.cold_allowance
    }

    /// Whether a server may be chosen for one more request.
    pub fn can_choose(
        &self,
        server: &ServerIncarnation,
        inputs: &ShareInputs,
        now: Duration,
    ) -> bool {
        let mut state = self.state();
        let share = self.share(&mut state, server, inputs, now);
        state.sends.can_choose(server, share, now)
    }

    /// Counts a choice of a server.
    pub fn record_choice(&self, server: &ServerIncarnation, inputs: &ShareInputs, now: Duration) {
        let mut state = self.state();
        let share = self.share(&mut state, server, inputs, now);
        state.sends.record_choice(server, share, now);
    }

    /// Takes one send from this gateway's share; false if the share is used up.
    pub fn try_send(
        &self,
        server: &ServerIncarnation,
        inputs: &ShareInputs,
        now: Duration,
    ) -> bool {
        let mut state = self.state();
        let share = self.share(&mut state, server, inputs, now);
        state.sends.try_send(server, share, now)
    }

    /// When a server may be chosen for one more request; `None` if this gateway's share is empty.
    pub fn next_choice_at(
        &self,
        server: &ServerIncarnation,
        inputs: &ShareInputs,
        now: Duration,
    ) -> Option<Duration> {
        let mut state = self.state();
        let share = self.share(&mut state, server, inputs, now);
        state.sends.next_choice_at(server, share, now)
    }

    /// Counts a send to a server that is not known to be cold, of a service that may have cold
    /// servers.
    pub fn record_send(&self, server: &ServerIncarnation, now: Duration) {
        self.state().sends.record_send(server, now);
    }

    /// Drops servers that are no longer known.
    pub fn retain(&self, is_known: impl Fn(&ServerIncarnation) -> bool) {
        let mut state = self.state();
        state.sends.retain(&is_known);
        state.shares.retain(|server, _| is_known(server));
    }

    fn share(
        &self,
        state: &mut State,
        server: &ServerIncarnation,
        inputs: &ShareInputs,
        now: Duration,
    ) -> SendShare {
        if inputs.gateways.is_empty() || now.saturating_sub(self.started_at) < STARTUP_QUIET_PERIOD
        {
            return SendShare::NONE;
        }
        if let Some(cached) = state.shares.get(server)
            && cached.inputs.is_equal(inputs)
        {
            return cached.share;
        }
        let share =
            inputs
                .rate_limit
                .share_of_entry(server, inputs.servers, inputs.own, &inputs.gateways);
        let inputs = inputs.clone();
        state
            .shares
            .insert(server.clone(), CachedShare { inputs, share });
        share
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ShareInputs {
    fn is_equal(&self, other: &Self) -> bool {
        // The same allocation is shared until the gateways change.
        Arc::ptr_eq(&self.gateways, &other.gateways)
            && self.servers == other.servers
            && self.rate_limit == other.rate_limit
    }
}
