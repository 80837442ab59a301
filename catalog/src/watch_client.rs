//! The client side of watches: the replicas that a node polls, and the state from their responses.
//!
//! A node runs several [`Watcher`]s, each of which polls one replica at a time and skips unresponsive ones.
//! [`EndpointView`] merges the endpoint records and suspected nodes that they receive. [`ReplicaDirectory`] orders the
//! replicas for requests about a key.
//!
//! Invariants: a record is never replaced by one with a lower version; a node is suspected only if the replica of every
//! watcher that gets responses suspects it.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use ochreshed::Nanos;
use ochreshed_consensus::messages::{LeaseKey, Revision, TombstoneId};

use crate::endpoints::{EndpointRecord, RecordVersion, TablePosition, placement_rank, watching_replicas};
use crate::internal_rpc::{AppliedEditions, WatchRequest, WatchResponse};

const MS: Nanos = 1_000_000;
/// The long-poll duration of a node's request.
pub const MAX_WAIT: Nanos = 500 * MS;
/// The additional time after the long-poll duration until a request without a response has failed.
pub const RESPONSE_GRACE: Nanos = 600 * MS;
/// The delay after a failed request.
pub const RETRY_INTERVAL: Nanos = 80 * MS;
/// How long watches skip a replica that did not respond.
const WATCH_AVOID_TIME: Nanos = 1_500 * MS;
/// How long requests for leases try a replica that did not respond only after the others.
const LEASE_AVOID_TIME: Nanos = 2_000 * MS;

/// The watch state of one replica.
#[derive(Default)]
struct ReplicaState {
    /// The position of this node in the changes of the replica's table.
    position: TablePosition,
    suspects_version: u64,
    suspects: HashSet<SocketAddr>,
    /// The version of this node's record that the replica has.
    known_record: RecordVersion,
    /// The time until which the replica is skipped.
    avoided_until: Option<Nanos>,
    /// The digest of the replica's registers, once this node has applied them.
    registers_digest: u64,
    /// The editions that the replica has.
    known_editions: AppliedEditions,
    /// The editions that were applied when the pending request was sent.
    requested_editions: AppliedEditions,
}

/// One watch of a node.
///
/// The replicas are partitioned among a node's watchers, so that no two poll the same replica while all replicas
/// respond.
pub struct Watcher {
    index: usize,
    watcher_count: usize,
    replicas: HashMap<SocketAddr, ReplicaState>,
}

impl Watcher {
    /// Creates the watcher with this index, counted from 0, of `watcher_count` watchers of a node.
    pub fn new(index: usize, watcher_count: usize) -> Watcher {
        Watcher { index, watcher_count: watcher_count.max(1), replicas: HashMap::new() }
    }

