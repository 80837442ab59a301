//! The page of the replicas and attendants that a replica knows.

use serde_json::Value;

use super::formatting::format_age;
use super::tables::{continuation_note, format_cell, format_cells, format_table, rows_of};

const REPLICA_HEAD: [&str; 9] =
    ["STEWARD", "ZONE", "MEMBER", "VOTES", "VIEW", "DISK", "HEARD", "LEAVING", "FULL AFTER"];
const ATTENDANT_HEAD: [&str; 8] =
    ["ATTENDANT", "ZONE", "SERVES", "QUIET", "HEARD", "SERVICE", "UPSTREAM", "FULL AFTER"];

/// The page of `nodes.list`.
pub fn page(nodes: &Value) -> String {
    let asked = &nodes["asked"];
    let quorum = match nodes["settled"] == true {
        true => "more than half of it is heard",
        false => "NOT heard by half or more",
    };
    let replicas = rows_of(nodes, "stewards").iter().map(|row| replica_cells(row, asked)).collect();
    let attendants = rows_of(nodes, "attendants").iter().map(attendant_cells).collect();
    format!("asked {}, view {}, {quorum}\n\n", format_cell(asked), format_cell(&nodes["view"]))
        + &format_table(&REPLICA_HEAD, replicas)
        + "\n"
        + &format_table(&ATTENDANT_HEAD, attendants)
        + continuation_note(nodes)
}

fn replica_cells(row: &Value, asked: &Value) -> Vec<String> {
    let heard = if row["address"] == *asked { "itself".into() } else { format_age(&row["heard_ms"]) };
    let mut cells = format_cells(row, &["address", "zone", "member", "voter", "view", "disk"]);
    cells.extend([heard, format_cell(&row["leaving"]), format_age(&row["full_ms"])]);
    cells
}

fn attendant_cells(row: &Value) -> Vec<String> {
    let mut cells = format_cells(row, &["door", "zone", "serving", "quiet"]);
    cells.push(format_age(&row["heard_ms"]));
    cells.extend(format_cells(row, &["service", "upstream"]));
    cells.push(format_age(&row["full_ms"]));
    cells
}
