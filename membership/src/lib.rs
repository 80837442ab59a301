//! Who is in a fleet of balancers. Written from the published papers: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable
//! Weakly-consistent Infection-style Process Group Membership Protocol" (DSN 2002), and A. Dadgar, J. Phillips, J. Currey,
//! "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (DSN-W 2018).
//!
//! [`word`] is what is said of a member and which of two sayings stands; [`swim`] the protocol as a machine that is told
//! what arrived and what time it is, and answers with what to send; [`wire`] messages as bytes. Nothing here does I/O, reads
//! a clock or draws from the system's chance: times are nanoseconds that the caller gives, chance comes from a seed. So the
//! same code runs in the program, in the emulator and in a search over all orders.

pub mod swim;
pub mod wire;
pub mod word;

/// Nanoseconds on a clock of the caller's, which never goes back.
pub type Nanos = u64;
pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;
