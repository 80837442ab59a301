//! Hollow attendants: a load tool for the control plane. Many attendants in one process that watch, send heartbeats,
//! report and acquire leases by the same code as a real one, each with its own connections and its own copy of the
//! endpoint table, but without a data plane: no socket listens, no request is served, and the upstream beside each is
//! made up.
//!
//! Commands come on standard input, a line each: `changes N` (endpoint records that change a second, of all together),
//! `claims N` (leases acquired and completed a second, of all together), `figures` (prints a line), `end`.

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

/// How often it is checked whether all attendants have a configuration.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long acquiring a lease may take.
const LEASE_TIMEOUT: Duration = Duration::from_millis(900);
/// How many attendants are started at a time.
const STARTED_AT_ONCE: usize = 20;
/// Pause before the next ones are started.
const START_PAUSE: Duration = Duration::from_millis(50);
/// Concurrency limit of each made-up upstream.
const SLOTS: u32 = 6;

/// Options of the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HollowOptions {
    /// How many attendants.
    pub count: usize,
    /// The number of the first one, so that several processes have different ones.
    pub first: usize,
    /// Control addresses of replicas.
    pub seeds: Vec<SocketAddr>,
    /// The port that our own processes use for calls to each other, the same on all machines.
    pub internal_port: u16,
    /// How many services the upstreams are of.
    pub services: usize,
}

/// All hollow attendants of this process.
struct Fleet {
    nodes: Vec<Arc<Node>>,
    options: HollowOptions,
    changes_per_s: AtomicUsize,
    claims_per_s: AtomicUsize,
    claimed: AtomicU64,
    /// Leases that were not granted in time.
    missed: AtomicU64,
    /// Nanoseconds that acquiring leases took, in sum.
    claim_time: AtomicU64,
}

/// Runs the load tool until the command `end` or the end of standard input.
pub fn run(options: HollowOptions) -> Result<ExitCode, SettingsError> {
    let settings = Settings::parse(&settings_of(&options)).map_err(SettingsError::Invalid)?;
    start::init_logging();
    log::set_max_level(log::LevelFilter::Warn);
    Ok(start::block_on(load(options, settings)))
}

fn settings_of(options: &HollowOptions) -> String {
    let seeds: Vec<String> = options.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        "station = \"hollow\"\nrole = \"hollow\"\nip = \"127.0.0.1\"\nzone = \"a\"\nregion = \"r\"\n\
         inner_ports = [{inner}, {inner}]\nseed_stations = [{seeds}]\nline = \"s0\"\napp = \"127.0.0.1:1\"\n\
         [tolerate]\nmachines = 1\n",
        inner = options.internal_port,
        seeds = seeds.join(", "),
    )
}

/// An address that no socket has: the records of hollow attendants are told apart by it.
fn address(number: usize) -> SocketAddr {
    let [_, b, c, d] = (number as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 200 + b, c, d), 9))
}

async fn load(options: HollowOptions, settings: Settings) -> ExitCode {
    let clock = Clock::new();
    let nodes = (0..options.count).map(|nth| {
        let node = Node::new(settings.clone(), address(options.first + nth), clock);
        node.inbound.accepts_clients.store(true, Relaxed);
        node
    });
    let fleet = Arc::new(Fleet {
        nodes: nodes.collect(),
        options,
        changes_per_s: AtomicUsize::new(0),
        claims_per_s: AtomicUsize::new(0),
        claimed: AtomicU64::new(0),
        missed: AtomicU64::new(0),
        claim_time: AtomicU64::new(0),
    });
    tokio::spawn(fleet.clone().start());
    tokio::spawn(fleet.clone().print_versions());
    tokio::spawn(fleet.clone().change());
    tokio::spawn(fleet.clone().claim());
    let mut commands = commands();
    while let Some(line) = commands.recv().await {
        let (word, number) = line.split_once(' ').unwrap_or((&line, "0"));
        let number = number.trim().parse().unwrap_or(0);
        match word {
            "changes" => fleet.changes_per_s.store(number, Relaxed),
            "claims" => fleet.claims_per_s.store(number, Relaxed),
            "figures" => println!("{}", fleet.figures()),
            "end" => break,
            _ => eprintln!("not known: {line}"),
        }
    }
    ExitCode::SUCCESS
}

/// Lines of standard input; its end ends the process.
fn commands() -> mpsc::UnboundedReceiver<String> {
    let (send, lines) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if send.send(line).is_err() {
                return;
            }
        }
    });
    lines
}

