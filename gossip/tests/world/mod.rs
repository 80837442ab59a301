//! A fleet of whole instances in simulated time: datagrams with delay, loss, doubling, lateness and cuts, meetings that take
//! a while, processes that crash, sleep and start anew, and discovery that tells each what it likes. What is read off it
//! is simulated.

// Each user takes a part of it.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use ochreshed_gossip::node::{GossipNode, NodeSettings, Output};
use ochreshed_gossip::{MS, Nanos, S};
use ochreshed_membership::swim::{Destination, SwimConfig};
use ochreshed_replica::outcomes::OutcomeCounts;
use ochreshed_replica::status::ServerStatus;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub struct World {
    pub now: Nanos,
    pub peers: BTreeMap<usize, GossipNode>,
    pub asleep: BTreeSet<usize>,
    /// Whether what one sends to another is cut, by their numbers.
    pub cut: Box<dyn Fn(usize, usize) -> bool>,
    pub loss: f64,
    pub zones: usize,
    pub seeds: Vec<SocketAddr>,
    /// What each was told that others had counted.
    pub counted: BTreeMap<usize, BTreeMap<String, OutcomeCounts>>,
    pub bytes: Vec<u64>,
    number: u64,
    due: BTreeMap<(Nanos, u64), Due>,
    wake: BTreeMap<usize, Nanos>,
    timers: BTreeSet<(Nanos, usize)>,
    chance: ChaCha8Rng,
}

enum Due {
    Datagram(usize, SocketAddr, Vec<u8>),
    /// A meeting begun by the one with the other one.
    Meeting(usize, usize),
}

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (number / 200) as u8, (number % 200) as u8 + 1], 7))
}

fn number_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            usize::from(high) * 200 + usize::from(low) - 1
        }
        SocketAddr::V6(_) => unreachable!("none here"),
    }
}

pub fn name(number: usize) -> String {
    format!("n{number}")
}

impl World {
    pub fn new(size: usize, seed: u64) -> World {
        let mut world = World {
            now: 0,
            peers: BTreeMap::new(),
            asleep: BTreeSet::new(),
            cut: Box::new(|_, _| false),
            loss: 0.0,
            zones: 3,
            seeds: vec![address(0), address(1), address(2)],
            counted: BTreeMap::new(),
            bytes: vec![0; size],
            number: 0,
            due: BTreeMap::new(),
            wake: BTreeMap::new(),
            timers: BTreeSet::new(),
            chance: ChaCha8Rng::seed_from_u64(seed),
        };
        (0..size).for_each(|number| world.start(number));
        world
    }

    /// A process starts, or starts anew under its name.
    pub fn start(&mut self, number: usize) {
        let settings = NodeSettings {
            fleet: "test".into(),
            name: name(number),
            address: address(number),
            zone: format!("z{}", number % self.zones),
            start_id: self.chance.random(),
            seeds: self.seeds.clone(),
            membership: SwimConfig::default(),
        };
        self.peers.insert(number, GossipNode::new(settings, self.now));
        self.counted.remove(&number);
        self.flush(number);
    }

    pub fn crash(&mut self, number: usize) {
        self.peers.remove(&number);
        if let Some(at) = self.wake.remove(&number) {
            self.timers.remove(&(at, number));
        }
    }

    /// Discovery tells one of them.
    pub fn tell(&mut self, number: usize, version: u64, whole: bool, entries: &[(&str, ServerStatus)]) {
        let entries: Vec<(String, ServerStatus)> =
            entries.iter().map(|(srv, state)| ((*srv).to_owned(), *state)).collect();
        if let Some(peer) = self.peers.get_mut(&number) {
            peer.apply_discovery(version, whole, &entries);
        }
        self.flush(number);
    }

    pub fn count(&mut self, number: usize, srv: &str, counts: OutcomeCounts) {
        if let Some(peer) = self.peers.get_mut(&number) {
            peer.record_outcomes(self.now, srv, "read", counts);
        }
        self.flush(number);
    }

    pub fn flush(&mut self, number: usize) {
        while let Some(output) = self.peers.get_mut(&number).and_then(GossipNode::poll_output) {
            match output {
                Output::Send { to, bytes } => self.send(number, &to, bytes),
                Output::OutcomesReceived { server: srv, counts, .. } => {
                    self.counted.entry(number).or_default().entry(srv).or_default().add(counts);
                }
                Output::StreamSyncDue(other) => {
                    let to = self.reach(number, &Destination::Member(other));
                    self.put(5 * MS, Due::Meeting(number, number_of(to)));
                }
                Output::Rejected { reason, .. } => panic!("could not be read: {reason}"),
                _ => {}
            }
        }
        let next =
            self.peers.get(&number).filter(|_| !self.asleep.contains(&number)).map(GossipNode::next_tick_at);
        if let Some(at) = self.wake.remove(&number) {
            self.timers.remove(&(at, number));
        }
        if let Some(next) = next {
            // A machine that wants to be called at once, for ever, would stop time.
            self.wake.insert(number, next);
            self.timers.insert((next, number));
        }
    }

