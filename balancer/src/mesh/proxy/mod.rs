//! The data plane: the proxies of one node, and their clients of the control plane.
//!
//! Request path: `listener` accepts a request, `outbound` finds its route and acquires the lease on its key (`lease_client`)
//! and its session (`session_affinity`), `request_scheduler` lets the policy choose the endpoint of each attempt,
//! `connection_pool` sends the attempt to the inbound proxy of the chosen node, and `inbound` admits it to the upstream.
//! `control_plane_watch` keeps configuration and endpoint records up to date, and `node` holds the shared state.

pub(super) mod budget_reporter;
pub(super) mod connection_limit;
pub(super) mod connection_pool;
pub(super) mod control_plane_watch;
pub(super) mod exchange_failures;
pub(super) mod fencing;
pub(super) mod headers;
pub(super) mod idempotency_key;
pub(super) mod inbound;
pub(super) mod inbound_request;
pub(super) mod lease_client;
pub(super) mod listener;
pub(super) mod node;
pub(super) mod outbound;
pub(super) mod replica_pool;
pub(super) mod request_scheduler;
pub(super) mod scheduler_set;
pub(super) mod session_affinity;
#[cfg(test)]
mod tests;
pub(super) mod tombstone_client;

pub(super) use node::run;
