//! Parses the operators' calls: `/api/rpc?call=NAME` with its parameters.
//!
//! Main types: [`AdminCall`], the kind of call; [`AdminQuery`], a call that is answered from a snapshot of the replica;
//! and [`AdminRequestError`].
//!
//! Invariants: the names of calls and parameters and the texts of errors are part of the operators' interface.

use std::net::SocketAddr;

use hyper::Uri;
use ochreshed_consensus::messages::LeaseKey;
use thiserror::Error;

use crate::mesh::proxy::lease_client;

const RPC_PATH: &str = "/api/rpc";
/// The maximum length of a key or ID, which is that of a header.
const MAX_PARAMETER_BYTES: usize = 32 * 1024;

/// Returns the parameters of a call, not percent-decoded.
pub fn parameters(uri: &Uri) -> impl Iterator<Item = (&str, &str)> {
    uri.query().unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='))
}

/// Returns the first parameter with that name, not percent-decoded.
pub fn parameter<'u>(uri: &'u Uri, name: &str) -> Option<&'u str> {
    parameters(uri).find(|(other, _)| *other == name).map(|(_, value)| value)
}

/// The kind of an operator's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCall {
    ReadConfiguration,
    ReplaceConfiguration,
    CountSessions,
    /// Reads or changes one session.
    Session,
    ReadMemberRegister,
    ReplaceMemberRegister,
    Member(MemberCall),
    /// An unknown name with the prefix of members' calls.
    UnknownMemberCall,
    /// Any other name, to be parsed as an [`AdminQuery`].
    Query,
}

impl AdminCall {
    /// Returns the kind of the call with this name. Unknown names map to `UnknownMemberCall` or `Query`, which are
    /// answered with an error.
    #[must_use]
    pub fn from_name(name: &str) -> AdminCall {
        match name {
            "timetable.read" => AdminCall::ReadConfiguration,
            "timetable.replace" => AdminCall::ReplaceConfiguration,
            "sessions.count" => AdminCall::CountSessions,
            "sessions.show" | "sessions.move" | "sessions.forget" => AdminCall::Session,
            "members.read" => AdminCall::ReadMemberRegister,
            "members.replace" => AdminCall::ReplaceMemberRegister,
            name if name.starts_with("member") => {
                let call = name.strip_prefix("member.").and_then(MemberCall::from_verb);
                call.map_or(AdminCall::UnknownMemberCall, AdminCall::Member)
            }
            _ => AdminCall::Query,
        }
    }
}

/// A call on one member's documents, made with the member's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberCall {
    Read,
    History,
    Status,
    Plan,
    Replace,
    RestorePrevious,
    PromoteCanary,
    WithdrawCanary,
}

impl MemberCall {
    fn from_verb(verb: &str) -> Option<MemberCall> {
        match verb {
            "read" => Some(MemberCall::Read),
            "history" => Some(MemberCall::History),
            "status" => Some(MemberCall::Status),
            "plan" => Some(MemberCall::Plan),
            "replace" => Some(MemberCall::Replace),
            "undo" => Some(MemberCall::RestorePrevious),
            "settle" => Some(MemberCall::PromoteCanary),
            "withdraw" => Some(MemberCall::WithdrawCanary),
            _ => None,
        }
    }

    /// Whether the call counts against the member's rate limit.
    #[must_use]
    pub fn is_change(self) -> bool {
        use MemberCall::{PromoteCanary, Replace, RestorePrevious, WithdrawCanary};
        matches!(self, Replace | RestorePrevious | PromoteCanary | WithdrawCanary)
    }
}

/// The kind of a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminQueryKind {
    Nodes,
    Upstreams,
    ConfigurationHistory,
    LeaseCounts,
    /// The lease on an idempotency key.
    Lease(String),
    Budgets,
    /// Drains the upstream with this ID.
    DrainUpstream(String),
}

/// A call that is answered from a snapshot of the replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminQuery {
    pub kind: AdminQueryKind,
    /// For pagination: lists only inbound proxies with a higher address.
    pub after: Option<SocketAddr>,
}

