//! The handle to the actor that synchronises a process's settings tree.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{RowVersion, TreeVersion};
use amaranthscale_core::version::{
    CompiledTree, ConditionalWrite, EditRecord, SNAPSHOT_EVERY_EDITS, SettingsTree, TREE_HEAD_KEY,
    TREE_SNAPSHOT_KEY, TreeHead, TreeLog, WriteStep,
};
use amaranthscale_core::wire::{RowWrite, TreeReply};
use log::debug;
use ractor::{Actor, ActorRef, RpcReplyPort, SpawnErr};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::watch;
use tokio::time::Instant;

use super::tree_client::{offer_to_peer, read_from_table};
use super::{
    EditProposal, EditResult, PublishedTree, ReplySource, TreeMessage, TreeStatus, TreeSync,
    TreeSyncArguments,
};
use crate::process::{ControlKind, TableWrite, new_write_id};

/// Peers that are sent an edit before it is reported as accepted, so that it survives the death of
/// this process together with an outage of the table.
const PEERS_OFFERED: usize = 2;
/// Longest wait for the table to settle an edit.
const EDIT_TIMEOUT: Duration = Duration::from_secs(8);

/// Queries the actor, and makes edits.
#[derive(Debug, Clone)]
pub struct TreeSyncHandle {
    actor: ActorRef<TreeMessage>,
    arguments: TreeSyncArguments,
    in_force: watch::Receiver<Arc<CompiledTree>>,
    log: watch::Receiver<Arc<TreeLog>>,
    ready: watch::Receiver<bool>,
    last_poll: watch::Receiver<Instant>,
}

impl TreeSyncHandle {
    /// Starts the actor.
    pub async fn start(arguments: TreeSyncArguments) -> Result<Self, SpawnErr> {
        let log = TreeLog::new(SettingsTree::empty());
        let log = log.map_err(|error| SpawnErr::StartupFailed(Box::new(error)))?;
        let published = PublishedTree::new(log);
        let in_force = published.in_force.subscribe();
        let log = published.log.subscribe();
        let ready = published.ready.subscribe();
        let last_poll = published.last_poll.subscribe();
        let (actor, _joined) = Actor::spawn(None, TreeSync, (arguments.clone(), published)).await?;
        Ok(Self {
            actor,
            arguments,
            in_force,
            log,
            ready,
            last_poll,
        })
    }

    /// The tree in force, as a channel of its changes.
    #[must_use]
    pub fn in_force(&self) -> watch::Receiver<Arc<CompiledTree>> {
        self.in_force.clone()
    }

