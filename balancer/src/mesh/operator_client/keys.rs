//! The pages of idempotency keys: their counts, and how one of them stands.

use serde_json::Value;

use super::formatting::format_age;
use super::tables::{format_cell, format_cells, format_table};

const COUNTS_HEAD: [&str; 6] = ["OPEN", "UNKNOWN", "DONE", "OLDEST OPEN", "ANSWERS", "DROPPED"];

/// The page of `keys.count`.
pub fn counts_page(counts: &Value) -> String {
    let stored = format_cell(&counts["answer_bytes"]);
    let limit = format_cell(&counts["most_answer_bytes"]);
    let mut cells = format_cells(counts, &["open", "unknown", "done"]);
    cells.push(format_age(&counts["oldest_open_ms"]));
    cells.push(format!("{stored} of {limit} bytes"));
    cells.push(format_cell(&counts["answers_dropped"]));
    format_table(&COUNTS_HEAD, vec![cells])
}

/// The page of `keys.show`.
pub fn key_page(key: &Value) -> String {
    let mut page = format!("key     {}\n", format_cell(&key["key"]));
    page += &format!("hashed  {}\n", format_cell(&key["hashed"]));
    page += &format!("state   {}\n", state_text(key));
    if !key["known_ms"].is_null() {
        page += &format!("known   for {}\n", format_age(&key["known_ms"]));
    }
    if !key["status"].is_null() {
        let (status, bytes) = (format_cell(&key["status"]), format_cell(&key["bytes"]));
        page += &format!("answer  {status}, {bytes} bytes\n");
    }
    page
}

fn state_text(key: &Value) -> &'static str {
    match key["state"].as_str() {
        Some("none") => "not known to this steward",
        Some("open") if key["disputed"] == true => "open, and two claims met: blocked until it is forgotten",
        Some("open") => "open: granted to a gate, nothing more is known",
        Some("unknown") => "unknown: it may have run, nobody knows its answer",
        Some("done") => "done: it ran, repeats get its answer",
        _ => "not told",
    }
}
