//! How a snapshot is put down: a new file, flushed, then renamed over the old one, then the folder flushed. Cut off at any
//! step, the last one or the one before stands. It owns that order and must never name a file before it is flushed.

/// The name that a start reads, and the one that is written first.
pub const SNAPSHOT_FILE_NAME: &str = "snapshot";
pub const TEMP_FILE_NAME: &str = "snapshot.new";

/// One folder, as a caller or a test has it.
pub trait SnapshotDir {
    type Error;
    /// Makes the file anew, with these bytes; nothing is promised of it until it is flushed.
    fn write_file(&mut self, name: &str, bytes: &[u8]) -> Result<(), Self::Error>;
    fn sync_file(&mut self, name: &str) -> Result<(), Self::Error>;
    fn rename_file(&mut self, from: &str, to: &str) -> Result<(), Self::Error>;
    fn sync_directory(&mut self) -> Result<(), Self::Error>;
    fn remove_file(&mut self, name: &str) -> Result<(), Self::Error>;
}

/// Once this is well the snapshot stands, whatever happens after. Where it is not, the one before does.
pub fn save_snapshot<D: SnapshotDir>(directory: &mut D, bytes: &[u8]) -> Result<(), D::Error> {
    let written =
        directory.write_file(TEMP_FILE_NAME, bytes).and_then(|()| directory.sync_file(TEMP_FILE_NAME));
    if let Err(why) = written {
        // A full directory is not filled further. What is left of it is written over the next time, if this fails too.
        let _ = directory.remove_file(TEMP_FILE_NAME);
        return Err(why);
    }
    directory.rename_file(TEMP_FILE_NAME, SNAPSHOT_FILE_NAME)?;
    directory.sync_directory()
}
