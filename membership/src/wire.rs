//! Messages as bytes: a head with format, fleet and checksum, then parts that each say what they are, so that a build which
//! does not know one skips it. It owns what is taken for a message, and must never take more of one than its bounds, whatever
//! the bytes say.

use serde::{Deserialize, Serialize};

use crate::word::{MOST_NAME, Named};

/// A message is one datagram that no network on the way has to split.
pub const MOST: usize = 1_200;
const MAGIC: [u8; 2] = [0x0c, 0x4e];
const FORMAT: u8 = 1;
const HEAD: usize = 2 + 1 + 8 + 4;

/// A sum for each part of all names.
pub const PARTS: usize = 16;
pub type Digest = [u32; PARTS];

/// Who says it: the name, which start of it, and as which incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct From {
    pub name: String,
    pub start: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum What {
    Ping {
        number: u64,
    },
    /// With the digest of all that the sender counts as there, by the part of names that it falls into.
    Ack {
        number: u64,
        digest: Digest,
    },
    /// An indirect probe was asked for, and has not been answered yet: the one who asked is heard at least.
    Nack {
        number: u64,
    },
    /// Ping this member for me.
    PingFor {
        number: u64,
        name: String,
    },
    /// I am new, or alone. Padded to the most, so that no answer is longer.
    Join {
        padding: Vec<u8>,
    },
    Welcome,
    /// Your digest is another than mine: here are my words of the parts that differ, and the digest they come from.
    Differ {
        digest: Digest,
    },
    /// News only.
    Gossip,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Message {
    pub from: From,
    pub what: What,
    /// Sayings on members.
    pub words: Vec<Named>,
    /// Other packages' news, by their kinds.
    pub more: Vec<(u16, Vec<u8>)>,
}

/// Kinds of parts.
const FROM: u16 = 1;
const WHAT: u16 = 2;
const WORD: u16 = 3;
/// From here on they are other packages'.
pub const FIRST_OTHER: u16 = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wrong {
    /// Too short, too long, no head of ours, or cut.
    NotOurs,
    Checksum,
    /// Of another fleet.
    Fleet,
    /// Of a format that this build does not know.
    Format,
    /// A part that can't be read, or one that has to be there and is not.
    Part,
}

/// Writes as many words, and then other news, as fit.
pub fn write(fleet: u64, message: &Message) -> Vec<u8> {
    let mut bytes = vec![0; HEAD];
    let part = |bytes: &mut Vec<u8>, kind: u16, body: &[u8]| {
        let fits = bytes.len() + 4 + body.len() <= MOST;
        if fits {
            bytes.extend_from_slice(&kind.to_le_bytes());
            bytes.extend_from_slice(&(body.len() as u16).to_le_bytes());
            bytes.extend_from_slice(body);
        }
        fits
    };
    // These are plain values: writing them to memory does not fail.
    let body = |value: Result<Vec<u8>, postcard::Error>| value.unwrap_or_default();
    part(&mut bytes, FROM, &body(postcard::to_stdvec(&message.from)));
    part(&mut bytes, WHAT, &body(postcard::to_stdvec(&message.what)));
    for word in &message.words {
        if !part(&mut bytes, WORD, &body(postcard::to_stdvec(word))) {
            break;
        }
    }
    for (kind, body) in &message.more {
        part(&mut bytes, (*kind).max(FIRST_OTHER), body);
    }
    bytes[..2].copy_from_slice(&MAGIC);
    bytes[2] = FORMAT;
    bytes[3..11].copy_from_slice(&fleet.to_le_bytes());
    let sum = checksum(&bytes);
    bytes[11..HEAD].copy_from_slice(&sum.to_le_bytes());
    bytes
}

/// Over all but itself.
fn checksum(bytes: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&bytes[..11]), &bytes[HEAD..])
}

