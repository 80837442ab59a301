//! `upstreams.list`: the upstreams registered by proxies.
//!
//! Invariants: the JSON fields are part of the operators' interface.

use std::net::SocketAddr;

use ochreshed_catalog::endpoints::UpstreamHealth;
use serde::Serialize;

use super::response::AdminResponse;
use super::snapshot::{EndpointStatus, ReplicaSnapshot, upstream_state_name};

#[derive(Serialize)]
struct UpstreamList<'s> {
    upstreams: Vec<UpstreamEntry<'s>>,
    next: Option<SocketAddr>,
}

#[derive(Serialize)]
struct UpstreamEntry<'s> {
    id: &'s str,
    #[serde(rename = "line")]
    service: &'s str,
    zone: &'s str,
    #[serde(rename = "edition")]
    software_version: &'s str,
    state: &'static str,
    #[serde(rename = "slots")]
    concurrency_limit: u32,
    #[serde(rename = "cold_ms")]
    warming_up_ms: u64,
    /// Failures and slowness observed by its inbound proxy; omitted if there are none.
    #[serde(rename = "ill", skip_serializing_if = "UpstreamHealth::is_healthy")]
    health: UpstreamHealth,
    #[serde(rename = "door")]
    inbound_proxy: SocketAddr,
    #[serde(rename = "serving")]
    accepts_clients: bool,
    #[serde(rename = "quiet")]
    suspected: bool,
}

/// Answers `upstreams.list` from a snapshot. Endpoints without an upstream are omitted, so a page may be short.
pub fn list_upstreams(snapshot: &ReplicaSnapshot) -> AdminResponse {
    let page = snapshot.endpoint_page();
    let with_upstream = page.endpoints.iter().filter(|endpoint| !endpoint.record.upstream_id.is_empty());
    let upstreams = with_upstream.map(upstream_entry).collect();
    AdminResponse::json(&UpstreamList { upstreams, next: page.next })
}

fn upstream_entry(endpoint: &EndpointStatus) -> UpstreamEntry<'_> {
    let record = &endpoint.record;
    UpstreamEntry {
        id: &record.upstream_id,
        service: &record.service,
        zone: &record.zone,
        software_version: &record.software_version,
        state: upstream_state_name(record.state),
        concurrency_limit: record.concurrency_limit,
        warming_up_ms: record.warming_up_ms,
        health: record.health,
        inbound_proxy: record.inbound_proxy,
        accepts_clients: record.accepts_clients,
        suspected: endpoint.suspected,
    }
}
