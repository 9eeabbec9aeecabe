//! Continues a run at the engine that holds a copy of it.
//!
//! The earlier engine may have run the request, so it is never sent anew here: an engine without the
//! copy answers that it did not run it. Callers drop the connection to the earlier engine first.

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::ServerRecord;
use log::info;
use tokio::time::Instant;

use super::super::Feature;
use super::super::process::{HeldCopy, JobResults};
use super::engine_run::{EngineAnswer, EngineRun};
use super::send::{InFlightSend, SendOutcome, send};

/// Engines that one run may always break. Routes whose requests may not be repeated often allow a
/// single attempt.
const MIN_ENGINES: u32 = 2;
/// Maximum number of sends to one copy, as a reused connection may have just ended.
const MAX_UNSENT: u32 = 2;

impl EngineRun {
    /// Sets or removes the header with the engine to which `server` copies the run, and returns that
    /// engine.
    pub(super) fn set_backup_target(&mut self, server: &ServerRecord) -> Option<ServerRecord> {
        let admitted = &self.admitted;
        let is_suspect = self
            .context
            .crashes
            .requires_single_run(&admitted.request_content);
        let may_repeat = admitted.route.kind.may_repeat();
        let target = self
            .context
            .backup_target(
                &self.service,
                &admitted.route.allowed_zones,
                &admitted.attributes,
                may_repeat,
                server,
            )
            .filter(|_| !is_suspect);
        let address = target.as_ref().map(|target| target.address.to_string());
        let name = &self.context.dialect.headers.backup_target;
        self.outgoing.replace_header(name, address.as_deref());
        target
    }

    /// Records the engine to which `server` has been told to copy the run.
    pub(super) fn set_backup(&mut self, backup: Option<ServerRecord>, server: &ServerRecord) {
        if let Some(backup) = &backup {
            self.context.counters.count("copies.backed-up");
            info!(
                call = self.admitted.attributes.call.as_str(), from:% = server.incarnation,
                to:% = backup.incarnation;
                "run: backed up"
            );
        }
        self.backup = backup;
    }

    /// Records the end of a stream, by which later runs are backed up.
    pub(super) fn record_stream_end(&self, is_broken: bool) {
        let began_at = self.results_at.unwrap_or(self.admitted.arrived_at);
        let engine_time = Instant::now().saturating_duration_since(began_at);
        let now = self.context.cluster_view.clock().now();
        let backups = &self.context.run_backups;
        backups.record_end(&self.service, engine_time, is_broken, now);
    }

    /// Number of engines that the request may have reached by runs and continuations.
    ///
    /// A request that crashes its engines is suspected only some time after each crash, so this
    /// bounds how many it reaches meanwhile.
    pub(super) const fn possible_engines(&self) -> u32 {
        self.possible_runs + self.continuations
    }

    /// Whether the run may continue at its copy; takes a retry from the budget for it.
    pub(super) fn reserve_continuation(&mut self) -> bool {
        let Some(backup) = &self.backup else {
            return false;
        };
        let crashes = &self.context.crashes;
        self.is_continuation_reserved = self.is_continuation_reserved
            || (self.possible_engines() < self.admitted.route.max_attempts.max(MIN_ENGINES)
                && self.context.features.is_enabled(Feature::RunBackup)
                && self.context.is_usable(&backup.incarnation)
                && !crashes.requires_single_run(&self.admitted.request_content)
                && self.context.try_retry(&self.service));
        self.is_continuation_reserved
    }

    /// Continues the run after `last_id` at the engine that holds its copy; none if there is no copy
    /// or its engine answers nothing. The results are taken only by an answer.
    pub(super) async fn continue_run(
        &mut self,
        lost_server: &ServerIncarnation,
        last_id: Option<u64>,
        results: &mut Option<JobResults>,
    ) -> Option<EngineAnswer> {
        let mut from = lost_server.clone();
        while self.reserve_continuation() {
            let copy = self.backup.take()?;
            self.is_continuation_reserved = false;
            if self.admitted.check_quarantine(&self.context).await.is_err() {
                return None;
            }
            let call = &self.admitted.attributes.call;
            let source = (self.context.dialect.run_source)(copy.address, call);
            let after = self.continued_after(last_id);
            let (outcome, next_backup) = self.send_to_copy(&copy, &source, after).await;
            if matches!(
                outcome,
                Some(SendOutcome::Answer(_) | SendOutcome::Lost) | None
            ) {
                self.continuations += 1;
            }
            match outcome {
                Some(SendOutcome::Answer(answer)) if answer.head.status.is_success() => {
                    self.context.counters.count("copies.continued");
                    info!(
                        call = self.admitted.attributes.call.as_str(), from:% = from,
                        to:% = copy.incarnation, by = "backup", event = after;
                        "stream: continued"
                    );
                    self.set_backup(next_backup, &copy);
                    return Some(EngineAnswer {
                        answer: *answer,
                        results: results.take(),
                        server: copy.incarnation,
                        software_version: copy.software_version,
                        continued_after: Some(after),
                    });
                }
                Some(SendOutcome::Lost) => {
                    self.log_unanswered("lost", &copy);
                    self.exclude(copy.incarnation.clone());
                    self.set_backup(next_backup, &copy);
                    from = copy.incarnation;
                }
                other => {
                    self.context.counters.count("copies.missing");
                    info!(
                        call = self.admitted.attributes.call.as_str(), from:% = from,
                        to:% = copy.incarnation, event = after,
                        end = other.as_ref().map_or("time-over", SendOutcome::name);
                        "run: copy missing"
                    );
                    return None;
                }
            }
        }
        None
    }

