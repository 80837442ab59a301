//! Tests of upgrades: a second process of the same balancer is started while the first one serves, and the first one is
//! asked to stop. The tests act as the endpoints, as in `sockets.rs`.

mod helper;

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::thread;

use helper::*;

/// Sends a request on a connection and returns the response; empty if there is none.
fn exchange(stream: &mut TcpStream, id: &str) -> String {
    let message = request("GET", "/read", "2.5", "").replace("c0ffee", id);
    if stream.write_all(message.as_bytes()).is_err() {
        return String::new();
    }
    read_message(stream)
}

/// Starts a balancer with an operator API, and an endpoint and a discovery service that respond at once.
fn start_serving() -> Balancer {
    let endpoint = bind_listener();
    let balancer = Balancer::start_with_options(
        BalancerOptions { has_operator_api: true, ..BalancerOptions::default() },
        "a@x",
        &endpoint,
    );
    spawn_responder(&balancer.discovery, discovery_response(42, &endpoint_entries("a@x", &endpoint)));
    spawn_responder(&endpoint, OK_RESPONSE);
    balancer
}

/// Guards against requests lost while one process hands over to the next: connections reset in the queue of a closing
/// listener, closed before their response, or never read. Clients with new and with kept connections send throughout.
#[test]
fn no_request_is_lost_while_a_process_hands_over_to_the_next() {
    let mut old_process = start_serving();
    let address = old_process.address;
    let (is_stopped, sent, lost) =
        (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let spawn_client = |number: usize, is_kept: bool| {
        let (is_stopped, sent, lost) = (is_stopped.clone(), sent.clone(), lost.clone());
        thread::spawn(move || {
            let mut stream = None;
            while !is_stopped.load(Relaxed) {
                let id = format!("r{number}-{}", sent.fetch_add(1, Relaxed));
                let mut connection = match stream.take() {
                    Some(stream) => stream,
                    None => TcpStream::connect(address).expect("a connection"),
                };
                connection.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
                let response = exchange(&mut connection, &id);
                lost.fetch_add(usize::from(!response.starts_with("HTTP/1.1 200 OK")), Relaxed);
                // The pause keeps the clients from using up the ephemeral ports.
                thread::sleep(std::time::Duration::from_millis(1));
                stream = Some(connection).filter(|_| is_kept && !response.contains("connection: close"));
            }
        })
    };
    let clients: Vec<_> = (0..8).map(|number| spawn_client(number, number % 2 == 0)).collect();
    while sent.load(Relaxed) < 200 {
        thread::yield_now();
    }
    let mut sent_before = sent.load(Relaxed);
    for _ in 0..3 {
        let mut new_process = old_process.start_second_process();
        // The phase changes just after the line that names the address.
        new_process.wait_for_log_line("Serving");
        assert_eq!(new_process.call_operator("GET /api/ready").0, "200 OK");
        old_process.send_signal("-TERM");
        let status = old_process.process.wait().expect("its exit");
        assert!(status.success(), "{status}");
        // Only the new process serves the address now.
        let mut stream = new_process.open_connection();
        assert!(exchange(&mut stream, "after").contains("200 OK"));
        // The clients' requests continue at the new process.
        while sent.load(Relaxed) < sent_before + 200 {
            thread::yield_now();
        }
        sent_before = sent.load(Relaxed);
        old_process = new_process;
    }
    is_stopped.store(true, Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    assert_eq!(lost.load(Relaxed), 0, "of {}", sent.load(Relaxed));
}

/// Guards against a failing health check while another process serves the address, and against kept connections that
/// never move to the new process.
#[test]
fn a_process_that_hands_over_stays_healthy_and_closes_each_connection_after_its_response() {
    let (mut old_process, mut trace) = (start_serving(), Trace::default());
    let (mut kept_client, mut idle_client) = (old_process.open_connection(), old_process.open_connection());
    trace.add_first_line("kept", &exchange(&mut kept_client, "one"));
    trace.add_first_line("idle", &exchange(&mut idle_client, "two"));
    let new_process = old_process.start_second_process();
    old_process.send_signal("-TERM");
    old_process.wait_for_log_line("another process has taken over");
    old_process.wait_for_log_line("Leaving");
    write_message(&mut kept_client, HEALTH_REQUEST);
    trace.add_message("kept", &read_message(&mut kept_client));
    trace.add_message("idle", &exchange(&mut idle_client, "three"));
    assert!(old_process.process.wait().expect("its exit").success());
    trace.add_first_line("new", &exchange(&mut new_process.open_connection(), "four"));
    trace.assert_matches(expect_test::expect![[r#"
        kept: HTTP/1.1 200 OK
        idle: HTTP/1.1 200 OK
        kept: HTTP/1.1 200 OK | connection: close | content-length: 0
        idle: HTTP/1.1 200 OK | x-mark: 7 | connection: close | content-length: 4 | good
        new: HTTP/1.1 200 OK
    "#]]);
}

/// Guards against a new process that takes the address with it when it is killed, and against its stale file being
/// taken for a live process. The first process keeps serving, and stops like a single process.
#[test]
fn a_failed_upgrade_leaves_the_first_process_serving() {
    let mut old_process = start_serving();
    let mut new_process = old_process.start_second_process();
    new_process.process.kill().expect("killed");
    new_process.process.wait().expect("its exit");
    for number in 0..20 {
        let mut stream = old_process.open_connection();
        assert!(exchange(&mut stream, &format!("u{number}")).contains("200 OK"));
    }
    old_process.send_signal("-TERM");
    old_process.wait_for_log_line("Leaving");
    // A single process reports through its health check that it is leaving.
    let mut health = old_process.send_message(HEALTH_REQUEST);
    assert!(read_message(&mut health).contains("503"));
    drop(health);
    assert!(old_process.process.wait().expect("its exit").success());
    assert_eq!(
        std::fs::read_dir(&old_process.temp_dir).expect("its temporary directory").count(),
        0,
        "files left behind"
    );
}

/// Guards against a start that fails or blocks when the processes' shared temporary directory is missing.
#[test]
fn a_third_process_and_one_without_a_temporary_directory_start_and_serve() {
    let first_process = start_serving();
    let mut second_process = first_process.start_second_process();
    let third_process = second_process.start_second_process();
    assert!(exchange(&mut third_process.open_connection(), "three").contains("200 OK"));
    second_process.send_signal("-TERM");
    assert!(second_process.process.wait().expect("its exit").success());
    std::fs::remove_dir_all(&first_process.temp_dir).expect("removed");
    let fourth_process = third_process.start_second_process();
    assert!(exchange(&mut fourth_process.open_connection(), "four").contains("200 OK"));
}
