//! What the stand-ins of backend servers share: the headers of a call, and the faults.

mod backend_faults;
mod call_headers;
mod call_id;
mod death;
mod digest;
mod switches;

pub(crate) use call_headers::CallHeaders;
pub(crate) use digest::{Digest, digest};
pub(crate) use switches::Switches;

#[doc(inline)]
pub use backend_faults::BackendFaults;
#[doc(inline)]
pub use call_id::CallId;
#[doc(inline)]
pub use death::Death;
