//! Fencing of sessions at an inbound proxy: it refuses requests from an outbound proxy that has lost the session.
//!
//! [`FencingTable::check`] compares the term in a request's [`FencingToken`] with the latest one seen for its session.
//!
//! Invariants: a request with an earlier term than one seen for its session doesn't pass, as long as the session is remembered;
//! nobody is asked.

use std::collections::{BTreeSet, HashMap};
use std::sync::Mutex;

use ochreshed::Nanos;
use ochreshed_consensus::core::SESSION_IDLE;
use ochreshed_consensus::messages::SessionId;

use crate::connection::lock;

/// How many sessions are remembered; those not seen for longest are dropped first.
const MAX_SESSIONS: usize = 20_000;
/// How long a session is remembered after its last request. Less than the replicas keep its record, so that a session that
/// begins anew at a low term finds no higher one here. The replicas hear of a session's use a minute later at most, and the
/// difference covers that.
const RETENTION: Nanos = SESSION_IDLE - 180_000_000_000;

/// The session of an attempt, and the term since which the outbound proxy that sends it owns the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FencingToken {
    pub session: SessionId,
    pub since_term: u64,
}

impl FencingToken {
    /// The token as the value of a header: the session in 32 hexadecimal digits, a dot, and the term.
    pub fn to_header(self) -> String {
        format!("{:032x}.{}", self.session, self.since_term)
    }

    /// Reads a header's value; `None` if it isn't a token.
    pub fn from_header(word: &str) -> Option<FencingToken> {
        let (session, since) = word.split_once('.')?;
        Some(FencingToken {
            session: SessionId::from_str_radix(session, 16).ok()?,
            since_term: since.parse().ok()?,
        })
    }
}

/// The latest owners of sessions that an inbound proxy has seen.
#[derive(Default)]
pub struct FencingTable(Mutex<KnownOwners>);

#[derive(Default)]
struct KnownOwners {
    /// The term since which each session is owned, and until when it is remembered.
    sessions: HashMap<SessionId, (u64, Nanos)>,
    /// The sessions by the time until which they are remembered.
    order: BTreeSet<(Nanos, SessionId)>,
    rejections: u64,
}

impl FencingTable {
    /// Remembers the token and lets it pass; the later term that is known is the error if the session has a later owner.
    pub fn check(&self, now: Nanos, fencing_token: FencingToken) -> Result<(), u64> {
        let mut known = lock(&self.0);
        while let Some(&(until, session)) = known.order.first()
            && (until <= now || known.sessions.len() > MAX_SESSIONS)
        {
            known.order.remove(&(until, session));
            known.sessions.remove(&session);
        }
        let until = now.saturating_add(RETENTION);
        if let Some((since, before)) = known.sessions.get(&fencing_token.session).copied() {
            if since > fencing_token.since_term {
                known.rejections += 1;
                return Err(since);
            }
            known.order.remove(&(before, fencing_token.session));
        }
        known.sessions.insert(fencing_token.session, (fencing_token.since_term, until));
        known.order.insert((until, fencing_token.session));
        Ok(())
    }

    /// How many requests were refused since this process started.
    pub fn rejections(&self) -> u64 {
        lock(&self.0).rejections
    }
}

#[cfg(test)]
#[path = "tests/fencing_tests.rs"]
mod tests;
