//! Sends of this process to servers whose send rate is limited for all processes together.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::send_share::{SendShare, WINDOW};
use crate::id::ServerIncarnation;

/// Recent sends of one process, by server.
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
    by_server: BTreeMap<ServerIncarnation, ServerSends>,
}

#[derive(Debug, Clone, Default)]
struct ServerSends {
    /// When the server was chosen for requests, which are sent later.
    chosen_at: VecDeque<Duration>,
    sent_at: VecDeque<Duration>,
}

impl RecentSends {
    /// Whether the server may be chosen for one more request, given the choices in the last window.
    #[must_use]
    pub fn can_choose(&self, server: &ServerIncarnation, share: SendShare, now: Duration) -> bool {
        let sends = self.by_server.get(server);
        sends.map_or(0, |sends| count_within(&sends.chosen_at, share, now)) < share.sends
    }

    /// Records a choice of a server.
    pub fn record_choice(&mut self, server: &ServerIncarnation, share: SendShare, now: Duration) {
        let sends = self.by_server.entry(server.clone()).or_default();
        drop_expired(&mut sends.chosen_at, share.window, now);
        sends.chosen_at.push_back(now);
    }

    /// Takes one send from the share, directly before the bytes are sent; false if the share is
    /// used up.
    ///
    /// Guards against requests that were chosen at different times and are sent together, as when
    /// pieces of many requests complete at once or a frozen process resumes: limiting choices alone
    /// would not limit sends.
    pub fn try_send(
        &mut self,
        server: &ServerIncarnation,
        share: SendShare,
        now: Duration,
    ) -> bool {
        let sends = self.by_server.entry(server.clone()).or_default();
        drop_expired(&mut sends.sent_at, share.window, now);
        if sends.sent_at.len() >= share.sends {
            return false;
        }
        sends.sent_at.push_back(now);
        true
    }

    /// Records a send to a server that is not known to be cold, but may become so.
    ///
    /// Guards against a server that becomes cold suddenly: what it was sent in the second before
    /// its report arrived also counts.
    pub fn record_send(&mut self, server: &ServerIncarnation, now: Duration) {
        let sends = self.by_server.entry(server.clone()).or_default();
        drop_expired(&mut sends.sent_at, WINDOW, now);
        sends.sent_at.push_back(now);
    }

    /// Whether one more send is allowed now.
    #[must_use]
    pub fn can_send(&self, server: &ServerIncarnation, share: SendShare, now: Duration) -> bool {
        let sends = self.by_server.get(server);
        sends.map_or(0, |sends| count_within(&sends.sent_at, share, now)) < share.sends
    }

    /// When the server may be chosen for one more request; none if the share never allows it.
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
        let Some(sends) = self.by_server.get(server) else {
            return Some(now);
        };
        // Among the newest times that fill the share, the oldest frees its place when it leaves the
        // window.
        let next_at = |times: &VecDeque<Duration>| {
            let oldest_counted = times.iter().rev().nth(share.sends - 1);
            oldest_counted.map_or(now, |at| (*at + share.window).max(now))
        };
        Some(next_at(&sends.chosen_at).max(next_at(&sends.sent_at)))
    }

    /// Keeps only the servers that the predicate selects.
    pub fn retain(&mut self, is_wanted: impl Fn(&ServerIncarnation) -> bool) {
        self.by_server.retain(|server, _| is_wanted(server));
    }
}

fn drop_expired(times: &mut VecDeque<Duration>, window: Duration, now: Duration) {
    while times
        .front()
        .is_some_and(|at| now.saturating_sub(*at) >= window)
    {
        times.pop_front();
    }
}

fn count_within(times: &VecDeque<Duration>, share: SendShare, now: Duration) -> usize {
    // The newest are last; a window includes the time at its end but not the one at its start.
    let sends = times.iter().rev();
    let sends = sends.take_while(|at| now.saturating_sub(**at) < share.window);
    sends.count()
}
