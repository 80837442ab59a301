//! Registers, and Paxos on the content of each of their versions.
//!
//! Main types: `RegisterValue`, `NamedRegister`, `Revision`, `ProposalNumber`, `AcceptorState`, `RegisterPaxosMessage`.
//!
//! Invariants: tags on disk and on the wire stay as `serde(rename)` gives them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::membership::Ballot;

/// The version of a register together with the digest of its content. Ordered by version, then by digest.
///
/// At most one digest is ever decided for a version; digests distinguish contents that were sent under one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Revision {
    /// The version, which operators increment.
    pub version: u64,
    /// XXH3 (64 bits) of the content.
    pub digest: u64,
}

impl Revision {
    /// The revision of a register that has no value yet.
    pub const NONE: Revision = Revision { version: 0, digest: 0 };

    /// A revision from its two parts.
    #[must_use]
    pub const fn new(version: u64, digest: u64) -> Revision {
        Revision { version, digest }
    }
}

encoded_as_tuple!(Revision { version: u64, digest: u64 });

/// The content of a register at one version, as an operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisterValue {
    /// The version, which operators increment.
    pub version: u64,
    /// XXH3 (64 bits) of `bytes`.
    pub digest: u64,
    /// The content.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

impl RegisterValue {
    /// Computes the digest of `bytes`.
    pub fn new(version: u64, bytes: Vec<u8>) -> RegisterValue {
        RegisterValue { version, digest: xxhash_rust::xxh3::xxh3_64(&bytes), bytes }
    }

    /// The version and the digest.
    #[must_use]
    pub fn revision(&self) -> Revision {
        Revision { version: self.version, digest: self.digest }
    }

    /// Whether the digest is that of the bytes.
    pub fn is_intact(&self) -> bool {
        self.digest == xxhash_rust::xxh3::xxh3_64(&self.bytes)
    }
}

/// The name of a register; the operator's configuration is the register with the empty name.
pub type RegisterName = Arc<str>;

/// A register with its name and content. Each name has versions of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedRegister {
    /// The name of the register.
    pub name: RegisterName,
    /// The content.
    #[serde(rename = "sheet")]
    pub value: Arc<RegisterValue>,
}

/// The number of a proposal for a version of a register.
///
/// A number of a later epoch is higher than all of earlier epochs, whatever their rounds: the quorums of two epochs
/// that don't follow each other need not intersect, so a ballot of the earlier one may not bind any voter of the later
/// one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalNumber {
    /// The epoch in which the proposal was made.
    pub epoch: u64,
    /// The round and the proposer.
    pub ballot: Ballot,
}

/// A replica's state as an acceptor (Paxos) for one version of a register, above the version that it stores.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptorState {
    /// Empty for the operator's configuration.
    #[serde(rename = "name")]
    pub register: RegisterName,
    /// The version, which operators increment.
    pub version: u64,
    /// The number that was promised; the acceptor accepts nothing under a lower one.
    pub promised: ProposalNumber,
    /// The content that the acceptor accepted last, if any.
    pub accepted: Option<AcceptedValue>,
}

/// A message of single-decree Paxos on the content of one version of a register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegisterPaxosMessage {
    /// Asks for the promise to accept no proposal with a lower number.
    Prepare {
        /// The register; empty for the operator's configuration.
        #[serde(rename = "name")]
        register: RegisterName,
        /// The version, which operators increment.
        version: u64,
        /// The number of the proposal.
        number: ProposalNumber,
    },
    /// The promise, with the content that the sender accepted last.
    Promise {
        /// The register; empty for the operator's configuration.
        #[serde(rename = "name")]
        register: RegisterName,
        /// The version, which operators increment.
        version: u64,
        /// The number of the proposal.
        number: ProposalNumber,
        /// The content that the acceptor accepted last, if any.
        accepted: Option<AcceptedValue>,
    },
    /// Asks the receiver to accept this content.
    Accept {
        /// The register; empty for the operator's configuration.
        #[serde(rename = "name")]
        register: RegisterName,
        /// The number of the proposal.
        number: ProposalNumber,
        /// The content.
        #[serde(rename = "sheet")]
        value: Arc<RegisterValue>,
    },
    /// The sender accepted the content under this number.
    Accepted {
        /// The register; empty for the operator's configuration.
        #[serde(rename = "name")]
        register: RegisterName,
        /// The version, which operators increment.
        version: u64,
        /// The number of the proposal.
        number: ProposalNumber,
    },
    /// The sender has promised a higher number.
    #[serde(rename = "Outbid")]
    Preempted {
        /// The register; empty for the operator's configuration.
        #[serde(rename = "name")]
        register: RegisterName,
        /// The version, which operators increment.
        version: u64,
        /// The number of the proposal.
        number: ProposalNumber,
        /// The number that was promised; the acceptor accepts nothing under a lower one.
        promised: ProposalNumber,
    },
    /// The sender stores this version or a later one, which was decided.
    Superseded {
        /// The register; empty for the operator's configuration.
        #[serde(rename = "name")]
        register: RegisterName,
        /// The version, which operators increment.
        version: u64,
        /// The number of the proposal.
        number: ProposalNumber,
        /// The digest of the content decided for that version, if the sender knows it.
        digest: Option<u64>,
    },
}

/// The content that an acceptor accepted for a version, and the number under which it did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(ProposalNumber, Arc<RegisterValue>)", into = "(ProposalNumber, Arc<RegisterValue>)")]
pub struct AcceptedValue {
    /// The number.
    pub number: ProposalNumber,
    /// The content.
    pub value: Arc<RegisterValue>,
}

encoded_as_tuple!(AcceptedValue { number: ProposalNumber, value: Arc<RegisterValue> });

/// A register's name and the revision of its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(RegisterName, Revision)", into = "(RegisterName, Revision)")]
pub struct RegisterRevision {
    /// The name; empty for the configuration.
    pub name: RegisterName,
    /// The revision.
    pub revision: Revision,
}

encoded_as_tuple!(RegisterRevision { name: RegisterName, revision: Revision });
