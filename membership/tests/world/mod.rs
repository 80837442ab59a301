//! A fleet in simulated time: messages with delay, loss, doubling and cuts; processes that crash, sleep, return and start
//! anew. What is read off it is simulated.

// Each user takes a part of it.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use ochreshed_membership::swim::{Destination, Output, Swim, SwimConfig};
use ochreshed_membership::{MS, Nanos, S, wire};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub struct World {
    pub now: Nanos,
    pub number: u64,
    pub members: BTreeMap<usize, Swim>,
    /// Neither sends nor hears, and its time stands still.
    pub asleep: BTreeSet<usize>,
    pub due: BTreeMap<(Nanos, u64), (usize, SocketAddr, Vec<u8>)>,
    /// When each member wants to be called, by time and by member.
    pub timers: BTreeSet<(Nanos, usize)>,
    pub wake: BTreeMap<usize, Nanos>,
    /// Whether a message from one to another gets through, by numbers.
    pub cut: Box<dyn Fn(usize, usize) -> bool>,
    pub loss: f64,
    pub chance: ChaCha8Rng,
    pub events: Vec<(Nanos, usize, Output)>,
    pub sent: Vec<usize>,
    pub bytes: Vec<usize>,
}

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (number / 200) as u8, (number % 200) as u8 + 1], 7))
}

pub fn number_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            usize::from(high) * 200 + usize::from(low) - 1
        }
        SocketAddr::V6(_) => unreachable!("none here"),
    }
}

impl World {
    pub fn new(size: usize, seed: u64) -> World {
        let mut world = World {
            now: 0,
            number: 0,
            members: BTreeMap::new(),
            asleep: BTreeSet::new(),
            due: BTreeMap::new(),
            timers: BTreeSet::new(),
            wake: BTreeMap::new(),
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

    pub fn start(&mut self, number: usize) {
        let start = self.chance.random();
        let seeds = vec![address(0), address(1)];
        let name = format!("n{number}");
        let swim = Swim::new(SwimConfig::default(), &name, address(number), "a", start, seeds, self.now);
        self.members.insert(number, swim);
        self.flush(number);
    }

    pub fn flush(&mut self, number: usize) {
        if let Some(at) = self.wake.remove(&number) {
            self.timers.remove(&(at, number));
        }
        if let Some(swim) = self.members.get(&number).filter(|_| !self.asleep.contains(&number)) {
            self.wake.insert(number, swim.next_tick_at());
            self.timers.insert((swim.next_tick_at(), number));
        }
        while let Some(output) = self.members.get_mut(&number).and_then(Swim::poll_output) {
            let Output::Send { to, message } = output else {
                self.events.push((self.now, number, output));
                continue;
            };
            let to = match to {
                Destination::Address(address) => address,
                Destination::Member(name) => {
                    let known =
                        self.members[&number].members().get(&name).map(|member| member.record.address);
                    known.expect("only members are written to")
                }
            };
            let bytes = wire::encode(5, &message);
            self.sent[number] += 1;
            self.bytes[number] += bytes.len();
            for _ in 0..1 + usize::from(self.loss > 0.0 && self.chance.random_bool(0.1)) {
                if (self.loss == 0.0 || !self.chance.random_bool(self.loss))
                    && !(self.cut)(number, number_of(to))
                {
                    self.number += 1;
                    let late = if self.loss > 0.0 && self.chance.random_bool(0.05) { 2 * S } else { 0 };
                    let at = self.now + self.chance.random_range(MS / 5..3 * MS) + late;
                    self.due.insert((at, self.number), (number_of(to), address(number), bytes.clone()));
                }
            }
        }
    }

    pub fn run(&mut self, span: Nanos) {
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
                    let message = wire::decode(5, &bytes).expect("a message");
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
    pub fn until(&mut self, most: Nanos, is: impl Fn(&World) -> bool) -> Nanos {
        let from = self.now;
        while !is(self) {
            assert!(self.now - from < most, "not within {} s", most / S);
            self.run(50 * MS);
        }
        self.now - from
    }

    /// Those that a member counts as there, itself included.
    pub fn there(&self, number: usize) -> usize {
        self.members[&number].live_members().count() + 1
    }

    pub fn all_agree(&self, on: usize) -> bool {
        self.members
            .keys()
            .filter(|number| !self.asleep.contains(number))
            .all(|number| self.there(*number) == on)
    }

    /// What happened since then that was not a send, by whom.
    pub fn since(&self, from: Nanos) -> impl Iterator<Item = (usize, &Output)> {
        self.events.iter().filter(move |(at, ..)| *at >= from).map(|(_, who, what)| (*who, what))
    }
}
