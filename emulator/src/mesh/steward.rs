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

use super::process_context::{Observation, ProcessContext, Timer};
use super::resource_usage::Cause;
use crate::Nanos;

/// So many waiting asks look at a time whether there is news for them.
const WATCH_CHECK_BATCH: usize = 8;

/// No member is played, so that nobody writes or asks for one.
const NO_REGISTERS: CommittedRegisters = CommittedRegisters { digest: 0, registers: &[] };

/// What the disk holds, synced.
#[derive(Clone, Default)]
pub struct StableStorage {
    membership_ballot: Option<MembershipBallotState>,
    acceptors: Vec<AcceptorState>,
    configuration: Option<Arc<RegisterValue>>,
    leases: BTreeMap<LeaseKey, Lease>,
    registers: BTreeMap<RegisterName, Arc<RegisterValue>>,
    sessions: BTreeMap<SessionId, SessionRecord>,
}

impl StableStorage {
    fn apply_record(&mut self, record: LogRecord) {
        match record {
            LogRecord::MembershipBallot(ballots) => self.membership_ballot = Some(ballots),
            LogRecord::Configuration(sheet) => self.configuration = Some(sheet),
            LogRecord::Lease(key, claim) => {
                self.leases.insert(key, claim);
            }
            LogRecord::Register(paper) => drop(self.registers.insert(paper.name, paper.value)),
            LogRecord::Session(session, entry) => drop(self.sessions.insert(session, entry)),
            LogRecord::SessionEnded(session) => drop(self.sessions.remove(&session)),
            LogRecord::RegisterAcceptors(ballots) => self.acceptors = ballots,
            LogRecord::LeaseReleased(key, token) => {
                if self.leases.get(&key).is_some_and(|claim| claim.token == token) {
                    self.leases.remove(&key);
                }
            }
        }
    }

