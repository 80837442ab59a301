//! The attendant: the balancer beside an application's instance. It owns what this machine knows of the mesh as
//! immutable snapshots that are swapped whole, its four doors, and the order of its start and end. It must never take
//! work before it has a configuration, nor end while it owes an answer and still may give it.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::pin;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use hyper::Response;
use hyper::header::HeaderValue;
use ochreshed::{Name, Nanos};
use ochreshed_consensus::messages::Revision;
use ochreshed_consensus::messages::{NamedRegister, RegisterValue};
use ochreshed_mesh::configuration::{Configuration, Route};
use ochreshed_mesh::endpoints::EndpointRecord;
use ochreshed_mesh::internal_rpc::AppliedEditions;
use ochreshed_mesh::lease_circuit_breaker::LeaseCircuitBreaker;
use ochreshed_mesh::outcome_counts::{OutcomeCounter, OutcomeCounts, RouteEdition};
use ochreshed_mesh::retry_budget::{AttemptCounts, BudgetReport, MOST_SERVICES, ServiceAttempts};
use ochreshed_mesh::retry_shares::{self, RetryShares};
use ochreshed_mesh::watch_client::EndpointView;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep, timeout_at};

use super::carry::{Flow, Line};
use super::desk::{self, Desk, Plan, Seat, Told};
use super::docs::Docs;
use super::door::{Door, Site};
use super::entry::{self, Ajar, Bounds, Came, say};
use super::full::Full;
use super::keys::Stewards;
use super::seats::Seats;
use super::sessions::Sessions;
use super::settings::{Settings, SettingsError};
use super::wire::Callers;
use super::{full, gate, metrics, news, start};
use crate::clock::Clock;
use crate::link::held;

/// Descriptors kept for what is neither a caller's connection nor one of ours to a door or upstream.
const SPARE: u64 = 300;
/// Of a process's memory, the part for bodies of reqs in hand.
const BODIES: f64 = 0.15;
/// And the part for large answers that were read ahead of who takes them.
const AHEAD: f64 = 0.15;
/// So many routes are kept in mind.
const MOST_ROUTES: usize = 20_000;
/// So many lines tell of what is trimmed when documents come.
const MOST_TRIMS: usize = 20;
/// For how long the most time that a client had left counts.
const LEFT_FOR: Nanos = 10_000_000_000;
/// The core is silent when no steward has answered for so long, three asks' time.
const CORE_SILENT: Nanos = 1_500_000_000;
/// How long clients may still come after the wish to end: the platform looks once a second and wants two misses.
const LINGER: Duration = Duration::from_millis(2_400);
/// Within this all gates have heard that the door takes nothing more.
const HEARD: Duration = Duration::from_millis(500);
/// So long before the grace is over all is given up, and so long before that nobody new is let in.
const LAST: Duration = Duration::from_millis(600);
const LAST_CALL: Duration = Duration::from_millis(600);
const LOOK: Duration = Duration::from_millis(100);
/// How often the settings file is looked at.
const SETTINGS: Duration = Duration::from_secs(2);

/// A configuration as this machine goes by it.
pub struct InForce {
    timetable: Configuration,
    plans: BTreeMap<Seat, Plan>,
    shares: Arc<RetryShares>,
    /// The edition in force here of each member's routes, and whether it is on trial.
    editions: BTreeMap<Name, (u64, bool)>,
}

impl InForce {
    pub fn new(timetable: Configuration, editions: BTreeMap<Name, (u64, bool)>) -> InForce {
        let plans = Plan::all(&timetable).into_iter().map(|plan| (plan.seat(), plan)).collect();
        let shares = Arc::new(retry_shares::of(&timetable));
        InForce { timetable, plans, shares, editions }
    }

    /// Whose route it is, and the edition of it that is in force.
    pub fn edition(&self, route: &Route) -> Option<RouteEdition> {
        let member = route.share.as_ref()?.member.clone();
        let (number, trial) = self.editions.get(&member).copied().unwrap_or_default();
        Some(RouteEdition { member, version: number, canary: trial })
    }
}

impl std::ops::Deref for InForce {
    type Target = Configuration;

    fn deref(&self) -> &Configuration {
        &self.timetable
    }
}

/// A route by its name and whose it is.
type OneRoute = (Name, Option<Name>);

