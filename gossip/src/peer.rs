//! One instance among the others: membership and replica as one machine. It owns when news goes out, to whom and how often,
//! when two copies meet over a stream instead of by datagrams, and what it counts of all that; it must never decide
//! anything, send more than its bounds, or take what another fleet says.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use ochreshed_membership::swim::{self, Config, Swim, To};
use ochreshed_membership::wire::{self, FIRST_OTHER, From, MOST, Message, What};
use ochreshed_membership::{MS, Nanos, S};
use ochreshed_replica::outcomes::{MAX_RULE_SETS_PER_ROW, OutcomeCounts, OutcomeRow};
use ochreshed_replica::stamp::Stamp;
use ochreshed_replica::status::{ServerStatus, StampedStatus};
use ochreshed_replica::store::{Digest, Store, decode_updates};

use crate::meet::{self, Hello};

/// Kinds of parts behind a message: items of the replica, and its digest.
const ITEMS: u16 = FIRST_OTHER;
const DIGEST: u16 = FIRST_OTHER + 1;
/// A digest that wants one back also where it is the same; and one that answers another.
const GREETING: u16 = FIRST_OTHER + 2;
const ANSWER: u16 = FIRST_OTHER + 3;
/// A part's own head.
const PART: usize = 4;
/// Room for items in a message of their own.
const ROOM: usize = MOST - 200;
/// News goes out so often while there is any, to so many; a digest so often, to one.
const SPREAD_EVERY: Nanos = 100 * MS;
const FANOUT: usize = 3;
/// Each piece of news is passed on by each so many times the logarithm of the fleet's size: with a third of the messages
/// lost one in a hundred misses it, and has it by digests.
const SPREAD: f64 = 6.0;
const DIGEST_EVERY: Nanos = S;
/// One that is there again is asked what it holds, so often at the most: a cut's end brings back half of a fleet at once.
const GREET_EVERY: Nanos = 100 * MS;
const MOST_GREETED: usize = 8;
/// Pieces sent at once to one whose digest differs.
const PIECES: usize = 16;
/// Where more words than these may differ, the copies meet over a stream: it tells by a finer digest which do.
const MANY: usize = 200;
/// One such meeting at a time, and so long between two.
const MEET_EVERY: Nanos = 200 * MS;
/// Words on so many srvs are held at the most: twice the longest list there is.
const MOST_SRVS: usize = 20_000;
/// Counts are told so often, where something failed, with what went well there in two of these spans; older than that last
/// one they are told to no module.
const COUNT_EVERY: Nanos = 100 * MS;
const DONE_SPAN: Nanos = 3 * S / 2;
const OLD: Nanos = S;
/// So many srvs in a row, so that two rows fit a message; and so many counted at once.
const TOLD_SRVS: usize = 12;
const MOST_COUNTED: usize = 1_000;
/// A row goes to so many of the own zone.
const MOST_TOLD: usize = 40;
/// A srv is judged by its last few outcomes: so many of one row count.
const TIMES: u16 = 4;

/// What this instance is to the others.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Instances of another fleet are not heard.
    pub fleet: String,
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    /// Drawn anew at each start of a process.
    pub start: u64,
    pub seeds: Vec<SocketAddr>,
    pub membership: Config,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    Send {
        to: To,
        bytes: Vec<u8>,
    },
    /// Of these srvs something else stands now.
    Changed(Vec<String>),
    /// What an instance of this zone has counted at a srv, of a rule set: once each.
    Counted {
        srv: String,
        set: String,
        counts: OutcomeCounts,
    },
    Joined(String),
    Lost(String),
    Left(String),
    /// The others had taken us for dead.
    Returned,
    /// Another live process has our name and keeps it: we say nothing any more.
    Displaced(SocketAddr),
    /// This member's copy differs from ours in much: a meeting over a stream is due.
    Meet(String),
    /// What could not be read, and from where.
    Wrong {
        from: SocketAddr,
        why: String,
    },
}

/// What it has said and heard.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    /// By the way in which they were wrong; such ways are few.
    pub wrong: BTreeMap<String, u64>,
    /// Rows written here, and outcomes of others' told on.
    pub rows: u64,
    pub counted: u64,
    /// Meetings over a stream that came to their end.
    pub meetings: u64,
}

