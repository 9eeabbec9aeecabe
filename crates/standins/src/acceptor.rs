//! Accepts TCP connections until the stop signal.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::http::{RunningStandin, StopSignal};

/// Listens at an address and serves each connection in a task of its own.
pub(crate) async fn start_acceptor<S, F>(
    listen: SocketAddr,
    stop: StopSignal,
    serve: S,
) -> io::Result<RunningStandin>
where
    S: Fn(TcpStream) -> F + Send + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(accept(listener, stop.clone(), serve));
    Ok(RunningStandin::new(address, stop, task))
}

/// Accepts until the stop signal; returning drops the set, which aborts all connections.
async fn accept<S, F>(listener: TcpListener, stop: StopSignal, serve: S)
where
    S: Fn(TcpStream) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = stop.stopped() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    set_no_delay(&stream);
                    connections.spawn(serve(stream));
                }
                Err(error) => log::warn!("server: accept failed: {error}"),
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Disables Nagle's algorithm, so that small messages are sent at once.
pub(crate) fn set_no_delay(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("server: no-delay not set: {error}");
    }
}
