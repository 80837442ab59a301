//! The one clock: whole nanoseconds that only move forward, placed so that Unix times read on the same scale.
//! It must never follow a step of the system's clock after the start.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ochreshed::Nanos;

#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Nanos,
}

impl Clock {
    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::from_secs(1 << 30));
        Clock { start: Instant::now(), unix: unix.as_nanos() as Nanos }
    }

    pub fn now(&self) -> Nanos {
        self.unix + self.start.elapsed().as_nanos() as Nanos
    }

    /// How long ago this clock was started.
    pub fn age(&self) -> Duration {
        self.start.elapsed()
    }

    /// When that time is for the runtime's timers; far ones are cut to a day, which asks again too early.
    pub fn instant(&self, at: Nanos) -> tokio::time::Instant {
        let most = Duration::from_secs(86_400) + self.start.elapsed();
        (self.start + Duration::from_nanos(at.saturating_sub(self.unix)).min(most)).into()
    }
}
