//! Measures how the cost of the control plane grows with the mesh: four stewards as processes, and simulated attendants
//! (`ochreshed hollow`) of which each process runs many, at each of the given sizes. It measures the CPU time and
//! memory of a steward and of a simulated attendant, bytes on the loopback interface, and the time until all attendants
//! have the first configuration and until the last one has a change; when idle, with changing records, and with leases.
//!
//! Run it on an otherwise idle machine: `cargo bench -p ochreshed-balancer --bench hollow [SIZE ...]`. Bytes include
//! packet headers and are divided by the number of attendants. All processes share the cores of this machine.
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

const LARGE_MESH_STEWARDS: usize = 4;
/// Simulated attendants in one process.
const ATTENDANTS_PER_PROCESS: usize = 200;
const MEASURED_DURATION: Duration = Duration::from_secs(8);
/// Changed records and acquired leases per second in the phases that have them.
const CHANGES_PER_S: [usize; 2] = [3, 30];
const LEASES_PER_S: [usize; 2] = [100, 400];
const ROUTE_COUNT: usize = 200;
const CONFIGURATION_COUNT: u64 = 5;

/// A process with simulated attendants.
struct SimulatedAttendants {
    process: Child,
    commands: ChildStdin,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Drop for SimulatedAttendants {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl SimulatedAttendants {
    fn start(cluster: &MeshCluster, first: usize, count: usize) -> SimulatedAttendants {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ochreshed"));
        command.arg("hollow").args(["--count", &count.to_string(), "--first", &first.to_string()]);
        command.args(["--inner", &cluster.steward_internal_address(0).port().to_string()]);
        for nth in 0..3 {
            command.args(["--seed", &cluster.steward_control_address(nth).to_string()]);
        }
        let process = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn();
        let mut process = process.expect("a hollow process");
        let (commands, out) = (process.stdin.take().expect("piped"), process.stdout.take().expect("piped"));
        let lines = Arc::new(Mutex::new(Vec::new()));
        let received_lines = lines.clone();
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                received_lines.lock().expect("a lock").push(line);
            }
        });
        SimulatedAttendants { process, commands, lines }
    }

    fn send_command(&mut self, command: &str) {
        writeln!(self.commands, "{command}").expect("sent");
    }

    /// Unix time in ms at which all attendants of this process had this version.
    fn time_of_version(&self, version: u64) -> Option<u128> {
        let lines = self.lines.lock().expect("a lock");
        let reports = lines.iter().filter_map(|line| line.strip_prefix("version ")?.split_once(' '));
        let mut later_reports =
            reports.filter(|(reported, _)| reported.parse::<u64>().is_ok_and(|reported| reported >= version));
        later_reports.next().and_then(|(_, time)| time.parse().ok())
    }

    fn figures(&mut self) -> Vec<u64> {
        self.lines.lock().expect("a lock").retain(|line| !line.starts_with("figures"));
        self.send_command("figures");
        let line = || {
            let lines = self.lines.lock().expect("a lock");
            lines.iter().find_map(|line| line.strip_prefix("figures ").map(str::to_owned))
        };
        helper::wait_until("the figures are received", || line().is_some());
        line().unwrap_or_default().split(' ').filter_map(|word| word.parse().ok()).collect()
    }
}

/// CPU time of a process in nanoseconds.
fn cpu_time_ns(id: u32) -> u64 {
    let threads = std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten();
    let text = threads.map(|thread| read_to_string(thread.path().join("schedstat")).unwrap_or_default());
    text.map(|text| text.split(' ').next().and_then(|ns| ns.parse::<u64>().ok()).unwrap_or(0)).sum()
}

