//! Fleets in simulated time: messages with delay, loss, doubling and cuts; processes that crash, sleep, return and start
//! anew. What is held is the protocol's promises, for whole fleets, over several seeds.

mod world;

use std::collections::BTreeSet;

use ochreshed_membership::record::MemberState;
use ochreshed_membership::swim::{Destination, Output, Swim, SwimConfig};
use ochreshed_membership::{S, wire};
use rand::Rng;
use world::{World, address};

#[test]
fn members_find_each_other_and_stay_without_a_word_when_all_is_calm() {
    for seed in 1..4 {
        let mut world = World::new(24, seed);
        world.until(10 * S, |world| world.all_agree(24));
        world.run(5 * S);
        let from = world.now;
        (world.sent, world.bytes) = (vec![0; 24], vec![0; 24]);
        world.run(60 * S);
        assert_eq!(world.since(from).count(), 0, "somebody was doubted");
        let bytes = world.bytes.iter().max().expect("some") / 60;
        assert!(bytes < 1_000, "{bytes} bytes a second");
    }
}

#[test]
fn messages_a_second_do_not_grow_with_the_fleet() {
    let sent = |size: usize| {
        let mut world = World::new(size, 1);
        world.until(30 * S, |world| world.all_agree(size));
        world.run(10 * S);
        world.sent = vec![0; size];
        world.run(10 * S);
        world.sent.iter().sum::<usize>() as f64 / size as f64 / 10.0
    };
    let (few, many) = (sent(10), sent(100));
    assert!(many < 1.2 * few, "{few} a second among 10, {many} among 100");
}

#[test]
fn a_crash_is_heard_by_all_and_a_new_start_is_told_from_the_old_one() {
    for seed in 1..4 {
        let mut world = World::new(24, seed);
        world.until(10 * S, |world| world.all_agree(24));
        let old = world.members[&5].own_record().start_id;
        world.members.remove(&5);
        let took = world.until(20 * S, |world| world.all_agree(23));
        assert!(took < 12 * S, "{took}");
        world.start(5);
        let from = world.now;
        world.until(10 * S, |world| world.all_agree(24));
        let new = world.members[&5].own_record().start_id;
        let told = |what: &Output| matches!(what, Output::Joined { name, start_id } if name == "n5" && *start_id == new);
        let who: BTreeSet<usize> =
            world.since(from).filter(|(_, what)| told(what)).map(|(who, _)| who).collect();
        assert_eq!((who.len(), new == old), (23, false));
    }
}

/// Guards against a process that is back within the time that its predecessor is still taken for alive.
#[test]
fn one_that_starts_anew_at_once_is_another_process_to_all() {
    let mut world = World::new(12, 3);
    world.until(10 * S, |world| world.all_agree(12));
    world.members.remove(&7);
    world.start(7);
    let new = world.members[&7].own_record().start_id;
    let known = |world: &World| {
        let of = |swim: &Swim| {
            swim.members().get("n7").map(|member| (member.record.start_id, member.record.state))
        };
        world
            .members
            .iter()
            .filter(|(number, _)| **number != 7)
            .all(|(_, swim)| of(swim) == Some((new, MemberState::Alive)))
    };
    world.until(10 * S, known);
    world.run(20 * S);
    assert!(known(&world) && world.all_agree(12));
}

#[test]
fn one_that_leaves_is_no_loss() {
    let mut world = World::new(12, 1);
    world.until(10 * S, |world| world.all_agree(12));
    let now = world.now;
    world.members.get_mut(&4).expect("there").leave(now);
    world.flush(4);
    world.until(5 * S, |world| {
        world.members.keys().filter(|number| **number != 4).all(|number| world.there(*number) == 11)
    });
    assert!(world.since(now).all(|(_, what)| matches!(what, Output::Left { .. })), "taken for lost");
}

#[test]
fn halves_that_were_cut_for_a_minute_find_each_other() {
    for seed in 1..4 {
        let mut world = World::new(24, seed);
        world.until(10 * S, |world| world.all_agree(24));
        world.cut = Box::new(|a, b| (a < 12) != (b < 12));
        world.run(60 * S);
        assert!(world.all_agree(12), "a half does not agree on itself");
        world.cut = Box::new(|_, _| false);
        let took = world.until(20 * S, |world| world.all_agree(24));
        assert!(took <= 4 * S, "{took}");
    }
}

