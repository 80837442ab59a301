//! Reads values from JSON documents and collects all errors.
//!
//! [`read_document`] parses the bytes within fixed bounds and passes a [`DocumentReader`] to the code that knows the
//! schema of the document. The reader's methods return `None` for a value that is invalid or missing and record a
//! [`Refusal`] for it, so that an operator sees all errors at once. An [`Entry`] is the object being read and provides
//! the locations of its fields.
//!
//! Invariants: no input causes a panic; a document with any refusal is refused as a whole; refusals are in document
//! order.

use std::collections::HashSet;

use jzon::JsonValue;

use super::field_names;
use super::model::Name;
use super::refusal::{Refusal, RefusalReason, escaped_name, quoted};

/// The maximum size of a document.
const MAX_DOCUMENT_BYTES: usize = 32 << 20;
/// The maximum number of entries in a document's list.
pub(crate) const MAX_ENTRIES: usize = 20_000;
/// The maximum number of values in a document. It is checked before parsing, because parsed values take far more memory
/// than their text.
const MAX_VALUES: usize = 1_000_000;
/// The maximum number of digits in a row; the parser's exponent can overflow on longer numbers.
const MAX_DIGITS: usize = 400;
/// Refusals beyond this number are only counted.
const MAX_REFUSALS: usize = 100;
const MAX_NAME_BYTES: usize = 256;
/// The maximum duration, about 31 years; sums of such durations stay far from overflow.
pub(crate) const MAX_DURATION_MS: u64 = 1_000_000_000_000;

/// Parses a document and reads it with `read`. Returns it if it is valid, otherwise all refusals in document order.
pub(crate) fn read_document<D>(
    bytes: &[u8],
    read: impl FnOnce(&mut DocumentReader, &JsonValue) -> Option<D>,
) -> Result<D, Vec<Refusal>> {
    let document = parse(bytes).map_err(|reason| vec![Refusal { location: "document".into(), reason }])?;
    let mut reader = DocumentReader::default();
    match read(&mut reader, &document) {
        Some(read) if reader.refusals.is_empty() => Ok(read),
        _ => Err(reader.into_refusals()),
    }
}

fn parse(bytes: &[u8]) -> Result<JsonValue, RefusalReason> {
    if bytes.len() > MAX_DOCUMENT_BYTES {
        return Err(RefusalReason::TooLong { max_bytes: MAX_DOCUMENT_BYTES });
    }
    check_complexity(bytes)?;
    let text = std::str::from_utf8(bytes).map_err(|_| RefusalReason::NotUtf8)?;
    jzon::parse(text).map_err(|error| match error {
        jzon::Error::UnexpectedCharacter { ch, line, column } => {
            RefusalReason::UnexpectedCharacter { ch, line, column }
        }
        jzon::Error::UnexpectedEndOfJson => RefusalReason::Truncated,
        jzon::Error::ExceededDepthLimit => RefusalReason::TooDeep,
        jzon::Error::FailedUtf8Parsing => RefusalReason::NotUtf8,
        jzon::Error::WrongType(_) => RefusalReason::WrongType("JSON"),
    })
}

/// Checks the number of values and the length of numbers in a text before it is parsed.
fn check_complexity(bytes: &[u8]) -> Result<(), RefusalReason> {
    let mut in_string = false;
    let mut escaped = false;
    let mut values = 1;
    let mut digits = 0;
    for byte in bytes {
        if in_string {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => in_string = false,
                _ => {}
            }
            continue;
        }
        digits = if byte.is_ascii_digit() { digits + 1 } else { 0 };
        match byte {
            b'"' => in_string = true,
            b',' | b'[' | b'{' => values += 1,
            _ => {}
        }
        if digits > MAX_DIGITS {
            return Err(RefusalReason::TooManyDigits { max: MAX_DIGITS });
        }
        if values > MAX_VALUES {
            return Err(RefusalReason::TooMany { max: MAX_VALUES });
        }
    }
    Ok(())
}

/// The value of an object's field; null counts as absent.
pub(crate) fn field<'v>(value: &'v JsonValue, key: &str) -> Option<&'v JsonValue> {
    value.as_object()?.get(key).filter(|found| !found.is_null())
}

