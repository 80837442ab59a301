//! The watches of a replica of the control plane: when a waiting request is answered and with what.
//!
//! [`WatchServer::register`] takes a request and makes a [`PendingWatch`] of it; [`WatchServer::due_at`] says from when on it
//! is to be answered and [`WatchServer::respond`] makes the response. The server also takes what other replicas know
//! ([`WatchServer::merge`]) and keeps the list of suspected nodes.
//!
//! Invariants: a request is answered at once when there is a change that can't wait, and otherwise no later than after
//! [`WatchServer::min_interval`]; a watch never loses a change.

use std::collections::HashMap;
use std::net::SocketAddr;

use ochreshed::Nanos;
use ochreshed_consensus::messages::{NamedRegister, Revision};

use crate::endpoints::{EndpointRecord, EndpointTable, TablePosition};
use crate::internal_rpc::{
    CollectedReports, DrainRequest, RegisterList, SuspectList, WatchRequest, WatchResponse,
};

const MS: Nanos = 1_000_000;
/// A node is suspected when it has not been heard from for this long.
pub const SUSPECT_AFTER: Nanos = 1_700 * MS;
/// The time between two updates of the suspects.
pub const SUSPECT_CHECK_INTERVAL: Nanos = 200 * MS;
/// How long a replica's request to another one waits for a change.
pub const REPLICA_MAX_WAIT: Nanos = 400 * MS;
/// The least time from a response between replicas to the next request.
const MIN_REPLICA_WATCH_INTERVAL: Nanos = 20 * MS;
/// A request between replicas has failed when there is no response for this long after its wait.
pub const RESPONSE_GRACE: Nanos = 600 * MS;
/// The pause after a request between replicas that failed.
pub const RETRY_INTERVAL: Nanos = 200 * MS;
/// Up to this number of records, changes of records are sent at once.
const UNPACED_RECORDS: usize = 100;
/// How much longer changes of records wait for each further record.
const INTERVAL_PER_RECORD: Nanos = MS;
/// The longest time that changes of records wait for more.
const MAX_CHANGE_INTERVAL: Nanos = 400 * MS;
/// The longest time that a request waits, whatever it asks for.
const MAX_WAIT_MS: u32 = 5_000;
/// How long an older program keeps a request to drain.
const DRAIN_TTL_MS: u32 = 30_000;

/// What the control plane has committed, as far as watches tell it.
#[derive(Clone, Copy, Debug)]
pub struct CommittedState<'a> {
    /// The revision of the newest committed configuration.
    pub configuration: Option<Revision>,
    /// The addresses of the replicas.
    pub replicas: &'a [SocketAddr],
    /// Whether this replica is in touch with a majority.
    pub has_quorum: bool,
    /// The committed registers.
    pub registers: CommittedRegisters<'a>,
}

/// The committed registers with their digest.
#[derive(Clone, Copy, Debug, Default)]
pub struct CommittedRegisters<'a> {
    /// Tells two lists of registers apart; 0 where there are none.
    pub digest: u64,
    /// The registers.
    pub registers: &'a [NamedRegister],
}

/// A request that waits for a change.
pub struct PendingWatch {
    position: TablePosition,
    configuration: Revision,
    suspects_version: u64,
    registers_digest: u64,
    from_replica: bool,
    reports_only: bool,
    inbound_proxy: Option<SocketAddr>,
    /// The replicas that were known when the request came.
    replicas: Vec<SocketAddr>,
    /// The record of the node's earlier incarnation, which a node that has just started does not know.
    previous_record: Option<EndpointRecord>,
    received_at: Nanos,
    /// The time after which the request is answered though nothing has changed.
    pub max_wait: Nanos,
}

impl PendingWatch {
    /// Whether a node has other registers than the committed ones.
    fn lacks_registers(&self, state: CommittedState) -> bool {
        !self.from_replica && state.registers.digest != self.registers_digest
    }

    /// Whether a node has another list of suspects than this one.
    fn lacks_suspects(&self, suspects: &SuspectList) -> bool {
        !self.from_replica && suspects.version != self.suspects_version
    }
}

