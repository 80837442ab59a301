//! Settings of a replica, and the options of its start.
//!
//! Main types: `Config`, `StartOptions`.
//!
//! Invariants: all replicas of a cluster have the same settings, except for the zone.

use std::net::SocketAddr;

use crate::core::limits::Nanos;
use crate::messages::PersistedState;

/// Settings of one replica. All replicas should have the same, except for the zone.
#[derive(Clone, Debug)]
pub struct Config {
    /// How long a lease is kept after a replica first stored it. A request that is repeated later runs again.
    pub lease_ttl: Nanos,
    /// A member that was silent for this long may be replaced by another replica.
    pub member_timeout: Nanos,
    /// How many members there should be. Even numbers tolerate no more failures than the odd number below.
    pub target_members: usize,
    /// How many leases a replica stores; it refuses further ones. Sessions are bounded by the same number.
    pub max_leases: usize,
    /// The size of the response cache in bytes. When it is exceeded, the oldest responses are evicted and their
    /// leases stay as `Indeterminate`.
    pub max_response_bytes: usize,
    /// How many whole zones may be lost at once without losing the quorum, where enough replicas are reachable to
    /// arrange for that. 0 ignores zones.
    pub tolerated_zone_losses: usize,
    /// The zone of this replica; empty if unknown.
    pub zone: String,
}

/// The options of a replica's start.
#[derive(Debug)]
pub struct StartOptions<'a> {
    /// The time of the start.
    pub now: Nanos,
    /// The seed of the replica's random numbers. It has to differ between replicas and between starts.
    pub seed: u64,
    /// The address at which other replicas reach this one.
    pub address: SocketAddr,
    /// No replica of this cluster has ever run.
    pub first_start: bool,
    /// The addresses of the first members. They receive heartbeats even before they were heard.
    pub seeds: &'a [SocketAddr],
    /// The state that the disk held.
    pub saved: PersistedState,
    /// Settings.
    pub config: Config,
}
