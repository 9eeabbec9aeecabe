//! One connection that passes through a relay.

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
use crate::relay::{ConnectionFate, RelayCounts};

/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;
/// Pieces that may be on their way in one direction; bounds the memory of a delayed connection.
const PIECES_IN_FLIGHT: usize = 256;

/// Bytes that become due at the other end.
#[derive(Debug)]
struct Piece {
    due: Instant,
    bytes: Bytes,
}

/// Relays a connection until it ends or is cut.
pub(crate) async fn serve(state: Arc<RelayState>, client: TcpStream) {
    let Some(fate) = state.admit() else {
        return;
    };
    match TcpStream::connect(state.to).await {
        Ok(server) => relay(&state, client, server, fate).await,
        Err(error) => {
            log::info!("relay: far end not reached: {error}");
            state.note_unreachable();
        }
    }
}

async fn relay(
    state: &RelayState,
    mut client: TcpStream,
    mut server: TcpStream,
    mut fate: watch::Receiver<ConnectionFate>,
) {
    set_no_delay(&server);
    tokio::select! {
        biased;
        () = reached(&mut fate, ConnectionFate::Silent) => {}
        () = pass_both_ways(state, &mut client, &mut server) => return,
    }
    // Both sockets stay open here, unread, so that neither end learns that nothing passes.
    reached(&mut fate, ConnectionFate::Cut).await;
}

/// Waits until the connection has this fate, or a worse one.
async fn reached(fate: &mut watch::Receiver<ConnectionFate>, awaited: ConnectionFate) {
    if fate.wait_for(|fate| *fate >= awaited).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn pass_both_ways(state: &RelayState, client: &mut TcpStream, server: &mut TcpStream) {
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let to_server = pass(state, client_read, server_write, |counts, bytes| {
        counts.to_server_bytes += bytes;
    });
    let to_client = pass(state, server_read, client_write, |counts, bytes| {
        counts.to_client_bytes += bytes;
    });
    if let Err(error) = tokio::try_join!(to_server, to_client) {
        log::debug!("relay: connection ended: {error}");
    }
}

/// Passes bytes one way until their end, and then the end itself.
async fn pass(
    state: &RelayState,
    from: ReadHalf<'_>,
    to: WriteHalf<'_>,
    count: impl Fn(&mut RelayCounts, u64),
) -> io::Result<()> {
    let (pieces, due_pieces) = mpsc::channel(PIECES_IN_FLIGHT);
    let reading = read_pieces(state, from, pieces);
    let writing = write_pieces(state, due_pieces, to, count);
    tokio::try_join!(reading, writing)?;
    Ok(())
}

async fn read_pieces(
    state: &RelayState,
    mut from: ReadHalf<'_>,
    pieces: mpsc::Sender<Piece>,
) -> io::Result<()> {
    loop {
        let mut buffer = BytesMut::with_capacity(READ_BYTES);
        if from.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
        let piece = Piece {
            due: Instant::now() + state.delay(),
            bytes: buffer.freeze(),
        };
        if pieces.send(piece).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_pieces(
    state: &RelayState,
    mut pieces: mpsc::Receiver<Piece>,
    mut to: WriteHalf<'_>,
    count: impl Fn(&mut RelayCounts, u64),
) -> io::Result<()> {
    while let Some(piece) = pieces.recv().await {
        tokio::time::sleep_until(piece.due).await;
        to.write_all(&piece.bytes).await?;
        let bytes = u64::try_from(piece.bytes.len()).unwrap_or(u64::MAX);
        state.count(|counts| count(counts, bytes));
    }
    to.shutdown().await
}
