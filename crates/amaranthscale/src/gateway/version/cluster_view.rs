//! What a gateway knows, shared by its requests.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::{CallId, InstanceId};
use amaranthscale_core::process::{
    Announcement, Cell, Freshness, InstanceView, ServerList, StoreReader,
};
use amaranthscale_core::version::Routing;
use log::info;
use tokio::sync::{Notify, watch};

use super::super::Clock;
use super::super::clock::ms;

/// Time from its beginning after which an answer counts as old when it is handled: beyond that of a long one over a
/// good link.
pub(super) const SLOW_ANSWER: Duration = Duration::from_millis(300);

/// The newest routing, servers and gateways.
#[derive(Debug)]
pub struct ClusterView {
    clock: Clock,
    known: Mutex<Known>,
    changes: watch::Sender<u64>,
    silence: Notify,
}

#[derive(Debug)]
struct Known {
    routing: Option<Arc<Routing>>,
    servers: Arc<ServerList>,
    instances: InstanceView,
    freshness: Freshness,
    /// Since when there is known to be a newer routing that has not been taken yet.
    newer_since: Option<Duration>,
    /// Addresses of all announced gateways; none while this one is not announced itself.
    announced: Arc<[SocketAddr]>,
    /// Whether the view of the gateways has changed since those were taken.
    announced_is_stale: bool,
    /// Cells that stage servers are dealt out to.
    cells: u32,
}

impl ClusterView {
    /// Knows only the gateway itself.
    #[must_use]
    pub fn new(clock: Clock, instance: InstanceId, announcement: Announcement) -> Self {
        Self {
            clock,
            known: Mutex::new(Known {
                routing: None,
                servers: Arc::default(),
                instances: InstanceView::new(instance, announcement),
                freshness: Freshness::default(),
                newer_since: None,
                announced: Arc::default(),
                announced_is_stale: true,
                cells: 1,
            }),
            changes: watch::Sender::new(0),
            silence: Notify::new(),
        }
    }

    /// The clocks that knowledge is dated by.
    #[must_use]
    pub const fn clock(&self) -> &Clock {
        &self.clock
    }

    /// The routing in force.
    #[must_use]
    pub fn routing(&self) -> Option<Arc<Routing>> {
        self.known().routing.clone()
    }

    /// The servers as listed.
    #[must_use]
    pub fn servers(&self) -> Arc<ServerList> {
        Arc::clone(&self.known().servers)
    }

