//! How long news take to all gates. It owns what each gate that was there when it began has not heard of yet. A gate
//! that ends is waited for no more; one that starts later never was.

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
    /// Seconds until all knew.
    pub delays_s: BTreeMap<UpdateKind, Vec<f64>>,
    /// The dead that were back before all knew.
    pub returned: usize,
}

impl PropagationTracker {
    /// What began before is not counted.
    pub fn clear(&mut self) {
        *self = PropagationTracker::default();
    }

    pub fn start_update(
        &mut self,
        now: Nanos,
        kind: UpdateKind,
        about: usize,
        rank: (u64, u64),
        left: Vec<usize>,
    ) {
        if !left.is_empty() {
            let open = OpenUpdate { started_at: now, version: rank, remaining: left.into_iter().collect() };
            self.open.entry((kind, about)).or_default().push(open);
        }
    }

    /// A gate knows something of this rank.
    pub fn record_known(
        &mut self,
        now: Nanos,
        kind: UpdateKind,
        about: usize,
        gate: usize,
        rank: (u64, u64),
    ) {
        let Some(open) = self.open.get_mut(&(kind, about)) else { return };
        open.iter_mut().filter(|open| open.version <= rank).for_each(|open| {
            open.remaining.remove(&gate);
        });
        self.close_finished(now, (kind, about));
    }

    /// Whom a gate holds for quiet may have changed.
    pub fn record_suspects(&mut self, now: Nanos, gate: usize, holds: impl Fn(usize) -> bool) {
        let dead: Vec<usize> = self
            .open
            .keys()
            .filter(|(kind, _)| *kind == UpdateKind::Failure)
            .map(|(_, about)| *about)
            .collect();
        for about in dead.into_iter().filter(|about| holds(*about)) {
            self.record_known(now, UpdateKind::Failure, about, gate, (0, 0));
        }
    }

    /// A gate has ended.
    pub fn remove_attendant(&mut self, now: Nanos, gate: usize) {
        let keys: Vec<(UpdateKind, usize)> = self.open.keys().copied().collect();
        for key in keys {
            if let Some(open) = self.open.get_mut(&key) {
                open.iter_mut().for_each(|open| {
                    open.remaining.remove(&gate);
                });
            }
            self.close_finished(now, key);
        }
    }

    /// A gate is there again: nobody has to find it quiet any more.
    pub fn record_return(&mut self, gate: usize) {
        self.returned += self.open.remove(&(UpdateKind::Failure, gate)).map_or(0, |open| open.len());
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

    /// What not all have heard of at the end.
    pub fn unfinished(&self, kind: UpdateKind) -> usize {
        self.open.iter().filter(|((of, _), _)| *of == kind).map(|(_, open)| open.len()).sum()
    }
}
