//! Tests of the mesh's roles as processes on loopback: three stewards and four attendants with stub upstreams. The
//! tests act as operators and clients.

mod helper;
#[path = "mesh/mesh_cluster.rs"]
mod mesh_cluster;

use std::sync::Barrier;
use std::sync::atomic::Ordering::Relaxed;
use std::thread;
use std::time::{Duration, Instant};

use helper::wait_until;
use mesh_cluster::*;

/// Guards against a hop that alters a request or response, trusts identity headers sent by a client, or routes to the
/// wrong service.
#[test]
fn requests_and_responses_are_forwarded_unchanged_at_every_proxy() {
    let cluster = MeshCluster::start_default();
    cluster.replace_configuration(1, &configuration(2, &route_entry("/later/", "resendable", "alpha")));
    cluster.wait_until_in_force("/later/x");
    let body: Vec<u8> = (0..100_000_u32).map(|index| index as u8).collect();
    let forged_headers = format!("{CALLER_HEADER}: nobody\r\n{ADDRESSEE_HEADER}: nobody\r\nX-More: kept\r\n");
    for (nth, proxy) in cluster.outbound_proxies().into_iter().enumerate() {
        let caller = if nth == 3 { "omega" } else { "alpha" };
        let requests =
            [("GET /read/a/2f?b=%20c", &b""[..]), ("PUT /read/b", b"short"), ("POST /read/c", &body)];
        for (start_line, body) in requests {
            let (id, response) = send_with_retries(proxy, start_line, &forged_headers, body);
            let run = cluster
                .run_log
                .runs_by_id(&id)
                .into_iter()
                .find(|run| run.stamp == response.header(STAMP_HEADER));
            let run = run.unwrap_or_else(|| panic!("{start_line} at {proxy}: {response:?}"));
            assert_eq!(run.request.start_line, format!("{start_line} HTTP/1.1"));
            assert!(run.request.body == body, "{start_line}: {} bytes", run.request.body.len());
            assert_eq!(
                (run.service, run.request.header(CALLER_HEADER), run.request.header("x-more")),
                ("alpha", caller, "kept")
            );
            assert_eq!(run.request.header(ADDRESSEE_HEADER), run.upstream);
            assert_eq!(
                (response.status(), response.header(REQUEST_ID_HEADER), response.text()),
                ("200", &*id, &*response_text(&id))
            );
        }
        let (_, response) = send_with_retries(proxy, "GET /large/x", "", b"");
        assert!(response.status() == "200" && response.body == large_body(), "{}", response.body.len());
        for path in ["/first/x", "/reads/x", "/", "/read"] {
            assert_eq!(send_get(proxy, path).status(), "404", "{path}");
        }
        let other_host = b"GET /read/x HTTP/1.1\r\nHost: else.example\r\nOchreshed-Consignment-Id: e\r\n\r\n";
        assert_eq!(send_message(proxy, other_host).expect("a response").status(), "404");
        // The upstream calls the other service through its outbound proxy.
        let (id, response) = send_with_retries(proxy, "GET /read/calls", "", b"");
        let nested_run = cluster
            .run_log
            .runs_where(|run| response.text() == response_text(run.request.header(REQUEST_ID_HEADER)))
            .pop();
        let nested_run = nested_run.unwrap_or_else(|| panic!("{response:?}"));
        assert!(nested_run.request.header(REQUEST_ID_HEADER).starts_with(&format!("{id}.")));
        assert_eq!((nested_run.service, nested_run.request.header(CALLER_HEADER)), ("omega", "alpha"));
    }
}

