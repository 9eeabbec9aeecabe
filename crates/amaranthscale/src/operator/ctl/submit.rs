//! How an edit is checked, sent and settled.

use amaranthscale_core::id::TreeVersion;

use super::edit_commands::PlannedEdit;
use super::{CtlError, EntryClient};
use crate::operator::{EditAccepted, EditConflict, EditRequest};

/// Checks an edit on the tree in force, sends it, and learns whether it took effect.
pub(super) async fn submit(
    client: &EntryClient,
    planned: &PlannedEdit,
    by: String,
) -> Result<EditAccepted, CtlError> {
    let tree = client.tree().await?;
    if let Some(from) = planned.from_version.filter(|from| *from != tree.version) {
        let others = client.edits(from).await?;
        let conflict = EditConflict::between(from, tree.version, others);
        return Err(CtlError::StaleFile(Box::new(conflict)));
    }
    tree.apply(&planned.edit)?;
    let request = EditRequest {
        expected_version: tree.version,
        by,
        edit: planned.edit.clone(),
    };
    match client.post_edit(&request).await {
        Err(error) if error.leaves_edit_open() => settle(client, &request, error).await,
        answer => answer,
    }
}

// Failure: the entry accepts an edit and dies before it answers, or a balancer in between gives
// up and answers in its place; an operator who is told "not reached" makes the edit again, or believes that it is not in force. Guard: the edit after the
// expected version tells. Ours: accepted. Another: ours can never be accepted any more. None
// yet, or no answer: it may still take effect, and the operator is told so.
async fn settle(
    client: &EntryClient,
    request: &EditRequest,
    cause: CtlError,
) -> Result<EditAccepted, CtlError> {
    let expected = request.expected_version;
    let unknown = || CtlError::EditUnknown(client.entry(), cause.to_string());
    let Ok(edits) = client.edits(expected).await else {
        return Err(unknown());
    };
    let version = expected.next();
    let Some(first) = edits.iter().find(|edit| edit.version == version) else {
        return Err(unknown());
    };
    if first.by == request.by && first.edit == request.edit {
        return Ok(EditAccepted { version });
    }
    let newest = edits.iter().map(|edit| edit.version).max();
    let in_force: TreeVersion = newest.unwrap_or(version);
    let conflict = EditConflict::between(expected, in_force, edits);
    Err(CtlError::Conflict(Box::new(conflict)))
}
