//! Output of the retry budget.

use serde_json::Value;

use super::formatting::format_duration_ms;
use super::tables::{format_cell, format_cells, format_table, list_rows};

const SERVICE_COLUMNS: [&str; 7] = ["SERVICE", "UPSTREAMS", "FIRST", "AGAIN", "REFUSED", "ALLOWED", "LEFT"];
const SERVICE_FIELDS: [&str; 7] = ["service", "upstreams", "first", "again", "refused", "allowed", "left"];
const MEMBER_COLUMNS: [&str; 9] =
    ["MEMBER", "EDITION", "TRIAL", "FIRST", "AGAIN", "REFUSED", "TURNED", "WELL", "FAILED"];
const MEMBER_FIELDS: [&str; 9] =
    ["member", "edition", "trial", "first", "again", "refused", "turned", "well", "failed"];

/// Renders the response to `budget.list`.
pub fn render_budget(budget: &Value) -> String {
    let services = list_rows(budget, "services").iter().map(|row| format_cells(row, &SERVICE_FIELDS));
    let mut page = format_table(&SERVICE_COLUMNS, services.collect());
    page += &format_window(budget);
    let members = list_rows(budget, "members");
    if !members.is_empty() {
        let rows = members.iter().map(|row| format_cells(row, &MEMBER_FIELDS));
        page += "\n";
        page += &format_table(&MEMBER_COLUMNS, rows.collect());
    }
    for replica in list_rows(budget, "silent") {
        page += &format!("not known: what steward {} was told\n", format_cell(replica));
    }
    page
}

/// Formats the line with the counting window, the number of reporting proxies and the retry limit.
fn format_window(budget: &Value) -> String {
    format!(
        "\nin the last {}, told by {} of {} gates; allowed: {} x FIRST + {}\n",
        format_duration_ms(&budget["window_ms"]),
        format_cell(&budget["gates_told"]),
        format_cell(&budget["gates"]),
        format_cell(&budget["retry_ratio"]),
        format_cell(&budget["retry_slack"]),
    )
}
