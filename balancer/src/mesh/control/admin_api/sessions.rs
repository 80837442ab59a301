//! `sessions.show`, `sessions.move`, `sessions.forget` and `sessions.count`: the sessions of clients.
//!
//! Invariants: the value that identifies a person is never sent to the replica, but only its hash, which the operators'
//! client computes.

use std::net::SocketAddr;

use hyper::Uri;
use ochreshed_consensus::core::SessionCounts;
use ochreshed_consensus::messages::{
    CommittedSession, CoreRequest, CoreResponse, SessionBinding, SessionId, SessionOwner, SessionRequest,
};
use thiserror::Error;

use super::request::parameter;
use super::response::AdminResponse;
use crate::mesh::control::replica_server::{ADMIN_CALL_TIMEOUT, ReplicaServer};

/// The maximum length of a session ID, which is 128 bits in hex.
const MAX_SESSION_DIGITS: usize = 32;

/// Why a call on a session is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SessionCallError {
    #[error("of: is no session in up to 32 hex digits")]
    InvalidSession,
    #[error("to: is no address of a door")]
    InvalidTarget,
}

/// Handles a call on one session.
pub async fn handle_session_call(server: &ReplicaServer, uri: &Uri) -> AdminResponse {
    match parse_session_call(uri) {
        Ok(request) => to_admin_response(&server.request_core(request, ADMIN_CALL_TIMEOUT).await),
        Err(error) => AdminResponse::error(400, error.to_string()),
    }
}

/// Answers `sessions.count`.
pub async fn count_sessions(server: &ReplicaServer) -> AdminResponse {
    match server.read_status(None).await {
        Some(status) => AdminResponse::Json(counts_json(&status.sessions)),
        None => AdminResponse::busy(),
    }
}

/// Parses a call into a request to the core: `of` is the session ID in hex, and `to` the new owner for `sessions.move`.
fn parse_session_call(uri: &Uri) -> Result<CoreRequest, SessionCallError> {
    let digits = parameter(uri, "of").filter(|digits| digits.len() <= MAX_SESSION_DIGITS);
    let session = digits.and_then(|digits| SessionId::from_str_radix(digits, 16).ok());
    let session = session.ok_or(SessionCallError::InvalidSession)?;
    let request = match parameter(uri, "call") {
        Some("sessions.show") => SessionRequest::Read,
        Some("sessions.forget") => SessionRequest::Forget,
        _ => {
            let target: Option<SocketAddr> = parameter(uri, "to").and_then(|target| target.parse().ok());
            let outbound_proxy = target.ok_or(SessionCallError::InvalidTarget)?;
            SessionRequest::Acquire { outbound_proxy, above_term: 0 }
        }
    };
    Ok(CoreRequest::Session(session, request))
}

fn to_admin_response(response: &CoreResponse) -> AdminResponse {
    match response {
        CoreResponse::Session(Some(session)) => AdminResponse::Json(session_json(session)),
        CoreResponse::Session(None) => AdminResponse::error(404, "nobody has that session"),
        _ => AdminResponse::error(503, "more than half of the core is not reached: ask again"),
    }
}

fn session_json(session: &CommittedSession) -> String {
    let ownership = &session.ownership;
    jzon::stringify(jzon::object! {
        "epoch": session.term,
        "holder": owner_json(ownership.owner),
        "before": owner_json(ownership.previous_owner),
        "tie": binding_json(ownership.binding.as_ref()),
    })
}

fn owner_json(owner: Option<SessionOwner>) -> jzon::JsonValue {
    match owner {
        Some(owner) => jzon::object! { "door": owner.outbound_proxy.to_string(), "since": owner.since_term },
        None => jzon::Null,
    }
}

fn binding_json(binding: Option<&SessionBinding>) -> jzon::JsonValue {
    match binding {
        Some(binding) => jzon::object! {
            "upstream": binding.upstream_id.as_str(),
            "door": binding.inbound_proxy.to_string(),
        },
        None => jzon::Null,
    }
}

/// Returns the number of sessions on this replica, and of the changes made through it since its start.
fn counts_json(counts: &SessionCounts) -> String {
    jzon::stringify(jzon::object! {
        "sessions": counts.sessions,
        "moves": counts.owner_changes,
        "ties": counts.binding_changes,
        "dropped": counts.evicted,
    })
}

#[cfg(test)]
#[path = "../tests/sessions_tests.rs"]
mod sessions_tests;
