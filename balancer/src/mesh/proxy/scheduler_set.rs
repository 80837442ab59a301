//! The schedulers of an outbound proxy: one for each service, with separate ones for large responses and for each member's
//! routes.
//!
//! The platform's schedulers exist as long as the configuration has their plans. A member's scheduler is created on its first
//! request and dropped when it has been idle. If members' requests go to a service, its retry budget is divided among the
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
const MAX_MEMBER_SCHEDULERS: usize = 256;

/// Identifies a divided retry budget. Large responses have one of their own.
#[derive(Clone, PartialEq, Eq, Hash)]
struct PoolKey {
    service: Name,
    is_large: bool,
}

impl PoolKey {
    /// Key of the budget that a scheduler draws from, if it is divided.
    fn for_scheduler(key: &SchedulerKey) -> PoolKey {
        PoolKey { service: key.service.clone(), is_large: key.is_large }
    }
}

/// The schedulers of one outbound proxy by their keys.
#[derive(Default)]
pub struct SchedulerSet {
    schedulers: HashMap<SchedulerKey, Arc<RequestScheduler>>,
    /// Divided retry budgets of the services that members' requests go to.
    pools: HashMap<PoolKey, Arc<Mutex<RetryPool>>>,
}

impl SchedulerSet {
    /// The scheduler with this key, if it exists.
    pub fn scheduler(&self, key: &SchedulerKey) -> Option<Arc<RequestScheduler>> {
        self.schedulers.get(key).cloned()
    }

    /// Replaces the schedulers by those for the given plans. `reuse_or_create` gets the previous scheduler. Members' schedulers
    /// are renewed only if they existed before.
    pub fn renew(
        &mut self,
        plans: &BTreeMap<SchedulerKey, SchedulerPlan>,
        mut reuse_or_create: impl FnMut(Option<Arc<RequestScheduler>>, &SchedulerPlan) -> Arc<RequestScheduler>,
    ) {
        let mut previous = std::mem::take(&mut self.schedulers);
        for (key, plan) in plans {
            let previous = previous.remove(key);
            if previous.is_some() || key.member.is_none() {
                self.schedulers.insert(key.clone(), reuse_or_create(previous, plan));
            }
        }
    }

    /// Adds a member's scheduler on its first request.
    pub fn add(&mut self, key: SchedulerKey, scheduler: Arc<RequestScheduler>) {
        self.schedulers.insert(key, scheduler);
    }

    /// Divides the retry budget of each service that members' requests go to, or went to in the budget's window, by the current
    /// shares.
    pub fn divide_budgets(&mut self, now: Nanos, shares: &Arc<RetryShares>) {
        let member_keys = self.schedulers.keys().filter(|key| key.member.is_some());
        for key in member_keys {
            self.pools.entry(PoolKey::for_scheduler(key)).or_default();
        }
        if self.pools.is_empty() {
            return;
        }
        for pool in self.pools.values() {
            lock(pool).set_shares(now, shares);
        }
        for (key, scheduler) in &self.schedulers {
            if let Some(pool) = self.pools.get(&PoolKey::for_scheduler(key)) {
                scheduler.set_pool(Some(pool));
            }
        }
    }

    /// Drops members' idle schedulers above the limit, and divided retry budgets that no member uses any more.
    pub fn remove_idle(&mut self, now: Nanos, shares: &Arc<RetryShares>) {
        if self.pools.is_empty() {
            return;
        }
        let mut member_schedulers = self.schedulers.keys().filter(|key| key.member.is_some()).count();
        self.schedulers.retain(|key, scheduler| {
            let is_idle = key.member.is_some()
                && Arc::strong_count(scheduler) == 1
                && scheduler.attempt_counts() == AttemptCounts::default();
            let is_dropped = is_idle && member_schedulers > MAX_MEMBER_SCHEDULERS;
            member_schedulers -= usize::from(is_dropped);
            !is_dropped
        });
        let schedulers = &self.schedulers;
        self.pools.retain(|PoolKey { service, is_large }, pool| {
            let mut pool = lock(pool);
            pool.set_shares(now, shares);
            let draws_from_pool = |key: &&SchedulerKey| key.service == *service && key.is_large == *is_large;
            let is_used = !pool.has_no_members()
                || schedulers.keys().filter(draws_from_pool).any(|key| key.member.is_some());
            drop(pool);
            let platform_key =
                || SchedulerKey { service: service.clone(), is_large: *is_large, member: None };
            if !is_used && let Some(scheduler) = schedulers.get(&platform_key()) {
                scheduler.set_pool(None);
            }
            is_used
        });
    }

    /// First attempts, retries and denied retries in the budget's window, summed by service.
    pub fn attempt_counts(&self) -> HashMap<Name, AttemptCounts> {
        let mut counts: HashMap<Name, AttemptCounts> = HashMap::new();
        for (key, scheduler) in &self.schedulers {
            let sum = counts.entry(key.service.clone()).or_default();
            *sum = sum.saturating_add(scheduler.attempt_counts());
        }
        counts
    }
}
