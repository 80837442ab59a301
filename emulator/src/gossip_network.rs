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
const STREAM_SYNC_DURATION: Nanos = 5 * MS;

/// What is to happen later, or at an instance now.
pub enum GossipEffect {
    Schedule(Nanos, GossipEvent),
    /// Others have heard something else of these srvs.
    ListChanged(usize, Vec<ListedEndpoint>),
    OutcomesReceived {
        instance: usize,
        srv: Name,
        set: Name,
        counts: OutcomeCounts,
    },
}

pub enum GossipEvent {
    Tick(usize),
    Datagram { to: usize, from: usize, bytes: Vec<u8> },
    StreamSync(usize, usize),
}

pub struct GossipNetwork {
    config: GossipConfig,
    nodes: Vec<GossipNode>,
    server_lists: Vec<EndpointList<()>>,
    next_ticks: Vec<Nanos>,
    /// Balancers up to this number are cut off from the others.
    partition_size: usize,
    zone_count: usize,
    random: RandomStream,
    pub bytes_sent: Vec<u64>,
    pub messages: u64,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (number / 200) as u8, (number % 200) as u8 + 1], 7))
}

fn node_index(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            Some(usize::from(high) * 200 + usize::from(low).checked_sub(1)?)
        }
        SocketAddr::V6(_) => None,
    }
}

impl GossipNetwork {
    pub fn new(fleet: GossipConfig, seed: u64, instances: usize, zones: usize, now: Nanos) -> GossipNetwork {
        let mut network = GossipNetwork {
            config: fleet,
            nodes: Vec::new(),
            server_lists: vec![EndpointList::new(); instances],
            next_ticks: vec![Nanos::MAX; instances],
            partition_size: 0,
            zone_count: zones,
            random: RandomStream::new(seed, "fleet"),
            bytes_sent: vec![0; instances],
            messages: 0,
        };
        for number in 0..instances {
            let peer = network.new_node(number, now);
            network.nodes.push(peer);
        }
        network
    }

    fn new_node(&mut self, number: usize, now: Nanos) -> GossipNode {
        let settings = NodeSettings {
            fleet: "emulated".into(),
            name: format!("n{number}"),
            address: address(number),
            zone: format!("site-{}", number % self.zone_count.max(1)),
            start_id: (self.random.sample_fraction() * 2f64.powi(60)) as u64,
            seeds: (0..3).map(address).collect(),
            membership: SwimConfig::default(),
        };
        GossipNode::new(settings, now)
    }

    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Balancers up to this number are cut off from the others; none with 0.
    pub fn partition(&mut self, cut: usize) {
        self.partition_size = cut;
    }

    /// Its process ends, and the next one begins with nothing.
    pub fn restart_node(&mut self, now: Nanos, number: usize) -> Vec<GossipEffect> {
        self.nodes[number] = self.new_node(number, now);
        self.server_lists[number] = EndpointList::new();
        self.process_outputs(now, number)
    }

    /// The list as an instance has it from before: no news to anybody.
    pub fn set_initial_list(
        &mut self,
        now: Nanos,
        number: usize,
        entries: &[ListedEndpoint],
    ) -> Vec<GossipEffect> {
        let mut entries: Vec<(ListedEndpoint, ())> =
            entries.iter().map(|listed| (listed.clone(), ())).collect();
        self.server_lists[number].apply_discovery(self.nodes[number].store().statuses(), true, &mut entries);
        self.process_outputs(now, number)
    }

    /// Discovery tells an instance changes of the list; what the module hears of them.
    pub fn apply_discovery(
        &mut self,
        now: Nanos,
        number: usize,
        version: u64,
        entry: ListedEndpoint,
    ) -> (ListedEndpoint, Vec<GossipEffect>) {
        let said = (entry.name.to_string(), to_server_status(entry.state));
        self.nodes[number].apply_discovery(version, false, &[said]);
        let mut entries = [(entry, ())];
        self.server_lists[number].apply_discovery(self.nodes[number].store().statuses(), false, &mut entries);
        let [(listed, ())] = entries;
        (listed, self.process_outputs(now, number))
    }

    /// What came of a dispatch.
    pub fn record_outcomes(
        &mut self,
        now: Nanos,
        number: usize,
        srv: &str,
        set: &str,
        counts: OutcomeCounts,
    ) -> Vec<GossipEffect> {
        self.nodes[number].record_outcomes(now, srv, set, counts);
        self.process_outputs(now, number)
    }

    pub fn handle_event(&mut self, now: Nanos, due: GossipEvent) -> Vec<GossipEffect> {
        match due {
            GossipEvent::Tick(number) => {
                if self.next_ticks[number] > now {
                    return Vec::new();
                }
                self.next_ticks[number] = Nanos::MAX;
                self.nodes[number].tick(now);
                self.process_outputs(now, number)
            }
            GossipEvent::Datagram { to, from, bytes } => {
                self.nodes[to].receive(now, address(from), &bytes);
                self.process_outputs(now, to)
            }
            GossipEvent::StreamSync(one, other) => self.sync_streams(now, one, other),
        }
    }

    fn is_connected(&self, one: usize, other: usize) -> bool {
        (one < self.partition_size) == (other < self.partition_size)
    }

