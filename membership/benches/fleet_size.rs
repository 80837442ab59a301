//! How the protocol behaves over the fleet's size, in simulated time: how long until all members have found each other,
//! until 99% and all know of a crash, until the halves of a partition of a minute agree again, and what a member sends
//! meanwhile. Without message loss, and with a third of the messages lost. Not run in CI.

#[path = "../tests/simulated_fleet/mod.rs"]
mod simulated_fleet;

use ochreshed_membership::S;
use simulated_fleet::SimulatedFleet;

/// Times in seconds, and the bytes that a member sends a second while nothing changes.
struct Results {
    found_s: f64,
    crash_known_by_99_percent_s: f64,
    crash_known_by_all_s: f64,
    rejoined_s: f64,
    bytes_per_s: f64,
}

fn main() {
    println!("simulated, mean of 3 seeds; seconds, and bytes a second a member when calm");
    println!(
        "| members | lost | found by all | crash heard by 99% | by all | agree after a cut | bytes a second |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for loss in [0.0, 0.33] {
        // With a third of the messages lost, 300 members have not all found each other after two minutes.
        let sizes: &[usize] = if loss > 0.0 { &[10, 30, 100] } else { &[10, 30, 100, 300] };
        for size in sizes.iter().copied() {
            let runs: Vec<Results> = std::thread::scope(|scope| {
                let runs: Vec<_> = (1..4).map(|seed| scope.spawn(move || run(size, loss, seed))).collect();
                runs.into_iter().map(|run| run.join().expect("a run")).collect()
            });
            let mean = |value: fn(&Results) -> f64| runs.iter().map(value).sum::<f64>() / runs.len() as f64;
            println!(
                "| {size} | {loss} | {:.1} | {:.1} | {:.1} | {:.1} | {:.0} |",
                mean(|run| run.found_s),
                mean(|run| run.crash_known_by_99_percent_s),
                mean(|run| run.crash_known_by_all_s),
                mean(|run| run.rejoined_s),
                mean(|run| run.bytes_per_s)
            );
        }
    }
}

fn run(size: usize, loss: f64, seed: u64) -> Results {
    let mut fleet = SimulatedFleet::new(size, seed);
    fleet.loss = loss;
    let seconds = |span: u64| span as f64 / S as f64;
    // With messages lost, some member is always wrongly suspected for a moment, so 99% count as all.
    let nearly_all_count = |fleet: &SimulatedFleet, size: usize| {
        let right = fleet.members.keys().filter(|member| fleet.live_count(**member) + 1 >= size).count();
        right as f64 >= 0.99 * fleet.members.len() as f64
    };
    let found_s = seconds(fleet.run_until(120 * S, |fleet| nearly_all_count(fleet, size)));
    fleet.run(20 * S);
    fleet.sent_bytes = vec![0; size];
    fleet.run(20 * S);
    let bytes_per_s = fleet.sent_bytes.iter().sum::<usize>() as f64 / size as f64 / 20.0;
    fleet.members.remove(&(size - 1));
    let crashed = format!("n{}", size - 1);
    let informed_share = |fleet: &SimulatedFleet| {
        let informed =
            fleet.members.values().filter(|swim| !swim.live_members().any(|name| *name == crashed));
        informed.count() as f64 / (size - 1) as f64
    };
    let crash_known_by_99_percent_s =
        seconds(fleet.run_until(120 * S, |fleet| informed_share(fleet) >= 0.99));
    let crash_known_by_all_s =
        crash_known_by_99_percent_s + seconds(fleet.run_until(120 * S, |fleet| informed_share(fleet) >= 1.0));
    fleet.is_cut = Box::new(move |from, to| (from < size / 2) != (to < size / 2));
    fleet.run(60 * S);
    fleet.is_cut = Box::new(|_, _| false);
    let rejoined_s = seconds(fleet.run_until(300 * S, |fleet| nearly_all_count(fleet, size - 1)));
    Results { found_s, crash_known_by_99_percent_s, crash_known_by_all_s, rejoined_s, bytes_per_s }
}