/// An object of a document, with the information for describing the locations of its fields.
#[derive(Clone, Copy)]
pub(crate) struct Entry<'v> {
    /// The name of the list that contains the entry; empty for the document itself.
    pub list: &'static str,
    /// The position in that list.
    pub index: usize,
    /// The category of the entry; empty in lists of a single category.
    pub category: &'v str,
    /// The entry's name; empty until it has been read.
    pub name: &'v str,
    /// The path from the entry to the object that holds its fields; empty if that is the entry itself.
    pub path: &'static str,
    /// The object with the entry's fields.
    pub fields: &'v JsonValue,
}

impl<'v> Entry<'v> {
    /// Creates an entry without category and name that holds its own fields.
    pub fn new(list: &'static str, index: usize, fields: &'v JsonValue) -> Entry<'v> {
        Entry { list, index, category: "", name: "", path: "", fields }
    }

    /// The entry itself, for an error that concerns none of its fields.
    pub fn whole(self) -> Entry<'v> {
        Entry { path: "", ..self }
    }

    /// The value of a field; null counts as absent.
    pub fn get(&self, key: &str) -> Option<&'v JsonValue> {
        field(self.fields, key)
    }

    fn location(&self, field: &str) -> String {
        let name = match (self.category, self.name) {
            ("", "") => String::new(),
            ("", name) => format!(" ({})", escaped_name(name)),
            (category, "") => format!(" ({category})"),
            (category, name) => format!(" ({category} {})", escaped_name(name)),
        };
        let entry =
            if self.list.is_empty() { String::new() } else { format!("{}[{}]{name}", self.list, self.index) };
        let steps = [&entry, self.path, field].into_iter().filter(|step| !step.is_empty());
        steps.collect::<Vec<_>>().join(".")
    }
}

/// The version of a document and the entries of its list.
pub(crate) struct DocumentEntries<'v> {
    /// `None` if the version is invalid; the entries are read nevertheless, so that their errors are reported too.
    pub version: Option<u64>,
    /// The entries, at most the requested maximum.
    pub entries: &'v [JsonValue],
}

/// Collects refusals and interns names.
///
/// A method that returns `None` has recorded a refusal.
#[derive(Default)]
pub(crate) struct DocumentReader {
    names: HashSet<Name>,
    refusals: Vec<Refusal>,
    omitted_refusals: usize,
}

impl DocumentReader {
    fn into_refusals(mut self) -> Vec<Refusal> {
        if self.omitted_refusals > 0 {
            let reason = RefusalReason::MoreRefusals(self.omitted_refusals);
            self.refusals.push(Refusal { location: "document".into(), reason });
        }
        self.refusals
    }

    /// Records a refusal; `location` is called only if the refusal is kept.
    pub fn refuse<T>(&mut self, reason: RefusalReason, location: impl FnOnce() -> String) -> Option<T> {
        if self.refusals.len() < MAX_REFUSALS {
            self.refusals.push(Refusal { location: location(), reason });
        } else {
            self.omitted_refusals += 1;
        }
        None
    }

    /// Records a refusal of an entry's field.
    pub fn refuse_field<T>(&mut self, entry: &Entry, field: &str, reason: RefusalReason) -> Option<T> {
        self.refuse(reason, || entry.location(field))
    }

    /// Returns the shared name with this text.
    pub fn intern(&mut self, text: &str) -> Name {
        if let Some(name) = self.names.get(text) {
            return name.clone();
        }
        let name = Name::from(text);
        self.names.insert(name.clone());
        name
    }

