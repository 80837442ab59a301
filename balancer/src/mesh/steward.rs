//! The steward: one of the few that keep the operator's word, the list and the keys. It owns the order in which what
//! the core decided is written, sent and answered, the table of rows, and the operators' door. It must never send or
//! answer what depends on a write that is not safe on disk yet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use hyper::Response;
use ochreshed::{Name, Nanos};
use ochreshed_consensus::core::{Config, Core};
use ochreshed_consensus::messages::Revision;
use ochreshed_consensus::messages::{
    CoreRequest, CoreResponse, Effect, LeaseKey, LogRecord, Membership, Message, NamedRegister, RegisterValue,
};
use ochreshed_mesh::configuration::Configuration;
use ochreshed_mesh::configuration_update::{ConfigurationUpdate, UpdateCache};
use ochreshed_mesh::endpoints::TablePosition;
use ochreshed_mesh::retry_budget::{BudgetReport, BudgetReports};
use ochreshed_mesh::watch_server;
use ochreshed_storage::{Store, StoreError};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

use super::attendant::seeds;
use super::carry::Flow;
use super::docs;
use super::door::call_of;
use super::entry::{self, Ajar, Bad, Bounds, Came, json, say};
use super::full::{self, Full};
use super::members::{self, Members};
use super::metrics::{self, Figures};
use super::pages::{self, Facts, Query, Seen};
use super::report::{self, Gathered};
use super::session_calls;
use super::settings::{Settings, SettingsError};
use super::start;
use super::wire::{self, Callers, InternalRequest, InternalResponse, WatchRequest, WatchResponse};
use crate::clock::Clock;
use crate::link::held;

const MS: Nanos = 1_000_000;
/// Claims are kept for so much longer than the window in which a key runs once.
const KEEP_MORE: Duration = Duration::from_secs(20);
/// A voter of whom nothing was heard for so long may be replaced by another steward.
const LOST: Nanos = 5_000 * MS;
const LOOK: Duration = Duration::from_nanos(watch_server::SUSPECT_CHECK_INTERVAL);
/// An operator's call is answered within this.
pub(super) const OPERATOR: Duration = Duration::from_millis(2_500);
const UNSETTLED: Duration = Duration::from_millis(800);
/// A refused write is tried again after this.
const WRITE_AGAIN: Duration = Duration::from_millis(50);
/// Of one reply with papers.
const MOST_PAPERS: usize = 8 << 20;
const MOST_BODY: u64 = 32 << 20;
const EVENTS: usize = 16_384;
/// How long the end waits for what is held here to be on enough others; of `grace_s` at most this part is used.
const HAND_OVER: Duration = Duration::from_millis(5_000);
const HAND_OVER_OF_GRACE: f64 = 5.0 / 6.0;
const SETTINGS: Duration = Duration::from_secs(2);

enum Event {
    Message(Message),
    Want(CoreRequest, oneshot::Sender<CoreResponse>),
    Seeds(Vec<SocketAddr>),
    /// For an operator, with the key whose claim is wanted.
    Look(Option<LeaseKey>, oneshot::Sender<Seen>),
    Leaving,
}

/// What the core has come to, for readers.
#[derive(Clone, Default)]
pub(super) struct Stand {
    pub safe: Option<Arc<RegisterValue>>,
    pub stewards: Vec<SocketAddr>,
    pub settled: bool,
    pub papers: Arc<Safe>,
    view: Option<Membership>,
    voter: bool,
    gone: bool,
}

impl Stand {
    fn told(&self) -> watch_server::CommittedState<'_> {
        let safe = self.safe.as_ref().map(|sheet| sheet.revision());
        let papers = (self.papers.number, &*self.papers.all);
        watch_server::CommittedState {
            configuration: safe,
            replicas: &self.stewards,
            has_quorum: self.settled,
            registers: papers,
        }
    }
}

/// The papers that are safe.
#[derive(Default)]
pub(super) struct Safe {
    pub all: Vec<NamedRegister>,
    pub number: u64,
    /// Of the core, when they were taken from it.
    changes: u64,
}

