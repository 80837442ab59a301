//! Which replicas vote: ballots on the next membership (single-decree Paxos), and how a new member catches up.
//!
//! Main types: `MembershipProposal` is a ballot of this replica, `CatchUp` the progress of a new member.
//!
//! Invariants:
//! - A replica never answers for an epoch that it has left.
//! - A replica votes only if its disk holds everything that may have been committed in earlier epochs.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use crate::core::Core;
use crate::core::limits::{CONFIGURATION, MAX_ITEMS_PER_MESSAGE, MAX_MESSAGE_BYTES, MS, Nanos};
use crate::core::membership_state::{CatchUp, CatchUpProgress, MembershipProposal, SnapshotContent};
use crate::core::mutation::Mutation;
use crate::core::outbox::payload_bytes;
use crate::core::peers::Peer;
use crate::messages::{
    AcceptedMembership, Ballot, CoreEvent, Effect, LeaseEntry, LeaseKey, LogRecord, Membership, MessageBody,
    NamedRegister, RegisterName, ReplicaId, SessionEntry,
};

/// A proposal for the next membership is abandoned after this time.
const PROPOSAL_TIMEOUT: Nanos = 400 * MS;

/// A new member repeats its request for the next chunk after this time.
const SNAPSHOT_REQUEST_INTERVAL: Nanos = 100 * MS;

/// After this time a new member requests snapshots from all reachable replicas, so also from former members.
const REQUEST_ALL_PEERS_DELAY: Nanos = 600 * MS;

impl Core {
    pub(super) fn persist_ballot_state(&self, out: &mut Vec<Effect>) {
        out.push(Effect::Persist(LogRecord::MembershipBallot(self.voting.ballot_state(self.replica_id))));
    }

    /// Adopts a decided membership if its epoch is later than the current one.
    pub(super) fn adopt_membership(&mut self, now: Nanos, membership: Membership, out: &mut Vec<Effect>) {
        if membership.epoch <= self.voting.membership.epoch {
            return;
        }
        // Messages that were collected so far belong to the old epoch and have to carry its number.
        self.flush(out);
        let is_next_epoch = membership.epoch - 1 == self.voting.membership.epoch;
        self.voting.membership = membership;
        self.voting.membership.members.sort();
        self.voting.membership.members.dedup();
        let member = self.is_member(&self.replica_id);
        let resumes_voting =
            self.voting.membership.rolled_back && is_next_epoch && self.voting.stopped_voting_in.is_some();
        self.voting.stopped_voting_in =
            (self.voting.voter && is_next_epoch && !member).then_some(self.voting.membership.epoch);
        self.voting.voter = member
            && ((self.voting.voter && is_next_epoch)
                || resumes_voting
                || self.breaks(Mutation::VoteBeforeCaughtUp));
        (self.voting.served_snapshot, self.voting.barred_from_serving) = (false, false);
        self.voting.promised_ballot = Ballot::default();
        self.voting.accepted_membership = None;
        self.voting.membership_proposal = None;
        self.voting.change_wanted = false;
        self.clear_acknowledgements();
        if member && !self.voting.voter {
            // Pending leases of an earlier membership may be outdated; the snapshots contain all that are still valid.
            self.lease_table.remove_pending(out);
        }
        self.persist_ballot_state(out);
        out.push(Effect::Log(CoreEvent::MembershipChanged {
            voter: self.voting.voter,
            membership: self.voting.membership.clone(),
        }));
        self.enter_epoch(now, out);
        self.heartbeat_requested = true;
        self.restart_lease_calls(out);
        self.restart_session_calls(out);
        self.restart_quorum_writes(out);
        self.restart_tombstone_queries(out);
        self.restart_register_calls(now, out);
    }

    /// Starts to take part in the epoch: a voter counts its own acknowledgements, a new member starts to catch up.
    pub(super) fn enter_epoch(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        for replica in self.others() {
            self.peers.add_member(replica, now);
        }
        self.voting.catch_up = None;
        if self.voting.voter {
            self.acknowledge_to_self(out);
        } else if self.is_member(&self.replica_id) {
            let sources = self.others().map(|replica| (replica, CatchUpProgress::Leases(0))).collect();
            self.voting.catch_up = Some(CatchUp {
                id: self.rng.random(),
                sources,
                next_request: now,
                request_all_peers_at: now.saturating_add(REQUEST_ALL_PEERS_DELAY),
            });
        }
    }

