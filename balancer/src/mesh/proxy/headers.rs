//! Names of header fields: those of the users' protocol, which keep its words, and those that our own proxies set between
//! each other and never take from clients.

use hyper::header::HeaderName;

/// Identifies an attempt of a client; upstreams echo it.
pub const ID: HeaderName = HeaderName::from_static("ochreshed-consignment-id");
/// Time left in ms until nobody waits for the response any more.
pub const LEFT: HeaderName = HeaderName::from_static("ochreshed-time-left-ms");
/// The incarnation of the upstream that is meant.
pub const ADDRESSEE: HeaderName = HeaderName::from_static("ochreshed-addressee");
/// The service of the node where a request began.
pub const CALLER: HeaderName = HeaderName::from_static("ochreshed-caller");
/// Idempotency key: among the requests with one key, only one runs.
pub const KEY: HeaderName = HeaderName::from_static("ochreshed-tracking-key");
/// An upstream's stamp on the response to a request that it ran.
pub const STAMP: HeaderName = HeaderName::from_static("ochreshed-postmark");
/// The incarnation of the upstream that responded, also to health checks.
pub const DELIVERED_BY: HeaderName = HeaderName::from_static("ochreshed-delivered-by");
/// An upstream's statement that it has not run a request.
pub const NOT_RUN: HeaderName = HeaderName::from_static("ochreshed-not-delivered");
/// Between an outbound and an inbound proxy: the terms of a request (`inbound_request`).
pub const TERMS: HeaderName = HeaderName::from_static("ochreshed-knock");
/// Between an outbound and an inbound proxy: the fencing token of a request's session; or, in a request without anything else,
/// that a session has moved to another owner.
pub const SESSION_FENCE: HeaderName = HeaderName::from_static("ochreshed-fence");
/// Between an inbound and an outbound proxy: the outcome of an attempt, and the load of the inbound proxy (requests at its
/// upstream or waiting for it).
pub const WAY: HeaderName = HeaderName::from_static("ochreshed-way");