pub(super) struct Office {
    pub clock: Clock,
    pub at: SocketAddr,
    pub settings: ArcSwap<Settings>,
    pub stand: ArcSwap<Stand>,
    pub members: Members,
    news: Mutex<watch_server::WatchServer>,
    /// What gates told of themselves.
    reports: Mutex<BudgetReports>,
    /// From the start to full service, in ms.
    full: Full,
    written: Arc<Written>,
    /// Goes up with whatever readers may wait for.
    changed: watch::Sender<u64>,
    events: mpsc::Sender<Event>,
    pub callers: Callers,
    parcels: UpdateCache,
    packing: tokio::sync::Mutex<()>,
}

impl Office {
    fn change(&self) {
        self.changed.send_modify(|number| *number += 1);
    }

    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Doors whose attendants were not heard of late.
    pub fn quiet_doors(&self) -> Vec<SocketAddr> {
        held(&self.news).suspects().to_vec()
    }

    pub async fn want(&self, want: CoreRequest, within: Duration) -> CoreResponse {
        let (reply, got) = oneshot::channel();
        if self.events.send(Event::Want(want, reply)).await.is_err() {
            return CoreResponse::Unavailable;
        }
        timeout(within, got).await.ok().and_then(Result::ok).unwrap_or(CoreResponse::Unavailable)
    }

    /// Answers what a process asks for news, at once if there are any, else when there are or its hold is over.
    async fn news(self: Arc<Self>, ask: WatchRequest) -> WatchResponse {
        let mut changed = self.changed.subscribe();
        let stand = self.stand.load_full();
        let (waiting, news) = held(&self.news).register(self.clock.now(), &ask, stand.told());
        if news {
            self.change();
        }
        let until = Instant::now() + Duration::from_nanos(waiting.hold);
        let door = ask.record.as_ref().map(|row| row.inbound_proxy).or(ask.inbound_proxy);
        if let (Some(door), Some(mut report)) = (door, ask.report) {
            report.outcomes = ask.outcomes;
            held(&self.reports).store(self.clock.now(), door, report, 0);
        }
        if let (Some(door), Some(carried)) = (door, ask.applied_editions) {
            self.members.carry(door, carried);
        }
        let told = || (held(&self.reports).collect(self.clock.now()), self.full.get().copied());
        let told = ask.reports_only.then(|| Box::new(told()));
        let beside = |(door, _, report): &(SocketAddr, u32, BudgetReport)| {
            (!report.outcomes.is_empty()).then(|| (*door, report.outcomes.clone()))
        };
        let members: Vec<_> = told.iter().flat_map(|told| told.0.iter().filter_map(beside)).collect();
        loop {
            changed.mark_unchanged();
            let stand = self.stand.load_full();
            let due = {
                let news = held(&self.news);
                let due = news
                    .due_at(&waiting, stand.told())
                    .map_or(until, |due| self.clock.instant(due).min(until));
                if Instant::now() >= due {
                    let reply = news.respond(self.clock.now(), waiting, stand.told(), told);
                    return WatchResponse { outcomes: members, ..reply };
                }
                due
            };
            let _ = tokio::time::timeout_at(due, changed.changed()).await;
        }
    }

    /// Takes what another steward holds.
    fn merge(&self, reply: &WatchResponse) {
        let news = held(&self.news).merge(self.clock.now(), reply);
        if news {
            self.change();
        }
    }

    /// The newest configuration, packed for who has that one. One is packed at a time: many ask for the same.
    async fn parcel(self: &Arc<Self>, have: Revision) -> Option<Arc<ConfigurationUpdate>> {
        let _one = self.packing.lock().await;
        let office = self.clone();
        tokio::task::spawn_blocking(move || office.parcels.newest(have)).await.ok()?
    }

