//! The versions of the operator's configuration that lie on this replica's disk.
//!
//! Main type: [`StoredVersion`].
//!
//! Invariants: files that are being written or that have another name are skipped.

use std::ffi::OsStr;
use std::path::Path;
use std::time::UNIX_EPOCH;

use ochreshed_consensus::messages::Revision;

/// The folder of the configuration's versions within `data_dir`.
const HISTORY_FOLDER: &str = "timetable";
/// How many files of that folder are looked at.
const MAX_HISTORY_FILES: usize = 1_000;

/// A version of the configuration in a file on this disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoredVersion {
    pub revision: Revision,
    /// The file's length.
    pub bytes: u64,
    /// When the file was written, by this machine's clock, in Unix milliseconds.
    pub written_ms: u64,
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
