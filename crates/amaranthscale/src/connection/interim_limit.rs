//! Limits the interim answers to one request.
//!
//! The HTTP library skips interim answers (status 1xx) without a limit, so a server that sends
//! nothing else would keep its caller's processor busy until the deadline.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use hyper::Request;
use hyper::ext::on_informational;
use tokio::sync::Notify;

/// Maximum number of interim answers to one request; servers send one or two.
const MAX_INTERIM_ANSWERS: usize = 32;

/// Reports when a request has got too many interim answers.
#[derive(Debug)]
pub(crate) struct InterimLimit {
    exceeded: Arc<Notify>,
}

impl InterimLimit {
    /// Counts the interim answers to a request that is sent afterwards.
    pub(crate) fn set<B>(request: &mut Request<B>) -> Self {
        let exceeded = Arc::new(Notify::new());
        let notified = Arc::clone(&exceeded);
        let received = AtomicUsize::new(0);
        on_informational(request, move |_answer| {
            if received.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_ANSWERS {
                notified.notify_one();
            }
        });
        Self { exceeded }
    }

    /// Waits until there are too many.
    pub(crate) async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}
