//! ochreshed decides where a balancer sends each req. Every decision is made in [`decide`]; the plain values
//! that go in and out of it are in [`plain`]; `measure`, `fleet`, `flight`, `order` and `queue` hold what it
//! measures and counts with, `told` what it was told. Nothing here knows a wire or a clock.

// The tests' helper file names the crate as other crates do.
#[cfg(test)]
extern crate self as ochreshed;

pub mod decide;
mod fleet;
mod flight;
mod measure;
mod order;
pub mod plain;
mod queue;
mod told;

pub use decide::Balancer;
pub use plain::*;
