//! The desk by itself: what the module is told of the list, and what is counted of its allowance.

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

/// One service, whose reqs may run more than once.
fn told(gates: usize, calls: bool) -> ServiceSettings {
    let route = r#"{"category":"routes","label":{"name":"r"},"manifest":{"depot":"one.example","lane_prefix":"/",
        "route_kind":"resendable","deadline_ms":20000,"target_ms":10000,"post_class":1,"line":"a","tries":2}}"#;
    let line = r#"{"category":"mail_lines","label":{"name":"a"},"manifest":{"health":"/h","berth_cap":9}}"#;
    let text = format!(r#"{{"edition":"r1","consignments":[{route},{line}]}}"#);
    let configuration = Configuration::read(text.as_bytes()).expect("a timetable");
    ServiceSettings::new(
        &SchedulerPlan::for_configuration(&configuration)[0],
        gates,
        calls,
        &OperatingBounds::default(),
    )
}

fn scheduler(was: Option<Arc<RequestScheduler>>, told: ServiceSettings) -> Arc<RequestScheduler> {
    RequestScheduler::of(was, ("a".into(), told), Clock::new(), || 7, 10_000 * MS)
}

fn record(host: u8, zone: &str, stand: UpstreamState) -> EndpointRecord {
    EndpointRecord {
        inbound_proxy: door(host),
        incarnation: 1,
        sequence: 1,
        zone: zone.into(),
        service: "a".into(),
        upstream_id: format!("i-{host}"),
        software_version: "v1".into(),
        state: stand,
        concurrency_limit: 6,
        warming_up_ms: 0,
        calls_services: false,
        accepts_clients: true,
        health: Default::default(),
    }
}

fn door(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, host], 8300))
}

fn list(scheduler: &RequestScheduler, records: &[EndpointRecord], suspected: &[u8]) {
    let records: Vec<ReceivedRecord> =
        records.iter().map(|record| ReceivedRecord { record: record.clone(), received_at: 1 }).collect();
    let suspected: HashSet<SocketAddr> = suspected.iter().map(|host| door(*host)).collect();
    scheduler.update_endpoints(records.iter(), &suspected, "a");
}

fn take(scheduler: &Arc<RequestScheduler>, again: bool) -> ScheduledRequest {
    let now = Clock::new().now();
    let mut req = RequestContext::new(0, "again-10000-1".into(), "".into(), now, now + 20_000 * MS);
    req.is_client_retry = again;
    scheduler.schedule(req)
}

/// Where it goes next, if it goes.
async fn goes(scheduled: &mut ScheduledRequest) -> Option<(usize, String)> {
    match scheduled.actions.recv().await {
        Some(SchedulerAction::Send { number, srv, .. }) => {
            scheduled.attempt_started();
            Some((number, srv.to_string()))
        }
        Some(SchedulerAction::Reject { .. } | SchedulerAction::Fail) => {
            scheduled.finish();
            None
        }
        other => panic!("{other:?}"),
    }
}

async fn one(scheduler: &Arc<RequestScheduler>, how: DispatchOutcome) -> String {
    let mut scheduled = take(scheduler, false);
    let (number, srv) = goes(&mut scheduled).await.expect("sent");
    scheduled.attempt_ended(number, how, MS, how == DispatchOutcome::Done, None);
    srv
}

/// Guards against reqs for upstreams that take none: closing, gone, beside an attendant that leaves or is quiet.
#[tokio::test]
async fn the_module_sends_only_to_those_that_take_reqs() {
    let scheduler = scheduler(None, told(4, false));
    let mut leaving = record(3, "a", UpstreamState::Serving);
    leaving.accepts_clients = false;
    let mut none = record(6, "a", UpstreamState::Absent);
    none.upstream_id = String::new();
    let records = [
        record(1, "a", UpstreamState::Serving),
        record(2, "a", UpstreamState::Draining),
        leaving,
        record(4, "a", UpstreamState::Serving),
        record(5, "b", UpstreamState::Serving),
        none,
        record(7, "a", UpstreamState::Absent),
    ];
    let sent = async |suspected: &[u8]| {
        list(&scheduler, &records, suspected);
        let mut to = BTreeSet::new();
        for _ in 0..40 {
            to.insert(one(&scheduler, DispatchOutcome::Done).await);
        }
        to
    };
    let near = sent(&[]).await;
    assert!(near.is_superset(&["i-1".to_owned(), "i-4".into()].into()) && near.len() <= 3, "{near:?}");
    assert!(near.iter().all(|id| ["i-1", "i-4", "i-5"].contains(&&**id)), "{near:?}");
    // Another zone takes over once none of this one is heard, and gives it back.
    assert_eq!(sent(&[1, 4]).await, ["i-5".to_owned()].into());
    let back = sent(&[4]).await;
    assert!(back.contains("i-1") && !back.contains("i-4"), "{back:?}");
    // Nobody is left.
    list(&scheduler, &records, &[1, 4, 5]);
    let mut scheduled = take(&scheduler, false);
    let step = scheduled.actions.try_recv();
    assert!(!matches!(step, Ok(SchedulerAction::Send { .. })), "{step:?}");
    assert_eq!(scheduler.endpoint(&"i-5".into()).map(|place| place.inbound_proxy), Some(door(5)));
}

