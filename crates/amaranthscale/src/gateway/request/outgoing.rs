//! A request as it goes out to a server.

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

/// A caller's request, ready to be sent any number of times.
#[derive(Debug)]
pub(super) struct Outgoing {
    method: Method,
    path: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl Outgoing {
    /// Takes over what a server gets: all but what concerns the connection or is reserved.
    pub(super) fn new(
        head: &request::Parts,
        body: Bytes,
        dialect: &Dialect,
        holder: Option<&KeyHolder>,
    ) -> Self {
        let names = &dialect.headers;
        let own = [
            &names.key,
            &names.organisation,
            &names.target,
            &names.deadline_ms,
        ];
        let mut headers = HeaderMap::with_capacity(head.headers.len() + 4);
        copy_headers(&head.headers, &mut headers, |name| {
            !own.contains(&name) && !names.reserved.contains(name)
        });
        // A caller may list any header as one of its connection's; these must get through.
        for name in names.always_forwarded.iter().chain([&names.call]) {
            if !headers.contains_key(name)
                && let Some(value) = head.headers.get(name)
            {
                headers.insert(name, value.clone());
            }
        }
        if let Some(holder) = holder {
            set(
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

    /// Sets a header for all sends.
    pub(super) fn set(&mut self, name: &HeaderName, value: &str) {
        set(&mut self.headers, name, value);
    }

    /// The request for one server with the time that is left.
    pub(super) fn request(
        &self,
        dialect: &Dialect,
        server: &ServerId,
        left: Duration,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        set(headers, &dialect.headers.target, server.as_str());
        let left_ms = left.as_millis().max(1).to_string();
        set(headers, &dialect.headers.deadline_ms, &left_ms);
        request
    }
}

fn set(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    // Names and handles are checked to be visible characters when they are read.
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name.clone(), value);
    }
}
