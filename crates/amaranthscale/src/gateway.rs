//! The entry for platforms whose backend servers are called directly.
//!
//! A gateway reads the routing, the backend servers and the other gateways from the platform's
//! store and serves callers accordingly. The platform's names, formats and store requests are
//! supplied as a [`Dialect`] and a [`StoreApi`], which contain no decisions.
//!
//! [`request`] looks up a request's route and key, has its stage results computed by the gateway
//! that owns the batches, sends it to one server and forwards the answer. [`connection`] holds the
//! connections to servers, [`version`] follows the store, and [`process`] owns the batches.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

mod clock;
mod daemon;
mod dialect;
mod feature;
mod gateway_config;
mod listen;
mod operator;
mod request_content;
mod store_api;

#[doc(inline)]
pub use clock::{Clock, boot_time};
#[doc(inline)]
pub use daemon::{Gateway, GatewayError};
#[doc(inline)]
pub use dialect::{
    Dialect, HeaderNames, InvalidHeader, PromptPart, RequestAttributes, StreamResumption,
};
#[doc(inline)]
pub use feature::{Feature, FeatureSet, UnknownFeature};
#[doc(inline)]
pub use gateway_config::GatewayConfig;
#[doc(inline)]
pub use operator::{ListingInputs, server_reports};
pub(crate) use request_content::RequestContent;
#[doc(inline)]
pub use store_api::{
    EvidenceUpdate, LimitUpdate, StoreAnswer, StoreApi, StoreRow, StoreRows, StoreTable,
    StoredValue, VersionUpdate,
};
