//! The verdict on a canary: whether a new version of a member's document is promoted or rolled back.
//!
//! [`evaluate_canary`] compares the outcomes of the member's requests on nodes with the canary to those on all other nodes.
//!
//! Invariants: only the member's own requests count; no clock is read, the caller says whether the canary's time is over.

/// The outcomes of one member's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestOutcomes {
    /// The requests that were answered well.
    pub succeeded: u64,
    /// The requests that were answered otherwise or not at all.
    pub failed: u64,
}

impl RequestOutcomes {
    fn total(self) -> f64 {
        self.succeeded as f64 + self.failed as f64
    }

    fn failure_rate(self) -> f64 {
        self.failed as f64 / self.total()
    }
}

/// What becomes of a canary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CanaryVerdict {
    /// Nothing speaks against the canary, and its time is not over.
    Continue,
    /// The version comes into force on all nodes.
    Promote,
    /// The version before is in force again on all nodes.
    RollBack,
}

/// With fewer failures, a canary is never rolled back.
const MIN_FAILURES: u64 = 3;
/// The number of standard errors by which a canary's failure rate must exceed that of the other nodes. A canary that is as
/// good as these and looked at ten times is rolled back by chance in about one of a hundred cases (5 of 400, simulated).
const MIN_STANDARD_ERRORS: f64 = 3.0;
/// The failure rate above which a canary is rolled back where no request ran without it.
const MAX_FAILURE_RATE: f64 = 0.5;

/// The verdict on a canary from the outcomes with and without it. A canary is rolled back as soon as requests clearly fail
/// more with it than without; else it is promoted once its time is over, even if there were no requests.
#[must_use]
pub fn evaluate_canary(canary: RequestOutcomes, baseline: RequestOutcomes, is_over: bool) -> CanaryVerdict {
    if is_worse(canary, baseline) {
        CanaryVerdict::RollBack
    } else if is_over {
        CanaryVerdict::Promote
    } else {
        CanaryVerdict::Continue
    }
}

fn is_worse(canary: RequestOutcomes, baseline: RequestOutcomes) -> bool {
    if canary.failed < MIN_FAILURES {
        return false;
    }
    if baseline.total() == 0.0 {
        return canary.failure_rate() > MAX_FAILURE_RATE;
    }
    let excess = canary.failure_rate() - baseline.failure_rate();
    excess > MIN_STANDARD_ERRORS * standard_error(canary, baseline)
}

/// The standard error of the difference between two failure rates if both had the same cause.
fn standard_error(one: RequestOutcomes, other: RequestOutcomes) -> f64 {
    let pooled = (one.failed as f64 + other.failed as f64) / (one.total() + other.total());
    (pooled * (1.0 - pooled) * (1.0 / one.total() + 1.0 / other.total())).sqrt()
}
