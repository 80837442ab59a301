//! Output of the versions of a document on a replica's disk.

use serde_json::Value;

use super::formatting::{UNKNOWN, format_timestamp};
use super::tables::{format_cell, format_cells, format_table, list_rows};

/// Renders the response to `timetable.history` or `member.history`.
pub fn render_history(history: &Value) -> String {
    let versions = list_rows(history, "versions").iter().map(format_version_row).collect();
    format_table(&["EDITION", "DIGEST", "BYTES", "WRITTEN", "IN FORCE"], versions)
}

fn format_version_row(row: &Value) -> Vec<String> {
    let mut cells = format_cells(row, &["edition", "digest", "bytes"]);
    cells.push(row["written_ms"].as_u64().map_or(UNKNOWN.into(), format_timestamp));
    cells.push(format_cell(&row["in_force"]));
    cells
}
