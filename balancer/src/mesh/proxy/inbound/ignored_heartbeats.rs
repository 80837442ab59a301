//! Counts of heartbeats that were acknowledged and changed nothing, by cause.
//!
//! Main types: [`IgnoredHeartbeat`], [`IgnoredHeartbeatCounts`].
//!
//! Invariants: counts never decrease.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Why a heartbeat was ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IgnoredHeartbeat {
    /// Its incarnation drains or has ended.
    Ended,
    /// A later heartbeat of its incarnation has arrived before.
    Late,
}

impl IgnoredHeartbeat {
    /// All causes, in the order in which they are exported.
    pub const ALL: [IgnoredHeartbeat; 2] = [IgnoredHeartbeat::Ended, IgnoredHeartbeat::Late];

    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            IgnoredHeartbeat::Ended => "ended",
            IgnoredHeartbeat::Late => "late",
        }
    }
}

/// Ignored heartbeats since the process started.
#[derive(Debug, Default)]
pub struct IgnoredHeartbeatCounts {
    counts: [AtomicU64; IgnoredHeartbeat::ALL.len()],
}

impl IgnoredHeartbeatCounts {
    pub(super) fn record(&self, cause: IgnoredHeartbeat) {
        self.counts[cause as usize].fetch_add(1, Relaxed);
    }

    /// How many heartbeats were ignored for this cause.
    pub fn count(&self, cause: IgnoredHeartbeat) -> u64 {
        self.counts[cause as usize].load(Relaxed)
    }
}
