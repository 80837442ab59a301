//! `timetable.replace`, `timetable.read` and `timetable.history`: the operator's configuration.
//!
//! Main type: [`StoredVersion`], a version on this replica's disk.
//!
//! Invariants: a configuration is validated before the core sees it, and acknowledged only once a quorum holds it on disk.

use std::ffi::OsStr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use ochreshed_catalog::configuration::Configuration;
use ochreshed_consensus::messages::{CoreRequest, CoreResponse, RegisterValue, Revision};
use serde::Serialize;

use super::response::AdminResponse;
use super::snapshot::{MAX_ENTRIES, ReplicaSnapshot};
use crate::mesh::control::replica_server::{ADMIN_CALL_TIMEOUT, ReplicaServer};

/// The folder of the configuration's versions within `data_dir`.
const HISTORY_FOLDER: &str = "timetable";
/// How many files of that folder are looked at.
const MAX_HISTORY_FILES: usize = 1_000;
/// How long a change waits for the core while this replica hears no quorum: most likely there is none to wait for.
const NO_QUORUM_TIMEOUT: Duration = Duration::from_millis(800);

/// A version of the configuration in a file on this disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoredVersion {
    pub revision: Revision,
    /// The file's length.
    pub bytes: u64,
    /// When the file was written, by this machine's clock, in Unix milliseconds.
    pub written_ms: u64,
}

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
pub async fn read(server: &ReplicaServer) -> AdminResponse {
    match server.request(CoreRequest::ReadConfiguration, ADMIN_CALL_TIMEOUT).await {
        CoreResponse::Register(Some(value)) => {
            AdminResponse::Json(String::from_utf8_lossy(&value.bytes).into_owned())
        }
        CoreResponse::Register(None) => AdminResponse::error(404, "no timetable was ever taken"),
        _ => AdminResponse::error(503, "more than half of the core is not reached"),
    }
}

/// Answers `timetable.replace`.
pub async fn replace(server: &ReplicaServer, bytes: Vec<u8>) -> AdminResponse {
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
    match server.request(request, time_limit).await {
        CoreResponse::Accepted => AdminResponse::Json("{}".into()),
        CoreResponse::Conflict => {
            AdminResponse::error(409, "another configuration was taken under this edition")
        }
        _ => AdminResponse::error(503, "not safe on more than half of the core yet: send it again"),
    }
}

/// Answers `timetable.history`.
pub fn history(snapshot: &ReplicaSnapshot) -> AdminResponse {
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

/// The versions whose files are complete by their names, the latest first. It blocks on the disk, so it is to be called
/// off the runtime's thread.
pub fn stored_versions(data_dir: &Path) -> std::io::Result<Vec<StoredVersion>> {
    let mut versions = Vec::new();
    for file in std::fs::read_dir(data_dir.join(HISTORY_FOLDER))?.take(MAX_HISTORY_FILES) {
        let file = file?;
        let Some(revision) = revision_of_file(&file.file_name()) else { continue };
        // The file may have been removed in the meantime.
        let Ok(metadata) = file.metadata() else { continue };
        let written = metadata.modified().ok().and_then(|time| time.duration_since(UNIX_EPOCH).ok());
        let written_ms = written.map_or(0, |since_epoch| since_epoch.as_millis() as u64);
        versions.push(StoredVersion { revision, bytes: metadata.len(), written_ms });
    }
    versions.sort();
    versions.reverse();
    Ok(versions)
}

/// The revision in the name of a file, as in `r12-00000000000000ff.json`.
fn revision_of_file(name: &OsStr) -> Option<Revision> {
    let revision = name.to_str()?.strip_prefix('r')?.strip_suffix(".json")?;
    let (version, digest) = revision.split_once('-')?;
    let is_hex = |text: &str| text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_hex(version) || !is_hex(digest) {
        return None;
    }
    Some(Revision::new(version.parse().ok()?, u64::from_str_radix(digest, 16).ok()?))
}
