//! What the data plane and the control plane both use: members' documents as they are in force, the page of metrics, and
//! the time that a process takes to recover.
//!
//! Invariants: nothing here uses `proxy::node` or `control`, so that these two never depend on each other.

pub mod member_documents;
pub mod metrics;
pub mod recovery_time;
