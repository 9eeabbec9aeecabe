//! Call headers and faults that the stand-ins of backend servers share.

mod active_faults;
mod backend_faults;
mod call_headers;
mod call_id;
mod crash_mode;
mod digest;

pub(crate) use active_faults::ActiveFaults;
pub(crate) use call_headers::CallHeaders;
pub(crate) use digest::{Digest, digest};

#[doc(inline)]
pub use backend_faults::BackendFaults;
#[doc(inline)]
pub use call_id::CallId;
#[doc(inline)]
pub use crash_mode::CrashMode;
