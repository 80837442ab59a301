//! Tests with faults of upstreams, clients and operators in the small mesh of `mesh/mesh_cluster.rs`: what clients may
//! notice of a fault, and what must never follow from it. Checks must rely on the run log, never on how long something
//! takes.
#![allow(dead_code)]

mod helper;
#[path = "mesh/mesh_cluster.rs"]
mod mesh_cluster;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::thread;
use std::time::Instant;

use helper::wait_until;
use mesh_cluster::*;

fn count_runs(cluster: &MeshCluster, upstream: &Upstream, since: Instant) -> usize {
    let name = upstream.name();
    cluster.run_log.runs_where(|run| run.upstream == name && run.started_at >= since).len()
}

/// Guards against one stalled upstream that blocks all clients: it gets no more requests than it has slots, other
/// upstreams keep responding, and the requests that it has are answered once it resumes.
#[test]
fn a_stalled_upstream_holds_no_more_requests_than_its_slots() {
    let cluster = MeshCluster::start_default();
    let stalled = &cluster.upstreams[0];
    stalled.set_fault(UpstreamFault::Stalled);
    let (stalled_at, response_count) = (Instant::now(), AtomicUsize::new(0));
    let proxies = cluster.outbound_proxies();
    thread::scope(|scope| {
        let client = |nth: usize| {
            let (proxy, response_count) = (proxies[nth % proxies.len()], &response_count);
            move || {
                for _ in 0..20 {
                    let id = new_request_id();
                    let response = send_with_retries(proxy, "GET /read/x", "", b"").1;
                    assert_eq!(response.status(), "200", "{id}: {response:?}");
                    response_count.fetch_add(1, Relaxed);
                }
            }
        };
        (0..40).for_each(|nth| drop(scope.spawn(client(nth))));
        wait_until("its slots are taken", || count_runs(&cluster, stalled, stalled_at) == UPSTREAM_SLOTS);
        // Meanwhile all other clients get all of their responses.
        wait_until("the other clients have their responses", || {
            response_count.load(Relaxed) >= (40 - 2 * UPSTREAM_SLOTS) * 20
        });
        assert_eq!(count_runs(&cluster, stalled, stalled_at), UPSTREAM_SLOTS);
        cluster.run_log.release.store(true, Relaxed);
    });
    assert_eq!(response_count.load(Relaxed), 800);
}

/// Guards against failures returned to clients although another upstream could have answered, against unbounded
/// retries, and against a second run of a request that may run only once.
#[test]
fn failures_of_a_half_failing_upstream_are_retried_within_the_budget_and_only_where_allowed() {
    let cluster = MeshCluster::start_default();
    cluster.replace_configuration(0, &configuration(2, &route_entry("/once/", "once_only", "alpha")));
    cluster.wait_until_in_force("/once/x");
    let (proxies, failing) = (cluster.outbound_proxies(), &cluster.upstreams[1]);
    failing.set_fault(UpstreamFault::HalfFailing);
    let send_300 = |proxies: &[SocketAddr], path: &str| {
        let (mut failed, mut sent) = (0, HashSet::new());
        for nth in 0..300 {
            let (id, response) =
                send_with_retries(proxies[nth % proxies.len()], &format!("GET {path}"), "", b"");
            failed += usize::from(response.status() == "500");
            assert!(["200", "500"].contains(&response.status()), "{response:?}");
            sent.insert(id);
        }
        let runs = cluster.run_log.runs_where(|run| sent.contains(run.request.header(REQUEST_ID_HEADER)));
        let by_failing: HashSet<_> = runs
            .iter()
            .filter(|run| run.upstream == failing.id)
            .map(|run| run.request.header(REQUEST_ID_HEADER))
            .collect();
        let runs_by_others = runs.iter().filter(|run| run.upstream != failing.id).count();
        assert_eq!(
            by_failing.len() + runs_by_others,
            runs.len(),
            "a request ran twice at the failing upstream"
        );
        (failed, by_failing.len(), runs.len() - 300)
    };
    // Failed requests are retried once at another upstream, up to a tenth of all requests and one more for each proxy.
    let (failed, by_failing, retried) = send_300(&proxies[..3], "/read/x");
    assert!((1..=33).contains(&retried), "{by_failing} by it, {retried} retried, {failed} failed");
    assert!(failed + retried <= by_failing / 2 + 1, "{by_failing} by it, {retried} retried, {failed} failed");
    let (failed, by_failing, retried) = send_300(&proxies[3..], "/once/x");
    assert_eq!(retried, 0, "{by_failing} by it, {failed} failed");
    assert!(failed >= 1, "{by_failing} by it");
}

/// Guards against requests lost to an upstream that repeatedly becomes unreachable and returns, under its old or a new
/// name, and against one that is not used again.
#[test]
fn a_flapping_upstream_loses_no_requests_and_is_used_again() {
    let cluster = MeshCluster::start_default();
    let load = BackgroundLoad::start(&cluster.outbound_proxies(), "/read/x");
    let flapping = &cluster.upstreams[2];
    for round in 0..5 {
        flapping.set_fault(UpstreamFault::Unreachable);
        let down_since = Instant::now();
        load.wait_for_responses(150);
        if round % 2 == 1 {
            flapping.change_name();
        }
        flapping.set_fault(UpstreamFault::None);
        wait_until("the upstream is used again", || count_runs(&cluster, flapping, down_since) >= 10);
    }
    load.stop_and_check();
}

