//! A simulated cluster of replicas, their disks and the messages in flight, all in memory. It checks the invariants
//! after each event, and gives a replica no more information than a real machine has.

#![allow(dead_code)]

pub mod roaming_sessions;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use ochreshed_consensus::core::{Config, Core, Mutation, StartOptions};
use ochreshed_consensus::messages::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const MS: u64 = 1_000_000;

pub fn address_of(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + node as u16))
}

/// The zone of a node. The first two share one.
pub fn zone(node: usize) -> &'static str {
    ["a", "a", "b", "c", "b", "c"].get(node).copied().unwrap_or("d")
}

pub fn response_of(token: LeaseToken) -> Arc<StoredResponse> {
    Arc::new(StoredResponse { status: 200, headers: Vec::new(), body: token.to_be_bytes().to_vec() })
}

#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub membership_ballot: Option<MembershipBallotState>,
    pub acceptors: Vec<AcceptorState>,
    pub configuration: Option<Arc<RegisterValue>>,
    pub leases: BTreeMap<LeaseKey, Lease>,
    pub registers: BTreeMap<RegisterName, Arc<RegisterValue>>,
    pub sessions: BTreeMap<SessionId, SessionRecord>,
    pub tombstones: BTreeSet<TombstoneId>,
}

impl Disk {
    fn write(&mut self, record: LogRecord) {
        match record {
            LogRecord::MembershipBallot(ballots) => self.membership_ballot = Some(ballots),
            LogRecord::RegisterAcceptors(ballots) => self.acceptors = ballots,
            LogRecord::Configuration(value) => self.configuration = Some(value),
            LogRecord::Lease(key, lease) => {
                self.leases.insert(key, lease);
            }
            LogRecord::Session(session, entry) => drop(self.sessions.insert(session, entry)),
            LogRecord::SessionEnded(session) => drop(self.sessions.remove(&session)),
            LogRecord::Tombstone(id) => {
                self.tombstones.insert(id);
            }
            LogRecord::TombstoneExpired(id) => {
                self.tombstones.remove(&id);
            }
            LogRecord::LeaseReleased(key, token) => {
                if self.leases.get(&key).is_some_and(|lease| lease.token == token) {
                    self.leases.remove(&key);
                }
            }
            LogRecord::Register(named) => {
                self.registers.insert(named.name, named.value);
            }
        }
    }

    fn persisted_state(&self) -> PersistedState {
        let leases =
            self.leases.iter().map(|(key, lease)| LeaseEntry { key: *key, lease: lease.clone() }).collect();
        let sessions = self
            .sessions
            .iter()
            .map(|(session, record)| SessionEntry { session: *session, record: record.clone() })
            .collect();
        let registers = self
            .registers
            .iter()
            .map(|(name, value)| NamedRegister { name: name.clone(), value: value.clone() })
            .collect();
        let (ballots, version_ballots) = (self.membership_ballot.clone(), self.acceptors.clone());
        PersistedState {
            membership_ballot: ballots,
            acceptors: version_ballots,
            configuration: self.configuration.clone(),
            leases,
            sessions,
            registers,
            tombstones: self.tombstones.iter().copied().collect(),
        }
    }
}

#[derive(Clone)]
pub struct Node {
    pub core: Option<Core>,
    pub disk: Disk,
    /// Effects that wait for a disk sync, in order.
    pub pending: VecDeque<Effect>,
    pub incarnation: u64,
    epoch: u64,
    committed: Revision,
    committed_registers: BTreeMap<RegisterName, Revision>,
}

#[derive(Clone)]
pub struct InFlight {
    pub to: usize,
    /// Set for messages of a replica to itself, which are lost with its incarnation.
    pub incarnation: Option<u64>,
    pub message: Message,
}

#[derive(Clone)]
pub enum PendingRequest {
    Lease {
        key: LeaseKey,
        token: LeaseToken,
        /// An outcome of the key had been acknowledged when the call began.
        is_settled: bool,
    },
    /// The key, if the request ran.
    CompleteLease(Option<LeaseKey>),
    WriteConfiguration(Revision),
    ReadConfiguration {
        floor: Revision,
    },
    WriteRegister(RegisterName, Revision),
    ReadRegister {
        name: RegisterName,
        floor: Revision,
    },
    Session {
        session: SessionId,
        floor: Option<u64>,
    },
    StoreTombstone(TombstoneId),
    FindTombstone {
        id: TombstoneId,
        /// The tombstone had been acknowledged when the call began.
        is_acknowledged: bool,
    },
}

