//! What a configuration is made of: routes, services and limits.
//!
//! Invariants: these are plain values; that a configuration is valid as a whole is checked where it is read.

use std::sync::Arc;

/// A text of a document that all values with the same text share.
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
    /// The request may run any number of times and its response is large, so that it is scheduled and paced apart.
    LargeResponse,
}

impl RepeatPolicy {
    /// Whether a request may run more than once.
    pub fn repeatable(self) -> bool {
        matches!(self, RepeatPolicy::Repeatable | RepeatPolicy::LargeResponse)
    }
}

/// Where the requests for one host and path prefix go, and what bounds them.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name that operators gave; several routes may share it.
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
    /// The priority of its requests, of which 0 is the highest and the default.
    pub priority: u32,
    /// The most upstreams to which one request of a client is sent; above 0.
    pub max_attempts: u32,
    /// Each service once; the sum of the weights is above 0.
    pub services: Vec<WeightedService>,
    /// The header that names a person's session, in lowercase; none where requests have no session affinity.
    pub session_header: Option<Name>,
    /// The member whose route this is, with its shares of common resources; none for the platform's own routes.
    pub share: Option<Arc<MemberShares>>,
}

/// A service that takes a part of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The name of the service.
    pub name: Name,
    /// The weight, in proportion to the weights of the route's other services; 0 or above.
    pub weight: f64,
}

/// The greatest shares of common resources that the requests on one member's routes may take.
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

/// What is known of a service and its upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The name by which routes refer to the service.
    pub name: Name,
    /// The path of the health check.
    pub health_path: String,
    /// The most connections that one upstream takes from all callers together; above 0.
    pub max_connections: u32,
    /// Whether the service itself recognizes a request with the same key; false by default.
    pub deduplicates: bool,
}

/// The bounds on what a client may send, and how long it may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The greatest size of a request's header, in bytes; by default 16 KiB.
    pub max_header_bytes: u64,
    /// The greatest size of a request's body, in bytes; by default 64 MiB.
    pub max_body_bytes: u64,
    /// The time within which a request's header must be complete, in milliseconds; by default 3 s.
    pub header_timeout_ms: u64,
    /// The time that a connection may stay without a request, in milliseconds; by default 15 s.
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
