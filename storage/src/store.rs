//! What a steward keeps on disk: its ballots, the operator's last sheets, the claims. It owns the folder, the order in
//! which its files are written, synced and removed, and what is read of them at the start. It must never say that
//! something is safe before it is synced, tell at the start what is not, or decide what any of it means.
//!
//! - `ballots.0`, `ballots.1`: one frame each, written in turn and in place; the one with the higher count holds. The
//!   one that holds is never written over, so a torn one costs nothing that was safe. One sync a write. A frame is the
//!   count, the ballots on the view and, where there are any, those on versions of registers. Both are lost together,
//!   so that a replica that has forgotten a promise of either kind has no identity left to break it with.
//! - `timetable/r12-<digest>.json`: the bytes that the operator sent, as they came. The digest in the name says whether
//!   they are whole; the highest whole one holds.
//! - `papers/<name>.r12-<digest>.json`: the same for each paper by its name, in which all but small letters, digits and
//!   `-` stands as `_` and two hex digits. The folder is made with the first of them.
//! - `claims/000001`, ..: frames that are only ever appended. One write and one sync for all claims of a call.
//! - `sessions/`: a folder like this one, made with the first session, whose `claims` hold sessions.
//!
//! A frame is its length, a checksum over segment, length and bytes, and the bytes: records in CBOR, one after the
//! other. One that is torn ends its segment: nothing is appended before all of what precedes is synced, so what stands
//! behind it was never safe. For the same reason a segment ends with a failed write, and no segment is taken up again
//! at a start.
//!
//! Only the oldest segment is ever removed, once none of its claims is live, and the next one only when that removal
//! lasts. A claim that is freed in one segment may stand in an older one: it would come back if only the newer was gone.

pub mod registers;

mod ballots;
mod lease_log;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use ochreshed_consensus::messages::{
    AcceptorState, Lease, LeaseKey, LeaseToken, LogRecord, MembershipBallotState, NamedRegister,
    PersistedState, RegisterValue, SessionId, SessionRecord,
};

use crate::error::StoreError;
use crate::folder::{Files, Folder, ROOT};
use crate::frame::{HEAD, close, frame, length, records};
use lease_log::{LIMITS, Limits, Place, Segment};
use registers::{NEW, Shelf, shelf_of, shelf_of_timetable};

const CLAIMS: &str = "claims";
const SESSIONS: &str = "sessions";
const TIMETABLE: &str = "timetable";
const PAPERS: &str = "papers";
/// What can't be read is put aside under its name and this.
const BAD: &str = ".bad";
/// So many files that were put aside are kept in a folder.
const MOST_BAD: usize = 4;

/// Where the records of sessions go: a log of its own, which an older program does not see.
enum Sessions {
    /// This is that log.
    Here,
    /// There is none yet; where it would be.
    None(PathBuf),
    Kept(Box<Store>),
}

fn of_session(record: &LogRecord) -> bool {
    matches!(record, LogRecord::Session(..) | LogRecord::SessionEnded(_))
}

pub struct Store {
    files: Box<dyn Files + Send>,
    limits: Limits,
    segments: BTreeMap<u32, Segment>,
    live: HashMap<LeaseKey, Place>,
    live_bytes: u64,
    /// The segment that is appended to.
    tail: Option<u32>,
    /// The next one.
    next: u32,
    /// How far the live claims of the oldest segment have moved on.
    moved: u64,
    /// A segment was removed and may come back.
    removed: bool,
    /// Lengths.
    slots: [u64; 2],
    /// The slot that holds, and its count.
    newest: usize,
    count: u64,
    /// What it holds.
    ballots: Option<MembershipBallotState>,
    version_ballots: Vec<AcceptorState>,
    /// Those on disk with their lengths, by folder and what their names begin with.
    sheets: BTreeMap<String, Shelf>,
    /// The folder of papers is there.
    has_papers: bool,
    bad: u64,
    found: Vec<String>,
    sessions: Sessions,
}

impl Store {
    /// Opens the folder, which is made if there is none, and reads what is whole. All of what it tells is safe. An
    /// error means that the disk can't be read or synced now: it may hold more than can be seen.
    pub fn open(dir: &Path) -> Result<(Store, PersistedState), StoreError> {
        let folder = |root: PathBuf| Box::new(Folder::new(root));
        let (mut store, mut saved) = Store::start(folder(dir.to_owned()), LIMITS)?;
        let sessions = dir.join(SESSIONS);
        if sessions.is_dir() {
            let (log, told) = Store::start(folder(sessions.clone()), LIMITS)?;
            saved.sessions = told.sessions;
            store.sessions = Sessions::Kept(Box::new(log));
        } else {
            store.sessions = Sessions::None(sessions);
        }
        Ok((store, saved))
    }

    /// Where sessions are kept. Made with the first one: guards against a folder that nobody uses.
    fn log_of_sessions(&mut self) -> Result<&mut Store, StoreError> {
        if let Sessions::None(dir) = &self.sessions {
            let folder = Folder::new(dir.clone());
            self.sessions = Sessions::Kept(Box::new(Store::start(Box::new(folder), LIMITS)?.0));
            // Its own name must last as well.
            self.sync_folder(ROOT)?;
        }
        match &mut self.sessions {
            Sessions::Kept(log) => Ok(log),
            _ => Err(StoreError::Form("no folder for sessions".into())),
        }
    }

