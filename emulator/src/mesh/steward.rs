//! A steward process in simulated time: the consensus core and the watch server of the real one, and a disk. The order of
//! writes, sends and responses follows `balancer/src/mesh/steward.rs`: nothing that depends on a write is sent or answered
//! before the write is synced.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
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

/// Waiting watches that are checked for updates in one step.
const WATCH_CHECK_BATCH: usize = 8;

/// Members are not simulated, so that nothing writes or reads registers.
const NO_REGISTERS: CommittedRegisters = CommittedRegisters { digest: 0, registers: &[] };

/// Synced contents of the disk.
#[derive(Clone, Default)]
pub struct StableStorage {
    membership_ballot: Option<MembershipBallotState>,
    acceptors: Vec<AcceptorState>,
    configuration: Option<Arc<RegisterValue>>,
    leases: BTreeMap<LeaseKey, Lease>,
    registers: BTreeMap<RegisterName, Arc<RegisterValue>>,
    sessions: BTreeMap<SessionId, SessionRecord>,
    tombstones: BTreeSet<TombstoneId>,
}

impl StableStorage {
    fn apply_record(&mut self, record: LogRecord) {
        match record {
            LogRecord::MembershipBallot(membership_ballot) => {
                self.membership_ballot = Some(membership_ballot)
            }
            LogRecord::Configuration(configuration) => self.configuration = Some(configuration),
            LogRecord::Lease(key, lease) => {
                self.leases.insert(key, lease);
            }
            LogRecord::Register(register) => drop(self.registers.insert(register.name, register.value)),
            LogRecord::Session(session, record) => drop(self.sessions.insert(session, record)),
            LogRecord::SessionEnded(session) => drop(self.sessions.remove(&session)),
            LogRecord::Tombstone(id) => {
                self.tombstones.insert(id);
            }
            LogRecord::TombstoneExpired(id) => {
                self.tombstones.remove(&id);
            }
            LogRecord::RegisterAcceptors(membership_ballot) => self.acceptors = membership_ballot,
            LogRecord::LeaseReleased(key, token) => {
                if self.leases.get(&key).is_some_and(|lease| lease.token == token) {
                    self.leases.remove(&key);
                }
            }
        }
    }

    fn to_persisted_state(&self) -> PersistedState {
        let leases =
            self.leases.iter().map(|(key, lease)| LeaseEntry { key: *key, lease: lease.clone() }).collect();
        let sessions = self
            .sessions
            .iter()
            .map(|(session, record)| SessionEntry { session: *session, record: record.clone() })
            .collect();
        let register = |(name, configuration): (&RegisterName, &Arc<RegisterValue>)| NamedRegister {
            name: name.clone(),
            value: configuration.clone(),
        };
        let registers = self.registers.iter().map(register).collect();
        let (membership_ballot, acceptors) = (self.membership_ballot.clone(), self.acceptors.clone());
        PersistedState {
            membership_ballot,
            acceptors,
            configuration: self.configuration.clone(),
            leases,
            registers,
            sessions,
            tombstones: self.tombstones.iter().copied().collect(),
        }
    }
}

#[derive(Default)]
struct Batch {
    records: Vec<LogRecord>,
    sends: Vec<(SocketAddr, Message)>,
}

/// A watch of an attendant or of another steward that waits for updates.
struct WaitingWatch {
    from: usize,
    id: u64,
    cause: Cause,
    watch: PendingWatch,
    /// A timer runs to answer it, as there are updates.
    has_timer: bool,
}

enum PendingCall {
    Remote(usize, u64),
    ReplaceConfiguration(u64, u64),
    ReadConfiguration(Revision),
}

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
    /// Batches for the disk; the first `batches_in_flight` are being written.
    batches: VecDeque<Batch>,
    batches_in_flight: usize,
    committed: Option<Arc<RegisterValue>>,
    replicas: Vec<SocketAddr>,
    has_quorum: bool,
    watches: BTreeMap<u64, WaitingWatch>,
    /// The watches from this number on are to be checked; `None` if no check runs.
    check_from: Option<u64>,
    /// Something changed since the running check began.
    check_again: bool,
    next_watch: u64,
    calls: BTreeMap<u64, PendingCall>,
    next_call: u64,
    tick_at: Nanos,
    /// Watches at other stewards: the position in their table, and the id of the open request or 0.
    peers: BTreeMap<SocketAddr, (TablePosition, u64)>,
}

