//! A request as an inbound proxy receives it from an outbound proxy, on its own node or another, and the parameters of the
//! request that are sent between nodes.
//!
//! Main types: [`InboundRequest`], [`RequestParameters`] with the wire format of the header [`REQUEST_PARAMETERS`].
//!
//! Invariants: missing or malformed parameters never fail a request; they get the defaults of a plain request.

use std::sync::Arc;

use hyper::header::{HeaderMap, HeaderValue};
use ochreshed::Nanos;
use ochreshed_traffic::admission::MemberShare;

use crate::body::RequestMessage;
use crate::mesh::proxy::fencing::FencingToken;
use crate::mesh::proxy::headers::REQUEST_PARAMETERS;

const MS: Nanos = 1_000_000;
/// Upper bound of the time left that a client sends, in ms; a greater one is reduced to this.
pub const MAX_TIME_LEFT_MS: u64 = 86_400_000;
/// Longest member name on the wire.
const MAX_MEMBER_NAME_BYTES: usize = 256;

/// A request at an inbound proxy, with everything that its admission depends on.
pub struct InboundRequest<'a> {
    /// Head and body as sent to the upstream.
    pub message: &'a Arc<RequestMessage>,
    /// The upstream incarnation that the request is addressed to; no other one gets it.
    pub upstream_id: &'a str,
    /// The service of the node where the request began; empty if unknown.
    pub caller: &'a HeaderValue,
    /// Number of inbound proxies that have rejected the request before. A request that was rejected before is queued more
    /// readily.
    pub rejections: u32,
    /// The session is bound to this upstream, so the request prefers to wait rather than go to another.
    pub has_affinity: bool,
    /// The request is a retry, or a nested call of a run that is one.
    pub is_retry: bool,
    /// The request is a nested call: a run at another upstream waits for its response.
    pub is_nested: bool,
    /// The response is a large one.
    pub is_large: bool,
    /// The request came from another node, so its response uses the link between nodes.
    pub is_remote: bool,
    /// The session and its owner's term; none without a session.
    pub fencing_token: Option<FencingToken>,
    /// When a response misses the latency target.
    pub target_at: Nanos,
    /// When nobody waits for the response any more.
    pub deadline: Nanos,
    /// The member that owns the route, and its share of the concurrency limit; none on a route of the platform.
    pub member_share: Option<MemberShare>,
}

/// The parameters of a request as read from the wire; see the fields of the same names of [`InboundRequest`].
#[derive(Debug, PartialEq)]
pub struct RequestParameters {
    /// Time until the latency target, in ms.
    pub target_ms: u64,
    pub rejections: u32,
    pub has_affinity: bool,
    pub is_retry: bool,
    pub is_nested: bool,
    pub is_large: bool,
    pub member_share: Option<MemberShare>,
}

impl InboundRequest<'_> {
    /// Formats the parameters as the value of the header [`REQUEST_PARAMETERS`], separated by spaces: the ms until the
    /// latency target, the number of rejections, and flags as letters (`a`: retry or nested call of one; `c`: nested call;
    /// `l`: large response; `t`: session bound to this upstream). On a member's route the member's share and name follow;
    /// the name may contain spaces and extends to the end. The time left until the deadline has a header of its own.
    pub fn format_parameters(&self, now: Nanos) -> String {
        let mut value = format!("{} {} ", self.target_at.saturating_sub(now) / MS, self.rejections);
        value.extend(
            [(self.is_retry, 'a'), (self.is_nested, 'c'), (self.is_large, 'l'), (self.has_affinity, 't')]
                .iter()
                .filter(|(is_set, _)| *is_set)
                .map(|(_, letter)| letter),
        );
        if let Some(MemberShare { member, share }) = &self.member_share {
            value += &format!(" {share} {member}");
        }
        value
    }
}

impl RequestParameters {
    /// Parses the parameters from a request's headers. Missing or malformed parameters get the defaults of a plain request,
    /// whose latency target is the end of its time left, `time_left_ms`.
    pub fn from_headers(headers: &HeaderMap, time_left_ms: u64) -> RequestParameters {
        // A member's name may be in any script, so the value is UTF-8 and not only ASCII.
        let value =
            headers.get(&REQUEST_PARAMETERS).and_then(|value| std::str::from_utf8(value.as_bytes()).ok());
        let mut parts = value.unwrap_or_default().trim().splitn(5, ' ');
        let target_ms =
            parts.next().and_then(|text| text.parse().ok()).unwrap_or(time_left_ms).min(MAX_TIME_LEFT_MS);
        let rejections = parts.next().and_then(|text| text.parse().ok()).unwrap_or(0);
        let flags = parts.next().unwrap_or_default();
        let [is_retry, is_nested, is_large, has_affinity] =
            ['a', 'c', 'l', 't'].map(|letter| flags.contains(letter));
        let share = parts.next().and_then(|text| text.parse().ok());
        let member = parts.next().filter(|name| !name.is_empty() && name.len() <= MAX_MEMBER_NAME_BYTES);
        let member_share = share.zip(member).map(|(share, name)| MemberShare { member: name.into(), share });
        RequestParameters { target_ms, rejections, has_affinity, is_retry, is_nested, is_large, member_share }
    }
}
