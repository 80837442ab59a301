//! Compares the encoding of messages and disk records with fixtures that were written before types were renamed: a
//! renamed field or variant keeps its tag.

mod frozen;

use std::net::SocketAddr;
use std::sync::Arc;

use frozen::FrozenForms;
use ochreshed_consensus::messages::{
    AcceptedMembership, AcceptedValue, AcceptorState, Ballot, CommittedSession, CoreRequest, CoreResponse,
    Lease, LeaseCompletion, LeaseEntry, LeaseOutcome, LeaseRequest, LeaseVote, LeaseVoteReply, LogRecord,
    Membership, MembershipBallotState, Message, MessageBody, NamedRegister, ProposalNumber, QuorumWrite,
    QuorumWriteRequest, RegisterPaxosMessage, RegisterRevision, RegisterValue, ReplicaId, Revision,
    SessionBinding, SessionEntry, SessionMessage, SessionOwner, SessionOwnership, SessionRecord,
    SessionRequest, StoredResponse, TombstoneQuery, TombstoneReply,
};

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, last], 8_300 + u16::from(last)))
}

fn address_v6() -> SocketAddr {
    "[fd00::7]:8307".parse().expect("an address")
}

fn replica(last: u8) -> ReplicaId {
    ReplicaId { address: address(last), disk_id: u64::from(last) << 40 }
}

fn membership() -> Membership {
    Membership {
        epoch: 7,
        members: vec![replica(1), replica(2)],
        previous_members: vec![replica(3)],
        rolled_back: true,
    }
}

fn ballot() -> Ballot {
    Ballot { round: 300, proposer: u64::MAX }
}

fn number() -> ProposalNumber {
    ProposalNumber { epoch: 5, ballot: ballot() }
}

fn content() -> Arc<RegisterValue> {
    Arc::new(RegisterValue::new(12, b"{\"edition\":\"r12\"}".to_vec()))
}

fn named() -> NamedRegister {
    NamedRegister { name: "m/banco-norte".into(), value: content() }
}

fn response() -> Arc<StoredResponse> {
    let headers = vec![("content-type".into(), "text/plain".into()), ("x-one".into(), String::new())];
    Arc::new(StoredResponse { status: 201, headers, body: vec![0, 1, 255] })
}

fn lease(outcome: LeaseOutcome) -> Lease {
    Lease { token: 99, time_left_ms: 70_000, outcome }
}

fn owner(last: u8) -> SessionOwner {
    SessionOwner { outbound_proxy: address(last), since_term: 4 }
}

fn binding() -> SessionBinding {
    SessionBinding { upstream_id: "life-1".into(), inbound_proxy: address(8) }
}

fn ownership() -> SessionOwnership {
    SessionOwnership { binding: Some(binding()), owner: Some(owner(5)), previous_owner: Some(owner(6)) }
}

fn committed() -> CommittedSession {
    CommittedSession { term: 3, token: 77, ownership: ownership() }
}

fn session_record() -> SessionRecord {
    SessionRecord { term: 4, token: 78, accepted: Some(committed()) }
}

fn accepted_membership() -> AcceptedMembership {
    AcceptedMembership { ballot: ballot(), membership: membership() }
}

fn acceptor_state() -> AcceptorState {
    let accepted = Some(AcceptedValue { number: number(), value: content() });
    AcceptorState { register: "members".into(), version: 13, promised: number(), accepted }
}

const KEY: u128 = u128::MAX - 1;
const SESSION: u128 = 1 << 100;
const REVISION: Revision = Revision::new(12, u64::MAX);

#[test]
fn membership_and_registers_keep_their_encoding() {
    let mut forms = FrozenForms::open("membership");
    forms.assert_encodes_as("station", &replica(1));
    forms.assert_encodes_as("station_v6", &ReplicaId { address: address_v6(), disk_id: 0 });
    forms.assert_encodes_as("view_all", &membership());
    forms.assert_encodes_as("view_least", &Membership::initial(1, vec![replica(2), replica(1)]));
    forms.assert_encodes_as("ballot", &ballot());
    forms.assert_encodes_as("proposal_number", &number());
    let all = MembershipBallotState {
        replica: replica(1),
        membership: membership(),
        voter: true,
        promised: ballot(),
        accepted: Some(accepted_membership()),
        served_snapshot: true,
        barred_from_serving: true,
    };
    let minimal = MembershipBallotState {
        replica: replica(1),
        membership: Membership::initial(1, Vec::new()),
        voter: false,
        promised: Ballot::default(),
        accepted: None,
        served_snapshot: false,
        barred_from_serving: false,
    };
    forms.assert_encodes_as("ballots_all", &all);
    forms.assert_encodes_as("ballots_least", &minimal);
    forms.assert_encodes_as("sheet", &*content());
    forms.assert_encodes_as("paper", &named());
    forms.assert_encodes_as("version_ballot_all", &acceptor_state());
    let minimal = AcceptorState {
        register: "".into(),
        version: 1,
        promised: ProposalNumber::default(),
        accepted: None,
    };
    forms.assert_encodes_as("version_ballot_least", &minimal);
    forms.finish();
}

