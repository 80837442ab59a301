//! Coming back after a restart. [`snapshot`] is what an instance knew, as bytes that are read whole or not at all; [`snapshot_file`]
//! the steps by which such bytes are put down, so that whatever is cut off leaves the last one or the one before; [`initial_list`]
//! what a start takes over of it and what it drops; [`start_progress`] the way from a process's start to full service as a
//! machine with names. Nothing here does I/O or reads a clock: the caller gives times and carries out the steps.

pub mod initial_list;
pub mod snapshot;
pub mod snapshot_file;
pub mod start_progress;

/// Nanoseconds on a clock of the caller's, which never goes back.
pub type Nanos = u64;
pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;
