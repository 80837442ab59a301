//! A request as an inbound proxy receives it, from the outbound proxy of its own machine or of another one, and the terms of
//! it that go on the wire between the two.

use std::sync::Arc;

use hyper::header::{HeaderMap, HeaderValue};
use ochreshed::Nanos;
use ochreshed_traffic::admission::MemberShare;

use crate::body::Message;
use crate::mesh::proxy::fencing::FencingToken;
use crate::mesh::proxy::headers::TERMS;

const MS: Nanos = 1_000_000;
/// The longest that a client may say it waits, in ms.
pub const MAX_TIME_LEFT_MS: u64 = 86_400_000;
/// Bytes of a member's name.
const MAX_MEMBER_NAME_BYTES: usize = 256;

/// A request at an inbound proxy.
pub struct InboundRequest<'a> {
    pub message: &'a Arc<Message>,
    /// The life of the upstream that is meant.
    pub meant: &'a str,
    pub caller: &'a HeaderValue,
    /// How many doors have turned it away before.
    pub turned: u32,
    /// Its session lives at this upstream.
    pub tied: bool,
    /// It is sent again, or called by a run that was.
    pub again: bool,
    /// A run waits for its answer.
    pub call: bool,
    /// Its answer is a large one.
    pub large: bool,
    /// Its answer goes to another machine.
    pub away: bool,
    /// Its session, where its route names one.
    pub fencing_token: Option<FencingToken>,
    /// When its answer is late, and when nobody waits for it any more.
    pub target: Nanos,
    pub until: Nanos,
    /// What the member whose route it came by may have here.
    pub part: Option<MemberShare>,
}

/// What of it is told on the wire.
#[derive(Debug, PartialEq)]
pub struct RequestTerms {
    pub target_ms: u64,
    pub turned: u32,
    pub tied: bool,
    pub again: bool,
    pub call: bool,
    pub large: bool,
    pub part: Option<MemberShare>,
}

impl InboundRequest<'_> {
    /// Its terms as one field's value: the ms until an answer is late, how many inbound proxies have turned it away, and
    /// letters: `a`, it is sent again or called by a run that was; `c`, a run waits for it; `l`, its answer is large; `t`,
    /// its session lives there. On a member's route also the part of the slots that its requests may have, and its name,
    /// which ends with the field. What is left of its time is told by another field.
    pub fn terms_header(&self, now: Nanos) -> String {
        let mut word = format!("{} {} ", self.target.saturating_sub(now) / MS, self.turned);
        word.extend(
            [(self.again, 'a'), (self.call, 'c'), (self.large, 'l'), (self.tied, 't')]
                .iter()
                .filter(|(is, _)| *is)
                .map(|(_, c)| c),
        );
        if let Some(part) = &self.part {
            word += &format!(" {} {}", part.share, part.member);
        }
        word
    }
}

impl RequestTerms {
    /// Reads them from a request's fields, with the ms until it is late in place of the time; what is missing or can't be
    /// read is as for a plain request that has `left_ms`.
    pub fn from_headers(headers: &HeaderMap, left_ms: u64) -> RequestTerms {
        // A member's name may be in any script.
        let word = headers.get(&TERMS).and_then(|word| std::str::from_utf8(word.as_bytes()).ok());
        let mut parts = word.unwrap_or_default().trim().splitn(5, ' ');
        let target_ms =
            parts.next().and_then(|part| part.parse().ok()).unwrap_or(left_ms).min(MAX_TIME_LEFT_MS);
        let turned = parts.next().and_then(|part| part.parse().ok()).unwrap_or(0);
        let letters = parts.next().unwrap_or_default();
        let [again, call, large, tied] = ['a', 'c', 'l', 't'].map(|letter| letters.contains(letter));
        let share = parts.next().and_then(|part| part.parse().ok());
        let member = parts.next().filter(|name| !name.is_empty() && name.len() <= MAX_MEMBER_NAME_BYTES);
        let part = share.zip(member).map(|(share, name)| MemberShare { member: name.into(), share });
        RequestTerms { target_ms, turned, tied, again, call, large, part }
    }
}
