//! For how long an idle connection to one address may carry another request.
//!
//! Some servers forget connections without a word: the next request there is reset, and whether it ran can't be known.
//! Others lose responses whatever the age of the connection. A loss on a connection that was idle makes [`IdleLimit`] give
//! up idle connections earlier for a short while, and for longer where that happens again. A loss on a connection that was
//! in use says that the age does not matter.
//!
//! Invariants: where requests are also lost on connections in use, no loss is taken for a forgotten connection; every
//! conclusion ends after its time.

use ochreshed_consensus::core::Nanos;

const MS: Nanos = 1_000_000;
/// A connection that was idle for less than this was in use.
const IN_USE_BELOW: Nanos = 50 * MS;
/// After a loss, the limit is this part of the time for which the connection was idle.
const LIMIT_DIVISOR: Nanos = 4;
/// The least limit.
#[doc(hidden)]
pub const MIN_LIMIT: Nanos = 25 * MS;
/// How long a lower limit lasts; it doubles with each loss that comes soon after.
#[doc(hidden)]
pub const BASE_DURATION: Nanos = 2_000 * MS;
/// A loss within this time of the end of the last lower limit doubles the duration.
#[doc(hidden)]
pub const RECURRENCE_WINDOW: Nanos = 10_000 * MS;
/// The most times that the duration doubles.
#[doc(hidden)]
pub const MAX_DOUBLINGS: u32 = 5;
/// For this long after a loss on a connection in use, the age of a connection is no reason for a loss.
#[doc(hidden)]
pub const AGE_IRRELEVANT_DURATION: Nanos = 3_000 * MS;

/// The limit on the idle time of connections to one address.
#[derive(Clone, Debug)]
pub struct IdleLimit {
    max_limit: Nanos,
    lowered_limit: Nanos,
    /// Until when the lower limit is in force; 0 where there was none.
    lowered_until: Nanos,
    doublings: u32,
    /// When a request was last lost on a connection that was in use.
    lost_in_use_at: Option<Nanos>,
}

impl IdleLimit {
    /// A limit that is never above `max_limit`.
    pub fn new(max_limit: Nanos) -> IdleLimit {
        IdleLimit {
            max_limit,
            lowered_limit: max_limit,
            lowered_until: 0,
            doublings: 0,
            lost_in_use_at: None,
        }
    }

    /// The limit now: a connection that has been idle for longer carries no other request.
    #[must_use]
    pub fn limit(&self, now: Nanos) -> Nanos {
        if now < self.lowered_until { self.lowered_limit } else { self.max_limit }
    }

    /// Notes that a request was lost without a word on a connection that had been idle for so long, or on a new one.
    /// Returns whether the server is taken to have forgotten the connection.
    pub fn record_loss(&mut self, now: Nanos, idle: Option<Nanos>) -> bool {
        let Some(idle) = idle.filter(|idle| *idle >= IN_USE_BELOW) else {
            self.lost_in_use_at = Some(now);
            self.lowered_until = 0;
            return false;
        };
        if self.lost_in_use_at.is_some_and(|lost_at| now < lost_at + AGE_IRRELEVANT_DURATION) {
            return false;
        }
        let current_limit = self.limit(now);
        let is_recurrence = self.lowered_until > 0 && now < self.lowered_until + RECURRENCE_WINDOW;
        self.doublings = if is_recurrence { self.doublings + 1 } else { 0 };
        self.lowered_limit = (idle / LIMIT_DIVISOR).max(MIN_LIMIT).min(current_limit);
        self.lowered_until = now + BASE_DURATION * 2u64.pow(self.doublings.min(MAX_DOUBLINGS));
        true
    }
}
