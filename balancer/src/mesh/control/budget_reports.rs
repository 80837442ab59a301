//! Reports of proxies on their retry budgets and recovery times: when a proxy sends one, and how a replica of the control
//! plane collects what all replicas have received.
//!
//! Main types: [`BudgetReporter`], kept by a proxy for each replica it watches, and [`CollectedReports`], what an
//! operator's call or the canary monitor works on. The counts themselves are of `ochreshed_mesh::retry_budget`.
//!
//! Invariants: a report travels only with a watch request that is sent anyway; a replica that did not answer is named as
//! unreachable, so that partial sums are never taken for complete ones.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use ochreshed::Nanos;
use ochreshed_catalog::endpoints::TablePosition;
use ochreshed_catalog::internal_rpc::{self, CollectedReport};
use ochreshed_catalog::traffic_reports::BudgetReport;
use ochreshed_catalog::traffic_reports::EditionOutcomes;
use ochreshed_catalog::watch_server;
use ochreshed_traffic::budget_reports::BudgetReports;
use tokio::time::Instant;

use crate::mesh::rpc::{InternalRequest, InternalResponse, RpcClients, WatchRequest, WatchResponse};

const NANOS_PER_MS: Nanos = 1_000_000;
/// How long other replicas are waited for when reports are collected.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How many times a proxy may report in one window of its retry budget.
const REPORTS_PER_WINDOW: u32 = 4;

/// Decides when a proxy's report is sent to one replica.
#[derive(Default)]
pub struct BudgetReporter {
    /// The last report that the replica acknowledged.
    acknowledged: Option<BudgetReport>,
    /// The report that went with the request that is under way.
    in_flight: Option<BudgetReport>,
    last_sent: Option<Instant>,
}

impl BudgetReporter {
    /// The report to send with the next watch request: the present one if it differs from what the replica has, and if
    /// the last one was sent long enough ago. `window` is the window of the retry budget.
    #[must_use]
    pub fn next_report(
        &mut self,
        window: Duration,
        present: impl FnOnce() -> BudgetReport,
    ) -> Option<BudgetReport> {
        // A report whose request was cancelled may not have arrived.
        self.in_flight = None;
        let min_interval = window / REPORTS_PER_WINDOW;
        let sent_lately = self.last_sent.is_some_and(|sent| sent.elapsed() < min_interval);
        if self.acknowledged.is_some() && sent_lately {
            return None;
        }
        let report = present();
        self.in_flight = (self.acknowledged.as_ref() != Some(&report)).then_some(report);
        self.last_sent = Some(Instant::now());
        self.in_flight.clone()
    }

    /// Notes the end of a watch request. `proxy_known` is false if the request failed, or if the replica does not know
    /// this proxy, as after its restart: then the next report is sent whatever went before.
    pub fn request_finished(&mut self, proxy_known: bool) {
        let in_flight = self.in_flight.take();
        let acknowledged = in_flight.or(self.acknowledged.take());
        self.acknowledged = acknowledged.filter(|_| proxy_known);
    }
}

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
    match callers.to(peer).call(InternalRequest::Watch(request), COLLECT_TIMEOUT).await {
        Ok(InternalResponse::Watch(response)) => Some(*response),
        _ => None,
    }
}

#[cfg(test)]
#[path = "tests/budget_reports_tests.rs"]
mod budget_reports_tests;
