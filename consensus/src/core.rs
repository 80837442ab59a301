//! The state machine of one control-plane replica.
//!
//! Main types: `Core` takes messages, requests and the time, and returns effects. Its parts are the membership
//! (`membership`, `rollback`, `zone_spread`), the configuration and other registers (`registers`, `named_registers`,
//! `register_paxos`), leases on idempotency keys (`leases`, `response_cache`), sessions (`sessions`) and tombstones
//! (`tombstones`); `quorum_writes` brings outcomes of leases and tombstones to a majority. This module
//! holds what they share: peers, heartbeats, pending calls and the outbox. It does no I/O and reads no clock.
//!
//! Invariants:
//! - Nothing is promised or acknowledged before the corresponding write is durable; `Effect::SendAfterPersist`
//!   enforces this.
//! - Answers of other replicas count only in the epoch in which they were given.
//!
//! Safety: a value is committed once a majority of an epoch's voters stores it. The next epoch differs in one member
//! and is decided by a majority of the current epoch's voters. A replica that has entered the next epoch answers
//! nothing for the earlier one. The new member votes only after it has received snapshots from enough replicas that
//! have entered its epoch: the voters that lack a committed value are always fewer than the snapshots that it needs,
//! so at least one snapshot contains the value.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::core::calls::{Call, PendingCalls};
use crate::core::lease_table::LeaseTable;
use crate::core::limits::{CONFIGURATION, HEARTBEAT_INTERVAL, MAX_TICK_INTERVAL, MIN_SEND_INTERVAL};
use crate::core::membership_state::{SnapshotContent, VotingState};
use crate::core::named_registers::{NamedRegisters, RegistersReport};
use crate::core::outbox::Outbox;
use crate::core::peers::{HeartbeatStatus, Peers, mark_if_due};
use crate::core::quorum_writes::StoredReports;
use crate::core::register::Register;
use crate::core::register_proposals::RegisterPaxos;
use crate::core::session_table::Sessions;
use crate::core::tombstone_table::TombstoneTable;
use crate::messages::{
    Ballot, CoreEvent, CoreRequest, CoreResponse, Effect, LeaseCompletion, LeaseEntry, LogRecord, Membership,
    MembershipBallotState, Message, MessageBody, NamedRegister, RegisterValue, ReplicaId, SessionEntry,
};

mod calls;
mod config;
mod lease_table;
mod leases;
mod limits;
mod membership;
mod membership_state;
mod mutation;
pub mod named_registers;
mod outbox;
mod peers;
mod quorum_writes;
mod register;
mod register_paxos;
mod register_proposals;
mod register_replication;
mod registers;
mod response_cache;
mod rollback;
mod session_table;
mod sessions;
mod tombstone_table;
mod tombstones;
mod zone_spread;

pub use config::{Config, StartOptions};
pub use lease_table::LeaseCounts;
pub use leases::outcome_wait;
pub use limits::Nanos;
#[doc(hidden)]
pub use mutation::Mutation;
pub use peers::PeerStatus;
pub use response_cache::ResponseCacheUsage;
pub use session_table::{SESSION_IDLE, SessionCounts};
pub use tombstone_table::TombstoneCounts;

/// Who sent a message.
#[derive(Clone, Copy, Debug)]
struct Sender {
    replica: ReplicaId,
    /// The message carries this replica's epoch.
    same_epoch: bool,
    /// The message carries this replica's epoch, and the sender is a member of it.
    is_member: bool,
}

/// The state of one replica. The caller feeds it messages, requests and the time, and carries out the effects that it
/// returns.
#[derive(Clone, Debug)]
pub struct Core {
    now: Nanos,
    replica_id: ReplicaId,
    config: Config,
    seeds: Vec<SocketAddr>,
    rng: ChaCha8Rng,
    peers: Peers,
    next_heartbeat: Nanos,
    /// The next `flush` sends a heartbeat, because state changed that the other replicas need at once.
    heartbeat_requested: bool,
    leaving: bool,

    voting: VotingState,

    /// The register that holds the operator's configuration.
    configuration: Register,
    /// All other registers.
    named_registers: NamedRegisters,
    /// Proposals and acceptor states for versions that are not decided yet.
    register_paxos: RegisterPaxos,

    lease_table: LeaseTable,
    sessions: Sessions,
    tombstones: TombstoneTable,

    pending_calls: PendingCalls,
    stored_reports: StoredReports,
    outbox: Outbox,

