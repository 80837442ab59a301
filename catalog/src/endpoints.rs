//! The table of all nodes of the mesh and their upstreams, as held by one replica of the control plane.
//!
//! Each node publishes one [`EndpointRecord`] about itself; of two records, the one with the higher [`RecordVersion`]
//! wins. A replica stores the records in an [`EndpointTable`], which numbers its changes: a reader sends the
//! [`TablePosition`] up to which it has them and receives the later ones. An operator's request to drain an upstream is
//! stored with the record, because the node loses it when it restarts.
//!
//! Invariants: a record is never replaced by one with a lower version; the sender of a request, not this module,
//! decides whether an upstream is eligible.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::net::SocketAddr;

use ochreshed::Nanos;
use ochreshed_consensus::messages::TombstoneId;
use serde::{Deserialize, Serialize};

pub use ochreshed_consensus::placement::placement_rank;

/// A record is removed if its node has not been heard from for this long.
const RECORD_TTL: Nanos = 90_000_000_000;
/// The maximum number of records in a table; records of further nodes are ignored.
const MAX_RECORDS: usize = 20_000;
const NANOS_PER_MS: Nanos = 1_000_000;

/// Whether an upstream accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// The upstream accepts requests.
    #[serde(rename = "Open")]
    Serving,
    /// The upstream finishes running requests and accepts no new ones.
    #[serde(rename = "Closing")]
    Draining,
    /// The node has no upstream, or its process has ended.
    #[serde(rename = "None")]
    Absent,
}

/// The state as shown in log lines.
impl fmt::Display for UpstreamState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            UpstreamState::Serving => "serving",
            UpstreamState::Draining => "draining",
            UpstreamState::Absent => "absent",
        })
    }
}

/// The health of an upstream, derived by its inbound proxy from the outcomes of requests.
///
/// Both levels are 0 for a healthy upstream. Older versions neither send nor read this value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UpstreamHealth {
    /// The level of failures: 1 from a failure rate of 30%, 2 from 60%, otherwise 0.
    #[serde(rename = "fails")]
    pub failure_level: u8,
    /// The level of latency: 1 from 2.5 times the long-term latency, 2 from 5 times, otherwise 0.
    #[serde(rename = "slow")]
    pub latency_level: u8,
}

impl UpstreamHealth {
    /// Whether both levels are 0.
    pub fn is_healthy(&self) -> bool {
        *self == UpstreamHealth::default()
    }
}

/// The information that a node publishes about itself and its upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The address of the inbound proxy, which identifies the node.
    #[serde(rename = "door")]
    pub inbound_proxy: SocketAddr,
    /// The incarnation of the node's process, higher than that of any earlier process of the node.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Increases with each change within one incarnation.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The zone of the node.
    pub zone: String,
    /// The service of the upstream.
    #[serde(rename = "line")]
    pub service: String,
    /// The identity of the upstream's process; empty if no upstream is known.
    #[serde(rename = "id")]
    pub upstream_id: String,
    /// The version of the upstream's software.
    #[serde(rename = "edition")]
    pub software_version: String,
    /// Whether the upstream accepts requests.
    #[serde(rename = "stand")]
    pub state: UpstreamState,
    /// The maximum number of concurrent requests at the upstream.
    #[serde(rename = "slots")]
    pub concurrency_limit: u32,
    /// The remaining slow-start time of the upstream, in milliseconds from when the record was sent.
    #[serde(rename = "cold_ms")]
    pub warming_up_ms: u64,
    /// Whether the upstream has been observed calling other services.
    #[serde(rename = "calls")]
    pub calls_services: bool,
    /// Whether the node's outbound proxy accepts client requests.
    #[serde(rename = "serving")]
    pub accepts_clients: bool,
    /// The health of the upstream. Older versions neither send nor read it.
    #[serde(rename = "ill", default, skip_serializing_if = "UpstreamHealth::is_healthy")]
    pub health: UpstreamHealth,
}

impl EndpointRecord {
    /// The version of the record, by which records of one node are compared.
    pub fn record_version(&self) -> RecordVersion {
        RecordVersion { incarnation: self.incarnation, sequence: self.sequence }
    }

    /// Whether the upstream may be the one with this identity: it is that one, or the node does not know its upstream
    /// yet.
    fn may_be_upstream(&self, upstream_id: &str) -> bool {
        let is_running = self.upstream_id == upstream_id && self.state != UpstreamState::Absent;
        is_running || self.upstream_id.is_empty()
    }
}

/// The version of a node's record; the default is lower than that of any record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordVersion {
    /// The incarnation of the node's process.
    pub incarnation: u64,
    /// The sequence number of the change within the incarnation.
    pub sequence: u64,
}

