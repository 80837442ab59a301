//! What one req costs a mesh on loopback sockets: processor time at its gate, at the door beside the upstream that ran it
//! and at the stewards, by the kind of req; what each role takes with nothing to do; and its memory. Stand-in upstreams
//! answer at once. Run it with nothing beside it: `cargo bench -p ochreshed-balancer --bench mesh [BINARY]`; another
//! BINARY, such as an earlier version's, is measured in place of this one.
#![allow(dead_code)]

#[path = "../tests/helper/mod.rs"]
mod helper;
#[path = "../tests/mesh/town.rs"]
mod town;

use std::thread;
use std::time::{Duration, Instant};

use town::*;

const IDLE: Duration = Duration::from_secs(5);
const WARM: usize = 300;
const MEASURED: usize = 4_000;
/// Clients on connections of their own, each of which pauses so long between two reqs.
const CLIENTS: usize = 4;
const PAUSE: Duration = Duration::from_millis(2);

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

fn memory(machine: &Machine) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", machine.number())).unwrap_or_default();
    let kb = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    kb.and_then(|kb| kb.trim().trim_end_matches(" kB").parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

fn ran_by(town: &Town) -> [u64; 3] {
    let stewards = town.stewards.iter().map(ran).sum();
    [ran(&town.attendants[0]), ran(&town.attendants[3]), stewards]
}

/// So many reqs of one kind, sent to the first gate.
fn load(town: &Town, of: &str, count: usize) {
    let gate = town.gate(0);
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(move || {
                let mut stream = None;
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
            });
        }
    });
}

fn main() {
    let binary = std::env::args().skip(1).find(|arg| !arg.starts_with("--"));
    binary.into_iter().for_each(|binary| drop(PROGRAM.set(binary)));
    let town = Town::start();
    let more = [route("/pay/", "registered", "omega"), route("/big/", "outbound_post", "omega")];
    town.replace(0, &timetable(2, &more.join(",")));
    town.until_in_force("/big/x");
    let (before, from) = (ran_by(&town), Instant::now());
    thread::sleep(IDLE);
    let (after, took) = (ran_by(&town), from.elapsed().as_secs_f64());
    let idle: Vec<f64> =
        after.iter().zip(before).map(|(after, before)| (after - before) as f64 / 1e3 / took).collect();
    println!(
        "idle, microseconds a second: attendant {:.0} and {:.0}, three stewards {:.0}",
        idle[0], idle[1], idle[2]
    );
    println!("| req | gate, us | door, us | stewards, us |");
    println!("| --- | --- | --- | --- |");
    for of in ["plain", "keyed", "large"] {
        load(&town, of, WARM);
        let (before, from) = (ran_by(&town), Instant::now());
        let count = if of == "large" { MEASURED / 10 } else { MEASURED };
        load(&town, of, count);
        let (after, took) = (ran_by(&town), from.elapsed().as_secs_f64());
        let each: Vec<f64> = after
            .iter()
            .zip(before)
            .zip(&idle)
            .map(|((after, before), idle)| ((after - before) as f64 / 1e3 - idle * took) / count as f64)
            .collect();
        println!("| {of} | {:.0} | {:.0} | {:.0} |", each[0], each[1], each[2]);
    }
    println!(
        "memory at its peak, MB: attendant {:.1}, steward {:.1}",
        memory(&town.attendants[0]),
        memory(&town.stewards[0])
    );
}
