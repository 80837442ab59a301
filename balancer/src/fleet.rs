//! The actor between the instances of a fleet: the one that owns the sockets they speak by. It carries what the machine of
//! `gossip/` says, tells the module's actor of drains and departures that others heard of first and of what they count, and
//! must never decide anything, hold up a list, or believe bytes. It exists only where the operator's own file names it
//! (`serve --fleet`).

pub mod config;
mod meeting;
pub mod page;
pub mod snapshot_store;

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use ochreshed::{How, Nanos};
use ochreshed_gossip::known::{Known, to_word};
use ochreshed_gossip::peer::{Output, Peer, Settings};
use ochreshed_membership::swim::{Config, To};
use ochreshed_membership::wire::MOST;
use ochreshed_recovery::begin::{self, First, Given, Source};
use ochreshed_recovery::snapshot::{self, Snapshot};
use ochreshed_recovery::start::{self, Knows, Start};
use ochreshed_replica::rows::Counts;
use ochreshed_replica::words;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};
use tracing::{info, warn};

use crate::clock::Clock;
use crate::decisions::{Evidence, Mail};
use crate::list::Entry;
use crate::metrics::Metrics;
use crate::phases::{Life, Phase};
use config::FleetConfig;
use snapshot_store::SnapshotStore;

const S: Nanos = 1_000_000_000;
/// A line a minute about what could not be read.
const SAY_EVERY: Nanos = 60 * S;
const SHOW_EVERY: Nanos = S / 2;
/// What the module's actor has counted is taken over so often.
const COUNT_EVERY: Nanos = S / 10;
const MAILBOX: usize = 64;
/// A snapshot follows what has changed by so much, and a part of it by chance: those that hear the same don't write
/// together.
const KEEP_AFTER: Nanos = S / 10;
/// The process that this one takes over from has the port a little longer.
const BIND_EVERY: Duration = Duration::from_millis(100);

/// What the rest of the program holds of it: where the list's news goes, and pages for operators.
pub struct Door {
    pub news: mpsc::Sender<Mail>,
    pub pages: Pages,
    /// Where the module's actor puts what the others are to be told.
    pub evidence: Evidence,
    /// The list to begin with, and where it is from.
    pub first: (Source, Vec<Entry>),
    /// Others have told what they know; and how long a start may wait for that.
    pub confirmed: watch::Receiver<bool>,
    pub wait: Duration,
}

/// The page of what is held, and metrics.
#[derive(Clone)]
pub struct Pages(watch::Receiver<Shown>);

type Shown = (String, Vec<(&'static str, u64, &'static str)>);

impl Pages {
    pub fn page(&self) -> String {
        self.0.borrow().0.clone()
    }

    pub fn metrics(&self) -> Vec<(&'static str, u64, &'static str)> {
        self.0.borrow().1.clone()
    }
}

/// What others reach this instance at.
struct Sockets {
    udp: UdpSocket,
    /// Takes in meetings.
    keeper: AbortHandle,
}

impl Drop for Sockets {
    fn drop(&mut self) {
        self.keeper.abort();
    }
}

struct Fleet {
    file: FleetConfig,
    clock: Clock,
    /// None while another process of this instance has the port, and once one has taken over.
    sockets: Option<Sockets>,
    peer: Peer,
    known: Known<SocketAddr>,
    decisions: mpsc::Sender<Mail>,
    desk: mpsc::Sender<meeting::Mail>,
    counts: page::Counts,
    show_at: Nanos,
    count_at: Nanos,
    say_at: Nanos,
    said: u64,
    pages: watch::Sender<Shown>,
    evidence: Evidence,
    keep: Option<SnapshotStore>,
    /// When the next snapshot is due, if anything has changed since the last; and its number.
    keep_at: Option<Nanos>,
    kept: u64,
    spread: Nanos,
    start: Start,
    metrics: Arc<Metrics>,
    /// Reqs that had ended when that was looked at last, and those of them that were lost.
    ends: (u64, u64),
    confirmed: watch::Sender<bool>,
}

/// What the program knows when it starts.
pub struct Began {
    pub seed: u64,
    /// Other processes at the clients' address.
    pub others: usize,
    /// The list in the start facts, with discovery's version.
    pub given: Option<(u64, Vec<Entry>)>,
    pub metrics: Arc<Metrics>,
}

