//! Long rows on their way between gateways.
//!
//! A configuration of thousands of routes is written whole at each change, however small. It is handed on
//! compressed, and against the version that the one who asks holds already, so that a change that
//! changes little costs little on its way.

use std::io::{self, Read, Write};

use amaranthscale_core::id::RowVersion;
use bytes::Bytes;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use zstd::stream::{Decoder, Encoder};

/// Size of a row from which it is handed on packed.
pub const LONG_ROW_BYTES: usize = 64 * 1024;
/// Largest content of a packed row.
pub const MAX_CONTENT_BYTES: usize = 16 * 1024 * 1024;
/// Effort of the compression: on a host with a tenth of a core, more of it takes longer than the bytes that it saves.
const LEVEL: i32 = 1;
/// Smallest and largest window that are used, as powers of two.
const WINDOW_LOGS: (u32, u32) = (16, 25);

quick_error! {
    /// A packed row that cannot be unpacked.
    #[derive(Debug)]
    pub enum UnpackError {
        /// It is told against a version that is not held here.
        BaseMissing(key: String, base: RowVersion) {
            display("row {key} is told by its difference to version {base}, which is not held here")
        }
        /// Its content would be larger than any row.
        TooLarge(key: String, content_bytes: usize) {
            display("row {key} would have {content_bytes} bytes; at most {MAX_CONTENT_BYTES} are taken")
        }
        /// Its bytes cannot be decompressed.
        Malformed(key: String, cause: io::Error) {
            display("row {key} cannot be unpacked: {cause}")
            source(cause)
        }
    }
}

/// A version of a row that a gateway holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRow {
    /// Key within its table.
    pub key: String,
    /// Version of the row.
    pub version: RowVersion,
}

/// The content of a long row, compressed.
///
/// # Examples
///
/// ```
/// use amaranthscale::gateway::version::PackedRow;
/// use amaranthscale_core::id::RowVersion;
///
/// let old = b"a route and another one ".repeat(9_000);
/// let new = [old.as_slice(), b"and a third"].concat();
/// let base = Some((RowVersion::new(7), old.as_slice()));
/// let packed = PackedRow::pack("config", &new, base).expect("memory suffices");
/// assert!(packed.packed_bytes() < 200);
/// assert_eq!(packed.unpack(Some(&old)).expect("the same base"), new);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedRow {
    key: String,
    /// Version of the same row that it is told against.
    base: Option<RowVersion>,
    content_bytes: usize,
    packed: Bytes,
}

impl PackedRow {
    /// Packs a row's content, against a version of it if one is given.
    pub fn pack(
        key: impl Into<String>,
        content: &[u8],
        base: Option<(RowVersion, &[u8])>,
    ) -> io::Result<Self> {
        let known = base.map_or(&[][..], |(_, content)| content);
        let window_log = (known.len() + content.len()).next_power_of_two().ilog2();
        let mut packing = Encoder::with_ref_prefix(Vec::new(), LEVEL, known)?;
        packing.window_log(window_log.clamp(WINDOW_LOGS.0, WINDOW_LOGS.1))?;
        packing.long_distance_matching(true)?;
        // A base that is not the same one would be noticed by nothing else.
        packing.include_checksum(true)?;
        packing.write_all(content)?;
        let packed = packing.finish()?;
        Ok(Self {
            key: key.into(),
            base: base.map(|(version, _)| version),
            content_bytes: content.len(),
            packed: packed.into(),
        })
    }

    /// Unpacks the content, by that of the base if it has one.
    pub fn unpack(&self, base: Option<&[u8]>) -> Result<Bytes, UnpackError> {
        if self.content_bytes > MAX_CONTENT_BYTES {
            return Err(UnpackError::TooLarge(self.key.clone(), self.content_bytes));
        }
        let known = match (self.base, base) {
            (None, _) => &[][..],
            (Some(_), Some(content)) => content,
            (Some(version), None) => {
                return Err(UnpackError::BaseMissing(self.key.clone(), version));
            }
        };
        let content = self.decompress(known);
        let content = content.map_err(|cause| UnpackError::Malformed(self.key.clone(), cause))?;
        Ok(content.into())
    }

    fn decompress(&self, known: &[u8]) -> io::Result<Vec<u8>> {
        let mut unpacking = Decoder::with_ref_prefix(&self.packed[..], known)?;
        unpacking.window_log_max(WINDOW_LOGS.1)?;
        let mut content = Vec::with_capacity(self.content_bytes);
        // One more than is told, so that content that goes on is noticed.
        let most = u64::try_from(self.content_bytes).unwrap_or(u64::MAX);
        unpacking.take(most + 1).read_to_end(&mut content)?;
        if content.len() == self.content_bytes {
            Ok(content)
        } else {
            Err(io::ErrorKind::InvalidData.into())
        }
    }

    /// Key of the row.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Version that it is told against.
    #[must_use]
    pub const fn base(&self) -> Option<RowVersion> {
        self.base
    }

    /// Bytes of the content.
    #[must_use]
    pub const fn content_bytes(&self) -> usize {
        self.content_bytes
    }

    /// Bytes that are handed on.
    #[must_use]
    pub const fn packed_bytes(&self) -> usize {
        self.packed.len()
    }
}