    /// The rule that this replica breaks, in tests only.
    mutation: Option<Mutation>,
    /// Rolls back whenever that is safe, even if the new member is reachable. Tests use it to show that safety does
    /// not depend on when a rollback starts.
    #[doc(hidden)]
    pub eager_rollback: bool,
}

impl Core {
    /// Starts a replica with what its disk held. With `first_start`, no replica of this cluster has ever run, and
    /// `seeds` are the members of the first epoch. A replica with an empty disk that is not on its first start gets a
    /// new disk identity.
    pub fn new(options: StartOptions<'_>, out: &mut Vec<Effect>) -> Core {
        let StartOptions { now, seed, address, first_start, seeds, saved, config } = options;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let is_empty_disk = saved.membership_ballot.is_none();
        let ballots = saved.membership_ballot.unwrap_or_else(|| {
            let disk_id = if first_start { 0 } else { rng.random_range(1..=u64::MAX) };
            let replica_id = ReplicaId { address, disk_id };
            let initial_members =
                || seeds.iter().map(|address| ReplicaId { address: *address, disk_id: 0 }).collect();
            let membership = if first_start {
                Membership::initial(1, initial_members())
            } else {
                Membership::initial(0, Vec::new())
            };
            let voter = membership.members.contains(&replica_id);
            let (promised, accepted) = (Ballot::default(), None);
            MembershipBallotState {
                replica: replica_id,
                membership,
                voter,
                promised,
                accepted,
                served_snapshot: false,
                barred_from_serving: false,
            }
        });
        let replica_id = ReplicaId { address, disk_id: ballots.replica.disk_id };
        let is_new_replica = replica_id != ballots.replica;
        let voting = VotingState::new(now, replica_id, ballots);
        let call_id_mask = rng.random();
        let sessions = Sessions::new(config.max_leases);
        let lease_table = LeaseTable::new(config.lease_ttl, config.max_response_bytes);
        let mut core = Core {
            now,
            replica_id,
            config,
            seeds: seeds.to_vec(),
            rng,
            peers: Peers::default(),
            next_heartbeat: now,
            heartbeat_requested: false,
            leaving: false,
            voting,
            configuration: Register::with_value(saved.configuration),
            named_registers: NamedRegisters::with_values(saved.registers),
            register_paxos: RegisterPaxos::default(),
            lease_table,
            sessions,
            tombstones: TombstoneTable::default(),
            pending_calls: PendingCalls::new(call_id_mask),
            stored_reports: StoredReports::default(),
            outbox: Outbox::default(),
            mutation: None,
            eager_rollback: false,
        };
        for LeaseEntry { key, lease } in saved.leases {
            core.lease_table.insert(now, key, lease);
        }
        for SessionEntry { session, record } in saved.sessions {
            core.sessions.insert(now, session, record);
        }
        for id in saved.tombstones {
            core.tombstones.insert(now, id);
        }
        core.load_acceptors(saved.acceptors);
        core.lease_table.evict_responses(now, out);
        if is_empty_disk || is_new_replica {
            core.persist_ballot_state(out);
        }
        let (voter, membership) = (core.voting.voter, core.voting.membership.clone());
        out.push(Effect::Log(CoreEvent::Started { replica: replica_id, voter, membership }));
        core.enter_epoch(now, out);
        core
    }

