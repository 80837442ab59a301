//! All registers but the configuration, their limits, and how replicas find out which of them differ.
//!
//! Heartbeats carry one digest of all stored registers. A voter with the same digest stores exactly what this replica
//! stores, so that it acknowledges every register at once. A peer with another digest is asked for its revisions, and
//! then for the values that are newer there.
//!
//! Main types: `NamedRegisters`; `RegisterStatus` for callers.
//!
//! Invariants:
//! - The value of one name never counts for another.
//! - A new member receives all committed registers, however many there are.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use crate::core::mutation::Mutation;
use crate::core::registers::Register;
use crate::core::{
    CONFIGURATION, Core, MAX_ITEMS_PER_MESSAGE, MAX_MESSAGE_BYTES, MIN_SEND_INTERVAL, Nanos, mark_if_due,
};
use crate::messages::{
    Effect, MessageBody, NamedRegister, RegisterName, RegisterRevision, RegisterValue, ReplicaId, Revision,
};

/// How many registers may be written.
pub const MAX_NAMES: usize = 4_096;
/// The longest name of a register in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// The largest value of a register in bytes.
pub const MAX_VALUE_BYTES: usize = 4 << 20;
/// How many bytes the values of all registers may take together.
pub const MAX_TOTAL_BYTES: usize = 64 << 20;
/// Several replicas may admit writes at the same time, so values that others have admitted are stored up to this
/// multiple of the limits.
const REPLICATED_LIMIT_FACTOR: usize = 2;

/// All registers but the configuration.
#[derive(Clone, Debug, Default)]
pub(super) struct NamedRegisters {
    by_name: BTreeMap<RegisterName, Register>,
    /// The sum of the digests of all stored values.
    digest: u128,
    /// The size of all stored values.
    bytes: usize,
    /// Goes up with every change of what is stored or committed.
    changes: u64,
}

/// The digest of a register's name and revision.
fn digest(name: &str, value: &RegisterValue) -> u128 {
    let mut bytes = Vec::with_capacity(name.len() + 16);
    bytes.extend_from_slice(&value.version.to_be_bytes());
    bytes.extend_from_slice(&value.digest.to_be_bytes());
    bytes.extend_from_slice(name.as_bytes());
    xxhash_rust::xxh3::xxh3_128(&bytes)
}

impl NamedRegisters {
    pub fn with_values(registers: Vec<NamedRegister>) -> NamedRegisters {
        let mut all = NamedRegisters::default();
        for named in registers {
            if all.get(&named.name).is_none_or(|stored| stored.stored_revision() < named.value.revision()) {
                all.store(named);
            }
        }
        all
    }

    pub fn get(&self, name: &str) -> Option<&Register> {
        self.by_name.get(name)
    }

    /// Two replicas with the same digest store the same values.
    pub fn digest(&self) -> u128 {
        self.digest
    }

    /// Stores a value that is newer than the stored one.
    pub fn store(&mut self, named: NamedRegister) {
        let NamedRegister { name, value } = named;
        let new_digest = digest(&name, &value);
        let register = self.by_name.entry(name.clone()).or_default();
        if let Some(previous) = &register.stored {
            self.digest = self.digest.wrapping_sub(digest(&name, previous));
            self.bytes = self.bytes.saturating_sub(previous.bytes.len());
        }
        self.digest = self.digest.wrapping_add(new_digest);
        self.bytes += value.bytes.len();
        self.changes += 1;
        register.store(value);
    }

    /// Recomputes what a majority has acknowledged; returns whether it rose.
    pub fn update_committed(&mut self, name: &str, majority: usize) -> bool {
        let grown = self.by_name.get_mut(name).is_some_and(|register| register.update_committed(majority));
        self.changes += u64::from(grown);
        grown
    }

