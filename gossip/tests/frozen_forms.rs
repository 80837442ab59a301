//! The bytes of datagrams and stream frames, against fixtures written by an earlier build: old and new builds must understand
//! each other in one fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ochreshed_gossip::node::{GossipNode, NodeSettings, Output};
use ochreshed_gossip::stream_sync::{FRAME_HEADER_BYTES, Hello, body_length, encode_frame, verify_body};
use ochreshed_gossip::{MS, S};
use ochreshed_membership::record::{MemberRecord, MemberState};
use ochreshed_membership::swim::{Destination, SwimConfig};
use ochreshed_membership::wire::{self, FIRST_EXTENSION_KIND, Message, MessageBody, Sender};
use ochreshed_replica::outcomes::OutcomeCounts;
use ochreshed_replica::status::ServerStatus;
use ochreshed_replica::store::{self, FINE_DIGEST_BUCKETS};

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

/// FNV-1a of "shop", as messages carry a fleet's name.
const FLEET: u64 = 0x46dc_5e18_e28e_2409;

#[test]
fn stream_frames_are_encoded_and_decoded_as_before() {
    let digest = (0..FINE_DIGEST_BUCKETS as u32).map(|bucket| bucket % 300).collect();
    let hello = Hello::new(FLEET, "n1", 5, digest);
    let samples = [
        ("hello".to_owned(), hello.encode()),
        ("frame".to_owned(), encode_frame(b"what differs")),
        ("last frame".to_owned(), encode_frame(&[])),
    ];
    let fixture = check_fixture("stream.txt", &samples);
    let bodies: Vec<&[u8]> = fixture
        .iter()
        .map(|bytes| {
            let (header, body) = bytes.split_first_chunk::<FRAME_HEADER_BYTES>().expect("a header");
            assert_eq!(body_length(header), Ok(body.len()));
            assert_eq!(verify_body(header, body), Ok(()));
            assert_eq!(&encode_frame(body), bytes);
            body
        })
        .collect();
    let decoded = Hello::decode(FLEET, bodies[0]).expect("a hello");
    assert_eq!(decoded, hello);
    assert_eq!(decoded.encode(), fixture[0]);
    assert_eq!(bodies[1..], [&b"what differs"[..], b""]);
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1 + node as u8], 7620))
}

fn new_node(node: usize) -> GossipNode {
    let settings = NodeSettings {
        fleet: "shop".into(),
        name: format!("n{node}"),
        address: address(node),
        zone: "a".into(),
        start_id: 7 + node as u64,
        seeds: vec![address(0)],
        membership: SwimConfig::default(),
    };
    GossipNode::new(settings, 0)
}

/// A datagram's label in the fixture: the kind of its message in the terms of the build that wrote the fixture, whether it
/// carries records, and the kinds of its extensions.
fn fixture_label(bytes: &[u8]) -> String {
    let message = wire::decode(FLEET, bytes).expect("a message");
    let body = match message.body {
        MessageBody::Ping { .. } => "Ping",
        MessageBody::Ack { .. } => "Ack",
        MessageBody::Nack { .. } => "Nack",
        MessageBody::PingRequest { .. } => "PingFor",
        MessageBody::Join { .. } => "Join",
        MessageBody::JoinReply => "Welcome",
        MessageBody::DigestMismatch { .. } => "Differ",
        MessageBody::Gossip => "Gossip",
    };
    let records = if message.records.is_empty() { "" } else { " words" };
    message.extensions.iter().fold(format!("{body}{records}"), |label, (kind, _)| format!("{label} {kind}"))
}

