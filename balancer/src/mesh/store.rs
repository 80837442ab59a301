//! What a steward keeps on disk: its ballots, the operator's last sheets, the claims. It owns the folder, the order in
//! which its files are written, synced and removed, and what is read of them at the start. It must never say that
//! something is safe before it is synced, tell at the start what is not, or decide what any of it means.
//!
//! - `ballots.0`, `ballots.1`: one frame each, written in turn and in place; the one with the higher count holds. The
//!   one that holds is never written over, so a torn one costs nothing that was safe. One sync a write.
//! - `timetable/r12-<digest>.json`: the bytes that the operator sent, as they came. The digest in the name says whether
//!   they are whole; the highest whole one holds.
//! - `claims/000001`, ..: frames that are only ever appended. One write and one sync for all claims of a call.
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

use ochreshed_mesh::words::{Ballots, Claim, Key, Record, Saved, Sheet, Token};

const ROOT: &str = ".";
const CLAIMS: &str = "claims";
const TIMETABLE: &str = "timetable";
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
    /// Makes the file if there is none, and empties it.
    fn clear(&mut self, name: &str) -> io::Result<()>;
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
        self.root.join(name)
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

    fn clear(&mut self, name: &str) -> io::Result<()> {
        let handle = self.handle(name)?;
        handle.file.set_len(0)?;
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

/// What a record that is safe changes.
enum Mark {
    Claim(Key, Place),
    Free(Key, Token),
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
    /// Those on disk, with their lengths.
    sheets: BTreeMap<(u64, u64), u64>,
    bad: u64,
    found: Vec<String>,
}

impl Store {
    /// Opens the folder, which is made if there is none, and reads what is whole. All of what it tells is safe. An
    /// error means that the disk can't be read or synced now: it may hold more than can be seen.
    pub fn open(dir: &Path) -> Result<(Store, Saved), StoreError> {
        let folder = Folder { root: dir.to_owned(), handles: Vec::new() };
        Store::start(Box::new(folder), LIMITS)
    }

    /// All of these are safe on disk once this is well. Otherwise none, some or all may be, and the caller writes them
    /// again; writing a record twice does no harm. Claims go first, ballots last: who is said to have caught up has.
    pub fn write(&mut self, records: &[Record]) -> Result<(), StoreError> {
        if records.iter().any(|record| matches!(record, Record::Claim(..) | Record::Free(..))) {
            self.append(records)?;
        }
        let sheets = records.iter().filter_map(|record| match record {
            Record::Sheet(sheet) => Some(sheet),
            _ => None,
        });
        if let Some(sheet) = sheets.max_by_key(|sheet| sheet.rank()) {
            self.keep_sheet(sheet)?;
        }
        let ballots = records.iter().rev().find_map(|record| match record {
            Record::Ballots(ballots) => Some(ballots),
            _ => None,
        });
        ballots.map_or(Ok(()), |ballots| self.keep_ballots(ballots))
    }

    /// On disk now.
    pub fn bytes(&self) -> u64 {
        self.segment_bytes() + self.slots.iter().sum::<u64>() + self.sheets.values().sum::<u64>() + self.bad
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
            sheets: BTreeMap::new(),
            bad: 0,
            found: Vec::new(),
        };
        for folder in [ROOT, CLAIMS, TIMETABLE] {
            store.files.folder(folder).map_err(|why| StoreError::Name(folder.to_owned(), why))?;
        }
        let saved = Saved {
            ballots: store.read_ballots()?,
            sheet: store.read_sheets()?,
            claims: store.read_claims()?,
        };
        // Names may be newer than what lasts: a process that was killed left them so.
        for folder in [ROOT, CLAIMS, TIMETABLE] {
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

    fn read_ballots(&mut self) -> Result<Option<Ballots>, StoreError> {
        let listed = self.list(ROOT)?;
        self.tidy(ROOT, &listed);
        let mut best: Option<Ballots> = None;
        for (i, slot) in SLOTS.iter().enumerate() {
            let Some((_, len)) = listed.iter().find(|(name, _)| name == slot) else { continue };
            self.slots[i] = *len;
            let bytes = self.read(slot)?;
            let read = frame(0, &bytes, 0).and_then(|whole| ciborium::from_reader(whole).ok());
            let Some((count, ballots)) = read else {
                self.found.push(format!("{slot}: not whole"));
                continue;
            };
            if best.is_none() || count > self.count {
                (best, self.count, self.newest) = (Some(ballots), count, i);
            }
        }
        match best {
            Some(_) => self.sync(SLOTS[self.newest])?,
            None => {
                for (i, slot) in SLOTS.iter().enumerate() {
                    if self.slots[i] > 0 {
                        self.put_aside(slot, self.slots[i]);
                        self.slots[i] = 0;
                    }
                }
            }
        }
        Ok(best)
    }

    fn keep_ballots(&mut self, ballots: &Ballots) -> Result<(), StoreError> {
        let count = self.count.saturating_add(1);
        let mut bytes = vec![0; HEAD];
        ciborium::into_writer(&(count, ballots), &mut bytes)
            .map_err(|why| StoreError::Form(why.to_string()))?;
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
        Ok(())
    }

    // Sheets.

    fn read_sheets(&mut self) -> Result<Option<Arc<Sheet>>, StoreError> {
        let listed = self.list(TIMETABLE)?;
        self.tidy(TIMETABLE, &listed);
        for (name, len) in &listed {
            if let Some(rank) = rank_of(name) {
                self.sheets.insert(rank, *len);
            }
        }
        while let Some((&(version, digest), &len)) = self.sheets.last_key_value() {
            let name = sheet_name((version, digest));
            let sheet = Sheet::new(version, self.read(&name)?);
            if sheet.digest == digest {
                return Ok(Some(Arc::new(sheet)));
            }
            self.put_aside(&name, len);
            self.sheets.remove(&(version, digest));
        }
        Ok(None)
    }

    fn keep_sheet(&mut self, sheet: &Sheet) -> Result<(), StoreError> {
        // A higher one, or this, is safe.
        if self.sheets.last_key_value().is_some_and(|(rank, _)| *rank >= sheet.rank()) {
            return Ok(());
        }
        let name = sheet_name(sheet.rank());
        let new = format!("{name}{NEW}");
        if let Err(why) = self.write_new(&new, &sheet.bytes) {
            // A full disk is not filled further.
            let _ = self.files.remove(&new);
            return Err(why);
        }
        self.files.rename(&new, &name).map_err(|why| StoreError::Name(name.clone(), why))?;
        self.sync_folder(TIMETABLE)?;
        self.sheets.insert(sheet.rank(), sheet.bytes.len() as u64);
        while self.sheets.len() > SHEETS {
            let Some((rank, _)) = self.sheets.pop_first() else { break };
            // If it stays or comes back it is removed later: it is never the highest.
            let _ = self.files.remove(&sheet_name(rank));
        }
        Ok(())
    }

    fn write_new(&mut self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        let failed = |why| StoreError::Write(name.to_owned(), why);
        self.files.clear(name).map_err(failed)?;
        self.files.write(name, 0, bytes).map_err(failed)?;
        self.sync(name)
    }

    // Claims.

    fn segment_bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.len).sum()
    }

    fn read_claims(&mut self) -> Result<Vec<(Key, Claim)>, StoreError> {
        let listed = self.list(CLAIMS)?;
        self.tidy(CLAIMS, &listed);
        let numbers: BTreeMap<u32, u64> =
            listed.iter().filter_map(|(name, len)| Some((number_of(name)?, *len))).collect();
        let mut claims = HashMap::new();
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
        Ok(claims)
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
        let batch = Batch::new(number, from, moving.iter().chain(records))?;
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
            self.files.clear(name).map_err(failed)?;
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
            moving.extend(records.into_iter().map(|(record, _)| record).filter(|record| match record {
                Record::Claim(key, claim) => self.live.get(key).is_some_and(|place| {
                    place.segment == number && u64::from(place.at) == here && place.token == claim.token
                }),
                _ => false,
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
    ) -> Result<Batch, StoreError> {
        let mut batch = Batch { bytes: Vec::new(), marks: Vec::new() };
        let mut start = None;
        for record in records {
            let (key, token) = match record {
                Record::Claim(key, claim) => (*key, claim.token),
                Record::Free(key, token) => (*key, *token),
                Record::Ballots(_) | Record::Sheet(_) => continue,
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
                Record::Claim(..) => Mark::Claim(key, Place { token, segment: number, at: place, size }),
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
        Record::Free(key, token) => Some(Mark::Free(*key, *token)),
        Record::Ballots(_) | Record::Sheet(_) => None,
    }
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

fn sheet_name((version, digest): (u64, u64)) -> String {
    format!("{TIMETABLE}/r{version}-{digest:016x}.json")
}

fn rank_of(name: &str) -> Option<(u64, u64)> {
    let (version, digest) = name.strip_prefix('r')?.strip_suffix(".json")?.split_once('-')?;
    let rank = (version.parse().ok()?, u64::from_str_radix(digest, 16).ok()?);
    sheet_name(rank).strip_prefix(TIMETABLE)?.strip_prefix('/')?.eq(name).then_some(rank)
}
