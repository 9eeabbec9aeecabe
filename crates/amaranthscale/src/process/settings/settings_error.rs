//! Why a settings file cannot be used.

use quick_error::quick_error;

quick_error! {
    /// A settings file that cannot be used.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingsError {
        /// A line that is neither section, key nor comment.
        Syntax(file: String, line: usize, text: String) {
            display("{file}:{line}: {text:?} is no [section], no key = value and no # comment")
        }
        /// A key before the first section.
        NoSection(file: String, line: usize, key: String) {
            display("{file}:{line}: key {key:?} stands before the first [section]: move it into one")
        }
        /// An unknown section.
        UnknownSection(file: String, line: usize, section: String, accepted: String) {
            display("{file}:{line}: section [{section}] is unknown: use {accepted}")
        }
        /// An unknown key of a section.
        UnknownKey(file: String, line: usize, section: String, key: String, accepted: String) {
            display("{file}:{line}: [{section}] {key} is unknown: use {accepted}")
        }
        /// A duplicate section.
        DuplicateSection(file: String, line: usize, section: String, first_line: usize) {
            display("{file}:{line}: section [{section}] stands in line {first_line} already: join the two")
        }
        /// A duplicate key.
        DuplicateKey(file: String, line: usize, section: String, key: String, first_line: usize) {
            display("{file}:{line}: [{section}] {key} stands in line {first_line} already: keep one")
        }
        /// A missing key that must be given.
        MissingKey(file: String, section: &'static str, key: &'static str, accepted: String) {
            display("{file}: [{section}] {key} is missing: give {accepted}")
        }
        /// A value that the key does not accept.
        BadValue(file: String, line: usize, section: &'static str, key: &'static str, value: String, accepted: String) {
            display("{file}:{line}: [{section}] {key} = {value}: give {accepted}")
        }
        /// Two values that contradict each other.
        Contradiction(file: String, line: usize, section: &'static str, key: &'static str, value: u64, accepted: String) {
            display("{file}:{line}: [{section}] {key} = {value}: give {accepted}")
        }
    }
}

impl SettingsError {
    /// Line that is wrong; none if a line is missing.
    #[must_use]
    pub const fn line(&self) -> Option<usize> {
        match self {
            Self::Syntax(_, line, ..)
            | Self::NoSection(_, line, ..)
            | Self::UnknownSection(_, line, ..)
            | Self::UnknownKey(_, line, ..)
            | Self::DuplicateSection(_, line, ..)
            | Self::DuplicateKey(_, line, ..)
            | Self::BadValue(_, line, ..)
            | Self::Contradiction(_, line, ..) => Some(*line),
            Self::MissingKey(..) => None,
        }
    }
}