    /// Handles a message from another replica or from this one itself. A message from another epoch counts only where
    /// that can't violate safety.
    pub fn handle_message(&mut self, now: Nanos, message: Message, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        let Message { from, epoch, body } = message;
        if from.address == self.replica_id.address && from != self.replica_id {
            return; // An earlier incarnation with another disk.
        }
        if from != self.replica_id {
            self.record_contact(now, from, epoch, &body, out);
        }
        let same_epoch = epoch == self.voting.membership.epoch;
        let from_member = same_epoch && self.is_member(&from);
        let sender = Sender { replica: from, same_epoch, is_member: from_member };
        match body {
            MessageBody::Heartbeat {
                voter,
                configuration,
                committed_configuration,
                registers_digest,
                ..
            } => {
                if from_member && voter {
                    self.configuration.record_acknowledgement(from, configuration);
                }
                self.configuration.raise_committed_revision(committed_configuration);
                self.fetch_if_newer(now, from, configuration, out);
                self.update_committed(CONFIGURATION, out);
                self.handle_registers_digest(now, from, from_member && voter, registers_digest, out);
            }
            MessageBody::MembershipAnnouncement(membership) => self.adopt_membership(now, membership, out),
            MessageBody::Prepare(ballot) if same_epoch => self.handle_prepare(from, ballot, out),
            MessageBody::Promise { ballot, accepted } if from_member => {
                self.handle_promise(from, ballot, accepted, false, out)
            }
            MessageBody::Accept(ballot, membership) if same_epoch => {
                self.handle_accept(from, ballot, membership, out)
            }
            MessageBody::Accepted(ballot) if same_epoch => self.handle_accepted(now, from, ballot, out),
            MessageBody::PrepareRollback(ballot) if same_epoch => {
                self.handle_prepare_rollback(from, ballot, out)
            }
            MessageBody::RollbackPromise { ballot, accepted } if same_epoch => {
                self.handle_promise(from, ballot, accepted, true, out)
            }
            MessageBody::Preempted(ballot) if same_epoch => self.handle_preempted(now, ballot),
            MessageBody::RequestLeases(list) if same_epoch => self.handle_lease_requests(from, list, out),
            MessageBody::LeaseVotes(list) if from_member || self.breaks(Mutation::CountStaleLeaseVotes) => {
                self.handle_lease_votes(now, from, list, out)
            }
            MessageBody::CompleteLeases(list) => {
                for completion in list {
                    self.apply_completion(now, completion, out);
                }
            }
            MessageBody::StoreQuorumWrites(requests) => self.handle_quorum_writes(now, from, requests, out),
            MessageBody::QuorumWritesStored(calls) if from_member => {
                self.handle_stored_writes(from, calls, out)
            }
            MessageBody::FindTombstones(queries) if same_epoch => {
                self.handle_tombstone_queries(from, queries)
            }
            MessageBody::TombstonesFound(replies) if from_member => {
                self.handle_tombstone_replies(from, replies, out)
            }
            MessageBody::StoreConfiguration(value) => {
                self.handle_store_configuration(from, same_epoch, value, out)
            }
            MessageBody::FetchConfiguration { read_id, known } => {
                self.handle_fetch_configuration(from, same_epoch, read_id, known, out)
            }
            MessageBody::ConfigurationStored { read_id, revision } => {
                self.handle_configuration_stored(now, sender, read_id, revision, out)
            }
            MessageBody::FetchSnapshot { from_key, catch_up_id, from_register }
                if from_member || self.breaks(Mutation::ServeSnapshotInAnyEpoch) =>
            {
                self.serve_snapshot(from, from_key, catch_up_id, from_register, out);
            }
            MessageBody::Sessions(list) => self.handle_session_messages(now, sender, list, out),
            MessageBody::SnapshotChunk {
                catch_up_id,
                leases,
                next_key,
                configuration,
                sessions,
                registers,
                next_register,
                acceptors,
                tombstones,
            } if same_epoch || self.breaks(Mutation::ServeSnapshotInAnyEpoch) => {
                let content = SnapshotContent {
                    catch_up_id,
                    leases,
                    sessions,
                    configuration,
                    registers,
                    acceptors,
                    tombstones,
                    next_key,
                    next_register,
                };
                self.handle_snapshot_chunk(now, from, content, out);
            }
            MessageBody::RegisterPaxos(message) => self.handle_register_paxos(now, sender, message, out),
            MessageBody::StoreRegisters(registers) => {
                self.handle_store_registers(from, same_epoch, registers, out)
            }
            MessageBody::FetchRegisters { read_id, known } => {
                self.handle_fetch_registers(from, same_epoch, read_id, known, out)
            }
            MessageBody::RegistersStored { read_id, voter, revisions, next } => {
                let from_voter = from_member && voter;
                let report = RegistersReport { from, from_voter, read_id, revisions, next };
                self.handle_registers_stored(now, report, out);
            }
            MessageBody::ListRegisters(first) => self.handle_list_registers(from, &first, out),
            _ => {}
        }
    }

