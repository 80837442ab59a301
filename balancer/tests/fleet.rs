//! Speaking with other instances is off unless the operator's own file is named: without it the program holds no further
//! socket and no further thread; with it where the settings forbid it, it does not start.

mod helper;

use std::fs;
use std::io::{BufRead, BufReader, Read};
use std::net::UdpSocket;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use helper::{RULE_SETS, facts_file};

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn facts(peers: bool) -> PathBuf {
    facts_file(&format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"2a",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},
            "settings":{{"NInstances":2,"Me":0,"Tier":0,"Tiers":["one"],"Discovery":"push",
                "Limits":{{"MaxDispatches":2,"Peers":{peers}}},"RuleSets":{RULE_SETS}}}}}"#
    ))
}

fn fleet_file(listen: &str) -> PathBuf {
    let text = format!("fleet = \"test\"\nlisten = \"{listen}\"\nseeds = []\n");
    let path = facts_file(&text).with_extension("toml");
    fs::write(&path, text).expect("a file");
    path
}

fn start(facts: &Path, fleet: Option<&Path>) -> Running {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ochreshed"));
    command.arg("serve").arg("--facts").arg(facts).env_remove("ROUTER_OPERATOR");
    fleet.map(|fleet| command.arg("--fleet").arg(fleet));
    Running(command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn().expect("the program"))
}

/// The sockets on which anybody can reach it, and its threads, once it serves. Those by which it calls come and go.
fn holds(mut running: Running) -> (usize, usize) {
    let mut lines = BufReader::new(running.0.stderr.take().expect("its log")).lines();
    assert!(lines.any(|line| line.is_ok_and(|line| line.ends_with("Serving"))), "it does not serve");
    let process = PathBuf::from(format!("/proc/{}", running.0.id()));
    let table = |name: &str| fs::read_to_string(process.join("net").join(name)).expect("a table of sockets");
    let (tcp, udp) = (table("tcp"), table("udp"));
    // The state stands fourth, the inode tenth; 0A: it listens.
    let lines =
        tcp.lines().filter(|line| line.split_whitespace().nth(3) == Some("0A")).chain(udp.lines().skip(1));
    let open: Vec<String> = lines
        .filter_map(|line| line.split_whitespace().nth(9))
        .map(|inode| format!("socket:[{inode}]"))
        .collect();
    let links = fs::read_dir(process.join("fd")).expect("descriptors");
    let links = links.filter_map(|fd| fs::read_link(fd.ok()?.path()).ok());
    let sockets = links.filter(|link| open.iter().any(|open| link.as_os_str() == open.as_str())).count();
    (sockets, fs::read_dir(process.join("task")).expect("threads").count())
}

#[test]
fn without_the_operators_file_there_is_no_further_socket_and_no_further_thread() {
    let free = UdpSocket::bind("127.0.0.3:0").and_then(|socket| socket.local_addr()).expect("a port");
    let (off, allowed) = (holds(start(&facts(false), None)), holds(start(&facts(true), None)));
    let on = holds(start(&facts(true), Some(&fleet_file(&free.to_string()))));
    assert_eq!((off, allowed.0), ((1, off.1), 1), "allowing it turns it on");
    assert_eq!(on, (off.0 + 2, off.1), "with it, two sockets more: datagrams, and meetings");
}

#[test]
fn what_run_starts_names_no_such_file() {
    let deploy = fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/balancer.toml"));
    assert!(!deploy.expect("the deploy file").contains("fleet"));
}

#[test]
fn where_the_settings_forbid_it_there_is_a_plain_line_and_no_start() {
    let refused = |peers: bool, fleet: &Path| {
        let mut running = start(&facts(peers), Some(fleet));
        let mut said = String::new();
        running.0.stderr.take().expect("its log").read_to_string(&mut said).expect("text");
        assert!(!running.0.wait().expect("its end").success());
        said
    };
    let said = refused(false, &fleet_file("127.0.0.1:7001"));
    assert!(said.contains("the settings don't allow messages between instances (/Limits/Peers)"), "{said}");
    let said = refused(true, &fleet_file("0.0.0.0:7001"));
    assert!(said.contains("listen: the address and port that others reach this instance at"), "{said}");
}
