//! The actor that keeps the settings tree of a process in force.
//!
//! Three ways lead to a newer version: a poll of one small row of the table, a comparison with
//! one random peer, and word of a higher version on any message. All three end in the same
//! place, which takes higher versions only. Waiting for the table or a peer happens in tasks, so
//! that peers who ask are answered at once, also while the table is away.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{HostId, TreeVersion};
use amaranthscale_core::version::{
    CompiledTree, ConditionalWrite, EditRecord, SNAPSHOT_EVERY_EDITS, SettingsTree, TREE_HEAD_KEY,
    TREE_SNAPSHOT_KEY, Taken, TreeEdit, TreeError, TreeHead, TreeLog, WriteStep,
};
use amaranthscale_core::wire::{RowWrite, TreeReply};
use log::{debug, info, warn};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;

use super::tree_client::{offer_to_peer, read_from_peer, read_from_table};
use crate::connection::PeerClient;
use crate::process::settings::TreeSettings;
use crate::process::{Counters, PlatformClient, new_write_id, settle};

/// Peers that are handed an edit before it is called accepted, so that it outlives the death of
/// this process together with an outage of the table.
const PEERS_OFFERED: usize = 2;
/// Longest wait for the table to settle an edit.
const EDIT_PATIENCE: Duration = Duration::from_secs(8);
/// Pause while a process without a tree looks for one.
const START_PAUSE: Duration = Duration::from_millis(200);

/// How often the keeper looks for a newer tree.
#[derive(Debug, Clone, Copy)]
pub struct TreeKeeperSettings {
    /// Time between polls of the table.
    pub poll: Duration,
    /// Time between comparisons with a random peer; none switches them off.
    pub exchange: Option<Duration>,
}

impl Default for TreeKeeperSettings {
    fn default() -> Self {
        Self {
            poll: Duration::from_secs(2),
            exchange: Some(Duration::from_secs(2)),
        }
    }
}

impl From<&TreeSettings> for TreeKeeperSettings {
    /// An exchange time of 0 ms switches the exchange off.
    fn from(settings: &TreeSettings) -> Self {
        let exchange = Duration::from_millis(settings.exchange_ms);
        Self {
            poll: Duration::from_millis(settings.poll_ms),
            exchange: (!exchange.is_zero()).then_some(exchange),
        }
    }
}

/// What the keeper starts with.
#[derive(Debug, Clone)]
pub struct TreeKeeperArguments {
    /// Host of this process.
    pub host: HostId,
    /// How often to look.
    pub settings: TreeKeeperSettings,
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

/// An operator's edit, made against a version.
#[derive(Debug, Clone)]
pub struct EditProposal {
    /// Version that the operator had read.
    pub expected: TreeVersion,
    /// The edit.
    pub edit: TreeEdit,
    /// Who makes it.
    pub by: String,
}

/// What became of an edit.
#[derive(Debug)]
pub enum EditResult {
    /// It is accepted, as this version.
    Accepted(TreeVersion),
    /// Others came first: the version in force and their edits.
    Conflict(TreeVersion, Vec<EditRecord>),
    /// It does not hold.
    Invalid(TreeError),
    /// Nothing was tried or changed, for this reason.
    Refused(ResultCode),
    /// Whether it took effect is not known; looking at the history later tells.
    Unknown,
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
    /// Something newer may have come.
    Take(Result<TreeReply, String>, Origin),
    /// A peer asks what it lacks.
    Since(TreeVersion, RpcReplyPort<TreeReply>),
    /// What is the log, for an edit?
    Log(RpcReplyPort<TreeLog>),
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
pub struct TreeKeeper;

/// State of the actor.
#[derive(Debug)]
pub struct TreeKeeperState {
    arguments: TreeKeeperArguments,
    log: TreeLog,
    in_force: watch::Sender<Arc<CompiledTree>>,
    ready: watch::Sender<bool>,
    random: SmallRng,
    last_poll: Instant,
    is_table_away: bool,
}

impl Actor for TreeKeeper {
    type Msg = TreeMessage;
    type State = TreeKeeperState;
    type Arguments = (
        TreeKeeperArguments,
        watch::Sender<Arc<CompiledTree>>,
        watch::Sender<bool>,
    );

