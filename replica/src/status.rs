//! What was heard of srvs: which drain, are gone, or serve, each by the stamp of the list that said so. The newest stands;
//! of the same stamp the worse, so that a drain that one has heard is never unheard by a copy that says better of the
//! same time. It owns the bound on what it holds, and must never take back a srv on an old word: what was forgotten leaves
//! a floor, and of srvs that are not held no word under it counts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::stamp::Stamp;

/// Longer ids are no ids of srvs here.
pub const MAX_SERVER_ID_BYTES: usize = 128;

/// The worse is the greater.
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

/// A saying on a server. The greater one stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StampedStatus {
    pub stamp: Stamp,
    pub status: ServerStatus,
}

/// StatusTable by the srvs' ids.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StatusTable {
    entries: BTreeMap<String, StampedStatus>,
    /// No word up to this stamp counts of a srv that is not held.
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

    /// Another copy's floor: what is not held here and not newer is forgotten there, and counts no more here either. What
    /// is gone and not newer may go here too.
    pub fn raise_floor(&mut self, floor: Stamp) {
        if floor > self.floor {
            self.floor = floor;
            self.entries.retain(|_, stamped| stamped.status != ServerStatus::Gone || stamped.stamp > floor);
        }
    }

    /// Hears a word; whether it stands now and did not before.
    pub fn merge(&mut self, server: &str, stamped: StampedStatus) -> bool {
        match self.entries.get_mut(server) {
            Some(held) if stamped > *held => *held = stamped,
            Some(_) => return false,
            None if stamped.stamp <= self.floor
                || server.is_empty()
                || server.len() > MAX_SERVER_ID_BYTES =>
            {
                return false;
            }
            None => drop(self.entries.insert(server.to_owned(), stamped)),
        }
        if self.entries.len() > self.max_entries {
            self.evict_oldest();
        }
        self.entries.contains_key(server)
    }

    /// Forgets the oldest of what is gone, and where there is none the oldest of all: memory is bounded with srvs that come
    /// and go all day. The floor rises to it, so that no copy brings it back.
    fn evict_oldest(&mut self) {
        let gone = self
            .entries
            .values()
            .filter(|stamped| stamped.status == ServerStatus::Gone)
            .map(|stamped| stamped.stamp);
        let Some(oldest) = gone.min().or_else(|| self.entries.values().map(|stamped| stamped.stamp).min())
        else {
            return;
        };
        let any_gone = self.entries.values().any(|stamped| stamped.status == ServerStatus::Gone);
        self.floor = self.floor.max(oldest);
        let floor = self.floor;
        self.entries
            .retain(|_, stamped| stamped.stamp > floor || (any_gone && stamped.status != ServerStatus::Gone));
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn stamped(version: u64, status: ServerStatus) -> StampedStatus {
        StampedStatus { stamp: Stamp { epoch: 0, version }, status }
    }

    #[test]
    fn a_drain_is_not_unheard_and_a_return_wants_a_newer_word() {
        let mut table = StatusTable::new(10);
        assert!(table.merge("s", stamped(5, ServerStatus::Draining)));
        assert!(
            !table.merge("s", stamped(5, ServerStatus::Serving))
                && !table.merge("s", stamped(4, ServerStatus::Serving))
        );
        assert!(table.merge("s", stamped(6, ServerStatus::Serving)));
        assert!(
            table.merge("s", stamped(6, ServerStatus::Gone))
                && table.get("s").is_some_and(|stamped| stamped.status == ServerStatus::Gone)
        );
    }

    /// Guards against a copy that slept and hands back what all others have forgotten.
    #[test]
    fn what_was_forgotten_does_not_come_back() {
        let mut table = StatusTable::new(3);
        table.merge("old", stamped(1, ServerStatus::Gone));
        for number in 2..5 {
            table.merge(&format!("s{number}"), stamped(number, ServerStatus::Serving));
        }
        assert_eq!((table.len(), table.get("old")), (3, None));
        assert!(!table.merge("old", stamped(1, ServerStatus::Serving)), "an old word brought it back");
        assert!(table.merge("old", stamped(9, ServerStatus::Serving)), "fresh word counts");
        let mut other = StatusTable::new(3);
        other.merge("old", stamped(1, ServerStatus::Gone));
        other.raise_floor(table.floor());
        assert!(other.is_empty());
    }

    fn any_status() -> impl Strategy<Value = ServerStatus> {
        prop_oneof![Just(ServerStatus::Serving), Just(ServerStatus::Draining), Just(ServerStatus::Gone)]
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Whatever the order, and however often each is heard, copies that heard the same hold the same.
        #[test]
        fn copies_that_heard_the_same_hold_the_same(
            said in prop::collection::vec((0..4u8, 1..6u64, any_status()), 0..30),
            order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
        ) {
            let (mut one, mut other) = (StatusTable::new(100), StatusTable::new(100));
            for (server, version, status) in &said {
                one.merge(&server.to_string(), stamped(*version, *status));
            }
            let again = order.iter().filter(|_| !said.is_empty()).map(|at| at.get(&said)).chain(said.iter().rev());
            for (server, version, status) in again {
                other.merge(&server.to_string(), stamped(*version, *status));
            }
            prop_assert_eq!(one, other);
        }

        /// Its bound holds, and no word under the floor brings in a srv that is not held.
        #[test]
        fn memory_is_bounded(said in prop::collection::vec((any::<u8>(), 1..200u64, any_status()), 0..300)) {
            let mut table = StatusTable::new(20);
            for (server, version, status) in said {
                let (server, stamped, floor) = (server.to_string(), stamped(version, status), table.floor());
                let held = table.get(&server).is_some();
                let heard = table.merge(&server, stamped);
                prop_assert!(table.len() <= 20 && table.floor() >= floor);
                prop_assert!(!heard || held || stamped.stamp > floor);
            }
        }
    }
}
