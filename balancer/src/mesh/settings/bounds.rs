//! The operating bounds of the deployment ([`OperatingBounds`]), which the settings file sets by name.
//!
//! Invariants: each duration is shorter than a year, so that it can be added to any moment; the retry window is above
//! zero, because rates are divided by it.

use std::time::Duration;

use thiserror::Error;

/// The largest number that a field may have. A size of this many megabytes still fits into 64 bits as bytes.
pub(super) const MAX_NUMBER: f64 = 1e12;
/// The longest duration, in seconds.
pub(super) const MAX_DURATION_SECONDS: f64 = 366.0 * 86_400.0;
const MILLIS_PER_SECOND: f64 = 1000.0;
const RETRY_WINDOW_NAME: &str = "retry_window_s";

/// The operating bounds of the deployment. The defaults are those of the operators' example files.
///
/// This program uses only `drain_timeout`, `shutdown_grace`, the `retry_*` fields and `idempotency_window`. The other
/// bounds apply to the deployment and not to this process: they are validated and stored under their names in the file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OperatingBounds {
    pub seed_lag: Duration,
    pub reuse_after: Duration,
    pub touch: Duration,
    pub receipt: Duration,
    pub catch_up: Duration,
    /// How long a draining upstream may take to finish its requests.
    pub drain_timeout: Duration,
    /// How long a process may take to stop after SIGTERM.
    pub shutdown_grace: Duration,
    pub lost: Duration,
    pub timetable: Duration,
    pub back: Duration,
    pub stretch: Duration,
    /// Retries allowed per first attempt in the retry window.
    pub retry_ratio: f64,
    /// The window over which attempts and retries are counted.
    pub retry_window: Duration,
    /// Retries allowed in the retry window in addition to the ratio.
    pub retry_slack: f64,
    /// The time during which requests with the same idempotency key run at most once.
    pub idempotency_window: Duration,
    pub recover: Duration,
}

impl Default for OperatingBounds {
    fn default() -> OperatingBounds {
        OperatingBounds {
            seed_lag: Duration::from_secs(3),
            reuse_after: Duration::from_secs(2),
            touch: Duration::from_millis(3000),
            receipt: Duration::from_millis(4000),
            catch_up: Duration::from_secs(4),
            drain_timeout: Duration::from_millis(2000),
            shutdown_grace: Duration::from_secs(6),
            lost: Duration::from_millis(200),
            timetable: Duration::from_millis(2000),
            back: Duration::from_millis(250),
            stretch: Duration::from_millis(5000),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_slack: 60.0,
            idempotency_window: Duration::from_secs(60),
            recover: Duration::from_secs(15),
        }
    }
}

/// Why the value of a bound is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum BoundError {
    #[error("wants a number, zero or above")]
    NotANumber,
    #[error("wants a time of less than a year")]
    TooLong,
    #[error("wants a time above zero")]
    Zero,
    #[error("wants a time")]
    NotADuration,
}

/// A bound, by the unit that the file states it in.
enum BoundField<'a> {
    Seconds(&'a mut Duration),
    Milliseconds(&'a mut Duration),
    Number(&'a mut f64),
}

impl OperatingBounds {
    /// Whether there is a bound with this name in the file.
    pub(super) fn is_known(name: &str) -> bool {
        OperatingBounds::default().field_mut(name).is_some()
    }

    /// Sets the bound with this name in the file. Unknown names are ignored.
    pub(super) fn set(&mut self, name: &str, value: &str) -> Result<(), BoundError> {
        let Some(field) = self.field_mut(name) else { return Ok(()) };
        let number = parse_number(value)?;
        match field {
            BoundField::Number(target) => *target = number,
            BoundField::Seconds(target) => *target = parse_duration(name, number)?,
            BoundField::Milliseconds(target) => *target = parse_duration(name, number / MILLIS_PER_SECOND)?,
        }
        Ok(())
    }

    fn field_mut(&mut self, name: &str) -> Option<BoundField<'_>> {
        Some(match name {
            "seed_lag_s" => BoundField::Seconds(&mut self.seed_lag),
            "reuse_after_s" => BoundField::Seconds(&mut self.reuse_after),
            "touch_ms" => BoundField::Milliseconds(&mut self.touch),
            "receipt_ms" => BoundField::Milliseconds(&mut self.receipt),
            "catch_up_s" => BoundField::Seconds(&mut self.catch_up),
            "drain_ms" => BoundField::Milliseconds(&mut self.drain_timeout),
            "grace_s" => BoundField::Seconds(&mut self.shutdown_grace),
            "lost_ms" => BoundField::Milliseconds(&mut self.lost),
            "timetable_ms" => BoundField::Milliseconds(&mut self.timetable),
            "back_ms" => BoundField::Milliseconds(&mut self.back),
            "stretch_ms" => BoundField::Milliseconds(&mut self.stretch),
            "retry_ratio" => BoundField::Number(&mut self.retry_ratio),
            RETRY_WINDOW_NAME => BoundField::Seconds(&mut self.retry_window),
            "retry_slack" => BoundField::Number(&mut self.retry_slack),
            "stamp_window_s" => BoundField::Seconds(&mut self.idempotency_window),
            "recover_s" => BoundField::Seconds(&mut self.recover),
            _ => return None,
        })
    }
}

fn parse_number(value: &str) -> Result<f64, BoundError> {
    let number = value.parse::<f64>().map_err(|_| BoundError::NotANumber)?;
    if (0.0..=MAX_NUMBER).contains(&number) { Ok(number) } else { Err(BoundError::NotANumber) }
}

fn parse_duration(name: &str, seconds: f64) -> Result<Duration, BoundError> {
    if seconds > MAX_DURATION_SECONDS {
        return Err(BoundError::TooLong);
    }
    if seconds == 0.0 && name == RETRY_WINDOW_NAME {
        return Err(BoundError::Zero);
    }
    Duration::try_from_secs_f64(seconds).map_err(|_| BoundError::NotADuration)
}
