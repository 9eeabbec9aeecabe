//! A gateway's view of routing, servers and gateways, shared by its requests.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::{CallId, InstanceId};
use amaranthscale_core::process::{
    Announcement, Cell, Freshness, InstanceView, ServerList, StartPlan, StoreReader,
};
use amaranthscale_core::version::Routing;
use log::info;
use tokio::sync::{Notify, watch};

use super::super::Clock;
use super::super::clock::ms;

/// Time from the beginning of an answer to its handling from which its data counts as old; longer
/// than a long answer takes over a good connection.
pub(super) const SLOW_ANSWER_AGE: Duration = Duration::from_millis(300);

/// Longest wait for the first attempt to list the gateways, which names the neighbours: longer than
/// a call to the store that gets no answer.
pub(super) const LIST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The newest routing, servers and gateways.
#[derive(Debug)]
pub struct ClusterView {
    clock: Clock,
    state: Mutex<ViewState>,
    changes: watch::Sender<u64>,
    list_state: watch::Sender<ListState>,
    unresponsive_marked: Notify,
}

/// Whether the gateways were listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ListState {
    /// The first attempt has not ended.
    Unknown,
    /// The first attempt failed, and no other has succeeded.
    Unavailable,
    /// They were listed once.
    Listed,
}

#[derive(Debug)]
struct ViewState {
    routing: Option<Arc<Routing>>,
    servers: Arc<ServerList>,
    instances: InstanceView,
    freshness: Freshness,
    /// Since when a newer routing is known to exist that is not applied yet.
    newer_since: Option<Duration>,
    /// Addresses of all announced gateways; empty while this one is not announced.
    announced_addresses: Arc<[SocketAddr]>,
    /// Whether the gateways may have changed since these addresses were collected.
    is_announced_stale: bool,
    /// Number of cells among which stage servers are divided.
    cells: u32,
}

impl ClusterView {
    /// Creates a view that contains only the gateway itself.
    #[must_use]
    pub fn new(clock: Clock, instance: InstanceId, announcement: Announcement) -> Self {
        Self {
            clock,
            state: Mutex::new(ViewState {
                routing: None,
                servers: Arc::default(),
                instances: InstanceView::new(instance, announcement),
                freshness: Freshness::default(),
                newer_since: None,
                announced_addresses: Arc::default(),
                is_announced_stale: true,
                cells: 1,
            }),
            changes: watch::Sender::new(0),
            list_state: watch::Sender::new(ListState::Unknown),
            unresponsive_marked: Notify::new(),
        }
    }

    /// The clocks by which the age of the data is measured.
    #[must_use]
    pub const fn clock(&self) -> &Clock {
        &self.clock
    }

    /// The routing in force.
    #[must_use]
    pub fn routing(&self) -> Option<Arc<Routing>> {
        self.state().routing.clone()
    }

    /// The list of servers.
    #[must_use]
    pub fn servers(&self) -> Arc<ServerList> {
        Arc::clone(&self.state().servers)
    }

