//! The actor that keeps the settings tree of a process in force.
//!
//! Three ways lead to a newer version: a poll of one small row of the table, a comparison with
//! one random peer, and word of a higher version on any message. All three end in the same
//! place, which takes higher versions only. Waiting for the table or a peer happens in tasks, so
//! that peers who ask are answered at once, also while the table is away.

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

/// Pause while a process without a tree looks for one.
const START_PAUSE: Duration = Duration::from_millis(200);

/// Polls that a process must have missed to count as paused; fewer would doubt a busy machine.
const PAUSE_POLLS: u32 = 3;

/// How often the keeper looks for a newer tree.
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
    /// Whether a keeper that has not polled for so long was paused.
    pub(super) fn is_pause(&self, unseen: Duration) -> bool {
        unseen > self.poll_interval * PAUSE_POLLS
    }
}

impl From<&TreeSettings> for TreeSyncSettings {
    /// An exchange time of 0 ms switches the exchange off.
    fn from(settings: &TreeSettings) -> Self {
        let exchange = Duration::from_millis(settings.exchange_ms);
        Self {
            poll_interval: Duration::from_millis(settings.poll_ms),
            exchange_interval: (!exchange.is_zero()).then_some(exchange),
        }
    }
}

/// What the keeper starts with.
#[derive(Debug, Clone)]
pub struct TreeSyncArguments {
    /// Host of this process.
    pub host: HostId,
    /// How often to look.
    pub settings: TreeSyncSettings,
    /// The platform.
    pub platform: PlatformClient,
    /// Connections to peers.
    pub peers: Arc<PeerClient>,
    /// Addresses of other processes that keep a tree.
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
    /// Whether the process has learned a version it may decide by.
    pub is_ready: bool,
}

/// A message to the keeper.
#[derive(Debug)]
pub enum TreeMessage {
    /// Time to look at the table.
    Poll,
    /// Time to compare with a peer.
    Exchange,
    /// A process at this address has this version.
    Heard(TreeVersion, SocketAddr),
    /// A question asked at this time was answered, or was not.
    Take(Result<TreeReply, String>, Origin, Instant),
    /// A peer hands on what it has.
    Offered(TreeReply),
    /// Some process has this version; which one to ask is not known.
    HeardOf(TreeVersion),
    /// An edit of this process was accepted.
    Accepted(Box<EditRecord>, RpcReplyPort<()>),
    /// What is the state?
    Status(RpcReplyPort<TreeStatus>),
}