    fn to_persisted_state(&self) -> PersistedState {
        let claims =
            self.leases.iter().map(|(key, claim)| LeaseEntry { key: *key, lease: claim.clone() }).collect();
        let sessions = self
            .sessions
            .iter()
            .map(|(session, entry)| SessionEntry { session: *session, record: entry.clone() })
            .collect();
        let paper = |(name, sheet): (&RegisterName, &Arc<RegisterValue>)| NamedRegister {
            name: name.clone(),
            value: sheet.clone(),
        };
        let papers = self.registers.iter().map(paper).collect();
        let (ballots, version_ballots) = (self.membership_ballot.clone(), self.acceptors.clone());
        PersistedState {
            membership_ballot: ballots,
            acceptors: version_ballots,
            configuration: self.configuration.clone(),
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
struct WaitingWatch {
    from: usize,
    id: u64,
    cause: Cause,
    watch: PendingWatch,
    /// It is answered soon, for there is news.
    has_timer: bool,
}

enum PendingCall {
    Remote(usize, u64),
    ReplaceConfiguration(u64, u64),
    ReadConfiguration(Revision),
}

/// What one is before its start.
pub struct StewardStart<'a> {
    pub address: SocketAddr,
    pub seeds: &'a [SocketAddr],
    pub is_first_start: bool,
    pub storage: StableStorage,
    pub config: Config,
    pub seed: u64,
    pub mutation: Option<Mutation>,
}

pub struct Steward {
    address: SocketAddr,
    core: Core,
    watch_server: WatchServer,
    updates: UpdateCache,
    pub storage: StableStorage,
    /// Given to the disk; the first `writing` of them are under way.
    batches: VecDeque<Batch>,
    batches_in_flight: usize,
    committed: Option<Arc<RegisterValue>>,
    replicas: Vec<SocketAddr>,
    has_quorum: bool,
    watches: BTreeMap<u64, WaitingWatch>,
    /// The readers from this number on are to look; none where nobody is.
    check_from: Option<u64>,
    /// Something changed since the look under way began.
    check_again: bool,
    next_watch: u64,
    calls: BTreeMap<u64, PendingCall>,
    next_call: u64,
    tick_at: Nanos,
    /// Asks to other stewards: where each one's table stands, and the ask that is open.
    peers: BTreeMap<SocketAddr, (TablePosition, u64)>,
}

impl Steward {
    pub fn start(start: StewardStart, context: &mut ProcessContext) -> Steward {
        let mut acts = Vec::new();
        let options = StartOptions {
            now: context.now,
            seed: start.seed,
            address: start.address,
            first_start: start.is_first_start,
            seeds: start.seeds,
            saved: start.storage.to_persisted_state(),
            config: start.config,
        };
        let mut core = Core::new(options, &mut acts);
        core.set_mutation(start.mutation);
        let mut steward = Steward {
            address: start.address,
            core,
            watch_server: WatchServer::new(start.seed | 1),
            updates: UpdateCache::default(),
            storage: start.storage,
            batches: VecDeque::new(),
            batches_in_flight: 0,
            committed: None,
            replicas: Vec::new(),
            has_quorum: false,
            watches: BTreeMap::new(),
            check_from: None,
            check_again: false,
            next_watch: 0,
            calls: BTreeMap::new(),
            next_call: 1,
            tick_at: context.now,
            peers: BTreeMap::new(),
        };
        steward.run_core(acts, context);
        context.start_timer(
            watch_server::SUSPECT_AFTER + watch_server::SUSPECT_CHECK_INTERVAL,
            Timer::CheckSuspects,
        );
        context.start_timer(0, Timer::RefreshPeers);
        steward
    }

    fn committed_state(&self) -> CommittedState<'_> {
        let safe = self.committed.as_ref().map(|sheet| sheet.revision());
        CommittedState {
            configuration: safe,
            replicas: &self.replicas,
            has_quorum: self.has_quorum,
            registers: NO_REGISTERS,
        }
    }

    pub fn handle_request(
        &mut self,
        from: usize,
        id: u64,
        ask: InternalRequest,
        cause: Cause,
        context: &mut ProcessContext,
    ) {
        match ask {
            InternalRequest::ReplicaMessage(letter) => {
                let mut acts = Vec::new();
                self.core.handle_message(context.now, letter, &mut acts);
                self.run_core(acts, context);
            }
            InternalRequest::Core(want) => self.request_core(want, PendingCall::Remote(from, id), context),
            InternalRequest::Configuration(have) => {
                let parcel = self.updates.newest(have);
                context.send_response(
                    from,
                    id,
                    InternalResponse::Configuration(parcel),
                    Cause::Configurations,
                );
            }
            InternalRequest::Registers(_) | InternalRequest::AppliedEditions(_) => {}
            InternalRequest::Watch(ask) => {
                let safe = self.committed.as_ref().map(|sheet| sheet.revision());
                let stand = CommittedState {
                    configuration: safe,
                    replicas: &self.replicas,
                    has_quorum: self.has_quorum,
                    registers: NO_REGISTERS,
                };
                let RegisteredWatch { pending: waiting, table_changed: news } =
                    self.watch_server.register(context.now, &ask, stand);
                let due = self.watch_server.due_at(&waiting, self.committed_state());
                if due.is_some_and(|due| due <= context.now) {
                    let reply = self.watch_server.respond(context.now, waiting, self.committed_state(), None);
                    context.send_response(from, id, InternalResponse::Watch(Box::new(reply)), cause);
                } else {
                    self.next_watch += 1;
                    let until = due.map_or(waiting.max_wait, |due| (due - context.now).min(waiting.max_wait));
                    context.start_timer(until, Timer::WatchDue(self.next_watch));
                    let reader = WaitingWatch { from, id, cause, watch: waiting, has_timer: due.is_some() };
                    self.watches.insert(self.next_watch, reader);
                }
                if news {
                    self.schedule_watch_check(context);
                }
            }
        }
    }

    /// For an operator: `Replace` or `Read`.
    pub fn handle_operator_request(
        &mut self,
        want: CoreRequest,
        floor: Revision,
        context: &mut ProcessContext,
    ) {
        let call = match &want {
            CoreRequest::ReplaceConfiguration(sheet) => {
                PendingCall::ReplaceConfiguration(sheet.version, sheet.digest)
            }
            _ => PendingCall::ReadConfiguration(floor),
        };
        self.request_core(want, call, context);
    }

    fn request_core(&mut self, want: CoreRequest, call: PendingCall, context: &mut ProcessContext) {
        self.next_call += 1;
        self.calls.insert(self.next_call, call);
        let mut acts = Vec::new();
        self.core.handle_request(context.now, self.next_call, want, &mut acts);
        self.run_core(acts, context);
    }

    /// A reply of another steward; whether it was waited for.
    pub fn handle_peer_response(
        &mut self,
        id: u64,
        reply: &WatchResponse,
        context: &mut ProcessContext,
    ) -> bool {
        let Some((at, (mark, open))) = self.peers.iter_mut().find(|(_, (_, open))| *open == id) else {
            return false;
        };
        let at = *at;
        (*mark, *open) = (reply.position, 0);
        context.process_records(Cause::PeerWatches, reply.last_heard_ms_ago.len());
        if self.watch_server.merge(context.now, reply) {
            self.schedule_watch_check(context);
        }
        // Many small changes go together.
        context.start_timer(self.watch_server.replica_watch_interval(), Timer::WatchPeer(at));
        true
    }

    /// No reply came, or the connection broke.
    pub fn handle_failure(&mut self, id: u64, context: &mut ProcessContext) {
        if let Some((at, (_, open))) = self.peers.iter_mut().find(|(_, (_, open))| *open == id) {
            *open = 0;
            context.start_timer(watch_server::RETRY_INTERVAL, Timer::WatchPeer(*at));
        }
    }

    pub fn handle_timer(&mut self, timer: Timer, context: &mut ProcessContext) {
        match timer {
            Timer::CoreTick if context.now >= self.tick_at => self.run_core(Vec::new(), context),
            Timer::CheckSuspects => {
                context.process_records(Cause::Timers, self.watch_server.table.records().count());
                if self.watch_server.update_suspects(context.now).is_some() {
                    self.schedule_watch_check(context);
                }
                context.start_timer(watch_server::SUSPECT_CHECK_INTERVAL, Timer::CheckSuspects);
            }
            Timer::RefreshPeers => {
                self.peers.retain(|at, _| self.replicas.contains(at));
                for at in self.replicas.iter().filter(|at| **at != self.address) {
                    if !self.peers.contains_key(at) {
                        self.peers.insert(*at, (TablePosition::default(), 0));
                        context.start_timer(0, Timer::WatchPeer(*at));
                    }
                }
                context.start_timer(watch_server::SUSPECT_CHECK_INTERVAL, Timer::RefreshPeers);
            }
            Timer::WatchPeer(at) => {
                if let Some((mark, open)) = self.peers.get_mut(&at) {
                    *open = context.send_request(
                        at,
                        InternalRequest::Watch(watch_server::replica_watch_request(*mark)),
                        false,
                    );
                    context.start_timer(
                        watch_server::REPLICA_MAX_WAIT + watch_server::RESPONSE_GRACE,
                        Timer::RequestTimeout(*open),
                    );
                }
            }
            Timer::WatchDue(reader) => {
                if let Some(reader) = self.watches.remove(&reader) {
                    self.answer_watch(reader, context);
                }
            }
            Timer::NotifyWatches => self.check_watches(context),
            Timer::RequestTimeout(id) => self.handle_failure(id, context),
            Timer::DiskSynced => {
                let done: Vec<Batch> = self.batches.drain(..self.batches_in_flight).collect();
                self.batches_in_flight = 0;
                let mut acts = Vec::new();
                for batch in done {
                    batch.records.into_iter().for_each(|record| self.storage.apply_record(record));
                    self.send_messages(batch.sends, &mut acts, context);
                }
                self.start_sync(context);
                self.run_core(acts, context);
            }
            _ => {}
        }
    }

    /// Whoever waits for news looks whether this is some.
    fn schedule_watch_check(&mut self, context: &mut ProcessContext) {
        if self.check_from.is_some() {
            self.check_again = true;
            return;
        }
        self.check_from = Some(0);
        context.run_when_idle(Timer::NotifyWatches);
    }

    fn check_watches(&mut self, context: &mut ProcessContext) {
        let Some(from) = self.check_from else { return };
        let numbers: Vec<u64> =
            self.watches.range(from..).take(WATCH_CHECK_BATCH).map(|(number, _)| *number).collect();
        context.check_watches(numbers.len());
        for number in &numbers {
            let Some(reader) = self.watches.get(number) else { continue };
            match self.watch_server.due_at(&reader.watch, self.committed_state()) {
                Some(due) if due <= context.now => {
                    if let Some(reader) = self.watches.remove(number) {
                        self.answer_watch(reader, context);
                    }
                }
                Some(due) if !reader.has_timer => {
                    context.start_timer(due - context.now, Timer::WatchDue(*number));
                    if let Some(reader) = self.watches.get_mut(number) {
                        reader.has_timer = true;
                    }
                }
                _ => {}
            }
        }
        self.check_from = numbers.last().filter(|_| numbers.len() == WATCH_CHECK_BATCH).map(|last| last + 1);
        if self.check_from.is_none() && std::mem::take(&mut self.check_again) {
            self.check_from = Some(0);
        }
        if self.check_from.is_some() {
            context.run_when_idle(Timer::NotifyWatches);
        }
    }

    fn answer_watch(&mut self, reader: WaitingWatch, context: &mut ProcessContext) {
        let reply = self.watch_server.respond(context.now, reader.watch, self.committed_state(), None);
        context.send_response(reader.from, reader.id, InternalResponse::Watch(Box::new(reply)), reader.cause);
    }

    /// One round of the core's work.
    fn run_core(&mut self, mut acts: Vec<Effect>, context: &mut ProcessContext) {
        let ticks = context.now >= self.tick_at;
        if ticks {
            self.tick_at = self.core.tick(context.now, &mut acts);
            context.start_timer(self.tick_at - context.now, Timer::CoreTick);
        }
        self.core.flush(&mut acts);
        self.carry_out(acts, context);
        self.publish_state(ticks, context);
    }

    fn carry_out(&mut self, acts: Vec<Effect>, context: &mut ProcessContext) {
        let mut batch = Batch::default();
        for act in acts {
            match act {
                Effect::Persist(record) => batch.records.push(record),
                Effect::SendAfterPersist(to, letter) => batch.sends.push((to, letter)),
                Effect::SendNow(to, letter) => context.send_message(to, letter),
                Effect::Respond { call, response: got } => self.answer_call(call, got, context),
                Effect::Log(_) => {}
            }
        }
        if batch.records.is_empty() && self.batches.is_empty() {
            let mut more = Vec::new();
            self.send_messages(batch.sends, &mut more, context);
            if !more.is_empty() {
                self.core.flush(&mut more);
                self.carry_out(more, context);
            }
        } else if !(batch.records.is_empty() && batch.sends.is_empty()) {
            self.batches.push_back(batch);
            self.start_sync(context);
        }
    }

    /// The disk takes all that waits as one write.
    fn start_sync(&mut self, context: &mut ProcessContext) {
        if self.batches_in_flight == 0 && !self.batches.is_empty() {
            self.batches_in_flight = self.batches.len();
            if self.batches.iter().all(|batch| batch.records.is_empty()) {
                context.run_when_idle(Timer::DiskSynced);
            } else {
                context.sync_disk();
            }
        }
    }

    fn send_messages(
        &mut self,
        sends: Vec<(SocketAddr, Message)>,
        out: &mut Vec<Effect>,
        context: &mut ProcessContext,
    ) {
        for (to, letter) in sends {
            if to == self.address {
                self.core.handle_message(context.now, letter, out);
            } else {
                context.send_message(to, letter);
            }
        }
    }

    fn answer_call(&mut self, call: u64, got: CoreResponse, context: &mut ProcessContext) {
        match (self.calls.remove(&call), got) {
            (Some(PendingCall::Remote(to, id)), got) => {
                context.send_response(to, id, InternalResponse::Core(got), Cause::Leases)
            }
            (Some(PendingCall::ReplaceConfiguration(version, digest)), got) => {
                context.observe(Observation::ConfigurationReplaced(
                    Revision::new(version, digest),
                    got == CoreResponse::Accepted,
                ));
            }
            (Some(PendingCall::ReadConfiguration(floor)), CoreResponse::Register(sheet)) => {
                context.observe(Observation::ConfigurationRead {
                    floor,
                    found: sheet.map_or(Revision::NONE, |sheet| sheet.revision()),
                });
            }
            _ => {}
        }
    }

    fn publish_state(&mut self, ticks: bool, context: &mut ProcessContext) {
        let safe = self.core.committed_configuration().or(self.core.stored_configuration());
        let rank = |sheet: Option<&Arc<RegisterValue>>| sheet.map(|sheet| sheet.revision());
        let news = rank(self.committed.as_ref()) != rank(safe);
        if !news && !ticks {
            return;
        }
        self.committed = safe.cloned();
        safe.into_iter().for_each(|safe| self.updates.add(safe));
        self.has_quorum = self.core.has_quorum(context.now);
        let stewards = self.core.replica_addresses();
        if news || self.replicas != stewards {
            self.replicas = stewards;
            self.schedule_watch_check(context);
        }
    }
}
