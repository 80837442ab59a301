//! What was heard of srvs: which drain, are gone, or serve, each by the stamp of the list that said so. The newest stands;
//! of the same stamp the worse, so that a drain that one has heard is never unheard by a copy that says better of the
//! same time. It owns the bound on what it holds, and must never take back a srv on an old word: what was forgotten leaves
//! a floor, and of srvs that are not held no word under it counts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::stamp::Stamp;

/// Longer ids are no ids of srvs here.
pub const MOST_NAME: usize = 128;

/// The worse is the greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    Serves,
    Drains,
    Gone,
}

/// A saying on a srv. The greater one stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Word {
    pub stamp: Stamp,
    pub state: State,
}

/// Words by the srvs' ids.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Words {
    held: BTreeMap<String, Word>,
    /// No word up to this stamp counts of a srv that is not held.
    floor: Stamp,
    most: usize,
}

impl Words {
    pub fn new(most: usize) -> Words {
        Words { held: BTreeMap::new(), floor: Stamp::default(), most: most.max(1) }
    }

    pub fn get(&self, srv: &str) -> Option<Word> {
        self.held.get(srv).copied()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, &Word)> {
        self.held.iter()
    }

    pub fn len(&self) -> usize {
        self.held.len()
    }

    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    pub fn floor(&self) -> Stamp {
        self.floor
    }

    /// Another copy's floor: what is not held here and not newer is forgotten there, and counts no more here either. What
    /// is gone and not newer may go here too.
    pub fn raise(&mut self, floor: Stamp) {
        if floor > self.floor {
            self.floor = floor;
            self.held.retain(|_, word| word.state != State::Gone || word.stamp > floor);
        }
    }

    /// Hears a word; whether it stands now and did not before.
    pub fn hear(&mut self, srv: &str, word: Word) -> bool {
        match self.held.get_mut(srv) {
            Some(held) if word > *held => *held = word,
            Some(_) => return false,
            None if word.stamp <= self.floor || srv.is_empty() || srv.len() > MOST_NAME => return false,
            None => drop(self.held.insert(srv.to_owned(), word)),
        }
        if self.held.len() > self.most {
            self.shrink();
        }
        self.held.contains_key(srv)
    }

    /// Forgets the oldest of what is gone, and where there is none the oldest of all: memory is bounded with srvs that come
    /// and go all day. The floor rises to it, so that no copy brings it back.
    fn shrink(&mut self) {
        let gone = self.held.values().filter(|word| word.state == State::Gone).map(|word| word.stamp);
        let Some(oldest) = gone.min().or_else(|| self.held.values().map(|word| word.stamp).min()) else {
            return;
        };
        let any_gone = self.held.values().any(|word| word.state == State::Gone);
        self.floor = self.floor.max(oldest);
        let floor = self.floor;
        self.held.retain(|_, word| word.stamp > floor || (any_gone && word.state != State::Gone));
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn word(version: u64, state: State) -> Word {
        Word { stamp: Stamp { epoch: 0, version }, state }
    }

    #[test]
    fn a_drain_is_not_unheard_and_a_return_wants_a_newer_word() {
        let mut words = Words::new(10);
        assert!(words.hear("s", word(5, State::Drains)));
        assert!(!words.hear("s", word(5, State::Serves)) && !words.hear("s", word(4, State::Serves)));
        assert!(words.hear("s", word(6, State::Serves)));
        assert!(
            words.hear("s", word(6, State::Gone)) && words.get("s").is_some_and(|w| w.state == State::Gone)
        );
    }

    /// Guards against a copy that slept and hands back what all others have forgotten.
    #[test]
    fn what_was_forgotten_does_not_come_back() {
        let mut words = Words::new(3);
        words.hear("old", word(1, State::Gone));
        for number in 2..5 {
            words.hear(&format!("s{number}"), word(number, State::Serves));
        }
        assert_eq!((words.len(), words.get("old")), (3, None));
        assert!(!words.hear("old", word(1, State::Serves)), "an old word brought it back");
        assert!(words.hear("old", word(9, State::Serves)), "fresh word counts");
        let mut other = Words::new(3);
        other.hear("old", word(1, State::Gone));
        other.raise(words.floor());
        assert!(other.is_empty());
    }

    fn state() -> impl Strategy<Value = State> {
        prop_oneof![Just(State::Serves), Just(State::Drains), Just(State::Gone)]
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Whatever the order, and however often each is heard, copies that heard the same hold the same.
        #[test]
        fn copies_that_heard_the_same_hold_the_same(
            said in prop::collection::vec((0..4u8, 1..6u64, state()), 0..30),
            order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
        ) {
            let (mut one, mut other) = (Words::new(100), Words::new(100));
            for (srv, version, state) in &said {
                one.hear(&srv.to_string(), word(*version, *state));
            }
            let again = order.iter().filter(|_| !said.is_empty()).map(|at| at.get(&said)).chain(said.iter().rev());
            for (srv, version, state) in again {
                other.hear(&srv.to_string(), word(*version, *state));
            }
            prop_assert_eq!(one, other);
        }

        /// Its bound holds, and no word under the floor brings in a srv that is not held.
        #[test]
        fn memory_is_bounded(said in prop::collection::vec((any::<u8>(), 1..200u64, state()), 0..300)) {
            let mut words = Words::new(20);
            for (srv, version, state) in said {
                let (srv, word, floor) = (srv.to_string(), word(version, state), words.floor());
                let held = words.get(&srv).is_some();
                let heard = words.hear(&srv, word);
                prop_assert!(words.len() <= 20 && words.floor() >= floor);
                prop_assert!(!heard || held || word.stamp > floor);
            }
        }
    }
}
