//! A simulated disk that loses power, refuses calls or is full on demand.
//!
//! It separates what a process sees from what is durable: the content of files and the names in directories both have
//! changes that no sync has made durable yet. A loss of power keeps any of them, completely or in part.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ochreshed_consensus::messages::PersistedState;
use ochreshed_storage::file_system::{FileEntry, FileSystem, ROOT_DIRECTORY};
use ochreshed_storage::{LogLimits, Store, StoreError};

use crate::random::SeededRandom;
use crate::replica_state::ReplicaState;

/// Limits that make segments end and be compacted within a few writes.
pub const SMALL_LIMITS: LogLimits = LogLimits {
    max_segment_bytes: 600,
    quarter_live_above_bytes: 1_200,
    half_live_above_bytes: 5_000,
    max_segments: 8,
    compaction_step_bytes: 300,
};

/// For a disk that never loses power.
pub const NEVER: u64 = u64::MAX;

/// How many bytes of a torn write are kept or lost together.
const SECTOR_BYTES: usize = 16;

enum FileChange {
    SetLength(usize),
    Write { offset: usize, bytes: Vec<u8> },
}

impl FileChange {
    fn apply_to(&self, content: &mut Vec<u8>) {
        match self {
            FileChange::SetLength(length) => content.resize(*length, 0),
            FileChange::Write { offset, bytes } => {
                content.resize(content.len().max(offset + bytes.len()), 0);
                content[*offset..offset + bytes.len()].copy_from_slice(bytes);
            }
        }
    }

    /// Whether it overwrites all of the other change.
    fn covers(&self, other: &FileChange) -> bool {
        use FileChange::{SetLength, Write};
        match (self, other) {
            (SetLength(length), SetLength(other) | Write { offset: other, .. }) => length <= other,
            (Write { offset, .. }, Write { offset: other, .. }) => offset == other,
            (Write { .. }, SetLength(_)) => false,
        }
    }

    /// A part of a write, truncated or with zeroed sectors.
    fn torn(self, random: &mut SeededRandom) -> FileChange {
        let FileChange::Write { offset, mut bytes } = self else { return self };
        if random.one_in(2) {
            bytes.truncate(random.below(bytes.len() as u64 + 1) as usize);
        } else {
            for sector in bytes.chunks_mut(SECTOR_BYTES) {
                if random.one_in(2) {
                    sector.fill(0);
                }
            }
        }
        FileChange::Write { offset, bytes }
    }
}

struct UnsyncedChange {
    change: FileChange,
    /// A sync of this change failed, and no later sync makes it durable.
    sync_failed: bool,
}

/// The content of a file.
#[derive(Default)]
struct Inode {
    durable: Vec<u8>,
    visible: Vec<u8>,
    unsynced: Vec<UnsyncedChange>,
}

enum NameChange {
    Create { path: String, inode: usize },
    Rename { from: String, to: String, inode: usize },
    Remove { path: String, inode: usize },
}

impl NameChange {
    fn apply_to(&self, names: &mut BTreeMap<String, usize>) {
        match self {
            NameChange::Create { path, inode } => {
                names.insert(path.clone(), *inode);
            }
            NameChange::Rename { from, to, inode } if names.get(from) == Some(inode) => {
                names.remove(from);
                names.insert(to.clone(), *inode);
            }
            NameChange::Remove { path, inode } if names.get(path) == Some(inode) => {
                names.remove(path);
            }
            NameChange::Rename { .. } | NameChange::Remove { .. } => {}
        }
    }

    fn creates(&self, created: usize) -> bool {
        matches!(self, NameChange::Create { inode, .. } if *inode == created)
    }

    fn touches(&self, name: &str) -> bool {
        match self {
            NameChange::Create { path, .. } | NameChange::Remove { path, .. } => path == name,
            NameChange::Rename { from, to, .. } => from == name || to == name,
        }
    }

    fn is_within(&self, directory: &str) -> bool {
        let (NameChange::Create { path, .. }
        | NameChange::Rename { from: path, .. }
        | NameChange::Remove { path, .. }) = self;
        split_path(path).0 == directory
    }
}

/// The directory and the name of a file.
fn split_path(path: &str) -> (&str, &str) {
    path.rsplit_once('/').unwrap_or((ROOT_DIRECTORY, path))
}

/// The result of a call.
struct CallResult {
    /// Whether it is carried out. If not, a write may still be carried out in part.
    carried_out: bool,
    returned: io::Result<()>,
}

