//! Why the store could not read or write its data directory.

use std::io;

use thiserror::Error;

/// Why the store could not be opened, or records not be persisted. Paths are relative to the data directory.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A file or directory can't be read, so its content is not known.
    #[error("{path} can't be read: {source}")]
    Read {
        /// The file or directory.
        path: String,
        /// The error of the file system.
        #[source]
        source: io::Error,
    },
    /// A file can't be written. Any part of the data may have been written.
    #[error("{path} can't be written: {source}")]
    Write {
        /// The file.
        path: String,
        /// The error of the file system.
        #[source]
        source: io::Error,
    },
    /// A file or directory can't be synced, so a loss of power may undo what was written to it.
    #[error("{path} can't be synced: {source}")]
    Sync {
        /// The file or directory.
        path: String,
        /// The error of the file system.
        #[source]
        source: io::Error,
    },
    /// A file can't be renamed, or a directory can't be created.
    #[error("{path} can't be created, renamed or removed: {source}")]
    ChangeEntry {
        /// The file or directory.
        path: String,
        /// The error of the file system.
        #[source]
        source: io::Error,
    },
    /// The records of one call don't fit a log segment.
    #[error("the records of one write don't fit in a log segment")]
    BatchTooLarge,
    /// A record can't be encoded.
    #[error("a record can't be encoded: {source}")]
    Encode {
        /// The error of the encoder.
        #[source]
        source: ciborium::ser::Error<io::Error>,
    },
    /// Register acceptors were persisted before any membership ballot, which is stored in the same file.
    #[error("register acceptors can't be written before the first membership ballot")]
    AcceptorsWithoutMembership,
}
