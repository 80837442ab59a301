//! The fleet actor: it owns the sockets on which the instances of a fleet exchange messages, and drives the
//! gossip state machine of `gossip/`.
//!
//! It reports to the decision actor the drains, departures and outcomes that other instances have seen first.
//! It decides nothing itself, never delays a list update, and treats received bytes as untrusted. It runs
//! only if a fleet configuration is given (`serve --fleet`).

pub mod config;
pub mod snapshot_store;
pub mod status_page;
mod stream_sync;

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use ochreshed::{DispatchOutcome, Nanos};
use ochreshed_gossip::endpoint_list::{EndpointList, to_server_status};
use ochreshed_gossip::node::{GossipNode, NodeSettings, Output};
use ochreshed_membership::swim::{Destination, SwimConfig};
use ochreshed_membership::wire::MAX_MESSAGE_BYTES;
use ochreshed_recovery::initial_list::{FactsList, InitialList, ListSource, select_initial_list};
use ochreshed_recovery::snapshot::{Snapshot, SnapshotEntry};
use ochreshed_recovery::start_progress::{ListFreshness, StartProgress, max_wait_for_peers};
use ochreshed_replica::outcomes::OutcomeCounts;
use ochreshed_replica::status::ServerStatus;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};
use tracing::{info, warn};

use crate::clock::Clock;
use crate::decision_actor::{DecisionEvent, ObservedOutcomes};
use crate::discovery::EndpointEntry;
use crate::lifecycle::{Lifecycle, Phase};
use crate::metrics::Metrics;
use config::FleetConfig;
use snapshot_store::SnapshotStore;

const SECOND: Nanos = 1_000_000_000;
/// Unreadable messages are logged at most once a minute.
const REJECTION_LOG_INTERVAL: Nanos = 60 * SECOND;
const STATUS_INTERVAL: Nanos = SECOND / 2;
/// How often the outcomes recorded by the decision actor are collected.
const OUTCOME_INTERVAL: Nanos = SECOND / 10;
const MAILBOX_CAPACITY: usize = 64;
/// A snapshot is written this long after a change, plus a random part of it, so that instances that receive
/// the same change do not write at the same time.
const SNAPSHOT_DELAY: Nanos = SECOND / 10;
/// The process that this one replaces keeps the port a little longer.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The rest of the program's access to the fleet actor: where list updates go, and the status for operators.
pub struct FleetHandle {
    pub list_updates: mpsc::Sender<DecisionEvent>,
    pub status: FleetStatus,
    /// Where the decision actor records outcomes for the other instances.
    pub observed: ObservedOutcomes,
    /// The list to start with, and its source.
    pub initial_list: (ListSource, Vec<EndpointEntry>),
    /// Whether other instances have sent their state, and how long a start may wait for that.
    pub confirmed: watch::Receiver<bool>,
    pub confirmation_timeout: Duration,
}

/// The status page and the fleet's metrics.
#[derive(Clone)]
pub struct FleetStatus(watch::Receiver<StatusSnapshot>);

type StatusSnapshot = (String, Vec<(&'static str, u64, &'static str)>);

impl FleetStatus {
    pub fn status_page(&self) -> String {
        self.0.borrow().0.clone()
    }

    pub fn metrics(&self) -> Vec<(&'static str, u64, &'static str)> {
        self.0.borrow().1.clone()
    }
}

/// The sockets for messages from other instances.
struct Sockets {
    udp: UdpSocket,
    /// The task that accepts stream synchronizations.
    sync_listener: AbortHandle,
}

impl Drop for Sockets {
    fn drop(&mut self) {
        self.sync_listener.abort();
    }
}

struct FleetActor {
    config: FleetConfig,
    clock: Clock,
    /// None while another process of this instance holds the port, and after one has taken over.
    sockets: Option<Sockets>,
    gossip: GossipNode,
    endpoints: EndpointList<SocketAddr>,
    decisions: mpsc::Sender<DecisionEvent>,
    sync_sender: mpsc::Sender<stream_sync::SyncRequest>,
    counts: status_page::FleetCounts,
    next_status_at: Nanos,
    next_outcomes_at: Nanos,
    next_rejection_log_at: Nanos,
    rejected_messages: u64,
    status: watch::Sender<StatusSnapshot>,
    observed: ObservedOutcomes,
    snapshots: Option<SnapshotStore>,
    /// When the next snapshot is due, if anything has changed since the last; and the number of the last.
    snapshot_due_at: Option<Nanos>,
    snapshot_number: u64,
    snapshot_jitter: Nanos,
    start_progress: StartProgress,
    metrics: Arc<Metrics>,
    /// Requests that had ended at the last check, and how many of them failed.
    ended_and_failed: (u64, u64),
    confirmed: watch::Sender<bool>,
}

