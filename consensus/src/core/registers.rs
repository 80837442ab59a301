//! Registers: the operator's configuration, which has the empty name, and documents with names of their own.
//!
//! Main types: `Register` is what this replica knows of one register, `PendingWrite` and `PendingRead` are calls.
//!
//! Invariants:
//! - A revision is committed only if a majority of the voters acknowledged it, or a later one of the same register.
//! - Calls on one register never wait for another register.
//! - Only content that was decided for its version (`register_paxos`) is stored, so no two replicas ever store
//!   different content under one version.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::core::calls::{Call, PendingRead, PendingWrite};
use crate::core::limits::{CONFIGURATION, MAX_REGISTER_CALLS, MIN_SEND_INTERVAL, MS, Nanos, RETRY_INTERVAL};
use crate::core::mutation::Mutation;
use crate::core::peers::mark_if_due;
use crate::core::register::Register;
use crate::core::{Core, Sender};
use crate::messages::{
    CoreResponse, Effect, LogRecord, MessageBody, NamedRegister, RegisterName, RegisterRevision,
    RegisterValue, ReplicaId, Revision,
};

/// A write that is not committed within this time is answered `Unavailable`.
const WRITE_TIMEOUT: Nanos = 3000 * MS;

/// A read that finds no committed value of a majority within this time is answered `Unavailable`.
const READ_TIMEOUT: Nanos = 1500 * MS;

/// How many calls may wait for one named register.
const MAX_CALLS_PER_REGISTER: usize = 16;

/// The message that offers a value for storing.
fn store_message(name: &str, value: Arc<RegisterValue>) -> MessageBody {
    match name {
        CONFIGURATION => MessageBody::StoreConfiguration(value),
        name => MessageBody::StoreRegisters(vec![NamedRegister { name: name.into(), value }]),
    }
}

/// The message that asks for a newer value and for the receiver's revision.
fn fetch_message(name: &str, read_id: u64, known: Revision) -> MessageBody {
    match name {
        CONFIGURATION => MessageBody::FetchConfiguration { read_id, known },
        name => MessageBody::FetchRegisters {
            read_id,
            known: vec![RegisterRevision { name: name.into(), revision: known }],
        },
    }
}

/// The message by which a voter acknowledges what it stores.
fn stored_message(name: &str, read_id: u64, revision: Revision) -> MessageBody {
    match name {
        CONFIGURATION => MessageBody::ConfigurationStored { read_id, revision },
        name => MessageBody::RegistersStored {
            read_id,
            voter: true,
            revisions: vec![RegisterRevision { name: name.into(), revision }],
            next: None,
        },
    }
}

impl Core {
    pub(super) fn register(&self, name: &str) -> Option<&Register> {
        if name == CONFIGURATION { Some(&self.configuration) } else { self.named_registers.get(name) }
    }

    fn stored_revision(&self, name: &str) -> Revision {
        self.register(name).map_or(Revision::NONE, Register::stored_revision)
    }

    /// Whether one more call on this register may wait. If not, answers it with `Unavailable`.
    fn admit_register_call(&self, call: u64, name: &str, out: &mut Vec<Effect>) -> bool {
        let is_on_register = |call: &&u64| self.register_of_call(**call).is_some_and(|on| **on == *name);
        let admitted = self.pending_calls.register_calls().len() < MAX_REGISTER_CALLS
            && (name == CONFIGURATION
                || self.pending_calls.register_calls().iter().filter(is_on_register).count()
                    < MAX_CALLS_PER_REGISTER);
        if !admitted {
            out.push(Effect::Respond { call, response: CoreResponse::Unavailable });
        }
        admitted
    }

    /// The register that a call reads or writes.
    fn register_of_call(&self, call: u64) -> Option<&RegisterName> {
        match self.pending_calls.get(call)? {
            Call::Write(write) => Some(&write.name),
            Call::Read(read) => Some(&read.name),
            Call::Lease(_) | Call::Session(_) | Call::QuorumWrite(_) | Call::TombstoneQuery(_) => None,
        }
    }

