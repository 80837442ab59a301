//! The configuration and the endpoint table shared by all processes of the mesh, and the messages that distribute them.
//!
//! - [`configuration`], [`members`] and [`overlay`]: parsing and validation of operators' and members' documents, and
//!   the resulting routes;
//! - [`configuration_update`] and [`delta`]: distribution of configurations to nodes as deltas;
//! - [`endpoints`], [`watch_server`] and [`watch_client`]: the table of upstreams and watches for its changes;
//! - [`internal_rpc`] and [`traffic_reports`]: the messages between the processes.
//!
//! Invariants: this crate does no I/O, reads no clock and draws no randomness; callers pass in the current time.

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
