//! Which incarnations of the upstream beside a node have ended.
//!
//! Main types: [`IncarnationHistory`].
//!
//! Invariants: an incarnation that has ended never serves again; at most [`MAX_ENDED_INCARNATIONS`] are remembered.

use std::collections::VecDeque;

/// Number of ended incarnations whose ids are remembered.
const MAX_ENDED_INCARNATIONS: usize = 32;

/// The ended incarnations of one upstream.
#[derive(Debug, Default)]
pub(super) struct IncarnationHistory {
    /// Ids, oldest first.
    ended: VecDeque<String>,
}

impl IncarnationHistory {
    /// Whether an incarnation is known to have ended.
    pub(super) fn has_ended(&self, id: &str) -> bool {
        self.ended.iter().any(|ended| ended == id)
    }

    /// Marks an incarnation as ended: its heartbeats are ignored from now on.
    pub(super) fn end(&mut self, id: &str) {
        if self.has_ended(id) {
            return;
        }
        self.ended.push_back(id.to_owned());
        if self.ended.len() > MAX_ENDED_INCARNATIONS {
            self.ended.pop_front();
        }
    }
}
