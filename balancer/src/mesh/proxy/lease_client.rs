//! Client for leases on idempotency keys: a lease is acquired before a keyed request runs, and completed with its outcome
//! afterwards.
//!
//! [`acquire_lease`] calls the replicas in the order for the key, with a hedged request to the next one when a response is
//! late; [`complete_lease`] reports the outcome until a replica accepts it. [`ReplicaPool`] holds the known replicas.
//!
//! Invariants: a request runs only under a lease that was granted; a lease under which it may have run is never released.
//! (The caller, `outbound`, ensures both; here a lease counts as granted only if a replica responded so.)

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use ochreshed_catalog::watch_client::ReplicaDirectory;
use ochreshed_consensus::messages::{CoreRequest, CoreResponse, LeaseKey, LeaseOutcome, LeaseToken};
use tokio::time::{sleep, sleep_until};
use xxhash_rust::xxh3::xxh3_128;

use crate::clock::Clock;
use crate::connection::lock;
use crate::mesh::rpc::{InternalRequest, InternalResponse, RpcClients};

/// Delay after which a lease request is also sent to the next replica.
const HEDGE_DELAY: Duration = Duration::from_millis(90);
/// Timeout of one call that completes a lease.
const COMPLETE_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of rounds over all replicas to complete a lease. After these the lease is left to expire.
const MAX_COMPLETE_ROUNDS: u32 = 4;
/// Delay after the first round of calls to complete a lease; doubled after each further round.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Hashes an idempotency key, which may be of any length, to the key of its lease at the replicas.
pub fn hash_key(idempotency_key: &[u8]) -> LeaseKey {
    xxh3_128(idempotency_key)
}

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

    /// The replicas in the order in which they are called for a key.
    pub fn replicas_for_key(&self, key: LeaseKey) -> Vec<SocketAddr> {
        lock(&self.directory).replicas_for_key(self.clock.now(), key)
    }
}

/// Acquires the lease of a key for a token. The first definite response of a replica counts. The same request may go to several
/// replicas, since they all grant the lease to the same token. `left_ms` is the request's time left. Returns
/// [`CoreResponse::Unavailable`] if no replica has decided within `timeout`; the lease may still have been granted.
pub async fn acquire_lease(
    replicas: &ReplicaPool,
    clients: &RpcClients,
    (key, token): (LeaseKey, LeaseToken),
    left_ms: u32,
    timeout: Duration,
) -> CoreResponse {
    let deadline = tokio::time::Instant::now() + timeout;
    let mut remaining = replicas.replicas_for_key(key).into_iter();
    let mut calls = FuturesUnordered::new();
    let mut unanswered = Vec::new();
    loop {
        if let Some(replica) = remaining.next() {
            let call = async move {
                let request =
                    InternalRequest::Core(CoreRequest::AcquireLease { key, token, time_left_ms: left_ms });
                (replica, clients.client_for(replica).call(request, timeout).await)
            };
            unanswered.push(replica);
            calls.push(call);
        } else if calls.is_empty() {
            return CoreResponse::Unavailable;
        }
        let hedge_at = (tokio::time::Instant::now() + HEDGE_DELAY).min(deadline);
        tokio::select! {
            Some((replica, response)) = calls.next(), if !calls.is_empty() => {
                unanswered.retain(|called| *called != replica);
                match response {
                    Ok(InternalResponse::Core(CoreResponse::Unavailable)) => {}
                    Ok(InternalResponse::Core(response)) => {
                        replicas.response_received(replica);
                        // Replicas that were called and have not responded count as failed.
                        unanswered.into_iter().for_each(|called| replicas.request_failed(called));
                        return response;
                    }
                    _ => replicas.request_failed(replica),
                }
            }
            () = sleep_until(hedge_at) => {}
        }
        if tokio::time::Instant::now() >= deadline {
            return CoreResponse::Unavailable;
        }
    }
}

/// Completes a lease with its outcome, or releases it with `None`. Retries in the background until a replica has accepted that,
/// which means that a majority stores it, for [`MAX_COMPLETE_ROUNDS`] at most.
pub fn complete_lease(
    replicas: Arc<ReplicaPool>,
    clients: Arc<RpcClients>,
    (key, token): (LeaseKey, LeaseToken),
    outcome: Option<LeaseOutcome>,
) {
    tokio::spawn(async move {
        for round in 0..MAX_COMPLETE_ROUNDS {
            for replica in replicas.replicas_for_key(key) {
                let request = InternalRequest::Core(CoreRequest::CompleteLease {
                    key,
                    token,
                    outcome: outcome.clone(),
                });
                match clients.client_for(replica).call(request, COMPLETE_TIMEOUT).await {
                    Ok(InternalResponse::Core(CoreResponse::Accepted)) => return,
                    // It reaches no majority, which says nothing about its other answers.
                    Ok(InternalResponse::Core(CoreResponse::Unavailable)) => {}
                    _ => replicas.request_failed(replica),
                }
            }
            sleep(INITIAL_RETRY_DELAY * (1 << round)).await;
        }
    });
}
