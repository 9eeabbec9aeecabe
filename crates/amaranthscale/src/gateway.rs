//! The entry for platforms whose backend servers are called directly.
//!
//! A gateway reads routing, backend servers and the other gateways from the platform's store and
//! takes callers' requests by them. What the platform calls things and how it spells them comes in
//! as a [`Dialect`] and [`StoreApi`]: names, formats and calls that decide nothing.
//!
//! A request's way: [`connection`] takes it off the wire, [`request`] looks up route and key,
//! has its stages' pieces made by the gateway that owns the batches, sends it to one server and
//! passes the answer on. [`version`] follows the store, [`process`] owns the batches.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

mod clock;
mod daemon;
mod dialect;
mod gateway_config;
mod listen;
mod request_content;
mod store_api;

#[doc(inline)]
pub use clock::{Clock, boot_time};
#[doc(inline)]
pub use daemon::{Gateway, GatewayError};
#[doc(inline)]
pub use dialect::{Dialect, HeaderNames, InvalidHeader, RequestAttributes};
#[doc(inline)]
pub use gateway_config::GatewayConfig;
pub(crate) use request_content::RequestContent;
#[doc(inline)]
pub use store_api::{
    EvidenceUpdate, LimitUpdate, StoreAnswer, StoreApi, StoreRow, StoreRows, StoreTable,
    StoredValue,
};
