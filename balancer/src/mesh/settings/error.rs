//! What can be wrong with a settings file: [`SettingsError`] for the file, [`SettingsIssue`] for one of its fields.

use std::fmt;
use std::path::PathBuf;

use thiserror::Error;

use super::SETTINGS_VARIABLE;

/// One thing that is wrong in a settings file. Issues are ordered by line, then by field; missing fields come first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettingsIssue {
    /// The line in the file; a missing field has none.
    pub line: Option<usize>,
    /// The field by its name in the file, as `counters.control_gate`.
    pub field: String,
    /// What is wrong with it.
    pub message: String,
}

impl SettingsIssue {
    /// A field that the file lacks.
    pub fn missing(field: &str) -> SettingsIssue {
        SettingsIssue { line: None, field: field.to_owned(), message: "is missing".to_owned() }
    }

    /// An issue in a line of the file.
    pub fn at_line(line: usize, field: &str, message: impl Into<String>) -> SettingsIssue {
        SettingsIssue { line: Some(line), field: field.to_owned(), message: message.into() }
    }
}

impl fmt::Display for SettingsIssue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        write!(f, "{}: {}", self.field, self.message)
    }
}

/// Why there are no settings to start with.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// Neither the command line nor the environment names a file.
    #[error("no --settings FILE, and {SETTINGS_VARIABLE} names none")]
    NoFile,
    /// The file can't be read.
    #[error("{}: {reason}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why it can't be read.
        reason: String,
    },
    /// The file was read, and these are its issues.
    #[error("faults in the settings: {}{}", .0.len(), indented_lines(.0))]
    Invalid(Vec<SettingsIssue>),
}

fn indented_lines(issues: &[SettingsIssue]) -> String {
    issues.iter().map(|issue| format!("\n  {issue}")).collect()
}
