//! What a request is by its content.

use std::fmt;
use std::sync::{Arc, OnceLock};

use amaranthscale_core::id::RequestFingerprint;
use amaranthscale_core::version::KeyHolder;
use bytes::Bytes;
use hyper::Uri;

/// The content of a request, named when it is first asked for.
pub(crate) struct RequestContent {
    holder: Option<Arc<KeyHolder>>,
    host: String,
    uri: Uri,
    body: Bytes,
    fingerprint: OnceLock<RequestFingerprint>,
}

impl RequestContent {
    /// The content of a request of a holder of keys.
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

    /// Names requests of the same organisation, path and body alike.
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
        // A caller's body stands in no debug text.
        f.debug_struct("RequestContent")
            .field("fingerprint", &self.fingerprint)
            .finish_non_exhaustive()
    }
}
