//! Tests of sessions whose clients move between proxies at random while attendants are suspended and stewards are
//! killed, and of the operators' session commands. The mesh runs as processes on loopback, and results are checked
//! against the upstreams' run log.
#![allow(dead_code)]

mod helper;
#[path = "mesh/mesh_cluster.rs"]
mod mesh_cluster;
#[path = "mesh/session_load.rs"]
mod session_load;

use std::time::Duration;

use mesh_cluster::*;
use session_load::{SessionLoad, session_configuration, session_headers};

fn complete_payment(proxy: std::net::SocketAddr, client: usize, key: &str) -> HttpMessage {
    send_with_retries(proxy, "POST /pay/work", &session_headers(client, key), b"10.00").1
}

fn payment_key(client: usize, payment: usize) -> String {
    format!("pay-{client}-{payment}")
}

/// Guards against operations that a suspended proxy sends again when it resumes, or that are lost with a steward.
#[test]
fn operations_run_once_while_clients_move_and_attendants_are_suspended() {
    let session_load = SessionLoad {
        seed: 5,
        clients: 40,
        operations: 800,
        pause: Duration::from_millis(10),
        services: &["alpha", "alpha", "alpha", "omega"],
        has_faults: true,
    };
    let result = session_load.run();
    assert_eq!((result.duplicated, result.falsely_not_run, result.mismatched), (0, 0, 0), "{result:?}");
    assert_eq!(result.succeeded + result.unknown + result.not_run, result.operations, "{result:?}");
    assert!(result.succeeded * 100 >= result.operations * 95, "{result:?}");
}

/// Runs the program's `session` command and returns its JSON output, or the last line of its error output if it fails.
fn session_command(
    cluster: &MeshCluster,
    steward: usize,
    arguments: &[&str],
) -> Result<serde_json::Value, String> {
    let address = cluster.steward_control_address(steward).to_string();
    let arguments = [&["session"], arguments, &["--at", &address, "--json"]].concat();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_ochreshed")).args(arguments).output();
    let output = output.expect("the session command");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_owned();
    match output.status.success() {
        true => Ok(serde_json::from_slice(&output.stdout).expect("JSON")),
        false => Err(text(&output.stderr).lines().last().unwrap_or_default().to_owned()),
    }
}

/// Guards against operators' session commands that proxies ignore, and against a previous holder that keeps a moved
/// session.
#[test]
fn an_operator_can_show_move_and_forget_a_session() {
    let cluster = MeshCluster::start_default();
    cluster.replace_configuration(0, &session_configuration(2));
    cluster.wait_until_in_force("/look/x");
    let inbound_proxies = [0, 1].map(|nth| cluster.attendant_addresses(nth)[1].to_string());
    let command = |verb: &'static str| vec![verb, "person-7", "--service", "alpha", "--header", "X-Person"];
    let error = session_command(&cluster, 0, &command("show")).expect_err("the session does not exist");
    assert!(error.contains("nobody has that session"), "{error}");
    assert_eq!(complete_payment(cluster.outbound_proxy(0), 7, &payment_key(7, 1)).status(), "200");
    let first = session_command(&cluster, 1, &command("show")).expect("the session");
    let tie = cluster.run_log.runs_by_key(&payment_key(7, 1))[0].upstream.clone();
    assert_eq!(
        (&first["holder"]["door"], &first["tie"]["upstream"]),
        (&inbound_proxies[0].clone().into(), &tie.into())
    );
    // The session is moved, with its tie, before its client moves; every steward shows it.
    let moved =
        session_command(&cluster, 2, &[&command("move")[..], &["--to", &inbound_proxies[1]]].concat())
            .expect("moved");
    let shown = session_command(&cluster, 0, &command("show")).expect("the session");
    assert_eq!(
        (&moved["holder"]["door"], &shown["holder"]["door"]),
        (&inbound_proxies[1].clone().into(), &inbound_proxies[1].clone().into())
    );
    assert_eq!(
        (&shown["before"]["door"], &shown["tie"]),
        (&inbound_proxies[0].clone().into(), &first["tie"])
    );
    assert!(shown["epoch"].as_u64() > first["epoch"].as_u64(), "{shown}");
    // The client continues at both proxies, and each payment runs once, at the same upstream.
    for (nth, proxy) in [1, 0, 1].into_iter().enumerate() {
        assert_eq!(
            complete_payment(cluster.outbound_proxy(proxy), 7, &payment_key(7, 10 + nth)).status(),
            "200"
        );
        let runs = cluster.run_log.runs_by_key(&payment_key(7, 10 + nth));
        assert_eq!((runs.len(), &first["tie"]["upstream"]), (1, &runs[0].upstream.clone().into()));
    }
    // A forgotten session starts again with a later epoch.
    session_command(&cluster, 1, &command("forget")).expect("forgotten");
    let forgotten = session_command(&cluster, 0, &command("show")).map(|shown| shown["tie"].is_null());
    assert!(forgotten.is_err() || forgotten == Ok(true), "{forgotten:?}");
    assert_eq!(complete_payment(cluster.outbound_proxy(2), 7, &payment_key(7, 20)).status(), "200");
    let recreated = session_command(&cluster, 0, &command("show")).expect("the session");
    assert!(recreated["epoch"].as_u64() > shown["epoch"].as_u64(), "{recreated}");
    assert_eq!(cluster.run_log.runs_by_key(&payment_key(7, 20)).len(), 1);
    let counts = session_command(&cluster, 0, &["count"]).expect("counts");
    assert_eq!(counts["sessions"], 1);
}
