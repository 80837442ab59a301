//! Counts the attempts at one service and the use of its retry budget.
//!
//! [`RetryAccount`] counts the attempts of one outbound proxy at a service; [`RequestAttempts`] tracks one request.
//! Whether a request is retried is decided by the policy (crate `ochreshed`); the account applies the same rules to
//! determine whether a retry was denied only for lack of budget.
//!
//! Invariants: this module only counts, and the size of an account in memory is constant.

use ochreshed::{DispatchOutcome, Nanos};
use ochreshed_catalog::traffic_reports::AttemptCounts;

use crate::sliding_window::SlidingWindow;

/// The window over which the policy calculates the retry budget.
pub(crate) const POLICY_WINDOW: Nanos = 10_000_000_000;

/// The policy's limits on retries for one service.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// The maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Whether errors and timeouts are also retried, because the service has no fallback service.
    pub last_tier: bool,
    /// The number of allowed retries as a fraction of first attempts.
    pub ratio: f64,
    /// The number of retries that are allowed in addition to that fraction.
    pub floor: f64,
}

/// The attempts of one request so far.
#[derive(Clone, Copy, Debug)]
pub struct RequestAttempts {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The deadline of the request.
    pub deadline: Nanos,
    /// The number of attempts that no inbound proxy rejected.
    attempts: u32,
    may_have_run: bool,
    last_outcome: Option<DispatchOutcome>,
}

impl RequestAttempts {
    /// Creates the state of a request that has not been sent.
    pub fn new(repeatable: bool, deadline: Nanos) -> RequestAttempts {
        RequestAttempts { repeatable, deadline, attempts: 0, may_have_run: false, last_outcome: None }
    }

    /// Records the outcome of an attempt.
    pub fn record_outcome(&mut self, outcome: DispatchOutcome) {
        self.last_outcome = Some(outcome);
        // An attempt that an inbound proxy rejected does not count.
        self.attempts += u32::from(outcome != DispatchOutcome::Rejected);
        self.may_have_run |= !outcome.never_ran();
    }
}

/// The counts of one service at one outbound proxy.
#[derive(Clone, Debug)]
pub struct RetryAccount {
    limits: RetryLimits,
    /// The counts for reports.
    reported: SlidingWindow<AttemptCounts>,
    /// The counts since the policy was last started, over its own window.
    pub(crate) policy: SlidingWindow<AttemptCounts>,
}

impl RetryAccount {
    /// Creates an empty account whose reports cover this window.
    pub fn new(window: Nanos, limits: RetryLimits) -> RetryAccount {
        RetryAccount {
            limits,
            reported: SlidingWindow::with_span(window),
            policy: SlidingWindow::with_span(POLICY_WINDOW),
        }
    }

    /// Returns the account for a restarted policy. The counts for reports are kept if the window is the same.
    #[must_use]
    pub fn restart(&self, window: Nanos, limits: RetryLimits) -> RetryAccount {
        let mut account = RetryAccount::new(window, limits);
        if self.reported.has_same_span(&account.reported) {
            account.reported = self.reported.clone();
        }
        account
    }

    /// The counts for reports.
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

    /// Records that a nested call of a running request was retried.
    pub fn record_nested_retry(&mut self, now: Nanos) {
        self.add(now, AttemptCounts { retried: 1, ..AttemptCounts::NONE });
    }

    /// Sets the allowed retries.
    pub fn set_allowance(&mut self, ratio: f64, floor: f64) {
        self.limits.ratio = ratio;
        self.limits.floor = floor;
    }

    /// Records that a request is sent. Returns the counts that were added for it.
    pub fn record_attempt(&mut self, now: Nanos, request: &RequestAttempts) -> AttemptCounts {
        let counts = match request.last_outcome {
            None => AttemptCounts { first: 1, ..AttemptCounts::NONE },
            Some(DispatchOutcome::Rejected) => return AttemptCounts::NONE,
            Some(_) => AttemptCounts { retried: 1, ..AttemptCounts::NONE },
        };
        self.add(now, counts);
        counts
    }

    /// Records that the policy does not retry a request. Returns the counts that were added for it: a denied retry if
    /// only the budget prevented a retry.
    pub fn record_give_up(&mut self, now: Nanos, request: &RequestAttempts) -> AttemptCounts {
        if !self.could_retry(now, request) || !self.lacks_budget(now) {
            return AttemptCounts::NONE;
        }
        let denied = AttemptCounts { denied: 1, ..AttemptCounts::NONE };
        self.add(now, denied);
        denied
    }

    /// Whether a request could be retried apart from the budget.
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
