//! The encoding of a snapshot, byte for byte as builds in service write it, and the texts and numbers that operators
//! see. A build must read the snapshot that another build left.

use std::path::{Path, PathBuf};

use ochreshed_recovery::initial_list::ListSource;
use ochreshed_recovery::snapshot::{Snapshot, SnapshotEntry, SnapshotError};
use ochreshed_recovery::snapshot_file::{SNAPSHOT_FILE_NAME, TEMP_FILE_NAME};
use ochreshed_recovery::start_progress::{ListFreshness, StartProgress};
use ochreshed_replica::stamp::Stamp;
use ochreshed_replica::status::{ServerStatus, StampedStatus};

const FIXTURE: &str = "snapshot.bin";

fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// With WRITE_FIXTURES=1 writes the fixture. The test then fails, so that it never passes on what it has just written.
fn write_if_requested(name: &str, bytes: &[u8]) {
    if std::env::var_os("WRITE_FIXTURES").is_some_and(|value| value == "1") {
        std::fs::write(fixture_path(name), bytes).expect("a writable fixture");
        panic!("fixtures written");
    }
}

fn snapshot() -> Snapshot {
    let entry = |server: &str, draining, started_at, weight, address: &str| SnapshotEntry {
        server: server.into(),
        draining,
        started_at,
        weight,
        site: "quito-a".into(),
        cell: 300,
        address: address.parse().expect("an address"),
    };
    let status = |server: &str, epoch, version, status| {
        (server.to_owned(), StampedStatus { stamp: Stamp { epoch, version }, status })
    };
    Snapshot {
        fleet: "shop".into(),
        instance: "n1".into(),
        sequence: 70_000,
        written_at_unix_ns: 1_700_000_000_123_456_789,
        stamp: Stamp { epoch: 1, version: 41 },
        entries: vec![
            entry("i-1", false, None, 1.0, "10.1.0.8:8300"),
            entry("i-2", true, Some(1_700_000_000_000), 0.25, "[2001:db8::1]:65535"),
        ],
        statuses: vec![
            status("i-1", 1, 41, ServerStatus::Serving),
            status("i-2", 1, 40, ServerStatus::Draining),
            status("i-3", 0, u64::MAX, ServerStatus::Gone),
        ],
        floor: Stamp { epoch: 0, version: 7 },
    }
}

#[test]
fn encoded_snapshots_stay() {
    let bytes = snapshot().encode();
    write_if_requested(FIXTURE, &bytes);
    let expected = std::fs::read(fixture_path(FIXTURE)).expect("a fixture");
    let decoded = Snapshot::decode(&expected).unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(decoded, snapshot());
    assert_eq!(decoded.encode(), expected);
    assert_eq!(bytes, expected);
    assert_eq!(
        Snapshot::decode_for_instance(&expected, "shop", "n1", 1_700_000_001_000_000_000),
        Ok(snapshot())
    );
}

#[test]
fn file_names_stay() {
    assert_eq!(SNAPSHOT_FILE_NAME, "snapshot");
    assert_eq!(TEMP_FILE_NAME, "snapshot.new");
}

/// `ochreshed snapshot` and the log print these texts.
#[test]
fn texts_of_snapshot_errors_stay() {
    let texts = [
        (SnapshotError::NotASnapshot, "no snapshot"),
        (SnapshotError::LengthMismatch, "not whole"),
        (SnapshotError::ChecksumMismatch, "damaged: its checksum is another"),
        (SnapshotError::UnsupportedFormat(9), "of format 9, which this build does not know"),
        (SnapshotError::UndecodableBody, "its checksum is right and its body can't be read"),
        (SnapshotError::OtherOwner("n1 of fleet shop".into()), "of n1 of fleet shop"),
        (SnapshotError::WrittenInFuture(900), "written 900 s from now"),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}

/// The log prints the source of the initial list by `{:?}`. The freshness of the list appears in the log as a text and
/// in the metric `start.knows` as a number.
#[test]
fn logged_texts_and_metric_values_of_a_start_stay() {
    let sources =
        [ListSource::Nothing, ListSource::Facts, ListSource::Snapshot].map(|source| format!("{source:?}"));
    assert_eq!(sources, ["Nothing", "Facts", "Snapshot"]);
    let all = [
        ListFreshness::NoList,
        ListFreshness::StaleList,
        ListFreshness::ConfirmedByPeers,
        ListFreshness::ConfirmedByDiscovery,
    ];
    assert_eq!(
        all.map(ListFreshness::label),
        ["nothing", "an old list", "told by others", "told by discovery"]
    );
    assert_eq!(all.map(|freshness| freshness as u64), [0, 1, 2, 3]);
    assert_eq!([false, true].map(|has_list| StartProgress::new(0, has_list).freshness() as u64), [0, 1]);
}
