//! Tests of the rate limit on a member's changes.

use std::time::Duration;

use super::ChangeLimiter;

#[tokio::test(start_paused = true)]
async fn changes_are_limited_per_minute() {
    let limiter = ChangeLimiter::default();
    assert!(limiter.admit(2).is_ok() && limiter.admit(2).is_ok());
    tokio::time::advance(Duration::from_secs(20)).await;
    assert_eq!(limiter.admit(2), Err(Duration::from_secs(40)));
    tokio::time::advance(Duration::from_secs(40)).await;
    assert!(limiter.admit(2).is_ok());
}