/// The position of a reader in the changes of a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TablePosition {
    /// The incarnation of the table; positions of different incarnations are not comparable.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The sequence number of the last change that the reader has; 0 for none.
    #[serde(rename = "number")]
    pub sequence: u64,
}

/// A record with the state that the table keeps for its node.
struct TableEntry {
    record: EndpointRecord,
    /// The sequence number of the last change of the entry.
    sequence: u64,
    last_heard: Nanos,
    suspected: bool,
    /// The identity of the upstream that an operator has requested to drain. It is kept as long as that upstream runs,
    /// because the node loses the request when it restarts.
    drain_request: Option<String>,
}

/// The records of all nodes known to a replica.
pub struct EndpointTable {
    position: TablePosition,
    entries: HashMap<SocketAddr, TableEntry>,
    /// The node of each change by sequence number; only the last change of each node is kept.
    changes: BTreeMap<u64, SocketAddr>,
    /// The nodes whose records were removed while they appeared to accept requests. Readers keep those records, so
    /// these nodes stay suspected until they return.
    removed: BTreeSet<SocketAddr>,
    /// Whether a removed node has returned since the last update of the suspects.
    has_returned: bool,
}

impl EndpointTable {
    /// Creates an empty table. The incarnation must differ from that of any earlier table of this replica.
    pub fn new(incarnation: u64) -> EndpointTable {
        EndpointTable {
            position: TablePosition { incarnation, sequence: 0 },
            entries: HashMap::new(),
            changes: BTreeMap::new(),
            removed: BTreeSet::new(),
            has_returned: false,
        }
    }

    /// The position of a reader that has all changes.
    pub fn position(&self) -> TablePosition {
        self.position
    }

    fn add_change(&mut self, inbound_proxy: SocketAddr) -> u64 {
        self.position.sequence += 1;
        self.changes.insert(self.position.sequence, inbound_proxy);
        self.position.sequence
    }

    /// Stores a record if it is newer than the one in the table, and returns whether it was. The node was last heard
    /// from `age` before `now`.
    pub fn merge(&mut self, now: Nanos, record: &EndpointRecord, age: Nanos) -> bool {
        let last_heard = now.saturating_sub(age);
        if let Some(entry) = self.entries.get_mut(&record.inbound_proxy) {
            if record.record_version() == entry.record.record_version() {
                entry.last_heard = entry.last_heard.max(last_heard);
            }
            if record.record_version() <= entry.record.record_version() {
                return false;
            }
        } else if self.entries.len() >= MAX_RECORDS {
            return false;
        }
        self.replace_record(record, last_heard);
        true
    }

    fn replace_record(&mut self, record: &EndpointRecord, last_heard: Nanos) {
        let sequence = self.add_change(record.inbound_proxy);
        self.has_returned |= self.removed.remove(&record.inbound_proxy);
        let previous = self.entries.remove(&record.inbound_proxy);
        if let Some(previous) = &previous {
            self.changes.remove(&previous.sequence);
        }
        let entry = TableEntry {
            record: record.clone(),
            sequence,
            last_heard,
            // A suspected node stays suspected until the next update, which detects the change and informs readers.
            suspected: previous.as_ref().is_some_and(|previous| previous.suspected),
            drain_request: previous
                .and_then(|previous| previous.drain_request)
                .filter(|upstream_id| record.may_be_upstream(upstream_id)),
        };
        self.entries.insert(record.inbound_proxy, entry);
    }

    /// Stores an operator's request to drain an upstream, received directly or from another replica. Returns whether
    /// the request is new; a new request is sent to readers with the record.
    pub fn request_drain(&mut self, inbound_proxy: SocketAddr, upstream_id: &str) -> bool {
        let is_new = self.entries.get(&inbound_proxy).is_some_and(|entry| {
            !upstream_id.is_empty()
                && entry.record.may_be_upstream(upstream_id)
                && entry.drain_request.as_deref() != Some(upstream_id)
        });
        if !is_new {
            return false;
        }
        let sequence = self.add_change(inbound_proxy);
        if let Some(entry) = self.entries.get_mut(&inbound_proxy) {
            self.changes.remove(&entry.sequence);
            entry.sequence = sequence;
            entry.drain_request = Some(upstream_id.to_owned());
        }
        true
    }

    /// The upstream that the node has been requested to drain but still reports as serving.
    pub fn requested_drain(&self, inbound_proxy: SocketAddr) -> Option<&str> {
        let entry = self.entries.get(&inbound_proxy)?;
        let is_serving =
            |id: &&str| entry.record.upstream_id == *id && entry.record.state == UpstreamState::Serving;
        entry.drain_request.as_deref().filter(is_serving)
    }

    /// The drain requests of the entries that changed after a position.
    pub fn drains_since(&self, position: TablePosition) -> Vec<(SocketAddr, String)> {
        let drain = |entry: &TableEntry| Some((entry.record.inbound_proxy, entry.drain_request.clone()?));
        self.entries_since(position).filter_map(drain).collect()
    }

