//! Calls to the file system. It owns the open handles and must never say that a call went well that did not.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::PathBuf;

pub(crate) const ROOT: &str = ".";
/// So many files stay open to be written.
pub(crate) const HANDLES: usize = 4;

/// The folder, as the store or a test has it. Names are relative, folders are one deep.
pub(crate) trait Files {
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

pub(crate) struct Folder {
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
    pub(crate) fn new(root: PathBuf) -> Folder {
        Folder { root, handles: Vec::new() }
    }

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