/// What the program knows when it starts.
pub struct FleetStartup {
    pub seed: u64,
    /// Other processes at the clients' address.
    pub other_processes: usize,
    /// The list in the start facts, with discovery's version.
    pub facts_list: Option<(u64, Vec<EndpointEntry>)>,
    pub metrics: Arc<Metrics>,
}

/// Starts the fleet actor, before the decision actor. List updates pass through it and are changed only where
/// other instances know of later lists. If another process of this instance may still hold the port, it is
/// waited for; otherwise the port must be free.
pub async fn start(
    config: FleetConfig,
    name: &str,
    zone: &str,
    startup: FleetStartup,
    (clock, lifecycle): (Clock, Lifecycle),
    decisions: mpsc::Sender<DecisionEvent>,
) -> Result<FleetHandle, String> {
    let FleetStartup { seed, other_processes, facts_list, metrics } = startup;
    let (sync_sender, sync_requests) = mpsc::channel(MAILBOX_CAPACITY);
    let sockets = match open(config.listen, &sync_sender).await {
        Ok(sockets) => Some(sockets),
        Err(_) if other_processes > 0 => {
            info!("fleet: {} is in use; waiting until it is free", config.listen);
            None
        }
        Err(e) => return Err(format!("can't speak with the fleet on {}: {e}", config.listen)),
    };
    let now = clock.now();
    let snapshots = config.snapshots.as_deref().map(SnapshotStore::new);
    let unix = unix_nanos();
    let snapshot = snapshots.as_ref().and_then(|store| store.read(&config.fleet, name, unix));
    let age = snapshot.as_ref().map(|snapshot| unix.saturating_sub(snapshot.written_at_unix_ns));
    let version = facts_list.as_ref().map(|(version, _)| *version);
    let facts_list = facts_list.map(|(version, entries)| FactsList { version, entries });
    let initial_list: InitialList<SocketAddr> =
        select_initial_list(facts_list, snapshot.as_ref(), age.unwrap_or(0));
    if let Some(age) = age {
        let InitialList { source, entries, excluded_as_gone, marked_draining } = &initial_list;
        info!(
            "snapshot is {} s old: starting with {} endpoints from {source:?}, {excluded_as_gone} excluded as gone, {marked_draining} draining",
            age / SECOND,
            entries.len()
        );
    }
    let wait = max_wait_for_peers(age, !config.seeds.is_empty());
    let settings = NodeSettings {
        fleet: config.fleet.clone(),
        name: name.into(),
        address: config.listen,
        zone: zone.into(),
        // Distinguishes processes under the same instance name: time and process id are combined with the
        // seed of the start facts.
        start_id: seed ^ (std::process::id() as u64).rotate_left(40) ^ unix_nanos(),
        seeds: config.seeds.clone(),
        membership: SwimConfig::default(),
    };
    let (list_updates, update_receiver) = mpsc::channel(MAILBOX_CAPACITY);
    let snapshot_jitter = settings.start_id % SNAPSHOT_DELAY;
    let (mut gossip, counts) = (GossipNode::new(settings, now), status_page::FleetCounts::default());
    if let Some(snapshot) = &snapshot {
        // Where the list in the start facts is newer, it replaces the snapshot's statuses.
        let is_newer = version.is_some_and(|version| version > snapshot.stamp.version)
            && initial_list.source == ListSource::Facts;
        gossip.restore(snapshot.stamp, &snapshot.statuses, snapshot.floor);
        if is_newer {
            let states: Vec<(String, ServerStatus)> = initial_list
                .entries
                .iter()
                .map(|(listed, _)| (listed.name.to_string(), to_server_status(listed.state)))
                .collect();
            gossip.apply_discovery(version.unwrap_or_default(), true, &states);
        }
    }
    let start_progress = StartProgress::new(now, !initial_list.entries.is_empty());
    let (confirmed, confirmed_receiver) = watch::channel(false);
    let page = (
        status_page::render(&gossip, &config.fleet, counts, now),
        status_page::metrics(&gossip, counts, &start_progress),
    );
    let (status, status_receiver) = watch::channel(page);
    let observed = ObservedOutcomes::default();
    info!("{name} joins fleet {} at {}", config.fleet, config.listen);
    let actor = FleetActor {
        config,
        clock,
        sockets,
        gossip,
        endpoints: EndpointList::new(),
        decisions,
        sync_sender,
        counts,
        next_status_at: now,
        next_outcomes_at: now,
        next_rejection_log_at: now,
        rejected_messages: 0,
        status,
        observed: observed.clone(),
        snapshots,
        snapshot_due_at: None,
        snapshot_number: snapshot.map_or(0, |snapshot| snapshot.sequence),
        snapshot_jitter,
        start_progress,
        metrics,
        ended_and_failed: (0, 0),
        confirmed,
    };
    tokio::spawn(actor.run(update_receiver, sync_requests, lifecycle));
    let confirmation_timeout = Duration::from_nanos(wait);
    Ok(FleetHandle {
        list_updates,
        status: FleetStatus(status_receiver),
        observed,
        initial_list: (initial_list.source, initial_list.entries),
        confirmed: confirmed_receiver,
        confirmation_timeout,
    })
}

