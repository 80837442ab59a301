//! Pending calls and their timers.
//!
//! Main types: `PendingCalls` holds a `Call` for each number; `PendingLease`, `PendingWrite`, `PendingRead`,
//! `PendingSessionChange`, `PendingQuorumWrite` and `PendingTombstoneQuery` are what the kinds of calls wait for.
//!
//! Invariants: every pending call has exactly one timer, and a removed call has none.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::core::limits::Nanos;
use crate::core::quorum_writes::WriteSubject;
use crate::messages::{
    CommittedSession, Lease, LeaseKey, LeaseToken, RegisterName, RegisterValue, ReplicaId, Revision,
    SessionId, SessionRequest, TombstoneId,
};

/// All calls that wait for their answer.
#[derive(Clone, Debug)]
pub(super) struct PendingCalls {
    by_number: BTreeMap<u64, Call>,
    /// The calls that read or write registers.
    register_calls: BTreeSet<u64>,
    /// The calls that wait for a majority to store a write.
    quorum_writes: BTreeSet<u64>,
    timers: BTreeSet<(Nanos, u64)>,
    by_key: BTreeMap<LeaseKey, Vec<u64>>,
    /// Call numbers are combined with this random value on the wire, so that answers to an earlier incarnation match no
    /// call of this one.
    id_mask: u64,
}

impl PendingCalls {
    /// No calls.
    pub fn new(id_mask: u64) -> PendingCalls {
        PendingCalls {
            by_number: BTreeMap::new(),
            register_calls: BTreeSet::new(),
            quorum_writes: BTreeSet::new(),
            timers: BTreeSet::new(),
            by_key: BTreeMap::new(),
            id_mask,
        }
    }

    /// The number of calls on leases, sessions and tombstones that wait for votes.
    pub fn voting_call_count(&self) -> usize {
        self.by_number.len() - self.register_calls.len() - self.quorum_writes.len()
    }

    /// Whether a number is in use.
    pub fn contains(&self, call: u64) -> bool {
        self.by_number.contains_key(&call)
    }

    /// The call of a number.
    pub fn get(&self, call: u64) -> Option<&Call> {
        self.by_number.get(&call)
    }

    /// The call of a number. Its timer must not be changed directly.
    pub fn get_mut(&mut self, call: u64) -> Option<&mut Call> {
        self.by_number.get_mut(&call)
    }

    /// Adds a call with its timer.
    pub fn insert(&mut self, number: u64, call: Call) {
        match &call {
            Call::Lease(pending) => self.by_key.entry(pending.key).or_default().push(number),
            Call::Write(_) | Call::Read(_) => {
                self.register_calls.insert(number);
            }
            Call::QuorumWrite(_) => {
                self.quorum_writes.insert(number);
            }
            Call::Session(_) | Call::TombstoneQuery(_) => {}
        }
        self.timers.insert((call.timer(), number));
        self.by_number.insert(number, call);
    }

    /// Removes a call and its timer.
    pub fn remove(&mut self, number: u64) -> Option<Call> {
        let call = self.by_number.remove(&number)?;
        self.timers.remove(&(call.timer(), number));
        self.register_calls.remove(&number);
        self.quorum_writes.remove(&number);
        if let Call::Lease(pending) = &call
            && let Some(calls) = self.by_key.get_mut(&pending.key)
        {
            calls.retain(|other| *other != number);
            if calls.is_empty() {
                self.by_key.remove(&pending.key);
            }
        }
        Some(call)
    }

    /// Removes the timer of the next call that is due, and returns its number.
    pub fn take_due(&mut self, now: Nanos) -> Option<u64> {
        let &(due_at, call) = self.timers.first().filter(|(due_at, _)| *due_at <= now)?;
        self.timers.remove(&(due_at, call));
        Some(call)
    }

    /// When the next call is due.
    pub fn next_timer(&self) -> Nanos {
        self.timers.first().map_or(Nanos::MAX, |(due_at, _)| *due_at)
    }

    /// Changes when a call is due.
    pub fn reschedule(&mut self, number: u64, due_at: Nanos) {
        let Some(call) = self.by_number.get_mut(&number) else { return };
        self.timers.remove(&(call.timer(), number));
        *call.timer_mut() = due_at;
        self.timers.insert((due_at, number));
    }

    /// The calls that read or write registers.
    pub fn register_calls(&self) -> &BTreeSet<u64> {
        &self.register_calls
    }

    /// The calls that wait for a majority to store a write.
    pub fn quorum_writes(&self) -> &BTreeSet<u64> {
        &self.quorum_writes
    }

    /// The calls that ask for tombstones.
    pub fn tombstone_queries(&self) -> Vec<u64> {
        let is_query = |call: &Call| matches!(call, Call::TombstoneQuery(_));
        self.by_number.iter().filter(|(_, call)| is_query(call)).map(|(number, _)| *number).collect()
    }

