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
use ochreshed_catalog::configuration::{Configuration, Route};
use ochreshed_catalog::endpoints::EndpointRecord;
use ochreshed_catalog::internal_rpc::AppliedEditions;
use ochreshed_catalog::traffic_reports::{AttemptCounts, BudgetReport, ServiceAttempts};
use ochreshed_catalog::traffic_reports::{OutcomeCounts, RouteEdition};
use ochreshed_catalog::watch_client::EndpointView;
use ochreshed_consensus::messages::Revision;
use ochreshed_consensus::messages::{NamedRegister, RegisterValue};
use ochreshed_traffic::budget_reports::MAX_SERVICES;
use ochreshed_traffic::lease_circuit_breaker::LeaseCircuitBreaker;
use ochreshed_traffic::outcome_counts::OutcomeCounter;
use ochreshed_traffic::retry_shares::{self, RetryShares};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep, timeout_at};

use crate::clock::Clock;
use crate::link::held;
use crate::mesh::control::member_documents::{MemberDocumentStore, MemberEdition, NodeConfiguration};
use crate::mesh::control::metrics;
use crate::mesh::control::recovery_time::RecoveryTime;
use crate::mesh::proxy::connection_pool::{ConnectionPool, ResponseBody};
use crate::mesh::proxy::control_plane_watch;
use crate::mesh::proxy::inbound::{InboundProxy, InboundSettings};
use crate::mesh::proxy::lease_client::ReplicaPool;
use crate::mesh::proxy::listener::{self, ListenerLimits, ListenerState, ReceivedRequest, plain_response};
use crate::mesh::proxy::outbound;
use crate::mesh::proxy::request_scheduler::{
    self, RequestScheduler, SchedulerKey, SchedulerPlan, ServiceSettings,
};
use crate::mesh::proxy::scheduler_set::SchedulerSet;
use crate::mesh::proxy::session_affinity::SessionTable;
use crate::mesh::rpc::RpcClients;
use crate::mesh::settings::{Settings, SettingsError};
use crate::mesh::start;

/// Descriptors kept for what is neither a caller's connection nor one of ours to a door or upstream.
const RESERVED_DESCRIPTORS: u64 = 300;
/// Of a process's memory, the part for bodies of reqs in hand.
const REQUEST_BODY_MEMORY_SHARE: f64 = 0.15;
/// And the part for large answers that were read ahead of who takes them.
const READ_AHEAD_MEMORY_SHARE: f64 = 0.15;
/// So many routes are kept in mind.
const MAX_ROUTES: usize = 20_000;
/// So many lines tell of what is trimmed when documents come.
const MAX_LOGGED_CHANGES: usize = 20;
/// For how long the most time that a client had left counts.
const TIME_LEFT_WINDOW: Nanos = 10_000_000_000;
/// The core is silent when no steward has answered for so long, three asks' time.
const CONTROL_PLANE_SILENT_AFTER: Nanos = 1_500_000_000;
/// How long clients may still come after the wish to end: the platform looks once a second and wants two misses.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(2_400);
/// Within this all gates have heard that the door takes nothing more.
const RECORD_PROPAGATION: Duration = Duration::from_millis(500);
/// So long before the grace is over all is given up, and so long before that nobody new is let in.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(600);
const CONNECTION_CLOSE_MARGIN: Duration = Duration::from_millis(600);
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How often the settings file is looked at.
const SETTINGS_RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// A configuration as this machine goes by it.
pub struct AppliedConfiguration {
    configuration: Configuration,
    plans: BTreeMap<SchedulerKey, SchedulerPlan>,
    shares: Arc<RetryShares>,
    /// The edition in force here of each member's routes, and whether it is on trial.
    editions: BTreeMap<Name, MemberEdition>,
}

