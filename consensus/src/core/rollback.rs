//! Rollback of an epoch whose new member is permanently lost before it ever voted, when too few other members remain:
//! the members of the previous epoch become the members again, all at once.
//!
//! Invariants:
//! - An epoch is never rolled back once its new member may have received enough snapshots to vote.
//!
//! Safety: the voters of an epoch are the replicas that voted in the previous one, and the new member once it has
//! received so many of their snapshots that any majority of the previous members includes one of the senders. A
//! rollback needs promises from a majority of the previous members. None of these has served its snapshot in this
//! epoch, and each records on disk that it never will. So the new member has not received enough snapshots to vote and
//! never will. What was committed in this epoch is therefore stored by a majority of it among the previous members,
//! and what was committed in the previous epoch by a majority of the previous members. Both intersect any majority of
//! the previous members, which are the members of the next epoch. The rollback is decided by the same ballots as any
//! other membership, because a majority of the previous members and a majority of the current members among them
//! intersect.

use crate::core::Core;
use crate::core::limits::Nanos;
use crate::core::mutation::Mutation;
use crate::messages::{Ballot, Effect, Membership, MessageBody, ReplicaId};

impl Core {
    /// Whether this replica may take part in a rollback: it voted in the previous epoch and has not served its
    /// snapshot since.
    fn may_roll_back(&self) -> bool {
        let voted = self.voting.voter || self.voting.stopped_voting_in == Some(self.voting.membership.epoch);
        voted
            && (!self.voting.served_snapshot || self.breaks(Mutation::RollBackAfterServing))
            && self.voting.membership.previous_members.contains(&self.replica_id)
    }

    /// The previous membership, if a rollback is the only way to a majority: the new member never voted and is
    /// permanently lost, and too few voters remain.
    pub(super) fn wanted_rollback(&self, now: Nanos) -> Option<Membership> {
        if !self.voting.voter || !self.may_roll_back() {
            return None;
        }
        let members = &self.voting.membership.members;
        let mut joined =
            members.iter().filter(|member| !self.voting.membership.previous_members.contains(member));
        let is_new_member_lost =
            joined.all(|member| !self.is_voter(member) && self.peers.is_replaced(member, now));
        let is_reachable = |member: &&ReplicaId| self.can_reach(member, now);
        let reachable_voters =
            members.iter().filter(|member| self.is_voter(member)).filter(is_reachable).count();
        let is_needed = is_new_member_lost && reachable_voters < self.majority() || self.eager_rollback;
        if !is_needed
            || !self
                .voting
                .is_majority_of_previous(self.voting.membership.previous_members.iter().filter(is_reachable))
        {
            return None;
        }
        let epoch = self.voting.membership.epoch.saturating_add(1);
        Some(Membership {
            epoch,
            members: self.voting.membership.previous_members.clone(),
            previous_members: Vec::new(),
            rolled_back: true,
        })
    }

    /// Promises the ballot of a rollback, and not to serve the snapshot in this epoch any more.
    pub(super) fn handle_prepare_rollback(&mut self, from: ReplicaId, ballot: Ballot, out: &mut Vec<Effect>) {
        if !self.may_roll_back() {
            return;
        }
        if ballot < self.voting.promised_ballot {
            self.send_now(from.address, MessageBody::Preempted(self.voting.promised_ballot), out);
            return;
        }
        if ballot > self.voting.promised_ballot || !self.voting.barred_from_serving {
            self.voting.promised_ballot = ballot;
            self.voting.barred_from_serving = true;
            self.persist_ballot_state(out);
        }
        self.send_after_persist(
            from.address,
            MessageBody::RollbackPromise { ballot, accepted: self.voting.accepted_membership.clone() },
            out,
        );
    }

    /// Whether this replica may serve its snapshot in this epoch. The fact is persisted before the snapshot is sent.
    pub(super) fn may_serve_snapshot(&mut self, out: &mut Vec<Effect>) -> bool {
        if self.voting.barred_from_serving && !self.breaks(Mutation::ServeAfterRollbackPromise) {
            return false;
        }
        if !self.voting.served_snapshot {
            self.voting.served_snapshot = true;
            self.persist_ballot_state(out);
        }
        true
    }
}