    async fn answer(self: Arc<Self>, ask: InternalRequest) -> Option<InternalResponse> {
        match ask {
            InternalRequest::Watch(ask) => Some(InternalResponse::Watch(Box::new(self.news(ask).await))),
            InternalRequest::Core(want) => {
                Some(InternalResponse::Core(self.want(want, Duration::from_secs(5)).await))
            }
            InternalRequest::Configuration(have) => {
                Some(InternalResponse::Configuration(self.parcel(have).await))
            }
            InternalRequest::Registers(have) => {
                let stand = self.stand.load();
                Some(InternalResponse::Registers(docs::newer(stand.papers.all.iter(), &have, MOST_PAPERS)))
            }
            InternalRequest::AppliedEditions(member) => {
                Some(InternalResponse::AppliedEditions(self.members.nodes_of(&member)))
            }
            InternalRequest::ReplicaMessage(letter) if !letter.is_intact() => {
                log::warn!(
                    "a message of {} with content that its digest does not fit: dropped",
                    letter.from.address
                );
                None
            }
            InternalRequest::ReplicaMessage(letter) => {
                let _ = self.events.send(Event::Message(letter)).await;
                None
            }
        }
    }

    /// The operators' calls.
    async fn operator(self: Arc<Self>, came: Came, bodies: Arc<Semaphore>) -> Response<Flow> {
        if came.req.uri().path() == metrics::PATH {
            return self.metrics().await;
        }
        let (call, of) = call_of(came.req.uri());
        match call.as_str() {
            "timetable.replace" => match read_body(came, &bodies, self.clock).await {
                Ok(bytes) => self.replace(bytes).await,
                Err(bad) => bad,
            },
            call if call.starts_with("member") => members::call(self, call, of, came, bodies).await,
            "timetable.read" => match self.want(CoreRequest::ReadConfiguration, OPERATOR).await {
                CoreResponse::Register(Some(sheet)) => {
                    json(200, String::from_utf8_lossy(&sheet.bytes).into_owned())
                }
                CoreResponse::Register(None) => say(404, "no timetable was ever taken"),
                _ => say(503, "more than half of the core is not reached"),
            },
            "sessions.count" => {
                let (reply, seen) = oneshot::channel();
                let _ = self.events.send(Event::Look(None, reply)).await;
                match timeout(OPERATOR, seen).await {
                    Ok(Ok(seen)) => json(200, session_calls::counts(&seen.sessions)),
                    _ => say(503, "busy: ask again"),
                }
            }
            "sessions.show" | "sessions.move" | "sessions.forget" => {
                match session_calls::read(came.req.uri()) {
                    Ok(want) => match session_calls::told(&self.want(want, OPERATOR).await) {
                        (200, text) => json(200, text),
                        (status, line) => say(status, &line),
                    },
                    Err(why) => say(400, why),
                }
            }
            _ => match Query::read(came.req.uri()) {
                Ok(query) => self.page(query).await,
                Err(why) => say(why.status(), why.line()),
            },
        }
    }

    /// This replica's figures, for operators' tools.
    async fn metrics(&self) -> Response<Flow> {
        let (reply, seen) = oneshot::channel();
        let _ = self.events.send(Event::Look(None, reply)).await;
        let Ok(Ok(seen)) = timeout(OPERATOR, seen).await else { return say(503, "busy: ask again") };
        let members = seen.stewards.iter().filter(|known| known.member);
        let voters = members.clone().filter(|known| known.voter);
        let flag = |is: bool| f64::from(u8::from(is));
        let (open, unknown, done) = seen.keys;
        let (records, unreachable) = {
            let news = held(&self.news);
            (news.table.len(), news.suspects().len())
        };
        Figures::of("steward")
            .gauge("epoch", "Number of the membership", seen.view as f64)
            .gauge("members", "Members of the control plane", members.count() as f64)
            .gauge("voters", "Members that vote, as this one knows", voters.count() as f64)
            .gauge("quorum", "1 while a majority is heard", flag(seen.settled))
            .gauge(
                "configuration_version",
                "Newest that a majority holds",
                seen.safe.map_or(0, |safe| safe.version) as f64,
            )
            .gauge("leases_open", "Keys at work", open as f64)
            .gauge("leases_unknown", "Keys of unknown outcome", unknown as f64)
            .gauge("leases_done", "Keys with a kept outcome", done as f64)
            .gauge(
                "lease_oldest_open_seconds",
                "Age of the oldest key at work",
                seen.oldest_open.unwrap_or(0) as f64 / 1e9,
            )
            .gauge("kept_answer_bytes", "Bytes of kept answers", seen.answers.0 as f64)
            .gauge("sessions", "Sessions held", seen.sessions.sessions as f64)
            .gauge("endpoint_records", "Records of upstreams", records as f64)
            .gauge("unreachable", "Machines not heard of late", unreachable as f64)
            .counter("disk_writes", "Writes to the disk, each with a sync", self.written.writes.load(Relaxed))
            .counter("disk_records", "Records written", self.written.records.load(Relaxed))
            .page()
    }