impl AppliedConfiguration {
    pub fn new(
        configuration: Configuration,
        editions: BTreeMap<Name, MemberEdition>,
    ) -> AppliedConfiguration {
        let plans = SchedulerPlan::for_configuration(&configuration)
            .into_iter()
            .map(|plan| (plan.key(), plan))
            .collect();
        let shares = Arc::new(retry_shares::shares_of(&configuration));
        AppliedConfiguration { configuration, plans, shares, editions }
    }

    /// Whose route it is, and the edition of it that is in force.
    pub fn edition(&self, route: &Route) -> Option<RouteEdition> {
        let member = route.share.as_ref()?.member.clone();
        let MemberEdition { version, canary } = self.editions.get(&member).copied().unwrap_or_default();
        Some(RouteEdition { member, version, canary })
    }
}

impl std::ops::Deref for AppliedConfiguration {
    type Target = Configuration;

    fn deref(&self) -> &Configuration {
        &self.configuration
    }
}

/// A route by its name and whose it is.
type RouteKey = (Name, Option<Name>);

pub struct Node {
    pub settings: ArcSwap<Settings>,
    pub clock: Clock,
    pub rpc: Arc<RpcClients>,
    /// How long claims of keys are waited for.
    pub lease_breaker: Mutex<LeaseCircuitBreaker>,
    pub replicas: Arc<ReplicaPool>,
    pub configuration: ArcSwapOption<AppliedConfiguration>,
    /// The platform's configuration and the papers on members: what is in force is laid out of them.
    bases: Mutex<(Option<Configuration>, MemberDocumentStore)>,
    /// The configuration in force as it was sent, and the rank of the one that is being fetched.
    sheet: Mutex<(Option<Arc<RegisterValue>>, Revision)>,
    records: Mutex<EndpointView>,
    /// Doors whose attendants no watcher that replies has heard of late.
    suspected: ArcSwap<HashSet<SocketAddr>>,
    seats: Mutex<SchedulerSet>,
    /// How the reqs on members' routes fared here.
    fares: Mutex<OutcomeCounter>,
    /// The most time that a client had left, by route, and when that was.
    lefts: Mutex<HashMap<RouteKey, (u64, Nanos)>>,
    lines: Mutex<HashMap<SocketAddr, Arc<ConnectionPool>>>,
    room: Arc<Semaphore>,
    pub inbound: Arc<InboundProxy>,
    inbound_address: SocketAddr,
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
    recovery_time: RecoveryTime,
}

impl Node {
    /// One that knows nothing yet but its settings.
    pub fn new(settings: Settings, door_at: SocketAddr, clock: Clock) -> Arc<Node> {
        let sockets = sockets(&settings);
        let bodies = ((settings.limits.memory_mb as f64 * REQUEST_BODY_MEMORY_SHARE * 1e6) as usize)
            .clamp(1 << 20, 1 << 29);
        let ahead = ((settings.limits.memory_mb as f64 * READ_AHEAD_MEMORY_SHARE * 1e6) as usize)
            .clamp(1 << 20, 1 << 28);
        let incarnation = clock.now() / 1_000_000;
        let mut chance = ChaCha8Rng::seed_from_u64(rand::random());
        let seed: u64 = chance.random();
        let site = InboundSettings {
            address: door_at,
            zone: settings.zone.clone(),
            upstream_address: settings.upstream_address,
            drain_timeout: settings.bounds.drain_timeout,
            max_connections: sockets / 8,
            read_ahead_bytes: ahead,
            link_mbps: settings.limits.link_mbps,
        };
        let node = Arc::new(Node {
            clock,
            rpc: Arc::default(),
            lease_breaker: Mutex::default(),
            replicas: Arc::new(ReplicaPool::new(clock)),
            configuration: ArcSwapOption::empty(),
            bases: Mutex::default(),
            sheet: Mutex::default(),
            records: Mutex::default(),
            suspected: ArcSwap::default(),
            seats: Mutex::default(),
            fares: Mutex::new(OutcomeCounter::over(settings.bounds.retry_window.as_nanos() as Nanos)),
            lefts: Mutex::default(),
            lines: Mutex::default(),
            room: Arc::new(Semaphore::new(sockets / 4)),
            inbound: InboundProxy::new(site, clock, incarnation),
            inbound_address: door_at,
            bodies: Arc::new(Semaphore::new(bodies)),
            chance: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            served: AtomicU64::new(0),
            inside: AtomicUsize::new(0),
            heard: AtomicU64::new(clock.now()),
            settled: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            ends_by: AtomicU64::new(Nanos::MAX),
            over: watch::Sender::new(false),
            recovery_time: RecoveryTime::default(),
            settings: ArcSwap::from_pointee(settings),
        });
        node.set_replicas(Vec::new());
        node
    }

