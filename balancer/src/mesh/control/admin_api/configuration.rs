//! `timetable.replace`, `timetable.read` and `timetable.history`: the operator's configuration.
//!
//! Invariants: a configuration is validated before it is sent to the core, and acknowledged only after a quorum has it
//! on disk.

use std::sync::Arc;
use std::time::Duration;

use ochreshed_catalog::configuration::Configuration;
use ochreshed_consensus::messages::{CoreRequest, CoreResponse, RegisterValue};
use serde::Serialize;

use super::configuration_history::StoredVersion;
use super::response::AdminResponse;
use super::snapshot::{MAX_ENTRIES, ReplicaSnapshot};
use crate::mesh::control::replica_server::{ADMIN_CALL_TIMEOUT, ReplicaServer};

/// Timeout of a change while this replica has no quorum. It is short, because the change will most likely fail.
const NO_QUORUM_TIMEOUT: Duration = Duration::from_millis(800);

#[derive(Serialize)]
struct HistoryList {
    versions: Vec<VersionEntry>,
}

#[derive(Serialize)]
struct VersionEntry {
    edition: String,
    digest: String,
    bytes: u64,
    written_ms: u64,
    in_force: bool,
}

/// Answers `timetable.read`.
pub async fn read_configuration(server: &ReplicaServer) -> AdminResponse {
    match server.request_core(CoreRequest::ReadConfiguration, ADMIN_CALL_TIMEOUT).await {
        CoreResponse::Register(Some(value)) => {
            AdminResponse::Json(String::from_utf8_lossy(&value.bytes).into_owned())
        }
        CoreResponse::Register(None) => AdminResponse::error(404, "no timetable was ever taken"),
        _ => AdminResponse::error(503, "more than half of the core is not reached"),
    }
}

/// Answers `timetable.replace`.
pub async fn replace_configuration(server: &ReplicaServer, bytes: Vec<u8>) -> AdminResponse {
    let version = match Configuration::read(&bytes) {
        Ok(configuration) => configuration.version,
        Err(faults) => {
            log::info!("configuration rejected: faults={} first={}", faults.len(), faults[0]);
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            return AdminResponse::error(400, lines.join("\n"));
        }
    };
    let has_quorum = server.published().has_quorum;
    let time_limit = if has_quorum { ADMIN_CALL_TIMEOUT } else { NO_QUORUM_TIMEOUT };
    let request = CoreRequest::ReplaceConfiguration(Arc::new(RegisterValue::new(version, bytes)));
    match server.request_core(request, time_limit).await {
        CoreResponse::Accepted => AdminResponse::Json("{}".into()),
        CoreResponse::Conflict => {
            AdminResponse::error(409, "another configuration was taken under this edition")
        }
        _ => AdminResponse::error(503, "not safe on more than half of the core yet: send it again"),
    }
}

/// Answers `timetable.history`.
pub fn list_versions(snapshot: &ReplicaSnapshot) -> AdminResponse {
    let in_force = snapshot.status.committed_configuration;
    let entry = |stored: &StoredVersion| VersionEntry {
        edition: format!("r{}", stored.revision.version),
        digest: format!("{:016x}", stored.revision.digest),
        bytes: stored.bytes,
        written_ms: stored.written_ms,
        in_force: in_force == Some(stored.revision),
    };
    let versions = snapshot.stored_versions.iter().take(MAX_ENTRIES).map(entry).collect();
    AdminResponse::json(&HistoryList { versions })
}