/// Guards against a key that runs twice, and against repetitions that do not get the first response.
#[test]
fn a_key_runs_once_whichever_proxies_receive_it() {
    let cluster = MeshCluster::start_default();
    let proxies = cluster.outbound_proxies();
    for (nth, proxy) in proxies.iter().enumerate() {
        let key = format!("k-{nth}");
        let first = send_keyed_with_retries(*proxy, "/move/x", &key);
        let runs = cluster.run_log.runs_by_key(&key);
        assert_eq!(
            (first.status(), runs.len(), first.header(STAMP_HEADER)),
            ("200", 1, &*runs[0].stamp),
            "{first:?}"
        );
        for other in &proxies {
            let repeated = send_keyed_with_retries(*other, "/move/x", &key);
            assert_eq!(
                (repeated.status(), repeated.header(STAMP_HEADER), &repeated.body),
                ("200", &*runs[0].stamp, &first.body)
            );
        }
        assert_eq!(cluster.run_log.runs_by_key(&key).len(), 1);
    }
    // Two concurrent requests with the same key.
    for nth in 0..20 {
        let (key, both) = (format!("two-{nth}"), Barrier::new(2));
        let send = |proxy: usize| {
            both.wait();
            send_keyed(proxies[proxy], "/move/x", &key)
        };
        let (first_response, second_response) = thread::scope(|scope| {
            let first_response = scope.spawn(|| send(nth % 4));
            (send((nth + 1) % 4), first_response.join().expect("a response"))
        });
        let final_response = send_keyed_with_retries(proxies[0], "/move/x", &key);
        let runs = cluster.run_log.runs_by_key(&key);
        assert_eq!(
            (runs.len(), final_response.status(), final_response.header(STAMP_HEADER)),
            (1, "200", &*runs[0].stamp),
            "{final_response:?}"
        );
        for response in [first_response, second_response] {
            let is_own_run = response.status() == "200" && response.header(STAMP_HEADER) == runs[0].stamp;
            assert!(is_own_run || ["409", "503"].contains(&response.status()), "{response:?}");
        }
    }
    // Repetitions while the first request is still running.
    let wait_for_conflict = |proxy| {
        wait_until("the conflict is reported", || send_keyed(proxy, "/move/held", "held").status() == "409")
    };
    thread::scope(|scope| {
        let first = scope.spawn(|| send_keyed(proxies[0], "/move/held", "held"));
        wait_until("the first request runs", || cluster.run_log.runs_by_key("held").len() == 1);
        let repeats: Vec<_> =
            proxies.iter().map(|proxy| scope.spawn(move || wait_for_conflict(*proxy))).collect();
        repeats.into_iter().for_each(|repeat| repeat.join().expect("a response"));
        cluster.run_log.release.store(true, Relaxed);
        assert_eq!(first.join().expect("a response").status(), "200");
    });
    let (repeated, runs) =
        (send_keyed_with_retries(proxies[1], "/move/held", "held"), cluster.run_log.runs_by_key("held"));
    assert_eq!((repeated.header(STAMP_HEADER), runs.len()), (&*runs[0].stamp, 1));
}

/// Guards against requests lost by the planned shutdown of an upstream, and against requests sent to it after its drain
/// time.
#[test]
fn a_closing_upstream_gets_no_requests_after_its_drain_time_and_none_are_lost() {
    let cluster = MeshCluster::start_default();
    let load = BackgroundLoad::start(&cluster.outbound_proxies(), "/read/work");
    load.wait_for_responses(300);
    let leaving = &cluster.upstreams[0];
    let closing_at = Instant::now();
    leaving.announce_closing();
    let drain_end = Instant::now() + DRAIN_DURATION;
    let runs_since = |since: Instant| {
        cluster.run_log.runs_where(|run| run.upstream == leaving.id && run.started_at > since)
    };
    let earlier_runs =
        cluster.run_log.runs_where(|run| run.upstream == leaving.id && run.started_at < closing_at);
    assert!(!earlier_runs.is_empty(), "the upstream ran no requests before");
    wait_until("the drain time is over", || Instant::now() > drain_end);
    load.wait_for_responses(400);
    let others = cluster.run_log.runs_where(|run| run.upstream != leaving.id && run.started_at > drain_end);
    assert!(others.len() >= 300, "{}", others.len());
    let late_runs = runs_since(drain_end);
    assert!(late_runs.is_empty(), "{} requests after its drain time", late_runs.len());
    load.stop_and_check();
}

