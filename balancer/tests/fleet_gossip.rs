//! Tests of gossip between instances, as processes: state that differs widely is synchronized over a stream, a process
//! takes over its predecessor's place in the fleet, and invalid messages do no harm.

mod helper;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::thread::sleep;
use std::time::Duration;

use helper::{
    Balancer, BalancerOptions, TEST_TIMEOUT, discovery_response, failed_start_output, spawn_discovery,
    unused_address, wait_until, write_facts_file,
};

const SETTINGS: &str = r#""NInstances":3,"Me":0,"Tier":0,"Tiers":["one"],"Discovery":"push",
    "Limits":{"MaxDispatches":2,"Peers":true},"#;

fn write_fleet_file(listen: SocketAddr, seeds: &[SocketAddr]) -> PathBuf {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let text = format!("fleet = \"test\"\nlisten = \"{listen}\"\nseeds = [{}]\n", seeds.join(", "));
    let path = write_facts_file(&text).with_extension("toml");
    std::fs::write(&path, text).expect("write fleet file");
    path
}

fn start_instance(name: &'static str, listen: SocketAddr, seeds: &[SocketAddr], entries: &str) -> Balancer {
    let fleet_path = Some(write_fleet_file(listen, seeds));
    let options = BalancerOptions {
        name,
        fleet_path,
        has_operator_api: true,
        settings: SETTINGS,
        ..BalancerOptions::default()
    };
    Balancer::start_with_entries(options, entries)
}

/// Discovery entries of this many endpoints; those whose index matches are draining.
fn entries(count: usize, is_draining: impl Fn(usize) -> bool) -> String {
    let entry = |number: usize| {
        let lifecycle = if is_draining(number) { "DRAINING" } else { "SERVING" };
        format!(
            r#"{{"instanceId":"cell-7/srv-{number:05}","hostPort":"127.0.0.1:9","zone":"a","cell":1,"lifecycle":"{lifecycle}",
                "weight":1.0,"startedAtMs":0}}"#
        )
    };
    (0..count).map(entry).collect::<Vec<_>>().join(",")
}

#[test]
fn widely_different_state_is_synchronized_and_a_suspended_instance_catches_up() {
    let (a, b) = (unused_address(), unused_address());
    let n1 = start_instance("n1", a, &[b], &entries(1_000, |_| false));
    let n2 = start_instance("n2", b, &[a], &entries(1_000, |_| false));
    spawn_discovery(&n1.discovery, discovery_response(42, &entries(1_000, |_| false)));
    spawn_discovery(&n2.discovery, discovery_response(42, &entries(1_000, |_| false)));
    n1.wait_for_metric("fleet.members", 2);
    n2.wait_for_metric("fleet.members", 2);
    // A third instance learns of 900 draining endpoints from discovery, and knows of no other instance yet.
    let c = unused_address();
    let n3 = start_instance("n3", c, &[], &entries(1_000, |_| false));
    spawn_discovery(&n3.discovery, discovery_response(43, &entries(1_000, |number| number % 10 > 0)));
    n3.wait_for_metric("fleet.worse", 900);
    // One of the first two is suspended meanwhile.
    n2.send_signal("-STOP");
    let n4 = start_instance("n4", unused_address(), &[a, c], &entries(1_000, |_| false));
    wait_until("caught up", || n1.metric("fleet.worse") == 900 && n4.metric("fleet.worse") == 900);
    assert!(n1.metric("fleet.meetings") + n3.metric("fleet.meetings") + n4.metric("fleet.meetings") > 0);
    n2.send_signal("-CONT");
    wait_until("caught up after the suspension", || n2.metric("fleet.worse") == 900);
    // Routing uses the merged statuses: those endpoints are avoided although the instance's own list has them as
    // serving.
    wait_until("avoided in routing", || n2.metric("targets_disabled") >= 900);
}

#[test]
fn a_process_that_takes_over_gossips_from_the_same_port() {
    let (a, b) = (unused_address(), unused_address());
    let n2 = start_instance("n2", b, &[a], &entries(3, |_| false));
    let mut old_process = start_instance("n1", a, &[b], &entries(3, |_| false));
    for instance in [&n2, &old_process] {
        spawn_discovery(&instance.discovery, discovery_response(42, &entries(3, |_| false)));
        instance.wait_for_metric("fleet.members", 2);
    }
    let mut new_process = old_process.start_second_process();
    // The phase changes just after the log line with the address, so that line alone does not show that it serves.
    new_process.wait_for_log_line("Serving");
    // It serves already, and waits only for the gossip port.
    assert_eq!(new_process.call_operator("GET /api/ready").0, "200 OK");
    old_process.send_signal("-TERM");
    new_process.wait_for_log_line("is free, and taken");
    new_process.wait_for_metric("fleet.members", 2);
    old_process.wait_for_log_line("Over");
    let fleet_page = || n2.call_operator("GET /api/fleet").1;
    wait_until("n1 is alive again", || fleet_page().contains("member n1 Alive"));
    // Without another process of the same instance, a port in use is reported in one line and prevents the start.
    let conflicting_fleet = write_fleet_file(a, &[]);
    let facts = std::fs::read_to_string(&new_process.facts_path).expect("facts");
    let listen = new_process.address.to_string();
    let facts = write_facts_file(&facts.replace(&listen, "127.0.0.1:0"));
    let stderr = failed_start_output(&facts, &conflicting_fleet);
    assert!(stderr.contains("can't speak with the fleet on"), "{stderr}");
}

#[test]
fn invalid_messages_are_counted_and_do_no_harm() {
    let (a, b) = (unused_address(), unused_address());
    let mut n1 = start_instance("n1", a, &[b], &entries(3, |_| false));
    let n2 = start_instance("n2", b, &[a], &entries(3, |_| false));
    n1.wait_for_metric("fleet.members", 2);
    let unknown_peer = UdpSocket::bind("127.0.0.3:0").expect("a socket");
    unknown_peer.set_read_timeout(Some(Duration::from_millis(300))).expect("a time-out");
    for length in [0usize, 1, 15, 60, 1_200, 9_000] {
        let bytes: Vec<u8> = (0..length).map(|index| (index * 31 % 251) as u8).collect();
        for _ in 0..50 {
            unknown_peer.send_to(&bytes, a).expect("sent");
        }
    }
    // Stream connections that send nothing, send invalid data, or end early.
    let silent_streams: Vec<TcpStream> =
        (0..4).map(|_| TcpStream::connect(a).expect("a connection")).collect();
    sleep(Duration::from_millis(100));
    drop(silent_streams);
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 64], &[0; 4]] {
        let mut stream = TcpStream::connect(a).expect("a connection");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        // The instance may have closed it already because of its limit on connections.
        let _ = stream.write_all(bytes);
        let mut response = Vec::new();
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let _ = stream.read_to_end(&mut response);
        assert!(response.is_empty(), "{} bytes sent to an unknown peer", response.len());
    }
    n1.wait_for_log_line("messages could not be read");
    wait_until("counted", || n1.metric("fleet.unreadable") > 100);
    assert!(unknown_peer.recv(&mut [0; 2_000]).is_err(), "response sent to an unknown peer");
    // The log line appears at most once a minute, and the instance remains a member.
    assert!(n1.log_lines.try_iter().all(|line| !line.contains("could not be read")), "logged more than once");
    assert_eq!((n1.metric("fleet.members"), n2.metric("fleet.members")), (2, 2));
}