/// A rule set's outcomes at a srv: what failed since it was told last, and what went well in this span and the one before.
/// Guards against others that hear of each failure and of little else: where all is overloaded any srv would look bad.
#[derive(Clone, Copy, Debug)]
struct Gathered {
    counts: OutcomeCounts,
    before: u16,
    since: Nanos,
}

impl Gathered {
    /// Whether anything is left of it.
    fn turn(&mut self, now: Nanos) -> bool {
        let spans = now.saturating_sub(self.since) / DONE_SPAN;
        if spans > 0 {
            self.before = if spans == 1 { self.counts.succeeded } else { 0 };
            (self.counts.succeeded, self.since) = (0, self.since + spans * DONE_SPAN);
        }
        self.before > 0 || self.counts.total() > 0
    }

    fn done(&self) -> u16 {
        self.before.saturating_add(self.counts.succeeded)
    }
}

#[derive(Clone, Debug)]
pub struct Peer {
    fleet: u64,
    swim: Swim,
    store: Store,
    zone: String,
    spread_at: Nanos,
    digest_at: Nanos,
    /// Members that were not there a moment ago.
    greet: VecDeque<String>,
    greet_at: Nanos,
    /// Until when no other meeting begins.
    meet_at: Nanos,
    count_at: Nanos,
    gathered: BTreeMap<(String, String), Gathered>,
    /// Something failed since the last row.
    failed: bool,
    /// The number of each writer's last row that was told on.
    heard: BTreeMap<String, (u64, u64)>,
    /// A member's copy has been the same as ours, or has met it, since the start.
    confirmed: bool,
    traffic: Traffic,
    out: VecDeque<Output>,
}

/// The fleet's name as messages carry it: FNV-1a.
fn number(fleet: &str) -> u64 {
    let hash = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    fleet.as_bytes().iter().fold(0xcbf2_9ce4_8422_2325, hash)
}

impl Peer {
    pub fn new(settings: Settings, now: Nanos) -> Peer {
        let Settings { fleet, name, address, zone, start, seeds, membership } = settings;
        Peer {
            fleet: number(&fleet),
            swim: Swim::new(membership, &name, address, &zone, start, seeds, now),
            store: Store::new(&name, start, MOST_SRVS),
            zone,
            spread_at: now,
            // Those that start together don't ask together.
            digest_at: now + start % DIGEST_EVERY,
            greet: VecDeque::new(),
            greet_at: now,
            meet_at: now,
            count_at: now,
            gathered: BTreeMap::new(),
            failed: false,
            heard: BTreeMap::new(),
            confirmed: false,
            traffic: Traffic::default(),
            out: VecDeque::new(),
        }
    }

    pub fn swim(&self) -> &Swim {
        &self.swim
    }

