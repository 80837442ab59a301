//! Tombstones: marks of things that have ended and must not come back, such as an incarnation of an upstream. They are
//! stored by quorum writes and found by asking a majority.
//!
//! Main types: `TombstoneId`, `TombstoneQuery`, `TombstoneReply`.

use serde::{Deserialize, Serialize};

/// What a tombstone marks: a hash of its name, which the caller chooses.
pub type TombstoneId = u128;

/// Asks whether the receiver stores a tombstone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, TombstoneId)", into = "(u64, TombstoneId)")]
pub struct TombstoneQuery {
    /// The number of the call, which is returned with the reply.
    pub call: u64,
    /// The tombstone.
    pub id: TombstoneId,
}

encoded_as_tuple!(TombstoneQuery { call: u64, id: TombstoneId });

/// A voter's reply to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, bool)", into = "(u64, bool)")]
pub struct TombstoneReply {
    /// The number of the call.
    pub call: u64,
    /// Whether the sender stores the tombstone.
    pub exists: bool,
}

encoded_as_tuple!(TombstoneReply { call: u64, exists: bool });