    /// What the operators' client asks. A drain is answered once the upstream's row says that it was taken.
    async fn page(&self, query: Query) -> Response<Flow> {
        let until = Instant::now() + OPERATOR;
        loop {
            let (reply, seen) = oneshot::channel();
            let _ = self.events.send(Event::Look(query.key(), reply)).await;
            let Ok(Ok(seen)) = timeout(OPERATOR, seen).await else { return say(503, "busy: ask again") };
            let now = self.clock.now();
            let rows = query.pick(&held(&self.news).table, now);
            let mut facts = Facts {
                me: self.at,
                seen,
                rows,
                versions: Vec::new(),
                gathered: Gathered::default(),
                bounds: self.settings.load().bounds,
                written: (self.written.writes.load(Relaxed), self.written.records.load(Relaxed)),
            };
            if query.wants_reports() {
                facts.gathered = self.gather(now).await;
            }
            if let Some(dir) = self.settings.load().data_dir.clone().filter(|_| query.wants_disk()) {
                let read = tokio::task::spawn_blocking(move || pages::history(&dir));
                match timeout(OPERATOR, read).await {
                    Ok(Ok(Ok(versions))) => facts.versions = versions,
                    _ => return say(503, "the disk can't be read now"),
                }
            }
            let page = pages::answer(&query, &facts);
            match page.drain {
                Some((door, id)) if Instant::now() < until => {
                    if held(&self.news).table.drain(door, &id) {
                        self.change();
                    }
                    sleep(LOOK / 2).await;
                }
                _ if page.status == 200 => return json(200, page.text),
                _ => return say(page.status, &page.text),
            }
        }
    }

    /// What all gates told of themselves, here or to another steward.
    pub async fn gather(&self, now: Nanos) -> Gathered {
        let full = self.full.get().map(|full_ms| (self.at, *full_ms));
        let reports = held(&self.reports).clone();
        let own = Gathered { reports, full: full.into_iter().collect(), silent: Vec::new() };
        let others = self.stand.load().stewards.iter().copied().filter(|at| *at != self.at).collect();
        report::gather(&self.callers, others, now, own).await
    }

    async fn replace(&self, bytes: Vec<u8>) -> Response<Flow> {
        let version = match Configuration::read(&bytes) {
            Ok(timetable) => timetable.version,
            Err(why) => {
                log::info!("timetable refused: {} ({} errors)", why[0], why.len());
                let lines: Vec<String> = why.iter().map(ToString::to_string).collect();
                return say(400, &lines.join("\n"));
            }
        };
        let within = if self.stand.load().settled { OPERATOR } else { UNSETTLED };
        match self
            .want(CoreRequest::ReplaceConfiguration(Arc::new(RegisterValue::new(version, bytes))), within)
            .await
        {
            CoreResponse::Accepted => json(200, "{}".into()),
            CoreResponse::Conflict => say(409, "another configuration was taken under this edition"),
            _ => say(503, "not safe on more than half of the core yet: send it again"),
        }
    }
}

/// The body of an operator's call.
pub(super) async fn read_body(
    came: Came,
    bodies: &Arc<Semaphore>,
    clock: Clock,
) -> Result<Vec<u8>, Response<Flow>> {
    let bad = |Bad(status, line)| say(status, line);
    let (message, _room) =
        entry::message(came, bodies, clock, MOST_BODY, Duration::from_secs(10)).await.map_err(bad)?;
    entry::whole(message, MOST_BODY).await.map_err(bad)
}

