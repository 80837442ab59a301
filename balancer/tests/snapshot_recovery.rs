//! Tests of recovery from snapshots, as processes: snapshots that are loaded, rejected or cannot be written, and the
//! reported time from the start to full service.

mod helper;

use std::path::{Path, PathBuf};
use std::process::Command;

use helper::{
    Balancer, BalancerOptions, discovery_response, spawn_discovery, unused_address, wait_until,
    write_facts_file,
};

const SETTINGS: &str = r#""NInstances":1,"Me":0,"Tier":0,"Tiers":["one"],"Discovery":"push",
    "Limits":{"MaxDispatches":2,"Peers":true},"#;

/// Writes a fleet file with this snapshot directory and no other instances.
fn write_fleet_file(snapshot_dir: &Path) -> PathBuf {
    let text = format!(
        "fleet = \"test\"\nlisten = \"{}\"\nseeds = []\nsnapshots = \"{}\"\n",
        unused_address(),
        snapshot_dir.display()
    );
    let path = write_facts_file(&text).with_extension("toml");
    std::fs::write(&path, text).expect("write fleet file");
    path
}

fn new_snapshot_dir() -> PathBuf {
    write_facts_file("").with_extension("snapshots")
}

fn start_instance(snapshot_dir: &Path, entries: &str) -> Balancer {
    let fleet_path = Some(write_fleet_file(snapshot_dir));
    let options = BalancerOptions {
        fleet_path,
        has_operator_api: true,
        settings: SETTINGS,
        ..BalancerOptions::default()
    };
    Balancer::start_with_entries(options, entries)
}

/// Discovery entries for space-separated names; a trailing `!` marks a draining endpoint.
fn entries(names: &str) -> String {
    let entry = |name: &str| {
        let lifecycle = if name.ends_with('!') { "DRAINING" } else { "SERVING" };
        format!(
            r#"{{"instanceId":"{}","hostPort":"127.0.0.1:9","zone":"a","cell":1,"lifecycle":"{lifecycle}",
                "weight":1.0,"startedAtMs":0}}"#,
            name.trim_end_matches('!')
        )
    };
    names.split(' ').map(entry).collect::<Vec<_>>().join(",")
}

/// Runs the `snapshot` command on a file and returns whether it succeeded, and its output.
fn run_snapshot_command(arguments: &[&str], file: &Path) -> (bool, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ochreshed"));
    let output = command.arg("snapshot").args(arguments).arg(file).output().expect("the program");
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&text).into_owned())
}

/// Starts an instance with four endpoints, lets discovery report one as removed and one as draining, and kills the
/// instance once its snapshot has that list. Returns the snapshot file.
fn snapshot_of_killed_start_instance(snapshot_dir: &Path) -> PathBuf {
    let first = start_instance(snapshot_dir, &entries("a b c d"));
    spawn_discovery(&first.discovery, discovery_response(42, &entries("a b c!")));
    let file = snapshot_dir.join("snapshot");
    wait_until("a snapshot", || run_snapshot_command(&["verify"], &file).1.contains("list 0.42 of 3 srvs"));
    first.send_signal("-KILL");
    file
}

#[test]
fn a_start_restores_the_snapshot_without_removed_endpoints() {
    let snapshot_dir = new_snapshot_dir();
    let file = snapshot_of_killed_start_instance(&snapshot_dir);
    let (is_success, shown) = run_snapshot_command(&["show"], &file);
    assert!(is_success && shown.contains("srv b serves in a at 127.0.0.1:9"), "{shown}");
    assert!(shown.contains("srv c drains") && !shown.contains("srv d"), "{shown}");
    // The facts hold the old list, and discovery does not respond.
    let mut restarted = start_instance(&snapshot_dir, &entries("a b c d"));
    assert_eq!((restarted.metric("targets"), restarted.metric("targets_disabled")), (3, 1));
    // A list in the facts that is newer than the snapshot is used unchanged.
    restarted.send_signal("-KILL");
    let _ = restarted.process.wait();
    let newer_entries = entries("a b c d");
    let text = std::fs::read_to_string(&restarted.facts_path)
        .expect("facts")
        .replace("\"generation\":41", "\"generation\":50");
    std::fs::write(&restarted.facts_path, text).expect("facts");
    let third = restarted.start_second_process();
    assert_eq!((third.metric("targets"), third.metric("targets_disabled")), (4, 0), "{newer_entries}");
}

