//! For how long an idle connection to one address may carry another req. It owns what lost reqs tell of that. It must never
//! take a lost answer for a forgotten connection where others are lost as well that were not idle, nor go on with what it
//! concluded once that has had its time.
//!
//! Some callees forget connections without a word: the next req there is reset, and whether it ran can't be told. Others
//! lose answers whatever the connection's age. One loss on a connection that was idle makes connections be given up
//! earlier for a short while, and for longer where it happens again; a loss on one that was not says that age is no matter.

use ochreshed_consensus::core::Nanos;

const MS: Nanos = 1_000_000;
/// A connection that was idle for less was in use.
const IN_USE: Nanos = 50 * MS;
/// After a loss none is used again that was idle for this part of its time, and no limit is shorter than that.
const PART: Nanos = 4;
const LEAST: Nanos = 25 * MS;
/// How long that holds; twice as long each time that it happens again within this of its end, so many times at most.
const HOLDS: Nanos = 2_000 * MS;
const AGAIN: Nanos = 10_000 * MS;
const MOST_AGAIN: u32 = 5;
/// A loss on a connection that was in use speaks against age for so long.
const SPEAKS: Nanos = 3_000 * MS;

/// What is concluded of one address.
#[derive(Clone, Debug)]
pub struct IdleLimit {
    most: Nanos,
    limit: Nanos,
    until: Nanos,
    again: u32,
    /// When a req was lost on a connection that was in use.
    lost: Option<Nanos>,
}

impl IdleLimit {
    /// Connections are used again for so long in any case.
    pub fn new(most: Nanos) -> IdleLimit {
        IdleLimit { most, limit: most, until: 0, again: 0, lost: None }
    }

    /// No connection that has been idle for longer carries another req.
    pub fn limit(&self, now: Nanos) -> Nanos {
        if now < self.until { self.limit } else { self.most }
    }

    /// A req was lost without a word on a connection that had been idle for so long, or on a new one. Whether that is taken
    /// for a connection that was forgotten.
    pub fn lost(&mut self, now: Nanos, idle: Option<Nanos>) -> bool {
        let Some(idle) = idle.filter(|idle| *idle >= IN_USE) else {
            (self.lost, self.until) = (Some(now), 0);
            return false;
        };
        if self.lost.is_some_and(|lost| now < lost + SPEAKS) {
            return false;
        }
        let before = if now < self.until { self.limit } else { self.most };
        self.again = if self.until > 0 && now < self.until + AGAIN { self.again + 1 } else { 0 };
        self.limit = (idle / PART).max(LEAST).min(before);
        self.until = now + HOLDS * 2u64.pow(self.again.min(MOST_AGAIN));
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const MOST: Nanos = 1_000 * MS;

    #[test]
    fn one_that_was_forgotten_makes_others_be_given_up_earlier_and_for_longer_each_time() {
        let mut idle = IdleLimit::new(MOST);
        let (mut now, mut held) = (100_000 * MS, Vec::new());
        for _ in 0..4 {
            assert_eq!(idle.limit(now), MOST);
            assert!(idle.lost(now, Some(400 * MS)));
            assert_eq!(idle.limit(now), 100 * MS);
            let from = now;
            while idle.limit(now) < MOST {
                now += 100 * MS;
            }
            held.push((now - from) / HOLDS);
        }
        assert_eq!(held, [1, 2, 4, 8]);
        // Once it has not happened for long it is as at first; a shorter one within the time shortens it.
        now += AGAIN;
        assert!(idle.lost(now, Some(400 * MS)) && idle.lost(now, Some(80 * MS)));
        assert_eq!(idle.limit(now), LEAST);
        assert_eq!(idle.limit(now + 2 * HOLDS), MOST);
    }

    #[test]
    fn answers_that_are_lost_whatever_the_age_end_no_connection() {
        let mut idle = IdleLimit::new(MOST);
        let mut now = 100_000 * MS;
        for lost in [Some(3 * MS), None, Some(700 * MS), Some(100 * MS), Some(0)] {
            assert!(!idle.lost(now, lost));
            assert_eq!(idle.limit(now), MOST, "{lost:?}");
            now += 100 * MS;
        }
        // An older one first: it is taken back by one that was in use.
        now += SPEAKS;
        assert!(idle.lost(now, Some(100 * MS)));
        assert_eq!(idle.limit(now), LEAST);
        assert!(!idle.lost(now + MS, Some(MS)));
        assert_eq!(idle.limit(now + MS), MOST);
    }

    proptest! {
        /// Whatever is lost: connections in use stay, and all is as before in the end.
        #[test]
        fn nothing_is_for_ever(losses in prop::collection::vec((0u64..5_000, prop::option::of(0u64..2_000)), 0..100)) {
            let mut idle = IdleLimit::new(MOST);
            let mut now = 0;
            for (after, lost) in losses {
                now += after * MS;
                idle.lost(now, lost.map(|ms| ms * MS));
                prop_assert!((LEAST..=MOST).contains(&idle.limit(now)));
            }
            prop_assert_eq!(idle.limit(now + HOLDS * 2u64.pow(MOST_AGAIN)), MOST);
        }
    }
}
