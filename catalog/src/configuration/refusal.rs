//! The reasons for refusing an operators' or a member's document, with the location of each error.
//!
//! The texts are for operators and use the field names of the documents.
//!
//! Invariants: texts from a document are shortened and escaped before they are included in a message.

use std::fmt::Write;

use thiserror::Error;

/// An error that makes a document invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{location}: {reason}")]
pub struct Refusal {
    /// The path to the invalid value in the document.
    pub location: String,
    /// The error in that value.
    pub reason: RefusalReason,
}

/// The error in a value of a document.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RefusalReason {
    /// The text is too long.
    #[error("is longer than {max_bytes} bytes")]
    TooLong {
        /// The maximum length, in bytes.
        max_bytes: usize,
    },
    /// There are too many entries or values.
    #[error("holds more than {max}")]
    TooMany {
        /// The maximum number.
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
        /// The unexpected character.
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
        /// The maximum number of digits.
        max: usize,
    },
    /// The value is absent.
    #[error("is missing")]
    Missing,
    /// The value is not of this type, which is given with its article.
    #[error("is not {0}")]
    WrongType(&'static str),
    /// The text or list is empty.
    #[error("is empty")]
    Empty,
    /// The text contains a control character.
    #[error("holds a control character")]
    ControlCharacter,
    /// The version, quoted here, is not `r` followed by a number.
    #[error("is {0}, not r and a number")]
    InvalidVersion(String),
    /// The path does not begin with a slash.
    #[error("does not begin with a slash")]
    NoLeadingSlash,
    /// The text is not a valid header name, or is too long.
    #[error("is no header's name of up to {max_bytes} characters")]
    InvalidHeaderName {
        /// The maximum length, in bytes.
        max_bytes: usize,
    },
    /// The header is set by proxies or belongs to the connection.
    #[error("is a header that no client sets for itself")]
    ReservedHeader,
    /// The path of the health check is not valid in a request line.
    #[error("is no path that can be asked for")]
    InvalidPath,
    /// The repeat policy, quoted here, is unknown.
    #[error("is {0}, none of resendable, once_only, registered, outbound_post")]
    UnknownRouteKind(String),
    /// The number is 0, or below the allowed minimum.
    #[error("is not above 0")]
    NotPositive,
    /// The number is below 0.
    #[error("is below 0")]
    Negative,
    /// The number is not an integer.
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
    /// The service, quoted here, is not defined in the document.
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
    /// The text is not a valid member name.
    #[error("is not 1 to 60 letters, digits, dots, dashes and underscores")]
    InvalidMemberName,
    /// The prefix does not end with a slash.
    #[error("does not end with a slash")]
    NoTrailingSlash,
    /// The text is not a SHA-256 digest.
    #[error("is not a SHA-256 in 64 hex digits")]
    InvalidDigest,
    /// The scope lies within the scope of another member, given by its location.
    #[error("lies within {0}")]
    OverlapsScope(String),
    /// The entry occurs twice with different contents.
    #[error("is given twice, and not alike")]
    Conflict,
    /// The number of omitted refusals.
    #[error("has {0} more errors")]
    MoreRefusals(usize),
}

/// The maximum number of characters of a document's text in a message.
const MAX_SHOWN_CHARS: usize = 64;

/// Quotes and shortens a text of a document for an error message or a log line.
pub(crate) fn quoted(text: &str) -> String {
    match text.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((end, _)) => format!("{:?}...", text.get(..end).unwrap_or_default()),
        None => format!("{text:?}"),
    }
}

/// Shortens and escapes a name of a document, without quotes, for the location of an error.
pub(crate) fn escaped_name(name: &str) -> String {
    let mut shown = String::new();
    for character in name.chars().take(MAX_SHOWN_CHARS) {
        let _ = write!(shown, "{}", character.escape_debug());
    }
    shown
}
