//! How the reqs on members' routes fared at a gate. It owns these counts over the budget's window, by the edition that
//! was in force for each req, so that a trial can be held against what stood before. It decides nothing, and must never
//! grow with what members do.

use std::collections::BTreeMap;

use ochreshed::Nanos;
use ochreshed_catalog::traffic_reports::{EditionOutcomes, MAX_EDITIONS, OutcomeCounts, RouteEdition};

use crate::retry_budget::{Ring, Sum};

impl Sum for OutcomeCounts {
    fn and(self, other: OutcomeCounts) -> OutcomeCounts {
        OutcomeCounts::and(self, other)
    }
}

/// A gate's counts.
#[derive(Clone, Debug)]
pub struct OutcomeCounter {
    window: Nanos,
    rings: BTreeMap<RouteEdition, Ring<OutcomeCounts>>,
}

impl OutcomeCounter {
    pub fn over(window: Nanos) -> OutcomeCounter {
        OutcomeCounter { window, rings: BTreeMap::new() }
    }

    pub fn add(&mut self, now: Nanos, of: &RouteEdition, fared: OutcomeCounts) {
        if let Some(ring) = self.rings.get_mut(of) {
            return ring.add(now, fared);
        }
        if self.rings.len() >= MAX_EDITIONS {
            self.rings.retain(|_, ring| ring.sum(now) != OutcomeCounts::default());
        }
        if self.rings.len() < MAX_EDITIONS {
            let mut ring = Ring::over(self.window);
            ring.add(now, fared);
            self.rings.insert(of.clone(), ring);
        }
    }

    /// Of those with anything to count in the window, by member.
    pub fn counts(&self, now: Nanos) -> EditionOutcomes {
        let all = self.rings.iter().map(|(of, ring)| (of.clone(), ring.sum(now)));
        all.filter(|(_, fared)| *fared != OutcomeCounts::default()).collect()
    }
}
