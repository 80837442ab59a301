//! Failure detection: what a replica knows of the others from the messages that it receives.
//!
//! Main types: `Peers` holds a `Peer` for each known replica; `PeerStatus` is for operators.
//!
//! Invariants:
//! - At most `MAX_PEERS` replicas that are not members are tracked.
//! - Safety never depends on who counts as reachable, only progress does.

use std::collections::BTreeMap;

use crate::core::limits::{
    FORGET_PEER_AFTER, MAX_PEERS, MAX_ZONE_BYTES, MISSED_MESSAGES_AFTER, Nanos, REACHABLE_WINDOW,
};
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
    /// Whether it handles quorum writes; `None` until its first heartbeat has arrived.
    pub supports_quorum_writes: Option<bool>,
    /// When it was last sent this replica's membership.
    pub announced_at: Option<Nanos>,
    /// When it was last sent a heartbeat so that it answers with its later membership.
    pub heartbeat_sent_at: Option<Nanos>,
    /// When it was last asked for the newest value of each register.
    pub fetch_requested_at: BTreeMap<RegisterName, Nanos>,
    /// When each register was last sent to it, and which revision.
    pub last_sent_revisions: BTreeMap<RegisterName, (Nanos, Revision)>,
    /// When it was last asked for the revisions of all its registers.
    pub list_requested_at: Option<Nanos>,
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
            supports_quorum_writes: None,
            announced_at: None,
            heartbeat_sent_at: None,
            fetch_requested_at: BTreeMap::new(),
            last_sent_revisions: BTreeMap::new(),
            list_requested_at: None,
            acknowledged_digest: 0,
            wanted_registers: BTreeMap::new(),
        }
    }

    /// Whether the peer was heard within `REACHABLE_WINDOW`.
    pub fn is_reachable(&self, now: Nanos) -> bool {
        self.last_heard.is_some_and(|heard| now.saturating_sub(heard) <= REACHABLE_WINDOW)
    }

    /// Records that a message of the peer arrived. Returns since when the peer may have missed messages, if it may.
    pub fn record_message(&mut self, now: Nanos) -> Option<Nanos> {
        let silent_since = (self.time_since_heard(now) > MISSED_MESSAGES_AFTER)
            .then(|| self.last_heard.unwrap_or(self.first_seen));
        self.last_heard = Some(now.max(self.last_heard.unwrap_or(0)));
        silent_since
    }

    /// Records what a heartbeat says of its sender.
    pub fn record_heartbeat(&mut self, epoch: u64, status: HeartbeatStatus<'_>) {
        let HeartbeatStatus { voter, leaving, zone, supports_quorum_writes } = status;
        self.supports_quorum_writes = Some(supports_quorum_writes);
        // A late heartbeat of an earlier epoch says nothing about the current one.
        if epoch >= self.epoch {
            self.voter = voter || (self.voter && epoch == self.epoch);
            self.epoch = epoch;
        }
        self.leaving = leaving;
        if self.zone != zone {
            self.zone = zone.to_owned();
            self.zone.truncate(self.zone.floor_char_boundary(MAX_ZONE_BYTES));
        }
    }

    /// The time since the peer was last heard, or since it was first seen if it never was.
    pub fn time_since_heard(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.last_heard.unwrap_or(self.first_seen))
    }
}

/// What a heartbeat says of its sender.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeartbeatStatus<'a> {
    pub voter: bool,
    pub leaving: bool,
    pub zone: &'a str,
    pub supports_quorum_writes: bool,
}

/// What a replica knows of another one or of itself, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The replica that this is about.
    pub replica: ReplicaId,
    /// Whether it is a member in this replica's epoch.
    pub member: bool,
    /// Whether its last heartbeat said that it votes.
    pub voter: bool,
    /// The epoch of its last heartbeat.
    pub epoch: u64,
    /// Nanoseconds since it was last heard; `None` if it never was.
    pub heard_ago: Option<Nanos>,
    /// Whether it announced that it will stop.
    pub leaving: bool,
    /// Its zone; empty if it has not announced one.
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

/// The replicas that this one knows.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    by_replica: BTreeMap<ReplicaId, Peer>,
}

impl Peers {
    /// What is known of a replica.
    pub fn get(&self, replica: &ReplicaId) -> Option<&Peer> {
        self.by_replica.get(replica)
    }

    /// What is known of a replica.
    pub fn get_mut(&mut self, replica: &ReplicaId) -> Option<&mut Peer> {
        self.by_replica.get_mut(replica)
    }

    /// All known replicas, sorted.
    pub fn iter(&self) -> impl Iterator<Item = (&ReplicaId, &Peer)> {
        self.by_replica.iter()
    }

    /// What is known of each replica.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.by_replica.values_mut()
    }

    /// Adds a member, whether or not it was ever heard.
    pub fn add_member(&mut self, replica: ReplicaId, now: Nanos) {
        self.by_replica.entry(replica).or_insert_with(|| Peer::new(now));
    }

    /// A peer, which is added if there is room.
    pub fn get_or_add(&mut self, replica: ReplicaId, now: Nanos) -> Option<&mut Peer> {
        if !self.by_replica.contains_key(&replica) && self.by_replica.len() >= MAX_PEERS {
            return None;
        }
        Some(self.by_replica.entry(replica).or_insert_with(|| Peer::new(now)))
    }

    /// Whether a replica was heard within `REACHABLE_WINDOW`.
    pub fn is_reachable(&self, replica: &ReplicaId, now: Nanos) -> bool {
        self.get(replica).is_some_and(|peer| peer.is_reachable(now))
    }

    /// Whether a replica with another disk runs at the member's address and was heard after it.
    pub fn is_replaced(&self, member: &ReplicaId, now: Nanos) -> bool {
        let last_heard = self.get(member).and_then(|peer| peer.last_heard);
        self.iter().any(|(replica, other)| {
            replica.address == member.address
                && replica.disk_id != member.disk_id
                && other.is_reachable(now)
                && other.last_heard > last_heard
        })
    }

    /// Removes replicas that are not members and were silent for `FORGET_PEER_AFTER`. `members` is sorted.
    pub fn remove_silent(&mut self, members: &[ReplicaId], now: Nanos) {
        self.by_replica.retain(|replica, peer| {
            members.binary_search(replica).is_ok() || peer.time_since_heard(now) < FORGET_PEER_AFTER
        });
    }
}
