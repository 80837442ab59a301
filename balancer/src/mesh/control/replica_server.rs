//! The part of a replica that serves others: proxies and replicas that watch, requests to the core, and the state that
//! operators' calls read.
//!
//! Main types: [`ReplicaServer`], shared by all tasks of the process, and [`ReplicaEvent`], by which they reach the event
//! loop that owns the core.
//!
//! Invariants: a watch is answered as soon as there is something new for the watcher, and no lock is held while it waits;
//! nothing here decides, every decision is the core's.

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

/// How long another process may wait for the core's response.
const CORE_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the core has to respond to an operator's call.
pub const ADMIN_CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The size of one response with registers.
const MAX_REGISTERS_RESPONSE_BYTES: usize = 8 << 20;

/// What the tasks of the process hand to the event loop.
pub enum ReplicaEvent {
    /// A message of another replica.
    Message(Message),
    /// A request, with where its response goes.
    Request(CoreRequest, oneshot::Sender<CoreResponse>),
    /// The seeds in the settings file have changed.
    SeedsChanged(Vec<SocketAddr>),
    /// Asks for the core's status, with the lease on the key if one is given.
    ReadStatus(Option<LeaseKey>, oneshot::Sender<ReplicaStatus>),
    /// The process was asked to stop: other replicas may take its place.
    Leave,
}

/// What all tasks of a replica share.
pub struct ReplicaServer {
    pub clock: Clock,
    /// Where other processes reach this replica.
    pub address: SocketAddr,
    pub settings: ArcSwap<Settings>,
    pub members: MemberDirectory,
    pub recovery_time: RecoveryTime,
    pub disk_writes: Arc<DiskWriteCounts>,
    /// Connections to other processes.
    pub callers: RpcClients,
    published: ArcSwap<PublishedState>,
    watches: Mutex<WatchServer>,
    /// What proxies reported to this replica.
    reports: Mutex<BudgetReports>,
    /// Goes up with each change that a reader may be waiting for.
    changes: watch::Sender<u64>,
    events: mpsc::Sender<ReplicaEvent>,
    updates: UpdateCache,
    /// Held while an update is encoded: many proxies ask for the same one at once, and the first one's is cached.
    encoding: tokio::sync::Mutex<()>,
}

