//! Writes that are acknowledged once a majority of the voters stores them.
//!
//! Main types: `PendingQuorumWrite` (in `calls`) is a write that was not acknowledged yet, `WriteSubject` what it is
//! about, `StoredReports` the reports of stored writes that wait for the next tick.
//!
//! Invariants:
//! - A write is acknowledged only once a majority of the members, all of them voters, has it on disk.
//! - A write that was begun goes on without its caller, until it is acknowledged or `lease_ttl` has passed.
//!
//! Safety: a new member votes only after it has received snapshots from enough voters that one of them stores the write
//! (see `core`). So an acknowledged write is on a majority's disks in each later epoch, whichever members were away when
//! it was made. Reports count only in the epoch in which they were sent, and only from voters, since a rollback drops the
//! member that has not caught up.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::core::Core;
use crate::core::calls::{Call, PendingQuorumWrite};
use crate::core::limits::{MS, NO_HOLDER, Nanos};
use crate::core::mutation::Mutation;
use crate::messages::{
    CoreResponse, Effect, LeaseCompletion, LeaseKey, LeaseOutcome, LeaseToken, QuorumWrite,
    QuorumWriteRequest, ReplicaId, TombstoneId,
};

/// Members that were not sent a write in the first round are sent it after this time.
const HEDGE_DELAY: Nanos = 250 * MS;

/// A write is sent again to members that have not reported it after this time.
const RESEND_INTERVAL: Nanos = 1_000 * MS;

/// How many writes may wait; further ones are answered `Unavailable`.
const MAX_PENDING_WRITES: usize = 16_384;

/// What a write is about. The content is read from the tables whenever it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteSubject {
    /// The outcome that is stored for a key.
    LeaseOutcome(LeaseKey),
    /// The release of a token on a key.
    LeaseRelease(LeaseKey, LeaseToken),
    /// A tombstone.
    Tombstone(TombstoneId),
}

/// Reports of stored writes, by the address to which they are sent with the next tick.
#[derive(Clone, Debug, Default)]
pub(super) struct StoredReports {
    by_address: BTreeMap<SocketAddr, Vec<u64>>,
}

impl StoredReports {
    fn add(&mut self, address: SocketAddr, call: u64) {
        self.by_address.entry(address).or_default().push(call);
    }
}

impl Core {
    /// How many writes a majority is not known to store yet.
    #[must_use]
    pub fn pending_quorum_writes(&self) -> usize {
        self.pending_calls.quorum_writes().len()
    }

    /// The age of the oldest write that a majority is not known to store.
    pub fn oldest_quorum_write_age(&self) -> Option<Nanos> {
        let pending = self.pending_calls.quorum_writes().iter();
        let started = pending.filter_map(|call| match self.pending_calls.get(*call) {
            Some(Call::QuorumWrite(pending)) => Some(pending.started_at),
            _ => None,
        });
        started.min().map(|started_at| self.now.saturating_sub(started_at))
    }

    /// Starts a write that was applied here, as `stored_here` says.
    pub(super) fn begin_quorum_write(
        &mut self,
        now: Nanos,
        call: u64,
        subject: WriteSubject,
        stored_here: bool,
        out: &mut Vec<Effect>,
    ) {
        if !stored_here || self.pending_calls.quorum_writes().len() >= MAX_PENDING_WRITES {
            out.push(Effect::Respond { call, response: CoreResponse::Unavailable });
            return;
        }
        let timer = now.saturating_add(HEDGE_DELAY);
        let pending = PendingQuorumWrite { subject, started_at: now, timer, stored_by: BTreeSet::new() };
        self.pending_calls.insert(call, Call::QuorumWrite(pending));
        self.report_own_copy(call);
        let targets = self.first_targets(subject);
        self.send_quorum_write(call, targets);
        self.resolve_quorum_write(call, out);
    }

