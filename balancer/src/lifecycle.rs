//! The life of the process, from start to exit, as the phases of one object. It defines the order in which
//! parts start and end; phases are never skipped or re-entered.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

use ochreshed::{Balancer, Name, Nanos, ParameterValue, Parameters, read_duration, read_list, read_text};
use ochreshed_recovery::initial_list::ListSource;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::task::spawn_blocking;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use crate::address_sharing::AddressSharing;
use crate::clock::Clock;
use crate::decision_actor::{DecisionActor, DecisionEvent, DecisionService};
use crate::fleet::{self, config::FleetConfig};
use crate::metrics::Metrics;
use crate::start_facts::StartFacts;
use crate::{client_listener, discovery, endpoint_pool, operator_api};

const SECOND: Nanos = 1_000_000_000;
/// After a stop signal, clients keep coming for a while and connected ones keep sending requests. The
/// listener stays open for `LISTENER_OPEN_TIME`, or for `LISTENER_OPEN_SHARE` of the longest client timeout
/// if that is longer, and closes once no client has come for `QUIET_TIME`, at most `MAX_LISTENER_EXTENSION`
/// later. Closing sooner could leave clients without a balancer: another one may be down just now, and a
/// client may be unable to reconnect elsewhere.
const LISTENER_OPEN_TIME: Nanos = SECOND * 7 / 10;
const LISTENER_OPEN_SHARE: f64 = 0.6;
const QUIET_TIME: Nanos = SECOND * 4 / 10;
const MAX_LISTENER_EXTENSION: Nanos = SECOND / 5;
/// An accepted request is answered within its client timeout and is waited for no longer than
/// `MAX_RESPONSE_WAIT`. It is aborted `ABORT_DELAY` after that time, and the process exits `EXIT_DELAY` after
/// the same time.
const MAX_RESPONSE_WAIT: Nanos = 3 * SECOND;
const ABORT_DELAY: Nanos = SECOND * 3 / 10;
const EXIT_DELAY: Nanos = SECOND / 2;
/// How long a process that starts beside another waits for its first current list, and how often it checks
/// whether the other has ended.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(3);
const OTHERS_CHECK_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Nothing is accepted yet.
    Starting,
    Serving,
    /// A stop was requested: the health check fails, but clients that still come are served.
    Leaving,
    /// The listener is closed; accepted requests are answered, and each response closes its connection.
    Closing,
    /// Requests without an answer are aborted.
    Ending,
    Over,
}

/// The current phase of the process, and what the changes of phase depend on.
#[derive(Clone)]
pub struct Lifecycle {
    phase: watch::Sender<Phase>,
    /// Whether clients are being moved to other balancers. Independent of the phases; may change any number
    /// of times while serving.
    evacuating: watch::Sender<bool>,
    last_connection_at: Arc<AtomicU64>,
    /// Another process has taken over the address; no new connections are accepted here.
    taken_over: Arc<AtomicBool>,
}

impl Lifecycle {
    fn new() -> Lifecycle {
        Lifecycle {
            phase: watch::Sender::new(Phase::Starting),
            evacuating: watch::Sender::new(false),
            last_connection_at: Arc::default(),
            taken_over: Arc::default(),
        }
    }

    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Whether another process has taken over the clients' address.
    pub fn is_taken_over(&self) -> bool {
        self.taken_over.load(Relaxed)
    }

    /// Whether responses close their connections.
    pub fn closes_connections(&self) -> bool {
        self.phase() >= Phase::Closing || self.is_taken_over() || self.is_evacuating()
    }

    /// Whether the clients' address is served, by this process or by the one that has taken over.
    pub fn is_healthy(&self) -> bool {
        self.is_taken_over() || self.phase() == Phase::Serving && !self.is_evacuating()
    }

    pub fn is_evacuating(&self) -> bool {
        *self.evacuating.borrow()
    }

    /// Starts or ends an evacuation. Returns false, and changes nothing, unless the phase is `Serving`.
    pub fn set_evacuating(&self, evacuating: bool) -> bool {
        let serving = self.phase() == Phase::Serving;
        let changes = |current: &mut bool| std::mem::replace(current, evacuating) != evacuating;
        if serving && self.evacuating.send_if_modified(changes) {
            info!(
                "{}",
                if evacuating { "evacuation starts: connections are closed" } else { "evacuation ends" }
            );
        }
        serving
    }

    /// Follows the starts and ends of evacuations.
    pub fn watch_evacuating(&self) -> watch::Receiver<bool> {
        self.evacuating.subscribe()
    }

