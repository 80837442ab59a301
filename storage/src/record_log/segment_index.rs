//! The segments of a log and the locations of its live records.
//!
//! Invariants: the live records and bytes that segments count are those of the locations.

use std::collections::{BTreeMap, HashMap};
use std::num::TryFromIntError;

use ochreshed_consensus::messages::{LeaseToken, LogRecord};

use super::LogUsage;

/// The key of a lease, or the id of a session or a tombstone.
pub(super) type RecordKey = u128;

/// Sessions and tombstones have no token in the index: the last record of an id is its live one.
const NO_TOKEN: LeaseToken = 0;

/// A segment of the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct LogSegment {
    pub(super) number: u32,
    /// The length of the file.
    pub(super) file_bytes: u64,
    /// The length that is durable; the rest of the file was left by a failed or torn write.
    pub(super) intact_bytes: u64,
    pub(super) live_records: usize,
}

/// The location of a key's live record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RecordLocation {
    pub(super) token: LeaseToken,
    pub(super) segment: u32,
    /// The offset of the frame in the segment.
    pub(super) frame_offset: u32,
    /// The size of the record's encoding.
    pub(super) bytes: u32,
}

/// The change that a durable record makes to the index.
pub(super) enum LogMutation {
    /// The record is the live one of its key.
    Insert { key: RecordKey, location: RecordLocation },
    /// The key has no live record any more, if its live record has this token.
    Remove { key: RecordKey, token: LeaseToken },
}

impl LogMutation {
    /// The change made by a record in the frame at this offset; `None` for records that no log stores. An error means
    /// that the offset or the size exceeds what a segment can hold.
    pub(super) fn from_record(
        record: &LogRecord,
        segment: u32,
        frame_offset: u64,
        bytes: usize,
    ) -> Result<Option<LogMutation>, TryFromIntError> {
        let locate = |token| -> Result<RecordLocation, TryFromIntError> {
            let frame_offset = u32::try_from(frame_offset)?;
            Ok(RecordLocation { token, segment, frame_offset, bytes: u32::try_from(bytes)? })
        };
        Ok(match record {
            LogRecord::Lease(key, lease) => {
                Some(LogMutation::Insert { key: *key, location: locate(lease.token)? })
            }
            LogRecord::Session(id, _) | LogRecord::Tombstone(id) => {
                Some(LogMutation::Insert { key: *id, location: locate(NO_TOKEN)? })
            }
            LogRecord::LeaseReleased(key, token) => Some(LogMutation::Remove { key: *key, token: *token }),
            LogRecord::SessionEnded(id) | LogRecord::TombstoneExpired(id) => {
                Some(LogMutation::Remove { key: *id, token: NO_TOKEN })
            }
            LogRecord::MembershipBallot(_)
            | LogRecord::Configuration(_)
            | LogRecord::Register(_)
            | LogRecord::RegisterAcceptors(_) => None,
        })
    }
}

/// The segments and the locations of live records.
#[derive(Default)]
pub(super) struct SegmentIndex {
    segments: BTreeMap<u32, LogSegment>,
    locations: HashMap<RecordKey, RecordLocation>,
    live_bytes: u64,
}

impl SegmentIndex {
    pub(super) fn disk_bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.file_bytes).sum()
    }

    pub(super) fn live_bytes(&self) -> u64 {
        self.live_bytes
    }

    pub(super) fn usage(&self) -> LogUsage {
        LogUsage {
            live_records: self.locations.len(),
            live_records_of_segments: self.segments.values().map(|segment| segment.live_records).sum(),
            live_bytes: self.live_bytes,
        }
    }

    pub(super) fn segment_count(&self) -> usize {
        self.segments.len()
    }

    pub(super) fn segment(&self, number: u32) -> Option<&LogSegment> {
        self.segments.get(&number)
    }

    pub(super) fn segment_mut(&mut self, number: u32) -> Option<&mut LogSegment> {
        self.segments.get_mut(&number)
    }

    pub(super) fn oldest(&self) -> Option<LogSegment> {
        self.segments.first_key_value().map(|(_, segment)| *segment)
    }

    pub(super) fn add(&mut self, segment: LogSegment) {
        self.segments.insert(segment.number, segment);
    }

    pub(super) fn remove(&mut self, number: u32) {
        self.segments.remove(&number);
    }

    /// Whether a key has a live record.
    pub(super) fn has_live_record(&self, key: RecordKey) -> bool {
        self.locations.contains_key(&key)
    }

    /// Whether a record in the frame at this offset is the live one of its key.
    pub(super) fn is_live(&self, record: &LogRecord, segment: u32, frame_offset: u64) -> bool {
        let (key, token) = match record {
            LogRecord::Lease(key, lease) => (key, lease.token),
            LogRecord::Session(id, _) | LogRecord::Tombstone(id) => (id, NO_TOKEN),
            _ => return false,
        };
        self.locations.get(key).is_some_and(|location| {
            location.segment == segment
                && u64::from(location.frame_offset) == frame_offset
                && location.token == token
        })
    }

    pub(super) fn apply(&mut self, mutation: LogMutation) {
        match mutation {
            LogMutation::Insert { key, location } => self.insert(key, location),
            LogMutation::Remove { key, token } => {
                if self.locations.get(&key).is_some_and(|location| location.token == token) {
                    let removed = self.locations.remove(&key);
                    self.subtract_location(removed);
                }
            }
        }
    }

    fn insert(&mut self, key: RecordKey, location: RecordLocation) {
        self.live_bytes += u64::from(location.bytes);
        if let Some(segment) = self.segments.get_mut(&location.segment) {
            segment.live_records += 1;
        }
        let replaced = self.locations.insert(key, location);
        self.subtract_location(replaced);
    }

    fn subtract_location(&mut self, location: Option<RecordLocation>) {
        let Some(location) = location else { return };
        self.live_bytes = self.live_bytes.saturating_sub(u64::from(location.bytes));
        if let Some(segment) = self.segments.get_mut(&location.segment) {
            segment.live_records = segment.live_records.saturating_sub(1);
        }
    }

    /// Removes the records of a segment that can't be read any more. The caller removes the segment itself.
    pub(super) fn remove_records_of(&mut self, segment: u32) {
        self.locations.retain(|_, location| location.segment != segment);
        self.live_bytes = self.locations.values().map(|location| u64::from(location.bytes)).sum();
    }
}
