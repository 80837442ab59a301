//! The counts that outbound proxies report to the control plane, in their serialized form.
//!
//! [`AttemptCounts`] holds the attempts at one service, [`OutcomeCounts`] the outcomes of requests under one
//! [`RouteEdition`], and [`BudgetReport`] is the report of one proxy. The crate `ochreshed-traffic` does the counting.
//!
//! Invariants: each type keeps the encoding of older versions, a sequence of numbers without field names; additions
//! saturate and never wrap.

use ochreshed::Name;
use serde::{Deserialize, Serialize};

/// The maximum number of [`RouteEdition`]s that one outbound proxy counts and reports; the counts of others are
/// dropped.
pub const MAX_EDITIONS: usize = 64;

/// The attempts at one service in a time window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u32)", into = "(u32, u32, u32)")]
pub struct AttemptCounts {
    /// First attempts.
    pub first: u32,
    /// Retries, including those of nested calls of running requests.
    pub retried: u32,
    /// Retries denied by the retry budget.
    pub denied: u32,
}

impl AttemptCounts {
    /// No attempts.
    pub const NONE: AttemptCounts = AttemptCounts { first: 0, retried: 0, denied: 0 };

    /// Returns the sum of both; each count saturates.
    #[must_use]
    pub fn saturating_add(self, other: AttemptCounts) -> AttemptCounts {
        AttemptCounts {
            first: self.first.saturating_add(other.first),
            retried: self.retried.saturating_add(other.retried),
            denied: self.denied.saturating_add(other.denied),
        }
    }
}

impl From<(u32, u32, u32)> for AttemptCounts {
    fn from((first, retried, denied): (u32, u32, u32)) -> AttemptCounts {
        AttemptCounts { first, retried, denied }
    }
}

impl From<AttemptCounts> for (u32, u32, u32) {
    fn from(counts: AttemptCounts) -> (u32, u32, u32) {
        (counts.first, counts.retried, counts.denied)
    }
}

/// The attempts of one outbound proxy by service.
pub type ServiceAttempts = Vec<(Name, AttemptCounts)>;

/// The report of one outbound proxy, which is shown to operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(ServiceAttempts, Option<u32>)", into = "(ServiceAttempts, Option<u32>)")]
pub struct BudgetReport {
    /// The attempts at each service.
    pub services: ServiceAttempts,
    /// The time from the start of the process to full service, in milliseconds; `None` until then.
    pub recovery_ms: Option<u32>,
    /// The outcomes of requests on members' routes. They are sent in a separate field next to the report, because older
    /// versions read only the two fields above.
    pub outcomes: EditionOutcomes,
}

impl BudgetReport {
    /// The number of services and editions in the report, for limiting the memory for reports.
    pub fn entry_count(&self) -> usize {
        self.services.len() + self.outcomes.len()
    }
}

impl From<(ServiceAttempts, Option<u32>)> for BudgetReport {
    fn from((services, recovery_ms): (ServiceAttempts, Option<u32>)) -> BudgetReport {
        BudgetReport { services, recovery_ms, outcomes: EditionOutcomes::new() }
    }
}

impl From<BudgetReport> for (ServiceAttempts, Option<u32>) {
    fn from(report: BudgetReport) -> (ServiceAttempts, Option<u32>) {
        (report.services, report.recovery_ms)
    }
}

/// The edition of a member's routes that was in effect for a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(Name, u64, bool)", into = "(Name, u64, bool)")]
pub struct RouteEdition {
    /// The member whose routes these are.
    pub member: Name,
    /// The version of the member's document; 0 if unknown.
    pub version: u64,
    /// Whether the edition runs as a canary on the reporting node.
    pub canary: bool,
}

impl From<(Name, u64, bool)> for RouteEdition {
    fn from((member, version, canary): (Name, u64, bool)) -> RouteEdition {
        RouteEdition { member, version, canary }
    }
}

impl From<RouteEdition> for (Name, u64, bool) {
    fn from(edition: RouteEdition) -> (Name, u64, bool) {
        (edition.member, edition.version, edition.canary)
    }
}

/// The attempts and outcomes of requests under one [`RouteEdition`] in a time window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u32; 6]", into = "[u32; 6]")]
pub struct OutcomeCounts {
    /// First attempts.
    pub first: u32,
    /// Retries.
    pub retried: u32,
    /// Retries denied by the retry budget.
    pub denied: u32,
    /// Attempts that an inbound proxy rejected.
    pub rejected: u32,
    /// Requests that were answered successfully.
    pub succeeded: u32,
    /// Requests that were answered with an error or did not run.
    pub failed: u32,
}

impl OutcomeCounts {
    /// Returns the sum of both; each count saturates.
    #[must_use]
    pub fn saturating_add(self, other: OutcomeCounts) -> OutcomeCounts {
        OutcomeCounts {
            first: self.first.saturating_add(other.first),
            retried: self.retried.saturating_add(other.retried),
            denied: self.denied.saturating_add(other.denied),
            rejected: self.rejected.saturating_add(other.rejected),
            succeeded: self.succeeded.saturating_add(other.succeeded),
            failed: self.failed.saturating_add(other.failed),
        }
    }
}

impl From<[u32; 6]> for OutcomeCounts {
    fn from([first, retried, denied, rejected, succeeded, failed]: [u32; 6]) -> OutcomeCounts {
        OutcomeCounts { first, retried, denied, rejected, succeeded, failed }
    }
}

impl From<OutcomeCounts> for [u32; 6] {
    fn from(counts: OutcomeCounts) -> [u32; 6] {
        [counts.first, counts.retried, counts.denied, counts.rejected, counts.succeeded, counts.failed]
    }
}

impl From<AttemptCounts> for OutcomeCounts {
    fn from(counts: AttemptCounts) -> OutcomeCounts {
        OutcomeCounts {
            first: counts.first,
            retried: counts.retried,
            denied: counts.denied,
            ..OutcomeCounts::default()
        }
    }
}

/// Outcomes by edition.
pub type EditionOutcomes = Vec<(RouteEdition, OutcomeCounts)>;