    /// Asks all sources for the next chunk of their snapshot.
    pub(super) fn request_snapshots(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        let Some(catch_up) = &mut self.voting.catch_up else { return };
        if now < catch_up.next_request {
            return;
        }
        catch_up.next_request = now.saturating_add(SNAPSHOT_REQUEST_INTERVAL);
        if now >= catch_up.request_all_peers_at {
            for (replica, peer) in self.peers.iter() {
                if peer.is_reachable(now) {
                    catch_up.sources.entry(*replica).or_insert(CatchUpProgress::Leases(0));
                }
            }
        }
        let catch_up_id = catch_up.id;
        let requests: Vec<(ReplicaId, MessageBody)> = catch_up
            .sources
            .iter()
            .filter_map(|(replica, progress)| {
                progress.next_request(catch_up_id).map(|request| (*replica, request))
            })
            .collect();
        for (replica, request) in requests {
            self.send_now(replica.address, request, out);
        }
    }

    /// Serves a chunk to a new member. Only replicas that voted in the previous epoch answer, and only in the epoch
    /// that the request names, once that epoch is durable: any quorum of them together holds everything that was
    /// committed in the previous epoch.
    pub(super) fn serve_snapshot(
        &mut self,
        from: ReplicaId,
        from_key: LeaseKey,
        catch_up_id: u64,
        from_register: Option<RegisterName>,
        out: &mut Vec<Effect>,
    ) {
        if !self.voting.voter
            && self.voting.stopped_voting_in != Some(self.voting.membership.epoch)
            && !self.breaks(Mutation::ServeSnapshotInAnyEpoch)
        {
            return;
        }
        if !self.may_serve_snapshot(out) {
            return;
        }
        let (mut leases, mut next_key, mut bytes) = (Vec::new(), None, 0);
        for (key, lease) in self.lease_table.iter_from(from_key).filter(|_| from_register.is_none()) {
            if leases.len() >= MAX_ITEMS_PER_MESSAGE || bytes >= MAX_MESSAGE_BYTES {
                next_key = Some(key);
                break;
            }
            bytes += payload_bytes(&lease.outcome);
            leases.push(LeaseEntry { key, lease: lease.clone() });
        }
        let (mut sessions, next_key) = match &from_register {
            None => self.sessions.batch_from(from_key, next_key),
            Some(_) => (Vec::new(), None),
        };
        let (tombstones, next_key) = match &from_register {
            None => self.tombstones.batch_from(from_key, next_key),
            Some(_) => (Vec::new(), None),
        };
        leases.retain(|entry| next_key.is_none_or(|next| entry.key < next));
        sessions.retain(|entry| next_key.is_none_or(|next| entry.session < next));
        let is_last_of_leases = next_key.is_none() && from_register.is_none();
        let configuration = self.configuration.stored.clone().filter(|_| is_last_of_leases);
        let acceptors = if is_last_of_leases { self.acceptors_with_accepted_value() } else { Vec::new() };
        let (registers, next_register) = match next_key {
            None => self.named_registers.batch_from(from_register.as_deref().unwrap_or_default(), bytes),
            Some(_) => (Vec::new(), None),
        };
        let chunk = MessageBody::SnapshotChunk {
            catch_up_id,
            leases,
            next_key,
            configuration,
            sessions,
            registers,
            next_register,
            acceptors,
            tombstones,
        };
        self.send_after_persist(from.address, chunk, out);
    }

