//! The queue of waiting requests: by descending rank, and first come, first served among equal ranks. A request is found
//! without a walk over the queue. Who waits, and for how long, is decided by the caller.

use std::collections::{HashMap, VecDeque};

use crate::types::Nanos;

pub struct WaitingRequest {
    pub id: u64,
    /// Index of its rule set in the endpoints' health lists; see [`crate::config::Config::health_index`].
    pub health_index: usize,
    pub rank: f64,
    pub expires_at: Nanos,
}

#[derive(Default)]
pub struct WaitQueue {
    requests: VecDeque<WaitingRequest>,
    ranks_by_id: HashMap<u64, f64>,
}

impl WaitQueue {
    /// The position at which a request of this rank would be inserted.
    pub fn position_for(&self, rank: f64) -> usize {
        self.requests.partition_point(|request| request.rank >= rank)
    }

    pub fn insert(&mut self, request: WaitingRequest) {
        self.ranks_by_id.insert(request.id, request.rank);
        self.requests.insert(self.position_for(request.rank), request);
    }

    /// Removes a request, if it waits.
    pub fn remove(&mut self, id: u64) -> Option<WaitingRequest> {
        let rank = self.ranks_by_id.remove(&id)?;
        let from = self.requests.partition_point(|request| request.rank > rank);
        let at = self.requests.range(from..).position(|request| request.id == id)?;
        self.requests.remove(from + at)
    }

    #[cfg(test)]
    pub fn contains(&self, id: u64) -> bool {
        self.ranks_by_id.contains_key(&id)
    }

    pub fn front(&self) -> Option<&WaitingRequest> {
        self.requests.front()
    }

    pub fn back(&self) -> Option<&WaitingRequest> {
        self.requests.back()
    }

    pub fn len(&self) -> usize {
        self.requests.len()
    }

    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
