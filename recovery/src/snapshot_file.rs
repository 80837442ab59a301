//! Atomic replacement of the snapshot file: the new content is written to a temporary file and synced, the file is
//! renamed over the old one, and the directory is synced. After an interruption at any step, the new or the previous
//! snapshot is left.
//!
//! Invariant: a file is never renamed to the snapshot's name before its content is synced.

/// The file that a starting instance reads.
pub const SNAPSHOT_FILE_NAME: &str = "snapshot";
/// The file that is written before it replaces the snapshot.
pub const TEMP_FILE_NAME: &str = "snapshot.new";

/// The directory of the snapshots, on a file system or simulated by a test.
pub trait SnapshotDir {
    type Error;
    /// Creates or truncates the file and writes the bytes. Their durability is not guaranteed until the file is synced.
    fn write_file(&mut self, name: &str, bytes: &[u8]) -> Result<(), Self::Error>;
    fn sync_file(&mut self, name: &str) -> Result<(), Self::Error>;
    fn rename_file(&mut self, from: &str, to: &str) -> Result<(), Self::Error>;
    fn sync_directory(&mut self) -> Result<(), Self::Error>;
    fn remove_file(&mut self, name: &str) -> Result<(), Self::Error>;
}

/// Replaces the snapshot. On success it is durable; on an error the previous one is left.
pub fn save_snapshot<D: SnapshotDir>(directory: &mut D, bytes: &[u8]) -> Result<(), D::Error> {
    let written =
        directory.write_file(TEMP_FILE_NAME, bytes).and_then(|()| directory.sync_file(TEMP_FILE_NAME));
    if let Err(error) = written {
        // Frees the space on a full disk. If that fails too, the next save overwrites the file.
        let _ = directory.remove_file(TEMP_FILE_NAME);
        return Err(error);
    }
    directory.rename_file(TEMP_FILE_NAME, SNAPSHOT_FILE_NAME)?;
    directory.sync_directory()
}
