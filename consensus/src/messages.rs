//! Types that replicas of the control plane exchange with each other, with proxies and operators, and keep on disk.
//!
//! Everything here is encoded as CBOR by serde, by the names of fields and variants. Disks and processes of earlier
//! versions hold the tags given by `serde(rename)`, so a tag never changes; `tests/frozen_forms.rs` holds them.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

mod session;

pub use session::{
    CommittedSession, SessionBinding, SessionId, SessionMessage, SessionOwner, SessionOwnership,
    SessionRecord, SessionRequest,
};

/// A replica of the control plane: the address at which other replicas reach it, and the identity of its disk.
///
/// A replica that comes back with an empty disk is another replica, because it has forgotten what it promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// 0 for a disk of the very first start, otherwise drawn at random when the disk is found empty.
    #[serde(rename = "disk")]
    pub disk_id: u64,
}

/// The replicas that vote, and the epoch in which they do.
///
/// Invariants: epochs only go up, and no two memberships with the same epoch are ever decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
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

/// The version of a register together with the digest of its content. Ordered by version, then by digest.
///
/// At most one digest is ever decided for a version; digests only tell apart what was sent under one number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Revision {
    pub version: u64,
    pub digest: u64,
}

impl Revision {
    /// The revision of a register that has no value yet.
    pub const NONE: Revision = Revision { version: 0, digest: 0 };

    #[must_use]
    pub const fn new(version: u64, digest: u64) -> Revision {
        Revision { version, digest }
    }
}

impl From<(u64, u64)> for Revision {
    fn from((version, digest): (u64, u64)) -> Revision {
        Revision { version, digest }
    }
}

impl From<Revision> for (u64, u64) {
    fn from(revision: Revision) -> (u64, u64) {
        (revision.version, revision.digest)
    }
}

/// The content of a register at one version, as an operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisterValue {
    pub version: u64,
    /// XXH3 (64 bits) of `bytes`.
    pub digest: u64,
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

impl RegisterValue {
    /// Computes the digest of `bytes`.
    pub fn new(version: u64, bytes: Vec<u8>) -> RegisterValue {
        RegisterValue { version, digest: xxhash_rust::xxh3::xxh3_64(&bytes), bytes }
    }

    #[must_use]
    pub fn revision(&self) -> Revision {
        Revision { version: self.version, digest: self.digest }
    }

    /// Whether the digest is that of the bytes.
    pub fn is_intact(&self) -> bool {
        self.digest == xxhash_rust::xxh3::xxh3_64(&self.bytes)
    }
}

/// The name of a register; the operator's configuration is the register with the empty name.
pub type RegisterName = Arc<str>;

/// A register with its name and content. Each name has versions of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedRegister {
    pub name: RegisterName,
    #[serde(rename = "sheet")]
    pub value: Arc<RegisterValue>,
}

/// What a lease is taken on: the hashed idempotency key of a request.
pub type LeaseKey = u128;

/// Identifies one lease on a key, and fences its holder. Drawn at random for each request and never used again after it
/// was released. 0 belongs to nobody: a replica stores it for a key if two others reported different pending leases.
pub type LeaseToken = u64;

/// The response of the one run of a request, kept for repeats of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    pub status: u16,
    /// Names and values as the upstream sent them, without hop-by-hop fields.
    pub headers: Vec<(String, String)>,
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// What became of the request under a lease.
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
    pub token: LeaseToken,
    /// Milliseconds that the request had left when the lease was requested.
    #[serde(rename = "left_ms")]
    pub time_left_ms: u32,
    pub outcome: LeaseOutcome,
}

/// A record of the replica's log. Records take effect in the order in which they are written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogRecord {
    #[serde(rename = "Ballots")]
    MembershipBallot(MembershipBallotState),
    #[serde(rename = "Sheet")]
    Configuration(Arc<RegisterValue>),
    #[serde(rename = "Claim")]
    Lease(LeaseKey, Lease),
    #[serde(rename = "Free")]
    LeaseReleased(LeaseKey, LeaseToken),
    #[serde(rename = "Paper")]
    Register(NamedRegister),
    Session(SessionId, SessionRecord),
    #[serde(rename = "SessionOver")]
    SessionEnded(SessionId),
    /// All undecided versions of registers; replaces those written before.
    #[serde(rename = "VersionBallots")]
    RegisterAcceptors(Vec<AcceptorState>),
}

