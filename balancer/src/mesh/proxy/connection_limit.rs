//! Connections to the upstream beside a door. It owns how many there may be: what this process can hold, or what the
//! upstream takes from all its callers where that is less, and that changes with its service and the configuration. It
//! must never end a connection that is in use.

use std::sync::{Arc, Mutex};

use tokio::sync::Semaphore;

use crate::link::held;

pub struct ConnectionLimit {
    room: Arc<Semaphore>,
    own: usize,
    now: Mutex<usize>,
}

impl ConnectionLimit {
    /// `own`: as many as this process can hold.
    pub fn new(own: usize) -> ConnectionLimit {
        let own = own.max(1);
        ConnectionLimit { room: Arc::new(Semaphore::new(own)), own, now: Mutex::new(own) }
    }

    pub fn permits(&self) -> Arc<Semaphore> {
        self.room.clone()
    }

    /// The upstream takes so many. Those in use above it stay until they end: to be told again now and then.
    pub fn set_limit(&self, cap: usize) {
        let most = cap.clamp(1, self.own);
        let mut now = held(&self.now);
        if most >= *now {
            self.room.add_permits(most - *now);
            *now = most;
        } else {
            *now -= self.room.forget_permits(*now - most);
        }
    }
}

#[cfg(test)]
#[path = "tests/connection_limit_tests.rs"]
mod tests;
