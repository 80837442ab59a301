//! Client for leases on idempotency keys: a lease is acquired before a keyed request runs, and completed with its outcome
//! afterwards.
//!
//! [`acquire_lease`] calls the replicas in the order for the key, with a hedged request to the next one when a response is
//! late; [`complete_lease`] reports the outcome until a replica accepts it.
//!
//! Invariants: a request runs only under a lease that was granted; a lease under which it may have run is never released.
//! (The caller, `outbound`, ensures both; here a lease counts as granted only if a replica responded so.)

use std::sync::Arc;
use std::time::Duration;

use ochreshed_consensus::messages::{CoreRequest, CoreResponse, LeaseKey, LeaseOutcome, LeaseToken};
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_128;

use crate::mesh::proxy::replica_pool::{ReplicaPool, call_hedged};
use crate::mesh::rpc::{InternalRequest, InternalResponse, RpcClients};

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
    let request = CoreRequest::AcquireLease { key, token, time_left_ms: left_ms };
    call_hedged(replicas, clients, replicas.replicas_for_key(key), &request, timeout).await
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
