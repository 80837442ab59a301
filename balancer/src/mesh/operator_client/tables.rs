//! Tables of cells with columns of equal width, made of JSON values.

use serde_json::Value;

use super::formatting::{UNKNOWN, printable_name};

/// A table whose columns are as wide as their widest cell. Lines have no spaces at their end.
pub fn format_table(head: &[&str], rows: Vec<Vec<String>>) -> String {
    let head: Vec<String> = head.iter().map(|cell| cell.to_string()).collect();
    let widths = column_widths(&head, &rows);
    let mut page = String::new();
    for row in [head].into_iter().chain(rows) {
        page += format_line(&row, &widths).trim_end();
        page.push('\n');
    }
    page
}

fn column_widths(head: &[String], rows: &[Vec<String>]) -> Vec<usize> {
    let mut widths: Vec<usize> = head.iter().map(|cell| cell.chars().count()).collect();
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

/// The rows of a list; none where there is no such list.
pub fn rows_of<'v>(response: &'v Value, name: &str) -> &'v [Value] {
    response[name].as_array().map(Vec::as_slice).unwrap_or_default()
}

/// A value as a cell.
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

/// The cells of a row for these of its fields.
pub fn format_cells(row: &Value, fields: &[&str]) -> Vec<String> {
    fields.iter().map(|field| format_cell(&row[*field])).collect()
}

/// A line that says that a list is longer than what is shown.
pub fn continuation_note(list: &Value) -> &'static str {
    if list["next"].is_null() { "" } else { "there are more than these\n" }
}
