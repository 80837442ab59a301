//! For how long idle connections are used again.

use ochreshed_traffic::idle_limit::{
    AGE_IRRELEVANT_DURATION, BASE_DURATION, IdleLimit, MAX_DOUBLINGS, MIN_LIMIT, RECURRENCE_WINDOW,
};
use proptest::prelude::*;

const MS: u64 = 1_000_000;

const MAX_LIMIT: u64 = 1_000 * MS;

#[test]
fn one_that_was_forgotten_makes_others_be_given_up_earlier_and_for_longer_each_time() {
    let mut idle_limit = IdleLimit::new(MAX_LIMIT);
    let (mut now, mut durations) = (100_000 * MS, Vec::new());
    for _ in 0..4 {
        assert_eq!(idle_limit.limit(now), MAX_LIMIT);
        assert!(idle_limit.lost(now, Some(400 * MS)));
        assert_eq!(idle_limit.limit(now), 100 * MS);
        let from = now;
        while idle_limit.limit(now) < MAX_LIMIT {
            now += 100 * MS;
        }
        durations.push((now - from) / BASE_DURATION);
    }
    assert_eq!(durations, [1, 2, 4, 8]);
    // Once it has not happened for long it is as at first; a shorter one within the time shortens it.
    now += RECURRENCE_WINDOW;
    assert!(idle_limit.lost(now, Some(400 * MS)) && idle_limit.lost(now, Some(80 * MS)));
    assert_eq!(idle_limit.limit(now), MIN_LIMIT);
    assert_eq!(idle_limit.limit(now + 2 * BASE_DURATION), MAX_LIMIT);
}

#[test]
fn answers_that_are_lost_whatever_the_age_end_no_connection() {
    let mut idle_limit = IdleLimit::new(MAX_LIMIT);
    let mut now = 100_000 * MS;
    for lost in [Some(3 * MS), None, Some(700 * MS), Some(100 * MS), Some(0)] {
        assert!(!idle_limit.lost(now, lost));
        assert_eq!(idle_limit.limit(now), MAX_LIMIT, "{lost:?}");
        now += 100 * MS;
    }
    // An older one first: it is taken back by one that was in use.
    now += AGE_IRRELEVANT_DURATION;
    assert!(idle_limit.lost(now, Some(100 * MS)));
    assert_eq!(idle_limit.limit(now), MIN_LIMIT);
    assert!(!idle_limit.lost(now + MS, Some(MS)));
    assert_eq!(idle_limit.limit(now + MS), MAX_LIMIT);
}

proptest! {
    /// Whatever is lost: connections in use stay, and all is as before in the end.
    #[test]
    fn nothing_is_for_ever(losses in prop::collection::vec((0u64..5_000, prop::option::of(0u64..2_000)), 0..100)) {
        let mut idle_limit = IdleLimit::new(MAX_LIMIT);
        let mut now = 0;
        for (after, lost) in losses {
            now += after * MS;
            idle_limit.lost(now, lost.map(|ms| ms * MS));
            prop_assert!((MIN_LIMIT..=MAX_LIMIT).contains(&idle_limit.limit(now)));
        }
        prop_assert_eq!(idle_limit.limit(now + BASE_DURATION * 2u64.pow(MAX_DOUBLINGS)), MAX_LIMIT);
    }
}
