//! Kept answers of keys, bounded in bytes together. It owns which answer goes first when there are too many: the one whose
//! key was known for longest. It must never drop more than the answer: the claim stays, of unknown outcome, so that its
//! key does not run again.

use super::*;

/// What an answer takes beside its bytes, and each of its fields.
const MORE: usize = 160;
const MORE_FIELD: usize = 64;
/// Of the bytes that may be kept, the part that may wait to be told again.
const TOLD_PART: usize = 8;

#[derive(Clone, Debug, Default)]
pub(super) struct Answers {
    bytes: usize,
    /// By the end of their time.
    order: BTreeSet<(Nanos, LeaseKey)>,
    dropped: u64,
    told: usize,
}

fn size(outcome: &LeaseOutcome) -> usize {
    match outcome {
        LeaseOutcome::Pending | LeaseOutcome::Indeterminate => 0,
        LeaseOutcome::Completed(answer) => weight(outcome) + MORE + MORE_FIELD * answer.headers.len(),
    }
}

impl Answers {
    pub fn comes(&mut self, until: Nanos, key: LeaseKey, outcome: &LeaseOutcome) {
        if size(outcome) > 0 {
            self.bytes += size(outcome);
            self.order.insert((until, key));
        }
    }

    pub fn goes(&mut self, until: Nanos, key: LeaseKey, outcome: &LeaseOutcome) {
        if size(outcome) > 0 {
            self.bytes = self.bytes.saturating_sub(size(outcome));
            self.order.remove(&(until, key));
        }
    }
}

impl Core {
    /// The bytes that kept answers take, how many may be, and how many answers were dropped in this life.
    pub fn response_cache_usage(&self) -> (usize, usize, u64) {
        (self.answers.bytes, self.config.max_response_bytes, self.answers.dropped)
    }

    /// One that is too long by itself is not kept at all. Guards against one that would push out all others.
    pub(super) fn fitting(&mut self, mut claim: Lease) -> Lease {
        if size(&claim.outcome) > self.config.max_response_bytes {
            claim.outcome = LeaseOutcome::Indeterminate;
            self.answers.dropped += 1;
        }
        claim
    }

    /// Drops answers while they take more than they may.
    pub(super) fn shed(&mut self, out: &mut Vec<Effect>) {
        while self.answers.bytes > self.config.max_response_bytes {
            let Some(&(_, key)) = self.answers.order.first() else { return };
            let Some(kept) = self.claims.get(&key) else { return };
            if self.mutant == 12 {
                self.remove(key, out);
                continue;
            }
            let claim = Lease { outcome: LeaseOutcome::Indeterminate, ..kept.claim };
            self.answers.dropped += 1;
            out.push(Effect::Persist(LogRecord::Lease(key, claim.clone())));
            self.put(key, claim);
        }
    }

    /// Keeps what the others were told for a while, within as many entries and bytes.
    pub(super) fn remember(&mut self, now: Nanos, told: leases::Told) {
        self.answers.told += told.outcome().map_or(0, size);
        self.told.push_back((now, told));
        let most = self.config.max_response_bytes / TOLD_PART;
        while let Some((at, first)) = self.told.front()
            && (self.told.len() > leases::MOST_TOLD
                || self.answers.told > most
                || at.saturating_add(leases::TOLD_FOR) < now)
        {
            self.answers.told = self.answers.told.saturating_sub(first.outcome().map_or(0, size));
            self.told.pop_front();
        }
    }
}
