//! Load generator for the control plane (`ochreshed hollow`). It runs many simulated attendants in one process. Each
//! one watches, sends heartbeats, reports and acquires leases with the code of a real attendant, and has its own
//! connections and its own copy of the endpoint table. They have no data plane: no socket listens, no request is
//! served, and their upstreams do not exist.
//!
//! Commands are read from standard input, one per line: `changes N` (endpoint record changes per second, over all
//! attendants), `claims N` (leases acquired and completed per second, over all attendants), `figures` (prints a line of
//! statistics), `end`.

use std::io::BufRead;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::time::{Duration, SystemTime};

use ochreshed_consensus::messages::{CoreResponse, LeaseOutcome, LeaseToken};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};

use super::proxy::{control_plane_watch, lease_client};
use super::settings::{Settings, SettingsError};
use super::start;
use crate::clock::Clock;
use crate::mesh::proxy::node::Node;

/// Interval between checks of the configuration version that all attendants have.
const VERSION_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between checks of a rate while it is 0.
const RATE_POLL_INTERVAL: Duration = VERSION_POLL_INTERVAL.saturating_mul(10);
/// Events that are overdue for longer than this are skipped, so that a stall is not followed by a burst.
const MAX_EVENT_DELAY: Duration = Duration::from_millis(200);
/// Timeout for acquiring a lease.
const LEASE_TIMEOUT: Duration = Duration::from_millis(900);
/// The time left that a lease request announces, in milliseconds.
const LEASE_TIME_LEFT_MS: u32 = 900;
/// Attendants are started in batches of this size.
const START_BATCH_SIZE: usize = 20;
/// Pause between two batches.
const START_BATCH_PAUSE: Duration = Duration::from_millis(50);
/// Concurrency limit of each simulated upstream.
const CONCURRENCY_LIMIT: u32 = 6;
/// Watches that each attendant keeps open.
const WATCHES_PER_NODE: usize = 2;

/// Command-line options of the load generator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadGeneratorOptions {
    /// Number of attendants.
    pub node_count: usize,
    /// Number of the first attendant, so that several processes simulate different ones.
    pub first_node_number: usize,
    /// Control addresses of replicas.
    pub seeds: Vec<SocketAddr>,
    /// The port for internal calls between mesh processes, the same on all machines.
    pub internal_port: u16,
    /// Number of services that the upstreams belong to.
    pub service_count: usize,
}

/// The simulated attendants of this process and their statistics.
struct LoadGenerator {
    nodes: Vec<Arc<Node>>,
    options: LoadGeneratorOptions,
    changes_per_s: AtomicUsize,
    leases_per_s: AtomicUsize,
    leases_requested: AtomicU64,
    /// Lease requests that were not granted in time.
    leases_not_granted: AtomicU64,
    /// Total duration of all lease requests.
    lease_duration_ns: AtomicU64,
}

/// Runs the load generator until the command `end` or the end of standard input.
pub fn run(options: LoadGeneratorOptions) -> Result<ExitCode, SettingsError> {
    let settings = Settings::parse(&settings_text(&options)).map_err(SettingsError::Invalid)?;
    start::init_logging();
    log::set_max_level(log::LevelFilter::Warn);
    Ok(start::block_on(run_commands(options, settings)))
}

fn settings_text(options: &LoadGeneratorOptions) -> String {
    let seeds: Vec<String> = options.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        "station = \"hollow\"\nrole = \"hollow\"\nip = \"127.0.0.1\"\nzone = \"a\"\nregion = \"r\"\n\
         inner_ports = [{inner}, {inner}]\nseed_stations = [{seeds}]\nline = \"s0\"\napp = \"127.0.0.1:1\"\n\
         [tolerate]\nmachines = 1\n",
        inner = options.internal_port,
        seeds = seeds.join(", "),
    )
}

/// Returns an inbound address that identifies a simulated attendant and is not bound to any socket.
fn node_address(number: usize) -> SocketAddr {
    let [_, b, c, d] = (number as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 200 + b, c, d), 9))
}

async fn run_commands(options: LoadGeneratorOptions, settings: Settings) -> ExitCode {
    let clock = Clock::new();
    let nodes = (0..options.node_count).map(|index| {
        let node = Node::new(settings.clone(), node_address(options.first_node_number + index), clock);
        node.inbound.accepts_clients.store(true, Relaxed);
        node
    });
    let generator = Arc::new(LoadGenerator {
        nodes: nodes.collect(),
        options,
        changes_per_s: AtomicUsize::new(0),
        leases_per_s: AtomicUsize::new(0),
        leases_requested: AtomicU64::new(0),
        leases_not_granted: AtomicU64::new(0),
        lease_duration_ns: AtomicU64::new(0),
    });
    tokio::spawn(generator.clone().start_nodes());
    tokio::spawn(generator.clone().print_versions());
    tokio::spawn(generator.clone().change_records());
    tokio::spawn(generator.clone().acquire_leases());
    let mut commands = read_commands();
    while let Some(line) = commands.recv().await {
        let (command, number) = line.split_once(' ').unwrap_or((&line, "0"));
        let number = number.trim().parse().unwrap_or(0);
        match command {
            "changes" => generator.changes_per_s.store(number, Relaxed),
            "claims" => generator.leases_per_s.store(number, Relaxed),
            "figures" => println!("{}", generator.statistics_line()),
            "end" => break,
            _ => eprintln!("unknown command: {line}"),
        }
    }
    ExitCode::SUCCESS
}

