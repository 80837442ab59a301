//! News to an attendant: it asks its watchers with the versions it has, and takes what they answer. Each ask is also its
//! heartbeat. It owns which stewards are asked and what is taken from them; it must never go back to an older version.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ochreshed::Name;
use ochreshed_consensus::messages::Revision;
use ochreshed_mesh::watch_client::{self, Watcher};
use tokio::time::sleep;

use crate::mesh::proxy::node::Node;
use crate::mesh::report::Telling;
use crate::mesh::rpc::{InternalRequest, InternalResponse, WatchRequest, WatchResponse};

const RETRY_INTERVAL: Duration = Duration::from_nanos(watch_client::RETRY_INTERVAL);
/// A configuration that has not come by then is fetched from another steward.
const FETCH_TIMEOUT: Duration = Duration::from_millis(900);

/// Asks one of the watchers, for good: the one whose turn is `which` among those that reply.
pub async fn run(branch: Arc<Node>, which: usize, many: usize) {
    let mut asker = Watcher::new(which, many);
    let has_sheet = || branch.configuration.load().is_some();
    let mut reports: HashMap<SocketAddr, Telling> = HashMap::new();
    loop {
        let stewards = branch.replicas.replicas();
        reports.retain(|at, _| stewards.contains(at));
        let Some(steward) = asker.next_replica(branch.clock.now(), branch.inbound_address(), &stewards)
        else {
            sleep(RETRY_INTERVAL).await;
            continue;
        };
        let report = reports.entry(steward).or_default();
        let window = branch.settings.load().bounds.retry_window;
        let told = (which == 0).then(|| report.news(window, || branch.budget_report())).flatten();
        let row = branch.inbound.endpoint_record();
        let rank = row.record_version();
        let ask = WatchRequest {
            outcomes: told.as_ref().map(|report| report.outcomes.clone()).unwrap_or_default(),
            report: told,
            ..asker.request(steward, row, branch.configuration_revision(), branch.applied_editions())
        };
        let caller = branch.rpc.to(steward);
        let changed = branch.inbound.changed.notified();
        let reply = tokio::select! {
            reply = caller.call(InternalRequest::Watch(ask), Duration::from_nanos(watch_client::MAX_WAIT + watch_client::RESPONSE_GRACE)) => reply,
            () = changed => continue,
        };
        match reply {
            Ok(InternalResponse::Watch(mut reply)) => {
                if let Some((number, ranks)) = reply.registers.take() {
                    if fetch_registers(&branch, steward, ranks).await {
                        asker.registers_applied(steward, number);
                    } else {
                        sleep(RETRY_INTERVAL).await;
                    }
                }
                branch.control_plane_heard(reply.has_quorum);
                report.answered(reply.known_incarnation.is_some());
                let quiet = asker.handle_response(branch.clock.now(), steward, rank, has_sheet(), &reply);
                apply_response(&branch, (which, steward), *reply, quiet);
            }
            _ => {
                asker.request_failed(branch.clock.now(), steward, has_sheet(), stewards.len());
                report.answered(false);
                branch.watch_lost(which);
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

fn apply_response(
    branch: &Arc<Node>,
    (which, steward): (usize, SocketAddr),
    reply: WatchResponse,
    quiet: HashSet<SocketAddr>,
) {
    if let Some(life) = reply.known_incarnation {
        branch.inbound.ensure_incarnation_above(life);
    }
    if let Some(rank) = reply.configuration.filter(|rank| branch.start_fetch(*rank)) {
        tokio::spawn(fetch_configuration(branch.clone(), steward, rank));
    }
    for (door, id, _) in &reply.drains {
        if *door == branch.inbound_address() {
            branch.inbound.drain(id);
        }
    }
    if !reply.replicas.is_empty() {
        branch.set_replicas(reply.replicas);
    }
    branch.merge_records(which, reply.records, quiet);
}

/// Gets the papers that are newer there, until none is; whether that was to be had.
async fn fetch_registers(branch: &Arc<Node>, steward: SocketAddr, ranks: Vec<(Name, Revision)>) -> bool {
    loop {
        let wanted = branch.outdated_registers(&ranks);
        if wanted.is_empty() {
            return true;
        }
        let reply = branch.rpc.to(steward).call(InternalRequest::Registers(wanted), FETCH_TIMEOUT).await;
        let Ok(InternalResponse::Registers(papers)) = reply else { return false };
        if !branch.apply_registers(&papers) {
            return false;
        }
    }
}

/// Gets a configuration from the steward that told of it: what differs from the one that is here, and whole where that
/// does not open. If it fails, the next news tells of it again.
async fn fetch_configuration(branch: Arc<Node>, steward: SocketAddr, rank: Revision) {
    let here = branch.configuration_value();
    for from in [here.as_deref(), None] {
        let have = from.map_or(Revision::NONE, |from| from.revision());
        let reply = branch.rpc.to(steward).call(InternalRequest::Configuration(have), FETCH_TIMEOUT).await;
        let Ok(InternalResponse::Configuration(Some(parcel))) = reply else { break };
        match parcel.open(from) {
            Ok(sheet) => {
                branch.apply_configuration(sheet);
                break;
            }
            Err(why) => log::warn!("timetable r{}: what differs {why}", rank.version),
        }
    }
    branch.fetch_ended(rank);
}
