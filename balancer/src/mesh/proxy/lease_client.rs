//! An attendant's side of keys that run once: the claim before a req of a registered route is handed on, and what came
//! of it after. It owns the choice of the steward that a key's duty falls to, and the repeats of a call that got no
//! reply. It must never let a req run that it was not granted, nor free a claim under which one may have run.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use ochreshed_catalog::watch_client::ReplicaDirectory;
use ochreshed_consensus::messages::{CoreRequest, CoreResponse, LeaseKey, LeaseOutcome, LeaseToken};
use tokio::time::{sleep, sleep_until};
use xxhash_rust::xxh3::xxh3_128;

use crate::clock::Clock;
use crate::link::held;
use crate::mesh::rpc::{InternalRequest, InternalResponse, RpcClients};

/// A claim goes to the next steward too when the one before has not replied within this.
const HEDGE_DELAY: Duration = Duration::from_millis(90);
const COMPLETE_TIMEOUT: Duration = Duration::from_millis(800);
const MAX_COMPLETE_ATTEMPTS: u32 = 4;
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

pub fn hash_key(text: &str) -> LeaseKey {
    xxh3_128(text.as_bytes())
}

/// The stewards that are known, for all that ask them.
pub struct ReplicaPool {
    clock: Clock,
    known: Mutex<ReplicaDirectory>,
}

impl ReplicaPool {
    pub fn new(clock: Clock) -> ReplicaPool {
        ReplicaPool { clock, known: Mutex::default() }
    }

    pub fn set_replicas(&self, all: impl IntoIterator<Item = SocketAddr>) {
        held(&self.known).set_replicas(all);
    }

    pub fn replicas(&self) -> Vec<SocketAddr> {
        held(&self.known).replicas()
    }

    pub fn request_failed(&self, replica: SocketAddr) {
        held(&self.known).failed(self.clock.now(), replica);
    }

    pub fn response_received(&self, replica: SocketAddr) {
        held(&self.known).replied(replica);
    }

    /// In the order in which a key's duty falls to them.
    pub fn replicas_for_key(&self, key: LeaseKey) -> Vec<SocketAddr> {
        held(&self.known).replicas_for_key(self.clock.now(), key)
    }
}

/// Claims a key: the first steward that knows decides how it went. One that is slow to reply is not waited for alone:
/// the same claim may go through several, since it is one token. `within` is how long that may take in all.
pub async fn acquire_lease(
    replicas: &ReplicaPool,
    callers: &RpcClients,
    (key, token): (LeaseKey, LeaseToken),
    left_ms: u32,
    within: Duration,
) -> CoreResponse {
    let until = tokio::time::Instant::now() + within;
    let mut next = replicas.replicas_for_key(key).into_iter();
    let mut out = FuturesUnordered::new();
    let mut silent = Vec::new();
    loop {
        if let Some(replica) = next.next() {
            let call = async move {
                let ask =
                    InternalRequest::Core(CoreRequest::AcquireLease { key, token, time_left_ms: left_ms });
                (replica, callers.to(replica).call(ask, within).await)
            };
            silent.push(replica);
            out.push(call);
        } else if out.is_empty() {
            return CoreResponse::Unavailable;
        }
        let hedge = (tokio::time::Instant::now() + HEDGE_DELAY).min(until);
        tokio::select! {
            Some((replica, reply)) = out.next(), if !out.is_empty() => {
                silent.retain(|silent| *silent != replica);
                match reply {
                    Ok(InternalResponse::Core(CoreResponse::Unavailable)) => {}
                    Ok(InternalResponse::Core(got)) => {
                        replicas.response_received(replica);
                        // Those asked before it that said nothing: others are asked first for a while.
                        silent.into_iter().for_each(|silent| replicas.request_failed(silent));
                        return got;
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

/// Tells what came of a claim, until a steward has it.
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
