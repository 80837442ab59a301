//! What is known of a member, and which of two records wins. Records are totally ordered and the greater one wins, whichever
//! is received first, so that merging is commutative, associative and idempotent. The order never depends on a clock.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Messages with a longer name are rejected.
pub const MAX_NAME_BYTES: usize = 64;

/// The state of a member, from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    Alive,
    /// It did not answer a probe, and is declared dead unless it refutes the suspicion in time.
    Suspect,
    Dead,
    /// It announced its departure itself.
    Left,
}

impl MemberState {
    /// Whether the member counts as part of the fleet.
    pub fn is_live(self) -> bool {
        self <= MemberState::Suspect
    }
}

/// What is known of the member of a name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Raised by the member itself each time that it refutes a record; the greatest wins.
    pub incarnation: u64,
    /// Within an incarnation the worse state wins: only the member itself can improve it, by a new incarnation.
    pub state: MemberState,
    /// A random number drawn when the process starts, which tells processes under one name apart.
    pub start_id: u64,
    pub address: SocketAddr,
    pub zone: String,
}

impl MemberRecord {
    /// Whether this record replaces the other one.
    pub fn supersedes(&self, other: &MemberRecord) -> bool {
        self > other
    }
}

/// A member's name and its record.
pub type NamedRecord = (String, MemberRecord);

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_newer_incarnation_wins_then_the_worse_state() {
        let record = |incarnation, state, start_id| {
            let address = SocketAddr::from(([127, 0, 0, 1], 1));
            MemberRecord { incarnation, state, start_id, address, zone: String::new() }
        };
        use MemberState::*;
        assert!(record(2, Suspect, 1).supersedes(&record(2, Alive, 1)));
        assert!(record(2, Dead, 1).supersedes(&record(2, Suspect, 9)));
        assert!(record(3, Alive, 1).supersedes(&record(2, Left, 1)));
        assert!(
            record(2, Alive, 5).supersedes(&record(2, Alive, 4)),
            "two processes under one name are ordered"
        );
        assert!(!record(2, Alive, 5).supersedes(&record(2, Alive, 5)));
    }
}
