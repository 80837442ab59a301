//! Single-decree agreement on the content of each version of a register: two operators may send different content
//! under one number through two replicas, and at most one of them is ever held, read or acknowledged.
//!
//! A replica that is asked to replace a register proposes the content to the members by a ballot: a majority promises
//! (`Prepare`), the accepted content of the highest ballot among the promises binds the proposer, a majority accepts
//! (`Accept`). Only then does any replica hold it (`registers`), from where it spreads as before.
//!
//! Why it holds. For one version and one membership this is Paxos. Across memberships: what a majority accepted is held
//! by at least one of those that a new member must be told by, who tell it what they accepted (`merge_version_ballots`),
//! so every majority of the next membership has one that accepted it or holds the version. Promises need not be told: a
//! proposer counts answers of its own membership only and begins anew in the next one, and a number begins with its
//! epoch. Without that, content that one replica accepted in an earlier epoch, and that no majority did, could come back
//! with a higher round and win over what was decided since by replicas that never promised it anything. So the highest
//! number that a majority reports is of the decision or of a proposal that followed it. A ballot state is dropped once
//! the replica holds that version or a later one; from then on it refuses ballots on it for good, because a replica
//! never holds less than before, so no second content can find a majority.

use super::*;
use crate::messages::{AcceptorState, ProposalNumber, RegisterPaxosMessage};

/// From one sending of a message that was not answered to the next.
const RESEND: Nanos = 120 * MS;
/// The first pause after a proposal that was outbid; it doubles with each further one.
const BACKOFF: Nanos = 10 * MS;
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Versions that are being decided, of all registers together. Beyond it no ballot on a further one is answered.
const MAX_OPEN: usize = 1_024;
/// Bytes of accepted content that is not held yet.
const MAX_OPEN_BYTES: usize = 64 << 20;

/// A proposal of this replica for one register.
#[derive(Clone, Debug)]
pub(super) struct Proposal {
    number: ProposalNumber,
    sheet: Arc<RegisterValue>,
    promises: BTreeMap<ReplicaId, Option<(ProposalNumber, Arc<RegisterValue>)>>,
    /// What a majority is asked to accept, once a majority has promised.
    chosen: Option<Arc<RegisterValue>>,
    accepts: BTreeSet<ReplicaId>,
    /// Another has a higher ballot; the next try is due at `next_send`.
    outbid: bool,
    tries: u32,
    next_send: Nanos,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Versions {
    proposals: BTreeMap<RegisterName, Proposal>,
    /// What this replica promised and accepted, for versions above those held.
    open: BTreeMap<(RegisterName, u64), AcceptorState>,
    /// The highest round of any ballot seen.
    top_round: u64,
}

impl Versions {
    fn open_bytes(&self) -> usize {
        let accepted = self.open.values().filter_map(|ballot| ballot.accepted.as_ref());
        accepted.map(|(_, sheet)| sheet.bytes.len()).sum()
    }
}

impl Core {
    fn is_newer(&self, name: &str, version: u64) -> bool {
        self.register(name).is_none_or(|register| register.is_newer(version))
    }

    pub(super) fn load_version_ballots(&mut self, saved: Vec<AcceptorState>) {
        for ballot in saved {
            if self.is_newer(&ballot.register, ballot.version) {
                self.versions.top_round = self.versions.top_round.max(ballot.promised.ballot.round);
                self.versions.open.insert((ballot.register.clone(), ballot.version), ballot);
            }
        }
    }

    pub(super) fn version_ballots(&self) -> Vec<AcceptorState> {
        self.versions.open.values().cloned().collect()
    }

    fn keep_version_ballots(&self, out: &mut Vec<Effect>) {
        out.push(Effect::Persist(LogRecord::RegisterAcceptors(self.version_ballots())));
    }

    /// What a new member has to be told of versions that may have been decided.
    pub(super) fn accepted_versions(&self) -> Vec<AcceptorState> {
        let accepted = |ballot: &&AcceptorState| ballot.accepted.is_some() && self.mutant != 32;
        self.versions.open.values().filter(accepted).cloned().collect()
    }

