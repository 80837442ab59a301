//! Tests of the balancer as a process on loopback sockets. Each test acts as the endpoints and the discovery service,
//! on ports assigned by the system, and compares the messages exchanged with a short trace.

mod helper;

use std::fmt::Write as _;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use expect_test::expect;
use helper::*;

#[test]
fn bytes_are_forwarded_unchanged_and_connections_are_reused() {
    let (endpoint, mut trace) = (bind_listener(), Trace::default());
    let balancer = Balancer::start("a@x", &endpoint);
    let mut client = balancer.send_message(HEALTH_REQUEST);
    trace.add_message("health", &read_message(&mut client));
    let body = "{\"a\": 1}\u{fc}";
    write_message(&mut client, &request("POST", "/move/%2e%2F/x?b=%20&a=+", "2.5", body));
    let mut endpoint_stream = accept_stream(&endpoint);
    let forwarded = read_message(&mut endpoint_stream);
    let budget = forwarded.lines().find_map(|line| line.strip_prefix("x-budget: ")).expect("a budget");
    assert!((2.0..2.5).contains(&budget.parse::<f64>().expect("seconds")), "{budget}");
    trace.add_message("endpoint", &forwarded);
    write_message(&mut endpoint_stream, OK_RESPONSE);
    trace.add_message("client", &read_message(&mut client));
    write_message(&mut client, &request("GET", "/read", "2.5", ""));
    trace.add_message("endpoint", &read_message(&mut endpoint_stream));
    write_message(&mut endpoint_stream, OK_RESPONSE);
    trace.add_first_line("client", &read_message(&mut client));
    trace.assert_matches(expect![[r#"
        health: HTTP/1.1 200 OK | content-length: 0
        endpoint: POST /move/%2e%2F/x?b=%20&a=+ HTTP/1.1 | x-call-id: c0ffee | x-call-class: move | content-length: 10 | {"a": 1}ü
        client: HTTP/1.1 200 OK | x-mark: 7 | content-length: 4 | good
        endpoint: GET /read HTTP/1.1 | x-call-id: c0ffee | x-call-class: read | content-length: 0
        client: HTTP/1.1 200 OK
    "#]]);
}

#[test]
fn rejected_and_truncated_requests_are_retried_as_their_rule_set_allows() {
    let (endpoint, mut trace) = (bind_listener(), Trace::default());
    // A rejected request never ran, so it is sent to another endpoint. After a truncated response the request may have
    // run, so it is sent again only where repeats are harmless.
    for (path, first_response, is_retried) in [
        ("/pay", REJECTED_RESPONSE, true),
        ("/pay", TRUNCATED_RESPONSE, false),
        ("/move", TRUNCATED_RESPONSE, true),
        ("/read", "", true),
    ] {
        let balancer = Balancer::start("a@x b@x", &endpoint);
        let mut client = balancer.send_message(&request("POST", path, "2.5", "x"));
        let mut endpoint_stream = trace.accept_and_add("endpoint", &endpoint);
        write_message(&mut endpoint_stream, first_response);
        drop(endpoint_stream);
        if is_retried {
            let mut endpoint_stream = trace.accept_and_add("another", &endpoint);
            write_message(&mut endpoint_stream, OK_RESPONSE);
        }
        trace.add_first_line("client", &read_message(&mut client));
    }
    trace.assert_matches(expect![[r#"
        endpoint: POST /pay HTTP/1.1
        another: POST /pay HTTP/1.1
        client: HTTP/1.1 200 OK
        endpoint: POST /pay HTTP/1.1
        client: HTTP/1.1 502 Bad Gateway
        endpoint: POST /move HTTP/1.1
        another: POST /move HTTP/1.1
        client: HTTP/1.1 200 OK
        endpoint: POST /read HTTP/1.1
        another: POST /read HTTP/1.1
        client: HTTP/1.1 200 OK
    "#]]);
}

#[test]
fn an_invalid_response_may_have_run_and_surplus_bytes_end_the_connection() {
    let mut trace = Trace::default();
    let large = format!("HTTP/1.1 200 OK\r\ncontent-length: 300000\r\n\r\n{}", "x".repeat(300_000));
    for (case, response) in [
        ("noise", "\x01\x02 noise\r\n\r\n"),
        ("two lengths", "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\ngood"),
        ("endless", "HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\ngood"),
        ("bad chunk", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\ngood"),
        ("truncated", TRUNCATED_RESPONSE),
        ("large", &large),
        ("1xx first", &format!("HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n{OK_RESPONSE}")),
        ("bad report", &OK_RESPONSE.replace("x-mark: 7", "x-load-report: {\"")),
        ("response twice", &OK_RESPONSE.repeat(2)),
        ("trailing noise", &format!("{OK_RESPONSE}\x01\x02")),
    ] {
        let endpoint = bind_listener();
        let balancer = Balancer::start("a@x", &endpoint);
        let mut client = balancer.send_message(&request("POST", "/pay", "2.5", "x"));
        let mut endpoint_stream = accept_stream(&endpoint);
        read_message(&mut endpoint_stream);
        write_message(&mut endpoint_stream, response);
        let client_response = read_message(&mut client);
        write_message(&mut client, &request("POST", "/pay", "2.5", "x"));
        let next = read_message(&mut endpoint_stream);
        let (status, next) = (client_response.lines().next(), next.lines().next());
        let line = format!(
            "{} bytes, {}, next: {}",
            client_response.len(),
            status.expect("a response"),
            next.unwrap_or("none")
        );
        trace.add_first_line(case, &line);
        if next.is_none() {
            endpoint_stream = accept_stream(&endpoint);
            read_message(&mut endpoint_stream);
        }
        write_message(&mut endpoint_stream, OK_RESPONSE);
        let next_response = read_message(&mut client);
        assert!(
            next_response.ends_with("good"),
            "{case}: the next request gets its own response, not {next_response:?}"
        );
    }
    trace.assert_matches(expect![[r#"
        noise: 110 bytes, HTTP/1.1 502 Bad Gateway, next: none
        two lengths: 110 bytes, HTTP/1.1 502 Bad Gateway, next: none
        endless: 110 bytes, HTTP/1.1 502 Bad Gateway, next: none
        bad chunk: 110 bytes, HTTP/1.1 502 Bad Gateway, next: none
        truncated: 110 bytes, HTTP/1.1 502 Bad Gateway, next: none
        large: 300080 bytes, HTTP/1.1 200 OK, next: POST /pay HTTP/1.1
        1xx first: 90 bytes, HTTP/1.1 200 OK, next: POST /pay HTTP/1.1
        bad report: 98 bytes, HTTP/1.1 200 OK, next: POST /pay HTTP/1.1
        response twice: 90 bytes, HTTP/1.1 200 OK, next: none
        trailing noise: 90 bytes, HTTP/1.1 200 OK, next: none
    "#]]);
}

#[test]
fn a_connection_closed_by_its_endpoint_is_not_reused() {
    let (endpoint, mut trace) = (bind_listener(), Trace::default());
    let balancer = Balancer::start("a@x", &endpoint);
    for _ in 0..3 {
        let mut client = balancer.send_message(&request("POST", "/pay", "2.5", "x"));
        let mut endpoint_stream = trace.accept_and_add("endpoint", &endpoint);
        write_message(&mut endpoint_stream, OK_RESPONSE);
        drop(endpoint_stream);
        trace.add_first_line("client", &read_message(&mut client));
    }
    trace.assert_matches(expect![[r#"
        endpoint: POST /pay HTTP/1.1
        client: HTTP/1.1 200 OK
        endpoint: POST /pay HTTP/1.1
        client: HTTP/1.1 200 OK
        endpoint: POST /pay HTTP/1.1
        client: HTTP/1.1 200 OK
    "#]]);
}

#[test]
fn requests_that_must_not_run_twice_avoid_reused_connections_while_those_break() {
    let (endpoint, mut trace) = (bind_listener(), Trace::default());
    let balancer = Balancer::start("a@x", &endpoint);
    let mut client = balancer.open_connection();
    for _ in 0..2 {
        write_message(&mut client, &request("POST", "/pay", "2.5", "x"));
        let mut endpoint_stream = accept_stream(&endpoint);
        read_message(&mut endpoint_stream);
        write_message(&mut endpoint_stream, OK_RESPONSE);
        read_message(&mut client);
        write_message(&mut client, &request("POST", "/pay", "2.5", "x"));
        trace.add_first_line("kept", &read_message(&mut endpoint_stream));
        drop(endpoint_stream);
        trace.add_first_line("client", &read_message(&mut client));
    }
    write_message(&mut client, &request("GET", "/read", "2.5", ""));
    let mut kept_stream = trace.accept_and_add("new", &endpoint);
    write_message(&mut kept_stream, OK_RESPONSE);
    trace.add_first_line("client", &read_message(&mut client));
    write_message(&mut client, &request("POST", "/pay", "2.5", "x"));
    let mut new_stream = trace.accept_and_add("new", &endpoint);
    write_message(&mut new_stream, OK_RESPONSE);
    trace.add_first_line("client", &read_message(&mut client));
    write_message(&mut client, &request("GET", "/read", "2.5", ""));
    trace.add_first_line("kept", &read_message(&mut new_stream));
    trace.assert_matches(expect![[r#"
        kept: POST /pay HTTP/1.1
        client: HTTP/1.1 502 Bad Gateway
        kept: POST /pay HTTP/1.1
        client: HTTP/1.1 502 Bad Gateway
        new: GET /read HTTP/1.1
        client: HTTP/1.1 200 OK
        new: POST /pay HTTP/1.1
        client: HTTP/1.1 200 OK
        kept: GET /read HTTP/1.1
    "#]]);
}

#[test]
fn abandoned_requests_are_cancelled_at_the_endpoint() {
    let (endpoint, mut trace) = (bind_listener(), Trace::default());
    let balancer = Balancer::start("a@x", &endpoint);
    let client = balancer.send_message(&request("POST", "/pay", "2.9", "x"));
    let mut endpoint_stream = trace.accept_and_add("endpoint", &endpoint);
    drop(client);
    trace.add_first_line("endpoint after the client left", &read_message(&mut endpoint_stream));
    let (mut client, sent) = (balancer.send_message(&request("POST", "/pay", "0.3", "x")), Instant::now());
    let mut endpoint_stream = trace.accept_and_add("endpoint", &endpoint);
    trace.add_first_line("client", &read_message(&mut client));
    assert!(sent.elapsed() < Duration::from_millis(350), "responded after the client timeout");
    trace.add_first_line("endpoint after the client timeout", &read_message(&mut endpoint_stream));
    trace.assert_matches(expect![[r#"
        endpoint: POST /pay HTTP/1.1
        endpoint after the client left: nothing
        endpoint: POST /pay HTTP/1.1
        client: HTTP/1.1 502 Bad Gateway
        endpoint after the client timeout: nothing
    "#]]);
}

#[test]
fn a_response_received_while_the_process_was_suspended_counts() {
    let (endpoint, mut trace) = (bind_listener(), Trace::default());
    let balancer = Balancer::start("a@x", &endpoint);
    let mut client = balancer.send_message(&request("POST", "/pay", "0.4", "x"));
    let mut endpoint_stream = trace.accept_and_add("endpoint", &endpoint);
    balancer.send_signal("-STOP");
    write_message(&mut endpoint_stream, OK_RESPONSE);
    // Longer than the request's budget.
    std::thread::sleep(Duration::from_millis(500));
    balancer.send_signal("-CONT");
    trace.add_first_line("client", &read_message(&mut client));
    write_message(&mut client, &request("POST", "/pay", "2.5", "x"));
    trace.add_first_line("endpoint, on the same connection", &read_message(&mut endpoint_stream));
    trace.assert_matches(expect![[r#"
        endpoint: POST /pay HTTP/1.1
        client: HTTP/1.1 200 OK
        endpoint, on the same connection: POST /pay HTTP/1.1
    "#]]);
}

#[test]
fn a_refused_connection_proves_that_a_request_never_ran() {
    // It listens nowhere, but keeps its port, so that no other listener gets the port meanwhile.
    let (endpoint, mut trace) = (bind_without_listening(), Trace::default());
    let balancer = Balancer::start("a@x b@x", &endpoint);
    let mut client = balancer.send_message(&request("POST", "/pay", "2.5", "x"));
    trace.add_message("client", &read_message(&mut client));
    trace.assert_matches(expect![[r#"
        client: HTTP/1.1 503 Service Unavailable | content-length: 26 | denied: safe to try again
    "#]]);
}

#[test]
fn invalid_requests_do_not_affect_other_clients() {
    let (endpoint, mut trace) = (bind_listener(), Trace::default());
    let balancer = Balancer::start("a@x", &endpoint);
    let (mut silent_client, started) = (balancer.open_connection(), Instant::now());
    let mut slow_head_client = balancer.send_message("POST /pay HTTP/1.1\r\nHost:");
    let valid_request = request("POST", "/pay", "2.5", "x");
    let mut slow_body_client = balancer.send_message(&valid_request.replace("Length: 1", "Length: 9"));
    let smuggled_request = request("POST", "/pay", "2.5", &format!("0\r\n\r\n{valid_request}"));
    for invalid_request in [
        "who are you\r\n\r\n".to_owned(),
        valid_request.replace("X-Call-Id", "X-Other"),
        valid_request.replace("2.5", "soon"),
        valid_request.replace("2.5", "-5"),
        valid_request.replace("2.5", "1e23"),
        valid_request.replace("/pay", "/pays").replace("Class: pay", "Class: pays"),
        valid_request.replace("Length: 1", "Length: ten"),
        valid_request.replace("Length: 1", "Length: 33554433"),
        format!("{valid_request}y"),
        valid_request.repeat(300),
        HEALTH_REQUEST.repeat(2),
        smuggled_request.replacen("Content-Length", "Transfer-Encoding: chunked\r\ncontent-length", 1),
        format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(60_000)),
    ] {
        let response = read_message(&mut balancer.send_message(&invalid_request));
        let line = response.split("\r\n\r\n").nth(1).unwrap_or_default().trim();
        trace.add_first_line("invalid", &format!("{}, {line}", response.lines().next().unwrap_or("nothing")));
    }
    let mut client = balancer.send_message(&valid_request);
    let mut endpoint_stream = trace.accept_and_add("endpoint", &endpoint);
    trace.add_first_line("duplicate id", &read_message(&mut balancer.send_message(&valid_request)));
    write_message(&mut endpoint_stream, OK_RESPONSE);
    trace.add_first_line("client", &read_message(&mut client));
    for (name, stream) in [
        ("silent", &mut silent_client),
        ("slow head", &mut slow_head_client),
        ("slow body", &mut slow_body_client),
    ] {
        trace.add_first_line(name, &read_message(stream));
    }
    assert!(started.elapsed() < Duration::from_secs(3), "incomplete requests were kept open");
    // The error response arrives complete although the request's body is never read.
    let mut large_client = balancer.send_message(&valid_request.replace("Length: 1", "Length: 60000000"));
    large_client.write_all(&vec![b'x'; 3 << 20]).expect("sent");
    trace.add_first_line("large", &read_message(&mut large_client));
    trace.add_first_line("large, then", &read_message(&mut large_client));
    trace.assert_matches(expect![[r#"
        invalid: HTTP/1.1 400 Bad Request,
        invalid: HTTP/1.1 400 Bad Request, no X-Call-Id
        invalid: HTTP/1.1 400 Bad Request, no X-Budget that can be read
        invalid: HTTP/1.1 400 Bad Request, no X-Budget that can be read
        invalid: HTTP/1.1 400 Bad Request, no X-Budget that can be read
        invalid: HTTP/1.1 400 Bad Request, no such class
        invalid: HTTP/1.1 400 Bad Request,
        invalid: HTTP/1.1 413 Payload Too Large, body too large
        invalid: HTTP/1.1 400 Bad Request, more than one req at a time
        invalid: HTTP/1.1 400 Bad Request, more than one req at a time
        invalid: HTTP/1.1 400 Bad Request, more than one req at a time
        invalid: HTTP/1.1 400 Bad Request, both a length and a transfer encoding
        invalid: HTTP/1.1 431 Request Header Fields Too Large,
        endpoint: POST /pay HTTP/1.1
        duplicate id: HTTP/1.1 409 Conflict
        client: HTTP/1.1 200 OK
        silent: nothing
        slow head: HTTP/1.1 408 Request Timeout
        slow body: HTTP/1.1 408 Request Timeout
        large: HTTP/1.1 413 Payload Too Large
        large, then: nothing
    "#]]);
}

#[test]
fn at_the_connection_limit_the_longest_idle_client_is_closed() {
    let (endpoint, mut trace) = (bind_listener(), Trace::default());
    // The limit leaves room for four client connections.
    let balancer = Balancer::start_with_limits(40, 1024, "a@x", &endpoint);
    let mut clients: Vec<TcpStream> = (0..6)
        .map(|_| {
            let mut client = balancer.send_message(HEALTH_REQUEST);
            trace.add_first_line("client", &read_message(&mut client));
            client
        })
        .collect();
    for client in &mut clients[..3] {
        trace.add_first_line("closed", &read_message(client));
    }
    write_message(&mut clients[3], HEALTH_REQUEST);
    trace.add_first_line("kept", &read_message(&mut clients[3]));
    drop(clients);
    let incomplete_request = request("POST", "/pay", "2.5", "x").replace("Length: 1", "Length: 9");
    let slow_clients: Vec<TcpStream> = (0..4).map(|_| balancer.send_message(&incomplete_request)).collect();
    trace.add_first_line("client", &read_message(&mut balancer.send_message(HEALTH_REQUEST)));
    drop(slow_clients);
    trace.assert_matches(expect![[r#"
        client: HTTP/1.1 200 OK
        client: HTTP/1.1 200 OK
        client: HTTP/1.1 200 OK
        client: HTTP/1.1 200 OK
        client: HTTP/1.1 200 OK
        client: HTTP/1.1 200 OK
        closed: nothing
        closed: nothing
        closed: nothing
        kept: HTTP/1.1 200 OK
        client: HTTP/1.1 200 OK
    "#]]);
}

#[test]
fn near_the_connection_limit_connections_are_not_kept_idle() {
    let (endpoint, mut trace) = (bind_listener(), Trace::default());
    // The limit leaves room for four connections to endpoints, the last of which is never kept idle.
    let balancer = Balancer::start_with_limits(40, 1024, "a@x", &endpoint);
    let message = request("GET", "/read", "2.5", "");
    let mut exchanges: Vec<(TcpStream, TcpStream)> = (0..3)
        .map(|number| {
            let client = balancer.send_message(&message.replace("c0ffee", &number.to_string()));
            let mut endpoint_stream = accept_stream(&endpoint);
            read_message(&mut endpoint_stream);
            (client, endpoint_stream)
        })
        .collect();
    for (client, endpoint_stream) in &mut exchanges {
        write_message(endpoint_stream, OK_RESPONSE);
        trace.add_first_line("client", &read_message(client));
    }
    trace.add_first_line("first at the endpoint", &read_message(&mut exchanges[0].1));
    write_message(&mut exchanges[0].0, &message);
    trace.add_first_line("last at the endpoint", &read_message(&mut exchanges[2].1));
    trace.assert_matches(expect![[r#"
        client: HTTP/1.1 200 OK
        client: HTTP/1.1 200 OK
        client: HTTP/1.1 200 OK
        first at the endpoint: nothing
        last at the endpoint: GET /read HTTP/1.1
    "#]]);
}

#[test]
fn it_keeps_serving_when_out_of_file_descriptors() {
    let (endpoint, mut trace) = (bind_listener(), Trace::default());
    let mut balancer = Balancer::start_with_limits(1024, 24, "a@x", &endpoint);
    let mut first_client = balancer.send_message(HEALTH_REQUEST);
    trace.add_first_line("first", &read_message(&mut first_client));
    let connections: Vec<TcpStream> = (0..30).map(|_| balancer.open_connection()).collect();
    balancer.wait_for_log_line("accept: ");
    write_message(&mut first_client, HEALTH_REQUEST);
    trace.add_first_line("first, out of descriptors", &read_message(&mut first_client));
    drop(connections);
    trace.add_first_line("afterwards", &read_message(&mut balancer.send_message(HEALTH_REQUEST)));
    trace.assert_matches(expect![[r#"
        first: HTTP/1.1 200 OK
        first, out of descriptors: HTTP/1.1 200 OK
        afterwards: HTTP/1.1 200 OK
    "#]]);
}

#[test]
fn the_endpoint_list_is_watched_and_kept_when_discovery_fails() {
    let (endpoint, other_endpoint, mut trace) = (bind_listener(), bind_listener(), Trace::default());
    let balancer = Balancer::start("a@x", &endpoint);
    let mut watch_stream = accept_stream(&balancer.discovery);
    trace.add_first_line("discovery", &read_message(&mut watch_stream));
    write_message(&mut watch_stream, &discovery_response(43, &endpoint_entries("b@x", &other_endpoint)));
    // The next watch arrives on the same connection once the new list has been applied.
    trace.add_first_line("discovery", &read_message(&mut watch_stream));
    let mut client = balancer.send_message(&request("GET", "/read", "2.5", ""));
    let mut other_stream = trace.accept_and_add("newly listed endpoint", &other_endpoint);
    write_message(&mut other_stream, OK_RESPONSE);
    trace.add_first_line("client", &read_message(&mut client));
    for invalid_response in [&discovery_response(44, "{}"), ""] {
        write_message(&mut watch_stream, invalid_response);
        drop(watch_stream);
        watch_stream = accept_stream(&balancer.discovery);
        trace.add_first_line("discovery", &read_message(&mut watch_stream));
    }
    write_message(&mut client, &request("GET", "/read", "2.5", ""));
    trace.add_first_line("same endpoint", &read_message(&mut other_stream));
    trace.assert_matches(expect![[r#"
        discovery: GET /catalog/members?after=41&wait_ms=1000 HTTP/1.1
        discovery: GET /catalog/members?after=43&wait_ms=1000 HTTP/1.1
        newly listed endpoint: GET /read HTTP/1.1
        client: HTTP/1.1 200 OK
        discovery: GET /catalog/members?after=43&wait_ms=1000 HTTP/1.1
        discovery: GET /catalog/members?after=43&wait_ms=1000 HTTP/1.1
        same endpoint: GET /read HTTP/1.1
    "#]]);
}

#[test]
fn sighup_changes_the_discovery_address_and_nothing_else() {
    let (endpoint, other_endpoint, new_discovery, mut trace) =
        (bind_listener(), bind_listener(), bind_listener(), Trace::default());
    let mut balancer = Balancer::start("a@x", &endpoint);
    let mut watch_stream = accept_stream(&balancer.discovery);
    trace.add_first_line("discovery", &read_message(&mut watch_stream));
    let mut client = balancer.send_message(&request("POST", "/pay", "2.5", "x"));
    let mut endpoint_stream = trace.accept_and_add("endpoint", &endpoint);
    let facts = std::fs::read_to_string(&balancer.facts_path).expect("its facts");
    std::fs::write(&balancer.facts_path, "{").expect("a bad file");
    balancer.send_signal("-HUP");
    balancer.wait_for_log_line("facts stay as they were");
    let address = |listener: &TcpListener| listener.local_addr().expect("an address").to_string();
    std::fs::write(
        &balancer.facts_path,
        facts.replace(&address(&balancer.discovery), &address(&new_discovery)),
    )
    .expect("a good file");
    balancer.send_signal("-HUP");
    let mut new_watch_stream = trace.accept_and_add("discovery, new address", &new_discovery);
    trace.add_first_line("discovery, old address", &read_message(&mut watch_stream));
    write_message(&mut new_watch_stream, &discovery_response(47, &endpoint_entries("b@x", &other_endpoint)));
    trace.add_first_line("discovery, new address", &read_message(&mut new_watch_stream));
    write_message(&mut endpoint_stream, OK_RESPONSE);
    trace.add_first_line("client", &read_message(&mut client));
    write_message(&mut client, &request("POST", "/pay", "2.5", "x"));
    drop(trace.accept_and_add("endpoint from moved list", &other_endpoint));
    trace.assert_matches(expect![[r#"
        discovery: GET /catalog/members?after=41&wait_ms=1000 HTTP/1.1
        endpoint: POST /pay HTTP/1.1
        discovery, new address: GET /catalog/members?after=41&wait_ms=1000 HTTP/1.1
        discovery, old address: nothing
        discovery, new address: GET /catalog/members?after=47&wait_ms=1000 HTTP/1.1
        client: HTTP/1.1 200 OK
        endpoint from moved list: POST /pay HTTP/1.1
    "#]]);
}

#[test]
fn on_sigterm_all_requests_are_answered_and_the_process_exits_cleanly() {
    let (endpoint, mut trace) = (bind_listener(), Trace::default());
    let mut balancer = Balancer::start("a@x b@x", &endpoint);
    let mut kept_client = balancer.send_message(HEALTH_REQUEST);
    trace.add_first_line("health", &read_message(&mut kept_client));
    let mut idle_client = balancer.send_message(HEALTH_REQUEST);
    trace.add_first_line("health", &read_message(&mut idle_client));
    let mut client = balancer.send_message(&request("POST", "/pay", "2.5", "x"));
    let mut endpoint_stream = trace.accept_and_add("endpoint", &endpoint);
    balancer.send_signal("-TERM");
    balancer.wait_for_log_line("Leaving");
    let mut health_client = balancer.send_message(HEALTH_REQUEST);
    trace.add_message("health", &read_message(&mut health_client));
    write_message(&mut kept_client, &request("POST", "/pay", "2.5", "x").replace("c0ffee", "c0c0a"));
    let mut other_stream = trace.accept_and_add("endpoint, kept connection", &endpoint);
    write_message(&mut other_stream, OK_RESPONSE);
    trace.add_message("client", &read_message(&mut kept_client));
    write_message(&mut kept_client, &request("POST", "/pay", "2.9", "x").replace("c0ffee", "c0c0a"));
    let _unanswered_stream = trace.accept_and_add("endpoint that never responds", &endpoint);
    balancer.wait_for_log_line("Closing");
    trace.add_first_line("idle connection", &read_message(&mut idle_client));
    write_message(&mut endpoint_stream, OK_RESPONSE);
    trace.add_message("client", &read_message(&mut client));
    balancer.wait_for_log_line("Ending");
    trace.add_message("client", &read_message(&mut kept_client));
    let status = balancer.process.wait().expect("its exit");
    writeln!(trace.0, "{status}").expect("a String takes it");
    trace.assert_matches(expect![[r#"
        health: HTTP/1.1 200 OK
        health: HTTP/1.1 200 OK
        endpoint: POST /pay HTTP/1.1
        health: HTTP/1.1 503 Service Unavailable | content-length: 12 | not serving
        endpoint, kept connection: POST /pay HTTP/1.1
        client: HTTP/1.1 200 OK | x-mark: 7 | content-length: 4 | good
        endpoint that never responds: POST /pay HTTP/1.1
        idle connection: nothing
        client: HTTP/1.1 200 OK | x-mark: 7 | connection: close | content-length: 4 | good
        client: HTTP/1.1 502 Bad Gateway | connection: close | content-length: 25 | aborted: it may have run
        exit status: 0
    "#]]);
}

#[test]
fn invalid_facts_are_reported_in_one_line() {
    let mut trace = String::new();
    for facts in [
        "{",
        "{}",
        r#"{"name":"n","listen":"here"}"#,
        r#"{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"2a",
            "limits":{"memory_mb":192,"sockets":12}}"#,
        r#"{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"2a",
            "limits":{"memory_mb":192,"sockets":1024},"settings":{"Tier":"first"}}"#,
    ] {
        let out = spawn_program(&write_facts_file(facts), 1024).wait_with_output().expect("its exit");
        let line = String::from_utf8_lossy(&out.stderr);
        let message = line.rsplit(".json: ").next().unwrap_or_default().trim();
        writeln!(trace, "{:?}: {message}", out.status.code()).expect("a String takes it");
    }
    expect![[r#"
        Some(1): EOF while parsing an object at line 1 column 1
        Some(1): name is missing or no text
        Some(1): listen is no address with a port
        Some(1): limits.sockets is under 34
        Some(1): settings: /Tier is "first", not a number from 0 on
    "#]]
    .assert_eq(&trace);
}
