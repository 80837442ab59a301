//! The data directory that the components of a store share.
//!
//! [`DataDirectory`] wraps a [`FileSystem`]: it adds to errors the path at which they occurred, quarantines damaged
//! files, and collects the findings of recovery.
//!
//! Invariants: a damaged file is renamed, and removed only once more than `MAX_QUARANTINED_FILES` files of its
//! directory are in quarantine.

use std::io::{self, ErrorKind};

use crate::error::StoreError;
use crate::file_system::{FileEntry, FileSystem};
use crate::recovery_finding::RecoveryFinding;

/// The suffix of a file that is being written and gets its final name once it is complete.
pub(crate) const INCOMPLETE_SUFFIX: &str = ".new";
/// The suffix of a file in quarantine.
const QUARANTINE_SUFFIX: &str = ".bad";
/// How many files each directory keeps in quarantine.
const MAX_QUARANTINED_FILES: usize = 4;

/// A directory with its findings and the size of its quarantine.
pub(crate) struct DataDirectory {
    file_system: Box<dyn FileSystem>,
    findings: Vec<RecoveryFinding>,
    quarantined_bytes: u64,
}

impl DataDirectory {
    pub(crate) fn new(file_system: Box<dyn FileSystem>) -> DataDirectory {
        DataDirectory { file_system, findings: Vec::new(), quarantined_bytes: 0 }
    }

    /// A subdirectory, which need not exist, with findings of its own.
    pub(crate) fn subdirectory(&self, path: &str) -> DataDirectory {
        DataDirectory::new(self.file_system.subdirectory(path))
    }

    pub(crate) fn findings(&self) -> &[RecoveryFinding] {
        &self.findings
    }

    pub(crate) fn quarantined_bytes(&self) -> u64 {
        self.quarantined_bytes
    }

    pub(crate) fn report(&mut self, finding: RecoveryFinding) {
        self.findings.push(finding);
    }

    pub(crate) fn create_directory(&mut self, path: &str) -> Result<(), StoreError> {
        let created = self.file_system.create_directory(path);
        created.map_err(|source| StoreError::ChangeEntry { path: path.to_owned(), source })
    }

    pub(crate) fn directory_exists(&self, path: &str) -> bool {
        self.file_system.directory_exists(path)
    }

    /// Whether a directory exists and can be listed. Any error other than its absence is returned, because the content
    /// of the directory is not known then.
    pub(crate) fn can_list(&mut self, path: &str) -> Result<bool, StoreError> {
        match self.file_system.list_files(path) {
            Ok(_) => Ok(true),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(false),
            Err(source) => Err(StoreError::Read { path: path.to_owned(), source }),
        }
    }

    /// Lists a directory in the order of names. Removes incomplete files, and all but the last
    /// `MAX_QUARANTINED_FILES` names in quarantine.
    pub(crate) fn list_and_clean(&mut self, path: &str) -> Result<Vec<FileEntry>, StoreError> {
        let listed = self.file_system.list_files(path);
        let mut entries = listed.map_err(|source| StoreError::Read { path: path.to_owned(), source })?;
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        self.remove_incomplete_files(path, &entries);
        self.limit_quarantine(path, &entries);
        Ok(entries)
    }

    fn remove_incomplete_files(&mut self, directory: &str, entries: &[FileEntry]) {
        for entry in entries.iter().filter(|entry| entry.name.ends_with(INCOMPLETE_SUFFIX)) {
            self.remove_if_possible(&format!("{directory}/{}", entry.name));
        }
    }

    fn limit_quarantine(&mut self, directory: &str, entries: &[FileEntry]) {
        let quarantined = entries.iter().filter(|entry| entry.name.ends_with(QUARANTINE_SUFFIX));
        for (index, entry) in quarantined.rev().enumerate() {
            let path = format!("{directory}/{}", entry.name);
            if index < MAX_QUARANTINED_FILES || self.file_system.remove_file(&path).is_err() {
                self.quarantined_bytes += entry.bytes;
            }
        }
    }

    /// Renames a damaged file. If that fails the file keeps its name, which is harmless.
    pub(crate) fn quarantine(&mut self, path: &str, bytes: u64) {
        if self.file_system.rename(path, &format!("{path}{QUARANTINE_SUFFIX}")).is_ok() {
            self.quarantined_bytes += bytes;
        }
        self.report(RecoveryFinding::Quarantined { path: path.to_owned(), bytes });
    }

    pub(crate) fn read_file(&mut self, path: &str) -> Result<Vec<u8>, StoreError> {
        let read = self.file_system.read_at(path, 0, u64::MAX);
        read.map_err(|source| StoreError::Read { path: path.to_owned(), source })
    }

    pub(crate) fn read_range(&mut self, path: &str, offset: u64, max_bytes: u64) -> io::Result<Vec<u8>> {
        self.file_system.read_at(path, offset, max_bytes)
    }

    pub(crate) fn write_at(&mut self, path: &str, offset: u64, bytes: &[u8]) -> Result<(), StoreError> {
        let written = self.file_system.write_at(path, offset, bytes);
        written.map_err(|source| StoreError::Write { path: path.to_owned(), source })
    }

    /// Empties a file, or creates an empty one.
    pub(crate) fn create_empty(&mut self, path: &str) -> Result<(), StoreError> {
        let emptied = self.file_system.set_length(path, 0);
        emptied.map_err(|source| StoreError::Write { path: path.to_owned(), source })
    }

    pub(crate) fn sync_file(&mut self, path: &str) -> Result<(), StoreError> {
        let synced = self.file_system.sync_file(path);
        synced.map_err(|source| StoreError::Sync { path: path.to_owned(), source })
    }

    pub(crate) fn sync_directory(&mut self, path: &str) -> Result<(), StoreError> {
        let synced = self.file_system.sync_directory(path);
        synced.map_err(|source| StoreError::Sync { path: path.to_owned(), source })
    }

    pub(crate) fn rename(&mut self, from: &str, to: &str) -> Result<(), StoreError> {
        let renamed = self.file_system.rename(from, to);
        renamed.map_err(|source| StoreError::ChangeEntry { path: to.to_owned(), source })
    }

    pub(crate) fn remove_file(&mut self, path: &str) -> io::Result<()> {
        self.file_system.remove_file(path)
    }

    /// Removes a file; a failure is ignored, because the file is harmless.
    pub(crate) fn remove_if_possible(&mut self, path: &str) {
        let _ = self.file_system.remove_file(path);
    }
}
