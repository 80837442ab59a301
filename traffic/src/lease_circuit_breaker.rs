//! Circuit breaker that bounds how long an outbound proxy waits for a lease from the control plane.
//!
//! Invariants: the wait always leaves the client time to retry at another proxy; the breaker closes once the control
//! plane answers, however slowly.

use ochreshed_consensus::core::Nanos;

const MS: Nanos = 1_000_000;
/// The maximum wait for a lease.
const MAX_WAIT: Nanos = 900 * MS;
/// The maximum wait for a lease, as a percentage of the request's remaining time. The rest leaves time to return an
/// error while the client can still retry elsewhere.
const MAX_WAIT_PERCENT: Nanos = 40;
/// The maximum wait while the breaker is open or there is no quorum. A healthy control plane answers in a few
/// milliseconds.
const SHORT_WAIT: Nanos = 60 * MS;
/// The interval between requests that wait for the full time while the breaker is open.
const PROBE_INTERVAL: Nanos = 250 * MS;

/// Limits the wait for leases while the control plane does not answer.
///
/// The breaker opens when a request times out and closes when the control plane answers one.
#[derive(Clone, Debug, Default)]
pub struct LeaseCircuitBreaker {
    open: bool,
    next_probe: Nanos,
}

impl LeaseCircuitBreaker {
    /// The maximum wait for a lease of a request with this remaining time. `no_quorum` is true if no recently heard
    /// replica was in contact with a majority.
    ///
    /// While the breaker is open, one request per probe interval gets the full wait.
    #[must_use]
    pub fn max_wait(&mut self, now: Nanos, time_left: Nanos, no_quorum: bool) -> Nanos {
        let full_wait = MAX_WAIT.min(time_left / 100 * MAX_WAIT_PERCENT);
        let short_wait = SHORT_WAIT.min(full_wait);
        if no_quorum {
            return short_wait;
        }
        if !self.open {
            return full_wait;
        }
        if now < self.next_probe {
            return short_wait;
        }
        self.next_probe = now.saturating_add(PROBE_INTERVAL);
        full_wait
    }

    /// Records that the control plane answered a request for a lease.
    pub fn record_answer(&mut self) {
        self.open = false;
    }

    /// Records that a request for a lease timed out after `waited`.
    pub fn record_timeout(&mut self, now: Nanos, waited: Nanos) {
        // A very short wait does not show that the control plane is unavailable.
        if !self.open && waited > SHORT_WAIT {
            self.open = true;
            self.next_probe = now.saturating_add(PROBE_INTERVAL);
        }
    }
}