pub fn read(fleet: u64, bytes: &[u8]) -> Result<Message, Wrong> {
    if bytes.len() < HEAD || bytes.len() > MOST || bytes[..2] != MAGIC {
        return Err(Wrong::NotOurs);
    }
    if bytes[2] != FORMAT {
        return Err(Wrong::Format);
    }
    if bytes[11..HEAD] != checksum(bytes).to_le_bytes() {
        return Err(Wrong::Checksum);
    }
    if bytes[3..11] != fleet.to_le_bytes() {
        return Err(Wrong::Fleet);
    }
    let (mut from, mut what, mut words, mut more) = (None, None, Vec::new(), Vec::new());
    let mut rest = &bytes[HEAD..];
    while !rest.is_empty() {
        let (head, after) = rest.split_at_checked(4).ok_or(Wrong::NotOurs)?;
        let kind = u16::from_le_bytes([head[0], head[1]]);
        let length = u16::from_le_bytes([head[2], head[3]]) as usize;
        let (body, after) = after.split_at_checked(length).ok_or(Wrong::NotOurs)?;
        rest = after;
        match kind {
            FROM => from = Some(postcard::from_bytes(body).map_err(|_| Wrong::Part)?),
            WHAT => what = Some(postcard::from_bytes(body).map_err(|_| Wrong::Part)?),
            WORD => words.push(postcard::from_bytes(body).map_err(|_| Wrong::Part)?),
            // What other packages say; or a kind of ours that a newer build has.
            kind if kind >= FIRST_OTHER => more.push((kind, body.to_vec())),
            _ => {}
        }
    }
    let from: From = from.ok_or(Wrong::Part)?;
    let named = |name: &str| (1..=MOST_NAME).contains(&name.len());
    let right = named(&from.name)
        && words.iter().all(|(name, word): &Named| named(name) && word.zone.len() <= MOST_NAME);
    match what.filter(|_| right) {
        Some(what) => Ok(Message { from, what, words, more }),
        None => Err(Wrong::Part),
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;
    use crate::word::{State, Word};

    fn message(words: usize) -> Message {
        let word = |number: usize| {
            let address = std::net::SocketAddr::from(([127, 0, 0, 1], number as u16));
            let word = Word { incarnation: 3, state: State::Suspect, start: 9, address, zone: "a".into() };
            (format!("n{number}"), word)
        };
        let from = From { name: "n0".into(), start: 7 };
        let words = (0..words).map(word).collect();
        Message { from, what: What::Ping { number: 5 }, words, more: vec![(20, vec![1, 2, 3])] }
    }

    #[test]
    fn what_is_written_is_read_and_no_more_than_fits() {
        let few = message(3);
        assert_eq!(read(1, &write(1, &few)), Ok(few));
        let bytes = write(1, &message(500));
        let many = read(1, &bytes).expect("read");
        assert!(bytes.len() <= MOST && many.words.len() > 20 && many.words.len() < 500);
    }

    #[test]
    fn what_is_not_for_us_is_told_apart() {
        let bytes = write(1, &message(2));
        assert_eq!(read(2, &bytes), Err(Wrong::Fleet));
        assert_eq!(read(1, &bytes[..bytes.len() - 1]), Err(Wrong::Checksum));
        assert_eq!(read(1, b"GET / HTTP/1.1"), Err(Wrong::NotOurs));
        let mut other = bytes.clone();
        other[2] = 2;
        assert_eq!(read(1, &other), Err(Wrong::Format));
    }

    /// Guards against old and new builds that can't run together.
    #[test]
    fn kinds_that_this_build_does_not_know_are_skipped() {
        let mut bytes = write(1, &message(1));
        bytes.extend_from_slice(&[9, 0, 2, 0, 0xff, 0xff]);
        let sum = checksum(&bytes);
        bytes[11..HEAD].copy_from_slice(&sum.to_le_bytes());
        assert_eq!(read(1, &bytes), Ok(message(1)));
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// The reader never panics and never takes damaged bytes, whichever they are.
        #[test]
        fn damaged_bytes_are_refused(at in 0..200usize, flip in 1..=255u8, cut in 0..200usize) {
            let whole = write(1, &message(4));
            let mut bytes = whole.clone();
            let at = at % bytes.len();
            bytes[at] ^= flip;
            prop_assert!(read(1, &bytes).is_err());
            prop_assert!(read(1, &whole[..cut.min(whole.len() - 1)]).is_err());
        }

        #[test]
        fn bytes_behind_a_right_checksum_may_be_anything(body in prop::collection::vec(any::<u8>(), 0..400)) {
            let mut bytes = write(1, &message(0));
            bytes.extend_from_slice(&body);
            let sum = checksum(&bytes);
            bytes[11..HEAD].copy_from_slice(&sum.to_le_bytes());
            if let Ok(message) = read(1, &bytes) {
                prop_assert!(message.words.len() * 4 <= body.len() && message.more.len() <= 1 + body.len() / 4);
            }
        }
    }
}