/// Guards against truncated responses, short or long, that are delivered as complete.
#[test]
fn a_truncated_response_is_never_delivered_as_complete() {
    let cluster = MeshCluster::start_default();
    cluster.replace_configuration(0, &configuration(2, &route_entry("/once/", "once_only", "alpha")));
    cluster.wait_until_in_force("/once/x");
    cluster
        .upstreams
        .iter()
        .take(3)
        .for_each(|upstream| upstream.set_fault(UpstreamFault::TruncatedResponses));
    for proxy in cluster.outbound_proxies() {
        let (id, response) = send_with_retries(proxy, "GET /once/x", "", b"");
        let run_count = cluster.run_log.runs_by_id(&id).len();
        assert_eq!((response.status(), run_count), ("502", 1), "{response:?}");
        let (id, response) = send_with_retries(proxy, "GET /read/x", "", b"");
        assert_eq!(response.status(), "502", "{response:?}");
        assert!(cluster.run_log.runs_by_id(&id).len() <= 2);
        // The head of a long response has been sent already, so the client sees the connection end before the announced
        // length.
        let long_response =
            send_message(proxy, &request_bytes("GET /large/large", &new_request_id(), "", b""));
        assert!(
            long_response.as_ref().is_err()
                || long_response.as_ref().is_ok_and(|response| response.status() == "502"),
            "{long_response:?}"
        );
    }
    cluster.upstreams.iter().for_each(|upstream| upstream.set_fault(UpstreamFault::None));
    let fetch_large = || {
        send_message(
            cluster.outbound_proxy(0),
            &request_bytes("GET /large/large", &new_request_id(), "", b""),
        )
    };
    wait_until("long responses are complete again", || {
        fetch_large().is_ok_and(|response| response.body == large_body())
    });
}

/// Guards against rejections that arrive after clients have given up, and against more concurrent requests than the
/// upstreams have slots. While all upstreams are stalled, excess requests are rejected with a time to retry after.
#[test]
fn a_burst_beyond_the_slots_of_stalled_upstreams_is_rejected_with_retry_after() {
    let cluster = MeshCluster::start_default();
    let (proxies, rejected) = (cluster.outbound_proxies(), AtomicUsize::new(0));
    let ids: Vec<String> = (0..160).map(|_| new_request_id()).collect();
    thread::scope(|scope| {
        let client = |nth: usize| {
            let (proxy, rejected, id) = (proxies[nth % proxies.len()], &rejected, &ids[nth]);
            move || {
                let response =
                    send_message(proxy, &request_bytes("GET /read/held", id, "", b"")).expect("a response");
                if response.status() == "503" {
                    let retry_after: f64 = response.header("retry-after").parse().expect("seconds");
                    assert!((0.01..=2.0).contains(&retry_after), "{response:?}");
                    rejected.fetch_add(1, Relaxed);
                } else {
                    assert_eq!((response.status(), response.text()), ("200", &*response_text(id)));
                }
            }
        };
        (0..ids.len()).for_each(|nth| drop(scope.spawn(client(nth))));
        // No run has ended yet, and some requests are queued at inbound proxies.
        wait_until("excess requests are rejected", || {
            rejected.load(Relaxed) >= ids.len() - 3 * UPSTREAM_SLOTS * 3
        });
        let run_count = cluster
            .run_log
            .runs_where(|run| ids.iter().any(|id| id == run.request.header(REQUEST_ID_HEADER)))
            .len();
        assert!(run_count <= 3 * UPSTREAM_SLOTS, "{run_count} concurrent runs");
        cluster.run_log.release.store(true, Relaxed);
    });
    let run_count = cluster
        .run_log
        .runs_where(|run| ids.iter().any(|id| id == run.request.header(REQUEST_ID_HEADER)))
        .len();
    assert_eq!(
        run_count + rejected.load(Relaxed),
        ids.len(),
        "rejected requests must not run, and all others must run once"
    );
}

/// Guards against a large configuration that takes effect in parts, or not at all proxies.
#[test]
fn a_thousand_routes_take_effect_atomically_at_every_proxy() {
    let cluster = MeshCluster::start_default();
    let routes = |count: usize, service: &str| {
        let entries = (0..count).map(|nth| route_entry(&format!("/many/{nth:04}/"), "resendable", service));
        entries.collect::<Vec<_>>().join(",")
    };
    cluster.replace_configuration(0, &configuration(2, &routes(650, "alpha")));
    cluster.wait_until_in_force("/many/0649/x");
    let body = configuration(3, &routes(1_000, "omega"));
    let (proxies, shared_cluster) = (cluster.outbound_proxies(), &cluster);
    thread::scope(|scope| {
        for proxy in &proxies {
            scope.spawn(move || {
                // The first route changes its service exactly when the last route appears.
                wait_until("the new configuration is in force", || {
                    let has_last_before = send_get(*proxy, "/many/0999/x").status() == "200";
                    let (id, response) = send_with_retries(*proxy, "GET /many/0000/x", "", b"");
                    let has_last_after = send_get(*proxy, "/many/0999/x").status() == "200";
                    let service = service_of_last_run(shared_cluster, &id);
                    assert_eq!(response.status(), "200", "{response:?}");
                    assert!(
                        !has_last_before || service == "omega",
                        "the last route is new and the first one is old"
                    );
                    assert!(
                        has_last_after || service == "alpha",
                        "the first route is new and the last one is missing"
                    );
                    has_last_before
                });
            });
        }
        cluster.replace_configuration(1, &body);
    });
    (0..STEWARD_COUNT).for_each(|steward| cluster.wait_until_read_back(steward, &body));
}

fn service_of_last_run(cluster: &MeshCluster, id: &str) -> &'static str {
    cluster.run_log.runs_by_id(id).last().map_or("", |run| run.service)
}