pub fn run(path: Option<PathBuf>) -> Result<ExitCode, SettingsError> {
    let path = Settings::path(path)?;
    let settings = Settings::read(&path)?;
    settings.check_replica().map_err(SettingsError::Invalid)?;
    start::init_logging();
    Ok(start::block_on(serve(path, settings)))
}

async fn serve(path: PathBuf, settings: Settings) -> ExitCode {
    match open(path, settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            log::error!("{why}");
            ExitCode::FAILURE
        }
    }
}

/// Why a steward did not come up.
enum Failed {
    Socket(SocketAddr, std::io::Error),
    Disk(StoreError),
    Signals(std::io::Error),
}

impl std::fmt::Display for Failed {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Failed::Socket(at, why) => write!(f, "{at}: {why}"),
            Failed::Disk(why) => write!(f, "data folder: {why}"),
            Failed::Signals(why) => write!(f, "no signals: {why}"),
        }
    }
}

async fn open(path: PathBuf, settings: Settings) -> Result<(), Failed> {
    let clock = Clock::new();
    let at = SocketAddr::new(settings.ip, settings.internal_ports.first);
    let (Some(control), Some(dir)) = (settings.control_listen, settings.data_dir.clone()) else {
        return Ok(());
    };
    let (store, saved) = Store::open(&dir).map_err(Failed::Disk)?;
    store.found().iter().for_each(|line| log::warn!("disk: {line}"));
    log::info!("disk: {} bytes", store.bytes());
    let (events, mut coming) = mpsc::channel(EVENTS);
    let room = settings.limits.replica_capacity();
    let bodies = Arc::new(Semaphore::new(room.body_bytes));
    let config = Config {
        lease_ttl: (settings.bounds.idempotency_window + KEEP_MORE).as_nanos() as Nanos,
        member_timeout: LOST,
        target_members: 2 * settings.fault_tolerance.machines + 1,
        max_leases: room.leases,
        max_response_bytes: room.response_cache_bytes,
        tolerated_zone_losses: settings.fault_tolerance.zones,
        zone: settings.zone.clone(),
    };
    let mut out = Vec::new();
    let found = (saved.configuration.as_ref().map_or(0, |sheet| sheet.version), saved.leases.len());
    let core = Core::new(
        clock.now(),
        rand::random(),
        at,
        settings.bootstrap,
        &seeds(&settings),
        saved,
        config,
        &mut out,
    );
    log::info!("steward {} at {control}, found r{} and {} claims", settings.node_name, found.0, found.1);
    let office = Arc::new(Office {
        clock,
        at,
        stand: ArcSwap::default(),
        members: Members::default(),
        news: Mutex::new(watch_server::WatchServer::new(rand::random())),
        reports: Mutex::default(),
        full: Full::default(),
        written: Arc::default(),
        changed: watch::Sender::new(0),
        events: events.clone(),
        callers: Callers::default(),
        parcels: UpdateCache::default(),
        packing: tokio::sync::Mutex::default(),
        settings: ArcSwap::from_pointee(settings),
    });
    let inner = TcpListener::bind(at).await.map_err(|why| Failed::Socket(at, why))?;
    let outer = TcpListener::bind(control).await.map_err(|why| Failed::Socket(control, why))?;
    let (ajar, watch_ajar) = watch::channel(Ajar::Open);
    let bounds = Bounds { callers: 256, head: Duration::from_secs(20) };
    tokio::spawn(entry::keep(outer, clock, bounds, watch_ajar, Arc::default(), {
        let office = office.clone();
        move |came| office.clone().operator(came, bodies.clone())
    }));
    tokio::spawn(wire::answer(inner, {
        let office = office.clone();
        move |ask| office.clone().answer(ask)
    }));
    tokio::spawn(watch_table(office.clone()));
    tokio::spawn(ask_others(office.clone()));
    tokio::spawn(reread(office.clone(), path));
    tokio::spawn(full_service(office.clone()));
    tokio::spawn(members::duty(office.clone()));
    let mut end = signal(SignalKind::terminate()).map_err(Failed::Signals)?;
    let disk = disk(store, events.clone(), office.written.clone());
    let found = core.registers().filter_map(|paper| Some((paper.name, paper.stored?.revision()))).collect();
    let (office_of, calls) = (office.clone(), HashMap::new());
    let work = Work { office: office_of, core, disk, calls, next: 1, found, unsafe_writes: 0 };
    let work = tokio::spawn(async move { work.go(&mut coming, out).await });
    end.recv().await;
    log::info!("asked to end");
    let _ = events.send(Event::Leaving).await;
    let began = Instant::now();
    let hand_over = HAND_OVER.min(office.settings.load().bounds.shutdown_grace.mul_f64(HAND_OVER_OF_GRACE));
    while began.elapsed() < hand_over && !office.stand.load().gone {
        sleep(LOOK / 4).await;
    }
    ajar.send_replace(Ajar::Closed);
    sleep(Duration::from_millis(100)).await;
    work.abort();
    log::info!("ended after {} ms", began.elapsed().as_millis());
    Ok(())
}

