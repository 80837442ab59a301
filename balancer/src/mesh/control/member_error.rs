//! Errors of calls on the platform's members, with their HTTP status codes.
//!
//! Main type: [`MemberError`]. Its texts are part of the operators' interface and never change.

use std::time::Duration;

use thiserror::Error;

/// Why a call of a member, or of the platform on its members, is rejected.
#[derive(Debug, Error)]
pub enum MemberError {
    #[error("no such call here")]
    UnknownCall,
    #[error("this is not the key of a member by that name")]
    Unauthorized,
    #[error("more than {max_per_minute} changes in a minute")]
    RateLimited { max_per_minute: u32, retry_after: Duration },
    #[error("the document did not come whole")]
    IncompleteDocument,
    /// The document can't be parsed or exceeds the member's limits; one line per problem.
    #[error("{}", .0.join("\n"))]
    InvalidDocument(Vec<String>),
    #[error("none was ever taken")]
    NoDocument,
    #[error("there is no timetable yet")]
    NoConfiguration,
    #[error("another document was taken under this edition")]
    VersionTaken,
    #[error("edition: r{highest_version} was taken already")]
    VersionTooLow { highest_version: u64 },
    #[error("no trial runs")]
    NoCanary,
    #[error("nothing was ever settled")]
    NothingSettled,
    #[error("this steward has no earlier document on its disk")]
    NoEarlierDocument,
    #[error("the earlier document can't be read")]
    EarlierDocumentUnreadable,
    #[error("too long, or the core holds too many documents")]
    CapacityExceeded,
    /// A committed document can't be parsed, because another version of the program committed it.
    #[error("what the core holds is of a build that differs")]
    UnreadableDocument,
    #[error("the disk can't be read now")]
    DiskUnreadable,
    #[error("more than half of the core is not reached")]
    NoQuorum,
    /// No quorum acknowledged the document in time. It may still be committed.
    #[error("not safe on more than half of the core yet: send it again")]
    NotCommitted,
}

impl MemberError {
    /// Creates an `InvalidDocument` error with the problems found.
    pub fn invalid(problems: impl IntoIterator<Item = impl ToString>) -> MemberError {
        MemberError::InvalidDocument(problems.into_iter().map(|problem| problem.to_string()).collect())
    }

    /// Returns the HTTP status code of the response.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            MemberError::IncompleteDocument | MemberError::InvalidDocument(_) => 400,
            MemberError::Unauthorized => 401,
            MemberError::UnknownCall | MemberError::NoDocument => 404,
            MemberError::NoConfiguration
            | MemberError::VersionTaken
            | MemberError::VersionTooLow { .. }
            | MemberError::NoCanary
            | MemberError::NothingSettled
            | MemberError::NoEarlierDocument
            | MemberError::EarlierDocumentUnreadable => 409,
            MemberError::CapacityExceeded => 413,
            MemberError::RateLimited { .. } => 429,
            MemberError::UnreadableDocument
            | MemberError::DiskUnreadable
            | MemberError::NoQuorum
            | MemberError::NotCommitted => 503,
        }
    }

    /// Returns the value of `Retry-After` in seconds, if known.
    #[must_use]
    pub fn retry_after_s(&self) -> Option<u64> {
        match self {
            MemberError::RateLimited { retry_after, .. } => Some(retry_after.as_secs() + 1),
            _ => None,
        }
    }
}

#[cfg(test)]
#[path = "tests/member_error_tests.rs"]
mod member_error_tests;
