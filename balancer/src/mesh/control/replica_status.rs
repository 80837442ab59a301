//! The status of the core, read in the event loop for an operator's call.
//!
//! Main type: [`ReplicaStatus`].
//!
//! Invariants: all fields are read at the same time.

use ochreshed::Nanos;
use ochreshed_consensus::core::{
    Core, LeaseCounts, PeerStatus, ResponseCacheUsage, SessionCounts, TombstoneCounts,
};
use ochreshed_consensus::messages::{Lease, LeaseKey, Revision};

/// A lease as stored by the replica.
#[derive(Clone, Debug)]
pub struct StoredLease {
    pub lease: Lease,
    /// The time since the replica first stored it.
    pub age: Nanos,
}

/// The status of the core.
#[derive(Clone, Debug, Default)]
pub struct ReplicaStatus {
    pub epoch: u64,
    pub has_quorum: bool,
    /// The newest configuration known to be committed.
    pub committed_configuration: Option<Revision>,
    /// All known replicas, including this one.
    pub replicas: Vec<PeerStatus>,
    pub lease_counts: LeaseCounts,
    pub response_cache: ResponseCacheUsage,
    pub oldest_pending_lease_age: Option<Nanos>,
    /// Outcomes and releases that a majority is not known to store yet.
    pub pending_quorum_writes: usize,
    pub oldest_quorum_write_age: Option<Nanos>,
    pub sessions: SessionCounts,
    pub tombstones: TombstoneCounts,
    /// The lease on the requested key.
    pub lease: Option<StoredLease>,
}

impl ReplicaStatus {
    /// Reads the status, with the lease on `key` if one is given.
    #[must_use]
    pub fn read(core: &Core, now: Nanos, key: Option<LeaseKey>) -> ReplicaStatus {
        ReplicaStatus {
            epoch: core.membership().epoch,
            has_quorum: core.has_quorum(now),
            committed_configuration: core.committed_configuration().map(|value| value.revision()),
            replicas: core.peer_statuses(now),
            lease_counts: core.lease_counts(),
            response_cache: core.response_cache_usage(),
            oldest_pending_lease_age: core.oldest_pending_lease_age(),
            pending_quorum_writes: core.pending_quorum_writes(),
            oldest_quorum_write_age: core.oldest_quorum_write_age(),
            sessions: core.session_counts(),
            tombstones: core.tombstone_counts(),
            lease: key.and_then(|key| stored_lease(core, key)),
        }
    }
}

fn stored_lease(core: &Core, key: LeaseKey) -> Option<StoredLease> {
    Some(StoredLease { lease: core.lease(key)?.clone(), age: core.lease_age(key)? })
}
