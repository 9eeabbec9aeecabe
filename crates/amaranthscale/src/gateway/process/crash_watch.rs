//! Watches for servers that crash, and holds back the requests that crash them.
//!
//! A connection that ends in the middle of an answer says little by itself. Whether the server
//! crashed is learnt by a connection to its address that is refused, or by its entry that is gone
//! from the list of servers. What was lost with it is told to all gateways through the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::{EvidenceId, InstanceId, RequestFingerprint, ServerIncarnation};
use amaranthscale_core::process::{
    CrashEvidence, LossAction, LostRuns, Quarantine, QuarantineChange, QuarantineState,
};
use log::{info, warn};
use tokio::sync::{Notify, watch};

use super::super::StoreApi;
use super::super::version::ClusterView;
use super::super::{Clock, RequestContent};
use super::SingleRun;
use crate::connection::{PortState, probe_port};
use crate::process::Counters;

/// Time from a first lost run until the server is looked at: its other connections end meanwhile.
const LOOK_AFTER: Duration = Duration::from_millis(20);
/// Longest wait for a connection to a server that is looked at.
const LOOK_PATIENCE: Duration = Duration::from_millis(350);
/// Time after which a request that waits is looked up again.
const LOOK_AGAIN: Duration = Duration::from_millis(500);
/// Most requests that one row of evidence names; rows are bounded by the store.
const MOST_TOLD_AT_ONCE: usize = 500;

/// What is held back, and what of it is still to be told.
#[derive(Debug)]
pub struct CrashWatch {
    instance: InstanceId,
    clock: Clock,
    cluster_view: Arc<ClusterView>,
    counters: Arc<Counters>,
    store: StoreApi,
    state: Mutex<State>,
    to_tell: Notify,
    changes: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    quarantine: Quarantine,
    lost: LostRuns,
    untold: CrashEvidence,
    /// Number of the evidence that is gathered.
    number: u64,
    /// Evidence to which nothing more is added, to be told.
    closed: Vec<(EvidenceId, CrashEvidence)>,
    /// Claims of this gateway's own runs, which do not count here.
    claims: BTreeSet<EvidenceId>,
}

impl CrashWatch {
    /// A watch that has seen nothing.
    #[must_use]
    pub fn new(
        instance: InstanceId,
        clock: Clock,
        cluster_view: Arc<ClusterView>,
        counters: Arc<Counters>,
        store: StoreApi,
    ) -> Self {
        Self {
            instance,
            clock,
            cluster_view,
            counters,
            store,
            state: Mutex::default(),
            to_tell: Notify::new(),
            changes: watch::Sender::new(0),
        }
    }

    /// Whether a request may be sent to a server; an error says how many crashed under it.
    pub(crate) fn check(&self, content: &RequestContent) -> Result<(), usize> {
        let now = self.clock.now();
        let mut state = self.state();
        let QuarantineState::Quarantined(crashed) = state.verdict(content, now) else {
            return Ok(());
        };
        let request = content.fingerprint();
        if let Some(renewal) = state.quarantine.renewal_of(request, now) {
            for (request, server) in renewal.suspicions() {
                state.untold.add_crash(server, request);
            }
            self.note_untold(&mut state, now);
        }
        Err(crashed)
    }

    /// Whether a request is close to being held back: it is sent to no second server by itself.
    pub(crate) fn is_one_at_a_time(&self, content: &RequestContent) -> bool {
        let now = self.clock.now();
        self.state().verdict(content, now) == QuarantineState::SingleRun
    }

    /// Claims the one run at a time that a suspected request is allowed, where it is suspected; an error
    /// if it may not run now.
    pub(crate) async fn claim(
        self: &Arc<Self>,
        content: &RequestContent,
    ) -> Result<Option<SingleRun>, ()> {
        if !self.is_one_at_a_time(content) {
            return Ok(None);
        }
        let request = content.fingerprint();
        // A task of its own: a caller that leaves meanwhile would leave the claim behind for good.
        let claiming = tokio::spawn(SingleRun::claim(Arc::clone(self), request));
        let claimed = claiming
            .await
            .unwrap_or_else(|error| Err(error.to_string()));
        match claimed {
            Ok(Some(run)) => {
                self.counters.count("quarantine.single-run");
                Ok(Some(run))
            }
            Ok(None) => {
                self.counters.count("quarantine.single-run-taken");
                Err(())
            }
            Err(reason) => {
                warn!(fingerprint:% = request, reason = reason.as_str(); "quarantine: single run not claimed");
                Err(())
            }
        }
    }

