//! Parses the operators' calls: `/api/rpc?call=NAME` with its parameters.
//!
//! Main types: [`AdminCall`], the call by its name; [`AdminQuery`], a call that is answered from a snapshot of the
//! replica; and [`AdminRequestError`].
//!
//! Invariants: the names of calls and parameters and the texts of errors are part of the operators' interface.

use std::net::SocketAddr;

use hyper::Uri;
use ochreshed_consensus::messages::LeaseKey;
use thiserror::Error;

use crate::mesh::proxy::lease_client;

const RPC_PATH: &str = "/api/rpc";
/// The longest key or id. No header that holds one is longer.
const MAX_PARAMETER_BYTES: usize = 32 * 1024;

/// The parameters of a call as they stand in the URI, not decoded.
pub fn parameters(uri: &Uri) -> impl Iterator<Item = (&str, &str)> {
    uri.query().unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='))
}

/// The first parameter of that name, not decoded.
pub fn parameter<'u>(uri: &'u Uri, name: &str) -> Option<&'u str> {
    parameters(uri).find(|(other, _)| *other == name).map(|(_, value)| value)
}

/// A call of an operator, by its name.
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
    /// A name of the members' calls that does not exist.
    UnknownMemberCall,
    /// Any other name: it is parsed as an [`AdminQuery`].
    Query,
}

impl AdminCall {
    /// Any name has a call: unknown ones are `UnknownMemberCall` or `Query`, which answer so.
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

    /// Whether the call counts against the member's limit of changes.
    #[must_use]
    pub fn is_change(self) -> bool {
        use MemberCall::{PromoteCanary, Replace, RestorePrevious, WithdrawCanary};
        matches!(self, Replace | RestorePrevious | PromoteCanary | WithdrawCanary)
    }
}

/// What a query asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminQueryKind {
    Nodes,
    Upstreams,
    ConfigurationHistory,
    LeaseCounts,
    /// The lease on an idempotency key.
    Lease(String),
    Budgets,
    /// Drains the upstream of this id.
    DrainUpstream(String),
}

/// A call that is answered from a snapshot of the replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminQuery {
    pub kind: AdminQueryKind,
    /// Lists only inbound proxies of a higher address: how a long list is read page by page.
    pub after: Option<SocketAddr>,
}

/// Why a query can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AdminRequestError {
    #[error("no such call here")]
    UnknownCall,
    /// The call needs the parameter `of`; the text says what it is.
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
    /// The status of the answer, as in HTTP.
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
            "keys.show" => AdminQueryKind::Lease(required_of(uri, "keys.show wants of=KEY")?),
            "budget.list" => AdminQueryKind::Budgets,
            "upstreams.drain" => {
                let id = required_of(uri, "upstreams.drain wants of=ID, an upstream's")?;
                AdminQueryKind::DrainUpstream(id)
            }
            _ => return Err(AdminRequestError::UnknownCall),
        };
        Ok(AdminQuery { kind, after: parse_after(uri)? })
    }

    /// The key whose lease the answer shows.
    #[must_use]
    pub fn lease_key(&self) -> Option<LeaseKey> {
        match &self.kind {
            AdminQueryKind::Lease(key) => Some(lease_client::hash_key(key)),
            _ => None,
        }
    }

    /// Whether the answer lists the versions on this replica's disk.
    #[must_use]
    pub fn needs_stored_versions(&self) -> bool {
        self.kind == AdminQueryKind::ConfigurationHistory
    }

    /// Whether the answer shows what proxies reported to all replicas.
    #[must_use]
    pub fn needs_reports(&self) -> bool {
        matches!(self.kind, AdminQueryKind::Budgets | AdminQueryKind::Nodes)
    }
}

/// The parameter `of`, trimmed as proxies trim the header that holds a key.
fn required_of(uri: &Uri, missing: &'static str) -> Result<String, AdminRequestError> {
    let text = percent_decode(parameter(uri, "of").unwrap_or_default())?;
    let text = text.trim();
    if text.is_empty() { Err(AdminRequestError::MissingParameter(missing)) } else { Ok(text.to_owned()) }
}

fn parse_after(uri: &Uri) -> Result<Option<SocketAddr>, AdminRequestError> {
    let Some(encoded) = parameter(uri, "after") else { return Ok(None) };
    let text = percent_decode(encoded)?;
    text.parse().map(Some).map_err(|_| AdminRequestError::InvalidAfter)
}

/// Decodes a parameter's `%` escapes.
fn percent_decode(encoded: &str) -> Result<String, AdminRequestError> {
    if encoded.len() > 3 * MAX_PARAMETER_BYTES {
        return Err(AdminRequestError::TooLong);
    }
    let mut decoded = Vec::new();
    let mut rest = encoded.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let mut digit = || rest.next().and_then(|byte| char::from(byte).to_digit(16));
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
