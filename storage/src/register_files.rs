//! Register files: the operator's configuration and named registers, one file per version, with the last
//! `RETAINED_VERSIONS` of each register retained.
//!
//! A file holds the bytes as the operator sent them. The digest in its name shows whether they are intact, and the
//! highest intact version is current. See `register_file_name` for the names.
//!
//! Invariants:
//! - A file whose bytes don't match the digest in its name is never taken for a version.
//! - A version gets its name only once its bytes are synced.
//! - The directory of named registers exists only once one was persisted.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;

use ochreshed_consensus::messages::{NamedRegister, RegisterValue, Revision};

use crate::data_directory::{DataDirectory, INCOMPLETE_SUFFIX};
use crate::error::StoreError;
use crate::file_system::ROOT_DIRECTORY;
use crate::register_file_name::{
    CONFIGURATION_DIRECTORY, NAMED_REGISTER_DIRECTORY, RegisterFileName, RegisterFilePrefix,
};

/// How many versions of each register stay on disk.
const RETAINED_VERSIONS: usize = 5;

/// The versions of one register on disk, with the lengths of their files.
type VersionSizes = BTreeMap<Revision, u64>;

/// The registers on disk.
#[derive(Default)]
pub(crate) struct RegisterFiles {
    versions: BTreeMap<RegisterFilePrefix, VersionSizes>,
    has_named_directory: bool,
}

impl RegisterFiles {
    /// Reads the current configuration.
    pub(crate) fn recover_configuration(
        &mut self,
        directory: &mut DataDirectory,
    ) -> Result<Option<Arc<RegisterValue>>, StoreError> {
        let mut values = self.recover_directory(directory, CONFIGURATION_DIRECTORY)?;
        Ok(values.remove(&RegisterFilePrefix::configuration()))
    }

    /// Reads the current value of each named register.
    pub(crate) fn recover_named(
        &mut self,
        directory: &mut DataDirectory,
    ) -> Result<Vec<NamedRegister>, StoreError> {
        self.has_named_directory = directory.can_list(NAMED_REGISTER_DIRECTORY)?;
        if !self.has_named_directory {
            return Ok(Vec::new());
        }
        let values = self.recover_directory(directory, NAMED_REGISTER_DIRECTORY)?;
        let named = values.into_iter().filter_map(|(prefix, value)| {
            let name = prefix.register_name()?.into();
            Some(NamedRegister { name, value })
        });
        Ok(named.collect())
    }

    pub(crate) fn has_named_directory(&self) -> bool {
        self.has_named_directory
    }

    pub(crate) fn disk_bytes(&self) -> u64 {
        self.versions.values().flat_map(VersionSizes::values).sum()
    }

    /// Makes a version of a register durable, unless this or a higher one is.
    pub(crate) fn persist(
        &mut self,
        directory: &mut DataDirectory,
        prefix: &RegisterFilePrefix,
        value: &RegisterValue,
    ) -> Result<(), StoreError> {
        if self.has_version_since(prefix, value.revision()) {
            return Ok(());
        }
        if prefix.directory() == NAMED_REGISTER_DIRECTORY {
            self.create_named_directory(directory)?;
        }
        write_version(directory, prefix, value)?;
        let versions = self.versions.entry(prefix.clone()).or_default();
        versions.insert(value.revision(), value.bytes.len() as u64);
        remove_old_versions(directory, prefix, versions);
        Ok(())
    }

    fn has_version_since(&self, prefix: &RegisterFilePrefix, revision: Revision) -> bool {
        let newest = self.versions.get(prefix).and_then(VersionSizes::last_key_value);
        newest.is_some_and(|(newest, _)| *newest >= revision)
    }

    fn create_named_directory(&mut self, directory: &mut DataDirectory) -> Result<(), StoreError> {
        if !self.has_named_directory {
            directory.create_directory(NAMED_REGISTER_DIRECTORY)?;
            directory.sync_directory(ROOT_DIRECTORY)?;
            self.has_named_directory = true;
        }
        Ok(())
    }

