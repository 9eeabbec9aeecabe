//! The HTTP interface for a relay's faults and counts.

use bytes::Bytes;
use hyper::{Method, Request, StatusCode};

use crate::http::{Answer, json, json_body, no_content, status};
use crate::relay::RelayFaults;
use crate::relay::relay_state::RelayState;

/// Answers one request.
pub(crate) fn handle(state: &RelayState, request: &Request<Bytes>) -> Answer {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/admin/counts") => json(StatusCode::OK, &state.counts()),
        (&Method::POST, "/admin/faults") => set_faults(state, request.body()),
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn set_faults(state: &RelayState, body: &Bytes) -> Answer {
    match json_body::<RelayFaults>(body) {
        Ok(faults) => {
            log::info!("relay: faults switched: {faults:?}");
            state.set_faults(&faults);
            no_content()
        }
        Err(answer) => *answer,
    }
}
