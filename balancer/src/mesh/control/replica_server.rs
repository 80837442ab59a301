//! The server side of a replica: watches of proxies and replicas, requests to the core, and the state that operators'
//! calls read.
//!
//! Main types: [`ReplicaServer`], shared by all tasks of the process, and [`ReplicaEvent`], which they send to the
//! event loop that owns the core.
//!
//! Invariants: a watch is answered as soon as there is a change for the watcher, and no lock is held while it waits;
//! all decisions are made by the core.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use ochreshed::Nanos;
use ochreshed_catalog::configuration_update::{ConfigurationUpdate, UpdateCache};
use ochreshed_catalog::endpoints::EndpointTable;
use ochreshed_catalog::internal_rpc;
use ochreshed_catalog::internal_rpc::{CollectedReport, NodeEdition};
use ochreshed_catalog::traffic_reports::EditionOutcomes;
use ochreshed_catalog::watch_server::RegisteredWatch;
use ochreshed_catalog::watch_server::{PendingWatch, WatchServer};
use ochreshed_consensus::messages::{CoreRequest, CoreResponse, LeaseKey, Message, Revision};
use ochreshed_traffic::budget_reports::BudgetReports;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, timeout, timeout_at};

use super::budget_reports::{self, CollectedReports};
use super::committed_state::PublishedState;
use super::disk_writer::DiskWriteCounts;
use super::member_directory::MemberDirectory;
use super::replica_status::ReplicaStatus;
use crate::clock::Clock;
use crate::connection::lock;
use crate::mesh::rpc::{InternalRequest, InternalResponse, RpcClients, WatchRequest, WatchResponse};
use crate::mesh::settings::Settings;
use crate::mesh::shared::member_documents;
use crate::mesh::shared::recovery_time::RecoveryTime;

/// Timeout for requests of other processes to the core.
const CORE_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for operators' calls.
pub const ADMIN_CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The size limit of one response with registers.
const MAX_REGISTERS_RESPONSE_BYTES: usize = 8 << 20;

/// Events that the tasks of the process send to the event loop.
pub enum ReplicaEvent {
    /// A message from another replica.
    Message(Message),
    /// A request to the core, with its response channel.
    Request(CoreRequest, oneshot::Sender<CoreResponse>),
    /// The seeds in the settings file changed.
    SeedsChanged(Vec<SocketAddr>),
    /// Reads the core's status, with the lease on the key if one is given.
    ReadStatus(Option<LeaseKey>, oneshot::Sender<ReplicaStatus>),
    /// The process was asked to stop, so that other replicas may replace it.
    Leave,
}

/// State shared by all tasks of a replica.
pub struct ReplicaServer {
    pub clock: Clock,
    /// The address of this replica for other processes.
    pub address: SocketAddr,
    pub settings: ArcSwap<Settings>,
    pub members: MemberDirectory,
    pub recovery_time: RecoveryTime,
    pub disk_writes: Arc<DiskWriteCounts>,
    /// RPC clients for other processes.
    pub rpc_clients: RpcClients,
    published: ArcSwap<PublishedState>,
    watches: Mutex<WatchServer>,
    /// The reports that proxies sent to this replica.
    reports: Mutex<BudgetReports>,
    /// Incremented at each change that a watcher may be waiting for.
    changes: watch::Sender<u64>,
    events: mpsc::Sender<ReplicaEvent>,
    updates: UpdateCache,
    /// Locked while an update is encoded. Many proxies request the same update at once; the first request caches it.
    encoding: tokio::sync::Mutex<()>,
}

impl ReplicaServer {
    /// Creates a server without any state. `events` is the queue of the event loop.
    #[must_use]
    pub fn new(
        clock: Clock,
        address: SocketAddr,
        settings: Settings,
        events: mpsc::Sender<ReplicaEvent>,
    ) -> ReplicaServer {
        ReplicaServer {
            clock,
            address,
            settings: ArcSwap::from_pointee(settings),
            members: MemberDirectory::default(),
            recovery_time: RecoveryTime::default(),
            disk_writes: Arc::default(),
            rpc_clients: RpcClients::default(),
            published: ArcSwap::default(),
            watches: Mutex::new(WatchServer::new(rand::random())),
            reports: Mutex::default(),
            changes: watch::Sender::new(0),
            events,
            updates: UpdateCache::default(),
            encoding: tokio::sync::Mutex::default(),
        }
    }

    /// Returns the most recently published state of the core.
    #[must_use]
    pub fn published(&self) -> Arc<PublishedState> {
        self.published.load_full()
    }

