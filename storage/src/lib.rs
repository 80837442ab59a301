//! Durable state of a control-plane replica, and its recovery at the start.
//!
//! [`Store`] is the entry point: it opens a data directory, returns the state found there, and persists log records.
//! Each kind of state has a component of its own, which decides on the layout of its files:
//!
//! - `ballot_slots`: the replica's promises and accepted values as an acceptor (Paxos);
//! - `register_files`: the operator's configuration and the named registers, a file for each version;
//! - `record_log`: an append-only log of leases on idempotency keys, in segments of checksummed frames (`frame`);
//! - `subdirectory_log`: the same kind of log for sessions and for tombstones, each in a subdirectory.
//!
//! `data_directory` holds what the components share: calls to the file system with errors that name the path, and the
//! findings of recovery. `file_system` holds the calls to the operating system, which tests replace by a simulated
//! disk; only [`read_register_history`] makes its own, because it reads while a store may be open.
//!
//! Invariants:
//! - [`Store::persist`] returns without an error only after all records are synced.
//! - The state returned by [`Store::open`] is synced: the next loss of power loses none of it.
//! - Names and bytes on disk never change, because replicas of other versions read them; `tests/frozen_data_dir.rs`
//!   checks them.

#![warn(missing_docs)]

mod ballot_slots;
mod data_directory;
mod error;
#[doc(hidden)]
pub mod file_system;
mod frame;
mod record_log;
mod recovery_finding;
mod register_file_name;
mod register_files;

mod store;
mod subdirectory_log;

pub use error::StoreError;
#[doc(hidden)]
pub use record_log::{LogLimits, LogUsage};
pub use recovery_finding::RecoveryFinding;
pub use register_files::read_register_history;
pub use store::Store;