    /// Starts a write: proposes its content for its version.
    pub(super) fn begin_write(
        &mut self,
        now: Nanos,
        call: u64,
        name: RegisterName,
        value: Arc<RegisterValue>,
        out: &mut Vec<Effect>,
    ) {
        if !self.admit_register_call(call, &name, out) {
            return;
        }
        if self.breaks(Mutation::StoreUndecidedValue) {
            self.store_value(&name, value.clone(), out);
        }
        let (timer, deadline) = (now.saturating_add(RETRY_INTERVAL), now.saturating_add(WRITE_TIMEOUT));
        self.pending_calls
            .insert(call, Call::Write(PendingWrite { name: name.clone(), value, deadline, timer }));
        self.propose_value(now, &name, out);
        self.replicate_value(now, &name, out);
        self.resolve_register_calls(&name, out);
    }

    /// Starts a read: asks a majority for their revisions.
    pub(super) fn begin_read(&mut self, now: Nanos, call: u64, name: RegisterName, out: &mut Vec<Effect>) {
        if !self.admit_register_call(call, &name, out) {
            return;
        }
        let (timer, deadline) = (now.saturating_add(RETRY_INTERVAL), now.saturating_add(READ_TIMEOUT));
        let read = PendingRead { name: name.clone(), deadline, timer, revisions: BTreeMap::new() };
        self.pending_calls.insert(call, Call::Read(read));
        self.request_revisions(call, out);
        self.resolve_register_calls(&name, out);
    }

    /// Stores a value that was decided for its version, if it is newer than the stored one.
    pub(super) fn store_value(&mut self, name: &str, value: Arc<RegisterValue>, out: &mut Vec<Effect>) {
        let revision = value.revision();
        if revision <= self.stored_revision(name) {
            return;
        }
        if name == CONFIGURATION {
            out.push(Effect::Persist(LogRecord::Configuration(value.clone())));
            self.configuration.store(value);
        } else {
            let named = NamedRegister { name: name.into(), value };
            out.push(Effect::Persist(LogRecord::Register(named.clone())));
            self.named_registers.store(named);
            // The replica that sent the value may have no vote, and replicas learn of the commit from voters'
            // acknowledgements, so an immediate heartbeat saves them the wait for the next one. For the configuration,
            // the replica that learns that it is committed sends a heartbeat.
            self.heartbeat_requested |= self.voting.voter;
        }
        if self.voting.voter {
            self.send_after_persist(self.replica_id.address, stored_message(name, 0, revision), out);
        }
        self.retire_versions(name, revision.version);
    }

    /// Sends the stored value to members that have acknowledged neither it nor a newer one.
    pub(super) fn replicate_value(&mut self, now: Nanos, name: &str, out: &mut Vec<Effect>) {
        let Some(register) = self.register(name) else { return };
        let Some(value) = register.stored.clone() else { return };
        let revision = value.revision();
        let has_acknowledged = |replica: &ReplicaId| {
            register.acknowledged.get(replica).is_some_and(|acknowledged| *acknowledged >= revision)
        };
        let behind: Vec<ReplicaId> = self.others().filter(|replica| !has_acknowledged(replica)).collect();
        for replica in behind {
            let Some(peer) = self.peers.get_mut(&replica) else { continue };
            let last_sent = peer.last_sent_revisions.get(name);
            if last_sent
                .is_some_and(|(at, sent)| *sent == revision && now < at.saturating_add(MIN_SEND_INTERVAL))
            {
                continue;
            }
            peer.last_sent_revisions.insert(name.into(), (now, revision));
            self.send_now(replica.address, store_message(name, value.clone()), out);
        }
    }

    /// Asks the voters that have not reported since the read began.
    fn request_revisions(&self, call: u64, out: &mut Vec<Effect>) {
        let Some(Call::Read(read)) = self.pending_calls.get(call) else { return };
        let (read_id, known) = (self.pending_calls.wire_id(call), self.stored_revision(&read.name));
        for replica in
            self.voting.membership.members.iter().filter(|replica| !read.revisions.contains_key(replica))
        {
            if *replica != self.replica_id {
                self.send_now(replica.address, fetch_message(&read.name, read_id, known), out);
            } else if self.voting.voter {
                self.send_after_persist(
                    self.replica_id.address,
                    stored_message(&read.name, read_id, known),
                    out,
                );
            }
        }
    }