    /// What the gate of this machine holds of people's sessions; its door is told when they go elsewhere.
    pub fn sessions(&self) -> &SessionTable {
        &self.inbound.sessions
    }

    pub fn inbound_address(&self) -> SocketAddr {
        self.inbound_address
    }

    /// A number drawn by chance, never 0.
    pub fn new_token(&self) -> u64 {
        held(&self.chance).random_range(1..=u64::MAX)
    }

    /// Of the configuration that is here, or on its way.
    pub fn configuration_revision(&self) -> Revision {
        let sheet = held(&self.sheet);
        sheet.0.as_ref().map_or(Revision::NONE, |sheet| sheet.revision()).max(sheet.1)
    }

    /// The configuration that is here.
    pub fn configuration_value(&self) -> Option<Arc<RegisterValue>> {
        held(&self.sheet).0.clone()
    }

    /// Whether the configuration of this rank is to be fetched now: it is later, and nobody fetches it.
    pub fn start_fetch(&self, revision: Revision) -> bool {
        let later = revision > self.configuration_revision();
        if later {
            held(&self.sheet).1 = revision;
        }
        later
    }

    /// What was being fetched has come, or won't.
    pub fn fetch_ended(&self, revision: Revision) {
        let mut sheet = held(&self.sheet);
        if sheet.1 == revision {
            sheet.1 = Revision::NONE;
        }
    }

    /// Whether no steward has answered for so long that nothing can be had of the core from here.
    pub fn control_plane_silent(&self) -> bool {
        self.clock.now() > self.heard.load(Relaxed) + CONTROL_PLANE_SILENT_AFTER
    }

    /// Whether no steward that hears more than half of the core has answered for so long: no key can be claimed.
    pub fn quorum_unreachable(&self) -> bool {
        self.clock.now() > self.settled.load(Relaxed) + CONTROL_PLANE_SILENT_AFTER
    }

    /// A steward has answered, and whether it hears more than half of the core.
    pub fn control_plane_heard(&self, settled: bool) {
        let now = self.clock.now();
        self.heard.store(now, Relaxed);
        if settled {
            self.settled.store(now, Relaxed);
        }
    }

    /// This process has been asked to end, and gives up what is still inside after so long.
    pub fn start_draining(&self, after: Duration) {
        self.leaving.store(true, Relaxed);
        self.ends_by.store(self.clock.now() + after.as_nanos() as Nanos, Relaxed);
    }

    /// What is inside by then is given up.
    pub fn shutdown_deadline(&self) -> Nanos {
        self.ends_by.load(Relaxed)
    }

    /// Nobody inside is waited for any more: each gets an answer of our own now.
    pub fn abort_requests(&self) {
        self.over.send_replace(true);
    }

    /// Returns once all that is inside is given up.
    pub async fn aborted(&self) {
        // The sender lives as long as this does.
        let _ = self.over.subscribe().wait_for(|over| *over).await;
    }

    /// The service of this machine, as the system sets it on reqs that began here.
    pub fn caller_header(&self) -> HeaderValue {
        let told = self.settings.load().service.clone();
        let line = self.inbound.service().or(told).unwrap_or_default();
        HeaderValue::try_from(line).unwrap_or(HeaderValue::from_static(""))
    }

