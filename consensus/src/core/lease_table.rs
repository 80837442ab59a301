//! Leases as this replica stores them, and what it remembers beside them.
//!
//! Main types: `StoredLease`, `LeaseUpdate`, `LeaseCounts`.
//!
//! Invariants: an outcome is only replaced by one of a higher rank.

use crate::core::limits::{MS, Nanos};
use crate::messages::{Lease, LeaseCompletion, LeaseKey, LeaseOutcome, LeaseToken};

/// A lease with the time at which it expires.
#[derive(Clone, Debug)]
pub(super) struct StoredLease {
    pub lease: Lease,
    pub expires_at: Nanos,
}

/// What the other members were told about a lease, to be sent again to peers that missed it.
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
    /// Leases whose request may have run, with a response that is not known.
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
pub(super) const MAX_LEASE_UPDATES: usize = 4096;
