//! Counters over a sliding time window.
//!
//! [`SlidingWindow`] divides its window into buckets and drops the oldest bucket when a new one begins.
//!
//! Invariants: the size of a window in memory is constant.

use ochreshed::Nanos;
use ochreshed_catalog::traffic_reports::{AttemptCounts, OutcomeCounts};

/// The number of buckets in a window.
const BUCKETS: u64 = 10;

/// Counts that can be added.
pub(crate) trait Counts: Copy + Default {
    /// Returns the sum of both.
    fn combine(self, other: Self) -> Self;
}

impl Counts for AttemptCounts {
    fn combine(self, other: AttemptCounts) -> AttemptCounts {
        self.saturating_add(other)
    }
}

impl Counts for OutcomeCounts {
    fn combine(self, other: OutcomeCounts) -> OutcomeCounts {
        self.saturating_add(other)
    }
}

/// The counts of one bucket.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket<T> {
    /// The index of the bucket since time 0.
    index: u64,
    counts: T,
}

impl<T: Counts> Bucket<T> {
    /// Adds counts to the bucket with this index, and drops the counts of an older one.
    fn add(&mut self, index: u64, counts: T) {
        self.counts = if self.index == index { self.counts.combine(counts) } else { counts };
        self.index = index;
    }
}

/// Counts over the most recent time span.
#[derive(Clone, Debug)]
pub(crate) struct SlidingWindow<T> {
    bucket_width: Nanos,
    buckets: [Bucket<T>; BUCKETS as usize],
}

impl<T: Counts> SlidingWindow<T> {
    /// Creates an empty window with this span.
    pub(crate) fn with_span(span: Nanos) -> SlidingWindow<T> {
        let bucket_width = (span / BUCKETS).max(1);
        SlidingWindow { bucket_width, buckets: [Bucket::default(); BUCKETS as usize] }
    }

    /// Whether both windows have the same span.
    pub(crate) fn has_same_span(&self, other: &SlidingWindow<T>) -> bool {
        self.bucket_width == other.bucket_width
    }

    /// Adds counts to the bucket of `now`.
    pub(crate) fn add(&mut self, now: Nanos, counts: T) {
        let index = now / self.bucket_width;
        if let Some(bucket) = self.buckets.get_mut((index % BUCKETS) as usize) {
            bucket.add(index, counts);
        }
    }

    /// Adds the counts of another window with the same span.
    pub(crate) fn merge(&mut self, other: &SlidingWindow<T>) {
        for (bucket, added) in self.buckets.iter_mut().zip(&other.buckets) {
            if bucket.index <= added.index {
                bucket.add(added.index, added.counts);
            }
        }
    }

    /// The sum of all counts in the window that ends at `now`.
    pub(crate) fn sum(&self, now: Nanos) -> T {
        let current = now / self.bucket_width;
        let live = self.buckets.iter().filter(|bucket| bucket.index + BUCKETS > current);
        live.fold(T::default(), |sum, bucket| sum.combine(bucket.counts))
    }
}
