//! Two members on one platform, as processes on loopback: what one's changes cost the other's operations, over three
//! seeds, with stewards killed in turn; then how long a member's change takes from its acknowledgement to the last node,
//! at 12 and at 75 attendants. Run it with nothing beside it:
//! `cargo bench -p ochreshed-balancer --bench federation [SECONDS] [BINARY]`.
#![allow(dead_code)]

#[path = "../tests/mesh/federation.rs"]
mod federation;
#[path = "../tests/helper/mod.rs"]
mod helper;
#[path = "../tests/mesh/mesh_cluster.rs"]
mod mesh_cluster;

use std::time::{Duration, SystemTime};

use federation::*;
use mesh_cluster::*;

const SECONDS: u64 = 40;
const SEEDS: [u64; 3] = [11, 23, 47];
const CLIENTS: usize = 3;
const ROUNDS: u64 = 100;

fn drills(seconds: u64) {
    println!(
        "| seed | norte's changes | sul's operations | on time | lost | doubled | mixed | taken, refused |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for seed in SEEDS {
        for changes in [false, true] {
            let lasts = Duration::from_secs(seconds);
            let came = Drill { seed, lasts, clients: CLIENTS, changes, faults: true }.play();
            println!(
                "| {seed} | {} | {} | {:.4} | {} | {} | {} | {}, {} |",
                if changes { "one a second" } else { "none" },
                came.operations,
                came.on_time_share(),
                came.lost,
                came.doubled,
                came.mixed,
                came.taken,
                came.refused
            );
        }
    }
}

/// How long a member's change takes to the last of so many attendants.
fn spread(attendants: usize, stewards: usize) {
    let lines: Vec<&str> = (0..attendants).map(|nth| ["alpha", "omega"][nth % 2]).collect();
    let cluster = MeshCluster::of(stewards, &lines);
    name_members(&cluster, &register(1, r#""alpha","omega""#, r#""routes":100,"changes_per_minute":10000"#));
    let mut took = Vec::new();
    for edition in 1..=ROUNDS {
        let path = format!("p{edition}");
        let body = document("norte", edition, "", &[(&path, "resendable", "alpha", 6_000)]);
        change(&cluster, "replace", "norte", "norte-key", &body);
        let told = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |at| at.as_nanos());
        let line = format!("member document in force: member=norte version={edition} ");
        let known = || cluster.attendants.iter().map(|machine| machine.logged_at(&line));
        helper::wait_until("in force", || known().all(|at| at.is_some()));
        took.push(known().flatten().max().unwrap_or(0).saturating_sub(told) as f64 / 1e6);
    }
    took.sort_by(f64::total_cmp);
    let at = |part: f64| took[((took.len() - 1) as f64 * part) as usize];
    println!(
        "{attendants} attendants, {stewards} stewards, {ROUNDS} changes: ms from the acknowledgement to the last node: \
         middle {:.1}, 99 of 100 {:.1}, longest {:.1}",
        at(0.5),
        at(0.99),
        at(1.0)
    );
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).filter(|arg| !arg.starts_with("--")).collect();
    let seconds = args.iter().find_map(|arg| arg.parse().ok());
    args.into_iter().filter(|arg| arg.parse::<u64>().is_err()).for_each(|binary| drop(PROGRAM.set(binary)));
    drills(seconds.unwrap_or(SECONDS));
    spread(12, 3);
    spread(12, 4);
    spread(75, 4);
}
