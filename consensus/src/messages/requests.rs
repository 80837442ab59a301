//! Requests of proxies and operators to the core, and its responses.
//!
//! Main types: `CoreRequest`, `CoreResponse`.
//!
//! Invariants: tags on the wire stay as `serde(rename)` gives them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::leases::{LeaseKey, LeaseOutcome, LeaseToken};
use super::registers::{NamedRegister, RegisterName, RegisterValue};
use super::sessions::{CommittedSession, SessionId, SessionRequest};
use super::tombstones::TombstoneId;

/// A request of a proxy or an operator to the replicated core.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CoreRequest {
    /// Requests the right to run the request of a key. Answered by `LeaseGranted`, or `LeaseHeld` with the outcome of
    /// the lease that was granted first.
    #[serde(rename = "Claim")]
    AcquireLease {
        /// The hashed idempotency key.
        key: LeaseKey,
        /// Identifies this lease; drawn at random for the request.
        token: LeaseToken,
        /// Milliseconds that the request has left.
        #[serde(rename = "left_ms")]
        time_left_ms: u32,
    },
    /// The holder reports the outcome. `None` releases the lease: the request has not run and never will under this
    /// token; sent after `LeaseHeld` and `Unavailable` as well. Any other outcome is taken as proof that the lease was
    /// granted.
    #[serde(rename = "Settle")]
    CompleteLease {
        /// The hashed idempotency key.
        key: LeaseKey,
        /// Identifies this lease; drawn at random for the request.
        token: LeaseToken,
        /// The outcome of the request.
        outcome: Option<LeaseOutcome>,
    },
    /// Replaces the configuration by one that was parsed and validated.
    #[serde(rename = "Replace")]
    ReplaceConfiguration(Arc<RegisterValue>),
    /// Reads the newest committed configuration. Answered by `Register`, or `Unavailable` without a quorum.
    #[serde(rename = "Read")]
    ReadConfiguration,
    /// Replaces a register by a document that was parsed and validated. Answered by `CapacityExceeded` if the document
    /// is too long or there are too many.
    #[serde(rename = "Paper")]
    ReplaceRegister(NamedRegister),
    /// Reads the newest committed value of a register. Answered like `ReadConfiguration`.
    #[serde(rename = "ReadPaper")]
    ReadRegister(RegisterName),
    /// Changes or reads a session. Answered by `Session`, or `Unavailable` without a quorum.
    Session(SessionId, SessionRequest),
    /// Stores a tombstone. Answered by `Accepted` once a majority stores it.
    StoreTombstone(TombstoneId),
    /// Asks whether a tombstone was acknowledged. Answered by `Tombstone`, or `Unavailable` without a quorum.
    FindTombstone(TombstoneId),
}

/// The core's answer to a `CoreRequest`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CoreResponse {
    /// A quorum stores the lease on disk: no other token can be granted it.
    #[serde(rename = "Granted")]
    LeaseGranted,
    /// Another token holds the lease; `Pending` if its outcome was not known in time.
    #[serde(rename = "Held")]
    LeaseHeld(LeaseOutcome),
    /// A majority stores the outcome or the tombstone, or the value was committed.
    #[serde(rename = "Taken")]
    Accepted,
    /// The newest committed value of a register.
    #[serde(rename = "Newest")]
    Register(Option<Arc<RegisterValue>>),
    /// Other content was decided for that version; this content never takes effect.
    Conflict,
    /// The document exceeds the limits. It was not stored here; another replica may store it if it was sent there.
    #[serde(rename = "Full")]
    CapacityExceeded,
    /// The committed state of a session; `None` if the session has none.
    Session(Option<CommittedSession>),
    /// Whether the tombstone exists.
    Tombstone(bool),
    /// No quorum answered in time. A lease may or may not be held under the token.
    #[serde(rename = "Unsure")]
    Unavailable,
}
