//! Parses the text of a settings file into [`Settings`], with one module per section.
//!
//! [`SettingsReader`] collects issues. Each of its `read_*` functions takes a value and the name of its field. It
//! returns the parsed value, or records an issue and returns `None`.
//!
//! Invariants: a returned value was validated; settings are returned only if no issue was recorded.

mod addresses;
mod bounds;
pub(super) mod fields;
mod limits;
mod node;
mod tolerance;
mod values;

use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::{Settings, SettingsIssue};

/// The maximum number of reported syntax errors. Later ones are mostly consequences of the first few.
const MAX_SYNTAX_ISSUES: usize = 10;
/// The number of characters of an invalid value that a message shows.
const MAX_SHOWN_CHARS: usize = 60;

/// A value with its position in the text.
type TomlValue<'t> = Spanned<DeValue<'t>>;

/// A function that reads the value of the named field.
type ReadValue<'t, T> = fn(&mut SettingsReader<'t>, &str, &TomlValue<'_>) -> Option<T>;

/// Reads a whole file. The error has all issues, ordered by line.
pub(super) fn read_settings(text: &str) -> Result<Settings, Vec<SettingsIssue>> {
    let mut reader = SettingsReader::new(text);
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in errors.iter().take(MAX_SYNTAX_ISSUES) {
        reader.record(error.span(), fields::WHOLE_FILE, error.message().replace('\n', ", "));
    }
    // The table that the parser recovers after a syntax error is incomplete and would cause false issues.
    let settings = if errors.is_empty() { reader.read_file(table.get_ref()) } else { None };
    let mut issues = reader.issues;
    match settings {
        Some(settings) if issues.is_empty() => Ok(settings),
        _ => {
            issues.sort();
            Err(issues)
        }
    }
}

/// The text and the issues found in it so far.
struct SettingsReader<'t> {
    text: &'t str,
    /// The offsets of all line breaks.
    line_breaks: Vec<usize>,
    issues: Vec<SettingsIssue>,
}

impl<'t> SettingsReader<'t> {
    fn new(text: &'t str) -> SettingsReader<'t> {
        let line_breaks = text.match_indices('\n').map(|(offset, _)| offset).collect();
        SettingsReader { text, line_breaks, issues: Vec::new() }
    }

    fn read_file(&mut self, file: &DeTable) -> Option<Settings> {
        let node = self.read_node(file);
        let addresses = self.read_addresses(file);
        let limits = self.read_limits(file);
        let fault_tolerance = self.read_fault_tolerance(file);
        let bounds = self.optional(file, fields::BOUNDS, Self::read_bounds).unwrap_or_default();
        Some(Settings {
            node_name: node.name?,
            role: node.role?,
            node_class: node.class,
            serves: node.serves,
            ip: node.ip?,
            zone: node.zone?,
            region: node.region?,
            internal_ports: node.internal_ports?,
            seeds: node.seeds,
            bootstrap: node.bootstrap,
            counted: node.counted,
            data_dir: node.data_dir,
            heartbeat_interval_ms: node.heartbeat_interval_ms,
            upstream_address: addresses.upstream,
            service: node.service,
            zone_regions: node.zone_regions,
            inbound_listen: addresses.inbound,
            outbound_listen: addresses.outbound,
            readiness_listen: addresses.readiness,
            control_listen: addresses.control,
            limits,
            fault_tolerance,
            bounds,
        })
    }

    fn record(&mut self, span: Option<Range<usize>>, field: &str, message: String) {
        let line = span.map(|span| 1 + self.line_breaks.partition_point(|offset| *offset < span.start));
        self.issues.push(SettingsIssue { line, field: field.to_owned(), message });
    }

    /// Records that a value is not as expected, and quotes it from the file.
    fn reject(&mut self, field: &str, value: &TomlValue, expected: &str) {
        let source = self.text.get(value.span()).unwrap_or_default().replace('\n', " ");
        let mut shown: String = source.chars().take(MAX_SHOWN_CHARS).collect();
        if shown.len() < source.len() {
            shown.push_str("...");
        }
        self.record(Some(value.span()), field, format!("{expected}, not {shown}"));
    }

    /// Returns a parsed value; if it is `None`, records what was expected.
    fn accept<T>(&mut self, field: &str, value: &TomlValue, parsed: Option<T>, expected: &str) -> Option<T> {
        if parsed.is_none() {
            self.reject(field, value, expected);
        }
        parsed
    }

    /// Reads an optional field.
    fn optional<T>(&mut self, file: &DeTable, field: &str, read: ReadValue<'t, T>) -> Option<T> {
        let value = file.get(field)?;
        read(self, field, value)
    }

    /// Reads a required field.
    fn required<T>(&mut self, file: &DeTable, field: &str, read: ReadValue<'t, T>) -> Option<T> {
        if !file.contains_key(field) {
            self.issues.push(SettingsIssue::missing(field));
        }
        self.optional(file, field, read)
    }

    /// Reads an optional field of a section by its full name `section.name`.
    fn optional_in<T>(
        &mut self,
        section: Option<&DeTable>,
        field: &str,
        read: ReadValue<'t, T>,
    ) -> Option<T> {
        let value = value_in(section, field)?;
        read(self, field, value)
    }

    /// Returns the table of a section; a value of another type is an issue.
    fn section<'f, 'd>(&mut self, file: &'f DeTable<'d>, name: &str) -> Option<&'f DeTable<'d>> {
        let value = file.get(name)?;
        self.accept(name, value, value.get_ref().as_table(), "wants a table")
    }
}

/// Returns the value of the field `section.name` in its section.
fn value_in<'f, 'd>(section: Option<&'f DeTable<'d>>, field: &str) -> Option<&'f TomlValue<'d>> {
    let (_, name) = field.split_once('.')?;
    section?.get(name)
}
