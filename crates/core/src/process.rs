//! What lives as long as its process.