    /// Whether the process has a version that it may make decisions from.
    ///
    /// Guards against a process that was paused and handles a request before the actor has noticed:
    /// the time since the last poll shows the pause.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let since_last_poll = self.last_poll.borrow().elapsed();
        *self.ready.borrow() && !self.arguments.settings.is_pause(since_last_poll)
    }

    /// Whether the process may make decisions from its tree, as a channel of its changes.
    #[must_use]
    pub fn readiness(&self) -> watch::Receiver<bool> {
        self.ready.clone()
    }

    /// Waits until the process has a version that it may make decisions from.
    pub async fn ready(&mut self) {
        // The actor ends only when the process stops.
        let _ = self.ready.wait_for(|is_ready| *is_ready).await;
    }

    /// Reports the version of a peer whose address is known.
    pub fn report_peer_version(&self, version: TreeVersion, address: SocketAddr) {
        if version > self.in_force.borrow().version() {
            let _ = self.actor.cast(TreeMessage::PeerVersion(version, address));
        }
    }

    /// Applies edits that a peer offers.
    pub fn apply_offer(&self, offer: TreeReply) {
        let _ = self.actor.cast(TreeMessage::Offer(offer));
    }

    /// Reports the version of some process whose address is not known.
    pub fn report_version(&self, version: TreeVersion) {
        if version > self.in_force.borrow().version() {
            let _ = self.actor.cast(TreeMessage::VersionReported(version));
        }
    }

    /// The reply to a peer that has a version.
    #[must_use]
    pub fn since(&self, version: TreeVersion) -> TreeReply {
        self.log.borrow().changes_since(version)
    }

    /// State of the tree in this process.
    pub async fn status(&self) -> Option<TreeStatus> {
        self.call(TreeMessage::Status).await
    }

    /// Stops the actor.
    pub fn stop(&self) {
        self.actor.stop(None);
    }

    /// The edits after a version that this process still has.
    #[must_use]
    pub fn edits_after(&self, version: TreeVersion) -> Vec<EditRecord> {
        self.log.borrow().edits_after(version).cloned().collect()
    }

    /// Makes an edit: checks the whole tree, writes the edit once, offers it to peers and applies
    /// it.
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
        let mut write = TableWrite::new(edit_write(&record, tree));
        let deadline = Instant::now() + EDIT_TIMEOUT;
        let platform = self.arguments.platform.with_kind(ControlKind::Edit);
        match write.settle_until(&platform, deadline).await {
            Some(WriteStep::Won { .. } | WriteStep::Superseded { .. }) => {
                self.accepted(record).await
            }
            Some(WriteStep::LostTo { .. } | WriteStep::Undecided { .. }) => {
                self.resolve_conflict(record).await
            }
            _unsettled if write.may_take_effect() => EditResult::Unknown,
            _no_effect => EditResult::Refused(ResultCode::TableAway),
        }
    }

    async fn accepted(&self, record: EditRecord) -> EditResult {
        let version = record.version;
        self.offer_to_peers(&record).await;
        let _ = self
            .call(|reply| TreeMessage::Accepted(Box::new(record), reply))
            .await;
        EditResult::Accepted(version)
    }

    /// The head row has another edit; the row of the edit's own version shows whether this edit was
    /// written before it.
    async fn resolve_conflict(&self, record: EditRecord) -> EditResult {
        let Some(log) = self.refreshed_log().await else {
            return EditResult::Unknown;
        };
        let expected = TreeVersion::new(record.version.get() - 1);
        let others: Vec<EditRecord> = log.edits_after(expected).cloned().collect();
        let is_ours = others
            .first()
            .is_some_and(|first| first.write_id == record.write_id);
        if is_ours {
            return self.accepted(record).await;
        }
        EditResult::Conflict(log.version(), others)
    }

    /// The log after a poll of the table; none if the table does not answer.
    async fn refreshed_log(&self) -> Option<Arc<TreeLog>> {
        loop {
            let log = Arc::clone(&self.log.borrow());
            let sent_at = Instant::now();
            let platform = self.arguments.platform.with_kind(ControlKind::Edit);
            let reply = read_from_table(&platform, log.version()).await.ok()?;
            if matches!(reply, TreeReply::UpToDate(_)) {
                return Some(log);
            }
            let message = TreeMessage::Reply(Ok(reply), ReplySource::Table, sent_at);
            self.actor.cast(message).ok()?;
            // Answered after the reply was applied.
            let status = self.status().await?;
            if status.version == log.version() {
                return None;
            }
        }
    }

    async fn offer_to_peers(&self, record: &EditRecord) {
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
                debug!("tree: edit not offered to a peer: {error}");
            }
        }
    }

    async fn call<T: Send + 'static>(
        &self,
        message: impl FnOnce(RpcReplyPort<T>) -> TreeMessage,
    ) -> Option<T> {
        match self.actor.call(message, None).await {
            Ok(ractor::rpc::CallResult::Success(answer)) => Some(answer),
            _ => None,
        }
    }
}

/// Writes head and edit together, so that no version exists without its edit.
///
/// The head row is written by edits only, so its row version is the tree's version.
fn edit_write(record: &EditRecord, tree: &SettingsTree) -> ConditionalWrite {
    let head = TreeHead {
        version: record.version,
        write_id: record.write_id.clone(),
    };
    let before = RowVersion::new(record.version.get() - 1);
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
