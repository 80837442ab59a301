//! The time from a process's start to its full service. It owns when that is looked for and the figure; what full service
//! is, each role says. It must never cost a process that does not come to it more than a look a second.

use std::sync::OnceLock;
use std::time::Duration;

use tokio::time::sleep;

use crate::clock::Clock;

/// In ms, once it has come to that.
pub type Full = OnceLock<u32>;

/// The figure is as exact as this part of it, and so much.
const PART: u32 = 20;
const LEAST: Duration = Duration::from_millis(5);
const MOST: Duration = Duration::from_secs(1);

/// Waits until it is full, and gives the ms since the clock's start, which is the process's.
pub async fn within(clock: &Clock, full: &Full, is: impl Fn() -> bool) -> u32 {
    loop {
        if is() {
            let ms = clock.age().as_millis().min(u128::from(u32::MAX)) as u32;
            return *full.get_or_init(|| ms);
        }
        sleep((clock.age() / PART).clamp(LEAST, MOST)).await;
    }
}
