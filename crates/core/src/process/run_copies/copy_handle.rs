//! Handle of the copy of a run that was moved.

/// Longest accepted handle; several times the length of an address and a number.
const MAX_HANDLE_BYTES: usize = 200;

/// Handle of a run's copy, as named by the engine that made it. It is part of a path and of a
/// header, so it contains none of their separators.
///
/// ```
/// use amaranthscale_core::process::CopyHandle;
///
/// assert!(CopyHandle::parse("h17").is_some());
/// assert!(CopyHandle::parse("h17/h18").is_none());
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyHandle(String);

impl CopyHandle {
    /// The handle of a text, if it can be one.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let is_allowed =
            |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'/' | b',' | b'?' | b'#' | b'%');
        let is_handle = !text.is_empty() && text.len() <= MAX_HANDLE_BYTES;
        (is_handle && text.bytes().all(is_allowed)).then(|| Self(text.to_owned()))
    }

    /// The handle as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// An engine's answer to a request to copy a run to another engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MoveAnswer {
    /// The target has a copy with the events up to one.
    Copied {
        /// Handle of the copy.
        handle: CopyHandle,
        /// Events so far.
        events: u64,
    },
    /// The target has no free capacity or was not reached; a run that stops still has a handle.
    NoCapacity(Option<CopyHandle>),
    /// The engine does not run the request.
    NoRun,
    /// The engine is copying the run already.
    Busy,
    /// Anything else.
    Unreadable,
}
