//! How a snapshot is put down: a new file, flushed, then renamed over the old one, then the folder flushed. Cut off at any
//! step, the last one or the one before stands. It owns that order and must never name a file before it is flushed.

/// The name that a start reads, and the one that is written first.
pub const NAME: &str = "snapshot";
pub const NEW: &str = "snapshot.new";

/// One folder, as a caller or a test has it.
pub trait Disk {
    type Error;
    /// Makes the file anew, with these bytes; nothing is promised of it until it is flushed.
    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<(), Self::Error>;
    fn flush(&mut self, name: &str) -> Result<(), Self::Error>;
    fn rename(&mut self, from: &str, to: &str) -> Result<(), Self::Error>;
    fn flush_folder(&mut self) -> Result<(), Self::Error>;
    fn remove(&mut self, name: &str) -> Result<(), Self::Error>;
}

/// Once this is well the snapshot stands, whatever happens after. Where it is not, the one before does.
pub fn save<D: Disk>(disk: &mut D, bytes: &[u8]) -> Result<(), D::Error> {
    let written = disk.write(NEW, bytes).and_then(|()| disk.flush(NEW));
    if let Err(why) = written {
        // A full disk is not filled further. What is left of it is written over the next time, if this fails too.
        let _ = disk.remove(NEW);
        return Err(why);
    }
    disk.rename(NEW, NAME)?;
    disk.flush_folder()
}
