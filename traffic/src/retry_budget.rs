//! The attempts at one service and the use of its retry budget.
//!
//! [`RetryAccount`] counts what one outbound proxy sends to a service; [`RequestAttempts`] follows one request. Whether a
//! request is retried is decided by the policy (crate `ochreshed`); the account tells by the same rules whether a request
//! was given up only for want of budget.
//!
//! Invariants: nothing is decided here, and the memory of an account does not depend on what is counted.

use ochreshed::{DispatchOutcome, Nanos};
use ochreshed_catalog::traffic_reports::AttemptCounts;

use crate::sliding_window::SlidingWindow;

/// The span over which the policy reckons the retry budget.
pub(crate) const POLICY_WINDOW: Nanos = 10_000_000_000;

/// What bounds the retries of the policy for one service.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// The most attempts of one request.
    pub max_attempts: u32,
    /// Whether errors and time-outs of the service are retried too, because no other service stands behind it.
    pub last_tier: bool,
    /// The part of the first attempts that may be retried.
    pub ratio: f64,
    /// The number of retries that are allowed beside that part.
    pub floor: f64,
}

/// The attempts of one request so far.
#[derive(Clone, Copy, Debug)]
pub struct RequestAttempts {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The deadline of the request.
    pub deadline: Nanos,
    /// The attempts that an inbound proxy has not rejected.
    attempts: u32,
    may_have_run: bool,
    last_outcome: Option<DispatchOutcome>,
}

impl RequestAttempts {
    /// A request that has not been sent.
    pub fn new(repeatable: bool, deadline: Nanos) -> RequestAttempts {
        RequestAttempts { repeatable, deadline, attempts: 0, may_have_run: false, last_outcome: None }
    }

    /// Notes the outcome of an attempt.
    pub fn record_outcome(&mut self, outcome: DispatchOutcome) {
        self.last_outcome = Some(outcome);
        // What an inbound proxy rejected does not count as sent.
        self.attempts += u32::from(outcome != DispatchOutcome::Rejected);
        self.may_have_run |= !outcome.never_ran();
    }
}

/// The counts of one service at one outbound proxy.
#[derive(Clone, Debug)]
pub struct RetryAccount {
    limits: RetryLimits,
    /// The counts that are reported.
    reported: SlidingWindow<AttemptCounts>,
    /// The counts as the policy has them, since it was last started.
    pub(crate) policy: SlidingWindow<AttemptCounts>,
}

impl RetryAccount {
    /// An empty account whose reports are over this window.
    pub fn new(window: Nanos, limits: RetryLimits) -> RetryAccount {
        RetryAccount {
            limits,
            reported: SlidingWindow::with_span(window),
            policy: SlidingWindow::with_span(POLICY_WINDOW),
        }
    }

    /// The account for a policy that starts anew. What is reported goes on if the window is the same.
    #[must_use]
    pub fn restart(&self, window: Nanos, limits: RetryLimits) -> RetryAccount {
        let mut account = RetryAccount::new(window, limits);
        if self.reported.has_same_span(&account.reported) {
            account.reported = self.reported.clone();
        }
        account
    }

    /// The counts to report.
    pub fn reported_counts(&self, now: Nanos) -> AttemptCounts {
        self.reported.sum(now)
    }

    /// The counts since the policy was started, over its own window.
    pub fn policy_counts(&self, now: Nanos) -> AttemptCounts {
        self.policy.sum(now)
    }

    fn add(&mut self, now: Nanos, counts: AttemptCounts) {
        self.reported.add(now, counts);
        self.policy.add(now, counts);
    }

    /// Notes that a nested call of a running request was retried.
    pub fn record_nested_retry(&mut self, now: Nanos) {
        self.add(now, AttemptCounts { retried: 1, ..AttemptCounts::NONE });
    }

    /// Changes the retries that the policy is allowed.
    pub fn set_allowance(&mut self, ratio: f64, floor: f64) {
        self.limits.ratio = ratio;
        self.limits.floor = floor;
    }

    /// Notes that a request is sent. Returns what was counted for it.
    pub fn record_attempt(&mut self, now: Nanos, request: &RequestAttempts) -> AttemptCounts {
        let counts = match request.last_outcome {
            None => AttemptCounts { first: 1, ..AttemptCounts::NONE },
            Some(DispatchOutcome::Rejected) => return AttemptCounts::NONE,
            Some(_) => AttemptCounts { retried: 1, ..AttemptCounts::NONE },
        };
        self.add(now, counts);
        counts
    }

    /// Notes that the policy gives a request up. Returns what was counted for it: a denied retry, where nothing but the
    /// budget stood against one.
    pub fn record_give_up(&mut self, now: Nanos, request: &RequestAttempts) -> AttemptCounts {
        if !self.could_retry(now, request) || !self.lacks_budget(now) {
            return AttemptCounts::NONE;
        }
        let denied = AttemptCounts { denied: 1, ..AttemptCounts::NONE };
        self.add(now, denied);
        denied
    }

    /// Whether a request could be retried if there were budget.
    fn could_retry(&self, now: Nanos, request: &RequestAttempts) -> bool {
        let is_retried_here = match request.last_outcome {
            Some(DispatchOutcome::NoConnection | DispatchOutcome::Reset | DispatchOutcome::Full) => true,
            Some(DispatchOutcome::Error | DispatchOutcome::TimedOut) => self.limits.last_tier,
            _ => false,
        };
        is_retried_here
            && request.attempts < self.limits.max_attempts
            && now < request.deadline
            && (request.repeatable || !request.may_have_run)
    }

    fn lacks_budget(&self, now: Nanos) -> bool {
        let AttemptCounts { first, retried, .. } = self.policy.sum(now);
        let allowed = f64::from(first) * self.limits.ratio + self.limits.floor;
        f64::from(retried) + 1.0 > allowed
    }
}