/// Sends the lines of standard input to a channel, which is closed at its end.
fn read_commands() -> mpsc::UnboundedReceiver<String> {
    let (sender, lines) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    lines
}

impl LoadGenerator {
    async fn start_nodes(self: Arc<Self>) {
        for (index, node) in self.nodes.iter().enumerate() {
            self.start_incarnation(index, 0).await;
            (0..WATCHES_PER_NODE).for_each(|watch_index| {
                drop(tokio::spawn(control_plane_watch::run(node.clone(), watch_index, WATCHES_PER_NODE)));
            });
            if index % START_BATCH_SIZE == START_BATCH_SIZE - 1 {
                sleep(START_BATCH_PAUSE).await;
            }
        }
    }

    /// Starts a new incarnation of an attendant's upstream, which changes its endpoint record.
    async fn start_incarnation(&self, node_index: usize, incarnation: u64) {
        let number = self.options.first_node_number + node_index;
        let heartbeat = format!(
            r#"{{"address":"127.0.0.1:1","notice":{{"line":"s{}","edition":"v1","zone":"a","pigeonholes":{CONCURRENCY_LIMIT}}},
            "status":{{"state":"open_for_post","postmark_seq":1,"cold_left_ms":0}}}}"#,
            number % self.options.service_count
        );
        let upstream_id = format!("h-{number}-{incarnation}");
        let inbound = &self.nodes[node_index].inbound;
        if let Err(error) = inbound.handle_heartbeat(&upstream_id, heartbeat.as_bytes()).await {
            eprintln!("heartbeat rejected: upstream={upstream_id} error={error}");
        }
    }

    /// Prints each configuration version, with the Unix time in milliseconds, once it is in force at all attendants.
    async fn print_versions(self: Arc<Self>) {
        let version = |node: &Arc<Node>| {
            node.configuration.load().as_ref().map_or(0, |configuration| configuration.version)
        };
        let mut printed_version = 0;
        loop {
            let lowest_version = self.nodes.iter().map(version).min().unwrap_or(0);
            if lowest_version > printed_version {
                printed_version = lowest_version;
                let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
                println!("version {lowest_version} {}", now.as_millis());
            }
            sleep(VERSION_POLL_INTERVAL).await;
        }
    }

    /// Changes the endpoint records of the attendants in turn, at the requested rate.
    async fn change_records(self: Arc<Self>) {
        let (mut due_at, mut incarnation, mut node_index) = (Instant::now(), 1, 0);
        loop {
            let per_s = self.changes_per_s.load(Relaxed);
            due_at = wait_for_next_event(due_at, per_s).await;
            if per_s > 0 {
                self.start_incarnation(node_index, incarnation).await;
                node_index += 1;
                if node_index == self.nodes.len() {
                    (node_index, incarnation) = (0, incarnation + 1);
                }
            }
        }
    }

    /// Acquires and completes leases at the requested rate.
    async fn acquire_leases(self: Arc<Self>) {
        let (mut due_at, mut lease_number) = (Instant::now(), 0_u64);
        loop {
            let per_s = self.leases_per_s.load(Relaxed);
            due_at = wait_for_next_event(due_at, per_s).await;
            if per_s > 0 {
                lease_number += 1;
                tokio::spawn(self.clone().acquire_one_lease(lease_number));
            }
        }
    }

    async fn acquire_one_lease(self: Arc<Self>, lease_number: u64) {
        let node = &self.nodes[lease_number as usize % self.nodes.len()];
        let token: LeaseToken = node.new_token();
        let lease = (u128::from(token) << 64 | u128::from(lease_number), token);
        let requested_at = Instant::now();
        let response =
            lease_client::acquire_lease(&node.replicas, &node.rpc, lease, LEASE_TIME_LEFT_MS, LEASE_TIMEOUT)
                .await;
        self.lease_duration_ns.fetch_add(requested_at.elapsed().as_nanos() as u64, Relaxed);
        self.leases_requested.fetch_add(1, Relaxed);
        if response == CoreResponse::LeaseGranted {
            let outcome = Some(LeaseOutcome::Indeterminate);
            lease_client::complete_lease(node.replicas.clone(), node.rpc.clone(), lease, outcome);
        } else {
            self.leases_not_granted.fetch_add(1, Relaxed);
        }
    }

    /// Returns a line of statistics: number of attendants, records in the shortest endpoint table, leases requested,
    /// leases not granted, and the mean duration of a lease request in microseconds.
    fn statistics_line(&self) -> String {
        let records = self.nodes.iter().map(|node| node.record_count()).min().unwrap_or(0);
        let requested = self.leases_requested.load(Relaxed);
        let not_granted = self.leases_not_granted.load(Relaxed);
        let mean_us = self.lease_duration_ns.load(Relaxed) / 1_000 / requested.max(1);
        format!("figures {} {records} {requested} {not_granted} {mean_us}", self.nodes.len())
    }
}

/// Waits until the next of `per_s` events per second is due and returns that time. At a rate of 0 it only waits for
/// [`RATE_POLL_INTERVAL`], so that a new rate soon takes effect.
async fn wait_for_next_event(previous_at: Instant, per_s: usize) -> Instant {
    let interval = if per_s == 0 { RATE_POLL_INTERVAL } else { Duration::from_secs(1) / per_s as u32 };
    let due_at = (previous_at + interval).max(Instant::now() - MAX_EVENT_DELAY);
    sleep_until(due_at).await;
    due_at
}
