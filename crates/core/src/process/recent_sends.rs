//! What one process has sent to servers that all processes together may send so much.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::send_share::{SendShare, WINDOW};
use crate::id::ServerIncarnation;

/// Sends of one process to such servers in the last spans.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::{SendShare, RecentSends};
///
/// let server = "a".parse()?;
/// let share = SendShare::of_owner(4.0);
/// let mut sends = RecentSends::default();
/// let now = Duration::from_secs(10);
/// assert!(sends.try_send(&server, share, now));
/// assert!(sends.try_send(&server, share, now));
/// assert!(!sends.try_send(&server, share, now));
/// assert!(sends.try_send(&server, share, now + Duration::from_secs(1)));
/// # Ok::<(), amaranthscale_core::id::InvalidName>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct RecentSends {
    by_server: BTreeMap<ServerIncarnation, Recent>,
}

#[derive(Debug, Clone, Default)]
struct Recent {
    /// When requests were given this server, which leave for it later.
    chosen_at: VecDeque<Duration>,
    sent_at: VecDeque<Duration>,
}

impl RecentSends {
    /// Whether one more request may be given a server, as far as choices of the last span go.
    #[must_use]
    pub fn can_choose(&self, server: &ServerIncarnation, share: SendShare, now: Duration) -> bool {
        let recent = self.by_server.get(server);
        recent.map_or(0, |recent| within(&recent.chosen_at, share, now)) < share.sends
    }

    /// Counts a choice of a server.
    pub fn record_choice(&mut self, server: &ServerIncarnation, share: SendShare, now: Duration) {
        let recent = self.by_server.entry(server.clone()).or_default();
        forget(&mut recent.chosen_at, share.window, now);
        recent.chosen_at.push_back(now);
    }

    /// Takes one send, asked for as its bytes leave; false if the share is used up.
    ///
    /// Guards against requests that were chosen at different times and leave together, as when
    /// pieces of many come at once or a frozen process wakes: choices alone would keep no bound.
    pub fn try_send(
        &mut self,
        server: &ServerIncarnation,
        share: SendShare,
        now: Duration,
    ) -> bool {
        let recent = self.by_server.entry(server.clone()).or_default();
        forget(&mut recent.sent_at, share.window, now);
        if recent.sent_at.len() >= share.sends {
            return false;
        }
        recent.sent_at.push_back(now);
        true
    }

    /// Counts a send to a server that is not known to be cold, if it may be one day.
    ///
    /// Guards against a server that becomes cold at once: what it was sent in the second before its
    /// word came counts for it as well.
    pub fn record_send(&mut self, server: &ServerIncarnation, now: Duration) {
        let recent = self.by_server.entry(server.clone()).or_default();
        forget(&mut recent.sent_at, WINDOW, now);
        recent.sent_at.push_back(now);
    }

    /// Whether one more send may leave now.
    #[must_use]
    pub fn can_send(&self, server: &ServerIncarnation, share: SendShare, now: Duration) -> bool {
        let recent = self.by_server.get(server);
        recent.map_or(0, |recent| within(&recent.sent_at, share, now)) < share.sends
    }

    /// When one more request may be given a server; none if never by this share.
    #[must_use]
    pub fn next_choice_at(
        &self,
        server: &ServerIncarnation,
        share: SendShare,
        now: Duration,
    ) -> Option<Duration> {
        if share.sends == 0 {
            return None;
        }
        let Some(recent) = self.by_server.get(server) else {
            return Some(now);
        };
        // The oldest of the newest ones that fill the share makes room when it leaves the span.
        let place = |times: &VecDeque<Duration>| {
            let filling = times.iter().rev().nth(share.sends - 1);
            filling.map_or(now, |at| (*at + share.window).max(now))
        };
        Some(place(&recent.chosen_at).max(place(&recent.sent_at)))
    }

    /// Forgets servers whose sends are bounded no longer.
    pub fn retain(&mut self, is_bounded: impl Fn(&ServerIncarnation) -> bool) {
        self.by_server.retain(|server, _| is_bounded(server));
    }
}

fn forget(times: &mut VecDeque<Duration>, span: Duration, now: Duration) {
    while times
        .front()
        .is_some_and(|at| now.saturating_sub(*at) >= span)
    {
        times.pop_front();
    }
}

fn within(times: &VecDeque<Duration>, share: SendShare, now: Duration) -> usize {
    // The newest are last; a span holds the moment at its end but not the one at its start.
    let recent = times.iter().rev();
    let recent = recent.take_while(|at| now.saturating_sub(**at) < share.window);
    recent.count()
}
