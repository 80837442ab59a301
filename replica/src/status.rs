//! The replicated status of each server: serving, draining or gone, with the stamp of the discovery list that said so.
//!
//! Of two statuses of a server the one with the newer stamp wins; with equal stamps, the worse one wins, so that a
//! drain that one instance knows of is never undone by a replica that reports a better status of the same version.
//!
//! Invariants: the table has a bounded size; evicting entries raises a floor, and a status at or below the floor is
//! never accepted for a server that has no entry. So a stale replica cannot bring an evicted server back.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::stamp::Stamp;

/// Statuses of servers with longer ids are ignored.
pub const MAX_SERVER_ID_BYTES: usize = 128;

/// The status of a server, from better to worse. The order of the variants is part of the encoding and of the digests.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ServerStatus {
    Serving,
    Draining,
    Gone,
}

/// The operators' page and `ochreshed snapshot show` print these words.
impl std::fmt::Debug for ServerStatus {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            ServerStatus::Serving => "Serves",
            ServerStatus::Draining => "Drains",
            ServerStatus::Gone => "Gone",
        })
    }
}

/// A status with the stamp of the list that it comes from. Of two for the same server the greater one wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StampedStatus {
    pub stamp: Stamp,
    pub status: ServerStatus,
}

/// Statuses by server id.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StatusTable {
    entries: BTreeMap<String, StampedStatus>,
    /// The newest stamp that has been evicted: statuses up to it are ignored for servers without an entry.
    floor: Stamp,
    max_entries: usize,
}

impl StatusTable {
    pub fn new(max_entries: usize) -> StatusTable {
        StatusTable { entries: BTreeMap::new(), floor: Stamp::default(), max_entries: max_entries.max(1) }
    }

    pub fn get(&self, server: &str) -> Option<StampedStatus> {
        self.entries.get(server).copied()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, &StampedStatus)> {
        self.entries.iter()
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn floor(&self) -> Stamp {
        self.floor
    }

    /// Adopts the floor of another replica if it is higher: what that replica has evicted is not accepted here either.
    /// Entries for servers that are gone and not newer than the floor are dropped.
    pub fn raise_floor(&mut self, floor: Stamp) {
        if floor > self.floor {
            self.floor = floor;
            self.entries.retain(|_, entry| entry.status != ServerStatus::Gone || entry.stamp > floor);
        }
    }

    /// Merges a status and returns whether it has replaced the previous one, or was added and not evicted at once. An older
    /// status, and that of a server with an invalid id, is ignored.
    pub fn merge(&mut self, server: &str, entry: StampedStatus) -> bool {
        match self.entries.get_mut(server) {
            Some(current) if entry > *current => *current = entry,
            Some(_) => return false,
            None if entry.stamp <= self.floor || server.is_empty() || server.len() > MAX_SERVER_ID_BYTES => {
                return false;
            }
            None => drop(self.entries.insert(server.to_owned(), entry)),
        }
        if self.entries.len() > self.max_entries {
            self.evict_oldest();
        }
        self.entries.contains_key(server)
    }

    /// Evicts the entries with the oldest stamp, of servers that are gone if there are any. Raises the floor to that stamp, so that no other replica brings them back. This bounds memory while servers come and go
    /// all day.
    fn evict_oldest(&mut self) {
        let gone =
            self.entries.values().filter(|entry| entry.status == ServerStatus::Gone).map(|entry| entry.stamp);
        let Some(oldest) = gone.min().or_else(|| self.entries.values().map(|entry| entry.stamp).min()) else {
            return;
        };
        let any_gone = self.entries.values().any(|entry| entry.status == ServerStatus::Gone);
        self.floor = self.floor.max(oldest);
        let floor = self.floor;
        self.entries
            .retain(|_, entry| entry.stamp > floor || (any_gone && entry.status != ServerStatus::Gone));
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn entry(version: u64, status: ServerStatus) -> StampedStatus {
        StampedStatus { stamp: Stamp { epoch: 0, version }, status }
    }

    #[test]
    fn a_drain_is_only_undone_by_a_newer_status() {
        let mut table = StatusTable::new(10);
        assert!(table.merge("s", entry(5, ServerStatus::Draining)));
        assert!(
            !table.merge("s", entry(5, ServerStatus::Serving))
                && !table.merge("s", entry(4, ServerStatus::Serving))
        );
        assert!(table.merge("s", entry(6, ServerStatus::Serving)));
        assert!(
            table.merge("s", entry(6, ServerStatus::Gone))
                && table.get("s").is_some_and(|entry| entry.status == ServerStatus::Gone)
        );
    }

    /// Guards against a replica that was suspended and sends back entries that all others have evicted.
    #[test]
    fn evicted_entries_do_not_come_back() {
        let mut table = StatusTable::new(3);
        table.merge("old", entry(1, ServerStatus::Gone));
        for version in 2..5 {
            table.merge(&format!("s{version}"), entry(version, ServerStatus::Serving));
        }
        assert_eq!((table.len(), table.get("old")), (3, None));
        assert!(!table.merge("old", entry(1, ServerStatus::Serving)), "a status at the floor was accepted");
        assert!(table.merge("old", entry(9, ServerStatus::Serving)), "a status above the floor is accepted");
        let mut other = StatusTable::new(3);
        other.merge("old", entry(1, ServerStatus::Gone));
        other.raise_floor(table.floor());
        assert!(other.is_empty());
    }

    fn any_status() -> impl Strategy<Value = ServerStatus> {
        prop_oneof![Just(ServerStatus::Serving), Just(ServerStatus::Draining), Just(ServerStatus::Gone)]
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Merging is commutative and idempotent.
        #[test]
        fn replicas_that_merged_the_same_statuses_are_equal(
            updates in prop::collection::vec((0..4u8, 1..6u64, any_status()), 0..30),
            order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
        ) {
            let (mut one, mut other) = (StatusTable::new(100), StatusTable::new(100));
            for (server, version, status) in &updates {
                one.merge(&server.to_string(), entry(*version, *status));
            }
            let repeated =
                order.iter().filter(|_| !updates.is_empty()).map(|at| at.get(&updates)).chain(updates.iter().rev());
            for (server, version, status) in repeated {
                other.merge(&server.to_string(), entry(*version, *status));
            }
            prop_assert_eq!(one, other);
        }

        /// The table stays within its bound, and no status at or below the floor adds an entry.
        #[test]
        fn memory_is_bounded(updates in prop::collection::vec((any::<u8>(), 1..200u64, any_status()), 0..300)) {
            let mut table = StatusTable::new(20);
            for (server, version, status) in updates {
                let (server, entry, floor) = (server.to_string(), entry(version, status), table.floor());
                let had_entry = table.get(&server).is_some();
                let merged = table.merge(&server, entry);
                prop_assert!(table.len() <= 20 && table.floor() >= floor);
                prop_assert!(!merged || had_entry || entry.stamp > floor);
            }
        }
    }
}