/// Why a query can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AdminRequestError {
    #[error("no such call here")]
    UnknownCall,
    /// The required parameter `of` is missing; the text describes it.
    #[error("{0}")]
    MissingParameter(&'static str),
    #[error("of: is no text in UTF-8, or a % in it stands before no two digits")]
    NotText,
    #[error("of: is too long")]
    TooLong,
    #[error("after: is no address of a door")]
    InvalidAfter,
}

impl AdminRequestError {
    /// Returns the HTTP status code of the response.
    #[must_use]
    pub fn status(self) -> u16 {
        if self == AdminRequestError::UnknownCall { 404 } else { 400 }
    }
}

impl AdminQuery {
    /// Parses the parameters `call`, `of` and `after`.
    pub fn parse(uri: &Uri) -> Result<AdminQuery, AdminRequestError> {
        if uri.path() != RPC_PATH {
            return Err(AdminRequestError::UnknownCall);
        }
        let kind = match parameter(uri, "call").unwrap_or_default() {
            "nodes.list" => AdminQueryKind::Nodes,
            "upstreams.list" => AdminQueryKind::Upstreams,
            "timetable.history" => AdminQueryKind::ConfigurationHistory,
            "keys.count" => AdminQueryKind::LeaseCounts,
            "keys.show" => AdminQueryKind::Lease(parse_subject(uri, "keys.show wants of=KEY")?),
            "budget.list" => AdminQueryKind::Budgets,
            "upstreams.drain" => {
                let id = parse_subject(uri, "upstreams.drain wants of=ID, an upstream's")?;
                AdminQueryKind::DrainUpstream(id)
            }
            _ => return Err(AdminRequestError::UnknownCall),
        };
        Ok(AdminQuery { kind, after: parse_page_start(uri)? })
    }

    /// Returns the key whose lease the response shows.
    #[must_use]
    pub fn lease_key(&self) -> Option<LeaseKey> {
        match &self.kind {
            AdminQueryKind::Lease(key) => Some(lease_client::hash_key(key.as_bytes())),
            _ => None,
        }
    }

    /// Whether the response lists the versions on this replica's disk.
    #[must_use]
    pub fn needs_stored_versions(&self) -> bool {
        self.kind == AdminQueryKind::ConfigurationHistory
    }

    /// Whether the response includes the proxies' reports to all replicas.
    #[must_use]
    pub fn needs_reports(&self) -> bool {
        matches!(self.kind, AdminQueryKind::Budgets | AdminQueryKind::Nodes)
    }
}

/// Parses the required parameter `of`. It is trimmed, as proxies trim the header that holds a key.
fn parse_subject(uri: &Uri, missing: &'static str) -> Result<String, AdminRequestError> {
    let text = percent_decode(parameter(uri, "of").unwrap_or_default())?;
    let text = text.trim();
    if text.is_empty() { Err(AdminRequestError::MissingParameter(missing)) } else { Ok(text.to_owned()) }
}

fn parse_page_start(uri: &Uri) -> Result<Option<SocketAddr>, AdminRequestError> {
    let Some(encoded) = parameter(uri, "after") else { return Ok(None) };
    let text = percent_decode(encoded)?;
    text.parse().map(Some).map_err(|_| AdminRequestError::InvalidAfter)
}

/// Percent-decodes a parameter.
fn percent_decode(encoded: &str) -> Result<String, AdminRequestError> {
    if encoded.len() > 3 * MAX_PARAMETER_BYTES {
        return Err(AdminRequestError::TooLong);
    }
    let mut decoded = Vec::new();
    let mut bytes = encoded.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let mut digit = || bytes.next().and_then(|byte| char::from(byte).to_digit(16));
        match (digit(), digit()) {
            (Some(high), Some(low)) => decoded.push((high * 16 + low) as u8),
            _ => return Err(AdminRequestError::NotText),
        }
    }
    if decoded.len() > MAX_PARAMETER_BYTES {
        return Err(AdminRequestError::TooLong);
    }
    String::from_utf8(decoded).map_err(|_| AdminRequestError::NotText)
}

#[cfg(test)]
#[path = "../tests/request_tests.rs"]
mod request_tests;
