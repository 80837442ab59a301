//! News to an attendant: it asks its watchers with the versions it has, and takes what they answer. Each ask is also its
//! heartbeat. It owns which stewards are asked and what is taken from them; it must never go back to an older version.

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

const RETRY_INTERVAL: Duration = Duration::from_nanos(watch_client::RETRY_INTERVAL);
/// A configuration that has not come by then is fetched from another steward.
const FETCH_TIMEOUT: Duration = Duration::from_millis(900);

/// Asks one of the watchers, for good: the one whose turn is `which` among those that reply.
pub async fn run(node: Arc<Node>, which: usize, many: usize) {
    let mut asker = Watcher::new(which, many);
    let has_sheet = || node.configuration.load().is_some();
    let mut reports: HashMap<SocketAddr, BudgetReporter> = HashMap::new();
    loop {
        let replicas = node.replicas.replicas();
        reports.retain(|at, _| replicas.contains(at));
        let Some(replica) = asker.next_replica(node.clock.now(), node.inbound_address(), &replicas) else {
            sleep(RETRY_INTERVAL).await;
            continue;
        };
        let report = reports.entry(replica).or_default();
        let window = node.settings.load().bounds.retry_window;
        let told = (which == 0).then(|| report.next_report(window, || node.budget_report())).flatten();
        let record = node.inbound.endpoint_record();
        let revision = record.record_version();
        let ask = WatchRequest {
            outcomes: told.as_ref().map(|report| report.outcomes.clone()).unwrap_or_default(),
            report: told,
            ..asker.request(replica, record, node.configuration_revision(), node.applied_editions())
        };
        let caller = node.rpc.to(replica);
        let changed = node.inbound.changed.notified();
        let reply = tokio::select! {
            reply = caller.call(InternalRequest::Watch(ask), Duration::from_nanos(watch_client::MAX_WAIT + watch_client::RESPONSE_GRACE)) => reply,
            () = changed => continue,
        };
        match reply {
            Ok(InternalResponse::Watch(mut reply)) => {
                if let Some(RegisterList { digest, revisions }) = reply.registers.take() {
                    if fetch_registers(&node, replica, revisions).await {
                        asker.registers_applied(replica, digest);
                    } else {
                        sleep(RETRY_INTERVAL).await;
                    }
                }
                node.control_plane_heard(reply.has_quorum);
                report.request_finished(reply.known_incarnation.is_some());
                let suspected =
                    asker.handle_response(node.clock.now(), replica, revision, has_sheet(), &reply);
                apply_response(&node, (which, replica), *reply, suspected);
            }
            _ => {
                asker.request_failed(node.clock.now(), replica, has_sheet(), replicas.len());
                report.request_finished(false);
                node.watch_lost(which);
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

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

/// Gets the papers that are newer there, until none is; whether that was to be had.
async fn fetch_registers(node: &Arc<Node>, replica: SocketAddr, ranks: Vec<(Name, Revision)>) -> bool {
    loop {
        let wanted = node.outdated_registers(&ranks);
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

/// Gets a configuration from the steward that told of it: what differs from the one that is here, and whole where that
/// does not open. If it fails, the next news tells of it again.
async fn fetch_configuration(node: Arc<Node>, replica: SocketAddr, revision: Revision) {
    let here = node.configuration_value();
    for from in [here.as_deref(), None] {
        let have = from.map_or(Revision::NONE, |from| from.revision());
        let reply = node.rpc.to(replica).call(InternalRequest::Configuration(have), FETCH_TIMEOUT).await;
        let Ok(InternalResponse::Configuration(Some(parcel))) = reply else { break };
        match parcel.open(from) {
            Ok(sheet) => {
                node.apply_configuration(sheet);
                break;
            }
            Err(why) => {
                log::warn!("configuration update not applied: version={} error={why}", revision.version)
            }
        }
    }
    node.fetch_ended(revision);
}
