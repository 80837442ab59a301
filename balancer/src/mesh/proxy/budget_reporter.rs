//! When a proxy's report on its retry budget and recovery time is sent to one replica of the control plane.
//!
//! Main type: [`BudgetReporter`], kept for each replica that the proxy watches.
//!
//! Invariants: a report travels only with a watch request that is sent anyway.

use std::time::Duration;

use ochreshed_catalog::traffic_reports::BudgetReport;
use tokio::time::Instant;

/// How many times a proxy may report in one window of its retry budget.
const REPORTS_PER_WINDOW: u32 = 4;

/// Decides when a proxy's report is sent to one replica.
#[derive(Default)]
pub struct BudgetReporter {
    /// The last report that the replica acknowledged.
    acknowledged: Option<BudgetReport>,
    /// The report that went with the request that is under way.
    in_flight: Option<BudgetReport>,
    last_sent: Option<Instant>,
}

impl BudgetReporter {
    /// The report to send with the next watch request: the present one if it differs from what the replica has, and if
    /// the last one was sent long enough ago. `window` is the window of the retry budget.
    #[must_use]
    pub fn next_report(
        &mut self,
        window: Duration,
        present: impl FnOnce() -> BudgetReport,
    ) -> Option<BudgetReport> {
        // A report whose request was cancelled may not have arrived.
        self.in_flight = None;
        let min_interval = window / REPORTS_PER_WINDOW;
        let sent_lately = self.last_sent.is_some_and(|sent| sent.elapsed() < min_interval);
        if self.acknowledged.is_some() && sent_lately {
            return None;
        }
        let report = present();
        self.in_flight = (self.acknowledged.as_ref() != Some(&report)).then_some(report);
        self.last_sent = Some(Instant::now());
        self.in_flight.clone()
    }

    /// Notes the end of a watch request. `proxy_known` is false if the request failed, or if the replica does not know
    /// this proxy, as after its restart: then the next report is sent whatever went before.
    pub fn request_finished(&mut self, proxy_known: bool) {
        let in_flight = self.in_flight.take();
        let acknowledged = in_flight.or(self.acknowledged.take());
        self.acknowledged = acknowledged.filter(|_| proxy_known);
    }
}

#[cfg(test)]
#[path = "tests/budget_reporter_tests.rs"]
mod tests;
