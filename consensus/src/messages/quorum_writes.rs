//! Writes that are acknowledged once a majority of the voters stores them, without a ballot: writes on one subject lead
//! to the same state in any order.
//!
//! Main types: `QuorumWrite`, `QuorumWriteRequest`.

use serde::{Deserialize, Serialize};

use super::leases::LeaseCompletion;
use super::tombstones::TombstoneId;

/// The content of a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuorumWrite {
    /// The outcome of the request under a lease.
    LeaseCompletion(LeaseCompletion),
    /// A mark of something that has ended.
    Tombstone(TombstoneId),
}

/// Asks the receiver to store a write and to report that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, QuorumWrite)", into = "(u64, QuorumWrite)")]
pub struct QuorumWriteRequest {
    /// The number of the call, which is returned with the report.
    pub call: u64,
    /// The content.
    pub write: QuorumWrite,
}

encoded_as_tuple!(QuorumWriteRequest { call: u64, write: QuorumWrite });
