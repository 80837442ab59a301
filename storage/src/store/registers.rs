//! Registers on disk: a file for each version, named by version and digest, a few of each kept. It must never take a file
//! for whole whose bytes do not fit the digest in its name.

use super::*;
use ochreshed_consensus::messages::Revision;

pub(super) const NEW: &str = ".new";
pub(super) const SHEETS: usize = 5;

/// The sheets of one register that are on disk, with their lengths.
pub(super) type Shelf = BTreeMap<Revision, u64>;

impl Store {
    pub(super) fn sheet_bytes(&self) -> u64 {
        self.sheets.values().flat_map(Shelf::values).sum()
    }

    /// The highest whole one of each shelf in a folder.
    pub(super) fn read_sheets(
        &mut self,
        folder: &str,
    ) -> Result<BTreeMap<String, Arc<RegisterValue>>, StoreError> {
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
            while let Some((&Revision { version, digest }, &len)) = sheets.last_key_value() {
                let name = sheet_name(&shelf, Revision::new(version, digest));
                let sheet = RegisterValue::new(version, self.read(&name)?);
                if sheet.digest == digest {
                    best.insert(shelf.clone(), Arc::new(sheet));
                    break;
                }
                self.put_aside(&name, len);
                sheets.remove(&Revision::new(version, digest));
            }
            self.sheets.insert(shelf, sheets);
        }
        Ok(best)
    }

    pub(super) fn read_papers(&mut self) -> Result<Vec<NamedRegister>, StoreError> {
        // No other folder is looked for by its absence: this one is made with the first paper.
        self.has_papers = match self.files.list(PAPERS) {
            Ok(_) => true,
            Err(why) if why.kind() == ErrorKind::NotFound => return Ok(Vec::new()),
            Err(why) => return Err(StoreError::Read(PAPERS.to_owned(), why)),
        };
        let sheets = self.read_sheets(PAPERS)?;
        Ok(sheets
            .into_iter()
            .filter_map(|(shelf, sheet)| Some(NamedRegister { name: name_of(&shelf)?.into(), value: sheet }))
            .collect())
    }

    pub(super) fn keep_sheet(&mut self, shelf: &str, sheet: &RegisterValue) -> Result<(), StoreError> {
        // A higher one, or this, is safe.
        let newest = self.sheets.get(shelf).and_then(|sheets| sheets.last_key_value());
        if newest.is_some_and(|(rank, _)| *rank >= sheet.revision()) {
            return Ok(());
        }
        let folder = shelf.split('/').next().unwrap_or_default();
        if folder == PAPERS && !self.has_papers {
            self.files.folder(PAPERS).map_err(|why| StoreError::Name(PAPERS.to_owned(), why))?;
            self.sync_folder(ROOT)?;
            self.has_papers = true;
        }
        let name = sheet_name(shelf, sheet.revision());
        let new = format!("{name}{NEW}");
        if let Err(why) = self.write_new(&new, &sheet.bytes) {
            // A full disk is not filled further.
            let _ = self.files.remove(&new);
            return Err(why);
        }
        self.files.rename(&new, &name).map_err(|why| StoreError::Name(name.clone(), why))?;
        self.sync_folder(folder)?;
        let sheets = self.sheets.entry(shelf.to_owned()).or_default();
        sheets.insert(sheet.revision(), sheet.bytes.len() as u64);
        while sheets.len() > SHEETS {
            let Some((rank, _)) = sheets.pop_first() else { break };
            // If it stays or comes back it is removed later: it is never the highest.
            let _ = self.files.remove(&sheet_name(shelf, rank));
        }
        Ok(())
    }

    pub(super) fn write_new(&mut self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        let failed = |why| StoreError::Write(name.to_owned(), why);
        self.files.cut(name, 0).map_err(failed)?;
        self.files.write(name, 0, bytes).map_err(failed)?;
        self.sync(name)
    }
}

pub(super) fn shelf_of_timetable() -> String {
    format!("{TIMETABLE}/")
}

/// What the names of a paper's files begin with.
pub(super) fn shelf_of(paper: &str) -> String {
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

pub(super) fn name_of(shelf: &str) -> Option<String> {
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

pub(super) fn sheet_name(shelf: &str, Revision { version, digest }: Revision) -> String {
    format!("{shelf}r{version}-{digest:016x}.json")
}

/// The shelf and rank of a file, by its name.
pub(super) fn rank_of(name: &str) -> Option<(String, Revision)> {
    let (folder, file) = name.split_once('/')?;
    let start = if folder == PAPERS { file.find('.')? + 1 } else { 0 };
    let (shelf, tail) = name.split_at(folder.len() + 1 + start);
    let (version, digest) = tail.strip_prefix('r')?.strip_suffix(".json")?.split_once('-')?;
    let rank = Revision::new(version.parse().ok()?, u64::from_str_radix(digest, 16).ok()?);
    let ours = folder != PAPERS || name_of(shelf).is_some();
    (ours && sheet_name(shelf, rank) == name).then(|| (shelf.to_owned(), rank))
}

/// The versions of a paper that this steward's folder has, the newest first, and the bytes of each.
pub fn history(dir: &Path, paper: &str) -> io::Result<Vec<RegisterValue>> {
    let shelf = shelf_of(paper);
    let mut all = Vec::new();
    for entry in fs::read_dir(dir.join(PAPERS))? {
        let Ok(name) = entry?.file_name().into_string() else { continue };
        let Some((of, Revision { version, digest })) = rank_of(&format!("{PAPERS}/{name}")) else { continue };
        if of == shelf {
            // One that is removed meanwhile is not missed.
            let read = fs::read(dir.join(PAPERS).join(&name)).map(|bytes| RegisterValue::new(version, bytes));
            all.extend(read.ok().filter(|sheet| sheet.digest == digest));
        }
    }
    all.sort_by_key(|sheet| std::cmp::Reverse(sheet.revision()));
    Ok(all)
}
