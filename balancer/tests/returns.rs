//! Processes that come back with what they knew: snapshots that are taken, refused, or can't be written, and a measured way
//! to full service.

mod helper;

use std::path::{Path, PathBuf};
use std::process::Command;

use helper::{Balancer, Given, facts_file, free, list, tells, until};

const SETTINGS: &str = r#""NInstances":1,"Me":0,"Tier":0,"Tiers":["one"],"Discovery":"push",
    "Limits":{"MaxDispatches":2,"Peers":true},"#;

/// An operator's file with this folder for snapshots, and nobody else to speak with.
fn fleet_file(folder: &Path) -> PathBuf {
    let text = format!(
        "fleet = \"test\"\nlisten = \"{}\"\nseeds = []\nsnapshots = \"{}\"\n",
        free(),
        folder.display()
    );
    let path = facts_file(&text).with_extension("toml");
    std::fs::write(&path, text).expect("a file");
    path
}

fn folder() -> PathBuf {
    facts_file("").with_extension("snapshots")
}

fn instance(folder: &Path, known: &str) -> Balancer {
    let fleet = Some(fleet_file(folder));
    Balancer::knowing(Given { fleet, operator: true, settings: SETTINGS, ..Given::default() }, known)
}

/// Srvs: `!` behind those that drain.
fn srvs(names: &str) -> String {
    let entry = |name: &str| {
        let state = if name.ends_with('!') { "DRAINING" } else { "SERVING" };
        format!(
            r#"{{"instanceId":"{}","hostPort":"127.0.0.1:9","zone":"a","cell":1,"lifecycle":"{state}",
                "weight":1.0,"startedAtMs":0}}"#,
            name.trim_end_matches('!')
        )
    };
    names.split(' ').map(entry).collect::<Vec<_>>().join(",")
}

fn snapshot(words: &[&str], file: &Path) -> (bool, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ochreshed"));
    let output = command.arg("snapshot").args(words).arg(file).output().expect("the program");
    let said = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&said).into_owned())
}

/// One that was told that of four srvs one is gone and one drains, and killed once that stood in its snapshot.
fn killed(folder: &Path) -> PathBuf {
    let first = instance(folder, &srvs("a b c d"));
    tells(&first.discovery, list(42, &srvs("a b c!")));
    let file = folder.join("snapshot");
    until("a snapshot", || snapshot(&["verify"], &file).1.contains("list 0.42 of 3 srvs"));
    first.signal("-KILL");
    file
}

#[test]
fn a_start_takes_over_what_was_known_and_nothing_that_was_gone() {
    let folder = folder();
    let file = killed(&folder);
    let (well, shown) = snapshot(&["show"], &file);
    assert!(well && shown.contains("srv b serves in a at 127.0.0.1:9"), "{shown}");
    assert!(shown.contains("srv c drains") && !shown.contains("srv d"), "{shown}");
    // The facts' list is the old one, and discovery says nothing.
    let mut again = instance(&folder, &srvs("a b c d"));
    assert_eq!((again.figure("targets"), again.figure("targets_disabled")), (3, 1));
    // A list that is newer than the snapshot is taken as it is.
    again.signal("-KILL");
    let _ = again.process.wait();
    let newer = srvs("a b c d");
    let text = std::fs::read_to_string(&again.facts)
        .expect("facts")
        .replace("\"generation\":41", "\"generation\":50");
    std::fs::write(&again.facts, text).expect("facts");
    let third = again.beside();
    assert_eq!((third.figure("targets"), third.figure("targets_disabled")), (4, 0), "{newer}");
}

#[test]
fn the_way_to_full_service_is_told_in_one_line_and_as_a_figure() {
    let mut first = instance(&folder(), &srvs("a b"));
    assert_eq!((first.figure("start.knows"), first.figure("start.full_service_ms")), (1, 0));
    tells(&first.discovery, list(42, &srvs("a b")));
    let line = first.logged("full service");
    assert!(line.contains("began by an old list, ready ") && line.contains("told by others never"), "{line}");
    until("shown", || first.figure("start.full_service_ms") > 0);
    assert_eq!(first.figure("start.knows"), 3);
}

#[test]
fn what_cannot_be_taken_or_written_is_one_line_and_the_start_goes_on() {
    let folder = folder();
    let file = killed(&folder);
    let whole = std::fs::read(&file).expect("a snapshot");
    let mut damaged = whole.clone();
    damaged[whole.len() / 2] ^= 4;
    let mut newer = whole.clone();
    newer[8] = 9;
    for (bytes, said) in [
        (&damaged[..], "damaged: its checksum is another"),
        (&whole[..whole.len() - 3], "not whole"),
        (&newer[..], "of format 9, which this build does not know"),
        (&b""[..], "no snapshot"),
    ] {
        std::fs::write(&file, bytes).expect("written");
        let (well, line) = snapshot(&["verify"], &file);
        assert!(!well && line.contains(said), "{line}");
        let mut again = instance(&folder, &srvs("a b c d"));
        assert_eq!(again.figure("targets"), 4);
        let lines =
            again.passed.iter().filter(|line| line.contains(said) && line.contains("goes on without"));
        assert_eq!(lines.count(), 1, "{:?}", again.passed);
        again.signal("-KILL");
        let _ = again.process.wait();
    }
    // A folder that can't be: a line, and it serves.
    let mut nowhere = instance(Path::new("/proc/none/here"), &srvs("a b"));
    tells(&nowhere.discovery, list(42, &srvs("a b")));
    nowhere.logged("no snapshots in /proc/none/here");
    assert_eq!(nowhere.ask("GET /api/ready").0, "200 OK");
}

#[test]
fn two_processes_never_write_one_folder() {
    let folder = folder();
    let first = instance(&folder, &srvs("a b"));
    tells(&first.discovery, list(42, &srvs("a b")));
    let file = folder.join("snapshot");
    until("a snapshot", || snapshot(&["verify"], &file).0);
    // Another instance that was given the same folder by mistake.
    let mut second = instance(&folder, &srvs("a b c"));
    tells(&second.discovery, list(77, &srvs("a b c")));
    second.logged("another process writes snapshots here");
    assert!(snapshot(&["verify"], &file).1.contains("list 0.42 of 2 srvs"));
    // Once the first has ended the lock is free.
    first.signal("-KILL");
    until("its own", || snapshot(&["verify"], &file).1.contains("list 0.77 of 3 srvs"));
}
