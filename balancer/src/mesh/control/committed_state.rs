//! The core's state as published by the event loop for the other tasks of the process.
//!
//! Main types: [`PublishedState`], replaced as a whole at each change, and [`CommittedRegisters`] within it. The watch
//! server reads it as a `watch_server::CommittedState`.
//!
//! Invariants: readers see only committed values, or after a start the newest values on this disk.

use std::net::SocketAddr;
use std::sync::Arc;

use ochreshed_catalog::watch_server;
use ochreshed_consensus::messages::{Membership, NamedRegister, RegisterValue, Revision};

/// The core's state as of its last change.
#[derive(Clone, Default)]
pub struct PublishedState {
    /// The newest committed configuration. After a start, until a quorum confirms which one is committed, this is the
    /// newest one on this disk, because proxies that restart before the control plane has a quorum need a
    /// configuration.
    pub configuration: Option<Arc<RegisterValue>>,
    /// Addresses of all replicas known to the core, sorted.
    pub replicas: Vec<SocketAddr>,
    /// Whether this replica has a quorum.
    pub has_quorum: bool,
    pub registers: Arc<CommittedRegisters>,
    pub membership: Option<Membership>,
    /// Whether this replica votes in that membership.
    pub voter: bool,
    /// Whether the replica was asked to leave and enough other replicas have its state.
    pub may_stop: bool,
}

impl PublishedState {
    /// Returns the view that the watch server uses.
    #[must_use]
    pub fn as_committed(&self) -> watch_server::CommittedState<'_> {
        watch_server::CommittedState {
            configuration: self.configuration_revision(),
            replicas: &self.replicas,
            has_quorum: self.has_quorum,
            registers: watch_server::CommittedRegisters {
                digest: self.registers.digest,
                registers: &self.registers.values,
            },
        }
    }

    /// Returns the revision of `configuration`.
    #[must_use]
    pub fn configuration_revision(&self) -> Option<Revision> {
        self.configuration.as_ref().map(|configuration| configuration.revision())
    }
}

/// The registers that are published to readers.
#[derive(Default)]
pub struct CommittedRegisters {
    pub values: Vec<NamedRegister>,
    /// Digest of the names and revisions.
    pub digest: u64,
    /// The core's counter of register changes when these were read.
    pub change_count: u64,
}
