//! Paces large responses of a machine, so that small responses don't queue behind them on its network link.
//!
//! [`LargeResponsePacer`] determines when the next chunk of a large response may be sent, and how long a new response
//! would wait.
//!
//! Invariants: a chunk is not delayed while the link is idle.

use ochreshed_consensus::core::Nanos;

/// The fraction of the link's bandwidth that all responses together may use.
#[doc(hidden)]
pub const LINK_UTILIZATION: f64 = 0.95;
/// The minimum bandwidth that is assumed, in Mbit/s.
const MIN_LINK_MBPS: f64 = 0.01;

/// The pacing state of one network link.
#[derive(Clone, Debug)]
pub struct LargeResponsePacer {
    bytes_per_ns: f64,
    /// When all reserved bytes will have been sent.
    free_at: Nanos,
    /// The bytes of announced large responses that are not reserved yet.
    pending_bytes: u64,
}

impl LargeResponsePacer {
    /// Creates a pacer for a link with this bandwidth, in Mbit/s.
    pub fn new(link_mbps: f64) -> LargeResponsePacer {
        let bytes_per_second = link_mbps.max(MIN_LINK_MBPS) * 1e6 / 8.0 * LINK_UTILIZATION;
        LargeResponsePacer { bytes_per_ns: bytes_per_second / 1e9, free_at: 0, pending_bytes: 0 }
    }

    /// Reserves the link for a chunk of this size and returns the time at which it may be sent.
    pub fn reserve(&mut self, now: Nanos, bytes: usize) -> Nanos {
        let send_at = self.free_at.max(now);
        self.free_at = send_at.saturating_add(self.transfer_time(bytes as f64));
        send_at
    }

    /// Records bytes that are sent at once without pacing, and delays large responses accordingly.
    pub fn record_unpaced(&mut self, now: Nanos, bytes: usize) {
        self.reserve(now, bytes);
    }

    /// Announces a large response of this size.
    pub fn announce_response(&mut self, bytes: u64) {
        self.pending_bytes = self.pending_bytes.saturating_add(bytes);
    }

    /// Subtracts announced bytes that have been reserved or will not be sent.
    pub fn release_pending(&mut self, bytes: u64) {
        self.pending_bytes = self.pending_bytes.saturating_sub(bytes);
    }

    /// How long a response that begins now would wait for the bytes before it.
    #[must_use]
    pub fn queue_delay(&self, now: Nanos) -> Nanos {
        let reserved_time = self.free_at.saturating_sub(now);
        reserved_time.saturating_add(self.transfer_time(self.pending_bytes as f64))
    }

    /// How long it takes to send this number of bytes.
    #[must_use]
    pub fn transfer_time(&self, bytes: f64) -> Nanos {
        (bytes / self.bytes_per_ns) as Nanos
    }
}