#[derive(Clone)]
pub struct SimulatedCluster {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub in_flight: Vec<InFlight>,
    /// Links, by sender and receiver, on which nothing is delivered.
    pub cut_links: BTreeSet<(SocketAddr, usize)>,
    /// Cuts most links of a replica that has just adopted a new membership.
    pub isolate_updated_replicas: bool,
    /// Most messages of this kind are lost.
    pub mostly_lost_kind: Option<&'static str>,
    /// Most deliveries of messages of this kind are postponed.
    pub delayed_kind: Option<&'static str>,
    pub rng: ChaCha8Rng,
    pub mutation: Option<Mutation>,
    /// Replicas roll back whenever that is safe.
    pub eager_rollback: bool,
    pub config: Config,
    seeds: Vec<SocketAddr>,
    /// By node, incarnation and call number.
    pub pending_calls: BTreeMap<(usize, u64, u64), PendingRequest>,
    pub responses: BTreeMap<u64, CoreResponse>,
    next_call: u64,
    pub next_token: LeaseToken,
    pub next_version: u64,
    pub granted: BTreeMap<LeaseKey, BTreeSet<LeaseToken>>,
    pub released: BTreeSet<LeaseToken>,
    pub completed: BTreeSet<LeaseToken>,
    /// Keys with an outcome that was acknowledged.
    pub settled: BTreeSet<LeaseKey>,
    /// Tombstones that clients asked to store.
    pub requested_tombstones: BTreeSet<TombstoneId>,
    pub acknowledged_tombstones: BTreeSet<TombstoneId>,
    /// More disks are lost than the cluster tolerates, so that acknowledged outcomes and tombstones may be lost.
    pub loses_too_many_disks: bool,
    pub written_configurations: BTreeSet<Revision>,
    /// Every read that starts from now on must return at least this revision.
    pub read_floor: Revision,
    /// All revisions that clients wrote, by register.
    pub written_registers: BTreeSet<(RegisterName, Revision)>,
    pub register_read_floors: BTreeMap<RegisterName, Revision>,
    /// Bytes that are added to each register's value.
    pub register_padding: usize,
    pub memberships: BTreeMap<u64, Membership>,
    /// The digest that was stored first for each version of a register.
    pub decided: BTreeMap<(RegisterName, u64), u64>,
    pub roaming_sessions: roaming_sessions::RoamingSessions,
    pub violation: Option<String>,
    pub steps: u64,
    pub counts: [u64; 12],
}

pub const LEASES_GRANTED: usize = 0;
pub const LEASES_HELD: usize = 1;
pub const WRITES_ACCEPTED: usize = 2;
pub const READS: usize = 3;
pub const MEMBERSHIPS: usize = 4;
pub const UNAVAILABLE: usize = 5;
pub const MESSAGES: usize = 6;
pub const DISKS_LOST: usize = 7;
pub const ROLLBACKS: usize = 8;
pub const REGISTER_WRITES: usize = 9;
pub const REGISTER_READS: usize = 10;
pub const CONFLICTS: usize = 11;

impl SimulatedCluster {
    /// A cluster in which the first `voters` nodes are the members of the first epoch.
    pub fn new(
        seed: u64,
        nodes: usize,
        voters: usize,
        target_members: usize,
        mutation: Option<Mutation>,
    ) -> SimulatedCluster {
        SimulatedCluster::with(seed, nodes, voters, target_members, mutation, |_| {})
    }

    /// A cluster whose settings are changed before its nodes start.
    pub fn with(
        seed: u64,
        nodes: usize,
        voters: usize,
        target_members: usize,
        mutation: Option<Mutation>,
        configure: impl FnOnce(&mut SimulatedCluster),
    ) -> SimulatedCluster {
        let mut cluster = SimulatedCluster {
            now: 1_000 * MS,
            nodes: Vec::new(),
            in_flight: Vec::new(),
            cut_links: BTreeSet::new(),
            isolate_updated_replicas: false,
            mostly_lost_kind: None,
            delayed_kind: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
            mutation,
            eager_rollback: false,
            config: Config {
                lease_ttl: 900_000 * MS,
                member_timeout: 1_500 * MS,
                target_members,
                max_leases: 10_000,
                max_response_bytes: usize::MAX,
                tolerated_zone_losses: 0,
                zone: String::new(),
            },
            seeds: (0..voters).map(address_of).collect(),
            pending_calls: BTreeMap::new(),
            responses: BTreeMap::new(),
            next_call: 1,
            next_token: 1,
            next_version: 1,
            granted: BTreeMap::new(),
            released: BTreeSet::new(),
            completed: BTreeSet::new(),
            settled: BTreeSet::new(),
            requested_tombstones: BTreeSet::new(),
            acknowledged_tombstones: BTreeSet::new(),
            loses_too_many_disks: false,
            written_configurations: BTreeSet::new(),
            read_floor: Revision::NONE,
            written_registers: BTreeSet::new(),
            register_read_floors: BTreeMap::new(),
            register_padding: 0,
            memberships: BTreeMap::new(),
            decided: BTreeMap::new(),
            roaming_sessions: roaming_sessions::RoamingSessions::default(),
            violation: None,
            steps: 0,
            counts: [0; 12],
        };
        configure(&mut cluster);
        for node in 0..nodes {
            cluster.nodes.push(Node {
                core: None,
                disk: Disk::default(),
                pending: VecDeque::new(),
                incarnation: 0,
                epoch: 0,
                committed: Revision::NONE,
                committed_registers: BTreeMap::new(),
            });
            cluster.start(node, true);
            cluster.sync(node, usize::MAX);
        }
        cluster
    }

