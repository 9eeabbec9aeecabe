//! Detects crashed servers and quarantines what is suspected of crashing them.
//!
//! A connection that ends in the middle of an answer does not prove a crash. A server counts as
//! crashed when its address refuses a connection, or when it is no longer listed. The requests
//! whose runs were lost with it, and the shared parts of their prompts, are published to all
//! gateways through the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::{EvidenceId, InstanceId, ServerIncarnation};
use amaranthscale_core::process::{
    CrashEvidence, LossAction, LostRuns, Quarantine, QuarantineCause, QuarantineChange,
    QuarantineState, Suspect,
};
use log::{info, warn};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::super::StoreApi;
use super::super::version::ClusterView;
use super::super::{Clock, RequestContent};
use super::SingleRun;
use crate::connection::{PortState, probe_port};
use crate::process::Counters;

/// Delay from the first lost run to the probe of the server; its other connections end meanwhile.
const PROBE_DELAY: Duration = Duration::from_millis(20);
/// Timeout of the connection that probes a server.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);
/// Interval at which a waiting request's quarantine is checked again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a request waits for the single run of another one to end.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before a claim is tried again.
const CLAIM_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of suspects in one row of evidence, as the store limits the size of rows.
const MAX_SUSPECTS_PER_ROW: usize = 500;

/// The quarantined requests, and the evidence that is not published yet.
#[derive(Debug)]
pub struct CrashTracker {
    instance: InstanceId,
    clock: Clock,
    cluster_view: Arc<ClusterView>,
    counters: Arc<Counters>,
    store: StoreApi,
    state: Mutex<State>,
    publish_requested: Notify,
    changes: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    quarantine: Quarantine,
    lost_runs: LostRuns,
    unpublished: CrashEvidence,
    /// Number of the evidence that is being collected.
    evidence_number: u64,
    /// Evidence to which nothing more is added, to be published.
    sealed: Vec<(EvidenceId, CrashEvidence)>,
    /// Claims of this gateway's own single runs, which do not count as evidence here.
    own_claims: BTreeSet<EvidenceId>,
}

