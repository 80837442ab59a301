//! Fleets of whole instances in simulated time, through what befalls them: cuts, sleep, crashes, loss, lists of 10,000
//! srvs, copies that hold other news of the same srv.

mod world;

use ochreshed_gossip::{MS, S};
use ochreshed_replica::outcomes::OutcomeCounts;
use ochreshed_replica::status::ServerStatus;
use world::{World, name};

const SRVS: [(&str, ServerStatus); 3] =
    [("s1", ServerStatus::Serving), ("s2", ServerStatus::Serving), ("s3", ServerStatus::Serving)];

/// A fleet in which all have the same list and know each other.
fn fleet(size: usize, seed: u64) -> World {
    let mut world = World::new(size, seed);
    world.until(60 * S, 100 * MS, World::found);
    (0..size).for_each(|number| world.tell(number, 1, true, &SRVS));
    world.run(S);
    assert!(world.agree());
    world
}

fn knows(srv: &'static str, state: ServerStatus) -> impl Fn(&World) -> bool {
    move |world| world.share(|number, _| world.state(number, srv) == Some(state)) >= 0.99
}

#[test]
fn a_drain_told_to_one_is_known_to_all_within_a_second_and_a_third_lost_within_two() {
    for (loss, most) in [(0.0, S), (0.33, 2 * S)] {
        // When each of the others knew it, over ten fleets.
        let mut after = Vec::new();
        for seed in 1..11 {
            let mut world = fleet(24, seed);
            world.loss = loss;
            world.run(5 * S);
            world.tell(seed as usize, 2, false, &[("s2", ServerStatus::Draining)]);
            let told = world.now;
            let mut known = [None; 24];
            while known.iter().any(Option::is_none) {
                assert!(world.now - told < 20 * S, "one never hears of it, seed {seed}");
                world.run(20 * MS);
                for (number, known) in known.iter_mut().enumerate() {
                    if world.state(number, "s2") == Some(ServerStatus::Draining) {
                        known.get_or_insert(world.now - told);
                    }
                }
            }
            after.extend(known.iter().flatten().copied());
        }
        after.sort_unstable();
        let took = after[after.len() * 99 / 100];
        println!("99% after {} ms, all after {} ms, {loss} lost", took / MS, after[after.len() - 1] / MS);
        assert!(took <= most, "{} ms with {loss} lost", took / MS);
    }
}

#[test]
fn two_halves_with_news_of_the_same_srv_each_agree_two_seconds_after_their_cut_is_healed() {
    for seed in 1..4 {
        let mut world = fleet(24, seed);
        world.cut = Box::new(|a, b| (a < 12) != (b < 12));
        world.run(S);
        // The one half hears that it drains, and later that it serves again; the other, between these, that it is gone.
        world.tell(3, 2, false, &[("s1", ServerStatus::Draining), ("s3", ServerStatus::Draining)]);
        world.tell(15, 3, false, &[("s1", ServerStatus::Gone)]);
        world.run(30 * S);
        world.tell(4, 4, false, &[("s1", ServerStatus::Serving)]);
        world.run(30 * S);
        assert_eq!(
            (world.state(0, "s1"), world.state(23, "s1")),
            (Some(ServerStatus::Serving), Some(ServerStatus::Gone))
        );
        world.cut = Box::new(|_, _| false);
        let took = world.until(10 * S, 50 * MS, |world| world.agree());
        assert!(took <= 2 * S, "{} ms, seed {seed}", took / MS);
        assert!(knows("s1", ServerStatus::Serving)(&world) && knows("s3", ServerStatus::Draining)(&world));
    }
}

#[test]
fn one_way_cuts_hide_nothing_for_long() {
    let mut world = fleet(12, 5);
    // Nobody hears the first three, who hear all.
    world.cut = Box::new(|a, _| a < 3);
    world.run(10 * S);
    world.tell(7, 2, false, &[("s2", ServerStatus::Draining)]);
    world.until(5 * S, 50 * MS, |world| {
        world.share(|n, _| n < 3 || world.state(n, "s2") == Some(ServerStatus::Draining)) >= 1.0
    });
    world.cut = Box::new(|_, _| false);
    world.until(3 * S, 50 * MS, |world| world.agree());
}

#[test]
fn one_that_returns_is_caught_up_half_a_second_after_its_first_contact() {
    for seed in 1..4 {
        let mut world = fleet(12, seed);
        // One sleeps for 30 s, another is killed and starts with nothing; both miss the news.
        world.asleep.insert(5);
        world.crash(6);
        world.tell(0, 2, false, &[("s1", ServerStatus::Gone), ("s2", ServerStatus::Draining)]);
        world.run(30 * S);
        world.asleep.remove(&5);
        world.flush(5);
        world.start(6);
        let up = |world: &World, number| world.state(number, "s2") == Some(ServerStatus::Draining);
        let met = world.until(5 * S, 10 * MS, |world| world.peers[&6].swim().live_members().count() > 0);
        let caught_up = world.until(5 * S, 10 * MS, |world| up(world, 6));
        assert!(caught_up <= S / 2, "{} ms after {} ms, seed {seed}", caught_up / MS, met / MS);
        world.until(2 * S, 10 * MS, |world| up(world, 5) && world.agree());
        // What the sleeper holds of old does not unhear anything.
        assert!(knows("s1", ServerStatus::Gone)(&world));
    }
}

