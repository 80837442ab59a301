//! The texts of errors and findings, which operators search the log for.

use std::error::Error;
use std::io;

use ochreshed_storage::{RecoveryFinding, StoreError};

#[test]
fn errors_name_the_path_and_keep_their_texts() {
    let path = || "claims/000001".to_owned();
    let source = || io::Error::other("no room");
    for (error, text) in [
        (StoreError::Read { path: path(), source: source() }, "claims/000001 can't be read: no room"),
        (StoreError::Write { path: path(), source: source() }, "claims/000001 can't be written: no room"),
        (StoreError::Sync { path: path(), source: source() }, "claims/000001 can't be synced: no room"),
        (
            StoreError::ChangeEntry { path: path(), source: source() },
            "claims/000001 can't be made, renamed or removed: no room",
        ),
    ] {
        assert_eq!(error.to_string(), text);
        assert!(error.source().is_some_and(|source| source.to_string() == "no room"), "{text}");
    }
    assert_eq!(StoreError::BatchTooLarge.to_string(), "more records in one go than a segment takes");
    assert_eq!(
        StoreError::AcceptorsWithoutMembership.to_string(),
        "a record can't be written: ballots on versions of nobody"
    );
}

#[test]
fn findings_keep_their_texts() {
    let damaged = RecoveryFinding::DamagedBallotSlot { path: "ballots.0".into() };
    assert_eq!(damaged.to_string(), "ballots.0: not whole");
    let torn =
        RecoveryFinding::TornSegment { path: "claims/000002".into(), intact_bytes: 71, total_bytes: 90 };
    assert_eq!(torn.to_string(), "claims/000002: 71 of 90 bytes are whole");
    let quarantined = RecoveryFinding::Quarantined { path: "ballots.1".into(), bytes: 12 };
    assert_eq!(quarantined.to_string(), "ballots.1: 12 bytes can't be read, put aside");
}
