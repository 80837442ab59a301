//! The program's life, from start to exit, as named states of one object. It owns the order in which things
//! start and end, and must never skip a state or go back to one.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

use ochreshed::{Balancer, Facts, Name, Nanos, Value, list as facts_list, span, text};
use ochreshed_recovery::begin::Source;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::task::spawn_blocking;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use crate::address_sharing::AddressSharing;
use crate::clock::Clock;
use crate::decisions::{Actor, Decisions, Mail};
use crate::fleet::{self, config::FleetConfig};
use crate::metrics::Metrics;
use crate::start::StartFacts;
use crate::{client_listener, list, operator_api, peer};

const S: Nanos = 1_000_000_000;
/// After the wish to stop, callers still come for a while, and those that are in go on asking. The door stays open
/// for this long, or for a part of the longest client timeout where that is more, and closes once nobody has come
/// for `QUIET`, at most so much later. Guards against callers left with nobody to ask: another balancer may be down
/// just now, and a connection that we end can't be opened again elsewhere.
const DOOR_OPEN: Nanos = S * 7 / 10;
const DOOR_OPEN_PART: f64 = 0.6;
const QUIET: Nanos = S * 4 / 10;
const DOOR_MORE: Nanos = S / 5;
/// What is taken is answered within its client timeout, and not waited for beyond this. Then it is aborted, and a
/// little later the program ends.
const LONGEST: Nanos = 3 * S;
const LAST_ANSWERS: Nanos = S * 3 / 10;
const LITTLE: Nanos = S / 2;
/// How long a process that starts beside another waits for a first fresh list, and how often it looks for the
/// other's end.
const FIRST_LIST: Duration = Duration::from_secs(3);
const LOOK: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Nothing is taken yet.
    Starting,
    Serving,
    /// Asked to stop: no longer healthy, but whoever still comes is served.
    Leaving,
    /// The door is closed; what was taken is answered, and each answer ends its connection.
    Closing,
    /// What still has no answer is aborted.
    Ending,
    Over,
}

/// The phase that the program is in, and what the change to the next one goes by.
#[derive(Clone)]
pub struct Life {
    phase: watch::Sender<Phase>,
    /// Clients are sent away: a state beside the phases, entered and left any number of times while it serves.
    away: watch::Sender<bool>,
    last_came: Arc<AtomicU64>,
    /// Another process has taken over the address: no new connection is let in here.
    handed: Arc<AtomicBool>,
}

impl Life {
    fn new() -> Life {
        Life {
            phase: watch::Sender::new(Phase::Starting),
            away: watch::Sender::new(false),
            last_came: Arc::default(),
            handed: Arc::default(),
        }
    }

    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Whether another process serves the clients' address now.
    pub fn handed(&self) -> bool {
        self.handed.load(Relaxed)
    }

    /// Whether an answer ends its connection.
    pub fn closes(&self) -> bool {
        self.phase() >= Phase::Closing || self.handed() || self.away()
    }

    /// Whether the clients' address is served: by another process, once that has taken it over.
    pub fn healthy(&self) -> bool {
        self.handed() || self.phase() == Phase::Serving && !self.away()
    }

    pub fn away(&self) -> bool {
        *self.away.borrow()
    }

    /// Sends clients away, or welcomes them again; not before it serves, nor once it was asked to stop.
    pub fn send_away(&self, away: bool) -> bool {
        let serving = self.phase() == Phase::Serving;
        let changes = |now: &mut bool| std::mem::replace(now, away) != away;
        if serving && self.away.send_if_modified(changes) {
            info!("{}", if away { "clients are sent away" } else { "clients are welcome again" });
        }
        serving
    }

    /// Follows whether clients are sent away.
    pub fn aways(&self) -> watch::Receiver<bool> {
        self.away.subscribe()
    }

    /// Notes that a caller has come.
    pub fn came(&self, now: Nanos) {
        self.last_came.store(now, Relaxed);
    }

    pub async fn reached(&self, phase: Phase) {
        // It holds a sender itself, so the channel stays open.
        let _ = self.phase.subscribe().wait_for(|now| *now >= phase).await;
    }

    fn enter(&self, phase: Phase) {
        debug_assert!(phase > self.phase());
        self.phase.send_replace(phase);
        info!("{phase:?}");
    }

