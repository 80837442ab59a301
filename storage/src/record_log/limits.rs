//! Limits that decide when segments end and when live records are rewritten.

use super::append_batch::MAX_FRAME_BYTES;

/// The limits of a record log.
#[derive(Clone, Copy, Debug)]
pub struct LogLimits {
    /// A segment of at least this length is not appended to.
    pub max_segment_bytes: u64,
    /// A log longer than this is compacted while less than a quarter of it is live.
    pub quarter_live_above_bytes: u64,
    /// A log longer than this is compacted while less than half of it is live.
    pub half_live_above_bytes: u64,
    /// A log with more segments than this is compacted in any case.
    pub max_segments: usize,
    /// How much of the oldest segment is compacted with each append.
    pub compaction_step_bytes: u64,
}

impl Default for LogLimits {
    fn default() -> LogLimits {
        LogLimits {
            max_segment_bytes: 4 << 20,
            quarter_live_above_bytes: 8 << 20,
            half_live_above_bytes: 64 << 20,
            max_segments: 32,
            compaction_step_bytes: MAX_FRAME_BYTES as u64,
        }
    }
}
