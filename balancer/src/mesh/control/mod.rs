//! The control plane: a few replicas that store the operator's configuration, the endpoint table, the leases on
//! idempotency keys and the owners of sessions. The decision logic is the core in `ochreshed-consensus` and the crates
//! `ochreshed-catalog` and `ochreshed-traffic`; these modules connect it to sockets, the disk and the clock.
//!
//! Main types: [`replica_server::ReplicaServer`], the state shared by all tasks of a replica; [`replica::Replica`], the
//! event loop that owns the core.
//!
//! Flow of a configuration change:
//! 1. [`admin_api`] reads the operator's call and validates the configuration.
//! 2. [`replica_server`] sends it to the event loop as a request to the core.
//! 3. [`replica`] passes it to the core, and the resulting log records to [`disk_writer`].
//! 4. Once the records are synced, messages are sent to the other replicas. When a quorum has acknowledged the change,
//!    the core responds, and the operator's call is answered.
//! 5. [`replica`] publishes the new [`committed_state`], and [`replica_server`] answers the watches of proxies, which
//!    then fetch the change.
//!
//! Members of the platform change their own documents the same way: [`admin_api`], [`member_changes`], the core.
//! [`canary_monitor`] evaluates their canaries.
//!
//! Dependencies between these modules are acyclic: [`startup`] starts everything. [`replica`] and the tasks
//! ([`admin_api`], [`canary_monitor`], [`peer_watch`], [`settings_reload`], [`suspect_monitor`]) don't depend on each
//! other, but only on [`replica_server`]. That imports only modules for one kind of state or I/O, such as
//! [`committed_state`], [`disk_writer`] and [`member_directory`].
//!
//! Invariants: nothing is acknowledged before it is synced to the disks of a quorum; readers see only committed state,
//! or after a start the state on this disk.

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
