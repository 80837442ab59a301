//! For how long idle connections are used again.

use ochreshed_traffic::idle_limit::{
    BASE_DURATION, IDLE_UNRELATED_DURATION, IdleLimit, MAX_DOUBLINGS, MIN_LIMIT, RECURRENCE_WINDOW,
};
use proptest::prelude::*;

const MS: u64 = 1_000_000;

const MAX_LIMIT: u64 = 1_000 * MS;

#[test]
fn a_forgotten_connection_lowers_the_limit_for_longer_each_time() {
    let mut idle_limit = IdleLimit::new(MAX_LIMIT);
    let (mut now, mut durations) = (100_000 * MS, Vec::new());
    for _ in 0..4 {
        assert_eq!(idle_limit.limit(now), MAX_LIMIT);
        assert!(idle_limit.record_loss(now, Some(400 * MS)));
        assert_eq!(idle_limit.limit(now), 100 * MS);
        let from = now;
        while idle_limit.limit(now) < MAX_LIMIT {
            now += 100 * MS;
        }
        durations.push((now - from) / BASE_DURATION);
    }
    assert_eq!(durations, [1, 2, 4, 8]);
    // After a long time without a loss the duration is as at first; a shorter idle time lowers the limit further.
    now += RECURRENCE_WINDOW;
    assert!(idle_limit.record_loss(now, Some(400 * MS)) && idle_limit.record_loss(now, Some(80 * MS)));
    assert_eq!(idle_limit.limit(now), MIN_LIMIT);
    assert_eq!(idle_limit.limit(now + 2 * BASE_DURATION), MAX_LIMIT);
}

#[test]
fn losses_at_any_age_do_not_lower_the_limit() {
    let mut idle_limit = IdleLimit::new(MAX_LIMIT);
    let mut now = 100_000 * MS;
    for lost in [Some(3 * MS), None, Some(700 * MS), Some(100 * MS), Some(0)] {
        assert!(!idle_limit.record_loss(now, lost));
        assert_eq!(idle_limit.limit(now), MAX_LIMIT, "{lost:?}");
        now += 100 * MS;
    }
    // A loss on a connection in use takes a lower limit back.
    now += IDLE_UNRELATED_DURATION;
    assert!(idle_limit.record_loss(now, Some(100 * MS)));
    assert_eq!(idle_limit.limit(now), MIN_LIMIT);
    assert!(!idle_limit.record_loss(now + MS, Some(MS)));
    assert_eq!(idle_limit.limit(now + MS), MAX_LIMIT);
}

proptest! {
    /// Whatever is lost, connections in use stay and the limit is as before in the end.
    #[test]
    fn every_lower_limit_ends(losses in prop::collection::vec((0u64..5_000, prop::option::of(0u64..2_000)), 0..100)) {
        let mut idle_limit = IdleLimit::new(MAX_LIMIT);
        let mut now = 0;
        for (after, lost) in losses {
            now += after * MS;
            idle_limit.record_loss(now, lost.map(|ms| ms * MS));
            prop_assert!((MIN_LIMIT..=MAX_LIMIT).contains(&idle_limit.limit(now)));
        }
        prop_assert_eq!(idle_limit.limit(now + BASE_DURATION * 2u64.pow(MAX_DOUBLINGS)), MAX_LIMIT);
    }
}
