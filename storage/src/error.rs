//! Why the store could not read or write.

use std::fmt;
use std::io;

#[derive(Debug)]
pub enum StoreError {
    /// A file or folder can't be read; what it holds is not known.
    Read(String, io::Error),
    Write(String, io::Error),
    Sync(String, io::Error),
    /// A name can't be made, changed or removed.
    Name(String, io::Error),
    /// More than fits a segment.
    TooLong,
    /// A record has no form on disk.
    Form(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Read(name, why) => write!(f, "{name} can't be read: {why}"),
            StoreError::Write(name, why) => write!(f, "{name} can't be written: {why}"),
            StoreError::Sync(name, why) => write!(f, "{name} can't be synced: {why}"),
            StoreError::Name(name, why) => write!(f, "{name} can't be made, renamed or removed: {why}"),
            StoreError::TooLong => write!(f, "more records in one go than a segment takes"),
            StoreError::Form(why) => write!(f, "a record can't be written: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}
