//! The actor between the instances of a fleet: the one that owns the sockets they speak by. It carries what membership and
//! replica say, tells the module's actor of drains and departures that others heard of first, and must never decide
//! anything, hold up a list, or believe bytes. It exists only where the operator's own file names it (`serve --fleet`).

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::PoisonError;
use std::time::Duration;

use ochreshed::{How, Listed, Name, Nanos, State};
use ochreshed_membership::swim::{Config, Output, Swim, To};
use ochreshed_membership::wire::{self, FIRST_OTHER, From, MOST, Message, What};
use ochreshed_replica::rows::{Counts, Row};
use ochreshed_replica::store::{Digest, Store, read};
use ochreshed_replica::words;
use serde::Deserialize;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep_until;
use tracing::{info, warn};

use crate::clock::Clock;
use crate::decisions::{Evidence, Mail};
use crate::list::Entry;
use crate::phases::{Life, Phase};

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
/// Kinds of parts behind a message: items of the replica, and its digest.
const ITEMS: u16 = FIRST_OTHER;
const DIGEST: u16 = FIRST_OTHER + 1;
/// A part's own head.
const PART: usize = 4;
/// News goes out so often while there is any, to so many; a digest so often, to one.
const SPREAD_EVERY: Nanos = 100 * MS;
const FANOUT: usize = 3;
const DIGEST_EVERY: Nanos = S;
/// Pieces sent at once to one whose digest differs: the rest goes with its next digest.
const PIECES: usize = 16;
/// Words on so many srvs are held at the most: twice the longest list there is.
const MOST_SRVS: usize = 20_000;
/// A line a minute about what could not be read.
const SAY_EVERY: Nanos = 60 * S;
const SHOW_EVERY: Nanos = S / 2;
const MAILBOX: usize = 64;
/// What was counted is told so often, where anything was lost; older than this it is told to no module. So many srvs in a
/// row, so that two rows fit a message; and each counts so often at the most, as a srv is judged by its last few outcomes.
const COUNT_EVERY: Nanos = 100 * MS;
const OLD: Nanos = S;
const TOLD_SRVS: usize = 12;
const TIMES: u16 = 3;

/// The operator's own file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// Instances of another fleet are not heard.
    pub fleet: String,
    /// Where this instance speaks with others, by UDP.
    pub listen: SocketAddr,
    /// Some of the others, to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Where an instance is reached from here, by its name, if not where it listens.
    #[serde(default)]
    pub reach: BTreeMap<String, SocketAddr>,
}

impl FleetFile {
    /// Reads and checks it; the error says where and what.
    pub fn read(path: &Path, peers_allowed: bool) -> Result<FleetFile, String> {
        let said = |why: String| format!("{}: {why}", path.display());
        let text = std::fs::read_to_string(path).map_err(|e| said(e.to_string()))?;
        let file = FleetFile::parse(&text).map_err(said)?;
        if !peers_allowed {
            return Err(said("the settings don't allow messages between instances (/Limits/Peers)".into()));
        }
        Ok(file)
    }

    fn parse(text: &str) -> Result<FleetFile, String> {
        let file: FleetFile = toml::from_str(text).map_err(|e| e.to_string().trim_end().to_owned())?;
        let mut wrong = Vec::new();
        if file.fleet.is_empty() || file.fleet.len() > 64 {
            wrong.push("fleet: a name of 1 to 64 bytes");
        }
        if file.listen.ip().is_unspecified() || file.listen.port() == 0 {
            wrong.push("listen: the address and port that others reach this instance at");
        }
        if file.seeds.len() > 100 {
            wrong.push("seeds: 100 at the most");
        }
        if wrong.is_empty() { Ok(file) } else { Err(wrong.join("; ")) }
    }

    /// The fleet's name as messages carry it: FNV-1a.
    fn number(&self) -> u64 {
        let hash = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        self.fleet.as_bytes().iter().fold(0xcbf2_9ce4_8422_2325, hash)
    }
}

