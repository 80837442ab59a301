//! What the processes of a mesh decide in common. It owns the operators' timetable as it is read and checked, how
//! members' routes are laid over it, the core's agreement on who is in it and on which keys have run, and the list of
//! upstreams. It does no I/O and knows no clock: times are told, chance is drawn from a seed, and what is to be written
//! or sent is handed out as acts.

pub mod admission;
pub mod canary;
pub mod configuration;
pub mod configuration_update;
pub mod delta;
pub mod endpoints;
pub mod idle_limit;
pub mod internal_rpc;
pub mod large_response_pacer;
pub mod lease_circuit_breaker;
pub mod members;
pub mod outcome_counts;
pub mod outlier_detection;
pub mod overlay;
pub mod retry_budget;
pub mod retry_shares;
pub mod watch_client;
pub mod watch_server;
