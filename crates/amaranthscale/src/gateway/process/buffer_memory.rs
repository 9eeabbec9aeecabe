//! Memory for bodies that a gateway holds for its callers.
//!
//! A caller may send or read slowly, or not at all, while its server answers fast. What is held for
//! such callers is bounded for all of them together, so that they cannot use up the host's memory.
//! A reservation lasts as long as any part of the content that it was made for.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes of one unit of a reservation.
const UNIT_BYTES: usize = 1024;

/// A bounded amount of memory.
///
/// # Examples
///
/// ```
/// use amaranthscale::gateway::process::BufferMemory;
/// use bytes::Bytes;
///
/// let memory = BufferMemory::new(4 * 1024);
/// let reservation = memory.try_reserve(3 * 1024).expect("it is free");
/// let content = reservation.hold(Bytes::from(vec![0; 3 * 1024]));
/// assert!(memory.try_reserve(2 * 1024).is_none());
/// drop(content);
/// assert!(memory.try_reserve(2 * 1024).is_some());
/// ```
#[derive(Debug, Clone)]
pub struct BufferMemory {
    free: Arc<Semaphore>,
    units: u32,
}

impl BufferMemory {
    /// Memory of a size; at least one unit.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        let units = u32::try_from(bytes / UNIT_BYTES).unwrap_or(u32::MAX).max(1);
        let permits = usize::try_from(units).unwrap_or(Semaphore::MAX_PERMITS);
        Self {
            free: Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS))),
            units,
        }
    }

    /// Reserves memory if it is free now.
    #[must_use]
    pub fn try_reserve(&self, bytes: usize) -> Option<BufferReservation> {
        let free = Arc::clone(&self.free);
        let permit = free.try_acquire_many_owned(self.units_for(bytes)).ok()?;
        Some(BufferReservation {
            memory: self.clone(),
            permit,
        })
    }

    /// Reserves memory, waiting behind earlier requests until it is free.
    pub async fn reserve(&self, bytes: usize) -> BufferReservation {
        let free = Arc::clone(&self.free);
        match free.acquire_many_owned(self.units_for(bytes)).await {
            Ok(permit) => BufferReservation {
                memory: self.clone(),
                permit,
            },
            // The semaphore is never closed.
            Err(_closed) => std::future::pending().await,
        }
    }

    /// Units for a number of bytes; content larger than the memory takes all of it, so that it can
    /// be held alone.
    fn units_for(&self, bytes: usize) -> u32 {
        let units = u32::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX);
        units.clamp(1, self.units)
    }
}

/// Reserved memory, freed when this and the content that it holds are dropped.
#[derive(Debug)]
pub struct BufferReservation {
    memory: BufferMemory,
    permit: OwnedSemaphorePermit,
}

impl BufferReservation {
    /// Extends the reservation to a number of bytes; false if that is not free now.
    pub fn try_extend_to(&mut self, bytes: usize) -> bool {
        let wanted = usize::try_from(self.memory.units_for(bytes)).unwrap_or(usize::MAX);
        let missing = wanted.saturating_sub(self.permit.num_permits());
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        if missing == 0 {
            return true;
        }
        match Arc::clone(&self.memory.free).try_acquire_many_owned(missing) {
            Ok(more) => {
                self.permit.merge(more);
                true
            }
            Err(_none_free) => false,
        }
    }

    /// The same content, which keeps the reservation, reduced to its size, until it is dropped.
    #[must_use]
    pub fn hold(mut self, content: Bytes) -> Bytes {
        let needed = usize::try_from(self.memory.units_for(content.len())).unwrap_or(usize::MAX);
        let unused = self.permit.num_permits().saturating_sub(needed);
        drop(self.permit.split(unused));
        Bytes::from_owner(HeldContent {
            content,
            _permit: self.permit,
        })
    }
}

struct HeldContent {
    content: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for HeldContent {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}
