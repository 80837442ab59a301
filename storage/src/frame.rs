//! Frames: a length, a checksum over segment, length and bytes, and the bytes. It must never take a frame for whole that
//! is not, nor one of another segment.

use ochreshed_consensus::messages::LogRecord;

use crate::error::StoreError;

/// A frame's length and checksum.
pub(crate) const HEAD: usize = 8;
pub(crate) const READ_BUFFER: usize = 4_096;

/// Over the segment's number too: a frame of another segment is none here.
pub(crate) fn checksum(number: u32, len: &[u8], payload: &[u8]) -> u32 {
    let sum = crc32c::crc32c(&number.to_le_bytes());
    crc32c::crc32c_append(crc32c::crc32c_append(sum, len), payload)
}

/// Fills in the head of the frame that begins here and takes all the rest.
pub(crate) fn close(number: u32, bytes: &mut [u8], at: usize) -> Result<(), StoreError> {
    let Some((head, payload)) = bytes.get_mut(at..).and_then(|rest| rest.split_at_mut_checked(HEAD)) else {
        return Err(StoreError::TooLong);
    };
    let len = u32::try_from(payload.len()).map_err(|_| StoreError::TooLong)?.to_le_bytes();
    let sum = checksum(number, &len, payload).to_le_bytes();
    head[..4].copy_from_slice(&len);
    head[4..].copy_from_slice(&sum);
    Ok(())
}

pub(crate) fn word(bytes: &[u8], at: usize) -> Option<u32> {
    let four = bytes.get(at..at.checked_add(4)?)?;
    Some(u32::from_le_bytes(four.try_into().ok()?))
}

pub(crate) fn length(bytes: &[u8], at: usize) -> Option<usize> {
    usize::try_from(word(bytes, at)?).ok()
}

/// What the frame here holds, if it is whole.
pub(crate) fn frame(number: u32, bytes: &[u8], at: usize) -> Option<&[u8]> {
    let begin = at.checked_add(HEAD)?;
    let payload = bytes.get(begin..begin.checked_add(length(bytes, at)?)?)?;
    (checksum(number, &bytes[at..at + 4], payload) == word(bytes, at + 4)?).then_some(payload)
}

/// All records of a frame with their sizes, if they are ours to read.
pub(crate) fn records(mut payload: &[u8]) -> Option<Vec<(LogRecord, usize)>> {
    let (mut all, mut buffer) = (Vec::new(), [0; READ_BUFFER]);
    while !payload.is_empty() {
        let before = payload.len();
        let record = ciborium::de::from_reader_with_buffer(&mut payload, &mut buffer).ok()?;
        all.push((record, before - payload.len()));
    }
    Some(all)
}
