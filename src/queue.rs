//! The reqs that wait, the highest rank first and among equals the one that came first. It owns their order
//! and finds any of them without a walk over the others. Nothing here decides who waits, or how long.

use std::collections::{HashMap, VecDeque};

use crate::types::Nanos;

pub struct Waiting {
    pub id: u64,
    pub set: usize,
    pub rank: f64,
    pub until: Nanos,
}

#[derive(Default)]
pub struct Queue {
    waiting: VecDeque<Waiting>,
    /// The rank that each came with.
    ranks: HashMap<u64, f64>,
}

impl Queue {
    /// Where one of this rank would stand.
    pub fn place(&self, rank: f64) -> usize {
        self.waiting.partition_point(|waiting| waiting.rank >= rank)
    }

    pub fn insert(&mut self, waiting: Waiting) {
        self.ranks.insert(waiting.id, waiting.rank);
        self.waiting.insert(self.place(waiting.rank), waiting);
    }

    /// Takes a req out, if it waits.
    pub fn take(&mut self, id: u64) -> Option<Waiting> {
        let rank = self.ranks.remove(&id)?;
        let from = self.waiting.partition_point(|waiting| waiting.rank > rank);
        let at = self.waiting.range(from..).position(|waiting| waiting.id == id)?;
        self.waiting.remove(from + at)
    }

    #[cfg(test)]
    pub fn holds(&self, id: u64) -> bool {
        self.ranks.contains_key(&id)
    }

    pub fn front(&self) -> Option<&Waiting> {
        self.waiting.front()
    }

    pub fn back(&self) -> Option<&Waiting> {
        self.waiting.back()
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