/// Where a reply came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
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
    doubted_at: Instant,
    is_table_away: bool,
    last_heard: TreeVersion,
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
        let (doubted_at, is_table_away) = (Instant::now(), false);
        Ok(TreeSyncState {
            arguments,
            log,
            published,
            random,
            doubted_at,
            is_table_away,
            last_heard: TreeVersion::default(),
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
            TreeMessage::Heard(version, address) => state.heard(&myself, version, address),
            TreeMessage::Take(reply, origin, asked_at) => state.answered(reply, origin, asked_at),
            TreeMessage::Offered(offer) => {
                state.take(offer);
            }
            TreeMessage::HeardOf(version) => state.report_version(&myself, version),
            TreeMessage::Accepted(record, reply) => {
                state.accepted(*record);
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
    /// Looks at the table, and sets the time for the next look.
    fn poll(&mut self, myself: &ActorRef<TreeMessage>) {
        self.doubt_after_pause();
        let every = if *self.published.ready.borrow() {
            self.arguments.settings.poll_interval
        } else {
            START_PAUSE
        };
        self.published.polled.send_replace(Instant::now());
        drop(myself.send_after(self.jittered(every), || TreeMessage::Poll));
        self.read_table(myself);
    }

    fn read_table(&self, myself: &ActorRef<TreeMessage>) {
        self.arguments.counters.count("tree.poll");
        let (platform, version) = (self.arguments.platform.clone(), self.log.version());
        let (myself, asked_at) = (myself.clone(), Instant::now());
        tokio::spawn(async move {
            let reply = read_from_table(&platform, version).await;
            let reply = reply.map_err(|error| error.to_string());
            let _ = myself.cast(TreeMessage::Take(reply, Origin::Table, asked_at));
        });
    }

    /// Guards against a process that was paused: it would decide by a tree that may be minutes
    /// old. A timer that is late by several periods shows the pause, and the process is not ready
    /// again until it has an answer to a question asked since then.
    fn doubt_after_pause(&mut self) {
        let late = self.published.polled.borrow().elapsed();
        if !self.arguments.settings.is_pause(late) {
            return;
        }
        self.doubted_at = Instant::now();
        if self.published.ready.send_replace(false) {
            warn!("tree: paused for {} ms, asking again", late.as_millis());
            self.arguments.counters.count("tree.paused");
        }
    }

    fn exchange(&mut self, myself: &ActorRef<TreeMessage>) {
        let Some(every) = self.arguments.settings.exchange_interval else {
            return;
        };
        let every = if *self.published.ready.borrow() {
            every
        } else {
            START_PAUSE
        };
        drop(myself.send_after(self.jittered(every), || TreeMessage::Exchange));
        if let Some(address) = self.random_peer() {
            self.arguments.counters.count("tree.exchange");
            self.ask(myself, address);
        }
    }

    fn heard(&self, myself: &ActorRef<TreeMessage>, version: TreeVersion, address: SocketAddr) {
        if version > self.log.version() {
            self.arguments.counters.count("tree.heard_newer");
            self.ask(myself, address);
        }
    }

    /// Looks at the table at once, or at a random peer while the table is away.
    fn report_version(&mut self, myself: &ActorRef<TreeMessage>, version: TreeVersion) {
        if version <= self.last_heard.max(self.log.version()) {
            return;
        }
        // Every message of a busy entry carries the same news; one look is enough for it.
        self.last_heard = version;
        self.arguments.counters.count("tree.heard_newer");
        match self.random_peer() {
            Some(address) if self.is_table_away => self.ask(myself, address),
            _ => self.read_table(myself),
        }
    }

    fn ask(&self, myself: &ActorRef<TreeMessage>, address: SocketAddr) {
        let peers = Arc::clone(&self.arguments.peers);
        let (host, version) = (self.arguments.host.clone(), self.log.version());
        let (myself, asked_at) = (myself.clone(), Instant::now());
        tokio::spawn(async move {
            let reply = read_from_peer(&peers, address, &host, version).await;
            let reply = reply.map_err(|error| error.to_string());
            let _ = myself.cast(TreeMessage::Take(reply, Origin::Peer, asked_at));
        });
    }

    fn answered(&mut self, reply: Result<TreeReply, String>, origin: Origin, asked_at: Instant) {
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => return self.unanswered(&error, origin),
        };
        if origin == Origin::Table {
            self.is_table_away = false;
        }
        let is_authority = self.is_authority(&reply, origin);
        let is_taken = self.take(reply);
        // An answer from before a pause says nothing on what came during it.
        if is_taken && is_authority && asked_at >= self.doubted_at {
            self.published.ready.send_replace(true);
        }
    }

    /// Whether a reply may make the process ready.
    ///
    /// A peer may be some seconds behind the table, so its word counts only while the table is
    /// away; and a peer that has no tree itself says nothing on whether there is one.
    fn is_authority(&self, reply: &TreeReply, origin: Origin) -> bool {
        match origin {
            Origin::Table => true,
            Origin::Peer => {
                let is_without_tree = *reply == TreeReply::UpToDate(TreeVersion::default());
                self.is_table_away && !is_without_tree
            }
        }
    }

    /// Takes a reply in; false if it cannot be used.
    fn take(&mut self, reply: TreeReply) -> bool {
        match self.log.apply_reply(reply) {
            Ok(TreeUpdate::Updated { from, to }) => {
                info!("tree: version {to} is in force, after {from}");
                self.arguments.counters.count("tree.taken");
                self.publish();
            }
            Ok(TreeUpdate::Unchanged) => {}
            Err(error) => {
                warn!("tree: a reply was not taken: {error}");
                self.arguments.counters.count("tree.not_taken");
                return false;
            }
        }
        true
    }

    fn unanswered(&mut self, error: &str, origin: Origin) {
        match origin {
            Origin::Table if !self.is_table_away => {
                self.is_table_away = true;
                warn!("tree: the table does not answer: {error}");
            }
            _ => debug!("tree: no answer: {error}"),
        }
        self.arguments.counters.count("tree.unanswered");
    }

    fn accepted(&mut self, record: EditRecord) {
        match self.log.apply_record(record) {
            Ok(_) => self.publish(),
            // The poll reads the same edit again.
            Err(error) => warn!("tree: the own edit was not taken: {error}"),
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
    fn jittered(&mut self, every: Duration) -> Duration {
        every.mul_f64(self.random.random_range(0.75..1.0))
    }
}