    async fn pre_start(
        &self,
        myself: ActorRef<TreeMessage>,
        (arguments, in_force, ready): Self::Arguments,
    ) -> Result<TreeKeeperState, ActorProcessingErr> {
        let log = TreeLog::new(SettingsTree::empty())?;
        let random = SmallRng::seed_from_u64(arguments.seed);
        myself.cast(TreeMessage::Poll)?;
        if arguments.settings.exchange.is_some() {
            myself.cast(TreeMessage::Exchange)?;
        }
        let (last_poll, is_table_away) = (Instant::now(), false);
        Ok(TreeKeeperState {
            arguments,
            log,
            in_force,
            ready,
            random,
            last_poll,
            is_table_away,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<TreeMessage>,
        message: TreeMessage,
        state: &mut TreeKeeperState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            TreeMessage::Poll => state.poll(&myself),
            TreeMessage::Exchange => state.exchange(&myself),
            TreeMessage::Heard(version, address) => state.heard(&myself, version, address),
            TreeMessage::Take(reply, origin) => state.take(reply, origin),
            TreeMessage::Since(version, reply) => {
                let _ = reply.send(state.log.since(version));
            }
            TreeMessage::Log(reply) => {
                let _ = reply.send(state.log.clone());
            }
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

impl TreeKeeperState {
    /// Looks at the table, and sets the time for the next look.
    fn poll(&mut self, myself: &ActorRef<TreeMessage>) {
        self.doubt_after_pause();
        let every = if *self.ready.borrow() {
            self.arguments.settings.poll
        } else {
            START_PAUSE
        };
        self.last_poll = Instant::now();
        drop(myself.send_after(self.jittered(every), || TreeMessage::Poll));
        self.arguments.counters.count("tree.poll");
        let (platform, version) = (self.arguments.platform.clone(), self.log.version());
        let myself = myself.clone();
        tokio::spawn(async move {
            let reply = read_from_table(&platform, version).await;
            let reply = reply.map_err(|error| error.to_string());
            let _ = myself.cast(TreeMessage::Take(reply, Origin::Table));
        });
    }

    /// Guards against a process that was paused: it would decide by a tree that may be minutes
    /// old. A timer that is late by several periods shows the pause, and the process is not ready
    /// again until it has heard from the table or a peer.
    fn doubt_after_pause(&self) {
        let late = self.last_poll.elapsed();
        if late > self.arguments.settings.poll * 3 && self.ready.send_replace(false) {
            warn!("tree: paused for {} ms, asking again", late.as_millis());
            self.arguments.counters.count("tree.paused");
        }
    }

    fn exchange(&mut self, myself: &ActorRef<TreeMessage>) {
        let Some(every) = self.arguments.settings.exchange else {
            return;
        };
        let every = if *self.ready.borrow() {
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

    fn ask(&self, myself: &ActorRef<TreeMessage>, address: SocketAddr) {
        let peers = Arc::clone(&self.arguments.peers);
        let (host, version) = (self.arguments.host.clone(), self.log.version());
        let myself = myself.clone();
        tokio::spawn(async move {
            let reply = read_from_peer(&peers, address, &host, version).await;
            let reply = reply.map_err(|error| error.to_string());
            let _ = myself.cast(TreeMessage::Take(reply, Origin::Peer));
        });
    }

    fn take(&mut self, reply: Result<TreeReply, String>, origin: Origin) {
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => return self.unanswered(&error, origin),
        };
        if origin == Origin::Table {
            self.is_table_away = false;
        }
        let is_word_of_a_peer_without_tree =
            origin == Origin::Peer && reply == TreeReply::UpToDate(TreeVersion::default());
        match self.log.take(reply) {
            Ok(Taken::Newer { from, to }) => {
                info!("tree: version {to} is in force, after {from}");
                self.arguments.counters.count("tree.taken");
                self.publish();
            }
            Ok(Taken::Nothing) => {}
            Err(error) => {
                warn!("tree: a reply was not taken: {error}");
                self.arguments.counters.count("tree.not_taken");
                return;
            }
        }
        // A peer that has no tree itself says nothing on whether there is one.
        if !is_word_of_a_peer_without_tree {
            self.ready.send_replace(true);
        }
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
        match self.log.take_record(record) {
            Ok(_) => self.publish(),
            // The poll reads the same edit again.
            Err(error) => warn!("tree: the own edit was not taken: {error}"),
        }
    }

    fn publish(&self) {
        self.in_force.send_replace(Arc::clone(self.log.current()));
    }

    fn status(&self) -> TreeStatus {
        TreeStatus {
            version: self.log.version(),
            is_ready: *self.ready.borrow(),
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

/// Asks the keeper, and makes edits.
#[derive(Debug, Clone)]
pub struct TreeKeeperHandle {
    actor: ActorRef<TreeMessage>,
    arguments: TreeKeeperArguments,
    in_force: watch::Receiver<Arc<CompiledTree>>,
    ready: watch::Receiver<bool>,
}

impl TreeKeeperHandle {
    /// Starts a keeper.
    pub async fn start(arguments: TreeKeeperArguments) -> Result<Self, ractor::SpawnErr> {
        let empty = CompiledTree::new(SettingsTree::empty())
            .map_err(|error| ractor::SpawnErr::StartupFailed(Box::new(error)))?;
        let (in_force_sender, in_force) = watch::channel(Arc::new(empty));
        let (ready_sender, ready) = watch::channel(false);
        let start = (arguments.clone(), in_force_sender, ready_sender);
        let (actor, _joined) = Actor::spawn(None, TreeKeeper, start).await?;
        Ok(Self {
            actor,
            arguments,
            in_force,
            ready,
        })
    }

    /// The tree in force, which changes as newer versions come.
    #[must_use]
    pub fn in_force(&self) -> watch::Receiver<Arc<CompiledTree>> {
        self.in_force.clone()
    }

    /// Whether the process has learned a version that it may decide by.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Waits until the process has learned a version.
    pub async fn ready(&mut self) {
        // The keeper is gone only when the process stops.
        let _ = self.ready.wait_for(|is_ready| *is_ready).await;
    }

    /// Tells of a version that a message carried.
    pub fn heard(&self, version: TreeVersion, address: SocketAddr) {
        if version > self.in_force.borrow().version() {
            let _ = self.actor.cast(TreeMessage::Heard(version, address));
        }
    }

    /// Takes edits that a peer offers.
    pub fn offered(&self, offer: TreeReply) {
        let _ = self.actor.cast(TreeMessage::Take(Ok(offer), Origin::Peer));
    }

    /// Answers a peer that has a version.
    pub async fn since(&self, version: TreeVersion) -> TreeReply {
        let asked = self.ask(|reply| TreeMessage::Since(version, reply)).await;
        asked.unwrap_or(TreeReply::UpToDate(TreeVersion::default()))
    }

    /// State of the tree in this process.
    pub async fn status(&self) -> Option<TreeStatus> {
        self.ask(TreeMessage::Status).await
    }

    /// Stops the keeper.
    pub fn stop(&self) {
        self.actor.stop(None);
    }

    /// The edits after a version that this process still has.
    pub async fn edits_after(&self, version: TreeVersion) -> Vec<EditRecord> {
        let log = self.ask(TreeMessage::Log).await;
        log.map(|log| log.edits_after(version).cloned().collect())
            .unwrap_or_default()
    }

    /// Makes an edit: checked whole, written once, handed to peers, then in force here.
    pub async fn edit(&self, proposal: EditProposal) -> EditResult {
        let Some(log) = self.refreshed_log().await else {
            return EditResult::Refused(ResultCode::TableAway);
        };
        let version = log.version();
        if proposal.expected != version {
            let others = log.edits_after(proposal.expected).cloned().collect();
            return EditResult::Conflict(version, others);
        }
        let tree = match log.current().tree().apply(&proposal.edit) {
            Ok(tree) => tree,
            Err(error) => return EditResult::Invalid(error),
        };
        let write_id = new_write_id();
        let EditProposal { edit, by, .. } = proposal;
        let record = EditRecord {
            version: version.next(),
            edit,
            by,
            write_id,
        };
        self.write(record, &tree).await
    }

    async fn write(&self, record: EditRecord, tree: &SettingsTree) -> EditResult {
        let mut write = edit_write(&record, tree);
        let until = Instant::now() + EDIT_PATIENCE;
        match settle(&self.arguments.platform, &mut write, until).await {
            WriteStep::Won { .. } | WriteStep::Superseded { .. } => {
                let version = record.version;
                self.hand_to_peers(&record).await;
                let _ = self
                    .ask(|reply| TreeMessage::Accepted(Box::new(record), reply))
                    .await;
                EditResult::Accepted(version)
            }
            WriteStep::LostTo { .. } => self.conflict(&record).await,
            WriteStep::Undecided { .. } | WriteStep::Send | WriteStep::ReadBack => {
                EditResult::Unknown
            }
        }
    }

    async fn conflict(&self, record: &EditRecord) -> EditResult {
        let Some(log) = self.refreshed_log().await else {
            return EditResult::Conflict(record.version, Vec::new());
        };
        let expected = TreeVersion::new(record.version.get() - 1);
        EditResult::Conflict(log.version(), log.edits_after(expected).cloned().collect())
    }

    /// The log after a look at the table; none if the table does not answer.
    async fn refreshed_log(&self) -> Option<TreeLog> {
        loop {
            let log = self.ask(TreeMessage::Log).await?;
            let reply = read_from_table(&self.arguments.platform, log.version())
                .await
                .ok()?;
            if matches!(reply, TreeReply::UpToDate(_)) {
                return Some(log);
            }
            self.actor
                .cast(TreeMessage::Take(Ok(reply), Origin::Table))
                .ok()?;
            let newer = self.ask(TreeMessage::Log).await?;
            if newer.version() == log.version() {
                return None;
            }
        }
    }

    async fn hand_to_peers(&self, record: &EditRecord) {
        let after = TreeVersion::new(record.version.get() - 1);
        let offer = TreeReply::Edits {
            after,
            edits: vec![record.to_json()],
        };
        let mut random = SmallRng::seed_from_u64(self.arguments.seed ^ record.version.get());
        let mut addresses = self.arguments.peer_addresses.borrow().clone();
        for _ in 0..PEERS_OFFERED.min(addresses.len()) {
            let address = addresses.swap_remove(random.random_range(0..addresses.len()));
            if let Err(error) = offer_to_peer(&self.arguments.peers, address, &offer).await {
                debug!("tree: an edit was not handed on: {error}");
            }
        }
    }

    async fn ask<T: Send + 'static>(
        &self,
        message: impl FnOnce(RpcReplyPort<T>) -> TreeMessage,
    ) -> Option<T> {
        match self.actor.call(message, None).await {
            Ok(ractor::rpc::CallResult::Success(answer)) => Some(answer),
            _ => None,
        }
    }
}

/// Writes head and edit together, so that a version never stands without its edit.
///
/// The head row is written by edits only, so its row version is the tree's version.
fn edit_write(record: &EditRecord, tree: &SettingsTree) -> ConditionalWrite {
    let head = TreeHead {
        version: record.version,
        write_id: record.write_id.clone(),
    };
    let before = amaranthscale_core::id::RowVersion::new(record.version.get() - 1);
    let row = RowWrite {
        key: EditRecord::row_key(record.version),
        value: record.to_json(),
    };
    let write = ConditionalWrite::new(
        TREE_HEAD_KEY,
        before,
        head.to_json(),
        record.write_id.clone(),
    )
    .also_writing(row);
    if !record.version.get().is_multiple_of(SNAPSHOT_EVERY_EDITS) {
        return write;
    }
    write.also_writing(RowWrite {
        key: TREE_SNAPSHOT_KEY.to_owned(),
        value: tree.to_json(),
    })
}