/// Asserts that the control plane works with these stewards: a new configuration is accepted, read back and in force,
/// and keyed requests run once at every outbound proxy.
fn assert_control_plane_works(cluster: &MeshCluster, alive: &[usize], version: u64) {
    let (prefix, name) = (format!("/v{version}/"), format!("v{version}"));
    let body = configuration(version, &route_entry(&prefix, "resendable", "alpha"));
    cluster.replace_configuration(alive[0], &body);
    alive.iter().for_each(|steward| cluster.wait_until_read_back(*steward, &body));
    cluster.wait_until_in_force(&format!("{prefix}x"));
    for (nth, proxy) in cluster.outbound_proxies().into_iter().enumerate() {
        let key = format!("{name}-{nth}");
        let response = send_keyed_with_retries(proxy, "/move/x", &key);
        let runs = cluster.run_log.runs_by_key(&key);
        assert_eq!((response.status(), runs.len()), ("200", 1), "{response:?}");
    }
}

/// Guards against a control plane that needs all of its stewards, and against a restarted steward that is not
/// recognized or has lost state that it had acknowledged.
#[test]
fn the_control_plane_survives_the_loss_of_a_steward_and_readmits_it_with_and_without_its_disk() {
    let mut cluster = MeshCluster::start_default();
    let load = BackgroundLoad::start(&cluster.outbound_proxies(), "/read/x");
    assert_control_plane_works(&cluster, &[0, 1, 2], 2);
    cluster.stewards[0].kill();
    assert_control_plane_works(&cluster, &[1, 2], 3);
    cluster.start_steward(0, false);
    assert_control_plane_works(&cluster, &[0, 1, 2], 4);
    // The restarted steward votes: without it the remaining two have no quorum.
    cluster.stewards[1].kill();
    assert_control_plane_works(&cluster, &[0, 2], 5);
    cluster.stewards[1].erase_data();
    let catch_ups = |cluster: &MeshCluster| cluster.stewards[1].count_log_lines("caught up: epoch=");
    let catch_ups_before = catch_ups(&cluster);
    cluster.start_steward(1, false);
    wait_until("the steward votes again", || catch_ups(&cluster) > catch_ups_before);
    cluster.stewards[2].kill();
    assert_control_plane_works(&cluster, &[0, 1], 6);
    load.stop_and_check();
}

/// Guards against acknowledged state that is not durable, keys that run again, and proxies that stop serving when all
/// stewards are down.
#[test]
fn acknowledged_state_survives_a_crash_of_all_stewards() {
    let mut cluster = MeshCluster::start_default();
    let load = BackgroundLoad::start(&cluster.outbound_proxies(), "/read/x");
    assert_control_plane_works(&cluster, &[0, 1, 2], 5);
    let count_runs = |cluster: &MeshCluster, key: &str| cluster.run_log.runs_by_key(key).len();
    let keys: Vec<String> = (0..8).map(|nth| format!("ran-{nth}")).collect();
    let (settled, unsettled) = keys.split_at(4);
    settled.iter().for_each(|key| drop(send_keyed_with_retries(cluster.outbound_proxy(0), "/move/x", key)));
    settled.iter().for_each(|key| {
        assert_eq!(send_keyed_with_retries(cluster.outbound_proxy(1), "/move/x", key).status(), "200")
    });
    let body = configuration(9, &route_entry("/nine/", "resendable", "alpha"));
    unsettled.iter().for_each(|key| drop(send_keyed_with_retries(cluster.outbound_proxy(2), "/move/x", key)));
    cluster.replace_configuration(2, &body);
    cluster.stewards.iter_mut().for_each(MeshProcess::kill);
    load.wait_for_responses(200);
    (0..STEWARD_COUNT).for_each(|steward| cluster.start_steward(steward, false));
    (0..STEWARD_COUNT).for_each(|steward| cluster.wait_until_read_back(steward, &body));
    for key in &keys {
        let repeated = send_keyed_with_retries(cluster.outbound_proxy(3), "/move/x", key);
        let stamp = cluster.run_log.runs_by_key(key)[0].stamp.clone();
        assert_eq!(count_runs(&cluster, key), 1, "{key}: {repeated:?}");
        // Settled keys also return the first response.
        if settled.contains(key) {
            assert_eq!((repeated.status(), repeated.header(STAMP_HEADER)), ("200", &*stamp), "{key}");
        }
    }
    assert_control_plane_works(&cluster, &[0, 1, 2], 12);
    load.stop_and_check();
}

