//! Tests of outlier detection from the outcomes of runs.

use ochreshed_catalog::endpoints::UpstreamHealth;
use ochreshed_traffic::outlier_detection::{
    LATENCY_THRESHOLDS, MAX_FAILURE_LEVEL, OutlierDetector, PROBATION_INTERVAL, RequestClass, RunOutcome,
};
use proptest::prelude::*;

const MS: u64 = 1_000_000;

/// Executes consecutive runs of this duration, one for each outcome, and returns the health.
fn run_all(
    detector: &mut OutlierDetector,
    now: &mut u64,
    duration_ms: u64,
    outcomes: impl IntoIterator<Item = RunOutcome>,
) -> UpstreamHealth {
    for outcome in outcomes {
        let id = detector.start_run(*now, RequestClass::default());
        *now += duration_ms * MS;
        detector.end_run(*now, id, outcome);
        detector.update(*now);
    }
    detector.health()
}

fn healthy() -> (OutlierDetector, u64) {
    let (mut detector, mut now) = (OutlierDetector::default(), MS);
    assert_eq!(run_all(&mut detector, &mut now, 50, [RunOutcome::Succeeded; 100]), UpstreamHealth::default());
    (detector, now)
}

#[test]
fn a_failure_rate_of_half_raises_the_level_within_16_runs_and_probation_lowers_it() {
    let (mut detector, mut now) = healthy();
    let half = [RunOutcome::Failed, RunOutcome::Succeeded].into_iter().cycle();
    assert_eq!(run_all(&mut detector, &mut now, 50, half.take(16)).failure_level, 1);
    assert_eq!(run_all(&mut detector, &mut now, 50, [RunOutcome::Failed; 20]).failure_level, 2);
    // Without requests, the level is lowered once per interval.
    let mut levels = Vec::new();
    for _ in 0..3 {
        now += PROBATION_INTERVAL * 3;
        levels.push(detector.update(now).failure_level);
    }
    assert_eq!(levels, [1, 0, 0]);
    // The upstream still fails: the level rises again, and each probation begins later, even if a few runs succeed.
    let mut waits = Vec::new();
    for _ in 0..3 {
        assert!(run_all(&mut detector, &mut now, 50, [RunOutcome::Failed; 9]).failure_level >= 1);
        let started_at = now;
        while detector.health().failure_level >= 1 {
            run_all(&mut detector, &mut now, 20, [RunOutcome::Succeeded]);
            now += PROBATION_INTERVAL - 20 * MS;
        }
        waits.push((now - started_at) / PROBATION_INTERVAL);
    }
    assert_eq!(waits, [3, 5, 9]);
    assert_eq!(run_all(&mut detector, &mut now, 50, [RunOutcome::Succeeded; 60]), UpstreamHealth::default());
}

#[test]
fn slow_runs_are_compared_with_the_long_term_latency() {
    let (mut detector, mut now) = healthy();
    assert_eq!(
        run_all(&mut detector, &mut now, 100, [RunOutcome::Succeeded; 60]).latency_level,
        0,
        "twice the latency is healthy"
    );
    let (mut detector, mut now) = healthy();
    assert_eq!(run_all(&mut detector, &mut now, 230, [RunOutcome::Succeeded; 40]).latency_level, 1);
    assert_eq!(run_all(&mut detector, &mut now, 600, [RunOutcome::Succeeded; 60]).latency_level, 2);
    assert_eq!(run_all(&mut detector, &mut now, 50, [RunOutcome::Succeeded; 90]).latency_level, 0);
}

#[test]
fn overdue_runs_count_as_one_failure() {
    let (mut detector, mut now) = healthy();
    let runs: Vec<u64> = (0..6).map(|_| detector.start_run(now, RequestClass::default())).collect();
    now += 400 * MS;
    let health = detector.update(now);
    assert!(health.failure_level >= 1, "{health:?}");
    let failure_rate = detector.failure_rate(&RequestClass::default());
    runs.into_iter().for_each(|run| detector.end_run(now, run, RunOutcome::Failed));
    assert_eq!(detector.failure_rate(&RequestClass::default()), failure_rate);
}

#[test]
fn refused_connections_raise_the_level_at_once() {
    let (mut detector, mut now) = healthy();
    assert!(run_all(&mut detector, &mut now, 1, [RunOutcome::NoConnection; 2]).failure_level >= 1);
}

/// Guards against a raised latency level after a few long runs that happen to be consecutive.
#[test]
fn mixed_run_times_do_not_raise_the_latency_level() {
    let (mut detector, mut now) = healthy();
    for index in 0..4_000_u64 {
        let duration_ms = if index.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 62 == 0 { 200 } else { 20 };
        assert_eq!(
            run_all(&mut detector, &mut now, duration_ms, [RunOutcome::Succeeded]).latency_level,
            0,
            "{index}"
        );
    }
}

/// Guards against a member whose failing requests make an upstream unhealthy for everyone.
#[test]
fn failures_of_only_one_member_do_not_raise_the_level() {
    let (mut detector, mut now) = healthy();
    let norte = RequestClass { member: Some("norte".into()), ..RequestClass::default() };
    let mut run_both = |member_outcome: RunOutcome, platform_outcome: RunOutcome| {
        for _ in 0..60 {
            for (class, outcome) in [(&norte, member_outcome), (&RequestClass::default(), platform_outcome)] {
                let id = detector.start_run(now, class.clone());
                now += 25 * MS;
                detector.end_run(now, id, outcome);
                detector.update(now);
            }
        }
        detector.health().failure_level
    };
    assert_eq!(run_both(RunOutcome::Failed, RunOutcome::Succeeded), 0);
    assert_eq!(run_both(RunOutcome::Failed, RunOutcome::Failed), 2);
    assert_eq!(run_both(RunOutcome::Succeeded, RunOutcome::Failed), 0);
}

proptest! {
    /// For any sequence of runs, ended runs are dropped, and an upstream without further failures becomes healthy.
    #[test]
    fn an_upstream_recovers(steps in prop::collection::vec((0u8..6, 0u64..400, 0u8..3), 0..200)) {
        let (mut detector, mut now, mut open) = (OutlierDetector::default(), MS, Vec::new());
        let class = |member: &str| RequestClass { member: Some(member.into()), ..RequestClass::default() };
        let classes = [RequestClass::default(), class("norte"), class("sul")];
        for (action, delay_ms, member) in steps {
            now += delay_ms * MS;
            match action {
                0 | 1 => open.push(detector.start_run(now, classes[usize::from(member)].clone())),
                _ => if let Some(run) = open.pop() {
                    let outcome = [RunOutcome::Succeeded, RunOutcome::Failed, RunOutcome::NoConnection, RunOutcome::Abandoned][usize::from(action - 2)];
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
