//! The bytes of messages, against a fixture written by an earlier build: old and new builds must understand each other in one
//! fleet.

use std::path::{Path, PathBuf};

use ochreshed_membership::record::{MemberRecord, MemberState, NamedRecord};
use ochreshed_membership::wire::{
    DIGEST_BUCKETS, DecodeError, FIRST_EXTENSION_KIND, Message, MessageBody, Sender, decode, encode,
};

fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// Rewrites a fixture if WRITE_FIXTURES=1, and then fails: the test never passes on bytes that it has just written.
fn write_fixture_if_asked(name: &str, content: &[u8]) {
    if std::env::var_os("WRITE_FIXTURES").is_some_and(|value| value == "1") {
        std::fs::write(fixture_path(name), content).expect("a writable fixture");
        panic!("fixture {name} written");
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    digits
        .map(|two| u8::from_str_radix(str::from_utf8(two).expect("digits"), 16).expect("hexadecimal"))
        .collect()
}

/// Checks that the samples, by label, have the bytes of the fixture. Returns the fixture's bytes.
fn check_fixture(name: &str, samples: &[(String, Vec<u8>)]) -> Vec<Vec<u8>> {
    let actual: String =
        samples.iter().map(|(label, bytes)| format!("{label}: {}\n", to_hex(bytes))).collect();
    write_fixture_if_asked(name, actual.as_bytes());
    let fixture = std::fs::read_to_string(fixture_path(name)).expect("a fixture");
    for (fixture, actual) in fixture.lines().zip(actual.lines()) {
        assert_eq!(fixture, actual, "{name}");
    }
    assert_eq!(fixture, actual, "{name}");
    fixture.lines().map(|line| from_hex(line.split_once(": ").expect("a label and bytes").1)).collect()
}

const FLEET: u64 = 0x0102_0304_0506_0708;

fn digest() -> [u32; DIGEST_BUCKETS] {
    std::array::from_fn(|bucket| (bucket as u32 + 1).wrapping_mul(0x9e37_79b9))
}

/// The label in the fixture of each kind of message. A new kind does not compile until it has one.
fn fixture_label(body: &MessageBody) -> &'static str {
    match body {
        MessageBody::Ping { .. } => "ping",
        MessageBody::Ack { .. } => "ack",
        MessageBody::Nack { .. } => "nack",
        MessageBody::PingRequest { .. } => "ping for",
        MessageBody::Join { .. } => "join",
        MessageBody::JoinReply => "welcome",
        MessageBody::DigestMismatch { .. } => "differ",
        MessageBody::Gossip => "gossip",
    }
}

fn messages() -> Vec<(String, Message)> {
    let sender = || Sender { name: "n1".into(), start_id: 0xfedc_ba98_7654_3210 };
    let all = [
        MessageBody::Ping { sequence: 5 },
        MessageBody::Ack { sequence: 300, digest: digest() },
        MessageBody::Nack { sequence: 70_000 },
        MessageBody::PingRequest { sequence: u64::MAX, target: "n2".into() },
        MessageBody::Join { padding: vec![0; 40] },
        MessageBody::JoinReply,
        MessageBody::DigestMismatch { digest: digest() },
        MessageBody::Gossip,
    ];
    let without_records = all.map(|body| {
        (
            fixture_label(&body).to_owned(),
            Message { sender: sender(), body, records: Vec::new(), extensions: Vec::new() },
        )
    });
    let record = |(index, state): (usize, MemberState)| -> NamedRecord {
        let address = if index % 2 == 0 { "10.1.0.13:7620" } else { "[2001:db8::1]:65535" };
        let address = address.parse().expect("an address");
        let incarnation = 127 + index as u64;
        (
            format!("m{index}"),
            MemberRecord { incarnation, state, start_id: 9 << (8 * index), address, zone: "quito-a".into() },
        )
    };
    let states = [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left];
    // A new state does not compile until it is listed above.
    states.iter().for_each(|state| match state {
        MemberState::Alive | MemberState::Suspect | MemberState::Dead | MemberState::Left => {}
    });
    let records: Vec<NamedRecord> = states.into_iter().enumerate().map(record).collect();
    let extensions = vec![(FIRST_EXTENSION_KIND, vec![1, 2, 3]), (FIRST_EXTENSION_KIND + 3, Vec::new())];
    let full = Message { sender: sender(), body: MessageBody::Gossip, records, extensions };
    without_records.into_iter().chain([("words and other news".to_owned(), full)]).collect()
}

#[test]
fn messages_are_encoded_and_decoded_as_before() {
    let messages = messages();
    let samples: Vec<_> =
        messages.iter().map(|(label, message)| (label.clone(), encode(FLEET, message))).collect();
    let fixture = check_fixture("messages.txt", &samples);
    for ((label, message), bytes) in messages.iter().zip(fixture) {
        let decoded = decode(FLEET, &bytes).unwrap_or_else(|error| panic!("{label}: {error:?}"));
        assert_eq!(&decoded, message, "{label}");
        assert_eq!(encode(FLEET, &decoded), bytes, "{label}");
    }
}

/// Operators read these words on the fleet's page and in logs.
#[test]
fn states_and_rejection_reasons_keep_their_words() {
    let states = [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left];
    assert_eq!(states.map(|state| format!("{state:?}")), ["Alive", "Suspect", "Dead", "Left"]);
    let errors = [
        DecodeError::Malformed,
        DecodeError::ChecksumMismatch,
        DecodeError::OtherFleet,
        DecodeError::UnknownFormat,
        DecodeError::InvalidSection,
    ];
    // A new reason does not compile until it is listed above.
    errors.iter().for_each(|error| match error {
        DecodeError::Malformed
        | DecodeError::ChecksumMismatch
        | DecodeError::OtherFleet
        | DecodeError::UnknownFormat
        | DecodeError::InvalidSection => {}
    });
    assert_eq!(errors.map(|error| error.reason()), ["NotOurs", "Checksum", "Fleet", "Format", "Part"]);
}
