//! What the module measures with: chance, and counts and sums over time. Nothing here decides.

use std::collections::BTreeMap;

use crate::types::{DispatchOutcome, Nanos};

/// A multiply-with-carry generator.
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Chance {
        let mixed = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (seed >> 29);
        Chance((mixed & 0x7FFF_FFFF_FFFF_FFFF) | 1)
    }

    pub fn next(&mut self) -> u32 {
        self.0 = (self.0 & 0xFFFF_FFFF) * 4_294_957_665 + (self.0 >> 32);
        self.0 as u32
    }

    /// Evenly from 0 up to, but not including, 1.
    pub fn part(&mut self) -> f64 {
        f64::from(self.next()) / 4_294_967_296.0
    }

    pub fn span(&mut self, most: Nanos) -> Nanos {
        (self.part() * most as f64) as Nanos
    }
}

pub const BUCKETS: usize = 10;

/// Counts and sums over the last buckets of time; a bucket is used again once its time has passed.
#[derive(Clone)]
pub struct Ring {
    width: Nanos,
    buckets: [Bucket; BUCKETS],
}

#[derive(Clone, Copy, Default)]
pub struct Bucket {
    turn: u64,
    pub count: f64,
    sum: f64,
}

impl Ring {
    pub fn over(span: Nanos) -> Ring {
        Ring { width: span / BUCKETS as u64, buckets: [Bucket::default(); BUCKETS] }
    }

    pub fn add(&mut self, now: Nanos, value: f64) {
        let turn = now / self.width;
        let bucket = &mut self.buckets[(turn % BUCKETS as u64) as usize];
        if bucket.turn != turn {
            *bucket = Bucket { turn, ..Bucket::default() };
        }
        bucket.count += 1.0;
        bucket.sum += value;
    }

    /// The buckets whose time has not passed.
    pub fn live(&self, now: Nanos) -> impl Iterator<Item = &Bucket> {
        let turn = now / self.width;
        self.buckets.iter().filter(move |b| b.turn + BUCKETS as u64 > turn)
    }

    pub fn count(&self, now: Nanos) -> f64 {
        self.live(now).map(|bucket| bucket.count).sum()
    }

    pub fn sum(&self, now: Nanos) -> f64 {
        self.live(now).map(|bucket| bucket.sum).sum()
    }

    /// The mean of what was added, 0 of nothing.
    pub fn mean(&self, now: Nanos) -> f64 {
        self.sum(now) / self.count(now).max(1.0)
    }

    /// The least mean of any bucket that holds enough to tell.
    pub fn least(&self, now: Nanos) -> f64 {
        let told = self.live(now).filter(|bucket| bucket.count >= 10.0);
        told.map(|bucket| bucket.sum / bucket.count).fold(f64::INFINITY, f64::min)
    }

    /// The count for each second; `born` keeps the time before the start from counting as idle.
    pub fn rate(&self, now: Nanos, born: Nanos) -> f64 {
        self.rate_of(self.count(now), now, born)
    }

    /// Adds, or takes away again, all that another one of the same width holds.
    pub fn merge(&mut self, other: &Ring, sign: f64) {
        for (at, theirs) in other.buckets.iter().enumerate() {
            let ours = &mut self.buckets[at];
            if theirs.turn > ours.turn && sign > 0.0 {
                *ours = Bucket { turn: theirs.turn, ..Bucket::default() };
            }
            if theirs.turn == ours.turn {
                ours.count += sign * theirs.count;
                ours.sum += sign * theirs.sum;
            }
        }
    }

    /// What so many are each second; see `rate`.
    pub fn rate_of(&self, count: f64, now: Nanos, born: Nanos) -> f64 {
        count * 1e9 / self.reach(now, born) as f64
    }

    /// The number of the bucket that this time falls into.
    pub fn turn(&self, now: Nanos) -> u64 {
        now / self.width
    }

    /// The span that the live buckets cover.
    fn reach(&self, now: Nanos, born: Nanos) -> Nanos {
        let span = (BUCKETS as u64 - 1) * self.width + now % self.width;
        span.min(now - born).max(self.width)
    }
}

/// How many have each count, and from that the sum over all of the count's worth, or of a least worth where
/// that is more. The sum costs what the least worth has moved by, not the number of those counted.
#[derive(Default)]
pub struct Counts {
    of: BTreeMap<u32, u32>,
    /// Counts from here on are worth more than the least.
    from: u32,
    below: u64,
    above: u64,
}

impl Counts {
    pub fn add(&mut self, count: u32) {
        *self.of.entry(count).or_default() += 1;
        if count < self.from { self.below += 1 } else { self.above += u64::from(count) }
    }

    pub fn remove(&mut self, count: u32) {
        if let Some(number) = self.of.get_mut(&count) {
            *number -= 1;
            if *number == 0 {
                self.of.remove(&count);
            }
            if count < self.from { self.below -= 1 } else { self.above -= u64::from(count) }
        }
    }

    pub fn take_in(&mut self, other: Counts) {
        for (count, number) in other.of {
            (0..number).for_each(|_| self.add(count));
        }
    }

    pub fn is_empty(&self) -> bool {
        self.of.is_empty()
    }

