//! Consensus among the replicas of the control plane: which of them vote (membership epochs), the operator's
//! configuration and other registers, leases on idempotency keys, and sessions.
//!
//! `core` holds the state machine of one replica, `messages` the types that replicas exchange and keep on disk,
//! `placement` the order of replicas for a key.
//!
//! Invariants:
//! - The crate does no I/O and reads no clock. Callers pass the time and a seed, and carry out the effects that the
//!   core returns.

#![warn(missing_docs)]
#![warn(clippy::wildcard_imports, clippy::enum_glob_use, clippy::redundant_closure_for_method_calls)]

pub mod core;
pub mod messages;
pub mod placement;
