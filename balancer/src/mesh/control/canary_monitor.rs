//! Judges the running canaries of members' documents by the requests that were sent on their routes, and promotes or
//! withdraws them. It also applies newly committed documents to the [`super::member_directory::MemberDirectory`].
//!
//! Main function: [`monitor_canaries`], a task of each replica. Exactly one replica judges a canary as long as all hear
//! the same replicas.
//!
//! Invariants: a canary is judged only while a quorum is heard; it is withdrawn as soon as it clearly fails, and promoted
//! only once its time is over.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ochreshed::Name;
use ochreshed_catalog::overlay;
use ochreshed_catalog::traffic_reports::{OutcomeCounts, RouteEdition};
use ochreshed_traffic::canary::{CanaryVerdict, RequestOutcomes, evaluate_canary};
use tokio::time::{Instant, sleep};

use super::member_changes::{self, CommittedMember, DocumentChange};
use super::member_error::MemberError;
use super::replica_server::ReplicaServer;
use crate::mesh::shared::member_documents::MemberDocumentStore;

const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// After a change, how long further ones are waited for, so that they are applied together.
const CHANGE_DEBOUNCE: Duration = Duration::from_millis(5);
/// How many times a canary is judged while it runs.
const JUDGEMENTS_PER_CANARY: u32 = 10;

/// A canary: the member, and the version of its document.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CanaryId {
    member: Name,
    version: u64,
}

/// How far a canary has come, as seen by this replica.
struct CanaryProgress {
    since: Instant,
    judgements: u32,
}

impl CanaryProgress {
    fn start() -> CanaryProgress {
        CanaryProgress { since: Instant::now(), judgements: 0 }
    }

    /// Whether the canary's time is over.
    fn is_over(&self, duration: Duration) -> bool {
        self.since.elapsed() >= duration
    }

    /// Whether the next judgement is due.
    fn is_due(&self, duration: Duration) -> bool {
        self.since.elapsed() >= duration * (self.judgements + 1) / JUDGEMENTS_PER_CANARY
    }

    /// Counts the judgements whose time has come, so that missed ones are not made up for.
    fn note_judgement(&mut self, duration: Duration) {
        let elapsed_share = self.since.elapsed().as_secs_f64() / duration.as_secs_f64();
        self.judgements = (elapsed_share * f64::from(JUDGEMENTS_PER_CANARY)) as u32;
    }
}

/// Applies committed documents and judges canaries until the process ends.
pub async fn monitor_canaries(server: Arc<ReplicaServer>) {
    let mut changes = server.subscribe_to_changes();
    let mut progress: HashMap<CanaryId, CanaryProgress> = HashMap::new();
    loop {
        changes.mark_unchanged();
        apply_committed_documents(&server).await;
        let running = running_canaries(&server.members.documents());
        progress.retain(|canary, _| running.contains_key(canary));
        for (canary, duration) in running {
            let progress = progress.entry(canary.clone()).or_insert_with(CanaryProgress::start);
            let over = progress.is_over(duration);
            if (over || progress.is_due(duration)) && is_judged_here(&server, &canary.member) {
                progress.note_judgement(duration);
                end_canary_if_decided(&server, &canary, over).await;
            }
        }
        tokio::select! {
            _ = changes.changed() => sleep(CHANGE_DEBOUNCE).await,
            () = sleep(CHECK_INTERVAL) => {}
        }
    }
}

/// Brings the members' documents up to what is committed. They are parsed off the event loop's thread.
async fn apply_committed_documents(server: &Arc<ReplicaServer>) {
    let published = server.published();
    if published.registers.digest == server.members.documents().digest() {
        return;
    }
    let server = server.clone();
    let apply = move || server.members.apply_registers(&published.registers.values);
    // A document that can't be read is logged where it is applied.
    let _ = tokio::task::spawn_blocking(apply).await;
}

