//! Messages between replicas.
//!
//! Main types: `Message`, `MessageBody`.
//!
//! Invariants: tags on the wire stay as `serde(rename)` gives them, because replicas of neighbouring versions talk to
//! each other.

use std::ops::Not;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::leases::{LeaseCompletion, LeaseEntry, LeaseRequest, LeaseVoteReply};
use super::membership::{AcceptedMembership, Ballot, Membership, ReplicaId};
use super::quorum_writes::QuorumWriteRequest;
use super::registers::{
    AcceptedValue, AcceptorState, NamedRegister, RegisterName, RegisterPaxosMessage, RegisterRevision,
    RegisterValue, Revision,
};
use super::sessions::{SessionEntry, SessionMessage};
use super::tombstones::{TombstoneId, TombstoneQuery, TombstoneReply};

/// A message between replicas.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: ReplicaId,
    /// The sender's epoch.
    #[serde(rename = "view")]
    pub epoch: u64,
    /// The content.
    pub body: MessageBody,
}

/// The content of a message between replicas.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum MessageBody {
    /// Sent at intervals: the sender is alive and stores these revisions.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// Whether the sender votes in its epoch.
        voter: bool,
        /// Revision of the configuration that the sender stores.
        #[serde(rename = "sheet")]
        configuration: Revision,
        /// Revision of the newest configuration that the sender knows to be committed.
        #[serde(rename = "safe")]
        committed_configuration: Revision,
        /// The sender will stop and wants to be replaced.
        leaving: bool,
        /// Sent only if members are spread over zones.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        zone: String,
        /// Digest of all named registers that the sender stores; 0 if it stores none.
        #[serde(rename = "papers", default, skip_serializing_if = "is_zero")]
        registers_digest: u128,
        /// The sender handles `StoreQuorumWrites`. Earlier versions do not, and close connections on which it arrives.
        #[serde(default, skip_serializing_if = "Not::not")]
        supports_quorum_writes: bool,
    },
    /// The sender's membership.
    #[serde(rename = "Holds")]
    MembershipAnnouncement(Membership),
    /// Paxos on the membership that follows the one of the message's epoch.
    Prepare(Ballot),
    /// Promise to accept no lower ballot, with the membership that the sender accepted last.
    Promise {
        /// The ballot that is promised.
        ballot: Ballot,
        /// The membership that the sender accepted last, if any.
        accepted: Option<AcceptedMembership>,
    },
    /// Asks the receiver to accept this membership under this ballot.
    Accept(Ballot, Membership),
    /// The sender accepted the membership of this ballot.
    Accepted(Ballot),
    /// Like `Prepare`, for a rollback to the previous members.
    #[serde(rename = "Bar")]
    PrepareRollback(Ballot),
    /// Promise of a replica that has not sent its snapshot in this epoch, and will not.
    #[serde(rename = "Barred")]
    RollbackPromise {
        /// The ballot that is promised.
        ballot: Ballot,
        /// The membership that the sender accepted last, if any.
        accepted: Option<AcceptedMembership>,
    },
    /// The sender has promised a higher ballot.
    #[serde(rename = "Outbid")]
    Preempted(Ballot),
    /// Leases to be stored, each with the number of the call that requests it.
    #[serde(rename = "Grant")]
    RequestLeases(Vec<LeaseRequest>),
    /// Votes on leases, by the number of the call.
    #[serde(rename = "Granted")]
    LeaseVotes(Vec<LeaseVoteReply>),
    /// Reports on leases by their holders.
    #[serde(rename = "Settle")]
    CompleteLeases(Vec<LeaseCompletion>),
    /// Writes to be stored, which voters report.
    StoreQuorumWrites(Vec<QuorumWriteRequest>),
    /// The sender votes and has stored the writes with these call numbers durably.
    QuorumWritesStored(Vec<u64>),
    /// Asks whether the receiver stores tombstones.
    FindTombstones(Vec<TombstoneQuery>),
    /// A voter's replies to `FindTombstones`.
    TombstonesFound(Vec<TombstoneReply>),
    /// A configuration to be stored.
    #[serde(rename = "Hold")]
    StoreConfiguration(Arc<RegisterValue>),
    /// Requests a configuration newer than this revision. A voter also reports its revision, with the same `read_id`.
    #[serde(rename = "WantSheet")]
    FetchConfiguration {
        /// Identifies the read that the answer is for; 0 if there is none.
        #[serde(rename = "ask")]
        read_id: u64,
        /// What the sender stores.
        #[serde(rename = "have")]
        known: Revision,
    },
    /// The revision that a voter has stored durably. `read_id` is 0 if the message answers no read.
    #[serde(rename = "Held")]
    ConfigurationStored {
        /// Identifies the read that the answer is for; 0 if there is none.
        #[serde(rename = "ask")]
        read_id: u64,
        /// The revision that is stored.
        #[serde(rename = "rank")]
        revision: Revision,
    },
    /// A member that is catching up requests the next chunk of the receiver's snapshot.
    #[serde(rename = "WantState")]
    FetchSnapshot {
        /// The first key of the leases, sessions and tombstones that are wanted.
        #[serde(rename = "from")]
        from_key: u128,
        /// Distinguishes the attempts of one replica to catch up.
        #[serde(rename = "round")]
        catch_up_id: u64,
        /// Set once all leases have arrived: the name of the first register that is wanted.
        #[serde(rename = "papers", default, skip_serializing_if = "Option::is_none")]
        from_register: Option<RegisterName>,
    },
    /// A part of the sender's snapshot, in the order of keys, then of names.
    #[serde(rename = "State")]
    SnapshotChunk {
        /// Identifies the catch-up of the receiver.
        #[serde(rename = "round")]
        catch_up_id: u64,
        /// Leases in the order of their keys.
        #[serde(rename = "part")]
        leases: Vec<LeaseEntry>,
        /// The first key of the leases, sessions and tombstones that are still to be sent.
        #[serde(rename = "next")]
        next_key: Option<u128>,
        /// The stored configuration; sent with the last chunk of leases.
        #[serde(rename = "sheet")]
        configuration: Option<Arc<RegisterValue>>,
        /// Sessions in the order of their ids.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        sessions: Vec<SessionEntry>,
        /// Registers in the order of their names; sent after all leases.
        #[serde(rename = "papers", default, skip_serializing_if = "Vec::is_empty")]
        registers: Vec<NamedRegister>,
        /// The name of the first register that is still to be sent; set from the last chunk of leases on.
        #[serde(rename = "next_paper", default, skip_serializing_if = "Option::is_none")]
        next_register: Option<RegisterName>,
        /// The sender's accepted values for undecided versions; sent with the last chunk of leases.
        #[serde(rename = "version_ballots", default, skip_serializing_if = "Vec::is_empty")]
        acceptors: Vec<AcceptorState>,
        /// Tombstones in the order of their ids.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        tombstones: Vec<TombstoneId>,
    },
    /// Paxos on sessions.
    Sessions(Vec<SessionMessage>),
    /// Paxos on the content of a version of a register.
    #[serde(rename = "Version")]
    RegisterPaxos(RegisterPaxosMessage),
    /// Registers to be stored.
    #[serde(rename = "HoldPapers")]
    StoreRegisters(Vec<NamedRegister>),
    /// Requests registers newer than these revisions. A voter also reports its revisions, with the same `read_id`.
    #[serde(rename = "WantPapers")]
    FetchRegisters {
        /// Identifies the read that the answer is for; 0 if there is none.
        #[serde(rename = "ask")]
        read_id: u64,
        /// What the sender stores.
        #[serde(rename = "have")]
        known: Vec<RegisterRevision>,
    },
    /// The revisions of registers that the sender has stored durably. `read_id` is 0 if the message answers no read.
    #[serde(rename = "PapersHeld")]
    RegistersStored {
        /// Identifies the read that the answer is for; 0 if there is none.
        #[serde(rename = "ask")]
        read_id: u64,
        /// Whether the sender votes in its epoch.
        voter: bool,
        /// The revisions that are stored.
        #[serde(rename = "ranks")]
        revisions: Vec<RegisterRevision>,
        /// If a list was requested: the name at which the rest of the list begins.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        next: Option<RegisterName>,
    },
    /// Requests the revisions of all registers from this name on, as many as fit in a message.
    #[serde(rename = "ListPapers")]
    ListRegisters(RegisterName),
}

impl Message {
    /// Whether every value in the message matches its digest. To be checked for each message from another process
    /// before it is handled, because values are stored and forwarded under their digests.
    pub fn is_intact(&self) -> bool {
        let intact = |value: &Arc<RegisterValue>| value.is_intact();
        let registers_intact =
            |registers: &[NamedRegister]| registers.iter().all(|named| intact(&named.value));
        match &self.body {
            MessageBody::StoreConfiguration(value) => intact(value),
            MessageBody::StoreRegisters(registers) => registers_intact(registers),
            MessageBody::SnapshotChunk { configuration, registers, acceptors, .. } => {
                let accepted = acceptors.iter().filter_map(|acceptor| acceptor.accepted.as_ref());
                configuration.iter().all(intact)
                    && registers_intact(registers)
                    && accepted.map(|accepted| &accepted.value).all(intact)
            }
            MessageBody::RegisterPaxos(RegisterPaxosMessage::Accept { value, .. }) => intact(value),
            MessageBody::RegisterPaxos(RegisterPaxosMessage::Promise {
                accepted: Some(AcceptedValue { value, .. }),
                ..
            }) => intact(value),
            _ => true,
        }
    }
}

fn is_zero(digest: &u128) -> bool {
    *digest == 0
}