    /// A req came to the gate; whether it is a call of a run here, and of one that was sent again.
    pub fn nested_call(&self, id: &HeaderValue) -> Option<bool> {
        self.served.fetch_add(1, Relaxed);
        self.inbound.running_request(id.as_bytes())
    }

    /// The service that a req of this route goes to.
    pub fn choose_service(&self, route: &Route) -> Option<Name> {
        let total: f64 = route.services.iter().map(|service| service.weight).sum();
        if route.services.len() == 1 {
            return route.services.first().map(|service| service.name.clone());
        }
        let mut at = held(&self.chance).random::<f64>() * total;
        for service in &route.services {
            at -= service.weight;
            if at < 0.0 && service.weight > 0.0 {
                return Some(service.name.clone());
            }
        }
        route.services.iter().rev().find(|service| service.weight > 0.0).map(|service| service.name.clone())
    }

    /// The desk for the reqs of a route that go to this service.
    pub fn scheduler(&self, line: &Name, route: &Route) -> Option<Arc<RequestScheduler>> {
        let seat = request_scheduler::scheduler_key(line, route);
        let scheduler = held(&self.seats).scheduler(&seat);
        if scheduler.is_some() || seat.member.is_none() {
            return scheduler;
        }
        // The configuration is looked at under the locks: whoever brings in a later one seats all anew after that.
        let records = held(&self.records);
        let mut seats = held(&self.seats);
        let configuration = self.configuration.load_full()?;
        if let Some(scheduler) = seats.scheduler(&seat) {
            return Some(scheduler);
        }
        let scheduler =
            self.make_scheduler(&records, records.client_proxies(), None, configuration.plans.get(&seat)?);
        seats.add(seat, scheduler.clone());
        seats.divide_budgets(self.clock.now(), &configuration.shares);
        Some(scheduler)
    }

    /// The desk of a plan; the one that was, where it was told the same.
    fn make_scheduler(
        &self,
        records: &EndpointView,
        gates: usize,
        was: Option<Arc<RequestScheduler>>,
        plan: &SchedulerPlan,
    ) -> Arc<RequestScheduler> {
        let settings = self.settings.load();
        let of = || records.records().filter(|received| *received.record.service == *plan.service);
        let calls = of().any(|received| received.record.calls_services);
        let told = (plan.service.clone(), ServiceSettings::new(plan, gates, calls, &settings.bounds));
        let window = settings.bounds.retry_window.as_nanos() as Nanos;
        let scheduler = RequestScheduler::of(was, told, self.clock, || self.new_token(), window);
        scheduler.update_endpoints(of(), &self.suspected.load(), &settings.zone);
        scheduler
    }

    /// Counts how reqs on a member's routes fared.
    pub fn count_outcome(&self, of: &RouteEdition, fared: OutcomeCounts) {
        held(&self.fares).add(self.clock.now(), of, fared);
    }

    /// What is told of this machine: what of each service was sent and sent again of late, where anything was.
    pub fn budget_report(&self) -> BudgetReport {
        let sums = held(&self.seats).attempt_counts();
        let mut all: ServiceAttempts =
            sums.into_iter().filter(|(_, figures)| *figures != AttemptCounts::default()).collect();
        all.sort_by_key(|(name, figures)| {
            (std::cmp::Reverse((figures.retried, figures.first)), name.clone())
        });
        all.truncate(MAX_SERVICES);
        let members = held(&self.fares).counts(self.clock.now());
        BudgetReport { services: all, recovery_ms: self.recovery_time.recorded_ms(), outcomes: members }
    }

