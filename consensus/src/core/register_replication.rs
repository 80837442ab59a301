//! Anti-entropy for named registers: replicas find out which of them differ, and fetch the newer ones.
//!
//! Heartbeats carry one digest of all stored registers. A voter with the same digest stores exactly what this replica
//! stores, so it acknowledges every register at once. A peer with another digest is asked for its revisions, and then
//! for the values that are newer there.
//!
//! Invariants:
//! - The value of one name never counts for another.
//! - A new member receives all committed registers, however many there are.

use crate::core::Core;
use crate::core::limits::{
    CONFIGURATION, MAX_ITEMS_PER_MESSAGE, MAX_MESSAGE_BYTES, MIN_SEND_INTERVAL, Nanos,
};
use crate::core::mutation::Mutation;
use crate::core::named_registers::{
    MAX_NAME_BYTES, REPLICATED_LIMIT_FACTOR, RegisterStatus, RegistersReport,
};
use crate::core::peers::mark_if_due;
use crate::core::register::Register;
use crate::messages::{
    Effect, MessageBody, NamedRegister, RegisterName, RegisterRevision, ReplicaId, Revision,
};

impl Core {
    /// All registers except the configuration, by name.
    pub fn registers(&self) -> impl Iterator<Item = RegisterStatus> {
        self.named_registers.by_name.iter().map(|(name, register)| RegisterStatus {
            name: name.clone(),
            committed: register.committed.clone(),
            stored: register.stored.clone(),
        })
    }

    /// A counter that increases with every change of what `registers` returns.
    pub fn register_changes(&self) -> u64 {
        self.named_registers.changes
    }

    /// Discards the acknowledgements of the previous epoch.
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
            if mark_if_due(&mut peer.list_requested_at, now, MIN_SEND_INTERVAL) {
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
            MessageBody::RegistersStored { read_id: 0, voter: self.voting.voter, revisions, next },
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
            if self.named_registers.is_within_limits(&name, &value, REPLICATED_LIMIT_FACTOR) {
                self.store_value(&name, value, out);
            }
        }
        if same_epoch && self.voting.voter && from != self.replica_id {
            self.acknowledge_stored(from, 0, &names, out);
        }
        self.fetch_remaining(from, &names, out);
        names.iter().for_each(|name| self.resolve_register_calls(name, out));
    }

    /// Requests the wanted registers that have not arrived yet, because a message holds a limited number of them.
    pub fn fetch_remaining(&mut self, from: ReplicaId, arrived: &[RegisterName], out: &mut Vec<Effect>) {
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
        let fits_message = |named: &NamedRegister| {
            let before = bytes;
            bytes += named.value.bytes.len();
            before < MAX_MESSAGE_BYTES
        };
        let newer: Vec<NamedRegister> = newer.take_while(fits_message).collect();
        if !newer.is_empty() {
            self.send_now(from.address, MessageBody::StoreRegisters(newer), out);
        }
        if same_epoch && self.voting.voter {
            let names: Vec<RegisterName> = known.into_iter().map(|known| known.name).collect();
            self.acknowledge_stored(from, read_id, &names, out);
        }
    }

    /// Acknowledges the stored revisions of these registers.
    pub fn acknowledge_stored(
        &self,
        to: ReplicaId,
        read_id: u64,
        names: &[RegisterName],
        out: &mut Vec<Effect>,
    ) {
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
