//! The leases that this replica stores, released tokens, and replicas that wait for an outcome.
//!
//! Main types: `LeaseTable` holds a `StoredLease` for each key; `LeaseUpdate`, `LeaseCounts`.
//!
//! Invariants: an outcome is only replaced by one of a higher rank.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use crate::core::limits::{MS, Nanos};
use crate::core::response_cache::{LEASE_UPDATES_DIVISOR, ResponseCache, ResponseCacheUsage, cached_bytes};
use crate::messages::{Effect, Lease, LeaseCompletion, LeaseKey, LeaseOutcome, LeaseToken, LogRecord};

/// A lease with the time at which it expires.
#[derive(Clone, Debug)]
struct StoredLease {
    lease: Lease,
    expires_at: Nanos,
}

/// An update on a lease that was sent to the other members, kept to resend it to peers that missed it.
#[derive(Clone, Debug)]
pub(super) enum LeaseUpdate {
    Requested { key: LeaseKey, token: LeaseToken, time_left_ms: u32 },
    Completed(LeaseCompletion),
}

impl LeaseUpdate {
    pub fn outcome(&self) -> Option<&LeaseOutcome> {
        if let LeaseUpdate::Completed(completion) = self { completion.outcome.as_ref() } else { None }
    }
}

/// How many leases a replica stores, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseCounts {
    /// Leases whose request may be running.
    pub pending: usize,
    /// Leases whose request may have run, and whose response is not known.
    pub indeterminate: usize,
    /// Leases whose request ran, with its response.
    pub completed: usize,
}

/// Outcomes with a higher rank replace those with a lower one.
pub(super) fn outcome_rank(outcome: &LeaseOutcome) -> u8 {
    match outcome {
        LeaseOutcome::Pending => 0,
        LeaseOutcome::Indeterminate => 1,
        LeaseOutcome::Completed(_) => 2,
    }
}

/// How long lease updates are kept for peers that may have missed them.
pub(super) const LEASE_UPDATE_RETENTION: Nanos = 20_000 * MS;

/// How many lease updates are kept at most.
const MAX_LEASE_UPDATES: usize = 4096;

/// How many released tokens are kept; the oldest are dropped first.
const MAX_RELEASED_TOKENS: usize = 20_000;

/// How many released tokens of a key another replica is told of at a time.
const MAX_REPORTED_RELEASES: usize = 32;

/// How many replicas may be registered to receive the outcomes of pending leases.
const MAX_OUTCOME_WATCHERS: usize = 4_096;

/// A token that was released, and when that is forgotten.
#[derive(Clone, Copy, Debug)]
struct ReleasedToken {
    expires_at: Nanos,
    key: LeaseKey,
    token: LeaseToken,
}

/// All leases that this replica stores, released tokens, and the replicas that wait for an outcome.
#[derive(Clone, Debug)]
pub(super) struct LeaseTable {
    ttl: Nanos,
    max_response_bytes: usize,
    /// Evicts leases together with their responses, which breaks a rule; in tests only.
    pub evicts_leases: bool,
    leases: BTreeMap<LeaseKey, StoredLease>,
    response_cache: ResponseCache,
    expiry: BTreeSet<(Nanos, LeaseKey)>,
    released_tokens: BTreeSet<LeaseToken>,
    released_by_key: BTreeSet<(LeaseKey, LeaseToken)>,
    /// Released tokens in the order in which they expire.
    released_order: VecDeque<ReleasedToken>,
    /// Replicas whose lease request was refused because of a pending lease; its outcome is sent to them.
    outcome_watchers: BTreeSet<(LeaseKey, SocketAddr)>,
    updates: VecDeque<(Nanos, LeaseUpdate)>,
}

impl LeaseTable {
    /// An empty table. Leases are kept for `ttl`, and their responses within `max_response_bytes`.
    pub fn new(ttl: Nanos, max_response_bytes: usize) -> LeaseTable {
        LeaseTable {
            ttl,
            max_response_bytes,
            evicts_leases: false,
            leases: BTreeMap::new(),
            response_cache: ResponseCache::default(),
            expiry: BTreeSet::new(),
            released_tokens: BTreeSet::new(),
            released_by_key: BTreeSet::new(),
            released_order: VecDeque::new(),
            outcome_watchers: BTreeSet::new(),
            updates: VecDeque::new(),
        }
    }