/// What the actor counts, for its page.
#[derive(Default)]
struct Traffic {
    sent: u64,
    sent_bytes: u64,
    received: u64,
    received_bytes: u64,
    /// By the way in which they were wrong.
    wrong: BTreeMap<String, u64>,
    /// Drains, departures and returns told to the module before its own list had them.
    told_early: u64,
}

struct Fleet {
    file: FleetFile,
    number: u64,
    clock: Clock,
    socket: UdpSocket,
    swim: Swim,
    store: Store,
    decisions: mpsc::Sender<Mail>,
    /// The list as discovery last told it here.
    known: HashMap<Name, Entry>,
    /// Srvs of which the module was told something else than `known` says.
    overruled: BTreeMap<Name, State>,
    spread_at: Nanos,
    digest_at: Nanos,
    show_at: Nanos,
    say_at: Nanos,
    said: u64,
    counts: Traffic,
    page: watch::Sender<String>,
    evidence: Evidence,
    zone: String,
    /// When the next row is written, and when the last one was.
    count_at: Nanos,
    counted_at: Nanos,
    /// The number of each writer's last row that the module was told of.
    heard: BTreeMap<String, (u64, u64)>,
}

/// What the rest of the program holds of it: where the list's news goes, and the page for operators.
pub struct Door {
    pub news: mpsc::Sender<Mail>,
    pub page: watch::Receiver<String>,
    /// Where the module's actor puts what the others are to be told.
    pub evidence: Evidence,
}

/// Starts it before the module's actor: what the list tells goes through it, changed by nothing but what others heard of
/// later lists.
pub async fn start(
    file: FleetFile,
    name: &str,
    zone: &str,
    seed: u64,
    (clock, life): (Clock, Life),
    decisions: mpsc::Sender<Mail>,
) -> Result<Door, String> {
    let socket = UdpSocket::bind(file.listen).await;
    let socket = socket.map_err(|e| format!("can't speak with the fleet on {}: {e}", file.listen))?;
    let now = clock.now();
    // Another process under this name has another start: by its time and its number, over the facts' seed.
    let start = seed ^ (std::process::id() as u64).rotate_left(40) ^ unix_nanos();
    let seeds = file.seeds.clone();
    let swim = Swim::new(Config::default(), name, file.listen, zone, start, seeds, now);
    let (news, mailbox) = mpsc::channel(MAILBOX);
    let (page, shown) = watch::channel(String::new());
    let evidence = Evidence::default();
    info!("{name} speaks with fleet {} on {}", file.fleet, file.listen);
    let fleet = Fleet {
        number: file.number(),
        file,
        clock,
        socket,
        swim,
        store: Store::new(name, start, MOST_SRVS),
        decisions,
        known: HashMap::new(),
        overruled: BTreeMap::new(),
        spread_at: now,
        digest_at: now,
        show_at: now,
        say_at: now,
        said: 0,
        counts: Traffic::default(),
        page,
        evidence: evidence.clone(),
        zone: zone.to_owned(),
        count_at: now,
        counted_at: now,
        heard: BTreeMap::new(),
    };
    tokio::spawn(fleet.run(mailbox, life));
    Ok(Door { news, page: shown, evidence })
}

fn unix_nanos() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_nanos() as u64)
}