    /// This life of the gateway.
    pub(super) const fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// How the store is called.
    pub(super) const fn store(&self) -> &StoreApi {
        &self.store
    }

    /// Leaves a claim of this gateway's own out of account.
    pub(super) fn claiming(&self, id: &EvidenceId) {
        self.state().claims.insert(id.clone());
    }

    /// Counts a claim again if another gateway makes it.
    pub(super) fn released(&self, id: &EvidenceId) {
        self.state().claims.remove(id);
    }

    /// Waits until a request is held back.
    pub(crate) async fn held(&self, content: &RequestContent) -> usize {
        let mut changes = self.changes.subscribe();
        loop {
            if let Err(crashed) = self.check(content) {
                return crashed;
            }
            let news = changes.changed();
            // The watch outlives its waiters, so its sender is there.
            if self.state().quarantine.is_empty() {
                let _ = news.await;
            } else {
                // A request is held back some time after the change that says so.
                let _ = tokio::time::timeout(LOOK_AGAIN, news).await;
            }
        }
    }

    /// Notes a run whose connection ended before its answer did.
    pub(crate) fn lost(
        self: &Arc<Self>,
        server: &ServerIncarnation,
        address: SocketAddr,
        content: &RequestContent,
    ) {
        let now = self.clock.now();
        let request = content.fingerprint();
        let mut state = self.state();
        match state.lost.record_loss(server, request, now) {
            LossAction::Wait => {}
            LossAction::Report => {
                state.untold.add_crash(server, request);
                self.note_untold(&mut state, now);
            }
            LossAction::Probe => {
                let (watch, server) = (Arc::clone(self), server.clone());
                tokio::spawn(async move { watch.look_at(server, address).await });
            }
        }
    }

    /// Notes a run that ended by itself: its request crashes no server.
    pub(crate) fn completed(&self, content: &RequestContent) {
        let now = self.clock.now();
        let mut state = self.state();
        if state.quarantine.is_empty() {
            return;
        }
        let request = content.fingerprint();
        if !state.quarantine.publishes_survival(request) {
            return;
        }
        self.counters.count("quarantine.survived");
        info!(fingerprint:% = request; "quarantine: request ran to its end");
        state.untold.survivals.push(request);
        self.note_untold(&mut state, now);
    }

    async fn look_at(&self, server: ServerIncarnation, address: SocketAddr) {
        tokio::time::sleep(LOOK_AFTER).await;
        let port = probe_port(address, LOOK_PATIENCE).await;
        self.counters.count_reason("servers.looked-at", port.name());
        if port == PortState::Closed {
            let requests = self.state().lost.mark_crashed(&server);
            self.crashed(&server, "refuses connections", requests);
        } else {
            self.state().lost.mark_not_crashed(&server);
        }
    }

    /// Takes servers for crashed that lost runs and are listed no more.
    pub(crate) fn servers_changed(&self) {
        let servers = self.cluster_view.servers();
        let is_listed = |life: &ServerIncarnation| servers.is_listed(life);
        let missing = self.state().lost.unlisted(is_listed);
        for server in missing {
            let requests = self.state().lost.mark_gone(&server);
            self.crashed(&server, "is listed no more", requests);
        }
    }

    fn crashed(
        &self,
        server: &ServerIncarnation,
        sign: &'static str,
        requests: BTreeSet<RequestFingerprint>,
    ) {
        if requests.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut state = self.state();
        self.counters.count("servers.crashed");
        info!(server:% = server, sign, lost = requests.len(); "servers: crashed");
        for request in requests {
            state.untold.add_crash(server, request);
            if state.untold.suspicions().count() >= MOST_TOLD_AT_ONCE {
                self.note_untold(&mut state, now);
                state.close_untold(&self.instance);
            }
        }
        self.note_untold(&mut state, now);
    }

