//! A world in simulated time in which the decisions can be rehearsed. It is built up from its parts: [`time`] has the
//! events in their order, [`chance`] what is drawn, [`station`] a srv as a queue with its slots, its warm-up, its
//! fatigue and its pauses, [`scenario`] the file that describes a day, [`chooser`] the module behind its runtime and the
//! baselines it is held against, [`fleet`] what balancers say to each other, [`world`] the day itself, [`audit`] the four rules seen from outside. [`mesh`] is a world of its own: the control plane of a mesh. Nothing in it does
//! I/O or reads a clock: the same seed gives the same run.
//!
//! Figures from here are simulated, and are called so wherever they are shown.

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

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;
