//! A data directory as a whole.
//!
//! [`Store`] passes each record to the component that stores it, and decides the order in which they are written.
//!
//! Invariants:
//! - Leases are written first and ballots last, so that a replica that is recorded as having caught up has stored what
//!   it caught up on.
//! - The store never interprets records beyond determining which one is the newest.

use std::collections::BTreeMap;
use std::path::Path;

use ochreshed_consensus::messages::{
    AcceptorState, LogRecord, MembershipBallotState, PersistedState, RegisterValue,
};

use crate::ballot_slots::BallotSlots;
use crate::data_directory::DataDirectory;
use crate::error::StoreError;
use crate::file_system::{FileSystem, OsDirectory, ROOT_DIRECTORY};
use crate::record_log::{LOG_DIRECTORY, LogContent, LogLimits, LogUsage, RecordLog};
use crate::recovery_finding::RecoveryFinding;
use crate::register_file_name::{CONFIGURATION_DIRECTORY, NAMED_REGISTER_DIRECTORY, RegisterFilePrefix};
use crate::register_files::RegisterFiles;
use crate::subdirectory_log::SubdirectoryLog;

/// The directories that every data directory has.
const DIRECTORIES: [&str; 3] = [ROOT_DIRECTORY, LOG_DIRECTORY, CONFIGURATION_DIRECTORY];

/// The directory of the log of sessions.
const SESSION_DIRECTORY: &str = "sessions";
/// The directory of the log of tombstones.
const TOMBSTONE_DIRECTORY: &str = "tombstones";

/// The durable state of a replica.
pub struct Store {
    directory: DataDirectory,
    ballots: BallotSlots,
    registers: RegisterFiles,
    leases: RecordLog,
    sessions: SubdirectoryLog,
    tombstones: SubdirectoryLog,
}

impl Store {
    /// Opens a data directory, which is created if there is none, and recovers what is intact. All of the returned
    /// state is durable; [`Store::findings`] lists what was not intact.
    ///
    /// # Errors
    /// If the disk can't be read or synced. It may hold state that could not be read, so the replica must not start.
    pub fn open(data_dir: &Path) -> Result<(Store, PersistedState), StoreError> {
        Store::open_in(Box::new(OsDirectory::new(data_dir.to_owned())), LogLimits::default())
    }

    /// Like [`Store::open`], on any file system and with other limits; for tests.
    ///
    /// # Errors
    /// As [`Store::open`].
    #[doc(hidden)]
    pub fn open_in(
        file_system: Box<dyn FileSystem>,
        limits: LogLimits,
    ) -> Result<(Store, PersistedState), StoreError> {
        let mut directory = DataDirectory::new(file_system);
        for path in DIRECTORIES {
            directory.create_directory(path)?;
        }
        let ballots = BallotSlots::open(&mut directory)?;
        let mut registers = RegisterFiles::default();
        let configuration = registers.recover_configuration(&mut directory)?;
        let (leases, recovered) = RecordLog::open(&mut directory, LogContent::Leases, limits)?;
        let named_registers = registers.recover_named(&mut directory)?;
        sync_directories(&mut directory, &registers)?;
        let (sessions, recovered_sessions) =
            SubdirectoryLog::open(&directory, SESSION_DIRECTORY, LogContent::Sessions, limits)?;

        let (tombstones, recovered_tombstones) =
            SubdirectoryLog::open(&directory, TOMBSTONE_DIRECTORY, LogContent::Tombstones, limits)?;

        let ballot_state = ballots.state().cloned();
        let (membership_ballot, acceptors) =
            ballot_state.map_or((None, Vec::new()), |state| (Some(state.membership_ballot), state.acceptors));
        let recovered_sessions = recovered_sessions.map_or(recovered.sessions, |found| found.sessions);
        let persisted = PersistedState {
            membership_ballot,
            acceptors,
            configuration,
            leases: recovered.leases.into_iter().map(Into::into).collect(),
            registers: named_registers,
            sessions: recovered_sessions.into_iter().map(Into::into).collect(),
            tombstones: recovered_tombstones.map_or(Vec::new(), |found| found.tombstones),
        };
        Ok((Store { directory, ballots, registers, leases, sessions, tombstones }, persisted))
    }