impl Fleet {
    async fn run(mut self, mut mailbox: mpsc::Receiver<Mail>, life: Life) {
        let (mut bytes, mut left) = (vec![0; MOST + 1], false);
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
                received = self.socket.recv_from(&mut bytes) => if let Ok((count, from)) = received {
                    self.receive(from, &bytes[..count]).await;
                },
                // One that is to end says so: it is no loss to the others. It still hears what drains.
                () = life.reached(Phase::Leaving), if !left => {
                    self.swim.leave(self.clock.now());
                    left = true;
                }
                () = sleep_until(self.clock.instant(next)) => {}
            }
            self.tick();
        }
    }

    fn next(&self) -> Nanos {
        let count = self.count_at;
        let spread = if self.store.has_news() { self.spread_at } else { Nanos::MAX };
        // A while that the clock can tell, also where nothing is due.
        let far = self.clock.now() + 60 * S;
        self.swim.next().min(spread).min(count).min(self.digest_at).min(self.show_at).min(far)
    }

    /// The list's own news goes on, but for what others have heard of later lists.
    fn note(&mut self, mail: Mail) -> Mail {
        let Mail::List { whole, old, version, mut entries } = mail else { return mail };
        if whole {
            self.known = entries.iter().map(|entry| (entry.0.srv.clone(), entry.clone())).collect();
        }
        for entry in &entries {
            match entry.0.state {
                State::Gone => drop(self.known.remove(&entry.0.srv)),
                _ => drop(self.known.insert(entry.0.srv.clone(), entry.clone())),
            }
        }
        if !old {
            let said: Vec<(String, words::State)> =
                entries.iter().map(|(listed, _)| (listed.srv.to_string(), to_word(listed.state))).collect();
            self.store.listed(version, whole, &said);
        }
        self.overruled.retain(|srv, _| !whole && !entries.iter().any(|(listed, _)| listed.srv == *srv));
        for (listed, _) in &mut entries {
            if let Some(worse) = self.worse(listed) {
                listed.state = worse;
                self.overruled.insert(listed.srv.clone(), worse);
            }
        }
        Mail::List { whole, old, version, entries }
    }

    /// What others have heard of a srv since, if that is worse than this.
    fn worse(&self, listed: &Listed) -> Option<State> {
        let word = self.store.words().get(&listed.srv)?;
        let worse = match word.state {
            words::State::Serves => return None,
            words::State::Drains => State::Draining,
            words::State::Gone => State::Gone,
        };
        (word.state > to_word(listed.state)).then_some(worse)
    }

    /// Tells the module what stands now of these srvs, where its list said otherwise.
    async fn tell(&mut self, srvs: Vec<String>) {
        let mut entries = Vec::new();
        for srv in srvs {
            let Some((listed, address)) = self.known.get(srv.as_str()) else { continue };
            let now = self.worse(listed);
            let before = self.overruled.get(&listed.srv).copied();
            if now == before {
                continue;
            }
            match now {
                Some(worse) => drop(self.overruled.insert(listed.srv.clone(), worse)),
                None => drop(self.overruled.remove(&listed.srv)),
            }
            let mut listed = listed.clone();
            listed.state = now.unwrap_or(listed.state);
            entries.push((listed, *address));
        }
        if !entries.is_empty() {
            self.counts.told_early += entries.len() as u64;
            let news = Mail::List { whole: false, old: true, version: 0, entries };
            // With the module's actor gone the program ends.
            let _ = self.decisions.send(news).await;
        }
    }

    async fn receive(&mut self, from: SocketAddr, bytes: &[u8]) {
        let now = self.clock.now();
        self.counts.received += 1;
        self.counts.received_bytes += bytes.len() as u64;
        let message = match wire::read(self.number, bytes) {
            Ok(message) => message,
            Err(wrong) => return self.wrong(now, from, format!("{wrong:?}")),
        };
        // Who is no member, or was dead for us, is heard for membership only.
        if !self.swim.receive(now, from, &message) {
            return;
        }
        for (kind, body) in &message.more {
            match *kind {
                ITEMS => match read(body) {
                    Ok(items) => {
                        let swim = &self.swim;
                        let lives = |writer: &str| {
                            let member =
                                swim.members().get(writer).filter(|member| member.word.state.there());
                            member.map(|member| member.word.start)
                        };
                        let changed = self.store.hear(now, items, lives);
                        self.tell(changed).await;
                        self.tell_counts(now).await;
                    }
                    Err(why) => self.wrong(now, from, why.into()),
                },
                DIGEST => match digest(body) {
                    Some(theirs) if theirs != self.store.digest() => {
                        for piece in self.store.differing(&theirs, MOST - 200).into_iter().take(PIECES) {
                            self.send_more(&message.from.name, vec![(ITEMS, piece)]);
                        }
                    }
                    Some(_) => {}
                    None => self.wrong(now, from, "a digest can't be read".into()),
                },
                // A newer build's.
                _ => {}
            }
        }
    }

    fn wrong(&mut self, now: Nanos, from: SocketAddr, why: String) {
        // Ways in which they can be wrong are few; addresses and bytes are not kept.
        *self.counts.wrong.entry(why.clone()).or_default() += 1;
        self.said += 1;
        if now >= self.say_at {
            warn!("fleet: {} messages could not be read, the last from {from}: {why}", self.said);
            (self.say_at, self.said) = (now + SAY_EVERY, 0);
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if self.swim.next() <= now {
            self.swim.tick(now);
        }
        if self.count_at <= now {
            self.count(now);
        }
        if self.store.has_news() && self.spread_at <= now {
            self.spread_at = now + SPREAD_EVERY;
            let times = self.times();
            for _ in 0..FANOUT {
                let Some(name) = self.swim.any() else { break };
                let items = self.delta(now, &name, MOST - 200, times);
                if !items.is_empty() {
                    self.send_more(&name, vec![(ITEMS, items)]);
                }
            }
        }
        if self.digest_at <= now {
            self.digest_at = now + DIGEST_EVERY;
            let body: Vec<u8> = self.store.digest().iter().flat_map(|sum| sum.to_le_bytes()).collect();
            if let Some(name) = self.swim.any() {
                self.send_more(&name, vec![(DIGEST, body)]);
            }
        }
        while let Some(output) = self.swim.output() {
            match output {
                Output::Send { to, message } => self.send(to, message, now),
                Output::Joined { name, .. } => info!("fleet: {name} is there"),
                Output::Lost { name } => info!("fleet: {name} is lost"),
                Output::Left { name } => info!("fleet: {name} has left"),
                Output::Returned => info!("fleet: the others had taken this instance for dead"),
                Output::Displaced { address } => {
                    warn!(
                        "fleet: another live process at {address} has this name; nothing is said or heard any more"
                    );
                }
            }
        }
        if self.show_at <= now {
            self.show_at = now + SHOW_EVERY;
            self.page.send_replace(self.show(now));
        }
    }

    /// Writes what was counted here since the last row; where nothing was lost there is nothing to tell.
    fn count(&mut self, now: Nanos) {
        self.count_at = now + COUNT_EVERY;
        let counted = std::mem::take(&mut *self.evidence.lock().unwrap_or_else(PoisonError::into_inner));
        let window = now.saturating_sub(std::mem::replace(&mut self.counted_at, now));
        self.store.forget(now, OLD, |writer| self.swim.members().contains_key(writer));
        if counted.values().all(|counts| counts.lost == 0) {
            return;
        }
        let asked = counted.values().map(|counts| u32::from(counts.done) + u32::from(counts.lost)).sum();
        let mut srvs: Vec<(String, Counts)> =
            counted.into_iter().map(|(srv, counts)| (srv.to_string(), counts)).collect();
        // Where something was lost comes first, if not all fit.
        srvs.sort_by_key(|(srv, counts)| (std::cmp::Reverse(counts.lost), srv.clone()));
        srvs.truncate(TOLD_SRVS);
        self.store.count(now, Row { start: 0, number: 0, zone: self.zone.clone(), window, asked, srvs });
    }

    /// Tells the module what others in its zone have counted: once each row, and never what is too old. Others are another
    /// matter: what is cut off from them may be well from here.
    async fn tell_counts(&mut self, now: Nanos) {
        let mut told: BTreeMap<String, Counts> = BTreeMap::new();
        let own = self.swim.name().to_owned();
        for (writer, held) in self.store.rows().iter().filter(|(writer, _)| **writer != own) {
            let number = (held.row.start, held.row.number);
            let fresh = now.saturating_sub(held.written) <= OLD && held.row.zone == self.zone;
            if !fresh || self.heard.insert(writer.clone(), number) == Some(number) {
                continue;
            }
            for (srv, counts) in &held.row.srvs {
                let sum = told.entry(srv.clone()).or_default();
                sum.done = sum.done.saturating_add(counts.done);
                sum.lost = sum.lost.saturating_add(counts.lost);
            }
        }
        let swim = &self.swim;
        self.heard.retain(|writer, _| swim.members().contains_key(writer));
        for (srv, counts) in told {
            for (how, count) in [(How::Done, counts.done), (How::Reset, counts.lost)] {
                if count > 0 && self.known.contains_key(srv.as_str()) {
                    let others = Mail::Others { srv: srv.as_str().into(), how, times: count.min(TIMES) };
                    // With the module's actor gone the program ends.
                    let _ = self.decisions.send(others).await;
                }
            }
        }
    }

    /// How often news is passed on: by the logarithm of the fleet's size.
    fn times(&self) -> u32 {
        let size = (self.swim.members().len() + 2) as f64;
        (4.0 * size.log10()).ceil().max(1.0) as u32
    }

    fn delta(&mut self, now: Nanos, name: &str, room: usize, times: u32) -> Vec<u8> {
        let zone = self.swim.members().get(name).map_or("", |member| &member.word.zone);
        self.store.delta(now, zone, room, times)
    }

    fn send_more(&mut self, name: &str, more: Vec<(u16, Vec<u8>)>) {
        let from = From { name: self.swim.name().to_owned(), start: self.swim.mine().start };
        let message = Message { from, what: What::Gossip, words: Vec::new(), more };
        self.put(&To::Member(name.to_owned()), &message);
    }

    /// What the membership sends takes news of the replica along.
    fn send(&mut self, to: To, mut message: Message, now: Nanos) {
        if let To::Member(name) = &to
            && self.store.has_news()
        {
            let room = MOST.saturating_sub(wire::write(self.number, &message).len() + PART);
            let times = self.times();
            let items = self.delta(now, name, room, times);
            if !items.is_empty() {
                message.more.push((ITEMS, items));
            }
        }
        self.put(&to, &message);
    }

    fn put(&mut self, to: &To, message: &Message) {
        let to = match to {
            To::Address(address) => Some(*address),
            To::Member(name) => {
                let listens = self.swim.members().get(name).map(|member| member.word.address);
                self.file.reach.get(name).copied().or(listens)
            }
        };
        let bytes = wire::write(self.number, message);
        // UDP promises nothing: what can't be sent now is lost, and said again by the protocol.
        if to.is_some_and(|to| self.socket.try_send_to(&bytes, to).is_ok()) {
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
        }
    }

    /// The page for operators: members, what is held and how much, what was wrong.
    fn show(&self, now: Nanos) -> String {
        let mut page = String::new();
        let Traffic { sent, sent_bytes, received, received_bytes, wrong, told_early } = &self.counts;
        let (mine, words) = (self.swim.mine(), self.store.words());
        // Writing to a String does not fail.
        let _ = writeln!(
            page,
            "instance {} of fleet {}, incarnation {}, health {}",
            self.swim.name(),
            self.file.fleet,
            mine.incarnation,
            self.swim.health()
        );
        let _ = writeln!(
            page,
            "sent {sent} messages, {sent_bytes} bytes; received {received}, {received_bytes} bytes"
        );
        let _ = writeln!(
            page,
            "words on {} srvs, floor {:?}; told before the own list: {told_early}",
            words.len(),
            words.floor()
        );
        for (why, count) in wrong {
            let _ = writeln!(page, "could not be read: {count} {why}");
        }
        let _ = writeln!(
            page,
            "member {} {:?} here, incarnation {}",
            self.swim.name(),
            mine.state,
            mine.incarnation
        );
        for (name, member) in self.swim.members() {
            let (word, since) = (&member.word, (now.saturating_sub(member.since)) / S);
            let _ = writeln!(
                page,
                "member {name} {:?} in zone {} at {}, incarnation {}, for {since} s",
                word.state, word.zone, word.address, word.incarnation
            );
        }
        // What drains or is gone; what serves is not worth a line.
        for (srv, word) in words.iter().filter(|(_, word)| word.state != words::State::Serves).take(200) {
            let _ = writeln!(
                page,
                "srv {srv} {:?} by list {}.{}",
                word.state, word.stamp.epoch, word.stamp.version
            );
        }
        page
    }
}

