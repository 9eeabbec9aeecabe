//! Validates, sends and settles an edit.

use amaranthscale_core::id::TreeVersion;

use super::edit_commands::PlannedEdit;
use super::{CtlError, EntryClient};
use crate::operator::{EditAccepted, EditConflict, EditRequest};

/// Validates an edit against the tree in force, sends it and determines whether it took effect.
pub(super) async fn submit(
    client: &EntryClient,
    planned: &PlannedEdit,
    by: String,
) -> Result<EditAccepted, CtlError> {
    let tree = client.tree().await?;
    if let Some(from) = planned.base_version.filter(|from| *from != tree.version) {
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
        Err(error) if error.may_have_taken_effect() => settle(client, &request, error).await,
        answer => answer,
    }
}

// Settles an edit without an answer: the entry may have accepted it and failed before answering,
// or a load balancer may have answered in its place after a timeout. Reported as "not reached", the
// operator would make the edit again or believe that it is not in force. The edit after the
// expected version decides: if it is this edit, it was accepted; if it is another one, this edit
// can no longer be accepted; if there is none yet, or no answer, this edit may still take effect
// and is reported as unknown.
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
