//! A fleet of gossip nodes in simulated time: datagrams that are delayed, lost, duplicated, late or cut off; stream
//! synchronizations that take a while; processes that crash, are suspended and restart; and discovery that gives each node
//! its own list.

// Each test uses a part of it.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use ochreshed_gossip::node::{GossipNode, NodeSettings, Output};
use ochreshed_gossip::stream_sync::{FRAME_HEADER_BYTES, Hello};
use ochreshed_gossip::{MS, Nanos, S};
use ochreshed_membership::swim::{Destination, SwimConfig};
use ochreshed_replica::outcomes::OutcomeCounts;
use ochreshed_replica::status::ServerStatus;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The time from the request for a stream synchronization to the exchange.
const STREAM_SYNC_DELAY: Nanos = 5 * MS;

pub struct SimulatedFleet {
    pub now: Nanos,
    pub nodes: BTreeMap<usize, GossipNode>,
    /// Nodes that receive nothing, and whose timers do not fire.
    pub suspended: BTreeSet<usize>,
    /// Whether what the first node sends to the second is dropped.
    pub is_cut: Box<dyn Fn(usize, usize) -> bool>,
    /// The share of datagrams that are lost. With any loss some datagrams are also duplicated or late.
    pub loss: f64,
    pub zones: usize,
    pub seeds: Vec<SocketAddr>,
    /// The outcomes of others that each node has received, by server.
    pub received_outcomes: BTreeMap<usize, BTreeMap<String, OutcomeCounts>>,
    pub sent_bytes: Vec<u64>,
    last_event: u64,
    scheduled: BTreeMap<(Nanos, u64), ScheduledEvent>,
    timer_of: BTreeMap<usize, Nanos>,
    timers: BTreeSet<(Nanos, usize)>,
    rng: ChaCha8Rng,
}

enum ScheduledEvent {
    Datagram { to: usize, from: SocketAddr, bytes: Vec<u8> },
    StreamSync { initiator: usize, other: usize },
}

pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (node / 200) as u8, (node % 200) as u8 + 1], 7))
}

fn node_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            usize::from(high) * 200 + usize::from(low) - 1
        }
        SocketAddr::V6(_) => unreachable!("only IPv4 addresses are used"),
    }
}

pub fn name(node: usize) -> String {
    format!("n{node}")
}