/// The system time since 1970.
fn unix_nanos() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| since_epoch.as_nanos() as u64)
}

/// Datagrams and stream synchronizations use the same port.
async fn open(
    listen: SocketAddr,
    sync_sender: &mpsc::Sender<stream_sync::SyncRequest>,
) -> std::io::Result<Sockets> {
    let udp = UdpSocket::bind(listen).await?;
    let listener = TcpListener::bind(listen).await?;
    let sync_listener = tokio::spawn(stream_sync::accept(listener, sync_sender.clone())).abort_handle();
    Ok(Sockets { udp, sync_listener })
}

async fn receive(sockets: &Option<Sockets>, bytes: &mut [u8]) -> Option<(usize, SocketAddr)> {
    match sockets {
        Some(sockets) => sockets.udp.recv_from(bytes).await.ok(),
        None => std::future::pending().await,
    }
}

impl FleetActor {
    async fn run(
        mut self,
        mut update_receiver: mpsc::Receiver<DecisionEvent>,
        mut sync_requests: mpsc::Receiver<stream_sync::SyncRequest>,
        lifecycle: Lifecycle,
    ) {
        let (mut bytes, mut is_serving, mut has_left) = (vec![0; MAX_MESSAGE_BYTES + 1], false, false);
        let mut bind_at = Instant::now();
        loop {
            let wake_at = self.next_wake_at();
            tokio::select! {
                event = update_receiver.recv() => {
                    let Some(event) = event else { return };
                    let event = self.merge_update(event);
                    if self.decisions.send(event).await.is_err() {
                        return;
                    }
                }
                received = receive(&self.sockets, &mut bytes) => if let Some((count, from)) = received {
                    self.gossip.receive(self.clock.now(), from, &bytes[..count]);
                },
                request = sync_requests.recv() => if let Some(request) = request {
                    self.handle_sync(request);
                },
                () = lifecycle.reached(Phase::Serving), if !is_serving => {
                    self.start_progress.mark_ready(self.clock.now());
                    is_serving = true;
                }
                // An instance that stops announces it, so that the others do not count it as failed. It still
                // receives drains.
                () = lifecycle.reached(Phase::Leaving), if !has_left => {
                    self.gossip.leave(self.clock.now());
                    has_left = true;
                }
                () = sleep_until(bind_at), if self.sockets.is_none() && !has_left => {
                    bind_at = Instant::now() + BIND_RETRY_INTERVAL;
                    self.sockets = open(self.config.listen, &self.sync_sender).await.ok();
                    if self.sockets.is_some() {
                        info!("fleet: {} is free, and taken", self.config.listen);
                    }
                }
                () = sleep_until(self.clock.instant(wake_at)) => {}
            }
            self.tick().await;
            // The process that takes over uses the same port.
            if has_left && lifecycle.is_taken_over() {
                self.sockets = None;
            }
        }
    }

    fn next_wake_at(&self) -> Nanos {
        // Nothing is due later than `next_status_at`, and the clock can represent that.
        self.gossip
            .next_tick_at()
            .min(self.next_status_at)
            .min(self.next_outcomes_at)
            .min(self.snapshot_due_at.unwrap_or(Nanos::MAX))
    }

    /// Schedules a snapshot after a change.
    fn schedule_snapshot(&mut self, now: Nanos) {
        if self.snapshots.is_some() && self.snapshot_due_at.is_none() {
            self.snapshot_due_at = Some(now + SNAPSHOT_DELAY + self.snapshot_jitter);
        }
    }