    /// Returns when nobody comes any more.
    async fn quiet(&self, clock: Clock, longest: Nanos) {
        let open = clock.now() + DOOR_OPEN.max((longest as f64 * DOOR_OPEN_PART) as Nanos);
        loop {
            let until = (self.last_came.load(Relaxed) + QUIET).clamp(open, open + DOOR_MORE);
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
    let (clock, life) = (Clock::new(), Life::new());
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
    let hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
    let folder = std::env::var_os("TMPDIR").map(PathBuf::from);
    let address_sharing = Arc::new(AddressSharing::register(folder.as_deref(), start.listen));
    let others = address_sharing.count_others();
    let holds = Holds::new(&start, 1 + others);
    if others > 0 {
        info!("{others} beside this one at {}: until they end, a part of the limits each", start.listen);
    }
    // Room for each caller's req and its leaving, and for what peers and the list tell.
    let (mail, mailbox) = mpsc::channel(2 * start.most_in + start.most_out + 64);
    let (mut known, mut given) = (None, None);
    if !start.known.is_null() {
        let (generation, whole, entries) = list::read(&start.known).map_err(|why| format!("known: {why}"))?;
        // It was read as a number.
        given = Some((generation.parse().unwrap_or(0), whole, entries));
        known = Some(generation);
    }
    let rule_sets: Arc<[Name]> =
        facts_list(&start.facts, "rule_sets").iter().map(|set| text(set, "name").into()).collect();
    let metrics = Metrics::new(rule_sets.iter().cloned());
    let mut fleet = match fleet {
        None => None,
        Some(file) => {
            let (name, zone) = (&start.name, text(&start.facts, "site"));
            let given = given.take().map(|(version, _, entries)| (version, entries));
            let began = fleet::Began { seed: start.seed, others, given, metrics: metrics.clone() };
            Some(fleet::start(file, name, zone, began, (clock, life.clone()), mail.clone()).await?)
        }
    };
    // Where instances speak with each other, news of the list goes by the actor that does.
    let news = fleet.as_ref().map_or(&mail, |fleet| &fleet.news).clone();
    let first = match &mut fleet {
        Some(fleet) => {
            if fleet.first.0 == Source::Snapshot {
                // Changes since the facts' list say nothing of one that is of another count: the whole is asked for.
                known = None;
            }
            let entries = std::mem::take(&mut fleet.first.1);
            (fleet.first.0 != Source::Nothing).then_some((true, entries))
        }
        None => given.map(|(_, whole, entries)| (whole, entries)),
    };
    if let Some((whole, entries)) = first {
        let first = Mail::List { whole, old: true, version: 0, entries };
        news.try_send(first).map_err(|e| e.to_string())?;
    }
    let listed = list::start(start.discovery, clock, list::wait(&start.facts), known, news);
    // Where the list doesn't wait to be asked by the module, a watch stands from the start.
    if others > 0 {
        listed.try_send(list::Mail::Fetch).map_err(|e| e.to_string())?;
    } else if text(&start.facts, "list_mode") != "ask" {
        listed.try_send(list::Mail::Watch).map_err(|e| e.to_string())?;
    }
    if !start.unused.is_empty() {
        info!("allowed and not used: {}", start.unused.join(", "));
    }
    let longest = facts_list(&start.facts, "rule_sets").iter().map(|set| span(set, "client_timeout", S));
    let longest = longest.max().unwrap_or(LONGEST).min(LONGEST);
    let common = peer::Common {
        metrics: metrics.clone(),
        clock,
        decisions: mail.clone(),
        sockets: holds.sockets.clone(),
        reuse: Arc::default(),
        large: holds.large.clone(),
        spare: start.most_out / 4,
        connect_timeout: Duration::from_nanos(span(&start.facts, "connect_timeout", S)),
        idle: span(&start.facts, "connection_idle", 10 * S),
    };
    tokio::spawn(read_again(hangup, start.file, start.discovery, listed.clone()));
    let told = fleet.as_ref().map(|fleet| (fleet.confirmed.clone(), fleet.wait));
    let (fleet, evidence) = fleet.map(|fleet| (fleet.pages, fleet.evidence)).unzip();
    let operator_api = operator_api::OperatorApi { life: life.clone(), metrics: metrics.clone(), fleet };
    if let Some(address) = start.operator {
        let door = operator_api::bind(address)?;
        let address = door.local_addr().map_err(|e| e.to_string())?;
        operator_api::spawn(door, operator_api)?;
        info!("{} answers operators on {address}", start.name);
    }
    let bounds = client_listener::AdmissionLimits {
        max_connections: holds.callers.clone(),
        body_memory: holds.bodies.clone(),
        rule_sets,
        headers: start.headers,
        metrics: metrics.clone(),
    };
    let once = |set: &&Facts| text(set, "effect") == "non-replayable";
    let once = facts_list(&start.facts, "rule_sets").iter().filter(once).map(|set| text(set, "name").into());
    let once = once.collect();
    let mut facts = start.facts;
    facts.insert("connections".into(), Value::Number(start.most_out as f64));
    let balancer = Balancer::new(clock.now(), start.seed, facts);
    let (fresh, news) = oneshot::channel();
    let actor = Actor::new(balancer, once, common, listed, fresh, evidence);
    let mut actor = tokio::spawn(actor.run(mailbox));
    if others > 0 {
        // What it was told of the list may be old, and nobody waits for it yet.
        let _ = timeout(FIRST_LIST, news).await;
    }
    if let Some((mut told, wait)) = told {
        // Others may know what the list is too old for; no longer than that is worth.
        let _ = timeout(wait, told.wait_for(|told| *told)).await;
    }
    let listener = address_sharing.listen(start.listen).and_then(|listener| {
        let address = listener.local_addr()?;
        Ok((TcpListener::from_std(listener)?, address))
    });
    let (listener, address) = listener.map_err(|e| format!("can't listen on {}: {e}", start.listen))?;
    info!("{} on {address}", start.name);
    let door = client_listener::ClientListener::new(clock, life.clone(), Decisions::new(mail), bounds);
    let mut door = tokio::spawn(door.run(listener));

    life.enter(Phase::Serving);
    let widening = (others > 0).then(|| tokio::spawn(holds.clone().widen(address_sharing.clone())));
    let ended = || Err("the module's actor has ended".to_owned());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        _ = &mut actor => return ended(),
        _ = &mut door => return Err("the door's keeper has ended".to_owned()),
    }
    if address_sharing.count_others() > 0 {
        info!("another process has taken over: nobody new is let in here");
        life.handed.store(true, Relaxed);
        // One that still holds a part only, for it never was alone, has no more to give back.
        match widening.filter(|widening| !widening.is_finished()) {
            Some(widening) => widening.abort(),
            None => holds.halve(),
        }
    }
    life.enter(Phase::Leaving);
    let asked = clock.now();
    tokio::select! {
        () = life.quiet(clock, longest) => {}
        _ = &mut door, if life.handed() => {}
        _ = &mut actor => return ended(),
    }
    for (phase, until) in [(Phase::Closing, LAST_ANSWERS), (Phase::Ending, LITTLE)] {
        life.enter(phase);
        if door.is_finished() {
            continue;
        }
        let left = (asked + longest + until).saturating_sub(clock.now());
        tokio::select! {
            _ = timeout(Duration::from_nanos(left), &mut door) => {}
            _ = &mut actor => return ended(),
        }
    }
    life.enter(Phase::Over);
    Ok(ExitCode::SUCCESS)
}

/// What this process may hold of the limits. While there are two processes at the address, each holds a part of what
/// one may hold alone.
#[derive(Clone)]
struct Holds {
    most_in: usize,
    most_out: usize,
    most_bodies: usize,
    part: usize,
    callers: Arc<AtomicUsize>,
    sockets: Arc<Semaphore>,
    bodies: Arc<Semaphore>,
    large: Arc<Semaphore>,
}

impl Holds {
    fn new(start: &StartFacts, part: usize) -> Holds {
        let &StartFacts { most_in, most_out, most_bodies, .. } = start;
        let room = |all: usize| Arc::new(Semaphore::new(all.div_ceil(part)));
        let callers = Arc::new(most_in.div_ceil(part).into());
        let (sockets, bodies, large) = (room(most_out), room(most_bodies), room(most_bodies));
        Holds { most_in, most_out, most_bodies, part, callers, sockets, bodies, large }
    }