/// Starts it before the module's actor: what the list tells goes through it, changed by nothing but what others heard of
/// later lists. Where another process of this instance may still have the port it is waited for, else it has to be free.
pub async fn start(
    file: FleetConfig,
    name: &str,
    zone: &str,
    began: Began,
    (clock, life): (Clock, Life),
    decisions: mpsc::Sender<Mail>,
) -> Result<Door, String> {
    let Began { seed, others, given, metrics } = began;
    let (desk, meetings) = mpsc::channel(MAILBOX);
    let sockets = match open(file.listen, &desk).await {
        Ok(sockets) => Some(sockets),
        Err(_) if others > 0 => {
            info!("fleet: {} is taken; waited for", file.listen);
            None
        }
        Err(e) => return Err(format!("can't speak with the fleet on {}: {e}", file.listen)),
    };
    let now = clock.now();
    let keep = file.snapshots.as_deref().map(SnapshotStore::new);
    let unix = unix_nanos();
    let snapshot = keep.as_ref().and_then(|keep| keep.read(&file.fleet, name, unix));
    let age = snapshot.as_ref().map(|snapshot| unix.saturating_sub(snapshot.written));
    let version = given.as_ref().map(|(version, _)| *version);
    let given = given.map(|(version, entries)| Given { version, entries });
    let first: First<SocketAddr> = begin::first(given, snapshot.as_ref(), age.unwrap_or(0));
    if let Some(age) = age {
        let First { source, entries, gone, drain } = &first;
        info!(
            "snapshot {} s old: begins with {} srvs by {source:?}, {gone} left out as gone, {drain} avoided",
            age / S,
            entries.len()
        );
    }
    let wait = start::wait(age, !file.seeds.is_empty());
    let settings = Settings {
        fleet: file.fleet.clone(),
        name: name.into(),
        address: file.listen,
        zone: zone.into(),
        // Another process under this name has another start: by its time and its number, over the facts' seed.
        start: seed ^ (std::process::id() as u64).rotate_left(40) ^ unix_nanos(),
        seeds: file.seeds.clone(),
        membership: Config::default(),
    };
    let (news, mailbox) = mpsc::channel(MAILBOX);
    let spread = settings.start % KEEP_AFTER;
    let (mut peer, counts) = (Peer::new(settings, now), page::Counts::default());
    if let Some(snapshot) = &snapshot {
        // What the facts' list is newer in is settled by it.
        let newer =
            version.is_some_and(|version| version > snapshot.stamp.version) && first.source == Source::Facts;
        peer.recall(snapshot.stamp, &snapshot.words, snapshot.floor);
        if newer {
            let said: Vec<(String, words::State)> = first
                .entries
                .iter()
                .map(|(listed, _)| (listed.srv.to_string(), to_word(listed.state)))
                .collect();
            peer.listed(version.unwrap_or_default(), true, &said);
        }
    }
    let start = Start::new(now, !first.entries.is_empty());
    let (confirmed, told) = watch::channel(false);
    let page = (page::show(&peer, &file.fleet, counts, now), page::metrics(&peer, counts, &start));
    let (pages, shown) = watch::channel(page);
    let evidence = Evidence::default();
    info!("{name} speaks with fleet {} on {}", file.fleet, file.listen);
    let fleet = Fleet {
        file,
        clock,
        sockets,
        peer,
        known: Known::new(),
        decisions,
        desk,
        counts,
        show_at: now,
        count_at: now,
        say_at: now,
        said: 0,
        pages,
        evidence: evidence.clone(),
        keep,
        keep_at: None,
        kept: snapshot.map_or(0, |snapshot| snapshot.number),
        spread,
        start,
        metrics,
        ends: (0, 0),
        confirmed,
    };
    tokio::spawn(fleet.run(mailbox, meetings, life));
    let wait = Duration::from_nanos(wait);
    Ok(Door {
        news,
        pages: Pages(shown),
        evidence,
        first: (first.source, first.entries),
        confirmed: told,
        wait,
    })
}

/// On the machine's clock, since 1970.
fn unix_nanos() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_nanos() as u64)
}

/// Both have one port: datagrams, and meetings.
async fn open(listen: SocketAddr, desk: &mpsc::Sender<meeting::Mail>) -> std::io::Result<Sockets> {
    let udp = UdpSocket::bind(listen).await?;
    let listener = TcpListener::bind(listen).await?;
    let keeper = tokio::spawn(meeting::keep(listener, desk.clone())).abort_handle();
    Ok(Sockets { udp, keeper })
}

async fn received(sockets: &Option<Sockets>, bytes: &mut [u8]) -> Option<(usize, SocketAddr)> {
    match sockets {
        Some(sockets) => sockets.udp.recv_from(bytes).await.ok(),
        None => std::future::pending().await,
    }
}

