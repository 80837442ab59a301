//! Evaluates the running canaries of members' documents by the outcomes of requests on their routes, and promotes or
//! withdraws them. Also applies newly committed documents to the [`super::member_directory::MemberDirectory`].
//!
//! Main function: [`monitor_canaries`], a task of each replica. Exactly one replica evaluates a canary as long as all
//! replicas see the same set of replicas.
//!
//! Invariants: a canary is evaluated only while this replica has a quorum; it is withdrawn as soon as it clearly fails,
//! and promoted only after its full duration.

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
/// Wait after a change, so that further ones are applied together with it.
const CHANGE_DEBOUNCE: Duration = Duration::from_millis(5);
/// The number of evaluations of a canary over its duration.
const EVALUATIONS_PER_CANARY: u32 = 10;

/// Identifies a canary by its member and version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CanaryId {
    member: Name,
    version: u64,
}

/// The progress of a canary as observed by this replica.
struct CanaryProgress {
    started_at: Instant,
    evaluations: u32,
}

impl CanaryProgress {
    fn start() -> CanaryProgress {
        CanaryProgress { started_at: Instant::now(), evaluations: 0 }
    }

    /// Whether the canary has run for its full duration.
    fn is_over(&self, duration: Duration) -> bool {
        self.started_at.elapsed() >= duration
    }

    /// Whether the next evaluation is due.
    fn is_due(&self, duration: Duration) -> bool {
        self.started_at.elapsed() >= duration * (self.evaluations + 1) / EVALUATIONS_PER_CANARY
    }

    /// Counts all evaluations that are due by now, so that missed ones are not repeated.
    fn record_evaluation(&mut self, duration: Duration) {
        let elapsed_share = self.started_at.elapsed().as_secs_f64() / duration.as_secs_f64();
        self.evaluations = (elapsed_share * f64::from(EVALUATIONS_PER_CANARY)) as u32;
    }
}

/// Applies committed documents and evaluates canaries until the process ends.
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
            if (over || progress.is_due(duration)) && evaluates_canaries_of(&server, &canary.member) {
                progress.record_evaluation(duration);
                end_canary_if_decided(&server, &canary, over).await;
            }
        }
        tokio::select! {
            _ = changes.changed() => sleep(CHANGE_DEBOUNCE).await,
            () = sleep(CHECK_INTERVAL) => {}
        }
    }
}

/// Applies the committed documents of members. They are parsed on a blocking thread, off the event loop.
async fn apply_committed_documents(server: &Arc<ReplicaServer>) {
    let published = server.published();
    if published.registers.digest == server.members.documents().digest() {
        return;
    }
    let server = server.clone();
    let apply = move || server.members.apply_registers(&published.registers.values);
    // Unreadable documents are logged by `apply`.
    let _ = tokio::task::spawn_blocking(apply).await;
}

/// Returns the running canaries with their configured durations.
fn running_canaries(documents: &MemberDocumentStore) -> HashMap<CanaryId, Duration> {
    let running = documents.members.iter().filter_map(|(member, state)| {
        let duration_s = documents.member_register.member(member)?.limits.canary_duration_s;
        let version = state.running_canary()?.version;
        Some((CanaryId { member: member.clone(), version }, Duration::from_secs(duration_s.into())))
    });
    running.collect()
}

/// Whether this replica evaluates the member's canaries, by rendezvous hashing over the known replicas.
fn evaluates_canaries_of(server: &ReplicaServer, member: &str) -> bool {
    let weight = |replica: &SocketAddr| xxhash_rust::xxh3::xxh3_64(format!("{member} {replica}").as_bytes());
    let published = server.published();
    let evaluator = published.replicas.iter().max_by_key(|replica| weight(replica));
    published.has_quorum && evaluator.is_none_or(|evaluator| *evaluator == server.address)
}

/// Promotes or withdraws a canary if there is a verdict.
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

/// Promotes or withdraws a canary by its verdict. A canary that exceeds the member's current limits is withdrawn in any
/// case.
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

/// Compares the outcomes of requests on the canary's routes with those of the settled document. A canary without
/// requests does not fail.
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
