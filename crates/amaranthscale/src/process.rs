//! What lives as long as its process.

pub mod settings;
