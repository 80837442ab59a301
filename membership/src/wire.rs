//! Messages as bytes: a header with format, fleet and checksum, then sections that each carry their kind and length, so that
//! a build skips kinds that it does not know. Decoding never reads past the stated bounds, whatever the bytes contain.

use serde::{Deserialize, Serialize};

use crate::record::{MAX_NAME_BYTES, NamedRecord};

/// The size of a message, which fits one datagram that no network on the way has to fragment.
pub const MAX_MESSAGE_BYTES: usize = 1_200;
const MAGIC: [u8; 2] = [0x0c, 0x4e];
const FORMAT: u8 = 1;
/// Magic, format, fleet and checksum.
const HEADER_BYTES: usize = 2 + 1 + 8 + 4;
/// Kind and length.
const SECTION_HEADER_BYTES: usize = 4;

/// Names are hashed into this many buckets, each with its own sum in a digest.
pub const DIGEST_BUCKETS: usize = 16;
/// One sum over the records in each bucket of names.
pub type Digest = [u32; DIGEST_BUCKETS];

/// The sender of a message: its name, and which process under that name it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Sender {
    pub name: String,
    pub start_id: u64,
}

/// The protocol step that a message is for, beside the records that it carries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    Ping {
        sequence: u64,
    },
    /// Answers a ping, with the digest of all live members that the sender knows.
    Ack {
        sequence: u64,
        digest: Digest,
    },
    /// The target of an indirect probe has not answered yet. It shows the requester that the relay itself is reachable.
    Nack {
        sequence: u64,
    },
    /// Asks the receiver to ping another member.
    PingRequest {
        sequence: u64,
        target: String,
    },
    /// Asks for members. Padded to the maximum size, so that no answer is longer than the request.
    Join {
        padding: Vec<u8>,
    },
    /// Answers a join.
    JoinReply,
    /// The receiver's digest differs from the sender's: carries the sender's digest, and its records of the buckets that
    /// differ.
    DigestMismatch {
        digest: Digest,
    },
    /// Records and extensions only.
    Gossip,
}

/// A decoded message.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Message {
    pub sender: Sender,
    pub body: MessageBody,
    /// Updates on members.
    pub records: Vec<NamedRecord>,
    /// Sections of other crates, by their kinds.
    pub extensions: Vec<(u16, Vec<u8>)>,
}

/// Kinds of sections.
const SENDER: u16 = 1;
const BODY: u16 = 2;
const RECORD: u16 = 3;
/// Kinds from here on belong to other crates.
pub const FIRST_EXTENSION_KIND: u16 = 16;

/// Why bytes are rejected as a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DecodeError {
    /// Too short, too long, without the magic bytes, or truncated.
    Malformed,
    ChecksumMismatch,
    /// Sent by a member of another fleet.
    OtherFleet,
    /// In a format that this build does not know.
    UnknownFormat,
    /// A section that cannot be decoded, or a required one that is missing.
    InvalidSection,
}

impl DecodeError {
    /// The name of the reason on operators' pages and in logs.
    pub fn reason(self) -> &'static str {
        match self {
            DecodeError::Malformed => "NotOurs",
            DecodeError::ChecksumMismatch => "Checksum",
            DecodeError::OtherFleet => "Fleet",
            DecodeError::UnknownFormat => "Format",
            DecodeError::InvalidSection => "Part",
        }
    }
}

/// Encodes a message, with as many records and then extensions as fit.
pub fn encode(fleet: u64, message: &Message) -> Vec<u8> {
    let mut bytes = vec![0; HEADER_BYTES];
    let section = |bytes: &mut Vec<u8>, kind: u16, content: &[u8]| {
        let fits = bytes.len() + SECTION_HEADER_BYTES + content.len() <= MAX_MESSAGE_BYTES;
        if fits {
            bytes.extend_from_slice(&kind.to_le_bytes());
            bytes.extend_from_slice(&(content.len() as u16).to_le_bytes());
            bytes.extend_from_slice(content);
        }
        fits
    };
    // Encoding plain values to memory cannot fail.
    let content = |value: Result<Vec<u8>, postcard::Error>| value.unwrap_or_default();
    section(&mut bytes, SENDER, &content(postcard::to_stdvec(&message.sender)));
    section(&mut bytes, BODY, &content(postcard::to_stdvec(&message.body)));
    for record in &message.records {
        if !section(&mut bytes, RECORD, &content(postcard::to_stdvec(record))) {
            break;
        }
    }
    for (kind, content) in &message.extensions {
        section(&mut bytes, (*kind).max(FIRST_EXTENSION_KIND), content);
    }
    bytes[..2].copy_from_slice(&MAGIC);
    bytes[2] = FORMAT;
    bytes[3..11].copy_from_slice(&fleet.to_le_bytes());
    let sum = checksum(&bytes);
    bytes[11..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
    bytes
}

/// CRC-32C over all bytes but the checksum itself.
fn checksum(bytes: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&bytes[..11]), &bytes[HEADER_BYTES..])
}