    /// The highest intact version of each register in a directory.
    fn recover_directory(
        &mut self,
        directory: &mut DataDirectory,
        path: &str,
    ) -> Result<BTreeMap<RegisterFilePrefix, Arc<RegisterValue>>, StoreError> {
        let mut listed: BTreeMap<RegisterFilePrefix, VersionSizes> = BTreeMap::new();
        for entry in directory.list_and_clean(path)? {
            if let Some(name) = RegisterFileName::parse(&format!("{path}/{}", entry.name)) {
                listed.entry(name.prefix).or_default().insert(name.revision, entry.bytes);
            }
        }
        let mut values = BTreeMap::new();
        for (prefix, mut versions) in listed {
            if let Some(value) = recover_newest(directory, &prefix, &mut versions)? {
                values.insert(prefix.clone(), Arc::new(value));
            }
            self.versions.insert(prefix, versions);
        }
        Ok(values)
    }
}

/// Reads the highest intact version. Those above it are quarantined.
fn recover_newest(
    directory: &mut DataDirectory,
    prefix: &RegisterFilePrefix,
    versions: &mut VersionSizes,
) -> Result<Option<RegisterValue>, StoreError> {
    while let Some((&revision, &bytes)) = versions.last_key_value() {
        let path = prefix.path(revision);
        let value = RegisterValue::new(revision.version, directory.read_file(&path)?);
        if value.digest == revision.digest {
            return Ok(Some(value));
        }
        directory.quarantine(&path, bytes);
        versions.remove(&revision);
    }
    Ok(None)
}

fn write_version(
    directory: &mut DataDirectory,
    prefix: &RegisterFilePrefix,
    value: &RegisterValue,
) -> Result<(), StoreError> {
    let path = prefix.path(value.revision());
    let incomplete_path = format!("{path}{INCOMPLETE_SUFFIX}");
    if let Err(error) = write_incomplete_file(directory, &incomplete_path, &value.bytes) {
        // The disk may be full, so the file must not take up space.
        directory.remove_if_possible(&incomplete_path);
        return Err(error);
    }
    directory.rename(&incomplete_path, &path)?;
    directory.sync_directory(prefix.directory())
}

fn write_incomplete_file(directory: &mut DataDirectory, path: &str, bytes: &[u8]) -> Result<(), StoreError> {
    directory.create_empty(path)?;
    directory.write_at(path, 0, bytes)?;
    directory.sync_file(path)
}

/// A file that can't be removed, or reappears after a loss of power, is removed later: it is never the highest version.
fn remove_old_versions(
    directory: &mut DataDirectory,
    prefix: &RegisterFilePrefix,
    versions: &mut VersionSizes,
) {
    while versions.len() > RETAINED_VERSIONS {
        let Some((revision, _)) = versions.pop_first() else { break };
        directory.remove_if_possible(&prefix.path(revision));
    }
}

/// Reads the versions of a named register that a data directory retains, the newest first.
///
/// The directory may belong to a store that is open in this or another process. Damaged files are passed over.
///
/// # Errors
/// If the directory of named registers can't be listed, as when no register was ever persisted.
pub fn read_register_history(data_dir: &Path, register_name: &str) -> io::Result<Vec<RegisterValue>> {
    let prefix = RegisterFilePrefix::named(register_name);
    let directory = data_dir.join(NAMED_REGISTER_DIRECTORY);
    let mut values = Vec::new();
    for entry in fs::read_dir(&directory)? {
        let Ok(file_name) = entry?.file_name().into_string() else { continue };
        let parsed = RegisterFileName::parse(&format!("{NAMED_REGISTER_DIRECTORY}/{file_name}"));
        let Some(name) = parsed.filter(|name| name.prefix == prefix) else { continue };
        // The store may have removed the file since it was listed, which is no error.
        let Ok(bytes) = fs::read(directory.join(&file_name)) else { continue };
        let value = RegisterValue::new(name.revision.version, bytes);
        if value.digest == name.revision.digest {
            values.push(value);
        }
    }
    values.sort_by_key(|value| Reverse(value.revision()));
    Ok(values)
}