    /// Replaces the published state. The configuration is cached first, because a watcher may fetch it immediately.
    pub fn publish(&self, state: PublishedState) {
        if let Some(configuration) = &state.configuration {
            self.updates.add(configuration);
        }
        self.published.store(Arc::new(state));
    }

    /// Wakes all tasks that wait for a change.
    pub fn notify_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified of each change.
    pub fn subscribe_to_changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the inbound proxies that are suspected to have failed.
    #[must_use]
    pub fn suspects(&self) -> Vec<SocketAddr> {
        lock(&self.watches).suspects().to_vec()
    }

    /// Calls `read` with the endpoint table, under its lock.
    pub fn read_endpoints<T>(&self, read: impl FnOnce(&EndpointTable) -> T) -> T {
        read(&lock(&self.watches).table)
    }

    /// Requests the inbound proxy of an upstream to drain it.
    pub fn request_drain(&self, inbound_proxy: SocketAddr, upstream_id: &str) {
        let is_new = lock(&self.watches).table.request_drain(inbound_proxy, upstream_id);
        if is_new {
            self.notify_change();
        }
    }

    /// Updates the suspected proxies and removes reports of proxies that are no longer in the table. Returns the number
    /// of suspects if it has changed.
    pub fn update_suspects(&self) -> Option<usize> {
        let mut watches = lock(&self.watches);
        lock(&self.reports).retain(|proxy| watches.table.record(proxy).is_some());
        self.members.retain_nodes(|proxy| watches.table.record(proxy).is_some());
        watches.update_suspects(self.clock.now())
    }

    /// Merges another replica's response to a watch.
    pub fn merge_peer_response(&self, response: &WatchResponse) {
        let is_new = lock(&self.watches).merge(self.clock.now(), response);
        if is_new {
            self.notify_change();
        }
    }

    /// Returns the wait between a peer's response and the next watch, which batches small changes.
    #[must_use]
    pub fn peer_watch_interval(&self) -> Duration {
        Duration::from_nanos(lock(&self.watches).replica_watch_interval())
    }

    /// Sends an event to the event loop. The event is lost if the loop has ended.
    pub async fn send_event(&self, event: ReplicaEvent) {
        let _ = self.events.send(event).await;
    }

    /// Sends a request to the core and waits for its response, which is `Unavailable` after `time_limit`.
    pub async fn request_core(&self, request: CoreRequest, time_limit: Duration) -> CoreResponse {
        let (responder, response) = oneshot::channel();
        if self.events.send(ReplicaEvent::Request(request, responder)).await.is_err() {
            return CoreResponse::Unavailable;
        }
        let response = timeout(time_limit, response).await.ok().and_then(Result::ok);
        response.unwrap_or(CoreResponse::Unavailable)
    }

    /// Returns the core's status, with the lease on `key` if one is given; `None` if the event loop did not respond in
    /// time.
    pub async fn read_status(&self, key: Option<LeaseKey>) -> Option<ReplicaStatus> {
        let (responder, status) = oneshot::channel();
        self.send_event(ReplicaEvent::ReadStatus(key, responder)).await;
        timeout(ADMIN_CALL_TIMEOUT, status).await.ok()?.ok()
    }

    /// Collects the reports that proxies sent to this replica and to all others that respond.
    pub async fn collect_reports(&self, now: Nanos) -> CollectedReports {
        let recovery_ms = self.recovery_time.recorded_ms().map(|recovery_ms| (self.address, recovery_ms));
        let own = CollectedReports {
            reports: lock(&self.reports).clone(),
            replica_recovery_ms: recovery_ms.into_iter().collect(),
            unreachable_replicas: Vec::new(),
        };
        budget_reports::collect_from_peers(&self.rpc_clients, self.peers(), now, own).await
    }

    /// Returns the addresses of the other replicas.
    #[must_use]
    pub fn peers(&self) -> Vec<SocketAddr> {
        let published = self.published.load();
        published.replicas.iter().copied().filter(|replica| *replica != self.address).collect()
    }

