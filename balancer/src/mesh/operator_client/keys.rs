//! Output of the leases on idempotency keys: their counts, and the state of a single one.

use serde_json::Value;

use super::formatting::format_duration_ms;
use super::tables::{format_cell, format_cells, format_table};

const COUNTS_COLUMNS: [&str; 6] = ["OPEN", "UNKNOWN", "DONE", "OLDEST OPEN", "ANSWERS", "DROPPED"];

/// Renders the response to `keys.count`.
pub fn render_counts(counts: &Value) -> String {
    let stored = format_cell(&counts["answer_bytes"]);
    let limit = format_cell(&counts["most_answer_bytes"]);
    let mut cells = format_cells(counts, &["open", "unknown", "done"]);
    cells.push(format_duration_ms(&counts["oldest_open_ms"]));
    cells.push(format!("{stored} of {limit} bytes"));
    cells.push(format_cell(&counts["answers_dropped"]));
    format_table(&COUNTS_COLUMNS, vec![cells])
}

/// Renders the response to `keys.show`.
pub fn render_key(key: &Value) -> String {
    let mut page = format!("key     {}\n", format_cell(&key["key"]));
    page += &format!("hashed  {}\n", format_cell(&key["hashed"]));
    page += &format!("state   {}\n", describe_lease_state(key));
    if !key["known_ms"].is_null() {
        page += &format!("known   for {}\n", format_duration_ms(&key["known_ms"]));
    }
    if !key["status"].is_null() {
        let (status, bytes) = (format_cell(&key["status"]), format_cell(&key["bytes"]));
        page += &format!("answer  {status}, {bytes} bytes\n");
    }
    page
}

fn describe_lease_state(key: &Value) -> &'static str {
    match key["state"].as_str() {
        Some("none") => "not known to this steward",
        Some("open") if key["disputed"] == true => "open, and two claims met: blocked until it is forgotten",
        Some("open") => "open: granted to a gate, nothing more is known",
        Some("unknown") => "unknown: it may have run, nobody knows its answer",
        Some("done") => "done: it ran, repeats get its answer",
        _ => "not told",
    }
}