    fn reach(&self, number: usize, to: &Destination) -> SocketAddr {
        match to {
            Destination::Address(address) => *address,
            Destination::Member(name) => self.peers[&number].swim().members()[name].record.address,
        }
    }

    fn put(&mut self, later: Nanos, due: Due) {
        self.number += 1;
        self.due.insert((self.now + later, self.number), due);
    }

    fn send(&mut self, number: usize, to: &Destination, bytes: Vec<u8>) {
        let to = number_of(self.reach(number, to));
        self.bytes[number] += bytes.len() as u64;
        let lossy = self.loss > 0.0;
        for _ in 0..1 + usize::from(lossy && self.chance.random_bool(0.1)) {
            if (lossy && self.chance.random_bool(self.loss)) || (self.cut)(number, to) {
                continue;
            }
            let late = if lossy && self.chance.random_bool(0.05) { 2 * S } else { 0 };
            let later = self.chance.random_range(MS / 5..3 * MS) + late;
            self.put(later, Due::Datagram(to, address(number), bytes.clone()));
        }
    }

    /// The exchange as the program does it, in one moment: greetings, what differs there, what differs here.
    fn meet(&mut self, number: usize, other: usize) {
        let through = !(self.cut)(number, other) && !(self.cut)(other, number);
        let (Some(mut one), Some(mut two)) = (self.peers.remove(&number), self.peers.remove(&other)) else {
            return;
        };
        if through && !self.asleep.contains(&other) {
            let (ours, theirs) = (one.hello(), two.hello());
            let read = |hello: &ochreshed_gossip::stream_sync::Hello| hello.encode()[8..].to_vec();
            if two.accept_hello(&read(&ours)).is_ok() && one.accept_hello(&read(&theirs)).is_ok() {
                let (from_two, from_one) = (two.encode_differences(&ours), one.encode_differences(&theirs));
                self.bytes[other] += from_two.iter().map(|piece| piece.len() as u64).sum::<u64>();
                self.bytes[number] += from_one.iter().map(|piece| piece.len() as u64).sum::<u64>();
                for (peer, pieces) in [(&mut one, from_two), (&mut two, from_one)] {
                    for piece in pieces {
                        peer.receive_stream_body(self.now, &piece).expect("items");
                    }
                }
            }
        }
        one.finish_stream_sync(self.now, through);
        self.peers.insert(number, one);
        self.peers.insert(other, two);
        self.flush(number);
        self.flush(other);
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
                match self.due.pop_first() {
                    Some((_, Due::Datagram(to, from, bytes))) if !self.asleep.contains(&to) => {
                        if let Some(peer) = self.peers.get_mut(&to) {
                            peer.receive(at, from, &bytes);
                            self.flush(to);
                        }
                    }
                    Some((_, Due::Meeting(one, other))) if one != other => self.meet(one, other),
                    _ => {}
                }
            } else if let Some((_, number)) = timer {
                if let Some(peer) = self.peers.get_mut(&number) {
                    peer.tick(at);
                }
                self.flush(number);
            }
        }
        self.now = until;
    }

    /// Runs until it is so; how long it took.
    pub fn until(&mut self, most: Nanos, step: Nanos, is: impl Fn(&World) -> bool) -> Nanos {
        let from = self.now;
        while !is(self) {
            assert!(self.now - from < most, "not within {} s", most / S);
            self.run(step);
        }
        self.now - from
    }

    pub fn state(&self, number: usize, srv: &str) -> Option<ServerStatus> {
        self.peers.get(&number)?.store().statuses().get(srv).map(|word| word.status)
    }

    /// The share of those that are awake of whom this is true.
    pub fn share(&self, is: impl Fn(usize, &GossipNode) -> bool) -> f64 {
        let awake = self.peers.iter().filter(|(number, _)| !self.asleep.contains(number));
        let all = awake.clone().count();
        awake.filter(|(number, peer)| is(**number, peer)).count() as f64 / all.max(1) as f64
    }

    /// All hold the same of srvs.
    pub fn agree(&self) -> bool {
        let mut awake = self.peers.iter().filter(|(number, _)| !self.asleep.contains(number));
        let Some((_, first)) = awake.next() else { return true };
        let digest = first.store().digest();
        awake.all(|(_, peer)| peer.store().digest() == digest)
    }

    /// All that are awake know each other.
    pub fn found(&self) -> bool {
        let size = self.peers.keys().filter(|number| !self.asleep.contains(number)).count();
        self.share(|_, peer| peer.swim().live_members().count() + 1 >= size) >= 1.0
    }
}
