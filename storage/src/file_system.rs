//! Calls to the file system, behind a trait that tests implement with a simulated disk.
//!
//! Main types: [`FileSystem`], the trait; [`OsDirectory`], a directory of the operating system.
//!
//! Invariants: a call returns without an error only if it was carried out completely.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::PathBuf;

/// The path of the root directory itself.
pub const ROOT_DIRECTORY: &str = ".";

/// How many files stay open for writing.
const MAX_OPEN_FILES: usize = 4;

/// A file as listed in its directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileEntry {
    /// The name within the directory.
    pub name: String,
    /// The length of the file.
    pub bytes: u64,
}

/// A directory with files and one level of subdirectories. Paths are relative to it.
pub trait FileSystem: Send {
    /// Creates a directory if there is none.
    fn create_directory(&mut self, path: &str) -> io::Result<()>;

    /// Whether there is such a directory.
    fn directory_exists(&self, path: &str) -> bool;

    /// A subdirectory as a file system of its own. The subdirectory need not exist.
    fn subdirectory(&self, path: &str) -> Box<dyn FileSystem>;

    /// Lists the files of a directory, without its subdirectories, in any order.
    fn list_files(&mut self, directory: &str) -> io::Result<Vec<FileEntry>>;

    /// Reads at most `max_bytes` from this offset on.
    fn read_at(&mut self, path: &str, offset: u64, max_bytes: u64) -> io::Result<Vec<u8>>;

    /// Writes at this offset; creates the file if there is none. After an error any part of the bytes may have been
    /// written.
    fn write_at(&mut self, path: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Sets the length of a file; creates the file if there is none.
    fn set_length(&mut self, path: &str, bytes: u64) -> io::Result<()>;

    /// Makes the content of a file durable.
    fn sync_file(&mut self, path: &str) -> io::Result<()>;

    /// Makes the names in a directory durable.
    fn sync_directory(&mut self, path: &str) -> io::Result<()>;

    /// Renames a file; replaces the file that has the new name, if any.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove_file(&mut self, path: &str) -> io::Result<()>;
}

/// A directory of the operating system's file system.
///
/// Recently written files stay open, so that an append needs neither an open nor a seek.
pub struct OsDirectory {
    root: PathBuf,
    /// The open files, least recently used first.
    open_files: Vec<OpenFile>,
}

struct OpenFile {
    path: String,
    file: File,
    /// The file's current position.
    position: u64,
}

impl OsDirectory {
    /// The directory need not exist.
    #[must_use]
    pub fn new(root: PathBuf) -> OsDirectory {
        OsDirectory { root, open_files: Vec::new() }
    }

    fn absolute_path(&self, path: &str) -> PathBuf {
        if path == ROOT_DIRECTORY { self.root.clone() } else { self.root.join(path) }
    }

    /// Takes a file from the open ones, or opens it. The caller returns it with `keep_open` unless a call on it failed.
    fn take_open_file(&mut self, path: &str) -> io::Result<OpenFile> {
        if let Some(index) = self.open_files.iter().position(|open| open.path == path) {
            return Ok(self.open_files.remove(index));
        }
        let absolute_path = self.absolute_path(path);
        let file =
            OpenOptions::new().read(true).write(true).create(true).truncate(false).open(absolute_path)?;
        Ok(OpenFile { path: path.to_owned(), file, position: 0 })
    }

    fn keep_open(&mut self, open: OpenFile) {
        if self.open_files.len() >= MAX_OPEN_FILES {
            self.open_files.remove(0);
        }
        self.open_files.push(open);
    }

    fn close(&mut self, path: &str) {
        self.open_files.retain(|open| open.path != path);
    }
}

impl FileSystem for OsDirectory {
    fn create_directory(&mut self, path: &str) -> io::Result<()> {
        fs::create_dir_all(self.absolute_path(path))
    }

    fn directory_exists(&self, path: &str) -> bool {
        self.absolute_path(path).is_dir()
    }

    fn subdirectory(&self, path: &str) -> Box<dyn FileSystem> {
        Box::new(OsDirectory::new(self.absolute_path(path)))
    }

    fn list_files(&mut self, directory: &str) -> io::Result<Vec<FileEntry>> {
        let mut entries = Vec::new();
        for entry in fs::read_dir(self.absolute_path(directory))? {
            let entry = entry?;
            let metadata = entry.metadata()?;
            if let (true, Ok(name)) = (metadata.is_file(), entry.file_name().into_string()) {
                entries.push(FileEntry { name, bytes: metadata.len() });
            }
        }
        Ok(entries)
    }

    fn read_at(&mut self, path: &str, offset: u64, max_bytes: u64) -> io::Result<Vec<u8>> {
        let mut file = File::open(self.absolute_path(path))?;
        if offset > 0 {
            file.seek(SeekFrom::Start(offset))?;
        }
        let mut bytes = Vec::new();
        file.take(max_bytes).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn write_at(&mut self, path: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut open = self.take_open_file(path)?;
        if open.position != offset {
            open.file.seek(SeekFrom::Start(offset))?;
        }
        open.file.write_all(bytes)?;
        open.position = offset.saturating_add(bytes.len() as u64);
        self.keep_open(open);
        Ok(())
    }

    fn set_length(&mut self, path: &str, bytes: u64) -> io::Result<()> {
        let open = self.take_open_file(path)?;
        open.file.set_len(bytes)?;
        self.keep_open(open);
        Ok(())
    }

    fn sync_file(&mut self, path: &str) -> io::Result<()> {
        let open = self.take_open_file(path)?;
        open.file.sync_data()?;
        self.keep_open(open);
        Ok(())
    }

    fn sync_directory(&mut self, path: &str) -> io::Result<()> {
        File::open(self.absolute_path(path))?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.close(from);
        self.close(to);
        fs::rename(self.absolute_path(from), self.absolute_path(to))
    }

    fn remove_file(&mut self, path: &str) -> io::Result<()> {
        self.close(path);
        fs::remove_file(self.absolute_path(path))
    }
}
