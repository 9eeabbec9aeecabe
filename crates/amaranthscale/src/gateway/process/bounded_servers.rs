//! This gateway's sends to servers that all gateways together may send so much.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::{ColdAllowance, RecentSends, SendRateLimit, SendShare};

/// Time after a start in which nothing is sent to such servers: an earlier life at the address may
/// have used its share just before it ended.
const QUIET_START: Duration = Duration::from_secs(1);

/// Shares of cold and limited servers, and what was sent by them.
#[derive(Debug)]
pub struct BoundedServers {
    bounds: ColdAllowance,
    started: Duration,
    state: Mutex<State>,
}

/// What a share at a server is worked out from.
#[derive(Debug, Clone)]
pub struct ShareBasis {
    /// What bounds the sum of all gateways' sends to the server.
    pub bound: SendRateLimit,
    /// Servers of its service.
    pub servers: usize,
    /// This gateway's address, by which the others know it.
    pub own: SocketAddr,
    /// All announced gateways; none while this one must not send.
    pub gateways: Arc<[SocketAddr]>,
}

#[derive(Debug, Default)]
struct State {
    sends: RecentSends,
    shares: BTreeMap<ServerIncarnation, KnownShare>,
}

/// A share, which costs a pass over all gateways to work out.
#[derive(Debug)]
struct KnownShare {
    basis: ShareBasis,
    share: SendShare,
}

impl BoundedServers {
    /// No sends yet, by a process that started at a time.
    #[must_use]
    pub fn new(bounds: ColdAllowance, started: Duration) -> Self {
        Self {
            bounds,
            started,
            state: Mutex::default(),
        }
    }

    /// How far operators let cold servers be used.
    #[must_use]
    pub const fn bounds(&self) -> ColdAllowance {
        self.bounds
    }

    /// Whether one more request may be given a server.
    pub fn has_place(&self, server: &ServerIncarnation, basis: &ShareBasis, now: Duration) -> bool {
        let mut state = self.state();
        let share = self.share(&mut state, server, basis, now);
        state.sends.can_choose(server, share, now)
    }

    /// Counts a choice of a server.
    pub fn chosen(&self, server: &ServerIncarnation, basis: &ShareBasis, now: Duration) {
        let mut state = self.state();
        let share = self.share(&mut state, server, basis, now);
        state.sends.record_choice(server, share, now);
    }

    /// Takes one send that is about to leave; false if this gateway's share is used up.
    pub fn try_send(&self, server: &ServerIncarnation, basis: &ShareBasis, now: Duration) -> bool {
        let mut state = self.state();
        let share = self.share(&mut state, server, basis, now);
        state.sends.try_send(server, share, now)
    }

    /// When one more request may be given a server; none if this gateway sends it nothing.
    pub fn next_place(
        &self,
        server: &ServerIncarnation,
        basis: &ShareBasis,
        now: Duration,
    ) -> Option<Duration> {
        let mut state = self.state();
        let share = self.share(&mut state, server, basis, now);
        state.sends.next_choice_at(server, share, now)
    }

    /// Counts a send to a server of a service that may have cold ones, while it is not known to be.
    pub fn sent(&self, server: &ServerIncarnation, now: Duration) {
        self.state().sends.record_send(server, now);
    }

    /// Forgets servers that are gone.
    pub fn retain(&self, is_known: impl Fn(&ServerIncarnation) -> bool) {
        let mut state = self.state();
        state.sends.retain(&is_known);
        state.shares.retain(|server, _| is_known(server));
    }

    fn share(
        &self,
        state: &mut State,
        server: &ServerIncarnation,
        basis: &ShareBasis,
        now: Duration,
    ) -> SendShare {
        if basis.gateways.is_empty() || now.saturating_sub(self.started) < QUIET_START {
            return SendShare::NONE;
        }
        if let Some(known) = state.shares.get(server)
            && known.basis.is_same(basis)
        {
            return known.share;
        }
        let share = basis
            .bound
            .share_of_entry(server, basis.servers, basis.own, &basis.gateways);
        let basis = basis.clone();
        state
            .shares
            .insert(server.clone(), KnownShare { basis, share });
        share
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ShareBasis {
    fn is_same(&self, other: &Self) -> bool {
        // The same list is shared until the gateways change.
        Arc::ptr_eq(&self.gateways, &other.gateways)
            && self.servers == other.servers
            && self.bound == other.bound
    }
}
