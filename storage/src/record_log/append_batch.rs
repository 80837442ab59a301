//! The bytes of one append, and the index changes to apply once they are durable.

use ochreshed_consensus::messages::LogRecord;

use super::segment_index::LogMutation;
use crate::error::StoreError;
use crate::frame::{FRAME_HEADER_BYTES, seal_frame};

/// A frame that is at least this long takes no more records, so that compaction reads little at a time.
pub(super) const MAX_FRAME_BYTES: usize = 64 << 10;

/// Where an append begins.
#[derive(Clone, Copy, Debug)]
pub(super) struct AppendTarget {
    pub(super) segment: u32,
    pub(super) offset: u64,
    /// The segment has no file yet, or one that a failed write left behind.
    pub(super) is_new: bool,
}

/// The frames of one append.
pub(super) struct AppendBatch {
    pub(super) bytes: Vec<u8>,
    pub(super) mutations: Vec<LogMutation>,
}

impl AppendBatch {
    /// Encodes the records into as few frames as [`MAX_FRAME_BYTES`] allows.
    pub(super) fn encode<'a>(
        target: AppendTarget,
        records: impl Iterator<Item = &'a LogRecord>,
    ) -> Result<AppendBatch, StoreError> {
        let mut batch = AppendBatch { bytes: Vec::new(), mutations: Vec::new() };
        let mut open_frame = None;
        for record in records {
            let frame_start = *open_frame.get_or_insert_with(|| batch.begin_frame());
            batch.encode_record(target, frame_start, record)?;
            if batch.bytes.len() - frame_start >= MAX_FRAME_BYTES {
                seal_frame(target.segment, &mut batch.bytes, frame_start)?;
                open_frame = None;
            }
        }
        if let Some(frame_start) = open_frame {
            seal_frame(target.segment, &mut batch.bytes, frame_start)?;
        }
        Ok(batch)
    }

    /// Reserves a frame's header, and returns where the frame begins.
    fn begin_frame(&mut self) -> usize {
        let frame_start = self.bytes.len();
        self.bytes.extend_from_slice(&[0; FRAME_HEADER_BYTES]);
        frame_start
    }

    fn encode_record(
        &mut self,
        target: AppendTarget,
        frame_start: usize,
        record: &LogRecord,
    ) -> Result<(), StoreError> {
        let start = self.bytes.len();
        ciborium::into_writer(record, &mut self.bytes).map_err(|source| StoreError::Encode { source })?;
        let record_bytes = self.bytes.len() - start;
        let frame_offset = target.offset + frame_start as u64;
        let mutation = LogMutation::from_record(record, target.segment, frame_offset, record_bytes);
        self.mutations.extend(mutation.map_err(|_| StoreError::BatchTooLarge)?);
        Ok(())
    }
}
