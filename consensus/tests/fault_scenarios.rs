//! Severe faults, on the core as shipped without I/O: a replica cut off for twenty seconds, a second loss at every
//! step of a replacement, a leaving replica that may hold the last copy, hundreds of changes while a replica is away.
//! `cluster` checks after each event what must always hold; each part has a mutation that must be noticed.

mod cluster;

use std::sync::Arc;

use cluster::{MS, World, at};
use ochreshed_consensus::core::{Core, Mutation};
use ochreshed_consensus::messages::*;
use rand::Rng;

fn core(world: &World, node: usize) -> &Core {
    world.nodes[node].core.as_ref().expect("it runs")
}

/// Lets time pass by 50 ms steps for the nodes that run; messages on cut links are lost.
fn go_on(world: &mut World, ms: u64, mut each: impl FnMut(&mut World)) {
    let end = world.now + ms * MS;
    while world.now < end && world.violation.is_none() {
        world.now += 50 * MS;
        each(world);
        let nodes = world.nodes.len();
        (0..nodes)
            .filter(|node| world.is_up(*node))
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|n| world.tick(n));
        deliver_all(world);
    }
}

fn deliver_all(world: &mut World) {
    for _ in 0..200 {
        (0..world.nodes.len()).for_each(|node| world.sync(node, usize::MAX));
        let cut = world.cut_links.clone();
        world.in_flight.retain(|envelope| !cut.contains(&(envelope.message.from.address, envelope.to)));
        if world.in_flight.is_empty() {
            return;
        }
        (0..world.in_flight.len()).for_each(|_| world.deliver(0));
    }
}