    /// All of these are safe on disk once this is well. Otherwise none, some or all may be, and the caller writes them
    /// again; writing a record twice does no harm. Claims go first, ballots last: who is said to have caught up has.
    pub fn write(&mut self, records: &[LogRecord]) -> Result<(), StoreError> {
        if records.iter().any(|record| matches!(record, LogRecord::Lease(..) | LogRecord::LeaseReleased(..)))
        {
            self.append(records)?;
        }
        let sessions: Vec<LogRecord> = records.iter().filter(|record| of_session(record)).cloned().collect();
        if !sessions.is_empty() {
            self.log_of_sessions()?.append(&sessions)?;
        }
        let sheets = records.iter().filter_map(|record| match record {
            LogRecord::Configuration(sheet) => Some(sheet),
            _ => None,
        });
        if let Some(sheet) = sheets.max_by_key(|sheet| sheet.revision()) {
            self.keep_sheet(&shelf_of_timetable(), sheet)?;
        }
        let mut papers: BTreeMap<&str, &RegisterValue> = BTreeMap::new();
        for record in records {
            if let LogRecord::Register(paper) = record
                && papers.get(&*paper.name).is_none_or(|sheet| sheet.revision() < paper.value.revision())
            {
                papers.insert(&paper.name, &paper.value);
            }
        }
        for (name, sheet) in papers {
            self.keep_sheet(&shelf_of(name), sheet)?;
        }
        let ballots = records.iter().rev().find_map(|record| match record {
            LogRecord::MembershipBallot(ballots) => Some(ballots.clone()),
            _ => None,
        });
        let version_ballots = records.iter().rev().find_map(|record| match record {
            LogRecord::RegisterAcceptors(ballots) => Some(ballots.clone()),
            _ => None,
        });
        if ballots.is_none() && version_ballots.is_none() {
            return Ok(());
        }
        let ballots = ballots.or_else(|| self.ballots.clone());
        let ballots = ballots.ok_or_else(|| StoreError::Form("ballots on versions of nobody".into()))?;
        self.keep_ballots(ballots, version_ballots.unwrap_or_else(|| self.version_ballots.clone()))
    }

    /// On disk now.
    pub fn bytes(&self) -> u64 {
        let sessions = if let Sessions::Kept(log) = &self.sessions { log.bytes() } else { 0 };
        sessions + self.segment_bytes() + self.slots.iter().sum::<u64>() + self.sheet_bytes() + self.bad
    }

    /// What was not whole, a line each.
    pub fn found(&self) -> &[String] {
        &self.found
    }

    fn start(files: Box<dyn Files + Send>, limits: Limits) -> Result<(Store, PersistedState), StoreError> {
        let mut store = Store {
            files,
            limits,
            segments: BTreeMap::new(),
            live: HashMap::new(),
            live_bytes: 0,
            tail: None,
            next: 1,
            moved: 0,
            removed: false,
            slots: [0; 2],
            newest: 0,
            count: 0,
            ballots: None,
            version_ballots: Vec::new(),
            sheets: BTreeMap::new(),
            has_papers: false,
            bad: 0,
            found: Vec::new(),
            sessions: Sessions::Here,
        };
        for folder in [ROOT, CLAIMS, TIMETABLE] {
            store.files.folder(folder).map_err(|why| StoreError::Name(folder.to_owned(), why))?;
        }
        store.read_ballots()?;
        let (ballots, version_ballots) = (store.ballots.clone(), store.version_ballots.clone());
        let sheet = store.read_sheets(TIMETABLE)?.into_values().next();
        let (claims, sessions) = store.read_claims()?;
        let papers = store.read_papers()?;
        let saved = PersistedState {
            membership_ballot: ballots,
            acceptors: version_ballots,
            configuration: sheet,
            leases: claims.into_iter().map(Into::into).collect(),
            sessions: sessions.into_iter().map(Into::into).collect(),
            registers: papers,
        };
        // Names may be newer than what lasts: a process that was killed left them so.
        for folder in [ROOT, CLAIMS, TIMETABLE].into_iter().chain(store.has_papers.then_some(PAPERS)) {
            store.sync_folder(folder)?;
        }
        Ok((store, saved))
    }

    fn list(&mut self, folder: &str) -> Result<Vec<(String, u64)>, StoreError> {
        let mut all = self.files.list(folder).map_err(|why| StoreError::Read(folder.to_owned(), why))?;
        all.sort();
        Ok(all)
    }

    fn read(&mut self, name: &str) -> Result<Vec<u8>, StoreError> {
        self.files.read(name, 0, u64::MAX).map_err(|why| StoreError::Read(name.to_owned(), why))
    }

    fn sync(&mut self, name: &str) -> Result<(), StoreError> {
        self.files.sync(name).map_err(|why| StoreError::Sync(name.to_owned(), why))
    }

    fn sync_folder(&mut self, name: &str) -> Result<(), StoreError> {
        self.files.sync_folder(name).map_err(|why| StoreError::Sync(name.to_owned(), why))
    }

    /// Out of the way, for somebody to look at. If it can't be it stays, which does no harm.
    fn put_aside(&mut self, name: &str, len: u64) {
        if self.files.rename(name, &format!("{name}{BAD}")).is_ok() {
            self.bad += len;
        }
        self.found.push(format!("{name}: {len} bytes can't be read, put aside"));
    }

    /// Keeps few of those put aside, and counts them. Half-made files are of no use to anybody.
    fn tidy(&mut self, folder: &str, listed: &[(String, u64)]) {
        for (name, _) in listed.iter().filter(|(name, _)| name.ends_with(NEW)) {
            let _ = self.files.remove(&format!("{folder}/{name}"));
        }
        let aside = listed.iter().filter(|(name, _)| name.ends_with(BAD));
        for (i, (name, len)) in aside.rev().enumerate() {
            if i < MOST_BAD || self.files.remove(&format!("{folder}/{name}")).is_err() {
                self.bad += len;
            }
        }
    }
}
