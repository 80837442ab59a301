//! Tests of the request scheduler: the endpoints that it gives to the policy, and the counting of the retry budget.

use std::collections::{BTreeSet, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use ochreshed::{DispatchOutcome, Nanos, RequestContext};
use ochreshed_catalog::configuration::{Configuration, MemberShares};
use ochreshed_catalog::endpoints::{EndpointRecord, UpstreamState};
use ochreshed_catalog::traffic_reports::AttemptCounts;
use ochreshed_catalog::watch_client::ReceivedRecord;
use ochreshed_traffic::retry_shares::RetryPool;

use crate::clock::Clock;
use crate::connection::lock;
use crate::mesh::proxy::request_scheduler::{
    RequestScheduler, ScheduledRequest, SchedulerAction, SchedulerPlan, ServiceSettings,
};
use crate::mesh::settings::OperatingBounds;

const MS: Nanos = 1_000_000;

/// Settings for a service with one repeatable route.
fn service_settings(outbound_proxies: usize, calls_services: bool) -> ServiceSettings {
    let route = r#"{"category":"routes","label":{"name":"r"},"manifest":{"depot":"one.example","lane_prefix":"/",
        "route_kind":"resendable","deadline_ms":20000,"target_ms":10000,"post_class":1,"line":"a","tries":2}}"#;
    let line = r#"{"category":"mail_lines","label":{"name":"a"},"manifest":{"health":"/h","berth_cap":9}}"#;
    let text = format!(r#"{{"edition":"r1","consignments":[{route},{line}]}}"#);
    let configuration = Configuration::read(text.as_bytes()).expect("a configuration");
    ServiceSettings::new(
        &SchedulerPlan::for_configuration(&configuration)[0],
        outbound_proxies,
        calls_services,
        &OperatingBounds::default(),
    )
}

fn scheduler(previous: Option<Arc<RequestScheduler>>, settings: ServiceSettings) -> Arc<RequestScheduler> {
    RequestScheduler::reuse_or_create(previous, ("a".into(), settings), Clock::new(), || 7, 10_000 * MS)
}

fn record(host: u8, zone: &str, state: UpstreamState) -> EndpointRecord {
    EndpointRecord {
        inbound_proxy: inbound_proxy(host),
        incarnation: 1,
        sequence: 1,
        zone: zone.into(),
        service: "a".into(),
        upstream_id: format!("i-{host}"),
        software_version: "v1".into(),
        state,
        concurrency_limit: 6,
        warming_up_ms: 0,
        calls_services: false,
        accepts_clients: true,
        health: Default::default(),
    }
}

fn inbound_proxy(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, host], 8300))
}

fn update_endpoints(scheduler: &RequestScheduler, records: &[EndpointRecord], suspected: &[u8]) {
    let records: Vec<ReceivedRecord> =
        records.iter().map(|record| ReceivedRecord { record: record.clone(), received_at: 1 }).collect();
    let suspected: HashSet<SocketAddr> = suspected.iter().map(|host| inbound_proxy(*host)).collect();
    scheduler.update_endpoints(records.iter(), &suspected, "a");
}

fn schedule(scheduler: &Arc<RequestScheduler>, is_retry: bool) -> ScheduledRequest {
    let now = Clock::new().now();
    let mut request = RequestContext::new(0, "again-10000-1".into(), "".into(), now, now + 20_000 * MS);
    request.is_client_retry = is_retry;
    scheduler.schedule(request)
}

/// Receives the next action: the number and the upstream of an attempt, or `None` if the request is given up.
async fn next_attempt(scheduled: &mut ScheduledRequest) -> Option<(usize, String)> {
    match scheduled.actions.recv().await {
        Some(SchedulerAction::Send { attempt_number, upstream_id, .. }) => {
            scheduled.attempt_started();
            Some((attempt_number, upstream_id.to_string()))
        }
        Some(SchedulerAction::Reject { .. } | SchedulerAction::Fail) => {
            scheduled.finish();
            None
        }
        other => panic!("{other:?}"),
    }
}

