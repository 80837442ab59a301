//! `nodes.list`: the replicas of the control plane and the proxies that are known.
//!
//! Invariants: the fields of the JSON are part of the operators' interface.

use std::net::SocketAddr;

use ochreshed::Nanos;
use ochreshed_consensus::core::PeerStatus;
use serde::Serialize;

use super::response::AdminResponse;
use super::snapshot::{EndpointStatus, MAX_ENTRIES, ReplicaSnapshot};
use crate::mesh::control::budget_reports::CollectedReports;

const NANOS_PER_MS: Nanos = 1_000_000;

#[derive(Serialize)]
struct NodeList<'s> {
    /// The replica that answers.
    asked: SocketAddr,
    /// Its epoch.
    view: u64,
    /// It hears a quorum.
    settled: bool,
    #[serde(rename = "stewards")]
    replicas: Vec<ReplicaEntry<'s>>,
    #[serde(rename = "attendants")]
    proxies: Vec<ProxyEntry<'s>>,
    next: Option<SocketAddr>,
}

#[derive(Serialize)]
struct ReplicaEntry<'s> {
    address: SocketAddr,
    zone: &'s str,
    /// The identity of its disk in hex; 0 is that of the first start.
    disk: String,
    member: bool,
    voter: bool,
    view: u64,
    heard_ms: Option<u64>,
    leaving: bool,
    /// From its start to full service.
    full_ms: Option<u32>,
}

#[derive(Serialize)]
struct ProxyEntry<'s> {
    door: SocketAddr,
    zone: &'s str,
    serving: bool,
    quiet: bool,
    heard_ms: u32,
    service: &'s str,
    upstream: &'s str,
    full_ms: Option<u32>,
}

/// Answers from the snapshot's status, endpoints and reports.
pub fn list(snapshot: &ReplicaSnapshot) -> AdminResponse {
    let ReplicaSnapshot { status, reports, .. } = snapshot;
    let page = snapshot.endpoint_page();
    let replicas = status.replicas.iter().take(MAX_ENTRIES);
    AdminResponse::json(&NodeList {
        asked: snapshot.replica,
        view: status.epoch,
        settled: status.has_quorum,
        replicas: replicas.map(|replica| replica_entry(replica, reports)).collect(),
        proxies: page.endpoints.iter().map(|endpoint| proxy_entry(endpoint, reports)).collect(),
        next: page.next,
    })
}

fn replica_entry<'s>(status: &'s PeerStatus, reports: &CollectedReports) -> ReplicaEntry<'s> {
    ReplicaEntry {
        address: status.replica.address,
        zone: &status.zone,
        disk: format!("{:x}", status.replica.disk_id),
        member: status.member,
        voter: status.member && status.voter,
        view: status.epoch,
        heard_ms: status.heard_ago.map(|ago| ago / NANOS_PER_MS),
        leaving: status.leaving,
        full_ms: reports.replica_recovery_ms.get(&status.replica.address).copied(),
    }
}

fn proxy_entry<'s>(endpoint: &'s EndpointStatus, reports: &CollectedReports) -> ProxyEntry<'s> {
    let record = &endpoint.record;
    ProxyEntry {
        door: record.inbound_proxy,
        zone: &record.zone,
        serving: record.accepts_clients,
        quiet: endpoint.suspected,
        heard_ms: endpoint.last_heard_ms_ago,
        service: &record.service,
        upstream: &record.upstream_id,
        full_ms: reports.reports.report(record.inbound_proxy).and_then(|report| report.recovery_ms),
    }
}
