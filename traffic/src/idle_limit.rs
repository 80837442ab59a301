//! Adaptive limit on the idle time after which a connection to one address is not reused.
//!
//! Some servers drop idle connections without closing them: the next request on such a connection is reset, and the
//! proxy can't know whether it ran. Other servers lose responses regardless of the connection's idle time. After a loss
//! on an idle connection, [`IdleLimit`] lowers the limit for a short time, and for longer if the loss recurs. A loss on
//! a connection that was in use shows that idle time is not the cause, and restores the limit.
//!
//! Invariants: shortly after a loss on a connection in use, no loss is attributed to idle time; each lowered limit
//! expires.

use ochreshed_consensus::core::Nanos;

const MS: Nanos = 1_000_000;
/// A connection with a shorter idle time than this counts as in use.
const IN_USE_BELOW: Nanos = 50 * MS;
/// After a loss, the limit is the idle time of the lost connection divided by this.
const LIMIT_DIVISOR: Nanos = 4;
/// The minimum limit.
#[doc(hidden)]
pub const MIN_LIMIT: Nanos = 25 * MS;
/// How long a lowered limit lasts at first; it doubles with each recurrence.
#[doc(hidden)]
pub const BASE_DURATION: Nanos = 2_000 * MS;
/// A loss within this time of the end of the last lowered limit is a recurrence.
#[doc(hidden)]
pub const RECURRENCE_WINDOW: Nanos = 10_000 * MS;
/// The maximum number of doublings of the duration.
#[doc(hidden)]
pub const MAX_DOUBLINGS: u32 = 5;
/// For this long after a loss on a connection in use, no loss is attributed to idle time.
#[doc(hidden)]
pub const IDLE_UNRELATED_DURATION: Nanos = 3_000 * MS;

/// The limit on the idle time of connections to one address.
#[derive(Clone, Debug)]
pub struct IdleLimit {
    max_limit: Nanos,
    lowered_limit: Nanos,
    /// When the lowered limit expires; 0 if there was none.
    lowered_until: Nanos,
    doublings: u32,
    /// When a request was last lost on a connection that was in use.
    lost_in_use_at: Option<Nanos>,
}

impl IdleLimit {
    /// Creates a limit of `max_limit`, which is also its maximum.
    pub fn new(max_limit: Nanos) -> IdleLimit {
        IdleLimit {
            max_limit,
            lowered_limit: max_limit,
            lowered_until: 0,
            doublings: 0,
            lost_in_use_at: None,
        }
    }

    /// The current limit: a connection that has been idle for longer is not reused.
    #[must_use]
    pub fn limit(&self, now: Nanos) -> Nanos {
        if now < self.lowered_until { self.lowered_limit } else { self.max_limit }
    }

    /// Records that a request was lost without a response. `idle` is the idle time of its connection, `None` for a new
    /// connection. Returns whether the loss is attributed to idle time.
    pub fn record_loss(&mut self, now: Nanos, idle_time: Option<Nanos>) -> bool {
        let Some(idle_time) = idle_time.filter(|idle_time| *idle_time >= IN_USE_BELOW) else {
            self.lost_in_use_at = Some(now);
            self.lowered_until = 0;
            return false;
        };
        if self.lost_in_use_at.is_some_and(|lost_at| now < lost_at + IDLE_UNRELATED_DURATION) {
            return false;
        }
        let current_limit = self.limit(now);
        let is_recurrence = self.lowered_until > 0 && now < self.lowered_until + RECURRENCE_WINDOW;
        self.doublings = if is_recurrence { self.doublings + 1 } else { 0 };
        self.lowered_limit = (idle_time / LIMIT_DIVISOR).max(MIN_LIMIT).min(current_limit);
        self.lowered_until = now + BASE_DURATION * 2u64.pow(self.doublings.min(MAX_DOUBLINGS));
        true
    }
}
