//! A drill, played: parties and links are set up, processes started, the script carried out by time, and what was seen
//! handed over. It owns the order of all that and the processes' lives, and must never end before its processes have.
//!
//! Seeds fix the script and what is drawn, not how the system schedules processes: two plays of a seed are alike, never the
//! same, and whoever judges one does it by bounds that hold on a busy machine.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::sys::signal::Signal as Sig;
use ochreshed_emulator::random::RandomStream;
use ochreshed_emulator::scenario::{Effect, FaultKind};
use ochreshed_emulator::{MS, Nanos, S};
use serde_json::{Value as Json, json};
use tokio::sync::watch;
use tokio::time::sleep_until;

use crate::client::{Clients, Dealt, Front, Traffic};
use crate::discovery::{self, Discovery};
use crate::file::{Drill, Finds, How, List, Signal, Stored, Way, What};
use crate::http::Seen;
use crate::link::{Effect as LinkEffect, Link, Passed, Relay, To, UdpRelay, Watcher};
use crate::log::{Entry, Event, Log, Process, held};
use crate::party::{Parties, Party, Who};
use crate::process::{self, Balancer, Balancers, Usage};
use crate::srv::{Broken, Srv};

/// A process is ready within this, or counted as one that never is.
const READY: Duration = Duration::from_secs(15);
const REAP: Nanos = 10 * MS;
/// After the last arrival, a call may still be tried again and wait.
const SAMPLE: Duration = Duration::from_millis(1_000);
const TICK: Duration = Duration::from_millis(5);

/// What is played, beside the file.
#[derive(Clone, Debug, Default)]
pub struct Options {
    pub seed: u64,
    /// The program, and another build of it for `live.other`.
    pub binary: PathBuf,
    pub other: Option<PathBuf>,
    /// Laid over the settings in the facts, key by key.
    pub settings: Option<Json>,
    /// Further words for `serve`; `{n}` in them is the balancer's number.
    pub serve: Vec<String>,
    /// Where processes' folders are; one that is removed at the end where none is told.
    pub folder: Option<PathBuf>,
    pub broken: Broken,
    /// The balancers speak with each other, whatever the file says.
    pub fleet: bool,
    /// The balancers keep snapshots in their stored folders.
    pub snapshots: bool,
}

/// What was seen of a drill.
pub struct Play {
    pub entries: Vec<Entry>,
    /// Events that the log could not hold.
    pub lost: u64,
    pub parties: Parties,
    /// When traffic began and was to end, on the log's clock.
    pub from: Nanos,
    pub until: Nanos,
    /// The largest lag of the drill's own tasks in each half second since `from`.
    pub lag: Vec<Nanos>,
    /// What each process took, by balancer, sampled each second.
    pub usage: Vec<Vec<Usage>>,
    /// Bytes that the balancers sent each other.
    pub fleet_bytes: u64,
    /// It was ended from outside before its time.
    pub cut_short: bool,
}

impl Play {
    /// Seconds since traffic began.
    pub fn seconds(&self, at: Nanos) -> f64 {
        (at as f64 - self.from as f64) / 1e9
    }
}

/// Plays it on a runtime of its own. Whether to end early is looked at now and then; how far it is, in parts, is told.
pub fn play(
    drill: &Drill,
    options: &Options,
    stop: &AtomicBool,
    progress: &dyn Fn(f64),
) -> Result<Play, String> {
    let workers = std::thread::available_parallelism().map_or(2, |cores| (cores.get() / 2).clamp(2, 4));
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(workers).enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    more_descriptors();
    let made = options.folder.is_none();
    let folder = options.folder.clone().unwrap_or_else(own_folder);
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let seen = runtime.block_on(async {
        let mut stage = Stage::set(drill, options, &folder).await.map_err(|e| format!("no stage: {e}"))?;
        let seen = stage.play(stop, progress).await;
        // All processes end here, whatever happened.
        stage.balancers.iter().for_each(Balancer::kill);
        seen
    });
    runtime.shutdown_background();
    if made {
        let _ = std::fs::remove_dir_all(&folder);
    }
    seen
}

fn own_folder() -> PathBuf {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("ochreshed-drill-{}-{number}", std::process::id()))
}

/// Relays take two descriptors for each connection.
fn more_descriptors() {
    use nix::sys::resource::{Resource, getrlimit, setrlimit};
    if let Ok((soft, hard)) = getrlimit(Resource::RLIMIT_NOFILE)
        && soft < hard
    {
        let _ = setrlimit(Resource::RLIMIT_NOFILE, hard, hard);
    }
}

/// Something to do at a time.
#[derive(Clone, Debug)]
enum Step {
    Begin(usize),
    End(usize),
    Kill { balancer: usize, signal: Signal, back: Option<Back> },
    Start { balancer: usize, back: Back },
    Stop { balancer: usize, duty: Option<(Nanos, Nanos, Nanos)> },
    GoOn { balancer: usize, duty: Option<(Nanos, Nanos, Nanos)> },
    Unpause(usize),
    Drain(usize),
    Replace(usize),
    Reap,
}

/// How a process comes back: after how long, with what list and with what it stored.
#[derive(Clone, Copy, Debug)]
struct Back {
    after: Nanos,
    list: List,
    stored: Stored,
}