    /// Merges a chunk of a snapshot. Once enough sources have sent everything, this replica votes.
    pub(super) fn handle_snapshot_chunk(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        content: SnapshotContent,
        out: &mut Vec<Effect>,
    ) {
        let catch_up_id = content.catch_up_id;
        let needed_sources = self.voting.membership.members.len() + 1
            - self.majority().min(self.voting.membership.members.len());
        let Some(catch_up) = &mut self.voting.catch_up else { return };
        if catch_up.id != catch_up_id {
            return;
        }
        let Some(progress) = catch_up.sources.get_mut(&from) else { return };
        if *progress == CatchUpProgress::Complete {
            return;
        }
        let next = match (content.next_key, content.next_register) {
            (Some(key), _) => CatchUpProgress::Leases(key),
            (None, Some(name)) => CatchUpProgress::Registers(name),
            (None, _) => CatchUpProgress::Complete,
        };
        // A chunk that was requested earlier starts at an earlier position, so merging it skips nothing.
        let advanced = next > *progress;
        if advanced {
            *progress = next.clone();
        }
        let complete =
            catch_up.sources.values().filter(|progress| **progress == CatchUpProgress::Complete).count()
                >= needed_sources;
        for LeaseEntry { key, lease } in content.leases {
            self.merge_lease(key, lease, out);
        }
        for SessionEntry { session, record } in content.sessions {
            self.merge_session(session, record, out);
        }
        if !self.breaks(Mutation::IgnoreTombstonesOfSnapshot) {
            content.tombstones.into_iter().for_each(|id| self.tombstones.store(self.now, id, out));
        }
        if let Some(value) = content.configuration {
            self.store_value(CONFIGURATION, value, out);
        }
        self.merge_acceptors(content.acceptors, out);
        for NamedRegister { name, value } in content
            .registers
            .into_iter()
            .take(if self.breaks(Mutation::IgnoreRegistersOfSnapshot) { 0 } else { usize::MAX })
        {
            self.store_value(&name, value, out);
        }
        if complete {
            self.voting.catch_up = None;
            self.voting.voter = true;
            self.persist_ballot_state(out);
            out.push(Effect::Log(CoreEvent::CaughtUp { epoch: self.voting.membership.epoch }));
            self.acknowledge_to_self(out);
            self.heartbeat_requested = true;
            self.restart_lease_calls(out);
            self.restart_session_calls(out);
            self.restart_quorum_writes(out);
            self.restart_tombstone_queries(out);
            self.restart_register_calls(now, out);
        } else if let Some(request) = next.next_request(catch_up_id).filter(|_| advanced) {
            self.send_now(from.address, request, out);
        }
    }

    /// Whether a replica could become a member.
    pub(super) fn may_join(&self, replica: &ReplicaId, peer: &Peer) -> bool {
        peer.is_reachable(self.now) && !peer.leaving && !self.is_member(replica)
    }

    /// Whether a member announced that it will stop.
    fn is_leaving(&self, now: Nanos, member: &ReplicaId) -> bool {
        match self.peers.get(member) {
            _ if *member == self.replica_id => self.leaving,
            Some(peer) => peer.leaving && peer.is_reachable(now),
            None => false,
        }
    }

    /// Whether a member was silent for `member_timeout` or came back without its disk.
    fn is_lost(&self, now: Nanos, member: &ReplicaId) -> bool {
        if *member == self.replica_id {
            return false;
        }
        let Some(peer) = self.peers.get(member) else { return true };
        peer.time_since_heard(now) >= self.config.member_timeout || self.peers.is_replaced(member, now)
    }

    /// Whether a member has reported that it votes in this epoch.
    pub(super) fn is_voter(&self, member: &ReplicaId) -> bool {
        match self.peers.get(member) {
            _ if *member == self.replica_id => self.voting.voter,
            Some(peer) => peer.epoch == self.voting.membership.epoch && peer.voter,
            None => false,
        }
    }

    /// The next membership, if a change is needed. A change that is not urgent waits until all remaining members vote,
    /// so that only one member at a time has to catch up. To replace a lost member it suffices that a majority of
    /// voters remains reachable.
    fn wanted_change(&self, now: Nanos) -> Option<Membership> {
        let members = &self.voting.membership.members;
        let candidates: Vec<ReplicaId> = self
            .peers
            .iter()
            .filter(|(replica, peer)| self.may_join(replica, peer))
            .map(|(replica, _)| *replica)
            .collect();
        let is_voter = |member: &&ReplicaId| self.is_voter(member);
        let is_reachable = |member: &&ReplicaId| self.can_reach(member, now);
        for leaving in members.iter().filter(|_| members.len() > 1) {
            let remaining = || members.iter().filter(|member| *member != leaving);
            let lost = self.is_lost(now, leaving);
            let all_vote = remaining().all(|member| self.is_voter(member));
            let enough_vote = remaining().filter(is_voter).filter(is_reachable).count() >= self.majority();
            if !(lost && (all_vote || enough_vote) || all_vote && self.is_leaving(now, leaving)) {
                continue;
            }
            let same_address = candidates.iter().find(|replica| replica.address == leaving.address);
            let other_addresses =
                candidates.iter().filter(|replica| self.keeps_addresses_unique(replica, Some(leaving)));
            if let Some(joining) =
                same_address.or_else(|| self.best_zone_spread(Some(leaving), other_addresses))
            {
                return Some(self.next_membership(Some(leaving), *joining));
            }
        }
        if members.len() < self.config.target_members {
            let eligible = candidates.iter().filter(|replica| self.keeps_addresses_unique(replica, None));
            let joining =
                self.best_zone_spread(None, eligible).filter(|_| members.iter().all(|m| self.is_voter(m)));
            return joining.map(|joining| self.next_membership(None, *joining));
        }
        self.zone_rebalance(now).map(|(leaving, joining)| self.next_membership(Some(&leaving), joining))
    }