#[test]
fn one_that_slept_hears_of_it_and_brings_back_nobody() {
    let mut world = World::new(12, 2);
    world.until(10 * S, |world| world.all_agree(12));
    world.asleep.insert(3);
    world.flush(3);
    world.run(10 * S);
    // While it sleeps another one goes for good.
    world.members.remove(&8);
    world.run(30 * S);
    assert!(world.all_agree(10));
    let from = world.now;
    world.asleep.remove(&3);
    world.flush(3);
    world.until(15 * S, |world| world.all_agree(11));
    world.run(10 * S);
    let back = |what: &Output| matches!(what, Output::Joined { name, .. } if name == "n8");
    assert!(
        !world.since(from).any(|(who, what)| who != 3 && back(what)),
        "the dead came back from one that slept"
    );
    assert!(
        world.since(from).any(|(who, what)| who == 3 && *what == Output::DeclaredDead),
        "it does not know that it slept"
    );
}

#[test]
fn a_third_of_the_messages_lost_and_some_late_takes_nobody_for_dead_for_long() {
    for seed in 1..4 {
        let mut world = World::new(24, seed);
        world.until(10 * S, |world| world.all_agree(24));
        world.loss = 0.33;
        let from = world.now;
        world.run(60 * S);
        let lost = world.since(from).filter(|(_, what)| matches!(what, Output::Failed { .. })).count();
        assert!(lost <= 24, "{lost} losses of members that live");
        world.loss = 0.0;
        world.until(10 * S, |world| world.all_agree(24));
    }
}

#[test]
fn of_two_live_processes_of_one_name_one_goes_silent() {
    let mut world = World::new(8, 4);
    world.until(10 * S, |world| world.all_agree(8));
    // At another address, with the name of the sixth.
    let start = world.chance.random();
    let seeds = vec![address(0)];
    world.sent.push(0);
    world.bytes.push(0);
    let swim = Swim::new(SwimConfig::default(), "n5", address(8), "a", start, seeds, world.now);
    world.members.insert(8, swim);
    world.flush(8);
    let from = world.now;
    world.run(30 * S);
    let displaced = world.since(from).filter(|(_, what)| matches!(what, Output::Displaced { .. })).count();
    assert_eq!(displaced, 1);
    let (a, b) = (world.members[&5].own_record(), world.members[&8].own_record());
    let stays = a.start_id.max(b.start_id);
    assert_eq!(world.members[&0].members()["n5"].record.start_id, stays);
}

/// Guards against fleets that are used to drown somebody: no answer to a stranger is larger than its question.
#[test]
fn no_answer_to_a_stranger_is_larger_than_its_question() {
    let mut world = World::new(30, 1);
    world.until(15 * S, |world| world.all_agree(30));
    let mut stranger =
        Swim::new(SwimConfig::default(), "x", address(99), "a", 77, vec![address(0)], world.now);
    stranger.tick(world.now);
    let Some(Output::Send { message, .. }) = stranger.poll_output() else { panic!("it asks") };
    let asked = wire::encode(5, &message).len();
    let now = world.now;
    let swim = world.members.get_mut(&0).expect("there");
    swim.receive(now, address(99), &message);
    while let Some(output) = swim.poll_output() {
        if let Output::Send { to: Destination::Address(_), message } = output {
            assert!(wire::encode(5, &message).len() <= asked);
        }
    }
    // What is no join gets none at all.
    for body in [
        wire::MessageBody::Ping { sequence: 1 },
        wire::MessageBody::Gossip,
        wire::MessageBody::PingRequest { sequence: 1, target: "n1".into() },
    ] {
        let sender = wire::Sender { name: "y".into(), start_id: 1 };
        swim.receive(
            now,
            address(98),
            &wire::Message { sender, body, records: Vec::new(), extensions: Vec::new() },
        );
        assert_eq!(swim.poll_output(), None);
    }
}
