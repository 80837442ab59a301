//! A steward's process in simulated time: the core and the office that the real one has, a disk that keeps what was
//! synced, and the order in which what the core decided is written, sent and answered, as in `balancer/src/mesh/steward.rs`.
//! It must never send or answer what depends on a write that is not safe yet.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use ochreshed_catalog::configuration_update::UpdateCache;
use ochreshed_catalog::endpoints::TablePosition;
use ochreshed_catalog::internal_rpc::{InternalRequest, InternalResponse, WatchResponse};
use ochreshed_catalog::watch_server::{
    self, CommittedRegisters, CommittedState, PendingWatch, RegisteredWatch, WatchServer,
};
use ochreshed_consensus::core::{Config, Core, Mutation, StartOptions};
use ochreshed_consensus::messages::*;

use super::count::Cause;
use super::hand::{Hand, Note, Timer};
use crate::Nanos;

/// So many waiting asks look at a time whether there is news for them.
const READERS: usize = 8;

/// No member is played, so that nobody writes or asks for one.
const NO_REGISTERS: CommittedRegisters = CommittedRegisters { digest: 0, registers: &[] };

/// What the disk holds, synced.
#[derive(Clone, Default)]
pub struct Kept {
    ballots: Option<MembershipBallotState>,
    version_ballots: Vec<AcceptorState>,
    sheet: Option<Arc<RegisterValue>>,
    claims: BTreeMap<LeaseKey, Lease>,
    papers: BTreeMap<RegisterName, Arc<RegisterValue>>,
    sessions: BTreeMap<SessionId, SessionRecord>,
}

impl Kept {
    fn write(&mut self, record: LogRecord) {
        match record {
            LogRecord::MembershipBallot(ballots) => self.ballots = Some(ballots),
            LogRecord::Configuration(sheet) => self.sheet = Some(sheet),
            LogRecord::Lease(key, claim) => {
                self.claims.insert(key, claim);
            }
            LogRecord::Register(paper) => drop(self.papers.insert(paper.name, paper.value)),
            LogRecord::Session(session, entry) => drop(self.sessions.insert(session, entry)),
            LogRecord::SessionEnded(session) => drop(self.sessions.remove(&session)),
            LogRecord::RegisterAcceptors(ballots) => self.version_ballots = ballots,
            LogRecord::LeaseReleased(key, token) => {
                if self.claims.get(&key).is_some_and(|claim| claim.token == token) {
                    self.claims.remove(&key);
                }
            }
        }
    }

    fn saved(&self) -> PersistedState {
        let claims =
            self.claims.iter().map(|(key, claim)| LeaseEntry { key: *key, lease: claim.clone() }).collect();
        let sessions = self
            .sessions
            .iter()
            .map(|(session, entry)| SessionEntry { session: *session, record: entry.clone() })
            .collect();
        let paper = |(name, sheet): (&RegisterName, &Arc<RegisterValue>)| NamedRegister {
            name: name.clone(),
            value: sheet.clone(),
        };
        let papers = self.papers.iter().map(paper).collect();
        let (ballots, version_ballots) = (self.ballots.clone(), self.version_ballots.clone());
        PersistedState {
            membership_ballot: ballots,
            acceptors: version_ballots,
            configuration: self.sheet.clone(),
            leases: claims,
            registers: papers,
            sessions,
        }
    }
}

#[derive(Default)]
struct Batch {
    records: Vec<LogRecord>,
    sends: Vec<(SocketAddr, Message)>,
}

/// An ask of an attendant or of another steward that waits for news.
struct Reader {
    from: usize,
    id: u64,
    cause: Cause,
    waiting: PendingWatch,
    /// It is answered soon, for there is news.
    timed: bool,
}

enum Call {
    Of(usize, u64),
    Replace(u64, u64),
    Read(Revision),
}

/// What one is before its start.
pub struct Start<'a> {
    pub at: SocketAddr,
    pub seeds: &'a [SocketAddr],
    pub first: bool,
    pub kept: Kept,
    pub config: Config,
    pub seed: u64,
    pub mutation: Option<Mutation>,
}

