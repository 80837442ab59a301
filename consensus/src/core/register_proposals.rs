//! This replica's proposals for versions of registers, and its state as an acceptor.
//!
//! Main types: `RegisterPaxos`, `RegisterProposal`, `ProposalId`.
//!
//! Invariants: a proposal exists only for a version above the stored one.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::core::limits::Nanos;
use crate::messages::{AcceptedValue, AcceptorState, ProposalNumber, RegisterName, RegisterValue, ReplicaId};

/// The proposal that an answer of an acceptor belongs to.
pub(super) struct ProposalId {
    pub name: RegisterName,
    pub version: u64,
    pub number: ProposalNumber,
}

/// A proposal of this replica for a version of a register.
#[derive(Clone, Debug)]
pub(super) struct RegisterProposal {
    pub number: ProposalNumber,
    /// The content that a call writes; other content may be chosen.
    pub value: Arc<RegisterValue>,
    pub promises: BTreeMap<ReplicaId, Option<AcceptedValue>>,
    /// The content that acceptors are asked to accept, once a majority has promised.
    pub chosen: Option<Arc<RegisterValue>>,
    pub acceptances: BTreeSet<ReplicaId>,
    /// An acceptor has promised a higher number; the next ballot starts at `next_send`.
    pub preempted: bool,
    /// How often this proposal was preempted.
    pub attempts: u32,
    pub next_send: Nanos,
}

/// This replica's proposals and acceptor states.
#[derive(Clone, Debug, Default)]
pub(super) struct RegisterPaxos {
    pub proposals: BTreeMap<RegisterName, RegisterProposal>,
    /// This replica's promises and accepted values, for versions above the stored ones.
    pub acceptors: BTreeMap<(RegisterName, u64), AcceptorState>,
    /// The highest round of any ballot that was seen.
    pub highest_round: u64,
}

impl RegisterPaxos {
    pub fn accepted_bytes(&self) -> usize {
        let accepted = self.acceptors.values().filter_map(|acceptor| acceptor.accepted.as_ref());
        accepted.map(|accepted| accepted.value.bytes.len()).sum()
    }
}