/// Decodes a message of this fleet.
pub fn decode(fleet: u64, bytes: &[u8]) -> Result<Message, DecodeError> {
    if bytes.len() < HEADER_BYTES || bytes.len() > MAX_MESSAGE_BYTES || bytes[..2] != MAGIC {
        return Err(DecodeError::Malformed);
    }
    if bytes[2] != FORMAT {
        return Err(DecodeError::UnknownFormat);
    }
    if bytes[11..HEADER_BYTES] != checksum(bytes).to_le_bytes() {
        return Err(DecodeError::ChecksumMismatch);
    }
    if bytes[3..11] != fleet.to_le_bytes() {
        return Err(DecodeError::OtherFleet);
    }
    let (mut sender, mut body, mut records, mut extensions) = (None, None, Vec::new(), Vec::new());
    let mut rest = &bytes[HEADER_BYTES..];
    while !rest.is_empty() {
        let (header, after) = rest.split_at_checked(SECTION_HEADER_BYTES).ok_or(DecodeError::Malformed)?;
        let kind = u16::from_le_bytes([header[0], header[1]]);
        let length = u16::from_le_bytes([header[2], header[3]]) as usize;
        let (content, after) = after.split_at_checked(length).ok_or(DecodeError::Malformed)?;
        rest = after;
        match kind {
            SENDER => {
                sender = Some(postcard::from_bytes(content).map_err(|_| DecodeError::InvalidSection)?);
            }
            BODY => body = Some(postcard::from_bytes(content).map_err(|_| DecodeError::InvalidSection)?),
            RECORD => {
                records.push(postcard::from_bytes(content).map_err(|_| DecodeError::InvalidSection)?);
            }
            kind if kind >= FIRST_EXTENSION_KIND => extensions.push((kind, content.to_vec())),
            // A kind that a newer build has.
            _ => {}
        }
    }
    let sender: Sender = sender.ok_or(DecodeError::InvalidSection)?;
    let is_valid_name = |name: &str| (1..=MAX_NAME_BYTES).contains(&name.len());
    let is_valid = is_valid_name(&sender.name)
        && records
            .iter()
            .all(|(name, record): &NamedRecord| is_valid_name(name) && record.zone.len() <= MAX_NAME_BYTES);
    match body.filter(|_| is_valid) {
        Some(body) => Ok(Message { sender, body, records, extensions }),
        None => Err(DecodeError::InvalidSection),
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;
    use crate::record::{MemberRecord, MemberState};

    fn message(records: usize) -> Message {
        let record = |number: usize| {
            let address = std::net::SocketAddr::from(([127, 0, 0, 1], number as u16));
            let state = MemberState::Suspect;
            let record = MemberRecord { incarnation: 3, state, start_id: 9, address, zone: "a".into() };
            (format!("n{number}"), record)
        };
        let sender = Sender { name: "n0".into(), start_id: 7 };
        let records = (0..records).map(record).collect();
        let extensions = vec![(20, vec![1, 2, 3])];
        Message { sender, body: MessageBody::Ping { sequence: 5 }, records, extensions }
    }

    #[test]
    fn decoding_gives_what_was_encoded_and_only_records_that_fit_are_encoded() {
        let small = message(3);
        assert_eq!(decode(1, &encode(1, &small)), Ok(small));
        let bytes = encode(1, &message(500));
        let large = decode(1, &bytes).expect("a message");
        assert!(bytes.len() <= MAX_MESSAGE_BYTES && large.records.len() > 20 && large.records.len() < 500);
    }

    #[test]
    fn foreign_messages_are_rejected_with_the_reason() {
        let bytes = encode(1, &message(2));
        assert_eq!(decode(2, &bytes), Err(DecodeError::OtherFleet));
        assert_eq!(decode(1, &bytes[..bytes.len() - 1]), Err(DecodeError::ChecksumMismatch));
        assert_eq!(decode(1, b"GET / HTTP/1.1"), Err(DecodeError::Malformed));
        let mut other_format = bytes.clone();
        other_format[2] = 2;
        assert_eq!(decode(1, &other_format), Err(DecodeError::UnknownFormat));
    }

    /// Guards against old and new builds that cannot run in one fleet.
    #[test]
    fn unknown_section_kinds_are_skipped() {
        let mut bytes = encode(1, &message(1));
        bytes.extend_from_slice(&[9, 0, 2, 0, 0xff, 0xff]);
        let sum = checksum(&bytes);
        bytes[11..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
        assert_eq!(decode(1, &bytes), Ok(message(1)));
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn damaged_bytes_are_rejected(at in 0..200usize, flip in 1..=255u8, cut in 0..200usize) {
            let intact = encode(1, &message(4));
            let mut bytes = intact.clone();
            let at = at % bytes.len();
            bytes[at] ^= flip;
            prop_assert!(decode(1, &bytes).is_err());
            prop_assert!(decode(1, &intact[..cut.min(intact.len() - 1)]).is_err());
        }

        #[test]
        fn any_bytes_behind_a_valid_checksum_are_decoded_within_bounds(
            content in prop::collection::vec(any::<u8>(), 0..400),
        ) {
            let mut bytes = encode(1, &message(0));
            bytes.extend_from_slice(&content);
            let sum = checksum(&bytes);
            bytes[11..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
            if let Ok(message) = decode(1, &bytes) {
                prop_assert!(message.records.len() * 4 <= content.len());
                prop_assert!(message.extensions.len() <= 1 + content.len() / 4);
            }
        }
    }
}