    /// Takes over what another accepted: of several, the one of the highest ballot may have been decided.
    pub(super) fn merge_version_ballots(&mut self, told: Vec<AcceptorState>, out: &mut Vec<Effect>) {
        let mut changed = false;
        for AcceptorState { register: name, version, accepted, .. } in told {
            let Some((number, sheet)) = accepted else { continue };
            if !self.is_newer(&name, version) {
                continue;
            }
            let open = self.open_version(&name, version);
            if open.accepted.as_ref().is_none_or(|(mine, _)| *mine < number) {
                open.accepted = Some((number, sheet));
                open.promised = open.promised.max(number);
                changed = true;
            }
        }
        if changed {
            self.keep_version_ballots(out);
        }
    }

    fn open_version(&mut self, name: &RegisterName, version: u64) -> &mut AcceptorState {
        self.versions.open.entry((name.clone(), version)).or_insert_with(|| AcceptorState {
            register: name.clone(),
            version,
            promised: ProposalNumber::default(),
            accepted: None,
        })
    }

    /// This version of a register is held here: ballots on it and on those before are over. What stands of them on disk
    /// is left out of the next write, and passed over at the next start.
    pub(super) fn version_held(&mut self, name: &str, version: u64) {
        self.versions.open.retain(|(of, open), _| **of != *name || *open > version);
        if self.versions.proposals.get(name).is_some_and(|proposal| proposal.sheet.version <= version) {
            self.versions.proposals.remove(name);
        }
    }

    /// Proposes the highest version that a call waits for, unless a proposal for this register is under way: one that
    /// has begun is finished first, so that a row of ever higher versions can't keep all of them from being decided.
    pub(super) fn propose_version(&mut self, now: Nanos, name: &RegisterName, out: &mut Vec<Effect>) {
        if self.versions.proposals.contains_key(name) {
            return;
        }
        let calls = self.sheet_calls.iter().filter_map(|call| match self.calls.get(call) {
            Some(Call::Replace(replacing)) if replacing.name == *name => Some(&replacing.sheet),
            _ => None,
        });
        let newer = calls.filter(|sheet| self.is_newer(name, sheet.version));
        let Some(sheet) = newer.max_by_key(|sheet| sheet.version).cloned() else { return };
        let proposal = Proposal {
            number: ProposalNumber::default(),
            sheet,
            promises: BTreeMap::new(),
            chosen: None,
            accepts: BTreeSet::new(),
            outbid: true,
            tries: 0,
            next_send: now,
        };
        self.versions.proposals.insert(name.clone(), proposal);
        self.drive_proposal(now, name, out);
    }

    fn proposal_epoch(&self) -> u64 {
        if self.mutant == 39 { 0 } else { self.view.epoch }
    }

    pub(super) fn next_proposal(&self) -> Nanos {
        self.versions.proposals.values().map(|proposal| proposal.next_send).min().unwrap_or(Nanos::MAX)
    }

    pub(super) fn drive_proposals(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        let due = self.versions.proposals.iter().filter(|(_, proposal)| proposal.next_send <= now);
        let due: Vec<RegisterName> = due.map(|(name, _)| name.clone()).collect();
        for name in due {
            self.drive_proposal(now, &name, out);
        }
    }

    /// The membership is another one: what was answered in the last one does not count.
    pub(super) fn proposals_anew(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        for proposal in self.versions.proposals.values_mut() {
            (proposal.outbid, proposal.next_send) = (true, now);
        }
        self.drive_proposals(now, out);
    }

    /// Whether a call still waits for that version.
    fn is_wanted(&self, name: &RegisterName, version: u64) -> bool {
        let wants = |call: &u64| {
            matches!(self.calls.get(call), Some(Call::Replace(replacing))
                if replacing.name == *name && replacing.sheet.version == version)
        };
        self.sheet_calls.iter().any(wants)
    }

