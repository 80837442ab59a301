//! The division of one service's retry budget at one outbound proxy among the platform and the members.
//!
//! [`RetryPool`] counts the attempts of each of them and tells how many retries each may still have.
//!
//! Invariants: all together never have more retries than one that sends all requests would; a member never has more than
//! its share, however often routes and shares change.

use std::collections::BTreeMap;
use std::sync::Arc;

use ochreshed::Nanos;
use ochreshed_catalog::configuration::{Configuration, MemberShares, Name};
use ochreshed_catalog::traffic_reports::AttemptCounts;

use crate::retry_budget::{POLICY_WINDOW, RetryAccount};
use crate::sliding_window::SlidingWindow;

/// The shares of members by their names.
pub type RetryShares = BTreeMap<Name, Arc<MemberShares>>;

/// The shares of all members that have routes in a configuration.
pub fn member_shares(configuration: &Configuration) -> RetryShares {
    let shares = configuration.routes().filter_map(|route| route.share.as_ref());
    shares.map(|share| (share.member.clone(), share.clone())).collect()
}

/// The attempts at one service by those that share its retry budget: members by name, and the platform as `None`.
///
/// All times are of one clock.
#[derive(Clone, Debug)]
pub struct RetryPool {
    shares: Arc<RetryShares>,
    attempts: BTreeMap<Option<Name>, SlidingWindow<AttemptCounts>>,
    total: SlidingWindow<AttemptCounts>,
    /// The sum of the shares of the members with attempts.
    shares_in_use: f64,
}

impl Default for RetryPool {
    fn default() -> RetryPool {
        RetryPool {
            shares: Arc::default(),
            attempts: BTreeMap::new(),
            total: SlidingWindow::with_span(POLICY_WINDOW),
            shares_in_use: 0.0,
        }
    }
}

impl RetryPool {
    /// Sets the members' shares and drops members without attempts in the window. To be called now and then also where the
    /// shares are the same: until then a member without attempts keeps its share.
    pub fn set_shares(&mut self, now: Nanos, shares: &Arc<RetryShares>) {
        self.shares = shares.clone();
        self.attempts.retain(|_, window| window.sum(now) != AttemptCounts::default());
        self.update_shares_in_use();
    }

    /// Takes over the attempts that an account has counted so far, if none of the same member or platform are known.
    pub fn import_attempts(&mut self, member: Option<&Name>, account: &RetryAccount) {
        let member = member.cloned();
        if !self.attempts.contains_key(&member) {
            self.total.merge(&account.policy);
            self.attempts.insert(member, account.policy.clone());
            self.update_shares_in_use();
        }
    }

    /// Whether no member has attempts in the window, as of the last [`RetryPool::set_shares`].
    pub fn has_no_members(&self) -> bool {
        self.attempts.keys().all(Option::is_none)
    }

    /// Adds attempts of a member, or of the platform.
    pub fn add(&mut self, now: Nanos, member: Option<&Name>, counts: AttemptCounts) {
        self.total.add(now, counts);
        let member = member.cloned();
        if let Some(window) = self.attempts.get_mut(&member) {
            return window.add(now, counts);
        }
        let mut window = SlidingWindow::with_span(POLICY_WINDOW);
        window.add(now, counts);
        self.attempts.insert(member, window);
        self.update_shares_in_use();
    }

    fn update_shares_in_use(&mut self) {
        self.shares_in_use = self.attempts.keys().flatten().map(|member| self.share(member)).sum();
    }

    /// How many more retries a member, or the platform, may have, where all together may have `ratio` of the first
    /// attempts and `floor` beside.
    ///
    /// A member may have its share of that. The platform may have what the members with attempts leave, and one retry at
    /// least, since a proxy with little traffic has no more than one. Shares that come to more than the whole are lowered
    /// alike.
    #[must_use]
    pub fn remaining_retries(&self, now: Nanos, member: Option<&Name>, ratio: f64, floor: f64) -> f64 {
        let total = self.total.sum(now);
        let own_retries = self.attempts.get(&member.cloned()).map_or(0, |window| window.sum(now).retried);
        let budget = f64::from(total.first) * ratio + floor;
        let allowed = match member {
            None => (budget * (1.0 - self.shares_in_use)).max(1.0),
            Some(member) => budget * self.share(member) / self.shares_in_use.max(1.0),
        };
        // What others have used beyond their present shares is gone for all.
        (allowed - f64::from(own_retries)).min(budget - f64::from(total.retried))
    }

    /// A member's share, from 0 to 1. A share that is not a number counts as 0.
    fn share(&self, member: &Name) -> f64 {
        let share = self.shares.get(member).map_or(0.0, |share| share.retry);
        if share > 0.0 { share.min(1.0) } else { 0.0 }
    }
}
