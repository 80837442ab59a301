//! Leases on idempotency keys: which request for a key may run, and its outcome.
//!
//! Main types: `PendingLease` is a call that collects votes, `StoredLease` a lease as this replica stores it,
//! `LeaseUpdate` an update that other members may have missed.
//!
//! Invariants:
//! - A lease is granted to one token at a time, by a majority of the members.
//! - A replica never releases a lease on its own initiative, because the same token may have been granted the lease
//!   through another replica.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::Core;
use crate::core::calls::{Call, PendingLease};
use crate::core::lease_table::{LEASE_UPDATE_RETENTION, LeaseCounts, LeaseUpdate, outcome_rank};
use crate::core::limits::{MAX_VOTING_CALLS, MISSED_MESSAGES_AFTER, MS, NO_HOLDER, Nanos, RETRY_INTERVAL};
use crate::core::mutation::Mutation;
use crate::core::response_cache::ResponseCacheUsage;
use crate::messages::{
    CoreResponse, Effect, Lease, LeaseCompletion, LeaseKey, LeaseOutcome, LeaseRequest, LeaseToken,
    LeaseVote, LeaseVoteReply, ReplicaId,
};

/// Members that were not asked for a vote in the first round are asked after this time.
const HEDGE_DELAY: Nanos = 50 * MS;

/// A lease request that gets no majority within this time is answered `Unavailable`.
const LEASE_TIMEOUT: Nanos = 1000 * MS;

/// A call waits for another lease's outcome no longer than this, and no longer than `1 / OUTCOME_WAIT_DIVISOR` of its
/// request's time left. Both are shorter than outbound proxies wait for an answer
/// (`traffic/src/lease_circuit_breaker.rs`), so that proxies learn that the key is in use.
const MAX_OUTCOME_WAIT: Nanos = 700 * MS;

const OUTCOME_WAIT_DIVISOR: Nanos = 3;

/// How long a call waits for another lease's outcome if its request has `time_left_ms` milliseconds left.
pub fn outcome_wait(time_left_ms: u32) -> Nanos {
    (u64::from(time_left_ms) * MS / OUTCOME_WAIT_DIVISOR).min(MAX_OUTCOME_WAIT)
}

impl Core {
    /// Counts the stored leases by outcome.
    #[must_use]
    pub fn lease_counts(&self) -> LeaseCounts {
        self.lease_table.counts()
    }

    /// How full the response cache is.
    #[must_use]
    pub fn response_cache_usage(&self) -> ResponseCacheUsage {
        self.lease_table.response_cache_usage()
    }

    /// The lease stored for a key.
    pub fn lease(&self, key: LeaseKey) -> Option<&Lease> {
        self.lease_table.get(key)
    }

    /// How long this replica has known the lease of a key.
    pub fn lease_age(&self, key: LeaseKey) -> Option<Nanos> {
        self.lease_table.age(self.now, key)
    }

    /// The age of the pending lease that has been known for longest.
    pub fn oldest_pending_lease_age(&self) -> Option<Nanos> {
        self.lease_table.oldest_pending_age(self.now)
    }

    pub(super) fn begin_lease(
        &mut self,
        now: Nanos,
        call: u64,
        key: LeaseKey,
        token: LeaseToken,
        time_left_ms: u32,
        out: &mut Vec<Effect>,
    ) {
        let is_full = self.lease_table.len() >= self.config.max_leases && self.lease_table.get(key).is_none();
        if token == NO_HOLDER || is_full || self.pending_calls.voting_call_count() >= MAX_VOTING_CALLS {
            out.push(Effect::Respond { call, response: CoreResponse::Unavailable });
            return;
        }
        let pending = PendingLease {
            key,
            token,
            time_left_ms,
            started_at: now,
            wait_until: now.saturating_add(outcome_wait(time_left_ms)),
            timer: now.saturating_add(HEDGE_DELAY),
            quorum_only: true,
            granted_by: BTreeSet::new(),
            refused_by: BTreeMap::new(),
        };
        self.pending_calls.insert(call, Call::Lease(pending));
        self.resolve_lease_call(now, call, out);
        self.request_votes(call, out);
    }

    /// Retains a completion for members that may miss it.
    pub(super) fn retain_completion(&mut self, now: Nanos, completion: LeaseCompletion) {
        self.lease_table.retain_update(now, LeaseUpdate::Completed(completion));
    }

