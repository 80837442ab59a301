//! Startup and shutdown of a control plane process.
//!
//! Main function: [`run`]. It opens the disk and the sockets, starts the tasks around a [`ReplicaServer`] and waits for
//! SIGTERM. Then the replica announces its departure and runs until enough other replicas have its state.
//!
//! Invariants: the core is restored from disk before any message is handled; both sockets are bound before the first
//! effect of the core is applied.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use ochreshed::Nanos;
use ochreshed_catalog::watch_server;
use ochreshed_consensus::core::{Config, Core, StartOptions};
use ochreshed_consensus::messages::{Effect, PersistedState};
use ochreshed_storage::{Store, StoreError};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::{Instant, sleep};

use super::disk_writer::DiskWriter;
use super::replica::Replica;
use super::replica_server::{ReplicaEvent, ReplicaServer};
use super::{admin_api, canary_monitor, peer_watch, settings_reload, suspect_monitor};
use crate::clock::Clock;
use crate::mesh::proxy::listener::{self, ListenerLimits, ListenerState};
use crate::mesh::proxy::node::seed_addresses;
use crate::mesh::settings::{Settings, SettingsError};
use crate::mesh::{rpc, start};

/// Leases are kept longer than the idempotency window (`stamp_window_s`) by this margin.
const LEASE_TTL_MARGIN: Duration = Duration::from_secs(20);
/// A member that was not heard for this long may be replaced by another replica.
const MEMBER_TIMEOUT_NS: Nanos = 5_000_000_000;
/// Capacity of the event loop's queue.
const EVENT_QUEUE_CAPACITY: usize = 16_384;
/// The maximum number of concurrent operator connections.
const MAX_ADMIN_CONNECTIONS: usize = 256;
/// Timeout for the head of an operator's request and for idle connections.
const ADMIN_HEAD_TIMEOUT: Duration = Duration::from_secs(20);
/// The maximum wait of a stopping replica until others have its state.
const MAX_HANDOVER_TIME: Duration = Duration::from_millis(5_000);
/// The share of the shutdown grace period (`grace_s`) that the handover may take.
const HANDOVER_SHARE_OF_GRACE: f64 = 5.0 / 6.0;
const HANDOVER_CHECK_INTERVAL: Duration = Duration::from_nanos(watch_server::SUSPECT_CHECK_INTERVAL / 4);
/// Time for responses in flight after the handover.
const RESPONSE_DRAIN_TIME: Duration = Duration::from_millis(100);

