//! `budget.list`: how services use their retry budgets, and how requests on members' routes end.
//!
//! Invariants: the fields of the JSON are part of the operators' interface; only proxies that were heard within the
//! budget's window count, since what others reported is over.

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

/// Who keeps the budgets, in the operators' word.
const BUDGET_KEEPER: &str = "attendants";

#[derive(Serialize)]
struct BudgetList<'s> {
    kept_by: &'static str,
    window_ms: u64,
    retry_ratio: f64,
    retry_slack: f64,
    /// Proxies that accept clients, and how many proxies' reports are summed up.
    #[serde(rename = "gates")]
    proxies: usize,
    #[serde(rename = "gates_told")]
    reporting_proxies: usize,
    /// Replicas that could not be asked for the reports that they received.
    #[serde(rename = "silent")]
    unreachable_replicas: &'s [SocketAddr],
    services: Vec<ServiceEntry>,
    /// Members on whose routes requests were sent.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    members: Vec<MemberEntry>,
}

#[derive(Serialize)]
struct MemberEntry {
    member: Name,
    edition: String,
    #[serde(rename = "trial")]
    canary: bool,
    /// In the window of the budget.
    #[serde(rename = "first")]
    first_attempts: u32,
    #[serde(rename = "again")]
    retries: u32,
    /// Retries that the budget did not allow.
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
    /// In the window of the budget.
    #[serde(rename = "first")]
    first_attempts: u32,
    #[serde(rename = "again")]
    retries: u32,
    /// Retries that the budget did not allow.
    #[serde(rename = "refused")]
    denied_retries: u32,
    /// How many retries the budget allows in the window, and that less those made; may be below zero.
    #[serde(rename = "allowed")]
    retries_allowed: f64,
    #[serde(rename = "left")]
    retries_left: f64,
}

/// A service's upstreams and attempts.
#[derive(Default)]
struct ServiceUsage {
    upstreams: usize,
    attempts: AttemptCounts,
}

/// Answers from the snapshot's endpoints and reports.
pub fn list(snapshot: &ReplicaSnapshot) -> AdminResponse {
    let (reports, limits) = (&snapshot.reports.reports, &snapshot.limits);
    let window_ms = limits.retry_window.as_millis() as u64;
    let heard = proxies_heard_within(&snapshot.endpoints, window_ms);
    let AttemptTotals { services: attempts, proxies: reporting_proxies } =
        reports.attempt_totals(|proxy| heard.contains(&proxy));
    let outcomes = reports.outcome_totals(|proxy| heard.contains(&proxy));
    let usage = usage_by_service(&snapshot.endpoints, attempts);
    let services = usage.into_iter().take(MAX_ENTRIES);
    let serving_proxies = snapshot.endpoints.iter().filter(|endpoint| endpoint.record.accepts_clients);
    AdminResponse::json(&BudgetList {
        kept_by: BUDGET_KEEPER,
        window_ms,
        retry_ratio: limits.retry_ratio,
        retry_slack: limits.retry_slack,
        proxies: serving_proxies.count(),
        reporting_proxies,
        unreachable_replicas: &snapshot.reports.unreachable_replicas,
        services: services.map(|(service, usage)| service_entry(service, &usage, limits)).collect(),
        members: outcomes.into_iter().take(MAX_ENTRIES).map(MemberEntry::from).collect(),
    })
}

fn proxies_heard_within(endpoints: &[EndpointStatus], window_ms: u64) -> BTreeSet<SocketAddr> {
    let heard = endpoints.iter().filter(|endpoint| u64::from(endpoint.last_heard_ms_ago) <= window_ms);
    heard.map(|endpoint| endpoint.record.inbound_proxy).collect()
}

/// Services that have an upstream or made attempts.
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

fn service_entry(service: String, usage: &ServiceUsage, limits: &OperatingBounds) -> ServiceEntry {
    let attempts = &usage.attempts;
    let allowed = limits.retry_ratio * f64::from(attempts.first) + limits.retry_slack;
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