    pub fn store(&self) -> &Store {
        &self.store
    }

    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    pub fn output(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// What this instance knew before it started anew.
    pub fn recall(&mut self, own: Stamp, words: &[(String, StampedStatus)], floor: Stamp) {
        self.store.restore(own, words, floor);
    }

    /// Whether others have told what they know since the start.
    pub fn confirmed(&self) -> bool {
        self.confirmed
    }

    /// Discovery has told this instance a list, or changes of it.
    pub fn listed(&mut self, version: u64, whole: bool, entries: &[(String, ServerStatus)]) {
        self.store.apply_discovery(version, whole, entries);
    }

    /// What this instance's own dispatches to a srv came to, of a rule set, since this was called last.
    pub fn count(&mut self, now: Nanos, srv: &str, set: &str, counts: OutcomeCounts) {
        let key = (srv.to_owned(), set.to_owned());
        if self.gathered.len() >= MOST_COUNTED && !self.gathered.contains_key(&key) {
            return;
        }
        let none = Gathered { counts: OutcomeCounts::default(), before: 0, since: now };
        let gathered = self.gathered.entry(key).or_insert(none);
        gathered.turn(now);
        gathered.counts.add(counts);
        self.failed |= counts.unsuccessful() > 0;
    }

    /// Goes for good, and says so.
    pub fn leave(&mut self, now: Nanos) {
        self.swim.leave(now);
        self.drain();
    }

    /// When `tick` is to be called at the latest.
    pub fn next(&self) -> Nanos {
        let spread = if self.store.has_pending_updates() { self.spread_at } else { Nanos::MAX };
        let count = if self.failed { self.count_at } else { Nanos::MAX };
        let greet = if self.greet.is_empty() { Nanos::MAX } else { self.greet_at };
        self.swim.next().min(spread).min(count).min(greet).min(self.digest_at)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Nanos) {
        if self.swim.next() <= now {
            self.swim.tick(now);
        }
        if self.failed && self.count_at <= now {
            self.write_row(now);
        }
        if self.store.has_pending_updates() && self.spread_at <= now {
            self.spread_at = now + SPREAD_EVERY;
            for _ in 0..FANOUT {
                let Some(name) = self.swim.any() else { break };
                let items = self.delta(ROOM);
                if !items.is_empty() {
                    self.say(&name, vec![(ITEMS, items)]);
                }
            }
        }
        if self.digest_at <= now {
            self.digest_at = now + DIGEST_EVERY;
            if let Some(name) = self.swim.any() {
                self.say_digest(&name, DIGEST);
            }
            // What is too old is dropped, whether or not anything is counted here.
            self.forget(now);
        }
        if self.greet_at <= now
            && let Some(name) = self.greet.pop_front()
        {
            self.greet_at = now + GREET_EVERY;
            self.say_digest(&name, GREETING);
        }
        self.drain();
    }

    fn forget(&mut self, now: Nanos) {
        self.gathered.retain(|_, gathered| gathered.turn(now));
        let swim = &self.swim;
        let there = |name: &str| swim.members().get(name).is_some_and(|member| member.word.state.there());
        self.store.evict_outcomes(now, OLD, there);
        self.heard.retain(|writer, _| there(writer));
    }

    /// Writes what was counted here at srvs where something failed, and what went well there meanwhile.
    fn write_row(&mut self, now: Nanos) {
        self.count_at = now + COUNT_EVERY;
        self.failed = false;
        self.forget(now);
        // What is lost says something of the srv, whatever the rule set; an error of its rule set.
        let mut well: BTreeMap<String, u16> = BTreeMap::new();
        for ((srv, _), gathered) in &self.gathered {
            let done = well.entry(srv.clone()).or_default();
            *done = done.saturating_add(gathered.done());
        }
        let mut told: Vec<(String, String, OutcomeCounts)> = Vec::new();
        for ((srv, set), gathered) in &mut self.gathered {
            let OutcomeCounts { failed, lost, .. } = gathered.counts;
            if gathered.counts.unsuccessful() > 0 {
                let of_srv = well.get(srv).copied().unwrap_or(0);
                let done = if lost > 0 { of_srv } else { gathered.done() };
                told.push((srv.clone(), set.clone(), OutcomeCounts { succeeded: done, failed, lost }));
                (gathered.counts.failed, gathered.counts.lost) = (0, 0);
            }
        }
        // Where most failed comes first, if not all fit.
        told.sort_by_key(|(srv, set, counts)| {
            (std::cmp::Reverse(counts.unsuccessful()), srv.clone(), set.clone())
        });
        told.truncate(TOLD_SRVS);
        let (mut sets, mut srvs) = (Vec::<String>::new(), Vec::new());
        let mut room = ROOM.saturating_sub(self.zone.len() + self.swim.name().len() + 40);
        for (srv, set, counts) in told {
            let at = sets.iter().position(|known| *known == set).unwrap_or_else(|| {
                room = room.saturating_sub(set.len() + 1);
                sets.push(set);
                sets.len() - 1
            });
            // What one datagram has no room for is told by the next row, if it goes on.
            room = room.saturating_sub(srv.len() + 12);
            if at < MAX_RULE_SETS_PER_ROW && room > 0 {
                srvs.push((srv, at as u8, counts));
            }
        }
        if !srvs.is_empty() {
            self.traffic.rows += 1;
            let row = OutcomeRow {
                start_id: 0,
                sequence: 0,
                zone: self.zone.clone(),
                rule_sets: sets,
                entries: srvs,
            };
            let item = self.store.record_own_outcomes(now, row);
            let there = self.swim.members().iter().filter(|(_, member)| member.word.state.there());
            let near = there.filter(|(_, member)| member.word.zone == self.zone);
            let mut near: Vec<String> = near.map(|(name, _)| name.clone()).collect();
            // Of a large zone so many, others each time.
            let from = (self.traffic.rows as usize).wrapping_mul(MOST_TOLD) % near.len().max(1);
            near.rotate_left(from);
            for name in near.iter().take(MOST_TOLD) {
                self.say(name, vec![(ITEMS, item.clone())]);
            }
        }
    }

    /// A datagram has arrived.
    pub fn receive(&mut self, now: Nanos, from: SocketAddr, bytes: &[u8]) {
        self.traffic.received += 1;
        self.traffic.received_bytes += bytes.len() as u64;
        match wire::read(self.fleet, bytes) {
            // Who is no member, or was dead for us, is heard for membership only.
            Ok(message) if self.swim.receive(now, from, &message) => self.hear(now, from, &message),
            Ok(_) => {}
            Err(wrong) => self.wrong(from, format!("{wrong:?}")),
        }
        self.drain();
    }

    fn wrong(&mut self, from: SocketAddr, why: String) {
        *self.traffic.wrong.entry(why.clone()).or_default() += 1;
        self.out.push_back(Output::Wrong { from, why });
    }

    fn hear(&mut self, now: Nanos, from: SocketAddr, message: &Message) {
        for (kind, body) in &message.more {
            match *kind {
                ITEMS => {
                    if let Err(why) = self.hear_items(now, body) {
                        self.wrong(from, why.into());
                    }
                }
                DIGEST | GREETING | ANSWER => match digest(body) {
                    Some(theirs) => {
                        let same = self.hear_digest(now, &message.from.name, &theirs);
                        // What they hold and we don't they tell by our digest. Guards against one that all news has
                        // passed by, and that is asked more often than it asks.
                        if *kind == GREETING || *kind == DIGEST && !same {
                            self.say_digest(&message.from.name, ANSWER);
                        }
                    }
                    None => self.wrong(from, "a digest can't be read".into()),
                },
                // A newer build's.
                _ => {}
            }
        }
    }

    fn hear_items(&mut self, now: Nanos, body: &[u8]) -> Result<(), &'static str> {
        let items = decode_updates(body)?;
        let swim = &self.swim;
        let lives = |writer: &str| {
            let member = swim.members().get(writer).filter(|member| member.word.state.there());
            member.map(|member| member.word.start)
        };
        let changed = self.store.merge_updates(now, items, lives);
        if !changed.is_empty() {
            self.out.push_back(Output::Changed(changed));
        }
        self.tell_counts(now);
        Ok(())
    }