/// What goes to the disk's thread, in order: records, and what is sent once they are safe.
struct Batch {
    records: Vec<LogRecord>,
    sends: Vec<(SocketAddr, Message)>,
}

enum Back {
    /// Of how many batches, and what is sent now that they are safe.
    Sends(usize, Vec<(SocketAddr, Message)>),
}

/// What went to disk since the start: writes, each made safe by itself, and the records in them.
#[derive(Default)]
struct Written {
    writes: AtomicU64,
    records: AtomicU64,
}

struct Disk {
    to: std::sync::mpsc::Sender<Batch>,
    back: mpsc::UnboundedReceiver<Back>,
}

/// One thread writes, and takes all that waits as one write.
fn disk(mut store: Store, _events: mpsc::Sender<Event>, written: Arc<Written>) -> Disk {
    let (to, batches) = std::sync::mpsc::channel::<Batch>();
    let (tell, back) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        while let Ok(first) = batches.recv() {
            let Batch { mut records, mut sends } = first;
            let mut count = 1;
            while let Ok(more) = batches.try_recv() {
                records.extend(more.records);
                sends.extend(more.sends);
                count += 1;
            }
            let mut failed = 0;
            while !records.is_empty() {
                match store.write(&records) {
                    Ok(()) => {
                        written.writes.fetch_add(1, Relaxed);
                        written.records.fetch_add(records.len() as u64, Relaxed);
                        break;
                    }
                    Err(why) => {
                        if failed == 0 {
                            log::warn!("disk: {why}; tried again until it is safe");
                        }
                        failed += 1;
                        std::thread::sleep(WRITE_AGAIN);
                    }
                }
            }
            if failed > 0 {
                log::info!("disk: written after {failed} failures");
            }
            if tell.send(Back::Sends(count, sends)).is_err() {
                return;
            }
        }
    });
    Disk { to, back }
}

/// The core at work.
struct Work {
    office: Arc<Office>,
    core: Core,
    disk: Disk,
    calls: HashMap<u64, oneshot::Sender<CoreResponse>>,
    next: u64,
    /// The papers that this disk held at the start: better than none until it is known which are safe.
    found: HashMap<Name, Revision>,
    /// Batches that the disk has not brought back.
    unsafe_writes: usize,
}

impl Work {
    async fn go(mut self, coming: &mut mpsc::Receiver<Event>, mut out: Vec<Effect>) {
        let mut many = Vec::new();
        let mut wake = self.office.clock.now();
        loop {
            let now = self.office.clock.now();
            let ticks = now >= wake;
            if ticks {
                wake = self.core.tick(now, &mut out);
            }
            self.core.flush(&mut out);
            self.carry_out(&mut out);
            self.publish(now, ticks);
            let at = self.office.clock.instant(wake);
            tokio::select! {
                biased;
                Some(Back::Sends(count, sends)) = self.disk.back.recv() => {
                    self.unsafe_writes -= count;
                    self.send(sends, &mut out);
                }
                count = coming.recv_many(&mut many, 256) => {
                    if count == 0 {
                        return;
                    }
                    let now = self.office.clock.now();
                    for event in many.drain(..) {
                        self.take(now, event, &mut out);
                    }
                }
                () = tokio::time::sleep_until(at) => {}
            }
        }
    }

