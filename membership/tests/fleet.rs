//! Fleets in simulated time: messages with delay, loss, doubling and cuts; processes that crash, sleep, return and start
//! anew. What is held is the protocol's promises, for whole fleets, over several seeds.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use ochreshed_membership::swim::{Config, Output, Swim, To};
use ochreshed_membership::word::State;
use ochreshed_membership::{MS, Nanos, S, wire};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

struct World {
    now: Nanos,
    number: u64,
    members: BTreeMap<usize, Swim>,
    /// Neither sends nor hears, and its time stands still.
    asleep: BTreeSet<usize>,
    due: BTreeMap<(Nanos, u64), (usize, SocketAddr, Vec<u8>)>,
    /// When each member wants to be called.
    timers: BTreeSet<(Nanos, usize)>,
    /// Whether a message from one to another gets through, by numbers.
    cut: Box<dyn Fn(usize, usize) -> bool>,
    loss: f64,
    chance: ChaCha8Rng,
    events: Vec<(Nanos, usize, Output)>,
    sent: Vec<usize>,
    bytes: Vec<usize>,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (number / 200) as u8, (number % 200) as u8 + 1], 7))
}

fn number(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            usize::from(high) * 200 + usize::from(low) - 1
        }
        SocketAddr::V6(_) => unreachable!("none here"),
    }
}

impl World {
    fn new(size: usize, seed: u64) -> World {
        let mut world = World {
            now: 0,
            number: 0,
            members: BTreeMap::new(),
            asleep: BTreeSet::new(),
            due: BTreeMap::new(),
            timers: BTreeSet::new(),
            cut: Box::new(|_, _| false),
            loss: 0.0,
            chance: ChaCha8Rng::seed_from_u64(seed),
            events: Vec::new(),
            sent: vec![0; size],
            bytes: vec![0; size],
        };
        (0..size).for_each(|number| world.start(number));
        world
    }

    fn start(&mut self, number: usize) {
        let start = self.chance.random();
        let seeds = vec![address(0), address(1)];
        let name = format!("n{number}");
        let swim = Swim::new(Config::default(), &name, address(number), "a", start, seeds, self.now);
        self.members.insert(number, swim);
        self.flush(number);
    }

    fn flush(&mut self, number: usize) {
        self.timers.retain(|(_, of)| *of != number);
        if let Some(swim) = self.members.get(&number).filter(|_| !self.asleep.contains(&number)) {
            self.timers.insert((swim.next(), number));
        }
        while let Some(output) = self.members.get_mut(&number).and_then(Swim::output) {
            let Output::Send { to, message } = output else {
                self.events.push((self.now, number, output));
                continue;
            };
            let to = match to {
                To::Address(address) => address,
                To::Member(name) => {
                    let known = self.members[&number].members().get(&name).map(|member| member.word.address);
                    known.expect("only members are written to")
                }
            };
            let bytes = wire::write(5, &message);
            self.sent[number] += 1;
            self.bytes[number] += bytes.len();
            for _ in 0..1 + usize::from(self.loss > 0.0 && self.chance.random_bool(0.1)) {
                if (self.loss == 0.0 || !self.chance.random_bool(self.loss))
                    && !(self.cut)(number, crate::number(to))
                {
                    self.number += 1;
                    let late = if self.loss > 0.0 && self.chance.random_bool(0.05) { 2 * S } else { 0 };
                    let at = self.now + self.chance.random_range(MS / 5..3 * MS) + late;
                    self.due.insert((at, self.number), (crate::number(to), address(number), bytes.clone()));
                }
            }
        }
    }

    fn run(&mut self, span: Nanos) {
        let until = self.now + span;
        loop {
            let timer = self.timers.first().copied();
            let arrival = self.due.first_key_value().map(|((at, _), _)| *at);
            let at = timer.map_or(Nanos::MAX, |(at, _)| at).min(arrival.unwrap_or(Nanos::MAX)).max(self.now);
            if at > until {
                break;
            }
            self.now = at;
            if arrival.is_some_and(|arrival| arrival <= at) {
                let Some((_, (to, from, bytes))) = self.due.pop_first() else { break };
                if self.asleep.contains(&to) {
                    continue;
                }
                if let Some(swim) = self.members.get_mut(&to) {
                    let message = wire::read(5, &bytes).expect("a message");
                    swim.receive(at, from, &message);
                    self.flush(to);
                }
            } else if let Some((_, number)) = timer {
                if let Some(swim) = self.members.get_mut(&number) {
                    swim.tick(at);
                }
                self.flush(number);
            }
        }
        self.now = until;
    }

