//! Runs a drill: sets up parties and links, starts the balancer processes, injects the faults on schedule and hands over
//! what was recorded. All processes have ended when it returns.
//!
//! Seeds fix the fault schedule and all random draws, but not how the system schedules processes: two runs with one seed
//! are similar, not identical, and must be judged by bounds that hold on a busy machine.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::sys::signal::Signal;
use ochreshed_emulator::random::RandomStream;
use ochreshed_emulator::scenario::{Effect, FaultKind as ScenarioFaultKind};
use ochreshed_emulator::{MS, Nanos, S};
use serde_json::{Value as Json, json};
use tokio::sync::watch;
use tokio::time::sleep_until;

use crate::client::{Clients, ConnectionRouting, RoutingState, TrafficSettings};
use crate::discovery::{Discovery, DiscoverySettings, EndpointList, ListEntry};
use crate::drill_file::{
    DiscoveryFaultKind, Drill, FaultKind, InitialList, KillSignal, LinkDirections, LinkFaultKind, StoredState,
};
use crate::event_log::{Entry, Event, EventLog, ProcessChange, lock};
use crate::http::FramingEvent;
use crate::link::{Direction, Link, LinkEffect, RelayEvent, RelayObserver, TcpRelay, UdpRelay};
use crate::party::{Parties, Party, PartySelector};
use crate::process::{self, BalancerProcess, BalancerProcesses, ResourceUsage};
use crate::server::{EmulatedServer, ServerDefect};

/// A process that is not ready within this counts as one that never will be.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const REAP_INTERVAL: Nanos = 10 * MS;
const USAGE_SAMPLE_INTERVAL: Duration = Duration::from_millis(1_000);
const LAG_SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// The lag is kept per half second; the last slots are for calls that are retried after the last arrival.
const EXTRA_LAG_SLOTS: usize = 20;

/// What a run needs in addition to the drill file.
#[derive(Clone, Debug, Default)]
pub struct RunOptions {
    pub seed: u64,
    /// The balancer program.
    pub binary: PathBuf,
    /// Another build of it, for `live.other`.
    pub other_binary: Option<PathBuf>,
    /// Overrides settings in the parameters file, key by key.
    pub settings: Option<Json>,
    /// Additional arguments of `serve`; `{n}` in them is the balancer's number.
    pub serve_args: Vec<String>,
    /// Where the processes' folders are created; by default a temporary one that is removed afterwards.
    pub folder: Option<PathBuf>,
    pub server_defect: ServerDefect,
    /// Balancers exchange state by gossip, regardless of the drill file.
    pub gossip: bool,
    /// Balancers persist snapshots in their data folders, regardless of the drill file.
    pub snapshots: bool,
}

/// Everything observed in a run.
pub struct Recording {
    pub entries: Vec<Entry>,
    /// Events beyond the log's limit.
    pub events_lost: u64,
    pub parties: Parties,
    /// When traffic started, on the log's clock.
    pub started_at: Nanos,
    /// When traffic was to end, or the run was cut short.
    pub ended_at: Nanos,
    /// The largest lag of the drill's own tasks in each half second since `started_at`.
    pub task_lag: Vec<Nanos>,
    /// By balancer: the resource usage of its processes, sampled each second.
    pub usage: Vec<Vec<ResourceUsage>>,
    /// Bytes that the balancers sent each other.
    pub gossip_bytes: u64,
    /// The run was stopped from outside before its end.
    pub cut_short: bool,
}

impl Recording {
    /// Seconds since traffic started.
    pub fn seconds(&self, at: Nanos) -> f64 {
        (at as f64 - self.started_at as f64) / 1e9
    }
}

/// Runs a drill on a runtime of its own. `stop` is polled and ends it early; `on_progress` is called with the fraction done.
pub fn run_drill(
    drill: &Drill,
    options: &RunOptions,
    stop: &AtomicBool,
    on_progress: &dyn Fn(f64),
) -> Result<Recording, String> {
    let workers = std::thread::available_parallelism().map_or(2, |cores| (cores.get() / 2).clamp(2, 4));
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(workers).enable_all().build();
    let runtime = runtime.map_err(|e| format!("can't create the async runtime: {e}"))?;
    raise_descriptor_limit();
    let is_temporary = options.folder.is_none();
    let folder = options.folder.clone().unwrap_or_else(temporary_folder);
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let recording = runtime.block_on(async {
        let mut runner = Runner::set_up(drill, options, &folder)
            .await
            .map_err(|e| format!("can't set up the drill's parties and links: {e}"))?;
        let recording = runner.run(stop, on_progress).await;
        // All processes end here, whatever happened.
        runner.balancers.iter().for_each(BalancerProcess::kill);
        recording
    });
    runtime.shutdown_background();
    if is_temporary {
        let _ = std::fs::remove_dir_all(&folder);
    }
    recording
}

fn temporary_folder() -> PathBuf {
    static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("ochreshed-drill-{}-{number}", std::process::id()))
}

/// Raises the soft limit to the hard one: relays take two descriptors per connection.
fn raise_descriptor_limit() {
    use nix::sys::resource::{Resource, getrlimit, setrlimit};
    if let Ok((soft, hard)) = getrlimit(Resource::RLIMIT_NOFILE)
        && soft < hard
    {
        let _ = setrlimit(Resource::RLIMIT_NOFILE, hard, hard);
    }
}

#[derive(Clone, Debug)]
enum Action {
    BeginFault(usize),
    EndFault(usize),
    KillBalancer { balancer: usize, signal: KillSignal, restart: Option<Restart> },
    StartBalancer { balancer: usize, restart: Restart },
    SuspendBalancer { balancer: usize, duty_cycle: Option<DutyCycle> },
    ResumeBalancer { balancer: usize, duty_cycle: Option<DutyCycle> },
    ResumeServer(usize),
    DrainServer(usize),
    ReplaceServer(usize),
    ReapProcesses,
}

/// How a process is restarted.
#[derive(Clone, Copy, Debug)]
struct Restart {
    delay: Nanos,
    initial_list: InitialList,
    stored_state: StoredState,
}

