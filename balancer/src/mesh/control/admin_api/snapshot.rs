//! The data for the response to a query, taken from the replica at one time.
//!
//! Main types: [`ReplicaSnapshot`], and [`EndpointStatus`] for each listed proxy.
//!
//! Invariants: a snapshot has plain values, so that responses are computed without I/O; it contains only what this
//! replica knows or has just received from others.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ochreshed::Nanos;
use ochreshed_catalog::endpoints::{EndpointRecord, EndpointTable, UpstreamState};

use super::configuration_history::StoredVersion;
use super::request::{AdminQuery, AdminQueryKind};
use crate::mesh::control::budget_reports::CollectedReports;
use crate::mesh::control::replica_status::ReplicaStatus;
use crate::mesh::settings::OperatingBounds;

/// The maximum number of entries in a response. Further pages are requested with `after`.
pub const MAX_ENTRIES: usize = 1_000;

/// An endpoint record and the reachability of its proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointStatus {
    pub record: EndpointRecord,
    pub last_heard_ms_ago: u32,
    pub suspected: bool,
}

/// The data that a query is answered from.
#[derive(Clone, Debug)]
pub struct ReplicaSnapshot {
    /// The address of the responding replica.
    pub replica: SocketAddr,
    pub status: ReplicaStatus,
    /// The endpoints that [`select_endpoints`] returned.
    pub endpoints: Vec<EndpointStatus>,
    /// The versions of the configuration on this disk; empty unless the query needs them.
    pub stored_versions: Vec<StoredVersion>,
    /// Empty unless the query needs them.
    pub reports: CollectedReports,
    pub bounds: OperatingBounds,
    /// Disk writes since the start of the process.
    pub disk_writes: u64,
    /// Log records in these writes.
    pub disk_records: u64,
}

/// One page of the list of endpoints.
pub struct EndpointPage<'s> {
    pub endpoints: &'s [EndpointStatus],
    /// The value of `after` for the next page, if there is one.
    pub next: Option<SocketAddr>,
}

impl ReplicaSnapshot {
    /// Returns the first page of the selected endpoints.
    #[must_use]
    pub fn endpoint_page(&self) -> EndpointPage<'_> {
        let endpoints = &self.endpoints[..self.endpoints.len().min(MAX_ENTRIES)];
        let last = endpoints.last().filter(|_| self.endpoints.len() > MAX_ENTRIES);
        EndpointPage { endpoints, next: last.map(|last| last.record.inbound_proxy) }
    }
}

/// Returns the endpoints that the query needs, sorted by the address of their inbound proxies. For a list this is one
/// more than fits on a page, which shows whether there is a next page.
#[must_use]
pub fn select_endpoints(query: &AdminQuery, table: &EndpointTable, now: Nanos) -> Vec<EndpointStatus> {
    let max_endpoints = match query.kind {
        AdminQueryKind::Nodes | AdminQueryKind::Upstreams => MAX_ENTRIES + 1,
        AdminQueryKind::Budgets | AdminQueryKind::DrainUpstream(_) => usize::MAX,
        AdminQueryKind::ConfigurationHistory | AdminQueryKind::LeaseCounts | AdminQueryKind::Lease(_) => {
            return Vec::new();
        }
    };
    let is_after = |record: &&EndpointRecord| Some(record.inbound_proxy) > query.after;
    let mut records: Vec<&EndpointRecord> = table.records().filter(is_after).collect();
    records.sort_by_key(|record| record.inbound_proxy);
    records.truncate(max_endpoints);
    let last_heard: BTreeMap<SocketAddr, u32> = table.last_heard_ms_ago(now).into_iter().collect();
    let suspects = table.suspects();
    let status = |record: &EndpointRecord| EndpointStatus {
        record: record.clone(),
        last_heard_ms_ago: last_heard.get(&record.inbound_proxy).copied().unwrap_or(0),
        suspected: suspects.binary_search(&record.inbound_proxy).is_ok(),
    };
    records.into_iter().map(status).collect()
}

/// Returns the name of an upstream's state in the operators' interface.
#[must_use]
pub fn upstream_state_name(state: UpstreamState) -> &'static str {
    match state {
        UpstreamState::Serving => "open",
        UpstreamState::Draining => "closing",
        UpstreamState::Absent => "gone",
    }
}