pub struct Branch {
    pub settings: ArcSwap<Settings>,
    pub clock: Clock,
    pub callers: Arc<Callers>,
    /// How long claims of keys are waited for.
    pub claims: Mutex<LeaseCircuitBreaker>,
    pub stewards: Arc<Stewards>,
    pub timetable: ArcSwapOption<InForce>,
    /// The platform's configuration and the papers on members: what is in force is laid out of them.
    bases: Mutex<(Option<Configuration>, Docs)>,
    /// The configuration in force as it was sent, and the rank of the one that is being fetched.
    sheet: Mutex<(Option<Arc<RegisterValue>>, Revision)>,
    rows: Mutex<EndpointView>,
    /// Doors whose attendants no watcher that replies has heard of late.
    quiet: ArcSwap<HashSet<SocketAddr>>,
    seats: Mutex<Seats>,
    /// How the reqs on members' routes fared here.
    fares: Mutex<OutcomeCounter>,
    /// The most time that a client had left, by route, and when that was.
    lefts: Mutex<HashMap<OneRoute, (u64, Nanos)>>,
    lines: Mutex<HashMap<SocketAddr, Arc<Line>>>,
    room: Arc<Semaphore>,
    pub door: Arc<Door>,
    door_at: SocketAddr,
    pub bodies: Arc<Semaphore>,
    chance: Mutex<ChaCha8Rng>,
    served: AtomicU64,
    inside: AtomicUsize,
    /// When a steward last answered, and one that hears more than half of the core.
    heard: AtomicU64,
    settled: AtomicU64,
    leaving: AtomicBool,
    /// When all that is still inside is given up, known once this process has been asked to end; and that it is now.
    ends_by: AtomicU64,
    over: watch::Sender<bool>,
    /// From the start to full service, in ms.
    full: Full,
}

impl Branch {
    /// One that knows nothing yet but its settings.
    pub fn new(settings: Settings, door_at: SocketAddr, clock: Clock) -> Arc<Branch> {
        let sockets = sockets(&settings);
        let bodies = ((settings.limits.memory_mb as f64 * BODIES * 1e6) as usize).clamp(1 << 20, 1 << 29);
        let ahead = ((settings.limits.memory_mb as f64 * AHEAD * 1e6) as usize).clamp(1 << 20, 1 << 28);
        let life = clock.now() / 1_000_000;
        let mut chance = ChaCha8Rng::seed_from_u64(rand::random());
        let seed: u64 = chance.random();
        let site = Site {
            at: door_at,
            zone: settings.zone.clone(),
            app: settings.upstream_address,
            drain: settings.bounds.drain_timeout,
            connections: sockets / 8,
            ahead,
            link_mbps: settings.limits.link_mbps,
        };
        let branch = Arc::new(Branch {
            clock,
            callers: Arc::default(),
            claims: Mutex::default(),
            stewards: Arc::new(Stewards::new(clock)),
            timetable: ArcSwapOption::empty(),
            bases: Mutex::default(),
            sheet: Mutex::default(),
            rows: Mutex::default(),
            quiet: ArcSwap::default(),
            seats: Mutex::default(),
            fares: Mutex::new(OutcomeCounter::over(settings.bounds.retry_window.as_nanos() as Nanos)),
            lefts: Mutex::default(),
            lines: Mutex::default(),
            room: Arc::new(Semaphore::new(sockets / 4)),
            door: Door::new(site, clock, life),
            door_at,
            bodies: Arc::new(Semaphore::new(bodies)),
            chance: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            served: AtomicU64::new(0),
            inside: AtomicUsize::new(0),
            heard: AtomicU64::new(clock.now()),
            settled: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            ends_by: AtomicU64::new(Nanos::MAX),
            over: watch::Sender::new(false),
            full: Full::default(),
            settings: ArcSwap::from_pointee(settings),
        });
        branch.know_stewards(Vec::new());
        branch
    }

    /// What the gate of this machine holds of people's sessions; its door is told when they go elsewhere.
    pub fn sessions(&self) -> &Sessions {
        &self.door.sessions
    }

    pub fn door_at(&self) -> SocketAddr {
        self.door_at
    }

    /// A number drawn by chance, never 0.
    pub fn draw(&self) -> u64 {
        held(&self.chance).random_range(1..=u64::MAX)
    }

    /// Of the configuration that is here, or on its way.
    pub fn sheet_rank(&self) -> Revision {
        let sheet = held(&self.sheet);
        sheet.0.as_ref().map_or(Revision::NONE, |sheet| sheet.revision()).max(sheet.1)
    }