/// Alternating running and suspended times of a process.
#[derive(Clone, Copy, Debug)]
struct DutyCycle {
    run_time: Nanos,
    suspend_time: Nanos,
    until: Nanos,
}

/// An action with its due time; the sequence number orders those due at the same time.
struct ScheduledAction {
    due: Nanos,
    sequence: u64,
    action: Action,
}

impl PartialEq for ScheduledAction {
    fn eq(&self, other: &ScheduledAction) -> bool {
        (self.due, self.sequence) == (other.due, other.sequence)
    }
}

impl Eq for ScheduledAction {}

impl PartialOrd for ScheduledAction {
    fn partial_cmp(&self, other: &ScheduledAction) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledAction {
    fn cmp(&self, other: &ScheduledAction) -> std::cmp::Ordering {
        (self.due, self.sequence).cmp(&(other.due, other.sequence))
    }
}

/// A balancer's gossip address, and those at which it reaches each of the others by relays.
struct GossipAddresses {
    listen: SocketAddr,
    peers: Vec<SocketAddr>,
}

struct Runner<'a> {
    drill: &'a Drill,
    options: &'a RunOptions,
    parties: Parties,
    log: EventLog,
    balancers: BalancerProcesses,
    /// Balancers that run the other build.
    other_build: BTreeSet<usize>,
    servers: Vec<EmulatedServer>,
    /// By server: how often it was replaced under a new id.
    replacements: Vec<u32>,
    discovery: Discovery,
    links: HashMap<(Party, Party), Link>,
    /// Discovery always listens: while it is down it answers with an error.
    discovery_alive: watch::Sender<bool>,
    /// By balancer; empty if neither gossip nor snapshots are enabled.
    gossip: Vec<GossipAddresses>,
    /// By balancer: where it reaches discovery.
    discovery_addresses: Vec<SocketAddr>,
    /// By zone and balancer: where the zone's clients reach the balancer.
    balancer_addresses: Vec<Vec<SocketAddr>>,
    schedule: BinaryHeap<Reverse<ScheduledAction>>,
    next_sequence: u64,
    /// By balancer: how it is restarted once the process that was asked to terminate has ended.
    pending_restarts: Vec<Option<Restart>>,
    /// By balancer: the number of faults that keep it suspended.
    suspensions: Vec<u32>,
    /// By active fault: the parties drawn when it began.
    fault_targets: HashMap<usize, Vec<Party>>,
    /// By active fault: its factor on the arrival rate.
    load_factors: HashMap<usize, f64>,
    load: watch::Sender<f64>,
    random: RandomStream,
}

