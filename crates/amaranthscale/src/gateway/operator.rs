//! The operator listener of a gateway: metrics, servers and quarantined requests.

mod drains;
mod metrics;
mod quarantine;
mod server_listing;

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};

use super::StoreApi;
use super::process::GatewayContext;
use crate::connection::{ResponseBody, full_body};
use crate::operator::{
    DRAIN_PATH, GATEWAY_SERVERS_PATH, QUARANTINE_LIFT_PATH, QUARANTINE_LIST_PATH, UNDRAIN_PATH,
};

#[doc(inline)]
pub use server_listing::{ListingInputs, server_reports};

/// Answers a request to the operator listener.
pub(super) async fn answer_operator(
    context: Arc<GatewayContext>,
    store: StoreApi,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    if head.method == Method::POST {
        return if let Some(name) = path.strip_prefix(QUARANTINE_LIFT_PATH) {
            quarantine::lift(&context, name)
        } else if let Some(name) = path.strip_prefix(DRAIN_PATH) {
            drains::drain(&context, &store, name, body).await
        } else if let Some(name) = path.strip_prefix(UNDRAIN_PATH) {
            drains::undrain(&context, &store, name, body).await
        } else {
            let known = [QUARANTINE_LIFT_PATH, DRAIN_PATH, UNDRAIN_PATH].join("ID, ");
            line(
                StatusCode::NOT_FOUND,
                format!("nothing changes by {path}: POST to {known}ID"),
            )
        };
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