    /// Whether a member's copy is the same as ours. If not, it is told what we hold where they differ; by a meeting, if that
    /// is much.
    fn hear_digest(&mut self, now: Nanos, name: &str, theirs: &Digest) -> bool {
        if *theirs == self.store.digest() {
            self.confirmed = true;
            return true;
        }
        if self.store.count_differences(theirs) > MANY {
            if self.meet_at <= now {
                self.meet_at = now + MEET_EVERY;
                self.out.push_back(Output::Meet(name.to_owned()));
            }
            return false;
        }
        for piece in self.store.encode_differences(theirs, ROOM).into_iter().take(PIECES) {
            self.say(name, vec![(ITEMS, piece)]);
        }
        false
    }

    /// Tells on what others in this zone have counted: once each row, and never what is too old. Other zones' are another
    /// matter: what is cut off from them may be well from here.
    fn tell_counts(&mut self, now: Nanos) {
        let own = self.swim.name();
        for (writer, held) in self.store.outcomes().iter().filter(|(writer, _)| *writer != own) {
            let number = (held.row.start_id, held.row.sequence);
            let fresh = now.saturating_sub(held.written_at) <= OLD && held.row.zone == self.zone;
            if !fresh || self.heard.insert(writer.clone(), number) == Some(number) {
                continue;
            }
            for (srv, set, counts) in held.row.counts() {
                let counts = counts.scaled_down(TIMES);
                self.traffic.counted += u64::from(counts.total());
                self.out.push_back(Output::Counted { srv: srv.into(), set: set.into(), counts });
            }
        }
    }

