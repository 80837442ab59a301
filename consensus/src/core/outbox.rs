//! Items for other replicas that are sent together by the next flush.
//!
//! Main types: `Outbox`.
//!
//! Invariants: no message exceeds `MAX_ITEMS_PER_MESSAGE`, nor `MAX_MESSAGE_BYTES` unless one item alone does.

use crate::core::limits::{MAX_ITEMS_PER_MESSAGE, MAX_MESSAGE_BYTES};
use crate::messages::{LeaseCompletion, LeaseOutcome, LeaseRequest, LeaseVoteReply, SessionMessage};

/// Items for one address that are sent together by the next `flush`.
#[derive(Clone, Debug, Default)]
pub(super) struct Outbox {
    pub completions: Vec<LeaseCompletion>,
    pub lease_requests: Vec<LeaseRequest>,
    pub lease_votes: Vec<LeaseVoteReply>,
    pub session_requests: Vec<SessionMessage>,
    pub session_replies: Vec<SessionMessage>,
}

/// The bytes that an outcome adds to a message.
pub(super) fn payload_bytes(outcome: &LeaseOutcome) -> usize {
    match outcome {
        LeaseOutcome::Pending | LeaseOutcome::Indeterminate => 0,
        LeaseOutcome::Completed(response) => {
            response.body.len()
                + response.headers.iter().map(|(name, value)| name.len() + value.len()).sum::<usize>()
        }
    }
}

/// Splits a list so that each batch fits a message.
pub(super) fn split_into_batches<T>(list: Vec<T>, payload_bytes: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut batches: Vec<Vec<T>> = Vec::new();
    let mut bytes = 0;
    for item in list {
        let item_bytes = payload_bytes(&item);
        match batches.last_mut() {
            Some(batch) if batch.len() < MAX_ITEMS_PER_MESSAGE && bytes + item_bytes <= MAX_MESSAGE_BYTES => {
                bytes += item_bytes;
                batch.push(item);
            }
            _ => {
                bytes = item_bytes;
                batches.push(vec![item]);
            }
        }
    }
    batches
}
