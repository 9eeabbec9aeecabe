//! What servers say of their limits, and what of it others are still to be told.
//!
//! A server names its limit to whoever it answers. The newest word counts, whoever heard it: this
//! entry, or another one that told all through the store. An entry tells what it has heard itself
//! and what the store does not say yet. A server that is sent nothing says nothing, so a word has no end of its
//! own: it holds until an answer without a limit, or until the server is gone.

use std::collections::BTreeMap;
use std::time::Duration;

use super::server_limit::ServerLimit;
use crate::id::ServerIncarnation;

/// The newest words of servers.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::ReportedLimits;
///
/// let server = "a".parse()?;
/// let (sent, heard) = (Duration::from_secs(1), Duration::from_secs(2));
/// let limit = Some("1.5".parse().expect("a rate"));
/// let mut words = ReportedLimits::default();
/// assert!(words.record_answer(&server, limit, sent, heard));
/// assert_eq!(words.unpublished(), [(server, limit)]);
/// # Ok::<(), amaranthscale_core::id::InvalidName>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct ReportedLimits {
    by_server: BTreeMap<ServerIncarnation, Word>,
}

#[derive(Debug, Clone, Copy)]
struct Word {
    limit: Option<ServerLimit>,
    /// What the store says of it, as far as is known.
    stored: Option<ServerLimit>,
    /// Whether this entry heard it from the server.
    is_own: bool,
    since: Duration,
}

impl ReportedLimits {
    /// Whether no server has named a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_server.is_empty()
    }

    /// The limit that a server has named, if it has not ended.
    #[must_use]
    pub fn limit(&self, server: &ServerIncarnation) -> Option<ServerLimit> {
        self.by_server.get(server)?.limit
    }

    /// Servers with a limit.
    #[must_use]
    pub fn limits(&self) -> Vec<(ServerIncarnation, ServerLimit)> {
        let limits = self.by_server.iter();
        let limits = limits.filter_map(|(server, word)| Some((server.clone(), word.limit?)));
        limits.collect()
    }

    /// Takes what an answer says to a request that left at a time; says whether the limit changed.
    ///
    /// An answer without a limit to a request that left before the word was heard may be older than the
    /// word, and does not end it.
    pub fn record_answer(
        &mut self,
        server: &ServerIncarnation,
        limit: Option<ServerLimit>,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        let Some(word) = self.by_server.get_mut(server) else {
            if limit.is_none() {
                return false;
            }
            let word = Word {
                limit,
                stored: None,
                is_own: true,
                since: now,
            };
            self.by_server.insert(server.clone(), word);
            return true;
        };
        if is_same(limit, word.limit) || (limit.is_none() && sent_at <= word.since) {
            return false;
        }
        word.limit = limit;
        word.is_own = true;
        word.since = now;
        self.forget_ended(server);
        true
    }

    /// Takes what another entry told through the store; says whether the limit changed.
    pub fn apply_published(
        &mut self,
        server: &ServerIncarnation,
        limit: Option<ServerLimit>,
        now: Duration,
    ) -> bool {
        let known = self.by_server.entry(server.clone()).or_insert(Word {
            limit: None,
            stored: None,
            is_own: false,
            since: now,
        });
        // What was heard here and is not told yet is newer than what the store says.
        let is_changed = !known.is_untold() && !is_same(limit, known.limit);
        known.stored = limit;
        if is_changed {
            known.limit = limit;
            known.is_own = false;
            known.since = now;
        }
        self.forget_ended(server);
        is_changed
    }

    /// Takes which servers a whole table names; says whose limit ended by that.
    pub fn retain_published(&mut self, named: &[ServerIncarnation]) -> Vec<ServerIncarnation> {
        let mut ended = Vec::new();
        for (server, word) in &mut self.by_server {
            if named.contains(server) {
                continue;
            }
            word.stored = None;
            if !word.is_own && word.limit.take().is_some() {
                ended.push(server.clone());
            }
        }
        self.by_server.retain(|_, word| !word.has_ended());
        ended
    }

    /// Words of servers that this entry heard and the store does not say.
    #[must_use]
    pub fn unpublished(&self) -> Vec<(ServerIncarnation, Option<ServerLimit>)> {
        let untold = self.by_server.iter().filter(|(_, word)| word.is_untold());
        untold
            .map(|(server, word)| (server.clone(), word.limit))
            .collect()
    }

    /// Notes that the store has taken a word.
    pub fn mark_published(&mut self, server: &ServerIncarnation, limit: Option<ServerLimit>) {
        if let Some(word) = self.by_server.get_mut(server) {
            word.stored = limit;
        }
        self.forget_ended(server);
    }

    /// Forgets servers that are gone; names those of which the store still says something.
    pub fn remove_unlisted(
        &mut self,
        is_listed: impl Fn(&ServerIncarnation) -> bool,
    ) -> Vec<ServerIncarnation> {
        let gone = self.by_server.iter();
        let gone = gone.filter(|(server, word)| word.stored.is_some() && !is_listed(server));
        let gone = gone.map(|(server, _)| server.clone()).collect();
        self.by_server.retain(|server, _| is_listed(server));
        gone
    }

    fn forget_ended(&mut self, server: &ServerIncarnation) {
        if self.by_server.get(server).is_some_and(Word::has_ended) {
            self.by_server.remove(server);
        }
    }
}

/// Whether two words say much the same: servers may name another number with each answer.
fn is_same(one: Option<ServerLimit>, other: Option<ServerLimit>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one.is_about(other),
        (one, other) => one == other,
    }
}

impl Word {
    fn has_ended(&self) -> bool {
        self.limit.is_none() && self.stored.is_none()
    }

    fn is_untold(&self) -> bool {
        self.is_own && !is_same(self.limit, self.stored)
    }
}
