//! Items for other replicas, batched until the next flush.
//!
//! Main types: `Outbox` holds `QueuedItems` for each address and turns them into `Batch`es.
//!
//! Invariants: no message exceeds `MAX_ITEMS_PER_MESSAGE`, nor `MAX_MESSAGE_BYTES` unless one item alone does.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::core::limits::{MAX_ITEMS_PER_MESSAGE, MAX_MESSAGE_BYTES};
use crate::messages::{
    LeaseCompletion, LeaseOutcome, LeaseRequest, LeaseVote, LeaseVoteReply, MessageBody, QuorumWrite,
    QuorumWriteRequest, SessionMessage, TombstoneQuery, TombstoneReply,
};

/// The queued items by destination address.
#[derive(Clone, Debug, Default)]
pub(super) struct Outbox {
    by_address: BTreeMap<SocketAddr, QueuedItems>,
}

/// Items that go into one message.
pub(super) struct Batch {
    pub address: SocketAddr,
    pub body: MessageBody,
    /// The batch promises something that is being written, so it is sent once that is durable.
    pub after_persist: bool,
}

impl Outbox {
    /// The queued items for an address.
    pub fn queue(&mut self, address: SocketAddr) -> &mut QueuedItems {
        self.by_address.entry(address).or_default()
    }

    /// Removes all items and returns them in the order in which they are to be sent.
    pub fn take_batches(&mut self) -> Vec<Batch> {
        let mut batches = Vec::new();
        for (address, queued) in std::mem::take(&mut self.by_address) {
            queued.append_batches(address, &mut batches);
        }
        batches
    }
}

/// Items for one address that are sent together by the next `flush`.
#[derive(Clone, Debug, Default)]
pub(super) struct QueuedItems {
    pub completions: Vec<LeaseCompletion>,
    pub quorum_writes: Vec<QuorumWriteRequest>,
    pub lease_requests: Vec<LeaseRequest>,
    pub lease_votes: Vec<LeaseVoteReply>,
    pub session_requests: Vec<SessionMessage>,
    pub session_replies: Vec<SessionMessage>,
    /// The call numbers of writes that were stored.
    pub stored_writes: Vec<u64>,
    pub tombstone_queries: Vec<TombstoneQuery>,
    pub tombstone_replies: Vec<TombstoneReply>,
}

impl QueuedItems {
    fn append_batches(self, address: SocketAddr, batches: &mut Vec<Batch>) {
        let completion_bytes =
            |completion: &LeaseCompletion| completion.outcome.as_ref().map_or(0, payload_bytes);
        let write_bytes = |request: &QuorumWriteRequest| match &request.write {
            QuorumWrite::LeaseCompletion(completion) => completion_bytes(completion),
            QuorumWrite::Tombstone(_) => 0,
        };
        let vote_bytes = |reply: &LeaseVoteReply| match &reply.vote {
            LeaseVote::Held(lease) => payload_bytes(&lease.outcome),
            LeaseVote::Granted | LeaseVote::TokenReleased => 0,
        };
        let mut append = |body: MessageBody, after_persist: bool| {
            batches.push(Batch { address, body, after_persist });
        };
        for batch in split_into_batches(self.completions, completion_bytes) {
            append(MessageBody::CompleteLeases(batch), false);
        }
        for batch in split_into_batches(self.quorum_writes, write_bytes) {
            append(MessageBody::StoreQuorumWrites(batch), false);
        }
        for batch in split_into_batches(self.lease_requests, |_| 0) {
            append(MessageBody::RequestLeases(batch), false);
        }
        for batch in split_into_batches(self.lease_votes, vote_bytes) {
            append(MessageBody::LeaseVotes(batch), true);
        }
        for batch in split_into_batches(self.session_requests, |_| 0) {
            append(MessageBody::Sessions(batch), false);
        }
        for batch in split_into_batches(self.session_replies, |_| 0) {
            append(MessageBody::Sessions(batch), true);
        }
        for batch in split_into_batches(self.stored_writes, |_| 0) {
            append(MessageBody::QuorumWritesStored(batch), true);
        }
        for batch in split_into_batches(self.tombstone_queries, |_| 0) {
            append(MessageBody::FindTombstones(batch), false);
        }
        for batch in split_into_batches(self.tombstone_replies, |_| 0) {
            append(MessageBody::TombstonesFound(batch), false);
        }
    }
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
