//! Which replicas vote, and Paxos on the membership that follows.
//!
//! Main types: `ReplicaId`, `Membership`, `Ballot`, `MembershipBallotState`.
//!
//! Invariants: tags on disk and on the wire stay as `serde(rename)` gives them.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A replica of the control plane: the address at which other replicas reach it, and the identity of its disk.
///
/// A replica that comes back with an empty disk is another replica, because it has lost its promises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// Where other replicas reach it.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// 0 for a disk from the first start of the cluster, otherwise drawn at random when the disk is found empty.
    #[serde(rename = "disk")]
    pub disk_id: u64,
}

/// The address and the disk identity in hexadecimal, as `10.1.0.13:7620#5e`.
impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.address, self.disk_id)
    }
}

/// The replicas that vote, and the epoch in which they do.
///
/// Invariants: epochs only increase, and no two memberships with the same epoch are ever decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Number of the epoch; 0 stands for no membership.
    #[serde(rename = "number")]
    pub epoch: u64,
    /// Sorted, without duplicates.
    pub members: Vec<ReplicaId>,
    /// The members of the previous epoch, sorted; empty if this epoch can't be rolled back.
    #[serde(rename = "base", default, skip_serializing_if = "Vec::is_empty")]
    pub previous_members: Vec<ReplicaId>,
    /// This epoch restores the members of the epoch before the previous one. All of them may vote at once.
    #[serde(rename = "undone", default, skip_serializing_if = "std::ops::Not::not")]
    pub rolled_back: bool,
}

impl Membership {
    /// A membership without a predecessor.
    pub fn initial(epoch: u64, mut members: Vec<ReplicaId>) -> Membership {
        members.sort();
        members.dedup();
        Membership { epoch, members, previous_members: Vec::new(), rolled_back: false }
    }
}

/// A replica's state as an acceptor of the membership that follows its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipBallotState {
    /// The replica whose state this is.
    #[serde(rename = "me")]
    pub replica: ReplicaId,
    /// The membership of the replica's epoch.
    #[serde(rename = "view")]
    pub membership: Membership,
    /// The replica has caught up in this membership and may vote. If it is not a member: it voted until this epoch
    /// began.
    pub voter: bool,
    /// The replica accepts nothing under a lower ballot.
    pub promised: Ballot,
    /// What the replica accepted last, if anything.
    pub accepted: Option<AcceptedMembership>,
    /// The replica has sent its snapshot to another one in this epoch.
    #[serde(rename = "told_new", default, skip_serializing_if = "std::ops::Not::not")]
    pub served_snapshot: bool,
    /// The replica promised not to send its snapshot to another one in this epoch, so that the epoch can be rolled
    /// back.
    #[serde(rename = "barred", default, skip_serializing_if = "std::ops::Not::not")]
    pub barred_from_serving: bool,
}

/// The number of a proposal for a membership (Paxos). A higher one wins, and no two replicas use the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Increases with each attempt.
    pub round: u64,
    /// Distinguishes proposals that replicas make in the same round.
    #[serde(rename = "by")]
    pub proposer: u64,
}

/// The membership that an acceptor accepted, and the ballot in which it did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Ballot, Membership)", into = "(Ballot, Membership)")]
pub struct AcceptedMembership {
    /// The ballot.
    pub ballot: Ballot,
    /// The membership.
    pub membership: Membership,
}

encoded_as_tuple!(AcceptedMembership { ballot: Ballot, membership: Membership });
