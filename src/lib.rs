//! ochreshed decides where a balancer sends each req. Every decision is made in [`decide`]; the
//! plain values that go in and out of it are in [`plain`]; `measure` holds what it measures with.
//! Nothing here knows a wire or a clock.

pub mod decide;
mod measure;
pub mod plain;

pub use decide::Balancer;
pub use plain::*;