    /// How much of its time a client had used up before this try: the most that was left on this route of late, less
    /// what is left now.
    pub fn time_used_ms(&self, route: &Route, left: u64) -> u64 {
        let now = self.clock.now();
        let mut lefts = held(&self.lefts);
        if lefts.len() > MAX_ROUTES {
            lefts.clear();
        }
        let member = route.share.as_ref().map(|share| share.member.clone());
        let (most, at) = lefts.entry((route.name.clone(), member)).or_insert((left, now));
        if left >= *most || now > *at + TIME_LEFT_WINDOW {
            (*most, *at) = (left, now);
        }
        *most - left
    }

    /// Whether what is out at this door may be given up there: nobody hears of its machine, and ours is not ending.
    pub fn is_suspected(&self, door: &SocketAddr) -> bool {
        !self.leaving.load(Relaxed) && self.suspected.load().contains(door)
    }

    pub fn connection_pool(&self, door: SocketAddr) -> Arc<ConnectionPool> {
        let line = || Arc::new(ConnectionPool::new(door, self.clock, self.room.clone()));
        held(&self.lines).entry(door).or_insert_with(line).clone()
    }

    pub fn set_replicas(&self, told: Vec<SocketAddr>) {
        let seeds = seeds(&self.settings.load());
        let all: HashSet<SocketAddr> = told.into_iter().chain(seeds).collect();
        self.replicas.set_replicas(all);
    }

    /// Takes a configuration, if it is a later one. One that can't be read here is not asked for again.
    pub fn apply_configuration(&self, sheet: RegisterValue) {
        let mut here = held(&self.sheet);
        if here.0.as_ref().is_some_and(|here| here.revision() >= sheet.revision()) {
            return;
        }
        match Configuration::read(&sheet.bytes) {
            Ok(configuration) => {
                log::info!(
                    "timetable r{} in force, {} routes",
                    sheet.version,
                    configuration.routes().count()
                );
                held(&self.bases).0 = Some(configuration);
                here.0 = Some(Arc::new(sheet));
                drop(here);
                self.apply_overlays();
            }
            // The core checks by the same reader; this is a build that differs.
            Err(why) => {
                log::error!("timetable r{} is refused here: {}", sheet.version, why[0]);
                here.1 = Revision::new(sheet.version, u64::MAX);
            }
        }
    }

    /// Lays members' routes over the platform's, all at once. Under the lock, so that none goes back.
    fn apply_overlays(&self) {
        let bases = held(&self.bases);
        let (Some(base), docs) = &*bases else { return };
        let NodeConfiguration { effective, editions } = docs.configuration_at(base, self.inbound_address);
        for trim in effective.violations.iter().take(MAX_LOGGED_CHANGES) {
            log::warn!("trimmed: {trim}");
        }
        let before = self.configuration.load();
        let was = |member: &Name| before.as_ref().and_then(|before| before.editions.get(member));
        let fresh = editions.iter().filter(|(member, edition)| was(member) != Some(*edition));
        for (member, MemberEdition { version, canary }) in fresh.take(MAX_LOGGED_CHANGES) {
            log::info!("member {member} r{version} in force{}", if *canary { ", on trial" } else { "" });
        }
        self.configuration
            .store(Some(Arc::new(AppliedConfiguration::new(effective.configuration, editions))));
        drop(bases);
        self.update_schedulers();
    }

    /// Those of the papers told that are not here, with the ranks of what is.
    pub fn outdated_registers(&self, told: &[(Name, Revision)]) -> Vec<(Name, Revision)> {
        let bases = held(&self.bases);
        let here = told.iter().map(|(name, revision)| (name, bases.1.revision(name), revision));
        here.filter(|(_, here, revision)| here < revision)
            .map(|(name, here, _)| (name.clone(), here))
            .collect()
    }

    /// Takes papers, those that are later; whether any was.
    pub fn apply_registers(&self, registers: &[NamedRegister]) -> bool {
        let taken = {
            let mut bases = held(&self.bases);
            registers.iter().filter(|register| bases.1.apply(&register.name, &register.value)).count()
        };
        if taken > 0 {
            self.apply_overlays();
        }
        taken > 0
    }