/// Guards against a door asked twice for one req, and against turned reqs that use up the allowance.
#[tokio::test]
async fn one_that_is_turned_away_goes_to_others_at_no_cost() {
    let scheduler = scheduler(None, told(4, false));
    list(&scheduler, &[1, 2, 3].map(|host| record(host, "a", UpstreamState::Serving)), &[]);
    for _ in 0..20 {
        let mut scheduled = take(&scheduler, false);
        let mut to = BTreeSet::new();
        while let Some((number, srv)) = goes(&mut scheduled).await {
            assert!(to.insert(srv), "twice to the same");
            scheduled.attempt_ended(number, DispatchOutcome::Rejected, MS, false, None);
        }
        assert!(to.len() >= 2, "{to:?}");
    }
    assert_eq!(scheduler.attempt_counts(), AttemptCounts { first: 20, retried: 0, denied: 0 });
}

/// Guards against a member's desk that adds to what a service's reqs may be sent again, or takes others' part of it;
/// that holds however often its module begins anew.
#[tokio::test]
async fn desks_of_one_service_have_what_one_would_have() {
    let records = [1, 2].map(|host| record(host, "a", UpstreamState::Serving));
    let member = |tries| {
        let mut told = told(1, false);
        told.of_member("norte".into(), tries);
        told
    };
    let share = MemberShares { member: "norte".into(), retry: 0.25, concurrency: 0.5 };
    let shares = Arc::new([(share.member.clone(), Arc::new(share))].into());
    let pool = Arc::new(Mutex::new(RetryPool::default()));
    lock(&pool).set_shares(1, &shares);
    let draws = |scheduler: Arc<RequestScheduler>| {
        list(&scheduler, &records, &[]);
        scheduler.set_pool(Some(&pool));
        scheduler
    };
    let plain = draws(scheduler(None, told(1, false)));
    let mut norte = draws(scheduler(None, member(2)));
    let fails = async |scheduler: &Arc<RequestScheduler>| {
        let mut scheduled = take(scheduler, false);
        let (number, _) = goes(&mut scheduled).await.expect("sent");
        scheduled.attempt_ended(number, DispatchOutcome::Reset, MS, false, None);
        let again = goes(&mut scheduled).await;
        if let Some((number, _)) = again {
            scheduled.attempt_ended(number, DispatchOutcome::Reset, MS, true, None);
        }
        again.is_some()
    };
    // All of the member's fail, and its routes change all the time.
    for round in 0..100 {
        if round % 10 == 9 {
            norte = draws(scheduler(Some(norte), member(2 + round)));
        }
        fails(&norte).await;
    }
    // A quarter of a tenth of a hundred, and of one.
    assert_eq!(norte.attempt_counts(), AttemptCounts { first: 100, retried: 2, denied: 98 });
    // The platform has the rest of it, and of what it sends itself.
    let mut again = 0;
    for _ in 0..30 {
        again += u32::from(fails(&plain).await);
    }
    assert!((9..=10).contains(&again), "{again}");
    // With nothing divided any more it goes by its own.
    plain.set_pool(None);
    assert!(!fails(&plain).await);
}

/// Guards against calls of runs that were sent again and that are not counted as such, and against counts that differ
/// from what the module goes by.
#[tokio::test]
async fn calls_of_runs_sent_again_use_up_the_allowance() {
    let records = [1, 2].map(|host| record(host, "a", UpstreamState::Serving));
    let fails = async |scheduler: &Arc<RequestScheduler>| {
        let mut scheduled = take(scheduler, false);
        let (number, _) = goes(&mut scheduled).await.expect("sent");
        scheduled.attempt_ended(number, DispatchOutcome::Reset, MS, false, None);
        goes(&mut scheduled).await.is_some()
    };
    // One may be sent again in a window at a gate that has sent little.
    let fresh = scheduler(None, told(1, false));
    list(&fresh, &records, &[]);
    assert!(fails(&fresh).await);
    assert!(!fails(&fresh).await);
    assert_eq!(fresh.attempt_counts(), AttemptCounts { first: 2, retried: 1, denied: 1 });
    // A call of a run that was sent again has taken that.
    let called = scheduler(None, told(1, false));
    list(&called, &records, &[]);
    let mut call = take(&called, true);
    let (number, _) = goes(&mut call).await.expect("sent");
    call.attempt_ended(number, DispatchOutcome::Done, MS, true, None);
    assert!(!fails(&called).await);
    assert_eq!(called.attempt_counts(), AttemptCounts { first: 2, retried: 1, denied: 1 });
    // Where it calls others itself its errors are not ours to send again, whatever is allowed.
    let middle = scheduler(Some(called), told(1, true));
    list(&middle, &records, &[]);
    let mut scheduled = take(&middle, false);
    let (number, _) = goes(&mut scheduled).await.expect("sent");
    scheduled.attempt_ended(number, DispatchOutcome::Error, MS, false, None);
    assert_eq!(goes(&mut scheduled).await, None);
    // What was counted before the module began anew is still told.
    assert_eq!(middle.attempt_counts(), AttemptCounts { first: 3, retried: 1, denied: 1 });
}
