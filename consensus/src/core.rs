//! One replica's part in what the control plane agrees on: who votes (`membership`, `rollback`, `zones`), the newest
//! configuration and other registers (`registers`, `named_registers`, `version_ballots`), leases on keys (`leases`,
//! `kept_answers`) and sessions. It owns the heartbeats, the pending calls and the messages that wait to be sent together.
//! It does no I/O and knows no clock. It must never say yes before the write behind it is safe, which `Effect::SendAfterPersist`
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
    Ballot, CoreRequest, CoreResponse, Effect, Lease, LeaseKey, LeaseOutcome, LeaseToken, LeaseVote,
    LogRecord, Membership, MembershipBallotState, Message, MessageBody, NamedRegister, PersistedState,
    RegisterName, RegisterValue, ReplicaId, Revision, SessionMessage,
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

/// The register without a name.
const TIMETABLE: &str = "";

#[derive(Clone, Debug)]
pub struct Config {
    /// How long claims are kept.
    pub lease_ttl: Nanos,
    /// After such a silence a member may be swapped out.
    pub member_timeout: Nanos,
    /// How many voters are wished.
    pub target_members: usize,
    pub max_leases: usize,
    /// Of kept answers together. Above it the oldest go, and their claims stay.
    pub max_response_bytes: usize,
    /// So many zones may be lost at once, where the stewards that are there allow it; 0: zones don't matter.
    pub tolerated_zone_losses: usize,
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
    pulled: BTreeMap<RegisterName, Nanos>,
    pushed: BTreeMap<RegisterName, (Nanos, Revision)>,
    /// When it was last asked which papers it holds, and all of ours that it was last found to hold as well.
    listed: Option<Nanos>,
    counted: u128,
    /// Papers that it was asked for, as many as go in a letter.
    wanted: BTreeMap<RegisterName, Revision>,
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
pub struct PeerStatus {
    pub replica: ReplicaId,
    pub member: bool,
    pub voter: bool,
    pub epoch: u64,
    /// How long ago; never, for one that was not heard yet.
    pub heard_ago: Option<Nanos>,
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
    settles: Vec<(LeaseKey, LeaseToken, Option<LeaseOutcome>)>,
    grants: Vec<(u64, LeaseKey, LeaseToken, u32)>,
    granted: Vec<(u64, LeaseVote)>,
    session_asks: Vec<SessionMessage>,
    session_replies: Vec<SessionMessage>,
}

/// A call that waits for its answer.
#[derive(Clone, Debug)]
enum Call {
    Lease(leases::Asked),
    Replace(registers::Replacing),
    Read(registers::Reading),
    Session(Box<sessions::Changing>),
}

#[derive(Clone, Debug)]
pub struct Core {
    now: Nanos,
    me: ReplicaId,
    config: Config,
    seeds: Vec<SocketAddr>,
    chance: ChaCha8Rng,
    peers: BTreeMap<ReplicaId, Peer>,
    next_beat: Nanos,
    /// Something changed that the others should hear of now.
    tell: bool,
    leaving: bool,

    view: Membership,
    voter: bool,
    promised: Ballot,
    accepted: Option<(Ballot, Membership)>,
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

    claims: BTreeMap<LeaseKey, leases::Kept>,
    answers: kept_answers::Answers,
    expiry: BTreeSet<(Nanos, LeaseKey)>,
    freed: BTreeMap<LeaseToken, Nanos>,
    /// Who asked for a key while another's claim of it was open.
    askers: BTreeSet<(LeaseKey, SocketAddr)>,
    freed_order: VecDeque<(Nanos, LeaseToken)>,
    told: VecDeque<(Nanos, leases::Told)>,
    sessions: sessions::Sessions,

