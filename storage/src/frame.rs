//! Frames: the units of bytes on disk that are either intact or ignored.
//!
//! A frame is the length of its payload (4 bytes, little-endian), a checksum (4 bytes, CRC-32C) over the number of the
//! segment, the length and the payload, and the payload: log records in CBOR, one after the other.
//!
//! Invariants: a frame that was not written completely, or that belongs to another segment, is never read as intact.

use ochreshed_consensus::messages::LogRecord;

use crate::error::StoreError;

/// The length and the checksum of a frame.
pub(crate) const FRAME_HEADER_BYTES: usize = 8;
const LENGTH_BYTES: usize = 4;
const DECODE_BUFFER_BYTES: usize = 4_096;

/// A record of a frame with the size of its encoding.
pub(crate) struct DecodedRecord {
    pub(crate) record: LogRecord,
    pub(crate) bytes: usize,
}

/// Fills in the header of the frame that begins at `offset`, with all that follows as its payload. The header's bytes
/// must be there already.
pub(crate) fn seal_frame(segment: u32, bytes: &mut [u8], offset: usize) -> Result<(), StoreError> {
    let frame = bytes.get_mut(offset..).and_then(|frame| frame.split_at_mut_checked(FRAME_HEADER_BYTES));
    let Some((header, payload)) = frame else {
        return Err(StoreError::BatchTooLarge);
    };
    let length = u32::try_from(payload.len()).map_err(|_| StoreError::BatchTooLarge)?.to_le_bytes();
    let checksum = checksum(segment, &length, payload).to_le_bytes();
    header[..LENGTH_BYTES].copy_from_slice(&length);
    header[LENGTH_BYTES..].copy_from_slice(&checksum);
    Ok(())
}

/// The payload of the frame at `offset`, if the frame is intact.
pub(crate) fn read_frame(segment: u32, bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let start = offset.checked_add(FRAME_HEADER_BYTES)?;
    let end = start.checked_add(read_payload_length(bytes, offset)?)?;
    let payload = bytes.get(start..end)?;
    let length = &bytes[offset..offset + LENGTH_BYTES];
    let expected = read_u32(bytes, offset + LENGTH_BYTES)?;
    (checksum(segment, length, payload) == expected).then_some(payload)
}

/// The length that the header at `offset` gives for its payload, which may not be intact.
pub(crate) fn read_payload_length(bytes: &[u8], offset: usize) -> Option<usize> {
    usize::try_from(read_u32(bytes, offset)?).ok()
}

/// Decodes all records of a payload; `None` if one of them has an unknown form.
pub(crate) fn decode_records(mut payload: &[u8]) -> Option<Vec<DecodedRecord>> {
    let mut records = Vec::new();
    let mut buffer = [0; DECODE_BUFFER_BYTES];
    while !payload.is_empty() {
        let bytes_before = payload.len();
        let record = ciborium::de::from_reader_with_buffer(&mut payload, &mut buffer).ok()?;
        records.push(DecodedRecord { record, bytes: bytes_before - payload.len() });
    }
    Some(records)
}

/// The checksum includes the segment's number, so that a frame that an earlier file left on the same disk blocks is not
/// taken for one of this segment.
fn checksum(segment: u32, length: &[u8], payload: &[u8]) -> u32 {
    let checksum = crc32c::crc32c(&segment.to_le_bytes());
    let checksum = crc32c::crc32c_append(checksum, length);
    crc32c::crc32c_append(checksum, payload)
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let encoded = bytes.get(offset..offset.checked_add(size_of::<u32>())?)?;
    Some(u32::from_le_bytes(encoded.try_into().ok()?))
}
