//! The reports of outbound proxies that one replica of the control plane holds.
//!
//! Each outbound proxy reports to one replica. [`BudgetReports`] keeps the newest report of each proxy and can be
//! merged with those of another replica ([`BudgetReports::collect`], [`BudgetReports::store`]).
//!
//! Invariants: only the latest report of each proxy is kept; the total number of entries is bounded.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use ochreshed::{Name, Nanos};
use ochreshed_catalog::internal_rpc::CollectedReport;
use ochreshed_catalog::traffic_reports::{
    AttemptCounts, BudgetReport, MAX_EDITIONS, OutcomeCounts, RouteEdition,
};

/// The maximum number of services in a report. A proxy with more services reports those with the most retries.
pub const MAX_SERVICES: usize = 64;
/// The maximum length of the name of a service or member; entries with longer names are dropped.
const MAX_NAME_BYTES: usize = 256;
/// The maximum total number of entries, and the maximum number of reports.
const MAX_ENTRIES: usize = 200_000;
const NANOS_PER_MS: Nanos = 1_000_000;

/// A report with the time at which its proxy sent it.
#[derive(Clone, Debug)]
struct StoredReport {
    sent_at: Nanos,
    report: BudgetReport,
}

/// The sums of the reports of several proxies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AttemptTotals {
    /// The attempts at each service.
    pub services: BTreeMap<Name, AttemptCounts>,
    /// The number of proxies whose reports are summed.
    pub proxies: usize,
}

/// The newest report of each outbound proxy, by the address of the inbound proxy on its node.
#[derive(Clone, Debug, Default)]
pub struct BudgetReports {
    reports: HashMap<SocketAddr, StoredReport>,
    /// The total number of entries in all reports.
    entries: usize,
}

impl BudgetReports {
    /// Stores the report that a proxy sent `age` before `now`, unless a later one is stored or the table is full.
    pub fn store(&mut self, now: Nanos, inbound_proxy: SocketAddr, mut report: BudgetReport, age: Nanos) {
        let sent_at = now.saturating_sub(age);
        enforce_limits(&mut report);
        let previous = self.reports.get(&inbound_proxy);
        let previous_entries = previous.map_or(0, |previous| previous.report.entry_count());
        let entries = self.entries - previous_entries + report.entry_count();
        let is_full = entries > MAX_ENTRIES || self.reports.len() >= MAX_ENTRIES;
        if is_full || previous.is_some_and(|previous| previous.sent_at > sent_at) {
            return;
        }
        self.entries = entries;
        self.reports.insert(inbound_proxy, StoredReport { sent_at, report });
    }

    /// All reports with their ages.
    pub fn collect(&self, now: Nanos) -> Vec<CollectedReport> {
        let collected = |(inbound_proxy, stored): (&SocketAddr, &StoredReport)| {
            let age_ms = now.saturating_sub(stored.sent_at) / NANOS_PER_MS;
            CollectedReport {
                inbound_proxy: *inbound_proxy,
                age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
                report: stored.report.clone(),
            }
        };
        self.reports.iter().map(collected).collect()
    }

    /// Keeps only the reports of known proxies.
    pub fn retain(&mut self, is_known: impl Fn(SocketAddr) -> bool) {
        self.reports.retain(|inbound_proxy, _| is_known(*inbound_proxy));
        self.entries = self.reports.values().map(|stored| stored.report.entry_count()).sum();
    }

    /// The report of one proxy.
    pub fn report(&self, inbound_proxy: SocketAddr) -> Option<&BudgetReport> {
        self.reports.get(&inbound_proxy).map(|stored| &stored.report)
    }

    /// Sums the attempts at each service over the proxies selected by `is_counted`.
    pub fn attempt_totals(&self, is_counted: impl Fn(SocketAddr) -> bool) -> AttemptTotals {
        let mut totals = AttemptTotals::default();
        for report in self.selected_reports(is_counted) {
            totals.proxies += 1;
            for (service, counts) in &report.services {
                let sum = totals.services.entry(service.clone()).or_default();
                *sum = sum.saturating_add(*counts);
            }
        }
        totals
    }

    /// Sums the outcomes of each edition of members' routes over the proxies selected by `is_counted`.
    pub fn outcome_totals(
        &self,
        is_counted: impl Fn(SocketAddr) -> bool,
    ) -> BTreeMap<RouteEdition, OutcomeCounts> {
        let mut totals: BTreeMap<RouteEdition, OutcomeCounts> = BTreeMap::new();
        for report in self.selected_reports(is_counted) {
            for (edition, outcomes) in &report.outcomes {
                let sum = totals.entry(edition.clone()).or_default();
                *sum = sum.saturating_add(*outcomes);
            }
        }
        totals
    }

    fn selected_reports(
        &self,
        is_counted: impl Fn(SocketAddr) -> bool,
    ) -> impl Iterator<Item = &BudgetReport> {
        let selected = self.reports.iter().filter(move |(inbound_proxy, _)| is_counted(**inbound_proxy));
        selected.map(|(_, stored)| &stored.report)
    }
}

/// Drops the entries of a report that exceed the limits.
fn enforce_limits(report: &mut BudgetReport) {
    report.services.retain(|(service, _)| service.len() <= MAX_NAME_BYTES);
    report.services.truncate(MAX_SERVICES);
    report.outcomes.retain(|(edition, _)| edition.member.len() <= MAX_NAME_BYTES);
    report.outcomes.truncate(MAX_EDITIONS);
}
