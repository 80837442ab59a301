//! Tombstones: storing them, and asking a majority whether one exists.
//!
//! Main types: `TombstoneTable` holds the stored tombstones, `PendingTombstoneQuery` is a call.
//!
//! Invariants: a query is answered with "does not exist" only if a majority of the members, all of them voters, did not
//! store the tombstone when it was asked.
//!
//! Safety: an acknowledged tombstone is on a majority's disks (`quorum_writes`), so every majority that is asked later
//! has a replica that stores it.

use std::collections::BTreeSet;

use crate::core::Core;
use crate::core::calls::{Call, PendingTombstoneQuery};
use crate::core::limits::{MAX_VOTING_CALLS, MS, Nanos, RETRY_INTERVAL};
use crate::core::mutation::Mutation;
use crate::core::quorum_writes::WriteSubject;
use crate::core::tombstone_table::TombstoneCounts;
use crate::messages::{CoreResponse, Effect, ReplicaId, TombstoneId, TombstoneQuery, TombstoneReply};

/// A query that gets no majority within this time is answered `Unavailable`.
const QUERY_TIMEOUT: Nanos = 1_000 * MS;

impl Core {
    /// Counts the stored tombstones.
    pub fn tombstone_counts(&self) -> TombstoneCounts {
        self.tombstones.counts()
    }

    /// Stores a tombstone here; it is acknowledged once a majority stores it.
    pub(super) fn begin_tombstone_write(
        &mut self,
        now: Nanos,
        call: u64,
        id: TombstoneId,
        out: &mut Vec<Effect>,
    ) {
        self.tombstones.store(self.now, id, out);
        self.begin_quorum_write(now, call, WriteSubject::Tombstone(id), true, out);
    }

    pub(super) fn begin_tombstone_query(
        &mut self,
        now: Nanos,
        call: u64,
        id: TombstoneId,
        out: &mut Vec<Effect>,
    ) {
        if self.tombstones.contains(id) {
            out.push(Effect::Respond { call, response: CoreResponse::Tombstone(true) });
            return;
        }
        if self.pending_calls.voting_call_count() >= MAX_VOTING_CALLS {
            out.push(Effect::Respond { call, response: CoreResponse::Unavailable });
            return;
        }
        let timer = now.saturating_add(RETRY_INTERVAL);
        let pending = PendingTombstoneQuery { id, started_at: now, timer, absent_at: BTreeSet::new() };
        self.pending_calls.insert(call, Call::TombstoneQuery(pending));
        self.ask_for_tombstone(call, out);
    }

    /// Asks all members that have not replied.
    fn ask_for_tombstone(&mut self, call: u64, out: &mut Vec<Effect>) {
        let Some(Call::TombstoneQuery(pending)) = self.pending_calls.get(call) else { return };
        let (id, absent_at) = (pending.id, pending.absent_at.clone());
        let query = TombstoneQuery { call: self.pending_calls.wire_id(call), id };
        for member in self.others().filter(|member| !absent_at.contains(member)) {
            match self.peers.get(&member).and_then(|peer| peer.supports_quorum_writes) {
                Some(true) => self.outbox.queue(member.address).tombstone_queries.push(query),
                // An earlier version stores no tombstones.
                Some(false) if self.is_voter(&member) => self.record_absent_tombstone(call, member),
                _ => {}
            }
        }
        if self.voting.voter {
            let exists = self.tombstones.contains(id);
            self.handle_tombstone_reply(self.replica_id, TombstoneReply { call: query.call, exists }, out);
        }
        self.resolve_tombstone_query(call, out);
    }

    /// Replies to queries, if this replica votes.
    pub(super) fn handle_tombstone_queries(&mut self, from: ReplicaId, queries: Vec<TombstoneQuery>) {
        if !self.voting.voter {
            return;
        }
        for TombstoneQuery { call, id } in queries {
            let reply = TombstoneReply { call, exists: self.tombstones.contains(id) };
            self.outbox.queue(from.address).tombstone_replies.push(reply);
        }
    }

    pub(super) fn handle_tombstone_replies(
        &mut self,
        from: ReplicaId,
        replies: Vec<TombstoneReply>,
        out: &mut Vec<Effect>,
    ) {
        for reply in replies {
            self.handle_tombstone_reply(from, reply, out);
        }
    }

    fn handle_tombstone_reply(&mut self, from: ReplicaId, reply: TombstoneReply, out: &mut Vec<Effect>) {
        let call = self.pending_calls.wire_id(reply.call);
        let Some(Call::TombstoneQuery(pending)) = self.pending_calls.get(call) else { return };
        if reply.exists {
            self.tombstones.store(self.now, pending.id, out);
            self.respond(call, CoreResponse::Tombstone(true), out);
            return;
        }
        self.record_absent_tombstone(call, from);
        self.resolve_tombstone_query(call, out);
    }

    fn record_absent_tombstone(&mut self, call: u64, member: ReplicaId) {
        if let Some(Call::TombstoneQuery(pending)) = self.pending_calls.get_mut(call) {
            pending.absent_at.insert(member);
        }
    }

    /// Answers the call once a majority does not store the tombstone.
    fn resolve_tombstone_query(&mut self, call: u64, out: &mut Vec<Effect>) {
        let Some(Call::TombstoneQuery(pending)) = self.pending_calls.get(call) else { return };
        let has_members = !self.voting.membership.members.is_empty();
        let is_absent = has_members && pending.absent_at.len() >= self.majority();
        if is_absent || self.breaks(Mutation::FindTombstoneWithoutMajority) {
            self.respond(call, CoreResponse::Tombstone(false), out);
        }
    }

    pub(super) fn handle_tombstone_query_timer(&mut self, now: Nanos, call: u64, out: &mut Vec<Effect>) {
        let Some(Call::TombstoneQuery(pending)) = self.pending_calls.get(call) else { return };
        if now >= pending.started_at.saturating_add(QUERY_TIMEOUT) {
            self.respond(call, CoreResponse::Unavailable, out);
            return;
        }
        self.pending_calls.reschedule(call, now.saturating_add(RETRY_INTERVAL));
        self.ask_for_tombstone(call, out);
    }

    /// Discards all replies after a change of the membership or of this replica's right to vote, because they count only
    /// in the epoch in which they were given.
    pub(super) fn restart_tombstone_queries(&mut self, out: &mut Vec<Effect>) {
        for call in self.pending_calls.tombstone_queries() {
            if let Some(Call::TombstoneQuery(pending)) = self.pending_calls.get_mut(call) {
                pending.absent_at.clear();
            }
            self.ask_for_tombstone(call, out);
        }
    }
}
