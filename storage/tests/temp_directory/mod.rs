//! Temporary directories for tests.

use std::fs;
use std::path::{Path, PathBuf};

/// A path at which no directory exists at first. It is removed at the end of a test, even if the test fails.
pub struct TempDirectory(PathBuf);

impl TempDirectory {
    /// `name` distinguishes the directories of tests that run concurrently.
    pub fn new(name: &str) -> TempDirectory {
        let path = std::env::temp_dir().join(format!("ochreshed-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        TempDirectory(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    pub fn join(&self, path: impl AsRef<Path>) -> PathBuf {
        self.0.join(path)
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
