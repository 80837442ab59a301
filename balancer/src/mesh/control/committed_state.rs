//! What the event loop publishes of the core's state for everyone else in the process to read.
//!
//! Main types: [`PublishedState`], replaced as a whole at each change, and [`CommittedRegisters`] within it. The watch
//! server reads it as a `watch_server::CommittedState`.
//!
//! Invariants: readers never see a value that is neither committed nor, after a start, the newest on this disk.

use std::net::SocketAddr;
use std::sync::Arc;

use ochreshed_catalog::watch_server;
use ochreshed_consensus::messages::{Membership, NamedRegister, RegisterValue, Revision};

/// The core's state as of its last change.
#[derive(Clone, Default)]
pub struct PublishedState {
    /// The newest committed configuration. After a start, until a quorum says which one is committed, the newest one on
    /// this disk: proxies that restart before the control plane have nothing else to go by.
    pub configuration: Option<Arc<RegisterValue>>,
    /// Addresses of all replicas that the core knows, sorted.
    pub replicas: Vec<SocketAddr>,
    /// This replica hears a quorum.
    pub has_quorum: bool,
    pub registers: Arc<CommittedRegisters>,
    pub membership: Option<Membership>,
    /// This replica votes in that membership.
    pub voter: bool,
    /// The replica was asked to leave, and enough others hold what it holds.
    pub may_stop: bool,
}

impl PublishedState {
    /// The form in which the watch server takes it.
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

    /// The revision of `configuration`, if there is one.
    #[must_use]
    pub fn configuration_revision(&self) -> Option<Revision> {
        self.configuration.as_ref().map(|configuration| configuration.revision())
    }
}

/// The named registers that readers go by.
#[derive(Default)]
pub struct CommittedRegisters {
    pub values: Vec<NamedRegister>,
    /// Digest of the names and revisions.
    pub digest: u64,
    /// The core's count of changes of registers when these were read from it.
    pub change_count: u64,
}
