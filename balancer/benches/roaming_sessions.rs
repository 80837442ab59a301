//! Measures a load of a thousand clients with sessions that move between the proxies of six attendants in the middle of
//! payments, with three seeds, while stewards are killed and attendants suspended: the outcome of each operation by the
//! upstreams' run log, and latencies.
//!
//! Run it on an otherwise idle machine:
//! `cargo bench -p ochreshed-balancer --bench roaming_sessions [CLIENTS OPERATIONS] [BINARY]`.
#![allow(dead_code)]

#[path = "../tests/helper/mod.rs"]
mod helper;
#[path = "../tests/mesh/mesh_cluster.rs"]
mod mesh_cluster;
#[path = "../tests/mesh/session_load.rs"]
mod session_load;

use std::time::Duration;

use session_load::SessionLoad;

const CLIENT_COUNT: usize = 1_000;
const OPERATION_COUNT: usize = 100_000;
/// Mean pause of a client between two operations, which makes 2,500 operations per second in all. A run without pauses
/// offers more load than the upstreams can serve.
const CLIENT_PAUSE: Duration = Duration::from_millis(400);
const SEEDS: [u64; 3] = [3, 17, 29];
const ATTENDANT_SERVICES: &[&str] = &["alpha", "alpha", "alpha", "alpha", "alpha", "omega"];

fn main() {
    let args: Vec<String> = std::env::args().skip(1).filter(|arg| !arg.starts_with("--")).collect();
    let numbers: Vec<usize> = args.iter().filter_map(|arg| arg.parse().ok()).collect();
    let (clients, operations) = match numbers[..] {
        [clients, operations, ..] => (clients, operations),
        _ => (CLIENT_COUNT, OPERATION_COUNT),
    };
    let binary = args.into_iter().find(|arg| arg.parse::<usize>().is_err());
    binary.into_iter().for_each(|binary| drop(mesh_cluster::PROGRAM_PATH.set(binary)));
    println!(
        "| seed | faults | pause, ms | operations | succeeded | unknown | not run | duplicated | falsely not run | \
         mismatched | ties kept | moves | median ms stayed, moved | s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let without_faults = [(SEEDS[0], false, Duration::ZERO), (SEEDS[0], false, CLIENT_PAUSE)];
    for (seed, has_faults, pause) in
        without_faults.into_iter().chain(SEEDS.map(|seed| (seed, true, CLIENT_PAUSE)))
    {
        let load = SessionLoad { seed, clients, operations, pause, services: ATTENDANT_SERVICES, has_faults };
        let result = load.run();
        println!(
            "| {seed} | {has_faults} | {} | {} | {} | {} | {} | {} | {} | {} | {:.4} | {} | {:.1}, {:.1} | {:.0} |",
            pause.as_millis(),
            result.operations,
            result.succeeded,
            result.unknown,
            result.not_run,
            result.duplicated,
            result.falsely_not_run,
            result.mismatched,
            result.runs_at_same_upstream as f64 / result.follow_up_runs.max(1) as f64,
            result.session_moves,
            result.stayed_median_ms,
            result.moved_median_ms,
            result.duration.as_secs_f64()
        );
    }
}
