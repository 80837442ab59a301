//! `budget.list`: the use of services' retry budgets, and the outcomes of requests on members' routes.
//!
//! Invariants: the JSON fields are part of the operators' interface; only proxies that were heard within the budget's
//! window are counted, because the reports of others are out of date.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use ochreshed::Name;
use ochreshed_catalog::endpoints::UpstreamState;
use ochreshed_catalog::traffic_reports::AttemptCounts;
use ochreshed_catalog::traffic_reports::{OutcomeCounts, RouteEdition};
use ochreshed_traffic::budget_reports::AttemptTotals;
use serde::Serialize;

use super::response::AdminResponse;
use super::snapshot::{EndpointStatus, MAX_ENTRIES, ReplicaSnapshot};
use crate::mesh::settings::OperatingBounds;

/// The role that enforces the budgets, by its name in the operators' interface.
const BUDGET_ENFORCING_ROLE: &str = "attendants";

#[derive(Serialize)]
struct BudgetList<'s> {
    kept_by: &'static str,
    window_ms: u64,
    retry_ratio: f64,
    retry_slack: f64,
    /// The number of proxies that accept clients.
    #[serde(rename = "gates")]
    proxies: usize,
    /// The number of proxies whose reports are included.
    #[serde(rename = "gates_told")]
    reporting_proxies: usize,
    /// Replicas that did not return the reports that they received.
    #[serde(rename = "silent")]
    unreachable_replicas: &'s [SocketAddr],
    services: Vec<ServiceEntry>,
    /// Outcomes by member and document version.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    members: Vec<MemberEntry>,
}

#[derive(Serialize)]
struct MemberEntry {
    member: Name,
    edition: String,
    #[serde(rename = "trial")]
    canary: bool,
    /// First attempts in the budget's window.
    #[serde(rename = "first")]
    first_attempts: u32,
    #[serde(rename = "again")]
    retries: u32,
    /// Retries denied by the budget.
    #[serde(rename = "refused")]
    denied_retries: u32,
    #[serde(rename = "turned")]
    rejected: u32,
    #[serde(rename = "well")]
    succeeded: u32,
    failed: u32,
}

impl From<(RouteEdition, OutcomeCounts)> for MemberEntry {
    fn from((edition, counts): (RouteEdition, OutcomeCounts)) -> MemberEntry {
        MemberEntry {
            member: edition.member,
            edition: format!("r{}", edition.version),
            canary: edition.canary,
            first_attempts: counts.first,
            retries: counts.retried,
            denied_retries: counts.denied,
            rejected: counts.rejected,
            succeeded: counts.succeeded,
            failed: counts.failed,
        }
    }
}

#[derive(Serialize)]
struct ServiceEntry {
    service: String,
    upstreams: usize,
    /// First attempts in the budget's window.
    #[serde(rename = "first")]
    first_attempts: u32,
    #[serde(rename = "again")]
    retries: u32,
    /// Retries denied by the budget.
    #[serde(rename = "refused")]
    denied_retries: u32,
    /// Retries that the budget allows in the window.
    #[serde(rename = "allowed")]
    retries_allowed: f64,
    /// Allowed retries minus those made; may be negative.
    #[serde(rename = "left")]
    retries_left: f64,
}

/// The number of upstreams of a service, and its attempts.
#[derive(Default)]
struct ServiceUsage {
    upstreams: usize,
    attempts: AttemptCounts,
}

/// Answers `budget.list` from a snapshot.
pub fn list_budgets(snapshot: &ReplicaSnapshot) -> AdminResponse {
    let (reports, bounds) = (&snapshot.reports.reports, &snapshot.bounds);
    let window_ms = bounds.retry_window.as_millis() as u64;
    let heard = proxies_heard_within(&snapshot.endpoints, window_ms);
    let AttemptTotals { services: attempts, proxies: reporting_proxies } =
        reports.attempt_totals(|proxy| heard.contains(&proxy));
    let outcomes = reports.outcome_totals(|proxy| heard.contains(&proxy));
    let usage = usage_by_service(&snapshot.endpoints, attempts);
    let services = usage.into_iter().take(MAX_ENTRIES);
    let serving_proxies = snapshot.endpoints.iter().filter(|endpoint| endpoint.record.accepts_clients);
    AdminResponse::json(&BudgetList {
        kept_by: BUDGET_ENFORCING_ROLE,
        window_ms,
        retry_ratio: bounds.retry_ratio,
        retry_slack: bounds.retry_slack,
        proxies: serving_proxies.count(),
        reporting_proxies,
        unreachable_replicas: &snapshot.reports.unreachable_replicas,
        services: services.map(|(service, usage)| service_entry(service, &usage, bounds)).collect(),
        members: outcomes.into_iter().take(MAX_ENTRIES).map(MemberEntry::from).collect(),
    })
}

fn proxies_heard_within(endpoints: &[EndpointStatus], window_ms: u64) -> BTreeSet<SocketAddr> {
    let heard = endpoints.iter().filter(|endpoint| u64::from(endpoint.last_heard_ms_ago) <= window_ms);
    heard.map(|endpoint| endpoint.record.inbound_proxy).collect()
}

/// Returns the usage of all services that have an upstream or made attempts.
fn usage_by_service(
    endpoints: &[EndpointStatus],
    attempts: BTreeMap<Name, AttemptCounts>,
) -> BTreeMap<String, ServiceUsage> {
    let mut usage: BTreeMap<String, ServiceUsage> = BTreeMap::new();
    for EndpointStatus { record, .. } in endpoints {
        if !record.upstream_id.is_empty() && record.state != UpstreamState::Absent {
            usage.entry(record.service.clone()).or_default().upstreams += 1;
        }
    }
    for (service, attempts) in attempts {
        usage.entry(service.to_string()).or_default().attempts = attempts;
    }
    usage
}

fn service_entry(service: String, usage: &ServiceUsage, bounds: &OperatingBounds) -> ServiceEntry {
    let attempts = &usage.attempts;
    let allowed = bounds.retry_ratio * f64::from(attempts.first) + bounds.retry_slack;
    let left = allowed - f64::from(attempts.retried);
    ServiceEntry {
        service,
        upstreams: usage.upstreams,
        first_attempts: attempts.first,
        retries: attempts.retried,
        denied_retries: attempts.denied,
        retries_allowed: round_to_tenths(allowed),
        retries_left: round_to_tenths(left),
    }
}

fn round_to_tenths(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}
