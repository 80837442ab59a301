//! What one req costs a mesh on loopback sockets: processor time and bytes at its gate, at the door beside the upstream
//! that ran it and at the stewards, by the kind of req; what each role takes with nothing to do; and its memory. Then a
//! mesh of 75 attendants and 4 stewards: its memory, and how long a configuration of 1,000 routes takes from its
//! acknowledgement to the last of them. Stand-in upstreams answer at once. Run it with nothing beside it:
//! `cargo bench -p ochreshed-balancer --bench mesh [BINARY]`; another BINARY, such as an earlier version's, is measured in
//! place of this one. Bytes are those of both ways by `ss`, without heads of packets; 0 where there is no such program.
#![allow(dead_code)]

#[path = "../tests/helper/mod.rs"]
mod helper;
#[path = "../tests/mesh/mesh_cluster.rs"]
mod mesh_cluster;

use std::net::SocketAddr;
use std::process::Command;
use std::sync::Barrier;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use mesh_cluster::*;

const IDLE: Duration = Duration::from_secs(5);
const WARM: usize = 300;
const MEASURED: usize = 4_000;
/// Clients on connections of their own, each of which pauses so long between two reqs.
const CLIENTS: usize = 4;
const PAUSE: Duration = Duration::from_millis(2);
/// The mesh of many.
const MANY: usize = 75;
const MANY_STEWARDS: usize = 4;
const ROUTES: usize = 1_000;
const ROUNDS: u64 = 6;

/// Nanoseconds that a process has run.
fn ran(machine: &Machine) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{}/schedstat", machine.number())).unwrap_or_default();
    let threads = std::fs::read_dir(format!("/proc/{}/task", machine.number()));
    let of = |text: String| text.split(' ').next().and_then(|ns| ns.parse::<u64>().ok()).unwrap_or(0);
    let all = threads.into_iter().flatten().flatten();
    let all: u64 = all
        .map(|thread| of(std::fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default()))
        .sum();
    all.max(of(text))
}

/// Its memory at its peak (`VmHWM`) or now (`VmRSS`), in MB.
fn memory(machine: &Machine, of: &str) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", machine.number())).unwrap_or_default();
    let kb = status.lines().find_map(|line| line.strip_prefix(of)?.strip_prefix(':'));
    kb.and_then(|kb| kb.trim().trim_end_matches(" kB").parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

fn ran_by(cluster: &MeshCluster) -> [u64; 3] {
    let stewards = cluster.stewards.iter().map(ran).sum();
    [ran(&cluster.attendants[0]), ran(&cluster.attendants[3]), stewards]
}

/// Bytes that have come and gone on the connections that somebody listening here has now.
fn carried(at: SocketAddr) -> u64 {
    let ss = Command::new("ss").args(["-tinH", "src", &at.to_string()]).output();
    let text = ss.map(|ss| String::from_utf8_lossy(&ss.stdout).into_owned()).unwrap_or_default();
    let words = text.split_whitespace().filter_map(|word| word.split_once(':'));
    let bytes = words.filter(|(name, _)| ["bytes_sent", "bytes_received"].contains(name));
    bytes.filter_map(|(_, count)| count.parse::<u64>().ok()).sum()
}

/// Between clients and the gate, the gate and the door, the door and its upstream.
fn carried_by(cluster: &MeshCluster) -> [u64; 3] {
    let ([gate, ..], [_, door, upstream]) = (cluster.listens(0), cluster.listens(3));
    [gate, door, upstream].map(carried)
}

/// So many reqs of one kind, sent to the first gate after some that warm it; told with what was carried then, while the
/// connections still stand.
fn load(cluster: &MeshCluster, of: &str, count: usize, begin: impl FnOnce()) -> [u64; 3] {
    let (gate, warm, end) = (cluster.gate(0), Barrier::new(CLIENTS + 1), Barrier::new(CLIENTS + 1));
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            let (warm, end) = (&warm, &end);
            scope.spawn(move || {
                let mut stream = None;
                let mut send = |count: usize| {
                    for _ in 0..count / CLIENTS {
                        let id = new_id();
                        let message = match of {
                            "keyed" => req("POST /pay/x", &id, &format!("{KEY}: k-{id}\r\n"), b"move"),
                            "large" => req("GET /big/large", &id, "", b""),
                            _ => req("GET /far/x", &id, "", b""),
                        };
                        let answer = kept(gate, &mut stream, &message).expect("an answer");
                        assert_eq!(answer.status(), "200", "{answer:?}");
                        thread::sleep(PAUSE);
                    }
                };
                send(WARM);
                warm.wait();
                warm.wait();
                send(count);
                end.wait();
                end.wait();
            });
        }
        warm.wait();
        begin();
        warm.wait();
        end.wait();
        let carried = carried_by(cluster);
        end.wait();
        carried
    })
}