    pub(super) fn handle_store_configuration(
        &mut self,
        from: ReplicaId,
        same_epoch: bool,
        value: Arc<RegisterValue>,
        out: &mut Vec<Effect>,
    ) {
        self.store_value(CONFIGURATION, value, out);
        if same_epoch && self.voting.voter && from != self.replica_id {
            self.send_after_persist(
                from.address,
                stored_message(CONFIGURATION, 0, self.configuration.stored_revision()),
                out,
            );
        }
        self.resolve_register_calls(CONFIGURATION, out);
    }

    pub(super) fn handle_fetch_configuration(
        &self,
        from: ReplicaId,
        same_epoch: bool,
        read_id: u64,
        known: Revision,
        out: &mut Vec<Effect>,
    ) {
        if let Some(value) = self.configuration.stored.as_ref().filter(|value| value.revision() > known) {
            self.send_now(from.address, MessageBody::StoreConfiguration(value.clone()), out);
        }
        if same_epoch && self.voting.voter {
            self.send_after_persist(
                from.address,
                stored_message(CONFIGURATION, read_id, self.configuration.stored_revision()),
                out,
            );
        }
    }

    pub(super) fn handle_configuration_stored(
        &mut self,
        now: Nanos,
        sender: Sender,
        read_id: u64,
        revision: Revision,
        out: &mut Vec<Effect>,
    ) {
        if sender.is_member || self.breaks(Mutation::CountStaleAcknowledgements) {
            self.configuration.record_acknowledgement(sender.replica, revision);
            self.record_read_reply(sender.replica, CONFIGURATION, read_id, revision);
        }
        self.fetch_if_newer(now, sender.replica, revision, out);
        self.update_committed(CONFIGURATION, out);
    }

    /// Records what a voter of this epoch reported, if it answers a read of that register.
    pub(super) fn record_read_reply(
        &mut self,
        from: ReplicaId,
        name: &str,
        read_id: u64,
        revision: Revision,
    ) {
        let call = self.pending_calls.wire_id(read_id);
        if let Some(Call::Read(read)) = self.pending_calls.get_mut(call)
            && read_id != 0
            && *read.name == *name
        {
            read.revisions.insert(from, revision);
        }
    }

    /// Fetches the configuration from a peer that stores a newer one.
    pub(super) fn fetch_if_newer(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        revision: Revision,
        out: &mut Vec<Effect>,
    ) {
        if revision > self.configuration.stored_revision() && self.may_fetch(now, from, CONFIGURATION) {
            self.fetch_value(from, CONFIGURATION, out);
        }
    }

    /// Asks a peer for its value of a register if that is newer.
    pub(super) fn fetch_value(&self, from: ReplicaId, name: &str, out: &mut Vec<Effect>) {
        self.send_now(from.address, fetch_message(name, 0, self.stored_revision(name)), out);
    }

    /// Whether a peer may be asked for a register again; if so, records that it is asked now.
    pub(super) fn may_fetch(&mut self, now: Nanos, from: ReplicaId, name: &str) -> bool {
        let Some(peer) = self.peers.get_mut(&from) else { return false };
        let mut last = peer.fetch_requested_at.get(name).copied();
        let may_fetch = mark_if_due(&mut last, now, MIN_SEND_INTERVAL);
        if may_fetch {
            peer.fetch_requested_at.insert(name.into(), now);
        }
        may_fetch
    }

    /// Recomputes what a majority stores, and answers the calls that depend on it.
    pub(super) fn update_committed(&mut self, name: &str, out: &mut Vec<Effect>) {
        let majority = self.majority();
        let has_risen = if name == CONFIGURATION {
            self.configuration.update_committed(majority)
        } else {
            self.named_registers.update_committed(name, majority)
        };
        self.heartbeat_requested |= has_risen && !self.pending_calls.register_calls().is_empty();
        self.resolve_register_calls(name, out);
    }