    /// The editions of members' routes that are in force here, and whether they are on trial.
    pub fn applied_editions(&self) -> AppliedEditions {
        let configuration = self.configuration.load();
        let editions = configuration.iter().flat_map(|configuration| &configuration.editions);
        editions
            .map(|(member, edition)| RouteEdition {
                member: member.clone(),
                version: edition.version,
                canary: edition.canary,
            })
            .collect()
    }

    pub fn merge_records(&self, which: usize, records: Vec<EndpointRecord>, suspected: HashSet<SocketAddr>) {
        for record in &records {
            if record.inbound_proxy != self.inbound_address || record.upstream_id.is_empty() {
                continue;
            }
            self.inbound.restore_upstream_state(&record.upstream_id, record.state);
            if !self.inbound.knows_upstream() {
                tokio::spawn(
                    self.inbound.clone().probe_upstream(record.clone(), self.health_of(&record.service)),
                );
            }
        }
        let changed = held(&self.records).merge(self.clock.now(), which, records, suspected);
        if changed {
            self.update_schedulers();
        }
    }

    fn health_of(&self, line: &str) -> String {
        let configuration = self.configuration.load();
        let service = configuration.as_ref().and_then(|configuration| configuration.service(line));
        service.map_or("/health".into(), |service| service.health_path.clone())
    }

    /// A watcher gives no reply: what it held for quiet counts no more.
    pub fn watch_lost(&self, which: usize) {
        held(&self.records).watch_lost(which);
    }

    /// Brings the desks in line with the configuration and the list.
    fn update_schedulers(&self) {
        let Some(configuration) = self.configuration.load_full() else { return };
        let records = held(&self.records);
        self.suspected.store(Arc::new(records.suspects()));
        let (gates, mut seats) = (records.client_proxies(), held(&self.seats));
        seats.renew(&configuration.plans, |was, plan| self.make_scheduler(&records, gates, was, plan));
        seats.divide_budgets(self.clock.now(), &configuration.shares);
        drop(seats);
        self.inbound.set_member_shares(&configuration.shares);
        self.update_connection_limit();
    }

    /// Tells the door how many connections the upstream beside it takes.
    fn update_connection_limit(&self) {
        let (configuration, line) = (self.configuration.load(), self.inbound.service());
        let service = configuration
            .as_ref()
            .zip(line)
            .and_then(|(configuration, line)| configuration.service(&line).cloned());
        if let Some(service) = service {
            self.inbound.set_connection_limit(service.max_connections as usize);
        }
    }

    /// How many records of other places it has.
    pub fn records(&self) -> usize {
        held(&self.records).len()
    }

    /// This machine's figures, for operators' tools.
    fn metrics(&self) -> Response<ResponseBody> {
        let now = self.clock.now();
        let age = |since: &AtomicU64| now.saturating_sub(since.load(Relaxed)) as f64 / 1e9;
        let version = self.configuration.load().as_ref().map_or(0, |configuration| configuration.version);
        let sums = held(&self.seats).attempt_counts();
        let sum = |of: fn(&AttemptCounts) -> u32| sums.values().map(|figures| f64::from(of(figures))).sum();
        let sessions = self.inbound.sessions.counts();
        metrics::MetricsPage::for_role("attendant")
            .gauge("ready", "1 while it is ready", f64::from(u8::from(self.ready())))
            .gauge("configuration_version", "Version of the configuration in force", version as f64)
            .gauge("endpoint_records", "Records of upstreams that are known", self.records() as f64)
            .gauge("unreachable", "Machines that nobody heard of late", self.suspected.load().len() as f64)
            .gauge("control_heard_seconds", "Since a replica of the control plane answered", age(&self.heard))
            .gauge(
                "quorum_heard_seconds",
                "Since a replica that hears a majority answered",
                age(&self.settled),
            )
            .gauge("requests_inside", "Requests in hand", self.inside.load(Relaxed) as f64)
            .gauge("upstream_load", "Requests at the upstream or waiting there", self.inbound.load() as f64)
            .gauge("window_first_sends", "First sends in the budget's window", sum(|of| of.first))
            .gauge("window_retries", "Sent again in the budget's window", sum(|of| of.retried))
            .gauge("window_retries_refused", "Not sent again for want of budget", sum(|of| of.denied))
            .gauge("sessions", "Sessions held", sessions.held as f64)
            .counter("sessions_moved", "Sessions that came from another gate", sessions.moves)
            .counter("requests", "Requests answered", self.served.load(Relaxed))
            .into_response()
    }

