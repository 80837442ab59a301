//! Why a document of the operators or of a member is refused, and where in it the error is.
//!
//! The texts are for operators and speak the words of the documents.
//!
//! Invariants: texts of a document are shortened and escaped before they go into a message.

use std::fmt::Write;

use thiserror::Error;

/// Something that makes a document invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{location}: {reason}")]
pub struct Refusal {
    /// The path to the invalid value in the document.
    pub location: String,
    /// What is wrong with that value.
    pub reason: RefusalReason,
}

/// What is wrong with a value of a document.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RefusalReason {
    /// The text is too long.
    #[error("is longer than {max_bytes} bytes")]
    TooLong {
        /// The greatest length, in bytes.
        max_bytes: usize,
    },
    /// There are too many entries or values.
    #[error("holds more than {max}")]
    TooMany {
        /// The greatest number.
        max: usize,
    },
    /// The document is not UTF-8.
    #[error("is not UTF-8")]
    NotUtf8,
    /// The document ends within a value.
    #[error("ends too early")]
    Truncated,
    /// The document is not JSON.
    #[error("is no JSON: {ch:?} at line {line}, column {column}")]
    UnexpectedCharacter {
        /// The character that no JSON has there.
        ch: char,
        /// The line, counted from 1.
        line: usize,
        /// The column, counted from 1.
        column: usize,
    },
    /// The values are nested too deeply.
    #[error("is nested too deeply")]
    TooDeep,
    /// A number is too long.
    #[error("has a number of more than {max} digits")]
    TooManyDigits {
        /// The most digits of a number.
        max: usize,
    },
    /// The value is absent.
    #[error("is missing")]
    Missing,
    /// The value is not of the type named here with its article.
    #[error("is not {0}")]
    WrongType(&'static str),
    /// The text or list is empty.
    #[error("is empty")]
    Empty,
    /// The text has a control character.
    #[error("holds a control character")]
    ControlCharacter,
    /// The version, quoted here, is not `r` with a number.
    #[error("is {0}, not r and a number")]
    InvalidVersion(String),
    /// The path does not begin with a slash.
    #[error("does not begin with a slash")]
    NoLeadingSlash,
    /// The text is no header name, or too long for one.
    #[error("is no header's name of up to {max_bytes} characters")]
    InvalidHeaderName {
        /// The greatest length, in bytes.
        max_bytes: usize,
    },
    /// The header is set by proxies or belongs to the connection.
    #[error("is a header that no client sets for itself")]
    ReservedHeader,
    /// The path of the health check can't be in a request.
    #[error("is no path that can be asked for")]
    InvalidPath,
    /// The kind of route, quoted here, isn't known.
    #[error("is {0}, none of resendable, once_only, registered, outbound_post")]
    UnknownRouteKind(String),
    /// The number is 0, or below the least that is allowed.
    #[error("is not above 0")]
    NotPositive,
    /// The number is below 0.
    #[error("is below 0")]
    Negative,
    /// The number is not whole.
    #[error("is not a whole number")]
    NotWhole,
    /// The number is above the maximum.
    #[error("is above {0}")]
    AboveMaximum(u64),
    /// The route names no service.
    #[error("has neither line nor split")]
    NoService,
    /// The weights of a split are all 0.
    #[error("has shares that come to 0")]
    ZeroWeights,
    /// The service, quoted here, is not among the document's.
    #[error("names {0}, which is not among the mail_lines")]
    UnknownService(String),
    /// Another route has the same host and prefix.
    #[error("has the host and the prefix of consignments[{entry}]")]
    DuplicateLocation {
        /// The position of the other route's entry.
        entry: usize,
    },
    /// Another entry of a list has the same name or location.
    #[error("is that of {list}[{entry}] too")]
    Duplicate {
        /// The list's name.
        list: &'static str,
        /// The position of the other entry.
        entry: usize,
    },
    /// The text is no name of a member.
    #[error("is not 1 to 60 letters, digits, dots, dashes and underscores")]
    InvalidMemberName,
    /// The prefix does not end with a slash.
    #[error("does not end with a slash")]
    NoTrailingSlash,
    /// The text is no SHA-256 digest.
    #[error("is not a SHA-256 in 64 hex digits")]
    InvalidDigest,
    /// The scope lies within the scope of another member that is named here.
    #[error("lies within {0}")]
    OverlapsScope(String),
    /// The entry is given twice with different contents.
    #[error("is given twice, and not alike")]
    Conflict,
    /// The number of refusals that were left out.
    #[error("has {0} more errors")]
    MoreRefusals(usize),
}

/// The most characters of a document's text that go into a message.
const MAX_SHOWN_CHARS: usize = 64;

/// A text of a document in quotes, shortened, for a message or a line of a log.
pub(crate) fn quoted(text: &str) -> String {
    match text.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((end, _)) => format!("{:?}...", text.get(..end).unwrap_or_default()),
        None => format!("{text:?}"),
    }
}

/// A name of a document without quotes, shortened and escaped, for the location of an error.
pub(crate) fn escaped_name(name: &str) -> String {
    let mut shown = String::new();
    for character in name.chars().take(MAX_SHOWN_CHARS) {
        let _ = write!(shown, "{}", character.escape_debug());
    }
    shown
}
