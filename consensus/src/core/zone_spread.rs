//! The spread of members over zones, so that the loss of a configured number of whole zones leaves a quorum.
//!
//! Invariants:
//! - A lost member is replaced by whichever replica is reachable; it never waits for a better spread.

use std::collections::BTreeMap;

use crate::core::Core;
use crate::core::limits::Nanos;
use crate::core::peers::Peer;
use crate::messages::ReplicaId;

impl Core {
    /// The zone of a replica; empty if unknown.
    fn zone_of(&self, replica: &ReplicaId) -> &str {
        match self.peers.get(replica) {
            _ if *replica == self.replica_id => &self.config.zone,
            Some(peer) => &peer.zone,
            None => "",
        }
    }

    /// How many members are lost with the `tolerated_zone_losses` zones that hold most of them. A member whose zone is
    /// unknown counts as a zone of its own.
    fn members_lost_with_zones<'a>(&'a self, members: impl Iterator<Item = &'a ReplicaId>) -> usize {
        let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
        let mut unknown_zones = 0;
        for member in members {
            match self.zone_of(member) {
                "" => unknown_zones += 1,
                zone => *zones.entry(zone).or_default() += 1,
            }
        }
        let mut counts: Vec<usize> = zones.into_values().chain((0..unknown_zones).map(|_| 1)).collect();
        counts.sort_unstable_by(|a, b| b.cmp(a));
        counts.iter().take(self.config.tolerated_zone_losses).sum()
    }

    /// Like `members_lost_with_zones`, after one member is replaced or added.
    fn members_lost_after_swap(&self, leaving: Option<&ReplicaId>, joining: &ReplicaId) -> usize {
        let remaining = self.voting.membership.members.iter().filter(|member| Some(*member) != leaving);
        self.members_lost_with_zones(remaining.chain([joining]))
    }

    /// The candidate that spreads the members best if it replaces `leaving`, or the first one if zones are ignored.
    pub(super) fn best_zone_spread<'a>(
        &self,
        leaving: Option<&ReplicaId>,
        candidates: impl Iterator<Item = &'a ReplicaId>,
    ) -> Option<&'a ReplicaId> {
        let mut candidates = candidates;
        if self.config.tolerated_zone_losses == 0 {
            return candidates.next();
        }
        candidates.min_by_key(|replica| self.members_lost_after_swap(leaving, replica))
    }

    /// The leaving and the joining replica of a replacement that spreads the members better. It is made only while all
    /// members are healthy and the loss of zones would cost the quorum.
    pub(super) fn zone_rebalance(&self, now: Nanos) -> Option<(ReplicaId, ReplicaId)> {
        let members = &self.voting.membership.members;
        let lost = self.members_lost_with_zones(members.iter());
        if self.config.tolerated_zone_losses == 0 || members.len() - lost >= self.majority() {
            return None;
        }
        let is_healthy = |member: &ReplicaId| {
            let reachable =
                self.peers.get(member).is_some_and(|peer| peer.is_reachable(now) && !peer.leaving);
            self.is_voter(member) && (reachable || *member == self.replica_id && !self.leaving)
        };
        let is_known = |replica: &ReplicaId| !self.zone_of(replica).is_empty();
        if !members.iter().all(|member| is_healthy(member) && is_known(member)) {
            return None;
        }
        // Candidates must have been known for `member_timeout`; otherwise candidates that come and go would cause one
        // membership change after another.
        let is_long_known = |peer: &Peer| now.saturating_sub(peer.first_seen) >= self.config.member_timeout;
        let candidates = self.peers.iter().filter(|(replica, peer)| {
            self.may_join(replica, peer) && is_long_known(peer) && is_known(replica)
        });
        let candidates: Vec<&ReplicaId> = candidates.map(|(replica, _)| replica).collect();
        let mut best = None;
        for leaving in members {
            let is_eligible = |joining: &&&ReplicaId| self.keeps_addresses_unique(joining, Some(leaving));
            for joining in candidates.iter().filter(is_eligible) {
                let after = self.members_lost_after_swap(Some(leaving), joining);
                if after < best.map_or(lost, |(lowest, _)| lowest) {
                    best = Some((after, (*leaving, **joining)));
                }
            }
        }
        best.map(|(_, swap)| swap)
    }
}
