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

use super::attendant::Branch;
use super::report::Telling;
use super::wire::{InternalRequest, InternalResponse, WatchRequest, WatchResponse};

const PAUSE: Duration = Duration::from_nanos(watch_client::RETRY_INTERVAL);
/// A configuration that has not come by then is fetched from another steward.
const FETCH: Duration = Duration::from_millis(900);

/// Asks one of the watchers, for good: the one whose turn is `which` among those that reply.
pub async fn ask(branch: Arc<Branch>, which: usize, many: usize) {
    let mut asker = Watcher::new(which, many);
    let has_sheet = || branch.timetable.load().is_some();
    let mut reports: HashMap<SocketAddr, Telling> = HashMap::new();
    loop {
        let stewards = branch.stewards.all();
        reports.retain(|at, _| stewards.contains(at));
        let Some(steward) = asker.next_replica(branch.clock.now(), branch.door_at(), &stewards) else {
            sleep(PAUSE).await;
            continue;
        };
        let report = reports.entry(steward).or_default();
        let window = branch.settings.load().bounds.retry_window;
        let told = (which == 0).then(|| report.news(window, || branch.report())).flatten();
        let row = branch.door.row();
        let rank = row.record_version();
        let ask = WatchRequest {
            outcomes: told.as_ref().map(|report| report.outcomes.clone()).unwrap_or_default(),
            report: told,
            ..asker.request(steward, row, branch.sheet_rank(), branch.carried())
        };
        let caller = branch.callers.to(steward);
        let changed = branch.door.changed.notified();
        let reply = tokio::select! {
            reply = caller.call(InternalRequest::Watch(ask), Duration::from_nanos(watch_client::MAX_WAIT + watch_client::RESPONSE_GRACE)) => reply,
            () = changed => continue,
        };
        match reply {
            Ok(InternalResponse::Watch(mut reply)) => {
                if let Some(RegisterList { digest, revisions }) = reply.registers.take() {
                    if fetch_papers(&branch, steward, revisions).await {
                        asker.registers_applied(steward, digest);
                    } else {
                        sleep(PAUSE).await;
                    }
                }
                branch.heard_core(reply.has_quorum);
                report.answered(reply.known_incarnation.is_some());
                let quiet = asker.handle_response(branch.clock.now(), steward, rank, has_sheet(), &reply);
                take(&branch, (which, steward), *reply, quiet);
            }
            _ => {
                asker.request_failed(branch.clock.now(), steward, has_sheet(), stewards.len());
                report.answered(false);
                branch.silent(which);
                sleep(PAUSE).await;
            }
        }
    }
}

fn take(
    branch: &Arc<Branch>,
    (which, steward): (usize, SocketAddr),
    reply: WatchResponse,
    quiet: HashSet<SocketAddr>,
) {
    if let Some(life) = reply.known_incarnation {
        branch.door.outlive(life);
    }
    if let Some(rank) = reply.configuration.filter(|rank| branch.to_fetch(*rank)) {
        tokio::spawn(fetch(branch.clone(), steward, rank));
    }
    for drain in &reply.drains {
        if drain.inbound_proxy == branch.door_at() {
            branch.door.close(&drain.upstream_id);
        }
    }
    if !reply.replicas.is_empty() {
        branch.know_stewards(reply.replicas);
    }
    branch.take_rows(which, reply.records, quiet);
}

/// Gets the papers that are newer there, until none is; whether that was to be had.
async fn fetch_papers(branch: &Arc<Branch>, steward: SocketAddr, ranks: Vec<(Name, Revision)>) -> bool {
    loop {
        let wanted = branch.papers_wanted(&ranks);
        if wanted.is_empty() {
            return true;
        }
        let reply = branch.callers.to(steward).call(InternalRequest::Registers(wanted), FETCH).await;
        let Ok(InternalResponse::Registers(papers)) = reply else { return false };
        if !branch.take_papers(&papers) {
            return false;
        }
    }
}

/// Gets a configuration from the steward that told of it: what differs from the one that is here, and whole where that
/// does not open. If it fails, the next news tells of it again.
async fn fetch(branch: Arc<Branch>, steward: SocketAddr, rank: Revision) {
    let here = branch.sheet();
    for from in [here.as_deref(), None] {
        let have = from.map_or(Revision::NONE, |from| from.revision());
        let reply = branch.callers.to(steward).call(InternalRequest::Configuration(have), FETCH).await;
        let Ok(InternalResponse::Configuration(Some(parcel))) = reply else { break };
        match parcel.open(from) {
            Ok(sheet) => {
                branch.take_sheet(sheet);
                break;
            }
            Err(why) => log::warn!("timetable r{}: what differs {why}", rank.version),
        }
    }
    branch.fetched(rank);
}
