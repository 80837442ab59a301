//! The random number generator, and counts, sums and rates over time. Nothing here decides.

use std::collections::BTreeMap;

use crate::types::{DispatchOutcome, Nanos};

/// A multiply-with-carry generator.
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        let mixed = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (seed >> 29);
        Rng((mixed & 0x7FFF_FFFF_FFFF_FFFF) | 1)
    }

    pub fn next_u32(&mut self) -> u32 {
        self.0 = (self.0 & 0xFFFF_FFFF) * 4_294_957_665 + (self.0 >> 32);
        self.0 as u32
    }

    /// Draws uniformly from [0, 1).
    pub fn next_fraction(&mut self) -> f64 {
        f64::from(self.next_u32()) / 4_294_967_296.0
    }

    /// Draws uniformly from [0, `max`).
    pub fn next_duration(&mut self, max: Nanos) -> Nanos {
        (self.next_fraction() * max as f64) as Nanos
    }
}

pub const WINDOW_BUCKETS: usize = 10;

/// Buckets with fewer values than this have no meaningful mean.
const MIN_VALUES_FOR_BUCKET_MEAN: f64 = 10.0;

/// Counts and sums over a sliding window of time. The buckets form a ring: each is reused once its time has passed.
#[derive(Clone)]
pub struct SlidingWindow {
    bucket_width: Nanos,
    buckets: [Bucket; WINDOW_BUCKETS],
}

#[derive(Clone, Copy, Default)]
pub struct Bucket {
    /// Its time, in bucket widths since time 0.
    number: u64,
    pub count: f64,
    sum: f64,
}

impl SlidingWindow {
    pub fn new(span: Nanos) -> SlidingWindow {
        SlidingWindow {
            bucket_width: span / WINDOW_BUCKETS as u64,
            buckets: [Bucket::default(); WINDOW_BUCKETS],
        }
    }

    pub fn add(&mut self, now: Nanos, value: f64) {
        let number = now / self.bucket_width;
        let bucket = &mut self.buckets[(number % WINDOW_BUCKETS as u64) as usize];
        if bucket.number != number {
            *bucket = Bucket { number, ..Bucket::default() };
        }
        bucket.count += 1.0;
        bucket.sum += value;
    }

    /// The buckets whose time has not passed.
    pub fn live_buckets(&self, now: Nanos) -> impl Iterator<Item = &Bucket> {
        let number = now / self.bucket_width;
        self.buckets.iter().filter(move |bucket| bucket.number + WINDOW_BUCKETS as u64 > number)
    }

    pub fn count(&self, now: Nanos) -> f64 {
        self.live_buckets(now).map(|bucket| bucket.count).sum()
    }

    pub fn sum(&self, now: Nanos) -> f64 {
        self.live_buckets(now).map(|bucket| bucket.sum).sum()
    }

    /// The mean of the values, 0 if there are none.
    pub fn mean(&self, now: Nanos) -> f64 {
        self.sum(now) / self.count(now).max(1.0)
    }

    /// The lowest mean of any bucket with enough values, infinite if there is none.
    pub fn min_bucket_mean(&self, now: Nanos) -> f64 {
        let enough = self.live_buckets(now).filter(|bucket| bucket.count >= MIN_VALUES_FOR_BUCKET_MEAN);
        enough.map(|bucket| bucket.sum / bucket.count).fold(f64::INFINITY, f64::min)
    }

    /// The count per second. Time before `started_at` does not count.
    pub fn rate_per_s(&self, now: Nanos, started_at: Nanos) -> f64 {
        self.to_rate_per_s(self.count(now), now, started_at)
    }

    /// Adds (`sign` 1) or subtracts (`sign` -1) the contents of another window of the same width.
    pub fn merge(&mut self, other: &SlidingWindow, sign: f64) {
        for (at, theirs) in other.buckets.iter().enumerate() {
            let ours = &mut self.buckets[at];
            if theirs.number > ours.number && sign > 0.0 {
                *ours = Bucket { number: theirs.number, ..Bucket::default() };
            }
            if theirs.number == ours.number {
                ours.count += sign * theirs.count;
                ours.sum += sign * theirs.sum;
            }
        }
    }

    /// Converts a count over this window to a rate per second; see [`SlidingWindow::rate_per_s`].
    pub fn to_rate_per_s(&self, count: f64, now: Nanos, started_at: Nanos) -> f64 {
        count * 1e9 / self.covered_span(now, started_at) as f64
    }

