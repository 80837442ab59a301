//! Single-decree Paxos (Paxos Made Simple) on the content of each version of a register: two operators may send
//! different content under one version through two replicas, and at most one of the two is ever stored, read or
//! acknowledged.
//!
//! A replica that receives a write proposes the content to the members under a proposal number: a majority promises
//! (`Prepare`), the proposer adopts the accepted content with the highest number among the promises, if any, and a
//! majority accepts (`Accept`). Only then is the content stored and replicated (`registers`).
//!
//! Main types: `RegisterProposal`, `RegisterPaxos`.
//!
//! Invariants:
//! - At most one content is decided for a version of a register.
//!
//! Safety: within one epoch, this is Paxos on each version. Across epochs: content that a majority accepted is known
//! to at least one of the replicas whose snapshots a new member needs, and snapshots contain accepted values
//! (`merge_acceptors`), so every majority of the next epoch includes a replica that accepted the content or stores the
//! version. Promises need not be in the snapshot: a proposer counts only answers of its own epoch and starts again in
//! the next one, and a proposal number begins with its epoch. Without the epoch, content that one replica accepted in
//! an earlier epoch, but no majority did, could come back with a higher round and win over what was decided since by
//! replicas that never made a promise to its proposer. So the highest number that a majority reports is that of the
//! decision or of a later proposal of the same content. An acceptor state is dropped once the replica stores that
//! version or a later one. From then on the replica refuses all ballots on it, because the stored version never goes
//! back, so no second content can get a majority.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::Rng;

use crate::core::calls::Call;
use crate::core::limits::{MS, Nanos};
use crate::core::mutation::Mutation;
use crate::core::named_registers::MAX_NAME_BYTES;
use crate::core::register_proposals::{ProposalId, RegisterProposal};
use crate::core::{Core, Sender};
use crate::messages::{
    AcceptedValue, AcceptorState, Ballot, CoreResponse, Effect, LogRecord, MessageBody, ProposalNumber,
    RegisterName, RegisterPaxosMessage, RegisterValue, ReplicaId,
};

/// A message that was not answered is sent again after this time.
const RESEND_INTERVAL: Nanos = 120 * MS;

/// The shortest delay after a proposal was preempted; it doubles with each further preemption.
const BASE_BACKOFF: Nanos = 10 * MS;

/// The delay doubles at most this often.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// How many undecided versions an acceptor keeps for all registers together. It does not answer on further ones.
const MAX_UNDECIDED_VERSIONS: usize = 1_024;

/// How many bytes of accepted, undecided content an acceptor keeps.
const MAX_ACCEPTED_BYTES: usize = 64 << 20;

impl Core {
    fn is_newer(&self, name: &str, version: u64) -> bool {
        self.register(name).is_none_or(|register| register.is_newer(version))
    }

    /// Loads acceptor states from disk, except for versions that are stored.
    pub(super) fn load_acceptors(&mut self, saved: Vec<AcceptorState>) {
        for acceptor in saved {
            if self.is_newer(&acceptor.register, acceptor.version) {
                self.register_paxos.highest_round =
                    self.register_paxos.highest_round.max(acceptor.promised.ballot.round);
                self.register_paxos.acceptors.insert((acceptor.register.clone(), acceptor.version), acceptor);
            }
        }
    }

    pub(super) fn acceptor_states(&self) -> Vec<AcceptorState> {
        self.register_paxos.acceptors.values().cloned().collect()
    }

    fn persist_acceptors(&self, out: &mut Vec<Effect>) {
        out.push(Effect::Persist(LogRecord::RegisterAcceptors(self.acceptor_states())));
    }

    /// The acceptor states that a new member needs, because their versions may have been decided.
    pub(super) fn acceptors_with_accepted_value(&self) -> Vec<AcceptorState> {
        let has_accepted = |acceptor: &&AcceptorState| {
            acceptor.accepted.is_some() && !self.breaks(Mutation::OmitAcceptedValuesFromSnapshot)
        };
        self.register_paxos.acceptors.values().filter(has_accepted).cloned().collect()
    }

