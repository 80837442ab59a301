//! The list of branches and their upstreams. It owns the rows, which of two copies of a row is the later one, and what
//! has changed since a version. It must never judge whether a row is worth sending to: that is the sender's.
//!
//! An operator's wish that a life be drained stands beside the row, for the attendant may forget it and its row with it.
//!
//! A row has one writer, the attendant it is about. A steward keeps the rows it was told by attendants and by other
//! stewards, and numbers its changes; whoever asks with the number it has gets what came after.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use ochreshed::Nanos;
use serde::{Deserialize, Serialize};

/// A row of which nothing was heard for so long is forgotten.
const FORGET: Nanos = 90_000_000_000;
/// More rows than these are not kept.
const MOST: usize = 20_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    #[serde(rename = "Open")]
    Serving,
    /// It takes nothing new.
    #[serde(rename = "Closing")]
    Draining,
    /// There is none beside that attendant, or it has ended.
    #[serde(rename = "None")]
    Absent,
}

/// The health of an upstream as its inbound proxy judges it from the outcomes of requests.
///
/// Both levels are 0 for a healthy upstream. Older programs neither send nor read this value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UpstreamHealth {
    /// How many requests fail: 0, then 1 from 30% and 2 from 60% on.
    #[serde(rename = "fails")]
    pub failure_level: u8,
    /// How much longer requests run than they did over the long term: 0, then 1 from 2.5 times and 2 from 5 times on.
    #[serde(rename = "slow")]
    pub latency_level: u8,
}

impl UpstreamHealth {
    /// Whether neither failures nor latency are raised.
    pub fn is_healthy(&self) -> bool {
        *self == UpstreamHealth::default()
    }
}

/// What an attendant tells of itself and of the upstream beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The address of the inbound proxy.
    #[serde(rename = "door")]
    pub inbound_proxy: SocketAddr,
    /// The life of the attendant's process, and a number that goes up with each change: the later row is the higher one.
    #[serde(rename = "life")]
    pub incarnation: u64,
    #[serde(rename = "number")]
    pub sequence: u64,
    pub zone: String,
    /// The upstream's service, its life's id, and its version of software.
    #[serde(rename = "line")]
    pub service: String,
    #[serde(rename = "id")]
    pub upstream_id: String,
    #[serde(rename = "edition")]
    pub software_version: String,
    #[serde(rename = "stand")]
    pub state: UpstreamState,
    #[serde(rename = "slots")]
    pub concurrency_limit: u32,
    /// How much longer it is slow, when this was told.
    #[serde(rename = "cold_ms")]
    pub warming_up_ms: u64,
    /// It was seen to call other services.
    #[serde(rename = "calls")]
    pub calls_services: bool,
    /// The attendant is there and serves its gate.
    #[serde(rename = "serving")]
    pub accepts_clients: bool,
    /// How the upstream does by what its door saw. Older programs neither tell nor read it.
    #[serde(rename = "ill", default, skip_serializing_if = "UpstreamHealth::is_healthy")]
    pub health: UpstreamHealth,
}

impl EndpointRecord {
    pub fn record_version(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }
}

/// Where a reader stands in a table: the table's life and the number of the last change it has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TablePosition {
    #[serde(rename = "life")]
    pub incarnation: u64,
    #[serde(rename = "number")]
    pub sequence: u64,
}

struct Held {
    row: EndpointRecord,
    /// The table's number at its last change.
    number: u64,
    heard: Nanos,
    quiet: bool,
    /// The upstream's life that an operator wants drained: kept while that life lasts, also while an attendant that has
    /// just started does not know of it.
    drained: Option<String>,
}

impl Held {
    /// Whether the row may still be about this life.
    fn may_be(row: &EndpointRecord, id: &str) -> bool {
        row.upstream_id == id && row.state != UpstreamState::Absent || row.upstream_id.is_empty()
    }
}

/// A steward's rows.
pub struct EndpointTable {
    mark: TablePosition,
    rows: HashMap<SocketAddr, Held>,
    changes: BTreeMap<u64, SocketAddr>,
    /// Forgotten while they were quiet and seemed to take reqs; and that one of them has come back since the last look.
    gone: BTreeSet<SocketAddr>,
    returned: bool,
}

impl EndpointTable {
    /// `life` differs from that of any table that stood here before.
    pub fn new(life: u64) -> EndpointTable {
        EndpointTable {
            mark: TablePosition { incarnation: life, sequence: 0 },
            rows: HashMap::new(),
            changes: BTreeMap::new(),
            gone: BTreeSet::new(),
            returned: false,
        }
    }

    pub fn position(&self) -> TablePosition {
        self.mark
    }

    fn changed(&mut self, door: SocketAddr) -> u64 {
        self.mark.sequence += 1;
        self.changes.insert(self.mark.sequence, door);
        self.mark.sequence
    }

    /// Takes a row; whether it is news. `heard` tells how long ago its attendant was heard of.
    pub fn merge(&mut self, now: Nanos, row: &EndpointRecord, heard: Nanos) -> bool {
        let heard = now.saturating_sub(heard);
        if let Some(held) = self.rows.get_mut(&row.inbound_proxy) {
            if row.record_version() == held.row.record_version() {
                held.heard = held.heard.max(heard);
            }
            if row.record_version() <= held.row.record_version() {
                return false;
            }
        } else if self.rows.len() >= MOST {
            return false;
        }
        let number = self.changed(row.inbound_proxy);
        self.returned |= self.gone.remove(&row.inbound_proxy);
        // One that was quiet is so until the next look, which then tells that it is not any more.
        let quiet = self.rows.get(&row.inbound_proxy).is_some_and(|was| was.quiet);
        let held = Held { row: row.clone(), number, heard, quiet, drained: None };
        if let Some(was) = self.rows.insert(row.inbound_proxy, held) {
            self.changes.remove(&was.number);
            let drained = was.drained.filter(|id| Held::may_be(row, id));
            if let Some(held) = self.rows.get_mut(&row.inbound_proxy) {
                held.drained = drained;
            }
        }
        true
    }

