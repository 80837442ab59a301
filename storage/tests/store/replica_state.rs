//! The state that a disk is expected to hold.

use std::collections::BTreeMap;
use std::sync::Arc;

use ochreshed_consensus::messages::{
    AcceptorState, Lease, LeaseKey, LogRecord, MembershipBallotState, PersistedState, RegisterValue,
};

/// The recovered state without sessions.
#[derive(Clone, Default, Debug, PartialEq)]
pub struct ReplicaState {
    pub membership_ballot: Option<MembershipBallotState>,
    pub acceptors: Vec<AcceptorState>,
    pub configuration: Option<Arc<RegisterValue>>,
    pub leases: BTreeMap<LeaseKey, Lease>,
    pub registers: BTreeMap<String, Arc<RegisterValue>>,
}

impl ReplicaState {
    pub fn from_persisted(persisted: &PersistedState) -> ReplicaState {
        let registers = persisted.registers.iter();
        ReplicaState {
            membership_ballot: persisted.membership_ballot.clone(),
            acceptors: persisted.acceptors.clone(),
            configuration: persisted.configuration.clone(),
            leases: persisted.leases.iter().map(|entry| (entry.key, entry.lease.clone())).collect(),
            registers: registers
                .map(|register| (register.name.to_string(), register.value.clone()))
                .collect(),
        }
    }

    pub fn apply(&mut self, record: &LogRecord) {
        match record {
            LogRecord::MembershipBallot(ballot) => self.membership_ballot = Some(ballot.clone()),
            LogRecord::Configuration(value) => self.configuration = Some(Arc::clone(value)),
            LogRecord::Lease(key, lease) => {
                self.leases.insert(*key, lease.clone());
            }
            LogRecord::LeaseReleased(key, token) => {
                if self.leases.get(key).is_some_and(|lease| lease.token == *token) {
                    self.leases.remove(key);
                }
            }
            LogRecord::Register(register) => {
                self.registers.insert(register.name.to_string(), register.value.clone());
            }
            LogRecord::RegisterAcceptors(acceptors) => self.acceptors = acceptors.clone(),
            LogRecord::Session(..)
            | LogRecord::SessionEnded(_)
            | LogRecord::Tombstone(_)
            | LogRecord::TombstoneExpired(_) => {}
        }
    }

    pub fn apply_all(&mut self, records: &[LogRecord]) {
        records.iter().for_each(|record| self.apply(record));
    }

    /// Asserts that this recovered state holds everything durable. For records that were not acknowledged, each item
    /// may be as before or as one of these records left it.
    pub fn assert_recovers(&self, durable: &ReplicaState, unacknowledged: &[LogRecord], context: &str) {
        let states = possible_states(durable, unacknowledged);
        assert!(
            states.iter().any(|state| state.membership_ballot == self.membership_ballot),
            "{context}: {:?}",
            self.membership_ballot
        );
        assert!(
            states.iter().any(|state| state.acceptors == self.acceptors),
            "{context}: {:?}",
            self.acceptors
        );
        assert!(
            states.iter().any(|state| state.configuration == self.configuration),
            "{context}: {:?}",
            self.configuration
        );
        for name in self.registers.keys().chain(durable.registers.keys()) {
            let recovered = self.registers.get(name);
            let mut possible = states.iter().map(|state| state.registers.get(name));
            assert!(possible.any(|value| value == recovered), "{context}: {name} is {recovered:?}");
        }
        for key in self.leases.keys().chain(durable.leases.keys()) {
            let recovered = self.leases.get(key);
            let mut possible = states.iter().map(|state| state.leases.get(key));
            assert!(
                possible.any(|lease| lease == recovered),
                "{context}: {key} is {recovered:?}, durable {:?}",
                durable.leases.get(key)
            );
        }
    }
}

/// The durable state, and the state after each of the records that were not acknowledged.
fn possible_states(durable: &ReplicaState, unacknowledged: &[LogRecord]) -> Vec<ReplicaState> {
    let mut states = vec![durable.clone()];
    for record in unacknowledged {
        let mut state = states[states.len() - 1].clone();
        state.apply(record);
        states.push(state);
    }
    states
}
