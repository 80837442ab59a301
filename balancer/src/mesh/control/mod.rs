//! The control plane's role: a few replicas that keep the operator's configuration, the table of endpoints, the leases
//! on idempotency keys and the owners of sessions. Decisions are made by the core in `ochreshed-consensus` and the
//! rules in `ochreshed-catalog` and `ochreshed-traffic`; this folder gives them sockets, a disk and time.
//!
//! Main types: [`replica_server::ReplicaServer`], what all tasks of a replica share; [`replica::Replica`], the event
//! loop that owns the core.
//!
//! The way of a configuration change:
//! 1. [`admin_api`] reads the operator's call and validates the configuration.
//! 2. [`replica_server`] hands it to the event loop as a request to the core.
//! 3. [`replica`] lets the core decide, and hands the records to be persisted to [`disk_writer`].
//! 4. Once these are synced, messages go to the other replicas. When a quorum has acknowledged the change, the core
//!    responds, and the operator's call is answered.
//! 5. [`replica`] publishes the new [`committed_state`], and [`replica_server`] answers the watches of proxies, which
//!    then
//!    fetch the change.
//!
//! Members of the platform change their own documents the same way: [`admin_api`], [`member_changes`], the core. Their
//! canaries are judged by [`canary_monitor`].
//!
//! Imports between these files go one way, without a circle: [`startup`] starts everything. [`replica`] and the tasks
//! ([`admin_api`], [`canary_monitor`], [`peer_watch`], [`settings_reload`], [`suspect_monitor`]) don't know each other,
//! they meet in [`replica_server`]. That imports only modules that hold state or I/O of one kind, such as
//! [`committed_state`], [`disk_writer`] and [`member_directory`].
//!
//! Invariants: nothing is acknowledged before it is synced to the disks of a quorum; readers see only committed state,
//! or after a start what this disk holds.

mod admin_api;
mod budget_reports;
mod canary_monitor;
mod committed_state;
mod disk_writer;
mod member_changes;
mod member_directory;
mod member_error;
mod peer_watch;
mod replica;
mod replica_server;
mod replica_status;
mod settings_reload;
mod startup;
mod suspect_monitor;

pub use startup::run;