    fn ready(&self) -> bool {
        !self.leaving.load(Relaxed)
            && !self.control_plane_silent()
            && self.configuration.load().is_some()
            && !held(&self.records).is_empty()
    }
}

/// A req inside; counted out however it ends.
pub struct RequestGuard(Arc<Node>);

impl RequestGuard {
    pub fn new(node: &Arc<Node>) -> RequestGuard {
        node.inside.fetch_add(1, Relaxed);
        RequestGuard(node.clone())
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.inside.fetch_sub(1, Relaxed);
    }
}

/// Descriptors for connections.
fn sockets(settings: &Settings) -> usize {
    settings.limits.file_descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(64) as usize
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
    let node = Node::new(settings, inbound, clock);
    let (door, sockets) = (node.inbound.clone(), sockets(&node.settings.load()));
    let (ajar, watch_ajar) = watch::channel(ListenerState::Open);
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
    let bounds = |callers: usize| ListenerLimits {
        max_connections: callers.max(16),
        header_timeout: Duration::from_secs(20),
    };
    let (Some(at_control), Some(at_ready), Some(at_outbound), Some(at_inbound)) =
        (listeners.pop(), listeners.pop(), listeners.pop(), listeners.pop())
    else {
        return ExitCode::FAILURE;
    };
    let count = || Arc::new(AtomicUsize::new(0));
    let doors = [
        tokio::spawn(listener::serve(at_inbound, clock, bounds(sockets / 4), watch_ajar.clone(), count(), {
            let (door, bodies) = (door.clone(), node.bodies.clone());
            move |received: ReceivedRequest| door.clone().handle_request(received, bodies.clone())
        })),
        tokio::spawn(listener::serve(
            at_outbound,
            clock,
            bounds(sockets / 3),
            watch_ajar.clone(),
            count(),
            {
                let node = node.clone();
                move |received: ReceivedRequest| {
                    let node = node.clone();
                    async move {
                        let inside = RequestGuard::new(&node);
                        outbound::handle_request(node.clone(), received)
                            .await
                            .map(|flow| flow.holding(inside))
                    }
                }
            },
        )),
    ];
    for (listener, control) in [(at_control, true), (at_ready, false)] {
        let (node, door, watch_ajar) = (node.clone(), door.clone(), watch_ajar.clone());
        tokio::spawn(listener::serve(
            listener,
            clock,
            bounds(sockets / 32),
            watch_ajar,
            count(),
            move |received: ReceivedRequest| {
                let (node, door) = (node.clone(), door.clone());
                async move {
                    match control {
                        true if received.request.uri().path() == metrics::PATH => node.metrics(),
                        true => door.handle_control_call(received).await,
                        false => ready_page(&node, &received),
                    }
                }
            },
        ));
    }
    door.serving.store(true, Relaxed);
    let many = (node.settings.load().fault_tolerance.machines + 1).max(2);
    for which in 0..many {
        tokio::spawn(control_plane_watch::run(node.clone(), which, many));
    }
    tokio::spawn(housekeeping(node.clone(), path));
    tokio::spawn(full_service(node.clone()));
    log::info!("attendant {} at {outbound}, door {inbound}", node.settings.load().node_name);
    let mut end = match signal(SignalKind::terminate()) {
        Ok(end) => end,
        Err(why) => {
            log::error!("no signals: {why}");
            return ExitCode::FAILURE;
        }
    };
    end.recv().await;
    log::info!("asked to end, {} reqs inside", node.inside.load(Relaxed) + door.requests_in_flight());
    // Clients are sent elsewhere, and whoever still comes is served. The door stays in use for a while longer: what
    // the upstream can do is lost to all from then on.
    let began = Instant::now();
    let grace = node.settings.load().bounds.shutdown_grace.saturating_sub(SHUTDOWN_MARGIN);
    node.start_draining(grace);
    ajar.send_replace(ListenerState::Draining);
    // Where clients come to the end, what they ask last still needs time.
    let last_call = grace.saturating_sub(CONNECTION_CLOSE_MARGIN);
    // Where its upstream has ended, this machine goes for good, and the platform may still send clients here when few
    // others of the zone are in: it stays for as long as it may.
    let linger = if door.upstream_signed_off() { last_call } else { MIN_DRAIN_TIME.min(last_call) };
    let busy = || node.inside.load(Relaxed) + door.requests_in_flight() > 0;
    while began.elapsed() < last_call && (began.elapsed() < linger || busy()) {
        if began.elapsed() + RECORD_PROPAGATION >= linger && door.serving.swap(false, Relaxed) {
            door.record_changed();
        }
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
    ajar.send_replace(ListenerState::Closed);
    let mut all = pin!(async {
        for door in doors {
            let _ = door.await;
        }
    });
    if timeout_at(began + grace, all.as_mut()).await.is_err() {
        node.abort_requests();
        let _ = timeout_at(began + grace + SHUTDOWN_MARGIN / 2, all).await;
    }
    log::info!("ended after {} ms, {} reqs served", began.elapsed().as_millis(), node.served.load(Relaxed));
    ExitCode::SUCCESS
}

fn ready_page(node: &Node, received: &ReceivedRequest) -> Response<ResponseBody> {
    match received.request.uri().path() {
        "/api/ready" if node.ready() => plain_response(200, "ready"),
        "/api/ready" => plain_response(503, "not ready"),
        _ => plain_response(404, "no such page here"),
    }
}

/// Ready, and there is an upstream to serve.
async fn full_service(node: Arc<Node>) {
    let full_ms =
        node.recovery_time.record_when(&node.clock, || node.ready() && node.inbound.knows_upstream()).await;
    let configuration = node.configuration.load().as_ref().map_or(0, |configuration| configuration.version);
    let records = held(&node.records).len();
    log::info!(
        "full service after {full_ms} ms: timetable r{configuration}, {records} attendants, an upstream"
    );
}

/// What is looked at now and then: idle connections, and the settings file, which may change without a signal.
async fn housekeeping(node: Arc<Node>, path: PathBuf) {
    let Ok(mut again) = signal(SignalKind::hangup()) else { return };
    let mut looked = Instant::now();
    loop {
        let told = tokio::select! {
            Some(()) = again.recv() => true,
            () = sleep(Duration::from_millis(1_000)) => false,
        };
        let now = node.clock.now();
        node.inbound.close_idle_connections();
        node.update_connection_limit();
        if let Some(configuration) = node.configuration.load_full() {
            held(&node.seats).remove_idle(now, &configuration.shares);
        }
        held(&node.lines).retain(|_, line| !line.sweep(now) || Arc::strong_count(line) > 1);
        if told || looked.elapsed() >= SETTINGS_RELOAD_INTERVAL {
            looked = Instant::now();
            match Settings::read(&path) {
                Ok(settings) => {
                    if settings.seeds != node.settings.load().seeds {
                        log::info!("settings: {} seeds", settings.seeds.len());
                    }
                    node.settings.store(Arc::new(settings));
                    let known = node.replicas.replicas();
                    node.set_replicas(known);
                }
                Err(why) => log::warn!("settings not taken: {why}"),
            }
        }
    }
}
