//! `nodes.list`: the replicas of the control plane and the known proxies.
//!
//! Invariants: the JSON fields are part of the operators' interface.

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
    #[serde(rename = "asked")]
    answering_replica: SocketAddr,
    #[serde(rename = "view")]
    epoch: u64,
    #[serde(rename = "settled")]
    has_quorum: bool,
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
    /// The ID of its disk in hex; 0 for a disk that was created at the first start of the mesh.
    #[serde(rename = "disk")]
    disk_id: String,
    member: bool,
    voter: bool,
    #[serde(rename = "view")]
    epoch: u64,
    #[serde(rename = "heard_ms")]
    last_heard_ms_ago: Option<u64>,
    leaving: bool,
    /// The time from its start to full service.
    #[serde(rename = "full_ms")]
    recovery_ms: Option<u32>,
}

#[derive(Serialize)]
struct ProxyEntry<'s> {
    #[serde(rename = "door")]
    inbound_proxy: SocketAddr,
    zone: &'s str,
    #[serde(rename = "serving")]
    accepts_clients: bool,
    #[serde(rename = "quiet")]
    suspected: bool,
    #[serde(rename = "heard_ms")]
    last_heard_ms_ago: u32,
    service: &'s str,
    #[serde(rename = "upstream")]
    upstream_id: &'s str,
    #[serde(rename = "full_ms")]
    recovery_ms: Option<u32>,
}

/// Answers `nodes.list` from a snapshot.
pub fn list_nodes(snapshot: &ReplicaSnapshot) -> AdminResponse {
    let ReplicaSnapshot { status, reports, .. } = snapshot;
    let page = snapshot.endpoint_page();
    let replicas = status.replicas.iter().take(MAX_ENTRIES);
    AdminResponse::json(&NodeList {
        answering_replica: snapshot.replica,
        epoch: status.epoch,
        has_quorum: status.has_quorum,
        replicas: replicas.map(|replica| replica_entry(replica, reports)).collect(),
        proxies: page.endpoints.iter().map(|endpoint| proxy_entry(endpoint, reports)).collect(),
        next: page.next,
    })
}

fn replica_entry<'s>(status: &'s PeerStatus, reports: &CollectedReports) -> ReplicaEntry<'s> {
    ReplicaEntry {
        address: status.replica.address,
        zone: &status.zone,
        disk_id: format!("{:x}", status.replica.disk_id),
        member: status.member,
        voter: status.member && status.voter,
        epoch: status.epoch,
        last_heard_ms_ago: status.heard_ago.map(|ago| ago / NANOS_PER_MS),
        leaving: status.leaving,
        recovery_ms: reports.replica_recovery_ms.get(&status.replica.address).copied(),
    }
}

fn proxy_entry<'s>(endpoint: &'s EndpointStatus, reports: &CollectedReports) -> ProxyEntry<'s> {
    let record = &endpoint.record;
    ProxyEntry {
        inbound_proxy: record.inbound_proxy,
        zone: &record.zone,
        accepts_clients: record.accepts_clients,
        suspected: endpoint.suspected,
        last_heard_ms_ago: endpoint.last_heard_ms_ago,
        service: &record.service,
        upstream_id: &record.upstream_id,
        recovery_ms: reports.reports.report(record.inbound_proxy).and_then(|report| report.recovery_ms),
    }
}