    calls: BTreeMap<u64, Call>,
    sheet_calls: BTreeSet<u64>,
    timers: BTreeSet<(Nanos, u64)>,
    by_key: BTreeMap<LeaseKey, Vec<u64>>,
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
        saved: PersistedState,
        config: Config,
        out: &mut Vec<Effect>,
    ) -> Core {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let fresh = saved.membership_ballot.is_none();
        let ballots = saved.membership_ballot.unwrap_or_else(|| {
            let disk = if first_start { 0 } else { chance.random_range(1..=u64::MAX) };
            let me = ReplicaId { address: me, disk_id: disk };
            let first = || seeds.iter().map(|at| ReplicaId { address: *at, disk_id: 0 }).collect();
            let view = if first_start {
                Membership::initial(1, first())
            } else {
                Membership::initial(0, Vec::new())
            };
            let voter = view.members.contains(&me);
            let (promised, accepted) = (Ballot::default(), None);
            MembershipBallotState {
                replica: me,
                membership: view,
                voter,
                promised,
                accepted,
                served_snapshot: false,
                barred_from_serving: false,
            }
        });
        let station = ReplicaId { address: me, disk_id: ballots.replica.disk_id };
        let voted = ballots.voter && station == ballots.replica;
        let member = ballots.membership.members.contains(&station);
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
            left: (voted && !member).then_some(ballots.membership.epoch),
            told_new: ballots.served_snapshot,
            barred: ballots.barred_from_serving,
            top_round: ballots.promised.round,
            view: ballots.membership,
            promised: ballots.promised,
            accepted: ballots.accepted,
            attempt: None,
            next_try: now,
            wishing: false,
            catching: None,
            sheet: registers::Register::holding(saved.configuration),
            papers: named_registers::Papers::holding(saved.registers),
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
        for (key, claim) in saved.leases {
            core.put(key, claim);
        }
        for (session, entry) in saved.sessions {
            core.put_session(session, entry);
        }
        core.load_version_ballots(saved.acceptors);
        core.shed(out);
        if fresh || station != ballots.replica {
            core.keep_ballots(out);
        }
        out.push(Effect::Log(format!("core: {station:?}, voter {}, view {:?}", core.voter, core.view)));
        core.enter(now, out);
        core
    }

    /// What came in a letter, from another steward or from oneself.
    pub fn handle_message(&mut self, now: Nanos, letter: Message, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        let Message { from, epoch: view, body } = letter;
        if from.address == self.me.address && from != self.me {
            return; // An earlier life of this very steward.
        }
        if from != self.me {
            self.note(now, from, view, &body, out);
        }
        let same = view == self.view.epoch;
        let member = same && self.is_member(&from);
        match body {
            MessageBody::Heartbeat {
                voter,
                configuration: sheet,
                committed_configuration: safe,
                registers_digest: papers,
                ..
            } => {
                if member && voter {
                    self.sheet.ranked(from, sheet);
                }
                self.sheet.told_safe(safe);
                self.look(now, from, sheet, out);
                self.recount(TIMETABLE, out);
                self.papers_there(now, from, member && voter, papers, out);
            }
            MessageBody::MembershipAnnouncement(view) => self.adopt(now, view, out),
            MessageBody::Prepare(ballot) if same => self.prepare(from, ballot, out),
            MessageBody::Promise { ballot, accepted } if member => {
                self.promise(from, ballot, accepted, false, out)
            }
            MessageBody::Accept(ballot, view) if same => self.accept(from, ballot, view, out),
            MessageBody::Accepted(ballot) if same => self.accepted(now, from, ballot, out),
            MessageBody::PrepareRollback(ballot) if same => self.bar(from, ballot, out),
            MessageBody::RollbackPromise { ballot, accepted } if same => {
                self.promise(from, ballot, accepted, true, out)
            }
            MessageBody::Preempted(ballot) if same => self.outbid(now, ballot),
            MessageBody::RequestLeases(list) if same => self.asked_grants(now, from, list, out),
            MessageBody::LeaseVotes(list) if member || self.mutant == 1 => self.granted(now, from, list, out),
            MessageBody::CompleteLeases(list) => {
                for (key, token, outcome) in list {
                    self.settle(now, key, token, outcome, out);
                }
            }
            MessageBody::StoreConfiguration(sheet) => self.offered(from, same, sheet, out),
            MessageBody::FetchConfiguration { read_id: ask, known: have } => {
                self.want_sheet(from, same, ask, have, out)
            }
            MessageBody::ConfigurationStored { read_id: ask, revision: rank } => {
                self.held_there(now, from, member, ask, rank, out)
            }
            MessageBody::FetchSnapshot { from_key: place, catch_up_id: round, from_register: papers }
                if member || self.mutant == 9 =>
            {
                self.want_state(from, place, round, papers, out);
            }
            MessageBody::Sessions(list) => self.said_of_sessions(now, from, (same, member), list, out),
            MessageBody::SnapshotChunk {
                catch_up_id: round,
                leases: part,
                next_key: next,
                configuration: sheet,
                sessions,
                registers: papers,
                next_register: next_paper,
                acceptors: version_ballots,
            } if same || self.mutant == 9 => {
                let held = (part, sessions, papers, version_ballots);
                self.state(now, from, round, held, sheet, (next, next_paper), out);
            }
            MessageBody::RegisterPaxos(message) => {
                self.version_message(now, from, (same, member), message, out)
            }
            MessageBody::StoreRegisters(papers) => self.papers_offered(from, same, papers, out),
            MessageBody::FetchRegisters { read_id: ask, known: have } => {
                self.want_papers(from, same, ask, have, out)
            }
            MessageBody::RegistersStored { read_id: ask, voter, revisions: ranks, next } => {
                self.papers_held(now, from, member && voter, ask, ranks, next, out);
            }
            MessageBody::ListRegisters(place) => self.list_papers(from, &place, out),
            _ => {}
        }
    }