/// Guards against attendants that cannot serve when they start while the stewards have no quorum. Keyed requests are
/// rejected promptly meanwhile.
#[test]
fn an_attendant_started_without_a_quorum_serves_the_configuration_of_one_steward() {
    let mut cluster = MeshCluster::start_default();
    cluster.stewards.iter_mut().for_each(MeshProcess::kill);
    cluster.attendants[0].kill();
    cluster.start_steward(1, false);
    cluster.attendants[0].restart();
    let proxy = cluster.outbound_proxy(0);
    let fetch = |proxy, path: &str| {
        send_message(proxy, &request_bytes(&format!("GET {path}"), &new_request_id(), "", b""))
    };
    wait_until("the attendant serves", || {
        fetch(proxy, "/read/x").is_ok_and(|response| response.status() == "200")
    });
    let sent_at = Instant::now();
    assert_eq!(send_keyed(proxy, "/move/x", "while-short").status(), "503");
    assert!(sent_at.elapsed() < Duration::from_millis(REQUEST_DEADLINE_MS / 2), "{:?}", sent_at.elapsed());
    assert!(cluster.run_log.runs_by_key("while-short").is_empty());
    cluster.start_steward(0, false);
    assert_eq!(send_keyed_with_retries(proxy, "/move/x", "while-short").status(), "200");
}

