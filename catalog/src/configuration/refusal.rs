//! RefusalReason a document of the operators' or of a member is refused, and where in it that stands. It owns the words and must
//! never decide.

use std::fmt;

use super::read::{MOST_DIGITS, SESSION_BYTES};

/// Something that makes a configuration invalid, and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub place: String,
    pub why: RefusalReason,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.why)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// More bytes than the number given.
    Long(usize),
    /// More entries or values than the number given.
    Many(usize),
    NotUtf8,
    CutShort,
    Stray {
        ch: char,
        line: usize,
        column: usize,
    },
    Deep,
    /// A number of more digits than any has.
    Digits,
    Missing,
    /// Not of the kind named.
    Not(&'static str),
    Empty,
    /// Holds a control character.
    Control,
    Version(String),
    NoSlash,
    /// No name of a header, or too long for one.
    NoField,
    /// One that is ours, or belongs to a connection.
    OurField,
    /// A health path that can't stand in a request.
    Path,
    RepeatPolicy(String),
    NotPositive,
    Negative,
    Fraction,
    Above(u64),
    /// Neither `line` nor `split`.
    NoLine,
    /// A split whose shares come to nothing.
    NoShare,
    Unknown(String),
    /// The entry of this number has the same host and prefix.
    SamePlace(usize),
    /// The entry of this number in the list named has this one's place or name.
    Same(&'static str, usize),
    /// The name of a member that is none.
    Name,
    /// Does not end with a slash.
    NoLastSlash,
    /// No SHA-256 in 64 hex digits.
    Digest,
    /// Lies within this place of another member.
    Within(String),
    /// Given before, and otherwise.
    Twice,
    /// Further refusals than those told.
    More(usize),
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RefusalReason::Long(most) => write!(f, "is longer than {most} bytes"),
            RefusalReason::Many(most) => write!(f, "holds more than {most}"),
            RefusalReason::NotUtf8 => f.write_str("is not UTF-8"),
            RefusalReason::CutShort => f.write_str("ends too early"),
            RefusalReason::Stray { ch, line, column } => {
                write!(f, "is no JSON: {ch:?} at line {line}, column {column}")
            }
            RefusalReason::Deep => f.write_str("is nested too deeply"),
            RefusalReason::Digits => write!(f, "has a number of more than {MOST_DIGITS} digits"),
            RefusalReason::Missing => f.write_str("is missing"),
            RefusalReason::Not(kind) => write!(f, "is not {kind}"),
            RefusalReason::Empty => f.write_str("is empty"),
            RefusalReason::Control => f.write_str("holds a control character"),
            RefusalReason::Version(text) => write!(f, "is {text}, not r and a number"),
            RefusalReason::NoSlash => f.write_str("does not begin with a slash"),
            RefusalReason::NoField => write!(f, "is no header's name of up to {SESSION_BYTES} characters"),
            RefusalReason::OurField => f.write_str("is a header that no client sets for itself"),
            RefusalReason::Path => f.write_str("is no path that can be asked for"),
            RefusalReason::RepeatPolicy(text) => {
                write!(f, "is {text}, none of resendable, once_only, registered, outbound_post")
            }
            RefusalReason::NotPositive => f.write_str("is not above 0"),
            RefusalReason::Negative => f.write_str("is below 0"),
            RefusalReason::Fraction => f.write_str("is not a whole number"),
            RefusalReason::Above(most) => write!(f, "is above {most}"),
            RefusalReason::NoLine => f.write_str("has neither line nor split"),
            RefusalReason::NoShare => f.write_str("has shares that come to 0"),
            RefusalReason::Unknown(name) => write!(f, "names {name}, which is not among the mail_lines"),
            RefusalReason::SamePlace(other) => {
                write!(f, "has the host and the prefix of consignments[{other}]")
            }
            RefusalReason::Same(list, other) => write!(f, "is that of {list}[{other}] too"),
            RefusalReason::Name => {
                f.write_str("is not 1 to 60 letters, digits, dots, dashes and underscores")
            }
            RefusalReason::NoLastSlash => f.write_str("does not end with a slash"),
            RefusalReason::Digest => f.write_str("is not a SHA-256 in 64 hex digits"),
            RefusalReason::Within(other) => write!(f, "lies within {other}"),
            RefusalReason::Twice => f.write_str("is given twice, and not alike"),
            RefusalReason::More(count) => write!(f, "has {count} more errors"),
        }
    }
}

/// A stranger's text as it may stand in a line of a log.
pub(crate) fn quoted(text: &str) -> String {
    const MOST: usize = 64;
    match text.char_indices().nth(MOST) {
        Some((end, _)) => format!("{:?}...", text.get(..end).unwrap_or_default()),
        None => format!("{text:?}"),
    }
}
