//! Response targets that differ much between rule sets, expected costs, concurrency limits of instances with few requests,
//! and idle connections.

mod traced_balancer;

use ochreshed::{DispatchOutcome, ParameterValue, Parameters};
use traced_balancer::{MS, TracedBalancer, parameters};

/// A single tier, with a response target of 250 ms for "read" and 1 s for the other rule sets.
fn single_tier_parameters(instances: f64) -> Parameters {
    let mut parameters = parameters(0.0, instances);
    parameters.insert("tiers".into(), ParameterValue::Number(1.0));
    if let Some(ParameterValue::List(sets)) = parameters.get_mut("rule_sets") {
        sets[0].insert("response_target".into(), ParameterValue::Duration(250 * MS));
    }
    parameters
}

/// Guards against the ejection of endpoints, and then of their sites, for requests that met the target of their own rule set.
#[test]
fn a_request_is_late_by_the_target_of_its_own_rule_set() {
    let is_late = |rule_set: &str| {
        let mut balancer = TracedBalancer::new(single_tier_parameters(1.0), "a@x b@x c@y d@y");
        balancer.warm_up(40);
        for id in 0..8 {
            balancer.submit(id, rule_set).advance(600).end(id, DispatchOutcome::Done).run_actions();
        }
        balancer.trace.contains("log: ejected")
    };
    assert!(is_late("read"), "a read that takes 600 ms of 250 is late");
    assert!(!is_late("charge"), "a charge that takes 600 ms of 1,000 is not");
}

/// Guards against expensive requests that count as failures of their endpoints though their cost was announced.
#[test]
fn a_request_with_a_high_expected_cost_is_not_late_because_of_it() {
    let is_late = |cost_ms: u64| {
        let mut balancer = TracedBalancer::new(single_tier_parameters(1.0), "a@x b@x c@y d@y");
        balancer.expected_cost = Some(100 * MS);
        balancer.warm_up(40);
        balancer.expected_cost = Some(cost_ms * MS);
        for id in 0..4 {
            balancer.submit(id, "read").advance(500).end(id, DispatchOutcome::Done).run_actions();
        }
        balancer.trace.contains("log: ejected")
    };
    assert!(is_late(100));
    assert!(!is_late(500));
}

/// Guards against concurrency limits of two or three that requests of low utility fill as easily as those of high utility.
#[test]
fn with_slow_responses_an_instance_with_few_requests_reserves_its_limit_for_high_utility() {
    let sent = |rule_set: &str| {
        let mut parameters = single_tier_parameters(20.0);
        parameters.insert("utility_by".into(), ParameterValue::Text("work".into()));
        let mut balancer = TracedBalancer::new(parameters, "a@x b@x c@y d@y");
        balancer.warm_up(400);
        for id in 0..30 {
            balancer
                .submit(id, ["read", "charge"][id as usize % 2])
                .advance(400)
                .end(id, DispatchOutcome::Done)
                .run_actions();
        }
        balancer.trace.clear();
        for id in 100..120 {
            balancer.submit(id, rule_set);
        }
        balancer.trace.matches(": to ").count()
    };
    assert!(sent("charge") > sent("read"), "{} charges, {} reads", sent("charge"), sent("read"));
}

/// Guards against a minimum limit, made for larger endpoints, that overloads those that process one or two requests at once.
#[test]
fn the_minimum_limit_depends_on_what_an_endpoint_processes_without_load() {
    let sent = |concurrent: u64| {
        let mut balancer = TracedBalancer::new(single_tier_parameters(2.0), "a@x b@x c@y d@y");
        for second in 0..20 {
            for id in 0..concurrent {
                balancer.submit(100 * second + id, "charge");
            }
            balancer.advance(700);
            for id in 0..concurrent {
                if balancer.was_sent(100 * second + id) {
                    balancer.end(100 * second + id, DispatchOutcome::Done);
                }
            }
            balancer.advance(300);
        }
        // A few slow requests, for longer than the limits' statistics reach back.
        for id in 5_000..5_005 {
            balancer.submit(id, "charge").advance(1_400).end(id, DispatchOutcome::Done);
        }
        balancer.trace.clear();
        for id in 6_000..6_040 {
            balancer.submit(id, "charge");
        }
        balancer.trace.matches(": to ").count()
    };
    assert!(sent(2) < sent(8), "{} sent to small endpoints, {} to large ones", sent(2), sent(8));
}

/// Guards against connections that the network drops silently after a second without traffic: a request on one is reset or
/// gets no response, though a new connection would work.
#[test]
fn idle_connections_are_closed_before_the_network_drops_them() {
    let closed = |outcome: DispatchOutcome| {
        let mut balancer = TracedBalancer::new(single_tier_parameters(8.0), "a@x b@x c@x d@x");
        balancer.warm_up(20).run_actions();
        for id in 0..8 {
            balancer
                .submit(id, "charge")
                .advance(200)
                .end(id, DispatchOutcome::Done)
                .advance(10)
                .run_actions();
        }
        // Idle for over a second: the first request on each is lost.
        balancer.advance(1_000);
        for id in 10..14 {
            balancer.submit(id, "charge").advance(50).end(id, outcome).run_actions();
        }
        balancer.advance(1_000).run_actions();
        balancer.trace.matches("Close").count()
    };
    assert_eq!(closed(DispatchOutcome::Done), 0);
    assert!(closed(DispatchOutcome::Reset) >= 4, "{} closed after resets", closed(DispatchOutcome::Reset));
    assert!(
        closed(DispatchOutcome::TimedOut) >= 4,
        "{} closed after time-outs",
        closed(DispatchOutcome::TimedOut)
    );
}
