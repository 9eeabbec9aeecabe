//! Errors of reading a load plan.

use quick_error::quick_error;

quick_error! {
    /// A load plan that is invalid.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum LoadPlanError {
        /// The file is not valid INI.
        Malformed(file: String, reason: String) {
            display("{file}: {reason}")
        }
        /// A required key is missing.
        Missing(file: String, section: String, key: &'static str) {
            display("{file}: [{section}] lacks {key}: add a line \"{key} = ...\"")
        }
        /// A value is invalid.
        Value(file: String, section: String, key: String, value: String, accepted: &'static str) {
            display("{file}: [{section}] {key} = {value:?}: give {accepted}")
        }
        /// A key or section is unknown.
        Unknown(file: String, section: String, key: String) {
            display("{file}: [{section}] {key} is unknown: see examples/delta-basin/load.ini")
        }
        /// The plan has no organisation.
        NoOrganisation(file: String) {
            display("{file}: no organisation asks: add a section [organisation NAME]")
        }
    }
}
