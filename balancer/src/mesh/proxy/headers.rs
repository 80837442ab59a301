//! Names of header fields: those of the users' protocol, which keep its words, and those that our own proxies set between
//! each other and never take from clients.

use hyper::header::HeaderName;

/// Names a try of a client; echoed by upstreams.
pub const ID: HeaderName = HeaderName::from_static("ochreshed-consignment-id");
/// The ms that are left until nobody waits for the answer any more.
pub const LEFT: HeaderName = HeaderName::from_static("ochreshed-time-left-ms");
/// The life of the upstream that is meant.
pub const ADDRESSEE: HeaderName = HeaderName::from_static("ochreshed-addressee");
/// The service of the machine where a request began.
pub const CALLER: HeaderName = HeaderName::from_static("ochreshed-caller");
/// The key under which a request runs once.
pub const KEY: HeaderName = HeaderName::from_static("ochreshed-tracking-key");
/// An upstream's mark on what it ran.
pub const STAMP: HeaderName = HeaderName::from_static("ochreshed-postmark");
/// Who answered: an upstream names its life here, also in answers to health probes.
pub const DELIVERED_BY: HeaderName = HeaderName::from_static("ochreshed-delivered-by");
/// An upstream's word that it has not run a request.
pub const NOT_RUN: HeaderName = HeaderName::from_static("ochreshed-not-delivered");
/// Between an outbound and an inbound proxy: the terms on which a request is received (`inbound_request`).
pub const TERMS: HeaderName = HeaderName::from_static("ochreshed-knock");
/// Between an outbound and an inbound proxy: the session that a request is of and since when its proxy holds that;
/// or that a session has moved, and nothing else.
pub const SESSION_FENCE: HeaderName = HeaderName::from_static("ochreshed-fence");
/// Between an inbound and an outbound proxy: how the inbound one's part ended, and how many requests are at its upstream or
/// wait there.
pub const WAY: HeaderName = HeaderName::from_static("ochreshed-way");
