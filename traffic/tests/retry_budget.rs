//! Tests of the counts of attempts at one service, and of the reports of outbound proxies.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ochreshed::DispatchOutcome;
use ochreshed_catalog::internal_rpc::CollectedReport;
use ochreshed_catalog::traffic_reports::{AttemptCounts, BudgetReport};
use ochreshed_traffic::budget_reports::{AttemptTotals, BudgetReports, MAX_SERVICES};
use ochreshed_traffic::retry_budget::{RequestAttempts, RetryAccount, RetryLimits};
use proptest::prelude::*;

const MS: u64 = 1_000_000;
const WINDOW: u64 = 10_000 * MS;
const LIMITS: RetryLimits = RetryLimits { max_attempts: 2, last_tier: true, ratio: 0.1, floor: 1.0 };

fn counts(first: u32, retried: u32, denied: u32) -> AttemptCounts {
    AttemptCounts { first, retried, denied }
}

fn report(attempts: Vec<(ochreshed::Name, AttemptCounts)>) -> BudgetReport {
    BudgetReport { services: attempts, ..BudgetReport::default() }
}

/// Records a request with this outcome that the policy retries or does not retry.
fn run_request(
    account: &mut RetryAccount,
    now: u64,
    repeatable: bool,
    outcome: DispatchOutcome,
    is_retried: bool,
) {
    let mut request = RequestAttempts::new(repeatable, now + 100 * MS);
    account.record_attempt(now, &request);
    request.record_outcome(outcome);
    if is_retried {
        account.record_attempt(now, &request);
    } else {
        account.record_give_up(now, &request);
    }
}

#[test]
fn requests_are_counted_by_outcome() {
    let mut account = RetryAccount::new(WINDOW, LIMITS);
    let now = 50_000 * MS;
    run_request(&mut account, now, true, DispatchOutcome::Done, false);
    run_request(&mut account, now, true, DispatchOutcome::Full, true);
    assert_eq!(account.reported_counts(now), counts(2, 1, 0));
    // Three first attempts at a ratio of 0.1 and a floor of one do not allow a second retry.
    run_request(&mut account, now, true, DispatchOutcome::Reset, false);
    assert_eq!(account.reported_counts(now), counts(3, 1, 1));
    // A retry after a rejection does not count. A request that may have run is not retried for that reason, not for
    // lack of budget.
    run_request(&mut account, now, true, DispatchOutcome::Rejected, true);
    run_request(&mut account, now, false, DispatchOutcome::Reset, false);
    run_request(&mut account, now, false, DispatchOutcome::Full, false);
    assert_eq!(account.reported_counts(now), counts(6, 1, 2));
    account.record_nested_retry(now);
    assert_eq!(account.reported_counts(now), counts(6, 2, 2));
    // While there is budget, the policy had another reason for not retrying.
    (0..20).for_each(|_| run_request(&mut account, now, true, DispatchOutcome::Done, false));
    run_request(&mut account, now, true, DispatchOutcome::Full, false);
    assert_eq!(account.reported_counts(now), counts(27, 2, 2));
    // No retry is denied if the fallback service gets the request, or if the deadline has passed.
    let mut middle = RetryAccount::new(WINDOW, RetryLimits { last_tier: false, floor: 0.0, ..LIMITS });
    run_request(&mut middle, now, true, DispatchOutcome::Error, false);
    let mut late = RequestAttempts::new(true, now);
    middle.record_attempt(now, &late);
    late.record_outcome(DispatchOutcome::Full);
    middle.record_give_up(now, &late);
    assert_eq!(middle.reported_counts(now), counts(2, 0, 0));
    assert_eq!(account.restart(WINDOW, LIMITS).reported_counts(now), account.reported_counts(now));
    assert_eq!(account.reported_counts(now + WINDOW), AttemptCounts::default());
}