    /// How many leases are stored.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// The lease of a key.
    pub fn get(&self, key: LeaseKey) -> Option<&Lease> {
        self.leases.get(&key).map(|stored| &stored.lease)
    }

    /// Leases from a key on, in the order of keys.
    pub fn iter_from(&self, key: LeaseKey) -> impl Iterator<Item = (LeaseKey, &Lease)> {
        self.leases.range(key..).map(|(key, stored)| (*key, &stored.lease))
    }

    /// Counts the leases by outcome.
    pub fn counts(&self) -> LeaseCounts {
        let mut count = [0; 3];
        for stored in self.leases.values() {
            if let Some(count) = count.get_mut(outcome_rank(&stored.lease.outcome) as usize) {
                *count += 1;
            }
        }
        LeaseCounts { pending: count[0], indeterminate: count[1], completed: count[2] }
    }

    /// How full the response cache is.
    pub fn response_cache_usage(&self) -> ResponseCacheUsage {
        ResponseCacheUsage {
            bytes: self.response_cache.bytes,
            max_bytes: self.max_response_bytes,
            evicted: self.response_cache.evicted,
        }
    }

    /// How long the lease of a key has been known.
    pub fn age(&self, now: Nanos, key: LeaseKey) -> Option<Nanos> {
        self.leases.get(&key).map(|stored| self.age_of(now, stored))
    }

    /// The age of the pending lease that has been known for longest.
    pub fn oldest_pending_age(&self, now: Nanos) -> Option<Nanos> {
        let pending = self.leases.values().filter(|stored| stored.lease.outcome == LeaseOutcome::Pending);
        pending.map(|stored| self.age_of(now, stored)).max()
    }

    fn age_of(&self, now: Nanos, stored: &StoredLease) -> Nanos {
        now.saturating_add(self.ttl).saturating_sub(stored.expires_at)
    }

    /// Writes a lease to disk and memory.
    pub fn store(&mut self, now: Nanos, key: LeaseKey, lease: Lease, out: &mut Vec<Effect>) {
        let lease = self.without_oversized_response(lease);
        out.push(Effect::Persist(LogRecord::Lease(key, lease.clone())));
        self.insert(now, key, lease);
        self.evict_responses(now, out);
    }

    /// Keeps a lease in memory. It expires one `ttl` after its token was first known.
    pub fn insert(&mut self, now: Nanos, key: LeaseKey, lease: Lease) {
        let mut expires_at = now.saturating_add(self.ttl);
        if let Some(stored) = self.leases.get(&key) {
            self.expiry.remove(&(stored.expires_at, key));
            self.response_cache.remove(stored.expires_at, key, &stored.lease.outcome);
            if stored.lease.token == lease.token {
                expires_at = stored.expires_at;
            }
        }
        self.response_cache.insert(expires_at, key, &lease.outcome);
        self.expiry.insert((expires_at, key));
        self.leases.insert(key, StoredLease { lease, expires_at });
    }

    /// Removes the lease of a key from disk and memory.
    pub fn remove(&mut self, key: LeaseKey, out: &mut Vec<Effect>) {
        self.take_outcome_watchers(key);
        if let Some(stored) = self.leases.remove(&key) {
            self.expiry.remove(&(stored.expires_at, key));
            self.response_cache.remove(stored.expires_at, key, &stored.lease.outcome);
            out.push(Effect::Persist(LogRecord::LeaseReleased(key, stored.lease.token)));
        }
    }

    /// Removes all pending leases.
    pub fn remove_pending(&mut self, out: &mut Vec<Effect>) {
        let pending = self.leases.iter().filter(|(_, stored)| stored.lease.outcome == LeaseOutcome::Pending);
        let pending: Vec<LeaseKey> = pending.map(|(key, _)| *key).collect();
        for key in pending {
            self.remove(key, out);
        }
    }

    /// Removes leases and released tokens whose TTL has passed.
    pub fn expire(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        while let Some(&(expires_at, key)) = self.expiry.first() {
            if expires_at > now {
                break;
            }
            self.expiry.remove(&(expires_at, key));
            self.remove(key, out);
        }
        while self.released_order.front().is_some_and(|released| released.expires_at <= now) {
            self.forget_oldest_released_token();
        }
    }

