//! Content of a body that arrives in parts.
//!
//! A sender chooses the size of the parts. Each one that is kept as it arrived takes an entry of a
//! list, and keeps the buffer alive into which it was read, with the framing around it. So small parts
//! are copied together, and what is counted is the memory that the content takes.

use bytes::{Bytes, BytesMut};

/// Size from which a part is kept as it arrived.
const MIN_KEPT_BYTES: usize = 2 * 1024;
/// Sizes of the blocks into which smaller parts are copied: they grow with the content.
const MIN_BLOCK_BYTES: usize = 256;
const MAX_BLOCK_BYTES: usize = 32 * 1024;

/// Content of a body that has arrived so far.
#[derive(Debug, Default)]
pub(super) struct ReceivedParts {
    parts: Vec<Bytes>,
    /// Small parts after the others.
    block: BytesMut,
    /// Size of the parts, and the memory that they take.
    parts_bytes: usize,
    parts_memory_bytes: usize,
}

impl ReceivedParts {
    /// Adds a part.
    pub(super) fn push(&mut self, part: Bytes) {
        if part.len() >= MIN_KEPT_BYTES {
            self.close_block();
            let memory_bytes = part.len();
            self.add_part(part, memory_bytes);
            return;
        }
        if self.block.capacity() - self.block.len() < part.len() {
            self.close_block();
            let bytes = self.len().clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
            self.block = BytesMut::with_capacity(bytes.max(part.len()));
        }
        self.block.extend_from_slice(&part);
    }

    /// Number of bytes that have arrived.
    pub(super) fn len(&self) -> usize {
        self.parts_bytes + self.block.len()
    }

    /// Memory that they take.
    pub(super) fn memory_bytes(&self) -> usize {
        let entries = self.parts.capacity() * size_of::<Bytes>();
        entries + self.parts_memory_bytes + self.block.capacity()
    }

    /// The whole content; that of one large part, or of the first block, is not copied here.
    pub(super) fn whole(mut self) -> Bytes {
        if self.parts.is_empty() {
            return self.block.freeze();
        }
        self.close_block();
        match self.parts.len() {
            1 => self.parts.swap_remove(0),
            _ => self.parts.concat().into(),
        }
    }

    /// Moves the block to the parts, reduced to its content where less than half of it is used.
    fn close_block(&mut self) {
        let block = std::mem::take(&mut self.block);
        if block.is_empty() {
            return;
        }
        if block.len() * 2 < block.capacity() {
            self.add_part(Bytes::copy_from_slice(&block), block.len());
        } else {
            let memory_bytes = block.capacity();
            self.add_part(block.freeze(), memory_bytes);
        }
    }

    fn add_part(&mut self, part: Bytes, memory_bytes: usize) {
        self.parts_bytes += part.len();
        self.parts_memory_bytes += memory_bytes;
        self.parts.push(part);
    }
}
