//! What whoever holds a balancer may look at, and set while it works. It decides nothing, and must never touch what was
//! counted.

use super::*;

impl Balancer {
    /// From now on owned failures are sent again within this part of our first sends and so many more, over the budget's
    /// ring. For whoever divides one allowance among several balancers; what was counted stands.
    pub fn set_retry_budget(&mut self, ratio: f64, floor: f64) {
        (self.told.tenth, self.told.floor) = (ratio, floor);
    }

    /// How many srvs the list names, and how many of those get nothing from us now.
    pub fn count_endpoints(&self) -> EndpointCounts {
        self.fleet.count_endpoints()
    }
}
