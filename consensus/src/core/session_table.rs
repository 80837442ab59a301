//! Sessions as this replica stores them, and what a request makes of an ownership.
//!
//! Main types: `Sessions`, `SessionCounts`.
//!
//! Invariants: a session expires once it has been idle for `SESSION_IDLE`.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::limits::{MS, Nanos};
use crate::messages::{SessionId, SessionOwner, SessionOwnership, SessionRecord, SessionRequest};

/// A session that nobody has used for this long is forgotten.
pub const SESSION_IDLE: Nanos = 900_000 * MS;

/// The sessions that this replica stores, and the calls that change them.
#[derive(Clone, Debug, Default)]
pub(super) struct Sessions {
    /// Each session with the time at which it expires.
    pub records: BTreeMap<SessionId, (SessionRecord, Nanos)>,
    pub expiry: BTreeSet<(Nanos, SessionId)>,
    pub calls: BTreeSet<u64>,
    pub counts: SessionCounts,
}

/// Figures about sessions since the start of this replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionCounts {
    /// Sessions that are stored now.
    pub sessions: usize,
    /// Committed changes of an owner that were requested through this replica.
    pub owner_changes: u64,
    /// Committed changes of a binding that were requested through this replica.
    pub binding_changes: u64,
    /// Sessions that were removed for want of room; those that were not used for longest go first.
    pub evicted: u64,
}

/// The ownership that a request leads to; `None` if the session has none and gets none.
pub(super) fn apply_request(
    request: &SessionRequest,
    was: Option<&SessionOwnership>,
    term: u64,
) -> Option<SessionOwnership> {
    match request {
        SessionRequest::Acquire { outbound_proxy, above_term } => Some(match was {
            Some(was)
                if was.owner.is_some_and(|owner| {
                    owner.outbound_proxy == *outbound_proxy && owner.since_term >= *above_term
                }) =>
            {
                was.clone()
            }
            was => SessionOwnership {
                binding: was.and_then(|was| was.binding.clone()),
                owner: Some(SessionOwner { outbound_proxy: *outbound_proxy, since_term: term }),
                previous_owner: was.and_then(|was| was.owner.or(was.previous_owner)),
            },
        }),
        SessionRequest::Bind { owner, current_upstream_id, binding } => was.map(|was| {
            let is_owner = was.owner == Some(*owner);
            let is_current =
                was.binding.as_ref().map(|binding| &binding.upstream_id) == current_upstream_id.as_ref();
            SessionOwnership {
                binding: if is_owner && is_current { Some(binding.clone()) } else { was.binding.clone() },
                ..was.clone()
            }
        }),
        SessionRequest::Forget => was.map(|was| SessionOwnership {
            previous_owner: was.owner.or(was.previous_owner),
            ..SessionOwnership::default()
        }),
        SessionRequest::Read | SessionRequest::Renew(_) => was.cloned(),
    }
}
