//! Tests of the operator API on loopback sockets: its responses, its metrics, and how evacuation disconnects clients.
//! The tests act as the endpoints, as in `sockets.rs`.

mod helper;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Instant;

use expect_test::expect;
use helper::*;

fn start_with_operator_api(names: &str, endpoint: &std::net::TcpListener) -> Balancer {
    Balancer::start_with_options(
        BalancerOptions { has_operator_api: true, ..BalancerOptions::default() },
        names,
        endpoint,
    )
}

/// Guards against an operator API that accepts unknown calls or wrong methods, or rejects them without a proper status.
#[test]
fn each_call_has_one_method_and_all_others_are_rejected() {
    let (endpoint, mut trace) = (bind_listener(), Trace::default());
    let mut balancer = start_with_operator_api("a@x", &endpoint);
    for call in [
        "GET /api/ready",
        "GET /api/telemetry",
        "PUT /api/evacuate",
        "PUT /api/evacuate",
        "PUT /api/rejoin",
        "PUT /api/rejoin",
        "POST /api/evacuate",
        "PUT /api/ready",
        "GET /api/nothing",
        "GET",
    ] {
        trace.add_first_line(call, &balancer.call_operator(call).0);
    }
    let long_request = "PUT /api/rejoin HTTP/1.1\r\nContent-Length: 70000\r\n\r\n";
    let mut client =
        TcpStream::connect(balancer.operator_address.expect("operator API")).expect("a connection");
    write_message(&mut client, long_request);
    trace.add_first_line("a long body", &read_message(&mut client));
    balancer.send_signal("-TERM");
    balancer.wait_for_log_line("Leaving");
    for call in ["GET /api/ready", "PUT /api/evacuate", "PUT /api/rejoin"] {
        trace.add_first_line(call, &balancer.call_operator(call).0);
    }
    trace.assert_matches(expect![[r#"
        GET /api/ready: 200 OK
        GET /api/telemetry: 200 OK
        PUT /api/evacuate: 200 OK
        PUT /api/evacuate: 200 OK
        PUT /api/rejoin: 200 OK
        PUT /api/rejoin: 200 OK
        POST /api/evacuate: 405 Method Not Allowed
        PUT /api/ready: 405 Method Not Allowed
        GET /api/nothing: 404 Not Found
        GET: 400 Bad Request
        a long body: HTTP/1.1 413 Payload Too Large
        GET /api/ready: 503 Service Unavailable
        PUT /api/evacuate: 409 Conflict
        PUT /api/rejoin: 409 Conflict
    "#]]);
}

/// Guards against clients that never complete a call and so use up the connections of the operator API.
#[test]
fn incomplete_calls_do_not_block_other_operators() {
    let endpoint = bind_listener();
    let balancer = start_with_operator_api("a@x", &endpoint);
    let address = balancer.operator_address.expect("operator API");
    let mut unfinished: Vec<TcpStream> = Vec::new();
    for _ in 0..100 {
        let mut client = TcpStream::connect(address).expect("a connection");
        write_message(&mut client, "GET /api/ready HTTP/1.1\r\nX: ");
        unfinished.push(client);
        let started = Instant::now();
        assert_eq!(balancer.call_operator("GET /api/ready").0, "200 OK");
        assert!(started.elapsed().as_millis() < 1_000, "response took over 1 s");
    }
    // The oldest connection is closed first.
    unfinished[0].set_read_timeout(Some(std::time::Duration::from_secs(2))).expect("a time-out");
    let end = unfinished[0].read(&mut [0]).map_err(|error| error.kind());
    assert!(matches!(end, Ok(0) | Err(std::io::ErrorKind::ConnectionReset)), "still open: {end:?}");
}

/// Guards against metrics that miss one of the outcomes of a request or a dispatch.
#[test]
fn metrics_count_each_request_by_outcome_and_each_dispatch_when_sent() {
    let endpoint = bind_listener();
    let balancer = start_with_operator_api("a@x", &endpoint);
    assert_eq!((balancer.metric("replies.pay.success"), balancer.metric("targets")), (0, 1));
    let mut client = balancer.send_message(&request("POST", "/pay", "2.5", "x"));
    let mut endpoint_stream = accept_stream(&endpoint);
    read_message(&mut endpoint_stream);
    balancer.wait_for_metric("concurrent", 1);
    // A dispatch is counted when it is sent, not when it ends.
    balancer.wait_for_metric("dispatches", 1);
    write_message(&mut endpoint_stream, OK_RESPONSE);
    read_message(&mut client);
    balancer.wait_for_metric("replies.pay.success", 1);
    // Fails because the response is truncated.
    write_message(&mut client, &request("POST", "/pay", "2.5", "x"));
    read_message(&mut endpoint_stream);
    write_message(&mut endpoint_stream, TRUNCATED_RESPONSE);
    drop(endpoint_stream);
    read_message(&mut client);
    balancer.wait_for_metric("replies.pay.error", 1);
    // Rejected: the only endpoint is at capacity.
    write_message(&mut client, &request("POST", "/pay", "2.5", "x"));
    let mut endpoint_stream = accept_stream(&endpoint);
    read_message(&mut endpoint_stream);
    write_message(&mut endpoint_stream, REJECTED_RESPONSE);
    assert!(read_message(&mut client).contains("503"));
    balancer.wait_for_metric("replies.pay.overload", 1);
    balancer.wait_for_metric("dispatches", 3);
    // The client disconnects.
    write_message(&mut client, &request("GET", "/read", "2.5", ""));
    balancer.wait_for_metric("concurrent", 1);
    drop(client);
    balancer.wait_for_metric("concurrent", 0);
}

/// Guards against clients that stay connected during an evacuation, and against requests lost by it.
#[test]
fn evacuation_closes_connections_after_their_responses_and_rejoin_ends_it() {
    let (endpoint, mut trace) = (bind_listener(), Trace::default());
    let balancer = start_with_operator_api("a@x", &endpoint);
    let mut idle_client = balancer.send_message(HEALTH_REQUEST);
    trace.add_first_line("health", &read_message(&mut idle_client));
    let mut busy_client = balancer.send_message(&request("POST", "/pay", "2.9", "x"));
    let mut endpoint_stream = accept_stream(&endpoint);
    read_message(&mut endpoint_stream);
    let mut half_sent_client =
        balancer.send_message(&request("POST", "/read", "2.9", "x").replace("c0ffee", "half")[..40]);
    let evacuated = Instant::now();
    assert_eq!(balancer.call_operator("PUT /api/evacuate").0, "200 OK");
    trace.add_message("health", &read_message(&mut balancer.send_message(HEALTH_REQUEST)));
    // Requests on a new connection and on one that was in use are both answered, and then the connections are closed.
    let mut new_client = balancer.send_message(&request("GET", "/read", "2.9", "").replace("c0ffee", "kept"));
    let mut other_stream = accept_stream(&endpoint);
    read_message(&mut other_stream);
    write_message(&mut other_stream, OK_RESPONSE);
    trace.add_message("new request", &read_message(&mut new_client));
    trace.add_message("its connection", &read_message(&mut new_client));
    write_message(&mut endpoint_stream, OK_RESPONSE);
    trace.add_message("request in flight", &read_message(&mut busy_client));
    trace.add_message("its connection", &read_message(&mut busy_client));
    trace.add_message("an idle connection", &read_message(&mut idle_client));
    assert!(evacuated.elapsed().as_millis() < 3_500, "idle connection open for over 3.5 s");
    half_sent_client
        .write_all(&request("POST", "/read", "2.9", "x").replace("c0ffee", "half").as_bytes()[40..])
        .expect("sent");
    read_message(&mut endpoint_stream);
    write_message(&mut endpoint_stream, OK_RESPONSE);
    trace.add_first_line("half-sent request", &read_message(&mut half_sent_client));
    trace.add_message("its connection", &read_message(&mut half_sent_client));
    assert_eq!(balancer.call_operator("PUT /api/rejoin").0, "200 OK");
    let mut rejoined_client = balancer.send_message(HEALTH_REQUEST);
    trace.add_message("health", &read_message(&mut rejoined_client));
    write_message(&mut rejoined_client, HEALTH_REQUEST);
    trace.add_message("the same connection", &read_message(&mut rejoined_client));
    trace.assert_matches(expect![[r#"
        health: HTTP/1.1 200 OK
        health: HTTP/1.1 503 Service Unavailable | connection: close | content-length: 12 | not serving
        new request: HTTP/1.1 200 OK | x-mark: 7 | connection: close | content-length: 4 | good
        its connection: 
        request in flight: HTTP/1.1 200 OK | x-mark: 7 | connection: close | content-length: 4 | good
        its connection: 
        an idle connection: 
        half-sent request: HTTP/1.1 200 OK
        its connection: 
        health: HTTP/1.1 200 OK | content-length: 0
        the same connection: HTTP/1.1 200 OK | content-length: 0
    "#]]);
}

/// Guards against a start that continues without the configured operator API.
#[test]
fn an_operator_address_that_cannot_be_bound_prevents_the_start() {
    let taken = bind_listener();
    let mut trace = Trace::default();
    for operator in ["here".to_owned(), taken.local_addr().expect("an address").to_string()] {
        let facts = write_facts_file(&format!(
            r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"2a","operator":"{operator}",
                "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"settings":{{"Tier":0}}}}"#
        ));
        let out = spawn_program(&facts, 1024).wait_with_output().expect("its exit");
        let line = String::from_utf8_lossy(&out.stderr).replace(&operator, "ADDRESS");
        let message = line.rsplit(".json: ").next().unwrap_or_default().trim();
        trace.add_message(&format!("{:?}", out.status.code()), message);
    }
    trace.assert_matches(expect![[r#"
        Some(1): operator is no address with a port
        Some(1): ochreshed: can't listen for operators on ADDRESS: Address already in use (os error 98)
    "#]]);
}
