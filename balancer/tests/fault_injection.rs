//! Troubles of upstreams, clients and operators brought about in the small mesh of `mesh/mesh_cluster.rs`: what clients may see
//! of them, and what must never come of them. It must rest on the ledger of what ran, never on how long something takes.
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

fn runs(cluster: &MeshCluster, of: &Upstream, since: Instant) -> usize {
    let name = of.name();
    cluster.ledger.runs(|run| run.by == name && run.at >= since).len()
}

/// Guards against one slow upstream that takes all clients with it: no more come to it than it has slots, the others'
/// answers go on, and those that it has are answered when it is done.
#[test]
fn a_slow_upstream_holds_no_more_than_its_slots() {
    let cluster = MeshCluster::start();
    let slow = &cluster.upstreams[0];
    slow.has(Trouble::Slow);
    let (since, answered) = (Instant::now(), AtomicUsize::new(0));
    let gates = cluster.gates();
    thread::scope(|scope| {
        let client = |nth: usize| {
            let (gate, answered) = (gates[nth % gates.len()], &answered);
            move || {
                for _ in 0..20 {
                    let id = new_id();
                    let answer = insisted(gate, "GET /read/x", "", b"").1;
                    assert_eq!(answer.status(), "200", "{id}: {answer:?}");
                    answered.fetch_add(1, Relaxed);
                }
            }
        };
        (0..40).for_each(|nth| drop(scope.spawn(client(nth))));
        wait_until("its slots taken", || runs(&cluster, slow, since) == SLOTS);
        // All of the other clients get all of theirs meanwhile.
        wait_until("the others answered", || answered.load(Relaxed) >= (40 - 2 * SLOTS) * 20);
        assert_eq!(runs(&cluster, slow, since), SLOTS);
        cluster.ledger.release.store(true, Relaxed);
    });
    assert_eq!(answered.load(Relaxed), 800);
}

/// Guards against failures that are sent on to clients where another upstream would do, against sending them again
/// without bound, and against a second run of a req that may run once.
#[test]
fn a_grey_upstream_costs_few_answers_and_nothing_runs_twice_that_must_not() {
    let cluster = MeshCluster::start();
    cluster.replace(0, &timetable(2, &route("/once/", "once_only", "alpha")));
    cluster.until_in_force("/once/x");
    let (gates, grey) = (cluster.gates(), &cluster.upstreams[1]);
    grey.has(Trouble::Grey);
    let asked = |gates: &[SocketAddr], path: &str| {
        let (mut broken, mut sent) = (0, HashSet::new());
        for nth in 0..300 {
            let (id, answer) = insisted(gates[nth % gates.len()], &format!("GET {path}"), "", b"");
            broken += usize::from(answer.status() == "500");
            assert!(["200", "500"].contains(&answer.status()), "{answer:?}");
            sent.insert(id);
        }
        let runs = cluster.ledger.runs(|run| sent.contains(run.req.field(ID)));
        let by_grey: HashSet<_> =
            runs.iter().filter(|run| run.by == grey.id).map(|run| run.req.field(ID)).collect();
        let others = runs.iter().filter(|run| run.by != grey.id).count();
        assert_eq!(by_grey.len() + others, runs.len(), "none came to it twice");
        (broken, by_grey.len(), runs.len() - 300)
    };
    // What failed runs once more, elsewhere, within a tenth and one a gate.
    let (broken, by_grey, again) = asked(&gates[..3], "/read/x");
    assert!((1..=33).contains(&again), "{by_grey} of it, {again} again, {broken} broken");
    assert!(broken + again <= by_grey / 2 + 1, "{by_grey} of it, {again} again, {broken} broken");
    let (broken, by_grey, again) = asked(&gates[3..], "/once/x");
    assert_eq!(again, 0, "{by_grey} of it, {broken} broken");
    assert!(broken >= 1, "{by_grey} of it");
}

/// Guards against reqs lost to an upstream that goes and comes by turns, under its name and under new ones, and against
/// one that is not used again.
#[test]
fn an_upstream_that_goes_and_comes_by_turns_loses_nothing_and_is_used_again() {
    let cluster = MeshCluster::start();
    let load = Load::on(&cluster.gates(), "/read/x");
    let flaps = &cluster.upstreams[2];
    for turn in 0..5 {
        flaps.has(Trouble::Down);
        let since = Instant::now();
        load.go_on(150);
        if turn % 2 == 1 {
            flaps.new_life();
        }
        flaps.has(Trouble::Nothing);
        wait_until("used again", || runs(&cluster, flaps, since) >= 10);
    }
    load.end();
}

