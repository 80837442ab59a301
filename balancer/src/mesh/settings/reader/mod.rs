//! Reads the text of a settings file into [`Settings`], a module for each section.
//!
//! [`SettingsReader`] collects issues. Each of its `read_*` functions takes a value with the name of its field, and
//! either gives what it stands for or records an issue and gives nothing.
//!
//! Invariants: `Some` of a value implies that it was checked; settings are given only where no issue was recorded.

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

/// Issues of the notation that are reported. What follows the first few is mostly caused by them.
const MAX_SYNTAX_ISSUES: usize = 10;
/// How many characters of a wrong value are shown.
const MAX_SHOWN_CHARS: usize = 60;

/// A value with its place in the text.
type TomlValue<'t> = Spanned<DeValue<'t>>;

/// Reads the value of the named field.
type ReadValue<'t, T> = fn(&mut SettingsReader<'t>, &str, &TomlValue<'_>) -> Option<T>;

/// Reads a whole file. The error has all issues, in the order of their lines.
pub(super) fn read_settings(text: &str) -> Result<Settings, Vec<SettingsIssue>> {
    let mut reader = SettingsReader::new(text);
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in errors.iter().take(MAX_SYNTAX_ISSUES) {
        reader.record(error.span(), fields::WHOLE_FILE, error.message().replace('\n', ", "));
    }
    // A table that was guessed from what remains would only add issues that are none.
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

/// The issues found so far in one text.
struct SettingsReader<'t> {
    text: &'t str,
    /// The offsets of all line ends.
    line_ends: Vec<usize>,
    issues: Vec<SettingsIssue>,
}

impl<'t> SettingsReader<'t> {
    fn new(text: &'t str) -> SettingsReader<'t> {
        let line_ends = text.match_indices('\n').map(|(offset, _)| offset).collect();
        SettingsReader { text, line_ends, issues: Vec::new() }
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
        let line = span.map(|span| 1 + self.line_ends.partition_point(|end| *end < span.start));
        self.issues.push(SettingsIssue { line, field: field.to_owned(), message });
    }

    /// Records what a value should be, and shows it as it stands in the file.
    fn reject(&mut self, field: &str, value: &TomlValue, expected: &str) {
        let written = self.text.get(value.span()).unwrap_or_default().replace('\n', " ");
        let mut shown: String = written.chars().take(MAX_SHOWN_CHARS).collect();
        if shown.len() < written.len() {
            shown.push_str("...");
        }
        self.record(Some(value.span()), field, format!("{expected}, not {shown}"));
    }

    /// Gives a value that passed its checks; without one, records what it should have been.
    fn accept<T>(&mut self, field: &str, value: &TomlValue, read: Option<T>, expected: &str) -> Option<T> {
        if read.is_none() {
            self.reject(field, value, expected);
        }
        read
    }

    /// Reads a field of the file that may be missing.
    fn optional<T>(&mut self, file: &DeTable, field: &str, read: ReadValue<'t, T>) -> Option<T> {
        let value = file.get(field)?;
        read(self, field, value)
    }

    /// Reads a field of the file that must not be missing.
    fn required<T>(&mut self, file: &DeTable, field: &str, read: ReadValue<'t, T>) -> Option<T> {
        if !file.contains_key(field) {
            self.issues.push(SettingsIssue::missing(field));
        }
        self.optional(file, field, read)
    }

    /// Reads a field of a section that may be missing, by its full name `section.name`.
    fn optional_in<T>(
        &mut self,
        section: Option<&DeTable>,
        field: &str,
        read: ReadValue<'t, T>,
    ) -> Option<T> {
        let value = value_in(section, field)?;
        read(self, field, value)
    }

    /// Gives a section's table; anything else under its name is an issue.
    fn section<'f, 'd>(&mut self, file: &'f DeTable<'d>, name: &str) -> Option<&'f DeTable<'d>> {
        let value = file.get(name)?;
        self.accept(name, value, value.get_ref().as_table(), "wants a table")
    }
}

/// The value of a field `section.name` in its section.
fn value_in<'f, 'd>(section: Option<&'f DeTable<'d>>, field: &str) -> Option<&'f TomlValue<'d>> {
    let (_, name) = field.split_once('.')?;
    section?.get(name)
}
