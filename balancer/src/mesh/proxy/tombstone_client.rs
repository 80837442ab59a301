//! Client for the tombstones of upstream incarnations: the control plane keeps on disk which of them drain or have ended,
//! so that this is known after any restart.
//!
//! Main types: [`TombstoneClient`], [`TombstoneLookup`].
//!
//! Invariants: an incarnation is said to have no tombstone only if a majority of the control plane says so, or if no replica
//! stores tombstones yet because all are of earlier versions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ochreshed_catalog::endpoints::tombstone_id;
use ochreshed_catalog::watch_client::TombstoneReplicas;
use ochreshed_consensus::messages::{CoreRequest, CoreResponse};

use crate::mesh::proxy::replica_pool::{ReplicaPool, call_hedged};
use crate::mesh::rpc::RpcClients;

/// Time limit for storing a tombstone. Upstreams wait a second for the response to a heartbeat.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for looking for a tombstone.
const FIND_TIMEOUT: Duration = Duration::from_millis(300);

/// Whether an incarnation has a tombstone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TombstoneLookup {
    /// It drains or has ended, and that was recorded.
    Exists,
    /// Nothing was recorded.
    Absent,
    /// No majority has responded.
    Unavailable,
}

/// Records and finds the tombstones of one node's upstream incarnations.
pub struct TombstoneClient {
    pub replicas: Arc<ReplicaPool>,
    pub clients: Arc<RpcClients>,
    /// Address of the node's inbound proxy.
    pub inbound_proxy: SocketAddr,
}

impl TombstoneClient {
    /// Records that an incarnation drains or has ended. Returns whether a majority stores that.
    pub async fn store(&self, upstream_id: &str) -> bool {
        let id = tombstone_id(self.inbound_proxy, upstream_id);
        match self.replicas.replicas_for_tombstone(id) {
            TombstoneReplicas::Unsupported => true,
            TombstoneReplicas::Supporting(order) => {
                let request = CoreRequest::StoreTombstone(id);
                let response =
                    call_hedged(&self.replicas, &self.clients, order, &request, STORE_TIMEOUT).await;
                response == CoreResponse::Accepted
            }
        }
    }

    /// Looks for the tombstone of an incarnation.
    pub async fn find(&self, upstream_id: &str) -> TombstoneLookup {
        let id = tombstone_id(self.inbound_proxy, upstream_id);
        match self.replicas.replicas_for_tombstone(id) {
            TombstoneReplicas::Unsupported => TombstoneLookup::Absent,
            TombstoneReplicas::Supporting(order) => {
                let request = CoreRequest::FindTombstone(id);
                match call_hedged(&self.replicas, &self.clients, order, &request, FIND_TIMEOUT).await {
                    CoreResponse::Tombstone(true) => TombstoneLookup::Exists,
                    CoreResponse::Tombstone(false) => TombstoneLookup::Absent,
                    _ => TombstoneLookup::Unavailable,
                }
            }
        }
    }
}
