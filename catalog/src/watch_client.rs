//! The watches of a node: which replicas it asks, and what it knows from their responses.
//!
//! A node keeps several [`Watcher`]s, each of which asks one replica at a time and passes over those that do not respond.
//! [`EndpointView`] joins what they were told of endpoint records and suspected nodes. [`ReplicaDirectory`] orders the
//! replicas for requests about a key.
//!
//! Invariants: a view never goes back to a lower version of a record; a node is suspected only if every watcher that gets
//! responses was told so.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use ochreshed::Nanos;
use ochreshed_consensus::messages::{LeaseKey, Revision};

use crate::endpoints::{EndpointRecord, RecordVersion, TablePosition, place, watching_replicas};
use crate::internal_rpc::{AppliedEditions, WatchRequest, WatchResponse};

const MS: Nanos = 1_000_000;
/// How long a node's request waits for a change.
pub const MAX_WAIT: Nanos = 500 * MS;
/// A request has failed when there is no response for this long after its wait.
pub const RESPONSE_GRACE: Nanos = 600 * MS;
/// The pause after a request that failed.
pub const RETRY_INTERVAL: Nanos = 80 * MS;
/// How long watches pass over a replica that did not respond.
const WATCH_AVOID_TIME: Nanos = 1_500 * MS;
/// How long requests for leases pass over a replica that did not respond.
const LEASE_AVOID_TIME: Nanos = 2_000 * MS;

/// What one replica and this node know of each other.
#[derive(Default)]
struct ReplicaState {
    /// The changes of the replica's table that this node has.
    position: TablePosition,
    suspects_version: u64,
    suspects: HashSet<SocketAddr>,
    /// The version of this node's record that the replica has.
    known_record: RecordVersion,
    /// Until when the replica is passed over.
    avoided_until: Option<Nanos>,
    /// The digest of the registers that the replica told of, once this node has them.
    registers_digest: u64,
    /// The editions that the replica has.
    known_editions: AppliedEditions,
    /// The editions in force when the open request was sent.
    requested_editions: AppliedEditions,
}

/// One of the watches of a node.
///
/// The replicas are divided among a node's watchers, so that no two ask the same one while all respond.
pub struct Watcher {
    index: usize,
    watcher_count: usize,
    replicas: HashMap<SocketAddr, ReplicaState>,
}

impl Watcher {
    /// The watcher at this index, counted from 0, among so many of one node.
    pub fn new(index: usize, watcher_count: usize) -> Watcher {
        Watcher { index, watcher_count: watcher_count.max(1), replicas: HashMap::new() }
    }

    /// The replica to ask now: one of the watcher's own part of the ring if any responds, else any other, else the one
    /// that has been avoided longest. None where there are no replicas.
    pub fn next_replica(
        &mut self,
        now: Nanos,
        inbound_proxy: SocketAddr,
        replicas: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let ring = watching_replicas(inbound_proxy, replicas, replicas.len());
        self.replicas.retain(|replica, _| replicas.contains(replica));
        let avoided_until =
            |replica: &SocketAddr| self.replicas.get(replica).and_then(|state| state.avoided_until);
        let is_avoided = |replica: &SocketAddr| avoided_until(replica).is_some_and(|until| until > now);
        let own_part = ring.iter().skip(self.index).step_by(self.watcher_count);
        let preferred = own_part.chain(ring.iter()).find(|replica| !is_avoided(replica));
        preferred.or(ring.iter().min_by_key(|replica| avoided_until(replica))).copied()
    }

    /// The request to a replica. The node's record and editions are in it where the replica may not have them.
    pub fn request(
        &mut self,
        replica: SocketAddr,
        record: EndpointRecord,
        configuration: Revision,
        editions: AppliedEditions,
    ) -> WatchRequest {
        let state = self.replicas.entry(replica).or_default();
        state.requested_editions = editions;
        let editions_changed = state.known_editions != state.requested_editions;
        WatchRequest {
            inbound_proxy: Some(record.inbound_proxy),
            record: (state.known_record != record.record_version()).then_some(record),
            position: state.position,
            configuration,
            suspects_version: state.suspects_version,
            max_wait_ms: (MAX_WAIT / MS) as u32,
            from_replica: false,
            report: None,
            outcomes: Vec::new(),
            registers_digest: state.registers_digest,
            applied_editions: editions_changed.then(|| state.requested_editions.clone()),
            reports_only: false,
        }
    }

    /// Takes the response to a request that had this version of the node's record. Returns the nodes that the replica
    /// suspects.
    pub fn handle_response(
        &mut self,
        now: Nanos,
        replica: SocketAddr,
        sent_record: RecordVersion,
        has_configuration: bool,
        response: &WatchResponse,
    ) -> HashSet<SocketAddr> {
        let state = self.replicas.entry(replica).or_default();
        // A replica without a majority may not know the newest configuration, so that others are asked first.
        let avoid_time = if has_configuration { WATCH_AVOID_TIME } else { RETRY_INTERVAL };
        state.avoided_until = (!response.has_quorum).then_some(now + avoid_time);
        // A replica that has forgotten the node must be sent its record and editions again.
        let is_known = response.known_incarnation.is_some();
        let sent_editions = std::mem::take(&mut state.requested_editions);
        state.known_record = if is_known { sent_record } else { RecordVersion::default() };
        state.known_editions = if is_known { sent_editions } else { AppliedEditions::new() };
        state.position = response.position;
        if let Some(suspects) = &response.suspects {
            state.suspects_version = suspects.version;
            state.suspects = suspects.inbound_proxies.iter().copied().collect();
        }
        state.suspects.clone()
    }