/// The mesh of many: how long its configurations take to all of it, and what memory they leave it with.
fn many() {
    let lines: Vec<&str> = (0..MANY).map(|nth| ["alpha", "omega"][nth % 2]).collect();
    let cluster = MeshCluster::of(MANY_STEWARDS, &lines);
    let mut took = Vec::new();
    for version in 2..2 + ROUNDS {
        // Each time other routes.
        let routes = (0..ROUTES).map(|nth| {
            let line = lines[version as usize % 2];
            route(&format!("/many/{nth:04}/{}/", nth as u64 * version), "resendable", line)
        });
        let body = timetable(version, &routes.collect::<Vec<_>>().join(","));
        cluster.replace(0, &body);
        let told = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |at| at.as_nanos());
        let line = format!("configuration in force: version={version} ");
        let known = || cluster.attendants.iter().map(|machine| machine.logged_at(&line));
        helper::wait_until("in force", || known().all(|at| at.is_some()));
        let last = known().flatten().max().unwrap_or(0);
        took.push((last.saturating_sub(told) / 1_000_000, body.len() / 1_000));
    }
    took.sort_unstable();
    let (times, kb): (Vec<u128>, Vec<usize>) = took.into_iter().unzip();
    println!(
        "{MANY} attendants, {MANY_STEWARDS} stewards: {ROUTES} new routes ({} KB), ms from the acknowledgement to the last: \
         {times:?}",
        kb[0]
    );
    let (stewards, attendants) = (cluster.stewards.iter(), cluster.attendants.iter());
    for (role, all) in [("attendant", attendants.collect::<Vec<_>>()), ("steward", stewards.collect())] {
        for (of, name) in [("VmRSS", "now"), ("VmHWM", "at its peak")] {
            let mut all: Vec<f64> = all.iter().map(|machine| memory(machine, of)).collect();
            all.sort_by(f64::total_cmp);
            println!(
                "memory of {role}s {name}, MB: middle {:.1}, most {:.1}",
                all[all.len() / 2],
                all[all.len() - 1]
            );
        }
    }
}

fn main() {
    let binary = std::env::args().skip(1).find(|arg| !arg.starts_with("--"));
    binary.into_iter().for_each(|binary| drop(PROGRAM.set(binary)));
    let cluster = MeshCluster::start();
    let more = [route("/pay/", "registered", "omega"), route("/big/", "outbound_post", "omega")];
    cluster.replace(0, &timetable(2, &more.join(",")));
    cluster.until_in_force("/big/x");
    let (before, from) = (ran_by(&cluster), Instant::now());
    thread::sleep(IDLE);
    let (after, took) = (ran_by(&cluster), from.elapsed().as_secs_f64());
    let idle: Vec<f64> =
        after.iter().zip(before).map(|(after, before)| (after - before) as f64 / 1e3 / took).collect();
    println!(
        "idle, microseconds a second: attendant {:.0} and {:.0}, three stewards {:.0}",
        idle[0], idle[1], idle[2]
    );
    println!(
        "| req | gate, us | door, us | stewards, us | bytes client to gate | gate to door | door to upstream |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for of in ["plain", "keyed", "large"] {
        let count = if of == "large" { MEASURED / 10 } else { MEASURED };
        let (mut before, mut from, mut bytes) = (ran_by(&cluster), Instant::now(), carried_by(&cluster));
        let begin = || (before, from, bytes) = (ran_by(&cluster), Instant::now(), carried_by(&cluster));
        let told = load(&cluster, of, count, begin);
        let (after, took) = (ran_by(&cluster), from.elapsed().as_secs_f64());
        let each: Vec<f64> = after
            .iter()
            .zip(before)
            .zip(&idle)
            .map(|((after, before), idle)| ((after - before) as f64 / 1e3 - idle * took) / count as f64)
            .collect();
        let bytes: Vec<i64> = told
            .iter()
            .zip(bytes)
            .map(|(after, before)| (*after as i64 - before as i64) / count as i64)
            .collect();
        println!(
            "| {of} | {:.0} | {:.0} | {:.0} | {} | {} | {} |",
            each[0], each[1], each[2], bytes[0], bytes[1], bytes[2]
        );
    }
    println!(
        "memory at its peak, MB: attendant {:.1}, steward {:.1}",
        memory(&cluster.attendants[0], "VmHWM"),
        memory(&cluster.stewards[0], "VmHWM")
    );
    drop(cluster);
    many();
}
