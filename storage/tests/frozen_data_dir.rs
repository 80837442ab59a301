//! The layout of a replica's data directory and the bytes of its files, compared with a directory that was written
//! before types were renamed.
//!
//! A run with `WRITE_FIXTURES=1` rewrites the fixture and always fails, so that it can't be taken for a test.

mod temp_directory;

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use ochreshed_consensus::messages::{
    AcceptedMembership, AcceptedValue, AcceptorState, Ballot, CommittedSession, Lease, LeaseEntry,
    LeaseOutcome, LogRecord, Membership, MembershipBallotState, NamedRegister, ProposalNumber, RegisterValue,
    ReplicaId, SessionBinding, SessionEntry, SessionOwner, SessionOwnership, SessionRecord, StoredResponse,
};
use ochreshed_storage::{Store, read_register_history};

use temp_directory::TempDirectory;

/// All files of the fixture.
const FILES: [&str; 14] = [
    "ballots.0",
    "ballots.1",
    "claims/000001",
    "claims/000002",
    "papers/m_2fbanco-norte.r1-22289d940d1f652d.json",
    "papers/members.r1-70cf61845fb5886a.json",
    "papers/members.r2-c83a436601016916.json",
    "sessions/claims/000001",
    "sessions/claims/000002",
    "timetable/r3-90a8e35d13d113ae.json",
    "timetable/r4-fae5e49b1bdb5f82.json",
    "timetable/r5-587dcff83565db8c.json",
    "timetable/r6-04d9f5552b9d99b8.json",
    "timetable/r7-1f42f36a01dbc1e4.json",
];

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, last], 8_300))
}

fn replica(last: u8) -> ReplicaId {
    ReplicaId { address: address(last), disk_id: u64::from(last) << 40 }
}

fn membership(epoch: u64) -> Membership {
    Membership {
        epoch,
        members: vec![replica(1), replica(2)],
        previous_members: vec![replica(3)],
        rolled_back: true,
    }
}

fn membership_ballot(epoch: u64) -> MembershipBallotState {
    MembershipBallotState {
        replica: replica(1),
        membership: membership(epoch),
        voter: true,
        promised: Ballot { round: 9, proposer: 2 },
        accepted: Some(AcceptedMembership {
            ballot: Ballot { round: 8, proposer: 1 },
            membership: membership(epoch + 1),
        }),
        served_snapshot: true,
        barred_from_serving: true,
    }
}

fn acceptors() -> Vec<AcceptorState> {
    let number = |round| ProposalNumber { epoch: 7, ballot: Ballot { round, proposer: 3 } };
    let accepted = |version, text: &str| {
        let value = Arc::new(RegisterValue::new(version, text.as_bytes().to_vec()));
        Some(AcceptedValue { number: number(4), value })
    };
    vec![
        AcceptorState {
            register: "".into(),
            version: 8,
            promised: number(5),
            accepted: accepted(8, "{\"edition\":\"r8\"}"),
        },
        AcceptorState {
            register: "members".into(),
            version: 3,
            promised: number(4),
            accepted: accepted(3, "{\"edition\":\"r3\",\"members\":[]}"),
        },
        AcceptorState { register: "m/banco-norte".into(), version: 2, promised: number(6), accepted: None },
    ]
}

fn configuration(version: u64) -> Arc<RegisterValue> {
    Arc::new(RegisterValue::new(
        version,
        format!("{{\"edition\":\"r{version}\",\"consignments\":[]}}").into_bytes(),
    ))
}

fn named(name: &str, version: u64) -> NamedRegister {
    let bytes = format!("{{\"edition\":\"r{version}\",\"of\":\"{name}\"}}").into_bytes();
    NamedRegister { name: name.into(), value: Arc::new(RegisterValue::new(version, bytes)) }
}

fn lease(token: u64, outcome: LeaseOutcome) -> Lease {
    Lease { token, time_left_ms: 70_000, outcome }
}

fn completed() -> LeaseOutcome {
    let headers = vec![("content-type".into(), "text/plain".into())];
    LeaseOutcome::Completed(Arc::new(StoredResponse { status: 201, headers, body: vec![0, 1, 255] }))
}

fn session_record(term: u64) -> SessionRecord {
    let owner = |last| Some(SessionOwner { outbound_proxy: address(last), since_term: term });
    let binding = Some(SessionBinding { upstream_id: "life-1".into(), inbound_proxy: address(8) });
    let ownership = SessionOwnership { binding, owner: owner(5), previous_owner: owner(6) };
    SessionRecord { term, token: 78, accepted: Some(CommittedSession { term, token: 77, ownership }) }
}