#[test]
fn leases_keep_their_encoding() {
    let mut forms = FrozenForms::open("leases");
    forms.assert_encodes_as("answer", &*response());
    forms.assert_encodes_as("outcome_open", &LeaseOutcome::Pending);
    forms.assert_encodes_as("outcome_unknown", &LeaseOutcome::Indeterminate);
    forms.assert_encodes_as("outcome_done", &LeaseOutcome::Completed(response()));
    forms.assert_encodes_as("claim", &lease(LeaseOutcome::Pending));
    forms.assert_encodes_as("grant_yes", &LeaseVote::Granted);
    forms.assert_encodes_as("grant_no", &LeaseVote::Held(lease(LeaseOutcome::Indeterminate)));
    forms.assert_encodes_as("grant_freed", &LeaseVote::TokenReleased);
    forms.finish();
}

#[test]
fn sessions_keep_their_encoding() {
    let mut forms = FrozenForms::open("sessions");
    forms.assert_encodes_as("tie", &binding());
    forms.assert_encodes_as("holder", &owner(5));
    forms.assert_encodes_as("holding_all", &ownership());
    forms.assert_encodes_as("holding_least", &SessionOwnership::default());
    forms.assert_encodes_as("agreed", &committed());
    forms.assert_encodes_as("entry_all", &session_record());
    forms.assert_encodes_as("entry_least", &SessionRecord::default());
    for (name, request) in session_requests() {
        forms.assert_encodes_as(&format!("wish_{name}"), &request);
    }
    for (name, message) in session_messages() {
        forms.assert_encodes_as(&format!("said_{name}"), &message);
    }
    forms.finish();
}

fn session_requests() -> Vec<(&'static str, SessionRequest)> {
    vec![
        ("take", SessionRequest::Acquire { outbound_proxy: address(5), above_term: 3 }),
        (
            "tie_all",
            SessionRequest::Bind {
                owner: owner(5),
                current_upstream_id: Some("life-0".into()),
                binding: binding(),
            },
        ),
        (
            "tie_least",
            SessionRequest::Bind { owner: owner(5), current_upstream_id: None, binding: binding() },
        ),
        ("renew", SessionRequest::Renew(owner(5))),
        ("read", SessionRequest::Read),
        ("drop", SessionRequest::Forget),
    ]
}

fn session_messages() -> Vec<(&'static str, SessionMessage)> {
    vec![
        ("ask", SessionMessage::Prepare { call: 1, session: SESSION, term: 3, token: 77 }),
        ("heard_all", SessionMessage::Promise { call: 1, term: 3, accepted: Some(committed()) }),
        ("heard_least", SessionMessage::Promise { call: 1, term: 3, accepted: None }),
        ("hold", SessionMessage::Accept { call: 1, session: SESSION, change: committed() }),
        ("held", SessionMessage::Accepted { call: 1, term: 3 }),
        ("outbid", SessionMessage::Preempted { call: 1, term: 3 }),
        ("renew", SessionMessage::Renew(SESSION)),
    ]
}

