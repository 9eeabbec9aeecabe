//! Content of a request, by which it is identified.

use std::fmt;
use std::sync::{Arc, OnceLock};

use amaranthscale_core::id::{PromptPartId, RequestFingerprint};
use amaranthscale_core::process::Suspect;
use amaranthscale_core::version::KeyHolder;
use bytes::Bytes;
use hyper::Uri;

use super::RequestAttributes;

/// The content of a request; its fingerprint is computed on first use.
pub(crate) struct RequestContent {
    holder: Option<Arc<KeyHolder>>,
    host: String,
    uri: Uri,
    body: Bytes,
    /// Prompt parts that other requests may share.
    shared_parts: Vec<PromptPartId>,
    fingerprint: OnceLock<RequestFingerprint>,
}

impl RequestContent {
    /// The content of a request sent with a key of `holder`.
    pub(crate) fn new(
        holder: Option<Arc<KeyHolder>>,
        host: String,
        uri: Uri,
        body: Bytes,
        attributes: &RequestAttributes,
    ) -> Self {
        let shared = attributes.shared_parts().unwrap_or_default().iter();
        let shared_parts = shared.map(|part| PromptPartId::of(&part.id));
        Self {
            holder,
            host,
            uri,
            body,
            shared_parts: shared_parts.collect(),
            fingerprint: OnceLock::new(),
        }
    }

    /// Fingerprint, equal for requests of the same organisation, host, path and body.
    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            let organisation = self.holder.as_ref().map(|holder| &holder.organisation);
            let path = self.uri.path_and_query().map_or("", |path| path.as_str());
            RequestFingerprint::of(organisation, &self.host, path, &self.body)
        })
    }

    /// Shared prompt parts that may crash a server.
    pub(crate) fn suspect_parts(&self) -> impl Iterator<Item = Suspect> {
        self.shared_parts.iter().cloned().map(Suspect::from)
    }

    /// All that may crash a server: the request as a whole, and its shared prompt parts.
    pub(crate) fn suspects(&self) -> Vec<Suspect> {
        let request = Suspect::from(self.fingerprint());
        self.suspect_parts().chain([request]).collect()
    }

    /// Ids of the shared prompt parts in log lines, in the order of the prompt.
    pub(crate) fn part_names(&self) -> String {
        if self.shared_parts.is_empty() {
            return "-".to_owned();
        }
        let ids: Vec<_> = self.shared_parts.iter().map(PromptPartId::as_str).collect();
        ids.join(",")
    }
}

impl fmt::Debug for RequestContent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Debug output must not contain a caller's body.
        f.debug_struct("RequestContent")
            .field("fingerprint", &self.fingerprint)
            .finish_non_exhaustive()
    }
}
