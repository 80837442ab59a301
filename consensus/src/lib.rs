//! Agreement among the replicas of the control plane: who of them votes (membership epochs), the operator's
//! configuration and other registers, leases on keys of operations that run once, and sessions. `core` decides,
//! `messages` holds the shapes of what replicas say to each other and keep on disk. No I/O, no clock: times are told,
//! chance is drawn from a seed, and what is to be written or sent is handed out as effects.

pub mod core;
pub mod messages;
pub mod placement;
