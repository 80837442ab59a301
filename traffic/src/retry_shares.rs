//! Divides one service's retry budget at one outbound proxy among the platform and its members.
//!
//! [`RetryPool`] counts the attempts of each and determines how many more retries each may make.
//!
//! Invariants: the total number of retries never exceeds the budget of a single sender of all requests; a member never
//! exceeds its share, however often routes and shares change.

use std::collections::BTreeMap;
use std::sync::Arc;

use ochreshed::Nanos;
use ochreshed_catalog::configuration::{Configuration, MemberShares, Name};
use ochreshed_catalog::traffic_reports::AttemptCounts;

use crate::retry_budget::{POLICY_WINDOW, RetryAccount};
use crate::sliding_window::SlidingWindow;

/// The shares of members by name.
pub type RetryShares = BTreeMap<Name, Arc<MemberShares>>;

/// The shares of all members that have routes in a configuration.
pub fn member_shares(configuration: &Configuration) -> RetryShares {
    let shares = configuration.routes().filter_map(|route| route.share.as_ref());
    shares.map(|share| (share.member.clone(), share.clone())).collect()
}

/// The attempts at one service by those that share its retry budget: members by name, and the platform as `None`.
///
/// All times passed in must come from the same clock.
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
    /// Sets the members' shares and drops members without attempts in the window. Must be called periodically even if
    /// the shares are unchanged: until then, a member without attempts still reserves its share.
    pub fn set_shares(&mut self, now: Nanos, shares: &Arc<RetryShares>) {
        self.shares = shares.clone();
        self.attempts.retain(|_, window| window.sum(now) != AttemptCounts::default());
        self.update_shares_in_use();
    }

    /// Imports the attempts that an account has counted so far, unless attempts of the same member or platform are
    /// known.
    pub fn import_attempts(&mut self, member: Option<&Name>, account: &RetryAccount) {
        let member = member.cloned();
        if !self.attempts.contains_key(&member) {
            self.total.merge(&account.policy);
            self.attempts.insert(member, account.policy.clone());
            self.update_shares_in_use();
        }
    }

    /// Whether no member has attempts in the window, as of the last call of [`RetryPool::set_shares`].
    pub fn has_no_members(&self) -> bool {
        self.attempts.keys().all(Option::is_none)
    }

    /// Adds attempts of a member, or of the platform if `member` is `None`.
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

    /// The number of further retries of a member, or of the platform, under a total budget of `ratio` times the first
    /// attempts plus `floor`.
    ///
    /// A member gets its share of the budget. The platform gets what the shares of members with attempts leave, and at
    /// least one retry, since the whole budget of a proxy with little traffic may be a single retry. Shares whose sum
    /// exceeds 1 are scaled down proportionally.
    #[must_use]
    pub fn remaining_retries(&self, now: Nanos, member: Option<&Name>, ratio: f64, floor: f64) -> f64 {
        let total = self.total.sum(now);
        let used_retries = self.attempts.get(&member.cloned()).map_or(0, |window| window.sum(now).retried);
        let budget = f64::from(total.first) * ratio + floor;
        let allowed = match member {
            None => (budget * (1.0 - self.shares_in_use)).max(1.0),
            Some(member) => budget * self.share(member) / self.shares_in_use.max(1.0),
        };
        // Retries that others made beyond their current shares still count against the total.
        (allowed - f64::from(used_retries)).min(budget - f64::from(total.retried))
    }

    /// A member's share, from 0 to 1. NaN counts as 0.
    fn share(&self, member: &Name) -> f64 {
        let share = self.shares.get(member).map_or(0.0, |share| share.retry);
        if share > 0.0 { share.min(1.0) } else { 0.0 }
    }
}
