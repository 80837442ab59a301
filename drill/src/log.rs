//! What clients, relays, srvs and the script saw, in one log with one clock: the auditor and the figures know nothing
//! else. It owns the order of events and must never hold more than its bound; what is over it is counted.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ochreshed_emulator::{Nanos, S};

use crate::party::Party;

/// Events of one drill at the most: ten a req over ten minutes at a thousand a second.
const MOST: usize = 6_000_000;
/// The log's clock starts here, so that srvs whose processes started at 0 have been warm for long.
const START: Nanos = 1_000 * S;

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Done,
    /// Denied: safe to try again.
    Denied,
    Aborted,
    /// The connection ended with no whole answer.
    Broken,
    /// It never came up, or was refused: no req was taken.
    NotTaken,
    /// The client has waited for longer than it may.
    Nothing,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client has written the last byte of a req. The id is the try's; the call is the same for all its tries.
    Asked {
        id: u64,
        call: u64,
        set: usize,
        balancer: usize,
        again: bool,
        budget: Nanos,
        /// When the call was to be made first.
        intended: Nanos,
    },
    Answered {
        id: u64,
        answer: Answer,
    },
    /// A balancer sends a req: its head has come to the relay. The connection's number is the process's own.
    Sent {
        id: u64,
        balancer: usize,
        srv: usize,
        connection: u64,
        /// When its first byte came.
        first: Nanos,
    },
    /// Its last byte has come to the relay.
    Whole {
        connection: u64,
    },
    /// An answer has come to the balancer, whole; what it says, and whether it was turned away.
    Back {
        connection: u64,
        status: u16,
        rejected: bool,
    },
    /// The balancer has ended the connection, or its sending on it.
    Ended {
        connection: u64,
    },
    Opened {
        from: Party,
        to: Party,
    },
    /// A req's last byte has come to a srv; its work and what the srv can do now, both in seconds of work (a second); and
    /// whether it is cold.
    Arrived {
        id: u64,
        srv: usize,
        work: f64,
        can: f64,
        cold: bool,
    },
    /// A srv begins to work on it: its effect happens.
    Ran {
        id: u64,
        srv: usize,
    },
    /// A balancer has been told a list: of those that are up and don't drain, by number, when they started.
    Told {
        balancer: usize,
        up: Arc<Vec<Option<u64>>>,
    },
    /// A srv's process is there again, and when it started, as lists have it.
    SrvBack {
        srv: usize,
        started_ms: u64,
    },
    /// A call to discovery.
    Called {
        balancer: usize,
        watch: bool,
    },
    Process {
        balancer: usize,
        how: Process,
    },
    Fault {
        number: usize,
        begins: bool,
        what: String,
    },
    /// A link's state has been changed by a fault.
    LinkFault {
        a: Party,
        b: Party,
        begins: bool,
    },
    Load {
        times: f64,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Process {
    Started,
    Ready,
    /// It did not get ready in time.
    NeverReady,
    Killed,
    /// Asked to end.
    Asked,
    /// It has ended; whether by itself, with what code, with nobody having asked.
    Ended(Option<i32>),
    Stopped,
    GoesOn,
}

pub type Entry = (Nanos, Event);

#[derive(Clone)]
pub struct Log {
    began: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
    lost: Arc<AtomicU64>,
}

impl Default for Log {
    fn default() -> Log {
        Log { began: Instant::now(), entries: Arc::default(), lost: Arc::default() }
    }
}

impl Log {
    /// The time on the log's clock.
    pub fn now(&self) -> Nanos {
        self.at(Instant::now())
    }

    pub fn at(&self, instant: Instant) -> Nanos {
        START + instant.saturating_duration_since(self.began).as_nanos() as Nanos
    }

    pub fn instant(&self, at: Nanos) -> Instant {
        self.began + Duration::from_nanos(at.saturating_sub(START))
    }

    pub fn note(&self, event: Event) {
        let mut entries = held(&self.entries);
        if entries.len() >= MOST {
            self.lost.fetch_add(1, Ordering::Relaxed);
            return;
        }
        // Stamped within the lock: the log is in order.
        let now = self.now();
        entries.push((now, event));
    }

    /// All of it; the log is empty then. And how many events it could not hold.
    pub fn take(&self) -> (Vec<Entry>, u64) {
        (std::mem::take(&mut *held(&self.entries)), self.lost.load(Ordering::Relaxed))
    }
}

/// A lock that outlives a panic of whoever held it.
pub fn held<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(PoisonError::into_inner)
}