/// The first datagram of each label in an exchange of three nodes, which is the same in every run because random numbers come
/// from their starts: one joins, one counts failures, one hears of changes, one leaves, and one is cut off for a while.
fn first_datagrams() -> BTreeMap<String, Vec<u8>> {
    let mut nodes: Vec<GossipNode> = (0..3).map(new_node).collect();
    let mut first = BTreeMap::new();
    for step in 0..600u64 {
        let now = step * 20 * MS;
        let list = |status| vec![("i-1".to_owned(), ServerStatus::Serving), ("i-2".to_owned(), status)];
        let counts = OutcomeCounts { succeeded: 3, failed: 2, lost: 1 };
        match step {
            100 => nodes[0].apply_discovery(1, true, &list(ServerStatus::Serving)),
            150 => nodes[0].apply_discovery(2, true, &list(ServerStatus::Draining)),
            200 => nodes[1].record_outcomes(now, "i-1", "read", counts),
            550 => nodes[1].leave(now),
            _ => {}
        }
        let mut sent = Vec::new();
        for (number, node) in nodes.iter_mut().enumerate() {
            if step < 550 || number != 1 {
                node.tick(now);
            }
            while let Some(output) = node.poll_output() {
                match output {
                    Output::Send { to, bytes } => sent.push((number, to, bytes)),
                    Output::Rejected { reason, .. } => panic!("{reason}"),
                    _ => {}
                }
            }
        }
        for (from, to, bytes) in sent {
            first.entry(fixture_label(&bytes)).or_insert_with(|| bytes.clone());
            let to = match to {
                Destination::Member(name) => name[1..].parse().expect("a number"),
                Destination::Address(at) => {
                    (0..3).find(|number| address(*number) == at).expect("a node's address")
                }
            };
            let is_cut = (300..500).contains(&step) && (to == 2 || from == 2);
            if !is_cut && to != from {
                nodes[to].receive(now, address(from), &bytes);
            }
        }
    }
    first
}

#[test]
fn datagrams_are_encoded_and_decoded_as_before() {
    let samples: Vec<_> = first_datagrams().into_iter().collect();
    let fixture = check_fixture("datagrams.txt", &samples);
    let (mut receiver, mut kinds) = (new_node(9), Vec::new());
    for bytes in &fixture {
        let message = wire::decode(FLEET, bytes).expect("a message");
        assert_eq!(&wire::encode(FLEET, &message), bytes);
        for (kind, content) in &message.extensions {
            kinds.push(*kind);
            if *kind == FIRST_EXTENSION_KIND {
                assert!(!store::decode_updates(content).expect("updates").is_empty());
            }
        }
        receiver.receive(S, address(1), bytes);
        while let Some(output) = receiver.poll_output() {
            assert!(!matches!(output, Output::Rejected { .. }), "{output:?}");
        }
    }
    kinds.sort();
    kinds.dedup();
    // Updates, a digest, one that requests another, and one that replies.
    assert_eq!(kinds, [16, 17, 18, 19]);
}

/// Operators read these reasons on the fleet's page and in logs.
#[test]
fn rejection_reasons_keep_their_words() {
    let sender = Sender { name: "n1".into(), start_id: 8 };
    let gossip = |extensions| Message {
        sender: sender.clone(),
        body: MessageBody::Gossip,
        records: Vec::new(),
        extensions,
    };
    let valid = wire::encode(FLEET, &gossip(Vec::new()));
    let other_fleet = wire::encode(FLEET + 1, &gossip(Vec::new()));
    let mut other_format = valid.clone();
    other_format[2] += 1;
    let mut damaged = valid.clone();
    damaged[11] ^= 1;
    let long_name = Sender { name: "n".repeat(65), start_id: 8 };
    let long_name = wire::encode(FLEET, &Message { sender: long_name, ..gossip(Vec::new()) });
    // Extensions are read only from members, so the sender joins first.
    let mut receiver = new_node(0);
    let address = address(1);
    let state = MemberState::Alive;
    let record = MemberRecord { incarnation: 1, state, start_id: 8, address, zone: "a".into() };
    let body = MessageBody::Join { padding: vec![0; 900] };
    let join = Message { body, records: vec![("n1".into(), record)], ..gossip(Vec::new()) };
    receiver.receive(0, address, &wire::encode(FLEET, &join));
    let short_digest = wire::encode(FLEET, &gossip(vec![(FIRST_EXTENSION_KIND + 1, vec![0; 8])]));
    for bytes in [b"GET / HTTP/1.1".to_vec(), other_fleet, other_format, damaged, long_name, short_digest] {
        receiver.receive(0, address, &bytes);
    }
    let reasons: Vec<&str> = receiver.traffic().rejected.keys().map(String::as_str).collect();
    assert_eq!(reasons, ["Checksum", "Fleet", "Format", "NotOurs", "Part", "a digest can't be read"]);
}
