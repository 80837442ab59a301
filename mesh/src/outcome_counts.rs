//! How the reqs on members' routes fared at a gate. It owns these counts over the budget's window, by the edition that
//! was in force for each req, so that a trial can be held against what stood before. It decides nothing, and must never
//! grow with what members do.

use std::collections::BTreeMap;

use ochreshed::Nanos;
use serde::{Deserialize, Serialize};

use crate::configuration::Name;
use crate::retry_budget::{AttemptCounts, Ring, Sum};

/// A gate counts and tells of no more editions than these; of more that come the counts are lost.
pub const MAX_EDITIONS: usize = 64;

/// A member's routes as they were in force for a req.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(Name, u64, bool)", into = "(Name, u64, bool)")]
pub struct RouteEdition {
    pub member: Name,
    /// 0 where it isn't known.
    pub version: u64,
    /// The edition is a canary on this node.
    pub canary: bool,
}

impl From<(Name, u64, bool)> for RouteEdition {
    fn from((member, number, trial): (Name, u64, bool)) -> RouteEdition {
        RouteEdition { member, version: number, canary: trial }
    }
}

impl From<RouteEdition> for (Name, u64, bool) {
    fn from(of: RouteEdition) -> (Name, u64, bool) {
        (of.member, of.version, of.canary)
    }
}

/// Of one edition, in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u32; 6]", into = "[u32; 6]")]
pub struct OutcomeCounts {
    /// Dispatches: first ones, those sent again, those not sent again for want of allowance, those that doors turned away.
    pub first: u32,
    pub retried: u32,
    pub denied: u32,
    pub rejected: u32,
    /// Reqs: answered well, and answered otherwise or not run.
    pub succeeded: u32,
    pub failed: u32,
}

impl From<[u32; 6]> for OutcomeCounts {
    fn from([first, again, refused, turned, well, failed]: [u32; 6]) -> OutcomeCounts {
        OutcomeCounts { first, retried: again, denied: refused, rejected: turned, succeeded: well, failed }
    }
}

impl From<OutcomeCounts> for [u32; 6] {
    fn from(of: OutcomeCounts) -> [u32; 6] {
        [of.first, of.retried, of.denied, of.rejected, of.succeeded, of.failed]
    }
}

impl From<AttemptCounts> for OutcomeCounts {
    fn from(of: AttemptCounts) -> OutcomeCounts {
        OutcomeCounts { first: of.first, retried: of.retried, denied: of.denied, ..OutcomeCounts::default() }
    }
}

impl OutcomeCounts {
    pub fn and(self, other: OutcomeCounts) -> OutcomeCounts {
        let (one, other): ([u32; 6], [u32; 6]) = (self.into(), other.into());
        let mut sum = one;
        sum.iter_mut().zip(other).for_each(|(sum, more)| *sum = sum.saturating_add(more));
        sum.into()
    }
}

impl Sum for OutcomeCounts {
    fn and(self, other: OutcomeCounts) -> OutcomeCounts {
        OutcomeCounts::and(self, other)
    }
}

/// Counts by edition.
pub type EditionOutcomes = Vec<(RouteEdition, OutcomeCounts)>;

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
