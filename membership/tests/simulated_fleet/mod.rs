//! A fleet in simulated time: messages that are delayed, lost, duplicated or cut off; processes that crash, are suspended,
//! resume and restart.

// Each test uses a part of it.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use ochreshed_membership::swim::{Destination, Output, Swim, SwimConfig};
use ochreshed_membership::{MS, Nanos, S, wire};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The fleet that all messages carry.
const FLEET: u64 = 5;

pub struct SimulatedFleet {
    pub now: Nanos,
    pub last_message: u64,
    pub members: BTreeMap<usize, Swim>,
    /// Members that neither send nor receive, and whose timers do not fire.
    pub suspended: BTreeSet<usize>,
    /// Messages in flight, by arrival time and number: receiver, sender's address, bytes.
    pub in_flight: BTreeMap<(Nanos, u64), (usize, SocketAddr, Vec<u8>)>,
    /// When each member wants to be called, by time and by member.
    pub timers: BTreeSet<(Nanos, usize)>,
    pub timer_of: BTreeMap<usize, Nanos>,
    /// Whether messages from the first member to the second are dropped.
    pub is_cut: Box<dyn Fn(usize, usize) -> bool>,
    /// The share of messages that are lost. With any loss some messages are also duplicated or late.
    pub loss: f64,
    pub rng: ChaCha8Rng,
    pub events: Vec<(Nanos, usize, Output)>,
    pub sent_messages: Vec<usize>,
    pub sent_bytes: Vec<usize>,
}

pub fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (member / 200) as u8, (member % 200) as u8 + 1], 7))
}

pub fn member_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            usize::from(high) * 200 + usize::from(low) - 1
        }
        SocketAddr::V6(_) => unreachable!("only IPv4 addresses are used"),
    }
}

impl SimulatedFleet {
    pub fn new(size: usize, seed: u64) -> SimulatedFleet {
        let mut fleet = SimulatedFleet {
            now: 0,
            last_message: 0,
            members: BTreeMap::new(),
            suspended: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            timers: BTreeSet::new(),
            timer_of: BTreeMap::new(),
            is_cut: Box::new(|_, _| false),
            loss: 0.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: Vec::new(),
            sent_messages: vec![0; size],
            sent_bytes: vec![0; size],
        };
        (0..size).for_each(|member| fleet.start(member));
        fleet
    }

    pub fn start(&mut self, member: usize) {
        let start_id = self.rng.random();
        let seeds = vec![address(0), address(1)];
        let name = format!("n{member}");
        let config = SwimConfig::default();
        let swim = Swim::new(config, &name, address(member), "a", start_id, seeds, self.now);
        self.members.insert(member, swim);
        self.process_outputs(member);
    }

    /// Resets a member's timer and carries out its outputs.
    pub fn process_outputs(&mut self, member: usize) {
        if let Some(at) = self.timer_of.remove(&member) {
            self.timers.remove(&(at, member));
        }
        if let Some(swim) = self.members.get(&member).filter(|_| !self.suspended.contains(&member)) {
            self.timer_of.insert(member, swim.next_tick_at());
            self.timers.insert((swim.next_tick_at(), member));
        }
        while let Some(output) = self.members.get_mut(&member).and_then(Swim::poll_output) {
            let Output::Send { to, message } = output else {
                self.events.push((self.now, member, output));
                continue;
            };
            let to = match to {
                Destination::Address(address) => address,
                Destination::Member(name) => {
                    let known = self.members[&member].members().get(&name);
                    known.expect("only members are sent to by name").record.address
                }
            };
            let bytes = wire::encode(FLEET, &message);
            self.sent_messages[member] += 1;
            self.sent_bytes[member] += bytes.len();
            for _ in 0..1 + usize::from(self.loss > 0.0 && self.rng.random_bool(0.1)) {
                if (self.loss == 0.0 || !self.rng.random_bool(self.loss))
                    && !(self.is_cut)(member, member_at(to))
                {
                    self.last_message += 1;
                    let late = if self.loss > 0.0 && self.rng.random_bool(0.05) { 2 * S } else { 0 };
                    let at = self.now + self.rng.random_range(MS / 5..3 * MS) + late;
                    let message = (member_at(to), address(member), bytes.clone());
                    self.in_flight.insert((at, self.last_message), message);
                }
            }
        }
    }

    pub fn run(&mut self, span: Nanos) {
        let until = self.now + span;
        loop {
            let timer = self.timers.first().copied();
            let arrival = self.in_flight.first_key_value().map(|((at, _), _)| *at);
            let at = timer.map_or(Nanos::MAX, |(at, _)| at).min(arrival.unwrap_or(Nanos::MAX)).max(self.now);
            if at > until {
                break;
            }
            self.now = at;
            if arrival.is_some_and(|arrival| arrival <= at) {
                let Some((_, (to, from, bytes))) = self.in_flight.pop_first() else { break };
                if self.suspended.contains(&to) {
                    continue;
                }
                if let Some(swim) = self.members.get_mut(&to) {
                    let message = wire::decode(FLEET, &bytes).expect("a message");
                    swim.receive(at, from, &message);
                    self.process_outputs(to);
                }
            } else if let Some((_, member)) = timer {
                if let Some(swim) = self.members.get_mut(&member) {
                    swim.tick(at);
                }
                self.process_outputs(member);
            }
        }
        self.now = until;
    }

    /// Runs until the condition holds, for at most `limit`. Returns how long it took.
    pub fn run_until(&mut self, limit: Nanos, condition: impl Fn(&SimulatedFleet) -> bool) -> Nanos {
        let started_at = self.now;
        while !condition(self) {
            assert!(self.now - started_at < limit, "the condition did not hold within {} s", limit / S);
            self.run(50 * MS);
        }
        self.now - started_at
    }

    /// The number of members that one counts as live, itself included.
    pub fn live_count(&self, member: usize) -> usize {
        self.members[&member].live_members().count() + 1
    }

    /// Whether every member that is not suspended counts `size` live ones.
    pub fn all_count(&self, size: usize) -> bool {
        self.members
            .keys()
            .filter(|member| !self.suspended.contains(member))
            .all(|member| self.live_count(*member) == size)
    }

    /// The outputs since then other than messages, with the members that gave them.
    pub fn events_since(&self, from: Nanos) -> impl Iterator<Item = (usize, &Output)> {
        self.events.iter().filter(move |(at, ..)| *at >= from).map(|(_, member, output)| (*member, output))
    }
}