struct DiskState {
    inodes: Vec<Inode>,
    visible_names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    unsynced_names: Vec<NameChange>,
    /// Directories whose names no sync has made durable yet; with such a name, all files below it may be lost.
    unsynced_directories: BTreeSet<String>,
    durable_directories: BTreeSet<String>,
    calls: u64,
    syncs: u64,
    /// The call in which power is lost.
    power_loss_call: u64,
    refused_calls: Range<u64>,
    capacity_bytes: usize,
    random: SeededRandom,
}

impl DiskState {
    /// Counts a call. Power may be lost before or after it is carried out.
    fn begin_call(&mut self) -> CallResult {
        self.calls += 1;
        if self.is_off() {
            let carried_out = self.calls == self.power_loss_call && self.random.one_in(2);
            return CallResult { carried_out, returned: Err(ErrorKind::BrokenPipe.into()) };
        }
        if self.refused_calls.contains(&self.calls) {
            return CallResult { carried_out: false, returned: Err(ErrorKind::PermissionDenied.into()) };
        }
        CallResult { carried_out: true, returned: Ok(()) }
    }

    fn is_off(&self) -> bool {
        self.calls >= self.power_loss_call
    }

    fn inode(&self, path: &str) -> io::Result<usize> {
        self.visible_names.get(path).copied().ok_or(ErrorKind::NotFound.into())
    }

    fn inode_or_create(&mut self, path: &str) -> usize {
        self.inode(path).unwrap_or_else(|_| {
            self.inodes.push(Inode::default());
            let inode = self.inodes.len() - 1;
            self.visible_names.insert(path.to_owned(), inode);
            self.unsynced_names.push(NameChange::Create { path: path.to_owned(), inode });
            inode
        })
    }

    fn change_file(&mut self, path: &str, change: FileChange) {
        let inode = self.inode_or_create(path);
        let inode = &mut self.inodes[inode];
        change.apply_to(&mut inode.visible);
        inode.unsynced.push(UnsyncedChange { change, sync_failed: false });
    }

    fn used_bytes(&self) -> usize {
        self.visible_names.values().map(|inode| self.inodes[*inode].visible.len()).sum()
    }

    fn sync_content(&mut self, inode: usize) {
        let inode = &mut self.inodes[inode];
        let mut changes = std::mem::take(&mut inode.unsynced);
        while !changes.is_empty() {
            let UnsyncedChange { change, sync_failed } = changes.remove(0);
            let is_covered = |change: &FileChange| {
                changes.iter().any(|later| !later.sync_failed && later.change.covers(change))
            };
            if !sync_failed {
                change.apply_to(&mut inode.durable);
            } else if !is_covered(&change) {
                inode.unsynced.push(UnsyncedChange { change, sync_failed: true });
            }
        }
    }

    /// A sync of a new file also makes its name durable, together with earlier changes of that name.
    fn sync_name_of_new_file(&mut self, path: &str, inode: usize) {
        let Some(created) = self.unsynced_names.iter().position(|change| change.creates(inode)) else {
            return;
        };
        let mut synced = self.unsynced_names.drain(..=created).collect::<Vec<NameChange>>();
        let unsynced = synced.extract_if(.., |change| !change.touches(path)).collect::<Vec<NameChange>>();
        self.unsynced_names.splice(..0, unsynced);
        synced.iter().for_each(|change| change.apply_to(&mut self.durable_names));
    }

    /// Keeps any of the unsynced changes: none, all, or each one completely, in part or not at all.
    fn lose_power(&mut self) {
        const KEEP_NOTHING: u64 = 0;
        const KEEP_ALL: u64 = 1;
        let outcome = self.random.below(4);
        for inode in &mut self.inodes {
            for unsynced in std::mem::take(&mut inode.unsynced) {
                let change_outcome = if outcome <= KEEP_ALL { outcome } else { self.random.below(3) };
                match change_outcome {
                    KEEP_NOTHING => {}
                    KEEP_ALL => unsynced.change.apply_to(&mut inode.durable),
                    _ => unsynced.change.torn(&mut self.random).apply_to(&mut inode.durable),
                }
            }
            inode.visible = inode.durable.clone();
        }
        for change in std::mem::take(&mut self.unsynced_names) {
            if outcome == KEEP_ALL || outcome > KEEP_ALL && self.random.below(2) == 1 {
                change.apply_to(&mut self.durable_names);
            }
        }
        for directory in std::mem::take(&mut self.unsynced_directories) {
            if outcome == KEEP_ALL || outcome > KEEP_ALL && self.random.below(2) == 1 {
                self.durable_directories.insert(directory);
            } else {
                let prefix = format!("{directory}/");
                self.durable_names.retain(|path, _| !path.starts_with(&prefix));
            }
        }
        self.visible_names = self.durable_names.clone();
    }

