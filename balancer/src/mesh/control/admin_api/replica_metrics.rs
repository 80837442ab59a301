//! The metrics of a replica: `GET /metrics`.
//!
//! Invariants: names and help texts of metrics are part of the operators' interface.

use hyper::Response;
use ochreshed::Nanos;
use ochreshed_consensus::core::PeerStatus;

use super::response::AdminResponse;
use crate::mesh::control::replica_server::ReplicaServer;
use crate::mesh::control::replica_status::ReplicaStatus;
use crate::mesh::proxy::connection_pool::ResponseBody;
use crate::mesh::shared::metrics::MetricsPage;

/// The role in the names of the metrics.
const ROLE: &str = "steward";
const NANOS_PER_S: f64 = 1e9;

/// Answers a scrape.
pub async fn respond(server: &ReplicaServer) -> Response<ResponseBody> {
    let Some(status) = server.read_status(None).await else { return AdminResponse::busy().into() };
    let endpoints = server.read_endpoints(|table| table.len());
    let suspects = server.suspects().len();
    let page = add_membership(MetricsPage::for_role(ROLE), &status);
    add_leases(page, &status)
        .gauge("sessions", "Sessions held", status.sessions.sessions as f64)
        .gauge("tombstones", "Ends of upstreams that are kept", status.tombstones.stored as f64)
        .counter("tombstones_evicted", "Ends dropped before their time", status.tombstones.evicted)
        .gauge("endpoint_records", "Records of upstreams", endpoints as f64)
        .gauge("unreachable", "Machines not heard of late", suspects as f64)
        .counter("disk_writes", "Writes to the disk, each with a sync", server.disk_writes.writes())
        .counter("disk_records", "Records written", server.disk_writes.records())
        .into_response()
}

fn add_membership(page: MetricsPage, status: &ReplicaStatus) -> MetricsPage {
    let members: Vec<&PeerStatus> = status.replicas.iter().filter(|replica| replica.member).collect();
    let voters = members.iter().filter(|member| member.voter).count();
    let version = status.committed_configuration.map_or(0, |revision| revision.version);
    page.gauge("epoch", "Number of the membership", status.epoch as f64)
        .gauge("members", "Members of the control plane", members.len() as f64)
        .gauge("voters", "Members that vote, as this one knows", voters as f64)
        .gauge("quorum", "1 while a majority is heard", f64::from(u8::from(status.has_quorum)))
        .gauge("configuration_version", "Newest that a majority holds", version as f64)
}

fn add_leases(page: MetricsPage, status: &ReplicaStatus) -> MetricsPage {
    let counts = status.lease_counts;
    let seconds = |age: Option<Nanos>| age.unwrap_or(0) as f64 / NANOS_PER_S;
    let (oldest_lease_s, oldest_write_s) =
        (seconds(status.oldest_pending_lease_age), seconds(status.oldest_quorum_write_age));
    let pending_writes = status.pending_quorum_writes as f64;
    page.gauge("leases_open", "Keys at work", counts.pending as f64)
        .gauge("leases_unknown", "Keys of unknown outcome", counts.indeterminate as f64)
        .gauge("leases_done", "Keys with a kept outcome", counts.completed as f64)
        .gauge("lease_oldest_open_seconds", "Age of the oldest key at work", oldest_lease_s)
        .gauge("quorum_writes_pending", "Writes that wait for a majority", pending_writes)
        .gauge("quorum_write_oldest_seconds", "Age of the oldest write that waits", oldest_write_s)
        .gauge("kept_answer_bytes", "Bytes of kept answers", status.response_cache.bytes as f64)
}