    /// Whether the members keep their majority if any one zone is lost.
    pub fn survives_zone_loss(&self, membership: &Membership) -> bool {
        let members_in = |name: &str| {
            let zones =
                membership.members.iter().map(|member| zone(usize::from(member.address.port() - 7000)));
            zones.filter(|zone| *zone == name).count()
        };
        ["a", "b", "c"]
            .iter()
            .all(|name| 2 * (membership.members.len() - members_in(name)) > membership.members.len())
    }

    pub fn start(&mut self, node: usize, first: bool) {
        let mut out = Vec::new();
        let persisted = self.nodes[node].disk.persisted_state();
        let seed = self.rng.random();
        let config = Config { zone: zone(node).into(), ..self.config.clone() };
        let options = StartOptions {
            now: self.now,
            seed,
            address: address_of(node),
            first_start: first,
            seeds: &self.seeds,
            saved: persisted,
            config,
        };
        let mut core = Core::new(options, &mut out);
        core.set_mutation(self.mutation);
        core.eager_rollback = self.eager_rollback;
        self.nodes[node].core = Some(core);
        self.nodes[node].incarnation += 1;
        self.nodes[node].committed = Revision::NONE;
        self.nodes[node].committed_registers.clear();
        self.apply_effects(node, out);
    }

    /// Stops a node at once. Some of the waiting records may have reached its disk; no waiting message was sent.
    pub fn crash(&mut self, node: usize) {
        let written = self.rng.random_range(0..=self.nodes[node].pending.len());
        let crashed = &mut self.nodes[node];
        let pending = std::mem::take(&mut crashed.pending);
        for effect in pending.into_iter().take(written) {
            if let Effect::Persist(record) = effect {
                crashed.disk.write(record);
            }
        }
        crashed.core = None;
    }

    pub fn wipe(&mut self, node: usize) {
        self.crash(node);
        self.nodes[node].disk = Disk::default();
        self.counts[DISKS_LOST] += 1;
    }

    /// Whether a majority of the members keeps its disks if this node's is wiped. A new member counts as lost until it
    /// votes.
    pub fn may_wipe(&self, node: usize) -> bool {
        let cores =
            self.nodes.iter().filter_map(|node| node.core.as_ref().map(|core| core.membership().clone()));
        let disks = self
            .nodes
            .iter()
            .filter_map(|node| node.disk.membership_ballot.as_ref().map(|b| b.membership.clone()));
        let Some(membership) = cores.chain(disks).max_by_key(|membership| membership.epoch) else {
            return false;
        };
        let has_state = |member: &ReplicaId| {
            let node = self.nodes.iter().enumerate().find(|(node, _)| address_of(*node) == member.address);
            node.and_then(|(_, node)| node.disk.membership_ballot.as_ref()).is_some_and(|ballots| {
                ballots.replica == *member && ballots.voter && ballots.membership.epoch == membership.epoch
            })
        };
        let others = membership.members.iter().filter(|member| member.address != address_of(node));
        let lost = others.filter(|member| !has_state(member)).count() + 1;
        2 * lost < membership.members.len()
    }

