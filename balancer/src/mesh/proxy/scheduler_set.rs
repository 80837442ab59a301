//! The desks of a gate: one for each service, those for large answers and for each member's routes apart. It owns which
//! of them there are, and the division of a service's allowance among them. A member's desk is made when its first req
//! comes. It must never let a member's changes touch a desk of the platform's or of another member.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};

use ochreshed::{Name, Nanos};
use ochreshed_catalog::traffic_reports::AttemptCounts;
use ochreshed_traffic::retry_shares::{RetryPool, RetryShares};

use crate::link::held;
use crate::mesh::proxy::request_scheduler::{RequestScheduler, SchedulerKey, SchedulerPlan};

/// Members' desks beyond so many go once they have had nothing for the budget's window.
const MAX_IDLE_MEMBER_SCHEDULERS: usize = 256;

#[derive(Default)]
pub struct SchedulerSet {
    desks: HashMap<SchedulerKey, Arc<RequestScheduler>>,
    /// Of services to which members' reqs go.
    pools: HashMap<(Name, bool), Arc<Mutex<RetryPool>>>,
}

impl SchedulerSet {
    pub fn scheduler(&self, seat: &SchedulerKey) -> Option<Arc<RequestScheduler>> {
        self.desks.get(seat).cloned()
    }

    /// The desks by these plans, and no others; `make` has what stood before.
    pub fn renew(
        &mut self,
        plans: &BTreeMap<SchedulerKey, SchedulerPlan>,
        mut make: impl FnMut(Option<Arc<RequestScheduler>>, &SchedulerPlan) -> Arc<RequestScheduler>,
    ) {
        let mut was = std::mem::take(&mut self.desks);
        for (seat, plan) in plans {
            let was = was.remove(seat);
            if was.is_some() || seat.2.is_none() {
                self.desks.insert(seat.clone(), make(was, plan));
            }
        }
    }

    pub fn add(&mut self, seat: SchedulerKey, scheduler: Arc<RequestScheduler>) {
        self.desks.insert(seat, scheduler);
    }

    /// Divides each service's allowance anew, where reqs of members go to it or went there of late.
    pub fn divide_budgets(&mut self, now: Nanos, shares: &Arc<RetryShares>) {
        let line = |seat: &SchedulerKey| (seat.0.clone(), seat.1);
        let members = self.desks.keys().filter(|seat| seat.2.is_some());
        for seat in members {
            self.pools.entry(line(seat)).or_default();
        }
        if self.pools.is_empty() {
            return;
        }
        for pool in self.pools.values() {
            held(pool).set_shares(now, shares);
        }
        for (seat, scheduler) in &self.desks {
            if let Some(pool) = self.pools.get(&line(seat)) {
                scheduler.set_pool(Some(pool));
            }
        }
    }

    /// Ends what members' reqs have left behind and nobody needs any more.
    pub fn remove_idle(&mut self, now: Nanos, shares: &Arc<RetryShares>) {
        if self.pools.is_empty() {
            return;
        }
        let mut many = self.desks.keys().filter(|seat| seat.2.is_some()).count();
        self.desks.retain(|seat, scheduler| {
            let idle = seat.2.is_some()
                && Arc::strong_count(scheduler) == 1
                && scheduler.attempt_counts() == AttemptCounts::default();
            let goes = idle && many > MAX_IDLE_MEMBER_SCHEDULERS;
            many -= usize::from(goes);
            !goes
        });
        let desks = &self.desks;
        self.pools.retain(|(name, large), pool| {
            let mut pool = held(pool);
            pool.set_shares(now, shares);
            let of_line = |seat: &&SchedulerKey| seat.0 == *name && seat.1 == *large;
            let stays = !pool.has_no_members() || desks.keys().filter(of_line).any(|seat| seat.2.is_some());
            drop(pool);
            if !stays && let Some(scheduler) = desks.get(&(name.clone(), *large, None)) {
                scheduler.set_pool(None);
            }
            stays
        });
    }

    /// What of each service was sent, sent again and refused for want of allowance in the budget's window.
    pub fn attempt_counts(&self) -> HashMap<Name, AttemptCounts> {
        let mut sums: HashMap<Name, AttemptCounts> = HashMap::new();
        for ((name, ..), scheduler) in &self.desks {
            let sum = sums.entry(name.clone()).or_default();
            *sum = sum.and(scheduler.attempt_counts());
        }
        sums
    }
}