impl ReplicaServer {
    /// A server that knows nothing yet but its settings. `events` leads to the event loop.
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
            callers: RpcClients::default(),
            published: ArcSwap::default(),
            watches: Mutex::new(WatchServer::new(rand::random())),
            reports: Mutex::default(),
            changes: watch::Sender::new(0),
            events,
            updates: UpdateCache::default(),
            encoding: tokio::sync::Mutex::default(),
        }
    }

    /// The core's state as of its last change.
    #[must_use]
    pub fn published(&self) -> Arc<PublishedState> {
        self.published.load_full()
    }

    /// Replaces the published state. The configuration is cached first, since a watcher may fetch it at once.
    pub fn publish(&self, state: PublishedState) {
        if let Some(configuration) = &state.configuration {
            self.updates.add(configuration);
        }
        self.published.store(Arc::new(state));
    }

    /// Wakes whoever waits for a change.
    pub fn notify_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// A receiver that is woken by each change.
    pub fn subscribe_to_changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Inbound proxies that were not heard lately.
    #[must_use]
    pub fn suspects(&self) -> Vec<SocketAddr> {
        lock(&self.watches).suspects().to_vec()
    }

    /// Reads the endpoint table under its lock.
    pub fn read_endpoints<T>(&self, read: impl FnOnce(&EndpointTable) -> T) -> T {
        read(&lock(&self.watches).table)
    }

    /// Asks the proxy of an upstream to drain it.
    pub fn request_drain(&self, inbound_proxy: SocketAddr, upstream_id: &str) {
        let is_new = lock(&self.watches).table.request_drain(inbound_proxy, upstream_id);
        if is_new {
            self.notify_change();
        }
    }

    /// Looks for proxies that fell silent or are heard again, and forgets reports of those that are gone from the table.
    /// Returns how many are suspected, if that has changed.
    pub fn update_suspects(&self) -> Option<usize> {
        let mut watches = lock(&self.watches);
        lock(&self.reports).retain(|proxy| watches.table.record(proxy).is_some());
        self.members.retain_nodes(|proxy| watches.table.record(proxy).is_some());
        watches.update_suspects(self.clock.now())
    }

    /// Merges what another replica answered to this one's watch.
    pub fn merge_peer_response(&self, response: &WatchResponse) {
        let is_new = lock(&self.watches).merge(self.clock.now(), response);
        if is_new {
            self.notify_change();
        }
    }

    /// How long to wait between a peer's response and the next watch, so that many small changes travel together.
    #[must_use]
    pub fn peer_watch_interval(&self) -> Duration {
        Duration::from_nanos(lock(&self.watches).replica_watch_interval())
    }

    /// Hands an event to the event loop. It is lost if that has ended, with the process.
    pub async fn send_event(&self, event: ReplicaEvent) {
        let _ = self.events.send(event).await;
    }

    /// Hands a request to the core and waits for its response, which is `Unavailable` after `time_limit`.
    pub async fn request(&self, request: CoreRequest, time_limit: Duration) -> CoreResponse {
        let (responder, response) = oneshot::channel();
        if self.events.send(ReplicaEvent::Request(request, responder)).await.is_err() {
            return CoreResponse::Unavailable;
        }
        let response = timeout(time_limit, response).await.ok().and_then(Result::ok);
        response.unwrap_or(CoreResponse::Unavailable)
    }

    /// The core's status, with the lease on `key` if one is given; `None` if the event loop is too busy to answer.
    pub async fn status(&self, key: Option<LeaseKey>) -> Option<ReplicaStatus> {
        let (responder, status) = oneshot::channel();
        self.send_event(ReplicaEvent::ReadStatus(key, responder)).await;
        timeout(ADMIN_CALL_TIMEOUT, status).await.ok()?.ok()
    }

    /// What proxies reported to this replica and to all others that answer.
    pub async fn collect_reports(&self, now: Nanos) -> CollectedReports {
        let recovery_ms = self.recovery_time.recorded_ms().map(|recovery_ms| (self.address, recovery_ms));
        let own = CollectedReports {
            reports: lock(&self.reports).clone(),
            replica_recovery_ms: recovery_ms.into_iter().collect(),
            unreachable_replicas: Vec::new(),
        };
        budget_reports::collect_from_peers(&self.callers, self.peers(), now, own).await
    }

    /// The addresses of the other replicas.
    #[must_use]
    pub fn peers(&self) -> Vec<SocketAddr> {
        let published = self.published.load();
        published.replicas.iter().copied().filter(|replica| *replica != self.address).collect()
    }

    /// Answers a call of another process; `None` for messages, which need no response.
    pub async fn handle(self: Arc<Self>, request: InternalRequest) -> Option<InternalResponse> {
        match request {
            InternalRequest::Watch(request) => {
                Some(InternalResponse::Watch(Box::new(self.watch(request).await)))
            }
            InternalRequest::Core(request) => {
                Some(InternalResponse::Core(self.request(request, CORE_REQUEST_TIMEOUT).await))
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

    /// Hands a replica's message to the event loop if its content is undamaged.
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

    /// The newest configuration, as an update from the one that the reader has.
    async fn configuration_update(self: &Arc<Self>, known: Revision) -> Option<Arc<ConfigurationUpdate>> {
        let _encoding = self.encoding.lock().await;
        let server = self.clone();
        tokio::task::spawn_blocking(move || server.updates.update_from(known)).await.ok()?
    }

    /// Answers a watch at once if there is something new for the watcher, otherwise when there is or after its maximal
    /// wait.
    async fn watch(self: Arc<Self>, request: WatchRequest) -> WatchResponse {
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

    /// When the watch is to be answered, as things stand.
    fn watch_due(&self, pending: &PendingWatch, deadline: Instant) -> Instant {
        let published = self.published.load();
        let due = lock(&self.watches).due_at(pending, published.as_committed());
        due.map_or(deadline, |due| self.clock.instant(due).min(deadline))
    }

    /// Stores what a proxy reported together with its watch.
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

    /// What this replica received, in the form in which it goes to another one.
    fn received_reports(&self) -> internal_rpc::CollectedReports {
        internal_rpc::CollectedReports {
            reports: lock(&self.reports).collect(self.clock.now()),
            recovery_ms: self.recovery_time.recorded_ms(),
        }
    }
}

/// The outcomes of canaries in the reports. They travel beside the reports, which earlier versions read without them.
fn outcomes_by_proxy(reports: &internal_rpc::CollectedReports) -> Vec<(SocketAddr, EditionOutcomes)> {
    let outcomes = |collected: &CollectedReport| {
        let outcomes = &collected.report.outcomes;
        (!outcomes.is_empty()).then(|| (collected.inbound_proxy, outcomes.clone()))
    };
    reports.reports.iter().filter_map(outcomes).collect()
}
