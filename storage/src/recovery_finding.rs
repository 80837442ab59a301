//! Damage that recovery finds in a data directory.

use std::fmt;

/// A file that was not intact when it was read. Paths are relative to the data directory.
///
/// [`fmt::Display`] writes the log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryFinding {
    /// A ballot slot is torn or damaged. One such slot is expected after a loss of power.
    DamagedBallotSlot {
        /// The slot's file.
        path: String,
    },
    /// A log segment is intact only up to some length. This is expected after a loss of power or a failed write.
    TornSegment {
        /// The segment's file.
        path: String,
        /// The length up to which all frames are intact.
        intact_bytes: usize,
        /// The length of the file.
        total_bytes: usize,
    },
    /// A file can't be used and was renamed, so that it is ignored and can be inspected.
    Quarantined {
        /// The file, by its original name.
        path: String,
        /// The length of the file.
        bytes: u64,
    },
}

impl fmt::Display for RecoveryFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecoveryFinding::DamagedBallotSlot { path } => write!(f, "{path}: not whole"),
            RecoveryFinding::TornSegment { path, intact_bytes, total_bytes } => {
                write!(f, "{path}: {intact_bytes} of {total_bytes} bytes are intact, the rest is ignored")
            }
            RecoveryFinding::Quarantined { path, bytes } => {
                write!(f, "{path}: {bytes} bytes can't be read, put aside")
            }
        }
    }
}