    /// Completes this many of the effects that wait for the disk.
    pub fn sync(&mut self, node: usize, count: usize) {
        for _ in 0..count {
            match self.nodes[node].pending.pop_front() {
                Some(Effect::Persist(record)) => self.nodes[node].disk.write(record),
                Some(Effect::SendAfterPersist(to, message)) => self.send(node, to, message),
                Some(_) => {}
                None => break,
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let Some(to) = (0..self.nodes.len()).find(|node| address_of(*node) == to) else { return };
        let kind = message_kind(&message.body);
        if self.mostly_lost_kind == Some(kind) && to != from && self.rng.random_range(0..8) > 0 {
            return;
        }
        let incarnation = (to == from).then_some(self.nodes[from].incarnation);
        if kind == "heartbeat" && self.rng.random_range(0..4) > 0 {
            // Heartbeats are frequent and a late one carries little, so usually only the last one is kept.
            let is_heartbeat =
                |envelope: &InFlight| matches!(envelope.message.body, MessageBody::Heartbeat { .. });
            self.in_flight
                .retain(|other| other.to != to || other.message.from != message.from || !is_heartbeat(other));
        }
        self.in_flight.push(InFlight { to, incarnation, message });
    }

    pub fn deliver(&mut self, index: usize) {
        if self
            .in_flight
            .get(index)
            .is_none_or(|envelope| self.cut_links.contains(&(envelope.message.from.address, envelope.to)))
        {
            return;
        }
        let is_delayed = self
            .in_flight
            .get(index)
            .is_some_and(|envelope| Some(message_kind(&envelope.message.body)) == self.delayed_kind);
        if is_delayed && self.rng.random_range(0..8) > 0 {
            return;
        }
        let InFlight { to, incarnation, message } = self.in_flight.swap_remove(index);
        if incarnation.is_some_and(|incarnation| incarnation != self.nodes[to].incarnation) {
            return;
        }
        self.counts[MESSAGES] += 1;
        let mut out = Vec::new();
        if let Some(core) = &mut self.nodes[to].core {
            core.handle_message(self.now, message, &mut out);
            core.flush(&mut out);
        }
        self.apply_effects(to, out);
    }

    pub fn tick(&mut self, node: usize) {
        let mut out = Vec::new();
        if let Some(core) = &mut self.nodes[node].core {
            core.tick(self.now, &mut out);
        }
        self.apply_effects(node, out);
    }

    pub fn request(&mut self, node: usize, request: CoreRequest) -> u64 {
        let call = self.next_call;
        self.next_call += 1;
        let pending = match &request {
            CoreRequest::AcquireLease { key, token, .. } => {
                PendingRequest::Lease { key: *key, token: *token, is_settled: self.settled.contains(key) }
            }
            CoreRequest::CompleteLease { key, token, outcome } => {
                match outcome {
                    None => self.released.insert(*token),
                    Some(LeaseOutcome::Completed(_)) => self.completed.insert(*token),
                    _ => false,
                };
                PendingRequest::CompleteLease(outcome.is_some().then_some(*key))
            }
            CoreRequest::ReplaceConfiguration(value) => {
                self.written_configurations.insert(value.revision());
                PendingRequest::WriteConfiguration(value.revision())
            }
            CoreRequest::ReadConfiguration => PendingRequest::ReadConfiguration { floor: self.read_floor },
            CoreRequest::ReplaceRegister(named) => {
                self.written_registers.insert((named.name.clone(), named.value.revision()));
                PendingRequest::WriteRegister(named.name.clone(), named.value.revision())
            }
            CoreRequest::ReadRegister(name) => {
                PendingRequest::ReadRegister { name: name.clone(), floor: self.read_floor_of(name) }
            }
            CoreRequest::Session(session, request) => self.roaming_sessions.record_request(*session, request),
            CoreRequest::StoreTombstone(id) => {
                self.requested_tombstones.insert(*id);
                PendingRequest::StoreTombstone(*id)
            }
            CoreRequest::FindTombstone(id) => PendingRequest::FindTombstone {
                id: *id,
                is_acknowledged: self.acknowledged_tombstones.contains(id),
            },
        };
        let incarnation = self.nodes[node].incarnation;
        self.pending_calls.insert((node, incarnation, call), pending);
        let mut out = Vec::new();
        if let Some(core) = &mut self.nodes[node].core {
            core.handle_request(self.now, call, request, &mut out);
            core.flush(&mut out);
        }
        self.apply_effects(node, out);
        call
    }

    pub fn leave(&mut self, node: usize) {
        let mut out = Vec::new();
        if let Some(core) = &mut self.nodes[node].core {
            core.announce_departure(self.now, &mut out);
        }
        self.apply_effects(node, out);
    }

    pub fn token(&mut self) -> LeaseToken {
        self.next_token += 1;
        self.next_token
    }

    pub fn next_configuration(&mut self) -> Arc<RegisterValue> {
        self.next_version += 1;
        Arc::new(RegisterValue::new(self.next_version, vec![self.next_version as u8]))
    }

    /// Other content under the version of the last configuration.
    pub fn conflicting_configuration(&mut self) -> Arc<RegisterValue> {
        let content = [self.next_version as u8, self.rng.random_range(1..4)];
        Arc::new(RegisterValue::new(self.next_version, content.to_vec()))
    }

    /// A value that begins with its register's name, so that a mix-up of registers is noticed.
    pub fn register(&mut self, name: &str, version: u64) -> NamedRegister {
        let mut bytes = name.as_bytes().to_vec();
        bytes.resize(bytes.len() + self.register_padding, 0);
        // A random digest, because hashing padded values would take most of a walk's time.
        let digest = self.rng.random_range(1..4);
        NamedRegister { name: name.into(), value: Arc::new(RegisterValue { version, digest, bytes }) }
    }

    fn read_floor_of(&self, name: &str) -> Revision {
        self.register_read_floors.get(name).copied().unwrap_or_default()
    }

    fn raise_read_floor(&mut self, name: &RegisterName, revision: Revision) {
        let floor = self.register_read_floors.entry(name.clone()).or_default();
        *floor = revision.max(*floor);
    }

    /// Whether a majority of this node's membership has the value on disk, or had it until its disk was lost; or a
    /// majority of an earlier membership, since a new member receives it in a snapshot.
    fn is_on_majority_of_disks(&self, node: usize, name: &RegisterName, revision: Revision) -> bool {
        let Some(epoch) = self.nodes[node].core.as_ref().map(|core| core.membership().epoch) else {
            return true;
        };
        let stored_value = |disk: &Disk, name: &RegisterName| match &**name {
            "" => disk.configuration.clone(),
            name => disk.registers.get(name).cloned(),
        };
        self.majority_of_disks(epoch, |disk| {
            stored_value(disk, name).is_some_and(|value| value.revision() >= revision)
        })
    }

    /// Whether the disks of a majority have this property, or had it until they were lost, in this epoch's membership or
    /// an earlier one.
    fn majority_of_disks(&self, epoch: u64, has_property: impl Fn(&Disk) -> bool) -> bool {
        let stores_it = |member: &&ReplicaId| {
            let node = self.nodes.iter().enumerate().find(|(node, _)| address_of(*node) == member.address);
            node.is_some_and(|(_, Node { disk, .. })| {
                disk.membership_ballot.as_ref().is_none_or(|ballots| ballots.replica != **member)
                    || has_property(disk)
            })
        };
        let is_on_majority = |membership: &Membership| {
            2 * membership.members.iter().filter(stores_it).count() > membership.members.len()
        };
        // A replica with a new disk goes by what members of any epoch report.
        let last_epoch = if epoch == 0 { u64::MAX } else { epoch };
        self.memberships.range(..=last_epoch).any(|(_, membership)| is_on_majority(membership))
    }

    fn apply_effects(&mut self, node: usize, out: Vec<Effect>) {
        self.check_stored_values(node);
        for effect in out {
            match effect {
                Effect::SendNow(to, message) => self.send(node, to, message),
                Effect::Respond { call, response } => self.record_response(node, call, response),
                Effect::Log(_) => {}
                effect => {
                    let violation = self.roaming_sessions.check_record(&effect);
                    violation.into_iter().for_each(|violation| self.fail(violation));
                    self.nodes[node].pending.push_back(effect);
                }
            }
        }
        self.check_replica(node);
    }

    fn fail(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }

    fn record_response(&mut self, node: usize, call: u64, response: CoreResponse) {
        let incarnation = self.nodes[node].incarnation;
        let Some(pending) = self.pending_calls.remove(&(node, incarnation, call)) else {
            return self.fail(format!("call {call} answered twice"));
        };
        self.responses.insert(call, response.clone());
        match (pending, response) {
            (PendingRequest::Lease { key, token, is_settled }, CoreResponse::LeaseGranted) => {
                self.counts[LEASES_GRANTED] += 1;
                self.check_settled_lease(key, is_settled, None);
                if self.released.contains(&token) {
                    return;
                }
                let released = &self.released;
                let tokens = self.granted.entry(key).or_default();
                tokens.insert(token);
                let unreleased: Vec<LeaseToken> =
                    tokens.iter().filter(|token| !released.contains(token)).copied().collect();
                if unreleased.len() > 1 {
                    self.fail(format!("key {key} granted to tokens {unreleased:?}"));
                }
            }
            (PendingRequest::Lease { key, is_settled, .. }, CoreResponse::LeaseHeld(outcome)) => {
                self.counts[LEASES_HELD] += 1;
                self.check_settled_lease(key, is_settled, Some(&outcome));
                if let LeaseOutcome::Completed(response) = outcome {
                    let token = <[u8; 8]>::try_from(&response.body[..]).map(LeaseToken::from_be_bytes);
                    if !token.is_ok_and(|token| self.completed.contains(&token)) {
                        self.fail("a response that no upstream sent".into());
                    }
                }
            }
            (PendingRequest::WriteConfiguration(revision), CoreResponse::Accepted) => {
                self.counts[WRITES_ACCEPTED] += 1;
                self.check_accepted(node, &"".into(), revision);
                self.read_floor = self.read_floor.max(revision);
            }
            (PendingRequest::WriteConfiguration(revision), CoreResponse::Conflict) => {
                self.check_conflict(&"".into(), revision)
            }
            (PendingRequest::WriteRegister(name, revision), CoreResponse::Conflict) => {
                self.check_conflict(&name, revision)
            }
            (PendingRequest::ReadConfiguration { floor }, CoreResponse::Register(value)) => {
                self.counts[READS] += 1;
                let revision = value.map_or(Revision::NONE, |value| value.revision());
                if revision < floor {
                    self.fail(format!(
                        "read {revision:?}, though {floor:?} was known before the read started"
                    ));
                }
                if revision != Revision::NONE && !self.written_configurations.contains(&revision) {
                    self.fail(format!("read {revision:?}, which nobody wrote"));
                }
                self.read_floor = self.read_floor.max(revision);
            }
            (PendingRequest::WriteRegister(name, revision), CoreResponse::Accepted) => {
                self.counts[REGISTER_WRITES] += 1;
                self.check_accepted(node, &name, revision);
                self.raise_read_floor(&name, revision);
                if !self.is_on_majority_of_disks(node, &name, revision) {
                    self.fail(format!("{name} {revision:?} acknowledged without a majority"));
                }
            }
            (PendingRequest::ReadRegister { name, floor }, CoreResponse::Register(value)) => {
                self.counts[REGISTER_READS] += 1;
                let revision = value.as_ref().map_or(Revision::NONE, |value| value.revision());
                if revision < floor {
                    self.fail(format!(
                        "read {name} {revision:?}, though {floor:?} was known before the read started"
                    ));
                }
                let is_of_register = value.is_none_or(|value| value.bytes.starts_with(name.as_bytes()));
                if revision != Revision::NONE
                    && !(is_of_register && self.written_registers.contains(&(name.clone(), revision)))
                {
                    self.fail(format!("read {name} {revision:?}, which nobody wrote under that name"));
                }
                self.raise_read_floor(&name, revision);
            }
            (PendingRequest::CompleteLease(Some(key)), CoreResponse::Accepted) => {
                self.settled.insert(key);
                let stores_outcome = |disk: &Disk| {
                    disk.leases.get(&key).is_some_and(|lease| lease.outcome != LeaseOutcome::Pending)
                };
                let epoch = self.nodes[node].core.as_ref().map_or(0, |core| core.membership().epoch);
                if !self.majority_of_disks(epoch, stores_outcome) {
                    self.fail(format!("outcome of key {key} acknowledged without a majority"));
                }
            }
            (PendingRequest::CompleteLease(None), CoreResponse::Accepted)
            | (PendingRequest::WriteRegister(..), CoreResponse::CapacityExceeded) => {}
            (PendingRequest::Session { session, floor }, CoreResponse::Session(committed)) => {
                let violation = self.roaming_sessions.check_response(session, floor, committed);
                violation.into_iter().for_each(|violation| self.fail(violation));
            }
            (PendingRequest::StoreTombstone(id), CoreResponse::Accepted) => {
                self.acknowledged_tombstones.insert(id);
                let epoch = self.nodes[node].core.as_ref().map_or(0, |core| core.membership().epoch);
                if !self.majority_of_disks(epoch, |disk| disk.tombstones.contains(&id)) {
                    self.fail(format!("tombstone {id} acknowledged without a majority"));
                }
            }
            (PendingRequest::FindTombstone { id, is_acknowledged }, CoreResponse::Tombstone(exists)) => {
                if is_acknowledged && !exists && !self.loses_too_many_disks {
                    self.fail(format!("tombstone {id} was not found, though it was acknowledged"));
                }
                if exists && !self.requested_tombstones.contains(&id) {
                    self.fail(format!("tombstone {id} was found, which nobody stored"));
                }
            }
            (_, CoreResponse::Unavailable) => self.counts[UNAVAILABLE] += 1,
            (_, response) => self.fail(format!("{response:?} is not a valid response to that request")),
        }
    }

    /// A lease call that began after an outcome was acknowledged learns that outcome.
    fn check_settled_lease(&mut self, key: LeaseKey, is_settled: bool, reported: Option<&LeaseOutcome>) {
        let is_known = reported.is_some_and(|outcome| *outcome != LeaseOutcome::Pending);
        if is_settled && !is_known && !self.loses_too_many_disks {
            self.fail(format!("key {key} was answered {reported:?}, though its outcome was acknowledged"));
        }
    }

    /// A write was accepted: it is the content decided for its version, or a majority stores a later version.
    fn check_accepted(&mut self, node: usize, name: &RegisterName, Revision { version, digest }: Revision) {
        let decided = self.decided.get(&(name.clone(), version)).copied();
        if decided == Some(digest) {
            return;
        }
        let of_name = (name.clone(), version + 1)..=(name.clone(), u64::MAX);
        let later: Vec<Revision> =
            self.decided.range(of_name).map(|((_, later), digest)| Revision::new(*later, *digest)).collect();
        if !later.into_iter().any(|revision| self.is_on_majority_of_disks(node, name, revision)) {
            self.fail(format!("{name} r{version} accepted, though {decided:?} was decided"));
        }
    }

    /// A write was rejected: other content must have been decided for its version.
    fn check_conflict(&mut self, name: &RegisterName, Revision { version, digest }: Revision) {
        self.counts[CONFLICTS] += 1;
        if self.decided.get(&(name.clone(), version)).is_none_or(|decided| *decided == digest) {
            self.fail(format!("{name} r{version} rejected, though it was accepted or may still be"));
        }
    }

    /// Whatever a replica stores must be the only content of its version.
    fn check_stored_values(&mut self, node: usize) {
        let Some(core) = &self.nodes[node].core else { return };
        let configuration = core.stored_configuration().map(|value| ("".into(), value.revision()));
        let registers = core.registers().filter_map(|named| Some((named.name, named.stored?.revision())));
        for (name, Revision { version, digest }) in
            configuration.into_iter().chain(registers).collect::<Vec<_>>()
        {
            let decided = *self.decided.entry((name.clone(), version)).or_insert(digest);
            if decided != digest {
                self.fail(format!("{name} r{version}: two contents are stored"));
            }
        }
    }

    /// Checks the invariants of a replica.
    fn check_replica(&mut self, node: usize) {
        let Some(core) = &self.nodes[node].core else { return };
        let revision = core.committed_configuration().map_or(Revision::NONE, |value| value.revision());
        let membership = core.membership().clone();
        let committed = core.registers().filter_map(|named| Some((named.name, named.committed?.revision())));
        let committed: BTreeMap<RegisterName, Revision> = committed.collect();
        if revision < self.nodes[node].committed {
            self.fail("the committed configuration went back".into());
        }
        if revision != Revision::NONE && !self.written_configurations.contains(&revision) {
            self.fail("a value is committed that nobody wrote".into());
        }
        self.nodes[node].committed = revision;
        // Other clients may have read it as committed, so later reads must return it.
        self.read_floor = self.read_floor.max(revision);
        if membership.epoch > 0 {
            let epoch = membership.epoch;
            if let Some(other) = self.memberships.get(&membership.epoch) {
                if *other != membership {
                    self.fail(format!("two memberships in one epoch: {other:?} and {membership:?}"));
                }
            } else {
                self.counts[MEMBERSHIPS] += 1;
                self.counts[ROLLBACKS] += u64::from(membership.rolled_back);
                self.memberships.insert(membership.epoch, membership);
            }
            let previous_epoch = self.nodes[node].epoch;
            self.nodes[node].epoch = epoch;
            if self.isolate_updated_replicas && previous_epoch != 0 && previous_epoch != epoch {
                self.isolate(node);
            }
        }
        let previous = std::mem::replace(&mut self.nodes[node].committed_registers, committed.clone());
        if previous.iter().any(|(name, revision)| committed.get(name).is_none_or(|now| now < revision)) {
            self.fail("a committed register went back".into());
        }
        for (name, revision) in &committed {
            if !self.written_registers.contains(&(name.clone(), *revision)) {
                self.fail(format!("{name} {revision:?} is committed, which nobody wrote under that name"));
            }
            if previous.get(name) != Some(revision) && !self.is_on_majority_of_disks(node, name, *revision) {
                self.fail(format!("{name} {revision:?} is committed without a majority"));
            }
            self.raise_read_floor(name, *revision);
        }
    }

    /// Cuts most links of a node that has adopted a new membership.
    fn isolate(&mut self, node: usize) {
        for other in (0..self.nodes.len()).filter(|other| *other != node) {
            if self.rng.random_range(0..4) > 0 {
                self.cut_links.insert((address_of(node), other));
                self.in_flight.retain(|envelope| {
                    envelope.message.from.address != address_of(node) || envelope.to != other
                });
            }
        }
    }

    /// The number of calls of running incarnations that have no answer.
    pub fn unanswered_calls(&self) -> usize {
        self.pending_calls
            .keys()
            .filter(|(node, incarnation, _)| self.nodes[*node].incarnation == *incarnation)
            .count()
    }

    /// Starts all nodes, heals all links, and runs for this time without losing a message.
    pub fn run_without_faults(&mut self, duration: u64) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].core.is_none() {
                self.start(node, false);
            }
        }
        self.cut_links.clear();
        self.isolate_updated_replicas = false;
        (self.mostly_lost_kind, self.delayed_kind) = (None, None);
        let end = self.now + duration;
        while self.now < end && self.violation.is_none() {
            self.now += 50 * MS;
            for node in 0..self.nodes.len() {
                self.tick(node);
            }
            self.deliver_everything();
        }
    }

    /// Advances time in steps of 50 ms for the nodes that run; messages on cut links and to nodes that are down are lost.
    pub fn run_for(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        while self.now < end && self.violation.is_none() {
            self.now += 50 * MS;
            for node in 0..self.nodes.len() {
                self.tick(node);
            }
            self.deliver_on_open_links();
        }
    }

    /// Delivers all messages in the order in which they were sent, loses those on cut links, and completes all writes.
    pub fn deliver_on_open_links(&mut self) {
        for _ in 0..200 {
            (0..self.nodes.len()).for_each(|node| self.sync(node, usize::MAX));
            let cut = self.cut_links.clone();
            self.in_flight.retain(|envelope| !cut.contains(&(envelope.message.from.address, envelope.to)));
            if self.in_flight.is_empty() {
                return;
            }
            (0..self.in_flight.len()).for_each(|_| self.deliver(0));
        }
    }

    /// Cuts all links of a node.
    pub fn cut_off(&mut self, node: usize) {
        for other in (0..self.nodes.len()).filter(|other| *other != node) {
            self.cut_links.insert((address_of(node), other));
            self.cut_links.insert((address_of(other), node));
        }
    }

    /// Delivers all messages in the order in which they were sent, and completes all writes.
    pub fn deliver_everything(&mut self) {
        for _ in 0..100_000 {
            for node in 0..self.nodes.len() {
                self.sync(node, usize::MAX);
            }
            if self.in_flight.is_empty() || self.violation.is_some() {
                return;
            }
            let mut messages = std::mem::take(&mut self.in_flight);
            messages.reverse();
            while let Some(envelope) = messages.pop() {
                self.in_flight.push(envelope);
                let last = self.in_flight.len() - 1;
                self.deliver(last);
            }
        }
        self.fail("deliveries keep causing more messages".into());
    }

    pub fn is_up(&self, node: usize) -> bool {
        self.nodes[node].core.is_some()
    }
}

