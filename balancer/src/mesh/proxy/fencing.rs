//! Fencing of sessions at an inbound proxy: it refuses requests from an outbound proxy that no longer owns the session.
//!
//! [`FencingTable::check`] compares the term in a request's [`FencingToken`] with the latest one seen for its session.
//!
//! Invariants: a request with an earlier term than one seen for its session is refused, as long as the session is remembered;
//! the check needs no I/O.

use std::collections::{BTreeSet, HashMap};
use std::sync::Mutex;

use ochreshed::Nanos;
use ochreshed_consensus::core::SESSION_IDLE;
use ochreshed_consensus::messages::SessionId;

use crate::connection::lock;

/// Most sessions that are remembered; the least recently seen ones are dropped first.
const MAX_SESSIONS: usize = 20_000;
/// How long a session is remembered after its last request. This is 180 s less than the replicas keep its record, so that a
/// session that restarts at a low term finds no higher one here. The replicas learn of a session's use up to a minute late,
/// which the difference covers.
const RETENTION: Nanos = SESSION_IDLE - 180_000_000_000;

/// The session of an attempt, and the term since which the sending outbound proxy has owned it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FencingToken {
    pub session: SessionId,
    pub since_term: u64,
}

impl FencingToken {
    /// Formats the token as a header value: the session in 32 hexadecimal digits, a dot, and the term.
    pub fn to_header(self) -> String {
        format!("{:032x}.{}", self.session, self.since_term)
    }

    /// Parses a header value; `None` if it isn't a token.
    pub fn from_header(value: &str) -> Option<FencingToken> {
        let (session, since_term) = value.split_once('.')?;
        Some(FencingToken {
            session: SessionId::from_str_radix(session, 16).ok()?,
            since_term: since_term.parse().ok()?,
        })
    }
}

/// The latest owners of sessions that an inbound proxy has seen.
#[derive(Default)]
pub struct FencingTable(Mutex<KnownOwners>);

/// The latest known owner of a session.
#[derive(Clone, Copy)]
struct KnownOwner {
    since_term: u64,
    /// When the session is forgotten.
    expires_at: Nanos,
}

#[derive(Default)]
struct KnownOwners {
    sessions: HashMap<SessionId, KnownOwner>,
    /// The sessions by the time when they are forgotten.
    by_expiry: BTreeSet<(Nanos, SessionId)>,
    rejections: u64,
}

impl FencingTable {
    /// Accepts and remembers a token, unless the session has a later owner; the error is that owner's term.
    pub fn check(&self, now: Nanos, fencing_token: FencingToken) -> Result<(), u64> {
        let mut owners = lock(&self.0);
        while let Some(&(expires_at, session)) = owners.by_expiry.first()
            && (expires_at <= now || owners.sessions.len() > MAX_SESSIONS)
        {
            owners.by_expiry.remove(&(expires_at, session));
            owners.sessions.remove(&session);
        }
        if let Some(known) = owners.sessions.get(&fencing_token.session).copied() {
            if known.since_term > fencing_token.since_term {
                owners.rejections += 1;
                return Err(known.since_term);
            }
            owners.by_expiry.remove(&(known.expires_at, fencing_token.session));
        }
        let owner =
            KnownOwner { since_term: fencing_token.since_term, expires_at: now.saturating_add(RETENTION) };
        owners.sessions.insert(fencing_token.session, owner);
        owners.by_expiry.insert((owner.expires_at, fencing_token.session));
        Ok(())
    }

    /// Number of requests that were refused since this process started.
    pub fn rejections(&self) -> u64 {
        lock(&self.0).rejections
    }
}

#[cfg(test)]
#[path = "tests/fencing_tests.rs"]
mod tests;