/// A replica's state as an acceptor of the membership that follows its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipBallotState {
    #[serde(rename = "me")]
    pub replica: ReplicaId,
    #[serde(rename = "view")]
    pub membership: Membership,
    /// The replica has caught up in this membership and may vote. If it is not a member: it voted until this epoch began.
    pub voter: bool,
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Membership)>,
    /// The replica has sent its snapshot to another one in this epoch.
    #[serde(rename = "told_new", default, skip_serializing_if = "std::ops::Not::not")]
    pub served_snapshot: bool,
    /// The replica promised never to send its snapshot to another one in this epoch, so that the epoch can be rolled back.
    #[serde(rename = "barred", default, skip_serializing_if = "std::ops::Not::not")]
    pub barred_from_serving: bool,
}

/// The number of a proposal for a membership (Paxos). A higher one wins, and no two replicas use the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    /// Tells apart the proposals that replicas make in the same round.
    #[serde(rename = "by")]
    pub proposer: u64,
}

/// The number of a proposal for a version of a register.
///
/// A number of a later epoch is higher than all of earlier epochs, whatever their rounds: the quorums of two epochs that
/// don't follow each other need not intersect, so that a ballot of the earlier one may bind nobody in the later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalNumber {
    /// The epoch in which the proposal was made.
    pub epoch: u64,
    pub ballot: Ballot,
}

/// A replica's state as an acceptor (Paxos) for one version of a register, above the version that it stores.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptorState {
    /// Empty for the operator's configuration.
    #[serde(rename = "name")]
    pub register: RegisterName,
    pub version: u64,
    pub promised: ProposalNumber,
    pub accepted: Option<(ProposalNumber, Arc<RegisterValue>)>,
}

/// A message of single-decree Paxos on the content of one version of a register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegisterPaxosMessage {
    /// Asks for the promise to accept no proposal with a lower number.
    Prepare {
        #[serde(rename = "name")]
        register: RegisterName,
        version: u64,
        number: ProposalNumber,
    },
    /// The promise, with what the sender accepted so far.
    Promise {
        #[serde(rename = "name")]
        register: RegisterName,
        version: u64,
        number: ProposalNumber,
        accepted: Option<(ProposalNumber, Arc<RegisterValue>)>,
    },
    /// Asks the receiver to accept this content.
    Accept {
        #[serde(rename = "name")]
        register: RegisterName,
        number: ProposalNumber,
        #[serde(rename = "sheet")]
        value: Arc<RegisterValue>,
    },
    Accepted {
        #[serde(rename = "name")]
        register: RegisterName,
        version: u64,
        number: ProposalNumber,
    },
    /// The sender has promised a higher number.
    #[serde(rename = "Outbid")]
    Preempted {
        #[serde(rename = "name")]
        register: RegisterName,
        version: u64,
        number: ProposalNumber,
        promised: ProposalNumber,
    },
    /// The sender stores this version or a later one, which was decided.
    Superseded {
        #[serde(rename = "name")]
        register: RegisterName,
        version: u64,
        number: ProposalNumber,
        /// The digest of the content decided for that version, if the sender knows it.
        digest: Option<u64>,
    },
}

/// What a replica's disk held when the replica started.
#[derive(Clone, Debug, Default)]
pub struct PersistedState {
    pub membership_ballot: Option<MembershipBallotState>,
    pub acceptors: Vec<AcceptorState>,
    pub configuration: Option<Arc<RegisterValue>>,
    pub leases: Vec<(LeaseKey, Lease)>,
    /// The highest version of each register.
    pub registers: Vec<NamedRegister>,
    pub sessions: Vec<(SessionId, SessionRecord)>,
}

/// A request of a proxy or an operator to the replicated core.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CoreRequest {
    /// Asks for the right to run the request of a key. Answered by `LeaseGranted`, or `LeaseHeld` with the outcome of the
    /// lease that was granted first.
    #[serde(rename = "Claim")]
    AcquireLease {
        key: LeaseKey,
        token: LeaseToken,
        #[serde(rename = "left_ms")]
        time_left_ms: u32,
    },
    /// The holder reports the outcome. `None` releases the lease: the request has not run and never will under this token;
    /// sent after `LeaseHeld` and `Unavailable` as well. Any other outcome is taken as proof that the lease was granted.
    #[serde(rename = "Settle")]
    CompleteLease {
        key: LeaseKey,
        token: LeaseToken,
        outcome: Option<LeaseOutcome>,
    },
    /// Replaces the configuration by one that was parsed and validated.
    #[serde(rename = "Replace")]
    ReplaceConfiguration(Arc<RegisterValue>),
    #[serde(rename = "Read")]
    ReadConfiguration,
    /// Replaces a register by a document that was parsed and validated. Answered by `CapacityExceeded` if the document is
    /// too long or there are too many.
    #[serde(rename = "Paper")]
    ReplaceRegister(NamedRegister),
    #[serde(rename = "ReadPaper")]
    ReadRegister(RegisterName),
    Session(SessionId, SessionRequest),
}

