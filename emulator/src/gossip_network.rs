//! Gossip between the balancers of the first tier in simulated time: the nodes of `gossip/` as the program runs them, over
//! a network that loses, duplicates and delays messages and can be partitioned. An instance learns only what a message
//! brought to its node.

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

/// Network between the gossip nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GossipConfig {
    /// One-way delay.
    pub delay: DurationDistribution,
    /// Fraction of messages that is lost; half that fraction is duplicated.
    #[serde(default)]
    pub loss: f64,
}

/// Duration of a stream synchronization.
const STREAM_SYNC_DURATION: Nanos = 5 * MS;

/// What the simulation has to do for a node.
pub enum GossipEffect {
    Schedule(Nanos, GossipEvent),
    /// Gossip changed the state of these servers for an instance.
    ListChanged(usize, Vec<ListedEndpoint>),
    OutcomesReceived {
        instance: usize,
        server: Name,
        rule_set: Name,
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
    /// Nodes below this index are partitioned from the others; none at 0.
    partition_size: usize,
    zone_count: usize,
    random: RandomStream,
    pub bytes_sent: Vec<u64>,
    pub messages: u64,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (node / 200) as u8, (node % 200) as u8 + 1], 7))
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
        for node in 0..instances {
            let peer = network.new_node(node, now);
            network.nodes.push(peer);
        }
        network
    }

    fn new_node(&mut self, node: usize, now: Nanos) -> GossipNode {
        let settings = NodeSettings {
            fleet: "emulated".into(),
            name: format!("n{node}"),
            address: address(node),
            zone: format!("site-{}", node % self.zone_count.max(1)),
            start_id: (self.random.sample_fraction() * 2f64.powi(60)) as u64,
            seeds: (0..3).map(address).collect(),
            membership: SwimConfig::default(),
        };
        GossipNode::new(settings, now)
    }

    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Partitions the nodes below this index from the others; 0 ends the partition.
    pub fn partition(&mut self, cut: usize) {
        self.partition_size = cut;
    }

    /// Restarts a node without state.
    pub fn restart_node(&mut self, now: Nanos, node: usize) -> Vec<GossipEffect> {
        self.nodes[node] = self.new_node(node, now);
        self.server_lists[node] = EndpointList::new();
        self.process_outputs(now, node)
    }

    /// Sets the endpoint list that an instance starts with; it is not gossiped.
    pub fn set_initial_list(
        &mut self,
        now: Nanos,
        node: usize,
        entries: &[ListedEndpoint],
    ) -> Vec<GossipEffect> {
        let mut entries: Vec<(ListedEndpoint, ())> =
            entries.iter().map(|listed| (listed.clone(), ())).collect();
        self.server_lists[node].apply_discovery(self.nodes[node].store().statuses(), true, &mut entries);
        self.process_outputs(now, node)
    }

    /// Applies a discovery update; returns what the routing policy has to see, with the effects.
    pub fn apply_discovery(
        &mut self,
        now: Nanos,
        node: usize,
        version: u64,
        entry: ListedEndpoint,
    ) -> (ListedEndpoint, Vec<GossipEffect>) {
        let update = (entry.name.to_string(), to_server_status(entry.state));
        self.nodes[node].apply_discovery(version, false, &[update]);
        let mut entries = [(entry, ())];
        self.server_lists[node].apply_discovery(self.nodes[node].store().statuses(), false, &mut entries);
        let [(listed, ())] = entries;
        (listed, self.process_outputs(now, node))
    }

    /// Records the outcome of a dispatch.
    pub fn record_outcomes(
        &mut self,
        now: Nanos,
        node: usize,
        server: &str,
        rule_set: &str,
        counts: OutcomeCounts,
    ) -> Vec<GossipEffect> {
        self.nodes[node].record_outcomes(now, server, rule_set, counts);
        self.process_outputs(now, node)
    }

    pub fn handle_event(&mut self, now: Nanos, due: GossipEvent) -> Vec<GossipEffect> {
        match due {
            GossipEvent::Tick(node) => {
                if self.next_ticks[node] > now {
                    return Vec::new();
                }
                self.next_ticks[node] = Nanos::MAX;
                self.nodes[node].tick(now);
                self.process_outputs(now, node)
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

    /// Exchanges hellos and differences between two nodes, without delay.
    fn sync_streams(&mut self, now: Nanos, one: usize, other: usize) -> Vec<GossipEffect> {
        let connected = one != other && self.is_connected(one, other);
        if connected {
            let (ours, theirs) = (self.nodes[one].hello(), self.nodes[other].hello());
            let (from_one, from_other) =
                (self.nodes[one].encode_differences(&theirs), self.nodes[other].encode_differences(&ours));
            for (from, to, pieces) in [(other, one, from_other), (one, other, from_one)] {
                for piece in pieces {
                    self.bytes_sent[from] += piece.len() as u64;
                    // Messages of our own encoder decode.
                    let _ = self.nodes[to].receive_stream_body(now, &piece);
                }
            }
        }
        self.nodes[one].finish_stream_sync(now, connected);
        let mut effects = self.process_outputs(now, one);
        effects.extend(self.process_outputs(now, other));
        effects
    }

    /// Collects the outputs of a node as effects.
    fn process_outputs(&mut self, now: Nanos, node: usize) -> Vec<GossipEffect> {
        let mut effects = Vec::new();
        while let Some(output) = self.nodes[node].poll_output() {
            match output {
                Output::Send { to, bytes } => self.send(node, &to, bytes, &mut effects),
                Output::StatusesChanged(servers) => {
                    let statuses = self.nodes[node].store().statuses();
                    let changes = self.server_lists[node]
                        .apply_status_changes(statuses, servers.iter().map(String::as_str));
                    if !changes.is_empty() {
                        let changes = changes.into_iter().map(|(listed, ())| listed).collect();
                        effects.push(GossipEffect::ListChanged(node, changes));
                    }
                }
                Output::OutcomesReceived { server, rule_set, counts }
                    if self.server_lists[node].contains(&server) =>
                {
                    let (server, rule_set) = (server.as_str().into(), rule_set.as_str().into());
                    effects.push(GossipEffect::OutcomesReceived { instance: node, server, rule_set, counts });
                }
                Output::StreamSyncDue(name) => {
                    if let Some(other) = self.resolve_destination(node, &Destination::Member(name)) {
                        effects.push(GossipEffect::Schedule(
                            now + STREAM_SYNC_DURATION,
                            GossipEvent::StreamSync(node, other),
                        ));
                    }
                }
                _ => {}
            }
        }
        let next = self.nodes[node].next_tick_at().max(now + 1);
        if next < self.next_ticks[node] {
            self.next_ticks[node] = next;
            effects.push(GossipEffect::Schedule(next, GossipEvent::Tick(node)));
        }
        let sent = effects.iter_mut().filter_map(|effect| match effect {
            GossipEffect::Schedule(at, GossipEvent::Datagram { .. }) => Some(at),
            _ => None,
        });
        // Datagrams carry their sampled delay up to here; make it a time.
        sent.for_each(|at| *at += now);
        effects
    }

    fn resolve_destination(&self, node: usize, to: &Destination) -> Option<usize> {
        let address = match to {
            Destination::Address(address) => *address,
            Destination::Member(name) => self.nodes[node].swim().members().get(name)?.record.address,
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

/// When each instance learned of a drain or departure, by server and discovery version.
#[derive(Default)]
pub struct PropagationTracker {
    heard_at: BTreeMap<(Name, u64), BTreeMap<usize, Nanos>>,
}

/// Mean seconds from the first instance that learned of a drain or departure until 50%, 99% and all had.
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
    /// An instance learned of it, by discovery or gossip; only the first time counts.
    pub fn record(&mut self, now: Nanos, instance: usize, server: &Name, version: u64) {
        self.heard_at.entry((server.clone(), version)).or_default().entry(instance).or_insert(now);
    }

    /// As `record`, for the latest version of the server: gossip carries no version.
    pub fn record_latest(&mut self, now: Nanos, instance: usize, server: &Name) {
        if let Some((_, by)) =
            self.heard_at.range_mut((server.clone(), 0)..=(server.clone(), u64::MAX)).next_back()
        {
            by.entry(instance).or_insert(now);
        }
    }

    pub fn mean_delays(&self) -> PropagationDelays {
        let mut sums = [0.0; 3];
        for by in self.heard_at.values() {
            let mut times: Vec<Nanos> = by.values().copied().collect();
            times.sort_unstable();
            let at = |fraction: f64| {
                times[((times.len() as f64 * fraction).ceil() as usize).clamp(1, times.len()) - 1]
            };
            for (sum, fraction) in sums.iter_mut().zip([0.5, 0.99, 1.0]) {
                *sum += (at(fraction) - times[0]) as f64 / S as f64;
            }
        }
        let changes = self.heard_at.len();
        let [half_s, p99_s, all_s] = sums.map(|sum| sum / changes.max(1) as f64);
        PropagationDelays { changes, half_s, p99_s, all_s }
    }
}
