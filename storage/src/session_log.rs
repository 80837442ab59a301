//! The log of sessions, in a subdirectory of its own, which versions without sessions never read.
//!
//! The subdirectory `sessions/` has the layout of a data directory: a [`RecordLog`] in `claims/`, and an empty
//! `timetable/`, which earlier versions create and sync there.
//!
//! Invariants: the subdirectory exists only once a session was persisted.

use ochreshed_consensus::messages::{LogRecord, SessionId, SessionRecord};

use crate::data_directory::DataDirectory;
use crate::error::StoreError;
use crate::file_system::ROOT_DIRECTORY;
use crate::record_log::{LOG_DIRECTORY, LogContent, LogLimits, RecordLog};
use crate::register_file_name::CONFIGURATION_DIRECTORY;

const SESSION_DIRECTORY: &str = "sessions";
const SUBDIRECTORIES: [&str; 3] = [ROOT_DIRECTORY, LOG_DIRECTORY, CONFIGURATION_DIRECTORY];

/// The log of sessions, which may not have been created yet.
pub(crate) struct SessionLog {
    limits: LogLimits,
    opened: Option<OpenedLog>,
}

/// The subdirectory and the log in it.
struct OpenedLog {
    directory: DataDirectory,
    log: RecordLog,
}

/// Sessions by their ids.
type Sessions = Vec<(SessionId, SessionRecord)>;

impl SessionLog {
    /// Opens the log, if there is one, and returns its sessions.
    pub(crate) fn open(
        parent: &DataDirectory,
        limits: LogLimits,
    ) -> Result<(SessionLog, Option<Sessions>), StoreError> {
        if !parent.directory_exists(SESSION_DIRECTORY) {
            return Ok((SessionLog { limits, opened: None }, None));
        }
        let (opened, sessions) = open_log(parent, limits)?;
        Ok((SessionLog { limits, opened: Some(opened) }, Some(sessions)))
    }

    /// Makes records of sessions durable; the first of them creates the log.
    pub(crate) fn append(
        &mut self,
        parent: &mut DataDirectory,
        records: &[LogRecord],
    ) -> Result<(), StoreError> {
        let opened = match &mut self.opened {
            Some(opened) => opened,
            None => {
                let opened = self.opened.insert(open_log(parent, self.limits)?.0);
                // The name of the subdirectory must be durable as well.
                parent.sync_directory(ROOT_DIRECTORY)?;
                opened
            }
        };
        opened.log.append(&mut opened.directory, records)
    }

    pub(crate) fn disk_bytes(&self) -> u64 {
        let opened = self.opened.as_ref();
        opened.map_or(0, |opened| opened.log.disk_bytes() + opened.directory.quarantined_bytes())
    }
}

/// Opens the log, which is created if there is none.
fn open_log(parent: &DataDirectory, limits: LogLimits) -> Result<(OpenedLog, Sessions), StoreError> {
    let mut directory = parent.subdirectory(SESSION_DIRECTORY);
    for path in SUBDIRECTORIES {
        directory.create_directory(path)?;
    }
    let (log, recovered) = RecordLog::open(&mut directory, LogContent::Sessions, limits)?;
    for path in SUBDIRECTORIES {
        directory.sync_directory(path)?;
    }
    Ok((OpenedLog { directory, log }, recovered.sessions))
}
