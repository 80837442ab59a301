//! The fence at a door: since when each person's session is held by the gate that a door last heard of. It owns that
//! memory and its bounds. It must never let through what a gate sends that has lost the session, nor ask anybody.

use std::collections::{BTreeSet, HashMap};
use std::sync::Mutex;

use ochreshed::Nanos;
use ochreshed_consensus::core::SESSION_IDLE;
use ochreshed_consensus::messages::SessionId;

use crate::link::held;

/// So many sessions; those that were not heard of for longest go.
const MAX_SESSIONS: usize = 20_000;
/// Less than the core keeps a record: one that begins anew at a low epoch finds no higher one here. The core is told of a
/// session that is used a minute later at most.
const RETENTION: Nanos = SESSION_IDLE - 180_000_000_000;

/// Which session a dispatch is of, and the epoch since which its gate holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FencingToken {
    pub session: SessionId,
    pub since_term: u64,
}

impl FencingToken {
    /// As it goes on the wire.
    pub fn to_header(self) -> String {
        format!("{:032x}.{}", self.session, self.since_term)
    }

    pub fn from_header(word: &str) -> Option<FencingToken> {
        let (session, since) = word.split_once('.')?;
        Some(FencingToken {
            session: SessionId::from_str_radix(session, 16).ok()?,
            since_term: since.parse().ok()?,
        })
    }
}

#[derive(Default)]
pub struct FencingTable(Mutex<KnownOwners>);

#[derive(Default)]
struct KnownOwners {
    /// Since when each is held, and until when that is kept.
    all: HashMap<SessionId, (u64, Nanos)>,
    order: BTreeSet<(Nanos, SessionId)>,
    turned: u64,
}

impl FencingTable {
    /// Whether this may pass; the later epoch that is known, where it may not.
    pub fn check(&self, now: Nanos, fencing_token: FencingToken) -> Result<(), u64> {
        let mut known = held(&self.0);
        while let Some(&(until, session)) = known.order.first()
            && (until <= now || known.all.len() > MAX_SESSIONS)
        {
            known.order.remove(&(until, session));
            known.all.remove(&session);
        }
        let until = now.saturating_add(RETENTION);
        if let Some((since, before)) = known.all.get(&fencing_token.session).copied() {
            if since > fencing_token.since_term {
                known.turned += 1;
                return Err(since);
            }
            known.order.remove(&(before, fencing_token.session));
        }
        known.all.insert(fencing_token.session, (fencing_token.since_term, until));
        known.order.insert((until, fencing_token.session));
        Ok(())
    }

    /// How many reqs were turned away in this life.
    pub fn rejections(&self) -> u64 {
        held(&self.0).turned
    }
}

#[cfg(test)]
#[path = "tests/fencing_tests.rs"]
mod tests;
