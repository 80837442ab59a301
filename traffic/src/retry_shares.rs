//! One service's allowance of repeats at one gate, divided among the members whose reqs go there and the platform. It
//! owns what each of them may still send again. It must never let them have more together than one that sends for all
//! would have, nor a member more than its share, however often routes and shares change.

use std::collections::BTreeMap;
use std::sync::Arc;

use ochreshed::Nanos;

use crate::retry_budget::{MODULE, RetryAccount, Ring};
use ochreshed_catalog::configuration::{Configuration, MemberShares, Name};
use ochreshed_catalog::traffic_reports::AttemptCounts;

/// By member.
pub type RetryShares = BTreeMap<Name, Arc<MemberShares>>;

/// Of all members that have routes here.
pub fn of(timetable: &Configuration) -> RetryShares {
    let shares = timetable.routes().filter_map(|route| route.share.as_ref());
    shares.map(|share| (share.member.clone(), share.clone())).collect()
}

/// Of one service. Times are of one clock.
#[derive(Clone, Debug)]
pub struct RetryPool {
    shares: Arc<RetryShares>,
    /// What each has sent over the module's ring, the platform under no name; and all of them.
    sent: BTreeMap<Option<Name>, Ring<AttemptCounts>>,
    all: Ring<AttemptCounts>,
    /// The sum of the shares of the members among them.
    given: f64,
}

impl Default for RetryPool {
    fn default() -> RetryPool {
        RetryPool { shares: Arc::default(), sent: BTreeMap::new(), all: Ring::over(MODULE), given: 0.0 }
    }
}

impl RetryPool {
    /// From now on these are the members' shares. What was sent stays counted. To be called now and then: until then a
    /// member that has sent nothing for long keeps its share.
    pub fn divide(&mut self, now: Nanos, shares: &Arc<RetryShares>) {
        self.shares = shares.clone();
        self.sent.retain(|_, ring| ring.sum(now) != AttemptCounts::default());
        self.give();
    }

    /// Takes over what one has counted for itself so far, if it has counted nothing here.
    pub fn join(&mut self, who: Option<&Name>, spent: &RetryAccount) {
        let who = who.cloned();
        if !self.sent.contains_key(&who) {
            self.all.merge(&spent.module);
            self.sent.insert(who, spent.module.clone());
            self.give();
        }
    }

    /// Whether no member has sent anything over the ring. Holds after `divide`.
    pub fn idle(&self) -> bool {
        self.sent.keys().all(Option::is_none)
    }

    pub fn count(&mut self, now: Nanos, who: Option<&Name>, figures: AttemptCounts) {
        self.all.add(now, figures);
        let who = who.cloned();
        if let Some(ring) = self.sent.get_mut(&who) {
            return ring.add(now, figures);
        }
        let mut ring = Ring::over(MODULE);
        ring.add(now, figures);
        self.sent.insert(who, ring);
        self.give();
    }

    fn give(&mut self) {
        self.given = self.sent.keys().flatten().map(|member| self.share(member)).sum();
    }

    /// How much more one may send again, where all together may send again a part of what was sent first and so many
    /// more. A member may have its share of that. The platform has what the members that have sent anything leave, and
    /// one at least: at quiet gates there is no more than one. More than all there is can't be given away: shares that
    /// come to more are lowered alike.
    pub fn left(&self, now: Nanos, who: Option<&Name>, (part, floor): (f64, f64)) -> f64 {
        let sum = self.all.sum(now);
        let own = self.sent.get(&who.cloned()).map_or(0, |ring| ring.sum(now).retried);
        let all = f64::from(sum.first) * part + floor;
        let may = match who {
            None => (all * (1.0 - self.given)).max(1.0),
            Some(member) => all * self.share(member) / self.given.max(1.0),
        };
        // What others that have gone since, or had more before, have used up is gone for all.
        (may - f64::from(own)).min(all - f64::from(sum.retried))
    }

    fn share(&self, member: &Name) -> f64 {
        let retry = self.shares.get(member).map_or(0.0, |share| share.retry);
        // Not a number counts as none.
        if retry > 0.0 { retry.min(1.0) } else { 0.0 }
    }
}