/// Runs a request with one attempt that ends so, and returns the upstream that it was sent to.
async fn run_request(scheduler: &Arc<RequestScheduler>, outcome: DispatchOutcome) -> String {
    let mut scheduled = schedule(scheduler, false);
    let (attempt_number, upstream_id) = next_attempt(&mut scheduled).await.expect("sent");
    scheduled.attempt_ended(attempt_number, outcome, MS, outcome == DispatchOutcome::Done, None);
    upstream_id
}

/// Guards against requests to upstreams that accept none: draining or absent ones, and those whose node shuts down or is
/// suspected.
#[tokio::test]
async fn requests_go_only_to_upstreams_that_accept_them() {
    let scheduler = scheduler(None, service_settings(4, false));
    let mut shutting_down = record(3, "a", UpstreamState::Serving);
    shutting_down.accepts_clients = false;
    let mut without_upstream = record(6, "a", UpstreamState::Absent);
    without_upstream.upstream_id = String::new();
    let records = [
        record(1, "a", UpstreamState::Serving),
        record(2, "a", UpstreamState::Draining),
        shutting_down,
        record(4, "a", UpstreamState::Serving),
        record(5, "b", UpstreamState::Serving),
        without_upstream,
        record(7, "a", UpstreamState::Absent),
    ];
    let sent = async |suspected: &[u8]| {
        update_endpoints(&scheduler, &records, suspected);
        let mut targets = BTreeSet::new();
        for _ in 0..40 {
            targets.insert(run_request(&scheduler, DispatchOutcome::Done).await);
        }
        targets
    };
    let targets = sent(&[]).await;
    assert!(
        targets.is_superset(&["i-1".to_owned(), "i-4".into()].into()) && targets.len() <= 3,
        "{targets:?}"
    );
    assert!(targets.iter().all(|id| ["i-1", "i-4", "i-5"].contains(&&**id)), "{targets:?}");
    // Another zone takes over while all upstreams of this zone are suspected, and only then.
    assert_eq!(sent(&[1, 4]).await, ["i-5".to_owned()].into());
    let targets = sent(&[4]).await;
    assert!(targets.contains("i-1") && !targets.contains("i-4"), "{targets:?}");
    // No upstream is left.
    update_endpoints(&scheduler, &records, &[1, 4, 5]);
    let mut scheduled = schedule(&scheduler, false);
    let action = scheduled.actions.try_recv();
    assert!(!matches!(action, Ok(SchedulerAction::Send { .. })), "{action:?}");
    assert_eq!(
        scheduler.endpoint(&"i-5".into()).map(|endpoint| endpoint.inbound_proxy),
        Some(inbound_proxy(5))
    );
}

/// Guards against sending a request twice to an inbound proxy that rejected it, and against rejections that use up the retry
/// budget.
#[tokio::test]
async fn a_rejected_request_goes_to_other_upstreams_without_using_the_retry_budget() {
    let scheduler = scheduler(None, service_settings(4, false));
    update_endpoints(&scheduler, &[1, 2, 3].map(|host| record(host, "a", UpstreamState::Serving)), &[]);
    for _ in 0..20 {
        let mut scheduled = schedule(&scheduler, false);
        let mut targets = BTreeSet::new();
        while let Some((attempt_number, upstream_id)) = next_attempt(&mut scheduled).await {
            assert!(targets.insert(upstream_id), "twice to the same upstream");
            scheduled.attempt_ended(attempt_number, DispatchOutcome::Rejected, MS, false, None);
        }
        assert!(targets.len() >= 2, "{targets:?}");
    }
    assert_eq!(scheduler.attempt_counts(), AttemptCounts { first: 20, retried: 0, denied: 0 });
}

