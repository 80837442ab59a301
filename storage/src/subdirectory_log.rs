//! A log of records in a subdirectory of its own, which versions without such records never read.
//!
//! The subdirectory has the layout of a data directory: a [`RecordLog`] in `claims/`, and an empty `timetable/`, which
//! earlier versions create and sync there.
//!
//! Invariants: the subdirectory exists only once a record was persisted in it, and a record is acknowledged only once
//! its name is durable as well.

use ochreshed_consensus::messages::LogRecord;

use crate::data_directory::DataDirectory;
use crate::error::StoreError;
use crate::file_system::ROOT_DIRECTORY;
use crate::record_log::{LOG_DIRECTORY, LogContent, LogLimits, RecordLog, RecoveredRecords};
use crate::register_file_name::CONFIGURATION_DIRECTORY;

const SUBDIRECTORIES: [&str; 3] = [ROOT_DIRECTORY, LOG_DIRECTORY, CONFIGURATION_DIRECTORY];

/// A log that may not have been created yet.
pub(crate) struct SubdirectoryLog {
    name: &'static str,
    content: LogContent,
    limits: LogLimits,
    opened: Option<OpenedLog>,
}

/// The subdirectory and the log in it.
struct OpenedLog {
    directory: DataDirectory,
    log: RecordLog,
}

impl SubdirectoryLog {
    /// Opens the log in the subdirectory of this name, if there is one, and returns its records.
    pub(crate) fn open(
        parent: &DataDirectory,
        name: &'static str,
        content: LogContent,
        limits: LogLimits,
    ) -> Result<(SubdirectoryLog, Option<RecoveredRecords>), StoreError> {
        let mut log = SubdirectoryLog { name, content, limits, opened: None };
        if !parent.directory_exists(name) {
            return Ok((log, None));
        }
        let (opened, recovered) = log.open_or_create(parent)?;
        log.opened = Some(opened);
        Ok((log, Some(recovered)))
    }

    /// Makes the log's records durable and ignores all others; the first of them creates the log.
    pub(crate) fn append(
        &mut self,
        parent: &mut DataDirectory,
        records: &[LogRecord],
    ) -> Result<(), StoreError> {
        if !records.iter().any(|record| self.content.includes(record)) {
            return Ok(());
        }
        if self.opened.is_none() {
            let (opened, _) = self.open_or_create(parent)?;
            // The name of the subdirectory must be durable as well.
            parent.sync_directory(ROOT_DIRECTORY)?;
            self.opened = Some(opened);
        }
        match &mut self.opened {
            Some(OpenedLog { directory, log }) => log.append(directory, records),
            None => Ok(()),
        }
    }

    pub(crate) fn disk_bytes(&self) -> u64 {
        let opened = self.opened.as_ref();
        opened.map_or(0, |opened| opened.log.disk_bytes() + opened.directory.quarantined_bytes())
    }

    /// Opens the log, which is created if there is none.
    fn open_or_create(&self, parent: &DataDirectory) -> Result<(OpenedLog, RecoveredRecords), StoreError> {
        let mut directory = parent.subdirectory(self.name);
        for path in SUBDIRECTORIES {
            directory.create_directory(path)?;
        }
        let (log, recovered) = RecordLog::open(&mut directory, self.content, self.limits)?;
        for path in SUBDIRECTORIES {
            directory.sync_directory(path)?;
        }
        Ok((OpenedLog { directory, log }, recovered))
    }
}
