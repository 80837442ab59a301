//! What copies tell each other as builds that are in service write it, byte for byte: a fleet of old and new builds
//! must go on understanding each other.

use std::path::{Path, PathBuf};

use ochreshed_replica::outcomes::{OutcomeCounts, OutcomeRow};
use ochreshed_replica::stamp::Stamp;
use ochreshed_replica::status::{ServerStatus, StampedStatus};
use ochreshed_replica::store::{Store, Update, decode_updates};

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
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    digits
        .map(|two| u8::from_str_radix(str::from_utf8(two).expect("digits"), 16).expect("hexadecimal"))
        .collect()
}

/// Samples by their names, as bytes: they must be those of the fixture, which are given.
fn frozen(name: &str, samples: &[(String, Vec<u8>)]) -> Vec<Vec<u8>> {
    let now: String = samples.iter().map(|(sample, bytes)| format!("{sample}: {}\n", hex(bytes))).collect();
    written(name, now.as_bytes());
    let kept = std::fs::read_to_string(file(name)).expect("a fixture");
    for (kept, now) in kept.lines().zip(now.lines()) {
        assert_eq!(kept, now, "{name}");
    }
    assert_eq!(kept, now, "{name}");
    kept.lines().map(|line| unhex(line.split_once(": ").expect("a name and bytes").1)).collect()
}

/// A name for each kind of item. A new one does not compile until it has a sample.
fn kind(item: &Update) -> String {
    match item {
        Update::Status { stamped: StampedStatus { status: ServerStatus::Serving, .. }, .. } => {
            "word that it serves".into()
        }
        Update::Status { stamped: StampedStatus { status: ServerStatus::Draining, .. }, .. } => {
            "word that it drains".into()
        }
        Update::Status { stamped: StampedStatus { status: ServerStatus::Gone, .. }, .. } => {
            "word that it is gone".into()
        }
        Update::Outcomes { .. } => "row".into(),
        Update::Floor(_) => "floor".into(),
    }
}

fn items() -> Vec<Update> {
    let word = |srv: &str, epoch, version, status| Update::Status {
        server: srv.into(),
        stamped: StampedStatus { stamp: Stamp { epoch, version }, status },
    };
    let counts = |succeeded, failed, lost| OutcomeCounts { succeeded, failed, lost };
    let row = OutcomeRow {
        start_id: 0xfedc_ba98_7654_3210,
        sequence: 300,
        zone: "quito-a".into(),
        rule_sets: vec!["read".into(), "pay".into()],
        entries: vec![("i-1".into(), 0, counts(1, 200, 0)), ("i-2".into(), 1, counts(u16::MAX, 0, 3))],
    };
    vec![
        word("i-1", 0, 1, ServerStatus::Serving),
        word("i-2", 1, 300, ServerStatus::Draining),
        word("i-3", u32::MAX, u64::MAX, ServerStatus::Gone),
        Update::Outcomes { writer: "n1".into(), row, age: 1_500_000_000 },
        Update::Floor(Stamp { epoch: 2, version: 70_000 }),
    ]
}

/// As postcard writes them on their own.
#[test]
fn items_are_written_and_read_as_before() {
    let items = items();
    let bytes = |item: &Update| postcard::to_stdvec(item).expect("bytes");
    let samples: Vec<_> = items.iter().map(|item| (kind(item), bytes(item))).collect();
    let kept = frozen("items.txt", &samples);
    for (item, kept) in items.iter().zip(kept) {
        let read: Update = postcard::from_bytes(&kept).expect("an item");
        assert_eq!(&read, item);
        assert_eq!(bytes(&read), kept);
    }
}

/// A copy's words as it passes them on, what differs of them, and a row.
fn store() -> Store {
    let mut store = Store::new("n1", 7, 100);
    let list = |of: &[(&str, ServerStatus)]| {
        of.iter().map(|(srv, state)| (srv.to_string(), *state)).collect::<Vec<_>>()
    };
    store.apply_discovery(
        40,
        true,
        &list(&[
            ("i-1", ServerStatus::Serving),
            ("i-2", ServerStatus::Draining),
            ("i-3", ServerStatus::Serving),
        ]),
    );
    store.apply_discovery(
        41,
        true,
        &list(&[("i-1", ServerStatus::Draining), ("i-2", ServerStatus::Draining)]),
    );
    store
}

#[test]
fn what_a_copy_sends_is_written_and_read_as_before() {
    let mut one = store();
    let digest: Vec<u8> = one.digest().iter().flat_map(|part| part.to_le_bytes()).collect();
    let fine: Vec<u8> = one.fine_digest().iter().flat_map(|part| part.to_le_bytes()).collect();
    let row = OutcomeRow {
        start_id: 0,
        sequence: 0,
        zone: "a".into(),
        rule_sets: vec!["read".into()],
        entries: vec![("i-1".into(), 0, OutcomeCounts { succeeded: 1, failed: 2, lost: 3 })],
    };
    let mut samples = vec![("digest".to_owned(), digest), ("fine digest".to_owned(), fine)];
    let differs = one.encode_differences(&[0; ochreshed_replica::store::DIGEST_BUCKETS], 1_000);
    samples.extend(differs.into_iter().enumerate().map(|(nth, piece)| (format!("piece {nth}"), piece)));
    samples.push(("delta".into(), one.next_delta(1_000, 3)));
    samples.push(("row".into(), one.record_own_outcomes(1, row)));
    let kept = frozen("sent.txt", &samples);
    // Whoever hears the kept bytes holds what this copy holds.
    let mut other = Store::new("n2", 8, 100);
    for bytes in &kept[2..] {
        other.merge_updates(1, decode_updates(bytes).expect("items"), |_| Some(7));
    }
    assert_eq!(other.digest(), one.digest());
    assert_eq!(
        other.outcomes().get("n1").map(|held| &held.row),
        one.outcomes().get("n1").map(|held| &held.row)
    );
    // And passes the same words on in the same bytes.
    let mut again = Store::new("n3", 9, 100);
    let delta = &kept[kept.len() - 2];
    again.merge_updates(1, decode_updates(delta).expect("items"), |_| Some(7));
    assert_eq!(&again.next_delta(1_000, 3), delta);
}

/// The operators' page and its log lines print these types by `{:?}`, and tools match the printed words.
#[test]
fn debug_texts_on_the_operators_page_stay() {
    let states =
        [ServerStatus::Serving, ServerStatus::Draining, ServerStatus::Gone].map(|state| format!("{state:?}"));
    assert_eq!(states, ["Serves", "Drains", "Gone"]);
    assert_eq!(format!("{:?}", Stamp { epoch: 2, version: 7 }), "Stamp { epoch: 2, version: 7 }");
}

/// Peers log these texts and count rejected datagrams under them.
#[test]
fn decoding_errors_keep_their_texts() {
    assert_eq!(decode_updates(&[1, 9, 0, 1]), Err("an item is cut"));
    assert_eq!(decode_updates(&[1, 9]), Err("an item is cut"));
    assert_eq!(decode_updates(&[1, 1, 0, 9]), Err("an item can't be read"));
}