fn to_word(state: State) -> words::State {
    match state {
        State::Up => words::State::Serves,
        State::Draining => words::State::Drains,
        State::Gone => words::State::Gone,
    }
}

fn digest(body: &[u8]) -> Option<Digest> {
    let mut digest = Digest::default();
    let sums = body.chunks_exact(4).map(|sum| u32::from_le_bytes([sum[0], sum[1], sum[2], sum[3]]));
    let right = body.len() == 4 * digest.len();
    digest.iter_mut().zip(sums).for_each(|(to, sum)| *to = sum);
    right.then_some(digest)
}

/// Asks an operators' door for its page of the fleet.
pub fn ask(at: SocketAddr) -> Result<String, String> {
    use std::io::{Read, Write};
    let said = |e: std::io::Error| format!("{at}: {e}");
    let mut stream = std::net::TcpStream::connect_timeout(&at, Duration::from_secs(2)).map_err(said)?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).map_err(said)?;
    stream
        .write_all(b"GET /api/fleet HTTP/1.1\r\nHost: operator\r\nConnection: close\r\n\r\n")
        .map_err(said)?;
    let mut answer = String::new();
    stream.take(1 << 20).read_to_string(&mut answer).map_err(said)?;
    let (head, body) = answer.split_once("\r\n\r\n").ok_or(format!("{at}: no answer"))?;
    match head.contains(" 200 ") {
        true => Ok(body.to_owned()),
        false => Err(format!("{at}: {}", body.trim())),
    }
}

