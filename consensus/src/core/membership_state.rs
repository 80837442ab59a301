//! Whether this replica votes, its promises, its proposals for the next membership, and the progress of a new member.
//!
//! Main types: `VotingState`, `MembershipProposal`, `CatchUp`, `CatchUpProgress`, `SnapshotContent`.
//!
//! Invariants:
//! - The epoch only increases, and promises and accepted memberships belong to the current epoch.
//! - A source's progress only moves forward.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::core::limits::Nanos;
use crate::messages::{
    AcceptedMembership, AcceptorState, Ballot, LeaseEntry, LeaseKey, Membership, MembershipBallotState,
    MessageBody, NamedRegister, RegisterName, RegisterValue, ReplicaId, SessionEntry, TombstoneId,
};

/// A ballot of this replica on the next membership.
#[derive(Clone, Debug)]
pub(super) struct MembershipProposal {
    pub ballot: Ballot,
    /// The membership to propose unless a promise reports another accepted one.
    pub wanted: Membership,
    /// The proposal restores the previous members and is decided by a majority of them.
    pub rollback: bool,
    pub promises: BTreeMap<ReplicaId, Option<AcceptedMembership>>,
    /// The membership that acceptors are asked to accept, once a quorum has promised.
    pub chosen: Option<Membership>,
    pub acceptances: BTreeSet<ReplicaId>,
    pub deadline: Nanos,
}

/// How much of its snapshot a source has sent to this new member, in the order of sending.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CatchUpProgress {
    /// Leases, sessions and tombstones from this key on are missing, and all registers.
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
    /// From then on, replicas that left the membership are asked too: their snapshots are complete, but may be
    /// outdated.
    pub request_all_peers_at: Nanos,
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
    pub tombstones: Vec<TombstoneId>,
    /// The key from which on leases, sessions and tombstones are still to be sent.
    pub next_key: Option<LeaseKey>,
    /// The name from which on registers are still to be sent.
    pub next_register: Option<RegisterName>,
}

/// The voting state of this replica in its epoch.
#[derive(Clone, Debug)]
pub(super) struct VotingState {
    pub membership: Membership,
    /// This replica is a member and has caught up.
    pub voter: bool,
    pub promised_ballot: Ballot,
    pub accepted_membership: Option<AcceptedMembership>,
    pub membership_proposal: Option<MembershipProposal>,
    pub next_proposal_at: Nanos,
    /// The previous tick also wanted a membership change, so the delay before the first proposal has been drawn
    /// already.
    pub change_wanted: bool,
    pub highest_round: u64,
    /// Set while this replica is a member that has not caught up.
    pub catch_up: Option<CatchUp>,
    /// The epoch in which this replica stopped voting: it voted until that epoch began, so it may serve its snapshot to
    /// the new member of that epoch.
    pub stopped_voting_in: Option<u64>,
    /// This replica has served its snapshot in this epoch, so it can't promise a rollback any more.
    pub served_snapshot: bool,
    /// This replica has promised a rollback in this epoch, so it can't serve its snapshot any more.
    pub barred_from_serving: bool,
}

impl VotingState {
    /// The state that the disk of `replica` held. A replica does not vote with the disk of another one.
    pub fn new(now: Nanos, replica: ReplicaId, ballots: MembershipBallotState) -> VotingState {
        let voted = ballots.voter && replica == ballots.replica;
        let member = ballots.membership.members.contains(&replica);
        VotingState {
            voter: voted && member,
            stopped_voting_in: (voted && !member).then_some(ballots.membership.epoch),
            served_snapshot: ballots.served_snapshot,
            barred_from_serving: ballots.barred_from_serving,
            highest_round: ballots.promised.round,
            membership: ballots.membership,
            promised_ballot: ballots.promised,
            accepted_membership: ballots.accepted,
            membership_proposal: None,
            next_proposal_at: now,
            change_wanted: false,
            catch_up: None,
        }
    }

    /// The part of the state that the disk of `replica` has to hold.
    pub fn ballot_state(&self, replica: ReplicaId) -> MembershipBallotState {
        MembershipBallotState {
            replica,
            membership: self.membership.clone(),
            voter: self.voter || self.stopped_voting_in.is_some(),
            promised: self.promised_ballot,
            accepted: self.accepted_membership.clone(),
            served_snapshot: self.served_snapshot,
            barred_from_serving: self.barred_from_serving,
        }
    }

    /// Whether a replica is a member of the current epoch.
    pub fn is_member(&self, replica: &ReplicaId) -> bool {
        self.membership.members.binary_search(replica).is_ok()
    }

    /// Whether the replicas include a majority of the previous members.
    pub fn is_majority_of_previous<'a>(&self, replicas: impl Iterator<Item = &'a ReplicaId>) -> bool {
        let previous = &self.membership.previous_members;
        !previous.is_empty()
            && replicas.filter(|replica| previous.contains(replica)).count() > previous.len() / 2
    }
}
