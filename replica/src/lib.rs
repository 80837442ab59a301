//! The state that the balancer instances of a fleet replicate among themselves by gossip.
//!
//! - [`stamp`]: the order of discovery's lists, also when discovery has lost its state and numbers them anew;
//! - [`status`]: which servers serve, drain or are gone;
//! - [`outcomes`]: counts of request outcomes, one row per instance, which only that instance writes;
//! - [`store`]: one instance's replica of all this, with deltas, digests and differences.
//!
//! Invariants: this crate does no I/O, reads no clock and makes no routing decisions; no order depends on the clock of
//! a machine.

pub mod outcomes;
pub mod stamp;
pub mod status;
pub mod store;

/// Nanoseconds on the caller's monotonic clock.
pub type Nanos = u64;
