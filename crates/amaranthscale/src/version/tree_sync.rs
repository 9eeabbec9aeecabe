//! The actor that synchronises the settings tree of a process.
//!
//! It learns of a newer version in three ways: from a poll of one small row of the table, from a
//! comparison with one random peer, and from a higher version in any message. All three end in the
//! same function, which applies only higher versions. Requests to the table or a peer run in tasks,
//! so that requests of peers are answered at once, even while the table is unavailable.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::{HostId, TreeVersion};
use amaranthscale_core::version::{EditRecord, TreeLog, TreeUpdate};
use amaranthscale_core::wire::TreeReply;
use log::{debug, info, warn};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;

use super::PublishedTree;
use super::tree_client::{read_from_peer, read_from_table};
use crate::connection::PeerClient;
use crate::process::settings::TreeSettings;
use crate::process::{Counters, PlatformClient};

/// Time between polls, and between exchanges, while a process is not ready.
const NOT_READY_INTERVAL: Duration = Duration::from_millis(200);

/// Polls that a process must have missed to count as paused; fewer would affect a busy host.
const MISSED_POLLS: u32 = 3;

/// How often the actor looks for a newer tree.
#[derive(Debug, Clone, Copy)]
pub struct TreeSyncSettings {
    /// Time between polls of the table.
    pub poll_interval: Duration,
    /// Time between comparisons with a random peer; none switches them off.
    pub exchange_interval: Option<Duration>,
}

impl Default for TreeSyncSettings {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_secs(2),
            exchange_interval: Some(Duration::from_secs(2)),
        }
    }
}

impl TreeSyncSettings {
    /// Whether an actor with this time since its last poll was paused.
    pub(super) fn is_pause(&self, since_last_poll: Duration) -> bool {
        since_last_poll > self.poll_interval * MISSED_POLLS
    }
}

impl From<&TreeSettings> for TreeSyncSettings {
    /// An exchange interval of 0 ms switches the exchange off.
    fn from(settings: &TreeSettings) -> Self {
        let exchange = Duration::from_millis(settings.exchange_ms);
        Self {
            poll_interval: Duration::from_millis(settings.poll_ms),
            exchange_interval: (!exchange.is_zero()).then_some(exchange),
        }
    }
}

/// Arguments of the actor.
#[derive(Debug, Clone)]
pub struct TreeSyncArguments {
    /// Host of this process.
    pub host: HostId,
    /// Intervals of polls and exchanges.
    pub settings: TreeSyncSettings,
    /// The platform.
    pub platform: PlatformClient,
    /// Connections to peers.
    pub peers: Arc<PeerClient>,
    /// Addresses of other processes that have a tree.
    pub peer_addresses: watch::Receiver<Vec<SocketAddr>>,
    /// Counters of this process.
    pub counters: Arc<Counters>,
    /// Seed of random choices.
    pub seed: u64,
}

/// State of the tree in a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct TreeStatus {
    /// Version in force.
    pub version: TreeVersion,
    /// Whether the process has a version that it may make decisions from.
    pub is_ready: bool,
}

/// A message to the actor.
#[derive(Debug)]
pub enum TreeMessage {
    /// Time to poll the table.
    Poll,
    /// Time to compare versions with a peer.
    Exchange,
    /// A process at this address has this version.
    PeerVersion(TreeVersion, SocketAddr),
    /// The reply to a request that was sent at this time, or why there is none.
    Reply(Result<TreeReply, String>, ReplySource, Instant),
    /// Changes that a peer offers.
    Offer(TreeReply),
    /// Some process, whose address is not known, has this version.
    VersionReported(TreeVersion),
    /// An edit of this process was accepted.
    Accepted(Box<EditRecord>, RpcReplyPort<()>),
    /// Asks for the status.
    Status(RpcReplyPort<TreeStatus>),
}

/// The source of a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplySource {
    /// The platform's table.
    Table,
    /// Another process.
    Peer,
}

/// The actor.
#[derive(Debug)]
pub struct TreeSync;

/// State of the actor.
#[derive(Debug)]
pub struct TreeSyncState {
    arguments: TreeSyncArguments,
    log: TreeLog,
    published: PublishedTree,
    random: SmallRng,
    valid_replies_from: Instant,
    is_table_unavailable: bool,
    last_reported: TreeVersion,
}