    /// The configuration that is here.
    pub fn sheet(&self) -> Option<Arc<RegisterValue>> {
        held(&self.sheet).0.clone()
    }

    /// Whether the configuration of this rank is to be fetched now: it is later, and nobody fetches it.
    pub fn to_fetch(&self, rank: Revision) -> bool {
        let later = rank > self.sheet_rank();
        if later {
            held(&self.sheet).1 = rank;
        }
        later
    }

    /// What was being fetched has come, or won't.
    pub fn fetched(&self, rank: Revision) {
        let mut sheet = held(&self.sheet);
        if sheet.1 == rank {
            sheet.1 = Revision::NONE;
        }
    }

    /// Whether no steward has answered for so long that nothing can be had of the core from here.
    pub fn core_silent(&self) -> bool {
        self.clock.now() > self.heard.load(Relaxed) + CORE_SILENT
    }

    /// Whether no steward that hears more than half of the core has answered for so long: no key can be claimed.
    pub fn core_away(&self) -> bool {
        self.clock.now() > self.settled.load(Relaxed) + CORE_SILENT
    }

    /// A steward has answered, and whether it hears more than half of the core.
    pub fn heard_core(&self, settled: bool) {
        let now = self.clock.now();
        self.heard.store(now, Relaxed);
        if settled {
            self.settled.store(now, Relaxed);
        }
    }

    /// This process has been asked to end, and gives up what is still inside after so long.
    pub fn leave(&self, after: Duration) {
        self.leaving.store(true, Relaxed);
        self.ends_by.store(self.clock.now() + after.as_nanos() as Nanos, Relaxed);
    }

    /// What is inside by then is given up.
    pub fn ends_by(&self) -> Nanos {
        self.ends_by.load(Relaxed)
    }

    /// Nobody inside is waited for any more: each gets an answer of our own now.
    pub fn give_up(&self) {
        self.over.send_replace(true);
    }

    /// Returns once all that is inside is given up.
    pub async fn over(&self) {
        // The sender lives as long as this does.
        let _ = self.over.subscribe().wait_for(|over| *over).await;
    }

    /// The service of this machine, as the system sets it on reqs that began here.
    pub fn caller(&self) -> HeaderValue {
        let told = self.settings.load().service.clone();
        let line = self.door.line().or(told).unwrap_or_default();
        HeaderValue::try_from(line).unwrap_or(HeaderValue::from_static(""))
    }

    /// A req came to the gate; whether it is a call of a run here, and of one that was sent again.
    pub fn saw(&self, id: &HeaderValue) -> Option<bool> {
        self.served.fetch_add(1, Relaxed);
        self.door.saw(id.as_bytes())
    }

    /// The service that a req of this route goes to.
    pub fn split(&self, route: &Route) -> Option<Name> {
        let total: f64 = route.lines.iter().map(|(_, share)| share).sum();
        if route.lines.len() == 1 {
            return route.lines.first().map(|(name, _)| name.clone());
        }
        let mut at = held(&self.chance).random::<f64>() * total;
        for (name, share) in &route.lines {
            at -= share;
            if at < 0.0 && *share > 0.0 {
                return Some(name.clone());
            }
        }
        route.lines.iter().rev().find(|(_, share)| *share > 0.0).map(|(name, _)| name.clone())
    }

    /// The desk for the reqs of a route that go to this service.
    pub fn desk(&self, line: &Name, route: &Route) -> Option<Arc<Desk>> {
        let seat = desk::seat(line, route);
        let desk = held(&self.seats).desk(&seat);
        if desk.is_some() || seat.2.is_none() {
            return desk;
        }
        // The configuration is looked at under the locks: whoever brings in a later one seats all anew after that.
        let rows = held(&self.rows);
        let mut seats = held(&self.seats);
        let timetable = self.timetable.load_full()?;
        if let Some(desk) = seats.desk(&seat) {
            return Some(desk);
        }
        let desk = self.make(&rows, rows.client_proxies(), None, timetable.plans.get(&seat)?);
        seats.add(seat, desk.clone());
        seats.divide(self.clock.now(), &timetable.shares);
        Some(desk)
    }