    /// Reads the version of a document and the entries of its list, which has at most `max_entries`.
    pub fn entries<'v>(
        &mut self,
        document: &'v JsonValue,
        list: &'static str,
        max_entries: usize,
    ) -> Option<DocumentEntries<'v>> {
        if !document.is_object() {
            return self.refuse(RefusalReason::WrongType("an object"), || "document".into());
        }
        let version = self.version(field(document, field_names::VERSION));
        let Some(entries) = field(document, list) else {
            return self.refuse(RefusalReason::Missing, || list.into());
        };
        match entries.as_array() {
            None => self.refuse(RefusalReason::WrongType("a list"), || list.into()),
            Some(entries) if entries.len() > max_entries => {
                self.refuse(RefusalReason::TooMany { max: max_entries }, || list.into())
            }
            Some(entries) => Some(DocumentEntries { version, entries }),
        }
    }

    fn version(&mut self, value: Option<&JsonValue>) -> Option<u64> {
        let location = || field_names::VERSION.to_string();
        let Some(value) = value else { return self.refuse(RefusalReason::Missing, location) };
        let Some(text) = value.as_str() else {
            return self.refuse(RefusalReason::WrongType("text"), location);
        };
        let digits = text.strip_prefix('r').unwrap_or_default();
        // `parse` alone would accept a plus sign.
        let version = digits.bytes().all(|byte| byte.is_ascii_digit()).then(|| digits.parse().ok()).flatten();
        version.or_else(|| self.refuse(RefusalReason::InvalidVersion(quoted(text)), location))
    }

    /// Reads a text.
    pub fn text<'v>(&mut self, entry: &Entry, field: &str, value: Option<&'v JsonValue>) -> Option<&'v str> {
        let Some(value) = value else { return self.refuse_field(entry, field, RefusalReason::Missing) };
        match value.as_str() {
            None => self.refuse_field(entry, field, RefusalReason::WrongType("text")),
            text => text,
        }
    }

    /// Reads a name: a non-empty text of limited length without control characters.
    pub fn name<'v>(&mut self, entry: &Entry, field: &str, value: Option<&'v JsonValue>) -> Option<&'v str> {
        let text = self.text(entry, field, value)?;
        if text.is_empty() {
            self.refuse_field(entry, field, RefusalReason::Empty)
        } else if text.len() > MAX_NAME_BYTES {
            self.refuse_field(entry, field, RefusalReason::TooLong { max_bytes: MAX_NAME_BYTES })
        } else if text.chars().any(char::is_control) {
            self.refuse_field(entry, field, RefusalReason::ControlCharacter)
        } else {
            Some(text)
        }
    }

    /// Reads a number from 0 to `max`.
    pub fn number(&mut self, entry: &Entry, field: &str, value: Option<&JsonValue>, max: u64) -> Option<f64> {
        let Some(value) = value else { return self.refuse_field(entry, field, RefusalReason::Missing) };
        let Some(number) = value.as_number() else {
            return self.refuse_field(entry, field, RefusalReason::WrongType("a number"));
        };
        let (positive, mantissa, exponent) = number.as_parts();
        let Ok(size) = format!("{mantissa}e{exponent}").parse::<f64>() else {
            return self.refuse_field(entry, field, RefusalReason::WrongType("a number"));
        };
        // A negative number that rounds to 0 as a float is still refused.
        if !positive && mantissa > 0 {
            return self.refuse_field(entry, field, RefusalReason::Negative);
        }
        // Every maximum is far below the first integer that a float can't represent.
        if size > max as f64 {
            return self.refuse_field(entry, field, RefusalReason::AboveMaximum(max));
        }
        Some(size)
    }

    /// Reads a whole number from `min` to `max`.
    pub fn whole_number(
        &mut self,
        entry: &Entry,
        field: &str,
        value: Option<&JsonValue>,
        min: u64,
        max: u64,
    ) -> Option<u64> {
        let number = self.number(entry, field, value, max)?;
        if number.fract() != 0.0 {
            return self.refuse_field(entry, field, RefusalReason::NotWhole);
        }
        if (number as u64) < min {
            return self.refuse_field(entry, field, RefusalReason::NotPositive);
        }
        Some(number as u64)
    }

    /// Reads a duration above 0, in milliseconds. Fractions are truncated, and less than 1 ms counts as 1 ms.
    pub fn duration_ms(&mut self, entry: &Entry, field: &str, value: Option<&JsonValue>) -> Option<u64> {
        let number = self.number(entry, field, value, MAX_DURATION_MS)?;
        if number <= 0.0 {
            return self.refuse_field(entry, field, RefusalReason::NotPositive);
        }
        Some((number as u64).max(1))
    }
}