    /// Notes that the node has the registers of this digest, of which the replica told.
    pub fn record_applied_registers(&mut self, replica: SocketAddr, digest: u64) {
        self.replicas.entry(replica).or_default().registers_digest = digest;
    }

    /// Notes that a replica did not respond.
    pub fn record_failure(
        &mut self,
        now: Nanos,
        replica: SocketAddr,
        has_configuration: bool,
        replica_count: usize,
    ) {
        let state = self.replicas.entry(replica).or_default();
        // A node without a configuration asks all replicas in turn until it has one.
        let one_turn = RETRY_INTERVAL * (replica_count as Nanos + 1);
        let avoid_time = if has_configuration { WATCH_AVOID_TIME } else { one_turn };
        state.avoided_until = Some(now + avoid_time);
        // The replica may have restarted and have forgotten the node.
        state.known_record = RecordVersion::default();
        state.known_editions.clear();
    }
}

/// An endpoint record with the time at which it was received.
#[derive(Clone, Debug)]
pub struct ReceivedRecord {
    /// The record.
    pub record: EndpointRecord,
    /// When this node received it.
    pub received_at: Nanos,
}

/// The endpoint records that a node knows, and the nodes that each watcher was told to suspect.
#[derive(Default)]
pub struct EndpointView {
    records: HashMap<SocketAddr, ReceivedRecord>,
    /// By the index of the watcher.
    suspects: HashMap<usize, HashSet<SocketAddr>>,
}

impl EndpointView {
    /// Takes what the watcher at this index was told. Returns whether anything has changed.
    pub fn merge(
        &mut self,
        now: Nanos,
        watcher: usize,
        records: Vec<EndpointRecord>,
        suspects: HashSet<SocketAddr>,
    ) -> bool {
        let mut changed = false;
        for record in records {
            let known = self.records.get(&record.inbound_proxy);
            if known.is_none_or(|known| known.record.record_version() < record.record_version()) {
                changed = true;
                self.records.insert(record.inbound_proxy, ReceivedRecord { record, received_at: now });
            }
        }
        if self.suspects.get(&watcher) != Some(&suspects) {
            changed = true;
            self.suspects.insert(watcher, suspects);
        }
        changed
    }

    /// Notes that a watcher gets no response; its suspects do not count any more.
    pub fn clear_suspects(&mut self, watcher: usize) {
        self.suspects.remove(&watcher);
    }

    /// The nodes that every watcher with responses was told to suspect.
    pub fn suspects(&self) -> HashSet<SocketAddr> {
        let intersection = |all: HashSet<SocketAddr>, one: HashSet<SocketAddr>| &all & &one;
        self.suspects.values().cloned().reduce(intersection).unwrap_or_default()
    }

    /// The number of nodes whose outbound proxy takes requests of clients.
    pub fn client_proxies(&self) -> usize {
        self.records.values().filter(|received| received.record.accepts_clients).count()
    }

    /// All records, in no order.
    pub fn records(&self) -> impl Iterator<Item = &ReceivedRecord> {
        self.records.values()
    }

    /// The record of a node.
    pub fn record(&self, inbound_proxy: SocketAddr) -> Option<&EndpointRecord> {
        self.records.get(&inbound_proxy).map(|received| &received.record)
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// A replica that a node knows.
struct KnownReplica {
    address: SocketAddr,
    /// Until when it is passed over because it did not respond.
    avoided_until: Option<Nanos>,
}

/// The replicas that a node knows, in the order in which requests go to them.
#[derive(Default)]
pub struct ReplicaDirectory {
    replicas: Vec<KnownReplica>,
}

impl ReplicaDirectory {
    /// Replaces the replicas by these. Those that were known keep their state.
    pub fn set_replicas(&mut self, replicas: impl IntoIterator<Item = SocketAddr>) {
        let addresses: Vec<SocketAddr> = replicas.into_iter().collect();
        self.replicas.retain(|known| addresses.contains(&known.address));
        for address in addresses {
            if self.find(address).is_none() {
                self.replicas.push(KnownReplica { address, avoided_until: None });
            }
        }
    }

    /// The addresses of the replicas.
    pub fn replicas(&self) -> Vec<SocketAddr> {
        self.replicas.iter().map(|known| known.address).collect()
    }

    /// Notes that a replica did not respond.
    pub fn mark_unresponsive(&mut self, now: Nanos, replica: SocketAddr) {
        if let Some(known) = self.find(replica) {
            known.avoided_until = Some(now + LEASE_AVOID_TIME);
        }
    }

    /// Notes that a replica has responded.
    pub fn mark_responsive(&mut self, replica: SocketAddr) {
        if let Some(known) = self.find(replica) {
            known.avoided_until = None;
        }
    }

    fn find(&mut self, replica: SocketAddr) -> Option<&mut KnownReplica> {
        self.replicas.iter_mut().find(|known| known.address == replica)
    }

    /// The replicas in the order in which requests about a key go to them: by the key's placement, and those that did not
    /// respond of late last.
    pub fn replicas_for_key(&self, now: Nanos, key: LeaseKey) -> Vec<SocketAddr> {
        let mut replicas: Vec<&KnownReplica> = self.replicas.iter().collect();
        replicas.sort_by_cached_key(|known| {
            let is_avoided = known.avoided_until.is_some_and(|until| until > now);
            (is_avoided, place(known.address, key), known.address)
        });
        replicas.into_iter().map(|known| known.address).collect()
    }
}