pub struct Steward {
    at: SocketAddr,
    core: Core,
    office: WatchServer,
    parcels: UpdateCache,
    pub kept: Kept,
    /// Given to the disk; the first `writing` of them are under way.
    batches: VecDeque<Batch>,
    writing: usize,
    safe: Option<Arc<RegisterValue>>,
    stewards: Vec<SocketAddr>,
    settled: bool,
    readers: BTreeMap<u64, Reader>,
    /// The readers from this number on are to look; none where nobody is.
    looking: Option<u64>,
    /// Something changed since the look under way began.
    again: bool,
    next_reader: u64,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    wake: Nanos,
    /// Asks to other stewards: where each one's table stands, and the ask that is open.
    others: BTreeMap<SocketAddr, (TablePosition, u64)>,
}

impl Steward {
    pub fn start(start: Start, hand: &mut Hand) -> Steward {
        let mut acts = Vec::new();
        let options = StartOptions {
            now: hand.now,
            seed: start.seed,
            address: start.at,
            first_start: start.first,
            seeds: start.seeds,
            saved: start.kept.saved(),
            config: start.config,
        };
        let mut core = Core::new(options, &mut acts);
        core.set_mutation(start.mutation);
        let mut steward = Steward {
            at: start.at,
            core,
            office: WatchServer::new(start.seed | 1),
            parcels: UpdateCache::default(),
            kept: start.kept,
            batches: VecDeque::new(),
            writing: 0,
            safe: None,
            stewards: Vec::new(),
            settled: false,
            readers: BTreeMap::new(),
            looking: None,
            again: false,
            next_reader: 0,
            calls: BTreeMap::new(),
            next_call: 1,
            wake: hand.now,
            others: BTreeMap::new(),
        };
        steward.work(acts, hand);
        hand.timer(watch_server::SUSPECT_AFTER + watch_server::SUSPECT_CHECK_INTERVAL, Timer::Look);
        hand.timer(0, Timer::Others);
        steward
    }

