//! Gossip between instances is off unless a fleet file is named: without it the program opens no additional socket and
//! starts no additional thread. With a fleet file that the settings forbid, the program does not start.

mod helper;

use std::fs;
use std::io::{BufRead, BufReader, Read};
use std::net::UdpSocket;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use helper::{RULE_SETS, write_facts_file};

/// A process that is killed on drop.
struct RunningProcess(Child);

impl Drop for RunningProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn write_facts(peers: bool) -> PathBuf {
    write_facts_file(&format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"2a",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},
            "settings":{{"NInstances":2,"Me":0,"Tier":0,"Tiers":["one"],"Discovery":"push",
                "Limits":{{"MaxDispatches":2,"Peers":{peers}}},"RuleSets":{RULE_SETS}}}}}"#
    ))
}

fn write_fleet_file(listen: &str) -> PathBuf {
    let text = format!("fleet = \"test\"\nlisten = \"{listen}\"\nseeds = []\n");
    let path = write_facts_file(&text).with_extension("toml");
    fs::write(&path, text).expect("write fleet file");
    path
}

fn start_program(facts: &Path, fleet: Option<&Path>) -> RunningProcess {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ochreshed"));
    command.arg("serve").arg("--facts").arg(facts).env_remove("ROUTER_OPERATOR");
    fleet.map(|fleet| command.arg("--fleet").arg(fleet));
    RunningProcess(command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn().expect("the program"))
}

/// Waits until the process serves, and counts its reachable sockets (listening TCP and UDP) and its threads. Outgoing
/// connections are not counted because their number varies.
fn count_sockets_and_threads(mut running: RunningProcess) -> (usize, usize) {
    let mut lines = BufReader::new(running.0.stderr.take().expect("its log")).lines();
    assert!(lines.any(|line| line.is_ok_and(|line| line.ends_with("Serving"))), "the program does not serve");
    let process = PathBuf::from(format!("/proc/{}", running.0.id()));
    let table = |name: &str| fs::read_to_string(process.join("net").join(name)).expect("a table of sockets");
    let (tcp, udp) = (table("tcp"), table("udp"));
    // The fourth field is the state, where 0A means listening, and the tenth field is the inode.
    let lines =
        tcp.lines().filter(|line| line.split_whitespace().nth(3) == Some("0A")).chain(udp.lines().skip(1));
    let reachable: Vec<String> = lines
        .filter_map(|line| line.split_whitespace().nth(9))
        .map(|inode| format!("socket:[{inode}]"))
        .collect();
    let links = fs::read_dir(process.join("fd")).expect("descriptors");
    let links = links.filter_map(|fd| fs::read_link(fd.ok()?.path()).ok());
    let sockets = links.filter(|link| reachable.iter().any(|name| link.as_os_str() == name.as_str())).count();
    (sockets, fs::read_dir(process.join("task")).expect("threads").count())
}

#[test]
fn without_a_fleet_file_no_additional_socket_or_thread_exists() {
    let address = UdpSocket::bind("127.0.0.3:0").and_then(|socket| socket.local_addr()).expect("a port");
    let (disabled, allowed) = (
        count_sockets_and_threads(start_program(&write_facts(false), None)),
        count_sockets_and_threads(start_program(&write_facts(true), None)),
    );
    let fleet_file = write_fleet_file(&address.to_string());
    let enabled = count_sockets_and_threads(start_program(&write_facts(true), Some(&fleet_file)));
    assert_eq!((disabled, allowed.0), ((1, disabled.1), 1), "allowing gossip alone must not enable it");
    assert_eq!(
        enabled,
        (disabled.0 + 2, disabled.1),
        "gossip adds two sockets: one for datagrams, one for streams"
    );
}

#[test]
fn the_deploy_file_names_no_fleet_file() {
    let deploy = fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/balancer.toml"));
    assert!(!deploy.expect("the deploy file").contains("fleet"));
}

#[test]
fn a_forbidden_or_invalid_fleet_file_prevents_the_start() {
    let failed_start_output = |peers: bool, fleet: &Path| {
        let mut running = start_program(&write_facts(peers), Some(fleet));
        let mut stderr = String::new();
        running.0.stderr.take().expect("its log").read_to_string(&mut stderr).expect("text");
        assert!(!running.0.wait().expect("its exit").success());
        stderr
    };
    let stderr = failed_start_output(false, &write_fleet_file("127.0.0.1:7001"));
    assert!(
        stderr.contains("the settings don't allow messages between instances (/Limits/Peers)"),
        "{stderr}"
    );
    let stderr = failed_start_output(true, &write_fleet_file("0.0.0.0:7001"));
    assert!(stderr.contains("listen: the address and port that others reach this instance at"), "{stderr}");
}