#[test]
fn the_time_to_full_service_is_logged_once_and_exported_as_a_metric() {
    let mut first = start_instance(&new_snapshot_dir(), &entries("a b"));
    assert_eq!((first.metric("start.knows"), first.metric("start.full_service_ms")), (1, 0));
    spawn_discovery(&first.discovery, discovery_response(42, &entries("a b")));
    let line = first.wait_for_log_line("full service");
    assert!(line.contains("began by an old list, ready ") && line.contains("told by others never"), "{line}");
    wait_until("shown", || first.metric("start.full_service_ms") > 0);
    assert_eq!(first.metric("start.knows"), 3);
}

#[test]
fn an_unusable_snapshot_or_directory_is_logged_once_and_the_start_continues() {
    let snapshot_dir = new_snapshot_dir();
    let file = snapshot_of_killed_start_instance(&snapshot_dir);
    let valid = std::fs::read(&file).expect("a snapshot");
    let mut damaged = valid.clone();
    damaged[valid.len() / 2] ^= 4;
    let mut newer = valid.clone();
    newer[8] = 9;
    for (bytes, error) in [
        (&damaged[..], "damaged: its checksum is another"),
        (&valid[..valid.len() - 3], "not whole"),
        (&newer[..], "of format 9, which this build does not know"),
        (&b""[..], "no snapshot"),
    ] {
        std::fs::write(&file, bytes).expect("written");
        let (is_success, line) = run_snapshot_command(&["verify"], &file);
        assert!(!is_success && line.contains(error), "{line}");
        let mut restarted = start_instance(&snapshot_dir, &entries("a b c d"));
        assert_eq!(restarted.metric("targets"), 4);
        let lines = restarted
            .skipped_log_lines
            .iter()
            .filter(|line| line.contains(error) && line.contains("goes on without"));
        assert_eq!(lines.count(), 1, "{:?}", restarted.skipped_log_lines);
        restarted.send_signal("-KILL");
        let _ = restarted.process.wait();
    }
    // A directory that cannot be created is logged, and the instance serves.
    let mut without_snapshots = start_instance(Path::new("/proc/none/here"), &entries("a b"));
    spawn_discovery(&without_snapshots.discovery, discovery_response(42, &entries("a b")));
    without_snapshots.wait_for_log_line("no snapshots in /proc/none/here");
    assert_eq!(without_snapshots.call_operator("GET /api/ready").0, "200 OK");
}

#[test]
fn two_processes_never_write_to_one_snapshot_directory() {
    let snapshot_dir = new_snapshot_dir();
    let first = start_instance(&snapshot_dir, &entries("a b"));
    spawn_discovery(&first.discovery, discovery_response(42, &entries("a b")));
    let file = snapshot_dir.join("snapshot");
    wait_until("a snapshot", || run_snapshot_command(&["verify"], &file).0);
    // Another instance is configured with the same directory by mistake.
    let mut second = start_instance(&snapshot_dir, &entries("a b c"));
    spawn_discovery(&second.discovery, discovery_response(77, &entries("a b c")));
    second.wait_for_log_line("another process writes snapshots here");
    assert!(run_snapshot_command(&["verify"], &file).1.contains("list 0.42 of 2 srvs"));
    // The lock is released when the first process ends.
    first.send_signal("-KILL");
    wait_until("snapshot of the second instance", || {
        run_snapshot_command(&["verify"], &file).1.contains("list 0.77 of 3 srvs")
    });
}
