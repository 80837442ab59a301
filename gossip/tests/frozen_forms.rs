//! What instances say to each other, in datagrams and over a stream, as builds that are in service write it, byte for
//! byte: a fleet of old and new builds must go on understanding each other.

use std::path::{Path, PathBuf};

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ochreshed_gossip::node::{GossipNode, NodeSettings, Output};
use ochreshed_gossip::stream_sync::{FRAME_HEADER_BYTES, Hello, body_length, encode_frame, verify_body};
use ochreshed_gossip::{MS, S};
use ochreshed_membership::swim::{Destination, SwimConfig};
use ochreshed_membership::wire;
use ochreshed_replica::outcomes::OutcomeCounts;
use ochreshed_replica::status::ServerStatus;
use ochreshed_replica::store::{self, FINE_DIGEST_BUCKETS};

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

/// FNV-1a of "shop", as messages carry a fleet's name.
const FLEET: u64 = 0x46dc_5e18_e28e_2409;

#[test]
fn greetings_and_frames_are_written_and_read_as_before() {
    let hello = Hello::new(FLEET, "n1", 5, (0..FINE_DIGEST_BUCKETS as u32).map(|part| part % 300).collect());
    let samples = [
        ("hello".to_owned(), hello.encode()),
        ("frame".to_owned(), encode_frame(b"what differs")),
        ("last frame".to_owned(), encode_frame(&[])),
    ];
    let kept = frozen("stream.txt", &samples);
    let bodies: Vec<&[u8]> = kept
        .iter()
        .map(|bytes| {
            let (head, body) = bytes.split_first_chunk::<FRAME_HEADER_BYTES>().expect("a head");
            assert_eq!(body_length(head), Ok(body.len()));
            assert_eq!(verify_body(head, body), Ok(()));
            assert_eq!(&encode_frame(body), bytes);
            body
        })
        .collect();
    let read = Hello::decode(FLEET, bodies[0]).expect("a greeting");
    assert_eq!(read, hello);
    assert_eq!(read.encode(), kept[0]);
    assert_eq!(bodies[1..], [&b"what differs"[..], b""]);
}

fn address(nth: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1 + nth as u8], 7620))
}

fn peer(nth: usize) -> GossipNode {
    let settings = NodeSettings {
        fleet: "shop".into(),
        name: format!("n{nth}"),
        address: address(nth),
        zone: "a".into(),
        start_id: 7 + nth as u64,
        seeds: vec![address(0)],
        membership: SwimConfig::default(),
    };
    GossipNode::new(settings, 0)
}

/// What a datagram is, and of which parts.
fn kind(bytes: &[u8]) -> String {
    let message = wire::decode(FLEET, bytes).expect("a message");
    let body = match message.body {
        wire::MessageBody::Ping { .. } => "Ping",
        wire::MessageBody::Ack { .. } => "Ack",
        wire::MessageBody::Nack { .. } => "Nack",
        wire::MessageBody::PingRequest { .. } => "PingFor",
        wire::MessageBody::Join { .. } => "Join",
        wire::MessageBody::JoinReply => "Welcome",
        wire::MessageBody::DigestMismatch { .. } => "Differ",
        wire::MessageBody::Gossip => "Gossip",
    };
    let words = if message.records.is_empty() { "" } else { " words" };
    message.extensions.iter().fold(format!("{body}{words}"), |told, (kind, _)| format!("{told} {kind}"))
}

