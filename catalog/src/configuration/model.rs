//! The types of a configuration: routes, services and limits.
//!
//! Invariants: these are plain values; the reader checks that a configuration is valid as a whole.

use std::sync::Arc;

/// An interned text of a document.
pub type Name = Arc<str>;

/// Whether a request on a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// The request may run any number of times.
    Repeatable,
    /// The request runs at most once and is never retried after it may have run.
    OnceOnly,
    /// The request carries a key, and at most one run per key is granted by a lease of the control plane.
    Keyed,
    /// The request may run any number of times and its response is large, so it is scheduled and paced separately.
    LargeResponse,
}

impl RepeatPolicy {
    /// Whether a request may run more than once.
    pub fn repeatable(self) -> bool {
        matches!(self, RepeatPolicy::Repeatable | RepeatPolicy::LargeResponse)
    }
}

/// The services and limits for requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name given by operators; several routes may share it.
    pub name: Name,
    /// The host in lowercase, without a port.
    pub host: Name,
    /// The path prefix; it begins with a slash.
    pub prefix: Name,
    /// Whether its requests may run more than once.
    pub repeat_policy: RepeatPolicy,
    /// The time after which a request is answered with an error, in milliseconds; above 0.
    pub deadline_ms: u64,
    /// The time within which a request should be answered, in milliseconds; above 0, by default the deadline.
    pub latency_target_ms: u64,
    /// The priority of its requests; 0 is the highest and the default.
    pub priority: u32,
    /// The maximum number of upstreams to which one client request is sent; above 0.
    pub max_attempts: u32,
    /// The services, each listed once; the sum of the weights is above 0.
    pub services: Vec<WeightedService>,
    /// The header that identifies a user session, in lowercase; `None` if requests have no session affinity.
    pub session_header: Option<Name>,
    /// The member that owns the route, with its shares of common resources; `None` for the platform's own routes.
    pub share: Option<Arc<MemberShares>>,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The name of the service.
    pub name: Name,
    /// The weight, in proportion to the weights of the route's other services; 0 or above.
    pub weight: f64,
}

/// The maximum shares of common resources for requests on one member's routes.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberShares {
    /// The member's name.
    pub member: Name,
    /// The share of each service's retry budget, from 0 to 1.
    pub retry: f64,
    /// The share of each upstream's concurrency limit, from 0 to 1; one request is always admitted.
    pub concurrency: f64,
}

impl Route {
    /// The host and the prefix, which no two routes of a configuration share.
    pub(crate) fn location(&self) -> (Name, Name) {
        (self.host.clone(), self.prefix.clone())
    }
}

/// The settings of a service and its upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The name by which routes refer to the service.
    pub name: Name,
    /// The path of the health check.
    pub health_path: String,
    /// The maximum number of connections that one upstream accepts from all callers together; above 0.
    pub max_connections: u32,
    /// Whether the service itself deduplicates requests with the same key; false by default.
    pub deduplicates: bool,
}

/// The size limits and timeouts for client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request's header, in bytes; by default 16 KiB.
    pub max_header_bytes: u64,
    /// The maximum size of a request's body, in bytes; by default 64 MiB.
    pub max_body_bytes: u64,
    /// The time within which a request's header must be complete, in milliseconds; by default 3 s.
    pub header_timeout_ms: u64,
    /// The time that a connection may stay idle, in milliseconds; by default 15 s.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
