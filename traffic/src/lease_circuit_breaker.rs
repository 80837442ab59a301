//! How long an outbound proxy waits for a lease: a circuit breaker over the requests for leases that the control plane
//! left unanswered.
//!
//! Invariants: a request never waits for so long that its client has no time left to go elsewhere; the breaker closes
//! again once the control plane answers, however slowly.

use ochreshed_consensus::core::Nanos;

const MS: Nanos = 1_000_000;
/// The longest wait for a lease.
const MAX_WAIT: Nanos = 900 * MS;
/// The part of a request's remaining time for which it waits for a lease, in hundredths. The rest is for an answer while
/// the client can still go elsewhere.
const MAX_WAIT_PERCENT: Nanos = 40;
/// The wait while the control plane is not expected to answer. One that works answers in a few milliseconds.
const SHORT_WAIT: Nanos = 60 * MS;
/// The time between two requests that wait in full while the breaker is open.
const PROBE_INTERVAL: Nanos = 250 * MS;

/// Limits the wait for leases while the control plane does not answer.
///
/// The breaker is open from a request that was left unanswered until the control plane answers one.
#[derive(Clone, Debug, Default)]
pub struct LeaseCircuitBreaker {
    open: bool,
    next_probe: Nanos,
}

impl LeaseCircuitBreaker {
    /// How long a request with so much time left may wait for a lease. `no_quorum` says that no replica in touch with a
    /// majority has been heard from of late.
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

    /// Notes that the control plane answered a request for a lease.
    pub fn record_answer(&mut self) {
        self.open = false;
    }

    /// Notes that a request for a lease was left unanswered for as long as it waited.
    pub fn record_timeout(&mut self, now: Nanos, waited: Nanos) {
        // A request that had hardly any time says nothing of the control plane.
        if !self.open && waited > SHORT_WAIT {
            self.open = true;
            self.next_probe = now.saturating_add(PROBE_INTERVAL);
        }
    }
}
