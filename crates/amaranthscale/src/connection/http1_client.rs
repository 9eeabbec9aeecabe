//! One HTTP/1.1 connection to a server that is not part of the system.
//!
//! The HTTP library retries nothing here: whether a request may be sent again is its sender's
//! decision, so each error shows whether the request may have arrived.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use log::debug;
use quick_error::quick_error;

use super::http1_send::{Unanswered, try_send};
use super::open_stream::open_stream;

quick_error! {
    /// A request that got no response.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SendError {
        /// It was not sent.
        NotSent(address: SocketAddr, reason: String) {
            display("{address} was not reached: {reason}")
        }
        /// The connection ended after it may have arrived.
        Lost(address: SocketAddr, reason: String) {
            display("the answer of {address} was lost: {reason}")
        }
        /// It may have arrived, and the server sent bytes that are no answer.
        NoAnswer(address: SocketAddr, reason: String) {
            display("{address} sent no answer: {reason}")
        }
    }
}

/// An open connection.
#[derive(Debug)]
pub struct Http1Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl Http1Connection {
    /// Opens a connection within a time.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, SendError> {
        let not_sent = |reason: String| SendError::NotSent(address, reason);
        let stream = open_stream(address, timeout).await.map_err(not_sent)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| not_sent(error.to_string()))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                debug!("connection: to {address} ended: {error}");
            }
        });
        Ok(Self { address, sender })
    }

    /// The server's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the next request can be sent at once.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns an error if the connection has ended, so that nothing more can be sent.
    pub fn check_open(&self) -> Result<(), SendError> {
        if self.sender.is_closed() {
            let reason = "the connection has ended".to_owned();
            return Err(SendError::NotSent(self.address, reason));
        }
        Ok(())
    }

    /// Sends one request and waits for the head of its response.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if let Err(error) = self.sender.ready().await {
            return Err(SendError::NotSent(self.address, error.to_string()));
        }
        try_send(&mut self.sender, request)
            .await
            .map_err(|unanswered| match unanswered {
                Unanswered::NotSent(_, reason) => SendError::NotSent(self.address, reason),
                Unanswered::NoAnswer(reason) => SendError::NoAnswer(self.address, reason),
                Unanswered::Lost(reason) => SendError::Lost(self.address, reason),
            })
    }
}
