//! What copies tell each other as builds that are in service write it, byte for byte: a fleet of old and new builds
//! must go on understanding each other.

use std::path::{Path, PathBuf};

use ochreshed_replica::rows::{Counts, Row};
use ochreshed_replica::stamp::Stamp;
use ochreshed_replica::store::{Item, Store, read};
use ochreshed_replica::words::{State, Word};

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
fn kind(item: &Item) -> String {
    match item {
        Item::Word { word: Word { state: State::Serves, .. }, .. } => "word that it serves".into(),
        Item::Word { word: Word { state: State::Drains, .. }, .. } => "word that it drains".into(),
        Item::Word { word: Word { state: State::Gone, .. }, .. } => "word that it is gone".into(),
        Item::Row { .. } => "row".into(),
        Item::Floor(_) => "floor".into(),
    }
}

fn items() -> Vec<Item> {
    let word = |srv: &str, epoch, version, state| Item::Word {
        srv: srv.into(),
        word: Word { stamp: Stamp { epoch, version }, state },
    };
    let counts = |done, failed, lost| Counts { done, failed, lost };
    let row = Row {
        start: 0xfedc_ba98_7654_3210,
        number: 300,
        zone: "quito-a".into(),
        sets: vec!["read".into(), "pay".into()],
        srvs: vec![("i-1".into(), 0, counts(1, 200, 0)), ("i-2".into(), 1, counts(u16::MAX, 0, 3))],
    };
    vec![
        word("i-1", 0, 1, State::Serves),
        word("i-2", 1, 300, State::Drains),
        word("i-3", u32::MAX, u64::MAX, State::Gone),
        Item::Row { writer: "n1".into(), row, age: 1_500_000_000 },
        Item::Floor(Stamp { epoch: 2, version: 70_000 }),
    ]
}

/// As postcard writes them on their own.
#[test]
fn items_are_written_and_read_as_before() {
    let items = items();
    let bytes = |item: &Item| postcard::to_stdvec(item).expect("bytes");
    let samples: Vec<_> = items.iter().map(|item| (kind(item), bytes(item))).collect();
    let kept = frozen("items.txt", &samples);
    for (item, kept) in items.iter().zip(kept) {
        let read: Item = postcard::from_bytes(&kept).expect("an item");
        assert_eq!(&read, item);
        assert_eq!(bytes(&read), kept);
    }
}

/// A copy's words as it passes them on, what differs of them, and a row.
fn store() -> Store {
    let mut store = Store::new("n1", 7, 100);
    let list =
        |of: &[(&str, State)]| of.iter().map(|(srv, state)| (srv.to_string(), *state)).collect::<Vec<_>>();
    store.listed(40, true, &list(&[("i-1", State::Serves), ("i-2", State::Drains), ("i-3", State::Serves)]));
    store.listed(41, true, &list(&[("i-1", State::Drains), ("i-2", State::Drains)]));
    store
}

#[test]
fn what_a_copy_sends_is_written_and_read_as_before() {
    let mut one = store();
    let digest: Vec<u8> = one.digest().iter().flat_map(|part| part.to_le_bytes()).collect();
    let fine: Vec<u8> = one.fine().iter().flat_map(|part| part.to_le_bytes()).collect();
    let row = Row {
        start: 0,
        number: 0,
        zone: "a".into(),
        sets: vec!["read".into()],
        srvs: vec![("i-1".into(), 0, Counts { done: 1, failed: 2, lost: 3 })],
    };
    let mut samples = vec![("digest".to_owned(), digest), ("fine digest".to_owned(), fine)];
    let differs = one.differing(&[0; ochreshed_replica::store::PARTS], 1_000);
    samples.extend(differs.into_iter().enumerate().map(|(nth, piece)| (format!("piece {nth}"), piece)));
    samples.push(("delta".into(), one.delta(1_000, 3)));
    samples.push(("row".into(), one.count(1, row)));
    let kept = frozen("sent.txt", &samples);
    // Whoever hears the kept bytes holds what this copy holds.
    let mut other = Store::new("n2", 8, 100);
    for bytes in &kept[2..] {
        other.hear(1, read(bytes).expect("items"), |_| Some(7));
    }
    assert_eq!(other.digest(), one.digest());
    assert_eq!(other.rows().get("n1").map(|held| &held.row), one.rows().get("n1").map(|held| &held.row));
    // And passes the same words on in the same bytes.
    let mut again = Store::new("n3", 9, 100);
    let delta = &kept[kept.len() - 2];
    again.hear(1, read(delta).expect("items"), |_| Some(7));
    assert_eq!(&again.delta(1_000, 3), delta);
}

/// The operators' page and its log lines print these types by `{:?}`, and tools match the printed words.
#[test]
fn debug_texts_on_the_operators_page_stay() {
    let states = [State::Serves, State::Drains, State::Gone].map(|state| format!("{state:?}"));
    assert_eq!(states, ["Serves", "Drains", "Gone"]);
    assert_eq!(format!("{:?}", Stamp { epoch: 2, version: 7 }), "Stamp { epoch: 2, version: 7 }");
}

/// Peers log these texts and count rejected datagrams under them.
#[test]
fn decoding_errors_keep_their_texts() {
    assert_eq!(read(&[1, 9, 0, 1]), Err("an item is cut"));
    assert_eq!(read(&[1, 9]), Err("an item is cut"));
    assert_eq!(read(&[1, 1, 0, 9]), Err("an item can't be read"));
}
