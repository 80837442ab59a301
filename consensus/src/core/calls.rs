//! Calls that wait for their answer, and when each is due again.
//!
//! Main types: `Call`; `PendingLease`, `PendingWrite`, `PendingRead` and
//! `PendingSessionChange` are what the kinds of calls wait for.
//!
//! Invariants: every pending call has exactly one timer, and a removed call has none.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::core::limits::Nanos;
use crate::messages::{
    CommittedSession, Lease, LeaseKey, LeaseToken, RegisterName, RegisterValue, ReplicaId, Revision,
    SessionId, SessionRequest,
};

/// A call that waits for its answer.
#[derive(Clone, Debug)]
pub(super) enum Call {
    Lease(PendingLease),
    Replace(PendingWrite),
    Read(PendingRead),
    Session(Box<PendingSessionChange>),
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
    /// Only as many members as a majority needs were asked so far.
    pub quorum_only: bool,
    pub granted_by: BTreeSet<ReplicaId>,
    /// Members that refused, with the lease that stands in the way if there is one.
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
    /// What the voters reported since the read began.
    pub revisions: BTreeMap<ReplicaId, Revision>,
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
    /// What acceptors are asked to accept, once a majority has promised.
    pub change: Option<CommittedSession>,
    pub accepted_by: BTreeSet<ReplicaId>,
    pub preempted_by: BTreeSet<ReplicaId>,
    /// The change has another owner than the session had.
    pub changes_owner: bool,
    /// The change has another binding than the session had.
    pub changes_binding: bool,
}