    /// Whether a value fits the limits times `limit_factor`.
    fn fits(&self, name: &str, value: &RegisterValue, limit_factor: usize) -> bool {
        let stored = self.by_name.get(name).and_then(|register| register.stored.as_ref());
        let before = stored.map_or(0, |stored| stored.bytes.len());
        (stored.is_some() || self.by_name.len() < limit_factor * MAX_NAMES)
            && !name.is_empty()
            && name.len() <= MAX_NAME_BYTES
            && value.bytes.len() <= MAX_VALUE_BYTES
            && self.bytes - before + value.bytes.len() <= limit_factor * MAX_TOTAL_BYTES
    }

    /// Whether a write may be admitted.
    pub fn has_room(&self, name: &str, value: &RegisterValue) -> bool {
        self.fits(name, value, 1)
    }

    /// Records that a voter of this epoch stores a revision. Registers that are unknown here are added, within the
    /// limits.
    fn record_acknowledgement(&mut self, voter: ReplicaId, name: &RegisterName, revision: Revision) {
        let room = self.by_name.len() < REPLICATED_LIMIT_FACTOR * MAX_NAMES && name.len() <= MAX_NAME_BYTES;
        if room && revision > Revision::NONE && !name.is_empty() {
            self.by_name.entry(name.clone()).or_default().record_acknowledgement(voter, revision);
        } else if let Some(register) = self.by_name.get_mut(name) {
            register.record_acknowledgement(voter, revision);
        }
    }

    /// Records that a voter of this epoch stores everything that is stored here.
    fn record_all_acknowledged(&mut self, voter: ReplicaId) {
        for register in self.by_name.values_mut() {
            let revision = register.stored_revision();
            register.record_acknowledgement(voter, revision);
        }
    }

    /// Discards all acknowledgements.
    pub fn clear_acknowledgements(&mut self) {
        self.by_name.values_mut().for_each(Register::clear_acknowledgements);
    }

    /// The stored values from a name on.
    pub fn iter_from(&self, name: &str) -> impl Iterator<Item = NamedRegister> {
        let range = self.by_name.range::<str, _>((Bound::Included(name), Bound::Unbounded));
        range.filter_map(|(name, register)| {
            Some(NamedRegister { name: name.clone(), value: register.stored.clone()? })
        })
    }

    /// The revisions of the stored values from a name on, as many as fit in a message, and the name at which the rest
    /// begins.
    pub fn revisions_from(&self, name: &str) -> (Vec<RegisterRevision>, Option<RegisterName>) {
        let mut rest = self.iter_from(name);
        let revisions = rest
            .by_ref()
            .take(MAX_ITEMS_PER_MESSAGE)
            .map(|named| RegisterRevision { revision: named.value.revision(), name: named.name })
            .collect();
        (revisions, rest.next().map(|named| named.name))
    }

    /// The stored values from a name on, as many as fit in a message that already holds `bytes`, and the name at
    /// which the rest begins.
    pub fn batch_from(&self, name: &str, mut bytes: usize) -> (Vec<NamedRegister>, Option<RegisterName>) {
        let mut batch = Vec::new();
        for named in self.iter_from(name) {
            if batch.len() >= MAX_ITEMS_PER_MESSAGE || bytes >= MAX_MESSAGE_BYTES {
                return (batch, Some(named.name));
            }
            bytes += named.value.bytes.len();
            batch.push(named);
        }
        (batch, None)
    }
}

/// What a peer reports of the registers that it stores.
pub(super) struct RegistersReport {
    pub from: ReplicaId,
    /// The peer votes in this epoch.
    pub from_voter: bool,
    /// The read that the report answers; 0 if it answers none.
    pub read_id: u64,
    pub revisions: Vec<RegisterRevision>,
    /// The name at which further revisions begin, if there are more.
    pub next: Option<RegisterName>,
}

/// What a replica knows of one register.
#[derive(Clone, Debug)]
pub struct RegisterStatus {
    /// The register's name.
    pub name: RegisterName,
    /// The newest value that is known to be on a majority's disks. It never goes back while this replica runs.
    pub committed: Option<Arc<RegisterValue>>,
    /// The newest value that this replica stores. It is decided for its version, but may not be on a majority's disks
    /// yet.
    pub stored: Option<Arc<RegisterValue>>,
}

