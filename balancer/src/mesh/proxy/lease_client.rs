//! The data plane's side of leases on idempotency keys: a lease is acquired before a keyed request runs, and completed with its
//! outcome after.
//!
//! [`acquire_lease`] asks the replicas in the order of the key, with a hedged request to the next one when a reply is late;
//! [`complete_lease`] reports the outcome until a replica has it. [`ReplicaPool`] holds the known replicas.
//!
//! Invariants: a request runs only under a lease that was granted; a lease under which it may have run is never released.
//! (Both are kept by the caller, `outbound`; here a lease counts as granted only if a replica said so.)

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

/// A lease request also goes to the next replica if the one before has not replied within this.
const HEDGE_DELAY: Duration = Duration::from_millis(90);
/// How long one call that completes a lease may take.
const COMPLETE_TIMEOUT: Duration = Duration::from_millis(800);
/// How often all replicas are tried to complete a lease. After that its time ends it.
const MAX_COMPLETE_ATTEMPTS: u32 = 4;
/// Pause after the first round of attempts to complete a lease; doubled after each further one.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// The key under which replicas know an idempotency key, which may be of any length.
pub fn hash_key(text: &str) -> LeaseKey {
    xxh3_128(text.as_bytes())
}

/// The replicas that are known, and which of them have failed lately, for all parts of the data plane that ask them.
pub struct ReplicaPool {
    clock: Clock,
    known: Mutex<ReplicaDirectory>,
}

impl ReplicaPool {
    pub fn new(clock: Clock) -> ReplicaPool {
        ReplicaPool { clock, known: Mutex::default() }
    }

    /// Replaces the known replicas.
    pub fn set_replicas(&self, all: impl IntoIterator<Item = SocketAddr>) {
        lock(&self.known).set_replicas(all);
    }

    /// The known replicas.
    pub fn replicas(&self) -> Vec<SocketAddr> {
        lock(&self.known).replicas()
    }

    /// Notes that a replica gave no usable reply: others are asked first for a while.
    pub fn request_failed(&self, replica: SocketAddr) {
        lock(&self.known).failed(self.clock.now(), replica);
    }

    /// Notes that a replica has replied.
    pub fn response_received(&self, replica: SocketAddr) {
        lock(&self.known).replied(replica);
    }

    /// The replicas in the order in which they are to be asked about a key.
    pub fn replicas_for_key(&self, key: LeaseKey) -> Vec<SocketAddr> {
        lock(&self.known).replicas_for_key(self.clock.now(), key)
    }
}

/// Acquires the lease of a key for a token. The first definite reply of a replica counts. The same request may go to several
/// replicas, since they all grant it to one token. `left_ms` is the time that the request has left; `within` is how long this
/// may take. Returns [`CoreResponse::Unavailable`] if no replica has decided by then; the lease may then still have been
/// granted.
pub async fn acquire_lease(
    replicas: &ReplicaPool,
    callers: &RpcClients,
    (key, token): (LeaseKey, LeaseToken),
    left_ms: u32,
    within: Duration,
) -> CoreResponse {
    let until = tokio::time::Instant::now() + within;
    let mut remaining = replicas.replicas_for_key(key).into_iter();
    let mut calls = FuturesUnordered::new();
    let mut unanswered = Vec::new();
    loop {
        if let Some(replica) = remaining.next() {
            let call = async move {
                let ask =
                    InternalRequest::Core(CoreRequest::AcquireLease { key, token, time_left_ms: left_ms });
                (replica, callers.to(replica).call(ask, within).await)
            };
            unanswered.push(replica);
            calls.push(call);
        } else if calls.is_empty() {
            return CoreResponse::Unavailable;
        }
        let hedge = (tokio::time::Instant::now() + HEDGE_DELAY).min(until);
        tokio::select! {
            Some((replica, reply)) = calls.next(), if !calls.is_empty() => {
                unanswered.retain(|asked| *asked != replica);
                match reply {
                    Ok(InternalResponse::Core(CoreResponse::Unavailable)) => {}
                    Ok(InternalResponse::Core(response)) => {
                        replicas.response_received(replica);
                        // Those that were asked before and have not replied count as failed.
                        unanswered.into_iter().for_each(|asked| replicas.request_failed(asked));
                        return response;
                    }
                    _ => replicas.request_failed(replica),
                }
            }
            () = sleep_until(hedge) => {}
        }
        if tokio::time::Instant::now() >= until {
            return CoreResponse::Unavailable;
        }
    }
}

/// Completes a lease with its outcome, or releases it with `None`, in the background until a replica has accepted that.
pub fn complete_lease(
    replicas: Arc<ReplicaPool>,
    callers: Arc<RpcClients>,
    (key, token): (LeaseKey, LeaseToken),
    outcome: Option<LeaseOutcome>,
) {
    tokio::spawn(async move {
        for round in 0..MAX_COMPLETE_ATTEMPTS {
            for replica in replicas.replicas_for_key(key) {
                let ask = InternalRequest::Core(CoreRequest::CompleteLease {
                    key,
                    token,
                    outcome: outcome.clone(),
                });
                if let Ok(InternalResponse::Core(CoreResponse::Accepted)) =
                    callers.to(replica).call(ask, COMPLETE_TIMEOUT).await
                {
                    return;
                }
                replicas.request_failed(replica);
            }
            sleep(RETRY_INTERVAL * (1 << round)).await;
        }
    });
}
