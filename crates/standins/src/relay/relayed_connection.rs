//! One connection through a relay.

use std::io;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::acceptor::set_no_delay;
use crate::relay::relay_state::RelayState;
use crate::relay::{ConnectionState, RelayCounts};

/// Maximum bytes of one read.
const READ_BYTES: usize = 16 * 1024;
/// Maximum chunks in flight in one direction; limits the memory of a delayed connection.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;

/// Bytes that are written to the other end at `due`.
#[derive(Debug)]
struct DelayedChunk {
    due: Instant,
    bytes: Bytes,
}

/// Relays a connection until it ends or is cut.
pub(crate) async fn serve(state: Arc<RelayState>, client: TcpStream) {
    let Some(connection_state) = state.register() else {
        return;
    };
    match TcpStream::connect(state.to).await {
        Ok(server) => relay(&state, client, server, connection_state).await,
        Err(error) => {
            log::info!("relay: far end not reached: {error}");
            state.record_unreachable();
        }
    }
}

async fn relay(
    state: &RelayState,
    mut client: TcpStream,
    mut server: TcpStream,
    mut connection_state: watch::Receiver<ConnectionState>,
) {
    set_no_delay(&server);
    tokio::select! {
        biased;
        () = wait_for_state(&mut connection_state, ConnectionState::Silent) => {}
        () = relay_both_ways(state, &mut client, &mut server) => return,
    }
    // Both sockets stay open but unread, so that neither end notices that no bytes pass.
    wait_for_state(&mut connection_state, ConnectionState::Cut).await;
}

/// Waits until the connection is in this state, or a later one.
async fn wait_for_state(
    connection_state: &mut watch::Receiver<ConnectionState>,
    target: ConnectionState,
) {
    if connection_state
        .wait_for(|connection_state| *connection_state >= target)
        .await
        .is_err()
    {
        std::future::pending::<()>().await;
    }
}

async fn relay_both_ways(state: &RelayState, client: &mut TcpStream, server: &mut TcpStream) {
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let to_server = relay_one_way(state, client_read, server_write, |counts, bytes| {
        counts.to_server_bytes += bytes;
    });
    let to_client = relay_one_way(state, server_read, client_write, |counts, bytes| {
        counts.to_client_bytes += bytes;
    });
    if let Err(error) = tokio::try_join!(to_server, to_client) {
        log::debug!("relay: connection ended: {error}");
    }
}

/// Relays bytes one way until end of file, and then the end of file itself.
async fn relay_one_way(
    state: &RelayState,
    from: ReadHalf<'_>,
    to: WriteHalf<'_>,
    count: impl Fn(&mut RelayCounts, u64),
) -> io::Result<()> {
    let (chunks, chunk_receiver) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
    let reading = read_chunks(state, from, chunks);
    let writing = write_chunks(state, chunk_receiver, to, count);
    tokio::try_join!(reading, writing)?;
    Ok(())
}

async fn read_chunks(
    state: &RelayState,
    mut from: ReadHalf<'_>,
    chunks: mpsc::Sender<DelayedChunk>,
) -> io::Result<()> {
    loop {
        let mut buffer = BytesMut::with_capacity(READ_BYTES);
        if from.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
        let chunk = DelayedChunk {
            due: Instant::now() + state.delay(),
            bytes: buffer.freeze(),
        };
        if chunks.send(chunk).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_chunks(
    state: &RelayState,
    mut chunks: mpsc::Receiver<DelayedChunk>,
    mut to: WriteHalf<'_>,
    count: impl Fn(&mut RelayCounts, u64),
) -> io::Result<()> {
    while let Some(chunk) = chunks.recv().await {
        tokio::time::sleep_until(chunk.due).await;
        to.write_all(&chunk.bytes).await?;
        let bytes = u64::try_from(chunk.bytes.len()).unwrap_or(u64::MAX);
        state.count(|counts| count(counts, bytes));
    }
    to.shutdown().await
}
