//! Errors of settings files: [`SettingsError`] for the file, [`SettingsIssue`] for one of its fields.

use std::fmt;
use std::path::PathBuf;

use thiserror::Error;

use super::SETTINGS_PATH_VARIABLE;

/// A problem in a settings file. Issues are ordered by line, then by field; missing fields come first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettingsIssue {
    /// The line in the file; `None` for a missing field.
    pub line: Option<usize>,
    /// The name of the field in the file, such as `counters.control_gate`.
    pub field: String,
    /// Description of the problem.
    pub message: String,
}

impl SettingsIssue {
    /// Creates the issue for a missing field.
    pub fn missing(field: &str) -> SettingsIssue {
        SettingsIssue { line: None, field: field.to_owned(), message: "is missing".to_owned() }
    }

    /// Creates an issue in a line of the file.
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

/// Why the settings could not be loaded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// Neither the command line nor the environment names a file.
    #[error("no --settings FILE, and {SETTINGS_PATH_VARIABLE} names none")]
    NoFile,
    /// The file can't be read.
    #[error("{}: {reason}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The reason.
        reason: String,
    },
    /// The file has these issues.
    #[error("faults in the settings: {}{}", .0.len(), indented_lines(.0))]
    Invalid(Vec<SettingsIssue>),
}

fn indented_lines(issues: &[SettingsIssue]) -> String {
    issues.iter().map(|issue| format!("\n  {issue}")).collect()
}
