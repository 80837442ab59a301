//! The data plane: the proxies of one node, and what they need of the control plane.
//!
//! The way of a request: `listener` accepts it, `outbound` finds its route and takes a lease on its key (`lease_client`)
//! or its session (`session_affinity`), `request_scheduler` asks the decision module where each attempt goes,
//! `connection_pool` carries the attempt to the inbound proxy of the chosen node, and `inbound` admits it to the upstream.
//! `control_plane_watch` keeps configuration and endpoint records up to date, `node` holds the state of all of these.

pub(super) mod budget_reporter;
pub(super) mod connection_limit;
pub(super) mod connection_pool;
pub(super) mod control_plane_watch;
pub(super) mod fencing;
pub(super) mod headers;
pub(super) mod inbound;
pub(super) mod inbound_request;
pub(super) mod lease_client;
pub(super) mod listener;
pub(super) mod node;
pub(super) mod outbound;
pub(super) mod request_scheduler;
pub(super) mod scheduler_set;
pub(super) mod session_affinity;
#[cfg(test)]
mod tests;

pub(super) use node::run;
