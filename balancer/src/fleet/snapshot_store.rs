//! Snapshots of an instance's state in the configured folder.
//!
//! A lock file keeps a second process from writing there. Writing happens off the request path. A snapshot
//! that can't be read or written is logged, and never prevents a start or fails a request.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};

use ochreshed_recovery::snapshot::{MAX_SNAPSHOT_BYTES, Snapshot};
use ochreshed_recovery::snapshot_file::{SNAPSHOT_FILE_NAME, SnapshotDir, save_snapshot};
use tokio::task::spawn_blocking;
use tracing::warn;

const LOCK_FILE: &str = "lock";

struct SnapshotFolder<'a>(&'a Path);

impl SnapshotDir for SnapshotFolder<'_> {
    type Error = io::Error;

    fn write_file(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        File::create(self.0.join(name))?.write_all(bytes)
    }

    fn sync_file(&mut self, name: &str) -> io::Result<()> {
        File::open(self.0.join(name))?.sync_all()
    }

    fn rename_file(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.0.join(from), self.0.join(to))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(self.0)?.sync_all()
    }

    fn remove_file(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.0.join(name))
    }
}

/// The folder of this instance's snapshots.
pub struct SnapshotStore {
    folder: PathBuf,
    /// Held while this process is the writer; None while another one is.
    lock: Arc<Mutex<Option<File>>>,
    /// The last write was refused because another process holds the folder; it is to be retried.
    refused: Arc<AtomicBool>,
    /// A write is running.
    writing: Arc<AtomicBool>,
    /// The last write failed, and the failure has been logged.
    failed: Arc<AtomicBool>,
}

impl SnapshotStore {
    pub fn new(folder: &Path) -> SnapshotStore {
        SnapshotStore {
            folder: folder.to_owned(),
            lock: Arc::default(),
            refused: Arc::default(),
            writing: Arc::default(),
            failed: Arc::default(),
        }
    }

    /// Reads this instance's snapshot. One that exists but can't be used is logged.
    pub fn read(&self, fleet: &str, instance: &str, now: u64) -> Option<Snapshot> {
        let path = self.folder.join(SNAPSHOT_FILE_NAME);
        match read_file(&path) {
            Ok(None) => None,
            Ok(Some(bytes)) => match Snapshot::decode_for_instance(&bytes, fleet, instance, now) {
                Ok(snapshot) => Some(snapshot),
                Err(error) => {
                    warn!("can't use snapshot {}: {error}; the start goes on without", path.display());
                    None
                }
            },
            Err(error) => {
                warn!("can't read snapshot {}: {error}; the start goes on without", path.display());
                None
            }
        }
    }

    /// Whether a write was refused because another process holds the folder. Clears the flag.
    pub fn take_refused(&self) -> bool {
        self.refused.swap(false, Relaxed)
    }

    /// Writes a snapshot in the background. Returns false if a write is still running.
    pub fn write(&self, snapshot: Snapshot) -> bool {
        if self.writing.swap(true, Relaxed) {
            return false;
        }
        let (folder, writing, failed) = (self.folder.clone(), self.writing.clone(), self.failed.clone());
        let (lock, refused) = (self.lock.clone(), self.refused.clone());
        spawn_blocking(move || {
            let mut lock = lock.lock().unwrap_or_else(PoisonError::into_inner);
            let locked = acquire_lock(&mut lock, &folder).map_err(|error| {
                refused.store(true, Relaxed);
                format!("no snapshots in {}: {error}", folder.display())
            });
            let written = locked.and_then(|()| {
                let saved = save_snapshot(&mut SnapshotFolder(&folder), &snapshot.encode());
                saved.map_err(|error| {
                    format!("can't write snapshot in {}: {error}; the previous one is kept", folder.display())
                })
            });
            match written {
                Ok(()) => failed.store(false, Relaxed),
                // Logged once for a series of failures.
                Err(error) if !failed.swap(true, Relaxed) => warn!("{error}"),
                Err(_) => {}
            }
            writing.store(false, Relaxed);
        });
        true
    }
}

/// Makes this process the writer of the folder. The lock of a process that has died is free.
fn acquire_lock(lock: &mut Option<File>, folder: &Path) -> io::Result<()> {
    if lock.is_none() {
        fs::create_dir_all(folder)?;
        let file =
            OpenOptions::new().create(true).truncate(false).write(true).open(folder.join(LOCK_FILE))?;
        file.try_lock().map_err(|_| io::Error::other("another process writes snapshots here"))?;
        *lock = Some(file);
    }
    Ok(())
}

/// Returns None if there is no such file. Reads no more than the maximum size of a snapshot.
pub fn read_file(path: &Path) -> io::Result<Option<Vec<u8>>> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let mut bytes = Vec::new();
    file.take(MAX_SNAPSHOT_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    Ok(Some(bytes))
}

/// `ochreshed snapshot show|verify`: checks whether its instance could use a snapshot, and shows what it
/// holds.
pub fn inspect(path: &Path, show: bool) -> Result<String, String> {
    let with_path = |error: String| format!("{}: {error}", path.display());
    let bytes = read_file(path)
        .map_err(|e| with_path(e.to_string()))?
        .ok_or_else(|| with_path("there is no such file".into()))?;
    let snapshot = Snapshot::decode(&bytes).map_err(|error| with_path(error.to_string()))?;
    let Snapshot { fleet, instance, sequence, written_at_unix_ns, stamp, entries, statuses, floor } =
        snapshot;
    let age = super::unix_nanos().saturating_sub(written_at_unix_ns) / 1_000_000_000;
    let mut lines = vec![format!(
        "snapshot {sequence} of {instance} of fleet {fleet}, {age} s old, {} bytes: list {}.{} of {} srvs, {} words, floor {}.{}",
        bytes.len(),
        stamp.epoch,
        stamp.version,
        entries.len(),
        statuses.len(),
        floor.epoch,
        floor.version
    )];
    if show {
        lines.extend(entries.iter().map(|entry| {
            let state = if entry.draining { "drains" } else { "serves" };
            format!(
                "srv {} {state} in {} at {}, weight {}",
                entry.server, entry.site, entry.address, entry.weight
            )
        }));
        lines.extend(statuses.iter().map(|(server, record)| {
            format!(
                "word {server} {:?} by list {}.{}",
                record.status, record.stamp.epoch, record.stamp.version
            )
        }));
    }
    Ok(lines.join("\n"))
}
