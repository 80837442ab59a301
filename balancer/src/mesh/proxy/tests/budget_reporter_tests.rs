//! Tests of the timing of a proxy's reports.

use std::time::Duration;

use ochreshed_catalog::traffic_reports::{AttemptCounts, BudgetReport};

use super::BudgetReporter;

const WINDOW: Duration = Duration::from_secs(10);

fn report(first_attempts: u32) -> BudgetReport {
    let counts = AttemptCounts { first: first_attempts, ..AttemptCounts::default() };
    BudgetReport { services: vec![("a".into(), counts)], ..BudgetReport::default() }
}

#[tokio::test(start_paused = true)]
async fn changes_are_reported_four_times_per_window_and_again_to_a_restarted_replica() {
    let mut reporter = BudgetReporter::default();
    assert_eq!(reporter.next_report(WINDOW, || report(1)), Some(report(1)));
    reporter.request_finished(true);
    assert_eq!(reporter.next_report(WINDOW, || report(2)), None, "too soon");
    tokio::time::advance(WINDOW / 4).await;
    assert_eq!(reporter.next_report(WINDOW, || report(1)), None, "unchanged");
    reporter.request_finished(true);
    tokio::time::advance(WINDOW / 4).await;
    assert_eq!(reporter.next_report(WINDOW, || report(2)), Some(report(2)));
    assert_eq!(reporter.next_report(WINDOW, || report(2)), None, "cancelled, and too soon for another");
    reporter.request_finished(true);
    tokio::time::advance(WINDOW / 4).await;
    assert_eq!(reporter.next_report(WINDOW, || report(2)), Some(report(2)));
    // The request failed, or was answered by a replica that has restarted.
    reporter.request_finished(false);
    assert_eq!(reporter.next_report(WINDOW, || report(2)), Some(report(2)));
}