    fn entries_since(&self, position: TablePosition) -> impl Iterator<Item = &TableEntry> {
        let is_of_this_table = position.incarnation == self.position.incarnation;
        let last_known = if is_of_this_table { position.sequence } else { 0 };
        let changes = self.changes.range(last_known + 1..);
        changes.filter_map(|(_, inbound_proxy)| self.entries.get(inbound_proxy))
    }

    /// The known incarnation of a node; a restarted process must use a higher one.
    pub fn known_incarnation(&self, inbound_proxy: SocketAddr) -> Option<u64> {
        self.entries.get(&inbound_proxy).map(|entry| entry.record.incarnation)
    }

    /// The records that changed after a position; all records if the position is of another table.
    pub fn records_since(&self, position: TablePosition) -> Vec<EndpointRecord> {
        self.entries_since(position).map(|entry| entry.record.clone()).collect()
    }

    /// The time since each node was last heard from, in milliseconds.
    pub fn last_heard_ms_ago(&self, now: Nanos) -> Vec<(SocketAddr, u32)> {
        let age_ms = |entry: &TableEntry| {
            let age_ms = now.saturating_sub(entry.last_heard) / NANOS_PER_MS;
            u32::try_from(age_ms).unwrap_or(u32::MAX)
        };
        self.entries.iter().map(|(inbound_proxy, entry)| (*inbound_proxy, age_ms(entry))).collect()
    }

    /// Records that a node was heard from `age` before `now`.
    pub fn note_heard(&mut self, now: Nanos, inbound_proxy: SocketAddr, age: Nanos) {
        if let Some(entry) = self.entries.get_mut(&inbound_proxy) {
            entry.last_heard = entry.last_heard.max(now.saturating_sub(age));
        }
    }

    /// Marks exactly the nodes that have not been heard from for `suspect_after` as suspected. Returns whether the list
    /// of suspects has changed.
    pub fn update_suspects(&mut self, now: Nanos, suspect_after: Nanos) -> bool {
        self.remove_expired(now);
        let mut changed = std::mem::take(&mut self.has_returned);
        for entry in self.entries.values_mut() {
            let suspected = now.saturating_sub(entry.last_heard) > suspect_after;
            changed |= suspected != entry.suspected;
            entry.suspected = suspected;
        }
        changed
    }

    fn remove_expired(&mut self, now: Nanos) {
        let is_expired = |entry: &TableEntry| now.saturating_sub(entry.last_heard) > RECORD_TTL;
        let expired: Vec<SocketAddr> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_expired(entry))
            .map(|(inbound_proxy, _)| *inbound_proxy)
            .collect();
        for inbound_proxy in expired {
            let Some(entry) = self.entries.remove(&inbound_proxy) else { continue };
            self.changes.remove(&entry.sequence);
            let appeared_to_serve =
                entry.record.accepts_clients && entry.record.state == UpstreamState::Serving;
            if appeared_to_serve && self.removed.len() < MAX_RECORDS {
                self.removed.insert(inbound_proxy);
            }
        }
    }

    /// The suspected nodes, ordered by address.
    pub fn suspects(&self) -> Vec<SocketAddr> {
        let suspected = self.entries.iter().filter(|(_, entry)| entry.suspected);
        let mut suspects: Vec<SocketAddr> = suspected.map(|(inbound_proxy, _)| *inbound_proxy).collect();
        suspects.extend(&self.removed);
        suspects.sort();
        suspects
    }

    /// The record of a node.
    pub fn record(&self, inbound_proxy: SocketAddr) -> Option<&EndpointRecord> {
        self.entries.get(&inbound_proxy).map(|entry| &entry.record)
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All records, in no particular order.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.entries.values().map(|entry| &entry.record)
    }
}

/// The id of the tombstone that marks an upstream's process beside a node as draining or ended.
#[must_use]
pub fn tombstone_id(inbound_proxy: SocketAddr, upstream_id: &str) -> TombstoneId {
    xxhash_rust::xxh3::xxh3_128(format!("upstream {inbound_proxy} {upstream_id}").as_bytes())
}

/// The replicas that a node watches: the first `count` at or after the node's position on the hash ring.
pub fn watching_replicas(node: SocketAddr, replicas: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
    let ring_hash = |address: &SocketAddr| xxhash_rust::xxh3::xxh3_64(address.to_string().as_bytes());
    let mut ring: Vec<(u64, SocketAddr)> =
        replicas.iter().map(|replica| (ring_hash(replica), *replica)).collect();
    ring.sort();
    ring.dedup();
    let first = ring.partition_point(|(hash, _)| *hash < ring_hash(&node));
    let count = count.min(ring.len());
    ring.iter().cycle().skip(first).take(count).map(|(_, replica)| *replica).collect()
}