    /// Records that a client has connected.
    pub fn record_connection(&self, now: Nanos) {
        self.last_connection_at.store(now, Relaxed);
    }

    pub async fn reached(&self, phase: Phase) {
        // `self` holds a sender, so the channel stays open.
        let _ = self.phase.subscribe().wait_for(|now| *now >= phase).await;
    }

    fn enter(&self, phase: Phase) {
        debug_assert!(phase > self.phase());
        self.phase.send_replace(phase);
        info!("{phase:?}");
    }

    /// Returns when clients have stopped coming.
    async fn wait_quiet(&self, clock: Clock, longest_timeout: Nanos) {
        let open_until =
            clock.now() + LISTENER_OPEN_TIME.max((longest_timeout as f64 * LISTENER_OPEN_SHARE) as Nanos);
        loop {
            let until = (self.last_connection_at.load(Relaxed) + QUIET_TIME)
                .clamp(open_until, open_until + MAX_LISTENER_EXTENSION);
            let now = clock.now();
            if now >= until {
                return;
            }
            sleep(Duration::from_nanos(until - now)).await;
        }
    }
}

/// Runs a balancer from start to exit.
pub async fn run(start: StartFacts, fleet: Option<FleetConfig>) -> Result<ExitCode, String> {
    let (clock, lifecycle) = (Clock::new(), Lifecycle::new());
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
    let hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
    let folder = std::env::var_os("TMPDIR").map(PathBuf::from);
    let address_sharing = Arc::new(AddressSharing::register(folder.as_deref(), start.listen));
    let other_processes = address_sharing.count_others();
    let limits = ResourceLimits::new(&start, 1 + other_processes);
    if other_processes > 0 {
        info!(
            "{other_processes} other processes serve {}: each holds a part of the limits until they end",
            start.listen
        );
    }
    // Room for the request and the disconnection of each client, and for events from endpoint pools and
    // discovery.
    let (events, event_receiver) =
        mpsc::channel(2 * start.max_client_connections + start.max_server_connections + 64);
    let (mut known_generation, mut known_list) = (None, None);
    if !start.known_list.is_null() {
        let discovery::DiscoveryResponse { generation, is_complete, entries } =
            discovery::read(&start.known_list).map_err(|error| format!("known: {error}"))?;
        // It was parsed as a number.
        known_list = Some((generation.parse().unwrap_or(0), is_complete, entries));
        known_generation = Some(generation);
    }
    let rule_sets: Arc<[Name]> =
        read_list(&start.facts, "rule_sets").iter().map(|set| read_text(set, "name").into()).collect();
    let metrics = Metrics::new(rule_sets.iter().cloned());
    let mut fleet = match fleet {
        None => None,
        Some(config) => {
            let (name, zone) = (&start.name, read_text(&start.facts, "site"));
            let facts_list = known_list.take().map(|(version, _, entries)| (version, entries));
            let startup = fleet::FleetStartup {
                seed: start.seed,
                other_processes,
                facts_list,
                metrics: metrics.clone(),
            };
            Some(fleet::start(config, name, zone, startup, (clock, lifecycle.clone()), events.clone()).await?)
        }
    };
    // In a fleet, list updates go through the fleet actor.
    let list_updates = fleet.as_ref().map_or(&events, |fleet| &fleet.list_updates).clone();
    let initial_list = match &mut fleet {
        Some(fleet) => {
            if fleet.initial_list.0 == ListSource::Snapshot {
                // The snapshot's list may not match the generation in the start facts, so changes since then
                // would be incomplete: the whole list is requested.
                known_generation = None;
            }
            let entries = std::mem::take(&mut fleet.initial_list.1);
            (fleet.initial_list.0 != ListSource::Nothing).then_some((true, entries))
        }
        None => known_list.map(|(_, is_complete, entries)| (is_complete, entries)),
    };
    if let Some((is_complete, entries)) = initial_list {
        let update = DecisionEvent::ListUpdate { is_complete, is_stale: true, version: 0, entries };
        list_updates.try_send(update).map_err(|e| e.to_string())?;
    }
    let discovery_commands = discovery::spawn(
        start.discovery,
        clock,
        discovery::watch_wait(&start.facts),
        known_generation,
        list_updates,
    );
    // Unless the list is only fetched on request by the module, a watch starts at once.
    if other_processes > 0 {
        discovery_commands.try_send(discovery::DiscoveryCommand::Fetch).map_err(|e| e.to_string())?;
    } else if read_text(&start.facts, "list_mode") != "ask" {
        discovery_commands.try_send(discovery::DiscoveryCommand::Watch).map_err(|e| e.to_string())?;
    }
    if !start.unused_features.is_empty() {
        info!("allowed by the settings but not used: {}", start.unused_features.join(", "));
    }
    let client_timeouts =
        read_list(&start.facts, "rule_sets").iter().map(|set| read_duration(set, "client_timeout", SECOND));
    let longest_timeout = client_timeouts.max().unwrap_or(MAX_RESPONSE_WAIT).min(MAX_RESPONSE_WAIT);
    let pool_context = endpoint_pool::PoolContext {
        metrics: metrics.clone(),
        clock,
        decisions: events.clone(),
        connection_permits: limits.server_connections.clone(),
        reuse_failures: Arc::default(),
        response_memory: limits.response_memory.clone(),
        min_spare_permits: start.max_server_connections / 4,
        connect_timeout: Duration::from_nanos(read_duration(&start.facts, "connect_timeout", SECOND)),
        idle_timeout: read_duration(&start.facts, "connection_idle", 10 * SECOND),
    };
    tokio::spawn(reload_on_hangup(hangup, start.file, start.discovery, discovery_commands.clone()));
    let confirmation = fleet.as_ref().map(|fleet| (fleet.confirmed.clone(), fleet.confirmation_timeout));
    let (fleet, observed) = fleet.map(|fleet| (fleet.status, fleet.observed)).unzip();
    let api = operator_api::OperatorApi { lifecycle: lifecycle.clone(), metrics: metrics.clone(), fleet };
    if let Some(address) = start.operator_address {
        let listener = operator_api::bind(address)?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        operator_api::spawn(listener, api)?;
        info!("{} answers operators on {address}", start.name);
    }
    let admission_limits = client_listener::AdmissionLimits {
        max_connections: limits.client_connections.clone(),
        body_memory: limits.request_memory.clone(),
        rule_sets,
        headers: start.headers,
        metrics: metrics.clone(),
    };
    let runs_once = |set: &&Parameters| read_text(set, "effect") == "non-replayable";
    let run_once_rule_sets = read_list(&start.facts, "rule_sets")
        .iter()
        .filter(runs_once)
        .map(|set| read_text(set, "name").into());
    let run_once_rule_sets = run_once_rule_sets.collect();
    let mut facts = start.facts;
    facts.insert("connections".into(), ParameterValue::Number(start.max_server_connections as f64));
    let balancer = Balancer::new(clock.now(), start.seed, facts);
    let (first_fresh_list, fresh_list_received) = oneshot::channel();
    let actor = DecisionActor::new(
        balancer,
        run_once_rule_sets,
        pool_context,
        discovery_commands,
        first_fresh_list,
        observed,
    );
    let mut actor = tokio::spawn(actor.run(event_receiver));
    if other_processes > 0 {
        // The known list may be old, and no client waits for this process yet.
        let _ = timeout(FIRST_LIST_TIMEOUT, fresh_list_received).await;
    }
    if let Some((mut confirmed, wait)) = confirmation {
        // Other instances may know of changes since the list; they are waited for no longer than that is worth.
        let _ = timeout(wait, confirmed.wait_for(|confirmed| *confirmed)).await;
    }
    let listener = address_sharing.listen(start.listen).and_then(|listener| {
        let address = listener.local_addr()?;
        Ok((TcpListener::from_std(listener)?, address))
    });
    let (listener, address) = listener.map_err(|e| format!("can't listen on {}: {e}", start.listen))?;
    info!("{} listens on {address}", start.name);
    let client_listener = client_listener::ClientListener::new(
        clock,
        lifecycle.clone(),
        DecisionService::new(events),
        admission_limits,
    );
    let mut client_listener = tokio::spawn(client_listener.run(listener));

    lifecycle.enter(Phase::Serving);
    let expanding = (other_processes > 0)
        .then(|| tokio::spawn(limits.clone().expand_when_alone(address_sharing.clone())));
    let actor_ended = || Err("the decision actor has ended".to_owned());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        _ = &mut actor => return actor_ended(),
        _ = &mut client_listener => return Err("the client listener has ended".to_owned()),
    }
    if address_sharing.count_others() > 0 {
        info!("another process has taken over: no new connections are accepted here");
        lifecycle.taken_over.store(true, Relaxed);
        // A process that never was alone still holds its reduced limits and has nothing to release.
        match expanding.filter(|expanding| !expanding.is_finished()) {
            Some(expanding) => expanding.abort(),
            None => limits.release_half(),
        }
    }
    lifecycle.enter(Phase::Leaving);
    let stop_requested_at = clock.now();
    tokio::select! {
        () = lifecycle.wait_quiet(clock, longest_timeout) => {}
        _ = &mut client_listener, if lifecycle.is_taken_over() => {}
        _ = &mut actor => return actor_ended(),
    }
    for (phase, delay) in [(Phase::Closing, ABORT_DELAY), (Phase::Ending, EXIT_DELAY)] {
        lifecycle.enter(phase);
        if client_listener.is_finished() {
            continue;
        }
        let remaining = (stop_requested_at + longest_timeout + delay).saturating_sub(clock.now());
        tokio::select! {
            _ = timeout(Duration::from_nanos(remaining), &mut client_listener) => {}
            _ = &mut actor => return actor_ended(),
        }
    }
    lifecycle.enter(Phase::Over);
    Ok(ExitCode::SUCCESS)
}

