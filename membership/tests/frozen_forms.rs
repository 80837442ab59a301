//! Messages of membership as builds that are in service write them, byte for byte: a fleet of old and new builds
//! must go on understanding each other.

use std::path::{Path, PathBuf};

use ochreshed_membership::wire::{FIRST_OTHER, From, Message, PARTS, What, Wrong, read, write};
use ochreshed_membership::word::{Named, State, Word};

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

const FLEET: u64 = 0x0102_0304_0506_0708;

fn digest() -> [u32; PARTS] {
    std::array::from_fn(|part| (part as u32 + 1).wrapping_mul(0x9e37_79b9))
}

/// A name for each kind of message. A new one does not compile until it has a sample.
fn kind(what: &What) -> &'static str {
    match what {
        What::Ping { .. } => "ping",
        What::Ack { .. } => "ack",
        What::Nack { .. } => "nack",
        What::PingFor { .. } => "ping for",
        What::Join { .. } => "join",
        What::Welcome => "welcome",
        What::Differ { .. } => "differ",
        What::Gossip => "gossip",
    }
}

fn messages() -> Vec<(String, Message)> {
    let from = || From { name: "n1".into(), start: 0xfedc_ba98_7654_3210 };
    let all = [
        What::Ping { number: 5 },
        What::Ack { number: 300, digest: digest() },
        What::Nack { number: 70_000 },
        What::PingFor { number: u64::MAX, name: "n2".into() },
        What::Join { padding: vec![0; 40] },
        What::Welcome,
        What::Differ { digest: digest() },
        What::Gossip,
    ];
    let plain = all.map(|what| {
        (kind(&what).to_owned(), Message { from: from(), what, words: Vec::new(), more: Vec::new() })
    });
    let word = |(nth, state): (usize, State)| -> Named {
        let address = if nth % 2 == 0 { "10.1.0.13:7620" } else { "[2001:db8::1]:65535" };
        let address = address.parse().expect("an address");
        let incarnation = 127 + nth as u64;
        (
            format!("m{nth}"),
            Word { incarnation, state, start: 9 << (8 * nth), address, zone: "quito-a".into() },
        )
    };
    let states = [State::Alive, State::Suspect, State::Dead, State::Left];
    // A new one does not compile until it is above.
    states.iter().for_each(|state| match state {
        State::Alive | State::Suspect | State::Dead | State::Left => {}
    });
    let words: Vec<Named> = states.into_iter().enumerate().map(word).collect();
    let more = vec![(FIRST_OTHER, vec![1, 2, 3]), (FIRST_OTHER + 3, Vec::new())];
    let full = Message { from: from(), what: What::Gossip, words, more };
    plain.into_iter().chain([("words and other news".to_owned(), full)]).collect()
}

#[test]
fn messages_are_written_and_read_as_before() {
    let messages = messages();
    let samples: Vec<_> =
        messages.iter().map(|(name, message)| (name.clone(), write(FLEET, message))).collect();
    let kept = frozen("messages.txt", &samples);
    for ((name, message), bytes) in messages.iter().zip(kept) {
        let read = read(FLEET, &bytes).unwrap_or_else(|why| panic!("{name}: {why:?}"));
        assert_eq!(&read, message, "{name}");
        assert_eq!(write(FLEET, &read), bytes, "{name}");
    }
}

/// Operators read these words on the fleet's page and in the log.
#[test]
fn states_and_reasons_for_rejection_keep_their_words() {
    let states = [State::Alive, State::Suspect, State::Dead, State::Left];
    assert_eq!(states.map(|state| format!("{state:?}")), ["Alive", "Suspect", "Dead", "Left"]);
    let errors = [Wrong::NotOurs, Wrong::Checksum, Wrong::Fleet, Wrong::Format, Wrong::Part];
    // A new one does not compile until it is above.
    errors.iter().for_each(|error| match error {
        Wrong::NotOurs | Wrong::Checksum | Wrong::Fleet | Wrong::Format | Wrong::Part => {}
    });
    assert_eq!(errors.map(|error| format!("{error:?}")), ["NotOurs", "Checksum", "Fleet", "Format", "Part"]);
}
