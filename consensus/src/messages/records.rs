//! The records that a replica keeps on disk.
//!
//! Main types: `LogRecord`, `PersistedState`.
//!
//! Invariants: tags on disk stay as `serde(rename)` gives them, because disks of earlier versions hold them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::leases::{Lease, LeaseEntry, LeaseKey, LeaseToken};
use super::membership::MembershipBallotState;
use super::registers::{AcceptorState, NamedRegister, RegisterValue};
use super::sessions::{SessionEntry, SessionId, SessionRecord};
use super::tombstones::TombstoneId;

/// A record of the replica's log. Records take effect in the order in which they are written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogRecord {
    /// The replica's state as an acceptor of the next membership.
    #[serde(rename = "Ballots")]
    MembershipBallot(MembershipBallotState),
    /// A configuration that was decided for its version.
    #[serde(rename = "Sheet")]
    Configuration(Arc<RegisterValue>),
    /// The current state of a key's lease.
    #[serde(rename = "Claim")]
    Lease(LeaseKey, Lease),
    /// The key's lease is removed if it still has this token.
    #[serde(rename = "Free")]
    LeaseReleased(LeaseKey, LeaseToken),
    /// A register's value that was decided for its version.
    #[serde(rename = "Paper")]
    Register(NamedRegister),
    /// The current state of a session.
    Session(SessionId, SessionRecord),
    /// The session is removed.
    #[serde(rename = "SessionOver")]
    SessionEnded(SessionId),
    /// The acceptor states of all undecided versions of registers; replaces the previous record.
    #[serde(rename = "VersionBallots")]
    RegisterAcceptors(Vec<AcceptorState>),
    /// A tombstone.
    Tombstone(TombstoneId),
    /// The tombstone is removed.
    TombstoneExpired(TombstoneId),
}

/// The state that a replica's disk held when the replica started.
#[derive(Clone, Debug, Default)]
pub struct PersistedState {
    /// The state as an acceptor of the next membership; `None` on an empty disk.
    pub membership_ballot: Option<MembershipBallotState>,
    /// Acceptor states of undecided versions. Some may be of versions that were stored since.
    pub acceptors: Vec<AcceptorState>,
    /// The stored configuration with the highest version.
    pub configuration: Option<Arc<RegisterValue>>,
    /// All leases, in any order.
    pub leases: Vec<LeaseEntry>,
    /// The highest version of each register.
    pub registers: Vec<NamedRegister>,
    /// All sessions, in any order.
    pub sessions: Vec<SessionEntry>,
    /// All tombstones, in any order.
    pub tombstones: Vec<TombstoneId>,
}