    /// The members that are sent a write first. An outcome goes to as many as a majority needs, reachable ones that are
    /// placed nearest to the key before others. A release goes to all, since a voter that keeps a released token would
    /// refuse the key's next request, and so does a tombstone, which is small.
    fn first_targets(&self, subject: WriteSubject) -> Vec<ReplicaId> {
        let mut targets: Vec<ReplicaId> = self.others().collect();
        if let WriteSubject::LeaseOutcome(key) = subject {
            targets.sort_by_key(|member| {
                (!self.can_reach(member, self.now), crate::placement::placement_rank(member.address, key))
            });
            targets.truncate(self.majority().saturating_sub(usize::from(self.voting.voter)));
        }
        targets
    }

    /// The reachable members that have not reported a write.
    fn missing_targets(&self, pending: &PendingQuorumWrite) -> Vec<ReplicaId> {
        let is_missing =
            |member: &ReplicaId| !pending.stored_by.contains(member) && self.can_reach(member, self.now);
        self.others().filter(is_missing).collect()
    }

    /// Reports a write that is stored here to this replica itself.
    fn report_own_copy(&mut self, call: u64) {
        let call = self.pending_calls.wire_id(call);
        self.stored_reports.add(self.replica_id.address, call);
    }

    fn send_quorum_write(&mut self, call: u64, targets: Vec<ReplicaId>) {
        let Some(Call::QuorumWrite(pending)) = self.pending_calls.get(call) else { return };
        let Some(write) = self.quorum_write_content(pending.subject) else { return };
        for target in targets {
            self.send_quorum_write_to(target, call, write.clone());
        }
    }

    fn send_quorum_write_to(&mut self, target: ReplicaId, call: u64, write: QuorumWrite) {
        let supports_quorum_writes = self.peers.get(&target).and_then(|peer| peer.supports_quorum_writes);
        let queued = self.outbox.queue(target.address);
        if supports_quorum_writes == Some(true) {
            let call = self.pending_calls.wire_id(call);
            queued.quorum_writes.push(QuorumWriteRequest { call, write });
            return;
        }
        if let QuorumWrite::LeaseCompletion(completion) = write {
            queued.completions.push(completion);
        }
        // An earlier version stores an outcome without a report, and no tombstones; it counts as one that stores the write.
        let is_earlier_version = supports_quorum_writes == Some(false);
        if is_earlier_version
            && self.is_voter(&target)
            && let Some(Call::QuorumWrite(pending)) = self.pending_calls.get_mut(call)
        {
            pending.stored_by.insert(target);
        }
    }

    /// The write as it is to be sent now; `None` once its lease has expired.
    fn quorum_write_content(&self, subject: WriteSubject) -> Option<QuorumWrite> {
        match subject {
            WriteSubject::LeaseRelease(key, token) => {
                Some(QuorumWrite::LeaseCompletion(LeaseCompletion { key, token, outcome: None }))
            }
            WriteSubject::LeaseOutcome(key) => {
                let lease = self.lease_table.get(key)?;
                let is_known = lease.outcome != LeaseOutcome::Pending;
                let (token, outcome) = (lease.token, Some(lease.outcome.clone()));
                is_known.then_some(QuorumWrite::LeaseCompletion(LeaseCompletion { key, token, outcome }))
            }
            WriteSubject::Tombstone(id) => Some(QuorumWrite::Tombstone(id)),
        }
    }

    /// Stores the writes of another replica.
    pub(super) fn handle_quorum_writes(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        requests: Vec<QuorumWriteRequest>,
        out: &mut Vec<Effect>,
    ) {
        for QuorumWriteRequest { call, write } in requests {
            let subject = match write {
                QuorumWrite::LeaseCompletion(completion) => {
                    let subject = completion.subject();
                    self.apply_completion(now, completion, out);
                    subject
                }
                QuorumWrite::Tombstone(id) => {
                    self.tombstones.store(self.now, id, out);
                    WriteSubject::Tombstone(id)
                }
            };
            if self.stores_write(subject) {
                self.stored_reports.add(from.address, call);
            }
        }
    }

    /// Queues the reports that were collected since the last tick, if this replica votes; otherwise their writes are sent
    /// again. They are sent once all records written so far are durable.
    pub(super) fn queue_stored_reports(&mut self) {
        let may_report = self.voting.voter || self.breaks(Mutation::ReportWritesWithoutVote);
        for (address, calls) in std::mem::take(&mut self.stored_reports.by_address) {
            if !may_report {
                continue;
            }
            self.outbox.queue(address).stored_writes.extend(calls);
        }
    }