/// The first datagram of each kind in a talk of three instances, which is the same in every run: chance comes from their
/// starts. One joins, one counts failures, one hears of changes, one goes, and one is lost.
fn talk() -> BTreeMap<String, Vec<u8>> {
    let mut peers: Vec<GossipNode> = (0..3).map(peer).collect();
    let mut first = BTreeMap::new();
    for step in 0..600u64 {
        let now = step * 20 * MS;
        let list = |state| vec![("i-1".to_owned(), ServerStatus::Serving), ("i-2".to_owned(), state)];
        match step {
            100 => peers[0].apply_discovery(1, true, &list(ServerStatus::Serving)),
            150 => peers[0].apply_discovery(2, true, &list(ServerStatus::Draining)),
            200 => peers[1].record_outcomes(
                now,
                "i-1",
                "read",
                OutcomeCounts { succeeded: 3, failed: 2, lost: 1 },
            ),
            550 => peers[1].leave(now),
            _ => {}
        }
        let mut sent = Vec::new();
        for (nth, peer) in peers.iter_mut().enumerate() {
            if step < 550 || nth != 1 {
                peer.tick(now);
            }
            while let Some(output) = peer.poll_output() {
                match output {
                    Output::Send { to, bytes } => sent.push((nth, to, bytes)),
                    Output::Rejected { reason, .. } => panic!("{reason}"),
                    _ => {}
                }
            }
        }
        for (from, to, bytes) in sent {
            first.entry(kind(&bytes)).or_insert_with(|| bytes.clone());
            let to = match to {
                Destination::Member(name) => name[1..].parse().expect("a number"),
                Destination::Address(at) => (0..3).find(|nth| address(*nth) == at).expect("one of them"),
            };
            // The third one is not reached for a while.
            if !((300..500).contains(&step) && (to == 2 || from == 2)) && to != from {
                peers[to].receive(now, address(from), &bytes);
            }
        }
    }
    first
}

#[test]
fn datagrams_are_written_and_read_as_before() {
    let samples: Vec<_> = talk().into_iter().collect();
    let kept = frozen("datagrams.txt", &samples);
    let (mut listener, mut kinds) = (peer(9), Vec::new());
    for bytes in &kept {
        let message = wire::decode(FLEET, bytes).expect("a message");
        assert_eq!(&wire::encode(FLEET, &message), bytes);
        for (kind, body) in &message.extensions {
            kinds.push(*kind);
            if *kind == wire::FIRST_EXTENSION_KIND {
                assert!(!store::decode_updates(body).expect("items").is_empty());
            }
        }
        listener.receive(S, address(1), bytes);
        while let Some(output) = listener.poll_output() {
            assert!(!matches!(output, Output::Rejected { .. }), "{output:?}");
        }
    }
    kinds.sort();
    kinds.dedup();
    // Items, a digest, one that wants another back, and one that answers.
    assert_eq!(kinds, [16, 17, 18, 19]);
}

/// Operators read these reasons on the fleet's page and in the log.
#[test]
fn reasons_for_rejected_datagrams_keep_their_words() {
    let sender = wire::Sender { name: "n1".into(), start_id: 8 };
    let gossip = |more| wire::Message {
        sender: sender.clone(),
        body: wire::MessageBody::Gossip,
        records: Vec::new(),
        extensions: more,
    };
    let valid = wire::encode(FLEET, &gossip(Vec::new()));
    let other_fleet = wire::encode(FLEET + 1, &gossip(Vec::new()));
    let mut other_format = valid.clone();
    other_format[2] += 1;
    let mut damaged = valid.clone();
    damaged[11] ^= 1;
    let long_name = wire::Sender { name: "n".repeat(65), start_id: 8 };
    let unnamed = wire::encode(FLEET, &wire::Message { sender: long_name, ..gossip(Vec::new()) });
    // Extensions are read only from members.
    let mut receiver = peer(0);
    let address = address(1);
    let record = ochreshed_membership::record::MemberRecord {
        incarnation: 1,
        state: ochreshed_membership::record::MemberState::Alive,
        start_id: 8,
        address,
        zone: "a".into(),
    };
    let join = wire::MessageBody::Join { padding: vec![0; 900] };
    let join = wire::Message { body: join, records: vec![("n1".into(), record)], ..gossip(Vec::new()) };
    receiver.receive(0, address, &wire::encode(FLEET, &join));
    let short_digest = wire::encode(FLEET, &gossip(vec![(wire::FIRST_EXTENSION_KIND + 1, vec![0; 8])]));
    for bytes in [b"GET / HTTP/1.1".to_vec(), other_fleet, other_format, damaged, unnamed, short_digest] {
        receiver.receive(0, address, &bytes);
    }
    let reasons: Vec<&str> = receiver.traffic().rejected.keys().map(String::as_str).collect();
    assert_eq!(reasons, ["Checksum", "Fleet", "Format", "NotOurs", "Part", "a digest can't be read"]);
}
