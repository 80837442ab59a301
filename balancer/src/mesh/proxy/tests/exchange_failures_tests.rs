//! Tests of the counts of failed exchanges.

use crate::mesh::proxy::exchange_failures::{ExchangeFailure, ExchangeFailureCounts};

/// Guards against failures that are logged twice, not at all or under another cause.
#[test]
fn each_failure_is_reported_once_under_its_cause() {
    let counts = ExchangeFailureCounts::default();
    assert_eq!(counts.take_increase(), None);
    for (index, failure) in ExchangeFailure::ALL.into_iter().enumerate() {
        (0..=index).for_each(|_| counts.record(failure));
        let reported = counts.take_increase().map(|increase| increase.to_string());
        assert_eq!(reported, Some(format!("{}={}", failure.name(), index + 1)));
        assert_eq!(counts.count(failure), index as u64 + 1);
    }
    assert_eq!(counts.take_increase(), None);
    counts.record(ExchangeFailure::Stalled);
    counts.record(ExchangeFailure::Connect);
    let reported = counts.take_increase().map(|increase| increase.to_string());
    assert_eq!(reported.as_deref(), Some("connect=1 stalled=1"));
}
