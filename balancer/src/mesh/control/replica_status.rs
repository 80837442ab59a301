//! The core's own account of itself, taken in the event loop for one call of an operator.
//!
//! Main type: [`ReplicaStatus`].
//!
//! Invariants: all fields are of the same moment.

use ochreshed::Nanos;
use ochreshed_consensus::core::{Core, LeaseCounts, PeerStatus, ResponseCacheUsage, SessionCounts};
use ochreshed_consensus::messages::{Lease, LeaseKey, Revision};

/// A lease as the replica stores it.
#[derive(Clone, Debug)]
pub struct StoredLease {
    pub lease: Lease,
    /// How long it has been known here.
    pub age: Nanos,
}

/// What the core knows at one moment.
#[derive(Clone, Debug, Default)]
pub struct ReplicaStatus {
    pub epoch: u64,
    pub has_quorum: bool,
    /// The newest configuration that is known to be committed.
    pub committed_configuration: Option<Revision>,
    /// All replicas that are known, this one among them.
    pub replicas: Vec<PeerStatus>,
    pub lease_counts: LeaseCounts,
    pub response_cache: ResponseCacheUsage,
    pub oldest_pending_lease_age: Option<Nanos>,
    pub sessions: SessionCounts,
    /// The lease on the key that was asked for.
    pub lease: Option<StoredLease>,
}

impl ReplicaStatus {
    /// Reads the status, with the lease on `key` if there is one.
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
            sessions: core.session_counts(),
            lease: key.and_then(|key| stored_lease(core, key)),
        }
    }
}

fn stored_lease(core: &Core, key: LeaseKey) -> Option<StoredLease> {
    Some(StoredLease { lease: core.lease(key)?.clone(), age: core.lease_age(key)? })
}