/// Guards against an answer that is cut short and looks whole, short or long.
#[test]
fn an_answer_cut_short_is_never_told_as_a_whole_one() {
    let cluster = MeshCluster::start();
    cluster.replace(0, &timetable(2, &route("/once/", "once_only", "alpha")));
    cluster.until_in_force("/once/x");
    cluster.upstreams.iter().take(3).for_each(|upstream| upstream.has(Trouble::Cuts));
    for gate in cluster.gates() {
        let (id, answer) = insisted(gate, "GET /once/x", "", b"");
        let ran = cluster.ledger.of_id(&id).len();
        assert_eq!((answer.status(), ran), ("502", 1), "{answer:?}");
        let (id, answer) = insisted(gate, "GET /read/x", "", b"");
        assert_eq!(answer.status(), "502", "{answer:?}");
        assert!(cluster.ledger.of_id(&id).len() <= 2);
        // A long one has begun: its client sees the end of the connection before the length that it was told.
        let long = call(gate, &req("GET /large/large", &new_id(), "", b""));
        assert!(
            long.as_ref().is_err() || long.as_ref().is_ok_and(|answer| answer.status() == "502"),
            "{long:?}"
        );
    }
    cluster.upstreams.iter().for_each(|upstream| upstream.has(Trouble::Nothing));
    let whole = || call(cluster.gate(0), &req("GET /large/large", &new_id(), "", b""));
    wait_until("whole again", || whole().is_ok_and(|answer| answer.body == large()));
}

/// Guards against refusals that come when nobody waits for them any more, and against more at once than the upstreams
/// have slots: with all of them at a standstill, whatever does not fit is told to come back.
#[test]
fn a_burst_is_refused_while_the_upstreams_stand_still_with_a_time_to_come_back() {
    let cluster = MeshCluster::start();
    let (gates, refused) = (cluster.gates(), AtomicUsize::new(0));
    let ids: Vec<String> = (0..160).map(|_| new_id()).collect();
    thread::scope(|scope| {
        let client = |nth: usize| {
            let (gate, refused, id) = (gates[nth % gates.len()], &refused, &ids[nth]);
            move || {
                let answer = call(gate, &req("GET /read/held", id, "", b"")).expect("an answer");
                if answer.status() == "503" {
                    let back: f64 = answer.field("retry-after").parse().expect("when to come back");
                    assert!((0.01..=2.0).contains(&back), "{answer:?}");
                    refused.fetch_add(1, Relaxed);
                } else {
                    assert_eq!((answer.status(), answer.text()), ("200", &*said(id)));
                }
            }
        };
        (0..ids.len()).for_each(|nth| drop(scope.spawn(client(nth))));
        // Not one run has ended yet. Some wait at doors.
        wait_until("refused", || refused.load(Relaxed) >= ids.len() - 3 * SLOTS * 3);
        let ran = cluster.ledger.runs(|run| ids.iter().any(|id| id == run.req.field(ID))).len();
        assert!(ran <= 3 * SLOTS, "{ran} at once");
        cluster.ledger.release.store(true, Relaxed);
    });
    let ran = cluster.ledger.runs(|run| ids.iter().any(|id| id == run.req.field(ID))).len();
    assert_eq!(ran + refused.load(Relaxed), ids.len(), "what was refused has not run, the rest once");
}

/// Guards against a large configuration that is in force in part, or not at all gates.
#[test]
fn a_thousand_routes_are_in_force_at_all_gates_as_one() {
    let cluster = MeshCluster::start();
    let routes = |count: usize, line: &str| {
        let all = (0..count).map(|nth| route(&format!("/many/{nth:04}/"), "resendable", line));
        all.collect::<Vec<_>>().join(",")
    };
    cluster.replace(0, &timetable(2, &routes(650, "alpha")));
    cluster.until_in_force("/many/0649/x");
    let body = timetable(3, &routes(1_000, "omega"));
    let (gates, of) = (cluster.gates(), &cluster);
    thread::scope(|scope| {
        for gate in &gates {
            scope.spawn(move || {
                // The first route goes to the other service once the last one is there, not before and not later.
                wait_until("in force as one", || {
                    let before = get(*gate, "/many/0999/x").status() == "200";
                    let (id, answer) = insisted(*gate, "GET /many/0000/x", "", b"");
                    let after = get(*gate, "/many/0999/x").status() == "200";
                    let by = town_line(of, &id);
                    assert_eq!(answer.status(), "200", "{answer:?}");
                    assert!(!before || by == "omega", "the last is there and the first is not");
                    assert!(after || by == "alpha", "the first is there and the last is not");
                    before
                });
            });
        }
        cluster.replace(1, &body);
    });
    (0..STEWARDS).for_each(|steward| cluster.until_reads(steward, &body));
}

fn town_line(cluster: &MeshCluster, id: &str) -> &'static str {
    cluster.ledger.of_id(id).last().map_or("", |run| run.line)
}