impl Actor for TreeSync {
    type Msg = TreeMessage;
    type State = TreeSyncState;
    type Arguments = (TreeSyncArguments, PublishedTree);

    async fn pre_start(
        &self,
        myself: ActorRef<TreeMessage>,
        (arguments, published): Self::Arguments,
    ) -> Result<TreeSyncState, ActorProcessingErr> {
        let log = TreeLog::clone(&published.log.borrow());
        let random = SmallRng::seed_from_u64(arguments.seed);
        myself.cast(TreeMessage::Poll)?;
        if arguments.settings.exchange_interval.is_some() {
            myself.cast(TreeMessage::Exchange)?;
        }
        let (valid_replies_from, is_table_unavailable) = (Instant::now(), false);
        Ok(TreeSyncState {
            arguments,
            log,
            published,
            random,
            valid_replies_from,
            is_table_unavailable,
            last_reported: TreeVersion::default(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<TreeMessage>,
        message: TreeMessage,
        state: &mut TreeSyncState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            TreeMessage::Poll => state.poll(&myself),
            TreeMessage::Exchange => state.exchange(&myself),
            TreeMessage::PeerVersion(version, address) => state.compare(&myself, version, address),
            TreeMessage::Reply(reply, source, sent_at) => state.on_reply(reply, source, sent_at),
            TreeMessage::Offer(offer) => {
                state.apply(offer);
            }
            TreeMessage::VersionReported(version) => state.on_version_reported(&myself, version),
            TreeMessage::Accepted(record, reply) => {
                state.on_edit_accepted(*record);
                let _ = reply.send(());
            }
            TreeMessage::Status(reply) => {
                let _ = reply.send(state.status());
            }
        }
        Ok(())
    }
}

impl TreeSyncState {
    /// Polls the table and schedules the next poll.
    fn poll(&mut self, myself: &ActorRef<TreeMessage>) {
        self.detect_pause();
        let interval = if *self.published.ready.borrow() {
            self.arguments.settings.poll_interval
        } else {
            NOT_READY_INTERVAL
        };
        self.published.last_poll.send_replace(Instant::now());
        drop(myself.send_after(self.jittered(interval), || TreeMessage::Poll));
        self.read_table(myself);
    }

    fn read_table(&self, myself: &ActorRef<TreeMessage>) {
        self.arguments.counters.count("tree.poll");
        let (platform, version) = (self.arguments.platform.clone(), self.log.version());
        let (myself, sent_at) = (myself.clone(), Instant::now());
        tokio::spawn(async move {
            let reply = read_from_table(&platform, version).await;
            let reply = reply.map_err(|error| error.to_string());
            let _ = myself.cast(TreeMessage::Reply(reply, ReplySource::Table, sent_at));
        });
    }

    /// Guards against a process that was paused: it would make decisions from a tree that may be
    /// minutes old. A timer that is late by several intervals shows the pause, and the process is
    /// not ready again until it has a reply to a request that was sent since then.
    fn detect_pause(&mut self) {
        let since_last_poll = self.published.last_poll.borrow().elapsed();
        if !self.arguments.settings.is_pause(since_last_poll) {
            return;
        }
        self.valid_replies_from = Instant::now();
        if self.published.ready.send_replace(false) {
            warn!(
                "tree: paused for {} ms, requesting the tree again",
                since_last_poll.as_millis()
            );
            self.arguments.counters.count("tree.paused");
        }
    }

    fn exchange(&mut self, myself: &ActorRef<TreeMessage>) {
        let Some(interval) = self.arguments.settings.exchange_interval else {
            return;
        };
        let interval = if *self.published.ready.borrow() {
            interval
        } else {
            NOT_READY_INTERVAL
        };
        drop(myself.send_after(self.jittered(interval), || TreeMessage::Exchange));
        if let Some(address) = self.random_peer() {
            self.arguments.counters.count("tree.exchange");
            self.request_from_peer(myself, address);
        }
    }

    fn compare(&self, myself: &ActorRef<TreeMessage>, version: TreeVersion, address: SocketAddr) {
        if version > self.log.version() {
            self.arguments.counters.count("tree.heard_newer");
            self.request_from_peer(myself, address);
        }
    }

    /// Polls the table at once, or a random peer while the table is unavailable.
    fn on_version_reported(&mut self, myself: &ActorRef<TreeMessage>, version: TreeVersion) {
        if version <= self.last_reported.max(self.log.version()) {
            return;
        }
        // Every message of a busy entry carries the same version; one request for it is enough.
        self.last_reported = version;
        self.arguments.counters.count("tree.heard_newer");
        match self.random_peer() {
            Some(address) if self.is_table_unavailable => self.request_from_peer(myself, address),
            _ => self.read_table(myself),
        }
    }

    fn request_from_peer(&self, myself: &ActorRef<TreeMessage>, address: SocketAddr) {
        let peers = Arc::clone(&self.arguments.peers);
        let (host, version) = (self.arguments.host.clone(), self.log.version());
        let (myself, sent_at) = (myself.clone(), Instant::now());
        tokio::spawn(async move {
            let reply = read_from_peer(&peers, address, &host, version).await;
            let reply = reply.map_err(|error| error.to_string());
            let _ = myself.cast(TreeMessage::Reply(reply, ReplySource::Peer, sent_at));
        });
    }

    fn on_reply(
        &mut self,
        reply: Result<TreeReply, String>,
        source: ReplySource,
        sent_at: Instant,
    ) {
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => return self.on_no_reply(&error, source),
        };
        if source == ReplySource::Table {
            self.is_table_unavailable = false;
        }
        let is_authoritative = self.is_authoritative(&reply, source);
        let is_applied = self.apply(reply);
        // A reply to a request from before a pause may lack versions from during it.
        if is_applied && is_authoritative && sent_at >= self.valid_replies_from {
            self.published.ready.send_replace(true);
        }
    }

    /// Whether a reply may make the process ready.
    ///
    /// A peer may be some seconds behind the table, so its reply counts only while the table is
    /// unavailable; and a peer without a tree does not show that there is none.
    fn is_authoritative(&self, reply: &TreeReply, source: ReplySource) -> bool {
        match source {
            ReplySource::Table => true,
            ReplySource::Peer => {
                let is_without_tree = *reply == TreeReply::UpToDate(TreeVersion::default());
                self.is_table_unavailable && !is_without_tree
            }
        }
    }

    /// Applies a reply; false if it cannot be used.
    fn apply(&mut self, reply: TreeReply) -> bool {
        match self.log.apply_reply(reply) {
            Ok(TreeUpdate::Updated { from, to }) => {
                info!("tree: version {to} is in force, after {from}");
                self.arguments.counters.count("tree.taken");
                self.publish();
            }
            Ok(TreeUpdate::Unchanged) => {}
            Err(error) => {
                warn!("tree: reply not applied: {error}");
                self.arguments.counters.count("tree.not_taken");
                return false;
            }
        }
        true
    }

    fn on_no_reply(&mut self, error: &str, source: ReplySource) {
        match source {
            ReplySource::Table if !self.is_table_unavailable => {
                self.is_table_unavailable = true;
                warn!("tree: the table does not answer: {error}");
            }
            _ => debug!("tree: no answer: {error}"),
        }
        self.arguments.counters.count("tree.unanswered");
    }

    fn on_edit_accepted(&mut self, record: EditRecord) {
        match self.log.apply_record(record) {
            Ok(_) => self.publish(),
            // The next poll reads the same edit again.
            Err(error) => warn!("tree: own edit not applied: {error}"),
        }
    }

    fn publish(&self) {
        self.published
            .in_force
            .send_replace(Arc::clone(self.log.current()));
        self.published.log.send_replace(Arc::new(self.log.clone()));
    }

    fn status(&self) -> TreeStatus {
        TreeStatus {
            version: self.log.version(),
            is_ready: *self.published.ready.borrow(),
        }
    }

    fn random_peer(&mut self) -> Option<SocketAddr> {
        let addresses = self.arguments.peer_addresses.borrow();
        if addresses.is_empty() {
            return None;
        }
        let index = self.random.random_range(0..addresses.len());
        addresses.get(index).copied()
    }

    /// Spreads the polls of processes that started together.
    fn jittered(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.random.random_range(0.75..1.0))
    }
}
