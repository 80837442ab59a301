//! Leases on idempotency keys, and the responses that are kept in them.
//!
//! Main types: `Lease`, `LeaseOutcome`, `LeaseVote`, `LeaseRequest`, `LeaseCompletion`.
//!
//! Invariants: tags on disk and on the wire stay as `serde(rename)` gives them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What a lease is taken on: the hashed idempotency key of a request.
pub type LeaseKey = u128;

/// Identifies one lease on a key, and fences its holder. Drawn at random for each request and never used again after it
/// was released. 0 stands for no holder: a replica stores it for a key if two others reported different pending leases.
pub type LeaseToken = u64;

/// The response of the only run of a request, kept to answer repeated requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// The HTTP status code.
    pub status: u16,
    /// Names and values as the upstream sent them, without hop-by-hop fields.
    pub headers: Vec<(String, String)>,
    /// The body, complete and as the upstream sent it.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// The outcome of the request under a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseOutcome {
    /// The holder may have forwarded the request; nothing more is known.
    #[serde(rename = "Open")]
    Pending,
    /// The request may have run, and its response will never be known.
    #[serde(rename = "Unknown")]
    Indeterminate,
    /// The request ran and was answered by this response.
    #[serde(rename = "Done")]
    Completed(Arc<StoredResponse>),
}

/// The right to run the request of a key, as a replica stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The token that holds the lease.
    pub token: LeaseToken,
    /// Milliseconds that the request had left when the lease was requested.
    #[serde(rename = "left_ms")]
    pub time_left_ms: u32,
    /// The known outcome of the request.
    pub outcome: LeaseOutcome,
}

/// A replica's vote on a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseVote {
    /// The sender stores the lease under this token, on disk.
    #[serde(rename = "Yes")]
    Granted,
    /// Another token holds the lease.
    #[serde(rename = "No")]
    Held(Lease),
    /// The token was released, and must never be used again.
    #[serde(rename = "Freed")]
    TokenReleased,
}

/// A request for votes on a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, LeaseKey, LeaseToken, u32)", into = "(u64, LeaseKey, LeaseToken, u32)")]
pub struct LeaseRequest {
    /// The number of the call, which is returned with the vote.
    pub call: u64,
    /// The key that the lease is taken on.
    pub key: LeaseKey,
    /// The token that is to hold the lease.
    pub token: LeaseToken,
    /// Milliseconds that the request had left when the lease was requested.
    pub time_left_ms: u32,
}

encoded_as_tuple!(LeaseRequest { call: u64, key: LeaseKey, token: LeaseToken, time_left_ms: u32 });

/// A vote on a lease, with the number of the call that asked for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, LeaseVote)", into = "(u64, LeaseVote)")]
pub struct LeaseVoteReply {
    /// The number of the call.
    pub call: u64,
    /// The vote.
    pub vote: LeaseVote,
}

encoded_as_tuple!(LeaseVoteReply { call: u64, vote: LeaseVote });

/// A report of the holder on the outcome of the request under a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "(LeaseKey, LeaseToken, Option<LeaseOutcome>)",
    into = "(LeaseKey, LeaseToken, Option<LeaseOutcome>)"
)]
pub struct LeaseCompletion {
    /// The key that the lease was taken on.
    pub key: LeaseKey,
    /// The token that held the lease.
    pub token: LeaseToken,
    /// `None` releases the lease: the request has not run.
    pub outcome: Option<LeaseOutcome>,
}

encoded_as_tuple!(LeaseCompletion { key: LeaseKey, token: LeaseToken, outcome: Option<LeaseOutcome> });

/// A lease with its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(LeaseKey, Lease)", into = "(LeaseKey, Lease)")]
pub struct LeaseEntry {
    /// The key that the lease is taken on.
    pub key: LeaseKey,
    /// The lease.
    pub lease: Lease,
}

encoded_as_tuple!(LeaseEntry { key: LeaseKey, lease: Lease });
