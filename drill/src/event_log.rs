//! One event log with one clock for everything that clients, relays, servers and the runner observe; the auditor and the
//! metrics use nothing else. Events are stored in order, up to a limit; those beyond it are counted.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ochreshed_emulator::{Nanos, S};

use crate::party::Party;

/// Ten events per request for ten minutes at a thousand requests per second.
const MAX_EVENTS: usize = 6_000_000;
/// The clock starts here, so that servers that started at 0 are long past slow start.
const CLOCK_START: Nanos = 1_000 * S;

/// How an attempt of a call ended for the client.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    Succeeded,
    /// Denied: safe to retry.
    Denied,
    Aborted,
    /// The connection ended without a complete response.
    ConnectionLost,
    /// The connection was refused or never established, so that no request was taken.
    NotConnected,
    /// The client waited for longer than its timeout.
    TimedOut,
}

impl AttemptOutcome {
    /// The name in traces.
    pub fn label(&self) -> &'static str {
        match self {
            AttemptOutcome::Succeeded => "Done",
            AttemptOutcome::Denied => "Denied",
            AttemptOutcome::Aborted => "Aborted",
            AttemptOutcome::ConnectionLost => "Broken",
            AttemptOutcome::NotConnected => "NotTaken",
            AttemptOutcome::TimedOut => "Nothing",
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client has written the last byte of a request. `id` is the attempt's; `call` is the same for all its attempts.
    RequestSent {
        id: u64,
        call: u64,
        rule_set: usize,
        balancer: usize,
        is_retry: bool,
        budget: Nanos,
        /// When the call's first attempt was scheduled.
        intended_at: Nanos,
    },
    AttemptEnded {
        id: u64,
        outcome: AttemptOutcome,
    },
    /// The head of a request from a balancer has reached the relay. Connection numbers are unique within the process.
    DispatchSent {
        id: u64,
        balancer: usize,
        server: usize,
        connection: u64,
        first_byte_at: Nanos,
    },
    /// The request's last byte has reached the relay.
    DispatchWritten {
        connection: u64,
    },
    /// A response has been relayed to the balancer. `rejected`: the server did not accept the request.
    DispatchAnswered {
        connection: u64,
        status: u16,
        rejected: bool,
    },
    /// The balancer has closed the connection, or its sending side.
    ConnectionClosed {
        connection: u64,
    },
    ConnectionOpened {
        from: Party,
        to: Party,
    },
    /// A request's last byte has reached a server. `work` is in seconds, `capacity` in seconds of work per second.
    RequestReceived {
        id: u64,
        server: usize,
        work: f64,
        capacity: f64,
        slow_start: bool,
    },
    /// A server starts to execute a request, which has its effect now.
    ExecutionStarted {
        id: u64,
        server: usize,
    },
    /// A balancer has received a list: by server, the start time of those that are up and not draining.
    ListDelivered {
        balancer: usize,
        serving_since: Arc<Vec<Option<u64>>>,
    },
    /// A server has restarted; its start time as in discovery's list.
    ServerRestarted {
        server: usize,
        started_ms: u64,
    },
    DiscoveryCalled {
        balancer: usize,
        watch: bool,
    },
    Process {
        balancer: usize,
        change: ProcessChange,
    },
    Fault {
        index: usize,
        begins: bool,
        name: String,
    },
    /// A fault has changed a link's state.
    LinkFault {
        a: Party,
        b: Party,
        begins: bool,
    },
    /// The arrival rate is now the configured one times this factor.
    Load {
        factor: f64,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum ProcessChange {
    Started,
    Ready,
    /// Not ready in time.
    NeverReady,
    Killed,
    /// Sent a request to terminate.
    TerminationRequested,
    /// Ended with this exit code, or by a signal.
    Exited(Option<i32>),
    Suspended,
    Resumed,
}

impl ProcessChange {
    /// The text in traces.
    pub fn label(&self) -> String {
        match self {
            ProcessChange::Started => "Started".into(),
            ProcessChange::Ready => "Ready".into(),
            ProcessChange::NeverReady => "NeverReady".into(),
            ProcessChange::Killed => "Killed".into(),
            ProcessChange::TerminationRequested => "Asked".into(),
            ProcessChange::Exited(code) => format!("Ended({code:?})"),
            ProcessChange::Suspended => "Stopped".into(),
            ProcessChange::Resumed => "GoesOn".into(),
        }
    }
}

/// An event with its time on the log's clock.
pub type Entry = (Nanos, Event);

#[derive(Clone)]
pub struct EventLog {
    created_at: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
    events_lost: Arc<AtomicU64>,
}

impl Default for EventLog {
    fn default() -> EventLog {
        EventLog { created_at: Instant::now(), entries: Arc::default(), events_lost: Arc::default() }
    }
}

impl EventLog {
    /// The time on the log's clock.
    pub fn now(&self) -> Nanos {
        self.time_of(Instant::now())
    }

    pub fn time_of(&self, instant: Instant) -> Nanos {
        CLOCK_START + instant.saturating_duration_since(self.created_at).as_nanos() as Nanos
    }

    pub fn instant_of(&self, time: Nanos) -> Instant {
        self.created_at + Duration::from_nanos(time.saturating_sub(CLOCK_START))
    }

    pub fn record(&self, event: Event) {
        let mut entries = lock(&self.entries);
        if entries.len() >= MAX_EVENTS {
            self.events_lost.fetch_add(1, Ordering::Relaxed);
            return;
        }
        // Timestamped under the lock, so that the log is in order.
        let now = self.now();
        entries.push((now, event));
    }

    /// Removes and returns all entries, with the number of events beyond the limit.
    pub fn take(&self) -> (Vec<Entry>, u64) {
        (std::mem::take(&mut *lock(&self.entries)), self.events_lost.load(Ordering::Relaxed))
    }
}

/// Locks a mutex, also after a panic in a thread that held it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
