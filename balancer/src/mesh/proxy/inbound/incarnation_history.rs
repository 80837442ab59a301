//! Which incarnations of the upstream beside a node have ended, and whose end the control plane has recorded.
//!
//! Main types: [`IncarnationHistory`].
//!
//! Invariants: an incarnation that has ended never serves again; at most [`MAX_REMEMBERED_INCARNATIONS`] of each kind are
//! remembered.

use std::collections::VecDeque;

/// Number of incarnations of each kind whose ids are remembered.
const MAX_REMEMBERED_INCARNATIONS: usize = 32;

/// The earlier incarnations of one upstream.
#[derive(Debug, Default)]
pub(super) struct IncarnationHistory {
    ended: RecentIds,
    /// Incarnations that drain or have ended, and whose tombstone a majority of the control plane stores.
    recorded: RecentIds,
}

impl IncarnationHistory {
    /// Whether an incarnation is known to have ended.
    pub(super) fn has_ended(&self, id: &str) -> bool {
        self.ended.contains(id)
    }

    /// Marks an incarnation as ended: its heartbeats are ignored from now on.
    pub(super) fn end(&mut self, id: &str) {
        self.ended.insert(id);
    }

    /// Whether the control plane is known to have recorded that an incarnation drains or has ended.
    pub(super) fn is_recorded(&self, id: &str) -> bool {
        self.recorded.contains(id)
    }

    /// Marks an incarnation as recorded by the control plane.
    pub(super) fn mark_recorded(&mut self, id: &str) {
        self.recorded.insert(id);
    }
}

/// The ids that were inserted last, oldest first.
#[derive(Debug, Default)]
struct RecentIds(VecDeque<String>);

impl RecentIds {
    fn contains(&self, id: &str) -> bool {
        self.0.iter().any(|known| known == id)
    }

    fn insert(&mut self, id: &str) {
        if self.contains(id) {
            return;
        }
        self.0.push_back(id.to_owned());
        if self.0.len() > MAX_REMEMBERED_INCARNATIONS {
            self.0.pop_front();
        }
    }
}