    /// The number of the bucket for this time.
    pub fn bucket_number(&self, now: Nanos) -> u64 {
        now / self.bucket_width
    }

    /// The span that the live buckets cover.
    fn covered_span(&self, now: Nanos, started_at: Nanos) -> Nanos {
        let span = (WINDOW_BUCKETS as u64 - 1) * self.bucket_width + now % self.bucket_width;
        span.min(now - started_at).max(self.bucket_width)
    }
}

/// A histogram of counts that sums up, over all members, the greater of the scaled count and a floor. A sum costs only as much
/// as the threshold between the two has moved since the last one, whatever the number of members.
#[derive(Default)]
pub struct CountHistogram {
    members_by_count: BTreeMap<u32, u32>,
    /// Counts below this are worth less than the floor.
    threshold: u32,
    /// Members with counts below the threshold.
    members_below: u64,
    /// Sum of the counts from the threshold on.
    sum_above: u64,
}

impl CountHistogram {
    pub fn add(&mut self, count: u32) {
        *self.members_by_count.entry(count).or_default() += 1;
        if count < self.threshold { self.members_below += 1 } else { self.sum_above += u64::from(count) }
    }

    pub fn remove(&mut self, count: u32) {
        if let Some(members) = self.members_by_count.get_mut(&count) {
            *members -= 1;
            if *members == 0 {
                self.members_by_count.remove(&count);
            }
            if count < self.threshold { self.members_below -= 1 } else { self.sum_above -= u64::from(count) }
        }
    }

    pub fn merge(&mut self, other: CountHistogram) {
        for (count, members) in other.members_by_count {
            (0..members).for_each(|_| self.add(count));
        }
    }

    pub fn is_empty(&self) -> bool {
        self.members_by_count.is_empty()
    }

    /// Sums `scale(count)` or `floor`, whichever is greater, over all members. `scale` must be linear.
    pub fn sum_with_floor(&mut self, scale: impl Fn(f64) -> f64, floor: f64) -> f64 {
        let threshold = (floor / scale(1.0)).ceil().min(f64::from(u32::MAX)) as u32;
        let moved =
            if threshold > self.threshold { self.threshold..threshold } else { threshold..self.threshold };
        let moved = self.members_by_count.range(moved);
        let moved = moved.map(|(count, members)| (u64::from(*members), u64::from(*count)));
        let (members, sum) =
            moved.fold((0, 0), |(n, s), (members, count)| (n + members, s + members * count));
        if threshold > self.threshold {
            (self.members_below, self.sum_above) = (self.members_below + members, self.sum_above - sum);
        } else {
            (self.members_below, self.sum_above) = (self.members_below - members, self.sum_above + sum);
        }
        self.threshold = threshold;
        self.members_below as f64 * floor + scale(self.sum_above as f64)
    }
}

/// What an instance counts of its own requests.
pub struct RequestStatistics {
    pub first_sends: SlidingWindow,
    pub retries: SlidingWindow,
    /// Seconds from dispatch to response, adjusted to a request of mean expected cost, over 2 s.
    pub latency_2s: SlidingWindow,
    /// The same over 20 s.
    pub latency_20s: SlidingWindow,
    /// The same over 80 s.
    pub latency_80s: SlidingWindow,
    pub arrivals: SlidingWindow,
    pub denials: SlidingWindow,
    /// Dispatches that never ran.
    pub never_ran: SlidingWindow,
    /// In seconds.
    pub expected_costs: SlidingWindow,
    pub utilities: SlidingWindow,
    /// 1 for each failed dispatch and 0 for each other one.
    pub failures: SlidingWindow,
}

impl RequestStatistics {
    pub fn count_outcome(&mut self, now: Nanos, outcome: DispatchOutcome) {
        if outcome.never_ran() && outcome != DispatchOutcome::Rejected {
            self.never_ran.add(now, 1.0);
        }
    }

    /// Counts a retry. After a rejection it is none, because the request has not reached an endpoint yet.
    pub fn count_retry(&mut self, now: Nanos, was_rejected: bool) {
        if !was_rejected {
            self.retries.add(now, 1.0);
        }
    }

