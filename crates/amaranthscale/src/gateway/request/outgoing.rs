//! A request as it is sent to servers.

use std::time::Duration;

use amaranthscale_core::id::ServerId;
use amaranthscale_core::version::KeyHolder;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request;
use hyper::{HeaderMap, Method, Request, Uri};

use super::super::Dialect;
use super::answer::copy_headers;

/// A caller's request, prepared to be sent any number of times.
#[derive(Debug)]
pub(super) struct OutgoingRequest {
    method: Method,
    path: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl OutgoingRequest {
    /// Copies all headers but those that are reserved or apply to the caller's connection only.
    pub(super) fn new(
        head: &request::Parts,
        body: Bytes,
        dialect: &Dialect,
        holder: Option<&KeyHolder>,
    ) -> Self {
        let names = &dialect.headers;
        let set_by_gateway = [
            &names.key,
            &names.organisation,
            &names.target,
            &names.deadline_ms,
        ];
        let mut headers = HeaderMap::with_capacity(head.headers.len() + 4);
        copy_headers(&head.headers, &mut headers, |name| {
            !set_by_gateway.contains(&name) && !names.reserved.contains(name)
        });
        // A caller may list any header as hop-by-hop; these are forwarded nevertheless.
        for name in names.always_forwarded.iter().chain([&names.call]) {
            if !headers.contains_key(name)
                && let Some(value) = head.headers.get(name)
            {
                headers.insert(name, value.clone());
            }
        }
        if let Some(holder) = holder {
            set_header(
                &mut headers,
                &names.organisation,
                holder.organisation.as_str(),
            );
        }
        Self {
            method: head.method.clone(),
            path: head.uri.clone(),
            headers,
            body,
        }
    }

    /// Size of the body.
    pub(super) const fn body_bytes(&self) -> usize {
        self.body.len()
    }

    /// Sets a header of all further sends.
    pub(super) fn set_header(&mut self, name: &HeaderName, value: &str) {
        set_header(&mut self.headers, name, value);
    }

    /// Value of a header, if it is text.
    pub(super) fn header(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Sets a header of all further sends, or removes it.
    pub(super) fn replace_header(&mut self, name: &HeaderName, value: Option<&str>) {
        self.headers.remove(name);
        if let Some(value) = value {
            self.set_header(name, value);
        }
    }

    /// The request to one server, with the remaining time.
    pub(super) fn request(
        &self,
        dialect: &Dialect,
        server: &ServerId,
        remaining: Duration,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        set_header(headers, &dialect.headers.target, server.as_str());
        let remaining_ms = remaining.as_millis().max(1).to_string();
        set_header(headers, &dialect.headers.deadline_ms, &remaining_ms);
        request
    }
}

fn set_header(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    // Ids and handles are checked when they are parsed, so they contain visible characters only.
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name.clone(), value);
    }
}
