//! A request as an inbound proxy receives it, from the outbound proxy of its own node or of another one, and those of its
//! terms that go on the wire between the two.
//!
//! Main types: [`InboundRequest`], [`RequestTerms`] with the wire format of the header [`TERMS`].
//!
//! Invariants: terms that are missing or can't be read never make a request fail; they count as those of a plain request.

use std::sync::Arc;

use hyper::header::{HeaderMap, HeaderValue};
use ochreshed::Nanos;
use ochreshed_traffic::admission::MemberShare;

use crate::body::RequestMessage;
use crate::mesh::proxy::fencing::FencingToken;
use crate::mesh::proxy::headers::TERMS;

const MS: Nanos = 1_000_000;
/// Greatest time in ms that a client may say that it waits; a greater one counts as this.
pub const MAX_TIME_LEFT_MS: u64 = 86_400_000;
/// Longest name of a member on the wire.
const MAX_MEMBER_NAME_BYTES: usize = 256;

/// A request at an inbound proxy, with all that its admission depends on.
pub struct InboundRequest<'a> {
    /// Head and body as they go to the upstream.
    pub message: &'a Arc<RequestMessage>,
    /// The incarnation of the upstream that is meant; another one doesn't get it.
    pub upstream_id: &'a str,
    /// The service of the node where the request began; empty if unknown.
    pub caller: &'a HeaderValue,
    /// How many inbound proxies have rejected it before. A request that was rejected before is queued more readily.
    pub rejections: u32,
    /// Its session is bound to this upstream, so that it rather waits than goes elsewhere.
    pub has_affinity: bool,
    /// It is a retry, or a nested call of a run that is one.
    pub is_retry: bool,
    /// It is a nested call: a run elsewhere waits for its response.
    pub is_nested: bool,
    /// Its response is a large one.
    pub is_large: bool,
    /// It came from another node, so that its response takes the link between nodes.
    pub is_remote: bool,
    /// Its session and the owner's term; none if it has no session.
    pub fencing_token: Option<FencingToken>,
    /// When its response is late by the latency target.
    pub target: Nanos,
    /// When nobody waits for its response any more.
    pub deadline: Nanos,
    /// The member whose route it came by and its share of the concurrency limit; none on a route of the platform.
    pub member_share: Option<MemberShare>,
}

/// The terms of a request as they are read from the wire; see the fields of the same names of [`InboundRequest`].
#[derive(Debug, PartialEq)]
pub struct RequestTerms {
    /// Time until its response is late, in ms.
    pub target_ms: u64,
    pub rejections: u32,
    pub has_affinity: bool,
    pub is_retry: bool,
    pub is_nested: bool,
    pub is_large: bool,
    pub member_share: Option<MemberShare>,
}

impl InboundRequest<'_> {
    /// Its terms as the value of the header [`TERMS`], separated by spaces: the ms until its response is late, how many
    /// inbound proxies have rejected it, and flags as letters (`a`: retry or nested call of one; `c`: nested call; `l`: large
    /// response; `t`: bound to this upstream). On a member's route the member's share and name follow; the name may hold
    /// spaces and goes on to the end. The time left until the deadline goes in a header of its own.
    pub fn terms_header(&self, now: Nanos) -> String {
        let mut value = format!("{} {} ", self.target.saturating_sub(now) / MS, self.rejections);
        value.extend(
            [(self.is_retry, 'a'), (self.is_nested, 'c'), (self.is_large, 'l'), (self.has_affinity, 't')]
                .iter()
                .filter(|(is_set, _)| *is_set)
                .map(|(_, letter)| letter),
        );
        if let Some(member) = &self.member_share {
            value += &format!(" {} {}", member.share, member.member);
        }
        value
    }
}

impl RequestTerms {
    /// Reads the terms from a request's headers. What is missing or can't be read is as for a plain request that is late
    /// when its time left, `left_ms`, is over.
    pub fn from_headers(headers: &HeaderMap, left_ms: u64) -> RequestTerms {
        // A member's name may be in any script, so that the value is UTF-8 and not only ASCII.
        let value = headers.get(&TERMS).and_then(|value| std::str::from_utf8(value.as_bytes()).ok());
        let mut parts = value.unwrap_or_default().trim().splitn(5, ' ');
        let target_ms =
            parts.next().and_then(|text| text.parse().ok()).unwrap_or(left_ms).min(MAX_TIME_LEFT_MS);
        let rejections = parts.next().and_then(|text| text.parse().ok()).unwrap_or(0);
        let letters = parts.next().unwrap_or_default();
        let [is_retry, is_nested, is_large, has_affinity] =
            ['a', 'c', 'l', 't'].map(|letter| letters.contains(letter));
        let share = parts.next().and_then(|text| text.parse().ok());
        let member = parts.next().filter(|name| !name.is_empty() && name.len() <= MAX_MEMBER_NAME_BYTES);
        let member_share = share.zip(member).map(|(share, name)| MemberShare { member: name.into(), share });
        RequestTerms { target_ms, rejections, has_affinity, is_retry, is_nested, is_large, member_share }
    }
}