/// Why a replica failed to start.
#[derive(Debug, Error)]
enum StartError {
    #[error("{address}: {source}")]
    Bind { address: SocketAddr, source: std::io::Error },
    #[error("data folder: {0}")]
    Disk(#[source] StoreError),
    #[error("no signals: {0}")]
    Signals(#[source] std::io::Error),
}

/// Runs the role until the process is asked to stop.
pub fn run(path: Option<PathBuf>) -> Result<ExitCode, SettingsError> {
    let path = Settings::path(path)?;
    let settings = Settings::read(&path)?;
    settings.check_replica().map_err(SettingsError::Invalid)?;
    start::init_logging();
    Ok(start::block_on(run_replica(path, settings)))
}

async fn run_replica(path: PathBuf, settings: Settings) -> ExitCode {
    match start_and_serve(path, settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn start_and_serve(path: PathBuf, settings: Settings) -> Result<(), StartError> {
    let clock = Clock::new();
    let address = SocketAddr::new(settings.ip, settings.internal_ports.first);
    let (Some(admin_address), Some(data_dir)) = (settings.control_listen, settings.data_dir.clone()) else {
        // Unreachable: `Settings::check_replica` rejects such settings.
        return Ok(());
    };
    let (store, persisted) = Store::open(&data_dir).map_err(StartError::Disk)?;
    log_disk(&store);
    log_start(&settings, admin_address, &persisted);
    let (events, incoming) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let mut effects = Vec::new();
    let core = start_core(clock.now(), address, &settings, persisted, &mut effects);
    let bodies = Arc::new(Semaphore::new(settings.limits.replica_capacity().body_bytes));
    let server = Arc::new(ReplicaServer::new(clock, address, settings, events));
    let internal_listener = bind(address).await?;
    let admin_listener = bind(admin_address).await?;
    let (admin_state, admin_state_receiver) = watch::channel(ListenerState::Open);
    spawn_admin_api(&server, admin_listener, admin_state_receiver, bodies);
    spawn_tasks(&server, internal_listener, path);
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Signals)?;
    let disk = DiskWriter::spawn(store, server.disk_writes.clone());
    let replica = Replica::new(server.clone(), core, disk);
    let event_loop = tokio::spawn(replica.run(incoming, effects));
    hand_over_when_terminated(&server, &mut terminate, &admin_state).await;
    event_loop.abort();
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Bind { address, source })
}

fn log_disk(store: &Store) {
    for finding in store.findings() {
        log::warn!("disk: {finding}");
    }
    log::info!("disk opened: bytes={}", store.disk_bytes());
}

fn log_start(settings: &Settings, admin_address: SocketAddr, persisted: &PersistedState) {
    log::info!(
        "replica starts: name={} admin_address={admin_address} configuration_version={} leases={}",
        settings.node_name,
        persisted.configuration.as_ref().map_or(0, |configuration| configuration.version),
        persisted.leases.len(),
    );
}

fn start_core(
    now: Nanos,
    address: SocketAddr,
    settings: &Settings,
    persisted: PersistedState,
    effects: &mut Vec<Effect>,
) -> Core {
    let capacity = settings.limits.replica_capacity();
    let config = Config {
        lease_ttl: (settings.bounds.idempotency_window + LEASE_TTL_MARGIN).as_nanos() as Nanos,
        member_timeout: MEMBER_TIMEOUT_NS,
        target_members: 2 * settings.fault_tolerance.machines + 1,
        max_leases: capacity.leases,
        max_response_bytes: capacity.response_cache_bytes,
        tolerated_zone_losses: settings.fault_tolerance.zones,
        zone: settings.zone.clone(),
    };
    let options = StartOptions {
        now,
        seed: rand::random(),
        address,
        first_start: settings.bootstrap,
        seeds: &seed_addresses(settings),
        saved: persisted,
        config,
    };
    Core::new(options, effects)
}

fn spawn_admin_api(
    server: &Arc<ReplicaServer>,
    listener: TcpListener,
    state: watch::Receiver<ListenerState>,
    bodies: Arc<Semaphore>,
) {
    let limits =
        ListenerLimits { max_connections: MAX_ADMIN_CONNECTIONS, header_timeout: ADMIN_HEAD_TIMEOUT };
    let (clock, server) = (server.clock, server.clone());
    let handle = move |received| admin_api::handle_request(server.clone(), received, bodies.clone());
    tokio::spawn(listener::serve(listener, clock, limits, state, Arc::default(), handle));
}

fn spawn_tasks(server: &Arc<ReplicaServer>, internal_listener: TcpListener, settings_path: PathBuf) {
    let internal_server = server.clone();
    tokio::spawn(rpc::serve(internal_listener, move |request| {
        internal_server.clone().handle_request(request)
    }));
    tokio::spawn(suspect_monitor::monitor_suspects(server.clone()));
    tokio::spawn(peer_watch::watch_peers(server.clone()));
    tokio::spawn(settings_reload::reload_settings(server.clone(), settings_path));
    tokio::spawn(record_recovery_time(server.clone()));
    tokio::spawn(canary_monitor::monitor_canaries(server.clone()));
}

/// Waits for SIGTERM, and then until other replicas have this replica's state or the handover time is over.
async fn hand_over_when_terminated(
    server: &ReplicaServer,
    terminate: &mut Signal,
    admin_state: &watch::Sender<ListenerState>,
) {
    terminate.recv().await;
    log::info!("termination requested");
    server.send_event(ReplicaEvent::Leave).await;
    let stop_requested_at = Instant::now();
    let grace = server.settings.load().bounds.shutdown_grace;
    let handover = MAX_HANDOVER_TIME.min(grace.mul_f64(HANDOVER_SHARE_OF_GRACE));
    while stop_requested_at.elapsed() < handover && !server.published().may_stop {
        sleep(HANDOVER_CHECK_INTERVAL).await;
    }
    admin_state.send_replace(ListenerState::Closed);
    sleep(RESPONSE_DRAIN_TIME).await;
    log::info!("stopped: after_ms={}", stop_requested_at.elapsed().as_millis());
}

/// Records the time to full service: when the replica votes and has a quorum. A spare replica reaches that when it
/// becomes a voting member.
async fn record_recovery_time(server: Arc<ReplicaServer>) {
    let in_full_service = || {
        let published = server.published();
        published.voter && published.has_quorum
    };
    let recovery_ms = server.recovery_time.record_when(&server.clock, in_full_service).await;
    let published = server.published();
    let epoch = published.membership.as_ref().map_or(0, |membership| membership.epoch);
    let version = published.configuration_revision().map_or(0, |revision| revision.version);
    log::info!("full service after {recovery_ms} ms: epoch={epoch} configuration_version={version}");
}
