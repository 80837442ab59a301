//! One replica's part in what the control plane agrees on: who votes (`membership`, `rollback`, `zones`), the newest
//! configuration and other registers (`registers`, `named_registers`, `version_ballots`), leases on keys (`leases`,
//! `kept_answers`) and sessions. It owns the heartbeats, the pending calls and the messages that wait to be sent together.
//! It does no I/O and knows no clock. It must never say yes before the write behind it is safe, which `Act::Send`
//! sees to, and never count an answer that was given in another view than its own.
//!
//! Why it holds. A thing is agreed once more than half of a view's voters hold it. A view is followed by one that
//! differs in one member, decided by more than half of its own voters, and whoever has moved on answers nothing of
//! the old one any more. The new member votes only after so many voters that have moved on told it all they hold
//! that none of what was agreed before can be missing: of a view's voters, those that do not hold a thing that was
//! agreed are always fewer than it asks.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::messages::{
    Act, Ballot, Ballots, Body, Claim, Got, Grant, Key, Letter, Name, Outcome, Paper, Record, Said, Saved,
    Sheet, Station, Token, View, Want,
};

mod kept_answers;
mod leases;
mod membership;
pub mod named_registers;
mod registers;
mod rollback;
mod sessions;
mod version_ballots;
mod zones;

pub use leases::outcome_wait;
pub use sessions::{SESSION_IDLE, SessionCounts};

pub type Nanos = u64;

const MS: Nanos = 1_000_000;
/// From beat to beat.
const BEAT: Nanos = 250 * MS;
/// The longest time from tick to tick.
const TICK: Nanos = 50 * MS;
/// One that was not heard for so long may have missed letters.
const SILENT: Nanos = 600 * MS;
/// One that was heard within this is there.
const THERE: Nanos = 1000 * MS;
/// One that is no member is forgotten after this.
const FORGET: Nanos = 30_000 * MS;
/// Questions that go unanswered are put again.
const AGAIN: Nanos = 120 * MS;
/// The same thing is told to the same steward only so often.
const RARELY: Nanos = 100 * MS;
const MOST_PEERS: usize = 256;
const MOST_ZONE: usize = 255;
const MOST_CLAIM_CALLS: usize = 16_384;
const MOST_SHEET_CALLS: usize = 256;
/// No letter holds more of them, nor many bytes more.
const MOST_IN_LETTER: usize = 256;
const BYTES_IN_LETTER: usize = 512 * 1024;

type Rank = (u64, u64);

/// The register without a name.
const TIMETABLE: &str = "";

#[derive(Clone, Debug)]
pub struct Config {
    /// How long claims are kept.
    pub keep: Nanos,
    /// After such a silence a member may be swapped out.
    pub lost_after: Nanos,
    /// How many voters are wished.
    pub want: usize,
    pub most_claims: usize,
    /// Of kept answers together. Above it the oldest go, and their claims stay.
    pub most_bytes: usize,
    /// So many zones may be lost at once, where the stewards that are there allow it; 0: zones don't matter.
    pub zones: usize,
    /// This steward's.
    pub zone: String,
}

/// What is known of another steward.
#[derive(Clone, Debug)]
struct Peer {
    /// When it first mattered.
    since: Nanos,
    heard: Option<Nanos>,
    /// From its last beat.
    view: u64,
    voter: bool,
    leaving: bool,
    zone: String,
    /// When it was last told or asked of views, and of sheets.
    told: Option<Nanos>,
    asked: Option<Nanos>,
    pulled: BTreeMap<Name, Nanos>,
    pushed: BTreeMap<Name, (Nanos, Rank)>,
    /// When it was last asked which papers it holds, and all of ours that it was last found to hold as well.
    listed: Option<Nanos>,
    counted: u128,
    /// Papers that it was asked for, as many as go in a letter.
    wanted: BTreeMap<Name, Rank>,
}

impl Peer {
    fn new(now: Nanos) -> Peer {
        Peer {
            since: now,
            heard: None,
            view: 0,
            voter: false,
            leaving: false,
            zone: String::new(),
            told: None,
            asked: None,
            pulled: BTreeMap::new(),
            pushed: BTreeMap::new(),
            listed: None,
            counted: 0,
            wanted: BTreeMap::new(),
        }
    }

    fn there(&self, now: Nanos) -> bool {
        self.heard.is_some_and(|heard| now.saturating_sub(heard) <= THERE)
    }

    fn silence(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.heard.unwrap_or(self.since))
    }
}

