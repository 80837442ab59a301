//! What the move to another shape of deployment brought: rule sets whose response targets lie far apart, told costs.

mod helper;

use helper::{MS, Scene, facts};
use ochreshed::{DispatchOutcome, ParameterValue, Parameters};

/// One tier that is first and last, with response targets of 250 ms ("read"), 1 s and 1 s.
fn one_tier(instances: f64) -> Parameters {
    let mut facts = facts(0.0, instances);
    facts.insert("tiers".into(), ParameterValue::Number(1.0));
    if let Some(ParameterValue::List(sets)) = facts.get_mut("rule_sets") {
        sets[0].insert("response_target".into(), ParameterValue::Duration(250 * MS));
    }
    facts
}

/// Guards against srvs, and then their sites, set aside for reqs that were in time by their own rule set's target.
#[test]
fn a_req_is_late_by_its_own_target_not_by_the_shortest() {
    let late = |rule_set: &str| {
        let mut scene = Scene::new(one_tier(1.0), "a@x b@x c@y d@y");
        scene.past(40);
        for id in 0..8 {
            scene.req(id, rule_set).pass(600).end(id, DispatchOutcome::Done).wait();
        }
        scene.trace.contains("log: ejected")
    };
    assert!(late("read"), "a read that takes 600 ms of 250 is late");
    assert!(!late("charge"), "a charge that takes 600 ms of 1,000 is not");
}

/// Guards against heavy reqs that count as their srvs' failures where their cost was told beforehand.
#[test]
fn a_req_that_was_told_to_be_heavy_is_not_late_for_that() {
    let late = |work: u64| {
        let mut scene = Scene::new(one_tier(1.0), "a@x b@x c@y d@y");
        scene.work = Some(100 * MS);
        scene.past(40);
        scene.work = Some(work * MS);
        for id in 0..4 {
            scene.req(id, "read").pass(500).end(id, DispatchOutcome::Done).wait();
        }
        scene.trace.contains("log: ejected")
    };
    assert!(late(100));
    assert!(!late(500));
}

/// Guards against levels of two or three in flight that a req of least utility fills as likely as one of the most.
#[test]
fn when_answers_are_slow_a_quiet_instance_keeps_its_level_for_utility() {
    let sent = |rule_set: &str| {
        let mut facts = one_tier(20.0);
        facts.insert("utility_by".into(), ParameterValue::Text("work".into()));
        let mut scene = Scene::new(facts, "a@x b@x c@y d@y");
        scene.past(400);
        for id in 0..30 {
            scene
                .req(id, ["read", "charge"][id as usize % 2])
                .pass(400)
                .end(id, DispatchOutcome::Done)
                .wait();
        }
        scene.trace.clear();
        for id in 100..120 {
            scene.req(id, rule_set);
        }
        scene.trace.matches(": to ").count()
    };
    assert!(sent("charge") > sent("read"), "{} charges, {} reads", sent("charge"), sent("read"));
}

/// Guards against srvs that can hold one or two reqs and are kept crowded by a floor made for larger ones.
#[test]
fn the_floor_of_a_level_goes_by_what_a_srv_holds_without_load() {
    let sent = |at_once: u64| {
        let mut scene = Scene::new(one_tier(2.0), "a@x b@x c@y d@y");
        for second in 0..20 {
            for id in 0..at_once {
                scene.req(100 * second + id, "charge");
            }
            scene.pass(700);
            for id in 0..at_once {
                if scene.holds(100 * second + id) {
                    scene.end(100 * second + id, DispatchOutcome::Done);
                }
            }
            scene.pass(300);
        }
        // Little is done, and slowly, for longer than the levels remember.
        for id in 5_000..5_005 {
            scene.req(id, "charge").pass(1_400).end(id, DispatchOutcome::Done);
        }
        scene.trace.clear();
        for id in 6_000..6_040 {
            scene.req(id, "charge");
        }
        scene.trace.matches(": to ").count()
    };
    assert!(sent(2) < sent(8), "{} where few are held, {} where many are", sent(2), sent(8));
}

/// Guards against connections that the network drops unseen once they are idle for a second: what is sent on one is
/// reset, or gets no answer, though a new one would carry it.
#[test]
fn connections_are_closed_before_the_age_at_which_they_are_lost() {
    let closed = |how: DispatchOutcome| {
        let mut scene = Scene::new(one_tier(8.0), "a@x b@x c@x d@x");
        scene.past(20).wait();
        for id in 0..8 {
            scene.req(id, "charge").pass(200).end(id, DispatchOutcome::Done).pass(10).wait();
        }
        // Idle for over a second: each loses what is sent first.
        scene.pass(1_000);
        for id in 10..14 {
            scene.req(id, "charge").pass(50).end(id, how).wait();
        }
        scene.pass(1_000).wait();
        scene.trace.matches("Close").count()
    };
    assert_eq!(closed(DispatchOutcome::Done), 0);
    assert!(closed(DispatchOutcome::Reset) >= 4, "{} closed after resets", closed(DispatchOutcome::Reset));
    assert!(
        closed(DispatchOutcome::TimedOut) >= 4,
        "{} closed after silence",
        closed(DispatchOutcome::TimedOut)
    );
}
