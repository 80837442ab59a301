//! What the control plane costs as a mesh grows: four stewards as processes, and hollow attendants (`ochreshed hollow`)
//! in a few processes beside them, at each of the sizes told. Processor time and memory of a steward and of a hollow
//! attendant, bytes on loopback, the time until all have the first configuration and until the last has a change, with
//! nothing to do, with records that change and with claims. Run it with nothing beside it:
//! `cargo bench -p ochreshed-balancer --bench hollow [SIZE ...]`. Bytes are those of the loopback interface with heads of
//! packets, divided by the attendants; all processes share this machine's cores.
#![allow(dead_code)]

#[path = "../tests/helper/mod.rs"]
mod helper;
#[path = "../tests/mesh/mesh_cluster.rs"]
mod mesh_cluster;

use std::fs::read_to_string;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use mesh_cluster::*;

const STEWARDS_OF_MANY: usize = 4;
/// Attendants of one hollow process.
const IN_ONE: usize = 200;
const SPAN: Duration = Duration::from_secs(8);
/// Records that change a second, and claims, in the phases that have them.
const CHANGES: [usize; 2] = [3, 30];
const CLAIMS: [usize; 2] = [100, 400];
const ROUTES: usize = 200;
const ROUNDS: u64 = 5;

struct Hollow {
    process: Child,
    commands: ChildStdin,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Drop for Hollow {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Hollow {
    fn start(cluster: &MeshCluster, first: usize, count: usize) -> Hollow {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ochreshed"));
        command.arg("hollow").args(["--count", &count.to_string(), "--first", &first.to_string()]);
        command.args(["--inner", &cluster.inner(0).port().to_string()]);
        for nth in 0..3 {
            command.args(["--seed", &cluster.control(nth).to_string()]);
        }
        let process = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn();
        let mut process = process.expect("a hollow process");
        let (commands, out) = (process.stdin.take().expect("piped"), process.stdout.take().expect("piped"));
        let lines = Arc::new(Mutex::new(Vec::new()));
        let told = lines.clone();
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                told.lock().expect("a lock").push(line);
            }
        });
        Hollow { process, commands, lines }
    }

    fn say(&mut self, command: &str) {
        writeln!(self.commands, "{command}").expect("told");
    }

    /// When all of this process had that version, in ms of the time of day.
    fn version_at(&self, version: u64) -> Option<u128> {
        let lines = self.lines.lock().expect("a lock");
        let told = lines.iter().filter_map(|line| line.strip_prefix("version ")?.split_once(' '));
        let mut later = told.filter(|(told, _)| told.parse::<u64>().is_ok_and(|told| told >= version));
        later.next().and_then(|(_, at)| at.parse().ok())
    }

    fn figures(&mut self) -> Vec<u64> {
        self.lines.lock().expect("a lock").retain(|line| !line.starts_with("figures"));
        self.say("figures");
        let line = || {
            let lines = self.lines.lock().expect("a lock");
            lines.iter().find_map(|line| line.strip_prefix("figures ").map(str::to_owned))
        };
        helper::wait_until("figures", || line().is_some());
        let told = line();
        told.unwrap_or_default().split(' ').filter_map(|word| word.parse().ok()).collect()
    }
}

/// Nanoseconds that a process has run.
fn ran(id: u32) -> u64 {
    let threads = std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten();
    let text = threads.map(|thread| read_to_string(thread.path().join("schedstat")).unwrap_or_default());
    text.map(|text| text.split(' ').next().and_then(|ns| ns.parse::<u64>().ok()).unwrap_or(0)).sum()
}