/// The canaries that run, with how long each is to run.
fn running_canaries(documents: &MemberDocumentStore) -> HashMap<CanaryId, Duration> {
    let running = documents.members.iter().filter_map(|(member, state)| {
        let duration_s = documents.member_register.member(member)?.limits.canary_duration_s;
        let version = state.running_canary()?.version;
        Some((CanaryId { member: member.clone(), version }, Duration::from_secs(duration_s.into())))
    });
    running.collect()
}

/// Whether this replica judges the member's canaries: by rendezvous hashing over the replicas that it hears.
fn is_judged_here(server: &ReplicaServer, member: &str) -> bool {
    let weight = |replica: &SocketAddr| xxhash_rust::xxh3::xxh3_64(format!("{member} {replica}").as_bytes());
    let published = server.published();
    let judge = published.replicas.iter().max_by_key(|replica| weight(replica));
    published.has_quorum && judge.is_none_or(|judge| *judge == server.address)
}

/// Promotes or withdraws a canary if its verdict is known.
async fn end_canary_if_decided(server: &ReplicaServer, canary: &CanaryId, over: bool) {
    let collected = server.collect_reports(server.clock.now()).await;
    let outcomes = collected.reports.outcome_totals(|_| true);
    let verdict = canary_verdict(&outcomes, &canary.member, canary.version, over);
    if verdict == CanaryVerdict::Continue {
        return;
    }
    let Ok(committed) = member_changes::load_committed(server, &canary.member).await else { return };
    let still_runs =
        committed.state.running_canary().is_some_and(|running| running.version == canary.version);
    if !still_runs {
        return;
    }
    match end_canary(server, canary, &committed, verdict).await {
        Ok(change) => log::info!(
            "canary ended: member={} version={} state={}",
            change.member,
            change.version,
            change.state.as_str()
        ),
        Err(error) => {
            log::warn!("canary not ended: member={} version={} error={error}", canary.member, canary.version)
        }
    }
}

/// Ends a canary by its verdict. One that exceeds what the member may do by now is withdrawn in any case.
async fn end_canary(
    server: &ReplicaServer,
    canary: &CanaryId,
    committed: &CommittedMember,
    verdict: CanaryVerdict,
) -> Result<DocumentChange, MemberError> {
    let exceeds_limits = committed.state.running_canary().is_some_and(|document| {
        let (configuration, register) = (&committed.configuration, &committed.member_register);
        !overlay::check_document(configuration, register, &canary.member, document).is_empty()
    });
    if verdict == CanaryVerdict::RollBack || exceeds_limits {
        member_changes::withdraw_canary(server, committed, &canary.member).await
    } else {
        member_changes::promote_canary(server, committed, &canary.member).await
    }
}

/// The verdict on a canary by the requests on its routes and on those of the settled document. A canary without requests
/// has nothing against it.
fn canary_verdict(
    outcomes: &BTreeMap<RouteEdition, OutcomeCounts>,
    member: &str,
    version: u64,
    over: bool,
) -> CanaryVerdict {
    let of_member = || outcomes.iter().filter(|(edition, _)| *edition.member == *member);
    let canary = of_member().filter(|(edition, _)| edition.canary && edition.version == version);
    let settled = of_member().filter(|(edition, _)| !edition.canary);
    evaluate_canary(
        sum_outcomes(canary.map(|(_, counts)| counts)),
        sum_outcomes(settled.map(|(_, counts)| counts)),
        over,
    )
}

fn sum_outcomes<'c>(counts: impl Iterator<Item = &'c OutcomeCounts>) -> RequestOutcomes {
    counts.fold(RequestOutcomes::default(), |sum, counts| RequestOutcomes {
        succeeded: sum.succeeded + u64::from(counts.succeeded),
        failed: sum.failed + u64::from(counts.failed),
    })
}

#[cfg(test)]
#[path = "tests/canary_monitor_tests.rs"]
mod canary_monitor_tests;
