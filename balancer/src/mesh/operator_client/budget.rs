//! The page of the retry budget.

use serde_json::Value;

use super::formatting::format_age;
use super::tables::{format_cell, format_cells, format_table, rows_of};

const SERVICE_HEAD: [&str; 7] = ["SERVICE", "UPSTREAMS", "FIRST", "AGAIN", "REFUSED", "ALLOWED", "LEFT"];
const SERVICE_FIELDS: [&str; 7] = ["service", "upstreams", "first", "again", "refused", "allowed", "left"];
const MEMBER_HEAD: [&str; 9] =
    ["MEMBER", "EDITION", "TRIAL", "FIRST", "AGAIN", "REFUSED", "TURNED", "WELL", "FAILED"];
const MEMBER_FIELDS: [&str; 9] =
    ["member", "edition", "trial", "first", "again", "refused", "turned", "well", "failed"];

/// The page of `budget.list`.
pub fn page(budget: &Value) -> String {
    let services = rows_of(budget, "services").iter().map(|row| format_cells(row, &SERVICE_FIELDS));
    let mut page = format_table(&SERVICE_HEAD, services.collect());
    page += &window_line(budget);
    let members = rows_of(budget, "members");
    if !members.is_empty() {
        let rows = members.iter().map(|row| format_cells(row, &MEMBER_FIELDS));
        page += "\n";
        page += &format_table(&MEMBER_HEAD, rows.collect());
    }
    for replica in rows_of(budget, "silent") {
        page += &format!("not known: what steward {} was told\n", format_cell(replica));
    }
    page
}

/// The line that says over which time and by whom requests were counted, and how many retries are allowed.
fn window_line(budget: &Value) -> String {
    format!(
        "\nin the last {}, told by {} of {} gates; allowed: {} x FIRST + {}\n",
        format_age(&budget["window_ms"]),
        format_cell(&budget["gates_told"]),
        format_cell(&budget["gates"]),
        format_cell(&budget["retry_ratio"]),
        format_cell(&budget["retry_slack"]),
    )
}