impl Fleet {
    async fn run(
        mut self,
        mut mailbox: mpsc::Receiver<Mail>,
        mut meetings: mpsc::Receiver<meeting::Mail>,
        life: Life,
    ) {
        let (mut bytes, mut serves, mut left) = (vec![0; MOST + 1], false, false);
        let mut bind_at = Instant::now();
        loop {
            let next = self.next();
            tokio::select! {
                mail = mailbox.recv() => {
                    let Some(mail) = mail else { return };
                    let mail = self.note(mail);
                    if self.decisions.send(mail).await.is_err() {
                        return;
                    }
                }
                received = received(&self.sockets, &mut bytes) => if let Some((count, from)) = received {
                    self.peer.receive(self.clock.now(), from, &bytes[..count]);
                },
                mail = meetings.recv() => if let Some(mail) = mail {
                    self.meet(mail);
                },
                () = life.reached(Phase::Serving), if !serves => {
                    self.start.ready(self.clock.now());
                    serves = true;
                }
                // One that is to end says so: it is no loss to the others. It still hears what drains.
                () = life.reached(Phase::Leaving), if !left => {
                    self.peer.leave(self.clock.now());
                    left = true;
                }
                () = sleep_until(bind_at), if self.sockets.is_none() && !left => {
                    bind_at = Instant::now() + BIND_EVERY;
                    self.sockets = open(self.file.listen, &self.desk).await.ok();
                    if self.sockets.is_some() {
                        info!("fleet: {} is free, and taken", self.file.listen);
                    }
                }
                () = sleep_until(self.clock.instant(next)) => {}
            }
            self.tick().await;
            // The process that takes over speaks from the same port.
            if left && life.handed() {
                self.sockets = None;
            }
        }
    }

    fn next(&self) -> Nanos {
        // Nothing is due later than that, and a clock can tell it.
        self.peer.next().min(self.show_at).min(self.count_at).min(self.keep_at.unwrap_or(Nanos::MAX))
    }

    /// Something is known that the last snapshot does not hold.
    fn changed(&mut self, now: Nanos) {
        if self.keep.is_some() && self.keep_at.is_none() {
            self.keep_at = Some(now + KEEP_AFTER + self.spread);
        }
    }

    fn write(&mut self, now: Nanos) {
        let store = self.peer.store();
        let worse = store.words().iter().filter(|(_, word)| word.state != words::State::Serves);
        let snapshot = Snapshot {
            fleet: self.file.fleet.clone(),
            instance: self.peer.swim().name().to_owned(),
            number: self.kept + 1,
            written: unix_nanos(),
            stamp: store.own(),
            list: self.known.list().map(|(listed, address)| snapshot::Entry::of(listed, *address)).collect(),
            words: worse.map(|(srv, word)| (srv.clone(), *word)).collect(),
            floor: store.words().floor(),
        };
        let Some(keep) = &mut self.keep else { return };
        if keep.write(snapshot) {
            (self.kept, self.keep_at) = (self.kept + 1, None);
        } else {
            // Another one is being written.
            self.keep_at = Some(now + S);
        }
    }

    /// How far the start has come.
    fn look(&mut self, now: Nanos) {
        if self.peer.confirmed() {
            self.start.told(now, Knows::Others);
            self.confirmed.send_if_modified(|told| !std::mem::replace(told, true));
        }
        let (ended, lost) = self.metrics.ended_and_failed();
        self.start.ended(now, ended - self.ends.0, lost - self.ends.1);
        self.ends = (ended, lost);
        if let Some(told) = self.start.look(now) {
            let ms = |span: Nanos| span / 1_000_000;
            let some = |span: Option<Nanos>| span.map_or("never".into(), |span| format!("{} ms", ms(span)));
            info!(
                "full service {} ms after the start: began by {}, ready {} ms, told by others {}, by discovery {}",
                ms(told.full),
                told.began_by.name(),
                ms(told.ready),
                some(told.others),
                some(told.discovery)
            );
        }
    }

    /// The list's own news goes on, but for what others have heard of later lists.
    fn note(&mut self, mail: Mail) -> Mail {
        let Mail::List { whole, old, version, mut entries } = mail else { return mail };
        let now = self.clock.now();
        if !old {
            self.start.told(now, Knows::Discovery);
            if whole || !entries.is_empty() {
                self.changed(now);
            }
            let said: Vec<(String, words::State)> =
                entries.iter().map(|(listed, _)| (listed.srv.to_string(), to_word(listed.state))).collect();
            self.peer.listed(version, whole, &said);
        }
        self.known.told(self.peer.store().words(), whole, &mut entries);
        Mail::List { whole, old, version, entries }
    }

