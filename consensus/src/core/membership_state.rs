//! Proposals for the next membership, and the progress of a new member.
//!
//! Main types: `MembershipProposal`, `CatchUp`, `CatchUpProgress`, `SnapshotContent`.
//!
//! Invariants: a source's progress only moves forward.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::core::limits::Nanos;
use crate::messages::{
    AcceptedMembership, AcceptorState, Ballot, LeaseEntry, LeaseKey, Membership, MessageBody, NamedRegister,
    RegisterName, RegisterValue, ReplicaId, SessionEntry,
};

/// A ballot of this replica on the next membership.
#[derive(Clone, Debug)]
pub(super) struct MembershipProposal {
    pub ballot: Ballot,
    /// What is proposed unless a promise reports another accepted membership.
    pub wanted: Membership,
    /// The proposal returns to the previous members, by a majority of these.
    pub rollback: bool,
    pub promises: BTreeMap<ReplicaId, Option<AcceptedMembership>>,
    /// What acceptors are asked to accept, once a quorum has promised.
    pub chosen: Option<Membership>,
    pub acceptances: BTreeSet<ReplicaId>,
    pub deadline: Nanos,
}

/// How much of its snapshot a source has sent to this new member, in the order of sending.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CatchUpProgress {
    /// Leases and sessions from this key on are missing, and all registers.
    Leases(LeaseKey),
    /// Registers from this name on are missing.
    Registers(RegisterName),
    /// Nothing is missing.
    Complete,
}

impl CatchUpProgress {
    /// The request for the next chunk.
    pub fn next_request(&self, catch_up_id: u64) -> Option<MessageBody> {
        let (from_key, from_register) = match self {
            CatchUpProgress::Leases(key) => (*key, None),
            CatchUpProgress::Registers(name) => (LeaseKey::MAX, Some(name.clone())),
            CatchUpProgress::Complete => return None,
        };
        Some(MessageBody::FetchSnapshot { from_key, catch_up_id, from_register })
    }
}

/// What this new member has received so far.
#[derive(Clone, Debug)]
pub(super) struct CatchUp {
    pub id: u64,
    /// How much each source has sent.
    pub sources: BTreeMap<ReplicaId, CatchUpProgress>,
    pub next_request: Nanos,
    /// From then on replicas that left the membership are asked too: their snapshot is complete, but may be outdated.
    pub ask_all_after: Nanos,
}

/// The content of one chunk of a snapshot.
pub(super) struct SnapshotContent {
    pub catch_up_id: u64,
    pub leases: Vec<LeaseEntry>,
    pub sessions: Vec<SessionEntry>,
    pub configuration: Option<Arc<RegisterValue>>,
    pub registers: Vec<NamedRegister>,
    /// What the sender accepted for versions that are not decided yet.
    pub acceptors: Vec<AcceptorState>,
    /// The key from which on leases and sessions are still to be sent.
    pub next_key: Option<LeaseKey>,
    /// The name from which on registers are still to be sent.
    pub next_register: Option<RegisterName>,
}
