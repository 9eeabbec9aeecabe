//! Stand-ins for the platform and the backend servers, and the load tool.

pub mod policy;
