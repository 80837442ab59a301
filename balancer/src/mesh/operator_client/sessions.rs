//! Calls and output for sessions.
//!
//! Invariant: the value that identifies a person's session is hashed here and not sent.

use serde_json::Value;

use super::tables::{format_cell, format_cells, format_table};
use crate::mesh::command_line::{SessionAction, SessionCommand};
use crate::mesh::proxy::session_affinity;

/// Returns the name and parameters of the call for a command on one session.
pub fn call_name(command: &SessionCommand) -> String {
    let session = session_affinity::session_id(&command.service, &command.header, &command.id);
    match command.action {
        SessionAction::Show => format!("sessions.show&of={session:032x}"),
        SessionAction::Move { target } => format!("sessions.move&of={session:032x}&to={target}"),
        SessionAction::Forget => format!("sessions.forget&of={session:032x}"),
    }
}

/// Renders the response to `sessions.count`.
pub fn render_counts(counts: &Value) -> String {
    let cells = format_cells(counts, &["sessions", "moves", "ties", "dropped"]);
    format_table(&["SESSIONS", "MOVES", "TIES", "DROPPED"], vec![cells])
}

/// Renders the response to `sessions.show`, `sessions.move` or `sessions.forget`.
pub fn render_session(session: &Value) -> String {
    let columns = ["EPOCH", "HELD AT", "SINCE", "BEFORE AT", "UPSTREAM", "ITS DOOR"];
    let values = [
        &session["epoch"],
        &session["holder"]["door"],
        &session["holder"]["since"],
        &session["before"]["door"],
        &session["tie"]["upstream"],
        &session["tie"]["door"],
    ];
    format_table(&columns, vec![values.into_iter().map(format_cell).collect()])
}
