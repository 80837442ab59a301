//! What one balancer says to the others of its fleet, and what it makes of what they say. [`node`] puts membership and
//! replica into one machine that is told what arrived and what time it is, and answers with datagrams to send; [`stream_sync`] is
//! the exchange of two copies that differ in much, over a stream; [`server_list`] holds the list as discovery told it here
//! against what others have heard since. Nothing here does I/O, reads a clock or draws from the system's chance, so the
//! program, the emulator and the tests run the same.

pub mod node;
pub mod server_list;
pub mod stream_sync;

pub use ochreshed_membership::{MS, Nanos, S};
