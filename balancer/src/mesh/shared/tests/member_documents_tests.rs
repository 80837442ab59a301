//! Tests of register names and of the order of revisions.

use ochreshed_consensus::messages::{RegisterValue, Revision};

use super::{DocumentName, MemberDocumentStore};

#[test]
fn register_names_round_trip() {
    let names = [
        (DocumentName::MemberRegister, "members"),
        (DocumentName::Settled("norte"), "m/norte"),
        (DocumentName::Canary("norte"), "t/norte"),
        (DocumentName::Withdrawn("a/b"), "w/a/b"),
    ];
    for (name, register) in names {
        assert_eq!(&*name.register(), register);
        assert_eq!(DocumentName::parse(register), Some(name));
    }
    for other in ["", "member", "members/x", "x/norte", "norte"] {
        assert_eq!(DocumentName::parse(other), None, "{other}");
    }
}

#[test]
fn an_older_revision_does_not_replace_a_newer_one() {
    let mut documents = MemberDocumentStore::default();
    assert_eq!(documents.digest(), 0);
    let register = DocumentName::Withdrawn("norte").register();
    let (older, newer) = (RegisterValue::new(3, b"r3".to_vec()), RegisterValue::new(4, b"r4".to_vec()));
    assert!(documents.apply(&register, &newer));
    assert!(!documents.apply(&register, &older));
    assert!(!documents.apply(&register, &newer));
    assert_eq!(documents.revision(&register), newer.revision());
    assert_eq!(documents.revision("m/norte"), Revision::NONE);
    assert_eq!(documents.members["norte"].highest_version(), 4);
    assert!(documents.members["norte"].running_canary().is_none());
}

#[test]
fn an_unreadable_document_counts_as_applied() {
    let mut documents = MemberDocumentStore::default();
    let register = DocumentName::Settled("norte").register();
    let unreadable = RegisterValue::new(1, b"{".to_vec());
    assert!(documents.apply(&register, &unreadable));
    assert_eq!(documents.revision(&register), unreadable.revision());
    assert!(documents.settled_documents().is_empty());
}
