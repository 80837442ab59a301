//! What is said of a member, and which of two sayings stands. It owns that order, which is total: the greater one stands
//! whoever heard which first, so that merging is commutative, associative and idempotent. It must never go by a clock.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A longer name is refused where words are read.
pub const MOST_NAME: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    Alive,
    /// It did not answer, and has a while to say otherwise.
    Suspect,
    Dead,
    /// It said itself that it goes.
    Left,
}

impl State {
    /// Whether it is counted as there.
    pub fn there(self) -> bool {
        self <= State::Suspect
    }
}

/// A saying on the member of a name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Word {
    /// Grows with each contradiction by the member itself; the greatest stands.
    pub incarnation: u64,
    /// Of the same incarnation the worse one stands: only the member itself can say better, by a new one.
    pub state: State,
    /// Drawn at each start of a process: another one under the same name has another.
    pub start: u64,
    pub address: SocketAddr,
    pub zone: String,
}

impl Word {
    /// Whether it stands against another one.
    pub fn beats(&self, other: &Word) -> bool {
        self > other
    }
}

/// What a fleet's member is called, with what is said of it.
pub type Named = (String, Word);

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn of_two_sayings_the_one_stands_that_was_said_with_more_right() {
        let word = |incarnation, state, start| {
            let address = SocketAddr::from(([127, 0, 0, 1], 1));
            Word { incarnation, state, start, address, zone: String::new() }
        };
        use State::*;
        assert!(word(2, Suspect, 1).beats(&word(2, Alive, 1)));
        assert!(word(2, Dead, 1).beats(&word(2, Suspect, 9)));
        assert!(word(3, Alive, 1).beats(&word(2, Left, 1)));
        assert!(word(2, Alive, 5).beats(&word(2, Alive, 4)), "two starts under a name are told apart");
        assert!(!word(2, Alive, 5).beats(&word(2, Alive, 5)));
    }
}
