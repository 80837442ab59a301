//! The encodings of what replicas send each other, byte for byte as builds in service write them. A fleet of old and
//! new builds must keep understanding each other.

use std::path::{Path, PathBuf};

use ochreshed_replica::outcomes::{OutcomeCounts, OutcomeRow};
use ochreshed_replica::stamp::Stamp;
use ochreshed_replica::status::{ServerStatus, StampedStatus};
use ochreshed_replica::store::{DIGEST_BUCKETS, Store, Update, decode_updates};

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

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    digits
        .map(|pair| u8::from_str_radix(str::from_utf8(pair).expect("digits"), 16).expect("hexadecimal"))
        .collect()
}

/// Checks that the encoded samples equal those of the fixture, and returns the latter.
fn check_fixture(name: &str, samples: &[(String, Vec<u8>)]) -> Vec<Vec<u8>> {
    let actual: String =
        samples.iter().map(|(sample, bytes)| format!("{sample}: {}\n", to_hex(bytes))).collect();
    write_if_requested(name, actual.as_bytes());
    let expected = std::fs::read_to_string(fixture_path(name)).expect("a fixture");
    for (expected, actual) in expected.lines().zip(actual.lines()) {
        assert_eq!(expected, actual, "{name}");
    }
    assert_eq!(expected, actual, "{name}");
    expected.lines().map(|line| from_hex(line.split_once(": ").expect("a name and bytes").1)).collect()
}

/// The name of a kind of update in the fixture. A new kind does not compile until it has a sample.
fn sample_name(update: &Update) -> String {
    match update {
        Update::Status { entry: StampedStatus { status: ServerStatus::Serving, .. }, .. } => {
            "serving status".into()
        }
        Update::Status { entry: StampedStatus { status: ServerStatus::Draining, .. }, .. } => {
            "draining status".into()
        }
        Update::Status { entry: StampedStatus { status: ServerStatus::Gone, .. }, .. } => {
            "gone status".into()
        }
        Update::Outcomes { .. } => "outcomes".into(),
        Update::EvictionFloor(_) => "floor".into(),
    }
}

fn sample_updates() -> Vec<Update> {
    let status = |server: &str, epoch, version, status| Update::Status {
        server: server.into(),
        entry: StampedStatus { stamp: Stamp { epoch, version }, status },
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
        status("i-1", 0, 1, ServerStatus::Serving),
        status("i-2", 1, 300, ServerStatus::Draining),
        status("i-3", u32::MAX, u64::MAX, ServerStatus::Gone),
        Update::Outcomes { writer: "n1".into(), row, age: 1_500_000_000 },
        Update::EvictionFloor(Stamp { epoch: 2, version: 70_000 }),
    ]
}

/// The encoding of each update by postcard alone.
#[test]
fn encoded_updates_stay() {
    let updates = sample_updates();
    let encode = |update: &Update| postcard::to_stdvec(update).expect("bytes");
    let samples: Vec<_> = updates.iter().map(|update| (sample_name(update), encode(update))).collect();
    let expected = check_fixture("updates.txt", &samples);
    for (update, expected) in updates.iter().zip(expected) {
        let decoded: Update = postcard::from_bytes(&expected).expect("an update");
        assert_eq!(&decoded, update);
        assert_eq!(encode(&decoded), expected);
    }
}

fn store() -> Store {
    let mut store = Store::new("n1", 7, 100);
    let list = |entries: &[(&str, ServerStatus)]| {
        entries.iter().map(|(server, status)| (server.to_string(), *status)).collect::<Vec<_>>()
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
fn encoded_digests_differences_deltas_and_rows_stay() {
    let mut one = store();
    let digest: Vec<u8> = one.digest().iter().flat_map(|sum| sum.to_le_bytes()).collect();
    let fine: Vec<u8> = one.fine_digest().iter().flat_map(|sum| sum.to_le_bytes()).collect();
    let row = OutcomeRow {
        start_id: 0,
        sequence: 0,
        zone: "a".into(),
        rule_sets: vec!["read".into()],
        entries: vec![("i-1".into(), 0, OutcomeCounts { succeeded: 1, failed: 2, lost: 3 })],
    };
    let mut samples = vec![("digest".to_owned(), digest), ("fine digest".to_owned(), fine)];
    let differences = one.encode_differences(&[0; DIGEST_BUCKETS], 1_000);
    samples.extend(
        differences.into_iter().enumerate().map(|(nth, chunk)| (format!("difference chunk {nth}"), chunk)),
    );
    samples.push(("delta".into(), one.next_delta(1_000, 3)));
    samples.push(("outcome row".into(), one.record_own_outcomes(1, row)));
    let expected = check_fixture("messages.txt", &samples);
    // A replica that merges the bytes of the fixture equals the one that sent them.
    let mut other = Store::new("n2", 8, 100);
    for bytes in &expected[2..] {
        other.merge_updates(1, decode_updates(bytes).expect("updates"), |_| Some(7));
    }
    assert_eq!(other.digest(), one.digest());
    assert_eq!(
        other.outcomes().get("n1").map(|stored| &stored.row),
        one.outcomes().get("n1").map(|stored| &stored.row)
    );
    // It passes the same statuses on in the same bytes.
    let mut third = Store::new("n3", 9, 100);
    let delta = &expected[expected.len() - 2];
    third.merge_updates(1, decode_updates(delta).expect("updates"), |_| Some(7));
    assert_eq!(&third.next_delta(1_000, 3), delta);
}

/// The operators' page and its log lines print these types by `{:?}`, and tools match the printed words.
#[test]
fn debug_texts_on_the_operators_page_stay() {
    let statuses = [ServerStatus::Serving, ServerStatus::Draining, ServerStatus::Gone]
        .map(|status| format!("{status:?}"));
    assert_eq!(statuses, ["Serves", "Drains", "Gone"]);
    assert_eq!(format!("{:?}", Stamp { epoch: 2, version: 7 }), "Stamp { epoch: 2, version: 7 }");
}

/// The operators' page counts rejected datagrams by these texts.
#[test]
fn texts_of_decoding_errors_stay() {
    assert_eq!(decode_updates(&[1, 9, 0, 1]), Err("an item is cut"));
    assert_eq!(decode_updates(&[1, 9]), Err("an item is cut"));
    assert_eq!(decode_updates(&[1, 1, 0, 9]), Err("an item can't be read"));
}