impl<'a> Runner<'a> {
    async fn set_up(drill: &'a Drill, options: &'a RunOptions, folder: &Path) -> io::Result<Runner<'a>> {
        let (parties, log, seed) = (drill.parties(), EventLog::default(), options.seed);
        let tier = Arc::new(drill.tier().clone());
        let mut servers = Vec::new();
        for number in 0..parties.servers {
            let defect = options.server_defect;
            servers.push(EmulatedServer::start(number, tier.clone(), seed, log.clone(), defect).await?);
        }
        let list = (0..parties.servers).map(|server| ListEntry {
            server,
            id: format!("s-{server:03}"),
            zone: parties.zones[parties.zone(server)].clone(),
            up: true,
            draining: false,
            notified: None,
            started_ms: 0,
        });
        let settings = DiscoverySettings {
            propagation_delay: drill.discovery.delay.clone(),
            calls_per_s: drill.live.discovery_calls_per_s,
            call_timeout: Duration::from_nanos(drill.live.discovery_call_timeout),
        };
        let discovery = Discovery::new(parties.balancers, list.collect(), settings, seed, log.clone());
        let balancers = (0..parties.balancers).map(|number| BalancerProcess::new(number, folder));
        let balancers: BalancerProcesses = Arc::new(balancers.collect::<Result<_, _>>()?);
        let mut random = RandomStream::new(seed, "script");
        let other_build = drill.live.other_build.as_ref().filter(|_| options.other_binary.is_some());
        let other_build = other_build.map(|targets| parties.select(targets, &mut random)).unwrap_or_default();
        let number = |party| match party {
            Party::Balancer(number) => Some(number),
            _ => None,
        };
        let mut runner = Runner {
            drill,
            options,
            log,
            other_build: other_build.into_iter().filter_map(number).collect(),
            replacements: vec![0; parties.servers],
            discovery,
            links: HashMap::new(),
            discovery_alive: watch::Sender::new(true),
            gossip: Vec::new(),
            discovery_addresses: Vec::new(),
            balancer_addresses: Vec::new(),
            schedule: BinaryHeap::new(),
            next_sequence: 0,
            pending_restarts: vec![None; parties.balancers],
            suspensions: vec![0; parties.balancers],
            fault_targets: HashMap::new(),
            load_factors: HashMap::new(),
            load: watch::Sender::new(1.0),
            random,
            balancers,
            servers,
            parties,
        };
        runner.create_relays().await?;
        if runner.uses_gossip() || runner.uses_snapshots() {
            runner.create_gossip_relays().await?;
        }
        Ok(runner)
    }

    fn uses_gossip(&self) -> bool {
        self.drill.live.gossip || self.options.gossip
    }

    fn uses_snapshots(&self) -> bool {
        self.drill.live.snapshots || self.options.snapshots
    }

    fn create_link(&mut self, from: Party, to: Party) -> Link {
        let (a, b) = (self.parties.zone_of(from), self.parties.zone_of(to));
        let network = &self.drill.network;
        let base_delay = if a == b { &network.within_site } else { &network.between_sites };
        let seed = self.options.seed.wrapping_mul(1_000_003).wrapping_add(self.links.len() as u64);
        let link = Link::new(base_delay.clone(), seed);
        self.links.insert((from, to), link.clone());
        link
    }

    async fn create_relays(&mut self) -> io::Result<()> {
        let (log, first_bytes) = (self.log.clone(), Arc::new(Mutex::new(HashMap::new())));
        let mut server_addresses = Vec::new();
        for balancer in 0..self.parties.balancers {
            let mut addresses = Vec::new();
            for server in 0..self.parties.servers {
                let link = self.create_link(Party::Balancer(balancer), Party::Server(server));
                let (address, alive) = (self.servers[server].address, self.servers[server].alive.subscribe());
                let observer = observe_dispatches(log.clone(), first_bytes.clone(), balancer, server);
                addresses.push(TcpRelay::start(address, link, alive, observer)?.address);
            }
            server_addresses.push(addresses);
            let link = self.create_link(Party::Balancer(balancer), Party::Discovery);
            let address = self.discovery.serve(balancer).await?;
            let observer = observe_list_deliveries(log.clone(), self.discovery.clone(), balancer);
            let relay = TcpRelay::start(address, link, self.discovery_alive.subscribe(), observer)?;
            self.discovery_addresses.push(relay.address);
        }
        self.discovery.set_server_addresses(server_addresses);
        for zone in 0..self.parties.zones.len() {
            let mut addresses = Vec::new();
            for balancer in 0..self.parties.balancers {
                let link = self.create_link(Party::Clients(zone), Party::Balancer(balancer));
                let (address, alive) =
                    (self.balancers[balancer].address, self.balancers[balancer].alive.subscribe());
                let log = log.clone();
                let observer: RelayObserver = Arc::new(move |_, event| {
                    if let RelayEvent::Opened = event {
                        let (from, to) = (Party::Clients(zone), Party::Balancer(balancer));
                        log.record(Event::ConnectionOpened { from, to });
                    }
                });
                addresses.push(TcpRelay::start(address, link, alive, observer)?.address);
            }
            self.balancer_addresses.push(addresses);
        }
        Ok(())
    }

    /// Creates a UDP relay from each balancer to each other one.
    async fn create_gossip_relays(&mut self) -> io::Result<()> {
        // On a separate IP address, where nothing else of a drill takes a port while a process is down. The sockets are
        // held at the same time, so that all ports differ, and closed on return.
        let sockets: Vec<std::net::UdpSocket> = (0..self.parties.balancers)
            .map(|_| std::net::UdpSocket::bind("127.0.0.2:0"))
            .collect::<Result<_, _>>()?;
        let addresses: Vec<SocketAddr> =
            sockets.iter().map(|socket| socket.local_addr()).collect::<Result<_, _>>()?;
        for from in 0..self.parties.balancers {
            let mut peers = Vec::new();
            for (to, address) in addresses.iter().enumerate() {
                let link = self.create_link(Party::Balancer(from), Party::Balancer(to));
                peers.push(UdpRelay::start(*address, link).await?.address);
            }
            self.gossip.push(GossipAddresses { listen: addresses[from], peers });
        }
        Ok(())
    }

    /// The balancer's file for `--fleet`, if gossip or snapshots are enabled.
    fn fleet_file(&self, balancer: usize) -> Option<String> {
        let GossipAddresses { listen, peers } = self.gossip.get(balancer)?;
        let (uses_gossip, uses_snapshots) = (self.uses_gossip(), self.uses_snapshots());
        let others = || peers.iter().enumerate().filter(|(other, _)| uses_gossip && *other != balancer);
        let seeds: Vec<String> = others().take(3).map(|(_, address)| format!("\"{address}\"")).collect();
        let reach: String = others().map(|(other, address)| format!("n{other} = \"{address}\"\n")).collect();
        let seeds = seeds.join(", ");
        let stored = self.balancers[balancer].data_folder();
        let snapshots =
            if uses_snapshots { format!("snapshots = \"{}\"\n", stored.display()) } else { String::new() };
        Some(format!(
            "fleet = \"drill\"\nlisten = \"{listen}\"\nseeds = [{seeds}]\n{snapshots}[reach]\n{reach}"
        ))
    }

    async fn run(&mut self, stop: &AtomicBool, on_progress: &dyn Fn(f64)) -> Result<Recording, String> {
        let restart =
            Restart { delay: 0, initial_list: InitialList::AtDrillStart, stored_state: StoredState::Kept };
        for balancer in 0..self.parties.balancers {
            self.start_balancer(balancer, restart)
                .map_err(|e| format!("{}: {e}", self.options.binary.display()))?;
        }
        for balancer in self.balancers.clone().iter() {
            let until = Instant::now() + READY_TIMEOUT;
            while *balancer.routing.borrow() != RoutingState::Included {
                if Instant::now() > until || balancer.pid().is_none() {
                    let number = balancer.number;
                    return Err(format!("balancer {number} does not get ready: {}", balancer.log_tail()));
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        let started_at = self.log.now() + 100 * MS;
        let ended_at = started_at + self.drill.duration;
        let lag_slots = (self.drill.duration / (S / 2)) as usize + EXTRA_LAG_SLOTS;
        let task_lag = Arc::new(Mutex::new(vec![0; lag_slots]));
        let usage = Arc::new(Mutex::new(vec![Vec::new(); self.parties.balancers]));
        tokio::spawn(sample_lag(self.log.clone(), started_at, task_lag.clone()));
        tokio::spawn(sample_usage(self.balancers.clone(), usage.clone()));
        let clients = Clients::new(
            self.traffic_settings(),
            self.connection_routing(),
            self.log.clone(),
            self.options.seed,
        );
        let mut traffic = tokio::spawn(clients.run(started_at, ended_at, self.load.subscribe()));
        for index in 0..self.drill.faults.len() + self.drill.scenario_faults.len() {
            let (starts_at, duration) = self.fault_times(index);
            self.schedule(started_at + starts_at, Action::BeginFault(index));
            if duration > 0 {
                self.schedule(started_at + starts_at + duration, Action::EndFault(index));
            }
        }
        self.schedule(started_at, Action::ReapProcesses);
        let mut cut_short = false;
        let ended = loop {
            let Some(Reverse(ScheduledAction { due, .. })) = self.schedule.peek() else { break Ok(()) };
            let due = self.log.instant_of(*due).into();
            tokio::select! {
                ended = &mut traffic => break ended,
                () = sleep_until(due) => {}
            }
            if let Some(Reverse(ScheduledAction { action, .. })) = self.schedule.pop() {
                if matches!(action, Action::ReapProcesses) {
                    let elapsed = self.log.now().saturating_sub(started_at);
                    on_progress(elapsed as f64 / self.drill.duration as f64);
                }
                self.execute(action).await;
            }
            if stop.load(Ordering::Relaxed) {
                cut_short = true;
                traffic.abort();
                break Ok(());
            }
        };
        ended.map_err(|e| format!("the client task failed: {e}"))?;
        self.reap_processes();
        let (entries, events_lost) = self.log.take();
        let (task_lag, usage) = (lock(&task_lag).clone(), lock(&usage).clone());
        let ended_at = if cut_short { self.log.now().min(ended_at) } else { ended_at };
        let between_balancers = self
            .links
            .iter()
            .filter(|((a, b), _)| matches!((a, b), (Party::Balancer(_), Party::Balancer(_))));
        let gossip_bytes = between_balancers.map(|(_, link)| link.datagram_bytes()).sum();
        Ok(Recording {
            gossip_bytes,
            entries,
            events_lost,
            parties: self.parties.clone(),
            started_at,
            ended_at,
            task_lag,
            usage,
            cut_short,
        })
    }

    fn traffic_settings(&self) -> TrafficSettings {
        let mut random = RandomStream::new(self.options.seed, "weights");
        let skew = self.drill.live.load_skew;
        // Log-uniform from 1 to the skew.
        let balancer_weights =
            (0..self.parties.balancers).map(|_| skew.powf(random.sample_fraction())).collect();
        let clients = &self.drill.clients;
        TrafficSettings {
            rule_sets: self.drill.rule_sets.clone(),
            calls_per_s: clients.requests_per_s,
            balancer_weights,
            max_retries: clients.max_retries,
            retry_pause: Duration::from_nanos(clients.retry_delay),
            failure_detection_delay: Duration::from_nanos(self.drill.live.failure_detection_delay),
        }
    }

    fn connection_routing(&self) -> ConnectionRouting {
        let zones = (0..self.parties.balancers).map(|balancer| self.parties.zone(balancer)).collect();
        let states = self.balancers.iter().map(|balancer| balancer.routing.subscribe()).collect();
        ConnectionRouting { addresses: self.balancer_addresses.clone(), zones, states }
    }

    fn schedule(&mut self, due: Nanos, action: Action) {
        self.next_sequence += 1;
        self.schedule.push(Reverse(ScheduledAction { due, sequence: self.next_sequence, action }));
    }

    /// Start and duration of a fault. Indices count the drill's faults first, then its scenario faults.
    fn fault_times(&self, index: usize) -> (Nanos, Nanos) {
        match self.drill.faults.get(index) {
            Some(fault) => (fault.starts_at, fault.duration),
            None => {
                let fault = &self.drill.scenario_faults[index - self.drill.faults.len()];
                (fault.starts_at, fault.duration)
            }
        }
    }

    async fn execute(&mut self, action: Action) {
        let now = self.log.now();
        match action {
            Action::BeginFault(index) => match self.drill.faults.get(index) {
                Some(fault) => self.begin_fault(now, index, &fault.kind.clone(), fault.duration).await,
                None => self.apply_scenario_fault(now, index, true).await,
            },
            Action::EndFault(index) => match self.drill.faults.get(index) {
                Some(fault) => self.end_fault(index, &fault.kind.clone()).await,
                None => self.apply_scenario_fault(now, index, false).await,
            },
            Action::KillBalancer { balancer, signal, restart } => {
                self.kill_balancer(now, balancer, signal, restart)
            }
            Action::StartBalancer { balancer, restart } => {
                // A failure to start is recorded like a process that never gets ready.
                if self.start_balancer(balancer, restart).is_err() {
                    self.log.record(Event::Process { balancer, change: ProcessChange::NeverReady });
                }
            }
            Action::SuspendBalancer { balancer, duty_cycle } => {
                self.suspend_balancer(balancer);
                if let Some(cycle) = duty_cycle {
                    self.schedule(
                        (now + cycle.suspend_time).min(cycle.until),
                        Action::ResumeBalancer { balancer, duty_cycle },
                    );
                }
            }
            Action::ResumeBalancer { balancer, duty_cycle } => {
                self.resume_balancer(balancer);
                if let Some(cycle) = duty_cycle.filter(|cycle| now + cycle.run_time < cycle.until) {
                    self.schedule(
                        now + cycle.run_time,
                        Action::SuspendBalancer { balancer, duty_cycle: Some(cycle) },
                    );
                }
            }
            Action::ResumeServer(server) => self.servers[server].resume(),
            Action::DrainServer(server) => self.set_draining(server, true, None),
            Action::ReplaceServer(server) => {
                self.servers[server].kill();
                self.restart_server(server, false).await;
            }
            Action::ReapProcesses => {
                self.reap_processes();
                self.schedule(now + REAP_INTERVAL, Action::ReapProcesses);
            }
        }
    }

    fn record_fault(&self, index: usize, begins: bool, name: &str) {
        self.log.record(Event::Fault { index, begins, name: name.to_owned() });
    }

    fn draw_targets(&mut self, index: usize, selector: &PartySelector) -> Vec<Party> {
        let targets = self.parties.select(selector, &mut self.random);
        self.fault_targets.insert(index, targets.clone());
        targets
    }

    async fn begin_fault(&mut self, now: Nanos, index: usize, kind: &FaultKind, duration: Nanos) {
        self.record_fault(index, true, kind.name());
        match kind {
            FaultKind::Kill { targets, signal, restart_after, initial_list, stored_state } => {
                let restart = restart_after.map(|delay| Restart {
                    delay,
                    initial_list: *initial_list,
                    stored_state: *stored_state,
                });
                for balancer in numbers(self.draw_targets(index, targets)) {
                    self.kill_balancer(now, balancer, *signal, restart);
                }
            }
            FaultKind::RollingRestart { targets, signal, initial_list, stored_state } => {
                let balancers = numbers(self.draw_targets(index, targets));
                let restart = Restart { delay: 0, initial_list: *initial_list, stored_state: *stored_state };
                let interval = duration / balancers.len().max(1) as u64;
                for (position, balancer) in balancers.into_iter().enumerate() {
                    self.schedule(
                        now + interval * position as u64,
                        Action::KillBalancer { balancer, signal: *signal, restart: Some(restart) },
                    );
                }
            }
            FaultKind::CrashLoop { targets, interval, initial_list } => {
                let restart =
                    Some(Restart { delay: 0, initial_list: *initial_list, stored_state: StoredState::Kept });
                for balancer in numbers(self.draw_targets(index, targets)) {
                    for round in 0..duration / interval {
                        let signal = KillSignal::Kill;
                        self.schedule(
                            now + interval * round,
                            Action::KillBalancer { balancer, signal, restart },
                        );
                    }
                }
            }
            FaultKind::Suspend { targets } => {
                for balancer in numbers(self.draw_targets(index, targets)) {
                    self.suspend_balancer(balancer);
                    self.schedule(now + duration, Action::ResumeBalancer { balancer, duty_cycle: None });
                }
            }
            FaultKind::DutyCycle { targets, run_ratio, period } => {
                let run_time = (*period as f64 * run_ratio) as Nanos;
                let duty_cycle =
                    Some(DutyCycle { run_time, suspend_time: period - run_time, until: now + duration });
                for balancer in numbers(self.draw_targets(index, targets)) {
                    let phase = (self.random.sample_fraction() * *period as f64) as Nanos;
                    self.schedule(now + phase, Action::SuspendBalancer { balancer, duty_cycle });
                }
            }
            FaultKind::Link {
                from,
                to,
                directions,
                fault,
                reset_after_bytes,
                bytes_per_s,
                extra_delay,
                jitter,
                loss_ratio,
            } => {
                let effect = match fault {
                    LinkFaultKind::Cut => LinkEffect::Cut,
                    LinkFaultKind::Refuse => LinkEffect::Refuse,
                    LinkFaultKind::Reset => LinkEffect::Reset(*reset_after_bytes),
                    LinkFaultKind::Slow => LinkEffect::Slow(*bytes_per_s),
                    LinkFaultKind::Delay => LinkEffect::Delay { extra: *extra_delay, jitter: *jitter },
                    LinkFaultKind::Lossy => LinkEffect::Lossy(*loss_ratio),
                };
                let from: BTreeSet<Party> = self.parties.select(from, &mut self.random).into_iter().collect();
                let to: BTreeSet<Party> = self.parties.select(to, &mut self.random).into_iter().collect();
                self.begin_link_fault(index, &from, &to, *directions, effect);
            }
            FaultKind::KillServers { targets, announced, .. } => {
                let servers = numbers(self.draw_targets(index, targets));
                for server in &servers {
                    self.servers[*server].kill();
                }
                if *announced {
                    self.discovery
                        .update_list(|list| servers.iter().for_each(|server| list[*server].up = false));
                }
            }
            FaultKind::Drain { targets, notified } => {
                let notified = notified
                    .as_ref()
                    .map(|notified| numbers(self.parties.select(notified, &mut self.random)));
                let notified: Option<BTreeSet<usize>> =
                    notified.map(|notified| notified.into_iter().collect());
                for server in numbers(self.draw_targets(index, targets)) {
                    self.set_draining(server, true, notified.clone());
                }
            }
            FaultKind::Discovery { fault, extra_delay } => match fault {
                DiscoveryFaultKind::Down => self.discovery.update_faults(|faults| faults.down += 1),
                DiscoveryFaultKind::Slow => self
                    .discovery
                    .update_faults(|faults| faults.extra_delays.push(Duration::from_nanos(*extra_delay))),
                DiscoveryFaultKind::Stale => self.discovery.update_faults(|faults| faults.stale += 1),
                DiscoveryFaultKind::Empty => self.discovery.update_faults(|faults| faults.empty += 1),
                DiscoveryFaultKind::StateLost => self.discovery.reset_versions(),
            },
            FaultKind::Load { factor } => self.set_load_factor(index, Some(*factor)),
        }
    }

    async fn end_fault(&mut self, index: usize, kind: &FaultKind) {
        self.record_fault(index, false, kind.name());
        let targets = self.fault_targets.remove(&index).unwrap_or_default();
        match kind {
            FaultKind::Link { .. } => self.end_link_fault(index),
            FaultKind::KillServers { new_id, .. } => {
                for server in numbers(targets) {
                    self.restart_server(server, *new_id).await;
                }
            }
            FaultKind::Drain { .. } => {
                for server in numbers(targets) {
                    self.set_draining(server, false, None);
                }
            }
            FaultKind::Discovery { fault, extra_delay } => match fault {
                DiscoveryFaultKind::Down => self.discovery.update_faults(|faults| faults.down -= 1),
                DiscoveryFaultKind::Slow => self.discovery.update_faults(|faults| {
                    let ended = Duration::from_nanos(*extra_delay);
                    let position = faults.extra_delays.iter().position(|delay| *delay == ended);
                    position.map(|position| faults.extra_delays.swap_remove(position));
                }),
                DiscoveryFaultKind::Stale => self.discovery.update_faults(|faults| faults.stale -= 1),
                DiscoveryFaultKind::Empty => self.discovery.update_faults(|faults| faults.empty -= 1),
                DiscoveryFaultKind::StateLost => {}
            },
            FaultKind::Load { .. } => self.set_load_factor(index, None),
            // These end by scheduled actions of their own.
            FaultKind::Kill { .. }
            | FaultKind::RollingRestart { .. }
            | FaultKind::CrashLoop { .. }
            | FaultKind::Suspend { .. }
            | FaultKind::DutyCycle { .. } => {}
        }
    }

    /// Begins or ends a fault of the emulator's kinds, as its equivalent on processes and sockets.
    async fn apply_scenario_fault(&mut self, now: Nanos, index: usize, begins: bool) {
        let fault = self.drill.scenario_faults[index - self.drill.faults.len()].clone();
        let name = serde_json::to_value(fault.kind).ok().and_then(|name| name.as_str().map(str::to_owned));
        self.record_fault(index, begins, &name.unwrap_or_default());
        let count = fault.target_count.min(self.servers.len());
        match fault.kind {
            ScenarioFaultKind::SiteLost if begins => {
                let in_site = |party: &Party| self.parties.zone_of(*party) == Some(fault.site);
                let from = (0..self.parties.balancers).map(Party::Balancer).filter(|party| !in_site(party));
                let to = (0..self.parties.servers).map(Party::Server).filter(in_site);
                let (from, to) = (from.collect(), to.collect());
                self.begin_link_fault(index, &from, &to, LinkDirections::Both, LinkEffect::Cut);
            }
            ScenarioFaultKind::SiteLost => self.end_link_fault(index),
            ScenarioFaultKind::FastErrors => {
                self.servers[..count].iter().for_each(|server| server.set_failing_at_once(begins))
            }
            ScenarioFaultKind::Pause if begins => {
                for server in 0..count {
                    self.servers[server].pause(now + fault.duration);
                    self.schedule(now + fault.duration, Action::ResumeServer(server));
                }
            }
            ScenarioFaultKind::FleetCut if begins => {
                let cut = fault.target_count.min(self.parties.balancers);
                let balancers = |range: std::ops::Range<usize>| range.map(Party::Balancer).collect();
                let (from, to) = (balancers(0..cut), balancers(cut..self.parties.balancers));
                self.begin_link_fault(index, &from, &to, LinkDirections::Both, LinkEffect::Cut);
            }
            ScenarioFaultKind::FleetCut => self.end_link_fault(index),
            ScenarioFaultKind::Drain => (0..count).for_each(|server| self.set_draining(server, begins, None)),
            ScenarioFaultKind::Slow => {
                let factor = if begins { fault.factor } else { 1.0 };
                self.servers.iter().for_each(|server| server.set_work_factor(factor));
            }
            ScenarioFaultKind::Resets => {
                let ratio = if begins { fault.fraction } else { 0.0 };
                self.servers.iter().for_each(|server| server.set_reset_ratio(ratio));
            }
            ScenarioFaultKind::Burst => self.set_load_factor(index, begins.then_some(fault.factor)),
            ScenarioFaultKind::ListDown if begins => self.discovery.update_faults(|faults| faults.stale += 1),
            ScenarioFaultKind::ListDown => self.discovery.update_faults(|faults| faults.stale -= 1),
            ScenarioFaultKind::Crash if begins => {
                let count = count.min(self.parties.balancers);
                let restart = Some(Restart {
                    delay: 0,
                    initial_list: InitialList::AtDrillStart,
                    stored_state: StoredState::Kept,
                });
                for balancer in 0..count {
                    let at = now + fault.duration / count.max(1) as u64 * balancer as u64;
                    let signal = KillSignal::Kill;
                    self.schedule(at, Action::KillBalancer { balancer, signal, restart });
                }
            }
            ScenarioFaultKind::Deploy if begins => {
                let interval = fault.duration / self.servers.len() as u64;
                for server in 0..self.servers.len() {
                    let drain_at = now + interval * server as u64;
                    self.schedule(drain_at, Action::DrainServer(server));
                    self.schedule(drain_at + 4 * S, Action::ReplaceServer(server));
                }
            }
            ScenarioFaultKind::Pause | ScenarioFaultKind::Crash | ScenarioFaultKind::Deploy => {}
        }
    }

    fn set_load_factor(&mut self, fault: usize, factor: Option<f64>) {
        match factor {
            Some(factor) => self.load_factors.insert(fault, factor),
            None => self.load_factors.remove(&fault),
        };
        let factor = self.load_factors.values().product();
        self.load.send_replace(factor);
        self.log.record(Event::Load { factor });
    }

    fn begin_link_fault(
        &self,
        index: usize,
        from: &BTreeSet<Party>,
        to: &BTreeSet<Party>,
        directions: LinkDirections,
        effect: LinkEffect,
    ) {
        for ((a, b), link) in &self.links {
            // Links go from the connecting party; the fault's parties may be named in either order.
            let same_order = from.contains(a) && to.contains(b);
            let swapped = from.contains(b) && to.contains(a);
            let mut forward = same_order && directions != LinkDirections::Reverse
                || swapped && directions != LinkDirections::Forward;
            let mut reverse = same_order && directions != LinkDirections::Forward
                || swapped && directions != LinkDirections::Reverse;
            // Connections are refused by the party that is connected to, whatever the fault's directions.
            if effect == LinkEffect::Refuse {
                (forward, reverse) = (same_order || swapped, false);
            }
            for (affected, direction) in [(forward, Direction::Forward), (reverse, Direction::Reverse)] {
                if affected {
                    link.begin_fault(index as u64, direction, effect);
                }
            }
            if forward || reverse {
                self.log.record(Event::LinkFault { a: *a, b: *b, begins: true });
            }
        }
    }

    fn end_link_fault(&self, index: usize) {
        for ((a, b), link) in &self.links {
            if link.end_fault(index as u64) {
                self.log.record(Event::LinkFault { a: *a, b: *b, begins: false });
            }
        }
    }

    fn set_draining(&self, server: usize, draining: bool, notified: Option<BTreeSet<usize>>) {
        self.servers[server].set_draining(draining);
        self.discovery
            .update_list(|list| (list[server].draining, list[server].notified) = (draining, notified));
    }

    /// Restarts a server in slow start, under a new id if `new_id` is set.
    async fn restart_server(&mut self, server: usize, new_id: bool) {
        if self.servers[server].restart().await.is_err() {
            return;
        }
        let started_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        self.log.record(Event::ServerRestarted { server, started_ms });
        if new_id {
            self.replacements[server] += 1;
        }
        let replacements = self.replacements[server];
        self.discovery.update_list(|list| {
            let entry = &mut list[server];
            (entry.up, entry.draining, entry.notified, entry.started_ms) = (true, false, None, started_ms);
            if new_id {
                entry.id = format!("s-{server:03}-{replacements}");
            }
        });
    }

    fn kill_balancer(&mut self, now: Nanos, balancer: usize, signal: KillSignal, restart: Option<Restart>) {
        let process = &self.balancers[balancer];
        if process.pid().is_none() {
            // It has ended already, and restarts as scheduled then.
            return;
        }
        match signal {
            KillSignal::Kill => {
                // Recorded before the kill, since the connections that it breaks are observed at once.
                self.log.record(Event::Process { balancer, change: ProcessChange::Killed });
                process.routing.send_replace(RoutingState::Died(Instant::now()));
                process.kill();
                if let Some(restart) = restart {
                    self.schedule(now + restart.delay, Action::StartBalancer { balancer, restart });
                }
            }
            KillSignal::Term => {
                process.signal(Signal::SIGTERM);
                process.routing.send_replace(RoutingState::Excluded);
                self.log.record(Event::Process { balancer, change: ProcessChange::TerminationRequested });
                self.pending_restarts[balancer] = restart;
            }
        }
    }

    /// Records processes that have ended, and schedules pending restarts.
    fn reap_processes(&mut self) {
        for balancer in 0..self.parties.balancers {
            let Some(code) = self.balancers[balancer].take_exit_code() else { continue };
            self.log.record(Event::Process { balancer, change: ProcessChange::Exited(code) });
            if *self.balancers[balancer].routing.borrow() == RoutingState::Included {
                self.balancers[balancer].routing.send_replace(RoutingState::Died(Instant::now()));
            }
            if let Some(restart) = self.pending_restarts[balancer].take() {
                self.schedule(self.log.now() + restart.delay, Action::StartBalancer { balancer, restart });
            }
        }
    }

    fn suspend_balancer(&mut self, balancer: usize) {
        self.suspensions[balancer] += 1;
        if self.suspensions[balancer] == 1 && self.balancers[balancer].signal(Signal::SIGSTOP) {
            self.log.record(Event::Process { balancer, change: ProcessChange::Suspended });
        }
    }

    fn resume_balancer(&mut self, balancer: usize) {
        self.suspensions[balancer] = self.suspensions[balancer].saturating_sub(1);
        if self.suspensions[balancer] == 0 && self.balancers[balancer].signal(Signal::SIGCONT) {
            self.log.record(Event::Process { balancer, change: ProcessChange::Resumed });
        }
    }

    fn start_balancer(&mut self, balancer: usize, restart: Restart) -> io::Result<()> {
        let process = &self.balancers[balancer];
        if process.pid().is_some() {
            return Ok(());
        }
        let stored = process.data_folder();
        match restart.stored_state {
            StoredState::Kept => {}
            StoredState::Lost => {
                std::fs::remove_dir_all(&stored)?;
                std::fs::create_dir_all(&stored)?;
            }
            StoredState::Damaged => process::damage_files(&stored)?,
            StoredState::Foreign => {
                let neighbour = &self.balancers[(balancer + 1) % self.balancers.len()];
                process::replace_folder(&neighbour.data_folder(), &stored)?;
            }
        }
        let parameters = self.parameters(balancer, restart.initial_list);
        let binary = match &self.options.other_binary {
            Some(other) if self.other_build.contains(&balancer) => other,
            _ => &self.options.binary,
        };
        let folder = process.folder.display().to_string();
        let args = self.options.serve_args.iter().map(|arg| {
            arg.replace("{n}", &balancer.to_string()).replace("{stored}", &format!("{folder}/stored"))
        });
        let mut args: Vec<String> = args.collect();
        if let Some(file) = self.fleet_file(balancer) {
            let path = process.folder.join("fleet.toml");
            std::fs::write(&path, file)?;
            args.extend(["--fleet".to_owned(), path.display().to_string()]);
        }
        process.start(binary, &parameters, self.drill.live.sockets, &args)?;
        self.log.record(Event::Process { balancer, change: ProcessChange::Started });
        // The initial list counts as delivered.
        let list = self.initial_list(balancer, restart.initial_list);
        if let Some(serving_since) = list.map(|list| self.discovery.serving_since(balancer, &list)) {
            self.log.record(Event::ListDelivered { balancer, serving_since });
        }
        let (balancers, log) = (self.balancers.clone(), self.log.clone());
        let pid = process.pid();
        tokio::spawn(async move {
            let process = &balancers[balancer];
            let ready = process.wait_until_ready(READY_TIMEOUT).await;
            // Another process may have replaced it meanwhile.
            if process.pid() == pid && ready {
                log.record(Event::Process { balancer, change: ProcessChange::Ready });
                process.routing.send_replace(RoutingState::Included);
            } else if process.pid() == pid && pid.is_some() {
                log.record(Event::Process { balancer, change: ProcessChange::NeverReady });
            }
        });
        Ok(())
    }

    fn initial_list(&self, balancer: usize, kind: InitialList) -> Option<EndpointList> {
        match kind {
            InitialList::AtDrillStart => Some(self.discovery.list_at(0.0)),
            InitialList::Current => Some(self.discovery.list_at(1.0)),
            InitialList::Empty => None,
            InitialList::Historical => {
                Some(self.discovery.list_at(balancer as f64 / (self.parties.balancers - 1).max(1) as f64))
            }
        }
    }

    /// The balancer's parameters file, as JSON.
    fn parameters(&self, balancer: usize, initial_list: InitialList) -> String {
        let list = self.initial_list(balancer, initial_list);
        // Version 0 is older than any that discovery serves.
        let known = self.discovery.list_json(balancer, 0, Some(&list.unwrap_or_default()));
        let known: Json = serde_json::from_str(&known).unwrap_or_default();
        let mut settings = self.settings(balancer);
        if let (Some(Json::Object(overrides)), Json::Object(settings)) =
            (&self.options.settings, &mut settings)
        {
            for (key, value) in overrides {
                settings.insert(key.clone(), value.clone());
            }
        }
        let seed =
            RandomStream::new(self.options.seed, &format!("balancer {balancer}")).sample_below(usize::MAX);
        json!({
            "name": format!("n{balancer}"),
            "listen": self.balancers[balancer].address.to_string(),
            "discovery": self.discovery_addresses[balancer].to_string(),
            "seed": format!("{seed:x}"),
            "limits": {"cores": 1.0, "memory_mb": self.drill.live.memory_mb, "sockets": self.drill.live.sockets},
            "known": known,
            "settings": settings,
        })
        .to_string()
    }

    fn settings(&self, balancer: usize) -> Json {
        let ms = |duration: Nanos| duration as f64 / MS as f64;
        let (tier, live) = (self.drill.tier(), &self.drill.live);
        let (slow_start_ms, initial_speed) = tier
            .slow_start
            .map_or((0.0, 1.0), |slow_start| (ms(slow_start.duration), slow_start.initial_speed));
        let rule_sets = self.drill.rule_sets.iter().map(|rule_set| {
            let effect = match rule_set.effect {
                Effect::Replayable => "repeatable",
                Effect::Uniqued => "by_key",
                Effect::NonReplayable => "once",
            };
            json!({
                "Name": rule_set.name, "Effect": effect, "DedupScope": "all", "Window": ms(rule_set.dedup_window),
                "ResponseTarget": ms(rule_set.response_target), "ClientTimeout": ms(rule_set.client_timeout),
                "Utility": rule_set.utility, "TardyUtility": 0.0,
            })
        });
        json!({
            "NInstances": self.parties.balancers, "Me": balancer, "Tier": 0, "Tiers": [tier.name],
            "Locality": self.parties.zones[self.parties.zone(balancer)],
            "Discovery": "ask",
            "Limits": {"MaxDispatches": 4, "Cancelling": true, "ConnectTimeout": 250.0, "ConnIdle": 15_000.0,
                "Peers": !self.gossip.is_empty(), "RetryAfter": true, "MaxRetryAfter": 2_000.0},
            "Guarantees": {"AnswerSlack": 20.0, "AskWithin": 10_000.0, "Cold": slow_start_ms, "ColdShare": initial_speed,
                "DrainGrace": ms(live.drain_grace), "Fall": ms(live.slow_start_window),
                "FallMultiple": live.slow_start_load_factor},
            "Prices": {"CrossZone": 0.0066},
            "RuleSets": rule_sets.collect::<Vec<_>>(),
        })
    }
}

/// The numbers of the balancers and servers among these parties.
fn numbers(parties: Vec<Party>) -> Vec<usize> {
    let number = |party| match party {
        Party::Balancer(number) | Party::Server(number) => Some(number),
        Party::Clients(_) | Party::Discovery => None,
    };
    parties.into_iter().filter_map(number).collect()
}

/// By connection: when the first byte of the current request was received.
type FirstBytes = Arc<Mutex<HashMap<u64, Nanos>>>;

/// Records dispatches from a balancer to a server.
fn observe_dispatches(
    log: EventLog,
    first_bytes: FirstBytes,
    balancer: usize,
    server: usize,
) -> RelayObserver {
    Arc::new(move |connection, event| match event {
        RelayEvent::Opened => {
            let (from, to) = (Party::Balancer(balancer), Party::Server(server));
            log.record(Event::ConnectionOpened { from, to })
        }
        RelayEvent::Forward(FramingEvent::FirstByte) => {
            lock(&first_bytes).insert(connection, log.now());
        }
        RelayEvent::Forward(FramingEvent::Head(head)) => {
            let first_byte_at = lock(&first_bytes).remove(&connection).unwrap_or_else(|| log.now());
            if let Some(id) = head.hex_header("x-call-id") {
                log.record(Event::DispatchSent { id, balancer, server, connection, first_byte_at });
            }
        }
        RelayEvent::Forward(FramingEvent::LastByte) => log.record(Event::DispatchWritten { connection }),
        RelayEvent::Reverse(FramingEvent::Head(head)) => {
            let rejected = head.header("x-rejected") == Some("1");
            log.record(Event::DispatchAnswered { connection, status: head.status(), rejected });
        }
        RelayEvent::Reverse(_) => {}
        RelayEvent::Closed => {
            lock(&first_bytes).remove(&connection);
            log.record(Event::ConnectionClosed { connection });
        }
    })
}

/// Records each list from discovery when a balancer has received it completely.
fn observe_list_deliveries(log: EventLog, discovery: Discovery, balancer: usize) -> RelayObserver {
    let arriving = Mutex::new(HashMap::new());
    Arc::new(move |connection, event| match event {
        RelayEvent::Opened => {
            let (from, to) = (Party::Balancer(balancer), Party::Discovery);
            log.record(Event::ConnectionOpened { from, to })
        }
        RelayEvent::Reverse(FramingEvent::Head(head)) => {
            let key = head.header("x-told").and_then(|key| key.parse::<u64>().ok());
            lock(&arriving).extend(key.map(|key| (connection, key)));
        }
        RelayEvent::Reverse(FramingEvent::LastByte) => {
            let key = lock(&arriving).remove(&connection);
            if let Some(serving_since) = key.and_then(|key| discovery.delivered_list(balancer, key)) {
                log.record(Event::ListDelivered { balancer, serving_since });
            }
        }
        RelayEvent::Closed => drop(lock(&arriving).remove(&connection)),
        _ => {}
    })
}

/// Records how late the drill's own tasks run, by half second.
async fn sample_lag(log: EventLog, started_at: Nanos, lag: Arc<Mutex<Vec<Nanos>>>) {
    loop {
        let due = Instant::now() + LAG_SAMPLE_INTERVAL;
        sleep_until(due.into()).await;
        let late_by = due.elapsed().as_nanos() as Nanos;
        let half_second = (log.now().saturating_sub(started_at) / (S / 2)) as usize;
        let mut lag = lock(&lag);
        let last = lag.len() - 1;
        let slot = &mut lag[half_second.min(last)];
        *slot = (*slot).max(late_by);
    }
}

async fn sample_usage(balancers: BalancerProcesses, usage: Arc<Mutex<Vec<Vec<ResourceUsage>>>>) {
    loop {
        tokio::time::sleep(USAGE_SAMPLE_INTERVAL).await;
        let balancers = balancers.clone();
        let samples = tokio::task::spawn_blocking(move || {
            balancers.iter().map(BalancerProcess::resource_usage).collect::<Vec<_>>()
        });
        let Ok(samples) = samples.await else { return };
        for (all, sample) in lock(&usage).iter_mut().zip(samples) {
            all.extend(sample);
        }
    }
}