impl Steward {
    pub fn start(start: StewardStart, context: &mut ProcessContext) -> Steward {
        let mut effects = Vec::new();
        let options = StartOptions {
            now: context.now,
            seed: start.seed,
            address: start.address,
            first_start: start.is_first_start,
            seeds: start.seeds,
            saved: start.storage.to_persisted_state(),
            config: start.config,
        };
        let mut core = Core::new(options, &mut effects);
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
        steward.run_core(effects, context);
        context.start_timer(
            watch_server::SUSPECT_AFTER + watch_server::SUSPECT_CHECK_INTERVAL,
            Timer::CheckSuspects,
        );
        context.start_timer(0, Timer::RefreshPeers);
        steward
    }

    fn committed_state(&self) -> CommittedState<'_> {
        let committed = self.committed.as_ref().map(|configuration| configuration.revision());
        CommittedState {
            configuration: committed,
            replicas: &self.replicas,
            has_quorum: self.has_quorum,
            registers: NO_REGISTERS,
        }
    }

    pub fn handle_request(
        &mut self,
        from: usize,
        id: u64,
        request: InternalRequest,
        cause: Cause,
        context: &mut ProcessContext,
    ) {
        match request {
            InternalRequest::ReplicaMessage(message) => {
                let mut effects = Vec::new();
                self.core.handle_message(context.now, message, &mut effects);
                self.run_core(effects, context);
            }
            InternalRequest::Core(request) => {
                self.request_core(request, PendingCall::Remote(from, id), context)
            }
            InternalRequest::Configuration(have) => {
                let update = self.updates.update_from(have);
                context.send_response(
                    from,
                    id,
                    InternalResponse::Configuration(update),
                    Cause::Configurations,
                );
            }
            InternalRequest::Registers(_) | InternalRequest::AppliedEditions(_) => {}
            InternalRequest::Watch(request) => {
                let committed = self.committed.as_ref().map(|configuration| configuration.revision());
                let state = CommittedState {
                    configuration: committed,
                    replicas: &self.replicas,
                    has_quorum: self.has_quorum,
                    registers: NO_REGISTERS,
                };
                let RegisteredWatch { pending: waiting, table_changed: changed } =
                    self.watch_server.register(context.now, &request, state);
                let due = self.watch_server.due_at(&waiting, self.committed_state());
                if due.is_some_and(|due| due <= context.now) {
                    let response =
                        self.watch_server.respond(context.now, waiting, self.committed_state(), None);
                    context.send_response(from, id, InternalResponse::Watch(Box::new(response)), cause);
                } else {
                    self.next_watch += 1;
                    let until = due.map_or(waiting.max_wait, |due| (due - context.now).min(waiting.max_wait));
                    context.start_timer(until, Timer::WatchDue(self.next_watch));
                    let watch = WaitingWatch { from, id, cause, watch: waiting, has_timer: due.is_some() };
                    self.watches.insert(self.next_watch, watch);
                }
                if changed {
                    self.schedule_watch_check(context);
                }
            }
        }
    }

    /// Replaces or reads the configuration for an operator.
    pub fn handle_operator_request(
        &mut self,
        request: CoreRequest,
        floor: Revision,
        context: &mut ProcessContext,
    ) {
        let call = match &request {
            CoreRequest::ReplaceConfiguration(configuration) => {
                PendingCall::ReplaceConfiguration(configuration.version, configuration.digest)
            }
            _ => PendingCall::ReadConfiguration(floor),
        };
        self.request_core(request, call, context);
    }

    fn request_core(&mut self, request: CoreRequest, call: PendingCall, context: &mut ProcessContext) {
        self.next_call += 1;
        self.calls.insert(self.next_call, call);
        let mut effects = Vec::new();
        self.core.handle_request(context.now, self.next_call, request, &mut effects);
        self.run_core(effects, context);
    }

    /// Returns whether the response belonged to an open watch.
    pub fn handle_peer_response(
        &mut self,
        id: u64,
        response: &WatchResponse,
        context: &mut ProcessContext,
    ) -> bool {
        let Some((at, (position, open))) = self.peers.iter_mut().find(|(_, (_, open))| *open == id) else {
            return false;
        };
        let at = *at;
        (*position, *open) = (response.position, 0);
        context.process_records(Cause::PeerWatches, response.last_heard_ms_ago.len());
        if self.watch_server.merge(context.now, response) {
            self.schedule_watch_check(context);
        }
        // The interval batches small changes.
        context.start_timer(self.watch_server.replica_watch_interval(), Timer::WatchPeer(at));
        true
    }

    /// A request timed out or its connection broke.
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
                if let Some((position, open)) = self.peers.get_mut(&at) {
                    *open = context.send_request(
                        at,
                        InternalRequest::Watch(watch_server::replica_watch_request(*position)),
                        false,
                    );
                    context.start_timer(
                        watch_server::REPLICA_MAX_WAIT + watch_server::RESPONSE_GRACE,
                        Timer::RequestTimeout(*open),
                    );
                }
            }
            Timer::WatchDue(watch) => {
                if let Some(watch) = self.watches.remove(&watch) {
                    self.answer_watch(watch, context);
                }
            }
            Timer::NotifyWatches => self.check_watches(context),
            Timer::RequestTimeout(id) => self.handle_failure(id, context),
            Timer::DiskSynced => {
                let done: Vec<Batch> = self.batches.drain(..self.batches_in_flight).collect();
                self.batches_in_flight = 0;
                let mut effects = Vec::new();
                for batch in done {
                    batch.records.into_iter().for_each(|record| self.storage.apply_record(record));
                    self.send_messages(batch.sends, &mut effects, context);
                }
                self.start_sync(context);
                self.run_core(effects, context);
            }
            _ => {}
        }
    }

    /// Schedules a check of the waiting watches.
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
            let Some(watch) = self.watches.get(number) else { continue };
            match self.watch_server.due_at(&watch.watch, self.committed_state()) {
                Some(due) if due <= context.now => {
                    if let Some(watch) = self.watches.remove(number) {
                        self.answer_watch(watch, context);
                    }
                }
                Some(due) if !watch.has_timer => {
                    context.start_timer(due - context.now, Timer::WatchDue(*number));
                    if let Some(watch) = self.watches.get_mut(number) {
                        watch.has_timer = true;
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

    fn answer_watch(&mut self, watch: WaitingWatch, context: &mut ProcessContext) {
        let response = self.watch_server.respond(context.now, watch.watch, self.committed_state(), None);
        context.send_response(watch.from, watch.id, InternalResponse::Watch(Box::new(response)), watch.cause);
    }

    /// Ticks and flushes the core, then carries out its effects.
    fn run_core(&mut self, mut effects: Vec<Effect>, context: &mut ProcessContext) {
        let ticks = context.now >= self.tick_at;
        if ticks {
            self.tick_at = self.core.tick(context.now, &mut effects);
            context.start_timer(self.tick_at - context.now, Timer::CoreTick);
        }
        self.core.flush(&mut effects);
        self.carry_out(effects, context);
        self.publish_state(ticks, context);
    }

    fn carry_out(&mut self, effects: Vec<Effect>, context: &mut ProcessContext) {
        let mut batch = Batch::default();
        for effect in effects {
            match effect {
                Effect::Persist(record) => batch.records.push(record),
                Effect::SendAfterPersist(to, message) => batch.sends.push((to, message)),
                Effect::SendNow(to, message) => context.send_message(to, message),
                Effect::Respond { call, response } => self.answer_call(call, response, context),
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

    /// Writes all waiting batches with one sync.
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
        for (to, message) in sends {
            if to == self.address {
                self.core.handle_message(context.now, message, out);
            } else {
                context.send_message(to, message);
            }
        }
    }

    fn answer_call(&mut self, call: u64, response: CoreResponse, context: &mut ProcessContext) {
        match (self.calls.remove(&call), response) {
            (Some(PendingCall::Remote(to, id)), response) => {
                context.send_response(to, id, InternalResponse::Core(response), Cause::Leases)
            }
            (Some(PendingCall::ReplaceConfiguration(version, digest)), response) => {
                context.observe(Observation::ConfigurationReplaced(
                    Revision::new(version, digest),
                    response == CoreResponse::Accepted,
                ));
            }
            (Some(PendingCall::ReadConfiguration(floor)), CoreResponse::Register(configuration)) => {
                context.observe(Observation::ConfigurationRead {
                    floor,
                    found: configuration.map_or(Revision::NONE, |configuration| configuration.revision()),
                });
            }
            _ => {}
        }
    }

    fn publish_state(&mut self, ticks: bool, context: &mut ProcessContext) {
        let committed = self.core.committed_configuration().or(self.core.stored_configuration());
        let revision_of = |configuration: Option<&Arc<RegisterValue>>| {
            configuration.map(|configuration| configuration.revision())
        };
        let changed = revision_of(self.committed.as_ref()) != revision_of(committed);
        if !changed && !ticks {
            return;
        }
        self.committed = committed.cloned();
        committed.into_iter().for_each(|committed| self.updates.add(committed));
        self.has_quorum = self.core.has_quorum(context.now);
        let stewards = self.core.replica_addresses();
        if changed || self.replicas != stewards {
            self.replicas = stewards;
            self.schedule_watch_check(context);
        }
    }
}
