//! Reads the settings tree from the platform's table or from a peer.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::{HostId, TreeVersion};
use amaranthscale_core::version::{
    EditRecord, Envelope, SettingsTree, TREE_HEAD_KEY, TREE_SNAPSHOT_KEY, TreeHead,
};
use amaranthscale_core::wire::{self, Row, TreeReply, TreeRequest};
use quick_error::quick_error;

use crate::connection::{PeerClient, read_body_with_idle_timeout};
use crate::process::{ControlKind, PlatformClient, PlatformError};

/// Most edits in one read; a process that is further behind reads the snapshot first.
const MAX_EDITS_READ: usize = 256;
/// Prefix of all rows that hold an edit.
const EDIT_PREFIX: &str = "tree/edit/";
/// Longest reply of a peer: a whole tree, with a margin for its growth.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;
/// Longest wait for a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

quick_error! {
    /// A tree that could not be read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ReadTreeError {
        /// The table gave no answer.
        Platform(cause: PlatformError) {
            display("the table cannot be read: {cause}")
            source(cause)
            from()
        }
        /// A row has an invalid value.
        Malformed(key: String) {
            display("row {key} cannot be read")
        }
        /// The peer gave no answer.
        Peer(address: SocketAddr) {
            display("{address} did not answer")
        }
    }
}

/// Reads the changes after a version from the table.
pub async fn read_from_table(
    platform: &PlatformClient,
    version: TreeVersion,
) -> Result<TreeReply, ReadTreeError> {
    let head = read_head(platform).await?;
    if head <= version {
        return Ok(TreeReply::UpToDate(head));
    }
    if head.get() - version.get() > MAX_EDITS_READ as u64 {
        let snapshot = platform.row(TREE_SNAPSHOT_KEY).await?;
        if let Some(reply) = snapshot_reply(&snapshot)? {
            return Ok(reply);
        }
    }
    let after = EditRecord::row_key(version);
    let rows = platform.rows(EDIT_PREFIX, &after, MAX_EDITS_READ).await?;
    let edits = rows.into_iter().map(|row| row.value).collect();
    Ok(TreeReply::Edits {
        after: version,
        edits,
    })
}

/// Reads the changes after a version from a peer.
pub async fn read_from_peer(
    peers: &PeerClient,
    address: SocketAddr,
    from: &HostId,
    version: TreeVersion,
) -> Result<TreeReply, ReadTreeError> {
    let request = TreeRequest {
        from: from.clone(),
        version,
    };
    let kind = ControlKind::TreeExchange;
    let message = wire::encode(&request);
    let body = post(peers, address, kind, "/tree/since", message).await?;
    wire::decode(body).map_err(|_malformed| ReadTreeError::Peer(address))
}

/// Offers new edits to a peer; the edits are valid whether it applies them or not.
pub async fn offer_to_peer(
    peers: &PeerClient,
    address: SocketAddr,
    offer: &TreeReply,
) -> Result<(), ReadTreeError> {
    let message = wire::encode(offer);
    post(peers, address, ControlKind::Edit, "/tree/offer", message)
        .await
        .map(|_body| ())
}

async fn post(
    peers: &PeerClient,
    address: SocketAddr,
    kind: ControlKind,
    path: &str,
    message: Vec<u8>,
) -> Result<bytes::Bytes, ReadTreeError> {
    let sent_bytes = path.len() + message.len();
    let answer = async {
        let answering = peers.post(address, path, message);
        let response = tokio::time::timeout(PEER_TIMEOUT, answering).await.ok()?;
        let response = response.ok()?;
        let is_success = response.status().is_success();
        let body = read_body_with_idle_timeout(response.into_body(), MAX_REPLY_BYTES, PEER_TIMEOUT);
        let body = body.await.ok()?;
        is_success.then_some(body)
    };
    let answer = answer.await;
    peers.count(
        kind,
        sent_bytes,
        answer.as_ref().map_or(0, bytes::Bytes::len),
    );
    answer.ok_or(ReadTreeError::Peer(address))
}

async fn read_head(platform: &PlatformClient) -> Result<TreeVersion, ReadTreeError> {
    let row = platform.row(TREE_HEAD_KEY).await?;
    if row.value.is_empty() {
        return Ok(TreeVersion::default());
    }
    let malformed = || ReadTreeError::Malformed(row.key.clone());
    let envelope = Envelope::parse(&row.value).ok().ok_or_else(malformed)?;
    let head = TreeHead::from_json(&envelope.body)
        .ok()
        .ok_or_else(malformed)?;
    Ok(head.version)
}

fn snapshot_reply(row: &Row) -> Result<Option<TreeReply>, ReadTreeError> {
    if row.value.is_empty() {
        return Ok(None);
    }
    let tree = SettingsTree::from_json(&row.value);
    let tree = tree.map_err(|_invalid| ReadTreeError::Malformed(row.key.clone()))?;
    Ok(Some(TreeReply::Whole {
        version: tree.version,
        tree: row.value.clone(),
    }))
}
