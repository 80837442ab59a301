//! Members spread over zones, so that the loss of so many whole zones leaves a view more than half. It owns what stewards
//! told of their zones and which change of one member serves that. It must never let a view wait for a better spread:
//! who is lost is replaced by whoever is there.

use super::*;

impl Core {
    fn zone_of(&self, station: &ReplicaId) -> &str {
        match self.peers.get(station) {
            _ if *station == self.me => &self.config.zone,
            Some(peer) => &peer.zone,
            None => "",
        }
    }

    /// How many of these are lost with the zones that hold the most of them; one whose zone is not known stands alone.
    fn lost_with_zones<'a>(&'a self, members: impl Iterator<Item = &'a ReplicaId>) -> usize {
        let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
        let mut alone = 0;
        for member in members {
            match self.zone_of(member) {
                "" => alone += 1,
                zone => *zones.entry(zone).or_default() += 1,
            }
        }
        let mut counts: Vec<usize> = zones.into_values().chain((0..alone).map(|_| 1)).collect();
        counts.sort_unstable_by(|a, b| b.cmp(a));
        counts.iter().take(self.config.tolerated_zone_losses).sum()
    }

    fn lost_after_swap(&self, out: Option<&ReplicaId>, joins: &ReplicaId) -> usize {
        let stay = self.view.members.iter().filter(|member| Some(*member) != out);
        self.lost_with_zones(stay.chain([joins]))
    }

    /// The one that spreads the view best in the place of `out`; the first where that does not matter.
    pub(super) fn best_spread<'a>(
        &self,
        out: Option<&ReplicaId>,
        joins: impl Iterator<Item = &'a ReplicaId>,
    ) -> Option<&'a ReplicaId> {
        let mut joins = joins;
        if self.config.tolerated_zone_losses == 0 {
            return joins.next();
        }
        joins.min_by_key(|station| self.lost_after_swap(out, station))
    }

    /// A swap that spreads a view that is whole and well, where the loss of zones would leave too few of it.
    pub(super) fn spreading(&self, now: Nanos) -> Option<(ReplicaId, ReplicaId)> {
        let members = &self.view.members;
        let lost = self.lost_with_zones(members.iter());
        if self.config.tolerated_zone_losses == 0 || members.len() - lost >= self.majority() {
            return None;
        }
        let well = |member: &ReplicaId| {
            let there = self.peers.get(member).is_some_and(|peer| peer.there(now) && !peer.leaving);
            self.is_voter(member) && (there || *member == self.me && !self.leaving)
        };
        let known = |station: &ReplicaId| !self.zone_of(station).is_empty();
        if !members.iter().all(|member| well(member) && known(member)) {
            return None;
        }
        // Guards against views that follow each other while spares come and go.
        let steady = |peer: &Peer| now.saturating_sub(peer.since) >= self.config.member_timeout;
        let joins = self
            .peers
            .iter()
            .filter(|(station, peer)| self.may_join(station, peer) && steady(peer) && known(station));
        let joins: Vec<&ReplicaId> = joins.map(|(station, _)| station).collect();
        let mut best = None;
        for out in members {
            let fits = |joins: &&&ReplicaId| self.fits(joins, Some(out));
            for joins in joins.iter().filter(fits) {
                let after = self.lost_after_swap(Some(out), joins);
                if after < best.map_or(lost, |(least, _)| least) {
                    best = Some((after, (*out, **joins)));
                }
            }
        }
        best.map(|(_, swap)| swap)
    }
}