    /// Whether one more retry is within the retry budget: a ratio of the first sends plus a floor.
    pub fn allows_retry(&self, now: Nanos, ratio: f64, floor: f64) -> bool {
        self.retries.count(now) + 1.0 <= self.first_sends.count(now) * ratio + floor
    }

    /// The requests per second that endpoints accept from this instance. Refused dispatches do not count: when many endpoints
    /// refuse, requests are retried at once and most dispatches are refusals.
    pub fn accepted_per_s(&self, now: Nanos, started_at: Nanos) -> f64 {
        let accepted = self.first_sends.count(now) + self.retries.count(now) - self.never_ran.count(now);
        let admitted = self.arrivals.count(now) - self.denials.count(now);
        let admitted_per_s = self.arrivals.to_rate_per_s(admitted.max(0.0), now, started_at);
        self.first_sends.to_rate_per_s(accepted.max(0.0), now, started_at).min(admitted_per_s)
    }
}

impl Default for RequestStatistics {
    fn default() -> RequestStatistics {
        let window = |seconds: u64| SlidingWindow::new(seconds * 1_000_000_000);
        RequestStatistics {
            first_sends: window(10),
            retries: window(10),
            latency_2s: window(2),
            latency_20s: window(20),
            latency_80s: window(80),
            arrivals: window(2),
            denials: window(2),
            never_ran: window(10),
            expected_costs: window(20),
            utilities: window(20),
            failures: window(5),
        }
    }
}

const IDLE_CLASSES: usize = 8;
const MIN_IDLE: Nanos = 100_000_000;

/// Counts lost and successful dispatches by how long their connection had been idle. The first class begins at [`MIN_IDLE`], and
/// each next one at twice the idle time of the one before. Counts decay exponentially.
#[derive(Default)]
pub struct IdleLosses {
    lost: [f64; IDLE_CLASSES],
    succeeded: [f64; IDLE_CLASSES],
    decayed_at: Nanos,
}

impl IdleLosses {
    /// Counts a dispatch, after the counts have decayed with this time constant.
    pub fn record(&mut self, now: Nanos, idle: Nanos, lost: bool, decay_time: Nanos) {
        let kept = (-(now.saturating_sub(self.decayed_at) as f64) / decay_time as f64).exp();
        self.decayed_at = now;
        self.lost.iter_mut().chain(&mut self.succeeded).for_each(|count| *count *= kept);
        let class = (idle / MIN_IDLE).checked_ilog2().map(|class| (class as usize).min(IDLE_CLASSES - 1));
        if let Some(class) = class {
            (if lost { &mut self.lost } else { &mut self.succeeded })[class] += 1.0;
        }
    }

    /// The shortest idle time from which on more than `min_losses` dispatches, and more than `min_share` of them, were lost.
    pub fn idle_limit(&self, min_losses: f64, min_share: f64) -> Option<Nanos> {
        let sums =
            |from: usize| (self.lost[from..].iter().sum::<f64>(), self.succeeded[from..].iter().sum::<f64>());
        let is_lossy = |class: &usize| {
            let (lost, succeeded) = sums(*class);
            self.lost[*class] > min_share * (self.lost[*class] + self.succeeded[*class])
                && lost > min_losses
                && lost > min_share * (lost + succeeded)
        };
        (0..IDLE_CLASSES).find(is_lossy).map(|class| MIN_IDLE << class)
    }
}

/// How many of its last outcomes an endpoint is judged by.
const MAX_OUTCOMES: u32 = 6;

/// The index in [`crate::endpoint_set::Endpoint::health`] of the health over all requests.
pub const OVERALL_HEALTH: usize = 0;

/// The last outcomes of an endpoint, and until when it is ejected for them.
#[derive(Clone, Copy, Default)]
pub struct Health {
    /// One bit per outcome, 1 for a failure, the latest in the lowest bit.
    pub outcomes: u32,
    /// How many outcomes there are.
    pub outcome_count: u32,
    pub ejected_until: Nanos,
}

impl Health {
    /// Records an outcome, counted `times` times.
    pub fn record(&mut self, failure: bool, times: u32) {
        for _ in 0..times {
            self.outcomes = (self.outcomes << 1 | u32::from(failure)) & ((1 << MAX_OUTCOMES) - 1);
            self.outcome_count = (self.outcome_count + 1).min(MAX_OUTCOMES);
        }
    }

    pub fn count_failures(&self) -> u32 {
        self.outcomes.count_ones()
    }
}
