//! Output for one member's own routes: a plan, an applied change, and the status of the documents.

use std::collections::BTreeMap;

use serde_json::Value;

use super::formatting::printable_line;
use super::tables::{format_cell, format_cells, format_continuation, format_table, list_rows};

/// Formats the strings of a list, one per line.
fn format_indented_lines(response: &Value, name: &str) -> String {
    let texts = list_rows(response, name).iter().filter_map(Value::as_str);
    texts.map(|line| format!("  {}\n", printable_line(line))).collect()
}

/// Renders the response to `member.plan`.
pub fn render_plan(plan: &Value) -> String {
    let section = |name: &str, heading: &str, empty: &str| {
        let lines = format_indented_lines(plan, name);
        if lines.is_empty() { format!("{empty}\n") } else { format!("{heading}\n{lines}") }
    };
    section("changes", "would change:", "nothing would change")
        + &section("forbidden", "FORBIDDEN, so that it would be refused:", "nothing forbids it")
        + &section("trims", "trimmed now, before the change:", "nothing is trimmed now")
}

/// Renders the response to an applied change.
pub fn render_change(change: &Value) -> String {
    let state = match change["state"].as_str() {
        Some("trial") => "is safe on more than half of the core, on trial",
        Some("withdrawn") => "is withdrawn: the document before it holds",
        Some("settled") => "is safe on more than half of the core",
        _ => "was answered, in a way that this build doesn't know",
    };
    format!("{} of {} {state}\n", format_cell(&change["edition"]), format_cell(&change["member"]))
}

/// Renders the response to `member.status`.
pub fn render_status(status: &Value) -> String {
    let mut page = format!("member     {}\n", format_cell(&status["member"]));
    for name in ["settled", "trial", "withdrawn"] {
        page += &format!("{name:<11}{}\n", format_cell(&status[name]));
    }
    let trims = format_indented_lines(status, "trims");
    page += &if trims.is_empty() { "trimmed    nothing\n".to_owned() } else { format!("trimmed:\n{trims}") };
    page += "\n";
    let nodes = list_rows(status, "nodes");
    for (edition, count) in count_editions(nodes) {
        page += &format!("{edition} on {count} of these nodes\n");
    }
    let rows = nodes.iter().map(|node| format_cells(node, &["door", "edition", "trial", "quiet"]));
    page += &format_table(&["NODE", "EDITION", "TRIAL", "QUIET"], rows.collect());
    page + format_continuation(status)
}

fn count_editions(nodes: &[Value]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for node in nodes {
        *counts.entry(format_cell(&node["edition"])).or_default() += 1;
    }
    counts
}