    fn sync_directory_names(&mut self, parent: &str) {
        let (synced, unsynced) = std::mem::take(&mut self.unsynced_directories)
            .into_iter()
            .partition(|directory| split_path(directory).0 == parent);
        self.unsynced_directories = unsynced;
        self.durable_directories.extend::<BTreeSet<String>>(synced);
    }
}

/// The number of calls that the store made to the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallCounts {
    pub calls: u64,
    /// How many of them were syncs of files and directories.
    pub syncs: u64,
}

/// The names on a disk, to be restored by [`SimulatedDisk::restore_names`].
pub struct SavedNames(BTreeMap<String, usize>);

/// A reopened store, and the state that it recovered.
pub struct Reopened {
    pub store: Store,
    pub state: ReplicaState,
}

/// A handle of the disk. Clones share the disk.
#[derive(Clone)]
pub struct SimulatedDisk {
    state: Arc<Mutex<DiskState>>,
    /// The prefix of all paths: empty, or a subdirectory and a slash.
    prefix: String,
}

impl SimulatedDisk {
    /// A disk without faults.
    pub fn reliable() -> SimulatedDisk {
        SimulatedDisk::new(0, NEVER, 0..0)
    }

    pub fn new(seed: u64, power_loss_call: u64, refused_calls: Range<u64>) -> SimulatedDisk {
        let state = DiskState {
            inodes: Vec::new(),
            visible_names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            unsynced_names: Vec::new(),
            unsynced_directories: BTreeSet::new(),
            durable_directories: BTreeSet::new(),
            calls: 0,
            syncs: 0,
            power_loss_call,
            refused_calls,
            capacity_bytes: usize::MAX,
            random: SeededRandom::new(seed),
        };
        SimulatedDisk { state: Arc::new(Mutex::new(state)), prefix: String::new() }
    }

    fn lock(&self) -> MutexGuard<'_, DiskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn full_path(&self, path: &str) -> String {
        match (self.prefix.as_str(), path) {
            ("", path) => path.to_owned(),
            (prefix, ROOT_DIRECTORY) => prefix.trim_end_matches('/').to_owned(),
            (prefix, path) => format!("{prefix}{path}"),
        }
    }

    pub fn open(&self) -> Result<(Store, PersistedState), StoreError> {
        self.open_with_limits(SMALL_LIMITS)
    }

    pub fn open_with_limits(&self, limits: LogLimits) -> Result<(Store, PersistedState), StoreError> {
        Store::open_in(Box::new(self.clone()), limits)
    }

    /// Opens a store on a disk that has no faults at present.
    pub fn reopen(&self) -> Reopened {
        let (store, persisted) = self.open().expect("a disk without faults opens");
        Reopened { store, state: ReplicaState::from_persisted(&persisted) }
    }

    pub fn is_off(&self) -> bool {
        self.lock().is_off()
    }

    pub fn call_counts(&self) -> CallCounts {
        let state = self.lock();
        CallCounts { calls: state.calls, syncs: state.syncs }
    }

    pub fn set_power_loss_call(&self, call: u64) {
        self.lock().power_loss_call = call;
    }

    pub fn set_capacity_bytes(&self, bytes: usize) {
        self.lock().capacity_bytes = bytes;
    }

    /// Ends all faults. Files are as the killed process saw them.
    pub fn restart_process(&self) {
        let mut state = self.lock();
        state.power_loss_call = NEVER;
        state.refused_calls = 0..0;
        state.capacity_bytes = usize::MAX;
    }

    /// Ends all faults, and loses what is not durable.
    pub fn restart_machine(&self) {
        self.restart_process();
        self.lock().lose_power();
    }

    pub fn paths(&self) -> Vec<String> {
        self.lock().visible_names.keys().cloned().collect()
    }

    pub fn has_file(&self, path: &str) -> bool {
        self.lock().inode(path).is_ok()
    }

    pub fn save_names(&self) -> SavedNames {
        SavedNames(self.lock().visible_names.clone())
    }

    pub fn restore_names(&self, saved: SavedNames) {
        self.lock().visible_names = saved.0;
    }

    /// What a process sees of a file.
    pub fn content(&self, path: &str) -> Vec<u8> {
        let state = self.lock();
        state.inodes[state.visible_names[path]].visible.clone()
    }

    /// Changes what a process sees of a file, without counting a call.
    pub fn set_content(&self, path: &str, content: Vec<u8>) {
        let mut state = self.lock();
        let inode = state.visible_names[path];
        state.inodes[inode].visible = content;
    }
}

