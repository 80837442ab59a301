//! A service's allowance of repeats, divided: nobody has more than its share, all together no more than one would have.

use std::collections::BTreeMap;
use std::sync::Arc;

use ochreshed_catalog::configuration::{MemberShares, Name};
use ochreshed_catalog::traffic_reports::AttemptCounts;
use ochreshed_traffic::retry_shares::{RetryPool, RetryShares};
use proptest::prelude::*;

const MS: u64 = 1_000_000;
const NOW: u64 = 50_000 * MS;
const FIRST: AttemptCounts = AttemptCounts { first: 1, retried: 0, denied: 0 };
const AGAIN: AttemptCounts = AttemptCounts { first: 0, retried: 1, denied: 0 };

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
    /// Members and the platform send, fail and send again as often as they may, while members come, go and have their
    /// shares changed.
    #[test]
    fn all_together_have_no_more_than_one_would(
        steps in proptest::collection::vec((0usize..6, 0usize..4, 0u64..400, 0u8..6), 1..400),
        floor in 0.0f64..2.0,
    ) {
        let (mut pool, mut now, mut sent) = (RetryPool::default(), NOW, Vec::new());
        let mut given = vec![0.2, 0.5, 0.1];
        pool.set_shares(now, &shares(&given));
        for (what, who, wait, share) in steps {
            now += wait * MS;
            let many = if what == 0 { 20 } else { 1 };
            (0..many).for_each(|_| {
                pool.add(now, name(who).as_ref(), FIRST);
                sent.push((now, who, FIRST));
            });
            if what == 1 {
                // Gone, or with another share.
                given = given.iter().enumerate().map(|(nth, is)| if nth == who { f64::from(share) / 4.0 } else { *is }).collect();
                pool.set_shares(now, &shares(&given));
            }
            let mut repeats = 0;
            while pool.remaining(now, name(who).as_ref(), 0.1, floor) >= 1.0 {
                repeats += 1;
                pool.add(now, name(who).as_ref(), AGAIN);
                sent.push((now, who, AGAIN));
            }
            // Buckets of a second: nothing is forgotten before nine, nor kept beyond ten.
            let within = |span: u64, is: &dyn Fn(usize) -> bool| {
                let of = sent.iter().filter(|(at, who, _)| now - at < span * 1_000 * MS && is(*who));
                of.fold((0.0, 0.0), |(first, again), (_, _, of)| (first + f64::from(of.first), again + f64::from(of.retried)))
            };
            let most = within(10, &|_| true).0 * 0.1 + floor + 1e-6;
            if repeats > 0 {
                prop_assert!(within(9, &|_| true).1 <= most);
                let (own, share) = (within(9, &|of| of == who).1, given.get(who).map_or(1.0, |share| share.min(1.0)));
                prop_assert!(own <= most * share || who > 2 && own <= 1.0, "{own} of {most}, {share}");
            }
        }
    }
}

/// Guards against a floor for each, and against a member whose failures use up what is others'.
#[test]
fn each_has_its_own_share() {
    let mut pool = RetryPool::default();
    pool.set_shares(NOW, &shares(&[0.2, 0.5]));
    let (a, b) = (name(0), name(1));
    let left = |pool: &RetryPool, who: &Option<Name>| {
        (pool.remaining(NOW, who.as_ref(), 0.1, 1.0) * 10.0).round() / 10.0
    };
    // While no member has sent anything all of it is the platform's.
    pool.add(NOW, None, FIRST);
    assert_eq!(left(&pool, &None), 1.1);
    (0..99).for_each(|_| pool.add(NOW, a.as_ref(), FIRST));
    assert_eq!([&None, &a, &b].map(|who| left(&pool, who)), [8.8, 2.2, 5.5]);
    (0..100).for_each(|_| pool.add(NOW, b.as_ref(), FIRST));
    assert_eq!([&None, &a, &b].map(|who| left(&pool, who)), [6.3, 4.2, 10.5]);
    // One that is over takes nothing from others; what it has had before is gone for all.
    (0..4).for_each(|_| pool.add(NOW, a.as_ref(), AGAIN));
    assert_eq!([&None, &a, &b].map(|who| left(&pool, who)), [6.3, 0.2, 10.5]);
    pool.set_shares(NOW, &shares(&[0.0, 0.5]));
    assert_eq!([&None, &a, &b].map(|who| left(&pool, who)), [10.5, -4.0, 10.5]);
    (0..10).for_each(|_| pool.add(NOW, b.as_ref(), AGAIN));
    assert_eq!([&None, &a, &b].map(|who| left(&pool, who)), [7.0, -4.0, 0.5]);
    // RetryShares that come to more than all.
    pool.set_shares(NOW, &shares(&[1.0, 1.0]));
    assert_eq!([&None, &a, &b].map(|who| left(&pool, who)), [1.0, 6.5, 0.5]);
    // ExceededLimit the window all is as it was.
    let later = NOW + 10_000 * MS;
    pool.set_shares(later, &Arc::new(BTreeMap::new()));
    assert!(pool.has_no_members());
    assert_eq!(pool.remaining(later, None, 0.1, 1.0), 1.0);
}
