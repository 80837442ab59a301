//! What must hold of a mesh, seen from outside: no attendant goes back, nothing acknowledged is lost, no key is granted
//! twice. It owns its own books and must never ask a process for anything.

use std::collections::{BTreeMap, BTreeSet};

use ochreshed_catalog::endpoints::RecordVersion;
use ochreshed_consensus::messages::Revision;
use ochreshed_consensus::messages::{LeaseKey, LeaseToken};

use crate::Nanos;

/// No more breaches than these are kept.
const MOST: usize = 100;

#[derive(Default)]
pub struct Audit {
    /// By key, the tokens under which a req may have run.
    granted: BTreeMap<LeaseKey, BTreeSet<LeaseToken>>,
    /// By attendant, of this life: the configuration in force, and the rows by the attendants they are about.
    sheets: BTreeMap<usize, Revision>,
    rows: BTreeMap<usize, Vec<RecordVersion>>,
    /// Acknowledged to an operator.
    floor: Revision,
    pub breaches: Vec<String>,
    /// Looks at rows, grants and reads: what was there to be broken.
    pub seen: [u64; 3],
}

impl Audit {
    fn breach(&mut self, now: Nanos, what: String) {
        if self.breaches.len() < MOST {
            self.breaches.push(format!("{:.3} s: {what}", now as f64 / 1e9));
        }
    }

    /// An attendant's process began anew, and knows nothing.
    pub fn born(&mut self, gate: usize) {
        self.sheets.remove(&gate);
        self.rows.remove(&gate);
    }

    pub fn sheet(&mut self, now: Nanos, gate: usize, rank: Revision) {
        let was = self.sheets.insert(gate, rank).unwrap_or_default();
        if was > rank {
            self.breach(
                now,
                format!("attendant {gate} went back from r{} to r{}", was.version, rank.version),
            );
        }
    }

    /// What an attendant holds of the row of another after it was told of it.
    pub fn row(&mut self, now: Nanos, gate: usize, about: usize, rank: RecordVersion) {
        self.seen[0] += 1;
        let rows = self.rows.entry(gate).or_default();
        if rows.len() <= about {
            rows.resize(about + 1, RecordVersion::default());
        }
        let was = std::mem::replace(&mut rows[about], rank);
        if was > rank {
            self.breach(now, format!("attendant {gate} went back from {was:?} to {rank:?} of {about}"));
        }
    }

    /// A gate was granted a key and lets the req run.
    pub fn granted(&mut self, now: Nanos, key: LeaseKey, token: LeaseToken) {
        self.seen[1] += 1;
        let tokens = self.granted.entry(key).or_default();
        tokens.insert(token);
        if tokens.len() > 1 {
            let many = tokens.len();
            self.breach(now, format!("key {key:x} is granted {many} times"));
        }
    }

    /// A gate says that nothing ran under this token, and nothing will.
    pub fn freed(&mut self, key: LeaseKey, token: LeaseToken) {
        if let Some(tokens) = self.granted.get_mut(&key) {
            tokens.remove(&token);
        }
    }

    /// A configuration was acknowledged.
    pub fn acknowledged(&mut self, rank: Revision) {
        self.floor = self.floor.max(rank);
    }

    pub fn floor(&self) -> Revision {
        self.floor
    }

    /// A read that began when `floor` was acknowledged found this.
    pub fn read(&mut self, now: Nanos, floor: Revision, found: Revision) {
        self.seen[2] += 1;
        if found < floor {
            self.breach(
                now,
                format!("r{} was acknowledged, and a read found r{}", floor.version, found.version),
            );
        }
    }
}
