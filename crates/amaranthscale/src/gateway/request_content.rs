//! Content of a request, by which it is identified.

use std::fmt;
use std::sync::{Arc, OnceLock};

use amaranthscale_core::id::RequestFingerprint;
use amaranthscale_core::version::KeyHolder;
use bytes::Bytes;
use hyper::Uri;

/// The content of a request; its fingerprint is computed on first use.
pub(crate) struct RequestContent {
    holder: Option<Arc<KeyHolder>>,
    host: String,
    uri: Uri,
    body: Bytes,
    fingerprint: OnceLock<RequestFingerprint>,
}

impl RequestContent {
    /// The content of a request sent with a key of `holder`.
    pub(crate) const fn new(
        holder: Option<Arc<KeyHolder>>,
        host: String,
        uri: Uri,
        body: Bytes,
    ) -> Self {
        Self {
            holder,
            host,
            uri,
            body,
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
}

impl fmt::Debug for RequestContent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Debug output must not contain a caller's body.
        f.debug_struct("RequestContent")
            .field("fingerprint", &self.fingerprint)
            .finish_non_exhaustive()
    }
}