    /// Answered by `Effect::Respond`, once. What it has to say to others may wait for `flush`.
    pub fn handle_request(&mut self, now: Nanos, call: u64, want: CoreRequest, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        if self.calls.contains_key(&call) {
            return;
        }
        match want {
            CoreRequest::AcquireLease { key, token, time_left_ms: left_ms } => {
                self.claim_wanted(now, call, key, token, left_ms, out)
            }
            CoreRequest::CompleteLease { key, token, outcome } => {
                self.settle_wanted(now, call, key, token, outcome, out)
            }
            CoreRequest::ReplaceConfiguration(sheet) => {
                self.replace_wanted(now, call, TIMETABLE.into(), sheet, out)
            }
            CoreRequest::ReadConfiguration => self.read_wanted(now, call, TIMETABLE.into(), out),
            CoreRequest::ReplaceRegister(NamedRegister { name, value: sheet })
                if self.papers.has_room(&name, &sheet) =>
            {
                self.replace_wanted(now, call, name, sheet, out);
            }
            CoreRequest::ReplaceRegister(_) => {
                out.push(Effect::Respond { call, response: CoreResponse::CapacityExceeded })
            }
            CoreRequest::ReadRegister(name) => self.read_wanted(now, call, name, out),
            CoreRequest::Session(session, wish) => self.session_wanted(now, call, session, wish, out),
        }
    }

