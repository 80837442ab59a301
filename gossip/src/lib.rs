//! The gossip protocol between the balancers of a fleet. [`node`] joins membership and replica into one state machine, which
//! is given received datagrams and the current time and returns datagrams to send; [`stream_sync`] is the format in which two
//! replicas that differ in many records synchronize over a stream; [`endpoint_list`] merges the list that this balancer has
//! from discovery with what other balancers have reported since. Nothing here does I/O, reads a clock or uses the system's
//! random numbers, so the program, the emulator and the tests run the same code.

pub mod endpoint_list;
pub mod node;
pub mod stream_sync;

pub use ochreshed_membership::{MS, Nanos, S};
