//! The field names of operators' and members' documents.
//!
//! Each constant is named after the field of this crate's types and holds the field name in the documents, which texts
//! for operators use as well.
//!
//! Invariants: the field names are part of the documented format and do not change when identifiers in the code do.

/// The host of a route.
pub(crate) const HOST: &str = "depot";
/// The path prefix of a route.
pub(crate) const PREFIX: &str = "lane_prefix";
/// Whether requests may run more than once.
pub(crate) const REPEAT_POLICY: &str = "route_kind";
/// The deadline of requests, or the maximum deadline of a member.
pub(crate) const DEADLINE: &str = "deadline_ms";
/// The latency target of requests.
pub(crate) const LATENCY_TARGET: &str = "target_ms";
/// The priority of requests.
pub(crate) const PRIORITY: &str = "post_class";
/// The maximum number of attempts of a request.
pub(crate) const MAX_ATTEMPTS: &str = "tries";
/// The header that identifies a session.
pub(crate) const SESSION_HEADER: &str = "session";
/// The only service of a route.
pub(crate) const SINGLE_SERVICE: &str = "line";
/// The services of a route with their weights.
pub(crate) const WEIGHTED_SERVICES: &str = "split";
/// The path of a health check.
pub(crate) const HEALTH_PATH: &str = "health";
/// The maximum number of connections of an upstream.
pub(crate) const MAX_CONNECTIONS: &str = "berth_cap";
/// Whether a service deduplicates requests by key.
pub(crate) const DEDUPLICATES: &str = "dedupes";
/// The maximum size of a request's header, in bytes.
pub(crate) const MAX_HEADER_BYTES: &str = "label_bytes";
/// The maximum size of a request's body, in bytes.
pub(crate) const MAX_BODY_BYTES: &str = "parcel_bytes";
/// The timeout for receiving a complete header.
pub(crate) const HEADER_TIMEOUT: &str = "label_ms";
/// The idle timeout of a connection.
pub(crate) const IDLE_TIMEOUT: &str = "idle_ms";
/// The version of a document.
pub(crate) const VERSION: &str = "edition";
/// The digest of a member's key.
pub(crate) const KEY_DIGEST: &str = "key_sha256";
/// The scopes of a member.
pub(crate) const SCOPES: &str = "places";
/// The services that a member may name.
pub(crate) const ALLOWED_SERVICES: &str = "services";
/// The maximum number of routes of a member.
pub(crate) const MAX_ROUTES: &str = "routes";
/// The highest priority of a member.
pub(crate) const HIGHEST_PRIORITY: &str = "rank";
/// A member's share of retry budgets.
pub(crate) const RETRY_SHARE: &str = "retry_share";
/// A member's share of concurrency limits.
pub(crate) const CONCURRENCY_SHARE: &str = "slot_share";
/// The maximum number of changes of a member per minute.
pub(crate) const CHANGES_PER_MINUTE: &str = "changes_per_minute";
/// The duration of a canary in seconds.
pub(crate) const CANARY_DURATION: &str = "trial_s";
/// The share of nodes with a canary.
pub(crate) const CANARY_SHARE: &str = "trial";
/// The list of routes in a member's document.
pub(crate) const ROUTES: &str = "routes";
/// The list of members in the register.
pub(crate) const MEMBERS: &str = "members";