    /// Handles a request. It is answered by exactly one `Effect::Respond` with the same `call`, unless it is
    /// cancelled. Messages to other replicas may wait for `flush`. A number that is already in use is ignored.
    pub fn handle_request(&mut self, now: Nanos, call: u64, request: CoreRequest, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        if self.pending_calls.contains(call) {
            return;
        }
        match request {
            CoreRequest::AcquireLease { key, token, time_left_ms } => {
                self.begin_lease(now, call, key, token, time_left_ms, out)
            }
            CoreRequest::CompleteLease { key, token, outcome } => {
                self.begin_completion(now, call, LeaseCompletion { key, token, outcome }, out)
            }
            CoreRequest::ReplaceConfiguration(value) => {
                self.begin_write(now, call, CONFIGURATION.into(), value, out)
            }
            CoreRequest::ReadConfiguration => self.begin_read(now, call, CONFIGURATION.into(), out),
            CoreRequest::ReplaceRegister(NamedRegister { name, value })
                if self.named_registers.has_room(&name, &value) =>
            {
                self.begin_write(now, call, name, value, out);
            }
            CoreRequest::ReplaceRegister(_) => {
                out.push(Effect::Respond { call, response: CoreResponse::CapacityExceeded })
            }
            CoreRequest::ReadRegister(name) => self.begin_read(now, call, name, out),
            CoreRequest::Session(session, session_request) => {
                self.begin_session_request(now, call, session, session_request, out)
            }
            CoreRequest::StoreTombstone(id) => self.begin_tombstone_write(now, call, id, out),
            CoreRequest::FindTombstone(id) => self.begin_tombstone_query(now, call, id, out),
        }
    }

    /// Cancels a call whose caller has disconnected: it is not answered. A lease that it requested may still be held. A
    /// completion goes on until a majority stores it, and its answer is to be ignored then.
    pub fn cancel_request(&mut self, call: u64) {
        if !self.pending_calls.quorum_writes().contains(&call) {
            self.remove_call(call);
        }
    }

    fn remove_call(&mut self, call: u64) {
        if let Some(Call::Session(_)) = self.pending_calls.remove(call) {
            self.forget_session_call(call);
        }
    }

    /// Runs everything that is due and flushes. Returns the latest time of the next call.
    pub fn tick(&mut self, now: Nanos, out: &mut Vec<Effect>) -> Nanos {
        self.now = self.now.max(now);
        while let Some(call) = self.pending_calls.take_due(now) {
            match self.pending_calls.get(call) {
                Some(Call::Lease(_)) => self.handle_lease_timer(now, call, out),
                Some(Call::Session(_)) => self.handle_session_timer(now, call, out),
                Some(Call::QuorumWrite(_)) => self.handle_quorum_write_timer(now, call, out),
                Some(Call::TombstoneQuery(_)) => self.handle_tombstone_query_timer(now, call, out),
                Some(_) => self.handle_register_timer(now, call, out),
                None => {}
            }
        }
        self.lease_table.expire(now, out);
        self.sessions.expire(now, out);
        self.tombstones.expire(now, out);
        self.request_snapshots(now, out);
        self.propose_membership(now, out);
        self.drive_register_proposals(now, out);
        if now >= self.next_heartbeat {
            self.heartbeat_requested = true;
            self.next_heartbeat = now.saturating_add(HEARTBEAT_INTERVAL);
            self.peers.remove_silent(&self.voting.membership.members, now);
        }
        self.queue_stored_reports();
        self.flush(out);
        let next = self.pending_calls.next_timer();
        let next = next.min(self.next_heartbeat).min(self.next_register_proposal_at());
        next.min(now.saturating_add(MAX_TICK_INTERVAL)).max(now.saturating_add(1))
    }

    /// Emits the messages that were collected for each address; to be called after each batch of `handle_message` and
    /// `handle_request`.
    pub fn flush(&mut self, out: &mut Vec<Effect>) {
        for batch in self.outbox.take_batches() {
            let broken_rule = match batch.body {
                MessageBody::LeaseVotes(_) => Mutation::SendLeaseVotesBeforePersist,
                MessageBody::QuorumWritesStored(_) => Mutation::ReportWritesBeforePersist,
                _ => Mutation::SendSessionRepliesBeforePersist,
            };
            let message = self.message(batch.body);
            out.push(if batch.after_persist && !self.breaks(broken_rule) {
                Effect::SendAfterPersist(batch.address, message)
            } else {
                Effect::SendNow(batch.address, message)
            });
        }
        if std::mem::take(&mut self.heartbeat_requested) {
            let message = self.heartbeat();
            for address in self.known_addresses() {
                out.push(Effect::SendAfterPersist(address, message.clone()));
            }
        }
    }