    /// Begins a ballot, or sends what was not answered again.
    fn drive_proposal(&mut self, now: Nanos, name: &RegisterName, out: &mut Vec<Effect>) {
        let Some(mut proposal) = self.versions.proposals.remove(name) else { return };
        if !self.is_wanted(name, proposal.sheet.version) {
            self.propose_version(now, name, out);
            return;
        }
        if proposal.outbid {
            self.versions.top_round = self.versions.top_round.saturating_add(1);
            let ballot =
                Ballot { round: self.versions.top_round, proposer: self.chance.random_range(1..=u64::MAX) };
            proposal.number = ProposalNumber { epoch: self.proposal_epoch(), ballot };
            proposal.outbid = false;
            proposal.chosen = None;
            proposal.promises.clear();
            proposal.accepts.clear();
        }
        proposal.next_send = now.saturating_add(RESEND);
        let (number, version) = (proposal.number, proposal.sheet.version);
        let message = match &proposal.chosen {
            None => RegisterPaxosMessage::Prepare { register: name.clone(), version, number },
            Some(sheet) => {
                RegisterPaxosMessage::Accept { register: name.clone(), number, value: sheet.clone() }
            }
        };
        let answered = |station: &ReplicaId| match &proposal.chosen {
            None => proposal.promises.contains_key(station),
            Some(_) => proposal.accepts.contains(station),
        };
        // A proposal promises nothing of this replica's disk, and its ballot is drawn anew in each life: others need not
        // wait until what was written here is safe. What it says to itself is answered by its own acceptor.
        for station in self.view.members.iter().filter(|station| !answered(station)) {
            if *station == self.me {
                self.send_version(*station, message.clone(), out);
            } else {
                self.now(station.address, MessageBody::RegisterPaxos(message.clone()), out);
            }
        }
        self.versions.proposals.insert(name.clone(), proposal);
    }

    fn send_version(&self, to: ReplicaId, message: RegisterPaxosMessage, out: &mut Vec<Effect>) {
        self.send(to.address, MessageBody::RegisterPaxos(message), out);
    }

    pub(super) fn version_message(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        (same, member): (bool, bool),
        message: RegisterPaxosMessage,
        out: &mut Vec<Effect>,
    ) {
        match message {
            RegisterPaxosMessage::Prepare { register: name, version, number } if same => {
                self.asked_version(from, name, version, number, None, out);
            }
            RegisterPaxosMessage::Accept { register: name, number, value: sheet } if same => {
                self.asked_version(from, name, sheet.version, number, Some(sheet), out);
            }
            RegisterPaxosMessage::Promise { register: name, version, number, accepted } if member => {
                self.version_promised(now, from, name, version, number, accepted, out);
            }
            RegisterPaxosMessage::Accepted { register: name, version, number } if member => {
                self.version_accepted(now, from, name, version, number, out);
            }
            RegisterPaxosMessage::Preempted { register: name, version, number, promised } if member => {
                self.version_outbid(now, name, version, number, promised);
            }
            RegisterPaxosMessage::Superseded { register: name, version, digest, .. } if member => {
                self.version_superseded(now, from, name, version, digest, out);
            }
            _ => {}
        }
    }

    /// A member is asked to promise a number, or to accept content under it. No word where this one may not vote.
    fn asked_version(
        &mut self,
        from: ReplicaId,
        name: RegisterName,
        version: u64,
        number: ProposalNumber,
        sheet: Option<Arc<RegisterValue>>,
        out: &mut Vec<Effect>,
    ) {
        if !self.voter || name.len() > named_registers::MOST_NAME || number.epoch != self.proposal_epoch() {
            return;
        }
        if !self.is_newer(&name, version) && self.mutant != 34 {
            let digest = self.register(&name).and_then(|register| register.digest_of(version));
            let superseded = RegisterPaxosMessage::Superseded { register: name, version, number, digest };
            self.send_version(from, superseded, out);
            return;
        }
        let known = self.versions.open.contains_key(&(name.clone(), version));
        let bytes = sheet.as_ref().map_or(0, |sheet| sheet.bytes.len());
        if !known && self.versions.open.len() >= MAX_OPEN
            || bytes > 0 && self.versions.open_bytes() + bytes > MAX_OPEN_BYTES
        {
            return;
        }
        self.versions.top_round = self.versions.top_round.max(number.ballot.round);
        let ignores_promises = self.mutant == 33;
        let open = self.open_version(&name, version);
        if number < open.promised && !ignores_promises {
            let outbid =
                RegisterPaxosMessage::Preempted { register: name, version, number, promised: open.promised };
            self.send_version(from, outbid, out);
            return;
        }
        let mut changed = number > open.promised;
        open.promised = number.max(open.promised);
        let reply = match sheet {
            Some(sheet) => {
                changed |= open.accepted.as_ref().is_none_or(|(accepted, _)| *accepted != number);
                open.accepted = Some((number, sheet));
                RegisterPaxosMessage::Accepted { register: name, version, number }
            }
            None => RegisterPaxosMessage::Promise {
                register: name,
                version,
                number,
                accepted: open.accepted.clone(),
            },
        };
        if changed {
            self.keep_version_ballots(out);
        }
        self.send_version(from, reply, out);
    }

