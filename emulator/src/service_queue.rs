//! Queue model of a server: parallel slots, a bounded queue, and changes of speed by slow start, by degradation after
//! sustained overload and by pauses. The caller schedules the job ends that the queue returns.
//!
//! The speed of a job is fixed when it starts. A running job keeps its speed when that of the server changes; jobs are
//! much shorter than those changes, so the difference is negligible.

use std::collections::{BTreeMap, VecDeque};

use serde::Deserialize;

use crate::Nanos;
use crate::scenario::deserialize_duration;

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueConfig {
    /// Jobs that run in parallel.
    pub slots: usize,
    /// Jobs that may wait; further ones are rejected.
    #[serde(rename = "room")]
    pub queue_capacity: usize,
    #[serde(rename = "cold", default)]
    pub slow_start: Option<SlowStart>,
    #[serde(rename = "fatigue", default)]
    pub degradation: Option<OverloadDegradation>,
}

/// Slow start: the speed grows linearly from `initial_speed`, a fraction of full speed, to full speed.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowStart {
    #[serde(rename = "share")]
    pub initial_speed: f64,
    #[serde(rename = "lasts", deserialize_with = "deserialize_duration")]
    pub duration: Nanos,
}

/// Degradation: after sustained overload a server runs at `speed`, a fraction of full speed, until it has been idle for
/// `recovery_idle_time`.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverloadDegradation {
    /// Queue length from which the server counts as overloaded.
    #[serde(rename = "waiting")]
    pub min_waiting: usize,
    #[serde(rename = "after", deserialize_with = "deserialize_duration")]
    pub onset: Nanos,
    #[serde(rename = "share")]
    pub speed: f64,
    #[serde(rename = "rest", deserialize_with = "deserialize_duration")]
    pub recovery_idle_time: Nanos,
}

/// Result of submitting a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Started { ends_at: Nanos },
    Queued,
    Rejected,
}

pub struct ServiceQueue {
    config: QueueConfig,
    started: Nanos,
    /// Running jobs with their end times.
    working: BTreeMap<u64, Nanos>,
    waiting: VecDeque<(u64, Nanos)>,
    /// No job starts before this time.
    paused_until: Nanos,
    overloaded_since: Option<Nanos>,
    is_degraded: bool,
    idle_since: Option<Nanos>,
}

impl ServiceQueue {
    pub fn new(config: QueueConfig, started: Nanos) -> ServiceQueue {
        ServiceQueue {
            config,
            started,
            working: BTreeMap::new(),
            waiting: VecDeque::new(),
            paused_until: 0,
            overloaded_since: None,
            is_degraded: false,
            idle_since: Some(started),
        }
    }

    /// Submits a job; `work` is its duration at full speed. The job id must not be in use in this queue.
    pub fn submit(&mut self, now: Nanos, job: u64, work: Nanos) -> Admission {
        self.update_state(now);
        if self.working.len() < self.config.slots && self.waiting.is_empty() && now >= self.paused_until {
            return Admission::Started { ends_at: self.start_job(now, job, work) };
        }
        if self.waiting.len() >= self.config.queue_capacity {
            return Admission::Rejected;
        }
        self.waiting.push_back((job, work));
        self.update_state(now);
        Admission::Queued
    }

    /// Ends a running job. Returns the jobs that start in its place with their end times.
    pub fn finish_job(&mut self, now: Nanos, job: u64) -> Vec<(u64, Nanos)> {
        self.working.remove(&job);
        self.start_waiting_jobs(now)
    }

    /// Removes a waiting or running job. Returns whether it existed and the jobs that start in its place.
    pub fn cancel_job(&mut self, now: Nanos, job: u64) -> (bool, Vec<(u64, Nanos)>) {
        let waited = self.waiting.iter().position(|(waiting, _)| *waiting == job);
        let was = match waited {
            Some(at) => self.waiting.remove(at).is_some(),
            None => self.working.remove(&job).is_some(),
        };
        (was, self.start_waiting_jobs(now))
    }

    /// Pauses the server until a time: no job starts, and running jobs end later by the length of the pause. Returns the
    /// running jobs with their new end times.
    pub fn pause(&mut self, now: Nanos, until: Nanos) -> Vec<(u64, Nanos)> {
        let from = now.max(self.paused_until);
        let more = until.saturating_sub(from);
        self.paused_until = self.paused_until.max(until);
        self.working.values_mut().for_each(|ends| *ends += more);
        self.working.iter().map(|(job, ends)| (*job, *ends)).collect()
    }

    /// Starts waiting jobs on free slots. Must be called when a pause ends.
    pub fn start_waiting_jobs(&mut self, now: Nanos) -> Vec<(u64, Nanos)> {
        self.update_state(now);
        let mut started = Vec::new();
        while now >= self.paused_until && self.working.len() < self.config.slots {
            let Some((job, work)) = self.waiting.pop_front() else { break };
            started.push((job, self.start_job(now, job, work)));
        }
        self.update_state(now);
        started
    }

    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    pub fn running_count(&self) -> usize {
        self.working.len()
    }

    /// Speed of a job that starts now, as a fraction of full speed.
    pub fn speed_at(&self, now: Nanos) -> f64 {
        let warm_up = match self.config.slow_start {
            Some(SlowStart { initial_speed: share, duration: lasts }) if now < self.started + lasts => {
                share + (1.0 - share) * now.saturating_sub(self.started) as f64 / lasts as f64
            }
            _ => 1.0,
        };
        let degraded =
            self.config.degradation.filter(|_| self.is_degraded).map_or(1.0, |degradation| degradation.speed);
        (warm_up * degraded).max(1e-6)
    }

    fn start_job(&mut self, now: Nanos, job: u64, work: Nanos) -> Nanos {
        let ends = now + (work as f64 / self.speed_at(now)).ceil() as Nanos;
        self.working.insert(job, ends);
        self.idle_since = None;
        ends
    }

    /// Updates overload and idle times, and with them the degradation.
    fn update_state(&mut self, now: Nanos) {
        let idle = self.working.is_empty() && self.waiting.is_empty();
        self.idle_since = if idle { self.idle_since.or(Some(now)) } else { None };
        let Some(degradation) = self.config.degradation else { return };
        if self.idle_since.is_some_and(|since| now - since >= degradation.recovery_idle_time) {
            self.is_degraded = false;
        }
        let overloaded = self.waiting.len() >= degradation.min_waiting;
        self.overloaded_since = if overloaded { self.overloaded_since.or(Some(now)) } else { None };
        if self.overloaded_since.is_some_and(|since| now - since >= degradation.onset) {
            self.is_degraded = true;
        }
    }
}