/// What is known of a steward, for those that look on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Known {
    pub station: Station,
    pub member: bool,
    pub voter: bool,
    pub view: u64,
    /// How long ago; never, for one that was not heard yet.
    pub heard: Option<Nanos>,
    pub leaving: bool,
    /// Empty where it has not told.
    pub zone: String,
}

/// Whether it is time again; notes that it was done.
fn due(last: &mut Option<Nanos>, now: Nanos, every: Nanos) -> bool {
    if last.is_some_and(|last| now < last.saturating_add(every)) {
        return false;
    }
    *last = Some(now);
    true
}

/// Small things for one address that go out together.
#[derive(Clone, Debug, Default)]
struct Post {
    settles: Vec<(Key, Token, Option<Outcome>)>,
    grants: Vec<(u64, Key, Token, u32)>,
    granted: Vec<(u64, Grant)>,
    session_asks: Vec<Said>,
    session_replies: Vec<Said>,
}

/// A call that waits for its answer.
#[derive(Clone, Debug)]
enum Call {
    Claim(leases::Asked),
    Replace(registers::Replacing),
    Read(registers::Reading),
    Session(Box<sessions::Changing>),
}

#[derive(Clone, Debug)]
pub struct Core {
    now: Nanos,
    me: Station,
    config: Config,
    seeds: Vec<SocketAddr>,
    chance: ChaCha8Rng,
    peers: BTreeMap<Station, Peer>,
    next_beat: Nanos,
    /// Something changed that the others should hear of now.
    tell: bool,
    leaving: bool,

    view: View,
    voter: bool,
    promised: Ballot,
    accepted: Option<(Ballot, View)>,
    attempt: Option<membership::Attempt>,
    next_try: Nanos,
    /// A change of the view is wished, and was a moment ago.
    wishing: bool,
    top_round: u64,
    catching: Option<membership::Catching>,
    /// It voted until this view began, and may tell its new member what it held.
    left: Option<u64>,
    /// It told another in this view what it holds; or it never will.
    told_new: bool,
    barred: bool,

    /// The newest configuration, and the papers by name.
    sheet: registers::Register,
    papers: named_registers::Papers,
    /// The agreement on one content for each version of these.
    versions: version_ballots::Versions,

    claims: BTreeMap<Key, leases::Kept>,
    answers: kept_answers::Answers,
    expiry: BTreeSet<(Nanos, Key)>,
    freed: BTreeMap<Token, Nanos>,
    /// Who asked for a key while another's claim of it was open.
    askers: BTreeSet<(Key, SocketAddr)>,
    freed_order: VecDeque<(Nanos, Token)>,
    told: VecDeque<(Nanos, leases::Told)>,
    sessions: sessions::Sessions,

    calls: BTreeMap<u64, Call>,
    sheet_calls: BTreeSet<u64>,
    timers: BTreeSet<(Nanos, u64)>,
    by_key: BTreeMap<Key, Vec<u64>>,
    /// Goes with the numbers of calls on the wire, so that another life's are not taken for this one's.
    salt: u64,
    post: BTreeMap<SocketAddr, Post>,

    /// Breaks one rule, for the tests that show that they would notice.
    #[doc(hidden)]
    pub mutant: u8,
    /// Goes back though the new member may be there, for the tests that show that only progress depends on it.
    #[doc(hidden)]
    pub hasty: bool,
}

