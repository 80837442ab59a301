//! The words of the operators' and members' documents for the fields of this crate's types.
//!
//! Each constant has the name of the field and the word of the documents, which are also the words of texts for operators.
//!
//! Invariants: the words are given by the operators' pages and do not change with names in the code.

/// The word for the host of a route.
pub(crate) const HOST: &str = "depot";
/// The word for the path prefix of a route.
pub(crate) const PREFIX: &str = "lane_prefix";
/// The word for whether requests may run more than once.
pub(crate) const REPEAT_POLICY: &str = "route_kind";
/// The word for the deadline of requests, or the longest one of a member.
pub(crate) const DEADLINE: &str = "deadline_ms";
/// The word for the latency target of requests.
pub(crate) const LATENCY_TARGET: &str = "target_ms";
/// The word for the priority of requests.
pub(crate) const PRIORITY: &str = "post_class";
/// The word for the most attempts of a request.
pub(crate) const MAX_ATTEMPTS: &str = "tries";
/// The word for the header that names a session.
pub(crate) const SESSION_HEADER: &str = "session";
/// The word for the only service of a route.
pub(crate) const SINGLE_SERVICE: &str = "line";
/// The word for the services of a route with their weights.
pub(crate) const WEIGHTED_SERVICES: &str = "split";
/// The word for the path of a health check.
pub(crate) const HEALTH_PATH: &str = "health";
/// The word for the most connections of an upstream.
pub(crate) const MAX_CONNECTIONS: &str = "berth_cap";
/// The word for whether a service recognizes requests with the same key.
pub(crate) const DEDUPLICATES: &str = "dedupes";
/// The word for the greatest size of a request's header, in bytes.
pub(crate) const MAX_HEADER_BYTES: &str = "label_bytes";
/// The word for the greatest size of a request's body, in bytes.
pub(crate) const MAX_BODY_BYTES: &str = "parcel_bytes";
/// The word for the time for a complete header.
pub(crate) const HEADER_TIMEOUT: &str = "label_ms";
/// The word for the time that a connection may stay idle.
pub(crate) const IDLE_TIMEOUT: &str = "idle_ms";
/// The word for the version of a document.
pub(crate) const VERSION: &str = "edition";
/// The word for the digest of a member's key.
pub(crate) const KEY_DIGEST: &str = "key_sha256";
/// The word for the scopes of a member.
pub(crate) const SCOPES: &str = "places";
/// The word for the services that a member may name.
pub(crate) const ALLOWED_SERVICES: &str = "services";
/// The word for the most routes of a member.
pub(crate) const MAX_ROUTES: &str = "routes";
/// The word for the highest priority of a member.
pub(crate) const HIGHEST_PRIORITY: &str = "rank";
/// The word for a member's share of retry budgets.
pub(crate) const RETRY_SHARE: &str = "retry_share";
/// The word for a member's share of concurrency limits.
pub(crate) const CONCURRENCY_SHARE: &str = "slot_share";
/// The word for the most changes of a member in a minute.
pub(crate) const CHANGES_PER_MINUTE: &str = "changes_per_minute";
/// The word for the duration of a canary.
pub(crate) const CANARY_DURATION: &str = "trial_s";
/// The word for the share of nodes with a canary.
pub(crate) const CANARY_SHARE: &str = "trial";
/// The word for the list of routes in a member's document.
pub(crate) const ROUTES: &str = "routes";
/// The word for the list of members in the register.
pub(crate) const MEMBERS: &str = "members";
