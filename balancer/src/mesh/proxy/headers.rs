//! Header names: those of the clients' protocol, and those that the proxies set between each other and never accept from
//! clients.

use hyper::header::HeaderName;

/// Identifies a client's attempt; upstreams echo it.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("ochreshed-consignment-id");
/// Time in ms until nobody waits for the response any more.
pub const TIME_LEFT_MS: HeaderName = HeaderName::from_static("ochreshed-time-left-ms");
/// The upstream incarnation that the request is addressed to.
pub const TARGET_UPSTREAM: HeaderName = HeaderName::from_static("ochreshed-addressee");
/// The service of the node where the request began.
pub const CALLER_SERVICE: HeaderName = HeaderName::from_static("ochreshed-caller");
/// Idempotency key: of all requests with the same key, only one runs.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("ochreshed-tracking-key");
/// Set by an upstream on the response to a request that it ran.
pub const EXECUTION_STAMP: HeaderName = HeaderName::from_static("ochreshed-postmark");
/// The upstream incarnation that responded, also to health checks.
pub const RESPONDING_UPSTREAM: HeaderName = HeaderName::from_static("ochreshed-delivered-by");
/// Set by an upstream on the response to a request that it has not run.
pub const NOT_RUN: HeaderName = HeaderName::from_static("ochreshed-not-delivered");
/// From an outbound to an inbound proxy: the parameters of a request (see `inbound_request`).
pub const REQUEST_PARAMETERS: HeaderName = HeaderName::from_static("ochreshed-knock");
/// From an outbound to an inbound proxy: the fencing token of the request's session. In a request of its own, it announces
/// the handover of a session.
pub const FENCING_TOKEN: HeaderName = HeaderName::from_static("ochreshed-fence");
/// From an inbound to an outbound proxy: the outcome of an attempt, and the inbound proxy's load (requests running at its
/// upstream or queued for it).
pub const ATTEMPT_OUTCOME: HeaderName = HeaderName::from_static("ochreshed-way");