    /// Age of the routing; none before the first answer of the store.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        let now = self.clock.now_with_suspend();
        self.known().freshness.age(now)
    }

    /// Tells of changes of routing or servers.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Gateways that are not passed over.
    #[must_use]
    pub fn live(&self) -> usize {
        let now = self.clock.now();
        self.known().instances.live_count(now)
    }

    /// The cell that makes a request's pieces.
    #[must_use]
    pub fn cell_of(&self, call: &CallId) -> Cell {
        Cell::of_call(call, self.known().cells)
    }

    /// The gateway that owns a cell's batches, and whether it is this one.
    #[must_use]
    pub fn owner(&self, cell: Cell) -> (InstanceId, SocketAddr, bool) {
        let now = self.clock.now();
        let known = self.known();
        let (id, address) = known.instances.owner(cell, now);
        let is_own = id == known.instances.own();
        (id.clone(), address, is_own)
    }

    /// Lets other gateways own the batches, as long as there is one.
    pub fn step_down(&self) {
        let mut known = self.known();
        known.instances.step_down();
        known.announced_is_stale = true;
    }

    /// This gateway's address and those of all announced ones; none while it must not take a share
    /// of what all may do together.
    #[must_use]
    pub fn announced(&self) -> (SocketAddr, Arc<[SocketAddr]>) {
        let mut known = self.known();
        known.refresh_announced();
        let own = known.instances.own_address();
        (own, Arc::clone(&known.announced))
    }

    /// Notes that a gateway answered.
    pub fn heard(&self, id: &InstanceId) {
        self.known().instances.mark_responsive(id);
    }

    /// Notes that a gateway did not answer.
    pub fn silent(&self, id: &InstanceId) {
        let now = self.clock.now();
        self.known().instances.mark_unresponsive(id, now);
        self.silence.notify_one();
    }

    /// Waits until a gateway did not answer.
    pub async fn silence(&self) {
        self.silence.notified().await;
    }

    /// Gateways that own nothing any more, because this one does in their place.
    #[must_use]
    pub fn displaced(&self) -> Vec<InstanceId> {
        let now = self.clock.now();
        self.known().instances.displaced(now)
    }

    /// Gateways that are passed over, and where they were.
    #[must_use]
    pub fn passed_over(&self) -> Vec<(InstanceId, SocketAddr)> {
        let now = self.clock.now();
        self.known().instances.unresponsive(now)
    }

    /// Other gateways that are not passed over, and where they are.
    #[must_use]
    pub fn others(&self) -> Vec<(InstanceId, SocketAddr)> {
        let now = self.clock.now();
        self.known().instances.live_others(now)
    }

    /// Who reads the store for this gateway, but for those that are left out.
    #[must_use]
    pub fn reader(&self, is_left_out: impl Fn(&InstanceId) -> bool) -> StoreReader {
        let now = self.clock.now();
        self.known().instances.reader(now, is_left_out)
    }

    /// Gateways that nobody here has reached for long.
    #[must_use]
    pub fn forgotten(&self) -> Vec<InstanceId> {
        let now = self.clock.now();
        self.known().instances.expired(now)
    }

    /// Takes a routing that the store told at a time of its clock; one that is not newer is dropped, so that
    /// nothing ever reverts. Says how long ago the store told it, if it was taken and that is known.
    pub fn take_routing(&self, routing: Routing, store_clock: Duration) -> Option<Duration> {
        let now = self.clock.now_with_suspend();
        let mut known = self.known();
        let in_force = known.routing.as_ref().map(|routing| routing.version());
        if in_force >= Some(routing.version()) {
            return None;
        }
        let delay = known.freshness.age_of(store_clock, now);
        info!(
            version = routing.version().get(),
            routes = routing.routes().count(), delay_ms = delay.map_or(0, ms);
            "routing: version in force"
        );
        known.routing = Some(Arc::new(routing));
        drop(known);
        self.changed();
        delay
    }

    /// Dates the routing by an answer of the store that began to come at a time of the clock that goes on
    /// while the machine is suspended.
    pub fn confirm(&self, store_clock: Duration, heard_at: Duration) {
        let handled = self.clock.now_with_suspend().saturating_sub(heard_at);
        let began_at = self.clock.now().saturating_sub(handled);
        let mut known = self.known();
        known.freshness.record_answer(store_clock, heard_at);
        // What was long on its way may have been replaced meanwhile: the next answer tells.
        known.newer_since = (handled > SLOW_ANSWER).then_some(began_at);
    }

    /// Notes that a newer routing has begun to come: one that was just published, or, where the store answered
    /// at once, one that may be as old as the last word that the present one is in force.
    pub fn newer_has_begun(&self, answered_at_once: bool) {
        let now = self.clock.now();
        let age = self.age().filter(|_| answered_at_once);
        let since = now.saturating_sub(age.unwrap_or_default());
        self.known().newer_since.get_or_insert(since);
    }

    /// Notes that the store does not answer: what is known is all that can be decided by.
    ///
    /// Guards against an outage in which all gateways that had just begun to hear of a change refuse everything.
    pub fn nothing_newer_is_to_be_had(&self) {
        self.known().newer_since = None;
    }

    /// Whether there has been known to be a newer routing for longer than a time.
    #[must_use]
    pub fn is_behind(&self, after: Duration) -> bool {
        let now = self.clock.now();
        let newer_since = self.known().newer_since;
        newer_since.is_some_and(|since| now.saturating_sub(since) > after)
    }

    /// Changes the list of servers by a function that says whether anything in use changed.
    pub fn change_servers(&self, change: impl FnOnce(&mut ServerList, Duration) -> bool) {
        let now = self.clock.now();
        let mut known = self.known();
        let is_changed = change(Arc::make_mut(&mut known.servers), now);
        drop(known);
        if is_changed {
            self.changed();
        }
    }

    /// Changes the view of the gateways.
    pub fn change_instances<T>(&self, change: impl FnOnce(&mut InstanceView) -> T) -> T {
        let mut known = self.known();
        known.announced_is_stale = true;
        change(&mut known.instances)
    }

    fn changed(&self) {
        self.known().count_cells();
        self.changes.send_modify(|count| *count += 1);
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Known {
    /// Takes the addresses anew if they may have changed: only then, as a list of hundreds is taken row by
    /// row. While no gateway comes or goes they stay the same, so that what was worked out from them holds.
    fn refresh_announced(&mut self) {
        if !std::mem::take(&mut self.announced_is_stale) {
            return;
        }
        let addresses = self.instances.announced_addresses();
        if *self.announced != *addresses {
            self.announced = addresses.into();
        }
    }

    /// Deals out anew where the number of servers asks for it; an evacuation does not, as all is
    /// dealt as before when the zone is taken back.
    fn count_cells(&mut self) {
        let Some(routing) = &self.routing else {
            return;
        };
        let batched = routing.pools().filter(|pool| pool.batch.is_some());
        let servers = batched.map(|pool| self.servers.not_leaving(&pool.service).count());
        let cells = Cell::count(servers);
        if cells != self.cells {
            info!(cells, before = self.cells; "batches: dealt out to cells");
            self.cells = cells;
        }
    }
}
