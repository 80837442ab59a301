//! A replica that persists records of all kinds, retries refused writes, and is killed now and then.

use ochreshed_consensus::messages::{LeaseKey, LeaseToken, LogRecord};
use ochreshed_storage::{Store, StoreError};

use crate::random::SeededRandom;
use crate::records::{configuration, lease, membership_ballot, named_register, register_acceptors};
use crate::replica_state::ReplicaState;
use crate::simulated_disk::SimulatedDisk;

/// The number of batches of a complete run.
pub const BATCHES: u64 = 60;
/// The number of different lease keys.
pub const KEYS: u64 = 14;
/// Keys with a lower index are rarely released, so that their records have to be compacted.
const LONG_HELD_KEYS: u128 = 4;
const MAX_ATTEMPTS: u32 = 21;
const SEED: u64 = 5;

pub struct Workload {
    disk: SimulatedDisk,
    store: Option<Store>,
    random: SeededRandom,
    pub last_token: LeaseToken,
    /// The state after all acknowledged records.
    pub durable: ReplicaState,
    /// The batch that is being written.
    pub unacknowledged: Vec<LogRecord>,
}

impl Workload {
    pub fn new(disk: SimulatedDisk) -> Workload {
        Workload {
            disk,
            store: None,
            random: SeededRandom::new(SEED),
            last_token: 0,
            durable: ReplicaState::default(),
            unacknowledged: Vec::new(),
        }
    }

    pub fn kill_process(&mut self) {
        self.store = None;
    }

    /// Persists this many batches, up to a loss of power. Refused writes are retried.
    pub fn run(&mut self, batches: u64) -> Result<(), StoreError> {
        let mut written = ReplicaState::default();
        for number in 0..batches {
            let batch = self.next_batch(number, &mut written);
            // The process is killed now and then, and the next one must not recover what is not durable.
            if number % 25 == 24 {
                self.kill_process();
            }
            self.unacknowledged.extend(batch.iter().cloned());
            self.persist_with_retries(&batch)?;
            self.durable.apply_all(&batch);
            self.unacknowledged.clear();
        }
        Ok(())
    }

    /// The records don't depend on the disk, so all runs write the same ones.
    fn next_batch(&mut self, number: u64, written: &mut ReplicaState) -> Vec<LogRecord> {
        let mut records = Vec::new();
        for _ in 0..1 + self.random.below(4) {
            if let Some(record) = self.next_lease_record(written) {
                written.apply(&record);
                records.push(record);
            }
        }
        if number % 6 == 2 {
            records.insert(0, configuration(number));
        }
        if number % 5 == 3 {
            let name = if number.is_multiple_of(2) { "m/a" } else { "w/A_" };
            records.insert(0, named_register(name, number));
        }
        if number % 5 == 1 {
            records.push(LogRecord::MembershipBallot(membership_ballot(number)));
        }
        if number % 5 == 4 {
            records.push(register_acceptors(number));
        }
        records
    }

    /// A lease that is granted, completed or released.
    fn next_lease_record(&mut self, written: &ReplicaState) -> Option<LogRecord> {
        let index = u128::from(self.random.below(KEYS));
        let key: LeaseKey = index << 64 | 1;
        let action = self.random.below(5);
        let response_bytes = self.random.below(90) as usize;
        let is_kept = index < LONG_HELD_KEYS && !self.random.one_in(12);
        match written.leases.get(&key) {
            Some(_) if is_kept => None,
            Some(held) if action < 3 => Some(LogRecord::LeaseReleased(key, held.token)),
            Some(held) if action == 3 => Some(LogRecord::Lease(key, lease(held.token, Some(response_bytes)))),
            _ => {
                self.last_token += 1;
                let response_bytes = (action == 0).then_some(response_bytes);
                Some(LogRecord::Lease(key, lease(self.last_token, response_bytes)))
            }
        }
    }

    fn persist_with_retries(&mut self, batch: &[LogRecord]) -> Result<(), StoreError> {
        let mut failed_attempts = 0;
        loop {
            let Err(error) = self.persist(batch) else { return Ok(()) };
            if failed_attempts >= MAX_ATTEMPTS || self.disk.is_off() {
                return Err(error);
            }
            failed_attempts += 1;
        }
    }

    fn persist(&mut self, batch: &[LogRecord]) -> Result<(), StoreError> {
        if self.store.is_none() {
            let (store, persisted) = self.disk.open()?;
            let recovered = ReplicaState::from_persisted(&persisted);
            recovered.assert_recovers(&self.durable, &self.unacknowledged, "after a kill");
            self.store = Some(store);
        }
        self.store.as_mut().map_or(Ok(()), |store| store.persist(batch))
    }
}