#[test]
fn all_restarted_one_after_the_other_still_know_what_drains() {
    let mut world = fleet(8, 3);
    world.tell(2, 2, false, &[("s3", ServerStatus::Draining)]);
    world.until(2 * S, 50 * MS, |world| world.agree());
    for number in 0..8 {
        world.crash(number);
        world.run(S);
        world.start(number);
        world.until(10 * S, 50 * MS, |world| world.state(number, "s3") == Some(ServerStatus::Draining));
    }
    world.until(10 * S, 50 * MS, |world| world.agree() && world.found());
}

/// Guards against a catch-up of a list of 10,000 that takes minutes, or floods: by datagrams alone it takes half a minute.
#[test]
fn ten_thousand_srvs_after_a_cut_are_told_by_meetings() {
    let mut world = fleet(6, 2);
    let names: Vec<String> = (0..10_000).map(|number| format!("cell-7/srv-{number:05}")).collect();
    let long: Vec<(&str, ServerStatus)> =
        names.iter().map(|name| (name.as_str(), ServerStatus::Serving)).collect();
    (0..6).for_each(|number| world.tell(number, 2, true, &long));
    world.run(3 * S);
    assert!(world.agree());
    // What all were told by their own lists is no news to anybody.
    let calm: u64 = world.bytes.iter().sum();
    world.run(10 * S);
    let each = (world.bytes.iter().sum::<u64>() - calm) / 60;
    assert!(each < 1_000, "{each} bytes a second each");
    world.cut = Box::new(|a, b| (a < 3) != (b < 3));
    world.run(5 * S);
    let drained: Vec<(&str, ServerStatus)> =
        names.iter().step_by(7).map(|name| (name.as_str(), ServerStatus::Draining)).collect();
    world.tell(0, 3, false, &drained);
    world.until(60 * S, 100 * MS, |world| {
        world.peers[&1].store().digest() == world.peers[&0].store().digest()
    });
    world.run(30 * S);
    world.cut = Box::new(|_, _| false);
    let took = world.until(20 * S, 50 * MS, |world| world.agree());
    let meetings: u64 = world.peers.values().map(|peer| peer.traffic().stream_syncs).sum();
    assert!(took <= 3 * S && meetings > 0, "{} ms, {meetings} meetings", took / MS);
}

#[test]
fn counts_reach_the_own_zone_once_and_in_proportion() {
    let mut world = fleet(12, 4);
    world.count(0, "s1", OutcomeCounts { succeeded: 9, failed: 0, lost: 0 });
    world.run(300 * MS);
    assert!(world.counted.is_empty(), "nothing failed: nothing to tell");
    world.count(0, "s1", OutcomeCounts { succeeded: 0, failed: 1, lost: 2 });
    world.count(0, "s2", OutcomeCounts { succeeded: 5, failed: 0, lost: 0 });
    world.run(2 * S);
    // 3 of 12 failed: of four outcomes one.
    let told = OutcomeCounts { succeeded: 2, failed: 0, lost: 1 };
    for number in 1..12 {
        let heard = world.counted.get(&number).and_then(|counted| counted.get("s1")).copied();
        let expected = (number % 3 == 0).then_some(OutcomeCounts { succeeded: 3, ..told });
        assert_eq!(heard, expected, "n{number}");
        assert!(world.counted.get(&number).is_none_or(|counted| !counted.contains_key("s2")));
    }
    // What was counted too long ago is not told any more.
    world.count(0, "s1", OutcomeCounts { succeeded: 9, failed: 0, lost: 0 });
    world.run(3 * S);
    world.counted.clear();
    world.count(0, "s1", OutcomeCounts { succeeded: 0, failed: 0, lost: 1 });
    world.run(2 * S);
    assert_eq!(world.counted[&3]["s1"], OutcomeCounts { succeeded: 0, failed: 0, lost: 1 });
}

#[test]
fn a_name_used_by_two_live_processes_is_kept_by_one() {
    let mut world = fleet(6, 6);
    // The second n2 is at another address: that of number 9.
    let settings = ochreshed_gossip::node::NodeSettings {
        fleet: "test".into(),
        name: name(2),
        address: world::address(9),
        zone: "z0".into(),
        start_id: 1,
        seeds: vec![world::address(0)],
        membership: ochreshed_membership::swim::SwimConfig::default(),
    };
    world.bytes.resize(10, 0);
    world.peers.insert(9, ochreshed_gossip::node::GossipNode::new(settings, world.now));
    world.flush(9);
    world.run(20 * S);
    // One of the two says nothing more, and the others go on as they were.
    let speaks = |world: &World, number: usize| {
        world.peers[&number].next_tick_at() < world.now + 60 * S
            && world.peers[&number].swim().next_tick_at() < u64::MAX
    };
    assert!(speaks(&world, 2) != speaks(&world, 9), "{} {}", speaks(&world, 2), speaks(&world, 9));
    assert!([0, 1, 3, 4, 5].iter().all(|number| world.peers[number].swim().live_members().count() == 5));
}

#[test]
fn a_message_of_another_fleet_or_of_nobody_changes_nothing() {
    let mut world = fleet(3, 7);
    let mut garbage = vec![7u8; 900];
    for length in [0, 1, 11, 15, 40, 900] {
        garbage.truncate(900);
        let peer = world.peers.get_mut(&0).expect("n0");
        peer.receive(world.now, world::address(50), &garbage[..length]);
        let mut answers = 0;
        while let Some(output) = peer.poll_output() {
            answers += usize::from(matches!(output, ochreshed_gossip::node::Output::Send { .. }));
        }
        assert_eq!(answers, 0, "an answer to {length} bytes of nobody");
    }
    assert_eq!(world.peers[&0].traffic().rejected.values().sum::<u64>(), 6);
    assert!(world.peers[&0].traffic().rejected.len() <= 5, "ways to be wrong are few");
}
