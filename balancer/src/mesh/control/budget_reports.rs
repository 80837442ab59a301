//! Reports of proxies on their retry budgets and recovery times, as a replica of the control plane collects them from
//! all replicas.
//!
//! Main type: [`CollectedReports`], what an operator's call or the canary monitor works on. The counts themselves are
//! of `ochreshed_catalog::traffic_reports`.
//!
//! Invariants: a replica that did not answer is named as unreachable, so that partial sums are never taken for complete
//! ones.

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
/// How long other replicas are waited for when reports are collected.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(400);
/// What proxies reported to all replicas that answered.
#[derive(Clone, Debug, Default)]
pub struct CollectedReports {
    pub reports: BudgetReports,
    /// Milliseconds that each replica took from its start to full service.
    pub replica_recovery_ms: BTreeMap<SocketAddr, u32>,
    /// Replicas that did not answer, sorted.
    pub unreachable_replicas: Vec<SocketAddr>,
}

impl CollectedReports {
    /// Adds one replica's answer; none if it did not answer, or runs a version that sends no reports.
    fn add_answer(&mut self, now: Nanos, replica: SocketAddr, answer: Option<WatchResponse>) {
        let Some(WatchResponse { reports: Some(reports), outcomes, .. }) = answer else {
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

/// Adds to `collected` what the `peers` have received, in the order in which they answer.
pub async fn collect_from_peers(
    callers: &RpcClients,
    peers: Vec<SocketAddr>,
    now: Nanos,
    mut collected: CollectedReports,
) -> CollectedReports {
    let mut requests: FuturesUnordered<_> =
        peers.into_iter().map(|peer| async move { (peer, request_reports(callers, peer).await) }).collect();
    while let Some((peer, answer)) = requests.next().await {
        collected.add_answer(now, peer, answer);
    }
    collected.unreachable_replicas.sort();
    collected
}

async fn request_reports(callers: &RpcClients, peer: SocketAddr) -> Option<WatchResponse> {
    let watch = watch_server::replica_watch_request(TablePosition::default());
    let request = WatchRequest { max_wait_ms: 0, reports_only: true, ..watch };
    match callers.client_for(peer).call(InternalRequest::Watch(request), COLLECT_TIMEOUT).await {
        Ok(InternalResponse::Watch(response)) => Some(*response),
        _ => None,
    }
}
