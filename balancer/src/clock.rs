//! The process clock: monotonic nanoseconds on the scale of Unix time. Steps of the system clock after the
//! start do not affect it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ochreshed::Nanos;

#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_start: Nanos,
}

impl Clock {
    pub fn new() -> Clock {
        let since_epoch =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::from_secs(1 << 30));
        Clock { start: Instant::now(), unix_start: since_epoch.as_nanos() as Nanos }
    }

    pub fn now(&self) -> Nanos {
        self.unix_start + self.start.elapsed().as_nanos() as Nanos
    }

    /// How long this clock has been running.
    pub fn uptime(&self) -> Duration {
        self.start.elapsed()
    }

    /// Converts a time for the runtime's timers. Times more than a day ahead are cut to a day; the caller
    /// then wakes early and asks again.
    pub fn instant(&self, at: Nanos) -> tokio::time::Instant {
        let max_offset = Duration::from_secs(86_400) + self.start.elapsed();
        (self.start + Duration::from_nanos(at.saturating_sub(self.unix_start)).min(max_offset)).into()
    }
}