    fn take(&mut self, now: Nanos, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Message(letter) => self.core.handle_message(now, letter, out),
            Event::Want(want, reply) => {
                self.next += 1;
                self.calls.insert(self.next, reply);
                self.core.handle_request(now, self.next, want, out);
                if self.next.is_multiple_of(64) {
                    let gone: Vec<u64> = self
                        .calls
                        .iter()
                        .filter(|(_, reply)| reply.is_closed())
                        .map(|(call, _)| *call)
                        .collect();
                    for call in gone {
                        self.calls.remove(&call);
                        self.core.cancel_request(call);
                    }
                }
            }
            Event::Seeds(seeds) => self.core.set_seeds(&seeds),
            Event::Look(key, reply) => {
                let _ = reply.send(Seen::of(&self.core, now, key));
            }
            Event::Leaving => self.core.announce_departure(now, out),
        }
    }

    fn carry_out(&mut self, out: &mut Vec<Effect>) {
        let mut batch = Batch { records: Vec::new(), sends: Vec::new() };
        for act in out.drain(..) {
            match act {
                Effect::Persist(record) => batch.records.push(record),
                Effect::SendAfterPersist(to, letter) => batch.sends.push((to, letter)),
                Effect::SendNow(to, letter) => self.office.callers.to(to).post(letter),
                Effect::Respond { call, response: got } => {
                    if let Some(reply) = self.calls.remove(&call) {
                        let _ = reply.send(got);
                    }
                }
                Effect::Log(line) => log::info!("core: {line}"),
            }
        }
        if batch.records.is_empty() && self.unsafe_writes == 0 {
            let mut more = Vec::new();
            self.send(batch.sends, &mut more);
            if !more.is_empty() {
                self.core.flush(&mut more);
                self.carry_out(&mut more);
            }
        } else if !(batch.records.is_empty() && batch.sends.is_empty()) {
            self.unsafe_writes += 1;
            // The thread lives as long as this does.
            let _ = self.disk.to.send(batch);
        }
    }

    fn send(&mut self, sends: Vec<(SocketAddr, Message)>, out: &mut Vec<Effect>) {
        let now = self.office.clock.now();
        for (to, letter) in sends {
            if to == self.office.at {
                self.core.handle_message(now, letter, out);
            } else {
                self.office.callers.to(to).post(letter);
            }
        }
    }

    /// Readers are told what has changed. Who is there changes with time: that is looked at with each tick.
    fn publish(&self, now: Nanos, ticks: bool) {
        let was = self.office.stand.load();
        // After a start the newest one held here is better than none: who else holds it is known once more than half are
        // heard. Guards against attendants that come back before the core and have nothing to go by.
        let safe = self.core.committed_configuration().or(self.core.stored_configuration());
        let same = was.safe.as_ref().map(|sheet| sheet.revision()) == safe.map(|sheet| sheet.revision())
            && was.view.as_ref() == Some(self.core.membership())
            && was.voter == self.core.is_voting()
            && was.papers.changes == self.core.register_changes();
        if same && !ticks {
            return;
        }
        let same = same && was.settled == self.core.has_quorum(now) && was.gone == self.core.may_stop();
        let stewards = {
            let mut stewards = self.core.replica_addresses();
            stewards.sort();
            stewards
        };
        if same && was.stewards == stewards {
            return;
        }
        let papers = self.papers(&was.papers);
        let news = was.papers.number != papers.number
            || was.stewards != stewards
            || was.safe.as_ref().map(|sheet| sheet.revision()) != safe.map(|s| s.revision());
        safe.into_iter().for_each(|safe| self.office.parcels.note(safe));
        self.office.stand.store(Arc::new(Stand {
            safe: safe.cloned(),
            stewards,
            settled: self.core.has_quorum(now),
            papers,
            view: Some(self.core.membership().clone()),
            voter: self.core.is_voting(),
            gone: self.core.may_stop(),
        }));
        if news {
            self.office.change();
        }
    }
}

