//! The limit on connections from an inbound proxy to its upstream: the lower of this process's own limit and the upstream's
//! limit on connections from all its callers. It changes with the upstream's service and the configuration.
//!
//! Invariants: a connection in use is never closed; a lower limit takes effect as connections end.

use std::sync::{Arc, Mutex};

use tokio::sync::Semaphore;

use crate::connection::lock;

/// A limit that can be changed while connections are in use.
pub struct ConnectionLimit {
    permits: Arc<Semaphore>,
    /// This process's own limit.
    max_connections: usize,
    /// Number of existing permits, free or in use.
    permit_count: Mutex<usize>,
}

impl ConnectionLimit {
    /// `max_connections` is this process's own limit; it is at least one.
    pub fn new(max_connections: usize) -> ConnectionLimit {
        let max_connections = max_connections.max(1);
        ConnectionLimit {
            permits: Arc::new(Semaphore::new(max_connections)),
            max_connections,
            permit_count: Mutex::new(max_connections),
        }
    }

    /// The permits, one for each connection.
    pub fn permits(&self) -> Arc<Semaphore> {
        self.permits.clone()
    }

    /// Sets the upstream's limit. Permits in use above the limit can't be withdrawn, so this must be called repeatedly until
    /// they have been released.
    pub fn set_limit(&self, upstream_limit: usize) {
        let limit = upstream_limit.clamp(1, self.max_connections);
        let mut permit_count = lock(&self.permit_count);
        if limit >= *permit_count {
            self.permits.add_permits(limit - *permit_count);
            *permit_count = limit;
        } else {
            *permit_count -= self.permits.forget_permits(*permit_count - limit);
        }
    }
}

#[cfg(test)]
#[path = "tests/connection_limit_tests.rs"]
mod tests;