/// This process's share of the limits. While several processes serve the address, each holds a part of what
/// one alone may hold.
#[derive(Clone)]
struct ResourceLimits {
    max_client_connections: usize,
    max_server_connections: usize,
    max_body_bytes: usize,
    /// The number of processes that shared the limits at the start.
    processes: usize,
    client_connections: Arc<AtomicUsize>,
    server_connections: Arc<Semaphore>,
    request_memory: Arc<Semaphore>,
    response_memory: Arc<Semaphore>,
}

impl ResourceLimits {
    fn new(start: &StartFacts, processes: usize) -> ResourceLimits {
        let &StartFacts { max_client_connections, max_server_connections, max_body_bytes, .. } = start;
        let share_of = |all: usize| Arc::new(Semaphore::new(all.div_ceil(processes)));
        ResourceLimits {
            max_client_connections,
            max_server_connections,
            max_body_bytes,
            processes,
            client_connections: Arc::new(max_client_connections.div_ceil(processes).into()),
            server_connections: share_of(max_server_connections),
            request_memory: share_of(max_body_bytes),
            response_memory: share_of(max_body_bytes),
        }
    }

    /// Releases half of the limits as they become free.
    fn release_half(&self) {
        self.client_connections.store(self.max_client_connections.div_ceil(2), Relaxed);
        for (semaphore, all) in [
            (&self.server_connections, self.max_server_connections),
            (&self.request_memory, self.max_body_bytes),
            (&self.response_memory, self.max_body_bytes),
        ] {
            let (semaphore, half) = (semaphore.clone(), (all / 2) as u32);
            tokio::spawn(async move {
                // The semaphore is never closed.
                if let Ok(released) = semaphore.acquire_many_owned(half).await {
                    released.forget();
                }
            });
        }
    }

