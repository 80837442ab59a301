//! The operators' door on sockets: what it answers, what its figures say, and how clients are sent away. Played as
//! in the tests of the program on sockets.

mod helper;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Instant;

use expect_test::expect;
use helper::*;

fn with_a_door(names: &str, srv: &std::net::TcpListener) -> Balancer {
    Balancer::given(Given { operator: true, ..Given::default() }, names, srv)
}

/// Guards against a door that answers what it should refuse, or refuses without saying why.
#[test]
fn each_call_has_its_method_and_the_rest_is_refused() {
    let (srv, mut trace) = (listen(), Trace::default());
    let mut balancer = with_a_door("a@x", &srv);
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
        trace.first_line(call, &balancer.ask(call).0);
    }
    let long = "PUT /api/rejoin HTTP/1.1\r\nContent-Length: 70000\r\n\r\n";
    let mut caller = TcpStream::connect(balancer.operator.expect("a door")).expect("a connection");
    answer(&mut caller, long);
    trace.first_line("a long body", &read(&mut caller));
    balancer.signal("-TERM");
    balancer.logged("Leaving");
    for call in ["GET /api/ready", "PUT /api/evacuate", "PUT /api/rejoin"] {
        trace.first_line(call, &balancer.ask(call).0);
    }
    trace.check(expect![[r#"
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

/// Guards against callers who never finish a call and so keep the others out.
#[test]
fn callers_who_never_finish_keep_nobody_out() {
    let srv = listen();
    let balancer = with_a_door("a@x", &srv);
    let door = balancer.operator.expect("a door");
    let mut unfinished: Vec<TcpStream> = Vec::new();
    for _ in 0..100 {
        let mut caller = TcpStream::connect(door).expect("a connection");
        answer(&mut caller, "GET /api/ready HTTP/1.1\r\nX: ");
        unfinished.push(caller);
        let asked = Instant::now();
        assert_eq!(balancer.ask("GET /api/ready").0, "200 OK");
        assert!(asked.elapsed().as_millis() < 1_000, "too late");
    }
    // The oldest went first.
    unfinished[0].set_read_timeout(Some(std::time::Duration::from_secs(2))).expect("a time-out");
    let end = unfinished[0].read(&mut [0]).map_err(|why| why.kind());
    assert!(matches!(end, Ok(0) | Err(std::io::ErrorKind::ConnectionReset)), "still there: {end:?}");
}

/// Guards against figures that miss a way in which a req or a dispatch ends.
#[test]
fn figures_count_each_req_by_its_end_and_each_dispatch_when_it_is_written() {
    let srv = listen();
    let balancer = with_a_door("a@x", &srv);
    assert_eq!((balancer.figure("replies.pay.success"), balancer.figure("targets")), (0, 1));
    let mut client = balancer.send(&req("POST", "/pay", "2.5", "x"));
    let mut at_srv = accept(&srv);
    read(&mut at_srv);
    balancer.until("concurrent", 1);
    // Counted while it is out, not when it has ended.
    balancer.until("dispatches", 1);
    answer(&mut at_srv, OK);
    read(&mut client);
    balancer.until("replies.pay.success", 1);
    // Failed, by an answer that is cut.
    answer(&mut client, &req("POST", "/pay", "2.5", "x"));
    read(&mut at_srv);
    answer(&mut at_srv, CUT);
    drop(at_srv);
    read(&mut client);
    balancer.until("replies.pay.error", 1);
    // Refused: the only srv is full.
    answer(&mut client, &req("POST", "/pay", "2.5", "x"));
    let mut at_srv = accept(&srv);
    read(&mut at_srv);
    answer(&mut at_srv, FULL);
    assert!(read(&mut client).contains("503"));
    balancer.until("replies.pay.overload", 1);
    balancer.until("dispatches", 3);
    // Its client goes.
    answer(&mut client, &req("GET", "/read", "2.5", ""));
    balancer.until("concurrent", 1);
    drop(client);
    balancer.until("concurrent", 0);
}

/// Guards against clients that stay where they were sent away from, and against a req lost on the way.
#[test]
fn clients_are_sent_away_with_their_answers_and_welcomed_again() {
    let (srv, mut trace) = (listen(), Trace::default());
    let balancer = with_a_door("a@x", &srv);
    let mut idle = balancer.send(HEALTH);
    trace.first_line("health", &read(&mut idle));
    let mut busy = balancer.send(&req("POST", "/pay", "2.9", "x"));
    let mut at_srv = accept(&srv);
    read(&mut at_srv);
    let mut half = balancer.send(&req("POST", "/read", "2.9", "x").replace("c0ffee", "half")[..40]);
    let asked = Instant::now();
    assert_eq!(balancer.ask("PUT /api/evacuate").0, "200 OK");
    trace.message("health", &read(&mut balancer.send(HEALTH)));
    // The front still sends one, and a kept connection still carries a req: both are answered, and closed.
    let mut kept = balancer.send(&req("GET", "/read", "2.9", "").replace("c0ffee", "kept"));
    let mut at_other = accept(&srv);
    read(&mut at_other);
    answer(&mut at_other, OK);
    trace.message("one that still comes", &read(&mut kept));
    trace.message("its connection", &read(&mut kept));
    answer(&mut at_srv, OK);
    trace.message("one in hand", &read(&mut busy));
    trace.message("its connection", &read(&mut busy));
    trace.message("an idle connection", &read(&mut idle));
    assert!(asked.elapsed().as_millis() < 3_500, "idle for too long");
    half.write_all(&req("POST", "/read", "2.9", "x").replace("c0ffee", "half").as_bytes()[40..])
        .expect("sent");
    read(&mut at_srv);
    answer(&mut at_srv, OK);
    trace.first_line("one that was half sent", &read(&mut half));
    trace.message("its connection", &read(&mut half));
    assert_eq!(balancer.ask("PUT /api/rejoin").0, "200 OK");
    let mut back = balancer.send(HEALTH);
    trace.message("health", &read(&mut back));
    answer(&mut back, HEALTH);
    trace.message("the same connection", &read(&mut back));
    trace.check(expect![[r#"
        health: HTTP/1.1 200 OK
        health: HTTP/1.1 503 Service Unavailable | connection: close | content-length: 12 | not serving
        one that still comes: HTTP/1.1 200 OK | x-mark: 7 | connection: close | content-length: 4 | good
        its connection: 
        one in hand: HTTP/1.1 200 OK | x-mark: 7 | connection: close | content-length: 4 | good
        its connection: 
        an idle connection: 
        one that was half sent: HTTP/1.1 200 OK
        its connection: 
        health: HTTP/1.1 200 OK | content-length: 0
        the same connection: HTTP/1.1 200 OK | content-length: 0
    "#]]);
}

/// Guards against a start that goes on without the door that was asked for.
#[test]
fn a_door_that_cannot_be_opened_is_a_plain_line_and_no_start() {
    let taken = listen();
    let mut trace = Trace::default();
    for operator in ["here".to_owned(), taken.local_addr().expect("an address").to_string()] {
        let facts = facts_file(&format!(
            r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"2a","operator":"{operator}",
                "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"settings":{{"Tier":0}}}}"#
        ));
        let out = start(&facts, 1024).wait_with_output().expect("its end");
        let line = String::from_utf8_lossy(&out.stderr).replace(&operator, "ADDRESS");
        let said = line.rsplit(".json: ").next().unwrap_or_default().trim();
        trace.message(&format!("{:?}", out.status.code()), said);
    }
    trace.check(expect![[r#"
        Some(1): operator is no address with a port
        Some(1): ochreshed: can't listen for operators on ADDRESS: Address already in use (os error 98)
    "#]]);
}