    pub fn sum(&mut self, worth: impl Fn(f64) -> f64, least: f64) -> f64 {
        let from = (least / worth(1.0)).ceil().min(f64::from(u32::MAX)) as u32;
        let span = if from > self.from { self.from..from } else { from..self.from };
        let moved = self.of.range(span).map(|(count, number)| (u64::from(*number), u64::from(*count)));
        let (number, sum) = moved.fold((0, 0), |(n, s), (number, count)| (n + number, s + number * count));
        if from > self.from {
            (self.below, self.above) = (self.below + number, self.above - sum);
        } else {
            (self.below, self.above) = (self.below - number, self.above + sum);
        }
        self.from = from;
        self.below as f64 * least + worth(self.above as f64)
    }
}

/// What an instance counts of its own reqs.
pub struct Seen {
    pub first: Ring,
    pub again: Ring,
    /// Seconds that done reqs took, as those of a req of the mean cost: of late, over a while and a longer one.
    pub done: Ring,
    pub took: Ring,
    pub took_long: Ring,
    pub asked: Ring,
    pub denied: Ring,
    /// Dispatches that never ran.
    pub refused: Ring,
    /// What reqs are told to cost, in seconds, and their utility.
    pub works: Ring,
    pub utilities: Ring,
    pub outcomes: Ring,
}

impl Seen {
    pub fn ended(&mut self, now: Nanos, how: DispatchOutcome) {
        if how.never_ran() && how != DispatchOutcome::Rejected {
            self.refused.add(now, 1.0);
        }
    }

    /// One is sent again. What never came to a srv the first time counts as sent once.
    pub fn sent_again(&mut self, now: Nanos, turned: bool) {
        if !turned {
            self.again.add(now, 1.0);
        }
    }

    /// Whether one more may be sent again within a part of the first sends and a floor.
    pub fn room_again(&self, now: Nanos, part: f64, floor: f64) -> bool {
        self.again.count(now) + 1.0 <= self.first.count(now) * part + floor
    }

    /// What srvs take from us a second. What was turned away was not taken: in a storm of refusals, whose reqs come
    /// again at once, it is most of what is sent.
    pub fn taken(&self, now: Nanos, born: Nanos) -> f64 {
        let taken = self.first.count(now) + self.again.count(now) - self.refused.count(now);
        let lately = self.asked.count(now) - self.denied.count(now);
        let lately = self.asked.rate_of(lately.max(0.0), now, born);
        self.first.rate_of(taken.max(0.0), now, born).min(lately)
    }
}

impl Default for Seen {
    fn default() -> Seen {
        let over = |seconds: u64| Ring::over(seconds * 1_000_000_000);
        Seen {
            first: over(10),
            again: over(10),
            done: over(2),
            took: over(20),
            took_long: over(80),
            asked: over(2),
            denied: over(2),
            refused: over(10),
            works: over(20),
            utilities: over(20),
            outcomes: over(5),
        }
    }
}

/// How dispatches fared by how long their connection had been idle, each span twice the one before, fading.
#[derive(Default)]
pub struct Gaps {
    lost: [f64; GAPS],
    fine: [f64; GAPS],
    at: Nanos,
}

const GAPS: usize = 8;
const SHORTEST: Nanos = 100_000_000;

impl Gaps {
    /// Notes one, with what is known fading to a part of e in this time.
    pub fn note(&mut self, now: Nanos, idle: Nanos, lost: bool, fade: Nanos) {
        let kept = (-(now.saturating_sub(self.at) as f64) / fade as f64).exp();
        self.at = now;
        self.lost.iter_mut().chain(&mut self.fine).for_each(|count| *count *= kept);
        let span = (idle / SHORTEST).checked_ilog2().map(|span| (span as usize).min(GAPS - 1));
        if let Some(span) = span {
            (if lost { &mut self.lost } else { &mut self.fine })[span] += 1.0;
        }
    }

    /// The shortest idle time from which on at least so many, and at least this part, were lost.
    pub fn limit(&self, few: f64, part: f64) -> Option<Nanos> {
        let sums = |at: usize| (self.lost[at..].iter().sum::<f64>(), self.fine[at..].iter().sum::<f64>());
        let bad = |at: &usize| {
            let (lost, fine) = sums(*at);
            self.lost[*at] > part * (self.lost[*at] + self.fine[*at])
                && lost > few
                && lost > part * (lost + fine)
        };
        (0..GAPS).find(bad).map(|at| SHORTEST << at)
    }
}

/// Outcomes that are remembered.
const FEW: u32 = 6;

/// The last few outcomes of a srv, newest in the lowest bit (1: a failure), how many there are, and until
/// when it is set aside for them.
#[derive(Clone, Copy, Default)]
pub struct Health {
    pub outcomes: u32,
    pub judged: u32,
    pub aside_until: Nanos,
}

impl Health {
    pub fn note(&mut self, failure: bool, times: u32) {
        for _ in 0..times {
            self.outcomes = (self.outcomes << 1 | u32::from(failure)) & ((1 << FEW) - 1);
            self.judged = (self.judged + 1).min(FEW);
        }
    }

    pub fn failed(&self) -> u32 {
        self.outcomes.count_ones()
    }
}
