//! How two copies that differ in much meet, over a stream: who asks says who it is and sends its digest in many parts; the
//! other one answers with its own and with what it holds of the parts that differ; then the asker tells what it holds of
//! them. It owns the form of what goes over the stream and its bounds, and must never take more than those, whatever the
//! bytes say.

use ochreshed_replica::store::FINE_DIGEST_BUCKETS;
use serde::{Deserialize, Serialize};

const FORMAT: u8 = 1;
/// A frame's own head: the length of its body, and that body's CRC-32C.
pub const HEAD: usize = 8;
/// A piece of what differs; the largest body of a frame.
pub const PIECE: usize = 16 * 1024;
/// Frames that one side may send: 20,000 words with the longest ids fit well.
pub const MOST_FRAMES: usize = 400;

/// How either side begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    format: u8,
    pub fleet: u64,
    pub name: String,
    pub start: u64,
    /// Sums over what it holds, in `FINE_DIGEST_BUCKETS` parts.
    pub digest: Vec<u32>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// Longer than any frame of ours.
    Length,
    Checksum,
    /// No greeting, one of a format that this build does not know, or of another fleet.
    Hello,
}

impl Hello {
    pub fn new(fleet: u64, name: &str, start: u64, digest: Vec<u32>) -> Hello {
        Hello { format: FORMAT, fleet, name: name.into(), start, digest }
    }

    pub fn write(&self) -> Vec<u8> {
        // Plain values: writing them to memory does not fail.
        frame(&postcard::to_stdvec(self).unwrap_or_default())
    }

    /// Reads the body of a frame as a greeting of this fleet.
    pub fn read(fleet: u64, body: &[u8]) -> Result<Hello, Wrong> {
        let hello: Hello = postcard::from_bytes(body).map_err(|_| Wrong::Hello)?;
        let right =
            hello.format == FORMAT && hello.fleet == fleet && hello.digest.len() == FINE_DIGEST_BUCKETS;
        if right { Ok(hello) } else { Err(Wrong::Hello) }
    }
}

/// A body with its head. An empty one is a side's last.
pub fn frame(body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32c::crc32c(body).to_le_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// How long a body its head announces.
pub fn length(head: &[u8; HEAD]) -> Result<usize, Wrong> {
    let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if length <= PIECE { Ok(length) } else { Err(Wrong::Length) }
}

/// Whether a body is the one that its head announces.
pub fn check(head: &[u8; HEAD], body: &[u8]) -> Result<(), Wrong> {
    let sum = u32::from_le_bytes([head[4], head[5], head[6], head[7]]);
    if crc32c::crc32c(body) == sum { Ok(()) } else { Err(Wrong::Checksum) }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn hello() -> Hello {
        Hello::new(
            9,
            "n1",
            5,
            (0..FINE_DIGEST_BUCKETS as u32).map(|part| part.wrapping_mul(0x9e37_79b9)).collect(),
        )
    }

    fn body(bytes: &[u8]) -> Result<&[u8], Wrong> {
        let (head, rest) = bytes.split_first_chunk::<HEAD>().ok_or(Wrong::Length)?;
        let body = rest.get(..length(head)?).ok_or(Wrong::Length)?;
        check(head, body).map(|()| body)
    }

    #[test]
    fn a_greeting_is_read_as_written_and_only_in_its_fleet() {
        let bytes = hello().write();
        assert!(bytes.len() <= HEAD + PIECE);
        let body = body(&bytes).expect("a body");
        assert_eq!(Hello::read(9, body), Ok(hello()));
        assert_eq!(Hello::read(8, body), Err(Wrong::Hello));
        assert_eq!(Hello::read(9, &body[..body.len() - 1]), Err(Wrong::Hello));
        let newer = Hello { format: 2, ..hello() }.write();
        assert_eq!(Hello::read(9, &newer[HEAD..]), Err(Wrong::Hello));
        let short = Hello { digest: vec![0; 3], ..hello() }.write();
        assert_eq!(Hello::read(9, &short[HEAD..]), Err(Wrong::Hello));
    }

    #[test]
    fn a_frame_that_announces_more_than_any_of_ours_is_refused_before_it_is_read() {
        let head = (PIECE as u32 + 1).to_le_bytes();
        assert_eq!(length(&[head[0], head[1], head[2], head[3], 0, 0, 0, 0]), Err(Wrong::Length));
        assert_eq!(body(&frame(&[])), Ok(&[][..]));
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn damaged_frames_are_refused(of in prop::collection::vec(any::<u8>(), 1..300), at in any::<prop::sample::Index>(), flip in 1..=255u8) {
            let mut bytes = frame(&of);
            prop_assert_eq!(body(&bytes), Ok(&of[..]));
            let at = at.index(bytes.len());
            bytes[at] ^= flip;
            prop_assert!(body(&bytes).is_err());
        }

        #[test]
        fn any_bytes_are_a_greeting_or_none(of in prop::collection::vec(any::<u8>(), 0..300)) {
            prop_assert!(Hello::read(9, &of).is_err());
        }
    }
}