    /// The proposal that an answer belongs to.
    fn proposal_of(
        &mut self,
        name: &RegisterName,
        version: u64,
        number: ProposalNumber,
    ) -> Option<&mut Proposal> {
        let proposal = self.versions.proposals.get_mut(name)?;
        (proposal.sheet.version == version && proposal.number == number && !proposal.outbid)
            .then_some(proposal)
    }

    #[allow(clippy::too_many_arguments)]
    fn version_promised(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        name: RegisterName,
        version: u64,
        number: ProposalNumber,
        accepted: Option<(ProposalNumber, Arc<RegisterValue>)>,
        out: &mut Vec<Effect>,
    ) {
        let (majority, forgets) = (self.majority(), self.mutant == 35);
        let Some(proposal) = self.proposal_of(&name, version, number) else { return };
        proposal.promises.insert(from, accepted);
        if proposal.chosen.is_some() || proposal.promises.len() < majority {
            return;
        }
        let binding = proposal.promises.values().flatten().max_by_key(|(number, _)| *number);
        let binding = binding.map(|(_, sheet)| sheet.clone()).filter(|_| !forgets);
        proposal.chosen = Some(binding.unwrap_or_else(|| proposal.sheet.clone()));
        self.drive_proposal(now, &name, out);
    }

    fn version_accepted(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        name: RegisterName,
        version: u64,
        number: ProposalNumber,
        out: &mut Vec<Effect>,
    ) {
        let majority = self.majority();
        let Some(proposal) = self.proposal_of(&name, version, number) else { return };
        let Some(chosen) = proposal.chosen.clone() else { return };
        proposal.accepts.insert(from);
        if proposal.accepts.len() < majority {
            return;
        }
        self.hold(&name, chosen, out);
        self.push(now, &name, out);
        self.judge_sheets(&name, out);
    }

    fn version_outbid(
        &mut self,
        now: Nanos,
        name: RegisterName,
        version: u64,
        number: ProposalNumber,
        promised: ProposalNumber,
    ) {
        self.versions.top_round = self.versions.top_round.max(promised.ballot.round);
        let spread = self.chance.random_range(0..=BACKOFF);
        let Some(proposal) = self.proposal_of(&name, version, number) else { return };
        let doublings = proposal.tries.min(MAX_BACKOFF_DOUBLINGS);
        proposal.tries += 1;
        proposal.outbid = true;
        proposal.next_send = now.saturating_add((BACKOFF + spread) << doublings);
    }

    /// A member holds that version or a later one: what it holds is fetched, and calls are judged by that.
    fn version_superseded(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        name: RegisterName,
        version: u64,
        digest: Option<u64>,
        out: &mut Vec<Effect>,
    ) {
        if let Some(decided) = digest {
            self.refuse_others(&name, version, decided, out);
        }
        if self.is_newer(&name, version) && self.may_pull(now, from, &name) {
            self.pull(from, &name, out);
        }
    }

    /// Calls with other content under a version whose content is known are answered at once.
    fn refuse_others(&mut self, name: &RegisterName, version: u64, decided: u64, out: &mut Vec<Effect>) {
        let others = self.sheet_calls.iter().copied().filter(|call| {
            matches!(self.calls.get(call), Some(Call::Replace(replacing))
                if replacing.name == *name && replacing.sheet.version == version
                    && replacing.sheet.digest != decided)
        });
        for call in others.collect::<Vec<u64>>() {
            self.answer(call, CoreResponse::Conflict, out);
        }
    }
}
