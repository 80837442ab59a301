//! Waits for leases while the control plane does not answer.

use ochreshed_traffic::lease_circuit_breaker::LeaseCircuitBreaker;

const MS: u64 = 1_000_000;

/// Guards against requests that are held to their end because no majority of the control plane is there.
#[test]
fn a_request_for_a_lease_leaves_its_client_time_to_go_elsewhere() {
    let mut breaker = LeaseCircuitBreaker::default();
    assert_eq!(breaker.max_wait(0, 600 * MS, false), 240 * MS);
    assert_eq!(breaker.max_wait(0, 20_000 * MS, false), 900 * MS);
    assert_eq!(breaker.max_wait(0, 600 * MS, true), 60 * MS);
    assert_eq!(breaker.max_wait(0, 50 * MS, true), 20 * MS);
    assert_eq!(breaker.max_wait(0, 0, false), 0);
}

#[test]
fn after_one_that_was_left_unanswered_the_others_are_refused_soon() {
    let mut breaker = LeaseCircuitBreaker::default();
    breaker.record_timeout(240 * MS, 240 * MS);
    let waits: Vec<u64> =
        (0..10).map(|nth| breaker.max_wait((240 + 50 * nth) * MS, 600 * MS, false) / MS).collect();
    // One request now and then finds out whether the control plane answers again.
    assert_eq!(waits, [60, 60, 60, 60, 60, 240, 60, 60, 60, 60]);
    breaker.record_answer();
    assert_eq!(breaker.max_wait(800 * MS, 600 * MS, false), 240 * MS);
    // A request that had hardly any time says nothing.
    breaker.record_timeout(900 * MS, 30 * MS);
    assert_eq!(breaker.max_wait(900 * MS, 600 * MS, false), 240 * MS);
}

/// Guards against a breaker that stays open because a slow control plane answers later than the short wait.
#[test]
fn a_slow_control_plane_closes_it_again() {
    let (mut breaker, answers_after) = (LeaseCircuitBreaker::default(), 100 * MS);
    breaker.record_timeout(0, 240 * MS);
    let mut granted = 0;
    for nth in 0..20 {
        let now = nth * 50 * MS;
        if breaker.max_wait(now, 600 * MS, false) >= answers_after {
            granted += 1;
            breaker.record_answer();
        }
    }
    assert_eq!(granted, 15);
}

/// Guards against a key that is at work and is taken for a control plane that does not answer.
#[test]
fn a_claim_waits_longer_than_the_control_plane_waits_for_a_key_at_work() {
    for left_ms in [60, 100, 250, 600, 1_000, 2_000, 2_500, 6_000, 60_000] {
        let wait = LeaseCircuitBreaker::default().max_wait(0, u64::from(left_ms) * MS, false);
        let outcome = ochreshed_consensus::core::outcome_wait(left_ms);
        assert!(wait >= outcome + 4 * MS, "{left_ms}: {wait} {outcome}");
    }
}