#[test]
fn records_keep_their_encoding() {
    let mut forms = FrozenForms::open("records");
    let ballots = MembershipBallotState {
        replica: replica(1),
        membership: membership(),
        voter: true,
        promised: ballot(),
        accepted: Some(accepted_membership()),
        served_snapshot: true,
        barred_from_serving: false,
    };
    let records = [
        ("ballots", LogRecord::MembershipBallot(ballots)),
        ("sheet", LogRecord::Configuration(content())),
        ("claim_open", LogRecord::Lease(KEY, lease(LeaseOutcome::Pending))),
        ("claim_unknown", LogRecord::Lease(1, lease(LeaseOutcome::Indeterminate))),
        ("claim_done", LogRecord::Lease(2, lease(LeaseOutcome::Completed(response())))),
        ("free", LogRecord::LeaseReleased(KEY, 99)),
        ("paper", LogRecord::Register(named())),
        ("session", LogRecord::Session(SESSION, session_record())),
        ("session_over", LogRecord::SessionEnded(SESSION)),
        ("version_ballots", LogRecord::RegisterAcceptors(vec![acceptor_state()])),
        ("version_ballots_none", LogRecord::RegisterAcceptors(Vec::new())),
        ("tombstone", LogRecord::Tombstone(KEY)),
        ("tombstone_expired", LogRecord::TombstoneExpired(KEY)),
    ];
    for (name, record) in records {
        forms.assert_encodes_as(name, &record);
    }
    forms.finish();
}

#[test]
fn requests_and_responses_keep_their_encoding() {
    let mut forms = FrozenForms::open("requests");
    let complete_lease = |outcome| CoreRequest::CompleteLease { key: KEY, token: 99, outcome };
    let mut requests = vec![
        ("claim".to_owned(), CoreRequest::AcquireLease { key: KEY, token: 99, time_left_ms: 70_000 }),
        ("settle_none".into(), complete_lease(None)),
        ("settle_open".into(), complete_lease(Some(LeaseOutcome::Pending))),
        ("settle_unknown".into(), complete_lease(Some(LeaseOutcome::Indeterminate))),
        ("settle_done".into(), complete_lease(Some(LeaseOutcome::Completed(response())))),
        ("replace".into(), CoreRequest::ReplaceConfiguration(content())),
        ("read".into(), CoreRequest::ReadConfiguration),
        ("paper".into(), CoreRequest::ReplaceRegister(named())),
        ("read_paper".into(), CoreRequest::ReadRegister("members".into())),
        ("store_tombstone".into(), CoreRequest::StoreTombstone(KEY)),
        ("find_tombstone".into(), CoreRequest::FindTombstone(KEY)),
    ];
    requests.extend(
        session_requests()
            .into_iter()
            .map(|(name, request)| (format!("session_{name}"), CoreRequest::Session(SESSION, request))),
    );
    for (name, request) in requests {
        forms.assert_encodes_as(&format!("want_{name}"), &request);
    }
    let responses = [
        ("granted", CoreResponse::LeaseGranted),
        ("held_open", CoreResponse::LeaseHeld(LeaseOutcome::Pending)),
        ("held_unknown", CoreResponse::LeaseHeld(LeaseOutcome::Indeterminate)),
        ("held_done", CoreResponse::LeaseHeld(LeaseOutcome::Completed(response()))),
        ("taken", CoreResponse::Accepted),
        ("newest", CoreResponse::Register(Some(content()))),
        ("newest_none", CoreResponse::Register(None)),
        ("conflict", CoreResponse::Conflict),
        ("full", CoreResponse::CapacityExceeded),
        ("session", CoreResponse::Session(Some(committed()))),
        ("session_none", CoreResponse::Session(None)),
        ("unsure", CoreResponse::Unavailable),
        ("tombstone", CoreResponse::Tombstone(true)),
    ];
    for (name, response) in responses {
        forms.assert_encodes_as(&format!("got_{name}"), &response);
    }
    forms.finish();
}

fn register_paxos_messages() -> Vec<(&'static str, RegisterPaxosMessage)> {
    let (name, version, number) = (|| "members".into(), 13, number());
    vec![
        ("prepare", RegisterPaxosMessage::Prepare { register: name(), version, number }),
        (
            "promise_all",
            RegisterPaxosMessage::Promise {
                register: name(),
                version,
                number,
                accepted: Some(AcceptedValue { number, value: content() }),
            },
        ),
        (
            "promise_least",
            RegisterPaxosMessage::Promise { register: name(), version, number, accepted: None },
        ),
        ("accept", RegisterPaxosMessage::Accept { register: name(), number, value: content() }),
        ("accepted", RegisterPaxosMessage::Accepted { register: name(), version, number }),
        ("outbid", RegisterPaxosMessage::Preempted { register: name(), version, number, promised: number }),
        (
            "superseded_all",
            RegisterPaxosMessage::Superseded { register: name(), version, number, digest: Some(9) },
        ),
        (
            "superseded_least",
            RegisterPaxosMessage::Superseded { register: name(), version, number, digest: None },
        ),
    ]
}

