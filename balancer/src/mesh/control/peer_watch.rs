//! Watches the endpoint tables of all other replicas and merges them into this one's.
//!
//! Main function: [`watch_peers`].
//!
//! Invariants: each peer is watched by exactly one task, which ends when the peer is gone from the replicas that the
//! core knows.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ochreshed_catalog::endpoints::TablePosition;
use ochreshed_catalog::watch_server;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::replica_server::ReplicaServer;
use crate::mesh::rpc::{InternalRequest, InternalResponse, WatchResponse};

/// How often the set of peers is compared with the replicas that the core knows.
const PEERS_CHECK_INTERVAL: Duration = Duration::from_nanos(watch_server::SUSPECT_CHECK_INTERVAL);
/// How long a watch may take: what the peer may wait, and a margin for the way there and back.
const WATCH_TIMEOUT: Duration =
    Duration::from_nanos(watch_server::REPLICA_MAX_WAIT + watch_server::RESPONSE_GRACE);
/// The pause after a watch that failed.
const WATCH_RETRY_INTERVAL: Duration = Duration::from_nanos(watch_server::RETRY_INTERVAL);

/// Keeps one task running for each peer.
pub async fn watch_peers(server: Arc<ReplicaServer>) {
    let mut watches: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    loop {
        let peers = server.peers();
        watches.retain(|peer, watch| {
            let is_known = peers.contains(peer);
            if !is_known {
                watch.abort();
            }
            is_known
        });
        for peer in peers {
            watches.entry(peer).or_insert_with(|| tokio::spawn(watch_peer(server.clone(), peer)));
        }
        sleep(PEERS_CHECK_INTERVAL).await;
    }
}

async fn watch_peer(server: Arc<ReplicaServer>, peer: SocketAddr) {
    let mut position = TablePosition::default();
    loop {
        match request_changes(&server, peer, position).await {
            Some(response) => {
                position = response.position;
                server.merge_peer_response(&response);
                sleep(server.peer_watch_interval()).await;
            }
            None => sleep(WATCH_RETRY_INTERVAL).await,
        }
    }
}

/// Asks for the changes of the peer's table since `position`; `None` if the peer did not answer.
async fn request_changes(
    server: &ReplicaServer,
    peer: SocketAddr,
    position: TablePosition,
) -> Option<Box<WatchResponse>> {
    let request = InternalRequest::Watch(watch_server::replica_watch_request(position));
    match server.callers.client_for(peer).call(request, WATCH_TIMEOUT).await {
        Ok(InternalResponse::Watch(response)) => Some(response),
        _ => None,
    }
}
