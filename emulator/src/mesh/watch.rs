//! How long news take to all gates. It owns what each gate that was there when it began has not heard of yet. A gate
//! that ends is waited for no more; one that starts later never was.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::Nanos;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Kind {
    Drain,
    Dead,
    Configuration,
}

struct Open {
    began: Nanos,
    rank: (u64, u64),
    left: BTreeSet<usize>,
}

#[derive(Default)]
pub struct Watch {
    open: BTreeMap<(Kind, usize), Vec<Open>>,
    /// Seconds until all knew.
    pub done: BTreeMap<Kind, Vec<f64>>,
    /// The dead that were back before all knew.
    pub returned: usize,
}

impl Watch {
    /// What began before is not counted.
    pub fn clear(&mut self) {
        *self = Watch::default();
    }

    pub fn begin(&mut self, now: Nanos, kind: Kind, about: usize, rank: (u64, u64), left: Vec<usize>) {
        if !left.is_empty() {
            let open = Open { began: now, rank, left: left.into_iter().collect() };
            self.open.entry((kind, about)).or_default().push(open);
        }
    }

    /// A gate knows something of this rank.
    pub fn told(&mut self, now: Nanos, kind: Kind, about: usize, gate: usize, rank: (u64, u64)) {
        let Some(open) = self.open.get_mut(&(kind, about)) else { return };
        open.iter_mut().filter(|open| open.rank <= rank).for_each(|open| {
            open.left.remove(&gate);
        });
        self.sweep(now, (kind, about));
    }

    /// Whom a gate holds for quiet may have changed.
    pub fn quiet(&mut self, now: Nanos, gate: usize, holds: impl Fn(usize) -> bool) {
        let dead: Vec<usize> =
            self.open.keys().filter(|(kind, _)| *kind == Kind::Dead).map(|(_, about)| *about).collect();
        for about in dead.into_iter().filter(|about| holds(*about)) {
            self.told(now, Kind::Dead, about, gate, (0, 0));
        }
    }

    /// A gate has ended.
    pub fn dead(&mut self, now: Nanos, gate: usize) {
        let keys: Vec<(Kind, usize)> = self.open.keys().copied().collect();
        for key in keys {
            if let Some(open) = self.open.get_mut(&key) {
                open.iter_mut().for_each(|open| {
                    open.left.remove(&gate);
                });
            }
            self.sweep(now, key);
        }
    }

    /// A gate is there again: nobody has to find it quiet any more.
    pub fn back(&mut self, gate: usize) {
        self.returned += self.open.remove(&(Kind::Dead, gate)).map_or(0, |open| open.len());
    }

    fn sweep(&mut self, now: Nanos, key: (Kind, usize)) {
        let Some(open) = self.open.get_mut(&key) else { return };
        let done = self.done.entry(key.0).or_default();
        open.retain(|open| {
            if open.left.is_empty() {
                done.push((now - open.began) as f64 / 1e9);
            }
            !open.left.is_empty()
        });
        if open.is_empty() {
            self.open.remove(&key);
        }
    }

    /// What not all have heard of at the end.
    pub fn unheard(&self, kind: Kind) -> usize {
        self.open.iter().filter(|((of, _), _)| *of == kind).map(|(_, open)| open.len()).sum()
    }
}