/// Guards against a configuration that is applied in part, although it is invalid, or over a newer one.
#[test]
fn an_invalid_configuration_is_rejected_with_its_location_and_an_older_one_changes_nothing() {
    let cluster = MeshCluster::start_default();
    let body = configuration(7, &route_entry("/seven/", "resendable", "alpha"));
    cluster.replace_configuration(0, &body);
    let valid_body = configuration(8, &route_entry("/bad/", "resendable", "alpha"));
    let invalid_bodies = [
        (valid_body.replace(r#""line":"omega""#, r#""line":"nobody""#), "consignments[1]"),
        (valid_body.replacen(r#""tries":2"#, r#""tries":0"#, 1), "consignments[0]"),
        (valid_body.replace("/bad/", "bad/"), "consignments[4]"),
        (valid_body.replace("registered", "sometimes"), "consignments[3]"),
        (valid_body.replace(r#""r8""#, r#""8""#), "edition"),
        (valid_body[..valid_body.len() / 2].to_owned(), "document"),
        (String::new(), "document"),
    ];
    for (nth, (invalid_body, location)) in invalid_bodies.iter().enumerate() {
        let response =
            cluster.call_timetable(nth % STEWARD_COUNT, "replace", invalid_body).expect("a response");
        let line = response.text().lines().next().unwrap_or_default();
        assert!(response.status() == "400" && line.starts_with(location), "{nth}: {response:?}, {line}");
    }
    let older_body = configuration(6, &route_entry("/older/", "resendable", "alpha"));
    for steward in 0..STEWARD_COUNT {
        for unchanged in [&older_body, &body] {
            let response = cluster.call_timetable(steward, "replace", unchanged).expect("a response");
            assert_eq!(response.status(), "200", "{response:?}");
        }
        cluster.wait_until_read_back(steward, &body);
    }
    cluster.wait_until_in_force("/seven/x");
    cluster.replace_configuration(1, &configuration(9, &route_entry("/nine/", "resendable", "alpha")));
    cluster.wait_until_in_force("/nine/x");
    let unknown_paths = ["/bad/x", "/older/x", "/seven/x"];
    for proxy in cluster.outbound_proxies() {
        unknown_paths.iter().for_each(|path| assert_eq!(send_get(proxy, path).status(), "404", "{path}"));
    }
}

/// Guards against a drain that is lost when the attendant that was told of it restarts.
#[test]
fn a_drained_upstream_stays_drained_when_its_attendant_restarts() {
    let mut cluster = MeshCluster::start_default();
    let id = cluster.upstreams[0].id.clone();
    wait_until("the upstream is drained", || {
        cluster.query_steward(0, &format!("upstreams.drain&of={id}"))["state"] == "closing"
    });
    // After a restart its endpoint record, the tombstone and the operator's request all tell of the drain.
    let count_drains = |cluster: &MeshCluster| -> usize {
        let texts = [
            "drained by an operator",
            "incarnation that drains or has ended",
            "restored from before this start",
            "restored by a health check",
        ];
        texts.iter().map(|text| cluster.attendants[0].count_log_lines(text)).sum()
    };
    assert_eq!(count_drains(&cluster), 1);
    cluster.attendants[0].kill();
    cluster.attendants[0].restart();
    wait_until("the attendant knows of the drain again", || count_drains(&cluster) >= 2);
    wait_until("the drained upstream is listed", || {
        let listed =
            cluster.query_steward(1, "upstreams.list")["upstreams"].as_array().cloned().unwrap_or_default();
        listed
            .iter()
            .any(|entry| entry["id"] == *id && entry["state"] == "closing" && entry["serving"] == true)
    });
    wait_until("the attendant is ready", || cluster.readiness_status(0) == "200");
    let ready_at = Instant::now();
    wait_until("the drain time is over", || ready_at.elapsed() > DRAIN_DURATION);
    let (load, load_start) = (BackgroundLoad::start(&cluster.outbound_proxies(), "/read/x"), Instant::now());
    load.wait_for_responses(200);
    load.stop_and_check();
    let runs = cluster.run_log.runs_where(|run| run.service == "alpha" && run.started_at > load_start);
    assert!(runs.len() >= 200 && runs.iter().all(|run| run.upstream != id));
}

/// Guards against an acknowledged sign-off that is forgotten when all stewards and the attendant beside the upstream are
/// killed: heartbeats sent before it, which arrive late, brought the upstream back on all nodes.
#[test]
fn a_sign_off_outlives_a_crash_of_all_stewards_and_its_attendant() {
    let mut cluster = MeshCluster::start_default();
    let id = cluster.upstreams[0].id.clone();
    cluster.upstreams[0].sign_off();
    cluster.stewards.iter_mut().for_each(MeshProcess::kill);
    cluster.attendants[0].kill();
    (0..STEWARD_COUNT).for_each(|steward| cluster.start_steward(steward, false));
    cluster.attendants[0].restart();
    wait_until("the attendant is ready", || cluster.readiness_status(0) == "200");
    let ended_lines = |cluster: &MeshCluster| {
        cluster.attendants[0].count_log_lines("incarnation that drains or has ended")
            + cluster.attendants[0].count_log_lines("restored from before this start")
    };
    wait_until("the attendant knows that the upstream has ended", || ended_lines(&cluster) >= 1);
    let ready_at = Instant::now();
    wait_until("the drain time is over", || ready_at.elapsed() > DRAIN_DURATION);
    let (load, load_start) = (BackgroundLoad::start(&cluster.outbound_proxies(), "/read/x"), Instant::now());
    load.wait_for_responses(400);
    load.stop_and_check();
    let runs = cluster.run_log.runs_where(|run| run.service == "alpha" && run.started_at > load_start);
    assert!(runs.len() >= 400 && runs.iter().all(|run| run.upstream != id));
}

/// Guards against retry budget figures that only some stewards know, or that count requests that were not sent.
#[test]
fn every_steward_reports_the_requests_sent_by_all_proxies() {
    let cluster = MeshCluster::start_default();
    let load = BackgroundLoad::start(&cluster.outbound_proxies(), "/read/x");
    for steward in 0..STEWARD_COUNT {
        wait_until("the budget is reported", || {
            let budget = cluster.query_steward(steward, "budget.list");
            let services = budget["services"].as_array().cloned().unwrap_or_default();
            let alpha =
                services.iter().find(|service| service["service"] == "alpha").cloned().unwrap_or_default();
            let first_sends = alpha["first"].as_u64().unwrap_or(0);
            // Up to eight requests are in flight and not yet in the run log.
            assert!(
                first_sends <= cluster.run_log.runs_where(|run| run.service == "alpha").len() as u64 + 8,
                "{budget}"
            );
            first_sends >= 50 && budget["gates_told"] == 4 && alpha["left"].as_f64() > Some(60.0)
        });
        // Every steward also reports the time from start to full service of each process.
        wait_until("the starts are reported", || {
            let nodes = cluster.query_steward(steward, "nodes.list");
            [("stewards", STEWARD_COUNT), ("attendants", 4)].iter().all(|(kind, count)| {
                let all = nodes[kind].as_array().cloned().unwrap_or_default();
                all.iter().filter(|node| node["full_ms"].is_u64()).count() == *count
            })
        });
    }
    let processes = || cluster.stewards.iter().chain(&cluster.attendants);
    wait_until("full service is logged once by each process", || {
        processes().all(|process| process.count_log_lines("full service after") == 1)
    });
    load.stop_and_check();
}

/// Guards against requests lost at the outbound or inbound proxy of an attendant that is shutting down, and against an
/// attendant that does not exit.
#[test]
fn an_attendant_answers_all_requests_on_sigterm_and_exits_within_its_grace_period() {
    let mut cluster = MeshCluster::start_default();
    let others = [0, 2, 3].map(|nth| cluster.outbound_proxy(nth));
    // Requests of its own clients are short, so that most of the time none of them is in flight.
    let (load, own_load) = (
        BackgroundLoad::start(&others, "/read/work"),
        BackgroundLoad::start(&[cluster.outbound_proxy(1)], "/read/x"),
    );
    load.wait_for_responses(200);
    cluster.attendants[1].terminate();
    let terminated_at = Instant::now();
    wait_until("the attendant is not ready", || cluster.readiness_status(1) == "503");
    // The platform checks readiness once a second and stops sending clients after two failures.
    thread::sleep(Duration::from_millis(1_500));
    own_load.stop_and_check();
    let (mut exit_success, deadline) = (None, terminated_at + SHUTDOWN_GRACE);
    while exit_success.is_none() && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(10));
        exit_success = cluster.attendants[1].exit_success();
    }
    assert_eq!(exit_success, Some(true), "after {:?}", terminated_at.elapsed());
    load.wait_for_responses(200);
    load.stop_and_check();
}

/// Guards against requests that are broken off after a SIGTERM because their upstream pauses within its response.
#[test]
fn responses_that_pause_are_completed_after_sigterm() {
    let cluster = MeshCluster::start_default();
    let proxy = cluster.outbound_proxy(0);
    thread::scope(|scope| {
        let send = |number: usize| match number % 2 {
            0 => send_keyed(proxy, "/move/pause", &format!("pause-{number}")),
            _ => {
                let message = request_bytes("GET /read/pause", &format!("pause-{number}"), "", b"");
                send_message(proxy, &message).unwrap_or_default()
            }
        };
        let requests: Vec<_> = (0..8).map(|number| scope.spawn(move || send(number))).collect();
        let is_pausing = |run: &RunRecord| run.request.start_line.contains("/pause");
        wait_until("all requests run", || cluster.run_log.runs_where(is_pausing).len() == requests.len());
        cluster.attendants[0].terminate();
        for request in requests {
            let response = request.join().expect("a response");
            assert_eq!(response.status(), "200", "{response:?}");
            assert!(response.text().starts_with("ran ") && !response.header(STAMP_HEADER).is_empty());
        }
    });
}

/// Guards against two operators who both get a 200 for different configurations with the same version. Of eight
/// contents for each version, sent to three stewards in turn, one is accepted and the others are rejected, and reading
/// returns the accepted one from then on.
#[test]
fn of_several_contents_with_one_version_only_one_is_accepted_and_read_back() {
    let cluster = MeshCluster::start_default();
    for version in 2..8 {
        let contents: Vec<String> = (0..8)
            .map(|n| configuration(version, &route_entry(&format!("/v{n}/"), "resendable", "alpha")))
            .collect();
        // The first two are sent concurrently, as by two operators.
        let both = Barrier::new(2);
        let send_concurrently = |n: usize| {
            both.wait();
            cluster.call_timetable(n, "replace", &contents[n]).expect("a response").status().to_owned()
        };
        let first = thread::scope(|scope| {
            let other = scope.spawn(|| send_concurrently(1));
            [send_concurrently(0), other.join().expect("a response")]
        });
        let accepted = first.iter().filter(|status| **status == "200").count();
        assert!(accepted == 1 && first.iter().any(|status| status == "409"), "r{version}: {first:?}");
        let winner = usize::from(first[1] == "200");
        for n in (0..8).chain(0..2) {
            let response =
                cluster.call_timetable(n % STEWARD_COUNT, "replace", &contents[n]).expect("a response");
            assert_eq!(response.status(), if n == winner { "200" } else { "409" }, "r{version}, content {n}");
            let read = cluster.call_timetable((n + 1) % STEWARD_COUNT, "read", "").expect("a response");
            assert_eq!((read.status(), read.text() == contents[winner]), ("200", true), "r{version}, {n}");
        }
    }
}

/// The value of a metric on a process's metrics page.
fn metric_value(page: &HttpMessage, name: &str) -> Option<f64> {
    let line = page.text().lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|value| value.parse().ok())
}

#[test]
fn each_role_exports_its_metrics_as_text() {
    let mut cluster = MeshCluster::start_default();
    cluster.replace_configuration(0, &configuration(2, &route_entry("/later/", "resendable", "alpha")));
    cluster.wait_until_in_force("/later/x");
    for nth in 0..STEWARD_COUNT {
        let page = send_get(cluster.steward_control_address(nth), "/metrics");
        let value = |name: &str| metric_value(&page, &format!("ochreshed_steward_{name}"));
        assert!(page.status() == "200" && page.text().ends_with("# EOF\n"), "{page:?}");
        assert_eq!((value("epoch"), value("members"), value("quorum")), (Some(1.0), Some(3.0), Some(1.0)));
        assert!(value("disk_writes_total") > Some(0.0), "{}", page.text());
        wait_until("the configuration version is exported", || {
            let page = send_get(cluster.steward_control_address(nth), "/metrics");
            metric_value(&page, "ochreshed_steward_configuration_version") == Some(2.0)
        });
    }
    let page = send_get(cluster.attendant_control_address(0), "/metrics");
    let value = |name: &str| metric_value(&page, &format!("ochreshed_attendant_{name}"));
    assert_eq!(
        (value("ready"), value("configuration_version"), value("unreachable")),
        (Some(1.0), Some(2.0), Some(0.0))
    );
    assert_eq!(value("endpoint_records"), Some(4.0));
    // The loss of the quorum is exported.
    cluster.stewards[1].kill();
    cluster.stewards[2].kill();
    wait_until("the loss of the quorum is exported", || {
        let page = send_get(cluster.steward_control_address(0), "/metrics");
        metric_value(&page, "ochreshed_steward_quorum") == Some(0.0)
    });
}