    /// Whether each address still occurs once in the membership if `joining` replaces `leaving`.
    pub(super) fn keeps_addresses_unique(&self, joining: &ReplicaId, leaving: Option<&ReplicaId>) -> bool {
        self.voting
            .membership
            .members
            .iter()
            .all(|member| member.address != joining.address || Some(member) == leaving)
    }

    /// The next membership, in which one member is replaced or added.
    fn next_membership(&self, leaving: Option<&ReplicaId>, joining: ReplicaId) -> Membership {
        let members = &self.voting.membership.members;
        let mut next: Vec<ReplicaId> =
            members.iter().filter(|member| Some(*member) != leaving).copied().collect();
        next.push(joining);
        next.sort();
        let epoch = self.voting.membership.epoch.saturating_add(1);
        Membership { epoch, members: next, previous_members: members.clone(), rolled_back: false }
    }

    /// Starts a proposal if a change is wanted and due.
    pub(super) fn propose_membership(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        if self.voting.membership_proposal.as_ref().is_some_and(|proposal| now >= proposal.deadline) {
            self.voting.membership_proposal = None;
            self.delay_next_proposal(now);
        }
        if !self.voting.voter || self.voting.membership_proposal.is_some() {
            return;
        }
        let rollback = self.wanted_rollback(now);
        let Some(wanted) = rollback.clone().or_else(|| self.wanted_change(now)) else {
            self.voting.change_wanted = false;
            return;
        };
        if !self.voting.change_wanted {
            self.voting.change_wanted = true;
            let position = self
                .voting
                .membership
                .members
                .iter()
                .position(|member| *member == self.replica_id)
                .unwrap_or(0);
            // The delay grows with the member's position, so that members rarely propose at the same time.
            let wait = (position as u64 * 80 + self.rng.random_range(0..40)) * MS;
            self.voting.next_proposal_at = self.voting.next_proposal_at.max(now.saturating_add(wait));
        }
        if now < self.voting.next_proposal_at {
            return;
        }
        self.voting.highest_round =
            self.voting.highest_round.max(self.voting.promised_ballot.round).saturating_add(1);
        let proposer = {
            let mut identity = self.replica_id.address.to_string().into_bytes();
            identity.extend_from_slice(&self.replica_id.disk_id.to_be_bytes());
            xxhash_rust::xxh3::xxh3_64(&identity)
        };
        let ballot = Ballot { round: self.voting.highest_round, proposer };
        if ballot <= self.voting.promised_ballot {
            return;
        }
        // The ballot is persisted before it is sent, so that no later incarnation uses it again.
        self.voting.promised_ballot = ballot;
        self.persist_ballot_state(out);
        self.voting.membership_proposal = Some(MembershipProposal {
            ballot,
            wanted,
            rollback: rollback.is_some(),
            promises: BTreeMap::new(),
            chosen: None,
            acceptances: BTreeSet::new(),
            deadline: now.saturating_add(PROPOSAL_TIMEOUT),
        });
        let (acceptors, body) = match rollback {
            Some(_) => (&self.voting.membership.previous_members, MessageBody::PrepareRollback(ballot)),
            None => (&self.voting.membership.members, MessageBody::Prepare(ballot)),
        };
        for replica in acceptors.clone() {
            self.send_after_persist(replica.address, body.clone(), out);
        }
    }

    /// Delays the next proposal by a random time, so that competing proposers don't retry at the same time.
    fn delay_next_proposal(&mut self, now: Nanos) {
        let wait = self.rng.random_range(50..500) * MS;
        self.voting.next_proposal_at = self.voting.next_proposal_at.max(now.saturating_add(wait));
    }

    /// Promises to accept no lower ballot (Paxos Made Simple, phase 1).
    pub(super) fn handle_prepare(&mut self, from: ReplicaId, ballot: Ballot, out: &mut Vec<Effect>) {
        if !self.voting.voter {
            return;
        }
        if ballot < self.voting.promised_ballot {
            self.send_now(from.address, MessageBody::Preempted(self.voting.promised_ballot), out);
            return;
        }
        if ballot > self.voting.promised_ballot {
            self.voting.promised_ballot = ballot;
            self.persist_ballot_state(out);
        }
        self.send_after_persist(
            from.address,
            MessageBody::Promise { ballot, accepted: self.voting.accepted_membership.clone() },
            out,
        );
    }