    /// How often news is passed on: by the logarithm of the fleet's size.
    fn times(&self) -> u32 {
        let size = (self.swim.members().len() + 2) as f64;
        (SPREAD * size.log10()).ceil().max(1.0) as u32
    }

    fn delta(&mut self, room: usize) -> Vec<u8> {
        let times = self.times();
        self.store.next_delta(room, times)
    }

    fn say_digest(&mut self, name: &str, kind: u16) {
        let body = self.store.digest().iter().flat_map(|sum| sum.to_le_bytes()).collect();
        self.say(name, vec![(kind, body)]);
    }

    fn say(&mut self, name: &str, more: Vec<(u16, Vec<u8>)>) {
        let from = From { name: self.swim.name().to_owned(), start: self.swim.mine().start };
        let message = Message { from, what: What::Gossip, words: Vec::new(), more };
        self.put(To::Member(name.to_owned()), &message);
    }

    fn put(&mut self, to: To, message: &Message) {
        let bytes = wire::write(self.fleet, message);
        self.traffic.sent += 1;
        self.traffic.sent_bytes += bytes.len() as u64;
        self.out.push_back(Output::Send { to, bytes });
    }

    /// Takes on what the membership wants said and has seen.
    fn drain(&mut self) {
        while let Some(output) = self.swim.output() {
            let output = match output {
                swim::Output::Send { to, message } => {
                    self.send(to, message);
                    continue;
                }
                swim::Output::Joined { name, .. } => {
                    if self.greet.len() < MOST_GREETED && !self.greet.contains(&name) {
                        self.greet.push_back(name.clone());
                    }
                    Output::Joined(name)
                }
                swim::Output::Lost { name } => {
                    self.greet.retain(|other| *other != name);
                    Output::Lost(name)
                }
                swim::Output::Left { name } => {
                    self.greet.retain(|other| *other != name);
                    Output::Left(name)
                }
                swim::Output::Returned => Output::Returned,
                swim::Output::Displaced { address } => Output::Displaced(address),
            };
            self.out.push_back(output);
        }
    }

    /// What the membership sends takes news of the replica along.
    fn send(&mut self, to: To, mut message: Message) {
        if matches!(to, To::Member(_)) && self.store.has_pending_updates() {
            let room = MOST.saturating_sub(wire::write(self.fleet, &message).len() + PART);
            let items = self.delta(room);
            if !items.is_empty() {
                message.more.push((ITEMS, items));
            }
        }
        self.put(to, &message);
    }

    /// How a meeting begins, at either side.
    pub fn hello(&self) -> Hello {
        Hello::new(self.fleet, self.swim.name(), self.swim.mine().start, self.store.fine_digest())
    }

    /// The other one's greeting, from the body of its first frame: only a member that is there is met.
    pub fn greeted(&self, body: &[u8]) -> Result<Hello, String> {
        let hello = Hello::read(self.fleet, body).map_err(|wrong| format!("{wrong:?}"))?;
        let member = self.swim.members().get(&hello.name).filter(|member| member.word.state.there());
        match member.filter(|member| member.word.start == hello.start) {
            Some(_) => Ok(hello),
            None => Err("no member of this name and start".into()),
        }
    }

    /// What we hold where that digest differs, as bodies of frames.
    pub fn differing(&self, theirs: &Hello) -> Vec<Vec<u8>> {
        let mut pieces = self.store.encode_differences(&theirs.digest, meet::PIECE);
        pieces.truncate(meet::MOST_FRAMES);
        pieces
    }

    /// A body that the other one sent in a meeting.
    pub fn met(&mut self, now: Nanos, body: &[u8]) -> Result<(), &'static str> {
        self.hear_items(now, body)
    }

    /// A meeting has come to its end, well or not.
    pub fn parted(&mut self, now: Nanos, well: bool) {
        self.meet_at = now + MEET_EVERY;
        self.traffic.meetings += u64::from(well);
        self.confirmed |= well;
    }
}

fn digest(body: &[u8]) -> Option<Digest> {
    let mut digest = Digest::default();
    let sums = body.chunks_exact(4).map(|sum| u32::from_le_bytes([sum[0], sum[1], sum[2], sum[3]]));
    let right = body.len() == 4 * digest.len();
    digest.iter_mut().zip(sums).for_each(|(to, sum)| *to = sum);
    right.then_some(digest)
}
