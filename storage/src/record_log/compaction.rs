//! Compaction: each append rewrites live records of the oldest segment, so that the segment can be removed.
//!
//! Invariants: a relocated record precedes the new ones in its batch, so that a new record of the same key replaces it.

use std::io;

use ochreshed_consensus::messages::LogRecord;

use super::limits::LogLimits;
use super::segment_index::{LogSegment, SegmentIndex};
use super::segment_path;
use crate::data_directory::DataDirectory;
use crate::frame::{FRAME_HEADER_BYTES, decode_records, read_frame, read_payload_length};

/// Records to rewrite, and how much of the oldest segment is compacted once they are written.
pub(super) struct Relocation {
    pub(super) records: Vec<LogRecord>,
    pub(super) compacted_bytes: u64,
}

/// The live records in the next bytes of the oldest segment, from `compacted_bytes` on; none if the log need not be
/// compacted. If the segment can't be read, the next append retries.
pub(super) fn relocate_oldest(
    directory: &mut DataDirectory,
    index: &SegmentIndex,
    limits: &LogLimits,
    compacted_bytes: u64,
    target_segment: u32,
) -> Relocation {
    let no_relocation = Relocation { records: Vec::new(), compacted_bytes };
    let Some(oldest) = index.oldest() else { return no_relocation };
    let is_compacted = oldest.live_records == 0 || compacted_bytes >= oldest.intact_bytes;
    if !needs_compaction(index, limits) || oldest.number == target_segment || is_compacted {
        return no_relocation;
    }
    let Ok(bytes) = read_next_frames(directory, &oldest, compacted_bytes, limits.compaction_step_bytes)
    else {
        return no_relocation;
    };
    relocate_frames(index, &oldest, compacted_bytes, &bytes)
}

fn needs_compaction(index: &SegmentIndex, limits: &LogLimits) -> bool {
    let disk_bytes = index.disk_bytes();
    let live_bytes = index.live_bytes();
    let is_mostly_dead = disk_bytes > limits.quarter_live_above_bytes && disk_bytes / 4 > live_bytes;
    let is_half_dead = disk_bytes > limits.half_live_above_bytes && disk_bytes / 2 > live_bytes;
    is_mostly_dead || is_half_dead || index.segment_count() > limits.max_segments
}

/// Reads a step of the segment, or the whole next frame if it is longer.
fn read_next_frames(
    directory: &mut DataDirectory,
    segment: &LogSegment,
    offset: u64,
    step_bytes: u64,
) -> io::Result<Vec<u8>> {
    let path = segment_path(segment.number);
    let remaining_bytes = segment.intact_bytes.saturating_sub(offset);
    let bytes = directory.read_range(&path, offset, remaining_bytes.min(step_bytes))?;
    let payload_bytes = read_payload_length(&bytes, 0);
    let frame_bytes = payload_bytes.map_or(0, |payload| (FRAME_HEADER_BYTES + payload) as u64);
    if frame_bytes > bytes.len() as u64 && frame_bytes <= remaining_bytes {
        return directory.read_range(&path, offset, frame_bytes);
    }
    Ok(bytes)
}

/// The live records of the frames in `bytes`, which begin at `offset` of the segment.
fn relocate_frames(index: &SegmentIndex, segment: &LogSegment, offset: u64, bytes: &[u8]) -> Relocation {
    let mut records = Vec::new();
    let mut position = 0;
    while let Some(payload) = read_frame(segment.number, bytes, position) {
        let Some(decoded) = decode_records(payload) else { break };
        let frame_offset = offset + position as u64;
        let live = decoded
            .into_iter()
            .map(|decoded| decoded.record)
            .filter(|record| index.is_live(record, segment.number, frame_offset));
        records.extend(live);
        position += FRAME_HEADER_BYTES + payload.len();
    }
    // A frame that was intact before and is damaged now can't be skipped: the rest of the segment is lost.
    let compacted_bytes = if position == 0 { segment.intact_bytes } else { offset + position as u64 };
    Relocation { records, compacted_bytes }
}
