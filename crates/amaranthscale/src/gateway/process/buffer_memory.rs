//! Memory for bodies that a gateway holds for its callers.
//!
//! A caller may send or read slowly, or not at all, while its server answers fast. What is held for
//! such callers is bounded for all of them together, so that they cannot use up the host's memory.
//! A reservation lasts as long as any part of the content that it was made for.
//!
//! A quarter is for small content alone. Otherwise a few clients that leave large answers unread, or
//! that stop within large bodies, would hold up all others, whose content is nearly always small.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes of one unit of a reservation.
const UNIT_BYTES: usize = 1024;
/// Largest content that counts as small.
const SMALL_BYTES: usize = 64 * 1024;
/// Fraction of the memory for small content.
const SMALL_FRACTION: usize = 4;
/// Smallest memory that is divided; in a smaller one, few small contents would fill their part.
const MIN_DIVIDED_BYTES: usize = 4 * 1024 * 1024;

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
    /// For small content; none in a small memory.
    small: Option<Pool>,
    large: Pool,
}

impl BufferMemory {
    /// Memory of a size; at least one unit.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        if bytes < MIN_DIVIDED_BYTES {
            return Self {
                small: None,
                large: Pool::new(bytes),
            };
        }
        let small_bytes = bytes / SMALL_FRACTION;
        Self {
            small: Some(Pool::new(small_bytes)),
            large: Pool::new(bytes - small_bytes),
        }
    }

    /// Reserves memory if it is free now.
    #[must_use]
    pub fn try_reserve(&self, bytes: usize) -> Option<BufferReservation> {
        let pool = self.pool_for(bytes);
        let permit = pool.try_acquire(pool.units_for(bytes))?;
        Some(self.reservation(pool, permit))
    }

    /// Reserves memory, waiting behind earlier requests of its kind until it is free.
    pub async fn reserve(&self, bytes: usize) -> BufferReservation {
        let pool = self.pool_for(bytes);
        let free = Arc::clone(&pool.free);
        match free.acquire_many_owned(pool.units_for(bytes)).await {
            Ok(permit) => self.reservation(pool, permit),
            // The semaphore is never closed.
            Err(_closed) => std::future::pending().await,
        }
    }

    fn pool_for(&self, bytes: usize) -> &Pool {
        match &self.small {
            Some(small) if bytes <= SMALL_BYTES => small,
            _ => &self.large,
        }
    }

    fn reservation(&self, pool: &Pool, permit: OwnedSemaphorePermit) -> BufferReservation {
        BufferReservation {
            memory: self.clone(),
            pool: pool.clone(),
            permit,
        }
    }
}

/// Memory for content of one kind.
#[derive(Debug, Clone)]
struct Pool {
    free: Arc<Semaphore>,
    units: u32,
}

impl Pool {
    fn new(bytes: usize) -> Self {
        let units = u32::try_from(bytes / UNIT_BYTES).unwrap_or(u32::MAX).max(1);
        let permits = usize::try_from(units).unwrap_or(Semaphore::MAX_PERMITS);
        Self {
            free: Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS))),
            units,
        }
    }

    fn try_acquire(&self, units: u32) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.free).try_acquire_many_owned(units).ok()
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
    pool: Pool,
    permit: OwnedSemaphorePermit,
}

impl BufferReservation {
    /// Extends the reservation to a number of bytes; false if that is not free now.
    pub fn try_extend_to(&mut self, bytes: usize) -> bool {
        let pool = self.memory.pool_for(bytes);
        // Content that turns out not to be small moves to the memory of large content.
        if bytes > SMALL_BYTES && !Arc::ptr_eq(&pool.free, &self.pool.free) {
            let Some(permit) = pool.try_acquire(pool.units_for(bytes)) else {
                return false;
            };
            self.pool = pool.clone();
            self.permit = permit;
            return true;
        }
        let wanted = usize::try_from(self.pool.units_for(bytes)).unwrap_or(usize::MAX);
        let missing = wanted.saturating_sub(self.permit.num_permits());
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        if missing == 0 {
            return true;
        }
        match self.pool.try_acquire(missing) {
            Some(more) => {
                self.permit.merge(more);
                true
            }
            None => false,
        }
    }

    /// The same content, which keeps the reservation, reduced to its size, until it is dropped.
    #[must_use]
    pub fn hold(mut self, content: Bytes) -> Bytes {
        let needed = usize::try_from(self.pool.units_for(content.len())).unwrap_or(usize::MAX);
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
