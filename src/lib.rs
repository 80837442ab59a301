//! ochreshed decides where a balancer sends each request. [`decide`] makes every decision; [`types`] holds the values that go
//! in and out. `measure`, `fleet`, `flight`, `order` and `queue` hold the state that decisions depend on, `told` the
//! configuration. Nothing here depends on a protocol or reads a clock.

// The tests' helper file names the crate as other crates do.
#[cfg(test)]
extern crate self as ochreshed;

pub mod decide;
mod fleet;
mod flight;
mod measure;
mod order;
mod queue;
mod told;
pub mod types;

pub use decide::Balancer;
pub use types::*;