/// The core's answer to a `CoreRequest`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CoreResponse {
    /// A quorum stores the lease on disk: no other token can be granted it.
    #[serde(rename = "Granted")]
    LeaseGranted,
    /// Another token holds the lease; `Pending` if its outcome did not become known in time.
    #[serde(rename = "Held")]
    LeaseHeld(LeaseOutcome),
    /// The outcome was noted, or the value was committed.
    #[serde(rename = "Taken")]
    Accepted,
    /// The newest committed value of a register.
    #[serde(rename = "Newest")]
    Register(Option<Arc<RegisterValue>>),
    /// Other content was decided under that version; this content is not and never will be in force.
    Conflict,
    /// There is no room for the document. It was not stored here; another replica may store it if it was sent there.
    #[serde(rename = "Full")]
    CapacityExceeded,
    /// The committed state of a session; `None` if nobody owns it.
    Session(Option<CommittedSession>),
    /// No quorum answered in time. A lease may or may not be held under the token.
    #[serde(rename = "Unsure")]
    Unavailable,
}

/// A message between replicas.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Message {
    pub from: ReplicaId,
    /// The sender's epoch.
    #[serde(rename = "view")]
    pub epoch: u64,
    pub body: MessageBody,
}

/// What a message between replicas says.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum MessageBody {
    /// Sent at intervals: the sender is up, and what it stores.
    #[serde(rename = "Beat")]
    Heartbeat {
        voter: bool,
        /// Revision of the configuration that the sender stores.
        #[serde(rename = "sheet")]
        configuration: Revision,
        /// Revision of the newest configuration that the sender knows to be committed.
        #[serde(rename = "safe")]
        committed_configuration: Revision,
        leaving: bool,
        /// Sent only if members are spread over zones.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        zone: String,
        /// Digest of all named registers that the sender stores; 0 if it stores none.
        #[serde(rename = "papers", default, skip_serializing_if = "is_zero")]
        registers_digest: u128,
    },
    /// The sender's membership.
    #[serde(rename = "Holds")]
    MembershipAnnouncement(Membership),
    /// Paxos on the membership that follows the one of the message's epoch.
    Prepare(Ballot),
    Promise {
        ballot: Ballot,
        accepted: Option<(Ballot, Membership)>,
    },
    Accept(Ballot, Membership),
    Accepted(Ballot),
    /// Like `Prepare`, to return to the previous members.
    #[serde(rename = "Bar")]
    PrepareRollback(Ballot),
    /// Promise of a replica that has sent its snapshot to nobody in this epoch, and won't.
    #[serde(rename = "Barred")]
    RollbackPromise {
        ballot: Ballot,
        accepted: Option<(Ballot, Membership)>,
    },
    /// The sender has promised a higher ballot.
    #[serde(rename = "Outbid")]
    Preempted(Ballot),
    /// Leases to be stored, each with the number of the call that wants it.
    #[serde(rename = "Grant")]
    RequestLeases(Vec<(u64, LeaseKey, LeaseToken, u32)>),
    /// Votes on leases, by the number of the call.
    #[serde(rename = "Granted")]
    LeaseVotes(Vec<(u64, LeaseVote)>),
    #[serde(rename = "Settle")]
    CompleteLeases(Vec<(LeaseKey, LeaseToken, Option<LeaseOutcome>)>),
    /// A configuration to be stored.
    #[serde(rename = "Hold")]
    StoreConfiguration(Arc<RegisterValue>),
    /// Asks for a configuration newer than this revision. A voter also answers what it stores, with the same `read_id`.
    #[serde(rename = "WantSheet")]
    FetchConfiguration {
        #[serde(rename = "ask")]
        read_id: u64,
        #[serde(rename = "have")]
        known: Revision,
    },
    /// The revision that a voter stores, safe on disk. `read_id` is 0 if nobody asked.
    #[serde(rename = "Held")]
    ConfigurationStored {
        #[serde(rename = "ask")]
        read_id: u64,
        #[serde(rename = "rank")]
        revision: Revision,
    },
    /// A member that catches up asks for the next chunk of the receiver's state.
    #[serde(rename = "WantState")]
    FetchSnapshot {
        #[serde(rename = "from")]
        from_key: u128,
        /// Tells apart the attempts of one replica to catch up.
        #[serde(rename = "round")]
        catch_up_id: u64,
        /// Set once all leases have arrived: the register from which on registers are wanted.
        #[serde(rename = "papers", default, skip_serializing_if = "Option::is_none")]
        from_register: Option<RegisterName>,
    },
    #[serde(rename = "State")]
    SnapshotChunk {
        #[serde(rename = "round")]
        catch_up_id: u64,
        #[serde(rename = "part")]
        leases: Vec<(LeaseKey, Lease)>,
        /// The key from which on leases and sessions are still to be sent.
        #[serde(rename = "next")]
        next_key: Option<u128>,
        #[serde(rename = "sheet")]
        configuration: Option<Arc<RegisterValue>>,
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        sessions: Vec<(SessionId, SessionRecord)>,
        #[serde(rename = "papers", default, skip_serializing_if = "Vec::is_empty")]
        registers: Vec<NamedRegister>,
        /// The name from which on registers are still to be sent; set with and after the last chunk of leases.
        #[serde(rename = "next_paper", default, skip_serializing_if = "Option::is_none")]
        next_register: Option<RegisterName>,
        /// What the sender accepted for undecided versions; sent with the last chunk of leases.
        #[serde(rename = "version_ballots", default, skip_serializing_if = "Vec::is_empty")]
        acceptors: Vec<AcceptorState>,
    },
    Sessions(Vec<SessionMessage>),
    #[serde(rename = "Version")]
    RegisterPaxos(RegisterPaxosMessage),
    /// Registers to be stored.
    #[serde(rename = "HoldPapers")]
    StoreRegisters(Vec<NamedRegister>),
    /// Asks for registers newer than these revisions. A voter also answers what it stores, with the same `read_id`.
    #[serde(rename = "WantPapers")]
    FetchRegisters {
        #[serde(rename = "ask")]
        read_id: u64,
        #[serde(rename = "have")]
        known: Vec<(RegisterName, Revision)>,
    },
    /// The revisions of registers that the sender stores, safe on disk. `read_id` is 0 if nobody asked.
    #[serde(rename = "PapersHeld")]
    RegistersStored {
        #[serde(rename = "ask")]
        read_id: u64,
        voter: bool,
        #[serde(rename = "ranks")]
        revisions: Vec<(RegisterName, Revision)>,
        /// If a list was asked for: the name from which on there are more.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        next: Option<RegisterName>,
    },
    /// Asks for the revisions of all registers from this name on, as many as fit in a message.
    #[serde(rename = "ListPapers")]
    ListRegisters(RegisterName),
}

