//! Output of the upstreams of each service, and of a drain.

use serde_json::Value;

use super::formatting::UNKNOWN;
use super::tables::{format_cell, format_cells, format_continuation, format_table, list_rows};

const COLUMNS: [&str; 8] = ["SERVICE", "UPSTREAM", "ZONE", "EDITION", "STATE", "SLOTS", "COLD", "DOOR"];

/// Renders the response to `upstreams.list`, sorted by service and upstream.
pub fn render_upstreams(list: &Value) -> String {
    let mut upstreams: Vec<&Value> = list_rows(list, "upstreams").iter().collect();
    upstreams.sort_by_key(|row| (row["line"].as_str(), row["id"].as_str()));
    format_table(&COLUMNS, upstreams.into_iter().map(format_upstream_row).collect())
        + format_continuation(list)
}

fn format_upstream_row(row: &Value) -> Vec<String> {
    let warm_up_ms = row["cold_ms"].as_u64().filter(|ms| *ms > 0);
    let mut cells = format_cells(row, &["line", "id", "zone", "edition"]);
    cells.push(format_upstream_state(row));
    cells.push(format_cell(&row["slots"]));
    cells.push(warm_up_ms.map_or(UNKNOWN.into(), |ms| format!("{ms} ms")));
    cells.push(format_cell(&row["door"]));
    cells
}

/// Formats the state of an upstream and its health problems.
fn format_upstream_state(row: &Value) -> String {
    let mut state = format_cell(&row["state"]);
    if row["quiet"] == true {
        state += ", quiet";
    } else if row["serving"] == false {
        state += ", leaving";
    }
    // The inbound proxy reports failures and slowness as levels that are powers of two.
    for (name, level) in [("fails", &row["ill"]["fails"]), ("slow", &row["ill"]["slow"])] {
        if let Some(level) = level.as_u64().filter(|level| *level > 0) {
            state += &format!(", {name} {level}");
        }
    }
    state
}

/// Renders the response to `upstreams.drain`.
pub fn render_drain(drained: &Value) -> String {
    let service = format_cell(&drained["line"]);
    format!(
        "{} of {service} at {} is {}: nothing new is sent to it\nothers of {service} that are open: {}\n",
        format_cell(&drained["id"]),
        format_cell(&drained["door"]),
        format_cell(&drained["state"]),
        format_cell(&drained["open_left"]),
    )
}
