//! What operators and entries say to each other.