    /// Merges accepted values of another replica. Of several contents, only the one with the highest number may have
    /// been decided.
    pub(super) fn merge_acceptors(&mut self, theirs: Vec<AcceptorState>, out: &mut Vec<Effect>) {
        let mut changed = false;
        for AcceptorState { register: name, version, accepted, .. } in theirs {
            let Some(AcceptedValue { number, value }) = accepted else { continue };
            if !self.is_newer(&name, version) {
                continue;
            }
            let acceptor = self.acceptor_mut(&name, version);
            if acceptor.accepted.as_ref().is_none_or(|own| own.number < number) {
                acceptor.accepted = Some(AcceptedValue { number, value });
                acceptor.promised = acceptor.promised.max(number);
                changed = true;
            }
        }
        if changed {
            self.persist_acceptors(out);
        }
    }

    fn acceptor_mut(&mut self, name: &RegisterName, version: u64) -> &mut AcceptorState {
        self.register_paxos.acceptors.entry((name.clone(), version)).or_insert_with(|| AcceptorState {
            register: name.clone(),
            version,
            promised: ProposalNumber::default(),
            accepted: None,
        })
    }

    /// Ends all ballots on versions up to this one, because it is stored now. The next write of acceptor states omits
    /// them, and the next start ignores those that are still on disk.
    pub(super) fn retire_versions(&mut self, name: &str, version: u64) {
        self.register_paxos
            .acceptors
            .retain(|(register, undecided), _| **register != *name || *undecided > version);
        if self.register_paxos.proposals.get(name).is_some_and(|proposal| proposal.value.version <= version) {
            self.register_paxos.proposals.remove(name);
        }
    }

    /// Proposes the highest version that a call waits for, unless a proposal for this register is in progress. A
    /// proposal that has started is finished first, so that a sequence of ever higher versions can't prevent all of
    /// them from being decided.
    pub(super) fn propose_value(&mut self, now: Nanos, name: &RegisterName, out: &mut Vec<Effect>) {
        if self.register_paxos.proposals.contains_key(name) {
            return;
        }
        let calls = self.pending_calls.register_calls().iter().filter_map(|call| {
            match self.pending_calls.get(*call) {
                Some(Call::Write(write)) if write.name == *name => Some(&write.value),
                _ => None,
            }
        });
        let newer = calls.filter(|value| self.is_newer(name, value.version));
        let Some(value) = newer.max_by_key(|value| value.version).cloned() else { return };
        let proposal = RegisterProposal {
            number: ProposalNumber::default(),
            value,
            promises: BTreeMap::new(),
            chosen: None,
            acceptances: BTreeSet::new(),
            preempted: true,
            attempts: 0,
            next_send: now,
        };
        self.register_paxos.proposals.insert(name.clone(), proposal);
        self.drive_register_proposal(now, name, out);
    }

    /// The epoch that proposal numbers begin with.
    fn proposal_epoch(&self) -> u64 {
        if self.breaks(Mutation::NumberWithoutEpoch) { 0 } else { self.voting.membership.epoch }
    }

    /// When the next proposal is due.
    pub(super) fn next_register_proposal_at(&self) -> Nanos {
        self.register_paxos.proposals.values().map(|proposal| proposal.next_send).min().unwrap_or(Nanos::MAX)
    }

    pub(super) fn drive_register_proposals(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        let due = self.register_paxos.proposals.iter().filter(|(_, proposal)| proposal.next_send <= now);
        let due_names: Vec<RegisterName> = due.map(|(name, _)| name.clone()).collect();
        for name in due_names {
            self.drive_register_proposal(now, &name, out);
        }
    }

    /// Restarts all proposals after a change of the membership, because answers count only in the epoch in which they
    /// were given.
    pub(super) fn restart_register_proposals(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        for proposal in self.register_paxos.proposals.values_mut() {
            (proposal.preempted, proposal.next_send) = (true, now);
        }
        self.drive_register_proposals(now, out);
    }

    /// Whether a call still waits for that version.
    fn is_wanted(&self, name: &RegisterName, version: u64) -> bool {
        let wants = |call: &u64| {
            matches!(self.pending_calls.get(*call), Some(Call::Write(write))
                if write.name == *name && write.value.version == version)
        };
        self.pending_calls.register_calls().iter().any(wants)
    }