fn message_bodies() -> Vec<(String, MessageBody)> {
    let heartbeat = |zone: &str, registers_digest| MessageBody::Heartbeat {
        voter: true,
        configuration: REVISION,
        committed_configuration: Revision::new(11, 1),
        leaving: true,
        zone: zone.into(),
        registers_digest,
        supports_quorum_writes: false,
    };
    let votes = vec![
        LeaseVoteReply { call: 1, vote: LeaseVote::Granted },
        LeaseVoteReply { call: 2, vote: LeaseVote::Held(lease(LeaseOutcome::Pending)) },
        LeaseVoteReply { call: 3, vote: LeaseVote::Held(lease(LeaseOutcome::Completed(response()))) },
        LeaseVoteReply { call: 4, vote: LeaseVote::TokenReleased },
    ];
    let completions = vec![
        LeaseCompletion { key: KEY, token: 99, outcome: None },
        LeaseCompletion { key: 1, token: 98, outcome: Some(LeaseOutcome::Pending) },
        LeaseCompletion { key: 2, token: 97, outcome: Some(LeaseOutcome::Indeterminate) },
        LeaseCompletion { key: 3, token: 96, outcome: Some(LeaseOutcome::Completed(response())) },
    ];
    let quorum_writes = vec![QuorumWriteRequest {
        call: 1,
        write: QuorumWrite::LeaseCompletion(LeaseCompletion {
            key: KEY,
            token: 99,
            outcome: Some(LeaseOutcome::Completed(response())),
        }),
    }];
    let tombstone_writes = vec![QuorumWriteRequest { call: 1, write: QuorumWrite::Tombstone(KEY) }];
    let quorum_write_heartbeat = MessageBody::Heartbeat {
        voter: false,
        configuration: REVISION,
        committed_configuration: REVISION,
        leaving: false,
        zone: String::new(),
        registers_digest: 0,
        supports_quorum_writes: true,
    };
    let full_chunk = MessageBody::SnapshotChunk {
        catch_up_id: 7,
        leases: vec![
            LeaseEntry { key: KEY, lease: lease(LeaseOutcome::Pending) },
            LeaseEntry { key: 1, lease: lease(LeaseOutcome::Completed(response())) },
        ],
        next_key: Some(KEY),
        configuration: Some(content()),
        sessions: vec![SessionEntry { session: SESSION, record: session_record() }],
        registers: vec![named()],
        next_register: Some("n".into()),
        acceptors: vec![acceptor_state()],
        tombstones: Vec::new(),
    };
    let minimal_chunk = MessageBody::SnapshotChunk {
        catch_up_id: 7,
        leases: Vec::new(),
        next_key: None,
        configuration: None,
        sessions: Vec::new(),
        registers: Vec::new(),
        next_register: None,
        acceptors: Vec::new(),
        tombstones: Vec::new(),
    };
    let tombstone_chunk = MessageBody::SnapshotChunk {
        catch_up_id: 7,
        leases: Vec::new(),
        next_key: None,
        configuration: None,
        sessions: Vec::new(),
        registers: Vec::new(),
        next_register: None,
        acceptors: Vec::new(),
        tombstones: vec![KEY],
    };
    let revisions = || vec![RegisterRevision { name: "members".into(), revision: REVISION }];
    let all = vec![
        ("beat_all", heartbeat("zone-a", u128::MAX)),
        ("beat_least", heartbeat("", 0)),
        ("holds", MessageBody::MembershipAnnouncement(membership())),
        ("prepare", MessageBody::Prepare(ballot())),
        ("promise_all", MessageBody::Promise { ballot: ballot(), accepted: Some(accepted_membership()) }),
        ("promise_least", MessageBody::Promise { ballot: ballot(), accepted: None }),
        ("accept", MessageBody::Accept(ballot(), membership())),
        ("accepted", MessageBody::Accepted(ballot())),
        ("bar", MessageBody::PrepareRollback(ballot())),
        (
            "barred_all",
            MessageBody::RollbackPromise { ballot: ballot(), accepted: Some(accepted_membership()) },
        ),
        ("barred_least", MessageBody::RollbackPromise { ballot: ballot(), accepted: None }),
        ("outbid", MessageBody::Preempted(ballot())),
        (
            "grant",
            MessageBody::RequestLeases(vec![LeaseRequest {
                call: 1,
                key: KEY,
                token: 99,
                time_left_ms: 70_000,
            }]),
        ),
        ("granted", MessageBody::LeaseVotes(votes)),
        ("settle", MessageBody::CompleteLeases(completions)),
        ("store_quorum_writes", MessageBody::StoreQuorumWrites(quorum_writes)),
        ("quorum_writes_stored", MessageBody::QuorumWritesStored(vec![1, 2])),
        ("beat_quorum_writes", quorum_write_heartbeat),
        ("store_tombstones", MessageBody::StoreQuorumWrites(tombstone_writes)),
        ("find_tombstones", MessageBody::FindTombstones(vec![TombstoneQuery { call: 1, id: KEY }])),
        ("tombstones_found", MessageBody::TombstonesFound(vec![TombstoneReply { call: 1, exists: true }])),
        ("state_tombstones", tombstone_chunk),
        ("hold", MessageBody::StoreConfiguration(content())),
        ("want_sheet", MessageBody::FetchConfiguration { read_id: 5, known: REVISION }),
        ("held", MessageBody::ConfigurationStored { read_id: 5, revision: REVISION }),
        (
            "want_state_all",
            MessageBody::FetchSnapshot { from_key: KEY, catch_up_id: 7, from_register: Some("m".into()) },
        ),
        (
            "want_state_least",
            MessageBody::FetchSnapshot { from_key: KEY, catch_up_id: 7, from_register: None },
        ),
        ("state_all", full_chunk),
        ("state_least", minimal_chunk),
        ("hold_papers", MessageBody::StoreRegisters(vec![named()])),
        ("want_papers", MessageBody::FetchRegisters { read_id: 5, known: revisions() }),
        (
            "papers_held_all",
            MessageBody::RegistersStored {
                read_id: 5,
                voter: true,
                revisions: revisions(),
                next: Some("n".into()),
            },
        ),
        (
            "papers_held_least",
            MessageBody::RegistersStored { read_id: 0, voter: false, revisions: Vec::new(), next: None },
        ),
        ("list_papers", MessageBody::ListRegisters("m".into())),
    ];
    let mut all: Vec<(String, MessageBody)> =
        all.into_iter().map(|(name, body)| (name.into(), body)).collect();
    all.extend(
        session_messages()
            .into_iter()
            .map(|(name, message)| (format!("sessions_{name}"), MessageBody::Sessions(vec![message]))),
    );
    all.extend(
        register_paxos_messages()
            .into_iter()
            .map(|(name, message)| (format!("version_{name}"), MessageBody::RegisterPaxos(message))),
    );
    all
}