impl CrashTracker {
    /// Creates a tracker without evidence.
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
            publish_requested: Notify::new(),
            changes: watch::Sender::new(0),
        }
    }

    /// Whether a request may be sent to a server; the error is why it may not.
    pub(crate) fn check(&self, content: &RequestContent) -> Result<(), QuarantineCause> {
        let now = self.clock.now();
        let mut state = self.state();
        let QuarantineState::Quarantined(cause) = state.quarantine_state(content, now) else {
            return Ok(());
        };
        if let Some(renewal) = state.quarantine.renewal_of(&cause.suspect, now) {
            for (suspect, server) in renewal.suspicions() {
                state.unpublished.add_crash(server, suspect.clone());
            }
            self.apply_unpublished(&mut state, now);
        }
        Err(cause)
    }

    /// Whether a request is close to being quarantined, so that it is not retried at a second
    /// server.
    pub(crate) fn requires_single_run(&self, content: &RequestContent) -> bool {
        let now = self.clock.now();
        self.state().quarantine_state(content, now) == QuarantineState::SingleRun
    }

    /// Claims the single run of a suspected request, or waits a short time for another one to end;
    /// `None` where it needs no claim, an error if it may not run now.
    pub(crate) async fn claim_single_run(
        self: &Arc<Self>,
        content: &RequestContent,
    ) -> Result<Option<SingleRun>, ()> {
        let deadline = Instant::now() + CLAIM_TIMEOUT;
        while self.requires_single_run(content) {
            let now = self.clock.now();
            let suspects = content.suspects();
            let suspects = self.state().quarantine.single_run_suspects(&suspects, now);
            let Some(claimed) = suspects.first().cloned() else {
                return Ok(None);
            };
            // In a task of its own, so that a caller that leaves meanwhile cannot leave the claim
            // behind.
            let claim = SingleRun::claim(Arc::clone(self), claimed.clone(), suspects);
            let claim = tokio::spawn(claim).await;
            match claim.unwrap_or_else(|error| Err(error.to_string())) {
                Ok(Some(run)) => {
                    self.counters.count("quarantine.single-run");
                    return Ok(Some(run));
                }
                Ok(None) if Instant::now() < deadline => {
                    tokio::time::sleep(CLAIM_RETRY_PAUSE).await;
                }
                Ok(None) => {
                    self.counters.count("quarantine.single-run-taken");
                    return Err(());
                }
                Err(reason) => {
                    warn!(suspect:% = claimed, reason = reason.as_str(); "quarantine: single run not claimed");
                    return Err(());
                }
            }
        }
        Ok(None)
    }

    /// Requests to the store.
    pub(super) const fn store(&self) -> &StoreApi {
        &self.store
    }

    /// Excludes a claim of this gateway from the evidence; false if a claim with this id is known.
    pub(super) fn add_own_claim(&self, id: &EvidenceId) -> bool {
        let mut state = self.state();
        !state.quarantine.has_evidence(id) && state.own_claims.insert(id.clone())
    }

    /// Counts a claim again, as another gateway may make it.
    pub(super) fn remove_own_claim(&self, id: &EvidenceId) {
        self.state().own_claims.remove(id);
    }

    /// Waits until a request is quarantined; returns why.
    pub(crate) async fn wait_until_quarantined(&self, content: &RequestContent) -> QuarantineCause {
        let mut changes = self.changes.subscribe();
        loop {
            if let Err(cause) = self.check(content) {
                return cause;
            }
            let change = changes.changed();
            // The tracker outlives its waiters, so the sender exists.
            if self.state().quarantine.is_empty() {
                let _ = change.await;
            } else {
                // A request is quarantined some time after the evidence for it changed.
                let _ = tokio::time::timeout(RECHECK_INTERVAL, change).await;
            }
        }
    }

    /// Records a run of a backend server whose connection ended before its answer did.
    pub(crate) fn record_lost_run(
        self: &Arc<Self>,
        server: &ServerIncarnation,
        address: SocketAddr,
        content: &RequestContent,
    ) {
        self.record_loss(server, address, content.suspects());
    }

    /// Records a lost run of a request's pieces, which do not depend on its prompt.
    pub(crate) fn record_lost_pieces(
        self: &Arc<Self>,
        server: &ServerIncarnation,
        address: SocketAddr,
        content: &RequestContent,
    ) {
        self.record_loss(server, address, vec![content.fingerprint().into()]);
    }

    fn record_loss(
        self: &Arc<Self>,
        server: &ServerIncarnation,
        address: SocketAddr,
        suspects: Vec<Suspect>,
    ) {
        let now = self.clock.now();
        let mut state = self.state();
        let lost = suspects.iter().cloned();
        match state.lost_runs.record_loss(server, lost, now) {
            LossAction::Wait => {}
            LossAction::Report => {
                for suspect in suspects {
                    state.unpublished.add_crash(server, suspect);
                }
                self.apply_unpublished(&mut state, now);
            }
            LossAction::Probe => {
                let (tracker, server) = (Arc::clone(self), server.clone());
                tokio::spawn(async move { tracker.probe(server, address).await });
            }
        }
    }

    /// Records a completed run, which is evidence that its content crashes no server.
    pub(crate) fn record_completed_run(&self, content: &RequestContent) {
        let now = self.clock.now();
        let mut state = self.state();
        if state.quarantine.is_empty() {
            let parts: Vec<_> = content.suspect_parts().collect();
            state.quarantine.record_completion(&parts, now);
            return;
        }
        let suspects = content.suspects();
        let changes = state.quarantine.record_completion(&suspects, now);
        self.log(&changes);
        for suspect in suspects {
            if state.quarantine.publishes_survival(&suspect) {
                self.counters.count("quarantine.survived");
                info!(suspect:% = suspect; "quarantine: suspect completed");
                self.publish_requested.notify_one();
            }
        }
    }

    async fn probe(&self, server: ServerIncarnation, address: SocketAddr) {
        tokio::time::sleep(PROBE_DELAY).await;
        let port = probe_port(address, PROBE_TIMEOUT).await;
        self.counters.count_reason("servers.looked-at", port.name());
        if port == PortState::Closed {
            let suspects = self.state().lost_runs.mark_crashed(&server);
            self.record_crash(&server, "refuses connections", suspects);
        } else {
            self.state().lost_runs.mark_not_crashed(&server);
        }
    }

    /// Records as crashed the servers with lost runs that are no longer listed.
    pub(crate) fn check_unlisted_servers(&self) {
        let servers = self.cluster_view.servers();
        let is_listed = |incarnation: &ServerIncarnation| servers.is_listed(incarnation);
        let unlisted = self.state().lost_runs.unlisted(is_listed);
        for server in unlisted {
            let suspects = self.state().lost_runs.mark_gone(&server);
            self.record_crash(&server, "is listed no more", suspects);
        }
    }

    fn record_crash(
        &self,
        server: &ServerIncarnation,
        sign: &'static str,
        suspects: BTreeSet<Suspect>,
    ) {
        if suspects.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut state = self.state();
        self.counters.count("servers.crashed");
        let requests = suspects.iter().filter(|suspect| !suspect.is_prompt_part());
        info!(server:% = server, sign, lost = requests.count(); "servers: crashed");
        for suspect in suspects {
            state.unpublished.add_crash(server, suspect);
            if state.unpublished.suspicions().count() >= MAX_SUSPECTS_PER_ROW {
                self.apply_unpublished(&mut state, now);
                state.seal_unpublished(&self.instance);
            }
        }
        self.apply_unpublished(&mut state, now);
    }

    /// Applies the unpublished evidence here and requests its publication.
    fn apply_unpublished(&self, state: &mut State, now: Duration) {
        if state.unpublished.is_empty() {
            return;
        }
        let id = evidence_id(&self.instance, state.evidence_number);
        let changes = state
            .quarantine
            .add_evidence(id, state.unpublished.clone(), now);
        self.log(&changes);
        self.publish_requested.notify_one();
    }

    /// Waits until there is evidence to publish.
    pub(super) async fn publish_requested(&self) {
        self.publish_requested.notified().await;
    }

    /// Whether there are crashes to publish, and not only completed runs.
    pub(super) fn has_unpublished_crashes(&self) -> bool {
        let state = self.state();
        let sealed = state.sealed.iter().map(|(_, evidence)| evidence);
        let mut unpublished = sealed.chain([&state.unpublished]);
        unpublished.any(|evidence| !evidence.crashes.is_empty())
    }

    /// Removes and returns the unpublished evidence with its ids; completed runs only as far as
    /// other gateways' evidence has not cleared their suspects.
    pub(super) fn take_unpublished(&self) -> Vec<(EvidenceId, CrashEvidence)> {
        let now = self.clock.now();
        let mut state = self.state();
        let survivals = state.quarantine.take_survivals();
        if !survivals.is_empty() {
            state.unpublished.survivals.extend(survivals);
            self.apply_unpublished(&mut state, now);
        }
        state.seal_unpublished(&self.instance);
        std::mem::take(&mut state.sealed)
    }

    /// Evidence that no longer counts.
    pub(super) fn expired_evidence(&self) -> Vec<EvidenceId> {
        self.state().quarantine.expired(self.clock.now())
    }

    /// Applies evidence that a gateway published; `None` where it was removed.
    pub(crate) fn apply_published(&self, id: EvidenceId, evidence: Option<CrashEvidence>) {
        let now = self.clock.now();
        let mut state = self.state();
        if state.own_claims.contains(&id) {
            return;
        }
        let changes = match evidence {
            Some(evidence) => state.quarantine.add_evidence(id, evidence, now),
            None => state.quarantine.remove_evidence(&id, now),
        };
        self.log(&changes);
    }

    /// Publishes again what this gateway had published and a restored store lacks. Evidence of
    /// others is kept, as it is still true.
    pub(crate) fn republish_missing(&self, ids: &[EvidenceId]) {
        let own = self.own_evidence_prefix();
        let mut state = self.state();
        let is_sealed = |id: &EvidenceId| state.sealed.iter().any(|(sealed, _)| sealed == id);
        let missing = state
            .quarantine
            .evidence()
            .filter(|(id, _)| id.as_str().starts_with(&own) && !ids.contains(id) && !is_sealed(id));
        let missing: Vec<_> = missing
            .map(|(id, evidence)| (id.clone(), evidence.clone()))
            .collect();
        if missing.is_empty() {
            return;
        }
        info!(evidence = missing.len(); "quarantine: evidence published again after a restoration");
        state.sealed.extend(missing);
        drop(state);
        self.publish_requested.notify_one();
    }

    /// Beginning of the ids of this gateway's own evidence.
    fn own_evidence_prefix(&self) -> String {
        format!("{}.", self.instance)
    }

    /// Drops evidence that a full read of the table does not contain, except this gateway's own.
    pub(crate) fn retain_published(&self, ids: &[EvidenceId]) {
        let now = self.clock.now();
        let own = self.own_evidence_prefix();
        let is_retained = |id: &EvidenceId| ids.contains(id) || id.as_str().starts_with(&own);
        let changes = self.state().quarantine.retain_evidence(is_retained, now);
        self.log(&changes);
    }

    /// What is quarantined, each with the servers that crashed during its runs.
    pub(crate) fn quarantined(&self) -> Vec<(Suspect, Vec<ServerIncarnation>)> {
        let state = self.state();
        let quarantined = state.quarantine.quarantined();
        quarantined
            .map(|(suspect, servers)| (suspect.clone(), servers.iter().cloned().collect()))
            .collect()
    }

    /// Lifts the quarantine of a suspect at all gateways; false if it is not quarantined.
    ///
    /// As many completed runs are recorded as servers crashed.
    pub(crate) fn lift(&self, suspect: &Suspect) -> bool {
        let now = self.clock.now();
        let mut state = self.state();
        let mut quarantined = state.quarantine.quarantined();
        let found = quarantined.find(|(quarantined, _)| *quarantined == suspect);
        let Some(crashes) = found.map(|(_, servers)| servers.len()) else {
            return false;
        };
        drop(quarantined);
        info!(suspect:% = suspect, crashed = crashes; "quarantine: lifted by an operator");
        let survivals = std::iter::repeat_n(suspect.clone(), crashes);
        state.unpublished.survivals.extend(survivals);
        self.apply_unpublished(&mut state, now);
        true
    }

    fn log(&self, changes: &[QuarantineChange]) {
        for change in changes {
            match change {
                QuarantineChange::Quarantined(suspect, servers) => {
                    self.counters.count("quarantine.held");
                    let servers: Vec<_> = servers.iter().map(ToString::to_string).collect();
                    warn!(
                        suspect:% = suspect, crashed = servers.len(), servers = servers.join(",");
                        "quarantine: suspect held back"
                    );
                }
                QuarantineChange::Released(suspect) => {
                    self.counters.count("quarantine.released");
                    info!(suspect:% = suspect; "quarantine: suspect released");
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
    /// State of a request; its fingerprint is computed only while there is any evidence.
    fn quarantine_state(&self, content: &RequestContent, now: Duration) -> QuarantineState {
        if self.quarantine.is_empty() {
            return QuarantineState::Clear;
        }
        self.quarantine.state(&content.suspects(), now)
    }

    /// Completes the collected evidence; later evidence gets the next id.
    fn seal_unpublished(&mut self, instance: &InstanceId) {
        if self.unpublished.is_empty() {
            return;
        }
        let evidence = std::mem::take(&mut self.unpublished);
        self.sealed
            .push((evidence_id(instance, self.evidence_number), evidence));
        self.evidence_number += 1;
    }
}

fn evidence_id(instance: &InstanceId, number: u64) -> EvidenceId {
    let name = format!("{instance}.{number}");
    name.parse()
        .unwrap_or_else(|_error| unreachable!("a gateway id and a number form a valid evidence id"))
}