    /// Runs until it is so, at the most for so long; how long it took.
    fn until(&mut self, most: Nanos, is: impl Fn(&World) -> bool) -> Nanos {
        let from = self.now;
        while !is(self) {
            assert!(self.now - from < most, "not within {} s", most / S);
            self.run(50 * MS);
        }
        self.now - from
    }

    /// Those that a member counts as there, itself included.
    fn there(&self, number: usize) -> usize {
        self.members[&number].there().count() + 1
    }

    fn all_agree(&self, on: usize) -> bool {
        self.members
            .keys()
            .filter(|number| !self.asleep.contains(number))
            .all(|number| self.there(*number) == on)
    }

    /// What happened since then that was not a send, by whom.
    fn since(&self, from: Nanos) -> impl Iterator<Item = (usize, &Output)> {
        self.events.iter().filter(move |(at, ..)| *at >= from).map(|(_, who, what)| (*who, what))
    }
}

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
        let old = world.members[&5].mine().start;
        world.members.remove(&5);
        let took = world.until(20 * S, |world| world.all_agree(23));
        assert!(took < 12 * S, "{took}");
        world.start(5);
        let from = world.now;
        world.until(10 * S, |world| world.all_agree(24));
        let new = world.members[&5].mine().start;
        let told =
            |what: &Output| matches!(what, Output::Joined { name, start } if name == "n5" && *start == new);
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
    let new = world.members[&7].mine().start;
    let known = |world: &World| {
        let of = |swim: &Swim| swim.members().get("n7").map(|member| (member.word.start, member.word.state));
        world
            .members
            .iter()
            .filter(|(number, _)| **number != 7)
            .all(|(_, swim)| of(swim) == Some((new, State::Alive)))
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
        world.since(from).any(|(who, what)| who == 3 && *what == Output::Returned),
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
        let lost = world.since(from).filter(|(_, what)| matches!(what, Output::Lost { .. })).count();
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
    let swim = Swim::new(Config::default(), "n5", address(8), "a", start, seeds, world.now);
    world.members.insert(8, swim);
    world.flush(8);
    let from = world.now;
    world.run(30 * S);
    let displaced = world.since(from).filter(|(_, what)| matches!(what, Output::Displaced { .. })).count();
    assert_eq!(displaced, 1);
    let (a, b) = (world.members[&5].mine(), world.members[&8].mine());
    let stays = a.start.max(b.start);
    assert_eq!(world.members[&0].members()["n5"].word.start, stays);
}

/// Guards against fleets that are used to drown somebody: no answer to a stranger is larger than its question.
#[test]
fn no_answer_to_a_stranger_is_larger_than_its_question() {
    let mut world = World::new(30, 1);
    world.until(15 * S, |world| world.all_agree(30));
    let mut stranger = Swim::new(Config::default(), "x", address(99), "a", 77, vec![address(0)], world.now);
    stranger.tick(world.now);
    let Some(Output::Send { message, .. }) = stranger.output() else { panic!("it asks") };
    let asked = wire::write(5, &message).len();
    let now = world.now;
    let swim = world.members.get_mut(&0).expect("there");
    swim.receive(now, address(99), &message);
    while let Some(output) = swim.output() {
        if let Output::Send { to: To::Address(_), message } = output {
            assert!(wire::write(5, &message).len() <= asked);
        }
    }
    // What is no join gets none at all.
    for what in [
        wire::What::Ping { number: 1 },
        wire::What::Gossip,
        wire::What::PingFor { number: 1, name: "n1".into() },
    ] {
        let from = wire::From { name: "y".into(), start: 1 };
        swim.receive(now, address(98), &wire::Message { from, what, words: Vec::new(), more: Vec::new() });
        assert_eq!(swim.output(), None);
    }
}
