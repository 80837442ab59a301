//! Leases on idempotency keys: which request of a key may run, and what became of it.
//!
//! Main types: `PendingLease` is a call that collects votes, `StoredLease` a lease as this replica stores it,
//! `LeaseUpdate` what other members may have missed.
//!
//! Invariants:
//! - A lease is granted to one token at a time, by a majority of the members.
//! - A replica never releases a lease of its own accord, because the same token may have been granted it through
//!   another replica.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::core::Core;
use crate::core::calls::{Call, PendingLease};
use crate::core::lease_table::{
    LEASE_UPDATE_RETENTION, LeaseCounts, LeaseUpdate, MAX_LEASE_UPDATES, StoredLease, outcome_rank,
};
use crate::core::limits::{MAX_CALLS, MISSED_MESSAGES_AFTER, MS, NOBODY, Nanos, RETRY_INTERVAL};
use crate::core::mutation::Mutation;
use crate::core::response_cache::{LEASE_UPDATES_DIVISOR, ResponseCacheUsage, cached_bytes};
use crate::messages::{
    CoreResponse, Effect, Lease, LeaseCompletion, LeaseKey, LeaseOutcome, LeaseRequest, LeaseToken,
    LeaseVote, LeaseVoteReply, LogRecord, ReplicaId,
};

/// Members that were not asked for a vote at first are asked after this time.
const HEDGE_DELAY: Nanos = 50 * MS;

/// A lease request that gets no majority within this time is answered `Unavailable`.
const LEASE_TIMEOUT: Nanos = 1000 * MS;

/// A call waits for another lease's outcome no longer than this, and no longer than `1 / OUTCOME_WAIT_DIVISOR` of its
/// request's time left. Both are shorter than outbound proxies wait for an answer (`mesh/src/claim_breaker.rs`), so
/// that they learn that the key is in use.
const MAX_OUTCOME_WAIT: Nanos = 700 * MS;

const OUTCOME_WAIT_DIVISOR: Nanos = 3;

/// How many released tokens are remembered; the oldest are forgotten first.
const MAX_RELEASED_TOKENS: usize = 20_000;

/// How many replicas are remembered that wait for the outcome of a pending lease.
const MAX_OUTCOME_WATCHERS: usize = 4_096;

/// How long a call waits for another lease's outcome if its request has `time_left_ms` milliseconds left.
pub fn outcome_wait(time_left_ms: u32) -> Nanos {
    (u64::from(time_left_ms) * MS / OUTCOME_WAIT_DIVISOR).min(MAX_OUTCOME_WAIT)
}

impl Core {
    /// Counts the stored leases by outcome.
    #[must_use]
    pub fn lease_counts(&self) -> LeaseCounts {
        let mut count = [0; 3];
        for stored in self.leases.values() {
            if let Some(count) = count.get_mut(outcome_rank(&stored.lease.outcome) as usize) {
                *count += 1;
            }
        }
        LeaseCounts { pending: count[0], indeterminate: count[1], completed: count[2] }
    }

    /// The lease stored for a key.
    pub fn lease(&self, key: LeaseKey) -> Option<&Lease> {
        self.leases.get(&key).map(|stored| &stored.lease)
    }

    /// How long this replica has known the lease of a key.
    pub fn lease_age(&self, key: LeaseKey) -> Option<Nanos> {
        self.leases.get(&key).map(|stored| self.age_of(stored))
    }

    /// The age of the pending lease that has been known for longest.
    pub fn oldest_pending_lease_age(&self) -> Option<Nanos> {
        let pending = self.leases.values().filter(|stored| stored.lease.outcome == LeaseOutcome::Pending);
        pending.map(|stored| self.age_of(stored)).max()
    }

