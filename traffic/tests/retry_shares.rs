//! The division of a retry budget: no member has more than its share, and all together no more than one sender would.

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

fn name(of: usize) -> Option<Name> {
    ["a", "b", "c"].get(of).map(|name| (*name).into())
}

fn shares(of: &[f64]) -> Arc<RetryShares> {
    let share = |(nth, retry): (usize, &f64)| {
        let member = name(nth)?;
        Some((member.clone(), Arc::new(MemberShares { member, retry: *retry, concurrency: 1.0 })))
    };
    Arc::new(of.iter().enumerate().filter_map(share).collect())
}

proptest! {
    /// Members and the platform send requests and retry as often as they may, while members come, go and have their
    /// shares changed.
    #[test]
    fn all_together_have_no_more_retries_than_one_sender(
        steps in proptest::collection::vec((0usize..6, 0usize..4, 0u64..400, 0u8..6), 1..400),
        floor in 0.0f64..2.0,
    ) {
        let (mut pool, mut now, mut sent) = (RetryPool::default(), NOW, Vec::new());
        let mut current_shares = vec![0.2, 0.5, 0.1];
        pool.set_shares(now, &shares(&current_shares));
        for (what, member, wait, share) in steps {
            now += wait * MS;
            let many = if what == 0 { 20 } else { 1 };
            (0..many).for_each(|_| {
                pool.add(now, name(member).as_ref(), FIRST_ATTEMPT);
                sent.push((now, member, FIRST_ATTEMPT));
            });
            if what == 1 {
                // The member is gone, or has another share.
                current_shares = current_shares.iter().enumerate().map(|(nth, is)| if nth == member { f64::from(share) / 4.0 } else { *is }).collect();
                pool.set_shares(now, &shares(&current_shares));
            }
            let mut retries = 0;
            while pool.remaining_retries(now, name(member).as_ref(), 0.1, floor) >= 1.0 {
                retries += 1;
                pool.add(now, name(member).as_ref(), RETRY);
                sent.push((now, member, RETRY));
            }
            // With buckets of a second, nothing is dropped before nine seconds nor kept beyond ten.
            let within = |span: u64, is: &dyn Fn(usize) -> bool| {
                let of = sent.iter().filter(|(at, member, _)| now - at < span * 1_000 * MS && is(*member));
                of.fold((0.0, 0.0), |(first, again), (_, _, of)| (first + f64::from(of.first), again + f64::from(of.retried)))
            };
            let most = within(10, &|_| true).0 * 0.1 + floor + 1e-6;
            if retries > 0 {
                prop_assert!(within(9, &|_| true).1 <= most);
                let (own, share) = (within(9, &|of| of == member).1, current_shares.get(member).map_or(1.0, |share| share.min(1.0)));
                prop_assert!(own <= most * share || member > 2 && own <= 1.0, "{own} of {most}, {share}");
            }
        }
    }
}

/// Guards against a floor for each member, and against a member whose failures use up the budget of others.
#[test]
fn each_member_has_its_own_share() {
    let mut pool = RetryPool::default();
    pool.set_shares(NOW, &shares(&[0.2, 0.5]));
    let (a, b) = (name(0), name(1));
    let remaining = |pool: &RetryPool, member: &Option<Name>| {
        (pool.remaining_retries(NOW, member.as_ref(), 0.1, 1.0) * 10.0).round() / 10.0
    };
    // While no member has sent anything the platform has the whole budget.
    pool.add(NOW, None, FIRST_ATTEMPT);
    assert_eq!(remaining(&pool, &None), 1.1);
    (0..99).for_each(|_| pool.add(NOW, a.as_ref(), FIRST_ATTEMPT));
    assert_eq!([&None, &a, &b].map(|member| remaining(&pool, member)), [8.8, 2.2, 5.5]);
    (0..100).for_each(|_| pool.add(NOW, b.as_ref(), FIRST_ATTEMPT));
    assert_eq!([&None, &a, &b].map(|member| remaining(&pool, member)), [6.3, 4.2, 10.5]);
    // A member without budget takes nothing from others; what it has used is gone for all.
    (0..4).for_each(|_| pool.add(NOW, a.as_ref(), RETRY));
    assert_eq!([&None, &a, &b].map(|member| remaining(&pool, member)), [6.3, 0.2, 10.5]);
    pool.set_shares(NOW, &shares(&[0.0, 0.5]));
    assert_eq!([&None, &a, &b].map(|member| remaining(&pool, member)), [10.5, -4.0, 10.5]);
    (0..10).for_each(|_| pool.add(NOW, b.as_ref(), RETRY));
    assert_eq!([&None, &a, &b].map(|member| remaining(&pool, member)), [7.0, -4.0, 0.5]);
    // Shares that come to more than the whole.
    pool.set_shares(NOW, &shares(&[1.0, 1.0]));
    assert_eq!([&None, &a, &b].map(|member| remaining(&pool, member)), [1.0, 6.5, 0.5]);
    // After the window all is as it was.
    let later = NOW + 10_000 * MS;
    pool.set_shares(later, &Arc::new(BTreeMap::new()));
    assert!(pool.has_no_members());
    assert_eq!(pool.remaining_retries(later, None, 0.1, 1.0), 1.0);
}