impl Work {
    /// The papers that readers go by: those that are safe. After a start, and until it is known which are, those found
    /// on this disk.
    fn papers(&self, was: &Arc<Safe>) -> Arc<Safe> {
        let changes = self.core.register_changes();
        if was.changes == changes {
            return was.clone();
        }
        let all = self.core.registers().filter_map(|paper| {
            let found = paper.stored.filter(|held| self.found.get(&paper.name) == Some(&held.revision()));
            Some(NamedRegister { name: paper.name, value: paper.committed.or(found)? })
        });
        let all: Vec<NamedRegister> = all.collect();
        let number = docs::number(all.iter().map(|paper| (&*paper.name, paper.value.revision())));
        Arc::new(Safe { all, number, changes })
    }
}

/// Tells who has fallen quiet.
async fn watch_table(office: Arc<Office>) {
    // At its start a steward has heard nobody, which says nothing of them.
    sleep(Duration::from_nanos(watch_server::SUSPECT_AFTER)).await;
    loop {
        sleep(LOOK).await;
        let quiet = {
            let mut news = held(&office.news);
            held(&office.reports).retain(|door| news.table.record(door).is_some());
            office.members.keep(|door| news.table.record(door).is_some());
            news.update_suspects(office.clock.now())
        };
        if let Some(quiet) = quiet {
            log::info!("quiet: {quiet}");
            office.change();
        }
    }
}

/// Asks every other steward for its rows.
async fn ask_others(office: Arc<Office>) {
    let mut asked: HashMap<SocketAddr, tokio::task::JoinHandle<()>> = HashMap::new();
    loop {
        let stewards = office.stand.load().stewards.clone();
        asked.retain(|at, task| {
            let stays = stewards.contains(at);
            if !stays {
                task.abort();
            }
            stays
        });
        for at in stewards.into_iter().filter(|at| *at != office.at) {
            asked.entry(at).or_insert_with(|| tokio::spawn(ask_one(office.clone(), at)));
        }
        sleep(LOOK).await;
    }
}

async fn ask_one(office: Arc<Office>, at: SocketAddr) {
    let mut mark = TablePosition::default();
    loop {
        let ask = InternalRequest::Watch(watch_server::replica_watch_request(mark));
        match office
            .callers
            .to(at)
            .call(ask, Duration::from_nanos(watch_server::REPLICA_MAX_WAIT + watch_server::RESPONSE_GRACE))
            .await
        {
            Ok(InternalResponse::Watch(reply)) => {
                mark = reply.position;
                office.merge(&reply);
                // Many small changes go together.
                let gather = held(&office.news).replica_watch_interval();
                sleep(Duration::from_nanos(gather)).await;
            }
            _ => sleep(Duration::from_nanos(watch_server::RETRY_INTERVAL)).await,
        }
    }
}

/// It votes, and more than half of its view is heard. A spare comes to it when it is voted in.
async fn full_service(office: Arc<Office>) {
    let is = || {
        let stand = office.stand.load();
        stand.voter && stand.settled
    };
    let full_ms = full::within(&office.clock, &office.full, is).await;
    let stand = office.stand.load();
    let (view, safe) = (stand.view.as_ref(), stand.safe.as_ref());
    let (view, safe) = (view.map_or(0, |view| view.epoch), safe.map_or(0, |sheet| sheet.version));
    log::info!("full service after {full_ms} ms: votes in view {view}, r{safe}");
}

/// The settings file may change, with a signal or without.
async fn reread(office: Arc<Office>, path: PathBuf) {
    let Ok(mut again) = signal(SignalKind::hangup()) else { return };
    loop {
        tokio::select! {
            _ = again.recv() => {}
            () = sleep(SETTINGS) => {}
        }
        match Settings::read(&path) {
            Ok(settings) => {
                if settings.seeds != office.settings.load().seeds {
                    log::info!("settings: {} seeds", settings.seeds.len());
                    let _ = office.events.send(Event::Seeds(seeds(&settings))).await;
                }
                office.settings.store(Arc::new(settings));
            }
            Err(why) => log::warn!("settings not taken: {why}"),
        }
    }
}
