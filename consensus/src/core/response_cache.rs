//! Accounting for the responses that are stored in leases. The response whose lease expires first is evicted first.
//!
//! Main types: `ResponseCache`.
//!
//! Invariants:
//! - Eviction removes only the response. The lease stays as `Indeterminate`, so that its request does not run again.

use std::collections::BTreeSet;

use crate::core::limits::Nanos;
use crate::core::outbox::payload_bytes;
use crate::messages::{LeaseKey, LeaseOutcome};

/// Memory that a response takes in addition to its payload.
pub(super) const RESPONSE_OVERHEAD_BYTES: usize = 160;

/// Memory that a header takes in addition to its name and value.
pub(super) const HEADER_OVERHEAD_BYTES: usize = 64;

/// Responses in retained lease updates may take `1 / LEASE_UPDATES_DIVISOR` of the cache's size.
pub(super) const LEASE_UPDATES_DIVISOR: usize = 8;

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
    pub bytes: usize,
    /// Keys of leases with a response, by the time at which they expire.
    pub eviction_order: BTreeSet<(Nanos, LeaseKey)>,
    pub evicted: u64,
    pub lease_update_bytes: usize,
}

/// The bytes of memory that an outcome is accounted for.
pub(super) fn cached_bytes(outcome: &LeaseOutcome) -> usize {
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
