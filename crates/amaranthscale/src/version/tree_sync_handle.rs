//! What the rest of a process asks its tree keeper.

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
    EditProposal, EditResult, Origin, PublishedTree, TreeMessage, TreeStatus, TreeSync,
    TreeSyncArguments,
};
use crate::process::{ControlKind, TableWrite, new_write_id};

/// Peers that are handed an edit before it is called accepted, so that it outlives the death of
/// this process together with an outage of the table.
const PEERS_OFFERED: usize = 2;
/// Longest wait for the table to settle an edit.
const EDIT_PATIENCE: Duration = Duration::from_secs(8);

/// Asks the keeper, and makes edits.
#[derive(Debug, Clone)]
pub struct TreeSyncHandle {
    actor: ActorRef<TreeMessage>,
    arguments: TreeSyncArguments,
    in_force: watch::Receiver<Arc<CompiledTree>>,
    log: watch::Receiver<Arc<TreeLog>>,
    ready: watch::Receiver<bool>,
    polled: watch::Receiver<Instant>,
}

impl TreeSyncHandle {
    /// Starts a keeper.
    pub async fn start(arguments: TreeSyncArguments) -> Result<Self, SpawnErr> {
        let log = TreeLog::new(SettingsTree::empty());
        let log = log.map_err(|error| SpawnErr::StartupFailed(Box::new(error)))?;
        let published = PublishedTree::new(log);
        let in_force = published.in_force.subscribe();
        let log = published.log.subscribe();
        let ready = published.ready.subscribe();
        let polled = published.polled.subscribe();
        let (actor, _joined) = Actor::spawn(None, TreeSync, (arguments.clone(), published)).await?;
        Ok(Self {
            actor,
            arguments,
            in_force,
            log,
            ready,
            polled,
        })
    }

    /// The tree in force, which changes as newer versions come.
    #[must_use]
    pub fn in_force(&self) -> watch::Receiver<Arc<CompiledTree>> {
        self.in_force.clone()
    }

    /// Whether the process has learned a version that it may decide by.
    ///
    /// Guards against a process that was paused and reads a request before its keeper has noticed:
    /// a keeper that has not looked for long shows the pause to whoever asks first.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let unseen = self.polled.borrow().elapsed();
        *self.ready.borrow() && !self.arguments.settings.is_pause(unseen)
    }

    /// Whether the process may decide by its tree, as it changes.
    #[must_use]
    pub fn readiness(&self) -> watch::Receiver<bool> {
        self.ready.clone()
    }

    /// Waits until the process has learned a version.
    pub async fn ready(&mut self) {
        // The keeper is gone only when the process stops.
        let _ = self.ready.wait_for(|is_ready| *is_ready).await;
    }

    /// Tells of a version that a message carried.
    pub fn report_peer_version(&self, version: TreeVersion, address: SocketAddr) {
        if version > self.in_force.borrow().version() {
            let _ = self.actor.cast(TreeMessage::Heard(version, address));
        }
    }

    /// Takes edits that a peer offers.
    pub fn apply_offer(&self, offer: TreeReply) {
        let _ = self.actor.cast(TreeMessage::Offered(offer));
    }

    /// Tells of a version that some process showed.
    pub fn report_version(&self, version: TreeVersion) {
        if version > self.in_force.borrow().version() {
            let _ = self.actor.cast(TreeMessage::HeardOf(version));
        }
    }

    /// Answers a peer that has a version.
    #[must_use]
    pub fn since(&self, version: TreeVersion) -> TreeReply {
        self.log.borrow().changes_since(version)
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
    #[must_use]
    pub fn edits_after(&self, version: TreeVersion) -> Vec<EditRecord> {
        self.log.borrow().edits_after(version).cloned().collect()
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
        let mut write = TableWrite::new(edit_write(&record, tree));
        let until = Instant::now() + EDIT_PATIENCE;
        let platform = self.arguments.platform.with_kind(ControlKind::Edit);
        match write.settle_until(&platform, until).await {
            Some(WriteStep::Won { .. } | WriteStep::Superseded { .. }) => {
                self.accepted(record).await
            }
            Some(WriteStep::LostTo { .. } | WriteStep::Undecided { .. }) => {
                self.overtaken(record).await
            }
            _unsettled if write.may_take_effect() => EditResult::Unknown,
            _never_taken => EditResult::Refused(ResultCode::TableAway),
        }
    }

    async fn accepted(&self, record: EditRecord) -> EditResult {
        let version = record.version;
        self.hand_to_peers(&record).await;
        let _ = self
            .ask(|reply| TreeMessage::Accepted(Box::new(record), reply))
            .await;
        EditResult::Accepted(version)
    }

    /// Another edit stands in the head row; the row of the edit itself tells whether ours went
    /// before it.
    async fn overtaken(&self, record: EditRecord) -> EditResult {
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

    /// The log after a look at the table; none if the table does not answer.
    async fn refreshed_log(&self) -> Option<Arc<TreeLog>> {
        loop {
            let log = Arc::clone(&self.log.borrow());
            let asked_at = Instant::now();
            let platform = self.arguments.platform.with_kind(ControlKind::Edit);
            let reply = read_from_table(&platform, log.version()).await.ok()?;
            if matches!(reply, TreeReply::UpToDate(_)) {
                return Some(log);
            }
            let take = TreeMessage::Take(Ok(reply), Origin::Table, asked_at);
            self.actor.cast(take).ok()?;
            // Answered after the reply was taken.
            let status = self.status().await?;
            if status.version == log.version() {
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