    fn write_snapshot(&mut self, now: Nanos) {
        let store = self.gossip.store();
        let not_serving =
            store.statuses().iter().filter(|(_, record)| record.status != ServerStatus::Serving);
        let snapshot = Snapshot {
            fleet: self.config.fleet.clone(),
            instance: self.gossip.swim().name().to_owned(),
            sequence: self.snapshot_number + 1,
            written_at_unix_ns: unix_nanos(),
            stamp: store.discovery_stamp(),
            entries: self
                .endpoints
                .discovered()
                .map(|(listed, address)| SnapshotEntry::from_listed(listed, *address))
                .collect(),
            statuses: not_serving.map(|(server, record)| (server.clone(), *record)).collect(),
            floor: store.statuses().floor(),
        };
        let Some(snapshots) = &mut self.snapshots else { return };
        if snapshots.write(snapshot) {
            (self.snapshot_number, self.snapshot_due_at) = (self.snapshot_number + 1, None);
        } else {
            // A write is still running.
            self.snapshot_due_at = Some(now + SECOND);
        }
    }

    /// Checks how far the start has progressed.
    fn update_start_progress(&mut self, now: Nanos) {
        if self.gossip.has_synced() {
            self.start_progress.record_confirmation(now, ListFreshness::ConfirmedByPeers);
            self.confirmed.send_if_modified(|confirmed| !std::mem::replace(confirmed, true));
        }
        let (ended, failed) = self.metrics.ended_and_failed();
        self.start_progress.record_requests(
            now,
            ended - self.ended_and_failed.0,
            failed - self.ended_and_failed.1,
        );
        self.ended_and_failed = (ended, failed);
        if let Some(summary) = self.start_progress.check_full_service(now) {
            let ms = |span: Nanos| span / 1_000_000;
            let optional_ms =
                |span: Option<Nanos>| span.map_or("never".into(), |span| format!("{} ms", ms(span)));
            info!(
                "full service {} ms after the start: began by {}, ready {} ms, told by others {}, by discovery {}",
                ms(summary.full_service_after),
                summary.initial_freshness.label(),
                ms(summary.ready_after),
                optional_ms(summary.peers_after),
                optional_ms(summary.discovery_after)
            );
        }
    }

    /// Passes on an update from discovery, changed only where other instances know of later lists.
    fn merge_update(&mut self, event: DecisionEvent) -> DecisionEvent {
        let DecisionEvent::ListUpdate { is_complete, is_stale, version, mut entries } = event else {
            return event;
        };
        let now = self.clock.now();
        if !is_stale {
            self.start_progress.record_confirmation(now, ListFreshness::ConfirmedByDiscovery);
            if is_complete || !entries.is_empty() {
                self.schedule_snapshot(now);
            }
            let states: Vec<(String, ServerStatus)> = entries
                .iter()
                .map(|(listed, _)| (listed.name.to_string(), to_server_status(listed.state)))
                .collect();
            self.gossip.apply_discovery(version, is_complete, &states);
        }
        self.endpoints.apply_discovery(self.gossip.store().statuses(), is_complete, &mut entries);
        DecisionEvent::ListUpdate { is_complete, is_stale, version, entries }
    }

    /// Handles a request from a stream synchronization.
    fn handle_sync(&mut self, request: stream_sync::SyncRequest) {
        let now = self.clock.now();
        match request {
            stream_sync::SyncRequest::OurHello(reply) => drop(reply.send(self.gossip.hello())),
            stream_sync::SyncRequest::TheirHello(body, reply) => {
                let accepted = self.gossip.accept_hello(&body).ok().map(|hello| {
                    let bodies = self.gossip.encode_differences(&hello);
                    (hello, bodies)
                });
                // If the receiver is gone, the synchronization was cut short.
                drop(reply.send(accepted));
            }
            stream_sync::SyncRequest::ReceivedState(from, body) => {
                if let Err(error) = self.gossip.receive_stream_body(now, &body) {
                    self.record_rejection(now, from, error);
                }
            }
            stream_sync::SyncRequest::Finished { started_here, succeeded } if started_here || succeeded => {
                self.gossip.finish_stream_sync(now, succeeded)
            }
            stream_sync::SyncRequest::Finished { .. } => {}
        }
    }

    fn record_rejection(&mut self, now: Nanos, from: SocketAddr, reason: &str) {
        self.rejected_messages += 1;
        if now >= self.next_rejection_log_at {
            warn!(
                "fleet: {} messages could not be read, the last from {from}: {reason}",
                self.rejected_messages
            );
            (self.next_rejection_log_at, self.rejected_messages) = (now + REJECTION_LOG_INTERVAL, 0);
        }
    }