/// Which links are cut.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Cut {
    Both(&'static [usize]),
    /// What these nodes send is lost; what is sent to them arrives.
    Out(&'static [usize]),
    /// What is sent to these nodes is lost.
    In(&'static [usize]),
}

fn cut(world: &mut World, how: Cut) {
    let (Cut::Both(away) | Cut::Out(away) | Cut::In(away)) = how;
    for one in away {
        for other in (0..world.nodes.len()).filter(|other| !away.contains(other)) {
            if !matches!(how, Cut::In(_)) {
                world.cut_links.insert((at(*one), other));
            }
            if !matches!(how, Cut::Out(_)) {
                world.cut_links.insert((at(other), *one));
            }
        }
    }
}

/// What a day with a cut has come to.
#[derive(Default, Debug)]
struct Cutoff {
    /// Orders and reads answered at those cut off, well and with no word.
    well: usize,
    unsure: usize,
    taken_by_majority: usize,
}

/// Writes, reads and repeated writes at all replicas, before, during and after a cut of twenty seconds.
fn twenty_seconds(seed: u64, how: Cut, mutation: Option<Mutation>) -> (Cutoff, Option<String>) {
    let (Cut::Both(away) | Cut::Out(away) | Cut::In(away)) = how;
    let mut world = World::new(seed, 4, 3, 3, mutation);
    go_on(&mut world, 600, |_| {});
    let mut came = Cutoff::default();
    let mut calls: Vec<(u64, usize, Option<Arc<RegisterValue>>)> = Vec::new();
    let operate = |world: &mut World, calls: &mut Vec<(u64, usize, Option<Arc<RegisterValue>>)>| {
        let node = world.rng.random_range(0..4);
        if !world.is_up(node) {
            return;
        }
        let sent = (!calls.is_empty()).then(|| world.rng.random_range(0..calls.len()));
        let again = sent.and_then(|sent| calls[sent].2.clone());
        let value = match world.rng.random_range(0..6) {
            0 => Some(world.next_configuration()),
            1 => Some(world.conflicting_configuration()),
            2 => again,
            _ => None,
        };
        let call = world.request(
            node,
            value.clone().map_or(CoreRequest::ReadConfiguration, CoreRequest::ReplaceConfiguration),
        );
        calls.push((call, node, value));
    };
    go_on(&mut world, 2_000, |world| operate(world, &mut calls));
    cut(&mut world, how);
    go_on(&mut world, 1_500, |_| {});
    let from = calls.len();
    let known = world.read_floor;
    go_on(&mut world, 18_500, |world| operate(world, &mut calls));
    // What was asked late is answered in its time.
    go_on(&mut world, 3_500, |_| {});
    for (call, node, value) in &calls[from..] {
        let response = world.responses.get(call);
        match (away.contains(node), response, value) {
            (true, Some(CoreResponse::Unavailable), _) => came.unsure += 1,
            (false, Some(CoreResponse::Accepted), _) => came.taken_by_majority += 1,
            // What is not above a version that was known as safe before the cut alters nothing, and may be said
            // anywhere.
            (true, Some(CoreResponse::Accepted | CoreResponse::Conflict), Some(value))
                if value.version <= known.version => {}
            (true, Some(_), _) => came.well += 1,
            _ => {}
        }
    }
    world.cut_links.clear();
    go_on(&mut world, 1_500, |_| {});
    let newest = world.read_floor;
    let behind = (0..4)
        .filter(|node| core(&world, *node).stored_configuration().map(|held| held.revision()) < Some(newest));
    let behind = behind.count();
    let violation = world.violation.or((behind > 0).then(|| format!("{behind} are behind after the cut")));
    (came, violation)
}

const CUTS: [Cut; 6] = [
    Cut::Both(&[0]),
    Cut::Both(&[2]),
    Cut::Out(&[1]),
    Cut::In(&[1]),
    // Halves: one with two of three members and one with a member and the spare, and the other way round.
    Cut::Both(&[0, 3]),
    Cut::Both(&[1, 3]),
];

/// Guards against a cut-off replica that returns an old configuration, or rejects or acknowledges writes.
#[test]
fn replicas_cut_off_for_twenty_seconds_answer_nothing_and_the_majority_continues() {
    for how in CUTS {
        let (mut unsure, mut taken) = (0, 0);
        for seed in 0..4 {
            let (came, violation) = twenty_seconds(seed, how, None);
            assert_eq!(violation, None, "{how:?}, seed {seed}");
            // A lone replica that hears all may know what is safe by the others' beats; it confirms nothing by itself.
            assert!(came.well == 0 || matches!(how, Cut::Out(_)), "{how:?}, seed {seed}: {came:?}");
            unsure += came.unsure;
            taken += came.taken_by_majority;
        }
        assert!(unsure > 20 && taken > 100, "{how:?}: {unsure} unsure, {taken} taken");
    }
}

#[test]
fn notices_reads_without_a_majority() {
    let violation = (0..4)
        .filter_map(|seed| twenty_seconds(seed, Cut::Both(&[0]), Some(Mutation::ReadWithoutMajority)).1)
        .next();
    assert!(violation.is_some_and(|violation| violation.starts_with("read")));
}

/// A replica loses its disk and is voted in again; another one goes down at the nth message of that, and comes back
/// three seconds later. Returns how many messages there were.
fn second_loss(step: usize, second: usize, wipe: bool) -> usize {
    let mut world = World::new(step as u64, 4, 3, 3, None);
    go_on(&mut world, 600, |_| {});
    let (value, other) = (world.next_configuration(), world.next_configuration());
    let order = world.request(0, CoreRequest::ReplaceConfiguration(value));
    let lease = world.request(2, CoreRequest::AcquireLease { key: 7, token: 21, time_left_ms: 1_000 });
    go_on(&mut world, 300, |_| {});
    assert_eq!(
        (&world.responses[&order], &world.responses[&lease]),
        (&CoreResponse::Accepted, &CoreResponse::LeaseGranted)
    );
    // The last order reaches two of three only.
    cut(&mut world, Cut::Both(if second == 0 { &[0] } else { &[2] }));
    let late = world.request(1, CoreRequest::ReplaceConfiguration(other));
    go_on(&mut world, 300, |_| {});
    assert_eq!(world.responses[&late], CoreResponse::Accepted);
    world.cut_links.clear();
    world.wipe(1);
    world.start(1, false);
    let (mut messages, mut down) = (0, None);
    let mut end = world.now + 4_000 * MS;
    while world.now < end && world.violation.is_none() {
        world.now += 50 * MS;
        for node in 0..4 {
            if down.is_some_and(|(node_down, until)| node_down == node && world.now >= until) {
                world.start(node, false);
                down = Some((node, u64::MAX));
            }
            if world.is_up(node) {
                world.tick(node);
            }
        }
        for _ in 0..400 {
            (0..4).for_each(|node| world.sync(node, usize::MAX));
            if world.in_flight.is_empty() {
                break;
            }
            messages += 1;
            if messages == step {
                match wipe && world.may_wipe(second) {
                    true => world.wipe(second),
                    false => world.crash(second),
                }
                down = Some((second, world.now + 3_000 * MS));
                end = world.now + 9_000 * MS;
            }
            world.deliver(0);
        }
    }
    let about = format!("step {step}, {second} is lost, with its disk: {wipe}");
    assert_eq!(world.violation, None, "{about}");
    let (read, again) = (
        world.request(3, CoreRequest::ReadConfiguration),
        world.request(0, CoreRequest::AcquireLease { key: 7, token: 22, time_left_ms: 100 }),
    );
    let next = world.next_configuration();
    go_on(&mut world, 300, |_| {});
    let read = world.responses.get(&read);
    assert!(
        matches!(read, Some(CoreResponse::Register(Some(value))) if value.version == 3),
        "{about}: {read:?}"
    );
    assert_eq!(world.responses.get(&again), Some(&CoreResponse::LeaseHeld(LeaseOutcome::Pending)), "{about}");
    let next = world.request(2, CoreRequest::ReplaceConfiguration(next));
    go_on(&mut world, 300, |_| {});
    assert_eq!(world.responses.get(&next), Some(&CoreResponse::Accepted), "{about}");
    assert_eq!(world.violation, None, "{about}");
    messages
}

/// Guards against a second loss right after a repair that costs the majority for good, or loses what was committed.
#[test]
fn a_second_loss_at_any_step_of_a_replacement_loses_nothing_committed() {
    for (second, wipe) in [(0, false), (2, false), (0, true), (2, true)] {
        let all = second_loss(usize::MAX, second, wipe);
        assert!(all > 100, "{all} messages");
        // Most of them are beats of the calm after it; the first ones are walked one by one.
        let steps = (1..120.min(all)).chain((120..all).step_by(37));
        steps.for_each(|step| {
            second_loss(step, second, wipe);
        });
    }
}

/// The spare takes the place of a leaving replica that is removed with its disk as soon as it says that it may stop,
/// while a member that lost its disk a moment ago is still catching up. Returns whether the cluster continues without
/// it, and why not.
fn leaver_with_the_last_copy(delay_ms: u64, mutation: Option<Mutation>) -> Result<(), String> {
    let mut world = World::new(delay_ms, 4, 3, 3, mutation);
    go_on(&mut world, 600, |_| {});
    // 0 misses what 1 and 2 agree on.
    cut(&mut world, Cut::Both(&[0]));
    cut(&mut world, Cut::Both(&[3]));
    let value = world.next_configuration();
    let order = world.request(1, CoreRequest::ReplaceConfiguration(value));
    let lease = world.request(2, CoreRequest::AcquireLease { key: 7, token: 21, time_left_ms: 1_000 });
    go_on(&mut world, 300, |_| {});
    assert_eq!(
        (&world.responses[&order], &world.responses[&lease]),
        (&CoreResponse::Accepted, &CoreResponse::LeaseGranted)
    );
    world.crash(0);
    world.wipe(1);
    world.cut_links.clear();
    world.start(0, false);
    world.start(1, false);
    go_on(&mut world, delay_ms, |_| {});
    world.leave(2);
    let mut waited = 0;
    while !core(&world, 2).may_stop() && waited < 5_000 {
        go_on(&mut world, 50, |_| {});
        waited += 50;
    }
    world.wipe(2);
    go_on(&mut world, 6_000, |_| {});
    let read = world.request(0, CoreRequest::ReadConfiguration);
    let again = world.request(3, CoreRequest::AcquireLease { key: 7, token: 22, time_left_ms: 100 });
    let next = world.next_configuration();
    let next = world.request(1, CoreRequest::ReplaceConfiguration(next));
    go_on(&mut world, 3_500, |_| {});
    let [read, again, next] = [read, again, next].map(|call| world.responses.get(&call));
    let well = matches!(read, Some(CoreResponse::Register(Some(value))) if value.version >= 2)
        && again == Some(&CoreResponse::LeaseHeld(LeaseOutcome::Pending))
        && next == Some(&CoreResponse::Accepted);
    let about = format!("left after {delay_ms} ms, waited {waited}: {read:?} {again:?} {next:?}");
    match world.violation {
        None if well => Ok(()),
        violation => Err(format!("{about} {violation:?}")),
    }
}

/// Guards against a replica that stops while it alone stores what was committed.
#[test]
fn a_leaving_replica_stops_only_when_enough_others_store_its_state() {
    for delay_ms in (0..1_500).step_by(50) {
        assert_eq!(leaver_with_the_last_copy(delay_ms, None), Ok(()));
    }
    let noticed = (0..1_500)
        .step_by(50)
        .any(|delay_ms| leaver_with_the_last_copy(delay_ms, Some(Mutation::StopAtOnce)).is_err());
    assert!(noticed, "a mutation that stops at once");
}

/// So many changes while a replica is down, the others restarted in between; then it comes back. Returns the
/// simulated milliseconds until it stores the newest configuration.
fn caught_up_after(changes: u64) -> u64 {
    let mut world = World::new(changes, 3, 3, 3, None);
    world.now += 600 * MS;
    (0..3).for_each(|node| world.tick(node));
    deliver_all(&mut world);
    world.crash(2);
    for nth in 0..changes {
        let value = world.next_configuration();
        let node = (nth % 2) as usize;
        let call = world.request(node, CoreRequest::ReplaceConfiguration(value.clone()));
        deliver_all(&mut world);
        assert_eq!(world.responses.get(&call), Some(&CoreResponse::Accepted), "change {nth}");
        if nth % 97 == 96 {
            let node = 1 - node;
            world.crash(node);
            world.start(node, false);
            deliver_all(&mut world);
        }
        if nth % 10 == 0 {
            let name = format!("m/{}", nth % 70);
            let named = world.register(&name, nth + 1);
            world.request(node, CoreRequest::ReplaceRegister(named));
            world.request(
                node,
                CoreRequest::AcquireLease { key: u128::from(nth), token: nth + 1, time_left_ms: 100 },
            );
            deliver_all(&mut world);
        }
        world.now += 5 * MS;
    }
    go_on(&mut world, 1_500, |_| {});
    let held = |world: &World, node: usize| {
        let core = core(world, node);
        let registers: Vec<_> =
            core.registers().filter_map(|named| Some((named.name, named.stored?.revision()))).collect();
        (core.stored_configuration().map(|held| held.revision()), registers)
    };
    let newest = held(&world, 0);
    assert_eq!(held(&world, 1), newest);
    world.start(2, false);
    let began = world.now;
    while held(&world, 2) != newest {
        assert!(world.now < began + 5_000 * MS, "not caught up after {changes} changes");
        go_on(&mut world, 10, |_| {});
    }
    let took = (world.now - began) / MS;
    assert!(core(&world, 2).is_voting() && world.violation.is_none(), "{:?}", world.violation);
    assert!(world.nodes[2].disk.acceptors.is_empty());
    took
}

/// Guards against a restarted replica that never catches up, or takes longer with each change that it missed.
#[test]
fn a_replica_catches_up_after_hundreds_of_changes_as_fast_as_after_one() {
    let many = std::env::var("CHANGES").ok().and_then(|changes| changes.parse().ok()).unwrap_or(1_000);
    let took = [1, 100, many].map(caught_up_after);
    println!("caught up after 1, 100, {many} changes: {took:?} ms");
    assert!(took.iter().all(|took| *took <= 500), "{took:?}");
}
