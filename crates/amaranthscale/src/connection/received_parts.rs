//! Content of a body that arrives in parts.
//!
//! A sender chooses the size of the parts. Each one that is kept as it arrived takes an entry of a
//! list, and keeps the whole buffer alive into which it was read. So parts are copied together, and
//! what is counted is the memory that the content takes.

use bytes::{Buf, Bytes, BytesMut};

/// Sizes of the blocks into which parts are copied: they grow with the content.
const MIN_BLOCK_BYTES: usize = 256;
const MAX_BLOCK_BYTES: usize = 32 * 1024;

/// Content of a body that has arrived so far.
#[derive(Debug, Default)]
pub(super) struct ReceivedParts {
    /// Full blocks.
    blocks: Vec<Bytes>,
    blocks_bytes: usize,
    /// The block after them.
    block: BytesMut,
}

impl ReceivedParts {
    /// Adds a part.
    pub(super) fn push(&mut self, mut part: Bytes) {
        while part.has_remaining() {
            let room = self.block.capacity() - self.block.len();
            if room == 0 {
                self.start_block(part.remaining());
                continue;
            }
            let taken = part.split_to(room.min(part.remaining()));
            self.block.extend_from_slice(&taken);
        }
    }

    /// Number of bytes that have arrived.
    pub(super) fn len(&self) -> usize {
        self.blocks_bytes + self.block.len()
    }

    /// Memory that they take.
    pub(super) fn memory_bytes(&self) -> usize {
        let entries = self.blocks.capacity() * size_of::<Bytes>();
        entries + self.blocks_bytes + self.block.capacity()
    }

    /// The whole content; that of the first block is not copied here.
    pub(super) fn whole(mut self) -> Bytes {
        if self.blocks.is_empty() {
            return self.block.freeze();
        }
        self.close_block();
        self.blocks.concat().into()
    }

    /// Starts a block as large as the content so far, or as what is added.
    fn start_block(&mut self, added_bytes: usize) {
        let bytes = self.len().max(added_bytes);
        self.close_block();
        self.block = BytesMut::with_capacity(bytes.clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES));
    }

    fn close_block(&mut self) {
        let block = std::mem::take(&mut self.block);
        if !block.is_empty() {
            self.blocks_bytes += block.len();
            self.blocks.push(block.freeze());
        }
    }
}