struct Due(Nanos, u64, Step);

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// All that a drill is played with.
struct Stage<'a> {
    drill: &'a Drill,
    options: &'a Options,
    parties: Parties,
    log: Log,
    balancers: Balancers,
    /// Those that run the other build.
    others: BTreeSet<usize>,
    srvs: Vec<Srv>,
    /// How often each srv's process was another one's, for its id.
    births: Vec<u32>,
    discovery: Discovery,
    links: HashMap<(Party, Party), Link>,
    /// Discovery is always there: when it is down it says so.
    always: watch::Sender<bool>,
    /// Where each balancer listens for others and reaches them, if they speak.
    fleet: Vec<(SocketAddr, Vec<SocketAddr>)>,
    /// Where each balancer reaches discovery, and each zone's clients each balancer.
    to_discovery: Vec<SocketAddr>,
    to_balancers: Vec<Vec<SocketAddr>>,
    steps: BinaryHeap<Reverse<Due>>,
    number: u64,
    /// By balancer: how a process that was asked to end comes back; how many faults hold it stopped.
    backs: Vec<Option<Back>>,
    stops: Vec<u32>,
    /// Those whom each fault struck, as drawn when it began.
    struck: HashMap<usize, Vec<Party>>,
    /// Factors on the load, by fault.
    loads: HashMap<usize, f64>,
    load: watch::Sender<f64>,
    chance: RandomStream,
}