    /// An operator, or another steward that was told by one, wants this life drained; whether that is news, which goes
    /// round with the row.
    pub fn drain(&mut self, door: SocketAddr, id: &str) -> bool {
        let wanted = self.rows.get(&door).is_some_and(|held| {
            !id.is_empty() && Held::may_be(&held.row, id) && held.drained.as_deref() != Some(id)
        });
        if wanted {
            let number = self.changed(door);
            if let Some(held) = self.rows.get_mut(&door) {
                self.changes.remove(&held.number);
                (held.number, held.drained) = (number, Some(id.to_owned()));
            }
        }
        wanted
    }

    /// The life that an attendant is to drain and has not yet.
    pub fn requested_drain(&self, door: SocketAddr) -> Option<&str> {
        let held = self.rows.get(&door)?;
        held.drained
            .as_deref()
            .filter(|id| held.row.upstream_id == *id && held.row.state == UpstreamState::Serving)
    }

    /// The lives to be drained among those rows that came after a mark.
    pub fn drains_since(&self, mark: TablePosition) -> Vec<(SocketAddr, String)> {
        let drained = |held: &Held| Some((held.row.inbound_proxy, held.drained.clone()?));
        self.after(mark).filter_map(drained).collect()
    }

    fn after(&self, mark: TablePosition) -> impl Iterator<Item = &Held> {
        let from = if mark.incarnation == self.mark.incarnation { mark.sequence } else { 0 };
        self.changes.range(from + 1..).filter_map(|(_, door)| self.rows.get(door))
    }

    /// The life under which an attendant is known here: one that starts must be above it.
    pub fn known_incarnation(&self, door: SocketAddr) -> Option<u64> {
        self.rows.get(&door).map(|held| held.row.incarnation)
    }

    /// What came after a mark; all of it when the mark is of another table.
    pub fn since(&self, mark: TablePosition) -> Vec<EndpointRecord> {
        self.after(mark).map(|held| held.row.clone()).collect()
    }

    /// How long ago each attendant was heard of.
    pub fn last_heard_ms_ago(&self, now: Nanos) -> Vec<(SocketAddr, u32)> {
        let age = |held: &Held| (now.saturating_sub(held.heard) / 1_000_000).min(u64::from(u32::MAX)) as u32;
        self.rows.iter().map(|(door, held)| (*door, age(held))).collect()
    }

    pub fn heard(&mut self, now: Nanos, door: SocketAddr, age: Nanos) {
        if let Some(held) = self.rows.get_mut(&door) {
            held.heard = held.heard.max(now.saturating_sub(age));
        }
    }

    /// Whose quietness has changed: not heard of for `after`, or heard again.
    pub fn update_suspects(&mut self, now: Nanos, after: Nanos) -> bool {
        let old: Vec<SocketAddr> = self
            .rows
            .iter()
            .filter(|(_, held)| now.saturating_sub(held.heard) > FORGET)
            .map(|(door, _)| *door)
            .collect();
        let mut changed = std::mem::take(&mut self.returned);
        for door in old {
            if let Some(held) = self.rows.remove(&door) {
                self.changes.remove(&held.number);
                // Readers keep its row: for them it must not seem to be there again.
                if held.row.accepts_clients
                    && held.row.state == UpstreamState::Serving
                    && self.gone.len() < MOST
                {
                    self.gone.insert(door);
                }
            }
        }
        for held in self.rows.values_mut() {
            let quiet = now.saturating_sub(held.heard) > after;
            changed |= quiet != held.quiet;
            held.quiet = quiet;
        }
        changed
    }

    /// Those of whom nothing was heard of late.
    pub fn suspects(&self) -> Vec<SocketAddr> {
        let mut quiet: Vec<SocketAddr> =
            self.rows.iter().filter(|(_, held)| held.quiet).map(|(door, _)| *door).collect();
        quiet.extend(&self.gone);
        quiet.sort();
        quiet
    }

    pub fn record(&self, door: SocketAddr) -> Option<&EndpointRecord> {
        self.rows.get(&door).map(|held| &held.row)
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.rows.values().map(|held| &held.row)
    }
}

pub use ochreshed_consensus::placement::place;

/// The watchers of a place on the ring: the first so many stewards at or behind it.
pub fn watching_replicas(place: SocketAddr, stewards: &[SocketAddr], many: usize) -> Vec<SocketAddr> {
    let at = |address: &SocketAddr| xxhash_rust::xxh3::xxh3_64(address.to_string().as_bytes());
    let mut ring: Vec<(u64, SocketAddr)> = stewards.iter().map(|steward| (at(steward), *steward)).collect();
    ring.sort();
    ring.dedup();
    let from = ring.partition_point(|(place_of, _)| *place_of < at(&place));
    ring.iter().cycle().skip(from).take(many.min(ring.len())).map(|(_, steward)| *steward).collect()
}