    /// What a meeting wants.
    fn meet(&mut self, mail: meeting::Mail) {
        let now = self.clock.now();
        match mail {
            meeting::Mail::Hello(reply) => drop(reply.send(self.peer.hello())),
            meeting::Mail::Greeted(body, reply) => {
                let met = self.peer.greeted(&body).ok().map(|hello| {
                    let pieces = self.peer.differing(&hello);
                    (hello, pieces)
                });
                // One that waits no more was cut off.
                drop(reply.send(met));
            }
            meeting::Mail::Heard(from, body) => {
                if let Err(why) = self.peer.met(now, &body) {
                    self.wrong(now, from, why);
                }
            }
            meeting::Mail::Over { ours, well } if ours || well => self.peer.parted(now, well),
            meeting::Mail::Over { .. } => {}
        }
    }

    fn wrong(&mut self, now: Nanos, from: SocketAddr, why: &str) {
        self.said += 1;
        if now >= self.say_at {
            warn!("fleet: {} messages could not be read, the last from {from}: {why}", self.said);
            (self.say_at, self.said) = (now + SAY_EVERY, 0);
        }
    }

    async fn tick(&mut self) {
        let now = self.clock.now();
        if self.keep_at.is_some_and(|at| at <= now) {
            self.write(now);
        }
        if self.count_at <= now {
            self.count_at = now + COUNT_EVERY;
            if self.keep.as_ref().is_some_and(SnapshotStore::take_refused) && self.keep_at.is_none() {
                self.keep_at = Some(now + S);
            }
            self.look(now);
            let counted = std::mem::take(&mut *self.evidence.lock().unwrap_or_else(PoisonError::into_inner));
            for ((srv, set), counts) in counted {
                self.peer.count(now, &srv, &set, counts);
            }
        }
        if self.peer.next() <= now {
            self.peer.tick(now);
        }
        while let Some(output) = self.peer.output() {
            self.follow(now, output).await;
        }
        if self.show_at <= now {
            self.show_at = now + SHOW_EVERY;
            self.counts.overruled = self.known.overruled() as u64;
            let page = page::show(&self.peer, &self.file.fleet, self.counts, now);
            self.pages.send_replace((page, page::metrics(&self.peer, self.counts, &self.start)));
        }
    }

    async fn follow(&mut self, now: Nanos, output: Output) {
        match output {
            Output::Send { to, bytes } => {
                // UDP promises nothing: what can't be sent now is lost, and said again by the protocol.
                if let (Some(to), Some(sockets)) = (self.reach(&to), &self.sockets) {
                    let _ = sockets.udp.try_send_to(&bytes, to);
                }
            }
            Output::Changed(srvs) => {
                self.changed(now);
                let news = self.known.changed(self.peer.store().words(), srvs.iter().map(String::as_str));
                if let Some((first, _)) = news.first() {
                    self.counts.told_early += news.len() as u64;
                    info!("fleet: told of {} srvs by others, {} is {:?}", news.len(), first.srv, first.state);
                    let news = Mail::List { whole: false, old: true, version: 0, entries: news };
                    // With the module's actor gone the program ends.
                    let _ = self.decisions.send(news).await;
                }
            }
            Output::Counted { srv, set, counts } if self.known.has(&srv) => {
                let Counts { done, failed, lost } = counts;
                for (how, times) in [(How::Done, done), (How::Error, failed), (How::Reset, lost)] {
                    if times > 0 {
                        let (srv, rule_set) = (srv.as_str().into(), set.as_str().into());
                        let _ = self.decisions.send(Mail::Others { srv, rule_set, how, times }).await;
                    }
                }
            }
            Output::Counted { .. } => {}
            Output::Joined(name) => info!("fleet: {name} is there"),
            Output::Lost(name) => info!("fleet: {name} is lost"),
            Output::Left(name) => info!("fleet: {name} has left"),
            Output::Returned => info!("fleet: the others had taken this instance for dead"),
            Output::Displaced(address) => {
                warn!(
                    "fleet: another live process at {address} has this name; nothing is said or heard any more"
                );
            }
            Output::Meet(name) => match self.reach(&To::Member(name)) {
                Some(to) => meeting::begin(to, self.desk.clone()),
                None => self.peer.parted(now, false),
            },
            Output::Wrong { from, why } => self.wrong(now, from, &why),
        }
    }

    fn reach(&self, to: &To) -> Option<SocketAddr> {
        match to {
            To::Address(address) => Some(*address),
            To::Member(name) => {
                let listens = self.peer.swim().members().get(name).map(|member| member.word.address);
                self.file.reach.get(name).copied().or(listens)
            }
        }
    }
}
