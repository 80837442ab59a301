//! Counts of failed exchanges of one hop, by cause, for logs and metrics.
//!
//! Main types: [`ExchangeFailure`], [`ExchangeFailureCounts`].
//!
//! Invariants: an exchange is counted at most once; counts never decrease. Not counted are exchanges that got no connection
//! because of the connection limit or their deadline, since nothing was sent.

use std::fmt;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use crate::connection::lock;

/// Why an exchange failed, with what was seen of the response until then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// No connection was established.
    Connect,
    /// The connection ended before any byte of a response.
    LostBeforeResponse,
    /// The connection ended within a response, or the response is malformed or too large.
    LostInResponse,
    /// A part of the response had arrived, and its reader gave up waiting for more.
    Stalled,
    /// The response belongs to another request.
    Mismatched,
    /// The deadline passed before any byte of a response.
    DeadlineBeforeResponse,
    /// The deadline passed within a response.
    DeadlineInResponse,
}

impl ExchangeFailure {
    /// All causes, in the order in which they are logged and exported.
    pub const ALL: [ExchangeFailure; 7] = [
        ExchangeFailure::Connect,
        ExchangeFailure::LostBeforeResponse,
        ExchangeFailure::LostInResponse,
        ExchangeFailure::Stalled,
        ExchangeFailure::Mismatched,
        ExchangeFailure::DeadlineBeforeResponse,
        ExchangeFailure::DeadlineInResponse,
    ];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ExchangeFailure::Connect => "connect",
            ExchangeFailure::LostBeforeResponse => "lost_before_response",
            ExchangeFailure::LostInResponse => "lost_in_response",
            ExchangeFailure::Stalled => "stalled",
            ExchangeFailure::Mismatched => "mismatched",
            ExchangeFailure::DeadlineBeforeResponse => "deadline_before_response",
            ExchangeFailure::DeadlineInResponse => "deadline_in_response",
        }
    }
}

/// Failed exchanges since the process started.
#[derive(Debug, Default)]
pub struct ExchangeFailureCounts {
    counts: [AtomicU64; ExchangeFailure::ALL.len()],
    /// The counts as of the last [`ExchangeFailureCounts::take_increase`].
    reported: Mutex<[u64; ExchangeFailure::ALL.len()]>,
}

impl ExchangeFailureCounts {
    /// Counts one failed exchange.
    pub fn record(&self, failure: ExchangeFailure) {
        self.counts[failure as usize].fetch_add(1, Relaxed);
    }

    /// How many exchanges have failed for this cause.
    pub fn count(&self, failure: ExchangeFailure) -> u64 {
        self.counts[failure as usize].load(Relaxed)
    }

    /// The failures since the previous call; `None` if there were none.
    pub fn take_increase(&self) -> Option<ExchangeFailureIncrease> {
        let mut reported = lock(&self.reported);
        let current = ExchangeFailure::ALL.map(|failure| self.count(failure));
        let increase = ExchangeFailure::ALL
            .map(|failure| current[failure as usize].saturating_sub(reported[failure as usize]));
        *reported = current;
        increase.iter().any(|count| *count > 0).then_some(ExchangeFailureIncrease(increase))
    }
}

/// The failures of an interval. Formatted as `name=count` for each cause that occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeFailureIncrease([u64; ExchangeFailure::ALL.len()]);

impl fmt::Display for ExchangeFailureIncrease {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let occurred = ExchangeFailure::ALL.iter().filter(|failure| self.0[**failure as usize] > 0);
        for (index, failure) in occurred.enumerate() {
            let separator = if index == 0 { "" } else { " " };
            write!(f, "{separator}{}={}", failure.name(), self.0[*failure as usize])?;
        }
        Ok(())
    }
}