impl Core {
    /// `first_start`: no steward of this mesh ever ran before. With an empty disk and without it, `me` is somebody new.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        now: Nanos,
        seed: u64,
        me: SocketAddr,
        first_start: bool,
        seeds: &[SocketAddr],
        saved: Saved,
        config: Config,
        out: &mut Vec<Act>,
    ) -> Core {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let fresh = saved.ballots.is_none();
        let ballots = saved.ballots.unwrap_or_else(|| {
            let disk = if first_start { 0 } else { chance.random_range(1..=u64::MAX) };
            let me = Station { at: me, disk };
            let first = || seeds.iter().map(|at| Station { at: *at, disk: 0 }).collect();
            let view = if first_start { View::first(1, first()) } else { View::first(0, Vec::new()) };
            let voter = view.members.contains(&me);
            let (promised, accepted) = (Ballot::default(), None);
            Ballots { me, view, voter, promised, accepted, told_new: false, barred: false }
        });
        let station = Station { at: me, disk: ballots.me.disk };
        let voted = ballots.voter && station == ballots.me;
        let member = ballots.view.members.contains(&station);
        let salt = chance.random();
        let mut core = Core {
            now,
            me: station,
            config,
            seeds: seeds.to_vec(),
            chance,
            peers: BTreeMap::new(),
            next_beat: now,
            tell: false,
            leaving: false,
            voter: voted && member,
            left: (voted && !member).then_some(ballots.view.number),
            told_new: ballots.told_new,
            barred: ballots.barred,
            top_round: ballots.promised.round,
            view: ballots.view,
            promised: ballots.promised,
            accepted: ballots.accepted,
            attempt: None,
            next_try: now,
            wishing: false,
            catching: None,
            sheet: registers::Register::holding(saved.sheet),
            papers: named_registers::Papers::holding(saved.papers),
            versions: version_ballots::Versions::default(),
            claims: BTreeMap::new(),
            answers: kept_answers::Answers::default(),
            expiry: BTreeSet::new(),
            freed: BTreeMap::new(),
            askers: BTreeSet::new(),
            freed_order: VecDeque::new(),
            told: VecDeque::new(),
            sessions: sessions::Sessions::default(),
            calls: BTreeMap::new(),
            sheet_calls: BTreeSet::new(),
            timers: BTreeSet::new(),
            by_key: BTreeMap::new(),
            salt,
            post: BTreeMap::new(),
            mutant: 0,
            hasty: false,
        };
        for (key, claim) in saved.claims {
            core.put(key, claim);
        }
        for (session, entry) in saved.sessions {
            core.put_session(session, entry);
        }
        core.load_version_ballots(saved.version_ballots);
        core.shed(out);
        if fresh || station != ballots.me {
            core.keep_ballots(out);
        }
        out.push(Act::Log(format!("core: {station:?}, voter {}, view {:?}", core.voter, core.view)));
        core.enter(now, out);
        core
    }

    /// What came in a letter, from another steward or from oneself.
    pub fn hear(&mut self, now: Nanos, letter: Letter, out: &mut Vec<Act>) {
        self.now = self.now.max(now);
        let Letter { from, view, body } = letter;
        if from.at == self.me.at && from != self.me {
            return; // An earlier life of this very steward.
        }
        if from != self.me {
            self.note(now, from, view, &body, out);
        }
        let same = view == self.view.number;
        let member = same && self.is_member(&from);
        match body {
            Body::Beat { voter, sheet, safe, papers, .. } => {
                if member && voter {
                    self.sheet.ranked(from, sheet);
                }
                self.sheet.told_safe(safe);
                self.look(now, from, sheet, out);
                self.recount(TIMETABLE, out);
                self.papers_there(now, from, member && voter, papers, out);
            }
            Body::Holds(view) => self.adopt(now, view, out),
            Body::Prepare(ballot) if same => self.prepare(from, ballot, out),
            Body::Promise { ballot, accepted } if member => self.promise(from, ballot, accepted, false, out),
            Body::Accept(ballot, view) if same => self.accept(from, ballot, view, out),
            Body::Accepted(ballot) if same => self.accepted(now, from, ballot, out),
            Body::Bar(ballot) if same => self.bar(from, ballot, out),
            Body::Barred { ballot, accepted } if same => self.promise(from, ballot, accepted, true, out),
            Body::Outbid(ballot) if same => self.outbid(now, ballot),
            Body::Grant(list) if same => self.asked_grants(now, from, list, out),
            Body::Granted(list) if member || self.mutant == 1 => self.granted(now, from, list, out),
            Body::Settle(list) => {
                for (key, token, outcome) in list {
                    self.settle(now, key, token, outcome, out);
                }
            }
            Body::Hold(sheet) => self.offered(from, same, sheet, out),
            Body::WantSheet { ask, have } => self.want_sheet(from, same, ask, have, out),
            Body::Held { ask, rank } => self.held_there(now, from, member, ask, rank, out),
            Body::WantState { from: place, round, papers } if member || self.mutant == 9 => {
                self.want_state(from, place, round, papers, out);
            }
            Body::Sessions(list) => self.said_of_sessions(now, from, (same, member), list, out),
            Body::State { round, part, next, sheet, sessions, papers, next_paper, version_ballots }
                if same || self.mutant == 9 =>
            {
                let held = (part, sessions, papers, version_ballots);
                self.state(now, from, round, held, sheet, (next, next_paper), out);
            }
            Body::Version(message) => self.version_message(now, from, (same, member), message, out),
            Body::HoldPapers(papers) => self.papers_offered(from, same, papers, out),
            Body::WantPapers { ask, have } => self.want_papers(from, same, ask, have, out),
            Body::PapersHeld { ask, voter, ranks, next } => {
                self.papers_held(now, from, member && voter, ask, ranks, next, out);
            }
            Body::ListPapers(place) => self.list_papers(from, &place, out),
            _ => {}
        }
    }

    /// Answered by `Act::Answer`, once. What it has to say to others may wait for `flush`.
    pub fn want(&mut self, now: Nanos, call: u64, want: Want, out: &mut Vec<Act>) {
        self.now = self.now.max(now);
        if self.calls.contains_key(&call) {
            return;
        }
        match want {
            Want::Claim { key, token, left_ms } => self.claim_wanted(now, call, key, token, left_ms, out),
            Want::Settle { key, token, outcome } => self.settle_wanted(now, call, key, token, outcome, out),
            Want::Replace(sheet) => self.replace_wanted(now, call, TIMETABLE.into(), sheet, out),
            Want::Read => self.read_wanted(now, call, TIMETABLE.into(), out),
            Want::Paper(Paper { name, sheet }) if self.papers.has_room(&name, &sheet) => {
                self.replace_wanted(now, call, name, sheet, out);
            }
            Want::Paper(_) => out.push(Act::Answer { call, got: Got::Full }),
            Want::ReadPaper(name) => self.read_wanted(now, call, name, out),
            Want::Session(session, wish) => self.session_wanted(now, call, session, wish, out),
        }
    }

    /// The caller has gone: no answer is given any more. What was claimed stays claimed.
    pub fn forget(&mut self, call: u64) {
        match self.calls.remove(&call) {
            Some(Call::Claim(asked)) => {
                self.timers.remove(&(asked.timer, call));
                if let Some(calls) = self.by_key.get_mut(&asked.key) {
                    calls.retain(|other| *other != call);
                    if calls.is_empty() {
                        self.by_key.remove(&asked.key);
                    }
                }
            }
            Some(Call::Replace(replacing)) => {
                self.timers.remove(&(replacing.timer, call));
                self.sheet_calls.remove(&call);
            }
            Some(Call::Read(reading)) => {
                self.timers.remove(&(reading.timer, call));
                self.sheet_calls.remove(&call);
            }
            Some(Call::Session(changing)) => {
                self.timers.remove(&(changing.timer, call));
                self.session_forgotten(call);
            }
            None => {}
        }
    }

    /// Does what is due; says when to be called again at the latest. Flushes.
    pub fn tick(&mut self, now: Nanos, out: &mut Vec<Act>) -> Nanos {
        self.now = self.now.max(now);
        while let Some(&(at, call)) = self.timers.first() {
            if at > now {
                break;
            }
            self.timers.remove(&(at, call));
            match self.calls.get(&call) {
                Some(Call::Claim(_)) => self.claim_timer(now, call, out),
                Some(Call::Session(_)) => self.session_timer(now, call, out),
                Some(_) => self.sheet_timer(now, call, out),
                None => {}
            }
        }
        self.expire(now, out);
        self.expire_sessions(now, out);
        self.catch_up(now, out);
        self.propose(now, out);
        self.drive_proposals(now, out);
        if now >= self.next_beat {
            self.tell = true;
            self.next_beat = now.saturating_add(BEAT);
            let view = &self.view.members;
            self.peers
                .retain(|station, peer| view.binary_search(station).is_ok() || peer.silence(now) < FORGET);
        }
        self.flush(out);
        let next = self.timers.first().map_or(Nanos::MAX, |(at, _)| *at);
        let next = next.min(self.next_beat).min(self.next_proposal());
        next.min(now.saturating_add(TICK)).max(now.saturating_add(1))
    }

    /// Hands out what waited to go out together; to be called after each batch of `hear` and `want`.
    pub fn flush(&mut self, out: &mut Vec<Act>) {
        for (at, post) in std::mem::take(&mut self.post) {
            let settled =
                |(_, _, outcome): &(Key, Token, Option<Outcome>)| outcome.as_ref().map_or(0, weight);
            for part in parts(post.settles, settled) {
                out.push(Act::Now(at, self.letter(Body::Settle(part))));
            }
            for part in parts(post.grants, |_| 0) {
                out.push(Act::Now(at, self.letter(Body::Grant(part))));
            }
            let refused = |(_, grant): &(u64, Grant)| match grant {
                Grant::No(claim) => weight(&claim.outcome),
                Grant::Yes | Grant::Freed => 0,
            };
            for part in parts(post.granted, refused) {
                let letter = self.letter(Body::Granted(part));
                out.push(if self.mutant == 3 { Act::Now(at, letter) } else { Act::Send(at, letter) });
            }
            for part in parts(post.session_asks, |_| 0) {
                out.push(Act::Now(at, self.letter(Body::Sessions(part))));
            }
            for part in parts(post.session_replies, |_| 0) {
                let letter = self.letter(Body::Sessions(part));
                out.push(if self.mutant == 27 { Act::Now(at, letter) } else { Act::Send(at, letter) });
            }
        }
        if std::mem::take(&mut self.tell) {
            let letter = self.beat();
            for at in self.all_known() {
                out.push(Act::Send(at, letter.clone()));
            }
        }
    }

    /// The settings file changed.
    pub fn seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
    }

    /// This steward is about to end: others may take its place at once.
    pub fn leaving(&mut self, now: Nanos, out: &mut Vec<Act>) {
        self.now = self.now.max(now);
        self.leaving = true;
        self.tell = true;
        self.flush(out);
    }

    /// After `leaving`: what this replica holds is on enough others, so that it may end for good. As a member it waits
    /// until another that votes has its place, or until nobody is there to take it and all others vote: one that is
    /// still catching up may need to be told by this one.
    pub fn gone(&self) -> bool {
        if !self.leaving || self.mutant == 38 {
            return self.leaving;
        }
        let others_vote = self.view.members.iter().all(|member| *member == self.me || self.is_voter(member));
        if self.is_member(&self.me) {
            let taker = self.peers.iter().any(|(station, peer)| self.may_join(station, peer));
            return self.view.members.len() <= 1 || !taker && others_vote;
        }
        self.left.is_none() || others_vote
    }

    /// The newest configuration known to be on more than half of the voters' disks. Never goes back in a life.
    pub fn safe(&self) -> Option<&Arc<Sheet>> {
        self.sheet.safe.as_ref()
    }

    /// The newest one that this steward has, which may yet be lost.
    pub fn held(&self) -> Option<&Arc<Sheet>> {
        self.sheet.held.as_ref()
    }

    pub fn me(&self) -> Station {
        self.me
    }

    pub fn view(&self) -> &View {
        &self.view
    }

    pub fn voter(&self) -> bool {
        self.voter
    }

    /// More than half of the view is heard.
    pub fn settled(&self, now: Nanos) -> bool {
        let there = |station: &&Station| {
            **station == self.me || self.peers.get(*station).is_some_and(|peer| peer.there(now))
        };
        self.view.number > 0 && self.view.members.iter().filter(there).count() >= self.majority()
    }

    /// All stewards that are members or known to be there.
    pub fn stewards(&self) -> Vec<SocketAddr> {
        let there = self.peers.iter().filter(|(_, peer)| peer.there(self.now)).map(|(station, _)| station.at);
        let members = self.view.members.iter().map(|station| station.at);
        let all: BTreeSet<SocketAddr> = there.chain(members).chain([self.me.at]).collect();
        all.into_iter().collect()
    }

    /// This steward, the members, and all others heard of late.
    pub fn known(&self, now: Nanos) -> Vec<Known> {
        let me = Known {
            station: self.me,
            member: self.is_member(&self.me),
            voter: self.voter,
            view: self.view.number,
            heard: Some(0),
            leaving: self.leaving,
            zone: self.config.zone.clone(),
        };
        let others = self.peers.iter().filter(|(station, _)| **station != self.me);
        let others = others.map(|(station, peer)| Known {
            station: *station,
            member: self.is_member(station),
            voter: peer.voter,
            view: peer.view,
            heard: peer.heard.map(|heard| now.saturating_sub(heard)),
            leaving: peer.leaving,
            zone: peer.zone.clone(),
        });
        let mut all: Vec<Known> = [me].into_iter().chain(others).collect();
        all.sort_by_key(|known| known.station);
        all
    }

    /// All that the disk should hold, to write it anew.
    pub fn records(&self) -> Vec<Record> {
        let claims = self.claims.iter().map(|(key, kept)| Record::Claim(*key, kept.claim.clone()));
        let sheet = self.sheet.held.iter().map(|sheet| Record::Sheet(sheet.clone()));
        let papers = self.papers.from("").map(Record::Paper);
        let versions = Record::VersionBallots(self.version_ballots());
        let all = [Record::Ballots(self.ballots()), versions].into_iter();
        let all = all.chain(sheet).chain(papers).chain(claims);
        all.chain(self.session_records()).collect()
    }

    fn is_member(&self, station: &Station) -> bool {
        self.view.members.binary_search(station).is_ok()
    }

    /// How many voters are more than half.
    fn majority(&self) -> usize {
        let half = self.view.members.len() / 2;
        if self.mutant == 4 { half.max(1) } else { half + 1 }
    }

    fn others(&self) -> impl Iterator<Item = Station> + use<> {
        let me = self.me;
        self.view.members.clone().into_iter().filter(move |station| *station != me)
    }

    fn letter(&self, body: Body) -> Letter {
        Letter { from: self.me, view: self.view.number, body }
    }

    /// Sends once all that was written is safe.
    fn send(&self, at: SocketAddr, body: Body, out: &mut Vec<Act>) {
        out.push(Act::Send(at, self.letter(body)));
    }

    /// Sends at once: only for what promises nothing.
    fn now(&self, at: SocketAddr, body: Body, out: &mut Vec<Act>) {
        out.push(Act::Now(at, self.letter(body)));
    }

    fn answer(&mut self, call: u64, got: Got, out: &mut Vec<Act>) {
        self.forget(call);
        out.push(Act::Answer { call, got });
    }

    fn beat(&self) -> Letter {
        self.letter(Body::Beat {
            voter: self.voter,
            sheet: self.sheet.held_rank(),
            safe: self.sheet.safe_rank,
            leaving: self.leaving,
            zone: if self.config.zones > 0 { self.config.zone.clone() } else { String::new() },
            papers: self.papers.digest(),
        })
    }

    /// Members, seeds and all heard lately; oneself only where that counts.
    fn all_known(&self) -> BTreeSet<SocketAddr> {
        let members = self.view.members.iter().map(|station| station.at);
        let peers = self.peers.keys().map(|station| station.at);
        let mut all: BTreeSet<SocketAddr> = members.chain(peers).chain(self.seeds.iter().copied()).collect();
        if !self.voter {
            all.remove(&self.me.at);
        }
        all
    }

    /// Notes that another was heard, and sees to it that both get to the same view.
    fn note(&mut self, now: Nanos, from: Station, view: u64, body: &Body, out: &mut Vec<Act>) {
        if !self.peers.contains_key(&from) {
            if self.peers.len() >= MOST_PEERS {
                return;
            }
            self.peers.insert(from, Peer::new(now));
        }
        let mine = self.view.number;
        let Some(peer) = self.peers.get_mut(&from) else { return };
        let missed = (peer.silence(now) > SILENT).then(|| peer.heard.unwrap_or(peer.since));
        peer.heard = Some(now.max(peer.heard.unwrap_or(0)));
        if let Body::Beat { voter, leaving, zone, .. } = body {
            // A late beat of an earlier view says nothing.
            if view >= peer.view {
                peer.voter = *voter || (peer.voter && view == peer.view);
                peer.view = view;
            }
            peer.leaving = *leaving;
            if peer.zone != *zone {
                peer.zone.clone_from(zone);
                peer.zone.truncate(peer.zone.floor_char_boundary(MOST_ZONE));
            }
        }
        let (tells, asks) = (
            view < mine && due(&mut peer.told, now, RARELY),
            view > mine && !matches!(body, Body::Holds(_)) && due(&mut peer.asked, now, RARELY),
        );
        if tells {
            self.now(from.at, Body::Holds(self.view.clone()), out);
        }
        if asks {
            out.push(Act::Send(from.at, self.beat()));
        }
        if let Some(since) = missed {
            self.tell_again(from, since);
        }
    }
}

fn weight(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Open | Outcome::Unknown => 0,
        Outcome::Done(answer) => {
            answer.body.len()
                + answer.headers.iter().map(|(name, value)| name.len() + value.len()).sum::<usize>()
        }
    }
}

/// Cuts a list so that each part fits a letter.
fn parts<T>(list: Vec<T>, weight: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut bytes = 0;
    for item in list {
        let more = weight(&item);
        match parts.last_mut() {
            Some(part) if part.len() < MOST_IN_LETTER && bytes + more <= BYTES_IN_LETTER => {
                bytes += more;
                part.push(item);
            }
            _ => {
                bytes = more;
                parts.push(vec![item]);
            }
        }
    }
    parts
}