    /// Greetings, what differs there, what differs here; in one moment.
    fn sync_streams(&mut self, now: Nanos, one: usize, other: usize) -> Vec<GossipEffect> {
        let connected = one != other && self.is_connected(one, other);
        if connected {
            let (ours, theirs) = (self.nodes[one].hello(), self.nodes[other].hello());
            let (from_one, from_other) =
                (self.nodes[one].encode_differences(&theirs), self.nodes[other].encode_differences(&ours));
            for (from, to, pieces) in [(other, one, from_other), (one, other, from_one)] {
                for piece in pieces {
                    self.bytes_sent[from] += piece.len() as u64;
                    // Bytes of our own are read.
                    let _ = self.nodes[to].receive_stream_body(now, &piece);
                }
            }
        }
        self.nodes[one].finish_stream_sync(now, connected);
        let mut effects = self.process_outputs(now, one);
        effects.extend(self.process_outputs(now, other));
        effects
    }

    /// Takes on what a machine wants.
    fn process_outputs(&mut self, now: Nanos, number: usize) -> Vec<GossipEffect> {
        let mut effects = Vec::new();
        while let Some(output) = self.nodes[number].poll_output() {
            match output {
                Output::Send { to, bytes } => self.send(number, &to, bytes, &mut effects),
                Output::StatusesChanged(srvs) => {
                    let statuses = self.nodes[number].store().statuses();
                    let news = self.server_lists[number]
                        .apply_status_changes(statuses, srvs.iter().map(String::as_str));
                    if !news.is_empty() {
                        let news = news.into_iter().map(|(listed, ())| listed).collect();
                        effects.push(GossipEffect::ListChanged(number, news));
                    }
                }
                Output::OutcomesReceived { server: srv, rule_set: set, counts }
                    if self.server_lists[number].contains(&srv) =>
                {
                    let (srv, set) = (srv.as_str().into(), set.as_str().into());
                    effects.push(GossipEffect::OutcomesReceived { instance: number, srv, set, counts });
                }
                Output::StreamSyncDue(name) => {
                    if let Some(other) = self.resolve_destination(number, &Destination::Member(name)) {
                        effects.push(GossipEffect::Schedule(
                            now + STREAM_SYNC_DURATION,
                            GossipEvent::StreamSync(number, other),
                        ));
                    }
                }
                _ => {}
            }
        }
        let next = self.nodes[number].next_tick_at().max(now + 1);
        if next < self.next_ticks[number] {
            self.next_ticks[number] = next;
            effects.push(GossipEffect::Schedule(next, GossipEvent::Tick(number)));
        }
        let sent = effects.iter_mut().filter_map(|effect| match effect {
            GossipEffect::Schedule(at, GossipEvent::Datagram { .. }) => Some(at),
            _ => None,
        });
        // Delays were drawn; from now on they are times.
        sent.for_each(|at| *at += now);
        effects
    }

    fn resolve_destination(&self, number: usize, to: &Destination) -> Option<usize> {
        let address = match to {
            Destination::Address(address) => *address,
            Destination::Member(name) => self.nodes[number].swim().members().get(name)?.record.address,
        };
        node_index(address).filter(|other| *other < self.nodes.len())
    }

    fn send(&mut self, from: usize, to: &Destination, bytes: Vec<u8>, effects: &mut Vec<GossipEffect>) {
        let Some(to) = self.resolve_destination(from, to) else { return };
        self.bytes_sent[from] += bytes.len() as u64;
        self.messages += 1;
        let twice = self.config.loss > 0.0 && self.random.sample_bool(self.config.loss / 2.0);
        for _ in 0..1 + usize::from(twice) {
            let delay = self.config.delay.sample(&mut self.random);
            if !self.is_connected(from, to)
                || (self.config.loss > 0.0 && self.random.sample_bool(self.config.loss))
            {
                continue;
            }
            effects.push(GossipEffect::Schedule(
                delay,
                GossipEvent::Datagram { to, from, bytes: bytes.clone() },
            ));
        }
    }
}

/// When each instance heeded a drain or a departure that one of them had heard of.
#[derive(Default)]
pub struct PropagationTracker {
    heard_at: BTreeMap<(Name, u64), BTreeMap<usize, Nanos>>,
}

/// Seconds after the first one had heard of it until so many had: over all such news, the mean.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct PropagationDelays {
    #[serde(rename = "news")]
    pub changes: usize,
    pub half_s: f64,
    #[serde(rename = "most_s")]
    pub p99_s: f64,
    pub all_s: f64,
}

impl PropagationTracker {
    /// One is told of it, by discovery or by others, for the first time.
    pub fn record(&mut self, now: Nanos, instance: usize, srv: &Name, version: u64) {
        self.heard_at.entry((srv.clone(), version)).or_default().entry(instance).or_insert(now);
    }

    /// The newest of this srv's, for what comes without a version.
    pub fn record_latest(&mut self, now: Nanos, instance: usize, srv: &Name) {
        if let Some((_, by)) = self.heard_at.range_mut((srv.clone(), 0)..=(srv.clone(), u64::MAX)).next_back()
        {
            by.entry(instance).or_insert(now);
        }
    }

    pub fn mean_delays(&self) -> PropagationDelays {
        let mut sums = [0.0; 3];
        for by in self.heard_at.values() {
            let mut times: Vec<Nanos> = by.values().copied().collect();
            times.sort_unstable();
            let at =
                |part: f64| times[((times.len() as f64 * part).ceil() as usize).clamp(1, times.len()) - 1];
            for (sum, part) in sums.iter_mut().zip([0.5, 0.99, 1.0]) {
                *sum += (at(part) - times[0]) as f64 / S as f64;
            }
        }
        let news = self.heard_at.len();
        let [half_s, most_s, all_s] = sums.map(|sum| sum / news.max(1) as f64);
        PropagationDelays { changes: news, half_s, p99_s: most_s, all_s }
    }
}
