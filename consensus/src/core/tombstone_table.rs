//! The tombstones that this replica stores.
//!
//! Main types: `TombstoneTable`.
//!
//! Invariants: a tombstone is kept for `TOMBSTONE_TTL` after it was first known, unless more than `MAX_TOMBSTONES` are;
//! then the oldest go first.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::limits::{MAX_ITEMS_PER_MESSAGE, MS, Nanos};
use crate::messages::{Effect, LogRecord, TombstoneId};

/// How long a tombstone is kept. Whatever it keeps from coming back is late by seconds.
const TOMBSTONE_TTL: Nanos = 900_000 * MS;

/// How many tombstones are kept, which bounds memory.
const MAX_TOMBSTONES: usize = 65_536;

/// How many tombstones are stored, and how many were evicted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TombstoneCounts {
    /// Tombstones that are stored now.
    pub stored: usize,
    /// Tombstones that were removed before their time since the start, because there were too many.
    pub evicted: u64,
}

/// All tombstones of a replica.
#[derive(Clone, Debug, Default)]
pub(super) struct TombstoneTable {
    /// Each tombstone with the time at which it expires.
    expires_at: BTreeMap<TombstoneId, Nanos>,
    by_expiry: BTreeSet<(Nanos, TombstoneId)>,
    evicted: u64,
}

impl TombstoneTable {
    /// Whether a tombstone is stored.
    pub fn contains(&self, id: TombstoneId) -> bool {
        self.expires_at.contains_key(&id)
    }

    pub fn counts(&self) -> TombstoneCounts {
        TombstoneCounts { stored: self.expires_at.len(), evicted: self.evicted }
    }

    /// All tombstones.
    pub fn iter(&self) -> impl Iterator<Item = TombstoneId> {
        self.expires_at.keys().copied()
    }

    /// Writes a tombstone to disk and memory, if it is not stored yet. Evicts the oldest if there are too many.
    pub fn store(&mut self, now: Nanos, id: TombstoneId, out: &mut Vec<Effect>) {
        if self.contains(id) {
            return;
        }
        out.push(Effect::Persist(LogRecord::Tombstone(id)));
        self.insert(now, id);
        while self.expires_at.len() > MAX_TOMBSTONES {
            self.evicted += 1;
            self.remove_oldest(out);
        }
    }

    /// Keeps a tombstone in memory.
    pub fn insert(&mut self, now: Nanos, id: TombstoneId) {
        let expires_at = now.saturating_add(TOMBSTONE_TTL);
        self.expires_at.insert(id, expires_at);
        self.by_expiry.insert((expires_at, id));
    }

    /// Removes tombstones whose time has passed.
    pub fn expire(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        while self.by_expiry.first().is_some_and(|(expires_at, _)| *expires_at <= now) {
            self.remove_oldest(out);
        }
    }

    fn remove_oldest(&mut self, out: &mut Vec<Effect>) {
        if let Some((_, id)) = self.by_expiry.pop_first() {
            self.expires_at.remove(&id);
            out.push(Effect::Persist(LogRecord::TombstoneExpired(id)));
        }
    }

    /// The part of a snapshot between two ids, and the id at which the rest begins if it does not fit.
    pub fn batch_from(
        &self,
        from: TombstoneId,
        to: Option<TombstoneId>,
    ) -> (Vec<TombstoneId>, Option<TombstoneId>) {
        let ids = self.expires_at.range(from..).map(|(id, _)| *id);
        let mut batch: Vec<TombstoneId> =
            ids.take_while(|id| to.is_none_or(|to| *id < to)).take(MAX_ITEMS_PER_MESSAGE + 1).collect();
        let rest = if batch.len() > MAX_ITEMS_PER_MESSAGE { batch.pop() } else { to };
        (batch, rest)
    }
}
