//! ochreshed decides where a balancer sends each request. [`policy`] makes every decision; [`types`] holds the values that go
//! in and out. `config` holds the configuration; `endpoint_set`, `in_flight`, `statistics`, `stride_scheduler` and `wait_queue`
//! hold the state that decisions depend on. Nothing here depends on a protocol or reads a clock.

// The tests' helper file names the crate as other crates do.
#[cfg(test)]
extern crate self as ochreshed;

mod config;
mod endpoint_set;
mod in_flight;
pub mod policy;
mod statistics;
mod stride_scheduler;
pub mod types;
mod wait_queue;

pub use policy::Balancer;
pub use types::*;
