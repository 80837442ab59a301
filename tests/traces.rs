//! Short traces of decisions, kept to be read.

mod helper;

use std::collections::BTreeMap;

use expect_test::{Expect, expect};
use helper::{MS, Scene, facts};
use ochreshed::{DispatchOutcome, ParameterValue, Parameters};

fn check(scene: &mut Scene, expected: Expect) {
    expected.assert_eq(&scene.trace);
}

#[test]
fn turns_are_even_from_a_random_start() {
    let mut scene = Scene::new(facts(0.0, 1.0), "a@x b@x c@y");
    for id in 1..7 {
        scene.done(id);
    }
    check(
        &mut scene,
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
fn a_middle_tiers_error_is_passed_up_and_the_last_tiers_is_sent_again() {
    let mut middle = Scene::new(facts(1.0, 4.0), "a@x b@x");
    middle.past(20).req(1, "read").pass(50).end(1, DispatchOutcome::Error);
    check(
        &mut middle,
        expect![[r#"
        2000 1: to b
        2050 1: Error
        2050 1: deny
    "#]],
    );
    let mut last = Scene::new(facts(2.0, 4.0), "a@x b@x");
    last.past(20).req(1, "read").pass(50).end(1, DispatchOutcome::Error);
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
fn a_refused_connection_is_owned_at_any_tier_and_safe_for_every_rule_set() {
    let mut scene = Scene::new(facts(0.0, 1.0), "a@x b@x");
    scene
        .past(20)
        .req(1, "charge")
        .pass(5)
        .end(1, DispatchOutcome::NoConnection)
        .pass(50)
        .end(1, DispatchOutcome::Reset);
    check(
        &mut scene,
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
fn sends_again_keep_within_a_tenth() {
    let mut scene = Scene::new(facts(0.0, 1.0), "a@x b@x c@x d@x");
    scene.past(10);
    for id in 1..5 {
        scene
            .req(id, "read")
            .pass(10)
            .end(id, DispatchOutcome::Full)
            .pass(100)
            .end(id, DispatchOutcome::Done);
    }
    check(
        &mut scene,
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
fn a_uniqued_req_that_may_have_run_goes_again_only_in_its_site_and_window() {
    let mut scene = Scene::new(facts(2.0, 1.0), "a@x b@x c@y d@y");
    scene.past(40);
    for id in 1..4 {
        scene
            .req(id, "move")
            .pass(10)
            .end(id, DispatchOutcome::Reset)
            .pass(100)
            .end(id, DispatchOutcome::Done);
    }
    scene.req(9, "move").pass(1_100).end(9, DispatchOutcome::Reset);
    check(
        &mut scene,
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
fn a_srv_alone_in_its_group_may_be_sent_again_what_it_reset() {
    let mut scene = Scene::new(facts(0.0, 1.0), "a@x b@y");
    scene.past(40);
    scene
        .req(1, "move")
        .pass(10)
        .end(1, DispatchOutcome::NoConnection)
        .pass(10)
        .end(1, DispatchOutcome::Reset);
    scene.pass(10).end(1, DispatchOutcome::Reset).pass(10).end(1, DispatchOutcome::Done);
    scene.req(2, "move").pass(10).end(2, DispatchOutcome::TimedOut);
    scene.req(3, "charge").pass(10).end(3, DispatchOutcome::Reset);
    check(
        &mut scene,
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
fn a_req_never_has_two_dispatches_out() {
    let mut scene = Scene::new(facts(0.0, 1.0), "a@x b@x");
    scene.req(1, "read").pass(10).place(1);
    check(
        &mut scene,
        expect![[r#"
        0 1: to b
        10 1: later, in 2990 ms
    "#]],
    );
}

#[test]
fn draining_and_gone_srvs_get_nothing_new() {
    let mut scene = Scene::new(facts(0.0, 1.0), "a@x b@x c@x");
    scene.list(false, "a@x!");
    scene.done(1).done(2).done(3);
    scene.list(true, "c@x");
    scene.done(4).done(5);
    check(
        &mut scene,
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
fn a_cold_srv_gets_its_share_of_a_budget() {
    let mut scene = Scene::new(facts(0.0, 1.0), "a@x b@x");
    scene.past(40);
    // The same id with a fresh start: it is cold again.
    scene.list(false, "a@x*");
    for id in 1..13 {
        scene.done(id);
    }
    check(
        &mut scene,
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
fn a_srv_that_fails_alone_is_set_aside_and_returns() {
    let mut scene = Scene::new(facts(1.0, 1.0), "a@x b@x c@x d@x");
    scene.past(40);
    for id in 1..9 {
        scene.req(id, "charge").pass(50);
        let how = if scene.went_to(&["b"]) { DispatchOutcome::Error } else { DispatchOutcome::Done };
        scene.end(id, how).wait();
    }
    scene.pass(5_000).done(21).done(22).done(23).done(24);
    check(
        &mut scene,
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
fn a_srv_that_fails_one_rule_set_is_kept_from_that_one_only() {
    let mut scene = Scene::new(facts(0.0, 1.0), "a@w b@x c@y d@z");
    scene.past(20);
    for id in 1..15 {
        let name = if id % 3 == 0 { "read" } else { "charge" };
        scene.req(id, name).pass(50);
        let how = if id % 3 > 0 && scene.went_to(&["b", "d"]) {
            DispatchOutcome::Error
        } else {
            DispatchOutcome::Done
        };
        scene.end(id, how).wait();
    }
    check(
        &mut scene,
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
fn a_srv_that_turns_all_away_is_set_aside() {
    let mut scene = Scene::new(facts(0.0, 1.0), "a@w b@x c@y d@z");
    scene.past(40);
    for id in 1..14 {
        scene.req(id, "charge").pass(10);
        let how = if scene.went_to(&["b"]) { DispatchOutcome::Full } else { DispatchOutcome::Done };
        scene.end(id, how).pass(40).wait();
        if how == DispatchOutcome::Full {
            scene.end(id, DispatchOutcome::Done);
        }
    }
    check(
        &mut scene,
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
fn a_silent_site_is_set_aside_whole_and_what_it_owes_is_recalled() {
    let mut scene = Scene::new(facts(2.0, 1.0), "a@x b@x c@x d@y e@y f@y");
    scene.past(40).wait();
    for id in 1..7 {
        scene.req(id, "charge").pass(20);
        if scene.went_to(&["d", "e", "f"]) {
            scene.end(id, DispatchOutcome::Done);
        }
    }
    scene.pass(500);
    for id in 31..37 {
        scene.req(id, "charge").pass(50);
        if scene.went_to(&["d", "e", "f"]) {
            scene.end(id, DispatchOutcome::Done).wait();
        }
    }
    check(
        &mut scene,
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
            4720 recall 1, dispatch 0
            4720 log: ejected site x: no response for 0.7 s, 3 dispatches overdue, 0 lost
            4720 recall 5, dispatch 0
            4720 recall 6, dispatch 0
            4720 33: to e
            4770 34: to d
            4820 35: to f
            4870 36: to e
        "#]],
    );
}

#[test]
fn a_cut_off_site_is_set_aside_after_three_lost_connections() {
    let mut scene = Scene::new(facts(1.0, 1.0), "a@x b@x c@x d@y e@y f@y");
    scene.past(100).wait();
    for id in 1..10 {
        scene.req(id, "charge").pass(20);
        while scene.went_to(&["a", "b", "c"]) {
            scene.end(id, DispatchOutcome::NoConnection).pass(20);
        }
        scene.end(id, DispatchOutcome::Done).wait();
    }
    check(
        &mut scene,
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

/// Guards against srvs whose processes are gone and that keep their turns because what they refuse is most of what fails
/// everywhere: after a restart with an old list a balancer that turns among six srvs, four of them gone, denied half.
#[test]
fn srvs_that_refuse_all_are_set_aside_however_much_fails() {
    let mut facts = facts(0.0, 24.0);
    facts.insert("me".into(), ParameterValue::Number(19.0));
    let list = "a@x b@y c@z d@x e@y f@z g@x h@y i@z j@x k@y l@z m@x n@y o@z p@x q@y r@z";
    let gone = ["o", "p", "q", "r"];
    let mut scene = Scene::new(facts, list);
    for id in 1..200 {
        scene.req(id, "read");
        while scene.went_to(&gone) {
            scene.end(id, DispatchOutcome::NoConnection);
        }
        scene.pass(40);
        if scene.holds_out(id) {
            scene.end(id, DispatchOutcome::Done);
        }
        scene.wait();
    }
    let denied = scene.trace.lines().filter(|line| line.ends_with("deny")).count();
    assert!(denied < 15, "{denied} of 199 denied: {}", scene.trace);
}

/// Guards against clients that wait for half a second though nothing is full: their try failed, and there is room.
#[test]
fn what_failed_may_come_back_after_about_the_time_of_an_answer() {
    let mut facts = facts(2.0, 24.0);
    facts.insert("come_back_passed".into(), ParameterValue::Flag(true));
    facts.insert("max_come_back".into(), ParameterValue::Duration(2_000 * MS));
    let mut scene = Scene::new(facts, "a@x b@x c@x d@x");
    scene.past(40);
    let mut longest = 0;
    for id in 1..30 {
        scene.req(id, "read");
        // What a tenth allows is sent again, and fails too.
        while scene.holds_out(id) {
            scene.end(id, DispatchOutcome::Error);
            longest = longest.max(scene.come_back);
        }
        scene.pass(100);
    }
    assert!(scene.trace.contains("deny"), "{}", scene.trace);
    assert!((MS..=100 * MS).contains(&longest), "{} ms after answers that take 100 ms", longest / MS);
}

/// Guards against quiet instances that learn each alone, and late, what others have seen.
#[test]
fn what_others_lost_counts_as_an_outcome_of_ones_own() {
    let mut scene = Scene::new(facts(0.0, 60.0), "a@x b@x c@x d@y e@y f@y");
    scene.past(20).wait().trace.clear();
    scene.others("a", DispatchOutcome::Done).others("a", DispatchOutcome::Reset).wait();
    assert_eq!(scene.trace, "", "one loss is chance, for others as for us");
    scene.others("a", DispatchOutcome::Reset).wait();
    scene
        .others("d", DispatchOutcome::Reset)
        .others("e", DispatchOutcome::Reset)
        .others("f", DispatchOutcome::Reset);
    // The other site answers since.
    scene.past(4).wait();
    scene.others("nobody", DispatchOutcome::Reset).wait();
    check(
        &mut scene,
        expect![[r#"
            2000 log: ejected endpoint a: 2 of its last 6 outcomes failed, failure ratio 0.05 over all endpoints
            2400 log: ejected site y: no response for 2.0 s, 0 dispatches overdue, 3 lost
        "#]],
    );
}

/// Guards against a whole site set aside for two of its srvs that are gone, of which all others tell.
#[test]
fn what_others_lost_again_and_again_at_two_srvs_sets_no_site_aside() {
    let mut scene = Scene::new(facts(0.0, 60.0), "a@x b@x c@x d@y e@y f@y");
    scene.past(20).wait().trace.clear();
    for _ in 0..6 {
        scene.others("d", DispatchOutcome::Reset).others("e", DispatchOutcome::Reset);
        scene.past(1).wait();
    }
    // No more than half of a site one by one.
    assert!(scene.trace.contains("log: ejected endpoint d"), "{}", scene.trace);
    assert!(!scene.trace.contains("ejected site"), "{}", scene.trace);
}

#[test]
fn what_failed_of_one_rule_set_for_others_keeps_that_one_away() {
    let mut scene = Scene::new(facts(0.0, 60.0), "a@w b@x c@y d@z");
    scene.past(20).wait().trace.clear();
    // For others too the srv does well in another rule set, and then errs in this one.
    for _ in 0..4 {
        scene.others_of("read", "b", DispatchOutcome::Done);
    }
    scene.others("b", DispatchOutcome::Error).others("b", DispatchOutcome::Error).wait();
    let mut went = Vec::new();
    for (id, rule_set) in (1..25).map(|id| (id, if id % 2 == 0 { "read" } else { "charge" })) {
        scene.req(id, rule_set).pass(20);
        went.push((rule_set, scene.went_to(&["b"])));
        scene.end(id, DispatchOutcome::Done).wait();
    }
    assert!(
        scene.trace.contains("log: ejected endpoint b from rule set charge: 2 of its last 2 outcomes failed"),
        "{}",
        scene.trace
    );
    assert!(went.contains(&("read", true)) && !went.contains(&("charge", true)), "{went:?}");
}

#[test]
fn a_slow_srv_loses_its_turns() {
    let mut scene = Scene::new(facts(1.0, 8.0), "a@x b@x c@x");
    scene.past(60);
    for id in 1..13 {
        scene.req(id, "charge");
        let slow = scene.went_to(&["b"]);
        scene.pass(if slow { 900 } else { 50 }).end(id, DispatchOutcome::Done);
    }
    check(
        &mut scene,
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
fn a_silent_srv_leaves_room_for_the_others() {
    let mut scene = Scene::new(facts(1.0, 8.0), "a@x b@x");
    scene.past(40);
    for id in 1..9 {
        scene.req(id, "charge").pass(400);
        if scene.went_to(&["b"]) {
            scene.end(id, DispatchOutcome::Done);
        }
    }
    check(
        &mut scene,
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
fn a_customer_over_its_share_is_denied_while_anyone_waits() {
    let mut facts = facts(0.0, 1.0);
    let share = |name: &str, per_s| {
        Parameters::from([
            ("name".into(), ParameterValue::Text(name.into())),
            ("share_per_s".into(), ParameterValue::Number(per_s)),
        ])
    };
    facts.insert("customers".into(), ParameterValue::List(vec![share("big", 0.5), share("small", 1e6)]));
    let mut scene = Scene::new(facts, "a@x");
    scene.past(40);
    for id in 1..13 {
        scene.of(id, if id % 2 == 0 { "big" } else { "small" });
    }
    check(
        &mut scene,
        expect![[r#"
        4000 1: to a
        4000 2: to a
        4000 3: to a
        4000 4: to a
        4000 5: to a
        4000 6: to a
        4000 7: to a
        4000 8: later, in 200 ms
        4000 9: later, in 200 ms
        4000 10: deny
        4000 11: later, in 200 ms
        4000 12: deny
        "#]],
    );
}

#[test]
fn over_the_level_utility_goes_first_and_a_long_wait_is_denied_at_once() {
    let mut scene = Scene::new(facts(0.0, 1.0), "a@x");
    scene.past(40);
    for id in 1..9 {
        scene.req(id, "read").pass(1);
    }
    scene.req(9, "charge").wait().pass(40).end(1, DispatchOutcome::Done).wait().pass(200).place(7).wait();
    check(
        &mut scene,
        expect![[r#"
        4000 1: to a
        4001 2: to a
        4002 3: to a
        4003 4: to a
        4004 5: to a
        4005 6: to a
        4006 7: to a
        4007 8: later, in 200 ms
        4008 9: later, in 200 ms
        4008 WatchEndpoints
        4008 log: requests queue: 7 in flight, 11 completed per second
        4048 9: to a
        4248 7: later, in 2758 ms
        4248 8: deny
        4248 log: queue is empty: 7 in flight, 10 completed per second
        "#]],
    );
}

#[test]
fn the_list_is_watched_and_asked_for_again_after_a_pause() {
    let mut scene = Scene::new(facts(0.0, 1.0), "a@x");
    scene.wait().pass(1_000).wait();
    scene.balancer.handle_event(1_001_000 * helper::MS, ochreshed::Event::EndpointListFailed);
    scene.wait().pass(2_000).wait();
    check(
        &mut scene,
        expect![[r#"
        1000 WatchEndpoints
        3000 WatchEndpoints
    "#]],
    );
}

#[test]
fn time_out_of_hand_is_answered_with_an_abort_where_it_may_have_run() {
    let mut scene = Scene::new(facts(0.0, 1.0), "a@x b@x");
    scene.req(1, "charge").pass(3_000).end(1, DispatchOutcome::TimedOut);
    scene.req(2, "read").pass(3_000).end(2, DispatchOutcome::TimedOut);
    check(
        &mut scene,
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
fn a_uniqued_req_whose_group_has_left_goes_nowhere_else() {
    let mut scene = Scene::new(facts(0.0, 1.0), "a@x b@y c@y");
    scene.past(20);
    let mut id = 1;
    while !scene.req(id, "move").went_to(&["a"]) {
        scene.end(id, DispatchOutcome::Done);
        id += 1;
    }
    scene.trace.clear();
    scene.fail(id, DispatchOutcome::Reset);
    scene.list(true, "b@y c@y");
    scene.place(id);
    check(
        &mut scene,
        expect![[r#"
        2000 3: Reset
        2000 3: abort
    "#]],
    );
}

#[test]
fn quiet_instances_turn_among_few_srvs_and_evenly_together() {
    let list = "a@x b@x c@x d@x e@x f@x g@x h@x i@y j@y k@y l@y m@y n@y o@y p@y";
    let mut sends = BTreeMap::<String, usize>::new();
    let mut trace = String::new();
    for me in 0..40 {
        let mut facts = facts(0.0, 40.0);
        facts.insert("me".into(), ParameterValue::Number(f64::from(me)));
        let mut scene = Scene::new(facts, list);
        for id in 1..9 {
            scene.done(id).pass(2_000);
        }
        let srvs: Vec<&str> = scene.trace.lines().filter_map(|line| line.split("to ").nth(1)).collect();
        if me % 10 == 0 {
            trace += &format!("{me}: {}\n", srvs.join(" "));
        }
        srvs.iter().for_each(|srv| *sends.entry((*srv).into()).or_default() += 1);
    }
    for (srv, count) in sends {
        trace += &format!("{srv} {count} ");
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
fn one_late_answer_does_not_make_room_at_a_quiet_instance() {
    let mut scene = Scene::new(facts(1.0, 60.0), "a@x b@x c@x d@x");
    scene.past(8).wait();
    for id in 1..7 {
        scene.req(id, "charge").pass(300);
    }
    check(
        &mut scene,
        expect![[r#"
            800 WatchEndpoints
            800 1: to b
            1100 2: to a
            1400 3: to d
            1700 4: later, in 200 ms
            2000 5: later, in 200 ms
            2300 6: later, in 200 ms
        "#]],
    );
}

#[test]
fn after_a_lost_site_prompt_answers_widen_the_level_but_not_in_overload() {
    let mut told = String::new();
    for burst in [0, 30] {
        let mut scene = Scene::new(facts(0.0, 4.0), "a@x b@x d@y e@y");
        scene.past(200).wait();
        for id in 1..5 {
            scene.req(id, "read");
        }
        // Site x answers nothing, which shows right after the burst.
        for id in 11..20 {
            scene.pass(100).req(id, "read");
            if scene.went_to(&["d", "e"]) {
                scene.pass(100).end(id, DispatchOutcome::Done);
            }
            if id == 15 {
                for id in 100..100 + burst {
                    scene.req(id, "read");
                }
            }
            scene.wait();
        }
        for id in 61..71 {
            scene.req(id, "read");
        }
        let denied = (61..71).filter(|id| scene.trace.contains(&format!(" {id}: deny"))).count();
        let ejected = scene.trace.lines().find(|line| line.contains("ejected")).unwrap_or("none ejected");
        told += &format!("burst of {burst}: {ejected}; {denied} of 10 denied\n");
    }
    expect![[r#"
        burst of 0: 20800 log: ejected site x: no response for 0.8 s, 2 dispatches overdue, 0 lost; 0 of 10 denied
        burst of 30: 20800 log: ejected site x: no response for 0.8 s, 2 dispatches overdue, 0 lost; 2 of 10 denied
    "#]]
    .assert_eq(&told);
}

#[test]
fn the_level_does_not_sink_with_what_clients_left() {
    let mut told = String::new();
    for left in [0, 2] {
        let mut scene = Scene::new(facts(0.0, 4.0), "a@x b@x d@y e@y");
        for id in 1..321 {
            let how =
                if id > 160 && id % 3 < left { DispatchOutcome::Cancelled } else { DispatchOutcome::Done };
            scene.req(id, "read").pass(25).end(id, how);
        }
        for id in 401..417 {
            scene.req(id, "read");
        }
        let sent = (401..417).filter(|id| scene.trace.contains(&format!(" {id}: to"))).count();
        told += &format!("{left} of 3 left by their clients: {sent} of 16 sent at once\n");
    }
    expect![[r#"
        0 of 3 left by their clients: 16 of 16 sent at once
        2 of 3 left by their clients: 16 of 16 sent at once
    "#]]
    .assert_eq(&told);
}

#[test]
fn a_silent_site_is_set_aside_by_the_time_of_its_tier() {
    let mut told = String::new();
    for tier in [0.0, 1.0, 2.0] {
        let mut scene = Scene::new(facts(tier, 1.0), "a@x b@x c@y d@y");
        scene.past(40).wait().trace.clear();
        for id in 1..5 {
            scene.req(id, "read").pass(10);
            if scene.went_to(&["c", "d"]) {
                scene.end(id, DispatchOutcome::Done);
            }
        }
        while !scene.trace.contains("ejected site") {
            scene.pass(10).wait();
        }
        told += scene.trace.lines().find(|line| line.contains("ejected site")).unwrap_or_default();
        told += "\n";
    }
    expect![[r#"
        4700 log: ejected site x: no response for 0.8 s, 2 dispatches overdue, 0 lost
        4630 log: ejected site x: no response for 0.7 s, 2 dispatches overdue, 0 lost
        4330 log: ejected site x: no response for 0.4 s, 2 dispatches overdue, 0 lost
    "#]]
    .assert_eq(&told);
}

/// As where balancers beside the srvs hold what those may have at once.
fn doors() -> Parameters {
    let mut facts = facts(0.0, 1.0);
    facts.insert("level".into(), ParameterValue::Text("doors".into()));
    facts
}

#[test]
fn so_many_doors_of_one_site_and_of_all_may_turn_a_req_away() {
    let mut facts = doors();
    facts.insert("most_turned".into(), ParameterValue::Number(3.0));
    facts.insert("most_turned_by_site".into(), ParameterValue::Number(2.0));
    let mut scene = Scene::new(facts, "a@x b@x c@x d@y e@y f@y");
    for id in 1..4 {
        scene
            .req(id, "charge")
            .pass(1)
            .end(id, DispatchOutcome::Rejected)
            .pass(1)
            .end(id, DispatchOutcome::Rejected);
        scene.pass(1).end(id, DispatchOutcome::Rejected);
    }
    check(
        &mut scene,
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
fn a_req_that_doors_turn_away_goes_on_to_others_without_a_part_of_the_allowance() {
    let mut scene = Scene::new(doors(), "a@x b@x c@x d@x");
    // Nothing was sent before, so the allowance holds one at most.
    for id in 1..3 {
        scene
            .req(id, "charge")
            .pass(1)
            .end(id, DispatchOutcome::Rejected)
            .pass(1)
            .end(id, DispatchOutcome::Rejected)
            .pass(1);
        scene.end(id, DispatchOutcome::Rejected).pass(100).end(id, DispatchOutcome::Done);
    }
    // When all have turned it away it is given up at once, and safely.
    scene.req(3, "charge");
    for _ in 0..4 {
        scene.pass(1).end(3, DispatchOutcome::Rejected);
    }
    check(
        &mut scene,
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
fn where_doors_stand_nothing_is_held_for_a_level_nor_for_cold_srvs() {
    let mut facts = doors();
    facts.insert("cold".into(), ParameterValue::Duration(4_000 * MS));
    facts.insert("cold_share".into(), ParameterValue::Number(0.4));
    let mut scene = Scene::new(facts, "a@x* b@x*");
    for id in 1..40 {
        scene.req(id, "read");
        assert!(scene.holds_out(id), "{id} waits\n{}", scene.trace);
    }
}
