//! One register: the value that is stored here, and what voters acknowledged.
//!
//! Main types: `Register`.
//!
//! Invariants:
//! - The stored value and the committed value never go back while the replica runs.
//! - Acknowledgements count only in the epoch in which they were given.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::messages::{RegisterValue, ReplicaId, Revision};

/// How many earlier values are kept until a later one is committed.
pub(super) const MAX_EARLIER_VALUES: usize = 8;

/// How many decided revisions are kept, to distinguish a repeated write from one with other content.
pub(super) const MAX_DECIDED_REVISIONS: usize = 64;

/// The versions of one register that this replica knows of.
#[derive(Clone, Debug, Default)]
pub(super) struct Register {
    /// The newest value that is stored here.
    pub stored: Option<Arc<RegisterValue>>,
    /// Values that were stored before, one of which may be the newest committed one.
    pub earlier: VecDeque<Arc<RegisterValue>>,
    /// Revisions that were stored since the start, the oldest first.
    pub decided_revisions: VecDeque<Revision>,
    /// The newest value that is stored here and known to be committed.
    pub committed: Option<Arc<RegisterValue>>,
    /// The newest revision that is known to be committed. Its value may be missing here.
    pub committed_revision: Revision,
    /// The revisions that voters of this epoch acknowledged in it.
    pub acknowledged: BTreeMap<ReplicaId, Revision>,
}

impl Register {
    pub fn with_value(stored: Option<Arc<RegisterValue>>) -> Register {
        let decided = stored.iter().map(|value| value.revision()).collect();
        Register { stored, decided_revisions: decided, ..Register::default() }
    }

    /// The digest of the content that was decided for a version, if it was stored here.
    pub fn decided_digest(&self, version: u64) -> Option<u64> {
        self.decided_revisions
            .iter()
            .rev()
            .find(|decided| decided.version == version)
            .map(|decided| decided.digest)
    }

    /// Whether a version is above the stored one.
    pub fn is_newer(&self, version: u64) -> bool {
        self.stored.as_ref().is_none_or(|stored| version > stored.version)
    }

    /// The revision of the stored value.
    pub fn stored_revision(&self) -> Revision {
        self.stored.as_ref().map_or(Revision::NONE, |value| value.revision())
    }

    /// Stores a value that is newer than the stored one.
    pub fn store(&mut self, value: Arc<RegisterValue>) {
        self.decided_revisions.push_back(value.revision());
        if self.decided_revisions.len() > MAX_DECIDED_REVISIONS {
            self.decided_revisions.pop_front();
        }
        self.earlier.extend(self.stored.replace(value));
        if self.earlier.len() > MAX_EARLIER_VALUES {
            self.earlier.pop_front();
        }
        self.select_committed();
    }

    /// Records that a voter of this epoch has a revision on disk.
    pub fn record_acknowledgement(&mut self, voter: ReplicaId, revision: Revision) {
        let acknowledged = self.acknowledged.entry(voter).or_default();
        *acknowledged = revision.max(*acknowledged);
    }

    /// Discards all acknowledgements, because they count only in the epoch in which they were given.
    pub fn clear_acknowledgements(&mut self) {
        self.acknowledged.clear();
    }

    /// Records that a revision is committed.
    pub fn raise_committed_revision(&mut self, revision: Revision) {
        self.committed_revision = revision.max(self.committed_revision);
        self.select_committed();
    }

    /// Recomputes the revision that a majority has acknowledged; returns whether it rose.
    pub fn update_committed(&mut self, majority: usize) -> bool {
        let mut revisions: Vec<Revision> = self.acknowledged.values().copied().collect();
        revisions.sort_unstable_by(|a, b| b.cmp(a));
        let has_risen =
            revisions.get(majority - 1).is_some_and(|revision| *revision > self.committed_revision);
        if has_risen {
            self.raise_committed_revision(revisions[majority - 1]);
        }
        has_risen
    }

    /// Chooses the newest known value that is not above the committed revision.
    pub fn select_committed(&mut self) {
        let revision = self.committed_revision;
        let candidates = self.earlier.iter().chain(&self.stored).filter(|value| value.revision() <= revision);
        if let Some(value) = candidates.max_by_key(|value| value.revision())
            && self.committed.as_ref().is_none_or(|committed| committed.revision() < value.revision())
        {
            self.committed = Some(value.clone());
            let revision = value.revision();
            self.earlier.retain(|value| value.revision() > revision);
        }
    }
}
