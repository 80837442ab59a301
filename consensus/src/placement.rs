//! Which replica is nearest to a key, so that all processes pick the same one without talking to each other.

use std::net::SocketAddr;

/// The rank of a replica for a key: the replica with the lowest rank is nearest. It is the same in every process.
pub fn place(at: SocketAddr, key: u128) -> u64 {
    xxhash_rust::xxh3::xxh3_64(format!("{at} {key:x}").as_bytes())
}
