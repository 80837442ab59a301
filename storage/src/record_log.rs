//! An append-only log of leases, of sessions or of tombstones, in numbered segments `claims/000001`, `claims/000002` and so on.
//!
//! All records of one call are appended with one write and one sync. A record is live until a later record replaces or
//! ends it. The oldest segment is removed once none of its records is live; if the log is much larger than its live
//! records, those of the oldest segment are rewritten step by step with each append (`compaction`).
//!
//! Main types: [`RecordLog`]; [`SegmentIndex`], the segments and the locations of live records; [`AppendBatch`], the
//! bytes of one append.
//!
//! Invariants:
//! - Nothing is appended after bytes that may be torn: a failed write ends its segment, and so does a restart. A torn
//!   frame therefore ends its segment, and what follows it was never durable.
//! - Segments are removed in order, each only once the removal of the one before is durable. A lease that is released
//!   in one segment may be stored in an older one, and would reappear if only the newer one was removed.

mod append_batch;
mod compaction;
mod limits;
mod replay;
mod segment_index;

use std::io::ErrorKind;

use ochreshed_consensus::messages::LogRecord;

use crate::data_directory::DataDirectory;
use crate::error::StoreError;
use crate::file_system::FileEntry;
use append_batch::{AppendBatch, AppendTarget};
use replay::Replay;
use segment_index::{LogSegment, SegmentIndex};

pub use limits::LogLimits;
pub(crate) use replay::RecoveredRecords;

/// The directory of a log's segments.
pub(crate) const LOG_DIRECTORY: &str = "claims";
/// Segments are never numbered this high; a file whose name has more digits is not a segment.
const MAX_SEGMENT_NUMBER: u32 = 999_999_999;
const FIRST_SEGMENT_NUMBER: u32 = 1;

/// Which records a log keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogContent {
    Leases,
    Sessions,
    Tombstones,
}

impl LogContent {
    /// Whether the log keeps this record.
    pub(crate) fn includes(self, record: &LogRecord) -> bool {
        match record {
            LogRecord::Lease(..) | LogRecord::LeaseReleased(..) => self == LogContent::Leases,
            LogRecord::Session(..) | LogRecord::SessionEnded(_) => self == LogContent::Sessions,
            LogRecord::Tombstone(_) | LogRecord::TombstoneExpired(_) => self == LogContent::Tombstones,
            LogRecord::MembershipBallot(_)
            | LogRecord::Configuration(_)
            | LogRecord::Register(_)
            | LogRecord::RegisterAcceptors(_) => false,
        }
    }
}

/// How much of a log is live; for tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogUsage {
    /// The number of live records.
    pub live_records: usize,
    /// The same number, as the segments count them.
    pub live_records_of_segments: usize,
    /// The size of the live records' encodings.
    pub live_bytes: u64,
}

/// A log of leases, of sessions or of tombstones.
pub(crate) struct RecordLog {
    content: LogContent,
    limits: LogLimits,
    index: SegmentIndex,
    /// The segment that is appended to, if any.
    tail: Option<u32>,
    next_segment: u32,
    /// The length of the oldest segment's prefix whose live records were rewritten.
    compacted_bytes: u64,
    /// A segment was removed, and the removal may not be durable.
    has_unsynced_removal: bool,
}

impl RecordLog {
    /// Reads and syncs all segments.
    pub(crate) fn open(
        directory: &mut DataDirectory,
        content: LogContent,
        limits: LogLimits,
    ) -> Result<(RecordLog, RecoveredRecords), StoreError> {
        let entries = directory.list_and_clean(LOG_DIRECTORY)?;
        let mut index = SegmentIndex::default();
        let mut replay = Replay::default();
        let mut next_segment = FIRST_SEGMENT_NUMBER;
        for segment in listed_segments(&entries) {
            next_segment = segment.number + 1;
            replay.read_segment(directory, &mut index, segment)?;
        }
        let log = RecordLog {
            content,
            limits,
            index,
            tail: None,
            next_segment,
            compacted_bytes: 0,
            has_unsynced_removal: false,
        };
        Ok((log, replay.finish()))
    }

    pub(crate) fn disk_bytes(&self) -> u64 {
        self.index.disk_bytes()
    }

    pub(crate) fn usage(&self) -> LogUsage {
        self.index.usage()
    }

