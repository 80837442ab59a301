//! A snapshot as builds that are in service write it, byte for byte: a build that starts in the place of another must
//! read what that one knew.

use std::path::{Path, PathBuf};

use ochreshed_recovery::begin::Source;
use ochreshed_recovery::disk::{NAME, NEW};
use ochreshed_recovery::snapshot::{Entry, Snapshot, Wrong};
use ochreshed_recovery::start::{Knows, Start};
use ochreshed_replica::stamp::Stamp;
use ochreshed_replica::status::{ServerStatus, StampedStatus};

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// With WRITE_FIXTURES=1 a fixture is written, and the test fails all the same: it never passes on what it has just
/// written.
fn written(name: &str, bytes: &[u8]) {
    if std::env::var_os("WRITE_FIXTURES").is_some_and(|told| told == "1") {
        std::fs::write(file(name), bytes).expect("a fixture");
        panic!("fixtures written");
    }
}

const FILE: &str = "snapshot.bin";

fn snapshot() -> Snapshot {
    let entry = |srv: &str, drains, came_up, weight, address: &str| Entry {
        srv: srv.into(),
        drains,
        came_up,
        weight,
        site: "quito-a".into(),
        cell: 300,
        address: address.parse().expect("an address"),
    };
    let word = |srv: &str, epoch, version, status| {
        (srv.to_owned(), StampedStatus { stamp: Stamp { epoch, version }, status })
    };
    Snapshot {
        fleet: "shop".into(),
        instance: "n1".into(),
        number: 70_000,
        written: 1_700_000_000_123_456_789,
        stamp: Stamp { epoch: 1, version: 41 },
        list: vec![
            entry("i-1", false, None, 1.0, "10.1.0.8:8300"),
            entry("i-2", true, Some(1_700_000_000_000), 0.25, "[2001:db8::1]:65535"),
        ],
        words: vec![
            word("i-1", 1, 41, ServerStatus::Serving),
            word("i-2", 1, 40, ServerStatus::Draining),
            word("i-3", 0, u64::MAX, ServerStatus::Gone),
        ],
        floor: Stamp { epoch: 0, version: 7 },
    }
}

#[test]
fn a_snapshot_is_written_and_read_as_before() {
    let bytes = snapshot().write();
    written(FILE, &bytes);
    let kept = std::fs::read(file(FILE)).expect("a fixture");
    let read = Snapshot::read(&kept).unwrap_or_else(|why| panic!("{why}"));
    assert_eq!(read, snapshot());
    assert_eq!(read.write(), kept);
    assert_eq!(bytes, kept);
    assert_eq!(Snapshot::own(&kept, "shop", "n1", 1_700_000_001_000_000_000), Ok(snapshot()));
}

#[test]
fn the_file_has_its_name() {
    assert_eq!(NAME, "snapshot");
    assert_eq!(NEW, "snapshot.new");
}

/// `ochreshed snapshot` and the log print these texts.
#[test]
fn snapshot_errors_keep_their_texts() {
    let texts = [
        (Wrong::NotOurs, "no snapshot"),
        (Wrong::Torn, "not whole"),
        (Wrong::Checksum, "damaged: its checksum is another"),
        (Wrong::Format(9), "of format 9, which this build does not know"),
        (Wrong::Unreadable, "its checksum is right and its body can't be read"),
        (Wrong::Foreign("n1 of fleet shop".into()), "of n1 of fleet shop"),
        (Wrong::Future(900), "written 900 s from now"),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}

/// The log prints where the first list came from by `{:?}`; the log and the metric `start.knows` show what a start goes
/// by, as a text and as a number.
#[test]
fn a_start_is_logged_and_measured_as_before() {
    let sources = [Source::Nothing, Source::Facts, Source::Snapshot].map(|source| format!("{source:?}"));
    assert_eq!(sources, ["Nothing", "Facts", "Snapshot"]);
    let all = [Knows::Nothing, Knows::OldList, Knows::Others, Knows::Discovery];
    assert_eq!(all.map(Knows::name), ["nothing", "an old list", "told by others", "told by discovery"]);
    assert_eq!(all.map(|knows| knows as u64), [0, 1, 2, 3]);
    assert_eq!([false, true].map(|list| Start::new(0, list).knows() as u64), [0, 1]);
}
