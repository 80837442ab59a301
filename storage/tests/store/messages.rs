//! The texts of errors and findings, which operators search for in the log.

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
            "claims/000001 can't be created, renamed or removed: no room",
        ),
    ] {
        assert_eq!(error.to_string(), text);
        assert!(error.source().is_some_and(|source| source.to_string() == "no room"), "{text}");
    }
    assert_eq!(StoreError::BatchTooLarge.to_string(), "the records of one write don't fit in a log segment");
    assert_eq!(
        StoreError::AcceptorsWithoutMembership.to_string(),
        "register acceptors can't be written before the first membership ballot"
    );
}

#[test]
fn findings_keep_their_texts() {
    let damaged = RecoveryFinding::DamagedBallotSlot { path: "ballots.0".into() };
    assert_eq!(damaged.to_string(), "ballots.0: not whole");
    let torn =
        RecoveryFinding::TornSegment { path: "claims/000002".into(), intact_bytes: 71, total_bytes: 90 };
    assert_eq!(torn.to_string(), "claims/000002: 71 of 90 bytes are intact, the rest is ignored");
    let quarantined = RecoveryFinding::Quarantined { path: "ballots.1".into(), bytes: 12 };
    assert_eq!(quarantined.to_string(), "ballots.1: 12 bytes can't be read, put aside");
}
