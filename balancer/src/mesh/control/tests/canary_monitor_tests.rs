//! The verdict on a canary.

use ochreshed_catalog::traffic_reports::{OutcomeCounts, RouteEdition};
use ochreshed_traffic::canary::CanaryVerdict;

use super::canary_verdict;

#[test]
fn a_canary_fails_by_its_own_requests_against_the_settled_ones() {
    let edition = |member: &str, version, canary| RouteEdition { member: member.into(), version, canary };
    let counts = |succeeded, failed| OutcomeCounts { succeeded, failed, ..OutcomeCounts::default() };
    let verdicts = |canary, settled| {
        let outcomes = [
            (edition("a", 8, true), canary),
            (edition("a", 7, false), settled),
            (edition("a", 6, true), counts(0, 90)),
            (edition("b", 8, true), counts(0, 90)),
        ];
        [false, true].map(|over| canary_verdict(&outcomes.clone().into_iter().collect(), "a", 8, over))
    };
    let promoted_at_the_end = [CanaryVerdict::Continue, CanaryVerdict::Promote];
    assert_eq!(verdicts(counts(90, 10), counts(300, 3)), [CanaryVerdict::RollBack; 2]);
    assert_eq!(verdicts(counts(90, 10), counts(270, 30)), promoted_at_the_end, "no worse than before");
    assert_eq!(verdicts(counts(1, 1), counts(300, 0)), promoted_at_the_end, "too few");
    assert_eq!(verdicts(counts(0, 0), counts(0, 9)), promoted_at_the_end, "no requests");
}