    /// Sends the lease updates again that a peer may have missed while it was silent since `since`.
    pub(super) fn resend_lease_updates(&mut self, to: ReplicaId, since: Nanos) {
        if !self.is_member(&to) {
            return;
        }
        let queued = self.outbox.queue(to.address);
        for (at, update) in
            self.lease_table.updates().filter(|(at, _)| at.saturating_add(MISSED_MESSAGES_AFTER) >= since)
        {
            match update {
                _ if at.saturating_add(LEASE_UPDATE_RETENTION) < self.now => {}
                LeaseUpdate::Requested { key, token, time_left_ms } => {
                    queued.lease_requests.push(LeaseRequest {
                        call: self.pending_calls.unused_wire_id(),
                        key: *key,
                        token: *token,
                        time_left_ms: *time_left_ms,
                    })
                }
                LeaseUpdate::Completed(completion) => queued.completions.push(completion.clone()),
            }
        }
    }

    /// Requests votes on a lease, starting with this replica itself. The first round asks only as many members as a
    /// majority needs, preferring reachable ones that are placed nearest to the key, since these also store its
    /// response. Later rounds ask all members that have not granted the lease.
    fn request_votes(&mut self, call: u64, out: &mut Vec<Effect>) {
        let Some(Call::Lease(pending)) = self.pending_calls.get(call) else { return };
        let (key, token, time_left_ms) = (pending.key, pending.token, pending.time_left_ms);
        let mut voters: Vec<ReplicaId> = self
            .voting
            .membership
            .members
            .iter()
            .filter(|replica| !pending.granted_by.contains(replica))
            .copied()
            .collect();
        if pending.quorum_only {
            let unreachable =
                |replica: &ReplicaId| self.peers.get(replica).is_none_or(|peer| !peer.is_reachable(self.now));
            voters.sort_by_key(|replica| {
                let is_self = *replica == self.replica_id;
                (
                    !is_self || !self.voting.voter,
                    !is_self && unreachable(replica),
                    crate::placement::placement_rank(replica.address, key),
                )
            });
            voters.truncate(self.majority());
        }
        let request = LeaseRequest { call: self.pending_calls.wire_id(call), key, token, time_left_ms };
        for replica in voters {
            if replica == self.replica_id {
                self.vote_on_lease(request.clone(), self.replica_id, out);
            } else {
                self.outbox.queue(replica.address).lease_requests.push(request.clone());
            }
        }
    }

    /// Votes on whether `token` holds the lease. A replica that may not vote does not answer.
    fn vote_on_lease(&mut self, request: LeaseRequest, to: ReplicaId, out: &mut Vec<Effect>) {
        let LeaseRequest { call, key, token, time_left_ms } = request;
        if !self.voting.voter || token == NO_HOLDER {
            return;
        }
        let vote = match self.lease_table.get(key) {
            _ if self.lease_table.is_released(token) => LeaseVote::TokenReleased,
            Some(stored) if stored.token == token && stored.outcome == LeaseOutcome::Pending => {
                LeaseVote::Granted
            }
            Some(stored) => {
                let lease = stored.clone();
                if lease.outcome == LeaseOutcome::Pending && to != self.replica_id {
                    self.lease_table.add_outcome_watcher(key, to.address);
                }
                LeaseVote::Held(lease)
            }
            None if self.lease_table.len() >= self.config.max_leases => return,
            None => {
                self.lease_table.store(
                    self.now,
                    key,
                    Lease { token, time_left_ms, outcome: LeaseOutcome::Pending },
                    out,
                );
                LeaseVote::Granted
            }
        };
        self.outbox.queue(to.address).lease_votes.push(LeaseVoteReply { call, vote });
    }

    pub(super) fn handle_lease_requests(
        &mut self,
        from: ReplicaId,
        requests: Vec<LeaseRequest>,
        out: &mut Vec<Effect>,
    ) {
        for request in requests {
            let (key, token) = (request.key, request.token);
            self.vote_on_lease(request, from, out);
            self.report_releases(key, token, from);
        }
    }

    /// Reports the tokens that were released on a key to a replica that asks for votes on it: it may hold one of them as
    /// pending, since a release is announced once only to peers that were not silent for long.
    fn report_releases(&mut self, key: LeaseKey, requested: LeaseToken, to: ReplicaId) {
        for token in self.lease_table.released_tokens_of(key) {
            if token != requested {
                self.report_release(key, token, to);
            }
        }
    }

    fn report_release(&mut self, key: LeaseKey, token: LeaseToken, to: ReplicaId) {
        self.outbox.queue(to.address).completions.push(LeaseCompletion { key, token, outcome: None });
    }