    /// Continues a run that its engine has stopped to move it, at the engine with the copy or else
    /// where it stopped; none if neither runs it.
    pub(super) async fn continue_moved_run(
        &mut self,
        copy: Box<HeldCopy>,
        last_id: Option<u64>,
        results: &mut Option<JobResults>,
    ) -> Option<EngineAnswer> {
        let source = (self.context.dialect.moved_run_source)(copy.source.address, &copy.handle);
        let after = self.continued_after(last_id);
        for engine in [copy.target.clone(), copy.source.clone()] {
            if self.admitted.check_quarantine(&self.context).await.is_err() {
                return None;
            }
            let (outcome, next_backup) = self.send_to_copy(&engine, &source, after).await;
            match outcome {
                Some(SendOutcome::Answer(answer)) if answer.head.status.is_success() => {
                    info!(
                        call = self.admitted.attributes.call.as_str(),
                        from:% = copy.source.incarnation, to:% = engine.incarnation,
                        reason = copy.reason.name(), event = after;
                        "stream: moved"
                    );
                    self.context.counters.count("moves.completed");
                    copy.mark_used();
                    self.set_backup(next_backup, &engine);
                    return Some(EngineAnswer {
                        answer: *answer,
                        results: results.take(),
                        server: engine.incarnation,
                        software_version: engine.software_version,
                        continued_after: Some(after),
                    });
                }
                Some(SendOutcome::Lost) => {
                    self.log_unanswered("lost", &engine);
                    self.continuations += 1;
                    self.exclude(engine.incarnation.clone());
                    self.set_backup(next_backup, &engine);
                    return None;
                }
                // Not run there, so that the copy is unused.
                Some(
                    SendOutcome::NotSent
                    | SendOutcome::OtherVersion
                    | SendOutcome::Withheld(_)
                    | SendOutcome::NotRun,
                ) => {
                    // The move took a retry for one send, and the run has stopped.
                    if matches!(outcome, Some(SendOutcome::NotRun)) {
                        self.context.record_retry(&self.service);
                    }
                    let end = outcome.as_ref().map_or("-", SendOutcome::name);
                    self.log_unanswered(end, &engine);
                }
                _ => return None,
            }
        }
        self.context.counters.count("moves.failed.copy-missing");
        None
    }

    /// The event after which a run continues: the last one that the caller has, or the one that it
    /// had before this request.
    fn continued_after(&self, last_id: Option<u64>) -> u64 {
        let name = &self.context.dialect.headers.last_event;
        let callers_last = self.outgoing.header(name);
        let callers_last = callers_last.and_then(|last| last.trim().parse().ok());
        last_id.or(callers_last).unwrap_or(0)
    }

    /// Sends the request to the engine that holds the copy; also returns the engine to which that
    /// one copies the run. No outcome if the deadline passed.
    async fn send_to_copy(
        &mut self,
        copy: &ServerRecord,
        source: &str,
        after: u64,
    ) -> (Option<SendOutcome>, Option<ServerRecord>) {
        let names = &self.context.dialect.headers;
        let callers_last = self.outgoing.header(&names.last_event).map(str::to_owned);
        self.outgoing
            .set_header(&names.last_event, &after.to_string());
        self.outgoing.replace_header(&names.prompt_source, None);
        self.outgoing.set_header(&names.run_source, source);
        let next_backup = self.set_backup_target(copy);
        let mut outcome = None;
        for _ in 0..MAX_UNSENT {
            let body_bytes = self.outgoing.body_bytes();
            let in_flight_send = InFlightSend::new(&self.context, copy, body_bytes);
            let sending = send(
                &self.context,
                &self.outgoing,
                &self.admitted,
                copy,
                in_flight_send,
            );
            outcome = tokio::time::timeout(self.admitted.remaining(), sending)
                .await
                .ok();
            if !matches!(outcome, Some(SendOutcome::NotSent)) {
                break;
            }
        }
        let names = &self.context.dialect.headers;
        self.outgoing.replace_header(&names.run_source, None);
        self.outgoing
            .replace_header(&names.last_event, callers_last.as_deref());
        (outcome, next_backup)
    }
}