    /// The desk of a plan; the one that was, where it was told the same.
    fn make(&self, rows: &EndpointView, gates: usize, was: Option<Arc<Desk>>, plan: &Plan) -> Arc<Desk> {
        let settings = self.settings.load();
        let of = || rows.records().filter(|(row, _)| *row.service == *plan.line);
        let calls = of().any(|(row, _)| row.calls_services);
        let told = (plan.line.clone(), Told::new(plan, gates, calls, &settings.bounds));
        let window = settings.bounds.retry_window.as_nanos() as Nanos;
        let desk = Desk::of(was, told, self.clock, || self.draw(), window);
        desk.list(of(), &self.quiet.load(), &settings.zone);
        desk
    }

    /// Counts how reqs on a member's routes fared.
    pub fn fared(&self, of: &RouteEdition, fared: OutcomeCounts) {
        held(&self.fares).add(self.clock.now(), of, fared);
    }

    /// What is told of this machine: what of each service was sent and sent again of late, where anything was.
    pub fn report(&self) -> BudgetReport {
        let sums = held(&self.seats).figures();
        let mut all: ServiceAttempts =
            sums.into_iter().filter(|(_, figures)| *figures != AttemptCounts::default()).collect();
        all.sort_by_key(|(name, figures)| {
            (std::cmp::Reverse((figures.retried, figures.first)), name.clone())
        });
        all.truncate(MOST_SERVICES);
        let members = held(&self.fares).counts(self.clock.now());
        BudgetReport { services: all, recovery_ms: self.full.get().copied(), outcomes: members }
    }

    /// How much of its time a client had used up before this try: the most that was left on this route of late, less
    /// what is left now.
    pub fn used(&self, route: &Route, left: u64) -> u64 {
        let now = self.clock.now();
        let mut lefts = held(&self.lefts);
        if lefts.len() > MOST_ROUTES {
            lefts.clear();
        }
        let member = route.share.as_ref().map(|share| share.member.clone());
        let (most, at) = lefts.entry((route.name.clone(), member)).or_insert((left, now));
        if left >= *most || now > *at + LEFT_FOR {
            (*most, *at) = (left, now);
        }
        *most - left
    }

    /// Whether what is out at this door may be given up there: nobody hears of its machine, and ours is not ending.
    pub fn may_break_off(&self, door: &SocketAddr) -> bool {
        !self.leaving.load(Relaxed) && self.quiet.load().contains(door)
    }

    pub fn line_to(&self, door: SocketAddr) -> Arc<Line> {
        let line = || Arc::new(Line::new(door, self.clock, self.room.clone()));
        held(&self.lines).entry(door).or_insert_with(line).clone()
    }

    pub fn know_stewards(&self, told: Vec<SocketAddr>) {
        let seeds = seeds(&self.settings.load());
        let all: HashSet<SocketAddr> = told.into_iter().chain(seeds).collect();
        self.stewards.know(all);
    }

    /// Takes a configuration, if it is a later one. One that can't be read here is not asked for again.
    pub fn take_sheet(&self, sheet: RegisterValue) {
        let mut here = held(&self.sheet);
        if here.0.as_ref().is_some_and(|here| here.revision() >= sheet.revision()) {
            return;
        }
        match Configuration::read(&sheet.bytes) {
            Ok(timetable) => {
                log::info!("timetable r{} in force, {} routes", sheet.version, timetable.routes().count());
                held(&self.bases).0 = Some(timetable);
                here.0 = Some(Arc::new(sheet));
                drop(here);
                self.lay();
            }
            // The core checks by the same reader; this is a build that differs.
            Err(why) => {
                log::error!("timetable r{} is refused here: {}", sheet.version, why[0]);
                here.1 = Revision::new(sheet.version, u64::MAX);
            }
        }
    }

    /// Lays members' routes over the platform's, all at once. Under the lock, so that none goes back.
    fn lay(&self) {
        let bases = held(&self.bases);
        let (Some(base), docs) = &*bases else { return };
        let (laid, editions) = docs.laid(base, self.door_at);
        for trim in laid.violations.iter().take(MOST_TRIMS) {
            log::warn!("trimmed: {trim}");
        }
        let before = self.timetable.load();
        let was = |member: &Name| before.as_ref().and_then(|before| before.editions.get(member));
        let fresh = editions.iter().filter(|(member, edition)| was(member) != Some(*edition));
        for (member, (edition, trial)) in fresh.take(MOST_TRIMS) {
            log::info!("member {member} r{edition} in force{}", if *trial { ", on trial" } else { "" });
        }
        self.timetable.store(Some(Arc::new(InForce::new(laid.configuration, editions))));
        drop(bases);
        self.seat();
    }

