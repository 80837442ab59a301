//! Text tables with aligned columns, made from JSON values.

use serde_json::Value;

use super::formatting::{UNKNOWN, printable_name};

/// Formats a table whose columns are as wide as their widest cell. Trailing spaces are removed.
pub fn format_table(header: &[&str], rows: Vec<Vec<String>>) -> String {
    let header: Vec<String> = header.iter().map(|cell| cell.to_string()).collect();
    let widths = column_widths(&header, &rows);
    let mut page = String::new();
    for row in [header].into_iter().chain(rows) {
        page += format_line(&row, &widths).trim_end();
        page.push('\n');
    }
    page
}

fn column_widths(header: &[String], rows: &[Vec<String>]) -> Vec<usize> {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    widths
}

fn format_line(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths).map(|(cell, &width)| format!("{cell:<width$}"));
    cells.collect::<Vec<_>>().join("  ")
}

/// Returns the rows of a list in a response; empty if there is no such list.
pub fn list_rows<'v>(response: &'v Value, name: &str) -> &'v [Value] {
    response[name].as_array().map(Vec::as_slice).unwrap_or_default()
}

/// Formats a value as a cell.
pub fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => UNKNOWN.into(),
        Value::Bool(true) => "yes".into(),
        Value::Bool(false) => "no".into(),
        Value::String(text) if text.is_empty() => UNKNOWN.into(),
        Value::String(text) => printable_name(text),
        other => other.to_string(),
    }
}

/// Formats the given fields of a row as cells.
pub fn format_cells(row: &Value, fields: &[&str]) -> Vec<String> {
    fields.iter().map(|field| format_cell(&row[*field])).collect()
}

/// Returns a line that says that the list is incomplete, if it is.
pub fn format_continuation(list: &Value) -> &'static str {
    if list["next"].is_null() { "" } else { "there are more than these\n" }
}
