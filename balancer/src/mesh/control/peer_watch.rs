//! Watches the endpoint tables of all other replicas and merges them into the local one.
//!
//! Main function: [`watch_peers`].
//!
//! Invariants: each peer is watched by exactly one task, which is aborted when the core no longer lists the peer.

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

/// Interval between updates of the set of peers from the core.
const PEERS_CHECK_INTERVAL: Duration = Duration::from_nanos(watch_server::SUSPECT_CHECK_INTERVAL);
/// Timeout of a watch: the peer's maximum wait plus a margin for the round trip.
const WATCH_TIMEOUT: Duration =
    Duration::from_nanos(watch_server::REPLICA_MAX_WAIT + watch_server::RESPONSE_GRACE);
/// Wait after a failed watch.
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

/// Requests the changes of the peer's table since `position`; `None` if the peer did not respond.
async fn request_changes(
    server: &ReplicaServer,
    peer: SocketAddr,
    position: TablePosition,
) -> Option<Box<WatchResponse>> {
    let request = InternalRequest::Watch(watch_server::replica_watch_request(position));
    match server.rpc_clients.client_for(peer).call(request, WATCH_TIMEOUT).await {
        Ok(InternalResponse::Watch(response)) => Some(response),
        _ => None,
    }
}