/// The records of each write. The store is reopened for each list of writes, which begins new segments.
fn writes() -> [Vec<Vec<LogRecord>>; 2] {
    let mut first: Vec<Vec<LogRecord>> =
        (1..=6).map(|version| vec![LogRecord::Configuration(configuration(version))]).collect();
    first.extend([
        vec![LogRecord::MembershipBallot(membership_ballot(6)), LogRecord::Register(named("members", 1))],
        vec![
            LogRecord::Lease(1, lease(11, LeaseOutcome::Pending)),
            LogRecord::Lease(2, lease(12, LeaseOutcome::Pending)),
            LogRecord::Lease(u128::MAX, lease(13, LeaseOutcome::Pending)),
            LogRecord::Lease(4, lease(14, LeaseOutcome::Pending)),
        ],
        vec![
            LogRecord::Session(1 << 100, session_record(3)),
            LogRecord::Session(2, session_record(1)),
            LogRecord::Session(3, SessionRecord { term: 5, token: 0, accepted: None }),
        ],
        vec![LogRecord::Configuration(configuration(2)), LogRecord::Register(named("m/banco-norte", 1))],
        vec![LogRecord::Lease(2, lease(12, completed()))],
    ]);
    let mut second: Vec<Vec<LogRecord>> =
        (2..=7).map(|version| vec![LogRecord::Configuration(configuration(version))]).collect();
    second.extend([
        vec![LogRecord::Register(named("members", 2))],
        vec![
            LogRecord::Lease(u128::MAX, lease(13, LeaseOutcome::Indeterminate)),
            LogRecord::LeaseReleased(4, 14),
        ],
        vec![LogRecord::SessionEnded(2), LogRecord::Session(1 << 100, session_record(4))],
        vec![LogRecord::Lease(5, lease(15, LeaseOutcome::Pending))],
        vec![LogRecord::RegisterAcceptors(acceptors()), LogRecord::MembershipBallot(membership_ballot(7))],
    ]);
    [first, second]
}

fn write_data_dir(dir: &Path) {
    for writes in writes() {
        let (mut store, _) = Store::open(dir).expect("opens");
        for records in writes {
            store.persist(&records).expect("written");
        }
        assert!(store.findings().is_empty(), "{:?}", store.findings());
    }
}

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/data_dir")
}

fn collect_files(root: &Path, directory: &Path, files: &mut BTreeMap<String, Vec<u8>>) {
    for entry in fs::read_dir(directory).unwrap_or_else(|error| panic!("{}: {error}", directory.display())) {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_files(root, &path, files);
        } else {
            let name = path.strip_prefix(root).expect("within the root").to_str().expect("UTF-8");
            files.insert(name.to_owned(), fs::read(&path).expect("read"));
        }
    }
}

/// The bytes of all files in a directory by their names.
fn files_of(root: &Path) -> BTreeMap<String, Vec<u8>> {
    let mut files = BTreeMap::new();
    collect_files(root, root, &mut files);
    files
}

fn names(files: &BTreeMap<String, Vec<u8>>) -> Vec<&str> {
    files.keys().map(String::as_str).collect()
}

fn copy_of_fixture(name: &str) -> TempDirectory {
    let directory = TempDirectory::new(name);
    for (path, bytes) in files_of(&fixture()) {
        let path = directory.join(path);
        fs::create_dir_all(path.parent().expect("a parent")).expect("directory created");
        fs::write(path, bytes).expect("written");
    }
    directory
}

#[test]
fn the_fixture_has_these_files() {
    assert_eq!(names(&files_of(&fixture())), FILES);
}

#[test]
fn the_fixture_is_recovered() {
    let directory = copy_of_fixture("frozen-read");
    let (store, saved) = Store::open(directory.path()).expect("opens");
    assert!(store.findings().is_empty(), "{:?}", store.findings());
    assert_eq!(saved.membership_ballot, Some(membership_ballot(7)));
    assert_eq!(saved.acceptors, acceptors());
    assert_eq!(saved.configuration, Some(configuration(7)));
    let leases = [
        (1, lease(11, LeaseOutcome::Pending)),
        (2, lease(12, completed())),
        (5, lease(15, LeaseOutcome::Pending)),
        (u128::MAX, lease(13, LeaseOutcome::Indeterminate)),
    ];
    assert_eq!(saved.leases, leases.map(LeaseEntry::from));
    let mut registers = saved.registers;
    registers.sort_by(|a, b| a.name.cmp(&b.name));
    assert_eq!(registers, [named("m/banco-norte", 1), named("members", 2)]);
    let sessions = [(3, SessionRecord { term: 5, token: 0, accepted: None }), (1 << 100, session_record(4))];
    assert_eq!(saved.sessions, sessions.map(SessionEntry::from));
    let versions: Vec<RegisterValue> = read_register_history(directory.path(), "members").expect("read");
    assert_eq!(versions, [2, 1].map(|version| RegisterValue::clone(&named("members", version).value)));
    // Recovery rewrites the ballots and changes no name.
    assert_eq!(names(&files_of(directory.path())), FILES);
}

/// Each slot can be read alone: one holds the newest state, the other the previous one.
#[test]
fn either_ballot_slot_is_read_alone() {
    for (removed, remaining) in [("ballots.0", "ballots.1"), ("ballots.1", "ballots.0")] {
        let directory = copy_of_fixture(&format!("frozen-{remaining}"));
        fs::remove_file(directory.join(removed)).expect("removed");
        let (_, saved) = Store::open(directory.path()).expect("opens");
        let expected = if remaining == NEWEST_SLOT { (7, acceptors()) } else { (6, Vec::new()) };
        assert_eq!(saved.membership_ballot, Some(membership_ballot(expected.0)), "{remaining}");
        assert_eq!(saved.acceptors, expected.1, "{remaining}");
    }
}

const NEWEST_SLOT: &str = "ballots.1";

#[test]
fn the_same_records_make_the_same_files() {
    if std::env::var_os("WRITE_FIXTURES").is_some_and(|value| value == "1") {
        let _ = fs::remove_dir_all(fixture());
        write_data_dir(&fixture());
        panic!("fixtures written");
    }
    let directory = TempDirectory::new("frozen-written");
    write_data_dir(directory.path());
    let (written, expected) = (files_of(directory.path()), files_of(&fixture()));
    assert_eq!(names(&written), names(&expected));
    for (name, bytes) in &expected {
        assert_eq!(written[name], *bytes, "{name}");
    }
}
