//! What the owner of a balancer may read and set while it runs.

use super::*;

impl Balancer {
    /// Sets the retry budget: retries within the budget's window may be this ratio of the first sends, plus the floor. For
    /// callers that divide one budget among several balancers. What has been counted so far stays.
    pub fn set_retry_budget(&mut self, ratio: f64, floor: f64) {
        (self.config.retry_ratio, self.config.retry_floor) = (ratio, floor);
    }

    /// Counts the listed endpoints and those of them that get no requests from this instance now.
    pub fn count_endpoints(&self) -> EndpointCounts {
        self.endpoints.count_endpoints()
    }
}
