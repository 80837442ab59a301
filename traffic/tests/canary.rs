//! When a trial of a member's document is withdrawn.

use ochreshed_traffic::canary::{RequestOutcomes, Verdict, verdict};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn ended(of: u64, failed: u64) -> RequestOutcomes {
    RequestOutcomes { succeeded: of - failed, failed }
}

#[test]
fn a_trial_is_withdrawn_only_for_what_the_others_do_not_suffer() {
    for (trial, others, over, comes_to) in [
        (ended(0, 0), ended(0, 0), false, Verdict::Continue),
        (ended(0, 0), ended(900, 900), true, Verdict::Promote),
        (ended(2, 2), ended(900, 0), true, Verdict::Promote),
        (ended(3, 3), ended(900, 0), false, Verdict::RollBack),
        (ended(90, 9), ended(900, 90), true, Verdict::Promote),
        (ended(90, 90), ended(900, 900), true, Verdict::Promote),
        (ended(90, 9), ended(900, 900), true, Verdict::Promote),
        (ended(90, 30), ended(900, 90), false, Verdict::RollBack),
        (ended(90, 45), ended(0, 0), true, Verdict::Promote),
        (ended(90, 46), ended(0, 0), true, Verdict::RollBack),
        (ended(u64::MAX, u64::MAX / 2), ended(u64::MAX, 0), false, Verdict::RollBack),
    ] {
        assert_eq!(verdict(trial, others, over), comes_to, "{trial:?} {others:?}");
    }
}

/// Reqs drawn by chance, looked at ten times in a trial's course.
#[test]
fn chance_seldom_withdraws_one_and_seldom_saves_one() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut withdrawn = |on_trial: f64, elsewhere: f64| {
        let run = |rng: &mut ChaCha8Rng| {
            let (mut trial, mut others) = (RequestOutcomes::default(), RequestOutcomes::default());
            for _ in 0..10 {
                for (ended, part, reqs) in [(&mut trial, on_trial, 50), (&mut others, elsewhere, 150)] {
                    let failed = (0..reqs).filter(|_| rng.random_bool(part)).count() as u64;
                    ended.failed += failed;
                    ended.succeeded += reqs - failed;
                }
                if verdict(trial, others, false) == Verdict::RollBack {
                    return true;
                }
            }
            false
        };
        (0..400).filter(|_| run(&mut rng)).count()
    };
    let (alike, doubled, broken) = (withdrawn(0.02, 0.02), withdrawn(0.06, 0.02), withdrawn(0.2, 0.02));
    assert!(alike <= 16 && doubled >= 300 && broken == 400, "{alike} {doubled} {broken} of 400");
}