impl Core {
    /// All registers but the configuration, by name.
    pub fn registers(&self) -> impl Iterator<Item = RegisterStatus> {
        self.named_registers.by_name.iter().map(|(name, register)| RegisterStatus {
            name: name.clone(),
            committed: register.committed.clone(),
            stored: register.stored.clone(),
        })
    }

    /// A counter that goes up with every change of what `registers` returns.
    pub fn register_changes(&self) -> u64 {
        self.named_registers.changes
    }

    /// Discards what voters acknowledged in the last epoch.
    pub(super) fn clear_acknowledgements(&mut self) {
        self.configuration.clear_acknowledgements();
        self.named_registers.clear_acknowledgements();
        self.peers.values_mut().for_each(|peer| peer.acknowledged_digest = 0);
    }

    /// Handles the digest of a heartbeat. If it differs, asks the peer for its revisions; if it is the same, the peer
    /// acknowledges everything that is stored here.
    pub(super) fn handle_registers_digest(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        from_voter: bool,
        digest: u128,
        out: &mut Vec<Effect>,
    ) {
        if digest == 0 || from == self.replica_id {
            return;
        }
        let Some(peer) = self.peers.get_mut(&from) else { return };
        if digest != self.named_registers.digest {
            if mark_if_due(&mut peer.listed_at, now, MIN_SEND_INTERVAL) {
                self.send_now(from.address, MessageBody::ListRegisters(CONFIGURATION.into()), out);
            }
        } else if from_voter && peer.acknowledged_digest != digest {
            peer.acknowledged_digest = digest;
            self.named_registers.record_all_acknowledged(from);
            let names: Vec<RegisterName> = self.named_registers.by_name.keys().cloned().collect();
            names.iter().for_each(|name| self.update_committed(name, out));
        }
    }

    /// Answers with the revisions from a name on.
    pub(super) fn handle_list_registers(&self, from: ReplicaId, first: &str, out: &mut Vec<Effect>) {
        let (revisions, next) = self.named_registers.revisions_from(first);
        self.send_after_persist(
            from.address,
            MessageBody::RegistersStored { read_id: 0, voter: self.voter, revisions, next },
            out,
        );
    }

    /// Stores values that a peer offers, and acknowledges them.
    pub(super) fn handle_store_registers(
        &mut self,
        from: ReplicaId,
        same_epoch: bool,
        registers: Vec<NamedRegister>,
        out: &mut Vec<Effect>,
    ) {
        let names: Vec<RegisterName> = registers.iter().map(|named| named.name.clone()).collect();
        for NamedRegister { name, value } in registers {
            if self.named_registers.fits(&name, &value, REPLICATED_LIMIT_FACTOR) {
                self.store_value(&name, value, out);
            }
        }
        if same_epoch && self.voter && from != self.replica_id {
            self.acknowledge_stored(from, 0, &names, out);
        }
        self.fetch_remaining(from, &names, out);
        names.iter().for_each(|name| self.resolve_register_calls(name, out));
    }

