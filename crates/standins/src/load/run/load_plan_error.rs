//! Why a plan cannot be used.

use quick_error::quick_error;

quick_error! {
    /// A plan that cannot be used.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum LoadPlanError {
        /// The file is no INI.
        Malformed(file: String, reason: String) {
            display("{file}: {reason}")
        }
        /// A key that must be given is missing.
        Missing(file: String, section: String, key: &'static str) {
            display("{file}: [{section}] lacks {key}: add a line \"{key} = ...\"")
        }
        /// A value cannot be used.
        Value(file: String, section: String, key: String, value: String, accepted: &'static str) {
            display("{file}: [{section}] {key} = {value:?}: give {accepted}")
        }
        /// A key or section that no plan has.
        Unknown(file: String, section: String, key: String) {
            display("{file}: [{section}] {key} is unknown: see examples/delta-basin/load.ini")
        }
        /// Nobody asks.
        NoOrganisation(file: String) {
            display("{file}: no organisation asks: add a section [organisation NAME]")
        }
    }
}
