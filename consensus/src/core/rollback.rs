//! Back to the view before. It owns what may be done when a view's new member is gone for good before it ever voted and
//! too few of the others are left: those that voted in the view before take back their place, all at once. It must never
//! let that happen once the new member may have been told enough to vote.
//!
//! Why it holds. In a view, only those vote that voted in the one before (its base), and whoever was told all by so many
//! of them that any majority of the base has one among these. To go back wants more than half of the base, none of whom
//! told anybody: so nobody was told by enough, and each of them bars itself, on disk, from telling anybody later: so
//! nobody ever will be. What was agreed in this view was then agreed by more than half of it out of the base, what was
//! agreed in the view before by more than half of the base, and either has a member in any majority of the base, which
//! is all that the next view is. It is decided by the same ballots as any other: a majority of the base and a majority
//! of this view out of the base have one in common.

use super::*;

impl Core {
    /// May take part in going back: it voted in the view before, and told nobody since.
    fn may_undo(&self) -> bool {
        let voted = self.voter || self.left == Some(self.view.epoch);
        voted && (!self.told_new || self.mutant == 13) && self.view.previous_members.contains(&self.me)
    }

    /// Whether so many are more than half of the base.
    pub(super) fn most_of_base<'a>(&self, of: impl Iterator<Item = &'a ReplicaId>) -> bool {
        let base = &self.view.previous_members;
        !base.is_empty() && of.filter(|station| base.contains(station)).count() > base.len() / 2
    }

    /// The view to go back to, where nothing else is left: the new member is gone for good, it did not vote, and this
    /// view has too few that do.
    pub(super) fn undoing(&self, now: Nanos) -> Option<Membership> {
        if !self.voter || !self.may_undo() {
            return None;
        }
        let members = &self.view.members;
        let mut fresh = members.iter().filter(|member| !self.view.previous_members.contains(member));
        let gone = fresh.all(|member| !self.is_voter(member) && self.is_replaced(now, member));
        let there = |member: &&ReplicaId| {
            **member == self.me || self.peers.get(*member).is_some_and(|peer| peer.there(now))
        };
        let able = members.iter().filter(|member| self.is_voter(member)).filter(there).count();
        let needed = gone && able < self.majority() || self.hasty;
        if !needed || !self.most_of_base(self.view.previous_members.iter().filter(there)) {
            return None;
        }
        let number = self.view.epoch.saturating_add(1);
        Some(Membership {
            epoch: number,
            members: self.view.previous_members.clone(),
            previous_members: Vec::new(),
            rolled_back: true,
        })
    }

    /// Another wants to go back: promised like any ballot, by one that tells nobody any more.
    pub(super) fn bar(&mut self, from: ReplicaId, ballot: Ballot, out: &mut Vec<Effect>) {
        if !self.may_undo() {
            return;
        }
        if ballot < self.promised {
            self.now(from.address, MessageBody::Preempted(self.promised), out);
            return;
        }
        if ballot > self.promised || !self.barred {
            self.promised = ballot;
            self.barred = true;
            self.keep_ballots(out);
        }
        self.send(
            from.address,
            MessageBody::RollbackPromise { ballot, accepted: self.accepted.clone() },
            out,
        );
    }

    /// Whether it may tell another what it holds; noted on disk before it does.
    pub(super) fn may_tell(&mut self, out: &mut Vec<Effect>) -> bool {
        if self.barred && self.mutant != 14 {
            return false;
        }
        if !self.told_new {
            self.told_new = true;
            self.keep_ballots(out);
        }
        true
    }
}
