//! The server side of watches: when a replica of the control plane answers a pending request, and with what response.
//!
//! [`WatchServer::register`] turns a request into a [`PendingWatch`]; [`WatchServer::due_at`] determines when it is to
//! be answered, and [`WatchServer::respond`] creates the response. The server also merges the state of other replicas
//! ([`WatchServer::merge`]) and maintains the list of suspected nodes.
//!
//! Invariants: a request is answered at once if there is an urgent change; other changes wait until
//! [`WatchServer::min_interval`] after the request was received; a watch never loses a change.

use std::collections::HashMap;
use std::net::SocketAddr;

use ochreshed::Nanos;
use ochreshed_consensus::messages::{NamedRegister, Revision};

use crate::endpoints::{EndpointRecord, EndpointTable, TablePosition};
use crate::internal_rpc::{
    CollectedReports, DrainRequest, RegisterList, SuspectList, WatchRequest, WatchResponse,
};

const MS: Nanos = 1_000_000;
/// A node is suspected if it has not been heard from for this long.
pub const SUSPECT_AFTER: Nanos = 1_700 * MS;
/// The interval between updates of the suspects.
pub const SUSPECT_CHECK_INTERVAL: Nanos = 200 * MS;
/// The long-poll duration of requests between replicas.
pub const REPLICA_MAX_WAIT: Nanos = 400 * MS;
/// The minimum time from a response to the next request between replicas.
const MIN_REPLICA_WATCH_INTERVAL: Nanos = 20 * MS;
/// The additional time after the long-poll duration until a request between replicas without a response has failed.
pub const RESPONSE_GRACE: Nanos = 600 * MS;
/// The delay after a failed request between replicas.
pub const RETRY_INTERVAL: Nanos = 200 * MS;
/// Up to this number of records in the table, changes of records are sent without delay.
const UNPACED_RECORDS: usize = 100;
/// The additional delay of changes of records for each further record in the table.
const INTERVAL_PER_RECORD: Nanos = MS;
/// The maximum delay of changes of records.
const MAX_CHANGE_INTERVAL: Nanos = 400 * MS;
/// The upper limit on the long-poll duration that a request can ask for.
const MAX_WAIT_MS: u32 = 5_000;
/// How long an older version keeps a drain request.
const DRAIN_TTL_MS: u32 = 30_000;

/// The committed state of the control plane that watches distribute.
#[derive(Clone, Copy, Debug)]
pub struct CommittedState<'a> {
    /// The revision of the newest committed configuration.
    pub configuration: Option<Revision>,
    /// The addresses of the replicas.
    pub replicas: &'a [SocketAddr],
    /// Whether this replica is in contact with a majority.
    pub has_quorum: bool,
    /// The committed registers.
    pub registers: CommittedRegisters<'a>,
}

/// The committed registers with their digest.
#[derive(Clone, Copy, Debug, Default)]
pub struct CommittedRegisters<'a> {
    /// The digest of the list of registers; 0 if there are none.
    pub digest: u64,
    /// The registers.
    pub registers: &'a [NamedRegister],
}

/// A pending request that waits for a change.
pub struct PendingWatch {
    position: TablePosition,
    configuration: Revision,
    suspects_version: u64,
    registers_digest: u64,
    from_replica: bool,
    reports_only: bool,
    inbound_proxy: Option<SocketAddr>,
    /// The replicas that were known when the request was received.
    replicas: Vec<SocketAddr>,
    /// The record of the node's previous incarnation, which a restarted node does not know.
    previous_record: Option<EndpointRecord>,
    received_at: Nanos,
    /// The time after which the request is answered even if nothing has changed.
    pub max_wait: Nanos,
}

impl PendingWatch {
    /// Whether the request is from a node whose registers differ from the committed ones.
    fn lacks_registers(&self, state: CommittedState) -> bool {
        !self.from_replica && state.registers.digest != self.registers_digest
    }

