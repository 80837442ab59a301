//! The replicas of the control plane as this node knows them, and calls that any of them can answer.
//!
//! Main types: [`ReplicaPool`], [`TombstoneReplicas`]. [`call_hedged`] asks one replica after the other when a response is
//! late.
//!
//! Invariants: replicas that don't support tombstones are never asked for them, since they would close the connection.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use ochreshed_catalog::watch_client::{ReplicaDirectory, TombstoneReplicas};
use ochreshed_consensus::messages::{CoreRequest, CoreResponse, LeaseKey, TombstoneId};
use tokio::time::{Instant, sleep_until};

use crate::clock::Clock;
use crate::connection::lock;
use crate::mesh::rpc::{InternalRequest, InternalResponse, RpcClients};

/// Delay after which a request is also sent to the next replica.
const HEDGE_DELAY: Duration = Duration::from_millis(90);

/// The known replicas and their recent failures, shared by all clients of the replicas in the data plane.
pub struct ReplicaPool {
    clock: Clock,
    directory: Mutex<ReplicaDirectory>,
}

impl ReplicaPool {
    pub fn new(clock: Clock) -> ReplicaPool {
        ReplicaPool { clock, directory: Mutex::default() }
    }

    /// Replaces the known replicas.
    pub fn set_replicas(&self, replicas: impl IntoIterator<Item = SocketAddr>) {
        lock(&self.directory).set_replicas(replicas);
    }

    /// The known replicas.
    pub fn replicas(&self) -> Vec<SocketAddr> {
        lock(&self.directory).replicas()
    }

    /// Records that a replica gave no usable response: others are preferred for a while.
    pub fn request_failed(&self, replica: SocketAddr) {
        lock(&self.directory).mark_unresponsive(self.clock.now(), replica);
    }

    /// Records that a replica has responded.
    pub fn response_received(&self, replica: SocketAddr) {
        lock(&self.directory).mark_responsive(replica);
    }

    /// Records whether a replica stores tombstones, as its response to a watch says.
    pub fn record_tombstone_support(&self, replica: SocketAddr, is_supported: bool) {
        lock(&self.directory).record_tombstone_support(replica, is_supported);
    }

    /// The replicas in the order in which they are called for a key.
    pub fn replicas_for_key(&self, key: LeaseKey) -> Vec<SocketAddr> {
        lock(&self.directory).replicas_for_key(self.clock.now(), key)
    }

    /// The replicas that are called for a tombstone.
    pub fn replicas_for_tombstone(&self, id: TombstoneId) -> TombstoneReplicas {
        lock(&self.directory).replicas_for_tombstone(self.clock.now(), id)
    }
}

/// Sends a request to the replicas in this order, to each when the response of the one before is late or says nothing. The
/// first definite response counts, so all of them must answer alike. Returns [`CoreResponse::Unavailable`] if none has
/// decided within `timeout`; the request may still take effect.
pub async fn call_hedged(
    pool: &ReplicaPool,
    clients: &RpcClients,
    order: Vec<SocketAddr>,
    request: &CoreRequest,
    timeout: Duration,
) -> CoreResponse {
    let deadline = Instant::now() + timeout;
    let mut remaining = order.into_iter();
    let mut calls = FuturesUnordered::new();
    let mut unanswered = Vec::new();
    loop {
        if let Some(replica) = remaining.next() {
            let call = async move {
                let request = InternalRequest::Core(request.clone());
                (replica, clients.client_for(replica).call(request, timeout).await)
            };
            unanswered.push(replica);
            calls.push(call);
        } else if calls.is_empty() {
            return CoreResponse::Unavailable;
        }
        let hedge_at = (Instant::now() + HEDGE_DELAY).min(deadline);
        tokio::select! {
            Some((replica, response)) = calls.next(), if !calls.is_empty() => {
                unanswered.retain(|called| *called != replica);
                match response {
                    Ok(InternalResponse::Core(CoreResponse::Unavailable)) => {}
                    Ok(InternalResponse::Core(response)) => {
                        pool.response_received(replica);
                        // Replicas that were called and have not responded count as failed.
                        unanswered.into_iter().for_each(|called| pool.request_failed(called));
                        return response;
                    }
                    _ => pool.request_failed(replica),
                }
            }
            () = sleep_until(hedge_at) => {}
        }
        if Instant::now() >= deadline {
            return CoreResponse::Unavailable;
        }
    }
}
