//! What must hold of a mesh, seen from outside: no attendant goes back, nothing acknowledged is lost, no key is granted
//! twice. It owns its own usage and must never ask a process for anything.

use std::collections::{BTreeMap, BTreeSet};

use ochreshed_catalog::endpoints::RecordVersion;
use ochreshed_consensus::messages::Revision;
use ochreshed_consensus::messages::{LeaseKey, LeaseToken};

use crate::Nanos;

/// No more breaches than these are kept.
const MAX_VIOLATIONS: usize = 100;

#[derive(Default)]
pub struct Auditor {
    /// By key, the tokens under which a req may have run.
    granted_tokens: BTreeMap<LeaseKey, BTreeSet<LeaseToken>>,
    /// By attendant, of this life: the configuration in force, and the rows by the attendants they are about.
    applied_configurations: BTreeMap<usize, Revision>,
    record_versions: BTreeMap<usize, Vec<RecordVersion>>,
    /// Acknowledged to an operator.
    acknowledged_revision: Revision,
    pub violations: Vec<String>,
    /// Looks at rows, grants and reads: what was there to be broken.
    pub checks: [u64; 3],
}

impl Auditor {
    fn report_violation(&mut self, now: Nanos, what: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(format!("{:.3} s: {what}", now as f64 / 1e9));
        }
    }

    /// An attendant's process began anew, and knows nothing.
    pub fn reset_attendant(&mut self, gate: usize) {
        self.applied_configurations.remove(&gate);
        self.record_versions.remove(&gate);
    }

    pub fn record_applied_configuration(&mut self, now: Nanos, gate: usize, rank: Revision) {
        let was = self.applied_configurations.insert(gate, rank).unwrap_or_default();
        if was > rank {
            self.report_violation(
                now,
                format!("attendant {gate} went back from r{} to r{}", was.version, rank.version),
            );
        }
    }

    /// What an attendant holds of the row of another after it was told of it.
    pub fn record_endpoint_version(&mut self, now: Nanos, gate: usize, about: usize, rank: RecordVersion) {
        self.checks[0] += 1;
        let rows = self.record_versions.entry(gate).or_default();
        if rows.len() <= about {
            rows.resize(about + 1, RecordVersion::default());
        }
        let was = std::mem::replace(&mut rows[about], rank);
        if was > rank {
            self.report_violation(
                now,
                format!("attendant {gate} went back from {was:?} to {rank:?} of {about}"),
            );
        }
    }

    /// A gate was granted a key and lets the req run.
    pub fn record_lease_granted(&mut self, now: Nanos, key: LeaseKey, token: LeaseToken) {
        self.checks[1] += 1;
        let tokens = self.granted_tokens.entry(key).or_default();
        tokens.insert(token);
        if tokens.len() > 1 {
            let many = tokens.len();
            self.report_violation(now, format!("key {key:x} is granted {many} times"));
        }
    }

    /// A gate says that nothing ran under this token, and nothing will.
    pub fn record_lease_released(&mut self, key: LeaseKey, token: LeaseToken) {
        if let Some(tokens) = self.granted_tokens.get_mut(&key) {
            tokens.remove(&token);
        }
    }

    /// A configuration was acknowledged.
    pub fn record_acknowledged(&mut self, rank: Revision) {
        self.acknowledged_revision = self.acknowledged_revision.max(rank);
    }

    pub fn acknowledged_floor(&self) -> Revision {
        self.acknowledged_revision
    }

    /// A read that began when `floor` was acknowledged found this.
    pub fn record_read(&mut self, now: Nanos, floor: Revision, found: Revision) {
        self.checks[2] += 1;
        if found < floor {
            self.report_violation(
                now,
                format!("r{} was acknowledged, and a read found r{}", floor.version, found.version),
            );
        }
    }
}