    /// Handles a request of another process; `None` for messages, which have no response.
    pub async fn handle_request(self: Arc<Self>, request: InternalRequest) -> Option<InternalResponse> {
        match request {
            InternalRequest::Watch(request) => {
                Some(InternalResponse::Watch(Box::new(self.answer_watch(request).await)))
            }
            InternalRequest::Core(request) => {
                Some(InternalResponse::Core(self.request_core(request, CORE_REQUEST_TIMEOUT).await))
            }
            InternalRequest::Configuration(known) => {
                Some(InternalResponse::Configuration(self.configuration_update(known).await))
            }
            InternalRequest::Registers(known) => {
                let published = self.published.load();
                let newer = member_documents::newer_registers(
                    published.registers.values.iter(),
                    &known,
                    MAX_REGISTERS_RESPONSE_BYTES,
                );
                Some(InternalResponse::Registers(newer))
            }
            InternalRequest::AppliedEditions(member) => {
                let nodes = self.members.editions_by_node(&member).into_iter();
                let nodes = nodes.map(|(inbound_proxy, edition)| NodeEdition {
                    inbound_proxy,
                    version: edition.version,
                    canary: edition.canary,
                });
                Some(InternalResponse::AppliedEditions(nodes.collect()))
            }
            InternalRequest::ReplicaMessage(message) => {
                self.forward_message(message).await;
                None
            }
        }
    }

    /// Forwards a replica's message to the event loop if its content matches its digest.
    async fn forward_message(&self, message: Message) {
        if message.is_intact() {
            self.send_event(ReplicaEvent::Message(message)).await;
        } else {
            log::warn!(
                "message dropped, its content does not match its digest: replica={}",
                message.from.address
            );
        }
    }

    /// Returns the newest configuration as an update of the one that the reader has.
    async fn configuration_update(self: &Arc<Self>, known: Revision) -> Option<Arc<ConfigurationUpdate>> {
        let _encoding = self.encoding.lock().await;
        let server = self.clone();
        tokio::task::spawn_blocking(move || server.updates.update_from(known)).await.ok()?
    }

    /// Answers a watch as soon as there is a change for the watcher, or after its maximum wait.
    async fn answer_watch(self: Arc<Self>, request: WatchRequest) -> WatchResponse {
        let mut changes = self.changes.subscribe();
        let RegisteredWatch { pending, table_changed } = {
            let published = self.published.load();
            lock(&self.watches).register(self.clock.now(), &request, published.as_committed())
        };
        if table_changed {
            self.notify_change();
        }
        let deadline = Instant::now() + Duration::from_nanos(pending.max_wait);
        let reports_only = request.reports_only;
        self.store_proxy_reports(request);
        let reports = reports_only.then(|| Box::new(self.received_reports()));
        let outcomes = reports.as_deref().map(outcomes_by_proxy).unwrap_or_default();
        loop {
            changes.mark_unchanged();
            let due = self.watch_due(&pending, deadline);
            if Instant::now() >= due {
                break;
            }
            let _ = timeout_at(due, changes.changed()).await;
        }
        let published = self.published.load();
        let response =
            lock(&self.watches).respond(self.clock.now(), pending, published.as_committed(), reports);
        WatchResponse { outcomes, ..response }
    }

    /// Returns when the watch is due to be answered in the current state.
    fn watch_due(&self, pending: &PendingWatch, deadline: Instant) -> Instant {
        let published = self.published.load();
        let due = lock(&self.watches).due_at(pending, published.as_committed());
        due.map_or(deadline, |due| self.clock.instant(due).min(deadline))
    }

    /// Stores the reports that a proxy sent with its watch.
    fn store_proxy_reports(&self, request: WatchRequest) {
        let proxy = request.record.map(|record| record.inbound_proxy).or(request.inbound_proxy);
        let Some(proxy) = proxy else { return };
        if let Some(mut report) = request.report {
            report.outcomes = request.outcomes;
            lock(&self.reports).store(self.clock.now(), proxy, report, 0);
        }
        if let Some(applied) = request.applied_editions {
            self.members.store_applied_editions(proxy, applied);
        }
    }

    /// Returns the reports received by this replica, for another replica.
    fn received_reports(&self) -> internal_rpc::CollectedReports {
        internal_rpc::CollectedReports {
            reports: lock(&self.reports).collect(self.clock.now()),
            recovery_ms: self.recovery_time.recorded_ms(),
        }
    }
}

/// Returns the outcomes of canaries in the reports. They are sent in a separate field, because earlier versions decode
/// the reports without them.
fn outcomes_by_proxy(reports: &internal_rpc::CollectedReports) -> Vec<(SocketAddr, EditionOutcomes)> {
    let outcomes = |collected: &CollectedReport| {
        let outcomes = &collected.report.outcomes;
        (!outcomes.is_empty()).then(|| (collected.inbound_proxy, outcomes.clone()))
    };
    reports.reports.iter().filter_map(outcomes).collect()
}
