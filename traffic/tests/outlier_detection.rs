//! The health of an upstream by the outcomes of its runs.

use ochreshed_catalog::endpoints::UpstreamHealth;
use ochreshed_traffic::outlier_detection::{
    LATENCY_THRESHOLDS, MAX_FAILURE_LEVEL, OutlierDetector, PROBATION_INTERVAL, RequestClass, RunOutcome,
};
use proptest::prelude::*;

const MS: u64 = 1_000_000;

/// Runs of this duration one after another, each with its outcome.
fn run(
    detector: &mut OutlierDetector,
    now: &mut u64,
    took_ms: u64,
    outcomes: impl IntoIterator<Item = RunOutcome>,
) -> UpstreamHealth {
    for outcome in outcomes {
        let id = detector.start_run(*now, RequestClass::default());
        *now += took_ms * MS;
        detector.end_run(*now, id, outcome);
        detector.update(*now);
    }
    detector.health()
}

fn healthy() -> (OutlierDetector, u64) {
    let (mut detector, mut now) = (OutlierDetector::default(), MS);
    assert_eq!(run(&mut detector, &mut now, 50, [RunOutcome::Succeeded; 100]), UpstreamHealth::default());
    (detector, now)
}

#[test]
fn failures_of_half_raise_the_level_within_sixteen_runs_and_probation_lowers_it() {
    let (mut detector, mut now) = healthy();
    let half = [RunOutcome::Failed, RunOutcome::Succeeded].into_iter().cycle();
    assert_eq!(run(&mut detector, &mut now, 50, half.take(16)).failure_level, 1);
    assert_eq!(run(&mut detector, &mut now, 50, [RunOutcome::Failed; 20]).failure_level, 2);
    // Without requests the level is lowered after each interval, until the upstream gets some again.
    let mut levels = Vec::new();
    for _ in 0..3 {
        now += PROBATION_INTERVAL * 3;
        levels.push(detector.update(now).failure_level);
    }
    assert_eq!(levels, [1, 0, 0]);
    // It fails as before: the level rises at once, and each probation comes later, also while a few runs succeed.
    let mut waits = Vec::new();
    for _ in 0..3 {
        assert!(run(&mut detector, &mut now, 50, [RunOutcome::Failed; 9]).failure_level >= 1);
        let from = now;
        while detector.health().failure_level >= 1 {
            run(&mut detector, &mut now, 20, [RunOutcome::Succeeded]);
            now += PROBATION_INTERVAL - 20 * MS;
        }
        waits.push((now - from) / PROBATION_INTERVAL);
    }
    assert_eq!(waits, [3, 5, 9]);
    assert_eq!(run(&mut detector, &mut now, 50, [RunOutcome::Succeeded; 60]), UpstreamHealth::default());
}

#[test]
fn slow_runs_are_compared_with_the_long_term_latency() {
    let (mut detector, mut now) = healthy();
    assert_eq!(
        run(&mut detector, &mut now, 100, [RunOutcome::Succeeded; 60]).latency_level,
        0,
        "twice the latency is healthy"
    );
    let (mut detector, mut now) = healthy();
    assert_eq!(run(&mut detector, &mut now, 230, [RunOutcome::Succeeded; 40]).latency_level, 1);
    assert_eq!(run(&mut detector, &mut now, 600, [RunOutcome::Succeeded; 60]).latency_level, 2);
    assert_eq!(run(&mut detector, &mut now, 50, [RunOutcome::Succeeded; 90]).latency_level, 0);
}

#[test]
fn overdue_runs_count_as_failed_once() {
    let (mut detector, mut now) = healthy();
    let runs: Vec<u64> = (0..6).map(|_| detector.start_run(now, RequestClass::default())).collect();
    now += 400 * MS;
    let health = detector.update(now);
    assert!(health.failure_level >= 1, "{health:?}");
    let failing = detector.failure_rate(&RequestClass::default());
    runs.into_iter().for_each(|run| detector.end_run(now, run, RunOutcome::Failed));
    assert_eq!(detector.failure_rate(&RequestClass::default()), failing);
}

#[test]
fn refused_connections_count_at_once() {
    let (mut detector, mut now) = healthy();
    assert!(run(&mut detector, &mut now, 1, [RunOutcome::NoConnection; 2]).failure_level >= 1);
}

/// Guards against a verdict on a few long runs that follow each other by chance.
#[test]
fn runs_of_mixed_work_are_not_slow() {
    let (mut detector, mut now) = healthy();
    for nth in 0..4_000_u64 {
        let took = if nth.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 62 == 0 { 200 } else { 20 };
        assert_eq!(run(&mut detector, &mut now, took, [RunOutcome::Succeeded]).latency_level, 0, "{nth}");
    }
}

/// Guards against a member whose own requests all fail and make an upstream unhealthy for all.
#[test]
fn failures_of_one_member_only_do_not_count() {
    let (mut detector, mut now) = healthy();
    let norte = RequestClass { member: Some("norte".into()), ..RequestClass::default() };
    let mut both = |outcome: RunOutcome, others: RunOutcome| {
        for _ in 0..60 {
            for (class, outcome) in [(&norte, outcome), (&RequestClass::default(), others)] {
                let id = detector.start_run(now, class.clone());
                now += 25 * MS;
                detector.end_run(now, id, outcome);
                detector.update(now);
            }
        }
        detector.health().failure_level
    };
    assert_eq!(both(RunOutcome::Failed, RunOutcome::Succeeded), 0);
    assert_eq!(both(RunOutcome::Failed, RunOutcome::Failed), 2);
    assert_eq!(both(RunOutcome::Succeeded, RunOutcome::Failed), 0);
}

proptest! {
    /// Whatever happens in whatever order, no ended run is kept, and an upstream without failures is healthy in the
    /// end.
    #[test]
    fn an_upstream_recovers(steps in prop::collection::vec((0u8..6, 0u64..400, 0u8..3), 0..200)) {
        let (mut detector, mut now, mut open) = (OutlierDetector::default(), MS, Vec::new());
        let class = |member: &str| RequestClass { member: Some(member.into()), ..RequestClass::default() };
        let classes = [RequestClass::default(), class("norte"), class("sul")];
        for (what, ms, member) in steps {
            now += ms * MS;
            match what {
                0 | 1 => open.push(detector.start_run(now, classes[usize::from(member)].clone())),
                _ => if let Some(run) = open.pop() {
                    let outcome = [RunOutcome::Succeeded, RunOutcome::Failed, RunOutcome::NoConnection, RunOutcome::Abandoned][usize::from(what - 2)];
                    detector.end_run(now, run, outcome);
                }
            }
            let health = detector.update(now);
            prop_assert!(health.failure_level <= MAX_FAILURE_LEVEL && usize::from(health.latency_level) <= LATENCY_THRESHOLDS.len());
            prop_assert_eq!(detector.open_runs(), open.len());
        }
        open.into_iter().for_each(|run| detector.end_run(now, run, RunOutcome::Abandoned));
        for _ in 0..12 {
            now += PROBATION_INTERVAL * 16;
            detector.update(now);
        }
        prop_assert!(detector.update(now).is_healthy());
    }
}
