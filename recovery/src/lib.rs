//! Recovery of a balancer after a restart.
//!
//! - [`snapshot`]: the encoding of what an instance knows, which is read completely or not at all;
//! - [`snapshot_file`]: the steps that replace the snapshot file atomically;
//! - [`initial_list`]: which list of servers a starting instance uses;
//! - [`start_progress`]: how far a start has come on its way to full service.
//!
//! Invariants: this crate does no I/O and reads no clock; the caller passes the time in and carries out the steps.

pub mod initial_list;
pub mod snapshot;
pub mod snapshot_file;
pub mod start_progress;

/// Nanoseconds on the caller's monotonic clock.
pub type Nanos = u64;
pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;
