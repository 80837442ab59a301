//! Invariants of the mesh, checked from outside: no attendant goes back to an older version, no acknowledged configuration
//! is lost, no lease key is granted twice. The auditor never asks a process for anything.

use std::collections::{BTreeMap, BTreeSet};

use ochreshed_catalog::endpoints::RecordVersion;
use ochreshed_consensus::messages::Revision;
use ochreshed_consensus::messages::{LeaseKey, LeaseToken};

use crate::Nanos;

/// Further violations are dropped.
const MAX_VIOLATIONS: usize = 100;

#[derive(Default)]
pub struct Auditor {
    /// By key, the tokens under which a request may have run.
    granted_tokens: BTreeMap<LeaseKey, BTreeSet<LeaseToken>>,
    /// By attendant, since its start: the applied configuration, and the versions of the records it holds.
    applied_configurations: BTreeMap<usize, Revision>,
    record_versions: BTreeMap<usize, Vec<RecordVersion>>,
    /// Newest revision acknowledged to an operator.
    acknowledged_revision: Revision,
    pub violations: Vec<String>,
    /// Number of checks of records, grants and reads.
    pub checks: [u64; 3],
}

impl Auditor {
    fn report_violation(&mut self, now: Nanos, what: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(format!("{:.3} s: {what}", now as f64 / 1e9));
        }
    }

    /// An attendant process restarted without state.
    pub fn reset_attendant(&mut self, attendant: usize) {
        self.applied_configurations.remove(&attendant);
        self.record_versions.remove(&attendant);
    }

    pub fn record_applied_configuration(&mut self, now: Nanos, attendant: usize, version: Revision) {
        let previous = self.applied_configurations.insert(attendant, version).unwrap_or_default();
        if previous > version {
            self.report_violation(
                now,
                format!("attendant {attendant} went back from r{} to r{}", previous.version, version.version),
            );
        }
    }

    /// The version of a record that an attendant holds after an update of it.
    pub fn record_endpoint_version(
        &mut self,
        now: Nanos,
        attendant: usize,
        about: usize,
        version: RecordVersion,
    ) {
        self.checks[0] += 1;
        let versions = self.record_versions.entry(attendant).or_default();
        if versions.len() <= about {
            versions.resize(about + 1, RecordVersion::default());
        }
        let previous = std::mem::replace(&mut versions[about], version);
        if previous > version {
            self.report_violation(
                now,
                format!("attendant {attendant} went back from {previous:?} to {version:?} of {about}"),
            );
        }
    }

    /// An attendant was granted a lease and runs the request.
    pub fn record_lease_granted(&mut self, now: Nanos, key: LeaseKey, token: LeaseToken) {
        self.checks[1] += 1;
        let tokens = self.granted_tokens.entry(key).or_default();
        tokens.insert(token);
        if tokens.len() > 1 {
            let many = tokens.len();
            self.report_violation(now, format!("key {key:x} is granted {many} times"));
        }
    }

    /// An attendant states that no request ran or will run under this token.
    pub fn record_lease_released(&mut self, key: LeaseKey, token: LeaseToken) {
        if let Some(tokens) = self.granted_tokens.get_mut(&key) {
            tokens.remove(&token);
        }
    }

    pub fn record_acknowledged(&mut self, version: Revision) {
        self.acknowledged_revision = self.acknowledged_revision.max(version);
    }

    pub fn acknowledged_floor(&self) -> Revision {
        self.acknowledged_revision
    }

    /// A read that started after `floor` was acknowledged returned `found`.
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