impl Fleet {
    async fn start(self: Arc<Self>) {
        for (nth, node) in self.nodes.iter().enumerate() {
            self.new_life(nth, 0);
            let many = 2;
            (0..many)
                .for_each(|which| drop(tokio::spawn(control_plane_watch::run(node.clone(), which, many))));
            if nth % STARTED_AT_ONCE == STARTED_AT_ONCE - 1 {
                sleep(START_PAUSE).await;
            }
        }
    }

    /// The upstream beside an attendant begins another incarnation.
    fn new_life(&self, nth: usize, life: u64) {
        let number = self.options.first + nth;
        let beat = format!(
            r#"{{"address":"127.0.0.1:1","notice":{{"line":"s{}","edition":"v1","zone":"a","pigeonholes":{SLOTS}}},
            "status":{{"state":"open_for_post","postmark_seq":1,"cold_left_ms":0}}}}"#,
            number % self.options.services
        );
        if let Err(why) =
            self.nodes[nth].inbound.handle_heartbeat(&format!("h-{number}-{life}"), beat.as_bytes())
        {
            eprintln!("a beat was refused: {why}");
        }
    }

    /// Prints each version of the configuration once all have it in force, with the time of day in ms.
    async fn print_versions(self: Arc<Self>) {
        let version = |node: &Arc<Node>| {
            node.configuration.load().as_ref().map_or(0, |configuration| configuration.version)
        };
        let mut told = 0;
        loop {
            let least = self.nodes.iter().map(version).min().unwrap_or(0);
            if least > told {
                told = least;
                let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
                println!("version {least} {}", now.as_millis());
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Changes records one after the other, at the pace that was asked for.
    async fn change(self: Arc<Self>) {
        let (mut next, mut life, mut nth) = (Instant::now(), 1, 0);
        loop {
            let per_s = self.changes_per_s.load(Relaxed);
            next = paced(next, per_s).await;
            if per_s > 0 {
                self.new_life(nth, life);
                nth += 1;
                if nth == self.nodes.len() {
                    (nth, life) = (0, life + 1);
                }
            }
        }
    }

    async fn claim(self: Arc<Self>) {
        let (mut next, mut number) = (Instant::now(), 0_u64);
        loop {
            let per_s = self.claims_per_s.load(Relaxed);
            next = paced(next, per_s).await;
            if per_s > 0 {
                number += 1;
                tokio::spawn(self.clone().acquire_one_lease(number));
            }
        }
    }

    async fn acquire_one_lease(self: Arc<Self>, number: u64) {
        let node = &self.nodes[number as usize % self.nodes.len()];
        let token: LeaseToken = node.new_token();
        let key = u128::from(token) << 64 | u128::from(number);
        let began = Instant::now();
        let response =
            lease_client::acquire_lease(&node.replicas, &node.rpc, (key, token), 900, LEASE_TIMEOUT).await;
        self.claim_time.fetch_add(began.elapsed().as_nanos() as u64, Relaxed);
        self.claimed.fetch_add(1, Relaxed);
        if response == CoreResponse::LeaseGranted {
            let outcome = Some(LeaseOutcome::Indeterminate);
            lease_client::complete_lease(node.replicas.clone(), node.rpc.clone(), (key, token), outcome);
        } else {
            self.missed.fetch_add(1, Relaxed);
        }
    }

    /// A line of figures: attendants, the length of the shortest endpoint table, leases asked for, those not granted,
    /// and the mean time of acquiring one in us.
    fn figures(&self) -> String {
        let records = self.nodes.iter().map(|node| node.record_count()).min().unwrap_or(0);
        let (claimed, missed) = (self.claimed.load(Relaxed), self.missed.load(Relaxed));
        let mean_us = self.claim_time.load(Relaxed) / 1_000 / claimed.max(1);
        format!("figures {} {records} {claimed} {missed} {mean_us}", self.nodes.len())
    }
}

/// Waits for the next of `per_s` events a second and returns when it was due. With 0 a second it only waits a while, so
/// that a new rate is noticed soon.
async fn paced(last: Instant, per_s: usize) -> Instant {
    let step = if per_s == 0 { POLL_INTERVAL * 10 } else { Duration::from_secs(1) / per_s as u32 };
    let next = (last + step).max(Instant::now() - Duration::from_millis(200));
    sleep_until(next).await;
    next
}
