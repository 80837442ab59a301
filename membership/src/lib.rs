//! Fleet membership by SWIM with the Lifeguard extensions. Written from the published papers: A. Das, I. Gupta,
//! A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (DSN 2002), and
//! A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (DSN-W 2018).
//!
//! [`record`] defines what is known of a member and which of two records wins; [`swim`] is the protocol as a state machine,
//! which is given received messages and the current time and returns messages to send; [`wire`] encodes messages. Nothing here
//! does I/O, reads a clock or uses the system's random numbers: the caller passes times in nanoseconds, and random numbers
//! come from a seed. The same code therefore runs in the program, in the emulator and in an exhaustive search over message
//! orders.

pub mod record;
pub mod swim;
pub mod wire;

/// Nanoseconds on the caller's monotonic clock.
pub type Nanos = u64;
/// One millisecond.
pub const MS: Nanos = 1_000_000;
/// One second.
pub const S: Nanos = 1_000 * MS;