    pub(super) fn handle_lease_votes(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        replies: Vec<LeaseVoteReply>,
        out: &mut Vec<Effect>,
    ) {
        for LeaseVoteReply { call, vote } in replies {
            let call = self.pending_calls.wire_id(call);
            let Some(Call::Lease(pending)) = self.pending_calls.get_mut(call) else { continue };
            let key = pending.key;
            let mut ask_all = pending.quorum_only && vote != LeaseVote::Granted;
            pending.quorum_only &= !ask_all;
            match vote {
                LeaseVote::Granted => {
                    pending.refused_by.remove(&from);
                    pending.granted_by.insert(from);
                }
                LeaseVote::Held(lease)
                    if lease.outcome == LeaseOutcome::Pending
                        && self.lease_table.is_released(lease.token) =>
                {
                    // The voter has missed the release. It learns of it, and is asked again.
                    pending.granted_by.remove(&from);
                    pending.refused_by.remove(&from);
                    ask_all = true;
                    self.report_release(key, lease.token, from);
                }
                LeaseVote::Held(lease) => {
                    pending.granted_by.remove(&from);
                    pending.refused_by.insert(from, Some(lease));
                }
                LeaseVote::TokenReleased => {
                    pending.granted_by.remove(&from);
                    pending.refused_by.insert(from, None);
                }
            }
            self.resolve_lease_call(now, call, out);
            if ask_all {
                self.request_votes(call, out);
            }
        }
    }

    /// Answers the call if the votes so far allow it.
    fn resolve_lease_call(&mut self, now: Nanos, call: u64, out: &mut Vec<Effect>) {
        let Some(Call::Lease(pending)) = self.pending_calls.get(call) else { return };
        let (key, token) = (pending.key, pending.token);
        let member_count = self.voting.membership.members.len();
        if let Some(stored) = self.lease_table.get(key).filter(|lease| lease.outcome != LeaseOutcome::Pending)
        {
            let outcome = stored.outcome.clone();
            self.respond(call, CoreResponse::LeaseHeld(outcome), out);
        } else if self.lease_table.is_released(token) {
            // The request was given up: no more votes are collected for a dead token.
            self.respond(call, CoreResponse::Unavailable, out);
        } else if pending.granted_by.len() >= self.majority() && member_count > 0 {
            if pending.granted_by.len() < member_count {
                let update = LeaseUpdate::Requested { key, token, time_left_ms: pending.time_left_ms };
                self.lease_table.retain_update(now, update);
            }
            self.respond(call, CoreResponse::LeaseGranted, out);
        } else if let Some(lease) =
            pending.refused_by.values().flatten().find(|lease| lease.outcome != LeaseOutcome::Pending)
        {
            let lease = lease.clone();
            self.respond(call, CoreResponse::LeaseHeld(lease.outcome.clone()), out);
            let completion = LeaseCompletion { key, token: lease.token, outcome: Some(lease.outcome) };
            self.apply_completion(now, completion, out);
        } else if member_count > 0 && member_count.saturating_sub(pending.refused_by.len()) < self.majority()
        {
            let is_held = pending.refused_by.values().any(Option::is_some);
            if !is_held {
                self.respond(call, CoreResponse::Unavailable, out);
            } else if now >= pending.wait_until {
                self.respond(call, CoreResponse::LeaseHeld(LeaseOutcome::Pending), out);
            }
        } else if now >= pending.started_at.saturating_add(LEASE_TIMEOUT) {
            self.respond(call, CoreResponse::Unavailable, out);
            if self.breaks(Mutation::ReleaseOnTimeout) {
                let release = LeaseCompletion { key, token, outcome: None };
                self.apply_completion(now, release.clone(), out);
                for replica in self.others() {
                    self.outbox.queue(replica.address).completions.push(release.clone());
                }
                self.retain_completion(now, release);
            }
        }
    }

    pub(super) fn handle_lease_timer(&mut self, now: Nanos, call: u64, out: &mut Vec<Effect>) {
        let Some(Call::Lease(pending)) = self.pending_calls.get_mut(call) else { return };
        let deadlines = [pending.wait_until, pending.started_at.saturating_add(LEASE_TIMEOUT)]
            .into_iter()
            .filter(|deadline| *deadline > now);
        let due_at = deadlines.min().unwrap_or(Nanos::MAX).min(now.saturating_add(RETRY_INTERVAL));
        pending.quorum_only = false;
        self.pending_calls.reschedule(call, due_at);
        self.resolve_lease_call(now, call, out);
        self.request_votes(call, out);
    }

