//! All registers except the configuration, their limits and the digest of their values. See `register_replication` for
//! how replicas compare them.
//!
//! Main types: `NamedRegisters`; `RegisterStatus` for callers.
//!
//! Invariants:
//! - The value of one name never counts for another.
//! - A new member receives all committed registers, however many there are.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use crate::core::limits::{MAX_ITEMS_PER_MESSAGE, MAX_MESSAGE_BYTES};
use crate::core::register::Register;
use crate::messages::{NamedRegister, RegisterName, RegisterRevision, RegisterValue, ReplicaId, Revision};

/// The number of registers that may be written.
pub const MAX_NAMES: usize = 4_096;

/// The longest name of a register in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The largest value of a register in bytes.
pub const MAX_VALUE_BYTES: usize = 4 << 20;

/// How many bytes the values of all registers may take together.
pub const MAX_TOTAL_BYTES: usize = 64 << 20;

/// Several replicas may admit writes at the same time, so values that others have admitted are stored up to this
/// multiple of the limits.
pub(super) const REPLICATED_LIMIT_FACTOR: usize = 2;

/// All registers except the configuration.
#[derive(Clone, Debug, Default)]
pub(super) struct NamedRegisters {
    pub by_name: BTreeMap<RegisterName, Register>,
    /// The sum of the digests of all stored values.
    pub digest: u128,
    /// The size of all stored values.
    pub bytes: usize,
    /// Increases with every change of what is stored or committed.
    pub changes: u64,
}

/// The digest of a register's name and revision.
pub(super) fn digest(name: &str, value: &RegisterValue) -> u128 {
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

    /// The digest of all stored values. Replicas with the same digest store the same values.
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
        let has_risen =
            self.by_name.get_mut(name).is_some_and(|register| register.update_committed(majority));
        self.changes += u64::from(has_risen);
        has_risen
    }

    /// Whether the registers stay within `limit_factor` times the limits if this value is stored.
    pub fn is_within_limits(&self, name: &str, value: &RegisterValue, limit_factor: usize) -> bool {
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
        self.is_within_limits(name, value, 1)
    }

    /// Records that a voter of this epoch stores a revision. Registers that are unknown here are added, within the
    /// limits.
    pub fn record_acknowledgement(&mut self, voter: ReplicaId, name: &RegisterName, revision: Revision) {
        let room = self.by_name.len() < REPLICATED_LIMIT_FACTOR * MAX_NAMES && name.len() <= MAX_NAME_BYTES;
        if room && revision > Revision::NONE && !name.is_empty() {
            self.by_name.entry(name.clone()).or_default().record_acknowledgement(voter, revision);
        } else if let Some(register) = self.by_name.get_mut(name) {
            register.record_acknowledgement(voter, revision);
        }
    }

    /// Records that a voter of this epoch stores everything that is stored here.
    pub fn record_all_acknowledged(&mut self, voter: ReplicaId) {
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
