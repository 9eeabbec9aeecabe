//! Compression of long rows that are relayed between gateways.
//!
//! A configuration of thousands of routes is written as a whole at each change, however small. It
//! is relayed compressed against the version that the requesting gateway already has, so that a
//! small change is a small message.

use std::io::{self, Read, Write};

use amaranthscale_core::id::RowVersion;
use bytes::Bytes;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use zstd::stream::{Decoder, Encoder};

/// Size from which a row is relayed packed.
pub const LONG_ROW_BYTES: usize = 64 * 1024;
/// Maximum size of a packed row's content.
pub const MAX_CONTENT_BYTES: usize = 16 * 1024 * 1024;
/// Compression level. On a host with a tenth of a core, a higher level takes longer than sending
/// the bytes that it saves.
const LEVEL: i32 = 1;
/// Minimum and maximum compression window, as exponents of two.
const WINDOW_LOGS: (u32, u32) = (16, 25);

quick_error! {
    /// Error of unpacking a row.
    #[derive(Debug)]
    pub enum UnpackError {
        /// It is packed against a version that is not available here.
        BaseMissing(key: String, base: RowVersion) {
            display("row {key} is packed against version {base}, which is not available here")
        }
        /// Its content would be larger than allowed.
        TooLarge(key: String, content_bytes: usize) {
            display("row {key} would have {content_bytes} bytes; at most {MAX_CONTENT_BYTES} are allowed")
        }
        /// Its bytes cannot be decompressed.
        Malformed(key: String, cause: io::Error) {
            display("row {key} cannot be unpacked: {cause}")
            source(cause)
        }
    }
}

/// A version of a row that a gateway has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownRow {
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
    /// Version of the same row that it is packed against.
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
        let base_content = base.map_or(&[][..], |(_, content)| content);
        let window_log = (base_content.len() + content.len())
            .next_power_of_two()
            .ilog2();
        let mut encoder = Encoder::with_ref_prefix(Vec::new(), LEVEL, base_content)?;
        encoder.window_log(window_log.clamp(WINDOW_LOGS.0, WINDOW_LOGS.1))?;
        encoder.long_distance_matching(true)?;
        // Only the checksum detects that a different base is used for unpacking.
        encoder.include_checksum(true)?;
        encoder.write_all(content)?;
        let packed = encoder.finish()?;
        Ok(Self {
            key: key.into(),
            base: base.map(|(version, _)| version),
            content_bytes: content.len(),
            packed: packed.into(),
        })
    }

    /// Unpacks the content, with the content of its base if it has one.
    pub fn unpack(&self, base: Option<&[u8]>) -> Result<Bytes, UnpackError> {
        if self.content_bytes > MAX_CONTENT_BYTES {
            return Err(UnpackError::TooLarge(self.key.clone(), self.content_bytes));
        }
        let base_content = match (self.base, base) {
            (None, _) => &[][..],
            (Some(_), Some(content)) => content,
            (Some(version), None) => {
                return Err(UnpackError::BaseMissing(self.key.clone(), version));
            }
        };
        let content = self.decompress(base_content);
        let content = content.map_err(|cause| UnpackError::Malformed(self.key.clone(), cause))?;
        Ok(content.into())
    }

    fn decompress(&self, base_content: &[u8]) -> io::Result<Vec<u8>> {
        let mut decoder = Decoder::with_ref_prefix(&self.packed[..], base_content)?;
        decoder.window_log_max(WINDOW_LOGS.1)?;
        let mut content = Vec::with_capacity(self.content_bytes);
        // One byte more than stated, so that longer content is detected.
        let max_bytes = u64::try_from(self.content_bytes).unwrap_or(u64::MAX);
        decoder.take(max_bytes + 1).read_to_end(&mut content)?;
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

    /// Version that it is packed against.
    #[must_use]
    pub const fn base(&self) -> Option<RowVersion> {
        self.base
    }

    /// Bytes of the content.
    #[must_use]
    pub const fn content_bytes(&self) -> usize {
        self.content_bytes
    }

    /// Bytes of the packed content.
    #[must_use]
    pub const fn packed_bytes(&self) -> usize {
        self.packed.len()
    }
}
