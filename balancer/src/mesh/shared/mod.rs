//! Modules shared by the data plane and the control plane: members' documents, the metrics page and the recovery time.
//!
//! Invariants: nothing here uses `proxy::node` or `control`, so that these two never depend on each other.

pub mod member_documents;
pub mod metrics;
pub mod recovery_time;
