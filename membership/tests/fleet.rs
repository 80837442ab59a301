//! What the protocol guarantees for whole fleets, in simulated time and over several seeds: messages that are delayed, lost,
//! duplicated or cut off; processes that crash, are suspended, resume and restart.

mod simulated_fleet;

use std::collections::BTreeSet;

use ochreshed_membership::record::MemberState;
use ochreshed_membership::swim::{Destination, Output, Swim, SwimConfig};
use ochreshed_membership::{S, wire};
use rand::Rng;
use simulated_fleet::{SimulatedFleet, address};

#[test]
fn members_find_each_other_and_stay_silent_about_it_when_nothing_changes() {
    for seed in 1..4 {
        let mut fleet = SimulatedFleet::new(24, seed);
        fleet.run_until(10 * S, |fleet| fleet.all_count(24));
        fleet.run(5 * S);
        let from = fleet.now;
        (fleet.sent_messages, fleet.sent_bytes) = (vec![0; 24], vec![0; 24]);
        fleet.run(60 * S);
        assert_eq!(fleet.events_since(from).count(), 0, "members that failed or joined");
        let bytes = fleet.sent_bytes.iter().max().expect("a member") / 60;
        assert!(bytes < 1_000, "{bytes} bytes a second");
    }
}

#[test]
fn messages_a_second_do_not_grow_with_the_fleet() {
    let message_rate = |size: usize| {
        let mut fleet = SimulatedFleet::new(size, 1);
        fleet.run_until(30 * S, |fleet| fleet.all_count(size));
        fleet.run(10 * S);
        fleet.sent_messages = vec![0; size];
        fleet.run(10 * S);
        fleet.sent_messages.iter().sum::<usize>() as f64 / size as f64 / 10.0
    };
    let (small, large) = (message_rate(10), message_rate(100));
    assert!(large < 1.2 * small, "{small} a second among 10, {large} among 100");
}

#[test]
fn a_crash_is_noticed_by_all_and_a_restart_is_told_from_the_old_process() {
    for seed in 1..4 {
        let mut fleet = SimulatedFleet::new(24, seed);
        fleet.run_until(10 * S, |fleet| fleet.all_count(24));
        let old = fleet.members[&5].own_record().start_id;
        fleet.members.remove(&5);
        let took = fleet.run_until(20 * S, |fleet| fleet.all_count(23));
        assert!(took < 12 * S, "{took} ns");
        fleet.start(5);
        let from = fleet.now;
        fleet.run_until(10 * S, |fleet| fleet.all_count(24));
        let new = fleet.members[&5].own_record().start_id;
        let is_restart = |output: &Output| matches!(output, Output::Joined { name, start_id } if name == "n5" && *start_id == new);
        let informed: BTreeSet<usize> = fleet
            .events_since(from)
            .filter(|(_, output)| is_restart(output))
            .map(|(member, _)| member)
            .collect();
        assert_eq!((informed.len(), new == old), (23, false));
    }
}

/// Guards against a process that restarts while its predecessor still counts as alive, and is taken for it.
#[test]
fn a_process_that_restarts_at_once_is_known_as_a_new_one() {
    let mut fleet = SimulatedFleet::new(12, 3);
    fleet.run_until(10 * S, |fleet| fleet.all_count(12));
    fleet.members.remove(&7);
    fleet.start(7);
    let new = fleet.members[&7].own_record().start_id;
    let all_know = |fleet: &SimulatedFleet| {
        let known = |swim: &Swim| {
            swim.members().get("n7").map(|member| (member.record.start_id, member.record.state))
        };
        fleet
            .members
            .iter()
            .filter(|(member, _)| **member != 7)
            .all(|(_, swim)| known(swim) == Some((new, MemberState::Alive)))
    };
    fleet.run_until(10 * S, all_know);
    fleet.run(20 * S);
    assert!(all_know(&fleet) && fleet.all_count(12));
}

#[test]
fn a_member_that_leaves_is_not_reported_as_failed() {
    let mut fleet = SimulatedFleet::new(12, 1);
    fleet.run_until(10 * S, |fleet| fleet.all_count(12));
    let now = fleet.now;
    fleet.members.get_mut(&4).expect("a member").leave(now);
    fleet.process_outputs(4);
    fleet.run_until(5 * S, |fleet| {
        fleet.members.keys().filter(|member| **member != 4).all(|member| fleet.live_count(*member) == 11)
    });
    assert!(
        fleet.events_since(now).all(|(_, output)| matches!(output, Output::Left { .. })),
        "reported as something else than left"
    );
}

