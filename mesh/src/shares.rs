//! One service's allowance of repeats at one gate, divided among the members whose routes go there and the platform. It
//! owns what each of them may still send again. It must never let them have more together than one that sends for all
//! would have, nor give anybody what another has used up, however often routes and shares change.

use std::collections::BTreeMap;

use ochreshed::Nanos;

use crate::budget::{Figures, MODULE, Ring, Spent};
use crate::timetable::{Kind, Name, Timetable};

/// A service, and whether for large answers.
pub type Line = (Name, bool);

/// The shares of the members whose routes go to a service. The least one holds where a member's routes differ.
pub type Members = BTreeMap<Name, f64>;

/// Of all services that members' routes go to.
pub fn of(timetable: &Timetable) -> BTreeMap<Line, Members> {
    let mut all: BTreeMap<Line, Members> = BTreeMap::new();
    for route in timetable.routes() {
        let Some(share) = &route.share else { continue };
        for (line, _) in route.lines.iter().filter(|(_, part)| *part > 0.0) {
            let members = all.entry((line.clone(), route.kind == Kind::OutboundPost)).or_default();
            let retry = if share.retry > 0.0 { share.retry.min(1.0) } else { 0.0 };
            let known = members.entry(share.member.clone()).or_insert(retry);
            *known = known.min(retry);
        }
    }
    for members in all.values_mut() {
        // More than all there is can't be given away.
        let sum: f64 = members.values().sum();
        members.values_mut().filter(|_| sum > 1.0).for_each(|share| *share /= sum);
    }
    all
}

/// Of one service. Times are of one clock.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    members: Members,
    /// What each has sent over the module's ring, the platform under no name.
    sent: BTreeMap<Option<Name>, Ring<Figures>>,
}

impl Pool {
    /// From now on these are the members and their shares. What was sent stays counted.
    pub fn divide(&mut self, now: Nanos, members: &Members) {
        if self.members != *members {
            self.members = members.clone();
        }
        self.sent.retain(|_, ring| ring.sum(now) != Figures::default());
    }

    /// Takes over what one has counted for itself so far, if it has counted nothing here.
    pub fn join(&mut self, who: Option<&Name>, spent: &Spent) {
        self.sent.entry(who.cloned()).or_insert_with(|| spent.module.clone());
    }

    /// Whether nothing is divided any more, nor has been of late.
    pub fn over(&self) -> bool {
        self.members.is_empty() && self.sent.keys().all(Option::is_none)
    }

    pub fn count(&mut self, now: Nanos, who: Option<&Name>, figures: Figures) {
        self.sent.entry(who.cloned()).or_insert_with(|| Ring::over(MODULE)).add(now, figures);
    }

    /// What it has sent again over the ring, and how much that may be: its share of what may be sent again of all that
    /// was sent here, where a part of the first sends may be, and so many more.
    pub fn room(&self, now: Nanos, who: Option<&Name>, (part, floor): (f64, f64)) -> (f64, f64) {
        let (mut first, mut again, mut gone) = (0.0, 0.0, 0.0);
        for (name, ring) in &self.sent {
            let sum = ring.sum(now);
            first += f64::from(sum.first);
            if name.as_ref() == who {
                again = f64::from(sum.again);
            } else if name.as_ref().is_some_and(|name| !self.members.contains_key(name)) {
                gone += f64::from(sum.again);
            }
        }
        let all = first * part + floor;
        let may = match who {
            Some(member) => all * self.members.get(member).copied().unwrap_or(0.0),
            // What those that have gone have used up is nobody's.
            None => all * (1.0 - self.members.values().sum::<f64>()).max(0.0) - gone,
        };
        (again, may)
    }
}