impl Message {
    /// Whether every value in the message matches its digest. To be checked for each message from another process before
    /// it is handled: values are stored under their digests and sent on.
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
                    && accepted.map(|(_, value)| value).all(intact)
            }
            MessageBody::RegisterPaxos(RegisterPaxosMessage::Accept { value, .. }) => intact(value),
            MessageBody::RegisterPaxos(RegisterPaxosMessage::Promise {
                accepted: Some((_, value)), ..
            }) => intact(value),
            _ => true,
        }
    }
}

fn is_zero(digest: &u128) -> bool {
    *digest == 0
}

/// A replica's vote on a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseVote {
    #[serde(rename = "Yes")]
    Granted,
    /// Another token holds the lease.
    #[serde(rename = "No")]
    Held(Lease),
    /// The token was released, and must never be used again.
    #[serde(rename = "Freed")]
    TokenReleased,
}

/// Something that the caller of the core has to do, in the order given.
#[derive(Clone, Debug)]
pub enum Effect {
    Persist(LogRecord),
    /// Sends the message once all records persisted before are safe on disk. The receiver may be the replica itself.
    SendAfterPersist(SocketAddr, Message),
    SendNow(SocketAddr, Message),
    /// Answers the request that was handed in under this number.
    Respond {
        call: u64,
        response: CoreResponse,
    },
    Log(String),
}
