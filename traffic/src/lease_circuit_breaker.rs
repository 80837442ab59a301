//! How long an outbound proxy waits for a lease on a key: a circuit breaker over the claims that the control plane left
//! unanswered. It owns that count and its bounds. It must never let a request wait for so long that its client has no time
//! left to go elsewhere, nor stay open once the control plane answers, however slowly.

use ochreshed_consensus::core::Nanos;

const MS: Nanos = 1_000_000;
/// A claim waits for so long at most.
const MAX_WAIT: Nanos = 900 * MS;
/// And for this part of the time that its request has left, in hundredths: what was given up is answered while the client
/// can still go elsewhere.
const MAX_WAIT_PERCENT: Nanos = 40;
/// While the control plane is not expected to answer. One that is there answers in a few milliseconds.
const SHORT_WAIT: Nanos = 60 * MS;
/// So often one claim waits in full while the breaker is open.
const PROBE_INTERVAL: Nanos = 250 * MS;

/// Open while the last claim that waited in full was left unanswered.
#[derive(Clone, Debug, Default)]
pub struct LeaseCircuitBreaker {
    open: bool,
    next_probe: Nanos,
}

impl LeaseCircuitBreaker {
    /// How long a claim may wait, in ns, whose request has so much time left. `away`: no replica that hears a majority was
    /// heard of late.
    pub fn wait(&mut self, now: Nanos, left: Nanos, away: bool) -> Nanos {
        let full = MAX_WAIT.min(left / 100 * MAX_WAIT_PERCENT);
        if away {
            return SHORT_WAIT.min(full);
        }
        if !self.open {
            return full;
        }
        if now < self.next_probe {
            return SHORT_WAIT.min(full);
        }
        self.next_probe = now.saturating_add(PROBE_INTERVAL);
        full
    }

    /// The control plane said how a claim went.
    pub fn answered(&mut self) {
        self.open = false;
    }

    /// A claim was left unanswered for as long as it could wait.
    pub fn unanswered(&mut self, now: Nanos, waited: Nanos) {
        // One that had hardly any time tells nothing.
        if !self.open && waited > SHORT_WAIT {
            self.open = true;
            self.next_probe = now.saturating_add(PROBE_INTERVAL);
        }
    }
}
