//! How the reqs on members' routes fared at a gate. It owns these counts over the budget's window, by the edition that
//! was in force for each req, so that a trial can be held against what stood before. It decides nothing, and must never
//! grow with what members do.

use std::collections::BTreeMap;

use ochreshed::Nanos;
use serde::{Deserialize, Serialize};

use crate::budget::{Figures, Ring, Sum};
use crate::timetable::Name;

/// A gate counts and tells of no more editions than these; of more that come the counts are lost.
pub const MOST_MEMBERS: usize = 64;

/// A member's routes as they were in force for a req.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(Name, u64, bool)", into = "(Name, u64, bool)")]
pub struct Edition {
    pub member: Name,
    /// 0 where it isn't known.
    pub number: u64,
    /// It is on trial here.
    pub trial: bool,
}

impl From<(Name, u64, bool)> for Edition {
    fn from((member, number, trial): (Name, u64, bool)) -> Edition {
        Edition { member, number, trial }
    }
}

impl From<Edition> for (Name, u64, bool) {
    fn from(of: Edition) -> (Name, u64, bool) {
        (of.member, of.number, of.trial)
    }
}

/// Of one edition, in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u32; 6]", into = "[u32; 6]")]
pub struct Fared {
    /// Dispatches: first ones, those sent again, those not sent again for want of allowance, those that doors turned away.
    pub first: u32,
    pub again: u32,
    pub refused: u32,
    pub turned: u32,
    /// Reqs: answered well, and answered otherwise or not run.
    pub well: u32,
    pub failed: u32,
}

impl From<[u32; 6]> for Fared {
    fn from([first, again, refused, turned, well, failed]: [u32; 6]) -> Fared {
        Fared { first, again, refused, turned, well, failed }
    }
}

impl From<Fared> for [u32; 6] {
    fn from(of: Fared) -> [u32; 6] {
        [of.first, of.again, of.refused, of.turned, of.well, of.failed]
    }
}

impl From<Figures> for Fared {
    fn from(of: Figures) -> Fared {
        Fared { first: of.first, again: of.again, refused: of.refused, ..Fared::default() }
    }
}

impl Fared {
    pub fn and(self, other: Fared) -> Fared {
        let (one, other): ([u32; 6], [u32; 6]) = (self.into(), other.into());
        let mut sum = one;
        sum.iter_mut().zip(other).for_each(|(sum, more)| *sum = sum.saturating_add(more));
        sum.into()
    }
}

impl Sum for Fared {
    fn and(self, other: Fared) -> Fared {
        Fared::and(self, other)
    }
}

/// Counts by edition.
pub type Faring = Vec<(Edition, Fared)>;

/// A gate's counts.
#[derive(Clone, Debug)]
pub struct Fares {
    window: Nanos,
    rings: BTreeMap<Edition, Ring<Fared>>,
}

impl Fares {
    pub fn over(window: Nanos) -> Fares {
        Fares { window, rings: BTreeMap::new() }
    }

    pub fn add(&mut self, now: Nanos, of: &Edition, fared: Fared) {
        if let Some(ring) = self.rings.get_mut(of) {
            return ring.add(now, fared);
        }
        if self.rings.len() >= MOST_MEMBERS {
            self.rings.retain(|_, ring| ring.sum(now) != Fared::default());
        }
        if self.rings.len() < MOST_MEMBERS {
            let mut ring = Ring::over(self.window);
            ring.add(now, fared);
            self.rings.insert(of.clone(), ring);
        }
    }

    /// Of those with anything to count in the window, by member.
    pub fn tell(&self, now: Nanos) -> Faring {
        let all = self.rings.iter().map(|(of, ring)| (of.clone(), ring.sum(now)));
        all.filter(|(_, fared)| *fared != Fared::default()).collect()
    }
}
