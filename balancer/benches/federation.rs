//! Measures two members on one platform, as processes on loopback: the effect of one member's changes on the other's
//! operations, with three seeds, while stewards are killed in turn; and the time from the acknowledgement of a member's
//! change until the last node applies it, with 12 and with 75 attendants.
//!
//! Run it on an otherwise idle machine: `cargo bench -p ochreshed-balancer --bench federation [SECONDS] [BINARY]`.
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

const SCENARIO_DURATION_S: u64 = 40;
const SEEDS: [u64; 3] = [11, 23, 47];
const CLIENTS_PER_PROXY: usize = 3;
const CHANGE_COUNT: u64 = 100;

fn run_scenarios(duration_s: u64) {
    println!(
        "| seed | norte's changes | sul's operations | on time | lost | duplicated | mismatched | accepted, rejected changes |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for seed in SEEDS {
        for has_changes in [false, true] {
            let duration = Duration::from_secs(duration_s);
            let scenario = FederationScenario {
                seed,
                duration,
                clients_per_proxy: CLIENTS_PER_PROXY,
                has_changes,
                has_faults: true,
            };
            let result = scenario.run();
            println!(
                "| {seed} | {} | {} | {:.4} | {} | {} | {} | {}, {} |",
                if has_changes { "one per second" } else { "none" },
                result.operations,
                result.on_time_share(),
                result.lost,
                result.duplicated,
                result.mismatched,
                result.accepted_changes,
                result.rejected_changes
            );
        }
    }
}

/// Measures the time until a member's change is in force at the last attendant.
fn measure_propagation(attendants: usize, stewards: usize) {
    let services: Vec<&str> = (0..attendants).map(|nth| ["alpha", "omega"][nth % 2]).collect();
    let cluster = MeshCluster::start_with(stewards, &services);
    replace_member_register(
        &cluster,
        &member_register(1, r#""alpha","omega""#, r#""routes":100,"changes_per_minute":10000"#),
    );
    let mut times_ms = Vec::new();
    for edition in 1..=CHANGE_COUNT {
        let path = format!("p{edition}");
        let body = member_document("norte", edition, "", &[(&path, "resendable", "alpha", 6_000)]);
        submit_change(&cluster, "replace", "norte", "norte-key", &body);
        let acknowledged_ns =
            SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |time| time.as_nanos());
        let log_text = format!("member document in force: member=norte version={edition} ");
        let times_in_force = || cluster.attendants.iter().map(|process| process.log_time_of(&log_text));
        helper::wait_until("the document is in force", || times_in_force().all(|time| time.is_some()));
        let last_ns = times_in_force().flatten().max().unwrap_or(0);
        times_ms.push(last_ns.saturating_sub(acknowledged_ns) as f64 / 1e6);
    }
    times_ms.sort_by(f64::total_cmp);
    let quantile = |fraction: f64| times_ms[((times_ms.len() - 1) as f64 * fraction) as usize];
    println!(
        "{attendants} attendants, {stewards} stewards, {CHANGE_COUNT} changes: ms from the acknowledgement to the last node: \
         median {:.1}, 99th percentile {:.1}, maximum {:.1}",
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).filter(|arg| !arg.starts_with("--")).collect();
    let duration_s = args.iter().find_map(|arg| arg.parse().ok());
    args.into_iter()
        .filter(|arg| arg.parse::<u64>().is_err())
        .for_each(|binary| drop(PROGRAM_PATH.set(binary)));
    run_scenarios(duration_s.unwrap_or(SCENARIO_DURATION_S));
    measure_propagation(12, 3);
    measure_propagation(12, 4);
    measure_propagation(75, 4);
}
