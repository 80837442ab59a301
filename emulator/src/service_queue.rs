//! A srv as a queue: slots that work side by side, room for so many that wait, and what makes its speed change: a cold
//! start, fatigue after it was held crowded, a pause. It owns the jobs it was given until they end or are taken back,
//! and must never know what a job is or who sent it. Whoever drives it brings about the ends that it names.
//!
//! Speed is settled when a job starts. A job that is under way when a srv tires or warms keeps its speed; with jobs much
//! shorter than those changes that makes no difference that could be seen.

use std::collections::{BTreeMap, VecDeque};

use serde::Deserialize;

use crate::Nanos;
use crate::scenario::deserialize_duration;

/// What a srv is made of.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueConfig {
    /// Jobs that are worked on at once.
    pub slots: usize,
    /// Jobs that may wait; one more is refused.
    #[serde(rename = "room")]
    pub queue_capacity: usize,
    #[serde(rename = "cold", default)]
    pub slow_start: Option<SlowStart>,
    #[serde(rename = "fatigue", default)]
    pub degradation: Option<OverloadDegradation>,
}

/// A cold srv works at a share of its speed, which grows evenly to the whole.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowStart {
    #[serde(rename = "share")]
    pub initial_speed: f64,
    #[serde(rename = "lasts", deserialize_with = "deserialize_duration")]
    pub duration: Nanos,
}

/// A srv held crowded for long enough works at a share of its speed, until it has had nothing to do for a while.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverloadDegradation {
    /// Crowded: at least so many wait.
    #[serde(rename = "waiting")]
    pub min_waiting: usize,
    #[serde(rename = "after", deserialize_with = "deserialize_duration")]
    pub onset: Nanos,
    #[serde(rename = "share")]
    pub speed: f64,
    #[serde(rename = "rest", deserialize_with = "deserialize_duration")]
    pub recovery_idle_time: Nanos,
}

/// What became of a job that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is worked on and ends then.
    Started {
        ends_at: Nanos,
    },
    Queued,
    Rejected,
}

pub struct ServiceQueue {
    build: QueueConfig,
    started: Nanos,
    /// Jobs under way, with when they end.
    working: BTreeMap<u64, Nanos>,
    waiting: VecDeque<(u64, Nanos)>,
    /// Nothing starts before then.
    paused_until: Nanos,
    crowded_since: Option<Nanos>,
    tired: bool,
    idle_since: Option<Nanos>,
}

impl ServiceQueue {
    /// One whose process started then.
    pub fn new(build: QueueConfig, started: Nanos) -> ServiceQueue {
        ServiceQueue {
            build,
            started,
            working: BTreeMap::new(),
            waiting: VecDeque::new(),
            paused_until: 0,
            crowded_since: None,
            tired: false,
            idle_since: Some(started),
        }
    }

    /// Offers a job of so much work, the time it takes at full speed. Its number must not be in use here.
    pub fn submit(&mut self, now: Nanos, job: u64, work: Nanos) -> Admission {
        self.update_state(now);
        if self.working.len() < self.build.slots && self.waiting.is_empty() && now >= self.paused_until {
            return Admission::Started { ends_at: self.start_job(now, job, work) };
        }
        if self.waiting.len() >= self.build.queue_capacity {
            return Admission::Rejected;
        }
        self.waiting.push_back((job, work));
        self.update_state(now);
        Admission::Queued
    }

    /// A job under way has ended; what starts in its place, with when that ends.
    pub fn finish_job(&mut self, now: Nanos, job: u64) -> Vec<(u64, Nanos)> {
        self.working.remove(&job);
        self.start_waiting_jobs(now)
    }

    /// Takes a job back, waiting or under way: whether it was there, and what starts in its place.
    pub fn cancel_job(&mut self, now: Nanos, job: u64) -> (bool, Vec<(u64, Nanos)>) {
        let waited = self.waiting.iter().position(|(waiting, _)| *waiting == job);
        let was = match waited {
            Some(at) => self.waiting.remove(at).is_some(),
            None => self.working.remove(&job).is_some(),
        };
        (was, self.start_waiting_jobs(now))
    }

    /// Stands still until then: nothing starts, and what is under way ends so much later than it would have. Answers
    /// with the jobs under way and their new ends.
    pub fn pause(&mut self, now: Nanos, until: Nanos) -> Vec<(u64, Nanos)> {
        let from = now.max(self.paused_until);
        let more = until.saturating_sub(from);
        self.paused_until = self.paused_until.max(until);
        self.working.values_mut().for_each(|ends| *ends += more);
        self.working.iter().map(|(job, ends)| (*job, *ends)).collect()
    }

    /// Starts what can be started: to be called when a pause is over.
    pub fn start_waiting_jobs(&mut self, now: Nanos) -> Vec<(u64, Nanos)> {
        self.update_state(now);
        let mut started = Vec::new();
        while now >= self.paused_until && self.working.len() < self.build.slots {
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

    /// The part of its full speed that a job starting now works at.
    pub fn speed_at(&self, now: Nanos) -> f64 {
        let warm = match self.build.slow_start {
            Some(SlowStart { initial_speed: share, duration: lasts }) if now < self.started + lasts => {
                share + (1.0 - share) * now.saturating_sub(self.started) as f64 / lasts as f64
            }
            _ => 1.0,
        };
        let rested = self.build.degradation.filter(|_| self.tired).map_or(1.0, |fatigue| fatigue.speed);
        (warm * rested).max(1e-6)
    }

    fn start_job(&mut self, now: Nanos, job: u64, work: Nanos) -> Nanos {
        let ends = now + (work as f64 / self.speed_at(now)).ceil() as Nanos;
        self.working.insert(job, ends);
        self.idle_since = None;
        ends
    }

    /// Sees whether it is crowded or idle, and has been for long enough to tire or to recover.
    fn update_state(&mut self, now: Nanos) {
        let idle = self.working.is_empty() && self.waiting.is_empty();
        self.idle_since = if idle { self.idle_since.or(Some(now)) } else { None };
        let Some(fatigue) = self.build.degradation else { return };
        if self.idle_since.is_some_and(|since| now - since >= fatigue.recovery_idle_time) {
            self.tired = false;
        }
        let crowded = self.waiting.len() >= fatigue.min_waiting;
        self.crowded_since = if crowded { self.crowded_since.or(Some(now)) } else { None };
        if self.crowded_since.is_some_and(|since| now - since >= fatigue.onset) {
            self.tired = true;
        }
    }
}