    /// Whether this replica stores a write, or something later on the same subject.
    pub(super) fn stores_write(&self, subject: WriteSubject) -> bool {
        match subject {
            WriteSubject::LeaseOutcome(key) => {
                // A response that was evicted at once counts as stored: its lease stays.
                self.lease_table.get(key).is_some_and(|lease| lease.outcome != LeaseOutcome::Pending)
            }
            WriteSubject::LeaseRelease(key, token) => self
                .lease_table
                .get(key)
                .is_none_or(|lease| lease.token != token || lease.outcome != LeaseOutcome::Pending),
            WriteSubject::Tombstone(id) => self.tombstones.contains(id),
        }
    }

    /// Counts the reports of a voter.
    pub(super) fn handle_stored_writes(&mut self, from: ReplicaId, calls: Vec<u64>, out: &mut Vec<Effect>) {
        for call in calls {
            let call = self.pending_calls.wire_id(call);
            if let Some(Call::QuorumWrite(pending)) = self.pending_calls.get_mut(call) {
                pending.stored_by.insert(from);
                self.resolve_quorum_write(call, out);
            }
        }
    }

    /// Answers the call once a majority stores the write.
    fn resolve_quorum_write(&mut self, call: u64, out: &mut Vec<Effect>) {
        let Some(Call::QuorumWrite(pending)) = self.pending_calls.get(call) else { return };
        let is_stored =
            pending.stored_by.len() >= self.majority() && !self.voting.membership.members.is_empty();
        if is_stored || self.breaks(Mutation::AcknowledgeWriteBeforeMajority) {
            self.respond(call, CoreResponse::Accepted, out);
        }
    }

    pub(super) fn handle_quorum_write_timer(&mut self, now: Nanos, call: u64, out: &mut Vec<Effect>) {
        let Some(Call::QuorumWrite(pending)) = self.pending_calls.get(call) else { return };
        let expires_at = pending.started_at.saturating_add(self.config.lease_ttl);
        if now >= expires_at || self.quorum_write_content(pending.subject).is_none() {
            self.respond(call, CoreResponse::Unavailable, out);
            return;
        }
        let targets = self.missing_targets(pending);
        self.pending_calls.reschedule(call, now.saturating_add(RESEND_INTERVAL));
        self.send_quorum_write(call, targets);
        self.resolve_quorum_write(call, out);
    }

    /// Discards all reports after a change of the membership or of this replica's right to vote, because they count only
    /// in the epoch in which they were sent.
    pub(super) fn restart_quorum_writes(&mut self, out: &mut Vec<Effect>) {
        for call in self.pending_calls.quorum_writes().clone() {
            let Some(Call::QuorumWrite(pending)) = self.pending_calls.get_mut(call) else { continue };
            pending.stored_by.clear();
            let pending = pending.clone();
            self.report_own_copy(call);
            self.send_quorum_write(call, self.missing_targets(&pending));
            self.resolve_quorum_write(call, out);
        }
    }

    /// Reports an outcome or a release: it is applied here, and acknowledged once a majority stores it.
    pub(super) fn begin_completion(
        &mut self,
        now: Nanos,
        call: u64,
        completion: LeaseCompletion,
        out: &mut Vec<Effect>,
    ) {
        let changes_nothing =
            completion.token == NO_HOLDER || completion.outcome == Some(LeaseOutcome::Pending);
        if changes_nothing {
            out.push(Effect::Respond { call, response: CoreResponse::Accepted });
            return;
        }
        let subject = completion.subject();
        self.apply_completion(now, completion.clone(), out);
        self.retain_completion(now, completion);
        let stored_here = self.stores_write(subject);
        self.begin_quorum_write(now, call, subject, stored_here, out);
    }
}

impl LeaseCompletion {
    fn subject(&self) -> WriteSubject {
        match self.outcome {
            None => WriteSubject::LeaseRelease(self.key, self.token),
            Some(_) => WriteSubject::LeaseOutcome(self.key),
        }
    }
}
