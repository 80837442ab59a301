//! The versions of the operator's configuration on this replica's disk.
//!
//! Main type: [`StoredVersion`].
//!
//! Invariants: files that are still being written, or whose names don't match, are skipped.

use std::ffi::OsStr;
use std::path::Path;
use std::time::UNIX_EPOCH;

use ochreshed_consensus::messages::Revision;

/// The subdirectory of `data_dir` with the configuration's versions.
const HISTORY_DIRECTORY: &str = "timetable";
/// The maximum number of files that are read from that directory.
const MAX_HISTORY_FILES: usize = 1_000;

/// A version of the configuration on this disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoredVersion {
    pub revision: Revision,
    /// The length of the file.
    pub bytes: u64,
    /// The file's modification time, in Unix milliseconds.
    pub written_ms: u64,
}

/// Lists the versions whose file names mark them as complete, latest first. Blocks on disk I/O and must not be called
/// on the async runtime's thread.
pub fn list_stored_versions(data_dir: &Path) -> std::io::Result<Vec<StoredVersion>> {
    let mut versions = Vec::new();
    for file in std::fs::read_dir(data_dir.join(HISTORY_DIRECTORY))?.take(MAX_HISTORY_FILES) {
        let file = file?;
        let Some(revision) = parse_file_name(&file.file_name()) else { continue };
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

/// Parses the revision in a file name such as `r12-00000000000000ff.json`.
fn parse_file_name(name: &OsStr) -> Option<Revision> {
    let revision = name.to_str()?.strip_prefix('r')?.strip_suffix(".json")?;
    let (version, digest) = revision.split_once('-')?;
    let is_hex = |text: &str| text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_hex(version) || !is_hex(digest) {
        return None;
    }
    Some(Revision::new(version.parse().ok()?, u64::from_str_radix(digest, 16).ok()?))
}
