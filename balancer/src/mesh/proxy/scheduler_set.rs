//! The schedulers of an outbound proxy: one for each service, with those for large responses and for each member's routes
//! apart.
//!
//! The platform's schedulers are there as long as the configuration has their plans; a member's is made when its first request
//! comes, and dropped when it has been idle. Where members' requests go to a service, its retry budget is divided among the
//! members and the platform ([`RetryPool`]).
//!
//! Invariants: a member's changes never replace a scheduler of the platform or of another member.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};

use ochreshed::{Name, Nanos};
use ochreshed_catalog::traffic_reports::AttemptCounts;
use ochreshed_traffic::retry_shares::{RetryPool, RetryShares};

use crate::connection::lock;
use crate::mesh::proxy::request_scheduler::{RequestScheduler, SchedulerKey, SchedulerPlan};

/// Above this number of members' schedulers, those without an attempt in the budget's window are dropped.
const MAX_IDLE_MEMBER_SCHEDULERS: usize = 256;

/// The divided retry budget of a service, for large responses apart: service and whether it is for large responses.
type PoolKey = (Name, bool);

/// The schedulers of one outbound proxy by their keys.
#[derive(Default)]
pub struct SchedulerSet {
    schedulers: HashMap<SchedulerKey, Arc<RequestScheduler>>,
    /// Retry budgets of the services to which members' requests go.
    pools: HashMap<PoolKey, Arc<Mutex<RetryPool>>>,
}

impl SchedulerSet {
    /// The scheduler with this key, if there is one now.
    pub fn scheduler(&self, key: &SchedulerKey) -> Option<Arc<RequestScheduler>> {
        self.schedulers.get(key).cloned()
    }

    /// Replaces the schedulers by those of the given plans. `make` gets the previous one, which it may keep. Members'
    /// schedulers are renewed only if they were there before.
    pub fn renew(
        &mut self,
        plans: &BTreeMap<SchedulerKey, SchedulerPlan>,
        mut make: impl FnMut(Option<Arc<RequestScheduler>>, &SchedulerPlan) -> Arc<RequestScheduler>,
    ) {
        let mut previous = std::mem::take(&mut self.schedulers);
        for (key, plan) in plans {
            let previous = previous.remove(key);
            if previous.is_some() || key.member.is_none() {
                self.schedulers.insert(key.clone(), make(previous, plan));
            }
        }
    }

    /// Adds a member's scheduler, when its first request has come.
    pub fn add(&mut self, key: SchedulerKey, scheduler: Arc<RequestScheduler>) {
        self.schedulers.insert(key, scheduler);
    }

    /// Divides the retry budget of each service anew to which members' requests go, or went in the budget's window.
    pub fn divide_budgets(&mut self, now: Nanos, shares: &Arc<RetryShares>) {
        let pool_key = |key: &SchedulerKey| (key.service.clone(), key.is_large);
        let members = self.schedulers.keys().filter(|key| key.member.is_some());
        for key in members {
            self.pools.entry(pool_key(key)).or_default();
        }
        if self.pools.is_empty() {
            return;
        }
        for pool in self.pools.values() {
            lock(pool).set_shares(now, shares);
        }
        for (key, scheduler) in &self.schedulers {
            if let Some(pool) = self.pools.get(&pool_key(key)) {
                scheduler.set_pool(Some(pool));
            }
        }
    }

    /// Drops idle schedulers of members above the limit, and retry budgets that no member uses any more.
    pub fn remove_idle(&mut self, now: Nanos, shares: &Arc<RetryShares>) {
        if self.pools.is_empty() {
            return;
        }
        let mut member_schedulers = self.schedulers.keys().filter(|key| key.member.is_some()).count();
        self.schedulers.retain(|key, scheduler| {
            let idle = key.member.is_some()
                && Arc::strong_count(scheduler) == 1
                && scheduler.attempt_counts() == AttemptCounts::default();
            let dropped = idle && member_schedulers > MAX_IDLE_MEMBER_SCHEDULERS;
            member_schedulers -= usize::from(dropped);
            !dropped
        });
        let schedulers = &self.schedulers;
        self.pools.retain(|(name, large), pool| {
            let mut pool = lock(pool);
            pool.set_shares(now, shares);
            let of_service = |key: &&SchedulerKey| key.service == *name && key.is_large == *large;
            let is_used = !pool.has_no_members()
                || schedulers.keys().filter(of_service).any(|key| key.member.is_some());
            drop(pool);
            if !is_used
                && let Some(scheduler) =
                    schedulers.get(&SchedulerKey { service: name.clone(), is_large: *large, member: None })
            {
                scheduler.set_pool(None);
            }
            is_used
        });
    }

    /// First attempts, retries and refused retries of each service in the budget's window, of all its schedulers together.
    pub fn attempt_counts(&self) -> HashMap<Name, AttemptCounts> {
        let mut sums: HashMap<Name, AttemptCounts> = HashMap::new();
        for (key, scheduler) in &self.schedulers {
            let sum = sums.entry(key.service.clone()).or_default();
            *sum = sum.and(scheduler.attempt_counts());
        }
        sums
    }
}