/// A request that [`WatchServer::register`] has taken.
pub struct RegisteredWatch {
    /// The request, which waits for a change.
    pub pending: PendingWatch,
    /// Whether the request has changed the table, so that others are to be answered.
    pub table_changed: bool,
}

/// The endpoint table of a replica and its list of suspected nodes.
pub struct WatchServer {
    /// The endpoint table.
    pub table: EndpointTable,
    suspects: SuspectList,
}

impl WatchServer {
    /// A server with an empty table. The incarnation differs from that of any table that this replica had before.
    pub fn new(incarnation: u64) -> WatchServer {
        WatchServer { table: EndpointTable::new(incarnation), suspects: SuspectList::default() }
    }

    /// Takes a request and the record that comes with it.
    pub fn register(&mut self, now: Nanos, request: &WatchRequest, state: CommittedState) -> RegisteredWatch {
        let mut previous_record = None;
        let mut table_changed = false;
        if let Some(record) = &request.record {
            previous_record = self.previous_record(record);
            table_changed = self.table.merge(now, record, 0);
        }
        let inbound_proxy =
            request.record.as_ref().map(|record| record.inbound_proxy).or(request.inbound_proxy);
        if let Some(inbound_proxy) = inbound_proxy {
            self.table.note_heard(now, inbound_proxy, 0);
        }
        let pending = PendingWatch {
            position: request.position,
            configuration: request.configuration,
            suspects_version: request.suspects_version,
            registers_digest: request.registers_digest,
            from_replica: request.from_replica,
            reports_only: request.reports_only,
            inbound_proxy,
            replicas: state.replicas.to_vec(),
            previous_record,
            received_at: now,
            max_wait: Nanos::from(request.max_wait_ms.min(MAX_WAIT_MS)) * MS,
        };
        RegisteredWatch { pending, table_changed }
    }

    /// The record of an earlier incarnation of a node that has just started and knows no upstream.
    fn previous_record(&self, record: &EndpointRecord) -> Option<EndpointRecord> {
        let known = self.table.record(record.inbound_proxy)?;
        let has_restarted = known.incarnation != record.incarnation && record.upstream_id.is_empty();
        (has_restarted && !known.upstream_id.is_empty()).then(|| known.clone())
    }

    /// The least time between two responses to one reader that only have changes of records.
    ///
    /// Each change of a record goes to every node, so that the cost of all changes grows with the square of the nodes.
    pub fn min_interval(&self) -> Nanos {
        let paced_records = self.table.len().saturating_sub(UNPACED_RECORDS) as Nanos;
        (paced_records * INTERVAL_PER_RECORD).min(MAX_CHANGE_INTERVAL)
    }

    /// The time that a replica waits before it asks another one again, so that many small changes go together.
    pub fn replica_watch_interval(&self) -> Nanos {
        MIN_REPLICA_WATCH_INTERVAL.max(self.min_interval() / 4)
    }

    /// From when on a request is to be answered; none while nothing has changed.
    pub fn due_at(&self, pending: &PendingWatch, state: CommittedState) -> Option<Nanos> {
        let records_changed = self.table.position() != pending.position;
        if self.has_urgent_change(pending, state) {
            return Some(pending.received_at);
        }
        let changed = records_changed || pending.lacks_suspects(&self.suspects);
        changed.then(|| pending.received_at + self.min_interval())
    }

    /// Whether there is a change that does not wait for others.
    fn has_urgent_change(&self, pending: &PendingWatch, state: CommittedState) -> bool {
        let position = self.table.position();
        let records_changed = position != pending.position;
        let is_new_table = position.incarnation != pending.position.incarnation;
        let must_drain =
            || pending.inbound_proxy.is_some_and(|node| self.table.requested_drain(node).is_some());
        pending.previous_record.is_some()
            || state.configuration.is_some_and(|revision| revision > pending.configuration)
            || state.replicas != pending.replicas
            || pending.lacks_registers(state)
            || records_changed && (is_new_table || must_drain())
    }

