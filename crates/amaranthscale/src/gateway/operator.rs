//! The operator listener of a gateway: metrics, servers and quarantined requests.

mod metrics;
mod quarantine;
mod server_listing;

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};

use super::process::GatewayContext;
use crate::connection::{ResponseBody, full_body};
use crate::operator::{GATEWAY_SERVERS_PATH, QUARANTINE_LIFT_PATH, QUARANTINE_LIST_PATH};

#[doc(inline)]
pub use server_listing::{ListingInputs, server_reports};

/// Answers a request to the operator listener.
pub(super) async fn answer_operator(
    context: Arc<GatewayContext>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path();
    if *request.method() == Method::POST
        && let Some(name) = path.strip_prefix(QUARANTINE_LIFT_PATH)
    {
        return quarantine::lift(&context, name);
    }
    match path {
        QUARANTINE_LIST_PATH => Response::new(full_body(quarantine::list(&context))),
        GATEWAY_SERVERS_PATH => server_listing::answer(&context),
        _ => Response::new(full_body(metrics::text(&context))),
    }
}

/// An answer of one line of text.
fn line(status: StatusCode, text: impl Into<String>) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(text.into() + "\n"));
    *response.status_mut() = status;
    response
}
