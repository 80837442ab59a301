//! Failure detection: what a replica knows of the others, by the messages that it receives.
//!
//! Main types: `Peer`; `PeerStatus` is for operators.
//!
//! Invariants:
//! - At most `MAX_PEERS` replicas that are not members are known.
//! - Safety never depends on who counts as reachable, only progress does.

use std::collections::BTreeMap;

use crate::core::limits::{Nanos, REACHABLE_WINDOW};
use crate::messages::{RegisterName, ReplicaId, Revision};

/// What this replica knows of another one.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// When the peer was added to the table.
    pub first_seen: Nanos,
    /// When the last message from it arrived.
    pub last_heard: Option<Nanos>,
    /// The epoch of its last heartbeat.
    pub epoch: u64,
    pub voter: bool,
    pub leaving: bool,
    pub zone: String,
    /// When it was last sent this replica's membership.
    pub announced_at: Option<Nanos>,
    /// When it was last sent a heartbeat so that it answers with its later membership.
    pub heartbeat_sent_at: Option<Nanos>,
    /// When it was last asked for the newest value of each register.
    pub fetched_at: BTreeMap<RegisterName, Nanos>,
    /// When each register was last sent to it, and which revision.
    pub replicated: BTreeMap<RegisterName, (Nanos, Revision)>,
    /// When it was last asked for the revisions of all its registers.
    pub listed_at: Option<Nanos>,
    /// The digest of all registers for which it was last counted as storing the same.
    pub acknowledged_digest: u128,
    /// Registers that were requested from it and have not arrived, with the revisions that it offered.
    pub wanted_registers: BTreeMap<RegisterName, Revision>,
}

impl Peer {
    pub fn new(now: Nanos) -> Peer {
        Peer {
            first_seen: now,
            last_heard: None,
            epoch: 0,
            voter: false,
            leaving: false,
            zone: String::new(),
            announced_at: None,
            heartbeat_sent_at: None,
            fetched_at: BTreeMap::new(),
            replicated: BTreeMap::new(),
            listed_at: None,
            acknowledged_digest: 0,
            wanted_registers: BTreeMap::new(),
        }
    }

    /// Whether the peer was heard within `REACHABLE_WINDOW`.
    pub fn is_reachable(&self, now: Nanos) -> bool {
        self.last_heard.is_some_and(|heard| now.saturating_sub(heard) <= REACHABLE_WINDOW)
    }

    /// The time since the peer was last heard, or since it was first seen if it never was.
    pub fn time_since_heard(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.last_heard.unwrap_or(self.first_seen))
    }
}

/// What a replica knows of another one or of itself, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The replica that this is about.
    pub replica: ReplicaId,
    /// Whether it is a member in this replica's epoch.
    pub member: bool,
    /// Whether it said that it votes.
    pub voter: bool,
    /// The epoch of its last heartbeat.
    pub epoch: u64,
    /// Nanoseconds since it was last heard; `None` if it never was.
    pub heard_ago: Option<Nanos>,
    /// Whether it announced that it will stop.
    pub leaving: bool,
    /// Its zone; empty if it has not told any.
    pub zone: String,
}

/// Whether `interval` has passed since `last`; if so, sets `last` to `now`.
pub(super) fn mark_if_due(last: &mut Option<Nanos>, now: Nanos, interval: Nanos) -> bool {
    if last.is_some_and(|last| now < last.saturating_add(interval)) {
        return false;
    }
    *last = Some(now);
    true
}