/// Where the pages of two instances differ in what they hold of members and srvs.
pub fn differences(one: &str, other: &str) -> Vec<String> {
    let held = |page: &str| -> BTreeMap<String, String> {
        let lines = page.lines().filter(|line| line.starts_with("member ") || line.starts_with("srv "));
        lines
            .filter_map(|line| {
                let mut words = line.split(' ');
                let key = format!("{} {}", words.next()?, words.next()?);
                Some((key, words.next()?.to_owned()))
            })
            .collect()
    };
    let (one, other) = (held(one), held(other));
    let keys: std::collections::BTreeSet<&String> = one.keys().chain(other.keys()).collect();
    let none = "-".to_owned();
    let pair =
        |key: &String| (one.get(key).unwrap_or(&none).clone(), other.get(key).unwrap_or(&none).clone());
    let different = keys.into_iter().map(|key| (key, pair(key))).filter(|(_, (one, other))| one != other);
    different.map(|(key, (one, other))| format!("{key}: {one} here, {other} there")).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_that_cannot_be_is_named_with_its_place() {
        let right = "fleet = \"shop\"\nlisten = \"127.0.0.1:7001\"\nseeds = [\"127.0.0.1:7002\"]\n";
        assert!(FleetFile::parse(right).is_ok());
        let wrong = |from: &str, to: &str| FleetFile::parse(&right.replace(from, to)).expect_err(to);
        assert!(wrong("seeds", "seed").contains("line 3, column 1"));
        assert_eq!(wrong("\"shop\"", "\"\"").replace("127.0.0.1:7001", ""), "fleet: a name of 1 to 64 bytes");
        assert!(wrong("127.0.0.1:7001", "0.0.0.0:7001").starts_with("listen: the address"));
    }

    #[test]
    fn pages_are_held_against_each_other_by_what_they_hold() {
        let one = "instance n1\nmember n2 Alive in zone a\nsrv s1 Drains by list 0.4\n";
        let other = "instance n2\nmember n2 Dead in zone a\n";
        assert_eq!(
            differences(one, other),
            ["member n2: Alive here, Dead there", "srv s1: Drains here, - there"]
        );
        assert!(differences(one, one).is_empty());
    }
}