    /// Discards all votes after a change of the membership or of this replica's right to vote, because votes count
    /// only in the epoch in which they were given.
    pub(super) fn restart_lease_calls(&mut self, out: &mut Vec<Effect>) {
        let calls: Vec<u64> = self.pending_calls.lease_calls();
        for call in calls {
            let keeps_votes = self.breaks(Mutation::CountStaleLeaseVotes);
            if let Some(Call::Lease(pending)) = self.pending_calls.get_mut(call)
                && !keeps_votes
            {
                pending.granted_by.clear();
                pending.refused_by.clear();
                pending.quorum_only = false;
            }
            self.request_votes(call, out);
        }
    }

    /// Sends the outcome of a lease to the replicas that were refused while it was pending, since calls may wait there.
    fn notify_outcome_watchers(&mut self, key: LeaseKey, token: LeaseToken, outcome: &LeaseOutcome) {
        for watcher in self.lease_table.take_outcome_watchers(key) {
            let completion = LeaseCompletion { key, token, outcome: Some(outcome.clone()) };
            self.outbox.queue(watcher).completions.push(completion);
        }
    }

    /// Applies the report of a lease's holder. A report that the request ran proves that no other token was granted the
    /// lease.
    pub(super) fn apply_completion(
        &mut self,
        now: Nanos,
        completion: LeaseCompletion,
        out: &mut Vec<Effect>,
    ) {
        let LeaseCompletion { key, token, outcome } = completion;
        let stored = self.lease_table.get(key).map(|lease| (lease.token, outcome_rank(&lease.outcome)));
        let matching = stored.filter(|(holder, _)| {
            *holder == token || (self.breaks(Mutation::ReleaseUnderAnyToken) && outcome.is_none())
        });
        match (outcome, stored) {
            _ if token == NO_HOLDER => {}
            (Some(LeaseOutcome::Pending), _) => {}
            (None, _) if matching.is_some_and(|(_, outcome_rank)| outcome_rank > 0) => {}
            (None, _) => {
                self.lease_table.release_token(self.now, key, token);
                if matching.is_some() {
                    self.lease_table.remove(key, out);
                }
                self.resume_lease_calls(now, key, out);
            }
            (Some(outcome), Some((_, before))) if outcome_rank(&outcome) > before => {
                let time_left_ms = self.lease_table.get(key).map_or(0, |lease| lease.time_left_ms);
                self.notify_outcome_watchers(key, token, &outcome);
                self.lease_table.store(self.now, key, Lease { token, time_left_ms, outcome }, out);
                self.resume_lease_calls(now, key, out);
            }
            (Some(outcome), None) if self.lease_table.len() < self.config.max_leases => {
                self.lease_table.store(self.now, key, Lease { token, time_left_ms: 0, outcome }, out);
                self.resume_lease_calls(now, key, out);
            }
            (Some(_), _) => {}
        }
    }

    /// Merges a lease from another voter's snapshot. Two different pending leases on one key are replaced by one
    /// without a holder (`NO_HOLDER`): either may have been granted, so no third one may be until both are known to
    /// have ended.
    pub(super) fn merge_lease(&mut self, key: LeaseKey, lease: Lease, out: &mut Vec<Effect>) {
        let is_pending = lease.outcome == LeaseOutcome::Pending;
        if is_pending && self.lease_table.is_released(lease.token) {
            return;
        }
        match self.lease_table.get(key) {
            None => self.lease_table.store(self.now, key, lease, out),
            Some(own) if outcome_rank(&lease.outcome) > outcome_rank(&own.outcome) => {
                self.lease_table.store(self.now, key, lease, out)
            }
            Some(own) if is_pending && own.outcome == LeaseOutcome::Pending && own.token != lease.token => {
                if own.token != NO_HOLDER && !self.breaks(Mutation::KeepFirstOfConflictingLeases) {
                    let time_left_ms = lease.time_left_ms.max(own.time_left_ms);
                    self.lease_table.store(
                        self.now,
                        key,
                        Lease { token: NO_HOLDER, time_left_ms, outcome: LeaseOutcome::Pending },
                        out,
                    );
                }
            }
            Some(_) => {}
        }
    }

    /// Re-evaluates the calls that wait for a key.
    fn resume_lease_calls(&mut self, now: Nanos, key: LeaseKey, out: &mut Vec<Effect>) {
        for call in self.pending_calls.lease_calls_for(key) {
            self.resolve_lease_call(now, call, out);
            if let Some(Call::Lease(pending)) = self.pending_calls.get(call) {
                let request = LeaseRequest {
                    call: self.pending_calls.wire_id(call),
                    key,
                    token: pending.token,
                    time_left_ms: pending.time_left_ms,
                };
                self.vote_on_lease(request, self.replica_id, out);
            }
        }
    }
}