    /// Asks again for requested registers that have not arrived, because a message holds only so many.
    fn fetch_remaining(&mut self, from: ReplicaId, arrived: &[RegisterName], out: &mut Vec<Effect>) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        if !arrived.iter().any(|name| peer.wanted_registers.contains_key(name)) {
            return;
        }
        let registers = &self.named_registers;
        let stored_here = |name: &str| registers.get(name).map_or(Revision::NONE, Register::stored_revision);
        peer.wanted_registers
            .retain(|name, revision| !arrived.contains(name) && stored_here(name) < *revision);
        let known: Vec<RegisterRevision> = peer
            .wanted_registers
            .keys()
            .map(|name| RegisterRevision { name: name.clone(), revision: stored_here(name) })
            .collect();
        if !known.is_empty() {
            self.send_now(from.address, MessageBody::FetchRegisters { read_id: 0, known }, out);
        }
    }

    /// Sends newer values, and acknowledges what is stored.
    pub(super) fn handle_fetch_registers(
        &self,
        from: ReplicaId,
        same_epoch: bool,
        read_id: u64,
        known: Vec<RegisterRevision>,
        out: &mut Vec<Effect>,
    ) {
        let mut bytes = 0;
        let newer =
            known.iter().take(MAX_ITEMS_PER_MESSAGE).filter_map(|RegisterRevision { name, revision }| {
                let value = self
                    .named_registers
                    .get(name)?
                    .stored
                    .clone()
                    .filter(|value| value.revision() > *revision)?;
                Some(NamedRegister { name: name.clone(), value })
            });
        // Values that don't fit are requested again.
        let fits = |named: &NamedRegister| {
            let before = bytes;
            bytes += named.value.bytes.len();
            before < MAX_MESSAGE_BYTES
        };
        let newer: Vec<NamedRegister> = newer.take_while(fits).collect();
        if !newer.is_empty() {
            self.send_now(from.address, MessageBody::StoreRegisters(newer), out);
        }
        if same_epoch && self.voter {
            let names: Vec<RegisterName> = known.into_iter().map(|known| known.name).collect();
            self.acknowledge_stored(from, read_id, &names, out);
        }
    }

    /// Acknowledges the stored revisions of these registers.
    fn acknowledge_stored(&self, to: ReplicaId, read_id: u64, names: &[RegisterName], out: &mut Vec<Effect>) {
        let stored = |name: &RegisterName| {
            self.named_registers.get(name).map_or(Revision::NONE, Register::stored_revision)
        };
        let revisions = names
            .iter()
            .take(MAX_ITEMS_PER_MESSAGE)
            .map(|name| RegisterRevision { name: name.clone(), revision: stored(name) })
            .collect();
        let body = MessageBody::RegistersStored { read_id, voter: true, revisions, next: None };
        if self.breaks(Mutation::AcknowledgeBeforePersist) {
            self.send_now(to.address, body, out);
        } else {
            self.send_after_persist(to.address, body, out);
        }
    }

    /// Handles the revisions that a peer stores: fetches newer ones, and counts them as acknowledgements if
    /// `from_voter`, which means that the peer votes in this epoch.
    pub(super) fn handle_registers_stored(
        &mut self,
        now: Nanos,
        report: RegistersReport,
        out: &mut Vec<Effect>,
    ) {
        let RegistersReport { from, from_voter, read_id, revisions, next } = report;
        let mut known = Vec::new();
        for RegisterRevision { name, revision } in revisions.iter().take(MAX_ITEMS_PER_MESSAGE) {
            if from_voter || self.breaks(Mutation::CountAcknowledgementsOfNonVoters) {
                self.named_registers.record_acknowledgement(from, name, *revision);
                self.record_read_reply(from, name, read_id, *revision);
                if self.breaks(Mutation::CountAcknowledgementForAllRegisters) {
                    self.named_registers.record_all_acknowledged(from);
                }
            }
            let stored_here =
                self.named_registers.get(name).map_or(Revision::NONE, Register::stored_revision);
            if *revision > stored_here && name.len() <= MAX_NAME_BYTES && self.may_fetch(now, from, name) {
                known.push(RegisterRevision { name: name.clone(), revision: stored_here });
            }
        }
        if !known.is_empty() {
            let offered =
                |name: &str| revisions.iter().find(|offer| *offer.name == *name).map(|offer| offer.revision);
            let wanted = known.iter().filter_map(|known| Some((known.name.clone(), offered(&known.name)?)));
            if let Some(peer) = self.peers.get_mut(&from) {
                peer.wanted_registers = wanted.collect();
            }
            self.send_now(from.address, MessageBody::FetchRegisters { read_id: 0, known }, out);
        }
        for RegisterRevision { name, .. } in revisions.iter().take(MAX_ITEMS_PER_MESSAGE) {
            self.update_committed(name, out);
        }
        if let Some(next) = next.filter(|next| revisions.last().is_some_and(|last| last.name < *next)) {
            self.send_now(from.address, MessageBody::ListRegisters(next), out);
        }
    }
}
