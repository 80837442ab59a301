//! Tests of members, which manage their own routes on a platform: three stewards and four attendants as processes on
//! loopback. Each member has its own path prefix, and a key whose hash is in the register.

#[allow(dead_code)]
#[path = "mesh/federation.rs"]
mod federation;
mod helper;
#[allow(dead_code)]
#[path = "mesh/mesh_cluster.rs"]
mod mesh_cluster;

use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::Duration;

use federation::*;
use helper::wait_until;
use mesh_cluster::*;

/// A document whose routes are all resendable.
fn resendable_routes(member: &str, edition: u64, extra_fields: &str, routes: &[(&str, &str)]) -> String {
    let routes: Vec<_> =
        routes.iter().map(|(path, service)| (*path, "resendable", *service, 6_000)).collect();
    member_document(member, edition, extra_fields, &routes)
}

/// A field of `norte`'s status at a steward.
fn status_field(cluster: &MeshCluster, steward: usize, field: &str) -> serde_json::Value {
    let response = call_as_member(cluster, steward, "status", "norte", "norte-key", "");
    let page: serde_json::Value = serde_json::from_str(response.text()).unwrap_or_default();
    page[field].clone()
}

/// Guards against a change that is in force at some proxies only, against a key that changes another member's routes,
/// and against routes that exceed the platform's current grants or are lost when the stewards restart.
#[test]
fn a_members_change_is_in_force_everywhere_within_the_platforms_grants() {
    let mut cluster = MeshCluster::start_default();
    replace_member_register(&cluster, &member_register(1, r#""alpha","omega""#, r#""routes":10"#));
    let first = resendable_routes("norte", 1, "", &[("a", "alpha"), ("o", "omega")]);
    submit_change(&cluster, "replace", "norte", "norte-key", &first);
    ["/norte/a/x", "/norte/o/x"].iter().for_each(|path| cluster.wait_until_in_force(path));
    for steward in 0..STEWARD_COUNT {
        wait_until("all nodes report the edition", || {
            let nodes = status_field(&cluster, steward, "nodes");
            let all = nodes.as_array().cloned().unwrap_or_default();
            all.len() == 4 && all.iter().all(|node| node["edition"] == "r1" && node["trial"] == false)
        });
    }
    // Wrong keys and other members' keys are rejected, and the responses do not reveal which members exist.
    let foreign_document = resendable_routes("norte", 9, "", &[("theirs", "alpha")]);
    for (member, key) in
        [("norte", "sul-key"), ("norte", ""), ("norte", "norte-keyy"), ("nobody", "norte-key")]
    {
        for (verb, body) in
            [("replace", &*foreign_document), ("read", ""), ("status", ""), ("plan", &foreign_document)]
        {
            assert_eq!(
                call_as_member(&cluster, 0, verb, member, key, body).status(),
                "401",
                "{verb} of {member} with {key:?}"
            );
        }
    }
    // A document that exceeds the grants is rejected as a whole, with the location of the fault.
    let out_of_bounds = resendable_routes("norte", 2, "", &[("b", "alpha"), ("../sul/x", "alpha")])
        .replace("/norte/../", "/");
    let rejection = call_as_member(&cluster, 0, "replace", "norte", "norte-key", &out_of_bounds);
    assert_eq!((rejection.status(), rejection.text().lines().count()), ("400", 1), "{}", rejection.text());
    assert!(rejection.text().starts_with("routes[1]"), "{}", rejection.text());
    assert_eq!(call_as_member(&cluster, 2, "read", "norte", "norte-key", "").text(), first);
    // The platform revokes one service: routes to it disappear at every proxy, and the others remain.
    replace_member_register(&cluster, &member_register(2, r#""alpha""#, r#""routes":10"#));
    for proxy in cluster.outbound_proxies() {
        wait_until("the route is removed", || send_get(proxy, "/norte/o/x").status() == "404");
        assert_eq!(send_get(proxy, "/norte/a/x").status(), "200");
    }
    wait_until("the removed route is reported", || {
        status_field(&cluster, 1, "trims").to_string().contains("omega")
    });
    // The document survives a restart of all stewards at once, and a restarted attendant without state gets it.
    cluster.stewards.iter_mut().for_each(MeshProcess::kill);
    cluster.stewards.iter_mut().for_each(MeshProcess::restart);
    cluster.attendants[0].kill();
    cluster.attendants[0].restart();
    wait_until("the document is read back", || {
        call_as_member(&cluster, 0, "read", "norte", "norte-key", "").text() == first
    });
    wait_until("the attendant is ready", || cluster.readiness_status(0) == "200");
    cluster.wait_until_in_force("/norte/a/x");
    cluster
        .outbound_proxies()
        .iter()
        .for_each(|proxy| assert_eq!(send_get(*proxy, "/norte/o/x").status(), "404"));
}

/// Guards against a member that delays others' changes by changing its own routes continuously.
#[test]
fn one_members_flood_of_changes_does_not_delay_anothers_change() {
    let cluster = MeshCluster::start_default();
    replace_member_register(&cluster, &member_register(1, r#""alpha""#, r#""routes":10"#));
    wait_until("the stewards know the members' keys", || {
        (0..STEWARD_COUNT).all(|steward| status_field(&cluster, steward, "nodes").is_array())
    });
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        let flood = |steward: usize| {
            let (cluster, is_over) = (&cluster, &is_over);
            move || {
                let (mut edition, mut rejected) = (1, 0);
                while edition < 2_000 && (!is_over.load(Relaxed) || rejected == 0) {
                    let body = resendable_routes("sul", edition, "", &[("a", "alpha")]);
                    let response = call_as_member(cluster, steward, "replace", "sul", "sul-key", &body);
                    edition += 1;
                    if response.status() == "429" {
                        let retry_after_s: u64 = response.header("retry-after").parse().expect("seconds");
                        assert!((1..=61).contains(&retry_after_s), "{retry_after_s}");
                        rejected += 1;
                    }
                }
                rejected
            }
        };
        let floods: Vec<_> = (0..STEWARD_COUNT).map(|steward| scope.spawn(flood(steward))).collect();
        for edition in 1..=8 {
            let path = format!("p{edition}");
            let body = resendable_routes("norte", edition, "", &[(&path, "alpha")]);
            let response = call_as_member(
                &cluster,
                edition as usize % STEWARD_COUNT,
                "replace",
                "norte",
                "norte-key",
                &body,
            );
            assert_eq!(response.status(), "200", "{}", response.text());
            cluster.wait_until_in_force(&format!("/norte/{path}/x"));
        }
        is_over.store(true, Relaxed);
        floods.into_iter().for_each(|flood| assert!(flood.join().expect("a flood of changes") > 0));
    });
}

/// Guards against a trial that never ends, and against a withdrawn one that is started again.
#[test]
fn a_trial_settles_automatically_or_is_withdrawn_permanently() {
    let cluster = MeshCluster::start_default();
    replace_member_register(&cluster, &member_register(1, r#""alpha""#, r#""trial_s":2"#));
    wait_until("the stewards know the members' keys", || {
        (0..STEWARD_COUNT).all(|steward| status_field(&cluster, steward, "nodes").is_array())
    });
    submit_change(
        &cluster,
        "replace",
        "norte",
        "norte-key",
        &resendable_routes("norte", 1, "", &[("one", "alpha")]),
    );
    cluster.wait_until_in_force("/norte/one/x");
    let trial = |edition, path| resendable_routes("norte", edition, r#""trial":0.5,"#, &[(path, "alpha")]);
    let response = submit_change(&cluster, "replace", "norte", "norte-key", &trial(2, "two"));
    assert!(response.text().contains(r#""state":"trial""#), "{}", response.text());
    cluster.wait_until_in_force("/norte/two/x");
    wait_until("the trial is settled", || {
        status_field(&cluster, 0, "settled") == "r2" && status_field(&cluster, 0, "trial").is_null()
    });
    // This trial lasts for a day, so that it is withdrawn before it could be settled.
    replace_member_register(&cluster, &member_register(2, r#""alpha""#, r#""trial_s":86400"#));
    submit_change(&cluster, "replace", "norte", "norte-key", &trial(3, "three"));
    wait_until("the trial has started", || status_field(&cluster, 0, "trial") == "r3");
    submit_change(&cluster, "withdraw", "norte", "norte-key", "");
    cluster.wait_until_in_force("/norte/two/x");
    for proxy in cluster.outbound_proxies() {
        wait_until("the route of the trial is removed", || {
            send_get(proxy, "/norte/three/x").status() == "404"
        });
    }
    assert_eq!(
        call_as_member(&cluster, 0, "replace", "norte", "norte-key", &trial(3, "three")).status(),
        "409"
    );
    // Undo restores the edition settled before, as the next edition.
    let response = submit_change(&cluster, "undo", "norte", "norte-key", "");
    assert!(response.text().contains(r#""edition":"r4""#), "{}", response.text());
    cluster.wait_until_in_force("/norte/one/x");
}

/// Guards against operations of a member that are lost, run twice or answered with another run's response while another
/// member changes its routes, partly with invalid documents, its requests fail and hang, and stewards are killed in
/// turn.
#[test]
fn one_members_changes_and_faults_do_not_affect_anothers_operations() {
    let duration = Duration::from_secs(6);
    let scenario =
        FederationScenario { seed: 7, duration, clients_per_proxy: 2, has_changes: true, has_faults: true };
    let result = scenario.run();
    assert_eq!((result.lost, result.duplicated, result.mismatched), (0, 0, 0), "{result:?}");
    assert!(
        result.operations >= 100 && result.accepted_changes >= 1 && result.rejected_changes >= 1,
        "{result:?}"
    );
}

/// Sets the flag on drop, also during a panic.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Relaxed);
    }
}

/// Guards against a failing trial that is settled, and against a withdrawal of one that performs as well as the settled
/// routes.
#[test]
fn a_trial_whose_requests_fail_is_withdrawn_automatically() {
    let cluster = MeshCluster::start_default();
    replace_member_register(&cluster, &member_register(1, r#""alpha","omega""#, r#""trial_s":40"#));
    submit_change(
        &cluster,
        "replace",
        "norte",
        "norte-key",
        &resendable_routes("norte", 1, "", &[("go", "alpha")]),
    );
    cluster.wait_until_in_force("/norte/go/x");
    // Finds an edition whose trial includes some of the nodes and not all. Which nodes it includes depends on their
    // addresses, and these differ from run to run.
    let count_trial_nodes = |edition: &u64| {
        let inbound_proxies =
            (0..cluster.outbound_proxies().len()).map(|nth| cluster.attendant_addresses(nth)[1]);
        inbound_proxies
            .filter(|proxy| ochreshed_catalog::overlay::is_in_canary(*proxy, "norte", *edition, 0.5))
            .count()
    };
    let is_partial =
        |edition: &u64| (1..cluster.outbound_proxies().len()).contains(&count_trial_nodes(edition));
    let edition = (2..100).find(is_partial).expect("an edition whose trial includes some nodes");
    // The trial routes to a service whose only upstream fails every other request.
    cluster.upstreams[3].set_fault(UpstreamFault::HalfFailing);
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        // Stops the clients also if an assertion fails.
        let _stop_clients = SetOnDrop(&is_over);
        for proxy in cluster.outbound_proxies() {
            let is_over = &is_over;
            scope.spawn(move || {
                while !is_over.load(Relaxed) {
                    send_get(proxy, "/norte/go/x");
                }
            });
        }
        let trial = resendable_routes("norte", edition, r#""trial":0.5,"#, &[("go", "omega")]);
        submit_change(&cluster, "replace", "norte", "norte-key", &trial);
        wait_until("the trial is withdrawn", || {
            status_field(&cluster, 0, "withdrawn") == format!("r{edition}")
        });
    });
    assert_eq!(
        (status_field(&cluster, 0, "settled"), status_field(&cluster, 0, "trial").is_null()),
        ("r1".into(), true)
    );
    let trial_runs = cluster
        .run_log
        .runs_where(|run| run.service == "omega" && run.request.start_line.contains("/norte/go/"))
        .len();
    assert!(trial_runs > 0);
    for proxy in cluster.outbound_proxies() {
        wait_until("the settled route is in force again", || {
            let response = send_get(proxy, "/norte/go/x");
            response.status() == "200"
                && cluster.run_log.runs_by_id(response.header(REQUEST_ID_HEADER))[0].service == "alpha"
        });
    }
    // The withdrawn edition is not accepted again; a later edition starts a new trial.
    assert_eq!(
        call_as_member(
            &cluster,
            1,
            "replace",
            "norte",
            "norte-key",
            &resendable_routes("norte", edition, "", &[])
        )
        .status(),
        "409"
    );
    cluster.upstreams[3].set_fault(UpstreamFault::None);
    submit_change(
        &cluster,
        "replace",
        "norte",
        "norte-key",
        &resendable_routes("norte", edition + 1, r#""trial":0.5,"#, &[("go", "omega")]),
    );
    wait_until("the trial has started", || status_field(&cluster, 0, "trial") == format!("r{}", edition + 1));
}
