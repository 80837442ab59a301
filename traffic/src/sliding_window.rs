//! Counts over a sliding window of time.
//!
//! [`SlidingWindow`] divides its window into buckets and forgets the oldest one whenever a new one begins.
//!
//! Invariants: the memory of a window does not depend on what is counted.

use ochreshed::Nanos;
use ochreshed_catalog::traffic_reports::{AttemptCounts, OutcomeCounts};

/// The number of buckets of a window.
const BUCKETS: u64 = 10;

/// Counts that can be added.
pub(crate) trait Counts: Copy + Default {
    /// The sum of both.
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
    /// The number of the bucket since time 0.
    number: u64,
    counts: T,
}

impl<T: Counts> Bucket<T> {
    /// Adds counts of the bucket with this number, and drops older ones.
    fn add(&mut self, number: u64, counts: T) {
        self.counts = if self.number == number { self.counts.combine(counts) } else { counts };
        self.number = number;
    }
}

/// The counts of the last span of time.
#[derive(Clone, Debug)]
pub(crate) struct SlidingWindow<T> {
    bucket_width: Nanos,
    buckets: [Bucket<T>; BUCKETS as usize],
}

impl<T: Counts> SlidingWindow<T> {
    /// An empty window over this span.
    pub(crate) fn with_span(span: Nanos) -> SlidingWindow<T> {
        let bucket_width = (span / BUCKETS).max(1);
        SlidingWindow { bucket_width, buckets: [Bucket::default(); BUCKETS as usize] }
    }

    /// Whether both are over the same span.
    pub(crate) fn has_same_span(&self, other: &SlidingWindow<T>) -> bool {
        self.bucket_width == other.bucket_width
    }

    /// Adds counts to the bucket of `now`.
    pub(crate) fn add(&mut self, now: Nanos, counts: T) {
        let number = now / self.bucket_width;
        if let Some(bucket) = self.buckets.get_mut((number % BUCKETS) as usize) {
            bucket.add(number, counts);
        }
    }

    /// Adds the counts of another window over the same span.
    pub(crate) fn merge(&mut self, other: &SlidingWindow<T>) {
        for (bucket, added) in self.buckets.iter_mut().zip(&other.buckets) {
            if bucket.number <= added.number {
                bucket.add(added.number, added.counts);
            }
        }
    }

    /// The sum of all counts in the window that ends now.
    pub(crate) fn sum(&self, now: Nanos) -> T {
        let current = now / self.bucket_width;
        let live = self.buckets.iter().filter(|bucket| bucket.number + BUCKETS > current);
        live.fold(T::default(), |sum, bucket| sum.combine(bucket.counts))
    }
}
