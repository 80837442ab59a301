//! The pace at which a machine sends large responses, so that small ones don't queue behind them on its network link.
//!
//! [`LargeResponsePacer`] says when the next piece of a large response may be sent, and how long a new response would wait.
//!
//! Invariants: a piece is not held back while the link has been idle.

use ochreshed_consensus::core::Nanos;

/// The part of the link's bandwidth that all responses together may use.
#[doc(hidden)]
pub const LINK_UTILIZATION: f64 = 0.95;
/// The least bandwidth that is reckoned with, in Mbit/s.
const MIN_LINK_MBPS: f64 = 0.01;

/// The pace of one link.
#[derive(Clone, Debug)]
pub struct LargeResponsePacer {
    bytes_per_ns: f64,
    /// When all that has been reserved will be sent.
    free_at: Nanos,
    /// The bytes of large responses that have begun and are not reserved yet.
    pending_bytes: u64,
}

impl LargeResponsePacer {
    /// The pacer for a link of this bandwidth in Mbit/s.
    pub fn new(link_mbps: f64) -> LargeResponsePacer {
        let bytes_per_second = link_mbps.max(MIN_LINK_MBPS) * 1e6 / 8.0 * LINK_UTILIZATION;
        LargeResponsePacer { bytes_per_ns: bytes_per_second / 1e9, free_at: 0, pending_bytes: 0 }
    }

    /// Reserves the link for a piece of this size and returns when it may be sent.
    pub fn reserve(&mut self, now: Nanos, bytes: usize) -> Nanos {
        let send_at = self.free_at.max(now);
        self.free_at = send_at.saturating_add(self.transfer_time(bytes as f64));
        send_at
    }

    /// Notes that something small is sent at once, for which large responses make room.
    pub fn record_unpaced(&mut self, now: Nanos, bytes: usize) {
        self.reserve(now, bytes);
    }

    /// Notes that a large response of this size begins.
    pub fn announce_response(&mut self, bytes: u64) {
        self.pending_bytes = self.pending_bytes.saturating_add(bytes);
    }

    /// Notes that so many bytes of large responses have been reserved or never will be.
    pub fn release_pending(&mut self, bytes: u64) {
        self.pending_bytes = self.pending_bytes.saturating_sub(bytes);
    }

    /// How long a response that begins now would wait for all that is to be sent before it.
    #[must_use]
    pub fn queue_delay(&self, now: Nanos) -> Nanos {
        let reserved = self.free_at.saturating_sub(now);
        reserved.saturating_add(self.transfer_time(self.pending_bytes as f64))
    }

    /// How long it takes to send so many bytes.
    #[must_use]
    pub fn transfer_time(&self, bytes: f64) -> Nanos {
        (bytes / self.bytes_per_ns) as Nanos
    }
}
