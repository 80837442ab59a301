//! The time from the start of a process to full service, for its log and the operators.
//!
//! Main type: [`RecoveryTime`]. Each role defines what full service is.
//!
//! Invariants: the time is recorded once and then never changes; a process that does not reach full service is polled
//! at most once per second in the long run.

use std::sync::OnceLock;
use std::time::Duration;

use tokio::time::sleep;

use crate::clock::Clock;

/// The poll interval is the uptime divided by this number, so that the recorded time is accurate to 5%.
const POLL_INTERVAL_DIVISOR: u32 = 20;
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The time from the start of the process to full service, once reached.
#[derive(Debug, Default)]
pub struct RecoveryTime(OnceLock<u32>);

impl RecoveryTime {
    /// The recorded time in milliseconds; `None` until the process has reached full service.
    #[must_use]
    pub fn recorded_ms(&self) -> Option<u32> {
        self.0.get().copied()
    }

    /// Polls until `in_full_service` returns true, records the clock's uptime and returns it in milliseconds. The clock
    /// must have been started with the process.
    pub async fn record_when(&self, clock: &Clock, in_full_service: impl Fn() -> bool) -> u32 {
        while !in_full_service() {
            let interval = clock.uptime() / POLL_INTERVAL_DIVISOR;
            sleep(interval.clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL)).await;
        }
        let uptime_ms = clock.uptime().as_millis().min(u128::from(u32::MAX)) as u32;
        *self.0.get_or_init(|| uptime_ms)
    }
}
