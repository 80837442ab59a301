//! The calls and pages of sessions.
//!
//! Invariant: the value that names a person's session is hashed here and not sent.

use serde_json::Value;

use super::tables::{format_cell, format_cells, format_table};
use crate::mesh::command_line::{SessionAction, SessionCommand};
use crate::mesh::proxy::session_affinity;

/// The call for a command on one session, with its parameters.
pub fn call_name(command: &SessionCommand) -> String {
    let session = session_affinity::session_id(&command.service, &command.header, &command.id);
    match command.action {
        SessionAction::Show => format!("sessions.show&of={session:032x}"),
        SessionAction::Move { target } => format!("sessions.move&of={session:032x}&to={target}"),
        SessionAction::Forget => format!("sessions.forget&of={session:032x}"),
    }
}

/// The page of `sessions.count`.
pub fn counts_page(counts: &Value) -> String {
    let cells = format_cells(counts, &["sessions", "moves", "ties", "dropped"]);
    format_table(&["SESSIONS", "MOVES", "TIES", "DROPPED"], vec![cells])
}

/// The page of `sessions.show`, `sessions.move` and `sessions.forget`.
pub fn session_page(session: &Value) -> String {
    let head = ["EPOCH", "HELD AT", "SINCE", "BEFORE AT", "UPSTREAM", "ITS DOOR"];
    let values = [
        &session["epoch"],
        &session["holder"]["door"],
        &session["holder"]["since"],
        &session["before"]["door"],
        &session["tie"]["upstream"],
        &session["tie"]["door"],
    ];
    format_table(&head, vec![values.into_iter().map(format_cell).collect()])
}
