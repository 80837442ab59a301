//! What one balancer says to the others of its fleet, and what it makes of what they say. [`peer`] puts membership and
//! replica into one machine that is told what arrived and what time it is, and answers with datagrams to send; [`meet`] is
//! the exchange of two copies that differ in much, over a stream; [`known`] holds the list as discovery told it here
//! against what others have heard since. Nothing here does I/O, reads a clock or draws from the system's chance, so the
//! program, the emulator and the tests run the same.

pub mod known;
pub mod meet;
pub mod peer;

pub use ochreshed_membership::{MS, Nanos, S};