    /// The response to a request; `reports` is for one that asks for them.
    pub fn respond(
        &self,
        now: Nanos,
        pending: PendingWatch,
        state: CommittedState,
        reports: Option<Box<CollectedReports>>,
    ) -> WatchResponse {
        let changed_records =
            if pending.reports_only { Vec::new() } else { self.table.records_since(pending.position) };
        let suspects = pending.lacks_suspects(&self.suspects).then(|| self.suspects.clone());
        let registers = pending.lacks_registers(state).then(|| register_list(state.registers));
        let known_incarnation = pending.inbound_proxy.and_then(|node| self.table.known_incarnation(node));
        let last_heard_ms_ago =
            if pending.from_replica { self.table.last_heard_ms_ago(now) } else { Vec::new() };
        let drains = self.drains(&pending);
        WatchResponse {
            position: self.table.position(),
            records: pending.previous_record.into_iter().chain(changed_records).collect(),
            configuration: state.configuration.filter(|revision| *revision > pending.configuration),
            replicas: state.replicas.to_vec(),
            suspects,
            has_quorum: state.has_quorum,
            known_incarnation,
            last_heard_ms_ago,
            drains,
            reports,
            registers,
            outcomes: Vec::new(),
        }
    }

    /// The requests to drain: a node's own, and for a replica those of the records that changed.
    fn drains(&self, pending: &PendingWatch) -> Vec<DrainRequest> {
        let own =
            pending.inbound_proxy.and_then(|node| Some((node, self.table.requested_drain(node)?.to_owned())));
        let changed =
            if pending.from_replica { self.table.drains_since(pending.position) } else { Vec::new() };
        let request =
            |(inbound_proxy, upstream_id)| DrainRequest { inbound_proxy, upstream_id, ttl_ms: DRAIN_TTL_MS };
        own.into_iter().chain(changed).map(request).collect()
    }

    /// The nodes that have not been heard from of late.
    pub fn suspects(&self) -> &[SocketAddr] {
        &self.suspects.inbound_proxies
    }

    /// Takes what another replica knows. Returns whether that has changed the table.
    pub fn merge(&mut self, now: Nanos, response: &WatchResponse) -> bool {
        let ages_ms: HashMap<SocketAddr, u32> = response.last_heard_ms_ago.iter().copied().collect();
        let mut changed = false;
        for record in &response.records {
            let age_ms = ages_ms.get(&record.inbound_proxy).copied().unwrap_or(0);
            changed |= self.table.merge(now, record, Nanos::from(age_ms) * MS);
        }
        for (inbound_proxy, age_ms) in ages_ms {
            self.table.note_heard(now, inbound_proxy, Nanos::from(age_ms) * MS);
        }
        for drain in &response.drains {
            changed |= self.table.request_drain(drain.inbound_proxy, &drain.upstream_id);
        }
        changed
    }

    /// Updates the suspected nodes. Returns their number where they have changed.
    pub fn update_suspects(&mut self, now: Nanos) -> Option<usize> {
        if !self.table.update_suspects(now, SUSPECT_AFTER) {
            return None;
        }
        self.suspects =
            SuspectList { version: self.suspects.version + 1, inbound_proxies: self.table.suspects() };
        Some(self.suspects.inbound_proxies.len())
    }
}

fn register_list(committed: CommittedRegisters) -> RegisterList {
    let revision = |register: &NamedRegister| (register.name.clone(), register.value.revision());
    RegisterList { digest: committed.digest, revisions: committed.registers.iter().map(revision).collect() }
}

/// The request with which a replica asks another one for the changes of its table after a position.
pub fn replica_watch_request(position: TablePosition) -> WatchRequest {
    WatchRequest {
        record: None,
        inbound_proxy: None,
        position,
        // Replicas get the configuration and the suspects otherwise: what they have counts as the newest.
        configuration: Revision::new(u64::MAX, 0),
        suspects_version: u64::MAX,
        max_wait_ms: (REPLICA_MAX_WAIT / MS) as u32,
        from_replica: true,
        report: None,
        outcomes: Vec::new(),
        registers_digest: 0,
        applied_editions: None,
        reports_only: false,
    }
}