    /// Counts a promise; asks acceptors to accept once there is a quorum.
    pub(super) fn handle_promise(
        &mut self,
        from: ReplicaId,
        ballot: Ballot,
        accepted: Option<AcceptedMembership>,
        for_rollback: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(mut proposal) = self.voting.membership_proposal.take() else { return };
        if proposal.ballot == ballot && proposal.chosen.is_none() && proposal.rollback == for_rollback {
            proposal.promises.insert(from, accepted);
            if self.is_quorum_for(&proposal, proposal.promises.keys()) {
                self.choose_membership(&mut proposal, out);
            }
        }
        self.voting.membership_proposal = Some(proposal);
    }

    /// Whether the replicas are a quorum for the proposal: a majority of the members, or for a rollback of the
    /// previous members.
    fn is_quorum_for<'a>(
        &self,
        proposal: &MembershipProposal,
        replicas: impl Iterator<Item = &'a ReplicaId>,
    ) -> bool {
        if proposal.rollback {
            self.voting.is_majority_of_previous(replicas)
        } else {
            replicas.count() >= self.majority()
        }
    }

    /// Chooses the membership of the highest ballot that any promise reports, or else the wanted one (Paxos Made
    /// Simple, phase 2).
    fn choose_membership(&self, proposal: &mut MembershipProposal, out: &mut Vec<Effect>) {
        let highest = proposal.promises.values().flatten().max_by_key(|accepted| accepted.ballot);
        let chosen = match highest {
            Some(accepted) if !self.breaks(Mutation::IgnoreAcceptedMembership) => accepted.membership.clone(),
            _ => proposal.wanted.clone(),
        };
        proposal.chosen = Some(chosen.clone());
        for replica in if proposal.rollback {
            &self.voting.membership.previous_members
        } else {
            &self.voting.membership.members
        } {
            self.send_after_persist(
                replica.address,
                MessageBody::Accept(proposal.ballot, chosen.clone()),
                out,
            );
        }
    }

    /// Accepts a membership unless a higher ballot was promised.
    pub(super) fn handle_accept(
        &mut self,
        from: ReplicaId,
        ballot: Ballot,
        membership: Membership,
        out: &mut Vec<Effect>,
    ) {
        // A replica that left the membership is an acceptor if it has promised the rollback.
        let is_acceptor = self.voting.voter || self.voting.barred_from_serving;
        if !is_acceptor || membership.epoch.checked_sub(1) != Some(self.voting.membership.epoch) {
            return;
        }
        if ballot < self.voting.promised_ballot {
            self.send_now(from.address, MessageBody::Preempted(self.voting.promised_ballot), out);
            return;
        }
        if self.voting.accepted_membership.as_ref().is_none_or(|earlier| earlier.ballot != ballot)
            || self.voting.promised_ballot != ballot
        {
            self.voting.promised_ballot = ballot;
            self.voting.accepted_membership = Some(AcceptedMembership { ballot, membership });
            self.persist_ballot_state(out);
        }
        self.send_after_persist(from.address, MessageBody::Accepted(ballot), out);
    }

    /// Counts an acceptance; adopts and announces the membership once a quorum has accepted it.
    pub(super) fn handle_accepted(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        ballot: Ballot,
        out: &mut Vec<Effect>,
    ) {
        let Some(mut proposal) = self.voting.membership_proposal.take() else { return };
        let chosen = proposal.chosen.clone().filter(|_| proposal.ballot == ballot);
        // For a rollback, only replicas that have promised it count.
        if chosen.is_some() && (self.is_member(&from) || proposal.rollback) {
            proposal.acceptances.insert(from);
        }
        let is_counted = |replica: &&ReplicaId| !proposal.rollback || proposal.promises.contains_key(replica);
        let is_decided = self.is_quorum_for(&proposal, proposal.acceptances.iter().filter(is_counted));
        self.voting.membership_proposal = Some(proposal);
        let Some(membership) = chosen.filter(|_| is_decided) else { return };
        let mut recipients = self.known_addresses();
        recipients.extend(membership.members.iter().map(|replica| replica.address));
        recipients.remove(&self.replica_id.address);
        self.adopt_membership(now, membership, out);
        for address in recipients {
            self.send_now(address, MessageBody::MembershipAnnouncement(self.voting.membership.clone()), out);
        }
    }

    /// Abandons the proposal because an acceptor has promised a higher ballot.
    pub(super) fn handle_preempted(&mut self, now: Nanos, ballot: Ballot) {
        self.voting.highest_round = self.voting.highest_round.max(ballot.round);
        if self.voting.membership_proposal.as_ref().is_some_and(|proposal| proposal.ballot < ballot) {
            self.voting.membership_proposal = None;
            self.delay_next_proposal(now);
        }
    }
}
