//! Watches on the control plane, by which a node receives configurations, endpoint records, drains and the list of replicas.
//!
//! [`run`] keeps one watch open at one replica: it sends the versions that the node has, and the replica responds when there
//! are newer ones. Each watch request is also the node's heartbeat and carries its endpoint record and reports. A new
//! configuration or named register is fetched from the replica that announced it.
//!
//! Invariants: a node never goes back to an older version; several watches are open at different replicas if enough replicas
//! respond.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ochreshed::Name;
use ochreshed_catalog::internal_rpc::RegisterList;
use ochreshed_catalog::watch_client::{self, Watcher};
use ochreshed_consensus::messages::Revision;
use tokio::time::sleep;

use crate::mesh::proxy::budget_reporter::BudgetReporter;
use crate::mesh::proxy::node::Node;
use crate::mesh::rpc::{InternalRequest, InternalResponse, WatchRequest, WatchResponse};

/// Delay before the next watch after one has failed or if no replica is known.
const RETRY_INTERVAL: Duration = Duration::from_nanos(watch_client::RETRY_INTERVAL);
/// Timeout of a watch request, which the replica may hold open for [`watch_client::MAX_WAIT`].
const WATCH_TIMEOUT: Duration = Duration::from_nanos(watch_client::MAX_WAIT + watch_client::RESPONSE_GRACE);
/// Timeout of a fetch. After it, the next watch response announces the version again.
const FETCH_TIMEOUT: Duration = Duration::from_millis(900);

/// Keeps watch number `watch_index` of `watch_count` open for as long as the process runs. Only the first one carries the
/// node's reports.
pub async fn run(node: Arc<Node>, watch_index: usize, watch_count: usize) {
    let mut watcher = Watcher::new(watch_index, watch_count);
    let has_configuration = || node.configuration.load().is_some();
    let mut reporters: HashMap<SocketAddr, BudgetReporter> = HashMap::new();
    loop {
        let replicas = node.replicas.replicas();
        reporters.retain(|replica, _| replicas.contains(replica));
        let Some(replica) = watcher.next_replica(node.clock.now(), node.inbound_address(), &replicas) else {
            sleep(RETRY_INTERVAL).await;
            continue;
        };
        let reporter = reporters.entry(replica).or_default();
        let window = node.settings.load().bounds.retry_window;
        let report =
            (watch_index == 0).then(|| reporter.next_report(window, || node.budget_report())).flatten();
        let record = node.inbound.endpoint_record();
        let record_version = record.record_version();
        let request = WatchRequest {
            outcomes: report.as_ref().map(|report| report.outcomes.clone()).unwrap_or_default(),
            report,
            ..watcher.request(replica, record, node.configuration_revision(), node.applied_editions())
        };
        let client = node.rpc.client_for(replica);
        let record_changed = node.inbound.record_changes.notified();
        let response = tokio::select! {
            response = client.call(InternalRequest::Watch(request), WATCH_TIMEOUT) => response,
            () = record_changed => continue,
        };
        match response {
            Ok(InternalResponse::Watch(mut response)) => {
                if let Some(RegisterList { digest, revisions }) = response.registers.take() {
                    if fetch_registers(&node, replica, revisions).await {
                        watcher.record_applied_registers(replica, digest);
                    } else {
                        sleep(RETRY_INTERVAL).await;
                    }
                }
                node.record_replica_response(response.has_quorum);
                node.replicas.record_tombstone_support(replica, response.supports_tombstones);
                reporter.request_finished(response.known_incarnation.is_some());
                let suspected = watcher.handle_response(
                    node.clock.now(),
                    replica,
                    record_version,
                    has_configuration(),
                    &response,
                );
                apply_response(&node, (watch_index, replica), *response, suspected);
            }
            _ => {
                watcher.record_failure(node.clock.now(), replica, has_configuration(), replicas.len());
                reporter.request_finished(false);
                node.watch_lost(watch_index);
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Applies a watch response to the node.
fn apply_response(
    node: &Arc<Node>,
    (watch_index, replica): (usize, SocketAddr),
    response: WatchResponse,
    suspected: HashSet<SocketAddr>,
) {
    if let Some(incarnation) = response.known_incarnation {
        node.inbound.ensure_incarnation_above(incarnation);
    }
    if let Some(revision) = response.configuration.filter(|revision| node.start_fetch(*revision)) {
        tokio::spawn(fetch_configuration(node.clone(), replica, revision));
    }
    for drain in &response.drains {
        if drain.inbound_proxy == node.inbound_address() {
            node.inbound.drain(&drain.upstream_id);
        }
    }
    if !response.replicas.is_empty() {
        node.set_replicas(response.replicas);
    }
    node.merge_records(watch_index, response.records, suspected);
}

/// Fetches the announced registers until this node has the announced revisions. Returns false if the replica failed or sent
/// nothing newer.
async fn fetch_registers(node: &Arc<Node>, replica: SocketAddr, announced: Vec<(Name, Revision)>) -> bool {
    loop {
        let outdated = node.outdated_registers(&announced);
        if outdated.is_empty() {
            return true;
        }
        let response =
            node.rpc.client_for(replica).call(InternalRequest::Registers(outdated), FETCH_TIMEOUT).await;
        let Ok(InternalResponse::Registers(registers)) = response else { return false };
        if !node.apply_registers(&registers) {
            return false;
        }
    }
}

/// Fetches a configuration from the replica that announced it: first as a difference from the applied one, then completely if
/// the difference can't be applied. If both fail, the next watch response announces the configuration again.
async fn fetch_configuration(node: Arc<Node>, replica: SocketAddr, revision: Revision) {
    let applied = node.configuration_value();
    for base in [applied.as_deref(), None] {
        let base_revision = base.map_or(Revision::NONE, |base| base.revision());
        let request = InternalRequest::Configuration(base_revision);
        let response = node.rpc.client_for(replica).call(request, FETCH_TIMEOUT).await;
        let Ok(InternalResponse::Configuration(Some(update))) = response else { break };
        match update.apply_to(base) {
            Ok(configuration) => {
                node.apply_configuration(configuration);
                break;
            }
            Err(error) => {
                log::warn!("configuration update not applied: version={} error={error}", revision.version)
            }
        }
    }
    node.fetch_ended(revision);
}
