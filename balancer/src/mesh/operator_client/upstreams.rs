//! The page of the upstreams of each service, and that of a drain.

use serde_json::Value;

use super::formatting::UNKNOWN;
use super::tables::{continuation_note, format_cell, format_cells, format_table, rows_of};

const HEAD: [&str; 8] = ["SERVICE", "UPSTREAM", "ZONE", "EDITION", "STATE", "SLOTS", "COLD", "DOOR"];

/// The page of `upstreams.list`, by service and upstream.
pub fn page(list: &Value) -> String {
    let mut upstreams: Vec<&Value> = rows_of(list, "upstreams").iter().collect();
    upstreams.sort_by_key(|row| (row["line"].as_str(), row["id"].as_str()));
    format_table(&HEAD, upstreams.into_iter().map(upstream_cells).collect()) + continuation_note(list)
}

fn upstream_cells(row: &Value) -> Vec<String> {
    let warm_up_ms = row["cold_ms"].as_u64().filter(|ms| *ms > 0);
    let mut cells = format_cells(row, &["line", "id", "zone", "edition"]);
    cells.push(upstream_state(row));
    cells.push(format_cell(&row["slots"]));
    cells.push(warm_up_ms.map_or(UNKNOWN.into(), |ms| format!("{ms} ms")));
    cells.push(format_cell(&row["door"]));
    cells
}

/// The state of an upstream, and what speaks against sending to it.
fn upstream_state(row: &Value) -> String {
    let mut state = format_cell(&row["state"]);
    if row["quiet"] == true {
        state += ", quiet";
    } else if row["serving"] == false {
        state += ", leaving";
    }
    // Its attendant gives what it saw of it in levels that are powers of two.
    for (name, level) in [("fails", &row["ill"]["fails"]), ("slow", &row["ill"]["slow"])] {
        if let Some(level) = level.as_u64().filter(|level| *level > 0) {
            state += &format!(", {name} {level}");
        }
    }
    state
}

/// The page of `upstreams.drain`.
pub fn drained_page(drained: &Value) -> String {
    let service = format_cell(&drained["line"]);
    format!(
        "{} of {service} at {} is {}: nothing new is sent to it\nothers of {service} that are open: {}\n",
        format_cell(&drained["id"]),
        format_cell(&drained["door"]),
        format_cell(&drained["state"]),
        format_cell(&drained["open_left"]),
    )
}