    /// Those of the papers told that are not here, with the ranks of what is.
    pub fn papers_wanted(&self, told: &[(Name, Revision)]) -> Vec<(Name, Revision)> {
        let bases = held(&self.bases);
        let here = told.iter().map(|(name, rank)| (name, bases.1.rank(name), rank));
        here.filter(|(_, here, rank)| here < rank).map(|(name, here, _)| (name.clone(), here)).collect()
    }

    /// Takes papers, those that are later; whether any was.
    pub fn take_papers(&self, papers: &[NamedRegister]) -> bool {
        let taken = {
            let mut bases = held(&self.bases);
            papers.iter().filter(|paper| bases.1.take(&paper.name, &paper.value)).count()
        };
        if taken > 0 {
            self.lay();
        }
        taken > 0
    }

    /// The editions of members' routes that are in force here, and whether they are on trial.
    pub fn carried(&self) -> AppliedEditions {
        let timetable = self.timetable.load();
        let editions = timetable.iter().flat_map(|timetable| &timetable.editions);
        editions.map(|(member, (edition, trial))| (member.clone(), *edition, *trial)).collect()
    }

    pub fn take_rows(&self, which: usize, rows: Vec<EndpointRecord>, quiet: HashSet<SocketAddr>) {
        for row in &rows {
            if row.inbound_proxy != self.door_at || row.upstream_id.is_empty() {
                continue;
            }
            self.door.heard_of_before(&row.upstream_id, row.state);
            if !self.door.knows() {
                tokio::spawn(self.door.clone().find_again(row.clone(), self.health_of(&row.service)));
            }
        }
        let changed = held(&self.rows).merge(self.clock.now(), which, rows, quiet);
        if changed {
            self.seat();
        }
    }

    fn health_of(&self, line: &str) -> String {
        let timetable = self.timetable.load();
        let service = timetable.as_ref().and_then(|timetable| timetable.service(line));
        service.map_or("/health".into(), |service| service.health.clone())
    }

    /// A watcher gives no reply: what it held for quiet counts no more.
    pub fn silent(&self, which: usize) {
        held(&self.rows).watch_lost(which);
    }

    /// Brings the desks in line with the configuration and the list.
    fn seat(&self) {
        let Some(timetable) = self.timetable.load_full() else { return };
        let rows = held(&self.rows);
        self.quiet.store(Arc::new(rows.suspects()));
        let (gates, mut seats) = (rows.client_proxies(), held(&self.seats));
        seats.renew(&timetable.plans, |was, plan| self.make(&rows, gates, was, plan));
        seats.divide(self.clock.now(), &timetable.shares);
        drop(seats);
        self.door.know_shares(&timetable.shares);
        self.moor();
    }

    /// Tells the door how many connections the upstream beside it takes.
    fn moor(&self) {
        let (timetable, line) = (self.timetable.load(), self.door.line());
        let service =
            timetable.as_ref().zip(line).and_then(|(timetable, line)| timetable.service(&line).cloned());
        if let Some(service) = service {
            self.door.moor(service.berth_cap as usize);
        }
    }

    /// How many records of other places it has.
    pub fn records(&self) -> usize {
        held(&self.rows).len()
    }

    /// This machine's figures, for operators' tools.
    fn metrics(&self) -> Response<Flow> {
        let now = self.clock.now();
        let age = |since: &AtomicU64| now.saturating_sub(since.load(Relaxed)) as f64 / 1e9;
        let version = self.timetable.load().as_ref().map_or(0, |timetable| timetable.version);
        let sums = held(&self.seats).figures();
        let sum = |of: fn(&AttemptCounts) -> u32| sums.values().map(|figures| f64::from(of(figures))).sum();
        let sessions = self.door.sessions.counts();
        metrics::Figures::of("attendant")
            .gauge("ready", "1 while it is ready", f64::from(u8::from(self.ready())))
            .gauge("configuration_version", "Version of the configuration in force", version as f64)
            .gauge("endpoint_records", "Records of upstreams that are known", self.records() as f64)
            .gauge("unreachable", "Machines that nobody heard of late", self.quiet.load().len() as f64)
            .gauge("control_heard_seconds", "Since a replica of the control plane answered", age(&self.heard))
            .gauge(
                "quorum_heard_seconds",
                "Since a replica that hears a majority answered",
                age(&self.settled),
            )
            .gauge("requests_inside", "Requests in hand", self.inside.load(Relaxed) as f64)
            .gauge("upstream_load", "Requests at the upstream or waiting there", self.door.load() as f64)
            .gauge("window_first_sends", "First sends in the budget's window", sum(|of| of.first))
            .gauge("window_retries", "Sent again in the budget's window", sum(|of| of.retried))
            .gauge("window_retries_refused", "Not sent again for want of budget", sum(|of| of.denied))
            .gauge("sessions", "Sessions held", sessions.held as f64)
            .counter("sessions_moved", "Sessions that came from another gate", sessions.moves)
            .counter("requests", "Requests answered", self.served.load(Relaxed))
            .page()
    }

