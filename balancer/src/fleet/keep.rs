//! Snapshots in the operator's folder. It owns the files there and the lock that keeps a second writer out, writes beside the
//! req path, and must never fail a start or a req: what can't be read or written is one log line.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};

use ochreshed_recovery::disk::{self, Disk, NAME};
use ochreshed_recovery::snapshot::{MOST, Snapshot};
use tokio::task::spawn_blocking;
use tracing::warn;

const LOCK: &str = "lock";

struct Folder<'a>(&'a Path);

impl Disk for Folder<'_> {
    type Error = io::Error;

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        File::create(self.0.join(name))?.write_all(bytes)
    }

    fn flush(&mut self, name: &str) -> io::Result<()> {
        File::open(self.0.join(name))?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.0.join(from), self.0.join(to))
    }

    fn flush_folder(&mut self) -> io::Result<()> {
        File::open(self.0)?.sync_all()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
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
        let path = self.folder.join(NAME);
        match read(&path) {
            Ok(None) => None,
            Ok(Some(bytes)) => match Snapshot::own(&bytes, fleet, instance, now) {
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
                let saved = disk::save(&mut Folder(&folder), &snapshot.write());
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
    file.take(MOST as u64 + 1).read_to_end(&mut bytes)?;
    Ok(Some(bytes))
}

/// `ochreshed snapshot show|verify`: whether a file is a snapshot that could be taken by its instance, and what it holds.
pub fn inspect(path: &Path, show: bool) -> Result<String, String> {
    let said = |why: String| format!("{}: {why}", path.display());
    let bytes =
        read(path).map_err(|e| said(e.to_string()))?.ok_or_else(|| said("there is no such file".into()))?;
    let snapshot = Snapshot::read(&bytes).map_err(|wrong| said(wrong.to_string()))?;
    let Snapshot { fleet, instance, number, written, stamp, list, words, floor } = snapshot;
    let age = super::unix_nanos().saturating_sub(written) / 1_000_000_000;
    let mut lines = vec![format!(
        "snapshot {number} of {instance} of fleet {fleet}, {age} s old, {} bytes: list {}.{} of {} srvs, {} words, floor {}.{}",
        bytes.len(),
        stamp.epoch,
        stamp.version,
        list.len(),
        words.len(),
        floor.epoch,
        floor.version
    )];
    if show {
        lines.extend(list.iter().map(|entry| {
            let state = if entry.drains { "drains" } else { "serves" };
            format!(
                "srv {} {state} in {} at {}, weight {}",
                entry.srv, entry.site, entry.address, entry.weight
            )
        }));
        lines.extend(words.iter().map(|(srv, word)| {
            format!("word {srv} {:?} by list {}.{}", word.status, word.stamp.epoch, word.stamp.version)
        }));
    }
    Ok(lines.join("\n"))
}
