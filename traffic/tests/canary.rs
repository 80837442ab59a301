//! Tests of canary analysis.

use ochreshed_traffic::canary::{CanaryVerdict, RequestOutcomes, evaluate_canary};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn outcomes(total: u64, failed: u64) -> RequestOutcomes {
    RequestOutcomes { succeeded: total - failed, failed }
}

#[test]
fn a_canary_is_rolled_back_only_if_it_fails_more_than_the_baseline() {
    for (canary, baseline, is_over, expected) in [
        (outcomes(0, 0), outcomes(0, 0), false, CanaryVerdict::Continue),
        (outcomes(0, 0), outcomes(900, 900), true, CanaryVerdict::Promote),
        (outcomes(2, 2), outcomes(900, 0), true, CanaryVerdict::Promote),
        (outcomes(3, 3), outcomes(900, 0), false, CanaryVerdict::RollBack),
        (outcomes(90, 9), outcomes(900, 90), true, CanaryVerdict::Promote),
        (outcomes(90, 90), outcomes(900, 900), true, CanaryVerdict::Promote),
        (outcomes(90, 9), outcomes(900, 900), true, CanaryVerdict::Promote),
        (outcomes(90, 30), outcomes(900, 90), false, CanaryVerdict::RollBack),
        (outcomes(90, 45), outcomes(0, 0), true, CanaryVerdict::Promote),
        (outcomes(90, 46), outcomes(0, 0), true, CanaryVerdict::RollBack),
        (outcomes(u64::MAX, u64::MAX / 2), outcomes(u64::MAX, 0), false, CanaryVerdict::RollBack),
    ] {
        assert_eq!(evaluate_canary(canary, baseline, is_over), expected, "{canary:?} {baseline:?}");
    }
}

/// Evaluates random outcomes ten times during a canary.
#[test]
fn random_outcomes_rarely_cause_a_wrong_verdict() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut rolled_back = |canary_rate: f64, baseline_rate: f64| {
        let run = |rng: &mut ChaCha8Rng| {
            let (mut canary, mut baseline) = (RequestOutcomes::default(), RequestOutcomes::default());
            for _ in 0..10 {
                for (outcomes, failure_rate, requests) in
                    [(&mut canary, canary_rate, 50), (&mut baseline, baseline_rate, 150)]
                {
                    let failed = (0..requests).filter(|_| rng.random_bool(failure_rate)).count() as u64;
                    outcomes.failed += failed;
                    outcomes.succeeded += requests - failed;
                }
                if evaluate_canary(canary, baseline, false) == CanaryVerdict::RollBack {
                    return true;
                }
            }
            false
        };
        (0..400).filter(|_| run(&mut rng)).count()
    };
    let (equal, tripled, broken) = (rolled_back(0.02, 0.02), rolled_back(0.06, 0.02), rolled_back(0.2, 0.02));
    assert!(equal <= 16 && tripled >= 300 && broken == 400, "{equal} {tripled} {broken} of 400");
}