    /// Makes records durable, in the order in which they are given for each lease and session.
    ///
    /// # Errors If a file can't be written or synced. None, some or all records may then be durable, and the caller
    /// persists them again; persisting a record twice does no harm.
    pub fn persist(&mut self, records: &[LogRecord]) -> Result<(), StoreError> {
        self.persist_leases(records)?;
        self.persist_sessions(records)?;
        self.tombstones.append(&mut self.directory, records)?;
        self.persist_configuration(records)?;
        self.persist_named_registers(records)?;
        self.persist_ballots(records)
    }

    /// The size of all files, including those in quarantine.
    #[must_use]
    pub fn disk_bytes(&self) -> u64 {
        self.leases.disk_bytes()
            + self.sessions.disk_bytes()
            + self.tombstones.disk_bytes()
            + self.ballots.disk_bytes()
            + self.registers.disk_bytes()
            + self.directory.quarantined_bytes()
    }

    /// The damage that was found, at the start and since then.
    #[must_use]
    pub fn findings(&self) -> &[RecoveryFinding] {
        self.directory.findings()
    }

    /// How much of the lease log is live; for tests.
    #[doc(hidden)]
    #[must_use]
    pub fn lease_log_usage(&self) -> LogUsage {
        self.leases.usage()
    }

    fn persist_leases(&mut self, records: &[LogRecord]) -> Result<(), StoreError> {
        if records.iter().any(|record| LogContent::Leases.includes(record)) {
            self.leases.append(&mut self.directory, records)?;
        }
        Ok(())
    }

    fn persist_sessions(&mut self, records: &[LogRecord]) -> Result<(), StoreError> {
        self.sessions.append(&mut self.directory, records)
    }

    fn persist_configuration(&mut self, records: &[LogRecord]) -> Result<(), StoreError> {
        let Some(value) = newest_configuration(records) else { return Ok(()) };
        self.registers.persist(&mut self.directory, &RegisterFilePrefix::configuration(), value)
    }

    fn persist_named_registers(&mut self, records: &[LogRecord]) -> Result<(), StoreError> {
        for (name, value) in newest_registers(records) {
            self.registers.persist(&mut self.directory, &RegisterFilePrefix::named(name), value)?;
        }
        Ok(())
    }

    fn persist_ballots(&mut self, records: &[LogRecord]) -> Result<(), StoreError> {
        let membership_ballot = last_membership_ballot(records);
        let acceptors = last_acceptors(records);
        if membership_ballot.is_none() && acceptors.is_none() {
            return Ok(());
        }
        self.ballots.persist(&mut self.directory, membership_ballot, acceptors)
    }
}

/// Makes all listed names durable: a process that was killed before it synced them may have left names that are not.
fn sync_directories(directory: &mut DataDirectory, registers: &RegisterFiles) -> Result<(), StoreError> {
    for path in DIRECTORIES {
        directory.sync_directory(path)?;
    }
    if registers.has_named_directory() {
        directory.sync_directory(NAMED_REGISTER_DIRECTORY)?;
    }
    Ok(())
}

fn newest_configuration(records: &[LogRecord]) -> Option<&RegisterValue> {
    let values = records.iter().filter_map(|record| match record {
        LogRecord::Configuration(value) => Some(&**value),
        _ => None,
    });
    values.max_by_key(|value| value.revision())
}

fn newest_registers(records: &[LogRecord]) -> BTreeMap<&str, &RegisterValue> {
    let mut newest: BTreeMap<&str, &RegisterValue> = BTreeMap::new();
    for record in records {
        let LogRecord::Register(register) = record else { continue };
        let value = newest.entry(&*register.name).or_insert(&*register.value);
        if value.revision() < register.value.revision() {
            *value = &*register.value;
        }
    }
    newest
}

fn last_membership_ballot(records: &[LogRecord]) -> Option<&MembershipBallotState> {
    records.iter().rev().find_map(|record| match record {
        LogRecord::MembershipBallot(ballot) => Some(ballot),
        _ => None,
    })
}

fn last_acceptors(records: &[LogRecord]) -> Option<&[AcceptorState]> {
    records.iter().rev().find_map(|record| match record {
        LogRecord::RegisterAcceptors(acceptors) => Some(acceptors.as_slice()),
        _ => None,
    })
}