    /// The calls that wait for the lease of a key, oldest first.
    pub fn lease_calls_for(&self, key: LeaseKey) -> Vec<u64> {
        self.by_key.get(&key).cloned().unwrap_or_default()
    }

    /// All calls that wait for leases, in the order of their keys.
    pub fn lease_calls(&self) -> Vec<u64> {
        self.by_key.values().flatten().copied().collect()
    }

    /// Converts the number of a call to its number on the wire, and back.
    pub fn wire_id(&self, call: u64) -> u64 {
        call ^ self.id_mask
    }

    /// A number on the wire that identifies no call.
    pub fn unused_wire_id(&self) -> u64 {
        !self.id_mask
    }
}

/// A call that waits for its answer.
#[derive(Clone, Debug)]
pub(super) enum Call {
    Lease(PendingLease),
    Write(PendingWrite),
    Read(PendingRead),
    Session(Box<PendingSessionChange>),
    QuorumWrite(PendingQuorumWrite),
    TombstoneQuery(PendingTombstoneQuery),
}

impl Call {
    /// When the call is due again.
    fn timer(&self) -> Nanos {
        match self {
            Call::Lease(pending) => pending.timer,
            Call::Write(write) => write.timer,
            Call::Read(read) => read.timer,
            Call::Session(pending) => pending.timer,
            Call::QuorumWrite(pending) => pending.timer,
            Call::TombstoneQuery(pending) => pending.timer,
        }
    }

    fn timer_mut(&mut self) -> &mut Nanos {
        match self {
            Call::Lease(pending) => &mut pending.timer,
            Call::Write(write) => &mut write.timer,
            Call::Read(read) => &mut read.timer,
            Call::Session(pending) => &mut pending.timer,
            Call::QuorumWrite(pending) => &mut pending.timer,
            Call::TombstoneQuery(pending) => &mut pending.timer,
        }
    }
}

/// A call that collects votes on a lease.
#[derive(Clone, Debug)]
pub(super) struct PendingLease {
    pub key: LeaseKey,
    pub token: LeaseToken,
    pub time_left_ms: u32,
    pub started_at: Nanos,
    pub wait_until: Nanos,
    pub timer: Nanos,
    /// Only as many members as a majority needs have been asked so far.
    pub quorum_only: bool,
    pub granted_by: BTreeSet<ReplicaId>,
    /// Members that refused, with the lease that another token holds, if any.
    pub refused_by: BTreeMap<ReplicaId, Option<Lease>>,
}

/// A call that waits until its value is committed.
#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    pub name: RegisterName,
    pub value: Arc<RegisterValue>,
    pub deadline: Nanos,
    pub timer: Nanos,
}

/// A call that waits until a majority has reported its revision and the newest of these is committed.
#[derive(Clone, Debug)]
pub(super) struct PendingRead {
    pub name: RegisterName,
    pub deadline: Nanos,
    pub timer: Nanos,
    /// The revisions that voters have reported since the read began.
    pub revisions: BTreeMap<ReplicaId, Revision>,
}

/// A call that waits until a majority of the voters stores its write.
#[derive(Clone, Debug)]
pub(super) struct PendingQuorumWrite {
    pub subject: WriteSubject,
    pub started_at: Nanos,
    pub timer: Nanos,
    /// Voters that have reported the write in this epoch.
    pub stored_by: BTreeSet<ReplicaId>,
}

/// A call that asks a majority whether a tombstone exists.
#[derive(Clone, Debug)]
pub(super) struct PendingTombstoneQuery {
    pub id: TombstoneId,
    pub started_at: Nanos,
    pub timer: Nanos,
    /// Voters that have reported in this epoch that they don't store it.
    pub absent_at: BTreeSet<ReplicaId>,
}

/// A call that changes a session.
#[derive(Clone, Debug)]
pub(super) struct PendingSessionChange {
    pub session: SessionId,
    pub request: SessionRequest,
    pub started_at: Nanos,
    pub timer: Nanos,
    pub term: u64,
    pub token: LeaseToken,
    /// The highest term that another replica was found to have promised.
    pub highest_term_seen: u64,
    pub rounds: u32,
    pub promises: BTreeMap<ReplicaId, Option<CommittedSession>>,
    /// The change that acceptors are asked to accept, once a majority has promised.
    pub change: Option<CommittedSession>,
    pub accepted_by: BTreeSet<ReplicaId>,
    pub preempted_by: BTreeSet<ReplicaId>,
    /// The change has another owner than the session had.
    pub changes_owner: bool,
    /// The change has another binding than the session had.
    pub changes_binding: bool,
}