    fn ready(&self) -> bool {
        !self.leaving.load(Relaxed)
            && !self.core_silent()
            && self.timetable.load().is_some()
            && !held(&self.rows).is_empty()
    }
}

/// A req inside; counted out however it ends.
pub struct Inside(Arc<Branch>);

impl Inside {
    pub fn new(branch: &Arc<Branch>) -> Inside {
        branch.inside.fetch_add(1, Relaxed);
        Inside(branch.clone())
    }
}

impl Drop for Inside {
    fn drop(&mut self) {
        self.0.inside.fetch_sub(1, Relaxed);
    }
}

/// Descriptors for connections.
fn sockets(settings: &Settings) -> usize {
    settings.limits.file_descriptors.saturating_sub(SPARE).max(64) as usize
}

/// Where the seeds are called by the system's own processes: their port for that is the same on all machines.
pub fn seeds(settings: &Settings) -> Vec<SocketAddr> {
    settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), settings.internal_ports.first)).collect()
}

pub fn run(path: Option<PathBuf>) -> Result<ExitCode, SettingsError> {
    let path = Settings::path(path)?;
    let settings = Settings::read(&path)?;
    settings.check_attendant().map_err(SettingsError::Invalid)?;
    start::init_logging();
    Ok(start::block_on(serve(path, settings)))
}