    /// The replica to poll now: one of the watcher's own partition of the ring, else any other, else the one whose
    /// avoidance ends first. `None` if there are no replicas.
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
        let own_partition = ring.iter().skip(self.index).step_by(self.watcher_count);
        let preferred = own_partition.chain(ring.iter()).find(|replica| !is_avoided(replica));
        preferred.or(ring.iter().min_by_key(|replica| avoided_until(replica))).copied()
    }

    /// The request to a replica. It includes the node's record and editions if the replica may not have them.
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

    /// Handles the response to a request that was made with this version of the node's record. Returns the nodes that
    /// the replica suspects.
    pub fn handle_response(
        &mut self,
        now: Nanos,
        replica: SocketAddr,
        sent_record: RecordVersion,
        has_configuration: bool,
        response: &WatchResponse,
    ) -> HashSet<SocketAddr> {
        let state = self.replicas.entry(replica).or_default();
        // A replica without a majority may not have the newest configuration, so others are polled first.
        let avoid_time = if has_configuration { WATCH_AVOID_TIME } else { RETRY_INTERVAL };
        state.avoided_until = (!response.has_quorum).then_some(now + avoid_time);
        // A replica that does not know the node must be sent its record and editions again.
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

    /// Records that the node has applied the replica's registers with this digest.
    pub fn record_applied_registers(&mut self, replica: SocketAddr, digest: u64) {
        self.replicas.entry(replica).or_default().registers_digest = digest;
    }

    /// Records that a replica did not respond.
    pub fn record_failure(
        &mut self,
        now: Nanos,
        replica: SocketAddr,
        has_configuration: bool,
        replica_count: usize,
    ) {
        let state = self.replicas.entry(replica).or_default();
        // A node without a configuration polls all replicas in turn until it has one.
        let full_cycle = RETRY_INTERVAL * (replica_count as Nanos + 1);
        let avoid_time = if has_configuration { WATCH_AVOID_TIME } else { full_cycle };
        state.avoided_until = Some(now + avoid_time);
        // The replica may have restarted and lost the node's record.
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

/// The endpoint records known to a node, and the suspected nodes as received by each watcher.
#[derive(Default)]
pub struct EndpointView {
    records: HashMap<SocketAddr, ReceivedRecord>,
    /// The suspected nodes by watcher index.
    suspects: HashMap<usize, HashSet<SocketAddr>>,
}

impl EndpointView {
    /// Merges the records and suspects received by the watcher with this index. Returns whether anything has changed.
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

    /// Drops the suspects of a watcher that gets no responses.
    pub fn clear_suspects(&mut self, watcher: usize) {
        self.suspects.remove(&watcher);
    }

    /// The nodes that are suspected according to every watcher that gets responses.
    pub fn suspects(&self) -> HashSet<SocketAddr> {
        let intersection = |all: HashSet<SocketAddr>, one: HashSet<SocketAddr>| &all & &one;
        self.suspects.values().cloned().reduce(intersection).unwrap_or_default()
    }

    /// The number of nodes whose outbound proxy accepts client requests.
    pub fn client_proxies(&self) -> usize {
        self.records.values().filter(|received| received.record.accepts_clients).count()
    }

    /// All records, in no particular order.
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

/// A replica that is known to the node.
struct KnownReplica {
    address: SocketAddr,
    /// The time until which the replica is tried last because it did not respond.
    avoided_until: Option<Nanos>,
    /// Whether it stores tombstones; `None` until it has responded to a watch.
    supports_tombstones: Option<bool>,
}

/// The replicas that a request on a tombstone may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TombstoneReplicas {
    /// Those that are known to store tombstones, in the order of sending; none before the first has responded.
    Supporting(Vec<SocketAddr>),
    /// All replicas that have responded are of earlier versions.
    Unsupported,
}

/// The replicas known to a node, for selecting the order in which requests are sent to them.
#[derive(Default)]
pub struct ReplicaDirectory {
    replicas: Vec<KnownReplica>,
}

impl ReplicaDirectory {
    /// Replaces the list of replicas. Replicas that were already known keep their state.
    pub fn set_replicas(&mut self, replicas: impl IntoIterator<Item = SocketAddr>) {
        let addresses: Vec<SocketAddr> = replicas.into_iter().collect();
        self.replicas.retain(|known| addresses.contains(&known.address));
        for address in addresses {
            if self.find(address).is_none() {
                self.replicas.push(KnownReplica { address, avoided_until: None, supports_tombstones: None });
            }
        }
    }

    /// The addresses of the replicas.
    pub fn replicas(&self) -> Vec<SocketAddr> {
        self.replicas.iter().map(|known| known.address).collect()
    }

    /// Marks a replica that did not respond.
    pub fn mark_unresponsive(&mut self, now: Nanos, replica: SocketAddr) {
        if let Some(known) = self.find(replica) {
            known.avoided_until = Some(now + LEASE_AVOID_TIME);
        }
    }

    /// Marks a replica that has responded.
    pub fn mark_responsive(&mut self, replica: SocketAddr) {
        if let Some(known) = self.find(replica) {
            known.avoided_until = None;
        }
    }

    /// Records whether a replica stores tombstones.
    pub fn record_tombstone_support(&mut self, replica: SocketAddr, is_supported: bool) {
        if let Some(known) = self.find(replica) {
            known.supports_tombstones = Some(is_supported);
        }
    }

    /// The replicas that a request on this tombstone may be sent to.
    pub fn replicas_for_tombstone(&self, now: Nanos, id: TombstoneId) -> TombstoneReplicas {
        let support = |address: &SocketAddr| {
            let known = self.replicas.iter().find(|known| known.address == *address);
            known.and_then(|known| known.supports_tombstones)
        };
        let mut order = self.replicas_for_key(now, id);
        let is_unsupported = order.iter().any(|replica| support(replica) == Some(false));
        order.retain(|replica| support(replica) == Some(true));
        if order.is_empty() && is_unsupported {
            return TombstoneReplicas::Unsupported;
        }
        TombstoneReplicas::Supporting(order)
    }

    fn find(&mut self, replica: SocketAddr) -> Option<&mut KnownReplica> {
        self.replicas.iter_mut().find(|known| known.address == replica)
    }

    /// The replicas in the order in which to send requests about a key: by the key's placement, with replicas that did
    /// not respond recently last.
    pub fn replicas_for_key(&self, now: Nanos, key: LeaseKey) -> Vec<SocketAddr> {
        let mut replicas: Vec<&KnownReplica> = self.replicas.iter().collect();
        replicas.sort_by_cached_key(|known| {
            let is_avoided = known.avoided_until.is_some_and(|until| until > now);
            (is_avoided, placement_rank(known.address, key), known.address)
        });
        replicas.into_iter().map(|known| known.address).collect()
    }
}
