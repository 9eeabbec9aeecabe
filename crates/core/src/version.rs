//! What lives for a version of shared configuration.