async fn serve(path: PathBuf, settings: Settings) -> ExitCode {
    let clock = Clock::new();
    let (Some(inbound), Some(outbound), Some(ready), Some(control)) = (
        settings.inbound_listen,
        settings.outbound_listen,
        settings.readiness_listen,
        settings.control_listen,
    ) else {
        return ExitCode::FAILURE;
    };
    let branch = Branch::new(settings, inbound, clock);
    let (door, sockets) = (branch.door.clone(), sockets(&branch.settings.load()));
    let (ajar, watch_ajar) = watch::channel(Ajar::Open);
    let mut listeners = Vec::new();
    for at in [inbound, outbound, ready, control] {
        match TcpListener::bind(at).await {
            Ok(listener) => listeners.push(listener),
            Err(why) => {
                log::error!("{at}: {why}");
                return ExitCode::FAILURE;
            }
        }
    }
    let bounds = |callers: usize| Bounds { callers: callers.max(16), head: Duration::from_secs(20) };
    let (Some(at_control), Some(at_ready), Some(at_outbound), Some(at_inbound)) =
        (listeners.pop(), listeners.pop(), listeners.pop(), listeners.pop())
    else {
        return ExitCode::FAILURE;
    };
    let count = || Arc::new(AtomicUsize::new(0));
    let doors = [
        tokio::spawn(entry::keep(at_inbound, clock, bounds(sockets / 4), watch_ajar.clone(), count(), {
            let (door, bodies) = (door.clone(), branch.bodies.clone());
            move |came: Came| door.clone().answer(came, bodies.clone())
        })),
        tokio::spawn(entry::keep(at_outbound, clock, bounds(sockets / 3), watch_ajar.clone(), count(), {
            let branch = branch.clone();
            move |came: Came| {
                let branch = branch.clone();
                async move {
                    let inside = Inside::new(&branch);
                    gate::answer(branch.clone(), came).await.map(|flow| flow.holding(inside))
                }
            }
        })),
    ];
    for (listener, control) in [(at_control, true), (at_ready, false)] {
        let (branch, door, watch_ajar) = (branch.clone(), door.clone(), watch_ajar.clone());
        tokio::spawn(entry::keep(
            listener,
            clock,
            bounds(sockets / 32),
            watch_ajar,
            count(),
            move |came: Came| {
                let (branch, door) = (branch.clone(), door.clone());
                async move {
                    match control {
                        true if came.req.uri().path() == metrics::PATH => branch.metrics(),
                        true => door.control(came).await,
                        false => look(&branch, &came),
                    }
                }
            },
        ));
    }
    door.serving.store(true, Relaxed);
    let many = (branch.settings.load().fault_tolerance.machines + 1).max(2);
    for which in 0..many {
        tokio::spawn(news::ask(branch.clone(), which, many));
    }
    tokio::spawn(tidy(branch.clone(), path));
    tokio::spawn(full_service(branch.clone()));
    log::info!("attendant {} at {outbound}, door {inbound}", branch.settings.load().node_name);
    let mut end = match signal(SignalKind::terminate()) {
        Ok(end) => end,
        Err(why) => {
            log::error!("no signals: {why}");
            return ExitCode::FAILURE;
        }
    };
    end.recv().await;
    log::info!("asked to end, {} reqs inside", branch.inside.load(Relaxed) + door.busy());
    // Clients are sent elsewhere, and whoever still comes is served. The door stays in use for a while longer: what
    // the upstream can do is lost to all from then on.
    let began = Instant::now();
    let grace = branch.settings.load().bounds.shutdown_grace.saturating_sub(LAST);
    branch.leave(grace);
    ajar.send_replace(Ajar::Leaving);
    // Where clients come to the end, what they ask last still needs time.
    let last_call = grace.saturating_sub(LAST_CALL);
    // Where its upstream has ended, this machine goes for good, and the platform may still send clients here when few
    // others of the zone are in: it stays for as long as it may.
    let linger = if door.signed_off() { last_call } else { LINGER.min(last_call) };
    let busy = || branch.inside.load(Relaxed) + door.busy() > 0;
    while began.elapsed() < last_call && (began.elapsed() < linger || busy()) {
        if began.elapsed() + HEARD >= linger && door.serving.swap(false, Relaxed) {
            door.touch();
        }
        sleep(LOOK).await;
    }
    ajar.send_replace(Ajar::Closed);
    let mut all = pin!(async {
        for door in doors {
            let _ = door.await;
        }
    });
    if timeout_at(began + grace, all.as_mut()).await.is_err() {
        branch.give_up();
        let _ = timeout_at(began + grace + LAST / 2, all).await;
    }
    log::info!("ended after {} ms, {} reqs served", began.elapsed().as_millis(), branch.served.load(Relaxed));
    ExitCode::SUCCESS
}

fn look(branch: &Branch, came: &Came) -> Response<Flow> {
    match came.req.uri().path() {
        "/api/ready" if branch.ready() => say(200, "ready"),
        "/api/ready" => say(503, "not ready"),
        _ => say(404, "no such page here"),
    }
}

/// Ready, and there is an upstream to serve.
async fn full_service(branch: Arc<Branch>) {
    let full_ms = full::within(&branch.clock, &branch.full, || branch.ready() && branch.door.knows()).await;
    let timetable = branch.timetable.load().as_ref().map_or(0, |timetable| timetable.version);
    let rows = held(&branch.rows).len();
    log::info!("full service after {full_ms} ms: timetable r{timetable}, {rows} attendants, an upstream");
}

/// What is looked at now and then: idle connections, and the settings file, which may change without a signal.
async fn tidy(branch: Arc<Branch>, path: PathBuf) {
    let Ok(mut again) = signal(SignalKind::hangup()) else { return };
    let mut looked = Instant::now();
    loop {
        let told = tokio::select! {
            Some(()) = again.recv() => true,
            () = sleep(Duration::from_millis(1_000)) => false,
        };
        let now = branch.clock.now();
        branch.door.sweep();
        branch.moor();
        if let Some(timetable) = branch.timetable.load_full() {
            held(&branch.seats).tidy(now, &timetable.shares);
        }
        held(&branch.lines).retain(|_, line| !line.sweep(now) || Arc::strong_count(line) > 1);
        if told || looked.elapsed() >= SETTINGS {
            looked = Instant::now();
            match Settings::read(&path) {
                Ok(settings) => {
                    if settings.seeds != branch.settings.load().seeds {
                        log::info!("settings: {} seeds", settings.seeds.len());
                    }
                    branch.settings.store(Arc::new(settings));
                    let known = branch.stewards.all();
                    branch.know_stewards(known);
                }
                Err(why) => log::warn!("settings not taken: {why}"),
            }
        }
    }
}