    fn stand(&self) -> CommittedState<'_> {
        let safe = self.safe.as_ref().map(|sheet| sheet.revision());
        CommittedState {
            configuration: safe,
            replicas: &self.stewards,
            has_quorum: self.settled,
            registers: NO_REGISTERS,
        }
    }

    pub fn ask(&mut self, from: usize, id: u64, ask: InternalRequest, cause: Cause, hand: &mut Hand) {
        match ask {
            InternalRequest::ReplicaMessage(letter) => {
                let mut acts = Vec::new();
                self.core.handle_message(hand.now, letter, &mut acts);
                self.work(acts, hand);
            }
            InternalRequest::Core(want) => self.want(want, Call::Of(from, id), hand),
            InternalRequest::Configuration(have) => {
                let parcel = self.parcels.update_from(have);
                hand.reply(from, id, InternalResponse::Configuration(parcel), Cause::Configurations);
            }
            InternalRequest::Registers(_) | InternalRequest::AppliedEditions(_) => {}
            InternalRequest::Watch(ask) => {
                let safe = self.safe.as_ref().map(|sheet| sheet.revision());
                let stand = CommittedState {
                    configuration: safe,
                    replicas: &self.stewards,
                    has_quorum: self.settled,
                    registers: NO_REGISTERS,
                };
                let RegisteredWatch { pending: waiting, table_changed: news } =
                    self.office.register(hand.now, &ask, stand);
                let due = self.office.due_at(&waiting, self.stand());
                if due.is_some_and(|due| due <= hand.now) {
                    let reply = self.office.respond(hand.now, waiting, self.stand(), None);
                    hand.reply(from, id, InternalResponse::Watch(Box::new(reply)), cause);
                } else {
                    self.next_reader += 1;
                    let until = due.map_or(waiting.max_wait, |due| (due - hand.now).min(waiting.max_wait));
                    hand.timer(until, Timer::Held(self.next_reader));
                    let reader = Reader { from, id, cause, waiting, timed: due.is_some() };
                    self.readers.insert(self.next_reader, reader);
                }
                if news {
                    self.change(hand);
                }
            }
        }
    }

    /// For an operator: `Replace` or `Read`.
    pub fn operator(&mut self, want: CoreRequest, floor: Revision, hand: &mut Hand) {
        let call = match &want {
            CoreRequest::ReplaceConfiguration(sheet) => Call::Replace(sheet.version, sheet.digest),
            _ => Call::Read(floor),
        };
        self.want(want, call, hand);
    }

    fn want(&mut self, want: CoreRequest, call: Call, hand: &mut Hand) {
        self.next_call += 1;
        self.calls.insert(self.next_call, call);
        let mut acts = Vec::new();
        self.core.handle_request(hand.now, self.next_call, want, &mut acts);
        self.work(acts, hand);
    }

    /// A reply of another steward; whether it was waited for.
    pub fn replied(&mut self, id: u64, reply: &WatchResponse, hand: &mut Hand) -> bool {
        let Some((at, (mark, open))) = self.others.iter_mut().find(|(_, (_, open))| *open == id) else {
            return false;
        };
        let at = *at;
        (*mark, *open) = (reply.position, 0);
        hand.rows(Cause::Spread, reply.last_heard_ms_ago.len());
        if self.office.merge(hand.now, reply) {
            self.change(hand);
        }
        // Many small changes go together.
        hand.timer(self.office.replica_watch_interval(), Timer::AskOther(at));
        true
    }

    /// No reply came, or the connection broke.
    pub fn failed(&mut self, id: u64, hand: &mut Hand) {
        if let Some((at, (_, open))) = self.others.iter_mut().find(|(_, (_, open))| *open == id) {
            *open = 0;
            hand.timer(watch_server::RETRY_INTERVAL, Timer::AskOther(*at));
        }
    }

    pub fn timer(&mut self, timer: Timer, hand: &mut Hand) {
        match timer {
            Timer::Wake if hand.now >= self.wake => self.work(Vec::new(), hand),
            Timer::Look => {
                hand.rows(Cause::Clock, self.office.table.records().count());
                if self.office.update_suspects(hand.now).is_some() {
                    self.change(hand);
                }
                hand.timer(watch_server::SUSPECT_CHECK_INTERVAL, Timer::Look);
            }
            Timer::Others => {
                self.others.retain(|at, _| self.stewards.contains(at));
                for at in self.stewards.iter().filter(|at| **at != self.at) {
                    if !self.others.contains_key(at) {
                        self.others.insert(*at, (TablePosition::default(), 0));
                        hand.timer(0, Timer::AskOther(*at));
                    }
                }
                hand.timer(watch_server::SUSPECT_CHECK_INTERVAL, Timer::Others);
            }
            Timer::AskOther(at) => {
                if let Some((mark, open)) = self.others.get_mut(&at) {
                    *open = hand.ask(
                        at,
                        InternalRequest::Watch(watch_server::replica_watch_request(*mark)),
                        false,
                    );
                    hand.timer(
                        watch_server::REPLICA_MAX_WAIT + watch_server::RESPONSE_GRACE,
                        Timer::Late(*open),
                    );
                }
            }
            Timer::Held(reader) => {
                if let Some(reader) = self.readers.remove(&reader) {
                    self.tell(reader, hand);
                }
            }
            Timer::Tell => self.readers_look(hand),
            Timer::Late(id) => self.failed(id, hand),
            Timer::Synced => {
                let done: Vec<Batch> = self.batches.drain(..self.writing).collect();
                self.writing = 0;
                let mut acts = Vec::new();
                for batch in done {
                    batch.records.into_iter().for_each(|record| self.kept.write(record));
                    self.send(batch.sends, &mut acts, hand);
                }
                self.sync(hand);
                self.work(acts, hand);
            }
            _ => {}
        }
    }

    /// Whoever waits for news looks whether this is some.
    fn change(&mut self, hand: &mut Hand) {
        if self.looking.is_some() {
            self.again = true;
            return;
        }
        self.looking = Some(0);
        hand.turn(Timer::Tell);
    }

    fn readers_look(&mut self, hand: &mut Hand) {
        let Some(from) = self.looking else { return };
        let numbers: Vec<u64> = self.readers.range(from..).take(READERS).map(|(number, _)| *number).collect();
        hand.readers(numbers.len());
        for number in &numbers {
            let Some(reader) = self.readers.get(number) else { continue };
            match self.office.due_at(&reader.waiting, self.stand()) {
                Some(due) if due <= hand.now => {
                    if let Some(reader) = self.readers.remove(number) {
                        self.tell(reader, hand);
                    }
                }
                Some(due) if !reader.timed => {
                    hand.timer(due - hand.now, Timer::Held(*number));
                    if let Some(reader) = self.readers.get_mut(number) {
                        reader.timed = true;
                    }
                }
                _ => {}
            }
        }
        self.looking = numbers.last().filter(|_| numbers.len() == READERS).map(|last| last + 1);
        if self.looking.is_none() && std::mem::take(&mut self.again) {
            self.looking = Some(0);
        }
        if self.looking.is_some() {
            hand.turn(Timer::Tell);
        }
    }

    fn tell(&mut self, reader: Reader, hand: &mut Hand) {
        let reply = self.office.respond(hand.now, reader.waiting, self.stand(), None);
        hand.reply(reader.from, reader.id, InternalResponse::Watch(Box::new(reply)), reader.cause);
    }

    /// One round of the core's work.
    fn work(&mut self, mut acts: Vec<Effect>, hand: &mut Hand) {
        let ticks = hand.now >= self.wake;
        if ticks {
            self.wake = self.core.tick(hand.now, &mut acts);
            hand.timer(self.wake - hand.now, Timer::Wake);
        }
        self.core.flush(&mut acts);
        self.carry_out(acts, hand);
        self.publish(ticks, hand);
    }

    fn carry_out(&mut self, acts: Vec<Effect>, hand: &mut Hand) {
        let mut batch = Batch::default();
        for act in acts {
            match act {
                Effect::Persist(record) => batch.records.push(record),
                Effect::SendAfterPersist(to, letter) => batch.sends.push((to, letter)),
                Effect::SendNow(to, letter) => hand.post(to, letter),
                Effect::Respond { call, response: got } => self.answer(call, got, hand),
                Effect::Log(_) => {}
            }
        }
        if batch.records.is_empty() && self.batches.is_empty() {
            let mut more = Vec::new();
            self.send(batch.sends, &mut more, hand);
            if !more.is_empty() {
                self.core.flush(&mut more);
                self.carry_out(more, hand);
            }
        } else if !(batch.records.is_empty() && batch.sends.is_empty()) {
            self.batches.push_back(batch);
            self.sync(hand);
        }
    }

    /// The disk takes all that waits as one write.
    fn sync(&mut self, hand: &mut Hand) {
        if self.writing == 0 && !self.batches.is_empty() {
            self.writing = self.batches.len();
            if self.batches.iter().all(|batch| batch.records.is_empty()) {
                hand.turn(Timer::Synced);
            } else {
                hand.sync();
            }
        }
    }

    fn send(&mut self, sends: Vec<(SocketAddr, Message)>, out: &mut Vec<Effect>, hand: &mut Hand) {
        for (to, letter) in sends {
            if to == self.at {
                self.core.handle_message(hand.now, letter, out);
            } else {
                hand.post(to, letter);
            }
        }
    }

    fn answer(&mut self, call: u64, got: CoreResponse, hand: &mut Hand) {
        match (self.calls.remove(&call), got) {
            (Some(Call::Of(to, id)), got) => hand.reply(to, id, InternalResponse::Core(got), Cause::Claims),
            (Some(Call::Replace(version, digest)), got) => {
                hand.note(Note::Replaced(Revision::new(version, digest), got == CoreResponse::Accepted));
            }
            (Some(Call::Read(floor)), CoreResponse::Register(sheet)) => {
                hand.note(Note::Read {
                    floor,
                    found: sheet.map_or(Revision::NONE, |sheet| sheet.revision()),
                });
            }
            _ => {}
        }
    }

    fn publish(&mut self, ticks: bool, hand: &mut Hand) {
        let safe = self.core.committed_configuration().or(self.core.stored_configuration());
        let rank = |sheet: Option<&Arc<RegisterValue>>| sheet.map(|sheet| sheet.revision());
        let news = rank(self.safe.as_ref()) != rank(safe);
        if !news && !ticks {
            return;
        }
        self.safe = safe.cloned();
        safe.into_iter().for_each(|safe| self.parcels.add(safe));
        self.settled = self.core.has_quorum(hand.now);
        let stewards = self.core.replica_addresses();
        if news || self.stewards != stewards {
            self.stewards = stewards;
            self.change(hand);
        }
    }
}