    /// Counts what is not told yet, and has it told.
    fn note_untold(&self, state: &mut State, now: Duration) {
        if state.untold.is_empty() {
            return;
        }
        let id = evidence_id(&self.instance, state.number);
        let changes = state.quarantine.add_evidence(id, state.untold.clone(), now);
        self.log(&changes);
        self.to_tell.notify_one();
    }

    /// Waits for evidence to tell.
    pub(super) async fn to_tell(&self) {
        self.to_tell.notified().await;
    }

    /// Evidence that was not told yet, each piece with its name.
    pub(super) fn take_untold(&self) -> Vec<(EvidenceId, CrashEvidence)> {
        let mut state = self.state();
        state.close_untold(&self.instance);
        std::mem::take(&mut state.closed)
    }

    /// Evidence that counts no more.
    pub(super) fn outdated(&self) -> Vec<EvidenceId> {
        self.state().quarantine.expired(self.clock.now())
    }

    /// Takes evidence that a gateway told; none where it was removed.
    pub(crate) fn take(&self, id: EvidenceId, evidence: Option<CrashEvidence>) {
        let now = self.clock.now();
        let mut state = self.state();
        if state.claims.contains(&id) {
            return;
        }
        let changes = match evidence {
            Some(evidence) => state.quarantine.add_evidence(id, evidence, now),
            None => state.quarantine.remove_evidence(&id, now),
        };
        self.log(&changes);
    }

    /// Keeps only the evidence that a whole table names, and this gateway's own.
    pub(crate) fn keep_only(&self, ids: &[EvidenceId]) {
        let now = self.clock.now();
        let own = format!("{}.", self.instance);
        let is_kept = |id: &EvidenceId| ids.contains(id) || id.as_str().starts_with(&own);
        let changes = self.state().quarantine.retain_evidence(is_kept, now);
        self.log(&changes);
    }

    /// Requests that are held back, each with the servers that crashed under it.
    pub(crate) fn held_requests(&self) -> Vec<(RequestFingerprint, Vec<ServerIncarnation>)> {
        let state = self.state();
        let held = state.quarantine.quarantined();
        held.map(|(request, servers)| (request, servers.iter().cloned().collect()))
            .collect()
    }

    /// Lets a request that is held back go on, at all gateways; false if it is not held back.
    ///
    /// It counts as having run to its end as often as it crashed a server.
    pub(crate) fn lift(&self, request: RequestFingerprint) -> bool {
        let now = self.clock.now();
        let mut state = self.state();
        let held = state
            .quarantine
            .quarantined()
            .find(|(held, _)| *held == request);
        let Some(crashes) = held.map(|(_, servers)| servers.len()) else {
            return false;
        };
        info!(fingerprint:% = request, crashed = crashes; "quarantine: lifted by an operator");
        let survivals = std::iter::repeat_n(request, crashes);
        state.untold.survivals.extend(survivals);
        self.note_untold(&mut state, now);
        true
    }

    fn log(&self, changes: &[QuarantineChange]) {
        for change in changes {
            match change {
                QuarantineChange::Quarantined(request, servers) => {
                    self.counters.count("quarantine.held");
                    let servers: Vec<_> = servers.iter().map(ToString::to_string).collect();
                    warn!(
                        fingerprint:% = request, crashed = servers.len(), servers = servers.join(",");
                        "quarantine: request held back"
                    );
                }
                QuarantineChange::Released(request) => {
                    self.counters.count("quarantine.released");
                    info!(fingerprint:% = request; "quarantine: request released");
                }
            }
        }
        if !changes.is_empty() {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// What is known against a request; it is named only while anything is suspected.
    fn verdict(&self, content: &RequestContent, now: Duration) -> QuarantineState {
        if self.quarantine.is_empty() {
            return QuarantineState::Clear;
        }
        self.quarantine.state(content.fingerprint(), now)
    }

    /// Ends the evidence that is gathered: what comes goes under the next name.
    fn close_untold(&mut self, instance: &InstanceId) {
        if self.untold.is_empty() {
            return;
        }
        let evidence = std::mem::take(&mut self.untold);
        self.closed
            .push((evidence_id(instance, self.number), evidence));
        self.number += 1;
    }
}

fn evidence_id(instance: &InstanceId, number: u64) -> EvidenceId {
    let name = format!("{instance}.{number}");
    name.parse()
        .unwrap_or_else(|_error| unreachable!("a gateway's name and a number make a name"))
}
