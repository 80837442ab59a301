//! Tests of the maximum wait for leases while the control plane does not answer.

use ochreshed_traffic::lease_circuit_breaker::LeaseCircuitBreaker;

const MS: u64 = 1_000_000;

/// Guards against requests that wait until their deadline because the control plane has no majority.
#[test]
fn the_wait_for_a_lease_leaves_the_client_time_to_retry_elsewhere() {
    let mut breaker = LeaseCircuitBreaker::default();
    assert_eq!(breaker.max_wait(0, 600 * MS, false), 240 * MS);
    assert_eq!(breaker.max_wait(0, 20_000 * MS, false), 900 * MS);
    assert_eq!(breaker.max_wait(0, 600 * MS, true), 60 * MS);
    assert_eq!(breaker.max_wait(0, 50 * MS, true), 20 * MS);
    assert_eq!(breaker.max_wait(0, 0, false), 0);
}

#[test]
fn after_a_timeout_requests_wait_only_briefly() {
    let mut breaker = LeaseCircuitBreaker::default();
    breaker.record_timeout(240 * MS, 240 * MS);
    let waits: Vec<u64> =
        (0..10).map(|index| breaker.max_wait((240 + 50 * index) * MS, 600 * MS, false) / MS).collect();
    // One request per probe interval waits for the full time, to detect whether the control plane answers again.
    assert_eq!(waits, [60, 60, 60, 60, 60, 240, 60, 60, 60, 60]);
    breaker.record_answer();
    assert_eq!(breaker.max_wait(800 * MS, 600 * MS, false), 240 * MS);
    // A timeout after a very short wait does not open the breaker.
    breaker.record_timeout(900 * MS, 30 * MS);
    assert_eq!(breaker.max_wait(900 * MS, 600 * MS, false), 240 * MS);
}

/// Guards against a breaker that stays open because a slow control plane takes longer to answer than the short wait.
#[test]
fn a_slow_control_plane_closes_the_breaker() {
    let (mut breaker, answer_delay) = (LeaseCircuitBreaker::default(), 100 * MS);
    breaker.record_timeout(0, 240 * MS);
    let mut granted = 0;
    for index in 0..20 {
        let now = index * 50 * MS;
        if breaker.max_wait(now, 600 * MS, false) >= answer_delay {
            granted += 1;
            breaker.record_answer();
        }
    }
    assert_eq!(granted, 15);
}

/// Guards against a lease wait that times out, and opens the breaker, while the control plane waits for the outcome of
/// a running request with the same key.
#[test]
fn the_wait_exceeds_the_wait_of_the_control_plane_for_a_running_request() {
    for left_ms in [60, 100, 250, 600, 1_000, 2_000, 2_500, 6_000, 60_000] {
        let wait = LeaseCircuitBreaker::default().max_wait(0, u64::from(left_ms) * MS, false);
        let outcome = ochreshed_consensus::core::outcome_wait(left_ms);
        assert!(wait >= outcome + 4 * MS, "{left_ms}: {wait} {outcome}");
    }
}