#[test]
fn the_halves_of_a_partition_of_a_minute_find_each_other() {
    for seed in 1..4 {
        let mut fleet = SimulatedFleet::new(24, seed);
        fleet.run_until(10 * S, |fleet| fleet.all_count(24));
        fleet.is_cut = Box::new(|from, to| (from < 12) != (to < 12));
        fleet.run(60 * S);
        assert!(fleet.all_count(12), "a half does not agree on its own members");
        fleet.is_cut = Box::new(|_, _| false);
        let took = fleet.run_until(20 * S, |fleet| fleet.all_count(24));
        assert!(took <= 4 * S, "{took} ns");
    }
}

#[test]
fn a_resumed_member_learns_that_it_was_dead_and_revives_no_other() {
    let mut fleet = SimulatedFleet::new(12, 2);
    fleet.run_until(10 * S, |fleet| fleet.all_count(12));
    fleet.suspended.insert(3);
    fleet.process_outputs(3);
    fleet.run(10 * S);
    // Member 8 ends for good while member 3 is suspended.
    fleet.members.remove(&8);
    fleet.run(30 * S);
    assert!(fleet.all_count(10));
    let from = fleet.now;
    fleet.suspended.remove(&3);
    fleet.process_outputs(3);
    fleet.run_until(15 * S, |fleet| fleet.all_count(11));
    fleet.run(10 * S);
    let is_revival = |output: &Output| matches!(output, Output::Joined { name, .. } if name == "n8");
    assert!(
        !fleet.events_since(from).any(|(member, output)| member != 3 && is_revival(output)),
        "a dead member was revived by the out-of-date records of a resumed one"
    );
    assert!(
        fleet.events_since(from).any(|(member, output)| member == 3 && *output == Output::DeclaredDead),
        "the resumed member does not know that it was declared dead"
    );
}

#[test]
fn with_a_third_of_the_messages_lost_and_some_late_few_live_members_are_declared_dead() {
    for seed in 1..4 {
        let mut fleet = SimulatedFleet::new(24, seed);
        fleet.run_until(10 * S, |fleet| fleet.all_count(24));
        fleet.loss = 0.33;
        let from = fleet.now;
        fleet.run(60 * S);
        let failures =
            fleet.events_since(from).filter(|(_, output)| matches!(output, Output::Failed { .. })).count();
        assert!(failures <= 24, "live members reported as failed {failures} times");
        fleet.loss = 0.0;
        fleet.run_until(10 * S, |fleet| fleet.all_count(24));
    }
}

#[test]
fn of_two_live_processes_with_one_name_one_goes_silent() {
    let mut fleet = SimulatedFleet::new(8, 4);
    fleet.run_until(10 * S, |fleet| fleet.all_count(8));
    // The second process has the name of member 5 and another address.
    let start_id = fleet.rng.random();
    let seeds = vec![address(0)];
    fleet.sent_messages.push(0);
    fleet.sent_bytes.push(0);
    let swim = Swim::new(SwimConfig::default(), "n5", address(8), "a", start_id, seeds, fleet.now);
    fleet.members.insert(8, swim);
    fleet.process_outputs(8);
    let from = fleet.now;
    fleet.run(30 * S);
    let displaced =
        fleet.events_since(from).filter(|(_, output)| matches!(output, Output::Displaced { .. })).count();
    assert_eq!(displaced, 1);
    let (first, second) = (fleet.members[&5].own_record(), fleet.members[&8].own_record());
    let greater_start = first.start_id.max(second.start_id);
    assert_eq!(fleet.members[&0].members()["n5"].record.start_id, greater_start);
}

/// Guards against amplification: a fleet must not flood a third party whose address somebody else puts on a message.
#[test]
fn no_answer_to_an_unknown_process_is_larger_than_its_request() {
    let mut fleet = SimulatedFleet::new(30, 1);
    fleet.run_until(15 * S, |fleet| fleet.all_count(30));
    let seeds = vec![address(0)];
    let mut joining = Swim::new(SwimConfig::default(), "x", address(99), "a", 77, seeds, fleet.now);
    joining.tick(fleet.now);
    let Some(Output::Send { message, .. }) = joining.poll_output() else { panic!("no join") };
    let request_bytes = wire::encode(5, &message).len();
    let now = fleet.now;
    let swim = fleet.members.get_mut(&0).expect("a member");
    swim.receive(now, address(99), &message);
    while let Some(output) = swim.poll_output() {
        if let Output::Send { to: Destination::Address(_), message } = output {
            assert!(wire::encode(5, &message).len() <= request_bytes);
        }
    }
    // Other messages than joins get no answer at all.
    for body in [
        wire::MessageBody::Ping { sequence: 1 },
        wire::MessageBody::Gossip,
        wire::MessageBody::PingRequest { sequence: 1, target: "n1".into() },
    ] {
        let sender = wire::Sender { name: "y".into(), start_id: 1 };
        let message = wire::Message { sender, body, records: Vec::new(), extensions: Vec::new() };
        swim.receive(now, address(98), &message);
        assert_eq!(swim.poll_output(), None);
    }
}
