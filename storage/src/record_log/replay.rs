//! Replay of a log at the start.
//!
//! Invariants: a record is recovered only once its segment is synced.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use ochreshed_consensus::messages::{Lease, LeaseKey, LogRecord, SessionId, SessionRecord, TombstoneId};

use super::segment_index::{LogMutation, LogSegment, SegmentIndex};
use super::segment_path;
use crate::data_directory::DataDirectory;
use crate::error::StoreError;
use crate::frame::{DecodedRecord, FRAME_HEADER_BYTES, decode_records, read_frame};
use crate::recovery_finding::RecoveryFinding;

/// The leases, sessions and tombstones of a log, in the order of their keys.
pub(crate) struct RecoveredRecords {
    pub(crate) leases: Vec<(LeaseKey, Lease)>,
    pub(crate) sessions: Vec<(SessionId, SessionRecord)>,
    pub(crate) tombstones: Vec<TombstoneId>,
}

/// The leases, sessions and tombstones of the segments read so far.
#[derive(Default)]
pub(super) struct Replay {
    leases: HashMap<LeaseKey, Lease>,
    sessions: BTreeMap<SessionId, SessionRecord>,
    tombstones: BTreeSet<TombstoneId>,
}

impl Replay {
    /// Reads the next segment, as it was listed, and adds it to the index.
    pub(super) fn read_segment(
        &mut self,
        directory: &mut DataDirectory,
        index: &mut SegmentIndex,
        segment: LogSegment,
    ) -> Result<(), StoreError> {
        let path = segment_path(segment.number);
        let bytes = directory.read_file(&path)?;
        // What was read may not be durable yet, and it must not be used before it is.
        directory.sync_file(&path)?;
        index.add(segment);
        let intact_bytes = self.read_frames(index, segment.number, &bytes);
        if let Some(segment) = index.segment_mut(segment.number) {
            segment.intact_bytes = intact_bytes as u64;
        }
        if intact_bytes < bytes.len() {
            directory.report(RecoveryFinding::TornSegment { path, intact_bytes, total_bytes: bytes.len() });
        }
        Ok(())
    }

    /// Reads all frames up to the first one that is not intact, and returns where they end.
    fn read_frames(&mut self, index: &mut SegmentIndex, segment: u32, bytes: &[u8]) -> usize {
        let mut offset = 0;
        while let Some(payload) = read_frame(segment, bytes, offset) {
            let Some(records) = decode_records(payload) else { break };
            for decoded in records {
                self.apply(index, segment, offset as u64, decoded);
            }
            offset += FRAME_HEADER_BYTES + payload.len();
        }
        offset
    }

    fn apply(&mut self, index: &mut SegmentIndex, segment: u32, frame_offset: u64, decoded: DecodedRecord) {
        let mutation = LogMutation::from_record(&decoded.record, segment, frame_offset, decoded.bytes);
        let Ok(Some(mutation)) = mutation else { return };
        index.apply(mutation);
        match decoded.record {
            LogRecord::Lease(key, lease) => {
                self.leases.insert(key, lease);
            }
            // A release of an earlier lease does not end the one that came after it.
            LogRecord::LeaseReleased(key, _) if !index.has_live_record(key) => {
                self.leases.remove(&key);
            }
            LogRecord::Session(id, record) => {
                self.sessions.insert(id, record);
            }
            LogRecord::SessionEnded(id) => {
                self.sessions.remove(&id);
            }
            LogRecord::Tombstone(id) => {
                self.tombstones.insert(id);
            }
            LogRecord::TombstoneExpired(id) => {
                self.tombstones.remove(&id);
            }
            _ => {}
        }
    }

    pub(super) fn finish(self) -> RecoveredRecords {
        let mut leases: Vec<(LeaseKey, Lease)> = self.leases.into_iter().collect();
        leases.sort_unstable_by_key(|(key, _)| *key);
        RecoveredRecords {
            leases,
            sessions: self.sessions.into_iter().collect(),
            tombstones: self.tombstones.into_iter().collect(),
        }
    }
}
