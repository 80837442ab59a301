//! The page of the versions of a document on a replica's disk.

use serde_json::Value;

use super::formatting::{UNKNOWN, format_time_of_day};
use super::tables::{format_cell, format_cells, format_table, rows_of};

/// The page of `timetable.history` and `member.history`.
pub fn page(history: &Value) -> String {
    let versions = rows_of(history, "versions").iter().map(version_cells).collect();
    format_table(&["EDITION", "DIGEST", "BYTES", "WRITTEN", "IN FORCE"], versions)
}

fn version_cells(row: &Value) -> Vec<String> {
    let mut cells = format_cells(row, &["edition", "digest", "bytes"]);
    cells.push(row["written_ms"].as_u64().map_or(UNKNOWN.into(), format_time_of_day));
    cells.push(format_cell(&row["in_force"]));
    cells
}
