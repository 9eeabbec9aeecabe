//! State that lives as long as a connection: servers, clients, and the frames between them.

mod answer_framing;
mod body;
mod client_limits;
mod connection_slots;
mod frame_reader;
mod framed_body;
mod http1_client;
mod http1_send;
mod http_server;
mod json_response;
mod open_stream;
mod peer_client;
mod port_probe;
mod received_parts;
mod slot_stream;
mod stall_guard;
mod tracked_body;

#[doc(inline)]
pub use answer_framing::AnswerFraming;
#[doc(inline)]
pub use body::{
    ReadBodyError, ResponseBody, empty_body, full_body, read_body, read_body_if_kept,
    read_body_with_idle_timeout,
};
#[doc(inline)]
pub use client_limits::ClientLimits;
pub(crate) use client_limits::USUAL_FIELDS;
#[doc(inline)]
pub use frame_reader::{FrameError, FrameReader, encode_frame};
pub(crate) use framed_body::EXIT_TIME;
#[doc(inline)]
pub use framed_body::{BodyEnd, BodyPart, FramedBody};
#[doc(inline)]
pub use http_server::{HttpServer, HttpServerLimits};
#[doc(inline)]
pub use http1_client::{Http1Connection, SendError};
pub(crate) use http1_send::{Unanswered, try_send};
#[doc(inline)]
pub use json_response::{json_response, serialised_response, to_json};
pub(crate) use open_stream::open_stream;
#[doc(inline)]
pub use peer_client::{ConnectionNumber, PeerClient, PeerClientLimits, PeerConnection, PeerError};
pub(crate) use port_probe::{PortState, probe_port};
#[doc(inline)]
pub use stall_guard::StallLimit;
