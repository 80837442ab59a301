//! A discrete-event simulation in which the routing policy is tested. [`event_queue`] orders events, [`random`] draws
//! random numbers, [`service_queue`] models a server, [`scenario`] reads scenario files, [`routing`] holds the policy
//! under test and its baselines, [`gossip_network`] connects the balancers, [`simulation`] runs a scenario and [`audit`]
//! checks four rules from outside. [`mesh`] simulates the control plane of a mesh. Nothing here does I/O or reads a
//! clock: the same seed gives the same run.
//!
//! Reports label all figures as simulated.

pub mod audit;
pub mod event_queue;
pub mod gossip_network;
pub mod mesh;
pub mod random;
pub mod routing;
pub mod scenario;
pub mod service_queue;
pub mod simulation;

pub use ochreshed::Nanos;

/// One millisecond.
pub const MS: Nanos = 1_000_000;
/// One second.
pub const S: Nanos = 1_000 * MS;
