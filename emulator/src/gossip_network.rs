//! What the balancers before the first tier say to each other, in simulated time: the machine of `gossip/` as the program
//! runs it, over a network that loses, doubles, delays and cuts. It owns these machines and what is under way between
//! them, and must never tell an instance what no message has brought to it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ochreshed::{ListedEndpoint, Name};
use ochreshed_gossip::endpoint_list::{EndpointList, to_server_status};
use ochreshed_gossip::node::{GossipNode, NodeSettings, Output};
use ochreshed_membership::swim::{Destination, SwimConfig};
use ochreshed_replica::outcomes::OutcomeCounts;
use serde::Deserialize;

use crate::random::{DurationDistribution, RandomStream};
use crate::{MS, Nanos, S};

/// How the balancers speak, where they do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GossipConfig {
    /// One way between two of them.
    pub delay: DurationDistribution,
    /// The part of their messages that is lost; half as many come twice.
    #[serde(default)]
    pub loss: f64,
}

/// A meeting over a stream takes so long.
const MEETING: Nanos = 5 * MS;

/// What is to happen later, or at an instance now.
pub enum Effect {
    Later(Nanos, Due),
    /// Others have heard something else of these srvs.
    News(usize, Vec<ListedEndpoint>),
    Counted {
        instance: usize,
        srv: Name,
        set: Name,
        counts: OutcomeCounts,
    },
}

pub enum Due {
    Wake(usize),
    Datagram { to: usize, from: usize, bytes: Vec<u8> },
    Meeting(usize, usize),
}

pub struct Net {
    fleet: GossipConfig,
    peers: Vec<GossipNode>,
    known: Vec<EndpointList<()>>,
    wake: Vec<Nanos>,
    /// Balancers up to this number are cut off from the others.
    cut: usize,
    zones: usize,
    chance: RandomStream,
    pub bytes: Vec<u64>,
    pub messages: u64,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (number / 200) as u8, (number % 200) as u8 + 1], 7))
}

fn number_of(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            Some(usize::from(high) * 200 + usize::from(low).checked_sub(1)?)
        }
        SocketAddr::V6(_) => None,
    }
}

impl Net {
    pub fn new(fleet: GossipConfig, seed: u64, instances: usize, zones: usize, now: Nanos) -> Net {
        let mut net = Net {
            fleet,
            peers: Vec::new(),
            known: vec![EndpointList::new(); instances],
            wake: vec![Nanos::MAX; instances],
            cut: 0,
            zones,
            chance: RandomStream::new(seed, "fleet"),
            bytes: vec![0; instances],
            messages: 0,
        };
        for number in 0..instances {
            let peer = net.peer(number, now);
            net.peers.push(peer);
        }
        net
    }

    fn peer(&mut self, number: usize, now: Nanos) -> GossipNode {
        let settings = NodeSettings {
            fleet: "emulated".into(),
            name: format!("n{number}"),
            address: address(number),
            zone: format!("site-{}", number % self.zones.max(1)),
            start_id: (self.chance.sample_fraction() * 2f64.powi(60)) as u64,
            seeds: (0..3).map(address).collect(),
            membership: SwimConfig::default(),
        };
        GossipNode::new(settings, now)
    }

    pub fn instances(&self) -> usize {
        self.peers.len()
    }

    /// Balancers up to this number are cut off from the others; none with 0.
    pub fn cut(&mut self, cut: usize) {
        self.cut = cut;
    }

    /// Its process ends, and the next one begins with nothing.
    pub fn crash(&mut self, now: Nanos, number: usize) -> Vec<Effect> {
        self.peers[number] = self.peer(number, now);
        self.known[number] = EndpointList::new();
        self.follow(now, number)
    }

    /// The list as an instance has it from before: no news to anybody.
    pub fn began(&mut self, now: Nanos, number: usize, entries: &[ListedEndpoint]) -> Vec<Effect> {
        let mut entries: Vec<(ListedEndpoint, ())> =
            entries.iter().map(|listed| (listed.clone(), ())).collect();
        self.known[number].apply_discovery(self.peers[number].store().statuses(), true, &mut entries);
        self.follow(now, number)
    }

    /// Discovery tells an instance changes of the list; what the module hears of them.
    pub fn listed(
        &mut self,
        now: Nanos,
        number: usize,
        version: u64,
        entry: ListedEndpoint,
    ) -> (ListedEndpoint, Vec<Effect>) {
        let said = (entry.name.to_string(), to_server_status(entry.state));
        self.peers[number].apply_discovery(version, false, &[said]);
        let mut entries = [(entry, ())];
        self.known[number].apply_discovery(self.peers[number].store().statuses(), false, &mut entries);
        let [(listed, ())] = entries;
        (listed, self.follow(now, number))
    }

    /// What came of a dispatch.
    pub fn count(
        &mut self,
        now: Nanos,
        number: usize,
        srv: &str,
        set: &str,
        counts: OutcomeCounts,
    ) -> Vec<Effect> {
        self.peers[number].record_outcomes(now, srv, set, counts);
        self.follow(now, number)
    }

    pub fn happen(&mut self, now: Nanos, due: Due) -> Vec<Effect> {
        match due {
            Due::Wake(number) => {
                if self.wake[number] > now {
                    return Vec::new();
                }
                self.wake[number] = Nanos::MAX;
                self.peers[number].tick(now);
                self.follow(now, number)
            }
            Due::Datagram { to, from, bytes } => {
                self.peers[to].receive(now, address(from), &bytes);
                self.follow(now, to)
            }
            Due::Meeting(one, other) => self.meet(now, one, other),
        }
    }

