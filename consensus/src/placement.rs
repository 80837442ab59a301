//! Placement of keys on replicas. All processes compute the same order of replicas without communicating.

use std::net::SocketAddr;

/// The rank of a replica for a key: the replica with the lowest rank is nearest. It is the same in every process.
pub fn placement_rank(address: SocketAddr, key: u128) -> u64 {
    xxhash_rust::xxh3::xxh3_64(format!("{address} {key:x}").as_bytes())
}