    /// Age of the routing; `None` before the first answer of the store.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        let now = self.clock.now_with_suspend();
        self.state().freshness.age(now)
    }

    /// Time since the store's clock showed the given time; `None` before its first answer.
    #[must_use]
    pub fn age_of(&self, store_clock: Duration) -> Option<Duration> {
        let now = self.clock.now_with_suspend();
        self.state().freshness.age_of(store_clock, now)
    }

    /// The time that the store's clock shows now; `None` before its first answer.
    #[must_use]
    pub fn store_clock(&self) -> Option<Duration> {
        let now = self.clock.now_with_suspend();
        self.state().freshness.store_clock(now)
    }

    /// Subscribes to changes of routing or servers.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Number of announced gateways, by which shares of common limits are divided.
    #[must_use]
    pub fn announced_count(&self) -> usize {
        self.state().instances.announced_count()
    }

    /// Number of gateways that are not unresponsive.
    #[must_use]
    pub fn live_count(&self) -> usize {
        let now = self.clock.now();
        self.state().instances.live_count(now)
    }

    /// The cell that runs a request's job.
    #[must_use]
    pub fn cell_of(&self, call: &CallId) -> Cell {
        Cell::of_call(call, self.state().cells)
    }

    /// The gateway that owns a cell's batches, and whether it is this one.
    #[must_use]
    pub fn owner(&self, cell: Cell) -> (InstanceId, SocketAddr, bool) {
        let now = self.clock.now();
        let state = self.state();
        let (id, address) = state.instances.owner(cell, now);
        let is_own = id == state.instances.own();
        (id.clone(), address, is_own)
    }

    /// Makes other gateways the batch owners, as long as there is another one.
    pub fn step_down(&self) {
        let mut state = self.state();
        state.instances.step_down();
        state.is_announced_stale = true;
    }

    /// This gateway's address and those of all announced gateways; the latter are empty while this
    /// one must not take a share of a common limit.
    #[must_use]
    pub fn announced_addresses(&self) -> (SocketAddr, Arc<[SocketAddr]>) {
        let mut state = self.state();
        state.refresh_announced_addresses();
        let own = state.instances.own_address();
        (own, Arc::clone(&state.announced_addresses))
    }

    /// This gateway and the others that are not unresponsive, with their addresses.
    #[must_use]
    pub fn live_gateways(&self) -> Vec<(InstanceId, SocketAddr)> {
        let now = self.clock.now();
        let state = self.state();
        let own = (state.instances.own().clone(), state.instances.own_address());
        let mut gateways = state.instances.live_others(now);
        gateways.push(own);
        gateways
    }

    /// Records that a gateway answered.
    pub fn mark_responsive(&self, id: &InstanceId) {
        self.state().instances.mark_responsive(id);
    }

    /// Records that a gateway did not answer.
    pub fn mark_unresponsive(&self, id: &InstanceId) {
        let now = self.clock.now();
        self.state().instances.mark_unresponsive(id, now);
        self.unresponsive_marked.notify_one();
    }

    /// Waits until a gateway is recorded as not answering.
    pub async fn unresponsive_marked(&self) {
        self.unresponsive_marked.notified().await;
    }

    /// Gateways that this one has replaced as batch owner.
    #[must_use]
    pub fn displaced(&self) -> Vec<InstanceId> {
        let now = self.clock.now();
        self.state().instances.displaced(now)
    }

    /// Unresponsive gateways and their addresses.
    #[must_use]
    pub fn unresponsive(&self) -> Vec<(InstanceId, SocketAddr)> {
        let now = self.clock.now();
        self.state().instances.unresponsive(now)
    }

    /// Other gateways that are not unresponsive, and their addresses.
    #[must_use]
    pub fn live_others(&self) -> Vec<(InstanceId, SocketAddr)> {
        let now = self.clock.now();
        self.state().instances.live_others(now)
    }

    /// The gateway that reads the store for this one, other than excluded ones.
    #[must_use]
    pub fn zone_reader(&self, is_excluded: impl Fn(&InstanceId) -> bool) -> StoreReader {
        let now = self.clock.now();
        self.state().instances.reader(now, is_excluded)
    }

    /// Records that all gateways are listed.
    pub fn mark_listed(&self) {
        self.list_state.send_replace(ListState::Listed);
    }

    /// Records that the gateways could not be listed, if they never were.
    pub fn mark_list_unavailable(&self) {
        self.list_state.send_if_modified(|state| {
            let is_changed = *state == ListState::Unknown;
            if is_changed {
                *state = ListState::Unavailable;
            }
            is_changed
        });
    }

    /// Whether the gateways were listed once.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        *self.list_state.borrow() == ListState::Listed
    }

    /// Whether the first attempt to list the gateways has failed, and no other has succeeded.
    pub async fn is_list_unavailable(&self) -> bool {
        self.wait_for_list(LIST_TIMEOUT).await;
        *self.list_state.borrow() == ListState::Unavailable
    }

    /// Waits until the gateways are listed, or for a time.
    pub async fn wait_until_listed(&self, timeout: Duration) {
        let mut list_state = self.list_state.subscribe();
        let listed = list_state.wait_for(|state| *state == ListState::Listed);
        let _ = tokio::time::timeout(timeout, listed).await;
    }

    /// Waits for the first attempt to list the gateways, or for a time.
    pub async fn wait_for_list(&self, timeout: Duration) {
        let mut list_state = self.list_state.subscribe();
        let attempted = list_state.wait_for(|state| *state != ListState::Unknown);
        // Whoever waits has other ways if they are not listed by then.
        let _ = tokio::time::timeout(timeout, attempted).await;
    }

    /// From where to read the store's tables at the start, once the gateways are listed; `None`
    /// without a list, or while the store's clock is unknown.
    pub async fn start_plan(&self, timeout: Duration) -> Option<StartPlan> {
        self.wait_for_list(timeout).await;
        let now = self.clock.now();
        let state = self.state();
        let is_usable = self.is_listed() && state.freshness.is_clock_known();
        is_usable.then(|| state.instances.start_plan(now))
    }

    /// Ended incarnations at this gateway's address that are still announced.
    #[must_use]
    pub fn former_instances(&self) -> Vec<InstanceId> {
        self.state().instances.former()
    }

    /// Gateways that this one has not reached for long.
    #[must_use]
    pub fn expired(&self) -> Vec<InstanceId> {
        let now = self.clock.now();
        self.state().instances.expired(now)
    }

    /// Applies a routing that the store returned at a time of its clock. One that is not newer is
    /// dropped, so that no older version returns. Returns how long ago the store returned it, if it
    /// was applied and that is known.
    pub fn apply_routing(&self, routing: Routing, store_clock: Duration) -> Option<Duration> {
        let now = self.clock.now_with_suspend();
        let mut state = self.state();
        let in_force = state.routing.as_ref().map(|routing| routing.version());
        if in_force >= Some(routing.version()) {
            return None;
        }
        let delay = state.freshness.age_of(store_clock, now);
        info!(
            version = routing.version().get(),
            routes = routing.routes().count(), delay_ms = delay.map_or(0, ms);
            "routing: version in force"
        );
        state.routing = Some(Arc::new(routing));
        drop(state);
        self.notify_changed();
        delay
    }

    /// Records the store's clock from one of its own answers.
    pub fn record_store_clock(&self, store_clock: Duration, received_at: Duration) {
        self.state()
            .freshness
            .record_clock(store_clock, received_at);
    }

    /// Records an answer of the store, by which the age of the routing is measured. `received_at`
    /// is when it began, by the clock that also counts while the host is suspended.
    pub fn record_routing_answer(&self, store_clock: Duration, received_at: Duration) {
        let handled = self.clock.now_with_suspend().saturating_sub(received_at);
        let began_at = self.clock.now().saturating_sub(handled);
        let mut state = self.state();
        state.freshness.record_answer(store_clock, received_at);
        // The data of a slow answer may be outdated already; the next answer shows whether it is.
        state.newer_since = (handled > SLOW_ANSWER_AGE).then_some(began_at);
    }

    /// Records that a newer routing has begun to arrive. It was just published or, if the answer
    /// was immediate, may be as old as the last confirmation of the current one.
    pub fn mark_newer_routing(&self, is_immediate: bool) {
        let now = self.clock.now();
        let age = self.age().filter(|_| is_immediate);
        let since = now.saturating_sub(age.unwrap_or_default());
        self.state().newer_since.get_or_insert(since);
    }

    /// Records that the store does not answer, so that the current routing remains in use.
    ///
    /// Otherwise, in an outage, all gateways that had just begun to receive a newer routing would
    /// refuse every request.
    pub fn mark_store_unavailable(&self) {
        self.state().newer_since = None;
    }

    /// Whether a newer routing has been known to exist for longer than a time.
    #[must_use]
    pub fn is_behind(&self, after: Duration) -> bool {
        let now = self.clock.now();
        let newer_since = self.state().newer_since;
        newer_since.is_some_and(|since| now.saturating_sub(since) > after)
    }

    /// Changes the list of servers; the function returns whether anything in use changed, and so does
    /// this.
    pub fn change_servers(&self, change: impl FnOnce(&mut ServerList, Duration) -> bool) -> bool {
        let now = self.clock.now();
        let mut state = self.state();
        let is_changed = change(Arc::make_mut(&mut state.servers), now);
        drop(state);
        if is_changed {
            self.notify_changed();
        }
        is_changed
    }

    /// Changes the view of the gateways.
    pub fn change_instances<T>(&self, change: impl FnOnce(&mut InstanceView) -> T) -> T {
        let mut state = self.state();
        state.is_announced_stale = true;
        change(&mut state.instances)
    }

    fn notify_changed(&self) {
        self.state().update_cells();
        self.changes.send_modify(|count| *count += 1);
    }

    fn state(&self) -> MutexGuard<'_, ViewState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ViewState {
    /// Collects the addresses again if they may have changed; not on every row, as a table may have
    /// hundreds. While no gateway is added or removed the allocation stays the same, so that shares
    /// computed from it stay valid.
    fn refresh_announced_addresses(&mut self) {
        if !std::mem::take(&mut self.is_announced_stale) {
            return;
        }
        let addresses = self.instances.announced_addresses();
        if *self.announced_addresses != *addresses {
            self.announced_addresses = addresses.into();
        }
    }

    /// Updates the number of cells if the number of servers requires it. Servers of evacuated zones
    /// count, so that the cells are the same again when a zone is taken back.
    fn update_cells(&mut self) {
        let Some(routing) = &self.routing else {
            return;
        };
        let batched_pools = routing.pools().filter(|pool| pool.batch.is_some());
        let servers = batched_pools.map(|pool| self.servers.not_leaving(&pool.service).count());
        let cells = Cell::count(servers);
        if cells != self.cells {
            info!(cells, before = self.cells; "batches: number of cells changed");
            self.cells = cells;
        }
    }
}