impl<'a> Stage<'a> {
    async fn set(drill: &'a Drill, options: &'a Options, folder: &Path) -> io::Result<Stage<'a>> {
        let (parties, log, seed) = (drill.parties(), Log::default(), options.seed);
        let tier = Arc::new(drill.tier().clone());
        let mut srvs = Vec::new();
        for number in 0..parties.srvs {
            srvs.push(Srv::start(number, tier.clone(), seed, log.clone(), options.broken).await?);
        }
        let list = (0..parties.srvs).map(|srv| discovery::Entry {
            srv,
            id: format!("s-{srv:03}"),
            zone: parties.zones[parties.zone(srv)].clone(),
            up: true,
            draining: false,
            told: None,
            started_ms: 0,
        });
        let rules = discovery::Rules {
            delay: drill.list.delay.clone(),
            calls_per_s: drill.live.calls_per_s,
            call_timeout: Duration::from_nanos(drill.live.call_timeout),
        };
        let discovery = Discovery::new(parties.balancers, list.collect(), rules, seed, log.clone());
        let balancers = (0..parties.balancers).map(|number| Balancer::new(number, folder));
        let balancers: Balancers = Arc::new(balancers.collect::<Result<_, _>>()?);
        let mut chance = RandomStream::new(seed, "script");
        let others = drill.live.other.as_ref().filter(|_| options.other.is_some());
        let others = others.map(|who| parties.of(who, &mut chance)).unwrap_or_default();
        let number = |party| match party {
            Party::Balancer(number) => Some(number),
            _ => None,
        };
        let mut stage = Stage {
            drill,
            options,
            log,
            others: others.into_iter().filter_map(number).collect(),
            births: vec![0; parties.srvs],
            discovery,
            links: HashMap::new(),
            always: watch::Sender::new(true),
            fleet: Vec::new(),
            to_discovery: Vec::new(),
            to_balancers: Vec::new(),
            steps: BinaryHeap::new(),
            number: 0,
            backs: vec![None; parties.balancers],
            stops: vec![0; parties.balancers],
            struck: HashMap::new(),
            loads: HashMap::new(),
            load: watch::Sender::new(1.0),
            chance,
            balancers,
            srvs,
            parties,
        };
        stage.lay_links().await?;
        if drill.live.fleet || options.fleet || drill.live.snapshots || options.snapshots {
            stage.lay_fleet().await?;
        }
        Ok(stage)
    }

    fn link(&mut self, from: Party, to: Party) -> Link {
        let (a, b) = (self.parties.zone_of(from), self.parties.zone_of(to));
        let network = &self.drill.network;
        let base = if a == b { &network.within_site } else { &network.between_sites };
        let seed = self.options.seed.wrapping_mul(1_000_003).wrapping_add(self.links.len() as u64);
        let link = Link::new(base.clone(), seed);
        self.links.insert((from, to), link.clone());
        link
    }

    async fn lay_links(&mut self) -> io::Result<()> {
        let (log, open) = (self.log.clone(), Arc::new(Mutex::new(HashMap::new())));
        let mut to_srvs = Vec::new();
        for balancer in 0..self.parties.balancers {
            let mut ways = Vec::new();
            for srv in 0..self.parties.srvs {
                let link = self.link(Party::Balancer(balancer), Party::Srv(srv));
                let (address, alive) = (self.srvs[srv].address, self.srvs[srv].alive.subscribe());
                let watcher = watch_reqs(log.clone(), open.clone(), balancer, srv);
                ways.push(Relay::start(address, link, alive, watcher)?.address);
            }
            to_srvs.push(ways);
            let link = self.link(Party::Balancer(balancer), Party::Discovery);
            let address = self.discovery.serve(balancer).await?;
            let watcher = watch_news(log.clone(), self.discovery.clone(), balancer);
            let relay = Relay::start(address, link, self.always.subscribe(), watcher)?;
            self.to_discovery.push(relay.address);
        }
        self.discovery.set_ways(to_srvs);
        for zone in 0..self.parties.zones.len() {
            let mut ways = Vec::new();
            for balancer in 0..self.parties.balancers {
                let link = self.link(Party::Clients(zone), Party::Balancer(balancer));
                let (address, alive) =
                    (self.balancers[balancer].address, self.balancers[balancer].alive.subscribe());
                let log = log.clone();
                let watcher: Watcher = Arc::new(move |_, passed| {
                    if let Passed::Opened = passed {
                        log.note(Event::Opened { from: Party::Clients(zone), to: Party::Balancer(balancer) });
                    }
                });
                ways.push(Relay::start(address, link, alive, watcher)?.address);
            }
            self.to_balancers.push(ways);
        }
        Ok(())
    }

    /// Ways for datagrams from each balancer to each other one.
    async fn lay_fleet(&mut self) -> io::Result<()> {
        // At an address of their own, where nothing else of a drill takes a port while a process is down. Held together, so
        // that no two are the same, and given up at once.
        let listens: Vec<std::net::UdpSocket> = (0..self.parties.balancers)
            .map(|_| std::net::UdpSocket::bind("127.0.0.2:0"))
            .collect::<Result<_, _>>()?;
        let listens: Vec<SocketAddr> =
            listens.iter().map(|socket| socket.local_addr()).collect::<Result<_, _>>()?;
        for from in 0..self.parties.balancers {
            let mut ways = Vec::new();
            for (to, listens) in listens.iter().enumerate() {
                let link = self.link(Party::Balancer(from), Party::Balancer(to));
                ways.push(UdpRelay::start(*listens, link).await?.address);
            }
            self.fleet.push((listens[from], ways));
        }
        Ok(())
    }

    /// The operator's own file of a balancer, if they speak.
    fn fleet_file(&self, balancer: usize) -> Option<String> {
        let (listen, ways) = self.fleet.get(balancer)?;
        let (speaks, keeps) = (
            self.drill.live.fleet || self.options.fleet,
            self.drill.live.snapshots || self.options.snapshots,
        );
        let others = || ways.iter().enumerate().filter(|(other, _)| speaks && *other != balancer);
        let seeds: Vec<String> = others().take(3).map(|(_, way)| format!("\"{way}\"")).collect();
        let reach: String = others().map(|(other, way)| format!("n{other} = \"{way}\"\n")).collect();
        let seeds = seeds.join(", ");
        let stored = self.balancers[balancer].folder.join("stored");
        let snapshots = if keeps { format!("snapshots = \"{}\"\n", stored.display()) } else { String::new() };
        Some(format!(
            "fleet = \"drill\"\nlisten = \"{listen}\"\nseeds = [{seeds}]\n{snapshots}[reach]\n{reach}"
        ))
    }

    async fn play(&mut self, stop: &AtomicBool, progress: &dyn Fn(f64)) -> Result<Play, String> {
        let back = Back { after: 0, list: List::Start, stored: Stored::Kept };
        for balancer in 0..self.parties.balancers {
            self.start(balancer, back).map_err(|e| format!("{}: {e}", self.options.binary.display()))?;
        }
        for balancer in self.balancers.clone().iter() {
            let until = Instant::now() + READY;
            while *balancer.dealt.borrow() != Dealt::In {
                if Instant::now() > until || balancer.pid().is_none() {
                    let number = balancer.number;
                    return Err(format!("balancer {number} does not get ready: {}", balancer.last_words()));
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        let from = self.log.now() + 100 * MS;
        let until = from + self.drill.lasts;
        let lag = Arc::new(Mutex::new(vec![0; (self.drill.lasts / (S / 2)) as usize + 20]));
        let usage = Arc::new(Mutex::new(vec![Vec::new(); self.parties.balancers]));
        tokio::spawn(watch_lag(self.log.clone(), from, lag.clone()));
        tokio::spawn(watch_usage(self.balancers.clone(), usage.clone()));
        let clients = Clients::new(self.traffic(), self.front(), self.log.clone(), self.options.seed);
        let mut traffic = tokio::spawn(clients.run(from, until, self.load.subscribe()));
        for number in 0..self.drill.faults.len() + self.drill.troubles.len() {
            let (at, lasts) = self.times(number);
            self.at(from + at, Step::Begin(number));
            if lasts > 0 {
                self.at(from + at + lasts, Step::End(number));
            }
        }
        self.at(from, Step::Reap);
        let mut cut_short = false;
        let ended = loop {
            let Some(Reverse(Due(at, ..))) = self.steps.peek() else { break Ok(()) };
            let due = self.log.instant(*at).into();
            tokio::select! {
                ended = &mut traffic => break ended,
                () = sleep_until(due) => {}
            }
            if let Some(Reverse(Due(_, _, step))) = self.steps.pop() {
                if matches!(step, Step::Reap) {
                    progress((self.log.now().saturating_sub(from)) as f64 / self.drill.lasts as f64);
                }
                self.step(step).await;
            }
            if stop.load(Ordering::Relaxed) {
                cut_short = true;
                traffic.abort();
                break Ok(());
            }
        };
        ended.map_err(|e| format!("the clients broke off: {e}"))?;
        self.reap();
        let (entries, lost) = self.log.take();
        let (lag, usage) = (held(&lag).clone(), held(&usage).clone());
        let until = if cut_short { self.log.now().min(until) } else { until };
        let between = self
            .links
            .iter()
            .filter(|((a, b), _)| matches!((a, b), (Party::Balancer(_), Party::Balancer(_))));
        let fleet_bytes = between.map(|(_, link)| link.datagrams()).sum();
        Ok(Play {
            fleet_bytes,
            entries,
            lost,
            parties: self.parties.clone(),
            from,
            until,
            lag,
            usage,
            cut_short,
        })
    }

    fn traffic(&self) -> Traffic {
        let mut chance = RandomStream::new(self.options.seed, "weights");
        let skew = self.drill.live.skew;
        // Evenly spread by their logarithm, from 1 up to the skew.
        let weights = (0..self.parties.balancers).map(|_| skew.powf(chance.sample_fraction())).collect();
        let clients = &self.drill.clients;
        Traffic {
            rule_sets: self.drill.rule_sets.clone(),
            per_s: clients.requests_per_s,
            weights,
            tries_again: clients.max_retries,
            pause: Duration::from_nanos(clients.retry_delay),
            notice: Duration::from_nanos(self.drill.live.notice),
        }
    }

    fn front(&self) -> Front {
        let zones = (0..self.parties.balancers).map(|balancer| self.parties.zone(balancer)).collect();
        let dealt = self.balancers.iter().map(|balancer| balancer.dealt.subscribe()).collect();
        Front { ways: self.to_balancers.clone(), zones, dealt }
    }

    fn at(&mut self, at: Nanos, step: Step) {
        self.number += 1;
        self.steps.push(Reverse(Due(at, self.number, step)));
    }

    /// Faults count first, then troubles.
    fn times(&self, number: usize) -> (Nanos, Nanos) {
        match self.drill.faults.get(number) {
            Some(fault) => (fault.at, fault.lasts),
            None => {
                let trouble = &self.drill.troubles[number - self.drill.faults.len()];
                (trouble.starts_at, trouble.duration)
            }
        }
    }

    async fn step(&mut self, step: Step) {
        let now = self.log.now();
        match step {
            Step::Begin(number) => match self.drill.faults.get(number) {
                Some(fault) => self.begin(now, number, &fault.what.clone(), fault.lasts).await,
                None => self.trouble(now, number, true).await,
            },
            Step::End(number) => match self.drill.faults.get(number) {
                Some(fault) => self.end(number, &fault.what.clone()).await,
                None => self.trouble(now, number, false).await,
            },
            Step::Kill { balancer, signal, back } => self.kill(now, balancer, signal, back),
            Step::Start { balancer, back } => {
                // One that does not start is seen as one that never gets ready.
                if self.start(balancer, back).is_err() {
                    self.log.note(Event::Process { balancer, how: Process::NeverReady });
                }
            }
            Step::Stop { balancer, duty } => {
                self.stop(balancer);
                if let Some((runs, stops, until)) = duty {
                    self.at(
                        (now + stops).min(until),
                        Step::GoOn { balancer, duty: Some((runs, stops, until)) },
                    );
                }
            }
            Step::GoOn { balancer, duty } => {
                self.go_on(balancer);
                if let Some((runs, stops, until)) = duty.filter(|(runs, _, until)| now + runs < *until) {
                    self.at(now + runs, Step::Stop { balancer, duty: Some((runs, stops, until)) });
                }
            }
            Step::Unpause(srv) => self.srvs[srv].go_on(),
            Step::Drain(srv) => self.drain(srv, true, None),
            Step::Replace(srv) => {
                self.srvs[srv].die();
                self.return_srv(srv, false).await;
            }
            Step::Reap => {
                self.reap();
                self.at(now + REAP, Step::Reap);
            }
        }
    }

    fn note_fault(&self, number: usize, begins: bool, what: &str) {
        self.log.note(Event::Fault { number, begins, what: what.to_owned() });
    }

    fn draw(&mut self, number: usize, who: &Who) -> Vec<Party> {
        let of = self.parties.of(who, &mut self.chance);
        self.struck.insert(number, of.clone());
        of
    }

    async fn begin(&mut self, now: Nanos, number: usize, what: &What, lasts: Nanos) {
        self.note_fault(number, true, what.name());
        match what {
            What::Kill { who, signal, back, list, stored } => {
                let back = back.map(|after| Back { after, list: *list, stored: *stored });
                for balancer in numbers(self.draw(number, who)) {
                    self.kill(now, balancer, *signal, back);
                }
            }
            What::Roll { who, signal, list, stored } => {
                let who = numbers(self.draw(number, who));
                let (back, each) =
                    (Back { after: 0, list: *list, stored: *stored }, lasts / who.len().max(1) as u64);
                for (at, balancer) in who.into_iter().enumerate() {
                    self.at(
                        now + each * at as u64,
                        Step::Kill { balancer, signal: *signal, back: Some(back) },
                    );
                }
            }
            What::CrashLoop { who, every, list } => {
                let back = Some(Back { after: 0, list: *list, stored: Stored::Kept });
                for balancer in numbers(self.draw(number, who)) {
                    for at in 0..lasts / every {
                        self.at(now + every * at, Step::Kill { balancer, signal: Signal::Kill, back });
                    }
                }
            }
            What::Stop { who } => {
                for balancer in numbers(self.draw(number, who)) {
                    self.stop(balancer);
                    self.at(now + lasts, Step::GoOn { balancer, duty: None });
                }
            }
            What::Duty { who, part, period } => {
                let runs = (*period as f64 * part) as Nanos;
                let duty = Some((runs, period - runs, now + lasts));
                for balancer in numbers(self.draw(number, who)) {
                    let phase = (self.chance.sample_fraction() * *period as f64) as Nanos;
                    self.at(now + phase, Step::Stop { balancer, duty });
                }
            }
            What::Link { from, to, way, how, bytes, per_s, more, jitter, part } => {
                let effect = match how {
                    How::Cut => LinkEffect::Cut,
                    How::Refuse => LinkEffect::Refuse,
                    How::Reset => LinkEffect::Reset(*bytes),
                    How::Slow => LinkEffect::Slow(*per_s),
                    How::Delay => LinkEffect::Delay { more: *more, jitter: *jitter },
                    How::Lossy => LinkEffect::Lossy(*part),
                };
                let from: BTreeSet<Party> = self.parties.of(from, &mut self.chance).into_iter().collect();
                let to: BTreeSet<Party> = self.parties.of(to, &mut self.chance).into_iter().collect();
                self.change_links(number, &from, &to, *way, effect);
            }
            What::Srvs { who, told, .. } => {
                let who = numbers(self.draw(number, who));
                for srv in &who {
                    self.srvs[*srv].die();
                }
                if *told {
                    self.discovery.change(|list| who.iter().for_each(|srv| list[*srv].up = false));
                }
            }
            What::Drain { who, told } => {
                let told = told.as_ref().map(|told| numbers(self.parties.of(told, &mut self.chance)));
                let told: Option<BTreeSet<usize>> = told.map(|told| told.into_iter().collect());
                for srv in numbers(self.draw(number, who)) {
                    self.drain(srv, true, told.clone());
                }
            }
            What::Discovery { how, by } => match how {
                Finds::Down => self.discovery.set(|state| state.down += 1),
                Finds::Slow => self.discovery.set(|state| state.slow.push(Duration::from_nanos(*by))),
                Finds::Old => self.discovery.set(|state| state.old += 1),
                Finds::Empty => self.discovery.set(|state| state.empty += 1),
                Finds::StateLost => self.discovery.lose_state(),
            },
            What::Load { times } => self.set_load(number, Some(*times)),
        }
    }

    async fn end(&mut self, number: usize, what: &What) {
        self.note_fault(number, false, what.name());
        let struck = self.struck.remove(&number).unwrap_or_default();
        match what {
            What::Link { .. } => self.heal_links(number),
            What::Srvs { stranger, .. } => {
                for srv in numbers(struck) {
                    self.return_srv(srv, *stranger).await;
                }
            }
            What::Drain { .. } => {
                for srv in numbers(struck) {
                    self.drain(srv, false, None);
                }
            }
            What::Discovery { how, by } => match how {
                Finds::Down => self.discovery.set(|state| state.down -= 1),
                Finds::Slow => self.discovery.set(|state| {
                    let by = Duration::from_nanos(*by);
                    let at = state.slow.iter().position(|slow| *slow == by);
                    at.map(|at| state.slow.swap_remove(at));
                }),
                Finds::Old => self.discovery.set(|state| state.old -= 1),
                Finds::Empty => self.discovery.set(|state| state.empty -= 1),
                Finds::StateLost => {}
            },
            What::Load { .. } => self.set_load(number, None),
            // These end by their own steps.
            What::Kill { .. }
            | What::Roll { .. }
            | What::CrashLoop { .. }
            | What::Stop { .. }
            | What::Duty { .. } => {}
        }
    }

    /// What the emulator's troubles are on sockets.
    async fn trouble(&mut self, now: Nanos, number: usize, begins: bool) {
        let trouble = self.drill.troubles[number - self.drill.faults.len()].clone();
        let name = serde_json::to_value(trouble.kind).ok().and_then(|name| name.as_str().map(str::to_owned));
        self.note_fault(number, begins, &name.unwrap_or_default());
        let srvs = trouble.target_count.min(self.srvs.len());
        match trouble.kind {
            FaultKind::SiteLost if begins => {
                let in_site = |party: &Party| self.parties.zone_of(*party) == Some(trouble.site);
                let from = (0..self.parties.balancers).map(Party::Balancer).filter(|party| !in_site(party));
                let to = (0..self.parties.srvs).map(Party::Srv).filter(in_site);
                let (from, to) = (from.collect(), to.collect());
                self.change_links(number, &from, &to, Way::Both, LinkEffect::Cut);
            }
            FaultKind::SiteLost => self.heal_links(number),
            FaultKind::FastErrors => self.srvs[..srvs].iter().for_each(|srv| srv.fail(begins)),
            FaultKind::Pause if begins => {
                for srv in 0..srvs {
                    self.srvs[srv].pause(now + trouble.duration);
                    self.at(now + trouble.duration, Step::Unpause(srv));
                }
            }
            FaultKind::FleetCut if begins => {
                let cut = trouble.target_count.min(self.parties.balancers);
                let side = |of: std::ops::Range<usize>| of.map(Party::Balancer).collect();
                let (from, to) = (side(0..cut), side(cut..self.parties.balancers));
                self.change_links(number, &from, &to, Way::Both, LinkEffect::Cut);
            }
            FaultKind::FleetCut => self.heal_links(number),
            FaultKind::Drain => (0..srvs).for_each(|srv| self.drain(srv, begins, None)),
            FaultKind::Slow => {
                let times = if begins { trouble.factor } else { 1.0 };
                self.srvs.iter().for_each(|srv| srv.slow(times));
            }
            FaultKind::Resets => {
                let part = if begins { trouble.fraction } else { 0.0 };
                self.srvs.iter().for_each(|srv| srv.reset(part));
            }
            FaultKind::Burst => self.set_load(number, begins.then_some(trouble.factor)),
            FaultKind::ListDown if begins => self.discovery.set(|state| state.old += 1),
            FaultKind::ListDown => self.discovery.set(|state| state.old -= 1),
            FaultKind::Crash if begins => {
                let most = srvs.min(self.parties.balancers);
                let back = Some(Back { after: 0, list: List::Start, stored: Stored::Kept });
                for balancer in 0..most {
                    let at = now + trouble.duration / most.max(1) as u64 * balancer as u64;
                    self.at(at, Step::Kill { balancer, signal: Signal::Kill, back });
                }
            }
            FaultKind::Deploy if begins => {
                let each = trouble.duration / self.srvs.len() as u64;
                for srv in 0..self.srvs.len() {
                    self.at(now + each * srv as u64, Step::Drain(srv));
                    self.at(now + each * srv as u64 + 4 * S, Step::Replace(srv));
                }
            }
            FaultKind::Pause | FaultKind::Crash | FaultKind::Deploy => {}
        }
    }

    fn set_load(&mut self, number: usize, times: Option<f64>) {
        match times {
            Some(times) => self.loads.insert(number, times),
            None => self.loads.remove(&number),
        };
        let times = self.loads.values().product();
        self.load.send_replace(times);
        self.log.note(Event::Load { times });
    }

    fn change_links(
        &self,
        number: usize,
        from: &BTreeSet<Party>,
        to: &BTreeSet<Party>,
        way: Way,
        effect: LinkEffect,
    ) {
        for ((a, b), link) in &self.links {
            let straight = from.contains(a) && to.contains(b);
            let turned = from.contains(b) && to.contains(a);
            // Connections are refused by whoever is connected to, whichever way the fault is told.
            let refuses = effect == LinkEffect::Refuse;
            let mut there = straight && way != Way::Back || turned && way != Way::There;
            let mut back = straight && way != Way::There || turned && way != Way::Back;
            if refuses {
                (there, back) = (straight || turned, false);
            }
            for (struck, to) in [(there, To::There), (back, To::Back)] {
                if struck {
                    link.begin(number as u64, to, effect);
                }
            }
            if there || back {
                self.log.note(Event::LinkFault { a: *a, b: *b, begins: true });
            }
        }
    }

    fn heal_links(&self, number: usize) {
        for ((a, b), link) in &self.links {
            if link.end(number as u64) {
                self.log.note(Event::LinkFault { a: *a, b: *b, begins: false });
            }
        }
    }

    fn drain(&self, srv: usize, drains: bool, told: Option<BTreeSet<usize>>) {
        self.srvs[srv].drain(drains);
        self.discovery.change(|list| (list[srv].draining, list[srv].told) = (drains, told));
    }

    /// Its process is there again, cold; under another id where it is a stranger.
    async fn return_srv(&mut self, srv: usize, stranger: bool) {
        if self.srvs[srv].come_back().await.is_err() {
            return;
        }
        let started_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        self.log.note(Event::SrvBack { srv, started_ms });
        if stranger {
            self.births[srv] += 1;
        }
        let birth = self.births[srv];
        self.discovery.change(|list| {
            let entry = &mut list[srv];
            (entry.up, entry.draining, entry.told, entry.started_ms) = (true, false, None, started_ms);
            if stranger {
                entry.id = format!("s-{srv:03}-{birth}");
            }
        });
    }

    fn kill(&mut self, now: Nanos, balancer: usize, signal: Signal, back: Option<Back>) {
        let process = &self.balancers[balancer];
        if process.pid().is_none() {
            // It is gone already, and comes back as it was to.
            return;
        }
        match signal {
            Signal::Kill => {
                // Noted first: what breaks off with it is seen at once.
                self.log.note(Event::Process { balancer, how: Process::Killed });
                process.dealt.send_replace(Dealt::Died(Instant::now()));
                process.kill();
                if let Some(back) = back {
                    self.at(now + back.after, Step::Start { balancer, back });
                }
            }
            Signal::Term => {
                process.signal(Sig::SIGTERM);
                process.dealt.send_replace(Dealt::Out);
                self.log.note(Event::Process { balancer, how: Process::Asked });
                self.backs[balancer] = back;
            }
        }
    }

    /// Sees which processes have ended, and has those come back that are to.
    fn reap(&mut self) {
        for balancer in 0..self.parties.balancers {
            let Some(code) = self.balancers[balancer].ended() else { continue };
            self.log.note(Event::Process { balancer, how: Process::Ended(code) });
            if *self.balancers[balancer].dealt.borrow() == Dealt::In {
                self.balancers[balancer].dealt.send_replace(Dealt::Died(Instant::now()));
            }
            if let Some(back) = self.backs[balancer].take() {
                self.at(self.log.now() + back.after, Step::Start { balancer, back });
            }
        }
    }

    fn stop(&mut self, balancer: usize) {
        self.stops[balancer] += 1;
        if self.stops[balancer] == 1 && self.balancers[balancer].signal(Sig::SIGSTOP) {
            self.log.note(Event::Process { balancer, how: Process::Stopped });
        }
    }

    fn go_on(&mut self, balancer: usize) {
        self.stops[balancer] = self.stops[balancer].saturating_sub(1);
        if self.stops[balancer] == 0 && self.balancers[balancer].signal(Sig::SIGCONT) {
            self.log.note(Event::Process { balancer, how: Process::GoesOn });
        }
    }

    fn start(&mut self, balancer: usize, back: Back) -> io::Result<()> {
        let process = &self.balancers[balancer];
        if process.pid().is_some() {
            return Ok(());
        }
        let stored = process.folder.join("stored");
        match back.stored {
            Stored::Kept => {}
            Stored::Lost => {
                std::fs::remove_dir_all(&stored)?;
                std::fs::create_dir_all(&stored)?;
            }
            Stored::Damaged => process::damage(&stored)?,
            Stored::Foreign => {
                let neighbour = &self.balancers[(balancer + 1) % self.balancers.len()];
                process::copy(&neighbour.folder.join("stored"), &stored)?;
            }
        }
        let facts = self.facts(balancer, back.list);
        let binary = match &self.options.other {
            Some(other) if self.others.contains(&balancer) => other,
            _ => &self.options.binary,
        };
        let folder = process.folder.display().to_string();
        let words = self.options.serve.iter().map(|word| {
            word.replace("{n}", &balancer.to_string()).replace("{stored}", &format!("{folder}/stored"))
        });
        let mut words: Vec<String> = words.collect();
        if let Some(file) = self.fleet_file(balancer) {
            let path = process.folder.join("fleet.toml");
            std::fs::write(&path, file)?;
            words.extend(["--fleet".to_owned(), path.display().to_string()]);
        }
        process.start(binary, &facts, self.drill.live.sockets, &words)?;
        // What it starts with it has been told.
        self.log.note(Event::Process { balancer, how: Process::Started });
        if let Some(up) = self.known(balancer, back.list).map(|list| self.discovery.up(balancer, &list)) {
            self.log.note(Event::Told { balancer, up });
        }
        let (balancers, log) = (self.balancers.clone(), self.log.clone());
        let pid = process.pid();
        tokio::spawn(async move {
            let process = &balancers[balancer];
            let ready = process.ready(READY).await;
            // Another one may have taken its place meanwhile.
            if process.pid() == pid && ready {
                log.note(Event::Process { balancer, how: Process::Ready });
                process.dealt.send_replace(Dealt::In);
            } else if process.pid() == pid && pid.is_some() {
                log.note(Event::Process { balancer, how: Process::NeverReady });
            }
        });
        Ok(())
    }

    /// The list that a process starts with.
    fn known(&self, balancer: usize, list: List) -> Option<discovery::List> {
        match list {
            List::Start => Some(self.discovery.at(0.0)),
            List::Now => Some(self.discovery.at(1.0)),
            List::Empty => None,
            List::Ages => {
                Some(self.discovery.at(balancer as f64 / (self.parties.balancers - 1).max(1) as f64))
            }
        }
    }

    fn facts(&self, balancer: usize, list: List) -> String {
        let known = self.known(balancer, list);
        // An old list's version is older than any that discovery tells.
        let known = self.discovery.json(balancer, 0, Some(&known.unwrap_or_default()));
        let known: Json = serde_json::from_str(&known).unwrap_or_default();
        let mut settings = self.settings(balancer);
        if let (Some(Json::Object(more)), Json::Object(settings)) = (&self.options.settings, &mut settings) {
            for (key, value) in more {
                settings.insert(key.clone(), value.clone());
            }
        }
        let seed =
            RandomStream::new(self.options.seed, &format!("balancer {balancer}")).sample_below(usize::MAX);
        json!({
            "name": format!("n{balancer}"),
            "listen": self.balancers[balancer].address.to_string(),
            "discovery": self.to_discovery[balancer].to_string(),
            "seed": format!("{seed:x}"),
            "limits": {"cores": 1.0, "memory_mb": self.drill.live.memory_mb, "sockets": self.drill.live.sockets},
            "known": known,
            "settings": settings,
        })
        .to_string()
    }

    fn settings(&self, balancer: usize) -> Json {
        let ms = |span: Nanos| span as f64 / MS as f64;
        let (tier, live) = (self.drill.tier(), &self.drill.live);
        let cold = tier.slow_start.map_or((0.0, 1.0), |cold| (ms(cold.duration), cold.initial_speed));
        let rule_sets = self.drill.rule_sets.iter().map(|set| {
            let effect = match set.effect {
                Effect::Replayable => "repeatable",
                Effect::Uniqued => "by_key",
                Effect::NonReplayable => "once",
            };
            json!({
                "Name": set.name, "Effect": effect, "DedupScope": "all", "Window": ms(set.dedup_window),
                "ResponseTarget": ms(set.response_target), "ClientTimeout": ms(set.client_timeout),
                "Utility": set.utility, "TardyUtility": 0.0,
            })
        });
        json!({
            "NInstances": self.parties.balancers, "Me": balancer, "Tier": 0, "Tiers": [tier.name],
            "Locality": self.parties.zones[self.parties.zone(balancer)],
            "Discovery": "ask",
            "Limits": {"MaxDispatches": 4, "Cancelling": true, "ConnectTimeout": 250.0, "ConnIdle": 15_000.0,
                "Peers": !self.fleet.is_empty(), "RetryAfter": true, "MaxRetryAfter": 2_000.0},
            "Guarantees": {"AnswerSlack": 20.0, "AskWithin": 10_000.0, "Cold": cold.0, "ColdShare": cold.1,
                "DrainGrace": ms(live.drain_grace), "Fall": ms(live.cold_span), "FallMultiple": live.cold_multiple},
            "Prices": {"CrossZone": 0.0066},
            "RuleSets": rule_sets.collect::<Vec<_>>(),
        })
    }
}

/// The numbers of those that a fault on processes or srvs struck.
fn numbers(parties: Vec<Party>) -> Vec<usize> {
    let number = |party| match party {
        Party::Balancer(number) | Party::Srv(number) => Some(number),
        Party::Clients(_) | Party::Discovery => None,
    };
    parties.into_iter().filter_map(number).collect()
}

type Open = Arc<Mutex<HashMap<u64, Nanos>>>;

/// Notes what goes from a balancer to a srv.
fn watch_reqs(log: Log, firsts: Open, balancer: usize, srv: usize) -> Watcher {
    Arc::new(move |connection, passed| match passed {
        Passed::Opened => log.note(Event::Opened { from: Party::Balancer(balancer), to: Party::Srv(srv) }),
        Passed::There(Seen::First) => drop(held(&firsts).insert(connection, log.now())),
        Passed::There(Seen::Head(head)) => {
            let first = held(&firsts).remove(&connection).unwrap_or_else(|| log.now());
            if let Some(id) = head.hex("x-call-id") {
                log.note(Event::Sent { id, balancer, srv, connection, first });
            }
        }
        Passed::There(Seen::Last) => log.note(Event::Whole { connection }),
        Passed::Back(Seen::Head(head)) => {
            let rejected = head.header("x-rejected") == Some("1");
            log.note(Event::Back { connection, status: head.status(), rejected });
        }
        Passed::Back(_) => {}
        Passed::Ended => {
            held(&firsts).remove(&connection);
            log.note(Event::Ended { connection });
        }
    })
}

/// Notes what discovery tells a balancer, once it has come there.
fn watch_news(log: Log, discovery: Discovery, balancer: usize) -> Watcher {
    let coming = Mutex::new(HashMap::new());
    Arc::new(move |connection, passed| match passed {
        Passed::Opened => log.note(Event::Opened { from: Party::Balancer(balancer), to: Party::Discovery }),
        Passed::Back(Seen::Head(head)) => {
            let key = head.header("x-told").and_then(|key| key.parse::<u64>().ok());
            held(&coming).extend(key.map(|key| (connection, key)));
        }
        Passed::Back(Seen::Last) => {
            let key = held(&coming).remove(&connection);
            if let Some(up) = key.and_then(|key| discovery.told(balancer, key)) {
                log.note(Event::Told { balancer, up });
            }
        }
        Passed::Ended => drop(held(&coming).remove(&connection)),
        _ => {}
    })
}

/// How late the drill's own tasks are, by half second.
async fn watch_lag(log: Log, from: Nanos, lag: Arc<Mutex<Vec<Nanos>>>) {
    loop {
        let due = Instant::now() + TICK;
        sleep_until(due.into()).await;
        let late = due.elapsed().as_nanos() as Nanos;
        let at = (log.now().saturating_sub(from) / (S / 2)) as usize;
        let mut lag = held(&lag);
        let last = lag.len() - 1;
        lag[at.min(last)] = lag[at.min(last)].max(late);
    }
}

async fn watch_usage(balancers: Balancers, usage: Arc<Mutex<Vec<Vec<Usage>>>>) {
    loop {
        tokio::time::sleep(SAMPLE).await;
        let balancers = balancers.clone();
        let taken =
            tokio::task::spawn_blocking(move || balancers.iter().map(Balancer::usage).collect::<Vec<_>>());
        let Ok(taken) = taken.await else { return };
        for (all, usage) in held(&usage).iter_mut().zip(taken) {
            all.extend(usage);
        }
    }
}
