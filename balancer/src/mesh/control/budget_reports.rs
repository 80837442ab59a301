//! Collects the proxies' reports on retry budgets and recovery times from all replicas of the control plane.
//!
//! Main type: [`CollectedReports`], used by operators' calls and the canary monitor. The counts are defined in
//! `ochreshed_catalog::traffic_reports`.
//!
//! Invariants: replicas that did not respond are listed as unreachable, so that partial sums are never mistaken for
//! complete ones.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use ochreshed::Nanos;
use ochreshed_catalog::endpoints::TablePosition;
use ochreshed_catalog::internal_rpc::{self, CollectedReport};
use ochreshed_catalog::traffic_reports::EditionOutcomes;
use ochreshed_catalog::watch_server;
use ochreshed_traffic::budget_reports::BudgetReports;

use crate::mesh::rpc::{InternalRequest, InternalResponse, RpcClients, WatchRequest, WatchResponse};

const NANOS_PER_MS: Nanos = 1_000_000;
/// Timeout for the reports of another replica.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The reports of proxies to all replicas that responded.
#[derive(Clone, Debug, Default)]
pub struct CollectedReports {
    pub reports: BudgetReports,
    /// The time from the start of each replica to full service, in milliseconds.
    pub replica_recovery_ms: BTreeMap<SocketAddr, u32>,
    /// Replicas that did not respond, sorted.
    pub unreachable_replicas: Vec<SocketAddr>,
}

impl CollectedReports {
    /// Adds the response of one replica. `None`, or a response without reports from an older version, makes it
    /// unreachable.
    fn add_response(&mut self, now: Nanos, replica: SocketAddr, response: Option<WatchResponse>) {
        let Some(WatchResponse { reports: Some(reports), outcomes, .. }) = response else {
            self.unreachable_replicas.push(replica);
            return;
        };
        let internal_rpc::CollectedReports { reports, recovery_ms } = *reports;
        let mut outcomes: HashMap<SocketAddr, EditionOutcomes> = outcomes.into_iter().collect();
        for CollectedReport { inbound_proxy: proxy, age_ms, mut report } in reports {
            report.outcomes = outcomes.remove(&proxy).unwrap_or_default();
            self.reports.store(now, proxy, report, Nanos::from(age_ms) * NANOS_PER_MS);
        }
        self.replica_recovery_ms.extend(recovery_ms.map(|recovery_ms| (replica, recovery_ms)));
    }
}

/// Adds the reports received by the `peers` to `collected`, in the order in which they respond.
pub async fn collect_from_peers(
    rpc_clients: &RpcClients,
    peers: Vec<SocketAddr>,
    now: Nanos,
    mut collected: CollectedReports,
) -> CollectedReports {
    let mut requests: FuturesUnordered<_> = peers
        .into_iter()
        .map(|peer| async move { (peer, request_reports(rpc_clients, peer).await) })
        .collect();
    while let Some((peer, response)) = requests.next().await {
        collected.add_response(now, peer, response);
    }
    collected.unreachable_replicas.sort();
    collected
}

async fn request_reports(rpc_clients: &RpcClients, peer: SocketAddr) -> Option<WatchResponse> {
    let watch = watch_server::replica_watch_request(TablePosition::default());
    let request = WatchRequest { max_wait_ms: 0, reports_only: true, ..watch };
    match rpc_clients.client_for(peer).call(InternalRequest::Watch(request), COLLECT_TIMEOUT).await {
        Ok(InternalResponse::Watch(response)) => Some(*response),
        _ => None,
    }
}
