//! Output of the replicas and attendants that a replica knows.

use serde_json::Value;

use super::formatting::format_duration_ms;
use super::tables::{format_cell, format_cells, format_continuation, format_table, list_rows};

const REPLICA_COLUMNS: [&str; 9] =
    ["STEWARD", "ZONE", "MEMBER", "VOTES", "VIEW", "DISK", "HEARD", "LEAVING", "FULL AFTER"];
const PROXY_COLUMNS: [&str; 8] =
    ["ATTENDANT", "ZONE", "SERVES", "QUIET", "HEARD", "SERVICE", "UPSTREAM", "FULL AFTER"];

/// Renders the response to `nodes.list`.
pub fn render_nodes(nodes: &Value) -> String {
    let answering_replica = &nodes["asked"];
    let quorum = match nodes["settled"] == true {
        true => "more than half of it is heard",
        false => "NOT heard by half or more",
    };
    let replicas =
        list_rows(nodes, "stewards").iter().map(|row| format_replica_row(row, answering_replica)).collect();
    let proxies = list_rows(nodes, "attendants").iter().map(format_proxy_row).collect();
    format!("asked {}, view {}, {quorum}\n\n", format_cell(answering_replica), format_cell(&nodes["view"]))
        + &format_table(&REPLICA_COLUMNS, replicas)
        + "\n"
        + &format_table(&PROXY_COLUMNS, proxies)
        + format_continuation(nodes)
}

fn format_replica_row(row: &Value, answering_replica: &Value) -> Vec<String> {
    let heard = if row["address"] == *answering_replica {
        "itself".into()
    } else {
        format_duration_ms(&row["heard_ms"])
    };
    let mut cells = format_cells(row, &["address", "zone", "member", "voter", "view", "disk"]);
    cells.extend([heard, format_cell(&row["leaving"]), format_duration_ms(&row["full_ms"])]);
    cells
}

fn format_proxy_row(row: &Value) -> Vec<String> {
    let mut cells = format_cells(row, &["door", "zone", "serving", "quiet"]);
    cells.push(format_duration_ms(&row["heard_ms"]));
    cells.extend(format_cells(row, &["service", "upstream"]));
    cells.push(format_duration_ms(&row["full_ms"]));
    cells
}
