//! Timing of a proxy's reports on its retry budget and recovery time to one replica of the control plane.
//!
//! Main type: [`BudgetReporter`], one for each replica that the proxy watches.
//!
//! Invariants: a report is sent only as part of a watch request and never causes one.

use std::time::Duration;

use ochreshed_catalog::traffic_reports::BudgetReport;
use tokio::time::Instant;

/// Most reports that a proxy sends to a replica in one window of its retry budget.
const REPORTS_PER_WINDOW: u32 = 4;

/// Decides when a proxy's report is sent to one replica.
#[derive(Default)]
pub struct BudgetReporter {
    /// The last report that the replica acknowledged.
    acknowledged: Option<BudgetReport>,
    /// The report in the current watch request.
    in_flight: Option<BudgetReport>,
    last_sent_at: Option<Instant>,
}

impl BudgetReporter {
    /// The report to send with the next watch request: the current one if it differs from the acknowledged one and the last one
    /// was sent long enough ago. `window` is the window of the retry budget.
    #[must_use]
    pub fn next_report(
        &mut self,
        window: Duration,
        current_report: impl FnOnce() -> BudgetReport,
    ) -> Option<BudgetReport> {
        // A report whose request was cancelled may not have arrived.
        self.in_flight = None;
        let min_interval = window / REPORTS_PER_WINDOW;
        let sent_recently = self.last_sent_at.is_some_and(|sent_at| sent_at.elapsed() < min_interval);
        if self.acknowledged.is_some() && sent_recently {
            return None;
        }
        let report = current_report();
        self.in_flight = (self.acknowledged.as_ref() != Some(&report)).then_some(report);
        self.last_sent_at = Some(Instant::now());
        self.in_flight.clone()
    }

    /// Records the end of a watch request. `proxy_known` is false if the request failed or the replica doesn't know this proxy,
    /// as after a restart of the replica. The next report is then sent unconditionally.
    pub fn request_finished(&mut self, proxy_known: bool) {
        let in_flight = self.in_flight.take();
        let acknowledged = in_flight.or(self.acknowledged.take());
        self.acknowledged = acknowledged.filter(|_| proxy_known);
    }
}

#[cfg(test)]
#[path = "tests/budget_reporter_tests.rs"]
mod tests;