    fn through(&self, one: usize, other: usize) -> bool {
        (one < self.cut) == (other < self.cut)
    }

    /// Greetings, what differs there, what differs here; in one moment.
    fn meet(&mut self, now: Nanos, one: usize, other: usize) -> Vec<Effect> {
        let through = one != other && self.through(one, other);
        if through {
            let (ours, theirs) = (self.peers[one].hello(), self.peers[other].hello());
            let (from_one, from_other) =
                (self.peers[one].encode_differences(&theirs), self.peers[other].encode_differences(&ours));
            for (from, to, pieces) in [(other, one, from_other), (one, other, from_one)] {
                for piece in pieces {
                    self.bytes[from] += piece.len() as u64;
                    // Bytes of our own are read.
                    let _ = self.peers[to].receive_stream_body(now, &piece);
                }
            }
        }
        self.peers[one].finish_stream_sync(now, through);
        let mut effects = self.follow(now, one);
        effects.extend(self.follow(now, other));
        effects
    }

    /// Takes on what a machine wants.
    fn follow(&mut self, now: Nanos, number: usize) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(output) = self.peers[number].poll_output() {
            match output {
                Output::Send { to, bytes } => self.send(number, &to, bytes, &mut effects),
                Output::StatusesChanged(srvs) => {
                    let words = self.peers[number].store().statuses();
                    let news =
                        self.known[number].apply_status_changes(words, srvs.iter().map(String::as_str));
                    if !news.is_empty() {
                        let news = news.into_iter().map(|(listed, ())| listed).collect();
                        effects.push(Effect::News(number, news));
                    }
                }
                Output::OutcomesReceived { server: srv, rule_set: set, counts }
                    if self.known[number].contains(&srv) =>
                {
                    let (srv, set) = (srv.as_str().into(), set.as_str().into());
                    effects.push(Effect::Counted { instance: number, srv, set, counts });
                }
                Output::StreamSyncDue(name) => {
                    if let Some(other) = self.reach(number, &Destination::Member(name)) {
                        effects.push(Effect::Later(now + MEETING, Due::Meeting(number, other)));
                    }
                }
                _ => {}
            }
        }
        let next = self.peers[number].next_tick_at().max(now + 1);
        if next < self.wake[number] {
            self.wake[number] = next;
            effects.push(Effect::Later(next, Due::Wake(number)));
        }
        let sent = effects.iter_mut().filter_map(|effect| match effect {
            Effect::Later(at, Due::Datagram { .. }) => Some(at),
            _ => None,
        });
        // Delays were drawn; from now on they are times.
        sent.for_each(|at| *at += now);
        effects
    }

    fn reach(&self, number: usize, to: &Destination) -> Option<usize> {
        let address = match to {
            Destination::Address(address) => *address,
            Destination::Member(name) => self.peers[number].swim().members().get(name)?.record.address,
        };
        number_of(address).filter(|other| *other < self.peers.len())
    }

    fn send(&mut self, from: usize, to: &Destination, bytes: Vec<u8>, effects: &mut Vec<Effect>) {
        let Some(to) = self.reach(from, to) else { return };
        self.bytes[from] += bytes.len() as u64;
        self.messages += 1;
        let twice = self.fleet.loss > 0.0 && self.chance.sample_bool(self.fleet.loss / 2.0);
        for _ in 0..1 + usize::from(twice) {
            let delay = self.fleet.delay.sample(&mut self.chance);
            if !self.through(from, to) || (self.fleet.loss > 0.0 && self.chance.sample_bool(self.fleet.loss))
            {
                continue;
            }
            effects.push(Effect::Later(delay, Due::Datagram { to, from, bytes: bytes.clone() }));
        }
    }
}

/// When each instance heeded a drain or a departure that one of them had heard of.
#[derive(Default)]
pub struct Heeded {
    by: BTreeMap<(Name, u64), BTreeMap<usize, Nanos>>,
}

/// Seconds after the first one had heard of it until so many had: over all such news, the mean.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct HeededAfter {
    pub news: usize,
    pub half_s: f64,
    pub most_s: f64,
    pub all_s: f64,
}

impl Heeded {
    /// One is told of it, by discovery or by others, for the first time.
    pub fn note(&mut self, now: Nanos, instance: usize, srv: &Name, version: u64) {
        self.by.entry((srv.clone(), version)).or_default().entry(instance).or_insert(now);
    }

    /// The newest of this srv's, for what comes without a version.
    pub fn note_last(&mut self, now: Nanos, instance: usize, srv: &Name) {
        if let Some((_, by)) = self.by.range_mut((srv.clone(), 0)..=(srv.clone(), u64::MAX)).next_back() {
            by.entry(instance).or_insert(now);
        }
    }

    pub fn after(&self) -> HeededAfter {
        let mut sums = [0.0; 3];
        for by in self.by.values() {
            let mut times: Vec<Nanos> = by.values().copied().collect();
            times.sort_unstable();
            let at =
                |part: f64| times[((times.len() as f64 * part).ceil() as usize).clamp(1, times.len()) - 1];
            for (sum, part) in sums.iter_mut().zip([0.5, 0.99, 1.0]) {
                *sum += (at(part) - times[0]) as f64 / S as f64;
            }
        }
        let news = self.by.len();
        let [half_s, most_s, all_s] = sums.map(|sum| sum / news.max(1) as f64);
        HeededAfter { news, half_s, most_s, all_s }
    }
}
