//! What budgets of repeats were used for: a gate's counts, and a steward's table of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ochreshed::How;
use ochreshed_catalog::internal_rpc::CollectedReport;
use ochreshed_catalog::traffic_reports::{AttemptCounts, BudgetReport};
use ochreshed_traffic::budget_reports::{AttemptTotals, BudgetReports, MAX_SERVICES};
use ochreshed_traffic::retry_budget::{RequestAttempts, RetryAccount, RetryLimits};
use proptest::prelude::*;

const MS: u64 = 1_000_000;
const WINDOW: u64 = 10_000 * MS;
const TERMS: RetryLimits = RetryLimits { max_attempts: 2, last_tier: true, ratio: 0.1, floor: 1.0 };

fn figures(first: u32, again: u32, refused: u32) -> AttemptCounts {
    AttemptCounts { first, retried: again, denied: refused }
}

fn report(spending: Vec<(ochreshed::Name, AttemptCounts)>) -> BudgetReport {
    BudgetReport { services: spending, ..BudgetReport::default() }
}

/// One req that goes and fails, and whether the module lets it go again or gives it up.
fn one(spent: &mut RetryAccount, now: u64, repeatable: bool, how: How, again: bool) {
    let mut tally = RequestAttempts::new(repeatable, now + 100 * MS);
    spent.attempt_started(now, &tally);
    tally.ended(how);
    if again {
        spent.attempt_started(now, &tally);
    } else {
        spent.request_given_up(now, &tally);
    }
}

#[test]
fn a_req_counts_for_what_it_came_to() {
    let mut spent = RetryAccount::new(WINDOW, TERMS);
    let now = 50_000 * MS;
    one(&mut spent, now, true, How::Done, false);
    one(&mut spent, now, true, How::Full, true);
    assert_eq!(spent.reported_counts(now), figures(2, 1, 0));
    // Two first sends and a floor of one leave no second one again.
    one(&mut spent, now, true, How::Reset, false);
    assert_eq!(spent.reported_counts(now), figures(3, 1, 1));
    // What a door turned away never arrived; what may have run is not refused for want of allowance.
    one(&mut spent, now, true, How::Turned, true);
    one(&mut spent, now, false, How::Reset, false);
    one(&mut spent, now, false, How::Full, false);
    assert_eq!(spent.reported_counts(now), figures(6, 1, 2));
    spent.nested_call_retried(now);
    assert_eq!(spent.reported_counts(now), figures(6, 2, 2));
    // Where there is room the module had another reason.
    (0..20).for_each(|_| one(&mut spent, now, true, How::Done, false));
    one(&mut spent, now, true, How::Full, false);
    assert_eq!(spent.reported_counts(now), figures(27, 2, 2));
    // Not this service's failure, or its time is over.
    let mut middle = RetryAccount::new(WINDOW, RetryLimits { last_tier: false, floor: 0.0, ..TERMS });
    one(&mut middle, now, true, How::Error, false);
    let mut late = RequestAttempts::new(true, now);
    middle.attempt_started(now, &late);
    late.ended(How::Full);
    middle.request_given_up(now, &late);
    assert_eq!(middle.reported_counts(now), figures(2, 0, 0));
    assert_eq!(spent.restart(WINDOW, TERMS).reported_counts(now), spent.reported_counts(now));
    assert_eq!(spent.reported_counts(now + WINDOW), AttemptCounts::default());
}

proptest! {
    /// Nothing is told that was not counted within the window, nor anything left out.
    #[test]
    fn the_window_holds_what_happened_in_it(steps in proptest::collection::vec((0u64..3_000, any::<bool>()), 1..60)) {
        let mut spent = RetryAccount::new(WINDOW, TERMS);
        let (mut now, mut all) = (100_000 * MS, Vec::new());
        for (wait, again) in steps {
            now += wait * MS;
            one(&mut spent, now, true, How::Full, again);
            all.push((now, again));
            let within = |span: u64| all.iter().filter(|(at, _)| now - at < span).count() as u32;
            let told = spent.reported_counts(now).first;
            prop_assert!(told <= within(WINDOW) && told >= within(WINDOW - WINDOW / 10));
        }
    }

    /// However often and in whatever order stewards tell each other, of each gate its last word counts.
    #[test]
    fn the_later_word_of_a_gate_holds(words in proptest::collection::vec((0u8..4, 0u64..50, 0u32..9), 1..40)) {
        let door = |gate: u8| SocketAddr::from(([10, 1, 0, gate], 8300));
        let now = 100_000 * MS;
        let (mut one, mut other, mut last) = (BudgetReports::default(), BudgetReports::default(), BTreeMap::new());
        for (gate, age, first) in &words {
            let spending = report(vec![("a".into(), figures(*first, 0, 0))]);
            let at = if first % 2 == 0 { &mut one } else { &mut other };
            at.store(now, door(*gate), spending, age * MS);
            let newest = last.entry(*gate).or_insert((*age, *first));
            if *age <= newest.0 && (*age < newest.0 || at.collect(now).iter().any(|of| of.inbound_proxy == door(*gate))) {
                *newest = (*age, *first);
            }
        }
        for CollectedReport { inbound_proxy: gate, age_ms: age, report: told } in other.collect(now) {
            one.store(now, gate, told, u64::from(age) * MS);
        }
        for CollectedReport { inbound_proxy: gate, age_ms: age, report: told } in one.collect(now) {
            let SocketAddr::V4(at) = gate else { continue };
            let (newest, _) = last[&at.ip().octets()[3]];
            prop_assert_eq!(u64::from(age), newest);
            prop_assert_eq!(told.services.len(), 1);
        }
        let AttemptTotals { services: sums, proxies: gates } = one.attempt_totals(|at| at != door(0));
        prop_assert_eq!(gates, last.keys().filter(|gate| **gate != 0).count());
        prop_assert!(sums.len() <= 1);
    }
}

#[test]
fn a_table_is_bounded_and_forgets() {
    let door = |gate: u32| SocketAddr::from((std::net::Ipv4Addr::from(0x0a01_0000 + gate), 8300));
    let many = report((0..1_000).map(|name| (format!("s-{name}").into(), figures(1, 1, 0))).collect());
    let mut table = BudgetReports::default();
    (0..5_000).for_each(|gate| table.store(1, door(gate), many.clone(), 0));
    let AttemptTotals { services: sums, proxies: gates } = table.attempt_totals(|_| true);
    assert_eq!((sums.len(), gates), (MAX_SERVICES, 200_000 / MAX_SERVICES));
    assert_eq!(sums.values().map(|sum| sum.first as usize).sum::<usize>(), gates * MAX_SERVICES);
    // Full for more, not for a new word of one that is in.
    table.store(2, door(0), BudgetReport::default(), 0);
    table.store(3, door(4_999), report(vec![("x".into(), figures(5, 0, 0))]), 0);
    assert_eq!(table.attempt_totals(|at| at == door(0) || at == door(4_999)).services.len(), 1);
    table.retain(|at| at == door(1));
    assert_eq!(table.attempt_totals(|_| true).proxies, 1);
    assert_eq!(table.collect(3).len(), 1);
}