    /// Starts a ballot, or resends messages that were not answered.
    fn drive_register_proposal(&mut self, now: Nanos, name: &RegisterName, out: &mut Vec<Effect>) {
        let Some(mut proposal) = self.register_paxos.proposals.remove(name) else { return };
        if !self.is_wanted(name, proposal.value.version) {
            self.propose_value(now, name, out);
            return;
        }
        if proposal.preempted {
            self.register_paxos.highest_round = self.register_paxos.highest_round.saturating_add(1);
            let ballot = Ballot {
                round: self.register_paxos.highest_round,
                proposer: self.rng.random_range(1..=u64::MAX),
            };
            proposal.number = ProposalNumber { epoch: self.proposal_epoch(), ballot };
            proposal.preempted = false;
            proposal.chosen = None;
            proposal.promises.clear();
            proposal.acceptances.clear();
        }
        proposal.next_send = now.saturating_add(RESEND_INTERVAL);
        let (number, version) = (proposal.number, proposal.value.version);
        let message = match &proposal.chosen {
            None => RegisterPaxosMessage::Prepare { register: name.clone(), version, number },
            Some(value) => {
                RegisterPaxosMessage::Accept { register: name.clone(), number, value: value.clone() }
            }
        };
        let has_answered = |replica: &ReplicaId| match &proposal.chosen {
            None => proposal.promises.contains_key(replica),
            Some(_) => proposal.acceptances.contains(replica),
        };
        // A proposal promises nothing about this replica's disk, and each incarnation draws new numbers, so messages to
        // other replicas need not wait for writes here. Messages to itself are answered by its own acceptor.
        for replica in self.voting.membership.members.iter().filter(|replica| !has_answered(replica)) {
            if *replica == self.replica_id {
                self.send_register_paxos(*replica, message.clone(), out);
            } else {
                self.send_now(replica.address, MessageBody::RegisterPaxos(message.clone()), out);
            }
        }
        self.register_paxos.proposals.insert(name.clone(), proposal);
    }

    fn send_register_paxos(&self, to: ReplicaId, message: RegisterPaxosMessage, out: &mut Vec<Effect>) {
        self.send_after_persist(to.address, MessageBody::RegisterPaxos(message), out);
    }

    pub(super) fn handle_register_paxos(
        &mut self,
        now: Nanos,
        sender: Sender,
        message: RegisterPaxosMessage,
        out: &mut Vec<Effect>,
    ) {
        match message {
            RegisterPaxosMessage::Prepare { register: name, version, number } if sender.same_epoch => {
                self.handle_acceptor_request(sender.replica, name, version, number, None, out);
            }
            RegisterPaxosMessage::Accept { register: name, number, value } if sender.same_epoch => {
                self.handle_acceptor_request(sender.replica, name, value.version, number, Some(value), out);
            }
            RegisterPaxosMessage::Promise { register: name, version, number, accepted }
                if sender.is_member =>
            {
                self.handle_register_promise(
                    now,
                    sender.replica,
                    ProposalId { name, version, number },
                    accepted,
                    out,
                );
            }
            RegisterPaxosMessage::Accepted { register: name, version, number } if sender.is_member => {
                self.handle_register_accepted(now, sender.replica, ProposalId { name, version, number }, out);
            }
            RegisterPaxosMessage::Preempted { register: name, version, number, promised }
                if sender.is_member =>
            {
                self.handle_register_preempted(now, ProposalId { name, version, number }, promised);
            }
            RegisterPaxosMessage::Superseded { register: name, version, digest, .. } if sender.is_member => {
                self.handle_register_superseded(now, sender.replica, name, version, digest, out);
            }
            _ => {}
        }
    }

    /// Handles a request to promise a number, or to accept `value` under it. A replica that may not vote does not
    /// answer.
    fn handle_acceptor_request(
        &mut self,
        from: ReplicaId,
        name: RegisterName,
        version: u64,
        number: ProposalNumber,
        value: Option<Arc<RegisterValue>>,
        out: &mut Vec<Effect>,
    ) {
        if !self.voting.voter || name.len() > MAX_NAME_BYTES || number.epoch != self.proposal_epoch() {
            return;
        }
        if !self.is_newer(&name, version) && !self.breaks(Mutation::AcceptStoredVersion) {
            let digest = self.register(&name).and_then(|register| register.decided_digest(version));
            let superseded = RegisterPaxosMessage::Superseded { register: name, version, number, digest };
            self.send_register_paxos(from, superseded, out);
            return;
        }
        let is_known = self.register_paxos.acceptors.contains_key(&(name.clone(), version));
        let bytes = value.as_ref().map_or(0, |value| value.bytes.len());
        if !is_known && self.register_paxos.acceptors.len() >= MAX_UNDECIDED_VERSIONS
            || bytes > 0 && self.register_paxos.accepted_bytes() + bytes > MAX_ACCEPTED_BYTES
        {
            return;
        }
        self.register_paxos.highest_round = self.register_paxos.highest_round.max(number.ballot.round);
        let ignores_promises = self.breaks(Mutation::IgnoreRegisterPromise);
        let acceptor = self.acceptor_mut(&name, version);
        if number < acceptor.promised && !ignores_promises {
            let preempted = RegisterPaxosMessage::Preempted {
                register: name,
                version,
                number,
                promised: acceptor.promised,
            };
            self.send_register_paxos(from, preempted, out);
            return;
        }
        let mut changed = number > acceptor.promised;
        acceptor.promised = number.max(acceptor.promised);
        let reply = match value {
            Some(value) => {
                changed |= acceptor.accepted.as_ref().is_none_or(|accepted| accepted.number != number);
                acceptor.accepted = Some(AcceptedValue { number, value });
                RegisterPaxosMessage::Accepted { register: name, version, number }
            }
            None => RegisterPaxosMessage::Promise {
                register: name,
                version,
                number,
                accepted: acceptor.accepted.clone(),
            },
        };
        if changed {
            self.persist_acceptors(out);
        }
        self.send_register_paxos(from, reply, out);
    }

