//! Rate limits that servers report, and which of them are still to be published.
//!
//! A server reports its limit in its answers. The newest report counts, whether this entry received
//! it or another one published it through the store. An entry publishes the reports that it
//! received itself and that the store does not contain yet. A server that is sent nothing reports
//! nothing, so a report does not expire: it holds until an answer without a limit, or until the
//! server is gone.

use std::collections::BTreeMap;
use std::time::Duration;

use super::server_limit::ServerLimit;
use crate::id::ServerIncarnation;

/// The newest report of each server.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::ReportedLimits;
///
/// let server = "a".parse()?;
/// let (sent, received) = (Duration::from_secs(1), Duration::from_secs(2));
/// let limit = Some("1.5".parse().expect("a rate"));
/// let mut limits = ReportedLimits::default();
/// assert!(limits.record_answer(&server, limit, sent, received));
/// assert_eq!(limits.unpublished(), [(server, limit)]);
/// # Ok::<(), amaranthscale_core::id::InvalidName>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct ReportedLimits {
    by_server: BTreeMap<ServerIncarnation, Report>,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    limit: Option<ServerLimit>,
    /// The published limit, as far as is known.
    published: Option<ServerLimit>,
    /// Whether this entry received the report from the server.
    is_own: bool,
    reported_at: Duration,
    /// Whether its server was not listed at the last check.
    is_unlisted: bool,
}

impl ReportedLimits {
    /// Whether no server has reported a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_server.is_empty()
    }

    /// The limit of a server, if it has one.
    #[must_use]
    pub fn limit(&self, server: &ServerIncarnation) -> Option<ServerLimit> {
        self.by_server.get(server)?.limit
    }

    /// Servers with a limit.
    #[must_use]
    pub fn limits(&self) -> Vec<(ServerIncarnation, ServerLimit)> {
        let limits = self.by_server.iter();
        let limits = limits.filter_map(|(server, report)| Some((server.clone(), report.limit?)));
        limits.collect()
    }

    /// Records the limit in an answer to a request that was sent at the given time; returns whether
    /// the limit changed.
    ///
    /// An answer without a limit to a request that was sent before the report arrived may be older
    /// than the report, and does not end it.
    pub fn record_answer(
        &mut self,
        server: &ServerIncarnation,
        limit: Option<ServerLimit>,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        let Some(report) = self.by_server.get_mut(server) else {
            if limit.is_none() {
                return false;
            }
            let report = Report {
                limit,
                published: None,
                is_own: true,
                reported_at: now,
                is_unlisted: false,
            };
            self.by_server.insert(server.clone(), report);
            return true;
        };
        if is_similar(limit, report.limit) || (limit.is_none() && sent_at <= report.reported_at) {
            return false;
        }
        report.limit = limit;
        report.is_own = true;
        report.reported_at = now;
        self.remove_ended(server);
        true
    }

    /// Applies what another entry published through the store; returns whether the limit changed.
    pub fn apply_published(
        &mut self,
        server: &ServerIncarnation,
        limit: Option<ServerLimit>,
        now: Duration,
    ) -> bool {
        let known = self.by_server.entry(server.clone()).or_insert(Report {
            limit: None,
            published: None,
            is_own: false,
            reported_at: now,
            is_unlisted: false,
        });
        // A report that was received here and is not published yet is newer than the store.
        let is_changed = !known.is_unpublished() && !is_similar(limit, known.limit);
        known.published = limit;
        if is_changed {
            known.limit = limit;
            known.is_own = false;
            known.reported_at = now;
        }
        self.remove_ended(server);
        is_changed
    }

    /// Applies a complete table of published limits; returns the servers whose limit ended by that.
    pub fn retain_published(&mut self, named: &[ServerIncarnation]) -> Vec<ServerIncarnation> {
        let mut ended = Vec::new();
        for (server, report) in &mut self.by_server {
            if named.contains(server) {
                continue;
            }
            report.published = None;
            if !report.is_own && report.limit.take().is_some() {
                ended.push(server.clone());
            }
        }
        self.by_server.retain(|_, report| !report.has_ended());
        ended
    }

    /// Reports that this entry received and the store does not contain.
    #[must_use]
    pub fn unpublished(&self) -> Vec<(ServerIncarnation, Option<ServerLimit>)> {
        let unpublished = self
            .by_server
            .iter()
            .filter(|(_, report)| report.is_unpublished());
        unpublished
            .map(|(server, report)| (server.clone(), report.limit))
            .collect()
    }

    /// Records that a report was written to the store.
    pub fn mark_published(&mut self, server: &ServerIncarnation, limit: Option<ServerLimit>) {
        if let Some(report) = self.by_server.get_mut(server) {
            report.published = limit;
        }
        self.remove_ended(server);
    }

    /// Removes servers that were listed neither now nor at the previous check, as an entry that has
    /// expired may return; returns them, each with whether it has a limit in the store.
    pub fn remove_unlisted(
        &mut self,
        is_listed: impl Fn(&ServerIncarnation) -> bool,
    ) -> Vec<(ServerIncarnation, bool)> {
        let mut removed = Vec::new();
        self.by_server.retain(|server, report| {
            let was_unlisted = std::mem::replace(&mut report.is_unlisted, !is_listed(server));
            let is_gone = was_unlisted && report.is_unlisted;
            if is_gone {
                removed.push((server.clone(), report.published.is_some()));
            }
            !is_gone
        });
        removed
    }

    fn remove_ended(&mut self, server: &ServerIncarnation) {
        if self.by_server.get(server).is_some_and(Report::has_ended) {
            self.by_server.remove(server);
        }
    }
}

/// Whether two limits are about the same: servers may report a slightly different number with each
/// answer.
fn is_similar(one: Option<ServerLimit>, other: Option<ServerLimit>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one.is_close_to(other),
        (one, other) => one == other,
    }
}

impl Report {
    fn has_ended(&self) -> bool {
        self.limit.is_none() && self.published.is_none()
    }

    fn is_unpublished(&self) -> bool {
        self.is_own && !is_similar(self.limit, self.published)
    }
}
