//! Tests of the division of a retry budget: no member exceeds its share, and the total does not exceed the budget of a
//! single sender.

use std::collections::BTreeMap;
use std::sync::Arc;

use ochreshed_catalog::configuration::{MemberShares, Name};
use ochreshed_catalog::traffic_reports::AttemptCounts;
use ochreshed_traffic::retry_shares::{RetryPool, RetryShares};
use proptest::prelude::*;

const MS: u64 = 1_000_000;
const NOW: u64 = 50_000 * MS;
const FIRST_ATTEMPT: AttemptCounts = AttemptCounts { first: 1, retried: 0, denied: 0 };
const RETRY: AttemptCounts = AttemptCounts { first: 0, retried: 1, denied: 0 };

fn member_name(index: usize) -> Option<Name> {
    ["a", "b", "c"].get(index).map(|name| (*name).into())
}

fn shares(retry_shares: &[f64]) -> Arc<RetryShares> {
    let share = |(index, retry): (usize, &f64)| {
        let member = member_name(index)?;
        Some((member.clone(), Arc::new(MemberShares { member, retry: *retry, concurrency: 1.0 })))
    };
    Arc::new(retry_shares.iter().enumerate().filter_map(share).collect())
}

proptest! {
    /// Members and the platform send requests and use all allowed retries, while members are added and removed and
    /// their shares change.
    #[test]
    fn total_retries_do_not_exceed_the_budget_of_a_single_sender(
        steps in proptest::collection::vec((0usize..6, 0usize..4, 0u64..400, 0u8..6), 1..400),
        floor in 0.0f64..2.0,
    ) {
        let (mut pool, mut now, mut sent) = (RetryPool::default(), NOW, Vec::new());
        let mut current_shares = vec![0.2, 0.5, 0.1];
        pool.set_shares(now, &shares(&current_shares));
        for (action, member, delay_ms, share) in steps {
            now += delay_ms * MS;
            let requests = if action == 0 { 20 } else { 1 };
            (0..requests).for_each(|_| {
                pool.add(now, member_name(member).as_ref(), FIRST_ATTEMPT);
                sent.push((now, member, FIRST_ATTEMPT));
            });
            if action == 1 {
                // The member is removed, or its share changes.
                current_shares = current_shares.iter().enumerate().map(|(index, current)| if index == member { f64::from(share) / 4.0 } else { *current }).collect();
                pool.set_shares(now, &shares(&current_shares));
            }
            let mut retries = 0;
            while pool.remaining_retries(now, member_name(member).as_ref(), 0.1, floor) >= 1.0 {
                retries += 1;
                pool.add(now, member_name(member).as_ref(), RETRY);
                sent.push((now, member, RETRY));
            }
            // With buckets of one second, attempts are kept for at least nine and at most ten seconds.
            let within = |seconds: u64, is_counted: &dyn Fn(usize) -> bool| {
                let counted = sent.iter().filter(|(sent_at, member, _)| now - sent_at < seconds * 1_000 * MS && is_counted(*member));
                counted.fold((0.0, 0.0), |(first, retried), (_, _, counts)| (first + f64::from(counts.first), retried + f64::from(counts.retried)))
            };
            let max_retries = within(10, &|_| true).0 * 0.1 + floor + 1e-6;
            if retries > 0 {
                prop_assert!(within(9, &|_| true).1 <= max_retries);
                let (own, share) = (within(9, &|sender| sender == member).1, current_shares.get(member).map_or(1.0, |share| share.min(1.0)));
                prop_assert!(own <= max_retries * share || member > 2 && own <= 1.0, "{own} of {max_retries}, {share}");
            }
        }
    }
}

/// Guards against a separate floor for each member, and against a member whose failures use up the budget of others.
#[test]
fn each_member_has_its_own_share() {
    let mut pool = RetryPool::default();
    pool.set_shares(NOW, &shares(&[0.2, 0.5]));
    let (a, b) = (member_name(0), member_name(1));
    let remaining = |pool: &RetryPool, member: &Option<Name>| {
        (pool.remaining_retries(NOW, member.as_ref(), 0.1, 1.0) * 10.0).round() / 10.0
    };
    // While no member has sent requests, the platform has the whole budget.
    pool.add(NOW, None, FIRST_ATTEMPT);
    assert_eq!(remaining(&pool, &None), 1.1);
    (0..99).for_each(|_| pool.add(NOW, a.as_ref(), FIRST_ATTEMPT));
    assert_eq!([&None, &a, &b].map(|member| remaining(&pool, member)), [8.8, 2.2, 5.5]);
    (0..100).for_each(|_| pool.add(NOW, b.as_ref(), FIRST_ATTEMPT));
    assert_eq!([&None, &a, &b].map(|member| remaining(&pool, member)), [6.3, 4.2, 10.5]);
    // A member that has used its budget does not reduce that of others. Retries beyond a lowered share count against
    // the total.
    (0..4).for_each(|_| pool.add(NOW, a.as_ref(), RETRY));
    assert_eq!([&None, &a, &b].map(|member| remaining(&pool, member)), [6.3, 0.2, 10.5]);
    pool.set_shares(NOW, &shares(&[0.0, 0.5]));
    assert_eq!([&None, &a, &b].map(|member| remaining(&pool, member)), [10.5, -4.0, 10.5]);
    (0..10).for_each(|_| pool.add(NOW, b.as_ref(), RETRY));
    assert_eq!([&None, &a, &b].map(|member| remaining(&pool, member)), [7.0, -4.0, 0.5]);
    // Shares whose sum exceeds 1 are scaled down.
    pool.set_shares(NOW, &shares(&[1.0, 1.0]));
    assert_eq!([&None, &a, &b].map(|member| remaining(&pool, member)), [1.0, 6.5, 0.5]);
    // After the window, the state is as at the start.
    let later = NOW + 10_000 * MS;
    pool.set_shares(later, &Arc::new(BTreeMap::new()));
    assert!(pool.has_no_members());
    assert_eq!(pool.remaining_retries(later, None, 0.1, 1.0), 1.0);
}
