//! Measures how long updates take to reach all attendants. Only attendants that run when an update starts are waited for,
//! and only until they end.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::Nanos;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum UpdateKind {
    Drain,
    #[serde(rename = "Dead")]
    Failure,
    Configuration,
}

struct OpenUpdate {
    started_at: Nanos,
    version: (u64, u64),
    remaining: BTreeSet<usize>,
}

#[derive(Default)]
pub struct PropagationTracker {
    open: BTreeMap<(UpdateKind, usize), Vec<OpenUpdate>>,
    /// Seconds until all attendants knew.
    pub delays_s: BTreeMap<UpdateKind, Vec<f64>>,
    /// Failed attendants that returned before all had learned of the failure.
    pub returned: usize,
}

impl PropagationTracker {
    /// Starts the measurement.
    pub fn clear(&mut self) {
        *self = PropagationTracker::default();
    }

    pub fn start_update(
        &mut self,
        now: Nanos,
        kind: UpdateKind,
        about: usize,
        version: (u64, u64),
        remaining: Vec<usize>,
    ) {
        if !remaining.is_empty() {
            let open = OpenUpdate { started_at: now, version, remaining: remaining.into_iter().collect() };
            self.open.entry((kind, about)).or_default().push(open);
        }
    }

    /// An attendant knows this version.
    pub fn record_known(
        &mut self,
        now: Nanos,
        kind: UpdateKind,
        about: usize,
        attendant: usize,
        version: (u64, u64),
    ) {
        let Some(open) = self.open.get_mut(&(kind, about)) else { return };
        open.iter_mut().filter(|open| open.version <= version).for_each(|open| {
            open.remaining.remove(&attendant);
        });
        self.close_finished(now, (kind, about));
    }

    /// The suspects of an attendant may have changed.
    pub fn record_suspects(&mut self, now: Nanos, attendant: usize, suspects: impl Fn(usize) -> bool) {
        let dead: Vec<usize> = self
            .open
            .keys()
            .filter(|(kind, _)| *kind == UpdateKind::Failure)
            .map(|(_, about)| *about)
            .collect();
        for about in dead.into_iter().filter(|about| suspects(*about)) {
            self.record_known(now, UpdateKind::Failure, about, attendant, (0, 0));
        }
    }

    /// An attendant ended.
    pub fn remove_attendant(&mut self, now: Nanos, attendant: usize) {
        let keys: Vec<(UpdateKind, usize)> = self.open.keys().copied().collect();
        for key in keys {
            if let Some(open) = self.open.get_mut(&key) {
                open.iter_mut().for_each(|open| {
                    open.remaining.remove(&attendant);
                });
            }
            self.close_finished(now, key);
        }
    }

    /// An attendant is back; its failure no longer has to be detected.
    pub fn record_return(&mut self, attendant: usize) {
        self.returned += self.open.remove(&(UpdateKind::Failure, attendant)).map_or(0, |open| open.len());
    }

    fn close_finished(&mut self, now: Nanos, key: (UpdateKind, usize)) {
        let Some(open) = self.open.get_mut(&key) else { return };
        let done = self.delays_s.entry(key.0).or_default();
        open.retain(|open| {
            if open.remaining.is_empty() {
                done.push((now - open.started_at) as f64 / 1e9);
            }
            !open.remaining.is_empty()
        });
        if open.is_empty() {
            self.open.remove(&key);
        }
    }

    /// Updates that have not reached all attendants.
    pub fn unfinished(&self, kind: UpdateKind) -> usize {
        self.open.iter().filter(|((of, _), _)| *of == kind).map(|(_, open)| open.len()).sum()
    }
}
