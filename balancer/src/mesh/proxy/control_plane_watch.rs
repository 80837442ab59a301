//! Watches on the control plane: how a node gets configurations, endpoint records, drains and the list of replicas.
//!
//! [`run`] keeps one watch open at one replica: it sends the versions that the node has, and the replica answers when there is
//! something newer. Each watch request is also the node's heartbeat and carries its endpoint record and its reports. A new
//! configuration or named register is fetched from the replica that announced it.
//!
//! Invariants: a node never goes back to an older version; with several watches, each is open at another replica if there are
//! enough that reply.

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

/// Pause after a watch has failed or no replica is known.
const RETRY_INTERVAL: Duration = Duration::from_nanos(watch_client::RETRY_INTERVAL);
/// How long a fetch may take. After that, the next watch response announces the version again.
const FETCH_TIMEOUT: Duration = Duration::from_millis(900);

/// Keeps watch number `which` of `many` open for as long as the process runs. Only the first one carries the node's reports.
pub async fn run(node: Arc<Node>, which: usize, many: usize) {
    let mut watcher = Watcher::new(which, many);
    let has_configuration = || node.configuration.load().is_some();
    let mut reports: HashMap<SocketAddr, BudgetReporter> = HashMap::new();
    loop {
        let replicas = node.replicas.replicas();
        reports.retain(|at, _| replicas.contains(at));
        let Some(replica) = watcher.next_replica(node.clock.now(), node.inbound_address(), &replicas) else {
            sleep(RETRY_INTERVAL).await;
            continue;
        };
        let report = reports.entry(replica).or_default();
        let window = node.settings.load().bounds.retry_window;
        let reported = (which == 0).then(|| report.next_report(window, || node.budget_report())).flatten();
        let record = node.inbound.endpoint_record();
        let revision = record.record_version();
        let ask = WatchRequest {
            outcomes: reported.as_ref().map(|report| report.outcomes.clone()).unwrap_or_default(),
            report: reported,
            ..watcher.request(replica, record, node.configuration_revision(), node.applied_editions())
        };
        let caller = node.rpc.to(replica);
        let changed = node.inbound.record_changes.notified();
        let reply = tokio::select! {
            reply = caller.call(InternalRequest::Watch(ask), Duration::from_nanos(watch_client::MAX_WAIT + watch_client::RESPONSE_GRACE)) => reply,
            () = changed => continue,
        };
        match reply {
            Ok(InternalResponse::Watch(mut reply)) => {
                if let Some(RegisterList { digest, revisions }) = reply.registers.take() {
                    if fetch_registers(&node, replica, revisions).await {
                        watcher.registers_applied(replica, digest);
                    } else {
                        sleep(RETRY_INTERVAL).await;
                    }
                }
                node.record_replica_response(reply.has_quorum);
                report.request_finished(reply.known_incarnation.is_some());
                let suspected =
                    watcher.handle_response(node.clock.now(), replica, revision, has_configuration(), &reply);
                apply_response(&node, (which, replica), *reply, suspected);
            }
            _ => {
                watcher.request_failed(node.clock.now(), replica, has_configuration(), replicas.len());
                report.request_finished(false);
                node.watch_lost(which);
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Applies what a replica has answered.
fn apply_response(
    node: &Arc<Node>,
    (which, replica): (usize, SocketAddr),
    reply: WatchResponse,
    suspected: HashSet<SocketAddr>,
) {
    if let Some(incarnation) = reply.known_incarnation {
        node.inbound.ensure_incarnation_above(incarnation);
    }
    if let Some(revision) = reply.configuration.filter(|revision| node.start_fetch(*revision)) {
        tokio::spawn(fetch_configuration(node.clone(), replica, revision));
    }
    for drain in &reply.drains {
        if drain.inbound_proxy == node.inbound_address() {
            node.inbound.drain(&drain.upstream_id);
        }
    }
    if !reply.replicas.is_empty() {
        node.set_replicas(reply.replicas);
    }
    node.merge_records(which, reply.records, suspected);
}

/// Fetches the named registers that are newer at the replica, until none is. Returns false if the replica failed or sent
/// nothing newer.
async fn fetch_registers(node: &Arc<Node>, replica: SocketAddr, revisions: Vec<(Name, Revision)>) -> bool {
    loop {
        let wanted = node.outdated_registers(&revisions);
        if wanted.is_empty() {
            return true;
        }
        let reply = node.rpc.to(replica).call(InternalRequest::Registers(wanted), FETCH_TIMEOUT).await;
        let Ok(InternalResponse::Registers(registers)) = reply else { return false };
        if !node.apply_registers(&registers) {
            return false;
        }
    }
}

/// Fetches a configuration from the replica that announced it: first as what differs from the one here, and completely if that
/// can't be applied. If it fails, the next watch response announces it again.
async fn fetch_configuration(node: Arc<Node>, replica: SocketAddr, revision: Revision) {
    let here = node.configuration_value();
    for from in [here.as_deref(), None] {
        let have = from.map_or(Revision::NONE, |from| from.revision());
        let reply = node.rpc.to(replica).call(InternalRequest::Configuration(have), FETCH_TIMEOUT).await;
        let Ok(InternalResponse::Configuration(Some(update))) = reply else { break };
        match update.open(from) {
            Ok(configuration) => {
                node.apply_configuration(configuration);
                break;
            }
            Err(why) => {
                log::warn!("configuration update not applied: version={} error={why}", revision.version)
            }
        }
    }
    node.fetch_ended(revision);
}