    /// Whether a token was released.
    pub fn is_released(&self, token: LeaseToken) -> bool {
        self.released_tokens.contains(&token)
    }

    /// Tokens that were released on a key, at most [`MAX_REPORTED_RELEASES`].
    pub fn released_tokens_of(&self, key: LeaseKey) -> Vec<LeaseToken> {
        let of_key = self.released_by_key.range((key, LeaseToken::MIN)..=(key, LeaseToken::MAX));
        of_key.map(|(_, token)| *token).take(MAX_REPORTED_RELEASES).collect()
    }

    /// Records that a token was released, so that a late vote request does not grant it the lease again.
    pub fn release_token(&mut self, now: Nanos, key: LeaseKey, token: LeaseToken) {
        if self.released_tokens.insert(token) {
            self.released_by_key.insert((key, token));
            let expires_at = now.saturating_add(self.ttl);
            self.released_order.push_back(ReleasedToken { expires_at, key, token });
        }
        if self.released_order.len() > MAX_RELEASED_TOKENS {
            self.forget_oldest_released_token();
        }
    }

    fn forget_oldest_released_token(&mut self) {
        if let Some(ReleasedToken { key, token, .. }) = self.released_order.pop_front() {
            self.released_tokens.remove(&token);
            self.released_by_key.remove(&(key, token));
        }
    }

    /// Records that a replica waits for the outcome of a key's lease.
    pub fn add_outcome_watcher(&mut self, key: LeaseKey, address: SocketAddr) {
        if self.outcome_watchers.len() < MAX_OUTCOME_WATCHERS {
            self.outcome_watchers.insert((key, address));
        }
    }

    /// Removes and returns the replicas that wait for the outcome of a key's lease.
    pub fn take_outcome_watchers(&mut self, key: LeaseKey) -> Vec<SocketAddr> {
        let lowest_address = SocketAddr::from(([0, 0, 0, 0], 0));
        let watchers: Vec<(LeaseKey, SocketAddr)> = self
            .outcome_watchers
            .range((key, lowest_address)..)
            .take_while(|(watched_key, _)| *watched_key == key)
            .copied()
            .collect();
        for watcher in &watchers {
            self.outcome_watchers.remove(watcher);
        }
        watchers.into_iter().map(|(_, address)| address).collect()
    }

    /// Drops a response that is larger than the whole cache, so that it does not evict all others.
    fn without_oversized_response(&mut self, mut lease: Lease) -> Lease {
        if cached_bytes(&lease.outcome) > self.max_response_bytes {
            lease.outcome = LeaseOutcome::Indeterminate;
            self.response_cache.evicted += 1;
        }
        lease
    }

    /// Evicts the oldest responses while the cache exceeds its size. Their leases stay as `Indeterminate`.
    pub fn evict_responses(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        while self.response_cache.bytes > self.max_response_bytes {
            let Some(&(_, key)) = self.response_cache.eviction_order.first() else { return };
            let Some(stored) = self.leases.get(&key) else { return };
            if self.evicts_leases {
                self.remove(key, out);
                continue;
            }
            let lease = Lease { outcome: LeaseOutcome::Indeterminate, ..stored.lease };
            self.response_cache.evicted += 1;
            out.push(Effect::Persist(LogRecord::Lease(key, lease.clone())));
            self.insert(now, key, lease);
        }
    }

    /// The retained updates with the times at which they were sent, oldest first.
    pub fn updates(&self) -> impl Iterator<Item = &(Nanos, LeaseUpdate)> {
        self.updates.iter()
    }

    /// Retains an update that was sent to the other members, within bounds on age, number and bytes.
    pub fn retain_update(&mut self, now: Nanos, update: LeaseUpdate) {
        self.response_cache.lease_update_bytes += update.outcome().map_or(0, cached_bytes);
        self.updates.push_back((now, update));
        let max_bytes = self.max_response_bytes / LEASE_UPDATES_DIVISOR;
        while let Some((at, first)) = self.updates.front()
            && (self.updates.len() > MAX_LEASE_UPDATES
                || self.response_cache.lease_update_bytes > max_bytes
                || at.saturating_add(LEASE_UPDATE_RETENTION) < now)
        {
            self.response_cache.lease_update_bytes = self
                .response_cache
                .lease_update_bytes
                .saturating_sub(first.outcome().map_or(0, cached_bytes));
            self.updates.pop_front();
        }
    }
}
