//! Snapshots in the operator's folder. It owns the files there and the lock that keeps a second writer out, writes beside the
//! req path, and must never fail a start or a req: what can't be read or written is one log line.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};

use ochreshed_recovery::snapshot::{MAX_SNAPSHOT_BYTES, Snapshot};
use ochreshed_recovery::snapshot_file::{SNAPSHOT_FILE_NAME, SnapshotDir, save_snapshot};
use tokio::task::spawn_blocking;
use tracing::warn;

const LOCK: &str = "lock";

struct Folder<'a>(&'a Path);

impl SnapshotDir for Folder<'_> {
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

/// Where this instance's snapshots are.
pub struct Keep {
    folder: PathBuf,
    /// Held for as long as this process writes; empty while another one does.
    lock: Arc<Mutex<Option<File>>>,
    /// Another process has the folder still: it is to be tried again.
    missed: Arc<AtomicBool>,
    /// One is being written.
    busy: Arc<AtomicBool>,
    /// The last one failed, and that was said.
    failed: Arc<AtomicBool>,
}

impl Keep {
    pub fn new(folder: &Path) -> Keep {
        Keep {
            folder: folder.to_owned(),
            lock: Arc::default(),
            missed: Arc::default(),
            busy: Arc::default(),
            failed: Arc::default(),
        }
    }

    /// The snapshot of this instance, if there is one that can be taken; else why not, where there is something.
    pub fn read(&self, fleet: &str, instance: &str, now: u64) -> Option<Snapshot> {
        let path = self.folder.join(SNAPSHOT_FILE_NAME);
        match read(&path) {
            Ok(None) => None,
            Ok(Some(bytes)) => match Snapshot::decode_for_instance(&bytes, fleet, instance, now) {
                Ok(snapshot) => Some(snapshot),
                Err(wrong) => {
                    warn!("snapshot {}: {wrong}; the start goes on without", path.display());
                    None
                }
            },
            Err(why) => {
                warn!("snapshot {}: {why}; the start goes on without", path.display());
                None
            }
        }
    }

    /// Whether the last one could not be written because another process has the folder; once.
    pub fn missed(&self) -> bool {
        self.missed.swap(false, Relaxed)
    }

    /// Writes one beside everything else, unless one is being written: whether it was begun.
    pub fn write(&self, snapshot: Snapshot) -> bool {
        if self.busy.swap(true, Relaxed) {
            return false;
        }
        let (folder, busy, failed) = (self.folder.clone(), self.busy.clone(), self.failed.clone());
        let (lock, missed) = (self.lock.clone(), self.missed.clone());
        spawn_blocking(move || {
            let mut lock = lock.lock().unwrap_or_else(PoisonError::into_inner);
            let owned = own(&mut lock, &folder).map_err(|why| {
                missed.store(true, Relaxed);
                format!("no snapshots in {}: {why}", folder.display())
            });
            let written = owned.and_then(|()| {
                let saved = save_snapshot(&mut Folder(&folder), &snapshot.encode());
                saved.map_err(|why| format!("snapshot in {}: {why}; the one before stands", folder.display()))
            });
            match written {
                Ok(()) => failed.store(false, Relaxed),
                // Said once for as long as it lasts.
                Err(why) if !failed.swap(true, Relaxed) => warn!("{why}"),
                Err(_) => {}
            }
            busy.store(false, Relaxed);
        });
        true
    }
}

/// Makes this process the one that writes here. The lock of one that has died is free.
fn own(lock: &mut Option<File>, folder: &Path) -> io::Result<()> {
    if lock.is_none() {
        fs::create_dir_all(folder)?;
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(folder.join(LOCK))?;
        file.try_lock().map_err(|_| io::Error::other("another process writes snapshots here"))?;
        *lock = Some(file);
    }
    Ok(())
}

/// None where there is no such file. No more than its bound is read.
pub fn read(path: &Path) -> io::Result<Option<Vec<u8>>> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(why) if why.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(why) => return Err(why),
    };
    let mut bytes = Vec::new();
    file.take(MAX_SNAPSHOT_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    Ok(Some(bytes))
}

/// `ochreshed snapshot show|verify`: whether a file is a snapshot that could be taken by its instance, and what it holds.
pub fn inspect(path: &Path, show: bool) -> Result<String, String> {
    let said = |why: String| format!("{}: {why}", path.display());
    let bytes =
        read(path).map_err(|e| said(e.to_string()))?.ok_or_else(|| said("there is no such file".into()))?;
    let snapshot = Snapshot::decode(&bytes).map_err(|wrong| said(wrong.to_string()))?;
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
        lines.extend(statuses.iter().map(|(srv, word)| {
            format!("word {srv} {:?} by list {}.{}", word.status, word.stamp.epoch, word.stamp.version)
        }));
    }
    Ok(lines.join("\n"))
}
