//! The configuration and the endpoint table that all processes of the mesh share, and the messages about both.
//!
//! - [`configuration`], [`members`] and [`overlay`]: the operators' and members' documents, read and checked, and the
//!   routes that follow from them;
//! - [`configuration_update`] and [`delta`]: configurations on their way to nodes, as differences;
//! - [`endpoints`], [`watch_server`] and [`watch_client`]: the table of upstreams and how changes of it are watched;
//! - [`internal_rpc`] and [`traffic_reports`]: the messages between the processes.
//!
//! Invariants: this crate does no I/O, reads no clock and draws no randomness; callers pass the time in.

#![warn(missing_docs)]

pub mod configuration;
pub mod configuration_update;
pub mod delta;
pub mod endpoints;
pub mod internal_rpc;
pub mod members;
pub mod overlay;
pub mod traffic_reports;
pub mod watch_client;
pub mod watch_server;
