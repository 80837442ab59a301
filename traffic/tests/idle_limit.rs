//! Tests of the limit on the idle time of reused connections.

use ochreshed_traffic::idle_limit::{
    BASE_DURATION, IDLE_UNRELATED_DURATION, IdleLimit, MAX_DOUBLINGS, MIN_LIMIT, RECURRENCE_WINDOW,
};
use proptest::prelude::*;

const MS: u64 = 1_000_000;

const MAX_LIMIT: u64 = 1_000 * MS;

#[test]
fn each_recurring_loss_lowers_the_limit_for_longer() {
    let mut idle_limit = IdleLimit::new(MAX_LIMIT);
    let (mut now, mut durations) = (100_000 * MS, Vec::new());
    for _ in 0..4 {
        assert_eq!(idle_limit.limit(now), MAX_LIMIT);
        assert!(idle_limit.record_loss(now, Some(400 * MS)));
        assert_eq!(idle_limit.limit(now), 100 * MS);
        let lowered_at = now;
        while idle_limit.limit(now) < MAX_LIMIT {
            now += 100 * MS;
        }
        durations.push((now - lowered_at) / BASE_DURATION);
    }
    assert_eq!(durations, [1, 2, 4, 8]);
    // After a long time without a loss the duration is reset. A loss after a shorter idle time lowers the limit
    // further.
    now += RECURRENCE_WINDOW;
    assert!(idle_limit.record_loss(now, Some(400 * MS)) && idle_limit.record_loss(now, Some(80 * MS)));
    assert_eq!(idle_limit.limit(now), MIN_LIMIT);
    assert_eq!(idle_limit.limit(now + 2 * BASE_DURATION), MAX_LIMIT);
}

#[test]
fn losses_unrelated_to_idle_time_do_not_lower_the_limit() {
    let mut idle_limit = IdleLimit::new(MAX_LIMIT);
    let mut now = 100_000 * MS;
    for idle_time in [Some(3 * MS), None, Some(700 * MS), Some(100 * MS), Some(0)] {
        assert!(!idle_limit.record_loss(now, idle_time));
        assert_eq!(idle_limit.limit(now), MAX_LIMIT, "{idle_time:?}");
        now += 100 * MS;
    }
    // A loss on a connection in use cancels a lowered limit.
    now += IDLE_UNRELATED_DURATION;
    assert!(idle_limit.record_loss(now, Some(100 * MS)));
    assert_eq!(idle_limit.limit(now), MIN_LIMIT);
    assert!(!idle_limit.record_loss(now + MS, Some(MS)));
    assert_eq!(idle_limit.limit(now + MS), MAX_LIMIT);
}

proptest! {
    /// After any sequence of losses, the limit stays within its bounds and returns to its maximum.
    #[test]
    fn every_lowered_limit_expires(losses in prop::collection::vec((0u64..5_000, prop::option::of(0u64..2_000)), 0..100)) {
        let mut idle_limit = IdleLimit::new(MAX_LIMIT);
        let mut now = 0;
        for (delay_ms, idle_ms) in losses {
            now += delay_ms * MS;
            idle_limit.record_loss(now, idle_ms.map(|ms| ms * MS));
            prop_assert!((MIN_LIMIT..=MAX_LIMIT).contains(&idle_limit.limit(now)));
        }
        prop_assert_eq!(idle_limit.limit(now + BASE_DURATION * 2u64.pow(MAX_DOUBLINGS)), MAX_LIMIT);
    }
}