    async fn tick(&mut self) {
        let now = self.clock.now();
        if self.snapshot_due_at.is_some_and(|at| at <= now) {
            self.write_snapshot(now);
        }
        if self.next_outcomes_at <= now {
            self.next_outcomes_at = now + OUTCOME_INTERVAL;
            if self.snapshots.as_ref().is_some_and(SnapshotStore::take_refused)
                && self.snapshot_due_at.is_none()
            {
                self.snapshot_due_at = Some(now + SECOND);
            }
            self.update_start_progress(now);
            let recorded = std::mem::take(&mut *self.observed.lock().unwrap_or_else(PoisonError::into_inner));
            for ((endpoint, rule_set), counts) in recorded {
                self.gossip.record_outcomes(now, &endpoint, &rule_set, counts);
            }
        }
        if self.gossip.next_tick_at() <= now {
            self.gossip.tick(now);
        }
        while let Some(output) = self.gossip.poll_output() {
            self.handle_output(now, output).await;
        }
        if self.next_status_at <= now {
            self.next_status_at = now + STATUS_INTERVAL;
            self.counts.overridden = self.endpoints.override_count() as u64;
            let page = status_page::render(&self.gossip, &self.config.fleet, self.counts, now);
            self.status
                .send_replace((page, status_page::metrics(&self.gossip, self.counts, &self.start_progress)));
        }
    }

    async fn handle_output(&mut self, now: Nanos, output: Output) {
        match output {
            Output::Send { to, bytes } => {
                // UDP is unreliable: a message that can't be sent now is lost, and the protocol sends it
                // again.
                if let (Some(to), Some(sockets)) = (self.address_of(&to), &self.sockets) {
                    let _ = sockets.udp.try_send_to(&bytes, to);
                }
            }
            Output::StatusesChanged(servers) => {
                self.schedule_snapshot(now);
                let changed = self
                    .endpoints
                    .apply_status_changes(self.gossip.store().statuses(), servers.iter().map(String::as_str));
                if let Some((first, _)) = changed.first() {
                    self.counts.reported_early += changed.len() as u64;
                    info!(
                        "fleet: other instances reported changes of {} endpoints; {} is {:?}",
                        changed.len(),
                        first.name,
                        first.state
                    );
                    let update = DecisionEvent::ListUpdate {
                        is_complete: false,
                        is_stale: true,
                        version: 0,
                        entries: changed,
                    };
                    // The program ends when the decision actor has ended.
                    let _ = self.decisions.send(update).await;
                }
            }
            Output::OutcomesReceived { server, rule_set, counts } if self.endpoints.contains(&server) => {
                let OutcomeCounts { succeeded, failed, lost } = counts;
                for (outcome, count) in [
                    (DispatchOutcome::Done, succeeded),
                    (DispatchOutcome::Error, failed),
                    (DispatchOutcome::Reset, lost),
                ] {
                    if count > 0 {
                        let event = DecisionEvent::PeerOutcomes {
                            endpoint: server.as_str().into(),
                            rule_set: rule_set.as_str().into(),
                            outcome,
                            count,
                        };
                        let _ = self.decisions.send(event).await;
                    }
                }
            }
            Output::OutcomesReceived { .. } => {}
            Output::Joined(name) => info!("fleet: {name} has joined"),
            Output::Failed(name) => info!("fleet: {name} has failed"),
            Output::Left(name) => info!("fleet: {name} has left"),
            Output::DeclaredDead => info!("fleet: other instances had declared this instance dead"),
            Output::Displaced(address) => {
                warn!(
                    "fleet: another live process at {address} has this instance's name; this process sends and receives no more messages"
                );
            }
            Output::StreamSyncDue(name) => match self.address_of(&Destination::Member(name)) {
                Some(to) => stream_sync::start(to, self.sync_sender.clone()),
                None => self.gossip.finish_stream_sync(now, false),
            },
            Output::Rejected { from, reason } => self.record_rejection(now, from, &reason),
        }
    }

    fn address_of(&self, to: &Destination) -> Option<SocketAddr> {
        match to {
            Destination::Address(address) => Some(*address),
            Destination::Member(name) => {
                let announced = self.gossip.swim().members().get(name).map(|member| member.record.address);
                self.config.reach.get(name).copied().or(announced)
            }
        }
    }
}
