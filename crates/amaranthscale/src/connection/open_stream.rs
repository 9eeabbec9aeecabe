//! Opens TCP connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// Opens a connection within a time, or returns why it failed.
pub(crate) async fn open_stream(
    address: SocketAddr,
    timeout: Duration,
) -> Result<TcpStream, String> {
    let connecting = TcpStream::connect(address);
    let stream = match tokio::time::timeout(timeout, connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(error.to_string()),
        Err(_elapsed) => return Err("no connection in time".to_owned()),
    };
    // Small requests would otherwise wait for an acknowledgement, some 40 ms each.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}
