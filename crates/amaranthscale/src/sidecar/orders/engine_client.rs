//! HTTP client of the engine's order interface.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::PlacementVersion;
use amaranthscale_core::version::Assignment;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::engine_step::{EngineState, EngineStep, FencedStep};
use super::order_error::OrderError;
use crate::connection::read_body;

/// Path of orders.
const ORDERS_PATH: &str = "/orders";
/// Timeout for reading the engine's state, which takes it no work.
const STATE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of an answer; some engines include the history of their orders.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Client of the engine's order interface; each call uses its own connection.
#[derive(Debug)]
pub(super) struct EngineClient {
    address: SocketAddr,
    order_timeout: Duration,
}

impl EngineClient {
    pub(super) const fn new(address: SocketAddr, order_timeout: Duration) -> Self {
        Self {
            address,
            order_timeout,
        }
    }

    /// Reads what the engine runs.
    pub(super) async fn running(&self) -> Result<Assignment, OrderError> {
        let state = self.call(Method::GET, Vec::new(), STATE_TIMEOUT).await?;
        let state: EngineState = serde_json::from_slice(&state).map_err(no_answer)?;
        Ok(state.into())
    }

    /// Sends one order and waits until the engine has executed it.
    pub(super) async fn order(
        &self,
        fence: PlacementVersion,
        order: EngineStep,
    ) -> Result<(), OrderError> {
        let step = FencedStep { fence, order };
        let body = serde_json::to_vec(&step).map_err(no_answer)?;
        self.call(Method::POST, body, self.order_timeout).await?;
        Ok(())
    }

    async fn call(
        &self,
        method: Method,
        body: Vec<u8>,
        call_timeout: Duration,
    ) -> Result<Bytes, OrderError> {
        // An order that timed out must not be executed after the next one, or an engine that
        // ignores fencing numbers would end with the older placement. The connection therefore runs
        // in a task of this set, which is shut down before the call returns, also after a timeout.
        let mut connection = JoinSet::new();
        let exchange = self.exchange(method, body, &mut connection);
        let answered = timeout(call_timeout, exchange).await;
        connection.shutdown().await;
        let (status, body) = answered.unwrap_or_else(|elapsed| Err(no_answer(elapsed)))?;
        if status.is_success() {
            Ok(body)
        } else {
            Err(OrderError::Refused(status.as_u16()))
        }
    }

    async fn exchange(
        &self,
        method: Method,
        body: Vec<u8>,
        connection: &mut JoinSet<hyper::Result<()>>,
    ) -> Result<(StatusCode, Bytes), OrderError> {
        let stream = TcpStream::connect(self.address).await.map_err(no_answer)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, driver) = handshake.map_err(no_answer)?;
        connection.spawn(driver);
        let request = Request::builder()
            .method(method)
            .uri(ORDERS_PATH)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(no_answer)?;
        let response = sender.send_request(request).await.map_err(no_answer)?;
        let status = response.status();
        let body = read_body(response.into_body(), MAX_ANSWER_BYTES, STATE_TIMEOUT).await;
        Ok((status, body.map_err(no_answer)?))
    }
}

fn no_answer(reason: impl std::fmt::Display) -> OrderError {
    OrderError::NoAnswer(reason.to_string())
}