    /// The proposal that an answer belongs to.
    fn proposal_of(&mut self, id: &ProposalId) -> Option<&mut RegisterProposal> {
        let proposal = self.register_paxos.proposals.get_mut(&id.name)?;
        (proposal.value.version == id.version && proposal.number == id.number && !proposal.preempted)
            .then_some(proposal)
    }

    fn handle_register_promise(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        id: ProposalId,
        accepted: Option<AcceptedValue>,
        out: &mut Vec<Effect>,
    ) {
        let (majority, ignores_accepted) = (self.majority(), self.breaks(Mutation::IgnoreAcceptedValue));
        let Some(proposal) = self.proposal_of(&id) else { return };
        proposal.promises.insert(from, accepted);
        if proposal.chosen.is_some() || proposal.promises.len() < majority {
            return;
        }
        let accepted = proposal.promises.values().flatten().max_by_key(|accepted| accepted.number);
        let accepted_value = accepted.map(|accepted| accepted.value.clone()).filter(|_| !ignores_accepted);
        proposal.chosen = Some(accepted_value.unwrap_or_else(|| proposal.value.clone()));
        self.drive_register_proposal(now, &id.name, out);
    }

    fn handle_register_accepted(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        id: ProposalId,
        out: &mut Vec<Effect>,
    ) {
        let majority = self.majority();
        let Some(proposal) = self.proposal_of(&id) else { return };
        let Some(chosen) = proposal.chosen.clone() else { return };
        proposal.acceptances.insert(from);
        if proposal.acceptances.len() < majority {
            return;
        }
        self.store_value(&id.name, chosen, out);
        self.replicate_value(now, &id.name, out);
        self.resolve_register_calls(&id.name, out);
    }

    fn handle_register_preempted(&mut self, now: Nanos, id: ProposalId, promised: ProposalNumber) {
        self.register_paxos.highest_round = self.register_paxos.highest_round.max(promised.ballot.round);
        let jitter = self.rng.random_range(0..=BASE_BACKOFF);
        let Some(proposal) = self.proposal_of(&id) else { return };
        let doublings = proposal.attempts.min(MAX_BACKOFF_DOUBLINGS);
        proposal.attempts += 1;
        proposal.preempted = true;
        proposal.next_send = now.saturating_add((BASE_BACKOFF + jitter) << doublings);
    }

    /// Handles the answer of a member that stores this version or a later one: rejects conflicting writes and fetches
    /// its value.
    fn handle_register_superseded(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        name: RegisterName,
        version: u64,
        digest: Option<u64>,
        out: &mut Vec<Effect>,
    ) {
        if let Some(decided) = digest {
            self.reject_conflicting_writes(&name, version, decided, out);
        }
        if self.is_newer(&name, version) && self.may_fetch(now, from, &name) {
            self.fetch_value(from, &name, out);
        }
    }

    /// Answers writes of other content at once when the content of their version is known.
    fn reject_conflicting_writes(
        &mut self,
        name: &RegisterName,
        version: u64,
        decided: u64,
        out: &mut Vec<Effect>,
    ) {
        let conflicting = self.pending_calls.register_calls().iter().copied().filter(|call| {
            matches!(self.pending_calls.get(*call), Some(Call::Write(write))
                if write.name == *name && write.value.version == version
                    && write.value.digest != decided)
        });
        for call in conflicting.collect::<Vec<u64>>() {
            self.respond(call, CoreResponse::Conflict, out);
        }
    }
}
