//! People that walk among sites at random while gates stand still and stewards are killed, and what an operator sees and
//! does of their sessions by the client. Processes on loopback; the upstreams' ledger is the judge.
#![allow(dead_code)]

mod helper;
#[path = "mesh/mesh_cluster.rs"]
mod mesh_cluster;
#[path = "mesh/session_load.rs"]
mod session_load;

use std::time::Duration;

use mesh_cluster::*;
use session_load::{Walk, fields, with_sessions};

fn finishes(gate: std::net::SocketAddr, person: usize, key: &str) -> Message {
    insisted(gate, "POST /pay/work", &fields(person, key), b"10.00").1
}

fn key(person: usize, payment: usize) -> String {
    format!("pay-{person}-{payment}")
}

/// Guards against operations that a gate which stood still and wakes sends once more, or that are lost with a steward.
#[test]
fn people_walk_among_sites_that_stand_still_and_each_operation_lands_once() {
    let walk = Walk {
        seed: 5,
        people: 40,
        operations: 800,
        pause: Duration::from_millis(10),
        sites: &["alpha", "alpha", "alpha", "omega"],
        faults: true,
    };
    let walked = walk.play();
    assert_eq!((walked.doubled, walked.untrue, walked.mixed), (0, 0, 0), "{walked:?}");
    assert_eq!(walked.landed + walked.unknown + walked.not_run, walked.operations, "{walked:?}");
    assert!(walked.landed * 100 >= walked.operations * 95, "{walked:?}");
}

/// What the operators' client prints of a session, as JSON; its last line where it fails.
fn client(cluster: &MeshCluster, steward: usize, words: &[&str]) -> Result<serde_json::Value, String> {
    let at = cluster.control(steward).to_string();
    let words = [&["session"], words, &["--at", &at, "--json"]].concat();
    let ran = std::process::Command::new(env!("CARGO_BIN_EXE_ochreshed")).args(words).output();
    let ran = ran.expect("the client");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_owned();
    match ran.status.success() {
        true => Ok(serde_json::from_slice(&ran.stdout).expect("JSON")),
        false => Err(text(&ran.stderr).lines().last().unwrap_or_default().to_owned()),
    }
}

/// Guards against an operator's word on a session that the gates don't heed, and against one that lets an old holder go on.
#[test]
fn an_operator_sees_a_session_moves_it_and_has_it_forgotten() {
    let cluster = MeshCluster::start();
    cluster.replace(0, &with_sessions(2));
    cluster.until_in_force("/look/x");
    let doors = [0, 1].map(|nth| cluster.listens(nth)[1].to_string());
    let of = |verb: &'static str| vec![verb, "person-7", "--service", "alpha", "--header", "X-Person"];
    let nobody = client(&cluster, 0, &of("show")).expect_err("nobody has it");
    assert!(nobody.contains("nobody has that session"), "{nobody}");
    assert_eq!(finishes(cluster.gate(0), 7, &key(7, 1)).status(), "200");
    let first = client(&cluster, 1, &of("show")).expect("it is there");
    let tie = cluster.ledger.of_key(&key(7, 1))[0].by.clone();
    assert_eq!(
        (&first["holder"]["door"], &first["tie"]["upstream"]),
        (&doors[0].clone().into(), &tie.into())
    );
    // Moved ahead of its person, with its tie; any steward tells of it.
    let moved = client(&cluster, 2, &[&of("move")[..], &["--to", &doors[1]]].concat()).expect("moved");
    let shown = client(&cluster, 0, &of("show")).expect("it is there");
    assert_eq!(
        (&moved["holder"]["door"], &shown["holder"]["door"]),
        (&doors[1].clone().into(), &doors[1].clone().into())
    );
    assert_eq!((&shown["before"]["door"], &shown["tie"]), (&doors[0].clone().into(), &first["tie"]));
    assert!(shown["epoch"].as_u64() > first["epoch"].as_u64(), "{shown}");
    // The person goes on at both, in whatever order; each payment lands once, at the same upstream.
    for (nth, gate) in [1, 0, 1].into_iter().enumerate() {
        assert_eq!(finishes(cluster.gate(gate), 7, &key(7, 10 + nth)).status(), "200");
        let runs = cluster.ledger.of_key(&key(7, 10 + nth));
        assert_eq!((runs.len(), &first["tie"]["upstream"]), (1, &runs[0].by.clone().into()));
    }
    // Forgotten: it begins anew, under a later epoch.
    client(&cluster, 1, &of("forget")).expect("forgotten");
    let forgotten = client(&cluster, 0, &of("show")).map(|shown| shown["tie"].is_null());
    assert!(forgotten.is_err() || forgotten == Ok(true), "{forgotten:?}");
    assert_eq!(finishes(cluster.gate(2), 7, &key(7, 20)).status(), "200");
    let again = client(&cluster, 0, &of("show")).expect("it is there");
    assert!(again["epoch"].as_u64() > shown["epoch"].as_u64(), "{again}");
    assert_eq!(cluster.ledger.of_key(&key(7, 20)).len(), 1);
    let counts = client(&cluster, 0, &["count"]).expect("figures");
    assert_eq!(counts["sessions"], 1);
}