/// Current memory of a process in MB.
fn memory_mb(id: u32) -> f64 {
    let status = read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let kb = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    kb.and_then(|kb| kb.trim().trim_end_matches(" kB").parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

/// Bytes received on the loopback interface.
fn loopback_bytes() -> u64 {
    let text = read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

struct Usage {
    /// CPU use of each steward, in cores.
    steward_cores: Vec<f64>,
    /// CPU use per attendant, in cores.
    attendant_cores: f64,
    /// Loopback traffic per attendant.
    bytes_per_s: f64,
}

/// Measures CPU use and traffic for [`MEASURED_DURATION`].
fn measure_usage(cluster: &MeshCluster, attendant_processes: &[SimulatedAttendants], count: usize) -> Usage {
    let steward_times =
        || cluster.stewards.iter().map(|process| cpu_time_ns(process.pid())).collect::<Vec<u64>>();
    let attendant_time =
        || attendant_processes.iter().map(|attendants| cpu_time_ns(attendants.process.id())).sum::<u64>();
    let (stewards_before, attendants_before, bytes_before, start) =
        (steward_times(), attendant_time(), loopback_bytes(), Instant::now());
    thread::sleep(MEASURED_DURATION);
    let elapsed_s = start.elapsed().as_secs_f64();
    let cores = |after: u64, before: u64| (after - before) as f64 / 1e9 / elapsed_s;
    let stewards_after = steward_times();
    Usage {
        steward_cores: stewards_after
            .iter()
            .zip(&stewards_before)
            .map(|(after, before)| cores(*after, *before))
            .collect(),
        attendant_cores: cores(attendant_time(), attendants_before) / count as f64,
        bytes_per_s: (loopback_bytes() - bytes_before) as f64 / elapsed_s / count as f64,
    }
}

fn print_row(count: usize, phase: &str, usage: &Usage, notes: &str) {
    let max = usage.steward_cores.iter().copied().fold(0.0, f64::max);
    let mean = usage.steward_cores.iter().sum::<f64>() / usage.steward_cores.len() as f64;
    println!(
        "| {count} | {phase} | {mean:.4} | {max:.4} | {:.5} | {:.0} | {notes} |",
        usage.attendant_cores, usage.bytes_per_s
    );
}

fn measure_mesh(count: usize) {
    let cluster = MeshCluster::start_with(LARGE_MESH_STEWARDS, &["alpha", "omega"]);
    let without_attendants = measure_usage(&cluster, &[], count);
    let started = Instant::now();
    let firsts = (0..count).step_by(ATTENDANTS_PER_PROCESS);
    let mut attendant_processes: Vec<SimulatedAttendants> = firsts
        .map(|first| SimulatedAttendants::start(&cluster, first, ATTENDANTS_PER_PROCESS.min(count - first)))
        .collect();
    let all_have_version = |attendant_processes: &[SimulatedAttendants], version| {
        attendant_processes.iter().all(|attendants| attendants.time_of_version(version).is_some())
    };
    let deadline = Instant::now() + Duration::from_secs(120);
    while !all_have_version(&attendant_processes, 1) && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(20));
    }
    let first_configuration_ms = started.elapsed().as_millis();
    // Waits until every attendant has the records of all.
    let min_records = |attendant_processes: &mut Vec<SimulatedAttendants>| {
        attendant_processes.iter_mut().map(|attendants| attendants.figures()[1]).min()
    };
    while min_records(&mut attendant_processes).is_some_and(|records| records < count as u64)
        && Instant::now() < deadline
    {
        thread::sleep(Duration::from_millis(100));
    }
    let all_records_ms = started.elapsed().as_millis();
    thread::sleep(Duration::from_secs(2));
    print_row(count, "no attendants", &without_attendants, "-");
    let idle = measure_usage(&cluster, &attendant_processes, count);
    let records = min_records(&mut attendant_processes).unwrap_or(0);
    print_row(
        count,
        "idle",
        &idle,
        &format!(
            "first configuration {first_configuration_ms} ms, all {records} records {all_records_ms} ms"
        ),
    );
    let mut times_ms = Vec::new();
    for version in 2..2 + CONFIGURATION_COUNT {
        let routes = (0..ROUTE_COUNT).map(|nth| {
            let changed = if nth == 0 { version } else { 0 };
            route_entry(&format!("/many/{nth:04}/{changed}/"), "resendable", "alpha")
        });
        let body = configuration(version, &routes.collect::<Vec<_>>().join(","));
        cluster.replace_configuration(0, &body);
        let acknowledged_ms =
            SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |time| time.as_millis());
        helper::wait_until("the configuration is in force", || {
            all_have_version(&attendant_processes, version)
        });
        let last_ms = attendant_processes
            .iter()
            .filter_map(|attendants| attendants.time_of_version(version))
            .max()
            .unwrap_or(0);
        times_ms.push(last_ms.saturating_sub(acknowledged_ms));
    }
    println!("| {count} | time until the last attendant has a change, ms | | | | | {times_ms:?} |");
    for changes in CHANGES_PER_S {
        let share = |nth: usize| {
            changes / attendant_processes.len() + usize::from(nth < changes % attendant_processes.len())
        };
        let shares: Vec<usize> = (0..attendant_processes.len()).map(share).collect();
        attendant_processes
            .iter_mut()
            .zip(&shares)
            .for_each(|(attendants, share)| attendants.send_command(&format!("changes {share}")));
        thread::sleep(Duration::from_secs(2));
        let usage = measure_usage(&cluster, &attendant_processes, count);
        print_row(count, &format!("{changes} changed records per second"), &usage, "-");
    }
    attendant_processes.iter_mut().for_each(|attendants| attendants.send_command("changes 0"));
    for leases in LEASES_PER_S {
        let share = leases / attendant_processes.len();
        attendant_processes
            .iter_mut()
            .for_each(|attendants| attendants.send_command(&format!("claims {share}")));
        thread::sleep(Duration::from_secs(2));
        let usage = measure_usage(&cluster, &attendant_processes, count);
        let figures: Vec<Vec<u64>> =
            attendant_processes.iter_mut().map(SimulatedAttendants::figures).collect();
        let sum = |index: usize| figures.iter().map(|figures| figures[index]).sum::<u64>();
        let notes = format!("{} leases, {} missed, mean {} us", sum(2), sum(3), figures[0][4]);
        print_row(count, &format!("{} leases per second", share * attendant_processes.len()), &usage, &notes);
    }
    attendant_processes.iter_mut().for_each(|attendants| attendants.send_command("claims 0"));
    let steward_mb = cluster.stewards.iter().map(|process| memory_mb(process.pid())).fold(0.0, f64::max);
    let attendant_mb =
        attendant_processes.iter().map(|attendants| memory_mb(attendants.process.id())).sum::<f64>()
            / count as f64;
    println!(
        "| {count} | memory, MB: steward {steward_mb:.1}, simulated attendant {attendant_mb:.2} | | | | | |"
    );
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![12, 75, 300, 600, 1_000, 1_600] } else { sizes };
    println!(
        "| attendants | phase | mean steward, cores | busiest steward, cores | simulated attendant, cores | \
         bytes/s per attendant | |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    sizes.into_iter().for_each(measure_mesh);
}
