//! A point at which tests stop a planner, as a pause of its process would.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;

type PassFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// A gate between a planner's decision and its write; always open unless a test closes it.
#[derive(Clone, Default)]
pub struct WriteGate(Option<Arc<dyn Fn() -> PassFuture + Send + Sync>>);

impl WriteGate {
    /// A gate that opens when the future completes.
    pub fn new<F>(pass: impl Fn() -> F + Send + Sync + 'static) -> Self
    where
        F: Future<Output = ()> + Send + 'static,
    {
        Self(Some(Arc::new(move || Box::pin(pass()))))
    }

    pub(super) async fn pass(&self) {
        if let Some(pass) = &self.0 {
            pass().await;
        }
    }
}

impl fmt::Debug for WriteGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WriteGate")
            .field("is_held", &self.0.is_some())
            .finish()
    }
}
