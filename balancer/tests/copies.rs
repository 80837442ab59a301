//! Instances that speak with each other, as processes: copies that differ in much meet, a process takes over its
//! predecessor's place in the fleet, and what is no message does no harm.

mod helper;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::thread::sleep;
use std::time::Duration;

use helper::{Balancer, Given, LONG, facts_file, free, list, refused, tells, until};

const SETTINGS: &str = r#""NInstances":3,"Me":0,"Tier":0,"Tiers":["one"],"Discovery":"push",
    "Limits":{"MaxDispatches":2,"Peers":true},"#;

fn fleet_file(listen: SocketAddr, seeds: &[SocketAddr]) -> PathBuf {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let text = format!("fleet = \"test\"\nlisten = \"{listen}\"\nseeds = [{}]\n", seeds.join(", "));
    let path = facts_file(&text).with_extension("toml");
    std::fs::write(&path, text).expect("a file");
    path
}

fn instance(name: &'static str, listen: SocketAddr, seeds: &[SocketAddr], known: &str) -> Balancer {
    let fleet = Some(fleet_file(listen, seeds));
    Balancer::knowing(Given { name, fleet, operator: true, settings: SETTINGS, ..Given::default() }, known)
}

/// So many srvs, those at these places draining.
fn srvs(count: usize, drains: impl Fn(usize) -> bool) -> String {
    let entry = |number: usize| {
        let state = if drains(number) { "DRAINING" } else { "SERVING" };
        format!(
            r#"{{"instanceId":"cell-7/srv-{number:05}","hostPort":"127.0.0.1:9","zone":"a","cell":1,"lifecycle":"{state}",
                "weight":1.0,"startedAtMs":0}}"#
        )
    };
    (0..count).map(entry).collect::<Vec<_>>().join(",")
}

#[test]
fn copies_that_differ_in_much_meet_and_a_member_that_stood_still_is_caught_up() {
    let (a, b) = (free(), free());
    let n1 = instance("n1", a, &[b], &srvs(1_000, |_| false));
    let n2 = instance("n2", b, &[a], &srvs(1_000, |_| false));
    tells(&n1.discovery, list(42, &srvs(1_000, |_| false)));
    tells(&n2.discovery, list(42, &srvs(1_000, |_| false)));
    n1.until("fleet.members", 2);
    n2.until("fleet.members", 2);
    // A third one has heard of 900 drains, and of nobody yet. Its discovery is gone when the others hear of it.
    let c = free();
    let n3 = instance("n3", c, &[], &srvs(1_000, |_| false));
    tells(&n3.discovery, list(43, &srvs(1_000, |number| number % 10 > 0)));
    n3.until("fleet.worse", 900);
    // One of the two stands still meanwhile.
    n2.signal("-STOP");
    let n4 = instance("n4", free(), &[a, c], &srvs(1_000, |_| false));
    until("caught up", || n1.figure("fleet.worse") == 900 && n4.figure("fleet.worse") == 900);
    assert!(n1.figure("fleet.meetings") + n3.figure("fleet.meetings") + n4.figure("fleet.meetings") > 0);
    n2.signal("-CONT");
    until("caught up after it stood still", || n2.figure("fleet.worse") == 900);
    // What was told goes by for the module too: those srvs are avoided, though its own list says that they serve.
    until("heeded", || n2.figure("targets_disabled") >= 900);
}

#[test]
fn a_process_that_takes_over_speaks_from_the_same_port() {
    let (a, b) = (free(), free());
    let n2 = instance("n2", b, &[a], &srvs(3, |_| false));
    let mut old = instance("n1", a, &[b], &srvs(3, |_| false));
    for instance in [&n2, &old] {
        tells(&instance.discovery, list(42, &srvs(3, |_| false)));
        instance.until("fleet.members", 2);
    }
    let mut new = old.beside();
    // The phase changes just after the line that names the address, so that line alone doesn't show that it serves.
    new.logged("Serving");
    // It serves already, and waits for the port only.
    assert_eq!(new.ask("GET /api/ready").0, "200 OK");
    old.signal("-TERM");
    new.logged("is free, and taken");
    new.until("fleet.members", 2);
    old.logged("Over");
    let held = || n2.ask("GET /api/fleet").1;
    until("there again", || held().contains("member n1 Alive"));
    // With nobody beside it a port that is taken is a plain line and no start.
    let taken = fleet_file(a, &[]);
    let facts = std::fs::read_to_string(&new.facts).expect("facts");
    let listen = new.address.to_string();
    let facts = facts_file(&facts.replace(&listen, "127.0.0.1:0"));
    let said = refused(&facts, &taken);
    assert!(said.contains("can't speak with the fleet on"), "{said}");
}

#[test]
fn what_is_no_message_is_counted_and_does_no_harm() {
    let (a, b) = (free(), free());
    let mut n1 = instance("n1", a, &[b], &srvs(3, |_| false));
    let n2 = instance("n2", b, &[a], &srvs(3, |_| false));
    n1.until("fleet.members", 2);
    let stranger = UdpSocket::bind("127.0.0.3:0").expect("a socket");
    stranger.set_read_timeout(Some(Duration::from_millis(300))).expect("a time-out");
    for length in [0usize, 1, 15, 60, 1_200, 9_000] {
        let bytes: Vec<u8> = (0..length).map(|at| (at * 31 % 251) as u8).collect();
        for _ in 0..50 {
            stranger.send_to(&bytes, a).expect("sent");
        }
    }
    // Meetings that say nothing, say too much, or break off.
    let silent: Vec<TcpStream> = (0..4).map(|_| TcpStream::connect(a).expect("a connection")).collect();
    sleep(Duration::from_millis(100));
    drop(silent);
    for said in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 64], &[0; 4]] {
        let mut stream = TcpStream::connect(a).expect("a connection");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        // It may be closed already, as one too many.
        let _ = stream.write_all(said);
        let mut back = Vec::new();
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let _ = stream.read_to_end(&mut back);
        assert!(back.is_empty(), "{} bytes to a stranger", back.len());
    }
    n1.logged("messages could not be read");
    until("counted", || n1.figure("fleet.unreadable") > 100);
    assert!(stranger.recv(&mut [0; 2_000]).is_err(), "an answer to a stranger");
    // One line a minute, and it goes on as a member.
    assert!(n1.log.try_iter().all(|line| !line.contains("could not be read")), "a line for each");
    assert_eq!((n1.figure("fleet.members"), n2.figure("fleet.members")), (2, 2));
}
