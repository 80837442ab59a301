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

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use ochreshed_mesh::words::{
    Ballots, Claim, Entry, Key, Paper, Record, Saved, Session, Sheet, Token, VersionBallot,
};

const ROOT: &str = ".";
const CLAIMS: &str = "claims";
const SESSIONS: &str = "sessions";
/// A session's last record is the one that holds, whoever had it written.
const ANY: Token = 0;
const TIMETABLE: &str = "timetable";
const PAPERS: &str = "papers";
const SLOTS: [&str; 2] = ["ballots.0", "ballots.1"];
/// What can't be read is put aside under its name and this.
const BAD: &str = ".bad";
/// What is not whole yet.
const NEW: &str = ".new";
const SHEETS: usize = 5;
/// So many files that were put aside are kept in a folder.
const MOST_BAD: usize = 4;
/// A frame's length and checksum.
const HEAD: usize = 8;
/// A frame takes no more records once it has so many bytes: few are read again to move a claim.
const FRAME: usize = 64 << 10;
/// Names of more digits are none of ours: numbers never come near it.
const MOST_NUMBER: u32 = 999_999_999;
const READ_BUFFER: usize = 4_096;
/// So many files stay open to be written.
const HANDLES: usize = 4;

#[derive(Debug)]
pub enum StoreError {
    /// A file or folder can't be read; what it holds is not known.
    Read(String, io::Error),
    Write(String, io::Error),
    Sync(String, io::Error),
    /// A name can't be made, changed or removed.
    Name(String, io::Error),
    /// More than fits a segment.
    TooLong,
    /// A record has no form on disk.
    Form(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Read(name, why) => write!(f, "{name} can't be read: {why}"),
            StoreError::Write(name, why) => write!(f, "{name} can't be written: {why}"),
            StoreError::Sync(name, why) => write!(f, "{name} can't be synced: {why}"),
            StoreError::Name(name, why) => write!(f, "{name} can't be made, renamed or removed: {why}"),
            StoreError::TooLong => write!(f, "more records in one go than a segment takes"),
            StoreError::Form(why) => write!(f, "a record can't be written: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The folder, as the store or a test has it. Names are relative, folders are one deep.
trait Files {
    fn folder(&mut self, name: &str) -> io::Result<()>;
    /// Names and lengths of the files in it.
    fn list(&mut self, folder: &str) -> io::Result<Vec<(String, u64)>>;
    /// From a place on, at most so many bytes.
    fn read(&mut self, name: &str, from: u64, most: u64) -> io::Result<Vec<u8>>;
    /// Makes the file if there is none. When it fails any part may be written.
    fn write(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()>;
    /// Makes the file if there is none, and sets its length.
    fn cut(&mut self, name: &str, len: u64) -> io::Result<()>;
    fn sync(&mut self, name: &str) -> io::Result<()>;
    fn sync_folder(&mut self, name: &str) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

struct Folder {
    root: PathBuf,
    /// Those written last, the latest at the end.
    handles: Vec<Handle>,
}

struct Handle {
    name: String,
    file: File,
    /// Where it stands, so that an append needs no seek.
    at: u64,
}

impl Folder {
    fn path(&self, name: &str) -> PathBuf {
        if name == ROOT { self.root.clone() } else { self.root.join(name) }
    }

    /// Taken out; who uses it without an error puts it back.
    fn handle(&mut self, name: &str) -> io::Result<Handle> {
        if let Some(i) = self.handles.iter().position(|handle| handle.name == name) {
            return Ok(self.handles.remove(i));
        }
        let file =
            OpenOptions::new().read(true).write(true).create(true).truncate(false).open(self.path(name))?;
        Ok(Handle { name: name.to_owned(), file, at: 0 })
    }

    fn put_back(&mut self, handle: Handle) {
        if self.handles.len() >= HANDLES {
            self.handles.remove(0);
        }
        self.handles.push(handle);
    }

    fn forget(&mut self, name: &str) {
        self.handles.retain(|handle| handle.name != name);
    }
}

impl Files for Folder {
    fn folder(&mut self, name: &str) -> io::Result<()> {
        fs::create_dir_all(self.path(name))
    }

    fn list(&mut self, folder: &str) -> io::Result<Vec<(String, u64)>> {
        let mut all = Vec::new();
        for entry in fs::read_dir(self.path(folder))? {
            let entry = entry?;
            let about = entry.metadata()?;
            if let (true, Ok(name)) = (about.is_file(), entry.file_name().into_string()) {
                all.push((name, about.len()));
            }
        }
        Ok(all)
    }

    fn read(&mut self, name: &str, from: u64, most: u64) -> io::Result<Vec<u8>> {
        let mut file = File::open(self.path(name))?;
        if from > 0 {
            file.seek(SeekFrom::Start(from))?;
        }
        let mut bytes = Vec::new();
        file.take(most).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn write(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()> {
        let mut handle = self.handle(name)?;
        if handle.at != at {
            handle.file.seek(SeekFrom::Start(at))?;
        }
        handle.file.write_all(bytes)?;
        handle.at = at.saturating_add(bytes.len() as u64);
        self.put_back(handle);
        Ok(())
    }

    fn cut(&mut self, name: &str, len: u64) -> io::Result<()> {
        let handle = self.handle(name)?;
        handle.file.set_len(len)?;
        self.put_back(handle);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let handle = self.handle(name)?;
        handle.file.sync_data()?;
        self.put_back(handle);
        Ok(())
    }

    fn sync_folder(&mut self, name: &str) -> io::Result<()> {
        File::open(self.path(name))?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.forget(from);
        self.forget(to);
        fs::rename(self.path(from), self.path(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.forget(name);
        fs::remove_file(self.path(name))
    }
}

/// When segments end and when the live claims of the oldest move on.
#[derive(Clone, Copy)]
struct Limits {
    /// A segment that is longer is not appended to.
    segment: u64,
    /// Beyond this many bytes, claims move while the live ones are less than a quarter.
    some: u64,
    /// Beyond this many, while they are less than half.
    many: u64,
    /// With more segments than this, in any case.
    segments: usize,
    /// So much of the oldest segment is gone through with each write.
    step: u64,
}

const LIMITS: Limits =
    Limits { segment: 4 << 20, some: 8 << 20, many: 64 << 20, segments: 32, step: FRAME as u64 };

struct Segment {
    /// On disk.
    len: u64,
    /// Safe; what stands behind is the rest of a failed or torn write.
    whole: u64,
    live: usize,
}

/// Where the live claim of a key stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Place {
    token: Token,
    segment: u32,
    /// Its frame.
    at: u32,
    size: u32,
}

/// The sheets of one register that are on disk, with their lengths.
type Shelf = BTreeMap<(u64, u64), u64>;

/// What a record that is safe changes.
enum Mark {
    Claim(Key, Place),
    Free(Key, Token),
}

/// Where the records of sessions go: a log of its own, which an older program does not see.
enum Sessions {
    /// This is that log.
    Here,
    /// There is none yet; where it would be.
    None(PathBuf),
    Kept(Box<Store>),
}

type Logged = (Vec<(Key, Claim)>, Vec<(Session, Entry)>);

fn of_session(record: &Record) -> bool {
    matches!(record, Record::Session(..) | Record::SessionOver(_))
}

pub struct Store {
    files: Box<dyn Files + Send>,
    limits: Limits,
    segments: BTreeMap<u32, Segment>,
    live: HashMap<Key, Place>,
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
    ballots: Option<Ballots>,
    version_ballots: Vec<VersionBallot>,
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
    pub fn open(dir: &Path) -> Result<(Store, Saved), StoreError> {
        let folder = |root: PathBuf| Box::new(Folder { root, handles: Vec::new() });
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
            let folder = Folder { root: dir.clone(), handles: Vec::new() };
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
    pub fn write(&mut self, records: &[Record]) -> Result<(), StoreError> {
        if records.iter().any(|record| matches!(record, Record::Claim(..) | Record::Free(..))) {
            self.append(records)?;
        }
        let sessions: Vec<Record> = records.iter().filter(|record| of_session(record)).cloned().collect();
        if !sessions.is_empty() {
            self.log_of_sessions()?.append(&sessions)?;
        }
        let sheets = records.iter().filter_map(|record| match record {
            Record::Sheet(sheet) => Some(sheet),
            _ => None,
        });
        if let Some(sheet) = sheets.max_by_key(|sheet| sheet.rank()) {
            self.keep_sheet(&shelf_of_timetable(), sheet)?;
        }
        let mut papers: BTreeMap<&str, &Sheet> = BTreeMap::new();
        for record in records {
            if let Record::Paper(paper) = record
                && papers.get(&*paper.name).is_none_or(|sheet| sheet.rank() < paper.sheet.rank())
            {
                papers.insert(&paper.name, &paper.sheet);
            }
        }
        for (name, sheet) in papers {
            self.keep_sheet(&shelf_of(name), sheet)?;
        }
        let ballots = records.iter().rev().find_map(|record| match record {
            Record::Ballots(ballots) => Some(ballots.clone()),
            _ => None,
        });
        let version_ballots = records.iter().rev().find_map(|record| match record {
            Record::VersionBallots(ballots) => Some(ballots.clone()),
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

    fn start(files: Box<dyn Files + Send>, limits: Limits) -> Result<(Store, Saved), StoreError> {
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
        let saved = Saved { ballots, version_ballots, sheet, claims, sessions, papers };
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

    // Ballots.

    fn read_ballots(&mut self) -> Result<(), StoreError> {
        let listed = self.list(ROOT)?;
        self.tidy(ROOT, &listed);
        let mut best: Option<(Ballots, Vec<VersionBallot>)> = None;
        for (i, slot) in SLOTS.iter().enumerate() {
            let Some((_, len)) = listed.iter().find(|(name, _)| name == slot) else { continue };
            self.slots[i] = *len;
            let bytes = self.read(slot)?;
            let Some((count, ballots, versions)) = frame(0, &bytes, 0).and_then(ballots_of) else {
                self.found.push(format!("{slot}: not whole"));
                continue;
            };
            if best.is_none() || count > self.count {
                (best, self.count, self.newest) = (Some((ballots, versions)), count, i);
            }
        }
        match best {
            // Guards against telling what is lost with the next loss of power. A sync would not do: one that failed
            // before, under another process, may leave bytes behind that no later one takes along.
            Some((ballots, versions)) => self.keep_ballots(ballots, versions)?,
            None => {
                for (i, slot) in SLOTS.iter().enumerate() {
                    if self.slots[i] > 0 {
                        self.put_aside(slot, self.slots[i]);
                        self.slots[i] = 0;
                    }
                }
            }
        }
        Ok(())
    }

    fn keep_ballots(&mut self, ballots: Ballots, versions: Vec<VersionBallot>) -> Result<(), StoreError> {
        let count = self.count.saturating_add(1);
        let mut bytes = vec![0; HEAD];
        // Without any of versions, as programs before them have it.
        let written = if versions.is_empty() {
            ciborium::into_writer(&(count, &ballots), &mut bytes)
        } else {
            ciborium::into_writer(&(count, &ballots, &versions), &mut bytes)
        };
        written.map_err(|why| StoreError::Form(why.to_string()))?;
        close(0, &mut bytes, 0)?;
        let slot = 1 - self.newest;
        let name = SLOTS[slot];
        self.files.write(name, 0, &bytes).map_err(|why| StoreError::Write(name.to_owned(), why))?;
        self.sync(name)?;
        if self.slots[slot] == 0 {
            self.sync_folder(ROOT)?;
        }
        self.slots[slot] = self.slots[slot].max(bytes.len() as u64);
        (self.newest, self.count) = (slot, count);
        (self.ballots, self.version_ballots) = (Some(ballots), versions);
        Ok(())
    }

    // Sheets.

    fn sheet_bytes(&self) -> u64 {
        self.sheets.values().flat_map(Shelf::values).sum()
    }

    /// The highest whole one of each shelf in a folder.
    fn read_sheets(&mut self, folder: &str) -> Result<BTreeMap<String, Arc<Sheet>>, StoreError> {
        let listed = self.list(folder)?;
        self.tidy(folder, &listed);
        let mut shelves: BTreeMap<String, Shelf> = BTreeMap::new();
        for (name, len) in listed {
            if let Some((shelf, rank)) = rank_of(&format!("{folder}/{name}")) {
                shelves.entry(shelf).or_default().insert(rank, len);
            }
        }
        let mut best = BTreeMap::new();
        for (shelf, mut sheets) in shelves {
            while let Some((&(version, digest), &len)) = sheets.last_key_value() {
                let name = sheet_name(&shelf, (version, digest));
                let sheet = Sheet::new(version, self.read(&name)?);
                if sheet.digest == digest {
                    best.insert(shelf.clone(), Arc::new(sheet));
                    break;
                }
                self.put_aside(&name, len);
                sheets.remove(&(version, digest));
            }
            self.sheets.insert(shelf, sheets);
        }
        Ok(best)
    }

    fn read_papers(&mut self) -> Result<Vec<Paper>, StoreError> {
        // No other folder is looked for by its absence: this one is made with the first paper.
        self.has_papers = match self.files.list(PAPERS) {
            Ok(_) => true,
            Err(why) if why.kind() == ErrorKind::NotFound => return Ok(Vec::new()),
            Err(why) => return Err(StoreError::Read(PAPERS.to_owned(), why)),
        };
        let sheets = self.read_sheets(PAPERS)?;
        Ok(sheets
            .into_iter()
            .filter_map(|(shelf, sheet)| Some(Paper { name: name_of(&shelf)?.into(), sheet }))
            .collect())
    }

    fn keep_sheet(&mut self, shelf: &str, sheet: &Sheet) -> Result<(), StoreError> {
        // A higher one, or this, is safe.
        let newest = self.sheets.get(shelf).and_then(|sheets| sheets.last_key_value());
        if newest.is_some_and(|(rank, _)| *rank >= sheet.rank()) {
            return Ok(());
        }
        let folder = shelf.split('/').next().unwrap_or_default();
        if folder == PAPERS && !self.has_papers {
            self.files.folder(PAPERS).map_err(|why| StoreError::Name(PAPERS.to_owned(), why))?;
            self.sync_folder(ROOT)?;
            self.has_papers = true;
        }
        let name = sheet_name(shelf, sheet.rank());
        let new = format!("{name}{NEW}");
        if let Err(why) = self.write_new(&new, &sheet.bytes) {
            // A full disk is not filled further.
            let _ = self.files.remove(&new);
            return Err(why);
        }
        self.files.rename(&new, &name).map_err(|why| StoreError::Name(name.clone(), why))?;
        self.sync_folder(folder)?;
        let sheets = self.sheets.entry(shelf.to_owned()).or_default();
        sheets.insert(sheet.rank(), sheet.bytes.len() as u64);
        while sheets.len() > SHEETS {
            let Some((rank, _)) = sheets.pop_first() else { break };
            // If it stays or comes back it is removed later: it is never the highest.
            let _ = self.files.remove(&sheet_name(shelf, rank));
        }
        Ok(())
    }

    fn write_new(&mut self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        let failed = |why| StoreError::Write(name.to_owned(), why);
        self.files.cut(name, 0).map_err(failed)?;
        self.files.write(name, 0, bytes).map_err(failed)?;
        self.sync(name)
    }

    // Claims.

    fn segment_bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.len).sum()
    }

    fn read_claims(&mut self) -> Result<Logged, StoreError> {
        let listed = self.list(CLAIMS)?;
        self.tidy(CLAIMS, &listed);
        let numbers: BTreeMap<u32, u64> =
            listed.iter().filter_map(|(name, len)| Some((number_of(name)?, *len))).collect();
        let (mut claims, mut sessions) = (HashMap::new(), BTreeMap::new());
        for (number, len) in numbers {
            self.next = number + 1;
            let name = segment_name(number);
            let bytes = self.read(&name)?;
            // Guards against telling what was never synced: it could be gone at the next loss of power, after others
            // were told of it.
            self.sync(&name)?;
            self.segments.insert(number, Segment { len, whole: 0, live: 0 });
            let mut at = 0;
            while let Some(payload) = frame(number, &bytes, at) {
                let Some(records) = records(payload) else { break };
                for (record, size) in records {
                    let Some(mark) = mark(&record, number, at, size) else { continue };
                    self.apply(mark);
                    match record {
                        Record::Claim(key, claim) => {
                            claims.insert(key, claim);
                        }
                        Record::Free(key, _) if !self.live.contains_key(&key) => {
                            claims.remove(&key);
                        }
                        Record::Session(session, entry) => drop(sessions.insert(session, entry)),
                        Record::SessionOver(session) => drop(sessions.remove(&session)),
                        _ => {}
                    }
                }
                at += HEAD + payload.len();
            }
            if let Some(segment) = self.segments.get_mut(&number) {
                segment.whole = at as u64;
            }
            if at < bytes.len() {
                self.found.push(format!("{name}: {at} of {} bytes are whole", bytes.len()));
            }
        }
        let mut claims: Vec<(Key, Claim)> = claims.into_iter().collect();
        claims.sort_unstable_by_key(|(key, _)| *key);
        Ok((claims, sessions.into_iter().collect()))
    }

    fn append(&mut self, records: &[Record]) -> Result<(), StoreError> {
        let room = |number| self.segments.get(&number).filter(|segment| segment.whole < self.limits.segment);
        let (number, from, fresh) = match self.tail.and_then(|number| Some((number, room(number)?.whole))) {
            Some((number, whole)) => (number, whole, false),
            None => (self.next, 0, true),
        };
        if number > MOST_NUMBER {
            return Err(StoreError::TooLong);
        }
        let (moving, moved) = self.movable(number);
        let batch =
            Batch::new(number, from, moving.iter().chain(records), matches!(self.sessions, Sessions::Here))?;
        let name = segment_name(number);
        let written = self.put(&name, from, fresh, &batch.bytes);
        let len = from + batch.bytes.len() as u64;
        match (written, self.segments.get_mut(&number)) {
            // Whatever was written of a new segment, the next try empties it: none of it was safe.
            (Err(why), None) => {
                self.sweep();
                return Err(why);
            }
            (Err(why), Some(segment)) => {
                (segment.len, self.tail) = (len, None);
                self.sweep();
                return Err(why);
            }
            (Ok(()), Some(segment)) => (segment.len, segment.whole) = (len, len),
            (Ok(()), None) => {
                self.segments.insert(number, Segment { len, whole: len, live: 0 });
                (self.tail, self.next, self.removed) = (Some(number), number + 1, false);
            }
        }
        for mark in batch.marks {
            self.apply(mark);
        }
        self.moved = moved;
        self.sweep();
        Ok(())
    }

    /// One write, one sync; a new segment costs two calls more.
    fn put(&mut self, name: &str, from: u64, fresh: bool, bytes: &[u8]) -> Result<(), StoreError> {
        let failed = |why| StoreError::Write(name.to_owned(), why);
        if fresh {
            self.files.cut(name, 0).map_err(failed)?;
        }
        self.files.write(name, from, bytes).map_err(failed)?;
        self.sync(name)?;
        if fresh { self.sync_folder(CLAIMS) } else { Ok(()) }
    }

    fn apply(&mut self, mark: Mark) {
        let gone = match mark {
            Mark::Claim(key, place) => {
                self.live_bytes += u64::from(place.size);
                if let Some(segment) = self.segments.get_mut(&place.segment) {
                    segment.live += 1;
                }
                self.live.insert(key, place)
            }
            Mark::Free(key, token) if self.live.get(&key).is_some_and(|place| place.token == token) => {
                self.live.remove(&key)
            }
            Mark::Free(..) => None,
        };
        if let Some(place) = gone {
            self.live_bytes = self.live_bytes.saturating_sub(u64::from(place.size));
            if let Some(segment) = self.segments.get_mut(&place.segment) {
                segment.live = segment.live.saturating_sub(1);
            }
        }
    }

    /// Live claims of the oldest segment that are to be written once more, ahead of what is new, and how far they have
    /// moved on then. None when there is no need.
    fn movable(&mut self, tail: u32) -> (Vec<Record>, u64) {
        let (all, live) = (self.segment_bytes(), self.live_bytes);
        let need = all > self.limits.some && all / 4 > live
            || all > self.limits.many && all / 2 > live
            || self.segments.len() > self.limits.segments;
        let (from, step) = (self.moved, self.limits.step);
        let Some((&number, oldest)) = self.segments.first_key_value() else { return (Vec::new(), from) };
        let left = oldest.whole.saturating_sub(from);
        if !need || number == tail || oldest.live == 0 || left == 0 {
            return (Vec::new(), from);
        }
        let (end, name) = (oldest.whole, segment_name(number));
        let mut bytes = match self.files.read(&name, from, left.min(step)) {
            Ok(bytes) => bytes,
            // It can wait.
            Err(_) => return (Vec::new(), from),
        };
        let first = length(&bytes, 0).map_or(0, |len| (HEAD + len) as u64);
        if first > bytes.len() as u64 && first <= left {
            match self.files.read(&name, from, first) {
                Ok(more) => bytes = more,
                Err(_) => return (Vec::new(), from),
            }
        }
        let (mut moving, mut at) = (Vec::new(), 0);
        while let Some(payload) = frame(number, &bytes, at) {
            let Some(records) = records(payload) else { break };
            let here = from + at as u64;
            moving.extend(records.into_iter().map(|(record, _)| record).filter(|record| {
                match record {
                    Record::Claim(key, claim) => self.live.get(key).is_some_and(|place| {
                        place.segment == number && u64::from(place.at) == here && place.token == claim.token
                    }),
                    Record::Session(session, _) => self
                        .live
                        .get(session)
                        .is_some_and(|place| place.segment == number && u64::from(place.at) == here),
                    _ => false,
                }
            }));
            at += HEAD + payload.len();
        }
        // It was whole once and isn't any more; what follows is not to be had.
        if at == 0 { (moving, end) } else { (moving, from + at as u64) }
    }

    /// Removes the oldest segment if it is of no use any more. After a failed write as well: it may be room that lacks.
    /// When it fails it is tried again with the next write.
    fn sweep(&mut self) {
        let Some((&number, oldest)) = self.segments.first_key_value() else { return };
        let (len, live) = (oldest.len, oldest.live);
        if self.tail == Some(number) || live > 0 && self.moved < oldest.whole {
            return;
        }
        if self.removed && self.files.sync_folder(CLAIMS).is_err() {
            return;
        }
        self.removed = false;
        let name = segment_name(number);
        if live > 0 {
            self.put_aside(&name, len);
            self.live.retain(|_, place| place.segment != number);
            self.live_bytes = self.live.values().map(|place| u64::from(place.size)).sum();
        } else if self.files.remove(&name).is_err_and(|why| why.kind() != ErrorKind::NotFound) {
            return;
        }
        self.segments.remove(&number);
        (self.moved, self.removed) = (0, true);
    }
}

/// The frames of one write, and what they change once they are safe.
struct Batch {
    bytes: Vec<u8>,
    marks: Vec<Mark>,
}

impl Batch {
    fn new<'a>(
        number: u32,
        from: u64,
        records: impl Iterator<Item = &'a Record>,
        sessions: bool,
    ) -> Result<Batch, StoreError> {
        let mut batch = Batch { bytes: Vec::new(), marks: Vec::new() };
        let mut start = None;
        for record in records {
            let (key, token) = match record {
                Record::Claim(key, claim) => (*key, claim.token),
                Record::Free(key, token) => (*key, *token),
                Record::Session(session, _) | Record::SessionOver(session) if sessions => (*session, ANY),
                _ => continue,
            };
            let at = *start.get_or_insert_with(|| {
                batch.bytes.extend_from_slice(&[0; HEAD]);
                batch.bytes.len() - HEAD
            });
            let before = batch.bytes.len();
            ciborium::into_writer(record, &mut batch.bytes)
                .map_err(|why| StoreError::Form(why.to_string()))?;
            let size = u32::try_from(batch.bytes.len() - before).map_err(|_| StoreError::TooLong)?;
            let place = u32::try_from(from + at as u64).map_err(|_| StoreError::TooLong)?;
            batch.marks.push(match record {
                Record::Claim(..) | Record::Session(..) => {
                    Mark::Claim(key, Place { token, segment: number, at: place, size })
                }
                _ => Mark::Free(key, token),
            });
            if batch.bytes.len() - at >= FRAME {
                close(number, &mut batch.bytes, at)?;
                start = None;
            }
        }
        if let Some(at) = start {
            close(number, &mut batch.bytes, at)?;
        }
        Ok(batch)
    }
}

fn mark(record: &Record, segment: u32, at: usize, size: usize) -> Option<Mark> {
    match record {
        Record::Claim(key, claim) => {
            let (at, size) = (u32::try_from(at).ok()?, u32::try_from(size).ok()?);
            Some(Mark::Claim(*key, Place { token: claim.token, segment, at, size }))
        }
        Record::Session(session, _) => {
            let (at, size) = (u32::try_from(at).ok()?, u32::try_from(size).ok()?);
            Some(Mark::Claim(*session, Place { token: ANY, segment, at, size }))
        }
        Record::Free(key, token) => Some(Mark::Free(*key, *token)),
        Record::SessionOver(session) => Some(Mark::Free(*session, ANY)),
        Record::Ballots(_) | Record::Sheet(_) | Record::Paper(_) | Record::VersionBallots(_) => None,
    }
}

/// The count and what a slot holds; programs before the ballots on versions wrote none of them.
fn ballots_of(payload: &[u8]) -> Option<(u64, Ballots, Vec<VersionBallot>)> {
    let older = || {
        let (count, ballots) = ciborium::from_reader(payload).ok()?;
        Some((count, ballots, Vec::new()))
    };
    ciborium::from_reader(payload).ok().or_else(older)
}

/// Over the segment's number too: a frame of another segment is none here.
fn checksum(number: u32, len: &[u8], payload: &[u8]) -> u32 {
    let sum = crc32c::crc32c(&number.to_le_bytes());
    crc32c::crc32c_append(crc32c::crc32c_append(sum, len), payload)
}

/// Fills in the head of the frame that begins here and takes all the rest.
fn close(number: u32, bytes: &mut [u8], at: usize) -> Result<(), StoreError> {
    let Some((head, payload)) = bytes.get_mut(at..).and_then(|rest| rest.split_at_mut_checked(HEAD)) else {
        return Err(StoreError::TooLong);
    };
    let len = u32::try_from(payload.len()).map_err(|_| StoreError::TooLong)?.to_le_bytes();
    let sum = checksum(number, &len, payload).to_le_bytes();
    head[..4].copy_from_slice(&len);
    head[4..].copy_from_slice(&sum);
    Ok(())
}

fn word(bytes: &[u8], at: usize) -> Option<u32> {
    let four = bytes.get(at..at.checked_add(4)?)?;
    Some(u32::from_le_bytes(four.try_into().ok()?))
}

fn length(bytes: &[u8], at: usize) -> Option<usize> {
    usize::try_from(word(bytes, at)?).ok()
}

/// What the frame here holds, if it is whole.
fn frame(number: u32, bytes: &[u8], at: usize) -> Option<&[u8]> {
    let begin = at.checked_add(HEAD)?;
    let payload = bytes.get(begin..begin.checked_add(length(bytes, at)?)?)?;
    (checksum(number, &bytes[at..at + 4], payload) == word(bytes, at + 4)?).then_some(payload)
}

/// All records of a frame with their sizes, if they are ours to read.
fn records(mut payload: &[u8]) -> Option<Vec<(Record, usize)>> {
    let (mut all, mut buffer) = (Vec::new(), [0; READ_BUFFER]);
    while !payload.is_empty() {
        let before = payload.len();
        let record = ciborium::de::from_reader_with_buffer(&mut payload, &mut buffer).ok()?;
        all.push((record, before - payload.len()));
    }
    Some(all)
}

fn segment_name(number: u32) -> String {
    format!("{CLAIMS}/{number:06}")
}

fn number_of(name: &str) -> Option<u32> {
    let number: u32 = name.parse().ok()?;
    (number <= MOST_NUMBER && name == format!("{number:06}")).then_some(number)
}

fn shelf_of_timetable() -> String {
    format!("{TIMETABLE}/")
}

/// What the names of a paper's files begin with.
fn shelf_of(paper: &str) -> String {
    let mut shelf = format!("{PAPERS}/");
    for byte in paper.bytes() {
        match byte {
            b'a'..=b'z' | b'0'..=b'9' | b'-' => shelf.push(char::from(byte)),
            byte => shelf.push_str(&format!("_{byte:02x}")),
        }
    }
    shelf.push('.');
    shelf
}

fn name_of(shelf: &str) -> Option<String> {
    let mut rest = shelf.strip_prefix(PAPERS)?.strip_prefix('/')?.strip_suffix('.')?;
    let mut bytes = Vec::new();
    while let Some(first) = rest.chars().next() {
        let long = if first == '_' { 3 } else { 1 };
        let part = rest.get(..long)?;
        bytes.push(if first == '_' { u8::from_str_radix(&part[1..], 16).ok()? } else { part.as_bytes()[0] });
        rest = &rest[long..];
    }
    String::from_utf8(bytes).ok().filter(|name| shelf_of(name) == *shelf)
}

fn sheet_name(shelf: &str, (version, digest): (u64, u64)) -> String {
    format!("{shelf}r{version}-{digest:016x}.json")
}

/// The shelf and rank of a file, by its name.
fn rank_of(name: &str) -> Option<(String, (u64, u64))> {
    let (folder, file) = name.split_once('/')?;
    let start = if folder == PAPERS { file.find('.')? + 1 } else { 0 };
    let (shelf, tail) = name.split_at(folder.len() + 1 + start);
    let (version, digest) = tail.strip_prefix('r')?.strip_suffix(".json")?.split_once('-')?;
    let rank = (version.parse().ok()?, u64::from_str_radix(digest, 16).ok()?);
    let ours = folder != PAPERS || name_of(shelf).is_some();
    (ours && sheet_name(shelf, rank) == name).then(|| (shelf.to_owned(), rank))
}

/// The versions of a paper that this steward's folder has, the newest first, and the bytes of each.
pub fn history(dir: &Path, paper: &str) -> io::Result<Vec<Sheet>> {
    let shelf = shelf_of(paper);
    let mut all = Vec::new();
    for entry in fs::read_dir(dir.join(PAPERS))? {
        let Ok(name) = entry?.file_name().into_string() else { continue };
        let Some((of, (version, digest))) = rank_of(&format!("{PAPERS}/{name}")) else { continue };
        if of == shelf {
            // One that is removed meanwhile is not missed.
            let read = fs::read(dir.join(PAPERS).join(&name)).map(|bytes| Sheet::new(version, bytes));
            all.extend(read.ok().filter(|sheet| sheet.digest == digest));
        }
    }
    all.sort_by_key(|sheet| std::cmp::Reverse(sheet.rank()));
    Ok(all)
}

#[cfg(test)]
mod tests {
    use std::net::SocketAddr;
    use std::ops::Range;
    use std::sync::{Mutex, MutexGuard, PoisonError};

    use ochreshed_mesh::words::{Answer, Ballot, Outcome, Station, VersionBallot, View};

    use super::*;

    struct Dice(u64);

    impl Dice {
        fn new(seed: u64) -> Dice {
            Dice(seed.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
        }

        fn roll(&mut self, sides: u64) -> u64 {
            self.0 ^= self.0 << 13;
            self.0 ^= self.0 >> 7;
            self.0 ^= self.0 << 17;
            (self.0 >> 11) % sides
        }
    }

    enum Change {
        Cut(usize),
        Write(usize, Vec<u8>),
    }

    impl Change {
        fn make(&self, bytes: &mut Vec<u8>) {
            match self {
                Change::Cut(len) => bytes.resize(*len, 0),
                Change::Write(at, new) => {
                    bytes.resize(bytes.len().max(at + new.len()), 0);
                    bytes[*at..at + new.len()].copy_from_slice(new);
                }
            }
        }

        /// Whether it leaves nothing of what was before.
        fn covers(&self, other: &Change) -> bool {
            match (self, other) {
                (Change::Cut(at), Change::Cut(other) | Change::Write(other, _)) => at <= other,
                (Change::Write(at, _), Change::Write(other, _)) => at == other,
                (Change::Write(..), Change::Cut(_)) => false,
            }
        }
    }

    /// What is safe of a file, what a program sees, and the changes between; those that a failed sync has left behind
    /// are marked, and no later sync takes them along.
    #[derive(Default)]
    struct Node {
        safe: Vec<u8>,
        now: Vec<u8>,
        changes: Vec<(Change, bool)>,
    }

    enum Naming {
        Make(String, usize),
        Rename(String, String, usize),
        Remove(String, usize),
    }

    impl Naming {
        fn make(&self, names: &mut BTreeMap<String, usize>) {
            match self {
                Naming::Make(name, node) => {
                    names.insert(name.clone(), *node);
                }
                Naming::Rename(from, to, node) if names.get(from) == Some(node) => {
                    names.remove(from);
                    names.insert(to.clone(), *node);
                }
                Naming::Remove(name, node) if names.get(name) == Some(node) => {
                    names.remove(name);
                }
                _ => {}
            }
        }

        fn touches(&self, name: &str) -> bool {
            match self {
                Naming::Make(at, _) | Naming::Remove(at, _) => at == name,
                Naming::Rename(from, to, _) => from == name || to == name,
            }
        }

        fn within(&self, folder: &str) -> bool {
            let (Naming::Make(name, _) | Naming::Rename(name, ..) | Naming::Remove(name, _)) = self;
            name.rsplit_once('/').map_or(ROOT, |(folder, _)| folder) == folder
        }
    }

    /// A disk that loses power, refuses or is full when told to.
    struct Disk {
        nodes: Vec<Node>,
        now: BTreeMap<String, usize>,
        safe: BTreeMap<String, usize>,
        namings: Vec<Naming>,
        calls: u64,
        syncs: u64,
        stop: u64,
        refuse: Range<u64>,
        room: usize,
        dice: Dice,
    }

    #[derive(Clone)]
    struct Sim(Arc<Mutex<Disk>>);

    impl Sim {
        fn new(seed: u64, stop: u64, refuse: Range<u64>) -> Sim {
            Sim(Arc::new(Mutex::new(Disk {
                nodes: Vec::new(),
                now: BTreeMap::new(),
                safe: BTreeMap::new(),
                namings: Vec::new(),
                calls: 0,
                syncs: 0,
                stop,
                refuse,
                room: usize::MAX,
                dice: Dice::new(seed),
            })))
        }

        fn get(&self) -> MutexGuard<'_, Disk> {
            self.0.lock().unwrap_or_else(PoisonError::into_inner)
        }

        fn open(&self) -> Result<(Store, Saved), StoreError> {
            Store::start(Box::new(self.clone()), SMALL)
        }

        fn is_off(&self) -> bool {
            self.get().is_off()
        }

        /// Power is back. `keep`: it was the process that died, and files are as they were.
        fn back(&self, keep: bool) {
            let disk = &mut *self.get();
            (disk.stop, disk.refuse, disk.room) = (u64::MAX, 0..0, usize::MAX);
            if keep {
                return;
            }
            // 0: all that wasn't synced is gone; 1: nothing is.
            let how = disk.dice.roll(4);
            for node in &mut disk.nodes {
                for (change, _) in std::mem::take(&mut node.changes) {
                    match if how < 2 { how } else { disk.dice.roll(3) } {
                        0 => {}
                        1 => change.make(&mut node.safe),
                        _ => torn(change, &mut disk.dice).make(&mut node.safe),
                    }
                }
                node.now = node.safe.clone();
            }
            for naming in std::mem::take(&mut disk.namings) {
                if how == 1 || how > 1 && disk.dice.roll(2) == 1 {
                    naming.make(&mut disk.safe);
                }
            }
            disk.now = disk.safe.clone();
        }
    }

    /// A part of a write, with holes or cut short.
    fn torn(change: Change, dice: &mut Dice) -> Change {
        match change {
            Change::Write(at, mut bytes) if dice.roll(2) == 0 => {
                bytes.truncate(dice.roll(bytes.len() as u64 + 1) as usize);
                Change::Write(at, bytes)
            }
            Change::Write(at, mut bytes) => {
                for part in bytes.chunks_mut(16) {
                    if dice.roll(2) == 0 {
                        part.fill(0);
                    }
                }
                Change::Write(at, bytes)
            }
            change => change,
        }
    }

    impl Disk {
        /// Whether the call is to be carried out and whether it is well; power may be lost before or after it.
        fn call(&mut self) -> (bool, io::Result<()>) {
            self.calls += 1;
            if self.calls >= self.stop {
                let done = self.calls == self.stop && self.dice.roll(2) == 0;
                return (done, Err(ErrorKind::BrokenPipe.into()));
            }
            if self.refuse.contains(&self.calls) {
                return (false, Err(ErrorKind::PermissionDenied.into()));
            }
            (true, Ok(()))
        }

        fn is_off(&self) -> bool {
            self.calls >= self.stop
        }

        fn node(&self, name: &str) -> io::Result<usize> {
            self.now.get(name).copied().ok_or(ErrorKind::NotFound.into())
        }

        fn make(&mut self, name: &str) -> usize {
            self.node(name).unwrap_or_else(|_| {
                self.nodes.push(Node::default());
                let node = self.nodes.len() - 1;
                self.now.insert(name.to_owned(), node);
                self.namings.push(Naming::Make(name.to_owned(), node));
                node
            })
        }

        fn change(&mut self, name: &str, change: Change) {
            let node = self.make(name);
            change.make(&mut self.nodes[node].now);
            self.nodes[node].changes.push((change, false));
        }

        fn used(&self) -> usize {
            self.now.values().map(|node| self.nodes[*node].now.len()).sum()
        }
    }

    impl Files for Sim {
        fn folder(&mut self, _: &str) -> io::Result<()> {
            Ok(())
        }

        fn list(&mut self, folder: &str) -> io::Result<Vec<(String, u64)>> {
            let mut disk = self.get();
            disk.call().1?;
            let all = disk.now.iter().filter_map(|(name, node)| {
                let (within, name) = name.rsplit_once('/').unwrap_or((ROOT, name));
                (within == folder).then(|| (name.to_owned(), disk.nodes[*node].now.len() as u64))
            });
            Ok(all.collect())
        }

        fn read(&mut self, name: &str, from: u64, most: u64) -> io::Result<Vec<u8>> {
            let mut disk = self.get();
            disk.call().1?;
            let node = disk.node(name)?;
            let bytes = disk.nodes[node].now.get(from as usize..).unwrap_or_default();
            Ok(bytes[..usize::try_from(most).unwrap_or(usize::MAX).min(bytes.len())].to_vec())
        }

        fn write(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()> {
            let mut disk = self.get();
            let (done, mut well) = disk.call();
            let mut part = bytes.len();
            if well.is_ok() && disk.used() + bytes.len() > disk.room {
                part = disk.room.saturating_sub(disk.used());
                well = Err(ErrorKind::StorageFull.into());
            } else if !done {
                part = disk.dice.roll(bytes.len() as u64 + 1) as usize;
            }
            disk.change(name, Change::Write(at as usize, bytes[..part].to_vec()));
            well
        }

        fn cut(&mut self, name: &str, len: u64) -> io::Result<()> {
            let mut disk = self.get();
            let (done, well) = disk.call();
            if done {
                disk.change(name, Change::Cut(len as usize));
            }
            well
        }

        fn sync(&mut self, name: &str) -> io::Result<()> {
            let mut disk = self.get();
            disk.syncs += 1;
            let (done, well) = disk.call();
            let node = disk.make(name);
            if !done && !disk.is_off() {
                disk.nodes[node].changes.iter_mut().for_each(|(_, left)| *left = true);
            }
            if !done {
                return well;
            }
            let file = &mut disk.nodes[node];
            let mut changes = std::mem::take(&mut file.changes);
            while !changes.is_empty() {
                let (change, left) = changes.remove(0);
                if !left {
                    change.make(&mut file.safe);
                } else if !changes.iter().any(|(later, left)| !left && later.covers(&change)) {
                    file.changes.push((change, true));
                }
            }
            // Its name lasts as well, and what became of that name before.
            let made = |naming: &Naming| matches!(naming, Naming::Make(_, of) if *of == node);
            if let Some(i) = disk.namings.iter().position(made) {
                let mut now = disk.namings.drain(..=i).collect::<Vec<Naming>>();
                let rest = now.extract_if(.., |naming| !naming.touches(name)).collect::<Vec<Naming>>();
                disk.namings.splice(..0, rest);
                now.iter().for_each(|naming| naming.make(&mut disk.safe));
            }
            well
        }

        fn sync_folder(&mut self, name: &str) -> io::Result<()> {
            let mut disk = self.get();
            disk.syncs += 1;
            let (done, well) = disk.call();
            if done {
                let (now, rest): (Vec<_>, Vec<_>) =
                    std::mem::take(&mut disk.namings).into_iter().partition(|naming| naming.within(name));
                disk.namings = rest;
                now.iter().for_each(|naming| naming.make(&mut disk.safe));
            }
            well
        }

        fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
            let mut disk = self.get();
            let (done, well) = disk.call();
            if done {
                let node = disk.node(from)?;
                disk.now.remove(from);
                disk.now.insert(to.to_owned(), node);
                disk.namings.push(Naming::Rename(from.to_owned(), to.to_owned(), node));
            }
            well
        }

        fn remove(&mut self, name: &str) -> io::Result<()> {
            let mut disk = self.get();
            let (done, well) = disk.call();
            if done {
                let node = disk.node(name)?;
                disk.now.remove(name);
                disk.namings.push(Naming::Remove(name.to_owned(), node));
            }
            well
        }
    }

    const SMALL: Limits = Limits { segment: 600, some: 1_200, many: 5_000, segments: 8, step: 300 };

    fn ballots(round: u64) -> Ballots {
        let me = Station { at: SocketAddr::from(([10, 0, 0, 1], 4_000)), disk: 7 };
        let view =
            View { number: round, members: vec![me; round as usize % 4], base: vec![me], undone: true };
        let promised = Ballot { round, by: 3 };
        let accepted = Some((promised, view.clone()));
        Ballots { me, view, voter: true, promised, accepted, told_new: true, barred: round.is_multiple_of(2) }
    }

    fn version_ballots(turn: u64) -> Record {
        let promised = Ballot { round: turn, by: 9 };
        let sheet = Arc::new(Sheet::new(turn, vec![turn as u8; 40]));
        let accepted = turn.is_multiple_of(2).then_some((promised, sheet));
        let one = VersionBallot { name: "m/a".into(), version: turn, promised, accepted };
        Record::VersionBallots(vec![one; turn as usize % 3])
    }

    fn sheet(version: u64) -> Record {
        Record::Sheet(Arc::new(Sheet::new(version, format!("{{\"version\":{version}}}").into_bytes())))
    }

    fn paper(name: &str, version: u64) -> Record {
        let sheet = Arc::new(Sheet::new(version, format!("{name} {version}").into_bytes()));
        Record::Paper(Paper { name: name.into(), sheet })
    }

    fn claim(token: Token, body: Option<usize>) -> Claim {
        let answer = |long| Answer {
            status: 200,
            headers: vec![("content-type".to_owned(), "text/plain".to_owned())],
            body: vec![token as u8; long],
        };
        let outcome = body.map_or(Outcome::Open, |long| Outcome::Done(Arc::new(answer(long))));
        Claim { token, left_ms: 1_500, outcome }
    }

    /// What a disk should hold.
    #[derive(Clone, Default, Debug, PartialEq)]
    struct Held {
        ballots: Option<Ballots>,
        version_ballots: Vec<VersionBallot>,
        sheet: Option<Arc<Sheet>>,
        claims: BTreeMap<Key, Claim>,
        papers: BTreeMap<String, Arc<Sheet>>,
    }

    impl Held {
        fn of(saved: &Saved) -> Held {
            let claims = saved.claims.iter().cloned().collect();
            let papers = saved.papers.iter().map(|paper| (paper.name.to_string(), paper.sheet.clone()));
            let (ballots, sheet) = (saved.ballots.clone(), saved.sheet.clone());
            let version_ballots = saved.version_ballots.clone();
            Held { ballots, version_ballots, sheet, claims, papers: papers.collect() }
        }

        fn take(&mut self, record: &Record) {
            match record {
                Record::Ballots(ballots) => self.ballots = Some(ballots.clone()),
                Record::Sheet(sheet) => self.sheet = Some(Arc::clone(sheet)),
                Record::Claim(key, claim) => {
                    self.claims.insert(*key, claim.clone());
                }
                Record::Free(key, token) => {
                    if self.claims.get(key).is_some_and(|claim| claim.token == *token) {
                        self.claims.remove(key);
                    }
                }
                Record::Paper(paper) => {
                    self.papers.insert(paper.name.to_string(), paper.sheet.clone());
                }
                Record::VersionBallots(ballots) => self.version_ballots = ballots.clone(),
                Record::Session(..) | Record::SessionOver(_) => {}
            }
        }

        /// It holds what is safe; of the rest, each thing is as it was or as one of the later records left it.
        fn check(&self, safe: &Held, maybe: &[Record], about: &str) {
            let mut steps = vec![safe.clone()];
            for record in maybe {
                let mut step = steps[steps.len() - 1].clone();
                step.take(record);
                steps.push(step);
            }
            assert!(steps.iter().any(|step| step.ballots == self.ballots), "{about}: {:?}", self.ballots);
            let versions = |step: &Held| step.version_ballots == self.version_ballots;
            assert!(steps.iter().any(versions), "{about}: {:?}", self.version_ballots);
            assert!(steps.iter().any(|step| step.sheet == self.sheet), "{about}: {:?}", self.sheet);
            for name in self.papers.keys().chain(safe.papers.keys()) {
                let (got, mut may) = (self.papers.get(name), steps.iter().map(|step| step.papers.get(name)));
                assert!(may.any(|may| may == got), "{about}: {name} is {got:?}");
            }
            let keys = self.claims.keys().chain(safe.claims.keys());
            for key in keys {
                let (got, mut may) = (self.claims.get(key), steps.iter().map(|step| step.claims.get(key)));
                assert!(
                    may.any(|may| may == got),
                    "{about}: {key} is {got:?}, safe {:?}",
                    safe.claims.get(key)
                );
            }
        }
    }

    /// A steward at work.
    struct Work {
        sim: Sim,
        store: Option<Store>,
        dice: Dice,
        token: Token,
        safe: Held,
        maybe: Vec<Record>,
    }

    impl Work {
        fn new(sim: Sim) -> Work {
            let (dice, safe) = (Dice::new(5), Held::default());
            Work { sim, store: None, dice, token: 0, safe, maybe: Vec::new() }
        }

        /// What comes next does not hang on the disk, so that every run of a script is the same up to its end.
        fn batch(&mut self, turn: u64, held: &mut Held) -> Vec<Record> {
            let mut records = Vec::new();
            for _ in 0..1 + self.dice.roll(4) {
                let key = u128::from(self.dice.roll(14)) << 64 | 1;
                let (what, long) = (self.dice.roll(5), self.dice.roll(90) as usize);
                // The first keys are hardly ever freed: they have to move.
                let lasting = key >> 64 < 4 && self.dice.roll(12) > 0;
                let record = match held.claims.get(&key) {
                    Some(_) if lasting => continue,
                    Some(old) if what < 3 => Record::Free(key, old.token),
                    Some(old) if what == 3 => Record::Claim(key, claim(old.token, Some(long))),
                    _ => {
                        self.token += 1;
                        Record::Claim(key, claim(self.token, (what == 0).then_some(long)))
                    }
                };
                held.take(&record);
                records.push(record);
            }
            if turn % 6 == 2 {
                records.insert(0, sheet(turn));
            }
            if turn % 5 == 3 {
                records.insert(0, paper(if turn.is_multiple_of(2) { "m/a" } else { "w/A_" }, turn));
            }
            if turn % 5 == 1 {
                records.push(Record::Ballots(ballots(turn)));
            }
            if turn % 5 == 4 {
                records.push(version_ballots(turn));
            }
            let sheets = |record: &&Record| matches!(record, Record::Sheet(_) | Record::Paper(_));
            records.iter().filter(sheets).for_each(|record| held.take(record));
            records
        }

        /// Until the power is lost. Whatever is refused is tried again.
        fn run(&mut self, turns: u64) -> Result<(), StoreError> {
            let mut held = Held::default();
            for turn in 0..turns {
                let batch = self.batch(turn, &mut held);
                // The process dies at times, and the next one must not tell what isn't safe.
                if turn % 25 == 24 {
                    self.store = None;
                }
                self.maybe.extend(batch.iter().cloned());
                for tries in 0.. {
                    match self.go(&batch) {
                        Ok(()) => break,
                        Err(why) if tries > 20 || self.sim.is_off() => return Err(why),
                        Err(_) => {}
                    }
                }
                batch.iter().for_each(|record| self.safe.take(record));
                self.maybe.clear();
            }
            Ok(())
        }

        fn go(&mut self, batch: &[Record]) -> Result<(), StoreError> {
            if self.store.is_none() {
                let (store, saved) = self.sim.open()?;
                Held::of(&saved).check(&self.safe, &self.maybe, "after a kill");
                self.store = Some(store);
            }
            self.store.as_mut().map_or(Ok(()), |store| store.write(batch))
        }
    }

    const TURNS: u64 = 60;

    fn reopen(sim: &Sim) -> (Store, Held) {
        let (store, saved) = sim.open().expect("a disk without trouble opens");
        (store, Held::of(&saved))
    }

    /// Wherever power is lost, what was safe is there, nothing else appears, and it goes on from there.
    #[test]
    fn every_loss_of_power() {
        let sim = Sim::new(0, u64::MAX, 0..0);
        let mut work = Work::new(sim.clone());
        work.run(TURNS).expect("no trouble");
        let calls = sim.get().calls;
        assert!(calls > 200, "{calls}");
        for stop in 1..=calls {
            for seed in 0..2 {
                let about = format!("power lost in call {stop}, seed {seed}");
                let sim = Sim::new(stop * 2 + seed, stop, 0..0);
                let mut work = Work::new(sim.clone());
                let ended = work.run(TURNS);
                assert!(ended.is_err() || stop == calls, "{about}");
                work.store = None;
                let mut held = work.safe.clone();
                if (stop + seed) % 3 == 0 {
                    // A kill at first. What the next process is told is safe, whatever comes.
                    sim.back(true);
                    let told = reopen(&sim).1;
                    told.check(&work.safe, &work.maybe, &about);
                    held = told;
                    work.maybe.clear();
                }
                sim.back(false);
                let (mut store, told) = reopen(&sim);
                told.check(&held, &work.maybe, &about);
                let more =
                    [Record::Claim(99, claim(9_999, Some(30))), Record::Ballots(ballots(900)), sheet(900)];
                store.write(&more).expect("no trouble");
                let mut held = told;
                more.iter().for_each(|record| held.take(record));
                sim.back(false);
                assert_eq!(reopen(&sim).1, held, "{about}");
            }
        }
    }

    /// Wherever calls are refused for a while, all is written in the end, and nothing that was safe is lost.
    #[test]
    fn every_refusal() {
        let sim = Sim::new(0, u64::MAX, 0..0);
        Work::new(sim.clone()).run(TURNS).expect("no trouble");
        let calls = sim.get().calls;
        for from in 1..=calls {
            let sim = Sim::new(from, u64::MAX, from..from + 1 + from % 4);
            let mut work = Work::new(sim.clone());
            // Every third one loses power soon after.
            sim.get().stop = if from % 3 == 0 { from + 9 } else { u64::MAX };
            let ended = work.run(TURNS);
            assert!(ended.is_ok() || from % 3 == 0, "refused from call {from}: {ended:?}");
            sim.back(false);
            reopen(&sim).1.check(&work.safe, &work.maybe, &format!("refused from call {from}"));
        }
    }

    #[test]
    fn a_full_disk_loses_nothing() {
        for room in (300..6_000).step_by(70) {
            let sim = Sim::new(room, u64::MAX, 0..0);
            let (mut store, _) = reopen(&sim);
            sim.get().room = room as usize;
            let mut held = Held::default();
            let mut failed = None;
            for i in 0..100 {
                let records = [Record::Claim(i, claim(i as u64, Some(20))), sheet(i as u64)];
                if store.write(&records).is_err() {
                    failed = Some(records);
                    break;
                }
                records.iter().for_each(|record| held.take(record));
            }
            let failed = failed.expect("the disk is full");
            assert!(store.write(&failed).is_err());
            if room % 3 == 0 {
                drop(store);
                sim.back(false);
                let (store, told) = reopen(&sim);
                told.check(&held, &failed, "full");
                held = told;
                drop(store);
            } else {
                sim.get().room = usize::MAX;
                store.write(&failed).expect("there is room");
                failed.iter().for_each(|record| held.take(record));
            }
            sim.back(false);
            assert_eq!(reopen(&sim).1, held, "room {room}");
        }
    }

    /// Nothing that a disk hands out makes it panic or tell what was never written.
    #[test]
    fn flipped_bits() {
        let sim = Sim::new(0, u64::MAX, 0..0);
        let mut work = Work::new(sim.clone());
        work.run(30).expect("no trouble");
        let names: Vec<String> = sim.get().now.keys().cloned().collect();
        let whole = reopen(&sim).1;
        let mut dice = Dice::new(1);
        for name in names {
            let node = sim.get().now[&name];
            let bytes = sim.get().nodes[node].now.clone();
            for at in (0..bytes.len()).step_by(2) {
                let bit = 1 << dice.roll(8);
                sim.get().nodes[node].now[at] ^= bit;
                let before = sim.get().now.clone();
                let (store, told) = reopen(&sim);
                let kind = name.split(['/', '.']).next().unwrap_or_default();
                let (claims, sheet, ballots) =
                    (told.claims == whole.claims, told.sheet == whole.sheet, told.ballots == whole.ballots);
                assert!(claims || kind == CLAIMS, "{name} {at}");
                assert!(sheet || kind == TIMETABLE, "{name} {at}");
                assert!(told.papers == whole.papers || kind == PAPERS, "{name} {at}");
                assert!(ballots || kind == "ballots", "{name} {at}");
                for (key, claim) in &told.claims {
                    assert!(claim.token <= work.token && key >> 64 < 14, "{name} {at}");
                }
                drop(store);
                let mut disk = sim.get();
                disk.now = before;
                disk.nodes[node].now = bytes.clone();
            }
        }
    }

    /// Both ballots gone: as if the disk was lost, but for the claims.
    #[test]
    fn ballots_that_cannot_be_read() {
        let sim = Sim::new(0, u64::MAX, 0..0);
        let (mut store, _) = reopen(&sim);
        for round in 1..4 {
            store
                .write(&[Record::Ballots(ballots(round)), Record::Claim(1, claim(round, None))])
                .expect("written");
        }
        for slot in SLOTS {
            sim.clone().write(slot, 3, b"rot").expect("written");
        }
        let (mut store, told) = reopen(&sim);
        assert_eq!((told.ballots, told.claims.len()), (None, 1));
        assert_eq!(store.found().len(), 4, "{:?}", store.found());
        store.write(&[Record::Ballots(ballots(9))]).expect("written");
        sim.back(false);
        assert_eq!(reopen(&sim).1.ballots, Some(ballots(9)));
    }

    /// A segment that rots while it is in use: its live claims can't move on, all others do.
    #[test]
    fn a_segment_rots() {
        let sim = Sim::new(0, u64::MAX, 0..0);
        let (mut store, _) = reopen(&sim);
        store.write(&[Record::Claim(1, claim(1, Some(200)))]).expect("written");
        store.write(&[Record::Claim(2, claim(2, Some(200)))]).expect("written");
        sim.clone().write(&segment_name(1), 400, b"rot").expect("written");
        for token in 3..200 {
            store.write(&[Record::Claim(3, claim(token, Some(40)))]).expect("written");
        }
        assert!(store.found()[0].starts_with("claims/000001"), "{:?}", store.found());
        let (_, told) = reopen(&sim);
        assert_eq!(told.claims.keys().copied().collect::<Vec<Key>>(), [1, 3]);
    }

    /// What comes in the very write that moves a claim comes after it, and the latest of a segment is what moves.
    #[test]
    fn a_claim_that_moves() {
        for turn in 0..24 {
            for last in [Record::Free(1, 1), Record::Claim(1, claim(1, Some(7))), Record::Free(1, 2)] {
                let sim = Sim::new(0, u64::MAX, 0..0);
                let (mut store, _) = reopen(&sim);
                let mut held = Held::default();
                let first = [Record::Claim(1, claim(1, None))];
                let then = [Record::Claim(2, claim(0, Some(250)))];
                let done = [Record::Claim(1, claim(1, Some(3)))];
                let churn = (0..24).map(|i| {
                    let more = Record::Claim(2, claim(i, Some(60)));
                    if i == turn { [more, last.clone()].to_vec() } else { [more].to_vec() }
                });
                for records in [first.to_vec(), then.to_vec(), done.to_vec()].into_iter().chain(churn) {
                    store.write(&records).expect("written");
                    records.iter().for_each(|record| held.take(record));
                }
                assert!(sim.get().node(&segment_name(1)).is_err(), "the first segment is still there");
                assert_eq!(reopen(&sim).1, held, "turn {turn}, {last:?}");
            }
        }
    }

    /// One write and one sync, and a bounded disk, however long it goes on.
    #[test]
    fn the_hot_path() {
        let sim = Sim::new(0, u64::MAX, 0..0);
        let (mut store, _) = Store::start(Box::new(sim.clone()), LIMITS).expect("opens");
        store.write(&[Record::Claim(0, claim(0, None)), Record::Ballots(ballots(1))]).expect("written");
        store.write(&[Record::Ballots(ballots(2))]).expect("written");
        let open = |key: u128| Record::Claim(key << 100 | key, claim(u64::MAX - key as u64, None));
        let counted = || {
            let disk = sim.get();
            (disk.calls, disk.syncs)
        };
        let (bytes, (calls, syncs)) = (store.bytes(), counted());
        store.write(&[open(3)]).expect("written");
        assert_eq!(counted(), (calls + 2, syncs + 1));
        assert_eq!(store.bytes() - bytes, 71);
        store.write(&(4..104).map(open).collect::<Vec<Record>>()).expect("written");
        assert_eq!(counted().1, syncs + 2);
        assert_eq!((store.bytes() - bytes - 71) / 100, 63);
        store.write(&[Record::Ballots(ballots(3))]).expect("written");
        assert_eq!(counted().1, syncs + 3);

        let (mut store, _) = reopen(&Sim::new(0, u64::MAX, 0..0));
        let (mut most, mut held) = (0, Held::default());
        for token in 0..3_000 {
            // One in a hundred stays for long.
            let key = u128::from(if token % 100 == 0 { token % 500 } else { token % 7 + 1_000 });
            let record = Record::Claim(key, claim(token, Some(50)));
            held.take(&record);
            store.write(&[record]).expect("written");
            most = most.max(store.bytes());
        }
        assert!(most < 4 * store.live_bytes + SMALL.some, "{most}");
        assert_eq!(store.live.len(), held.claims.len());
        let counted: usize = store.segments.values().map(|segment| segment.live).sum();
        assert_eq!(counted, store.live.len());
    }

    /// On a real folder: the operator's word is there to be read, long records come back, strange files do no harm.
    #[test]
    fn a_real_folder() {
        let dir = std::env::temp_dir().join(format!("ochreshed-store-{}", std::process::id()));
        let _ = fs::remove_dir_all(&dir);
        let (mut store, saved) = Store::open(&dir).expect("opens");
        assert_eq!(Held::of(&saved), Held::default());
        let mut held = Held::default();
        let mut long = claim(2, Some(300_000));
        if let Outcome::Done(answer) = &mut long.outcome {
            Arc::make_mut(answer).headers.push(("x".repeat(9_000), "y".repeat(70_000)));
        }
        let mut records = vec![Record::Claim(u128::MAX, long), Record::Ballots(ballots(1))];
        records.extend((0..3_000).map(|key| Record::Claim(key, claim(key as u64, Some(9)))));
        records.extend((1..9).map(sheet));
        for record in &records {
            held.take(record);
        }
        store.write(&records).expect("written");
        store
            .write(&[Record::Claim(7, Claim { token: 9, left_ms: 0, outcome: Outcome::Unknown })])
            .expect("written");
        held.take(&Record::Claim(7, Claim { token: 9, left_ms: 0, outcome: Outcome::Unknown }));
        for version in 9..20 {
            store.write(&[sheet(version)]).expect("written");
            held.take(&sheet(version));
        }
        let rank = held.sheet.as_ref().map(|sheet| sheet.rank()).unwrap_or_default();
        assert_eq!(fs::read(dir.join(sheet_name("timetable/", rank))).expect("there"), b"{\"version\":19}");
        assert_eq!(fs::read_dir(dir.join(TIMETABLE)).expect("there").count(), SHEETS);
        assert!(!dir.join(PAPERS).exists(), "nobody named a member");
        for version in 1..9 {
            let names = ["members", "m/A_b", "m/A_62"];
            let records = names.map(|name| paper(name, version));
            store.write(&records).expect("written");
            records.iter().for_each(|record| held.take(record));
        }
        let versions: Vec<u64> =
            history(&dir, "m/A_b").expect("there").iter().map(|sheet| sheet.version).collect();
        assert_eq!(versions, [8, 7, 6, 5, 4]);
        drop(store);
        for name in [
            "papers/members.r99-0000000000000000.json",
            "papers/m_2g.r99-0000000000000000.json",
            "claims/7",
            "claims/000009",
            "claims/x",
            "timetable/r1-00.json",
            "timetable/r99-0000000000000000.json",
        ] {
            fs::write(dir.join(name), b"\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0").expect("written");
        }
        let (mut store, saved) = Store::open(&dir).expect("opens");
        assert_eq!(Held::of(&saved), held);
        assert_eq!(store.found().len(), 3, "{:?}", store.found());
        store.write(&[Record::Free(7, 9)]).expect("written");
        assert!(dir.join("claims/000010").exists());
        fs::remove_dir_all(&dir).expect("removed");
    }

    /// Guards against an older program that finds in its log what it can't read, and takes the rest for torn.
    #[test]
    fn sessions_have_a_log_of_their_own() {
        let dir = std::env::temp_dir().join(format!("ochreshed-sessions-{}", std::process::id()));
        let _ = fs::remove_dir_all(&dir);
        let entry = |epoch| Entry { epoch, token: epoch, taken: None };
        let (mut store, _) = Store::open(&dir).expect("opens");
        store.write(&[Record::Claim(1, claim(1, None))]).expect("written");
        assert!(!dir.join(SESSIONS).exists());
        let before = store.bytes();
        let records: Vec<Record> = (1..4_000).map(|i| Record::Session(i % 5, entry(i as u64))).collect();
        for some in records.chunks(3) {
            store.write(some).expect("written");
        }
        store.write(&[Record::SessionOver(2), Record::Claim(2, claim(2, None))]).expect("written");
        println!("{} bytes for {} records of sessions", store.bytes() - before, records.len());
        drop(store);
        let (_, saved) = Store::open(&dir).expect("opens");
        let held: Vec<(Session, u64)> = saved.sessions.iter().map(|(id, entry)| (*id, entry.epoch)).collect();
        assert_eq!(held, [(0, 3_995), (1, 3_996), (3, 3_998), (4, 3_999)]);
        assert_eq!(saved.claims.len(), 2);
        let (_, alone) =
            Store::start(Box::new(Folder { root: dir.clone(), handles: Vec::new() }), LIMITS).expect("opens");
        assert_eq!((alone.claims.len(), alone.sessions.len()), (2, 0));
        fs::remove_dir_all(&dir).expect("removed");
    }
}
