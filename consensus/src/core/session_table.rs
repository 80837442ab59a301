//! The sessions that this replica stores, and how requests change an ownership.
//!
//! Main types: `Sessions`, `SessionCounts`.
//!
//! Invariants: a session expires once it has been idle for `SESSION_IDLE`.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use crate::core::limits::{MAX_ITEMS_PER_MESSAGE, MS, NO_HOLDER, Nanos};
use crate::messages::{
    CommittedSession, Effect, LogRecord, SessionEntry, SessionId, SessionOwner, SessionOwnership,
    SessionRecord, SessionRequest,
};

/// A session that has been idle for this long is removed.
pub const SESSION_IDLE: Nanos = 900_000 * MS;

/// The sessions that this replica stores, and the calls that change them.
#[derive(Clone, Debug)]
pub(super) struct Sessions {
    max_sessions: usize,
    /// Each session with the time at which it expires.
    records: BTreeMap<SessionId, (SessionRecord, Nanos)>,
    expiry: BTreeSet<(Nanos, SessionId)>,
    /// The calls that change sessions.
    pub calls: BTreeSet<u64>,
    counts: SessionCounts,
}

/// Counters of sessions since the start of this replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionCounts {
    /// Sessions that are stored now.
    pub sessions: usize,
    /// Committed changes of an owner that were requested through this replica.
    pub owner_changes: u64,
    /// Committed changes of a binding that were requested through this replica.
    pub binding_changes: u64,
    /// Sessions that were evicted because the table was full, least recently used first.
    pub evicted: u64,
}

impl Sessions {
    /// An empty table of at most `max_sessions`.
    pub fn new(max_sessions: usize) -> Sessions {
        Sessions {
            max_sessions,
            records: BTreeMap::new(),
            expiry: BTreeSet::new(),
            calls: BTreeSet::new(),
            counts: SessionCounts::default(),
        }
    }

    /// The record of a session.
    pub fn get(&self, session: SessionId) -> Option<&SessionRecord> {
        self.records.get(&session).map(|(record, _)| record)
    }

    /// All records.
    pub fn iter(&self) -> impl Iterator<Item = (SessionId, &SessionRecord)> {
        self.records.iter().map(|(session, (record, _))| (*session, record))
    }

    /// The session counters.
    pub fn counts(&self) -> SessionCounts {
        SessionCounts { sessions: self.records.len(), ..self.counts }
    }

    /// Counts a committed change.
    pub fn count_changes(&mut self, of_owner: bool, of_binding: bool) {
        self.counts.owner_changes += u64::from(of_owner);
        self.counts.binding_changes += u64::from(of_binding);
    }

    /// The part of a snapshot between two keys, and the key at which the rest begins if it does not fit.
    pub fn batch_from(&self, from: u128, to: Option<u128>) -> (Vec<SessionEntry>, Option<u128>) {
        let mut batch = Vec::new();
        for (session, (record, _)) in self.records.range(from..) {
            if to.is_some_and(|to| *session >= to) {
                break;
            }
            if batch.len() >= MAX_ITEMS_PER_MESSAGE {
                return (batch, Some(*session));
            }
            batch.push(SessionEntry { session: *session, record: record.clone() });
        }
        (batch, to)
    }

    /// Merges the record of another voter: the higher term wins, and the change that was accepted in the later term.
    pub fn merge(&mut self, now: Nanos, session: SessionId, theirs: SessionRecord, out: &mut Vec<Effect>) {
        let own = self.get(session).cloned().unwrap_or_default();
        let token = match theirs.term.cmp(&own.term) {
            Ordering::Greater => theirs.token,
            // The proposers of both tokens asked in an earlier epoch and their messages count only there, so the term
            // has no holder now.
            Ordering::Equal if theirs.token != own.token => NO_HOLDER,
            _ => own.token,
        };
        let accepted_term =
            |accepted: &Option<CommittedSession>| accepted.as_ref().map_or(0, |committed| committed.term);
        let term = theirs.term.max(own.term);
        let accepted = if accepted_term(&theirs.accepted) > accepted_term(&own.accepted) {
            theirs.accepted
        } else {
            own.accepted.clone()
        };
        let merged = SessionRecord { term, token, accepted };
        if merged != own {
            self.store(now, session, merged, out);
        }
    }

    /// Writes a record to disk and memory. Evicts the least recently used sessions if there are too many.
    pub fn store(&mut self, now: Nanos, session: SessionId, record: SessionRecord, out: &mut Vec<Effect>) {
        out.push(Effect::Persist(LogRecord::Session(session, record.clone())));
        self.insert(now, session, record);
        while self.records.len() > self.max_sessions {
            let Some(&(expires_at, oldest)) = self.expiry.first() else { return };
            self.counts.evicted += 1;
            self.remove(expires_at, oldest, out);
        }
    }

    /// Keeps a session in memory until it has been idle for `SESSION_IDLE`.
    pub fn insert(&mut self, now: Nanos, session: SessionId, record: SessionRecord) {
        let expires_at = now.saturating_add(SESSION_IDLE);
        if let Some((_, before)) = self.records.insert(session, (record, expires_at)) {
            self.expiry.remove(&(before, session));
        }
        self.expiry.insert((expires_at, session));
    }

    /// Records that a session was used.
    pub fn renew(&mut self, now: Nanos, session: SessionId) {
        if let Some(record) = self.get(session).cloned() {
            self.insert(now, session, record);
        }
    }

    /// Removes sessions that have been idle for too long.
    pub fn expire(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        while let Some(&(expires_at, session)) = self.expiry.first() {
            if expires_at > now {
                break;
            }
            self.remove(expires_at, session, out);
        }
    }

    fn remove(&mut self, expires_at: Nanos, session: SessionId, out: &mut Vec<Effect>) {
        self.expiry.remove(&(expires_at, session));
        if self.records.remove(&session).is_some() {
            out.push(Effect::Persist(LogRecord::SessionEnded(session)));
        }
    }
}

/// The ownership that a request leads to; `None` if the session has none and gets none.
pub(super) fn apply_request(
    request: &SessionRequest,
    previous: Option<&SessionOwnership>,
    term: u64,
) -> Option<SessionOwnership> {
    match request {
        SessionRequest::Acquire { outbound_proxy, above_term } => Some(match previous {
            Some(previous)
                if previous.owner.is_some_and(|owner| {
                    owner.outbound_proxy == *outbound_proxy && owner.since_term >= *above_term
                }) =>
            {
                previous.clone()
            }
            previous => SessionOwnership {
                binding: previous.and_then(|previous| previous.binding.clone()),
                owner: Some(SessionOwner { outbound_proxy: *outbound_proxy, since_term: term }),
                previous_owner: previous.and_then(|previous| previous.owner.or(previous.previous_owner)),
            },
        }),
        SessionRequest::Bind { owner, current_upstream_id, binding } => previous.map(|previous| {
            let is_owner = previous.owner == Some(*owner);
            let is_current =
                previous.binding.as_ref().map(|binding| &binding.upstream_id) == current_upstream_id.as_ref();
            SessionOwnership {
                binding: if is_owner && is_current {
                    Some(binding.clone())
                } else {
                    previous.binding.clone()
                },
                ..previous.clone()
            }
        }),
        SessionRequest::Forget => previous.map(|previous| SessionOwnership {
            previous_owner: previous.owner.or(previous.previous_owner),
            ..SessionOwnership::default()
        }),
        SessionRequest::Read | SessionRequest::Renew(_) => previous.cloned(),
    }
}
