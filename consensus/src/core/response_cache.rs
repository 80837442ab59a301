//! The size of the responses that are kept in leases, and which of them are evicted: the one whose lease expires
//! first.
//!
//! Main types: `ResponseCache`.
//!
//! Invariants:
//! - Eviction removes only the response. The lease stays as `Indeterminate`, so that its request does not run again.

use std::collections::BTreeSet;

use crate::core::leases::{LEASE_UPDATE_RETENTION, LeaseUpdate, MAX_LEASE_UPDATES};
use crate::core::mutation::Mutation;
use crate::core::{Core, Nanos, payload_bytes};
use crate::messages::{Effect, Lease, LeaseKey, LeaseOutcome, LogRecord};

/// Memory that a response takes beside its bytes, and that each of its headers takes beside its own.
const RESPONSE_OVERHEAD_BYTES: usize = 160;
const HEADER_OVERHEAD_BYTES: usize = 64;
/// Responses in retained lease updates may take this fraction of the cache's size.
const LEASE_UPDATES_DIVISOR: usize = 8;

/// How full the response cache is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseCacheUsage {
    /// Bytes that the responses take.
    pub bytes: usize,
    /// Bytes that they may take.
    pub max_bytes: usize,
    /// Responses that were evicted since the start.
    pub evicted: u64,
}

/// Accounts for the responses that are kept in leases.
#[derive(Clone, Debug, Default)]
pub(super) struct ResponseCache {
    bytes: usize,
    /// Keys of leases with a response, by the time at which they expire.
    eviction_order: BTreeSet<(Nanos, LeaseKey)>,
    evicted: u64,
    lease_update_bytes: usize,
}

/// The bytes of memory for which an outcome counts.
fn cached_bytes(outcome: &LeaseOutcome) -> usize {
    match outcome {
        LeaseOutcome::Pending | LeaseOutcome::Indeterminate => 0,
        LeaseOutcome::Completed(response) => {
            payload_bytes(outcome) + RESPONSE_OVERHEAD_BYTES + HEADER_OVERHEAD_BYTES * response.headers.len()
        }
    }
}

impl ResponseCache {
    pub fn insert(&mut self, expires_at: Nanos, key: LeaseKey, outcome: &LeaseOutcome) {
        if cached_bytes(outcome) > 0 {
            self.bytes += cached_bytes(outcome);
            self.eviction_order.insert((expires_at, key));
        }
    }

    pub fn remove(&mut self, expires_at: Nanos, key: LeaseKey, outcome: &LeaseOutcome) {
        if cached_bytes(outcome) > 0 {
            self.bytes = self.bytes.saturating_sub(cached_bytes(outcome));
            self.eviction_order.remove(&(expires_at, key));
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