    /// What it holds beyond its part goes back as it is let go.
    fn halve(&self) {
        self.callers.store(self.most_in.div_ceil(2), Relaxed);
        for (room, all) in [
            (&self.sockets, self.most_out),
            (&self.bodies, self.most_bodies),
            (&self.large, self.most_bodies),
        ] {
            let (room, half) = (room.clone(), (all / 2) as u32);
            tokio::spawn(async move {
                // Nobody closes it.
                if let Ok(held) = room.acquire_many_owned(half).await {
                    held.forget();
                }
            });
        }
    }

    /// Takes all again once nobody else is left.
    async fn widen(self, address_sharing: Arc<AddressSharing>) {
        loop {
            let address_sharing = address_sharing.clone();
            // The files are looked at beside the thread that reqs go through.
            if spawn_blocking(move || address_sharing.count_others()).await.is_ok_and(|others| others == 0) {
                break;
            }
            sleep(LOOK).await;
        }
        self.callers.store(self.most_in, Relaxed);
        for (room, all) in [
            (&self.sockets, self.most_out),
            (&self.bodies, self.most_bodies),
            (&self.large, self.most_bodies),
        ] {
            room.add_permits(all - all.div_ceil(self.part));
        }
        info!("alone at its address: all of the limits again");
    }
}

/// On each SIGHUP the facts are read again, and the list moves to where discovery answers now; all else that they
/// say holds from the start. Guards against SIGHUP's own way, which ends the program.
async fn read_again(
    mut hangup: Signal,
    file: PathBuf,
    mut discovery: SocketAddr,
    list: mpsc::Sender<list::Mail>,
) {
    while hangup.recv().await.is_some() {
        let file = file.clone();
        let read = spawn_blocking(move || StartFacts::read(&file)).await;
        match read.map_err(|e| e.to_string()).and_then(|read| read) {
            Ok(facts) if facts.discovery == discovery => info!("facts read again: nothing has moved"),
            Ok(facts) => {
                info!("facts read again: discovery moves from {discovery} to {}", facts.discovery);
                discovery = facts.discovery;
                if list.send(list::Mail::Move(discovery)).await.is_err() {
                    return;
                }
            }
            Err(why) => warn!("facts stay as they were: {why}"),
        }
    }
}
