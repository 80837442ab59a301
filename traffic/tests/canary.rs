//! When a canary is rolled back.

use ochreshed_traffic::canary::{CanaryVerdict, RequestOutcomes, evaluate_canary};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn ended(of: u64, failed: u64) -> RequestOutcomes {
    RequestOutcomes { succeeded: of - failed, failed }
}

#[test]
fn a_canary_is_rolled_back_only_for_failures_that_the_baseline_lacks() {
    for (canary, baseline, is_over, expected) in [
        (ended(0, 0), ended(0, 0), false, CanaryVerdict::Continue),
        (ended(0, 0), ended(900, 900), true, CanaryVerdict::Promote),
        (ended(2, 2), ended(900, 0), true, CanaryVerdict::Promote),
        (ended(3, 3), ended(900, 0), false, CanaryVerdict::RollBack),
        (ended(90, 9), ended(900, 90), true, CanaryVerdict::Promote),
        (ended(90, 90), ended(900, 900), true, CanaryVerdict::Promote),
        (ended(90, 9), ended(900, 900), true, CanaryVerdict::Promote),
        (ended(90, 30), ended(900, 90), false, CanaryVerdict::RollBack),
        (ended(90, 45), ended(0, 0), true, CanaryVerdict::Promote),
        (ended(90, 46), ended(0, 0), true, CanaryVerdict::RollBack),
        (ended(u64::MAX, u64::MAX / 2), ended(u64::MAX, 0), false, CanaryVerdict::RollBack),
    ] {
        assert_eq!(evaluate_canary(canary, baseline, is_over), expected, "{canary:?} {baseline:?}");
    }
}

/// Random outcomes, judged ten times in the course of a canary.
#[test]
fn random_outcomes_seldom_cause_a_wrong_verdict() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut rolled_back = |canary_rate: f64, baseline_rate: f64| {
        let run = |rng: &mut ChaCha8Rng| {
            let (mut canary, mut baseline) = (RequestOutcomes::default(), RequestOutcomes::default());
            for _ in 0..10 {
                for (ended, part, requests) in
                    [(&mut canary, canary_rate, 50), (&mut baseline, baseline_rate, 150)]
                {
                    let failed = (0..requests).filter(|_| rng.random_bool(part)).count() as u64;
                    ended.failed += failed;
                    ended.succeeded += requests - failed;
                }
                if evaluate_canary(canary, baseline, false) == CanaryVerdict::RollBack {
                    return true;
                }
            }
            false
        };
        (0..400).filter(|_| run(&mut rng)).count()
    };
    let (alike, doubled, broken) = (rolled_back(0.02, 0.02), rolled_back(0.06, 0.02), rolled_back(0.2, 0.02));
    assert!(alike <= 16 && doubled >= 300 && broken == 400, "{alike} {doubled} {broken} of 400");
}
