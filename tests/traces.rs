//! Traces of the policy's decisions, each short enough to read.

mod traced_balancer;

use std::collections::BTreeMap;

use expect_test::{Expect, expect};
use ochreshed::{DispatchOutcome, ParameterValue, Parameters};
use traced_balancer::{MS, TracedBalancer, parameters};

fn check(balancer: &mut TracedBalancer, expected: Expect) {
    expected.assert_eq(&balancer.trace);
}

#[test]
fn requests_are_spread_evenly_from_a_random_start() {
    let mut balancer = TracedBalancer::new(parameters(0.0, 1.0), "a@x b@x c@y");
    for id in 1..7 {
        balancer.run_read(id);
    }
    check(
        &mut balancer,
        expect![[r#"
        0 1: to b
        100 2: to a
        200 3: to c
        300 4: to b
        400 5: to a
        500 6: to c
    "#]],
    );
}

#[test]
fn errors_are_passed_up_by_a_middle_tier_and_retried_by_the_last_tier() {
    let mut middle = TracedBalancer::new(parameters(1.0, 4.0), "a@x b@x");
    middle.warm_up(20).submit(1, "read").advance(50).end(1, DispatchOutcome::Error);
    check(
        &mut middle,
        expect![[r#"
        2000 1: to b
        2050 1: Error
        2050 1: deny
    "#]],
    );
    let mut last = TracedBalancer::new(parameters(2.0, 4.0), "a@x b@x");
    last.warm_up(20).submit(1, "read").advance(50).end(1, DispatchOutcome::Error);
    check(
        &mut last,
        expect![[r#"
        2000 1: to b
        2050 1: Error
        2050 1: to a
    "#]],
    );
}

#[test]
fn a_refused_connection_is_retried_at_any_tier_and_for_any_rule_set() {
    let mut balancer = TracedBalancer::new(parameters(0.0, 1.0), "a@x b@x");
    balancer
        .warm_up(20)
        .submit(1, "charge")
        .advance(5)
        .end(1, DispatchOutcome::NoConnection)
        .advance(50)
        .end(1, DispatchOutcome::Reset);
    check(
        &mut balancer,
        expect![[r#"
        2000 1: to b
        2005 1: NoConnection
        2005 1: to a
        2055 1: Reset
        2055 1: abort
    "#]],
    );
}

#[test]
fn retries_keep_within_a_tenth_of_the_requests() {
    let mut balancer = TracedBalancer::new(parameters(0.0, 1.0), "a@x b@x c@x d@x");
    balancer.warm_up(10);
    for id in 1..5 {
        balancer
            .submit(id, "read")
            .advance(10)
            .end(id, DispatchOutcome::Full)
            .advance(100)
            .end(id, DispatchOutcome::Done);
    }
    check(
        &mut balancer,
        expect![[r#"
        1000 1: to a
        1010 1: Full
        1010 1: to c
        1110 2: to c
        1120 2: Full
        1120 2: to d
        1220 3: to b
        1230 3: Full
        1230 3: deny
        1330 4: to a
        1340 4: Full
        1340 4: deny
    "#]],
    );
}

#[test]
fn a_uniqued_request_that_may_have_run_is_retried_only_in_its_site_and_window() {
    let mut balancer = TracedBalancer::new(parameters(2.0, 1.0), "a@x b@x c@y d@y");
    balancer.warm_up(40);
    for id in 1..4 {
        balancer
            .submit(id, "move")
            .advance(10)
            .end(id, DispatchOutcome::Reset)
            .advance(100)
            .end(id, DispatchOutcome::Done);
    }
    balancer.submit(9, "move").advance(1_100).end(9, DispatchOutcome::Reset);
    check(
        &mut balancer,
        expect![[r#"
        4000 1: to d
        4010 1: Reset
        4010 1: to c
        4110 2: to b
        4120 2: Reset
        4120 2: to a
        4220 3: to a
        4230 3: Reset
        4230 3: to b
        4330 9: to c
        5430 9: Reset
        5430 9: abort
    "#]],
    );
}

#[test]
fn the_only_endpoint_of_a_group_is_retried_after_a_reset() {
    let mut balancer = TracedBalancer::new(parameters(0.0, 1.0), "a@x b@y");
    balancer.warm_up(40);
    balancer
        .submit(1, "move")
        .advance(10)
        .end(1, DispatchOutcome::NoConnection)
        .advance(10)
        .end(1, DispatchOutcome::Reset);
    balancer.advance(10).end(1, DispatchOutcome::Reset).advance(10).end(1, DispatchOutcome::Done);
    balancer.submit(2, "move").advance(10).end(2, DispatchOutcome::TimedOut);
    balancer.submit(3, "charge").advance(10).end(3, DispatchOutcome::Reset);
    check(
        &mut balancer,
        expect![[r#"
        4000 1: to b
        4010 1: NoConnection
        4010 1: to a
        4020 1: Reset
        4020 1: to a
        4030 1: Reset
        4030 1: to a
        4040 2: to a
        4050 2: TimedOut
        4050 2: abort
        4050 3: to a
        4060 3: Reset
        4060 3: abort
        "#]],
    );
}

#[test]
fn a_request_never_has_two_dispatches_in_flight() {
    let mut balancer = TracedBalancer::new(parameters(0.0, 1.0), "a@x b@x");
    balancer.submit(1, "read").advance(10).route(1);
    check(
        &mut balancer,
        expect![[r#"
        0 1: to b
        10 1: waits 2990 ms
    "#]],
    );
}

#[test]
fn draining_and_gone_endpoints_get_no_new_requests() {
    let mut balancer = TracedBalancer::new(parameters(0.0, 1.0), "a@x b@x c@x");
    balancer.apply_list(false, "a@x!");
    balancer.run_read(1).run_read(2).run_read(3);
    balancer.apply_list(true, "c@x");
    balancer.run_read(4).run_read(5);
    check(
        &mut balancer,
        expect![[r#"
        0 1: to b
        100 2: to c
        200 3: to b
        300 4: to c
        400 5: to c
    "#]],
    );
}

#[test]
fn an_endpoint_in_slow_start_gets_its_share_of_a_budget() {
    let mut balancer = TracedBalancer::new(parameters(0.0, 1.0), "a@x b@x");
    balancer.warm_up(40);
    // The endpoint of the same name has restarted: it is in slow start again.
    balancer.apply_list(false, "a@x*");
    for id in 1..13 {
        balancer.run_read(id);
    }
    check(
        &mut balancer,
        expect![[r#"
        4000 1: to b
        4100 2: to b
        4200 3: to b
        4300 4: to b
        4400 5: to b
        4500 6: to b
        4600 7: to a
        4700 8: to b
        4800 9: to b
        4900 10: to b
        5000 11: to b
        5100 12: to b
    "#]],
    );
}

#[test]
fn an_endpoint_that_alone_fails_is_ejected_and_returns() {
    let mut balancer = TracedBalancer::new(parameters(1.0, 1.0), "a@x b@x c@x d@x");
    balancer.warm_up(40);
    for id in 1..9 {
        balancer.submit(id, "charge").advance(50);
        let outcome =
            if balancer.was_last_sent_to(&["b"]) { DispatchOutcome::Error } else { DispatchOutcome::Done };
        balancer.end(id, outcome).run_actions();
    }
    balancer.advance(5_000).run_read(21).run_read(22).run_read(23).run_read(24);
    check(
        &mut balancer,
        expect![[r#"
        4000 1: to d
        4050 WatchEndpoints
        4050 2: to b
        4100 2: Error
        4100 2: abort
        4100 3: to a
        4150 4: to c
        4200 5: to d
        4250 6: to b
        4300 6: Error
        4300 6: abort
        4300 log: ejected endpoint b from rule set charge: 2 of its last 2 outcomes failed, failure ratio 0.04 over all endpoints
        4300 7: to a
        4350 8: to c
        9400 21: to a
        9500 22: to c
        9600 23: to d
        9700 24: to b
        "#]],
    );
}

#[test]
fn an_endpoint_that_fails_one_rule_set_is_ejected_from_that_one_only() {
    let mut balancer = TracedBalancer::new(parameters(0.0, 1.0), "a@w b@x c@y d@z");
    balancer.warm_up(20);
    for id in 1..15 {
        let name = if id % 3 == 0 { "read" } else { "charge" };
        balancer.submit(id, name).advance(50);
        let outcome = if id % 3 > 0 && balancer.was_last_sent_to(&["b", "d"]) {
            DispatchOutcome::Error
        } else {
            DispatchOutcome::Done
        };
        balancer.end(id, outcome).run_actions();
    }
    check(
        &mut balancer,
        expect![[r#"
            2000 1: to d
            2050 1: Error
            2050 1: abort
            2050 WatchEndpoints
            2050 2: to b
            2100 2: Error
            2100 2: abort
            2100 3: to a
            2150 4: to c
            2200 5: to d
            2250 5: Error
            2250 5: abort
            2250 log: ejected endpoint d from rule set charge: 2 of its last 2 outcomes failed, failure ratio 0.12 over all endpoints
            2250 6: to b
            2300 7: to a
            2350 8: to c
            2400 9: to a
            2450 10: to c
            2500 11: to b
            2550 11: Error
            2550 11: abort
            2550 log: ejected endpoint b from rule set charge: 2 of its last 2 outcomes failed, failure ratio 0.13 over all endpoints
            2550 12: to c
            2600 13: to a
            2650 14: to a
        "#]],
    );
}

#[test]
fn an_endpoint_that_refuses_all_requests_as_full_is_ejected() {
    let mut balancer = TracedBalancer::new(parameters(0.0, 1.0), "a@w b@x c@y d@z");
    balancer.warm_up(40);
    for id in 1..14 {
        balancer.submit(id, "charge").advance(10);
        let outcome =
            if balancer.was_last_sent_to(&["b"]) { DispatchOutcome::Full } else { DispatchOutcome::Done };
        balancer.end(id, outcome).advance(40).run_actions();
        if outcome == DispatchOutcome::Full {
            balancer.end(id, DispatchOutcome::Done);
        }
    }
    check(
        &mut balancer,
        expect![[r#"
        4000 1: to d
        4050 WatchEndpoints
        4050 2: to b
        4060 2: Full
        4060 2: to a
        4100 3: to c
        4150 4: to a
        4200 5: to d
        4250 6: to c
        4300 7: to b
        4310 7: Full
        4310 7: to a
        4350 8: to d
        4400 9: to c
        4450 10: to b
        4460 10: Full
        4460 10: to a
        4500 log: ejected endpoint b: 2 of its last 6 outcomes failed, failure ratio 0.04 over all endpoints
        4500 11: to d
        4550 12: to c
        4600 13: to a
    "#]],
    );
}

#[test]
fn an_unresponsive_site_is_ejected_and_its_overdue_dispatches_cancelled() {
    let mut balancer = TracedBalancer::new(parameters(2.0, 1.0), "a@x b@x c@x d@y e@y f@y");
    balancer.warm_up(40).run_actions();
    for id in 1..7 {
        balancer.submit(id, "charge").advance(20);
        if balancer.was_last_sent_to(&["d", "e", "f"]) {
            balancer.end(id, DispatchOutcome::Done);
        }
    }
    balancer.advance(500);
    for id in 31..37 {
        balancer.submit(id, "charge").advance(50);
        if balancer.was_last_sent_to(&["d", "e", "f"]) {
            balancer.end(id, DispatchOutcome::Done).run_actions();
        }
    }
    check(
        &mut balancer,
        expect![[r#"
            4000 WatchEndpoints
            4000 1: to c
            4020 2: to e
            4040 3: to d
            4060 4: to f
            4080 5: to b
            4100 6: to a
            4620 31: to c
            4670 32: to e
            4720 cancel 1, dispatch 0
            4720 log: ejected site x: no response for 0.7 s, 3 dispatches overdue, 0 lost
            4720 cancel 5, dispatch 0
            4720 cancel 6, dispatch 0
            4720 33: to e
            4770 34: to d
            4820 35: to f
            4870 36: to e
        "#]],
    );
}

#[test]
fn an_unreachable_site_is_ejected_after_three_lost_connections() {
    let mut balancer = TracedBalancer::new(parameters(1.0, 1.0), "a@x b@x c@x d@y e@y f@y");
    balancer.warm_up(100).run_actions();
    for id in 1..10 {
        balancer.submit(id, "charge").advance(20);
        while balancer.was_last_sent_to(&["a", "b", "c"]) {
            balancer.end(id, DispatchOutcome::NoConnection).advance(20);
        }
        balancer.end(id, DispatchOutcome::Done).run_actions();
    }
    check(
        &mut balancer,
        expect![[r#"
        10000 WatchEndpoints
        10000 1: to c
        10020 1: NoConnection
        10020 1: to e
        10040 log: ejected endpoint c: 2 of its last 6 outcomes failed, failure ratio 0.02 over all endpoints
        10040 2: to e
        10060 3: to d
        10080 4: to f
        10100 5: to b
        10120 5: NoConnection
        10120 5: to a
        10140 5: NoConnection
        10140 5: to e
        10160 log: ejected site x: no response for 0.1 s, 0 dispatches overdue, 3 lost
        10160 6: to d
        10180 7: to f
        10200 8: to e
        10220 9: to d
        "#]],
    );
}

/// Guards against endpoints whose processes are gone and that are still used because their refusals are most of all
/// failures: after a restart with a stale list, a balancer with a subset of six endpoints, four of them gone, denied half of
/// its requests.
#[test]
fn endpoints_that_refuse_all_connections_are_ejected_at_any_failure_ratio() {
    let mut parameters = parameters(0.0, 24.0);
    parameters.insert("me".into(), ParameterValue::Number(19.0));
    let list = "a@x b@y c@z d@x e@y f@z g@x h@y i@z j@x k@y l@z m@x n@y o@z p@x q@y r@z";
    let gone = ["o", "p", "q", "r"];
    let mut balancer = TracedBalancer::new(parameters, list);
    for id in 1..200 {
        balancer.submit(id, "read");
        while balancer.was_last_sent_to(&gone) {
            balancer.end(id, DispatchOutcome::NoConnection);
        }
        balancer.advance(40);
        if balancer.is_in_flight(id) {
            balancer.end(id, DispatchOutcome::Done);
        }
        balancer.run_actions();
    }
    let denied = balancer.trace.lines().filter(|line| line.ends_with("deny")).count();
    assert!(denied < 15, "{denied} of 199 denied: {}", balancer.trace);
}

/// Guards against clients that are told to wait for half a second after a failure though no endpoint is full.
#[test]
fn a_failed_request_may_be_retried_after_about_one_response_time() {
    let mut parameters = parameters(2.0, 24.0);
    parameters.insert("come_back_passed".into(), ParameterValue::Flag(true));
    parameters.insert("max_come_back".into(), ParameterValue::Duration(2_000 * MS));
    let mut balancer = TracedBalancer::new(parameters, "a@x b@x c@x d@x");
    balancer.warm_up(40);
    let mut longest = 0;
    for id in 1..30 {
        balancer.submit(id, "read");
        // The retries that the budget allows fail too.
        while balancer.is_in_flight(id) {
            balancer.end(id, DispatchOutcome::Error);
            longest = longest.max(balancer.last_retry_after);
        }
        balancer.advance(100);
    }
    assert!(balancer.trace.contains("deny"), "{}", balancer.trace);
    assert!((MS..=100 * MS).contains(&longest), "{} ms after answers that take 100 ms", longest / MS);
}

/// Guards against instances with few requests that each detect a failed endpoint late, though others have seen its failures.
#[test]
fn outcomes_from_peers_count_like_own_outcomes() {
    let mut balancer = TracedBalancer::new(parameters(0.0, 60.0), "a@x b@x c@x d@y e@y f@y");
    balancer.warm_up(20).run_actions().trace.clear();
    balancer
        .report_from_peer("a", DispatchOutcome::Done)
        .report_from_peer("a", DispatchOutcome::Reset)
        .run_actions();
    assert_eq!(balancer.trace, "", "one loss must not eject, whichever instance saw it");
    balancer.report_from_peer("a", DispatchOutcome::Reset).run_actions();
    balancer
        .report_from_peer("d", DispatchOutcome::Reset)
        .report_from_peer("e", DispatchOutcome::Reset)
        .report_from_peer("f", DispatchOutcome::Reset);
    // The other site has answered since.
    balancer.warm_up(4).run_actions();
    balancer.report_from_peer("nobody", DispatchOutcome::Reset).run_actions();
    check(
        &mut balancer,
        expect![[r#"
            2000 log: ejected endpoint a: 2 of its last 6 outcomes failed, failure ratio 0.05 over all endpoints
            2400 log: ejected site y: no response for 2.0 s, 0 dispatches overdue, 3 lost
        "#]],
    );
}

/// Guards against the ejection of a whole site because of two endpoints that are gone and that all peers report.
#[test]
fn repeated_losses_from_peers_at_two_endpoints_do_not_eject_the_site() {
    let mut balancer = TracedBalancer::new(parameters(0.0, 60.0), "a@x b@x c@x d@y e@y f@y");
    balancer.warm_up(20).run_actions().trace.clear();
    for _ in 0..6 {
        balancer.report_from_peer("d", DispatchOutcome::Reset).report_from_peer("e", DispatchOutcome::Reset);
        balancer.warm_up(1).run_actions();
    }
    // One by one, at most half of a site is ejected.
    assert!(balancer.trace.contains("log: ejected endpoint d"), "{}", balancer.trace);
    assert!(!balancer.trace.contains("ejected site"), "{}", balancer.trace);
}

#[test]
fn failures_of_one_rule_set_from_peers_eject_from_that_one_only() {
    let mut balancer = TracedBalancer::new(parameters(0.0, 60.0), "a@w b@x c@y d@z");
    balancer.warm_up(20).run_actions().trace.clear();
    // At the peers too, the endpoint succeeds in another rule set and then fails in this one.
    for _ in 0..4 {
        balancer.report_from_peer_of("read", "b", DispatchOutcome::Done);
    }
    balancer
        .report_from_peer("b", DispatchOutcome::Error)
        .report_from_peer("b", DispatchOutcome::Error)
        .run_actions();
    let mut sent_to_b = Vec::new();
    for (id, rule_set) in (1..25).map(|id| (id, if id % 2 == 0 { "read" } else { "charge" })) {
        balancer.submit(id, rule_set).advance(20);
        sent_to_b.push((rule_set, balancer.was_last_sent_to(&["b"])));
        balancer.end(id, DispatchOutcome::Done).run_actions();
    }
    assert!(
        balancer
            .trace
            .contains("log: ejected endpoint b from rule set charge: 2 of its last 2 outcomes failed"),
        "{}",
        balancer.trace
    );
    assert!(sent_to_b.contains(&("read", true)) && !sent_to_b.contains(&("charge", true)), "{sent_to_b:?}");
}

#[test]
fn a_slow_endpoint_gets_no_more_requests() {
    let mut balancer = TracedBalancer::new(parameters(1.0, 8.0), "a@x b@x c@x");
    balancer.warm_up(60);
    for id in 1..13 {
        balancer.submit(id, "charge");
        let is_slow = balancer.was_last_sent_to(&["b"]);
        balancer.advance(if is_slow { 900 } else { 50 }).end(id, DispatchOutcome::Done);
    }
    check(
        &mut balancer,
        expect![[r#"
        6000 1: to b
        6900 2: to a
        6950 3: to c
        7000 4: to b
        7900 5: to a
        7950 6: to c
        8000 7: to a
        8050 8: to c
        8100 9: to a
        8150 10: to c
        8200 11: to a
        8250 12: to c
    "#]],
    );
}

#[test]
fn an_unresponsive_endpoint_leaves_capacity_to_the_others() {
    let mut balancer = TracedBalancer::new(parameters(1.0, 8.0), "a@x b@x");
    balancer.warm_up(40);
    for id in 1..9 {
        balancer.submit(id, "charge").advance(400);
        if balancer.was_last_sent_to(&["b"]) {
            balancer.end(id, DispatchOutcome::Done);
        }
    }
    check(
        &mut balancer,
        expect![[r#"
        4000 1: to b
        4400 2: to a
        4800 3: to b
        5200 4: to a
        5600 5: to b
        6000 6: to b
        6400 7: to b
        6800 8: to b
    "#]],
    );
}

#[test]
fn a_customer_over_its_share_is_denied_while_requests_wait() {
    let mut parameters = parameters(0.0, 1.0);
    let share = |name: &str, per_s| {
        Parameters::from([
            ("name".into(), ParameterValue::Text(name.into())),
            ("share_per_s".into(), ParameterValue::Number(per_s)),
        ])
    };
    parameters.insert("customers".into(), ParameterValue::List(vec![share("big", 0.5), share("small", 1e6)]));
    let mut balancer = TracedBalancer::new(parameters, "a@x");
    balancer.warm_up(40);
    for id in 1..13 {
        balancer.submit_read_of(id, if id % 2 == 0 { "big" } else { "small" });
    }
    check(
        &mut balancer,
        expect![[r#"
        4000 1: to a
        4000 2: to a
        4000 3: to a
        4000 4: to a
        4000 5: to a
        4000 6: to a
        4000 7: to a
        4000 8: waits 200 ms
        4000 9: waits 200 ms
        4000 10: deny
        4000 11: waits 200 ms
        4000 12: deny
        "#]],
    );
}

#[test]
fn over_the_limit_high_utility_goes_first_and_long_waits_are_denied_early() {
    let mut balancer = TracedBalancer::new(parameters(0.0, 1.0), "a@x");
    balancer.warm_up(40);
    for id in 1..9 {
        balancer.submit(id, "read").advance(1);
    }
    balancer
        .submit(9, "charge")
        .run_actions()
        .advance(40)
        .end(1, DispatchOutcome::Done)
        .run_actions()
        .advance(200)
        .route(7)
        .run_actions();
    check(
        &mut balancer,
        expect![[r#"
        4000 1: to a
        4001 2: to a
        4002 3: to a
        4003 4: to a
        4004 5: to a
        4005 6: to a
        4006 7: to a
        4007 8: waits 200 ms
        4008 9: waits 200 ms
        4008 WatchEndpoints
        4008 log: requests are waiting in the queue: 7 in flight, 11 completed per second
        4048 9: to a
        4248 7: waits 2758 ms
        4248 8: deny
        4248 log: the request queue is empty again: 7 in flight, 10 completed per second
        "#]],
    );
}

#[test]
fn the_list_is_watched_again_some_time_after_a_failure() {
    let mut balancer = TracedBalancer::new(parameters(0.0, 1.0), "a@x");
    balancer.run_actions().advance(1_000).run_actions();
    balancer.policy.handle_event(1_001_000 * traced_balancer::MS, ochreshed::Event::EndpointListFailed);
    balancer.run_actions().advance(2_000).run_actions();
    check(
        &mut balancer,
        expect![[r#"
        1000 WatchEndpoints
        3000 WatchEndpoints
    "#]],
    );
}

#[test]
fn a_request_past_its_deadline_is_aborted_if_it_must_not_run_twice() {
    let mut balancer = TracedBalancer::new(parameters(0.0, 1.0), "a@x b@x");
    balancer.submit(1, "charge").advance(3_000).end(1, DispatchOutcome::TimedOut);
    balancer.submit(2, "read").advance(3_000).end(2, DispatchOutcome::TimedOut);
    check(
        &mut balancer,
        expect![[r#"
        0 1: to b
        3000 1: TimedOut
        3000 1: abort
        3000 2: to a
        6000 2: TimedOut
        6000 2: deny
    "#]],
    );
}

#[test]
fn a_uniqued_request_is_not_retried_outside_its_group_once_that_is_gone() {
    let mut balancer = TracedBalancer::new(parameters(0.0, 1.0), "a@x b@y c@y");
    balancer.warm_up(20);
    let mut id = 1;
    while !balancer.submit(id, "move").was_last_sent_to(&["a"]) {
        balancer.end(id, DispatchOutcome::Done);
        id += 1;
    }
    balancer.trace.clear();
    balancer.end_without_routing(id, DispatchOutcome::Reset);
    balancer.apply_list(true, "b@y c@y");
    balancer.route(id);
    check(
        &mut balancer,
        expect![[r#"
        2000 3: Reset
        2000 3: abort
    "#]],
    );
}

#[test]
fn instances_with_few_requests_use_small_subsets_and_together_spread_evenly() {
    let list = "a@x b@x c@x d@x e@x f@x g@x h@x i@y j@y k@y l@y m@y n@y o@y p@y";
    let mut sends = BTreeMap::<String, usize>::new();
    let mut trace = String::new();
    for me in 0..40 {
        let mut parameters = parameters(0.0, 40.0);
        parameters.insert("me".into(), ParameterValue::Number(f64::from(me)));
        let mut balancer = TracedBalancer::new(parameters, list);
        for id in 1..9 {
            balancer.run_read(id).advance(2_000);
        }
        let endpoints: Vec<&str> =
            balancer.trace.lines().filter_map(|line| line.split("to ").nth(1)).collect();
        if me % 10 == 0 {
            trace += &format!("{me}: {}\n", endpoints.join(" "));
        }
        endpoints.iter().for_each(|endpoint| *sends.entry((*endpoint).into()).or_default() += 1);
    }
    for (endpoint, count) in sends {
        trace += &format!("{endpoint} {count} ");
    }
    expect![[r#"
        0: b a c b a b a b
        10: f e f e g f e f
        20: j i k j i j i j
        30: n m n m o n m n
        a 19 b 20 c 19 d 22 e 19 f 20 g 18 h 23 i 19 j 21 k 20 l 19 m 19 n 21 o 18 p 23 "#]]
    .assert_eq(&trace);
}

#[test]
fn one_late_response_does_not_raise_the_limit_of_an_instance_with_few_requests() {
    let mut balancer = TracedBalancer::new(parameters(1.0, 60.0), "a@x b@x c@x d@x");
    balancer.warm_up(8).run_actions();
    for id in 1..7 {
        balancer.submit(id, "charge").advance(300);
    }
    check(
        &mut balancer,
        expect![[r#"
            800 WatchEndpoints
            800 1: to b
            1100 2: to a
            1400 3: to d
            1700 4: waits 200 ms
            2000 5: waits 200 ms
            2300 6: waits 200 ms
        "#]],
    );
}

#[test]
fn after_a_lost_site_fast_responses_raise_the_limit_but_not_in_overload() {
    let mut summary = String::new();
    for burst in [0, 30] {
        let mut balancer = TracedBalancer::new(parameters(0.0, 4.0), "a@x b@x d@y e@y");
        balancer.warm_up(200).run_actions();
        for id in 1..5 {
            balancer.submit(id, "read");
        }
        // Site x does not respond, which is detected right after the burst.
        for id in 11..20 {
            balancer.advance(100).submit(id, "read");
            if balancer.was_last_sent_to(&["d", "e"]) {
                balancer.advance(100).end(id, DispatchOutcome::Done);
            }
            if id == 15 {
                for id in 100..100 + burst {
                    balancer.submit(id, "read");
                }
            }
            balancer.run_actions();
        }
        for id in 61..71 {
            balancer.submit(id, "read");
        }
        let denied = (61..71).filter(|id| balancer.trace.contains(&format!(" {id}: deny"))).count();
        let ejected = balancer.trace.lines().find(|line| line.contains("ejected")).unwrap_or("none ejected");
        summary += &format!("burst of {burst}: {ejected}; {denied} of 10 denied\n");
    }
    expect![[r#"
        burst of 0: 20800 log: ejected site x: no response for 0.8 s, 2 dispatches overdue, 0 lost; 0 of 10 denied
        burst of 30: 20800 log: ejected site x: no response for 0.8 s, 2 dispatches overdue, 0 lost; 2 of 10 denied
    "#]]
    .assert_eq(&summary);
}

#[test]
fn cancelled_requests_do_not_lower_the_limit() {
    let mut summary = String::new();
    for cancelled in [0, 2] {
        let mut balancer = TracedBalancer::new(parameters(0.0, 4.0), "a@x b@x d@y e@y");
        for id in 1..321 {
            let outcome = if id > 160 && id % 3 < cancelled {
                DispatchOutcome::Cancelled
            } else {
                DispatchOutcome::Done
            };
            balancer.submit(id, "read").advance(25).end(id, outcome);
        }
        for id in 401..417 {
            balancer.submit(id, "read");
        }
        let sent = (401..417).filter(|id| balancer.trace.contains(&format!(" {id}: to"))).count();
        summary += &format!("{cancelled} of 3 cancelled by their clients: {sent} of 16 sent at once\n");
    }
    expect![[r#"
        0 of 3 cancelled by their clients: 16 of 16 sent at once
        2 of 3 cancelled by their clients: 16 of 16 sent at once
    "#]]
    .assert_eq(&summary);
}

#[test]
fn the_time_until_an_unresponsive_site_is_ejected_depends_on_the_tier() {
    let mut summary = String::new();
    for tier in [0.0, 1.0, 2.0] {
        let mut balancer = TracedBalancer::new(parameters(tier, 1.0), "a@x b@x c@y d@y");
        balancer.warm_up(40).run_actions().trace.clear();
        for id in 1..5 {
            balancer.submit(id, "read").advance(10);
            if balancer.was_last_sent_to(&["c", "d"]) {
                balancer.end(id, DispatchOutcome::Done);
            }
        }
        while !balancer.trace.contains("ejected site") {
            balancer.advance(10).run_actions();
        }
        summary += balancer.trace.lines().find(|line| line.contains("ejected site")).unwrap_or_default();
        summary += "\n";
    }
    expect![[r#"
        4700 log: ejected site x: no response for 0.8 s, 2 dispatches overdue, 0 lost
        4630 log: ejected site x: no response for 0.7 s, 2 dispatches overdue, 0 lost
        4330 log: ejected site x: no response for 0.4 s, 2 dispatches overdue, 0 lost
    "#]]
    .assert_eq(&summary);
}

/// Parameters with concurrency limits enforced by proxies beside the endpoints.
fn limits_at_proxies() -> Parameters {
    let mut parameters = parameters(0.0, 1.0);
    parameters.insert("level".into(), ParameterValue::Text("doors".into()));
    parameters
}

#[test]
fn rejections_by_proxies_are_limited_by_site_and_in_total() {
    let mut parameters = limits_at_proxies();
    parameters.insert("most_turned".into(), ParameterValue::Number(3.0));
    parameters.insert("most_turned_by_site".into(), ParameterValue::Number(2.0));
    let mut balancer = TracedBalancer::new(parameters, "a@x b@x c@x d@y e@y f@y");
    for id in 1..4 {
        balancer
            .submit(id, "charge")
            .advance(1)
            .end(id, DispatchOutcome::Rejected)
            .advance(1)
            .end(id, DispatchOutcome::Rejected);
        balancer.advance(1).end(id, DispatchOutcome::Rejected);
    }
    check(
        &mut balancer,
        expect![[r#"
        0 1: to d
        1 1: Rejected
        1 1: to f
        2 1: Rejected
        2 1: to b
        3 1: Rejected
        3 1: deny
        3 2: to a
        4 2: Rejected
        4 2: to c
        5 2: Rejected
        5 2: to e
        6 2: Rejected
        6 2: deny
        6 3: to b
        7 3: Rejected
        7 3: to e
        8 3: Rejected
        8 3: to f
        9 3: Rejected
        9 3: deny
    "#]],
    );
}

#[test]
fn a_request_that_proxies_reject_is_sent_elsewhere_outside_the_retry_budget() {
    let mut balancer = TracedBalancer::new(limits_at_proxies(), "a@x b@x c@x d@x");
    // Nothing was sent before, so that the retry budget allows one retry at most.
    for id in 1..3 {
        balancer
            .submit(id, "charge")
            .advance(1)
            .end(id, DispatchOutcome::Rejected)
            .advance(1)
            .end(id, DispatchOutcome::Rejected)
            .advance(1);
        balancer.end(id, DispatchOutcome::Rejected).advance(100).end(id, DispatchOutcome::Done);
    }
    // Rejected by all proxies, the request is denied at once: it never ran.
    balancer.submit(3, "charge");
    for _ in 0..4 {
        balancer.advance(1).end(3, DispatchOutcome::Rejected);
    }
    check(
        &mut balancer,
        expect![[r#"
        0 1: to d
        1 1: Rejected
        1 1: to b
        2 1: Rejected
        2 1: to a
        3 1: Rejected
        3 1: to c
        103 2: to c
        104 2: Rejected
        104 2: to a
        105 2: Rejected
        105 2: to b
        106 2: Rejected
        106 2: to d
        206 3: to d
        207 3: Rejected
        207 3: to b
        208 3: Rejected
        208 3: to a
        209 3: Rejected
        209 3: to c
        210 3: Rejected
        210 3: deny
    "#]],
    );
}

#[test]
fn with_limits_at_proxies_requests_wait_neither_for_capacity_nor_for_slow_start() {
    let mut parameters = limits_at_proxies();
    parameters.insert("cold".into(), ParameterValue::Duration(4_000 * MS));
    parameters.insert("cold_share".into(), ParameterValue::Number(0.4));
    let mut balancer = TracedBalancer::new(parameters, "a@x* b@x*");
    for id in 1..40 {
        balancer.submit(id, "read");
        assert!(balancer.is_in_flight(id), "{id} waits\n{}", balancer.trace);
    }
}
