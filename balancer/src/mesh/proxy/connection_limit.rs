//! The limit on connections from an inbound proxy to its upstream: what this process can hold, or what the upstream takes from
//! all its callers if that is less. It changes with the upstream's service and the configuration.
//!
//! Invariants: a connection that is in use is never ended; a lower limit takes effect as connections end.

use std::sync::{Arc, Mutex};

use tokio::sync::Semaphore;

use crate::connection::lock;

/// A limit that can be changed while connections are in use.
pub struct ConnectionLimit {
    permits: Arc<Semaphore>,
    /// As many as this process can hold.
    max: usize,
    /// Permits that exist now, free or in use.
    current: Mutex<usize>,
}

impl ConnectionLimit {
    /// `max` is as many as this process can hold; at least one is allowed.
    pub fn new(max: usize) -> ConnectionLimit {
        let max = max.max(1);
        ConnectionLimit { permits: Arc::new(Semaphore::new(max)), max, current: Mutex::new(max) }
    }

    /// The permits, one for each connection.
    pub fn permits(&self) -> Arc<Semaphore> {
        self.permits.clone()
    }

    /// Sets how many connections the upstream takes. Permits in use above the limit can't be withdrawn, so that this is to be
    /// called again now and then until they have ended.
    pub fn set_limit(&self, cap: usize) {
        let limit = cap.clamp(1, self.max);
        let mut current = lock(&self.current);
        if limit >= *current {
            self.permits.add_permits(limit - *current);
            *current = limit;
        } else {
            *current -= self.permits.forget_permits(*current - limit);
        }
    }
}

#[cfg(test)]
#[path = "tests/connection_limit_tests.rs"]
mod tests;
