//! A thousand people that walk among six sites in the middle of payments, as processes on loopback, over three seeds, with
//! stewards killed and gates that stand still: what becomes of each operation, by the upstreams' ledger. Run it with nothing
//! beside it: `cargo bench -p ochreshed-balancer --bench roaming_sessions [PEOPLE OPERATIONS] [BINARY]`.
#![allow(dead_code)]

#[path = "../tests/helper/mod.rs"]
mod helper;
#[path = "../tests/mesh/mesh_cluster.rs"]
mod mesh_cluster;
#[path = "../tests/mesh/session_load.rs"]
mod session_load;

use std::time::Duration;

use session_load::Walk;

const PEOPLE: usize = 1_000;
const OPERATIONS: usize = 100_000;
/// How long a person pauses between two operations: 2,500 a second together; and none, which is more than the upstreams do.
const PAUSE: Duration = Duration::from_millis(400);
const SEEDS: [u64; 3] = [3, 17, 29];
const SITES: &[&str] = &["alpha", "alpha", "alpha", "alpha", "alpha", "omega"];

fn main() {
    let args: Vec<String> = std::env::args().skip(1).filter(|arg| !arg.starts_with("--")).collect();
    let numbers: Vec<usize> = args.iter().filter_map(|arg| arg.parse().ok()).collect();
    let (people, operations) = match numbers[..] {
        [people, operations, ..] => (people, operations),
        _ => (PEOPLE, OPERATIONS),
    };
    let binary = args.into_iter().find(|arg| arg.parse::<usize>().is_err());
    binary.into_iter().for_each(|binary| drop(mesh_cluster::PROGRAM.set(binary)));
    println!(
        "| seed | faults | pause, ms | operations | landed | unknown | not run | doubled | untrue | mixed | ties kept | moves | ms stayed, \
         moved | s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let calm = [(SEEDS[0], false, Duration::ZERO), (SEEDS[0], false, PAUSE)];
    for (seed, faults, pause) in calm.into_iter().chain(SEEDS.map(|seed| (seed, true, PAUSE))) {
        let walked = Walk { seed, people, operations, pause, sites: SITES, faults }.play();
        println!(
            "| {seed} | {faults} | {} | {} | {} | {} | {} | {} | {} | {} | {:.4} | {} | {:.1}, {:.1} | {:.0} |",
            pause.as_millis(),
            walked.operations,
            walked.landed,
            walked.unknown,
            walked.not_run,
            walked.doubled,
            walked.untrue,
            walked.mixed,
            walked.tied as f64 / walked.followed.max(1) as f64,
            walked.moves,
            walked.stayed_ms,
            walked.moved_ms,
            walked.took.as_secs_f64()
        );
    }
}