    /// Makes the log's records durable and ignores all others. After an error, any of them may be durable.
    pub(crate) fn append(
        &mut self,
        directory: &mut DataDirectory,
        records: &[LogRecord],
    ) -> Result<(), StoreError> {
        let target = self.append_target()?;
        let relocation = compaction::relocate_oldest(
            directory,
            &self.index,
            &self.limits,
            self.compacted_bytes,
            target.segment,
        );
        let appended = relocation.records.iter().chain(records);
        let batch = AppendBatch::encode(target, appended.filter(|record| self.content.includes(record)))?;
        let written = write_batch(directory, target, &batch.bytes);
        match &written {
            Ok(()) => {
                self.record_write(target, batch);
                self.compacted_bytes = relocation.compacted_bytes;
            }
            Err(_) => self.record_failed_write(target, batch.bytes.len()),
        }
        // After a failed write as well, because the disk may be full and removal frees space.
        self.remove_oldest_segment(directory);
        written
    }

    /// The end of the tail if it has room, otherwise a new segment.
    fn append_target(&self) -> Result<AppendTarget, StoreError> {
        let tail = self.tail.and_then(|number| self.index.segment(number));
        let target = match tail.filter(|tail| tail.intact_bytes < self.limits.max_segment_bytes) {
            Some(tail) => AppendTarget { segment: tail.number, offset: tail.intact_bytes, is_new: false },
            None => AppendTarget { segment: self.next_segment, offset: 0, is_new: true },
        };
        if target.segment > MAX_SEGMENT_NUMBER {
            return Err(StoreError::BatchTooLarge);
        }
        Ok(target)
    }

    fn record_write(&mut self, target: AppendTarget, batch: AppendBatch) {
        let end = target.offset + batch.bytes.len() as u64;
        if target.is_new {
            self.index.add(LogSegment {
                number: target.segment,
                file_bytes: end,
                intact_bytes: end,
                live_records: 0,
            });
            self.tail = Some(target.segment);
            self.next_segment = target.segment + 1;
            // The directory sync for the new segment's name also made the removal durable.
            self.has_unsynced_removal = false;
        } else if let Some(segment) = self.index.segment_mut(target.segment) {
            segment.file_bytes = end;
            segment.intact_bytes = end;
        }
        for mutation in batch.mutations {
            self.index.apply(mutation);
        }
    }

    /// Ends the segment that was appended to. If it was a new one, the next append truncates it first.
    fn record_failed_write(&mut self, target: AppendTarget, batch_bytes: usize) {
        if let Some(segment) = self.index.segment_mut(target.segment) {
            segment.file_bytes = target.offset + batch_bytes as u64;
            self.tail = None;
        }
    }

    /// Removes the oldest segment if it has no live records left that can be rewritten. A failure is retried with the
    /// next append.
    fn remove_oldest_segment(&mut self, directory: &mut DataDirectory) {
        let Some(oldest) = self.index.oldest() else { return };
        let may_be_relocated = oldest.live_records > 0 && self.compacted_bytes < oldest.intact_bytes;
        if self.tail == Some(oldest.number) || may_be_relocated {
            return;
        }
        if self.has_unsynced_removal && directory.sync_directory(LOG_DIRECTORY).is_err() {
            return;
        }
        self.has_unsynced_removal = false;
        let path = segment_path(oldest.number);
        if oldest.live_records > 0 {
            // Its live records could not be read for compaction: the segment was damaged while in use.
            directory.quarantine(&path, oldest.file_bytes);
            self.index.remove_records_of(oldest.number);
        } else if directory.remove_file(&path).is_err_and(|error| error.kind() != ErrorKind::NotFound) {
            return;
        }
        self.index.remove(oldest.number);
        self.compacted_bytes = 0;
        self.has_unsynced_removal = true;
    }
}

/// Takes one write and one sync; a new segment takes two more calls.
fn write_batch(directory: &mut DataDirectory, target: AppendTarget, bytes: &[u8]) -> Result<(), StoreError> {
    let path = segment_path(target.segment);
    if target.is_new {
        directory.create_empty(&path)?;
    }
    directory.write_at(&path, target.offset, bytes)?;
    directory.sync_file(&path)?;
    if target.is_new {
        directory.sync_directory(LOG_DIRECTORY)?;
    }
    Ok(())
}

/// The segments among the files, in the order of their numbers, none of them read yet.
fn listed_segments(entries: &[FileEntry]) -> Vec<LogSegment> {
    let segments = entries.iter().filter_map(|entry| {
        let number = parse_segment_name(&entry.name)?;
        Some(LogSegment { number, file_bytes: entry.bytes, intact_bytes: 0, live_records: 0 })
    });
    let mut segments: Vec<LogSegment> = segments.collect();
    segments.sort_unstable_by_key(|segment| segment.number);
    segments
}

fn segment_path(number: u32) -> String {
    format!("{LOG_DIRECTORY}/{}", segment_name(number))
}

fn segment_name(number: u32) -> String {
    format!("{number:06}")
}

fn parse_segment_name(name: &str) -> Option<u32> {
    let number: u32 = name.parse().ok()?;
    (number <= MAX_SEGMENT_NUMBER && name == segment_name(number)).then_some(number)
}
