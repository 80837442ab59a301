//! Which replica a duty for a key falls to.

use std::net::SocketAddr;

/// Where a replica stands for a key: the duty falls to the one with the lowest place. Alike in every process.
pub fn place(at: SocketAddr, key: u128) -> u64 {
    xxhash_rust::xxh3::xxh3_64(format!("{at} {key:x}").as_bytes())
}
