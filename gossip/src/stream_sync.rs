//! The format in which two replicas that differ in many records synchronize over a stream. The initiator names itself and
//! sends its fine digest; the other side answers with its own digest and with its records of the buckets that differ; then
//! the initiator sends its records of them. Frames are bounded, whatever their bytes contain.

use ochreshed_replica::store::FINE_DIGEST_BUCKETS;
use serde::{Deserialize, Serialize};

const FORMAT: u8 = 1;
/// The length of the body, and its CRC-32C.
pub const FRAME_HEADER_BYTES: usize = 8;
pub const MAX_FRAME_BODY_BYTES: usize = 16 * 1024;
/// Frames that one side may send, which is ample for 20,000 records with the longest ids.
pub const MAX_FRAMES_PER_SIDE: usize = 400;

/// The first frame of either side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    format: u8,
    pub fleet: u64,
    pub name: String,
    pub start_id: u64,
    /// The digest of the sender's replica, in `FINE_DIGEST_BUCKETS` buckets.
    pub digest: Vec<u32>,
}

/// Why a frame is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The header announces more than `MAX_FRAME_BODY_BYTES`.
    BodyTooLong,
    ChecksumMismatch,
    /// Not a hello, or one of an unknown format or of another fleet.
    InvalidHello,
}

impl Hello {
    pub fn new(fleet: u64, name: &str, start_id: u64, digest: Vec<u32>) -> Hello {
        Hello { format: FORMAT, fleet, name: name.into(), start_id, digest }
    }

    /// Encodes it as a frame.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding plain values to memory cannot fail.
        encode_frame(&postcard::to_stdvec(self).unwrap_or_default())
    }

    /// Decodes the body of a frame as a hello of this fleet.
    pub fn decode(fleet: u64, body: &[u8]) -> Result<Hello, FrameError> {
        let hello: Hello = postcard::from_bytes(body).map_err(|_| FrameError::InvalidHello)?;
        let is_valid =
            hello.format == FORMAT && hello.fleet == fleet && hello.digest.len() == FINE_DIGEST_BUCKETS;
        if is_valid { Ok(hello) } else { Err(FrameError::InvalidHello) }
    }
}

/// Puts a header before a body. A frame with an empty body is the last of its side.
pub fn encode_frame(body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32c::crc32c(body).to_le_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// The length of the body that a header announces.
pub fn body_length(header: &[u8; FRAME_HEADER_BYTES]) -> Result<usize, FrameError> {
    let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
    if length <= MAX_FRAME_BODY_BYTES { Ok(length) } else { Err(FrameError::BodyTooLong) }
}

/// Checks a body against the checksum in its header.
pub fn verify_body(header: &[u8; FRAME_HEADER_BYTES], body: &[u8]) -> Result<(), FrameError> {
    let checksum = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    if crc32c::crc32c(body) == checksum { Ok(()) } else { Err(FrameError::ChecksumMismatch) }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn hello() -> Hello {
        let digest = (0..FINE_DIGEST_BUCKETS as u32).map(|bucket| bucket.wrapping_mul(0x9e37_79b9)).collect();
        Hello::new(9, "n1", 5, digest)
    }

    fn decode_frame(bytes: &[u8]) -> Result<&[u8], FrameError> {
        let (header, rest) =
            bytes.split_first_chunk::<FRAME_HEADER_BYTES>().ok_or(FrameError::BodyTooLong)?;
        let body = rest.get(..body_length(header)?).ok_or(FrameError::BodyTooLong)?;
        verify_body(header, body).map(|()| body)
    }

    #[test]
    fn a_hello_is_decoded_as_encoded_and_only_in_its_fleet() {
        let bytes = hello().encode();
        assert!(bytes.len() <= FRAME_HEADER_BYTES + MAX_FRAME_BODY_BYTES);
        let body = decode_frame(&bytes).expect("a frame");
        assert_eq!(Hello::decode(9, body), Ok(hello()));
        assert_eq!(Hello::decode(8, body), Err(FrameError::InvalidHello));
        assert_eq!(Hello::decode(9, &body[..body.len() - 1]), Err(FrameError::InvalidHello));
        let newer_format = Hello { format: 2, ..hello() }.encode();
        assert_eq!(Hello::decode(9, &newer_format[FRAME_HEADER_BYTES..]), Err(FrameError::InvalidHello));
        let short_digest = Hello { digest: vec![0; 3], ..hello() }.encode();
        assert_eq!(Hello::decode(9, &short_digest[FRAME_HEADER_BYTES..]), Err(FrameError::InvalidHello));
    }

    #[test]
    fn a_frame_that_announces_too_long_a_body_is_rejected_before_the_body_is_read() {
        let length = (MAX_FRAME_BODY_BYTES as u32 + 1).to_le_bytes();
        assert_eq!(
            body_length(&[length[0], length[1], length[2], length[3], 0, 0, 0, 0]),
            Err(FrameError::BodyTooLong)
        );
        assert_eq!(decode_frame(&encode_frame(&[])), Ok(&[][..]));
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn damaged_frames_are_rejected(
            body in prop::collection::vec(any::<u8>(), 1..300),
            at in any::<prop::sample::Index>(),
            flip in 1..=255u8,
        ) {
            let mut bytes = encode_frame(&body);
            prop_assert_eq!(decode_frame(&bytes), Ok(&body[..]));
            let at = at.index(bytes.len());
            bytes[at] ^= flip;
            prop_assert!(decode_frame(&bytes).is_err());
        }

        #[test]
        fn arbitrary_bytes_are_rejected_as_a_hello(body in prop::collection::vec(any::<u8>(), 0..300)) {
            prop_assert!(Hello::decode(9, &body).is_err());
        }
    }
}