    fn age_of(&self, stored: &StoredLease) -> Nanos {
        self.now.saturating_add(self.config.lease_ttl).saturating_sub(stored.expires_at)
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
        let is_full = self.leases.len() >= self.config.max_leases && !self.leases.contains_key(&key);
        if token == NOBODY || is_full || self.pending_calls.len() - self.register_calls.len() >= MAX_CALLS {
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
        self.timers.insert((pending.timer, call));
        self.pending_calls.insert(call, Call::Lease(pending));
        self.calls_by_key.entry(key).or_default().push(call);
        self.resolve_lease_call(now, call, out);
        self.request_votes(call, out);
    }

    pub(super) fn handle_completion(
        &mut self,
        now: Nanos,
        call: u64,
        completion: LeaseCompletion,
        out: &mut Vec<Effect>,
    ) {
        self.apply_completion(now, completion.clone(), out);
        self.announce_completion(now, completion);
        out.push(Effect::Respond { call, response: CoreResponse::Accepted });
    }

    fn announce_completion(&mut self, now: Nanos, completion: LeaseCompletion) {
        let mut others: Vec<ReplicaId> = self.others().collect();
        if matches!(completion.outcome, Some(LeaseOutcome::Completed(_))) {
            // Only as many members keep a response as it takes to survive the loss of the others: those that are
            // placed nearest to the key. A member that is asked for the lease later finds the response while it
            // collects votes.
            others.sort_by_key(|replica| crate::placement::place(replica.address, completion.key));
            others.truncate(self.membership.members.len() / 2);
        }
        for replica in others {
            self.outbox.entry(replica.address).or_default().completions.push(completion.clone());
        }
        self.retain_lease_update(now, LeaseUpdate::Completed(completion));
    }

    /// Sends the lease updates again that a peer may have missed while it was silent since `since`.
    pub(super) fn resend_lease_updates(&mut self, to: ReplicaId, since: Nanos) {
        if !self.is_member(&to) {
            return;
        }
        let queued = self.outbox.entry(to.address).or_default();
        for (at, update) in
            self.lease_updates.iter().filter(|(at, _)| at.saturating_add(MISSED_MESSAGES_AFTER) >= since)
        {
            match update {
                _ if at.saturating_add(LEASE_UPDATE_RETENTION) < self.now => {}
                LeaseUpdate::Requested { key, token, time_left_ms } => {
                    queued.lease_requests.push(LeaseRequest {
                        call: !self.call_id_mask,
                        key: *key,
                        token: *token,
                        time_left_ms: *time_left_ms,
                    })
                }
                LeaseUpdate::Completed(completion) => queued.completions.push(completion.clone()),
            }
        }
    }

    /// Requests votes on a lease, first of all from this replica itself. At first it asks only as many members as a
    /// majority needs, preferring reachable ones that are placed nearest to the key, since these will also keep its
    /// response; later it asks all that have not granted the lease.
    fn request_votes(&mut self, call: u64, out: &mut Vec<Effect>) {
        let Some(Call::Lease(pending)) = self.pending_calls.get(&call) else { return };
        let (key, token, time_left_ms) = (pending.key, pending.token, pending.time_left_ms);
        let mut voters: Vec<ReplicaId> = self
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
                    !is_self || !self.voter,
                    !is_self && unreachable(replica),
                    crate::placement::place(replica.address, key),
                )
            });
            voters.truncate(self.majority());
        }
        let request = LeaseRequest { call: call ^ self.call_id_mask, key, token, time_left_ms };
        for replica in voters {
            if replica == self.replica_id {
                self.vote_on_lease(request.clone(), self.replica_id, out);
            } else {
                self.outbox.entry(replica.address).or_default().lease_requests.push(request.clone());
            }
        }
    }

    /// Votes on whether `token` holds the lease. A replica that may not vote stays silent.
    fn vote_on_lease(&mut self, request: LeaseRequest, to: ReplicaId, out: &mut Vec<Effect>) {
        let LeaseRequest { call, key, token, time_left_ms } = request;
        if !self.voter || token == NOBODY {
            return;
        }
        let vote = match self.leases.get(&key) {
            _ if self.released_tokens.contains_key(&token) => LeaseVote::TokenReleased,
            Some(stored) if stored.lease.token == token && stored.lease.outcome == LeaseOutcome::Pending => {
                LeaseVote::Granted
            }
            Some(stored) => {
                let lease = stored.lease.clone();
                if lease.outcome == LeaseOutcome::Pending
                    && to != self.replica_id
                    && self.outcome_watchers.len() < MAX_OUTCOME_WATCHERS
                {
                    self.outcome_watchers.insert((key, to.address));
                }
                LeaseVote::Held(lease)
            }
            None if self.leases.len() >= self.config.max_leases => return,
            None => {
                self.store_lease(key, Lease { token, time_left_ms, outcome: LeaseOutcome::Pending }, out);
                LeaseVote::Granted
            }
        };
        self.outbox.entry(to.address).or_default().lease_votes.push(LeaseVoteReply { call, vote });
    }

    pub(super) fn handle_lease_requests(
        &mut self,
        from: ReplicaId,
        requests: Vec<LeaseRequest>,
        out: &mut Vec<Effect>,
    ) {
        for request in requests {
            self.vote_on_lease(request, from, out);
        }
    }

    pub(super) fn handle_lease_votes(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        replies: Vec<LeaseVoteReply>,
        out: &mut Vec<Effect>,
    ) {
        for LeaseVoteReply { call, vote } in replies {
            let call = call ^ self.call_id_mask;
            let Some(Call::Lease(pending)) = self.pending_calls.get_mut(&call) else { continue };
            let ask_all = pending.quorum_only && vote != LeaseVote::Granted;
            pending.quorum_only &= !ask_all;
            match vote {
                LeaseVote::Granted => {
                    pending.refused_by.remove(&from);
                    pending.granted_by.insert(from);
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
        let Some(Call::Lease(pending)) = self.pending_calls.get(&call) else { return };
        let (key, token) = (pending.key, pending.token);
        let voters = self.membership.members.len();
        if let Some(stored) =
            self.leases.get(&key).filter(|stored| stored.lease.outcome != LeaseOutcome::Pending)
        {
            let outcome = stored.lease.outcome.clone();
            self.respond(call, CoreResponse::LeaseHeld(outcome), out);
        } else if pending.granted_by.len() >= self.majority() && voters > 0 {
            if pending.granted_by.len() < voters {
                let update = LeaseUpdate::Requested { key, token, time_left_ms: pending.time_left_ms };
                self.retain_lease_update(now, update);
            }
            self.respond(call, CoreResponse::LeaseGranted, out);
        } else if let Some(lease) =
            pending.refused_by.values().flatten().find(|lease| lease.outcome != LeaseOutcome::Pending)
        {
            let lease = lease.clone();
            self.respond(call, CoreResponse::LeaseHeld(lease.outcome.clone()), out);
            let completion = LeaseCompletion { key, token: lease.token, outcome: Some(lease.outcome) };
            self.apply_completion(now, completion, out);
        } else if voters > 0 && voters.saturating_sub(pending.refused_by.len()) < self.majority() {
            let other = pending.refused_by.values().any(Option::is_some);
            if !other {
                self.respond(call, CoreResponse::Unavailable, out);
            } else if now >= pending.wait_until {
                self.respond(call, CoreResponse::LeaseHeld(LeaseOutcome::Pending), out);
            }
        } else if now >= pending.started_at.saturating_add(LEASE_TIMEOUT) {
            self.respond(call, CoreResponse::Unavailable, out);
            if self.breaks(Mutation::ReleaseOnTimeout) {
                let release = LeaseCompletion { key, token, outcome: None };
                self.apply_completion(now, release.clone(), out);
                self.announce_completion(now, release);
            }
        }
    }

    pub(super) fn handle_lease_timer(&mut self, now: Nanos, call: u64, out: &mut Vec<Effect>) {
        let Some(Call::Lease(pending)) = self.pending_calls.get_mut(&call) else { return };
        let deadlines = [pending.wait_until, pending.started_at.saturating_add(LEASE_TIMEOUT)]
            .into_iter()
            .filter(|deadline| *deadline > now);
        pending.timer = deadlines.min().unwrap_or(Nanos::MAX).min(now.saturating_add(RETRY_INTERVAL));
        pending.quorum_only = false;
        self.timers.insert((pending.timer, call));
        self.resolve_lease_call(now, call, out);
        self.request_votes(call, out);
    }

    /// Discards all votes after a change of the membership or of this replica's right to vote, because votes count
    /// only in the epoch in which they were given.
    pub(super) fn restart_lease_calls(&mut self, out: &mut Vec<Effect>) {
        let calls: Vec<u64> = self.calls_by_key.values().flatten().copied().collect();
        for call in calls {
            let keeps_votes = self.breaks(Mutation::CountStaleLeaseVotes);
            if let Some(Call::Lease(pending)) = self.pending_calls.get_mut(&call)
                && !keeps_votes
            {
                pending.granted_by.clear();
                pending.refused_by.clear();
                pending.quorum_only = false;
            }
            self.request_votes(call, out);
        }
    }

    /// Removes and returns the replicas that wait for the outcome of a key's lease.
    fn take_outcome_watchers(&mut self, key: LeaseKey) -> Vec<(LeaseKey, SocketAddr)> {
        let lowest_address = SocketAddr::from(([0, 0, 0, 0], 0));
        let watchers: Vec<_> = self
            .outcome_watchers
            .range((key, lowest_address)..)
            .take_while(|(of, _)| *of == key)
            .copied()
            .collect();
        for watcher in &watchers {
            self.outcome_watchers.remove(watcher);
        }
        watchers
    }

    /// Tells the replicas that were refused by a pending lease what became of it, since calls may wait there.
    fn notify_outcome_watchers(&mut self, key: LeaseKey, token: LeaseToken, outcome: &LeaseOutcome) {
        for watcher in self.take_outcome_watchers(key) {
            let completion = LeaseCompletion { key, token, outcome: Some(outcome.clone()) };
            self.outbox.entry(watcher.1).or_default().completions.push(completion);
        }
    }

    /// Applies what the holder of a lease reports. A report that the request ran proves that nobody else was granted
    /// the lease.
    pub(super) fn apply_completion(
        &mut self,
        now: Nanos,
        completion: LeaseCompletion,
        out: &mut Vec<Effect>,
    ) {
        let LeaseCompletion { key, token, outcome } = completion;
        let stored =
            self.leases.get(&key).map(|stored| (stored.lease.token, outcome_rank(&stored.lease.outcome)));
        let ours = stored.filter(|(holder, _)| {
            *holder == token || (self.breaks(Mutation::ReleaseUnderAnyToken) && outcome.is_none())
        });
        match (outcome, stored) {
            _ if token == NOBODY => {}
            (Some(LeaseOutcome::Pending), _) => {}
            (None, _) if ours.is_some_and(|(_, outcome_rank)| outcome_rank > 0) => {}
            (None, _) => {
                self.release_token(token);
                if ours.is_some() {
                    self.remove_lease(key, out);
                    self.resume_lease_calls(now, key, out);
                }
            }
            (Some(outcome), Some((_, before))) if outcome_rank(&outcome) > before => {
                let time_left_ms = self.leases.get(&key).map_or(0, |stored| stored.lease.time_left_ms);
                self.notify_outcome_watchers(key, token, &outcome);
                self.store_lease(key, Lease { token, time_left_ms, outcome }, out);
                self.resume_lease_calls(now, key, out);
            }
            (Some(outcome), None) if self.leases.len() < self.config.max_leases => {
                self.store_lease(key, Lease { token, time_left_ms: 0, outcome }, out);
                self.resume_lease_calls(now, key, out);
            }
            (Some(_), _) => {}
        }
    }

    /// Takes over a lease from another voter's snapshot. Two different pending leases on one key leave the key to
    /// nobody: either may have been granted, so no third one may be until both are known to be over.
    pub(super) fn merge_lease(&mut self, key: LeaseKey, lease: Lease, out: &mut Vec<Effect>) {
        let is_pending = lease.outcome == LeaseOutcome::Pending;
        if is_pending && self.released_tokens.contains_key(&lease.token) {
            return;
        }
        match self.leases.get(&key).map(|stored| &stored.lease) {
            None => self.store_lease(key, lease, out),
            Some(own) if outcome_rank(&lease.outcome) > outcome_rank(&own.outcome) => {
                self.store_lease(key, lease, out)
            }
            Some(own) if is_pending && own.outcome == LeaseOutcome::Pending && own.token != lease.token => {
                if own.token != NOBODY && !self.breaks(Mutation::KeepFirstOfConflictingLeases) {
                    let time_left_ms = lease.time_left_ms.max(own.time_left_ms);
                    self.store_lease(
                        key,
                        Lease { token: NOBODY, time_left_ms, outcome: LeaseOutcome::Pending },
                        out,
                    );
                }
            }
            Some(_) => {}
        }
    }

    /// Re-evaluates the calls that wait for a key.
    fn resume_lease_calls(&mut self, now: Nanos, key: LeaseKey, out: &mut Vec<Effect>) {
        for call in self.calls_by_key.get(&key).cloned().unwrap_or_default() {
            self.resolve_lease_call(now, call, out);
            if let Some(Call::Lease(pending)) = self.pending_calls.get(&call) {
                let request = LeaseRequest {
                    call: call ^ self.call_id_mask,
                    key,
                    token: pending.token,
                    time_left_ms: pending.time_left_ms,
                };
                self.vote_on_lease(request, self.replica_id, out);
            }
        }
    }

    /// Writes a lease to disk and memory.
    fn store_lease(&mut self, key: LeaseKey, lease: Lease, out: &mut Vec<Effect>) {
        let lease = self.without_oversized_response(lease);
        out.push(Effect::Persist(LogRecord::Lease(key, lease.clone())));
        self.insert_lease(key, lease);
        self.evict_responses(out);
    }

    /// Keeps a lease in memory. It expires `lease_ttl` after its token was first known.
    pub(super) fn insert_lease(&mut self, key: LeaseKey, lease: Lease) {
        let mut expires_at = self.now.saturating_add(self.config.lease_ttl);
        if let Some(stored) = self.leases.get(&key) {
            self.lease_expiry.remove(&(stored.expires_at, key));
            self.response_cache.remove(stored.expires_at, key, &stored.lease.outcome);
            if stored.lease.token == lease.token {
                expires_at = stored.expires_at;
            }
        }
        self.response_cache.insert(expires_at, key, &lease.outcome);
        self.lease_expiry.insert((expires_at, key));
        self.leases.insert(key, StoredLease { lease, expires_at });
    }

    pub(super) fn remove_lease(&mut self, key: LeaseKey, out: &mut Vec<Effect>) {
        self.take_outcome_watchers(key);
        if let Some(stored) = self.leases.remove(&key) {
            self.lease_expiry.remove(&(stored.expires_at, key));
            self.response_cache.remove(stored.expires_at, key, &stored.lease.outcome);
            out.push(Effect::Persist(LogRecord::LeaseReleased(key, stored.lease.token)));
        }
    }

    /// Remembers that a token was released, so that votes for it that arrive late don't take the lease again.
    fn release_token(&mut self, token: LeaseToken) {
        let expires_at = self.now.saturating_add(self.config.lease_ttl);
        if self.released_tokens.insert(token, expires_at).is_none() {
            self.released_order.push_back((expires_at, token));
        }
        if self.released_order.len() > MAX_RELEASED_TOKENS
            && let Some((_, token)) = self.released_order.pop_front()
        {
            self.released_tokens.remove(&token);
        }
    }

    /// Removes all pending leases.
    pub(super) fn drop_pending_leases(&mut self, out: &mut Vec<Effect>) {
        let pending = self.leases.iter().filter(|(_, stored)| stored.lease.outcome == LeaseOutcome::Pending);
        let pending: Vec<LeaseKey> = pending.map(|(key, _)| *key).collect();
        for key in pending {
            self.remove_lease(key, out);
        }
    }

    /// Removes leases and released tokens whose time is over.
    pub(super) fn expire_leases(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        while let Some(&(expires_at, key)) = self.lease_expiry.first() {
            if expires_at > now {
                break;
            }
            self.lease_expiry.remove(&(expires_at, key));
            self.remove_lease(key, out);
        }
        while let Some(&(expires_at, token)) = self.released_order.front() {
            if expires_at > now {
                break;
            }
            self.released_order.pop_front();
            self.released_tokens.remove(&token);
        }
    }
}

impl Core {
    /// How full the response cache is.
    #[must_use]
    pub fn response_cache_usage(&self) -> ResponseCacheUsage {
        ResponseCacheUsage {
            bytes: self.response_cache.bytes,
            max_bytes: self.config.max_response_bytes,
            evicted: self.response_cache.evicted,
        }
    }

    /// Drops a response that exceeds the cache by itself, so that it does not evict all others.
    pub(super) fn without_oversized_response(&mut self, mut lease: Lease) -> Lease {
        if cached_bytes(&lease.outcome) > self.config.max_response_bytes {
            lease.outcome = LeaseOutcome::Indeterminate;
            self.response_cache.evicted += 1;
        }
        lease
    }

    /// Evicts the oldest responses while the cache exceeds its size. Their leases stay as `Indeterminate`.
    pub(super) fn evict_responses(&mut self, out: &mut Vec<Effect>) {
        while self.response_cache.bytes > self.config.max_response_bytes {
            let Some(&(_, key)) = self.response_cache.eviction_order.first() else { return };
            let Some(stored) = self.leases.get(&key) else { return };
            if self.breaks(Mutation::EvictLeaseWithResponse) {
                self.remove_lease(key, out);
                continue;
            }
            let lease = Lease { outcome: LeaseOutcome::Indeterminate, ..stored.lease };
            self.response_cache.evicted += 1;
            out.push(Effect::Persist(LogRecord::Lease(key, lease.clone())));
            self.insert_lease(key, lease);
        }
    }

    /// Retains what the other members were told, within bounds on age, number and bytes.
    pub(super) fn retain_lease_update(&mut self, now: Nanos, update: LeaseUpdate) {
        self.response_cache.lease_update_bytes += update.outcome().map_or(0, cached_bytes);
        self.lease_updates.push_back((now, update));
        let max_bytes = self.config.max_response_bytes / LEASE_UPDATES_DIVISOR;
        while let Some((at, first)) = self.lease_updates.front()
            && (self.lease_updates.len() > MAX_LEASE_UPDATES
                || self.response_cache.lease_update_bytes > max_bytes
                || at.saturating_add(LEASE_UPDATE_RETENTION) < now)
        {
            self.response_cache.lease_update_bytes = self
                .response_cache
                .lease_update_bytes
                .saturating_sub(first.outcome().map_or(0, cached_bytes));
            self.lease_updates.pop_front();
        }
    }
}