impl FileSystem for SimulatedDisk {
    /// Never fails. The root exists from the start and is durable.
    fn create_directory(&mut self, path: &str) -> io::Result<()> {
        let path = self.full_path(path);
        let mut state = self.lock();
        if path != ROOT_DIRECTORY && !state.durable_directories.contains(&path) {
            state.unsynced_directories.insert(path);
        }
        Ok(())
    }

    fn directory_exists(&self, path: &str) -> bool {
        let path = format!("{}/", self.full_path(path));
        self.lock().visible_names.keys().any(|name| name.starts_with(&path))
    }

    fn subdirectory(&self, path: &str) -> Box<dyn FileSystem> {
        let prefix = format!("{}/", self.full_path(path));
        Box::new(SimulatedDisk { state: Arc::clone(&self.state), prefix })
    }

    fn list_files(&mut self, directory: &str) -> io::Result<Vec<FileEntry>> {
        let directory = self.full_path(directory);
        let mut state = self.lock();
        state.begin_call().returned?;
        let entries = state.visible_names.iter().filter_map(|(path, inode)| {
            let (parent, name) = split_path(path);
            let bytes = state.inodes[*inode].visible.len() as u64;
            (parent == directory).then(|| FileEntry { name: name.to_owned(), bytes })
        });
        Ok(entries.collect())
    }

    fn read_at(&mut self, path: &str, offset: u64, max_bytes: u64) -> io::Result<Vec<u8>> {
        let path = self.full_path(path);
        let mut state = self.lock();
        state.begin_call().returned?;
        let inode = state.inode(&path)?;
        let bytes = state.inodes[inode].visible.get(offset as usize..).unwrap_or_default();
        let length = usize::try_from(max_bytes).unwrap_or(usize::MAX).min(bytes.len());
        Ok(bytes[..length].to_vec())
    }

    fn write_at(&mut self, path: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let path = self.full_path(path);
        let mut state = self.lock();
        let CallResult { carried_out, mut returned } = state.begin_call();
        let mut written_bytes = bytes.len();
        if returned.is_ok() && state.used_bytes() + bytes.len() > state.capacity_bytes {
            written_bytes = state.capacity_bytes.saturating_sub(state.used_bytes());
            returned = Err(ErrorKind::StorageFull.into());
        } else if !carried_out {
            written_bytes = state.random.below(bytes.len() as u64 + 1) as usize;
        }
        let bytes = bytes[..written_bytes].to_vec();
        state.change_file(&path, FileChange::Write { offset: offset as usize, bytes });
        returned
    }

    fn set_length(&mut self, path: &str, bytes: u64) -> io::Result<()> {
        let path = self.full_path(path);
        let mut state = self.lock();
        let CallResult { carried_out, returned } = state.begin_call();
        if carried_out {
            state.change_file(&path, FileChange::SetLength(bytes as usize));
        }
        returned
    }

    fn sync_file(&mut self, path: &str) -> io::Result<()> {
        let path = self.full_path(path);
        let mut state = self.lock();
        state.syncs += 1;
        let CallResult { carried_out, returned } = state.begin_call();
        let inode = state.inode_or_create(&path);
        if carried_out {
            state.sync_content(inode);
            state.sync_name_of_new_file(&path, inode);
        } else if !state.is_off() {
            state.inodes[inode].unsynced.iter_mut().for_each(|unsynced| unsynced.sync_failed = true);
        }
        returned
    }

    fn sync_directory(&mut self, path: &str) -> io::Result<()> {
        let path = self.full_path(path);
        let mut state = self.lock();
        state.syncs += 1;
        let CallResult { carried_out, returned } = state.begin_call();
        if carried_out {
            let (synced, unsynced): (Vec<_>, Vec<_>) = std::mem::take(&mut state.unsynced_names)
                .into_iter()
                .partition(|change| change.is_within(&path));
            state.unsynced_names = unsynced;
            synced.iter().for_each(|change| change.apply_to(&mut state.durable_names));
            state.sync_directory_names(&path);
        }
        returned
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let (from, to) = (self.full_path(from), self.full_path(to));
        let mut state = self.lock();
        let CallResult { carried_out, returned } = state.begin_call();
        if carried_out {
            let inode = state.inode(&from)?;
            state.visible_names.remove(&from);
            state.visible_names.insert(to.clone(), inode);
            state.unsynced_names.push(NameChange::Rename { from, to, inode });
        }
        returned
    }

    fn remove_file(&mut self, path: &str) -> io::Result<()> {
        let path = self.full_path(path);
        let mut state = self.lock();
        let CallResult { carried_out, returned } = state.begin_call();
        if carried_out {
            let inode = state.inode(&path)?;
            state.visible_names.remove(&path);
            state.unsynced_names.push(NameChange::Remove { path, inode });
        }
        returned
    }
}
