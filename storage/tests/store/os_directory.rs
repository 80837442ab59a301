//! The store on a real directory.

use std::fs;
use std::sync::Arc;

use ochreshed_consensus::messages::{Lease, LeaseOutcome, LogRecord, SessionId, SessionRecord};
use ochreshed_storage::{Store, read_register_history};

use crate::records::{configuration, lease, membership_ballot, named_register};
use crate::replica_state::ReplicaState;
use crate::temp_directory::TempDirectory;

const RETAINED_VERSIONS: usize = 5;

/// A lease with a response and a header longer than a frame.
fn long_lease() -> Lease {
    let mut long = lease(2, Some(300_000));
    if let LeaseOutcome::Completed(response) = &mut long.outcome {
        Arc::make_mut(response).headers.push(("x".repeat(9_000), "y".repeat(70_000)));
    }
    long
}

/// The operator's configuration is readable in its file, long records are recovered, and unknown files are ignored.
#[test]
fn a_real_directory_recovers_and_ignores_unknown_files() {
    let dir = TempDirectory::new("store");
    let (mut store, persisted) = Store::open(dir.path()).expect("opens");
    assert_eq!(ReplicaState::from_persisted(&persisted), ReplicaState::default());
    let mut durable = ReplicaState::default();
    let mut records =
        vec![LogRecord::Lease(u128::MAX, long_lease()), LogRecord::MembershipBallot(membership_ballot(1))];
    records.extend((0..3_000).map(|key| LogRecord::Lease(key, lease(key as u64, Some(9)))));
    records.extend((1..9).map(configuration));
    store.persist(&records).expect("written");
    durable.apply_all(&records);
    let indeterminate = Lease { token: 9, time_left_ms: 0, outcome: LeaseOutcome::Indeterminate };
    let records = [LogRecord::Lease(7, indeterminate)];
    store.persist(&records).expect("written");
    durable.apply_all(&records);
    for version in 9..20 {
        store.persist(&[configuration(version)]).expect("written");
        durable.apply(&configuration(version));
    }
    let revision = durable.configuration.as_ref().map(|value| value.revision()).unwrap_or_default();
    let newest = format!("timetable/r{}-{:016x}.json", revision.version, revision.digest);
    assert_eq!(fs::read(dir.join(&newest)).expect("exists"), b"{\"version\":19}");
    assert_eq!(fs::read_dir(dir.join("timetable")).expect("exists").count(), RETAINED_VERSIONS);
    assert!(!dir.join("papers").exists(), "no named register was persisted");
    for version in 1..9 {
        let records = ["members", "m/A_b", "m/A_62"].map(|name| named_register(name, version));
        store.persist(&records).expect("written");
        durable.apply_all(&records);
    }
    let history = read_register_history(dir.path(), "m/A_b").expect("exists");
    let versions: Vec<u64> = history.iter().map(|value| value.version).collect();
    assert_eq!(versions, [8, 7, 6, 5, 4]);
    drop(store);
    for path in [
        "papers/members.r99-0000000000000000.json",
        "papers/m_2g.r99-0000000000000000.json",
        "claims/7",
        "claims/000009",
        "claims/x",
        "timetable/r1-00.json",
        "timetable/r99-0000000000000000.json",
    ] {
        fs::write(dir.join(path), b"\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0").expect("written");
    }
    let (mut store, persisted) = Store::open(dir.path()).expect("opens");
    assert_eq!(ReplicaState::from_persisted(&persisted), durable);
    assert_eq!(store.findings().len(), 3, "{:?}", store.findings());
    store.persist(&[LogRecord::LeaseReleased(7, 9)]).expect("written");
    assert!(dir.join("claims/000010").exists());
}

/// Earlier versions must not find records in the lease log that they can't decode: they would treat the rest as torn.
#[test]
fn sessions_have_a_log_of_their_own() {
    let dir = TempDirectory::new("sessions");
    let session = |term| SessionRecord { term, token: term, accepted: None };
    let (mut store, _) = Store::open(dir.path()).expect("opens");
    store.persist(&[LogRecord::Lease(1, lease(1, None))]).expect("written");
    assert!(!dir.join("sessions").exists());
    let bytes_before = store.disk_bytes();
    let records: Vec<LogRecord> =
        (1..4_000).map(|number| LogRecord::Session(number % 5, session(number as u64))).collect();
    for batch in records.chunks(3) {
        store.persist(batch).expect("written");
    }
    store.persist(&[LogRecord::SessionEnded(2), LogRecord::Lease(2, lease(2, None))]).expect("written");
    println!("{} bytes for {} records of sessions", store.disk_bytes() - bytes_before, records.len());
    drop(store);
    let (_, persisted) = Store::open(dir.path()).expect("opens");
    let terms: Vec<(SessionId, u64)> =
        persisted.sessions.iter().map(|entry| (entry.session, entry.record.term)).collect();
    assert_eq!(terms, [(0, 3_995), (1, 3_996), (3, 3_998), (4, 3_999)]);
    assert_eq!(persisted.leases.len(), 2);
    // Without the subdirectory, only the leases are recovered.
    fs::rename(dir.join("sessions"), dir.join("elsewhere")).expect("renamed");
    let (_, alone) = Store::open(dir.path()).expect("opens");
    assert_eq!((alone.leases.len(), alone.sessions.len()), (2, 0));
}
