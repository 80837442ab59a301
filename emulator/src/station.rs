//! A srv as a queue: slots that work side by side, room for so many that wait, and what makes its speed change: a cold
//! start, fatigue after it was held crowded, a pause. It owns the jobs it was given until they end or are taken back,
//! and must never know what a job is or who sent it. Whoever drives it brings about the ends that it names.
//!
//! Speed is settled when a job starts. A job that is under way when a srv tires or warms keeps its speed; with jobs much
//! shorter than those changes that makes no difference that could be seen.

use std::collections::{BTreeMap, VecDeque};

use serde::Deserialize;

use crate::Nanos;
use crate::scenario::span;

/// What a srv is made of.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Build {
    /// Jobs that are worked on at once.
    pub slots: usize,
    /// Jobs that may wait; one more is refused.
    pub room: usize,
    #[serde(default)]
    pub cold: Option<Cold>,
    #[serde(default)]
    pub fatigue: Option<Fatigue>,
}

/// A cold srv works at a share of its speed, which grows evenly to the whole.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    pub share: f64,
    #[serde(deserialize_with = "span")]
    pub lasts: Nanos,
}

/// A srv held crowded for long enough works at a share of its speed, until it has had nothing to do for a while.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fatigue {
    /// Crowded: at least so many wait.
    pub waiting: usize,
    #[serde(deserialize_with = "span")]
    pub after: Nanos,
    pub share: f64,
    #[serde(deserialize_with = "span")]
    pub rest: Nanos,
}

/// What became of a job that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is worked on and ends then.
    Starts {
        ends: Nanos,
    },
    Waits,
    Full,
}

pub struct Station {
    build: Build,
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

impl Station {
    /// One whose process started then.
    pub fn new(build: Build, started: Nanos) -> Station {
        Station {
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
    pub fn offer(&mut self, now: Nanos, job: u64, work: Nanos) -> Offer {
        self.look(now);
        if self.working.len() < self.build.slots && self.waiting.is_empty() && now >= self.paused_until {
            return Offer::Starts { ends: self.start(now, job, work) };
        }
        if self.waiting.len() >= self.build.room {
            return Offer::Full;
        }
        self.waiting.push_back((job, work));
        self.look(now);
        Offer::Waits
    }

    /// A job under way has ended; what starts in its place, with when that ends.
    pub fn ended(&mut self, now: Nanos, job: u64) -> Vec<(u64, Nanos)> {
        self.working.remove(&job);
        self.fill(now)
    }

    /// Takes a job back, waiting or under way: whether it was there, and what starts in its place.
    pub fn take_back(&mut self, now: Nanos, job: u64) -> (bool, Vec<(u64, Nanos)>) {
        let waited = self.waiting.iter().position(|(waiting, _)| *waiting == job);
        let was = match waited {
            Some(at) => self.waiting.remove(at).is_some(),
            None => self.working.remove(&job).is_some(),
        };
        (was, self.fill(now))
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
    pub fn fill(&mut self, now: Nanos) -> Vec<(u64, Nanos)> {
        self.look(now);
        let mut started = Vec::new();
        while now >= self.paused_until && self.working.len() < self.build.slots {
            let Some((job, work)) = self.waiting.pop_front() else { break };
            started.push((job, self.start(now, job, work)));
        }
        self.look(now);
        started
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn working(&self) -> usize {
        self.working.len()
    }

    /// The part of its full speed that a job starting now works at.
    pub fn speed(&self, now: Nanos) -> f64 {
        let warm = match self.build.cold {
            Some(Cold { share, lasts }) if now < self.started + lasts => {
                share + (1.0 - share) * now.saturating_sub(self.started) as f64 / lasts as f64
            }
            _ => 1.0,
        };
        let rested = self.build.fatigue.filter(|_| self.tired).map_or(1.0, |fatigue| fatigue.share);
        (warm * rested).max(1e-6)
    }

    fn start(&mut self, now: Nanos, job: u64, work: Nanos) -> Nanos {
        let ends = now + (work as f64 / self.speed(now)).ceil() as Nanos;
        self.working.insert(job, ends);
        self.idle_since = None;
        ends
    }

    /// Sees whether it is crowded or idle, and has been for long enough to tire or to recover.
    fn look(&mut self, now: Nanos) {
        let idle = self.working.is_empty() && self.waiting.is_empty();
        self.idle_since = if idle { self.idle_since.or(Some(now)) } else { None };
        let Some(fatigue) = self.build.fatigue else { return };
        if self.idle_since.is_some_and(|since| now - since >= fatigue.rest) {
            self.tired = false;
        }
        let crowded = self.waiting.len() >= fatigue.waiting;
        self.crowded_since = if crowded { self.crowded_since.or(Some(now)) } else { None };
        if self.crowded_since.is_some_and(|since| now - since >= fatigue.after) {
            self.tired = true;
        }
    }
}
