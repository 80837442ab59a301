//! The pace at which a machine sends large answers, so that small ones don't queue behind them on its link. It owns the
//! time at which the next piece may go. It must never hold back a piece while the link has been idle.

use ochreshed_consensus::core::Nanos;

/// All that is sent may come to this part of the link.
const PART: f64 = 0.95;

#[derive(Clone, Debug)]
pub struct LargeResponsePacer {
    bytes_per_ns: f64,
    next: Nanos,
    /// Bytes of large answers that are on their way and have not gone yet.
    pending: u64,
}

impl LargeResponsePacer {
    /// For a link of so many Mbit/s.
    pub fn new(link_mbps: f64) -> LargeResponsePacer {
        LargeResponsePacer { bytes_per_ns: link_mbps.max(0.01) * 1e6 / 8.0 * PART / 1e9, next: 0, pending: 0 }
    }

    /// When a piece of so many bytes may go; later ones come behind it.
    pub fn reserve(&mut self, now: Nanos, bytes: usize) -> Nanos {
        let at = self.next.max(now);
        self.next = at.saturating_add((bytes as f64 / self.bytes_per_ns) as Nanos);
        at
    }

    /// Something small goes at once; what is paced makes room for it.
    pub fn note(&mut self, now: Nanos, bytes: usize) {
        self.reserve(now, bytes);
    }

    /// A large answer of so many bytes is to go.
    pub fn begin(&mut self, bytes: u64) {
        self.pending = self.pending.saturating_add(bytes);
    }

    /// So many of those have gone, or never will.
    pub fn done(&mut self, bytes: u64) {
        self.pending = self.pending.saturating_sub(bytes);
    }

    /// How long one that comes now would wait for all that is on its way.
    pub fn wait(&self, now: Nanos) -> Nanos {
        self.next.saturating_sub(now).saturating_add(self.span(self.pending as f64))
    }

    /// How long so many bytes take.
    pub fn span(&self, bytes: f64) -> Nanos {
        (bytes / self.bytes_per_ns) as Nanos
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pieces_go_one_behind_the_other_at_a_part_of_the_link() {
        // A million bytes a second.
        let mut pace = LargeResponsePacer::new(8.0 / PART);
        let gone: Vec<Nanos> = (0..3).map(|_| pace.reserve(5_000, 10_000)).collect();
        assert_eq!(gone, [5_000, 10_005_000, 20_005_000]);
        pace.note(10_005_000, 1_000);
        assert_eq!(pace.wait(10_005_000), 21_000_000);
        // What was begun stands before who comes, whether its pieces are there or not.
        pace.begin(50_000);
        pace.done(10_000);
        assert_eq!(pace.wait(10_005_000), 61_000_000);
        pace.done(40_000);
        // After a while without any the next goes at once.
        assert_eq!(pace.reserve(90_000_000, 10_000), 90_000_000);
    }
}