    /// Replaces the seed addresses, which receive heartbeats even if their replicas were never heard.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
    }

    /// Tells the other replicas that this one will stop, so that they replace it at once.
    pub fn announce_departure(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        self.leaving = true;
        self.heartbeat_requested = true;
        self.flush(out);
    }

    /// Whether this replica may stop permanently after `announce_departure`, because enough others store what it
    /// stores. A member waits until another replica has its place and votes, or until no replica can take its place and
    /// all others vote: one that is still catching up may need this replica's snapshot.
    pub fn may_stop(&self) -> bool {
        if !self.leaving || self.breaks(Mutation::StopAtOnce) {
            return self.leaving;
        }
        let others_vote = self
            .voting
            .membership
            .members
            .iter()
            .all(|member| *member == self.replica_id || self.is_voter(member));
        if self.is_member(&self.replica_id) {
            let can_be_replaced = self.peers.iter().any(|(replica, peer)| self.may_join(replica, peer));
            return self.voting.membership.members.len() <= 1 || !can_be_replaced && others_vote;
        }
        self.voting.stopped_voting_in.is_none() || others_vote
    }

    /// The newest configuration that is known to be on a majority's disks. It never goes back while this replica
    /// runs.
    pub fn committed_configuration(&self) -> Option<&Arc<RegisterValue>> {
        self.configuration.committed.as_ref()
    }

    /// The newest configuration that this replica stores. It is decided for its version, but may not be on a
    /// majority's disks yet.
    pub fn stored_configuration(&self) -> Option<&Arc<RegisterValue>> {
        self.configuration.stored.as_ref()
    }

    /// This replica's identity.
    pub fn replica(&self) -> ReplicaId {
        self.replica_id
    }

    /// The membership of this replica's epoch.
    pub fn membership(&self) -> &Membership {
        &self.voting.membership
    }

    /// Whether this replica has caught up and votes in its epoch.
    pub fn is_voting(&self) -> bool {
        self.voting.voter
    }

    /// Whether a majority of the members, this replica included, was heard within `REACHABLE_WINDOW`.
    pub fn has_quorum(&self, now: Nanos) -> bool {
        let is_reachable = |replica: &&ReplicaId| self.can_reach(replica, now);
        self.voting.membership.epoch > 0
            && self.voting.membership.members.iter().filter(is_reachable).count() >= self.majority()
    }

    /// The addresses of this replica, of all members and of all reachable replicas, sorted.
    pub fn replica_addresses(&self) -> Vec<SocketAddr> {
        let reachable = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_reachable(self.now))
            .map(|(replica, _)| replica.address);
        let members = self.voting.membership.members.iter().map(|replica| replica.address);
        let addresses: BTreeSet<SocketAddr> =
            reachable.chain(members).chain([self.replica_id.address]).collect();
        addresses.into_iter().collect()
    }

    /// The status of this replica and of all replicas that it knows, sorted by replica.
    pub fn peer_statuses(&self, now: Nanos) -> Vec<PeerStatus> {
        let own_status = PeerStatus {
            replica: self.replica_id,
            member: self.is_member(&self.replica_id),
            voter: self.voting.voter,
            epoch: self.voting.membership.epoch,
            heard_ago: Some(0),
            leaving: self.leaving,
            zone: self.config.zone.clone(),
        };
        let others = self.peers.iter().filter(|(replica, _)| **replica != self.replica_id);
        let others = others.map(|(replica, peer)| PeerStatus {
            replica: *replica,
            member: self.is_member(replica),
            voter: peer.voter,
            epoch: peer.epoch,
            heard_ago: peer.last_heard.map(|heard| now.saturating_sub(heard)),
            leaving: peer.leaving,
            zone: peer.zone.clone(),
        });
        let mut statuses: Vec<PeerStatus> = [own_status].into_iter().chain(others).collect();
        statuses.sort_by_key(|status| status.replica);
        statuses
    }

    /// All records that the disk should hold, for rewriting the log.
    pub fn log_records(&self) -> Vec<LogRecord> {
        let sessions =
            self.sessions.iter().map(|(session, record)| LogRecord::Session(session, record.clone()));
        let leases = self.lease_table.iter_from(0).map(|(key, lease)| LogRecord::Lease(key, lease.clone()));
        let configuration =
            self.configuration.stored.iter().map(|value| LogRecord::Configuration(value.clone()));
        let registers = self.named_registers.iter_from("").map(LogRecord::Register);
        let acceptors = LogRecord::RegisterAcceptors(self.acceptor_states());
        let ballots =
            [LogRecord::MembershipBallot(self.voting.ballot_state(self.replica_id)), acceptors].into_iter();
        let tombstones = self.tombstones.iter().map(LogRecord::Tombstone);
        ballots
            .chain(configuration)
            .chain(registers)
            .chain(leases)
            .chain(sessions)
            .chain(tombstones)
            .collect()
    }

    /// Makes this replica break a rule, so that a test can show that it detects the violation.
    #[doc(hidden)]
    pub fn set_mutation(&mut self, mutation: Option<Mutation>) {
        self.mutation = mutation;
        self.lease_table.evicts_leases = self.breaks(Mutation::EvictLeaseWithResponse);
    }

    /// Whether a test made this replica break that rule.
    fn breaks(&self, rule: Mutation) -> bool {
        self.mutation == Some(rule)
    }

    fn is_member(&self, replica: &ReplicaId) -> bool {
        self.voting.is_member(replica)
    }

    /// Whether a member is this replica itself or was heard within `REACHABLE_WINDOW`.
    fn can_reach(&self, member: &ReplicaId, now: Nanos) -> bool {
        *member == self.replica_id || self.peers.is_reachable(member, now)
    }

    /// The number of members in a majority.
    fn majority(&self) -> usize {
        let half = self.voting.membership.members.len() / 2;
        if self.breaks(Mutation::TakeHalfForMajority) { half.max(1) } else { half + 1 }
    }

    fn others(&self) -> impl Iterator<Item = ReplicaId> + use<> {
        let own_id = self.replica_id;
        self.voting.membership.members.clone().into_iter().filter(move |replica| *replica != own_id)
    }

    fn message(&self, body: MessageBody) -> Message {
        Message { from: self.replica_id, epoch: self.voting.membership.epoch, body }
    }

    /// Sends the message once all records written so far are durable.
    fn send_after_persist(&self, address: SocketAddr, body: MessageBody, out: &mut Vec<Effect>) {
        out.push(Effect::SendAfterPersist(address, self.message(body)));
    }

    /// Sends the message at once. Only for messages that promise nothing.
    fn send_now(&self, address: SocketAddr, body: MessageBody, out: &mut Vec<Effect>) {
        out.push(Effect::SendNow(address, self.message(body)));
    }

    fn respond(&mut self, call: u64, response: CoreResponse, out: &mut Vec<Effect>) {
        self.remove_call(call);
        out.push(Effect::Respond { call, response });
    }

    fn heartbeat(&self) -> Message {
        self.message(MessageBody::Heartbeat {
            voter: self.voting.voter,
            configuration: self.configuration.stored_revision(),
            committed_configuration: self.configuration.committed_revision,
            leaving: self.leaving,
            zone: if self.config.tolerated_zone_losses > 0 {
                self.config.zone.clone()
            } else {
                String::new()
            },
            registers_digest: self.named_registers.digest(),
            supports_quorum_writes: true,
        })
    }

    /// The addresses of members, seeds and known peers. Its own address is included only for a voter, which counts
    /// its own acknowledgements.
    fn known_addresses(&self) -> BTreeSet<SocketAddr> {
        let members = self.voting.membership.members.iter().map(|replica| replica.address);
        let peers = self.peers.iter().map(|(replica, _)| replica.address);
        let mut addresses: BTreeSet<SocketAddr> =
            members.chain(peers).chain(self.seeds.iter().copied()).collect();
        if !self.voting.voter {
            addresses.remove(&self.replica_id.address);
        }
        addresses
    }

    /// Records that a peer was heard, and sends what the replica with the earlier membership needs to learn of the
    /// later one.
    fn record_contact(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        epoch: u64,
        body: &MessageBody,
        out: &mut Vec<Effect>,
    ) {
        let own_epoch = self.voting.membership.epoch;
        let Some(peer) = self.peers.get_or_add(from, now) else { return };
        let silent_since = peer.record_message(now);
        if let MessageBody::Heartbeat { voter, leaving, zone, supports_quorum_writes, .. } = body {
            let status = HeartbeatStatus {
                voter: *voter,
                leaving: *leaving,
                zone,
                supports_quorum_writes: *supports_quorum_writes,
            };
            peer.record_heartbeat(epoch, status);
        }
        let (announce, send_heartbeat) = (
            epoch < own_epoch && mark_if_due(&mut peer.announced_at, now, MIN_SEND_INTERVAL),
            epoch > own_epoch
                && !matches!(body, MessageBody::MembershipAnnouncement(_))
                && mark_if_due(&mut peer.heartbeat_sent_at, now, MIN_SEND_INTERVAL),
        );
        if announce {
            self.send_now(
                from.address,
                MessageBody::MembershipAnnouncement(self.voting.membership.clone()),
                out,
            );
        }
        if send_heartbeat {
            out.push(Effect::SendAfterPersist(from.address, self.heartbeat()));
        }
        if let Some(since) = silent_since {
            self.resend_lease_updates(from, since);
        }
    }
}