/// Does not compile if there is a new variant, which then needs a sample in `message_bodies`.
fn has_sample(body: &MessageBody) -> bool {
    match body {
        MessageBody::Heartbeat { .. }
        | MessageBody::MembershipAnnouncement(_)
        | MessageBody::Prepare(_)
        | MessageBody::Promise { .. }
        | MessageBody::Accept(..) => true,
        MessageBody::Accepted(_)
        | MessageBody::PrepareRollback(_)
        | MessageBody::RollbackPromise { .. }
        | MessageBody::Preempted(_)
        | MessageBody::RequestLeases(_) => true,
        MessageBody::LeaseVotes(_)
        | MessageBody::CompleteLeases(_)
        | MessageBody::StoreQuorumWrites(_)
        | MessageBody::QuorumWritesStored(_)
        | MessageBody::FindTombstones(_)
        | MessageBody::TombstonesFound(_)
        | MessageBody::StoreConfiguration(_)
        | MessageBody::FetchConfiguration { .. } => true,
        MessageBody::ConfigurationStored { .. }
        | MessageBody::FetchSnapshot { .. }
        | MessageBody::SnapshotChunk { .. }
        | MessageBody::Sessions(_) => true,
        MessageBody::RegisterPaxos(_)
        | MessageBody::StoreRegisters(_)
        | MessageBody::FetchRegisters { .. } => true,
        MessageBody::RegistersStored { .. } | MessageBody::ListRegisters(_) => true,
    }
}

#[test]
fn messages_keep_their_encoding() {
    let mut forms = FrozenForms::open("messages");
    for (name, message) in register_paxos_messages() {
        forms.assert_encodes_as(&format!("version_message_{name}"), &message);
    }
    for (name, body) in message_bodies() {
        assert!(has_sample(&body));
        forms.assert_encodes_as(&format!("body_{name}"), &body);
    }
    let body = MessageBody::Accepted(ballot());
    forms.assert_encodes_as("letter", &Message { from: replica(1), epoch: 7, body });
    forms.finish();
}
