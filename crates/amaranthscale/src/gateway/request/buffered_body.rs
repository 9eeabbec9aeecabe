//! Reads whole bodies into the memory that all callers share.

use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};

use super::super::process::{BufferMemory, BufferReservation};
use crate::connection::{BodyEnd, FramedBody, ReadBodyError, read_body_if_kept};

/// Memory reserved at first for a body without a declared length; usual ones are smaller.
const UNDECLARED_BYTES: usize = 64 * 1024;

/// Reads a caller's request body. Fails at once if there is no memory for it, as the caller's next
/// try may reach a gateway that has some.
pub(super) async fn read_request_body(
    memory: &BufferMemory,
    body: Incoming,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, ReadBodyError> {
    let first_bytes = first_bytes(&body, max_bytes)?;
    // Requests without a body need none, and are not refused because others' bodies fill it.
    if first_bytes == 0 {
        return Ok(Bytes::new());
    }
    let reservation = memory.try_reserve(first_bytes);
    let reservation = reservation.ok_or(ReadBodyError::NoMemory(first_bytes))?;
    read_into(reservation, body, max_bytes, timeout).await
}

/// Reads a server's answer, once there is memory for it: the server's work is done, and it holds
/// the answer meanwhile. Whether the content is complete depends on the end that is returned with it.
pub(super) async fn read_answer_body(
    memory: &BufferMemory,
    body: FramedBody,
    max_bytes: usize,
    timeout: Duration,
) -> Result<(Bytes, BodyEnd), ReadBodyError> {
    let (body, end) = body.into_parts();
    let first_bytes = first_bytes(&body, max_bytes)?;
    let reading = async {
        let reservation = memory.reserve(first_bytes).await;
        read_into(reservation, body, max_bytes, timeout).await
    };
    let read = tokio::time::timeout(timeout, reading).await;
    let content = read.unwrap_or(Err(ReadBodyError::TimedOut(timeout, 0)))?;
    Ok((content, end))
}

/// Bytes to reserve before a body is read: its declared length, if it has one.
fn first_bytes(body: &Incoming, max_bytes: usize) -> Result<usize, ReadBodyError> {
    let Some(declared) = body.size_hint().exact() else {
        return Ok(UNDECLARED_BYTES.min(max_bytes));
    };
    let declared = usize::try_from(declared).unwrap_or(usize::MAX);
    if declared > max_bytes {
        return Err(ReadBodyError::TooLarge(max_bytes));
    }
    Ok(declared)
}

async fn read_into(
    mut reservation: BufferReservation,
    body: Incoming,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, ReadBodyError> {
    let may_keep = |bytes| reservation.try_extend_to(bytes);
    let content = read_body_if_kept(body, max_bytes, timeout, may_keep).await?;
    Ok(reservation.hold(content))
}