/// Guards against a member's scheduler that increases a service's retry budget or uses others' shares of it, however often the
/// member's policy instance is replaced.
#[tokio::test]
async fn schedulers_of_one_service_share_one_retry_budget() {
    let records = [1, 2].map(|host| record(host, "a", UpstreamState::Serving));
    let member_settings = |max_attempts| {
        let mut settings = service_settings(1, false);
        settings.set_member("norte".into(), max_attempts);
        settings
    };
    let share = MemberShares { member: "norte".into(), retry: 0.25, concurrency: 0.5 };
    let shares = Arc::new([(share.member.clone(), Arc::new(share))].into());
    let pool = Arc::new(Mutex::new(RetryPool::default()));
    lock(&pool).set_shares(1, &shares);
    let with_pool = |scheduler: Arc<RequestScheduler>| {
        update_endpoints(&scheduler, &records, &[]);
        scheduler.set_pool(Some(&pool));
        scheduler
    };
    let platform = with_pool(scheduler(None, service_settings(1, false)));
    let mut norte = with_pool(scheduler(None, member_settings(2)));
    let fail_request = async |scheduler: &Arc<RequestScheduler>| {
        let mut scheduled = schedule(scheduler, false);
        let (attempt_number, _) = next_attempt(&mut scheduled).await.expect("sent");
        scheduled.attempt_ended(attempt_number, DispatchOutcome::Reset, MS, false, None);
        let retry = next_attempt(&mut scheduled).await;
        if let Some((attempt_number, _)) = retry {
            scheduled.attempt_ended(attempt_number, DispatchOutcome::Reset, MS, true, None);
        }
        retry.is_some()
    };
    // All requests of the member fail, and its routes change repeatedly.
    for round in 0..100 {
        if round % 10 == 9 {
            norte = with_pool(scheduler(Some(norte), member_settings(2 + round)));
        }
        fail_request(&norte).await;
    }
    // The member has a quarter of the budget, which is a tenth of 100 requests plus one.
    assert_eq!(norte.attempt_counts(), AttemptCounts { first: 100, retried: 2, denied: 98 });
    // The platform has the rest, and its share for its own requests.
    let mut retries = 0;
    for _ in 0..30 {
        retries += u32::from(fail_request(&platform).await);
    }
    assert!((9..=10).contains(&retries), "{retries}");
    // Without a divided budget, the scheduler's own settings apply.
    platform.set_pool(None);
    assert!(!fail_request(&platform).await);
}

/// Guards against nested calls of retried runs that aren't counted as retries, and against reported counts that differ from
/// those of the policy.
#[tokio::test]
async fn nested_calls_of_retried_runs_use_the_retry_budget() {
    let records = [1, 2].map(|host| record(host, "a", UpstreamState::Serving));
    let fail_request = async |scheduler: &Arc<RequestScheduler>| {
        let mut scheduled = schedule(scheduler, false);
        let (attempt_number, _) = next_attempt(&mut scheduled).await.expect("sent");
        scheduled.attempt_ended(attempt_number, DispatchOutcome::Reset, MS, false, None);
        next_attempt(&mut scheduled).await.is_some()
    };
    // A proxy that has sent little may make one retry in a window.
    let fresh = scheduler(None, service_settings(1, false));
    update_endpoints(&fresh, &records, &[]);
    assert!(fail_request(&fresh).await);
    assert!(!fail_request(&fresh).await);
    assert_eq!(fresh.attempt_counts(), AttemptCounts { first: 2, retried: 1, denied: 1 });
    // A nested call of a retried run uses that one.
    let with_nested_call = scheduler(None, service_settings(1, false));
    update_endpoints(&with_nested_call, &records, &[]);
    let mut nested_call = schedule(&with_nested_call, true);
    let (attempt_number, _) = next_attempt(&mut nested_call).await.expect("sent");
    nested_call.attempt_ended(attempt_number, DispatchOutcome::Done, MS, true, None);
    assert!(!fail_request(&with_nested_call).await);
    assert_eq!(with_nested_call.attempt_counts(), AttemptCounts { first: 2, retried: 1, denied: 1 });
    // If the service calls others itself, its errors aren't retried, even within the budget.
    let calling_service = scheduler(Some(with_nested_call), service_settings(1, true));
    update_endpoints(&calling_service, &records, &[]);
    let mut scheduled = schedule(&calling_service, false);
    let (attempt_number, _) = next_attempt(&mut scheduled).await.expect("sent");
    scheduled.attempt_ended(attempt_number, DispatchOutcome::Error, MS, false, None);
    assert_eq!(next_attempt(&mut scheduled).await, None);
    // Attempts that were counted before the policy instance was replaced are still reported.
    assert_eq!(calling_service.attempt_counts(), AttemptCounts { first: 3, retried: 1, denied: 1 });
}
