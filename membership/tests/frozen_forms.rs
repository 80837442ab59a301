//! Messages of membership as builds that are in service write them, byte for byte: a fleet of old and new builds
//! must go on understanding each other.

use std::path::{Path, PathBuf};

use ochreshed_membership::record::{MemberRecord, MemberState, NamedRecord};
use ochreshed_membership::wire::{
    DIGEST_BUCKETS, DecodeError, FIRST_EXTENSION_KIND, Message, MessageBody, Sender, decode, encode,
};

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

fn digest() -> [u32; DIGEST_BUCKETS] {
    std::array::from_fn(|part| (part as u32 + 1).wrapping_mul(0x9e37_79b9))
}

/// A name for each kind of message. A new one does not compile until it has a sample.
fn kind(body: &MessageBody) -> &'static str {
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
    let plain = all.map(|body| {
        (
            kind(&body).to_owned(),
            Message { sender: sender(), body, records: Vec::new(), extensions: Vec::new() },
        )
    });
    let word = |(nth, state): (usize, MemberState)| -> NamedRecord {
        let address = if nth % 2 == 0 { "10.1.0.13:7620" } else { "[2001:db8::1]:65535" };
        let address = address.parse().expect("an address");
        let incarnation = 127 + nth as u64;
        (
            format!("m{nth}"),
            MemberRecord { incarnation, state, start_id: 9 << (8 * nth), address, zone: "quito-a".into() },
        )
    };
    let states = [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left];
    // A new one does not compile until it is above.
    states.iter().for_each(|state| match state {
        MemberState::Alive | MemberState::Suspect | MemberState::Dead | MemberState::Left => {}
    });
    let records: Vec<NamedRecord> = states.into_iter().enumerate().map(word).collect();
    let extensions = vec![(FIRST_EXTENSION_KIND, vec![1, 2, 3]), (FIRST_EXTENSION_KIND + 3, Vec::new())];
    let full = Message { sender: sender(), body: MessageBody::Gossip, records, extensions };
    plain.into_iter().chain([("words and other news".to_owned(), full)]).collect()
}

#[test]
fn messages_are_written_and_read_as_before() {
    let messages = messages();
    let samples: Vec<_> =
        messages.iter().map(|(name, message)| (name.clone(), encode(FLEET, message))).collect();
    let kept = frozen("messages.txt", &samples);
    for ((name, message), bytes) in messages.iter().zip(kept) {
        let read = decode(FLEET, &bytes).unwrap_or_else(|why| panic!("{name}: {why:?}"));
        assert_eq!(&read, message, "{name}");
        assert_eq!(encode(FLEET, &read), bytes, "{name}");
    }
}

/// Operators read these words on the fleet's page and in the log.
#[test]
fn states_and_reasons_for_rejection_keep_their_words() {
    let states = [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left];
    assert_eq!(states.map(|state| format!("{state:?}")), ["Alive", "Suspect", "Dead", "Left"]);
    let errors = [
        DecodeError::Malformed,
        DecodeError::ChecksumMismatch,
        DecodeError::OtherFleet,
        DecodeError::UnknownFormat,
        DecodeError::InvalidSection,
    ];
    // A new one does not compile until it is above.
    errors.iter().for_each(|error| match error {
        DecodeError::Malformed
        | DecodeError::ChecksumMismatch
        | DecodeError::OtherFleet
        | DecodeError::UnknownFormat
        | DecodeError::InvalidSection => {}
    });
    assert_eq!(errors.map(|error| error.reason()), ["NotOurs", "Checksum", "Fleet", "Format", "Part"]);
}