/// Its memory now, in MB.
fn memory(id: u32) -> f64 {
    let status = read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let kb = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    kb.and_then(|kb| kb.trim().trim_end_matches(" kB").parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

fn loopback() -> u64 {
    let text = read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

struct Costs {
    stewards: Vec<f64>,
    hollow: f64,
    bytes: f64,
}

/// Shares of a core, and bytes a second, over a span.
fn costs(cluster: &MeshCluster, hollows: &[Hollow], count: usize) -> Costs {
    let stewards = || cluster.stewards.iter().map(|machine| ran(machine.number())).collect::<Vec<u64>>();
    let hollow = || hollows.iter().map(|hollow| ran(hollow.process.id())).sum::<u64>();
    let (before, hollow_before, bytes, from) = (stewards(), hollow(), loopback(), Instant::now());
    thread::sleep(SPAN);
    let span = from.elapsed().as_secs_f64();
    let part = |after: u64, before: u64| (after - before) as f64 / 1e9 / span;
    let after = stewards();
    Costs {
        stewards: after.iter().zip(&before).map(|(after, before)| part(*after, *before)).collect(),
        hollow: part(hollow(), hollow_before) / count as f64,
        bytes: (loopback() - bytes) as f64 / span / count as f64,
    }
}

fn row(count: usize, phase: &str, costs: &Costs, more: &str) {
    let most = costs.stewards.iter().copied().fold(0.0, f64::max);
    let mean = costs.stewards.iter().sum::<f64>() / costs.stewards.len() as f64;
    println!(
        "| {count} | {phase} | {mean:.4} | {most:.4} | {:.5} | {:.0} | {more} |",
        costs.hollow, costs.bytes
    );
}

fn measure(count: usize) {
    let cluster = MeshCluster::of(STEWARDS_OF_MANY, &["alpha", "omega"]);
    let idle = costs(&cluster, &[], count);
    let began = Instant::now();
    let firsts = (0..count).step_by(IN_ONE);
    let mut hollows: Vec<Hollow> =
        firsts.map(|first| Hollow::start(&cluster, first, IN_ONE.min(count - first))).collect();
    let known =
        |hollows: &[Hollow], version| hollows.iter().all(|hollow| hollow.version_at(version).is_some());
    let until = Instant::now() + Duration::from_secs(120);
    while !known(&hollows, 1) && Instant::now() < until {
        thread::sleep(Duration::from_millis(20));
    }
    let first_ms = began.elapsed().as_millis();
    // All know of all.
    let least = |hollows: &mut Vec<Hollow>| hollows.iter_mut().map(|hollow| hollow.figures()[1]).min();
    while least(&mut hollows).is_some_and(|least| least < count as u64) && Instant::now() < until {
        thread::sleep(Duration::from_millis(100));
    }
    let whole_ms = began.elapsed().as_millis();
    thread::sleep(Duration::from_secs(2));
    row(count, "no attendants", &idle, "-");
    let calm = costs(&cluster, &hollows, count);
    let records = least(&mut hollows).unwrap_or(0);
    row(
        count,
        "calm",
        &calm,
        &format!("first configuration {first_ms} ms, all of {records} records {whole_ms} ms"),
    );
    let mut took = Vec::new();
    for version in 2..2 + ROUNDS {
        let routes = (0..ROUTES).map(|nth| {
            let changed = if nth == 0 { version } else { 0 };
            route(&format!("/many/{nth:04}/{changed}/"), "resendable", "alpha")
        });
        let body = timetable(version, &routes.collect::<Vec<_>>().join(","));
        cluster.replace(0, &body);
        let told = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |at| at.as_millis());
        helper::wait_until("in force", || known(&hollows, version));
        let last = hollows.iter().filter_map(|hollow| hollow.version_at(version)).max().unwrap_or(0);
        took.push(last.saturating_sub(told));
    }
    println!("| {count} | a change to the last, ms | | | | | {took:?} |");
    for changes in CHANGES {
        let share = |nth: usize| changes / hollows.len() + usize::from(nth < changes % hollows.len());
        let shares: Vec<usize> = (0..hollows.len()).map(share).collect();
        hollows.iter_mut().zip(&shares).for_each(|(hollow, share)| hollow.say(&format!("changes {share}")));
        thread::sleep(Duration::from_secs(2));
        row(count, &format!("{changes} records a second"), &costs(&cluster, &hollows, count), "-");
    }
    hollows.iter_mut().for_each(|hollow| hollow.say("changes 0"));
    for claims in CLAIMS {
        let share = claims / hollows.len();
        hollows.iter_mut().for_each(|hollow| hollow.say(&format!("claims {share}")));
        thread::sleep(Duration::from_secs(2));
        let costs = costs(&cluster, &hollows, count);
        let told: Vec<Vec<u64>> = hollows.iter_mut().map(Hollow::figures).collect();
        let sum = |at: usize| told.iter().map(|figures| figures[at]).sum::<u64>();
        let more = format!("{} claims, {} missed, mean {} us", sum(2), sum(3), told[0][4]);
        row(count, &format!("{} claims a second", share * hollows.len()), &costs, &more);
    }
    hollows.iter_mut().for_each(|hollow| hollow.say("claims 0"));
    let stewards = cluster.stewards.iter().map(|machine| memory(machine.number())).fold(0.0, f64::max);
    let hollow = hollows.iter().map(|hollow| memory(hollow.process.id())).sum::<f64>() / count as f64;
    println!("| {count} | memory, MB: steward {stewards:.1}, hollow attendant {hollow:.2} | | | | | |");
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![12, 75, 300, 600, 1_000, 1_600] } else { sizes };
    println!(
        "| attendants | phase | a steward, cores | busiest | a hollow attendant, cores | bytes/s each | |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    sizes.into_iter().for_each(measure);
}