proptest! {
    /// The counts cover exactly the window, up to the width of one bucket.
    #[test]
    fn counts_cover_the_window(steps in proptest::collection::vec((0u64..3_000, any::<bool>()), 1..60)) {
        let mut account = RetryAccount::new(WINDOW, LIMITS);
        let (mut now, mut requests) = (100_000 * MS, Vec::new());
        for (delay_ms, is_retried) in steps {
            now += delay_ms * MS;
            run_request(&mut account, now, true, DispatchOutcome::Full, is_retried);
            requests.push((now, is_retried));
            let within = |span: u64| requests.iter().filter(|(sent_at, _)| now - sent_at < span).count() as u32;
            let reported = account.reported_counts(now).first;
            prop_assert!(reported <= within(WINDOW) && reported >= within(WINDOW - WINDOW / 10));
        }
    }

    /// After replicas merge their reports in any order, the latest report of each proxy is kept.
    #[test]
    fn the_latest_report_of_a_proxy_is_kept(reports in proptest::collection::vec((0u8..4, 0u64..50, 0u32..9), 1..40)) {
        let inbound_proxy = |proxy: u8| SocketAddr::from(([10, 1, 0, proxy], 8300));
        let now = 100_000 * MS;
        let (mut first_table, mut second_table, mut latest) = (BudgetReports::default(), BudgetReports::default(), BTreeMap::new());
        for (proxy, age, first) in &reports {
            let attempts = report(vec![("a".into(), counts(*first, 0, 0))]);
            let table = if first % 2 == 0 { &mut first_table } else { &mut second_table };
            table.store(now, inbound_proxy(*proxy), attempts, age * MS);
            let newest = latest.entry(*proxy).or_insert((*age, *first));
            if *age <= newest.0 && (*age < newest.0 || table.collect(now).iter().any(|collected| collected.inbound_proxy == inbound_proxy(*proxy))) {
                *newest = (*age, *first);
            }
        }
        for CollectedReport { inbound_proxy: proxy, age_ms: age, report } in second_table.collect(now) {
            first_table.store(now, proxy, report, u64::from(age) * MS);
        }
        for CollectedReport { inbound_proxy: proxy, age_ms: age, report } in first_table.collect(now) {
            let SocketAddr::V4(address) = proxy else { continue };
            let (newest, _) = latest[&address.ip().octets()[3]];
            prop_assert_eq!(u64::from(age), newest);
            prop_assert_eq!(report.services.len(), 1);
        }
        let AttemptTotals { services: sums, proxies: proxy_count } = first_table.attempt_totals(|at| at != inbound_proxy(0));
        prop_assert_eq!(proxy_count, latest.keys().filter(|proxy| **proxy != 0).count());
        prop_assert!(sums.len() <= 1);
    }
}

#[test]
fn reports_are_bounded_and_removed() {
    let inbound_proxy = |proxy: u32| SocketAddr::from((std::net::Ipv4Addr::from(0x0a01_0000 + proxy), 8300));
    let many = report((0..1_000).map(|name| (format!("s-{name}").into(), counts(1, 1, 0))).collect());
    let mut table = BudgetReports::default();
    (0..5_000).for_each(|proxy| table.store(1, inbound_proxy(proxy), many.clone(), 0));
    let AttemptTotals { services: sums, proxies: proxy_count } = table.attempt_totals(|_| true);
    assert_eq!((sums.len(), proxy_count), (MAX_SERVICES, 200_000 / MAX_SERVICES));
    assert_eq!(sums.values().map(|sum| sum.first as usize).sum::<usize>(), proxy_count * MAX_SERVICES);
    // The table is full: only a new report of a known proxy is stored.
    table.store(2, inbound_proxy(0), BudgetReport::default(), 0);
    table.store(3, inbound_proxy(4_999), report(vec![("x".into(), counts(5, 0, 0))]), 0);
    assert_eq!(
        table.attempt_totals(|at| at == inbound_proxy(0) || at == inbound_proxy(4_999)).services.len(),
        1
    );
    table.retain(|at| at == inbound_proxy(1));
    assert_eq!(table.attempt_totals(|_| true).proxies, 1);
    assert_eq!(table.collect(3).len(), 1);
}