    /// The caller has gone: no answer is given any more. What was claimed stays claimed.
    pub fn cancel_request(&mut self, call: u64) {
        match self.calls.remove(&call) {
            Some(Call::Lease(asked)) => {
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
    pub fn tick(&mut self, now: Nanos, out: &mut Vec<Effect>) -> Nanos {
        self.now = self.now.max(now);
        while let Some(&(at, call)) = self.timers.first() {
            if at > now {
                break;
            }
            self.timers.remove(&(at, call));
            match self.calls.get(&call) {
                Some(Call::Lease(_)) => self.claim_timer(now, call, out),
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
    pub fn flush(&mut self, out: &mut Vec<Effect>) {
        for (at, post) in std::mem::take(&mut self.post) {
            let settled = |(_, _, outcome): &(LeaseKey, LeaseToken, Option<LeaseOutcome>)| {
                outcome.as_ref().map_or(0, weight)
            };
            for part in parts(post.settles, settled) {
                out.push(Effect::SendNow(at, self.letter(MessageBody::CompleteLeases(part))));
            }
            for part in parts(post.grants, |_| 0) {
                out.push(Effect::SendNow(at, self.letter(MessageBody::RequestLeases(part))));
            }
            let refused = |(_, grant): &(u64, LeaseVote)| match grant {
                LeaseVote::Held(claim) => weight(&claim.outcome),
                LeaseVote::Granted | LeaseVote::TokenReleased => 0,
            };
            for part in parts(post.granted, refused) {
                let letter = self.letter(MessageBody::LeaseVotes(part));
                out.push(if self.mutant == 3 {
                    Effect::SendNow(at, letter)
                } else {
                    Effect::SendAfterPersist(at, letter)
                });
            }
            for part in parts(post.session_asks, |_| 0) {
                out.push(Effect::SendNow(at, self.letter(MessageBody::Sessions(part))));
            }
            for part in parts(post.session_replies, |_| 0) {
                let letter = self.letter(MessageBody::Sessions(part));
                out.push(if self.mutant == 27 {
                    Effect::SendNow(at, letter)
                } else {
                    Effect::SendAfterPersist(at, letter)
                });
            }
        }
        if std::mem::take(&mut self.tell) {
            let letter = self.beat();
            for at in self.all_known() {
                out.push(Effect::SendAfterPersist(at, letter.clone()));
            }
        }
    }

    /// The settings file changed.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
    }

    /// This steward is about to end: others may take its place at once.
    pub fn announce_departure(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        self.leaving = true;
        self.tell = true;
        self.flush(out);
    }

    /// After `leaving`: what this replica holds is on enough others, so that it may end for good. As a member it waits
    /// until another that votes has its place, or until nobody is there to take it and all others vote: one that is
    /// still catching up may need to be told by this one.
    pub fn may_stop(&self) -> bool {
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
    pub fn committed_configuration(&self) -> Option<&Arc<RegisterValue>> {
        self.sheet.safe.as_ref()
    }

    /// The newest one that this steward has, which may yet be lost.
    pub fn stored_configuration(&self) -> Option<&Arc<RegisterValue>> {
        self.sheet.held.as_ref()
    }

    pub fn replica(&self) -> ReplicaId {
        self.me
    }

    pub fn membership(&self) -> &Membership {
        &self.view
    }

    pub fn is_voting(&self) -> bool {
        self.voter
    }

    /// More than half of the view is heard.
    pub fn has_quorum(&self, now: Nanos) -> bool {
        let there = |station: &&ReplicaId| {
            **station == self.me || self.peers.get(*station).is_some_and(|peer| peer.there(now))
        };
        self.view.epoch > 0 && self.view.members.iter().filter(there).count() >= self.majority()
    }

    /// All stewards that are members or known to be there.
    pub fn replica_addresses(&self) -> Vec<SocketAddr> {
        let there =
            self.peers.iter().filter(|(_, peer)| peer.there(self.now)).map(|(station, _)| station.address);
        let members = self.view.members.iter().map(|station| station.address);
        let all: BTreeSet<SocketAddr> = there.chain(members).chain([self.me.address]).collect();
        all.into_iter().collect()
    }

    /// This steward, the members, and all others heard of late.
    pub fn peer_statuses(&self, now: Nanos) -> Vec<PeerStatus> {
        let me = PeerStatus {
            replica: self.me,
            member: self.is_member(&self.me),
            voter: self.voter,
            epoch: self.view.epoch,
            heard_ago: Some(0),
            leaving: self.leaving,
            zone: self.config.zone.clone(),
        };
        let others = self.peers.iter().filter(|(station, _)| **station != self.me);
        let others = others.map(|(station, peer)| PeerStatus {
            replica: *station,
            member: self.is_member(station),
            voter: peer.voter,
            epoch: peer.view,
            heard_ago: peer.heard.map(|heard| now.saturating_sub(heard)),
            leaving: peer.leaving,
            zone: peer.zone.clone(),
        });
        let mut all: Vec<PeerStatus> = [me].into_iter().chain(others).collect();
        all.sort_by_key(|known| known.replica);
        all
    }

    /// All that the disk should hold, to write it anew.
    pub fn log_records(&self) -> Vec<LogRecord> {
        let claims = self.claims.iter().map(|(key, kept)| LogRecord::Lease(*key, kept.claim.clone()));
        let sheet = self.sheet.held.iter().map(|sheet| LogRecord::Configuration(sheet.clone()));
        let papers = self.papers.from("").map(LogRecord::Register);
        let versions = LogRecord::RegisterAcceptors(self.version_ballots());
        let all = [LogRecord::MembershipBallot(self.ballots()), versions].into_iter();
        let all = all.chain(sheet).chain(papers).chain(claims);
        all.chain(self.session_records()).collect()
    }

    fn is_member(&self, station: &ReplicaId) -> bool {
        self.view.members.binary_search(station).is_ok()
    }

    /// How many voters are more than half.
    fn majority(&self) -> usize {
        let half = self.view.members.len() / 2;
        if self.mutant == 4 { half.max(1) } else { half + 1 }
    }

    fn others(&self) -> impl Iterator<Item = ReplicaId> + use<> {
        let me = self.me;
        self.view.members.clone().into_iter().filter(move |station| *station != me)
    }

    fn letter(&self, body: MessageBody) -> Message {
        Message { from: self.me, epoch: self.view.epoch, body }
    }

    /// Sends once all that was written is safe.
    fn send(&self, at: SocketAddr, body: MessageBody, out: &mut Vec<Effect>) {
        out.push(Effect::SendAfterPersist(at, self.letter(body)));
    }

    /// Sends at once: only for what promises nothing.
    fn now(&self, at: SocketAddr, body: MessageBody, out: &mut Vec<Effect>) {
        out.push(Effect::SendNow(at, self.letter(body)));
    }

    fn answer(&mut self, call: u64, got: CoreResponse, out: &mut Vec<Effect>) {
        self.cancel_request(call);
        out.push(Effect::Respond { call, response: got });
    }

    fn beat(&self) -> Message {
        self.letter(MessageBody::Heartbeat {
            voter: self.voter,
            configuration: self.sheet.held_revision(),
            committed_configuration: self.sheet.safe_revision,
            leaving: self.leaving,
            zone: if self.config.tolerated_zone_losses > 0 {
                self.config.zone.clone()
            } else {
                String::new()
            },
            registers_digest: self.papers.digest(),
        })
    }

    /// Members, seeds and all heard lately; oneself only where that counts.
    fn all_known(&self) -> BTreeSet<SocketAddr> {
        let members = self.view.members.iter().map(|station| station.address);
        let peers = self.peers.keys().map(|station| station.address);
        let mut all: BTreeSet<SocketAddr> = members.chain(peers).chain(self.seeds.iter().copied()).collect();
        if !self.voter {
            all.remove(&self.me.address);
        }
        all
    }

    /// Notes that another was heard, and sees to it that both get to the same view.
    fn note(&mut self, now: Nanos, from: ReplicaId, view: u64, body: &MessageBody, out: &mut Vec<Effect>) {
        if !self.peers.contains_key(&from) {
            if self.peers.len() >= MOST_PEERS {
                return;
            }
            self.peers.insert(from, Peer::new(now));
        }
        let mine = self.view.epoch;
        let Some(peer) = self.peers.get_mut(&from) else { return };
        let missed = (peer.silence(now) > SILENT).then(|| peer.heard.unwrap_or(peer.since));
        peer.heard = Some(now.max(peer.heard.unwrap_or(0)));
        if let MessageBody::Heartbeat { voter, leaving, zone, .. } = body {
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
            view > mine
                && !matches!(body, MessageBody::MembershipAnnouncement(_))
                && due(&mut peer.asked, now, RARELY),
        );
        if tells {
            self.now(from.address, MessageBody::MembershipAnnouncement(self.view.clone()), out);
        }
        if asks {
            out.push(Effect::SendAfterPersist(from.address, self.beat()));
        }
        if let Some(since) = missed {
            self.tell_again(from, since);
        }
    }
}

fn weight(outcome: &LeaseOutcome) -> usize {
    match outcome {
        LeaseOutcome::Pending | LeaseOutcome::Indeterminate => 0,
        LeaseOutcome::Completed(answer) => {
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
