//! `keys.count` and `keys.show`: the leases on idempotency keys.
//!
//! Invariants: the JSON fields and state names are part of the operators' interface.

use ochreshed::Nanos;
use ochreshed_consensus::messages::LeaseOutcome;
use serde::Serialize;

use super::response::AdminResponse;
use super::snapshot::ReplicaSnapshot;
use crate::mesh::control::replica_status::StoredLease;
use crate::mesh::proxy::lease_client;

const NANOS_PER_MS: Nanos = 1_000_000;
/// The token of a lease for which two replicas reported different holders; see `LeaseToken`.
const DISPUTED_TOKEN: u64 = 0;

#[derive(Serialize)]
struct LeaseCountsEntry {
    #[serde(rename = "open")]
    pending: usize,
    #[serde(rename = "unknown")]
    indeterminate: usize,
    #[serde(rename = "done")]
    completed: usize,
    #[serde(rename = "oldest_open_ms")]
    oldest_pending_ms: Option<u64>,
    #[serde(rename = "answer_bytes")]
    response_bytes: usize,
    #[serde(rename = "most_answer_bytes")]
    max_response_bytes: usize,
    /// Responses evicted since the start of the replica.
    #[serde(rename = "answers_dropped")]
    responses_dropped: u64,
    disk_writes: u64,
    disk_records: u64,
}

#[derive(Serialize)]
struct LeaseEntry<'q> {
    key: &'q str,
    hashed: String,
    state: &'static str,
    known_ms: Option<u64>,
    /// Whether replicas reported different holders, so that it is unknown which one has the lease.
    disputed: bool,
    /// The status of the stored response.
    status: Option<u16>,
    /// The body length of the stored response.
    bytes: Option<usize>,
}

/// Answers `keys.count`.
pub fn count_leases(snapshot: &ReplicaSnapshot) -> AdminResponse {
    let status = &snapshot.status;
    AdminResponse::json(&LeaseCountsEntry {
        pending: status.lease_counts.pending,
        indeterminate: status.lease_counts.indeterminate,
        completed: status.lease_counts.completed,
        oldest_pending_ms: status.oldest_pending_lease_age.map(|age| age / NANOS_PER_MS),
        response_bytes: status.response_cache.bytes,
        max_response_bytes: status.response_cache.max_bytes,
        responses_dropped: status.response_cache.evicted,
        disk_writes: snapshot.disk_writes,
        disk_records: snapshot.disk_records,
    })
}

/// Answers `keys.show`.
pub fn show_lease(key: &str, stored: Option<&StoredLease>) -> AdminResponse {
    let mut entry = LeaseEntry {
        key,
        hashed: format!("{:032x}", lease_client::hash_key(key.as_bytes())),
        state: "none",
        known_ms: stored.map(|stored| stored.age / NANOS_PER_MS),
        disputed: false,
        status: None,
        bytes: None,
    };
    match stored.map(|stored| &stored.lease) {
        None => {}
        Some(lease) => match &lease.outcome {
            LeaseOutcome::Pending => {
                entry.state = "open";
                entry.disputed = lease.token == DISPUTED_TOKEN;
            }
            LeaseOutcome::Indeterminate => entry.state = "unknown",
            LeaseOutcome::Completed(response) => {
                entry.state = "done";
                entry.status = Some(response.status);
                entry.bytes = Some(response.body.len());
            }
        },
    }
    AdminResponse::json(&entry)
}