pub const MESSAGE_KINDS: [&str; 14] = [
    "heartbeat",
    "announcement",
    "prepare",
    "promise",
    "accept",
    "accepted",
    "rollback",
    "lease_request",
    "lease_vote",
    "completion",
    "store",
    "stored",
    "snapshot",
    "register_paxos",
];

fn message_kind(body: &MessageBody) -> &'static str {
    match body {
        MessageBody::Heartbeat { .. } => "heartbeat",
        MessageBody::MembershipAnnouncement(_) => "announcement",
        MessageBody::Prepare(_) | MessageBody::PrepareRollback(_) => "prepare",
        MessageBody::Promise { .. } | MessageBody::RollbackPromise { .. } => "promise",
        MessageBody::Accept(_, membership) if membership.rolled_back => "rollback",
        MessageBody::Accept(..) => "accept",
        MessageBody::Accepted(_) | MessageBody::Preempted(_) => "accepted",
        MessageBody::RequestLeases(_) => "lease_request",
        MessageBody::LeaseVotes(_) => "lease_vote",
        MessageBody::CompleteLeases(_) | MessageBody::StoreQuorumWrites(_) => "completion",
        MessageBody::FindTombstones(_) | MessageBody::TombstonesFound(_) => "tombstone",
        MessageBody::StoreConfiguration(_) | MessageBody::StoreRegisters(_) => "store",
        MessageBody::Sessions(_) => "session",
        MessageBody::RegisterPaxos(_) => "register_paxos",
        MessageBody::ConfigurationStored { .. } | MessageBody::FetchConfiguration { .. } => "stored",
        MessageBody::RegistersStored { .. }
        | MessageBody::FetchRegisters { .. }
        | MessageBody::ListRegisters(_)
        | MessageBody::QuorumWritesStored(_) => "stored",
        MessageBody::FetchSnapshot { .. } | MessageBody::SnapshotChunk { .. } => "snapshot",
    }
}