    /// Whether the request is from a node whose list of suspects differs from this one.
    fn lacks_suspects(&self, suspects: &SuspectList) -> bool {
        !self.from_replica && suspects.version != self.suspects_version
    }
}

/// The result of [`WatchServer::register`].
pub struct RegisteredWatch {
    /// The pending request.
    pub pending: PendingWatch,
    /// Whether the request has changed the table, so that other pending requests may be due.
    pub table_changed: bool,
}

/// The endpoint table of a replica and its list of suspected nodes.
pub struct WatchServer {
    /// The endpoint table.
    pub table: EndpointTable,
    suspects: SuspectList,
}

impl WatchServer {
    /// Creates a server with an empty table. The incarnation must differ from that of any earlier table of this
    /// replica.
    pub fn new(incarnation: u64) -> WatchServer {
        WatchServer { table: EndpointTable::new(incarnation), suspects: SuspectList::default() }
    }

    /// Registers a request and merges the record that it contains.
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

    /// The record of the previous incarnation of a restarted node that does not know its upstream yet.
    fn previous_record(&self, record: &EndpointRecord) -> Option<EndpointRecord> {
        let known = self.table.record(record.inbound_proxy)?;
        let has_restarted = known.incarnation != record.incarnation && record.upstream_id.is_empty();
        (has_restarted && !known.upstream_id.is_empty()).then(|| known.clone())
    }

    /// The minimum interval between responses to one reader that contain only changes of records.
    ///
    /// Each change of a record is sent to every node, so the total cost grows quadratically with the number of nodes.
    pub fn min_interval(&self) -> Nanos {
        let paced_records = self.table.len().saturating_sub(UNPACED_RECORDS) as Nanos;
        (paced_records * INTERVAL_PER_RECORD).min(MAX_CHANGE_INTERVAL)
    }

    /// The delay before a replica polls another one again, so that small changes are batched.
    pub fn replica_watch_interval(&self) -> Nanos {
        MIN_REPLICA_WATCH_INTERVAL.max(self.min_interval() / 4)
    }

    /// When a request is to be answered; `None` while nothing has changed.
    pub fn due_at(&self, pending: &PendingWatch, state: CommittedState) -> Option<Nanos> {
        let records_changed = self.table.position() != pending.position;
        if self.has_urgent_change(pending, state) {
            return Some(pending.received_at);
        }
        let changed = records_changed || pending.lacks_suspects(&self.suspects);
        changed.then(|| pending.received_at + self.min_interval())
    }

    /// Whether there is a change that must be sent without delay.
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

    /// Creates the response to a request. `reports` is given if the request asks for them.
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
            supports_tombstones: true,
        }
    }

    /// The drain requests for a response: a node's own, and for a replica those of the changed records.
    fn drains(&self, pending: &PendingWatch) -> Vec<DrainRequest> {
        let own =
            pending.inbound_proxy.and_then(|node| Some((node, self.table.requested_drain(node)?.to_owned())));
        let changed =
            if pending.from_replica { self.table.drains_since(pending.position) } else { Vec::new() };
        let request =
            |(inbound_proxy, upstream_id)| DrainRequest { inbound_proxy, upstream_id, ttl_ms: DRAIN_TTL_MS };
        own.into_iter().chain(changed).map(request).collect()
    }

    /// The nodes that have not been heard from recently.
    pub fn suspects(&self) -> &[SocketAddr] {
        &self.suspects.inbound_proxies
    }

    /// Merges a response of another replica. Returns whether the table has changed.
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

    /// Updates the list of suspected nodes. Returns its length if it has changed.
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

/// The request of a replica to another one for the changes of its table after a position.
pub fn replica_watch_request(position: TablePosition) -> WatchRequest {
    WatchRequest {
        record: None,
        inbound_proxy: None,
        position,
        // Replicas receive the configuration and determine the suspects by other means, so this request claims to have
        // the newest of both.
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