    /// Restores the full limits once no other process is left.
    async fn expand_when_alone(self, address_sharing: Arc<AddressSharing>) {
        loop {
            let address_sharing = address_sharing.clone();
            // The lock files are checked off the request thread.
            if spawn_blocking(move || address_sharing.count_others()).await.is_ok_and(|others| others == 0) {
                break;
            }
            sleep(OTHERS_CHECK_INTERVAL).await;
        }
        self.client_connections.store(self.max_client_connections, Relaxed);
        for (semaphore, all) in [
            (&self.server_connections, self.max_server_connections),
            (&self.request_memory, self.max_body_bytes),
            (&self.response_memory, self.max_body_bytes),
        ] {
            semaphore.add_permits(all - all.div_ceil(self.processes));
        }
        info!("no other process at this address: the full limits apply");
    }
}

/// Reads the start facts again on each SIGHUP and moves the discovery client to the address they name; all
/// other facts keep their values from the start. Handling the signal also keeps it from ending the process.
async fn reload_on_hangup(
    mut hangup: Signal,
    file: PathBuf,
    mut discovery: SocketAddr,
    discovery_commands: mpsc::Sender<discovery::DiscoveryCommand>,
) {
    while hangup.recv().await.is_some() {
        let file = file.clone();
        let result = spawn_blocking(move || StartFacts::read(&file)).await;
        match result.map_err(|e| e.to_string()).and_then(|result| result) {
            Ok(facts) if facts.discovery == discovery => {
                info!("start facts reloaded: discovery is unchanged")
            }
            Ok(facts) => {
                info!("start facts reloaded: discovery changes from {discovery} to {}", facts.discovery);
                discovery = facts.discovery;
                if discovery_commands
                    .send(discovery::DiscoveryCommand::ChangeAddress(discovery))
                    .await
                    .is_err()
                {
                    return;
                }
            }
            Err(error) => warn!("can't reload the start facts, so the facts stay as they were: {error}"),
        }
    }
}