impl SimulatedFleet {
    pub fn new(size: usize, seed: u64) -> SimulatedFleet {
        let mut fleet = SimulatedFleet {
            now: 0,
            nodes: BTreeMap::new(),
            suspended: BTreeSet::new(),
            is_cut: Box::new(|_, _| false),
            loss: 0.0,
            zones: 3,
            seeds: vec![address(0), address(1), address(2)],
            received_outcomes: BTreeMap::new(),
            sent_bytes: vec![0; size],
            last_event: 0,
            scheduled: BTreeMap::new(),
            timer_of: BTreeMap::new(),
            timers: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        (0..size).for_each(|node| fleet.start(node));
        fleet
    }

    /// Starts or restarts a process under its name.
    pub fn start(&mut self, node: usize) {
        let settings = NodeSettings {
            fleet: "test".into(),
            name: name(node),
            address: address(node),
            zone: format!("z{}", node % self.zones),
            start_id: self.rng.random(),
            seeds: self.seeds.clone(),
            membership: SwimConfig::default(),
        };
        self.nodes.insert(node, GossipNode::new(settings, self.now));
        self.received_outcomes.remove(&node);
        self.process_outputs(node);
    }

    pub fn crash(&mut self, node: usize) {
        self.nodes.remove(&node);
        if let Some(at) = self.timer_of.remove(&node) {
            self.timers.remove(&(at, node));
        }
    }

    /// Gives a node a list from discovery, or changes of it.
    pub fn apply_discovery(
        &mut self,
        node: usize,
        version: u64,
        is_full_list: bool,
        entries: &[(&str, ServerStatus)],
    ) {
        let entries: Vec<(String, ServerStatus)> =
            entries.iter().map(|(server, status)| ((*server).to_owned(), *status)).collect();
        if let Some(gossip) = self.nodes.get_mut(&node) {
            gossip.apply_discovery(version, is_full_list, &entries);
        }
        self.process_outputs(node);
    }

    pub fn record_outcomes(&mut self, node: usize, server: &str, counts: OutcomeCounts) {
        if let Some(gossip) = self.nodes.get_mut(&node) {
            gossip.record_outcomes(self.now, server, "read", counts);
        }
        self.process_outputs(node);
    }

    /// Carries out a node's outputs and resets its timer.
    pub fn process_outputs(&mut self, node: usize) {
        while let Some(output) = self.nodes.get_mut(&node).and_then(GossipNode::poll_output) {
            match output {
                Output::Send { to, bytes } => self.send(node, &to, bytes),
                Output::OutcomesReceived { server, counts, .. } => {
                    let received = self.received_outcomes.entry(node).or_default();
                    received.entry(server).or_default().add(counts);
                }
                Output::StreamSyncDue(other) => {
                    let other = node_at(self.resolve(node, &Destination::Member(other)));
                    let event = ScheduledEvent::StreamSync { initiator: node, other };
                    self.schedule(STREAM_SYNC_DELAY, event);
                }
                Output::Rejected { reason, .. } => panic!("a message was rejected: {reason}"),
                _ => {}
            }
        }
        let next =
            self.nodes.get(&node).filter(|_| !self.suspended.contains(&node)).map(GossipNode::next_tick_at);
        if let Some(at) = self.timer_of.remove(&node) {
            self.timers.remove(&(at, node));
        }
        if let Some(next) = next {
            self.timer_of.insert(node, next);
            self.timers.insert((next, node));
        }
    }

    fn resolve(&self, node: usize, to: &Destination) -> SocketAddr {
        match to {
            Destination::Address(address) => *address,
            Destination::Member(name) => self.nodes[&node].swim().members()[name].record.address,
        }
    }

    fn schedule(&mut self, delay: Nanos, event: ScheduledEvent) {
        self.last_event += 1;
        self.scheduled.insert((self.now + delay, self.last_event), event);
    }

    fn send(&mut self, node: usize, to: &Destination, bytes: Vec<u8>) {
        let to = node_at(self.resolve(node, to));
        self.sent_bytes[node] += bytes.len() as u64;
        let is_lossy = self.loss > 0.0;
        for _ in 0..1 + usize::from(is_lossy && self.rng.random_bool(0.1)) {
            if (is_lossy && self.rng.random_bool(self.loss)) || (self.is_cut)(node, to) {
                continue;
            }
            let late = if is_lossy && self.rng.random_bool(0.05) { 2 * S } else { 0 };
            let delay = self.rng.random_range(MS / 5..3 * MS) + late;
            let event = ScheduledEvent::Datagram { to, from: address(node), bytes: bytes.clone() };
            self.schedule(delay, event);
        }
    }

    /// Synchronizes two nodes as the program does over a stream, but in one moment: both hellos, the differences of the other
    /// node, and those of the initiator.
    fn synchronize(&mut self, initiator: usize, other: usize) {
        let is_connected = !(self.is_cut)(initiator, other) && !(self.is_cut)(other, initiator);
        let (Some(mut first), Some(mut second)) = (self.nodes.remove(&initiator), self.nodes.remove(&other))
        else {
            return;
        };
        if is_connected && !self.suspended.contains(&other) {
            let (first_hello, second_hello) = (first.hello(), second.hello());
            let body = |hello: &Hello| hello.encode()[FRAME_HEADER_BYTES..].to_vec();
            if second.accept_hello(&body(&first_hello)).is_ok()
                && first.accept_hello(&body(&second_hello)).is_ok()
            {
                let from_second = second.encode_differences(&first_hello);
                let from_first = first.encode_differences(&second_hello);
                self.sent_bytes[other] += from_second.iter().map(|body| body.len() as u64).sum::<u64>();
                self.sent_bytes[initiator] += from_first.iter().map(|body| body.len() as u64).sum::<u64>();
                for (receiver, bodies) in [(&mut first, from_second), (&mut second, from_first)] {
                    for body in bodies {
                        receiver.receive_stream_body(self.now, &body).expect("updates");
                    }
                }
            }
        }
        first.finish_stream_sync(self.now, is_connected);
        self.nodes.insert(initiator, first);
        self.nodes.insert(other, second);
        self.process_outputs(initiator);
        self.process_outputs(other);
    }

    pub fn run(&mut self, span: Nanos) {
        let until = self.now + span;
        loop {
            let timer = self.timers.first().copied();
            let arrival = self.scheduled.first_key_value().map(|((at, _), _)| *at);
            let at = timer.map_or(Nanos::MAX, |(at, _)| at).min(arrival.unwrap_or(Nanos::MAX)).max(self.now);
            if at > until {
                break;
            }
            self.now = at;
            if arrival.is_some_and(|arrival| arrival <= at) {
                match self.scheduled.pop_first() {
                    Some((_, ScheduledEvent::Datagram { to, from, bytes }))
                        if !self.suspended.contains(&to) =>
                    {
                        if let Some(gossip) = self.nodes.get_mut(&to) {
                            gossip.receive(at, from, &bytes);
                            self.process_outputs(to);
                        }
                    }
                    Some((_, ScheduledEvent::StreamSync { initiator, other })) if initiator != other => {
                        self.synchronize(initiator, other);
                    }
                    _ => {}
                }
            } else if let Some((_, node)) = timer {
                if let Some(gossip) = self.nodes.get_mut(&node) {
                    gossip.tick(at);
                }
                self.process_outputs(node);
            }
        }
        self.now = until;
    }

    /// Runs in steps until the condition holds, for at most `limit`. Returns how long it took.
    pub fn run_until(
        &mut self,
        limit: Nanos,
        step: Nanos,
        condition: impl Fn(&SimulatedFleet) -> bool,
    ) -> Nanos {
        let started_at = self.now;
        while !condition(self) {
            assert!(self.now - started_at < limit, "the condition did not hold within {} s", limit / S);
            self.run(step);
        }
        self.now - started_at
    }

    /// The status of a server in a node's replica.
    pub fn status(&self, node: usize, server: &str) -> Option<ServerStatus> {
        self.nodes.get(&node)?.store().statuses().get(server).map(|known| known.status)
    }

    /// The share of nodes that are not suspended for which the condition holds.
    pub fn share(&self, condition: impl Fn(usize, &GossipNode) -> bool) -> f64 {
        let active = self.nodes.iter().filter(|(node, _)| !self.suspended.contains(node));
        let count = active.clone().count();
        active.filter(|(node, gossip)| condition(**node, gossip)).count() as f64 / count.max(1) as f64
    }

    /// Whether the replicas of all nodes that are not suspended have the same digest.
    pub fn replicas_agree(&self) -> bool {
        let mut active = self.nodes.iter().filter(|(node, _)| !self.suspended.contains(node));
        let Some((_, first)) = active.next() else { return true };
        let digest = first.store().digest();
        active.all(|(_, gossip)| gossip.store().digest() == digest)
    }

    /// Whether all nodes that are not suspended know each other.
    pub fn all_connected(&self) -> bool {
        let size = self.nodes.keys().filter(|node| !self.suspended.contains(node)).count();
        self.share(|_, gossip| gossip.swim().live_members().count() + 1 >= size) >= 1.0
    }
}