    /// Answers the calls on a register that can be answered now.
    pub(super) fn resolve_register_calls(&mut self, name: &str, out: &mut Vec<Effect>) {
        let calls = self.pending_calls.register_calls().iter().copied();
        let calls: Vec<u64> =
            calls.filter(|call| self.register_of_call(*call).is_some_and(|on| **on == *name)).collect();
        for call in calls {
            let empty = Register::default();
            let register = self.register(name).unwrap_or(&empty);
            match self.pending_calls.get(call) {
                Some(Call::Write(write)) => {
                    let Revision { version, digest } = write.value.revision();
                    let committed = Some(register.committed_revision)
                        .filter(|committed| committed.version == version && committed.digest != 0);
                    let decided =
                        register.decided_digest(version).or(committed.map(|committed| committed.digest));
                    let conflicts = if self.breaks(Mutation::RejectDecidedContent) {
                        decided.is_some()
                    } else {
                        decided.is_some_and(|other| other != digest)
                            && !self.breaks(Mutation::StoreUndecidedValue)
                    };
                    let is_committed = register.committed_revision.version >= version
                        && register.committed_revision != Revision::NONE;
                    if conflicts {
                        self.respond(call, CoreResponse::Conflict, out);
                    } else if is_committed || self.breaks(Mutation::AcknowledgeUncommittedWrite) {
                        self.respond(call, CoreResponse::Accepted, out);
                    }
                }
                Some(Call::Read(read))
                    if read.revisions.len() >= self.majority()
                        || self.breaks(Mutation::ReadWithoutMajority) =>
                {
                    let newest = read.revisions.values().copied().max().unwrap_or_default();
                    let committed =
                        register.committed.as_ref().map_or(Revision::NONE, |value| value.revision());
                    if committed >= newest {
                        let response = CoreResponse::Register(register.committed.clone());
                        self.respond(call, response, out);
                    } else if self.breaks(Mutation::ReadUncommittedValue)
                        && register.stored_revision() >= newest
                    {
                        let response = CoreResponse::Register(register.stored.clone());
                        self.respond(call, response, out);
                    } else {
                        self.replicate_value(self.now, name, out);
                    }
                }
                _ => {}
            }
        }
        if !self.pending_calls.register_calls().is_empty() {
            self.propose_value(self.now, &name.into(), out);
        }
    }

    /// Retries a call on a register, or answers it with `Unavailable` at its deadline.
    pub(super) fn handle_register_timer(&mut self, now: Nanos, call: u64, out: &mut Vec<Effect>) {
        let next_retry = now.saturating_add(RETRY_INTERVAL);
        let (name, deadline) = match self.pending_calls.get(call) {
            Some(Call::Write(write)) => (write.name.clone(), write.deadline),
            Some(Call::Read(read)) => (read.name.clone(), read.deadline),
            _ => return,
        };
        if now >= deadline {
            self.respond(call, CoreResponse::Unavailable, out);
            return;
        }
        self.pending_calls.reschedule(call, next_retry.min(deadline));
        self.replicate_value(now, &name, out);
        self.request_revisions(call, out);
    }

    /// Restarts calls after a change of the membership, because reports count only in the epoch in which they were
    /// given.
    pub(super) fn restart_register_calls(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        for call in self.pending_calls.register_calls().clone() {
            if let Some(Call::Read(read)) = self.pending_calls.get_mut(call) {
                read.revisions.clear();
            }
            self.request_revisions(call, out);
        }
        self.restart_register_proposals(now, out);
        let names: BTreeSet<RegisterName> = self
            .pending_calls
            .register_calls()
            .iter()
            .filter_map(|call| self.register_of_call(*call))
            .cloned()
            .collect();
        for name in names {
            self.replicate_value(now, &name, out);
        }
    }

    /// Sends a voter's acknowledgements to itself, which count once its records are durable.
    pub(super) fn acknowledge_to_self(&self, out: &mut Vec<Effect>) {
        self.send_after_persist(
            self.replica_id.address,
            stored_message(CONFIGURATION, 0, self.configuration.stored_revision()),
            out,
        );
        let mut next_name: Option<RegisterName> = Some(CONFIGURATION.into());
        while let Some(name) = next_name {
            let (revisions, next) = self.named_registers.revisions_from(&name);
            next_name = next;
            if !revisions.is_empty() {
                let list = MessageBody::RegistersStored { read_id: 0, voter: true, revisions, next: None };
                self.send_after_persist(self.replica_id.address, list, out);
            }
        }
    }
}
