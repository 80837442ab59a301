//! Measures the cost of a request in a mesh on loopback sockets: CPU time and bytes at the outbound proxy, at the
//! inbound proxy of the upstream that runs it and at the stewards, by kind of request; the CPU time of each role when
//! idle; and memory. A second mesh of 75 attendants and 4 stewards measures memory, and the time from the
//! acknowledgement of a configuration of 1,000 routes until the last attendant applies it. Stub upstreams respond at
//! once.
//!
//! Run it on an otherwise idle machine: `cargo bench -p ochreshed-balancer --bench mesh [BINARY]`. With `BINARY`,
//! another build is measured instead of this one. Bytes are counted in both directions by `ss`, without packet headers,
//! and are 0 if that program is missing.
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

const IDLE_DURATION: Duration = Duration::from_secs(5);
const WARM_UP_REQUESTS: usize = 300;
const MEASURED_REQUESTS: usize = 4_000;
/// Clients, each with its own connection and with a pause between its requests.
const CLIENT_COUNT: usize = 4;
const CLIENT_PAUSE: Duration = Duration::from_millis(2);
/// Size of the large mesh.
const LARGE_MESH_ATTENDANTS: usize = 75;
const LARGE_MESH_STEWARDS: usize = 4;
const ROUTE_COUNT: usize = 1_000;
const CONFIGURATION_COUNT: u64 = 6;

/// CPU time of a process in nanoseconds.
fn cpu_time_ns(process: &MeshProcess) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{}/schedstat", process.pid())).unwrap_or_default();
    let threads = std::fs::read_dir(format!("/proc/{}/task", process.pid()));
    let parse_ns = |text: String| text.split(' ').next().and_then(|ns| ns.parse::<u64>().ok()).unwrap_or(0);
    let threads = threads.into_iter().flatten().flatten();
    let thread_sum: u64 = threads
        .map(|thread| parse_ns(std::fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default()))
        .sum();
    thread_sum.max(parse_ns(text))
}

/// Peak (`VmHWM`) or current (`VmRSS`) memory of a process in MB.
fn memory_mb(process: &MeshProcess, field: &str) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.pid())).unwrap_or_default();
    let kb = status.lines().find_map(|line| line.strip_prefix(field)?.strip_prefix(':'));
    kb.and_then(|kb| kb.trim().trim_end_matches(" kB").parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

/// CPU time of the attendant of the clients, of that of the upstream, and of all stewards.
fn cpu_times_ns(cluster: &MeshCluster) -> [u64; 3] {
    let stewards = cluster.stewards.iter().map(cpu_time_ns).sum();
    [cpu_time_ns(&cluster.attendants[0]), cpu_time_ns(&cluster.attendants[3]), stewards]
}

/// Bytes sent and received on the open connections of the listener at this address.
fn transferred_bytes(address: SocketAddr) -> u64 {
    let ss = Command::new("ss").args(["-tinH", "src", &address.to_string()]).output();
    let text = ss.map(|ss| String::from_utf8_lossy(&ss.stdout).into_owned()).unwrap_or_default();
    let words = text.split_whitespace().filter_map(|word| word.split_once(':'));
    let bytes = words.filter(|(name, _)| ["bytes_sent", "bytes_received"].contains(name));
    bytes.filter_map(|(_, count)| count.parse::<u64>().ok()).sum()
}

/// Bytes between the clients and the outbound proxy, between the proxies, and between the inbound proxy and its
/// upstream.
fn transferred_bytes_by_hop(cluster: &MeshCluster) -> [u64; 3] {
    let ([outbound, ..], [_, inbound, upstream]) =
        (cluster.attendant_addresses(0), cluster.attendant_addresses(3));
    [outbound, inbound, upstream].map(transferred_bytes)
}

/// Sends requests of one kind to the first outbound proxy: first the warm-up, then `on_start` is called, then the
/// measured ones. Returns the bytes by hop, read while the connections are still open.
fn send_requests(cluster: &MeshCluster, kind: &str, count: usize, on_start: impl FnOnce()) -> [u64; 3] {
    let (proxy, warm_up_barrier, end_barrier) =
        (cluster.outbound_proxy(0), Barrier::new(CLIENT_COUNT + 1), Barrier::new(CLIENT_COUNT + 1));
    thread::scope(|scope| {
        for _ in 0..CLIENT_COUNT {
            let (warm_up_barrier, end_barrier) = (&warm_up_barrier, &end_barrier);
            scope.spawn(move || {
                let mut stream = None;
                let mut send = |count: usize| {
                    for _ in 0..count / CLIENT_COUNT {
                        let id = new_request_id();
                        let message = match kind {
                            "keyed" => request_bytes(
                                "POST /pay/x",
                                &id,
                                &format!("{IDEMPOTENCY_KEY_HEADER}: k-{id}\r\n"),
                                b"move",
                            ),
                            "large" => request_bytes("GET /big/large", &id, "", b""),
                            _ => request_bytes("GET /far/x", &id, "", b""),
                        };
                        let response =
                            send_on_kept_connection(proxy, &mut stream, &message).expect("a response");
                        assert_eq!(response.status(), "200", "{response:?}");
                        thread::sleep(CLIENT_PAUSE);
                    }
                };
                send(WARM_UP_REQUESTS);
                warm_up_barrier.wait();
                warm_up_barrier.wait();
                send(count);
                end_barrier.wait();
                end_barrier.wait();
            });
        }
        warm_up_barrier.wait();
        on_start();
        warm_up_barrier.wait();
        end_barrier.wait();
        let bytes = transferred_bytes_by_hop(cluster);
        end_barrier.wait();
        bytes
    })
}

/// Measures how long configurations take to reach all attendants of the large mesh, and its memory afterwards.
fn measure_large_mesh() {
    let services: Vec<&str> = (0..LARGE_MESH_ATTENDANTS).map(|nth| ["alpha", "omega"][nth % 2]).collect();
    let cluster = MeshCluster::start_with(LARGE_MESH_STEWARDS, &services);
    let mut samples = Vec::new();
    for version in 2..2 + CONFIGURATION_COUNT {
        // Each configuration has different routes.
        let routes = (0..ROUTE_COUNT).map(|nth| {
            let service = services[version as usize % 2];
            route_entry(&format!("/many/{nth:04}/{}/", nth as u64 * version), "resendable", service)
        });
        let body = configuration(version, &routes.collect::<Vec<_>>().join(","));
        cluster.replace_configuration(0, &body);
        let acknowledged_ns =
            SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |time| time.as_nanos());
        let log_text = format!("configuration in force: version={version} ");
        let times_in_force = || cluster.attendants.iter().map(|process| process.log_time_of(&log_text));
        helper::wait_until("the configuration is in force", || times_in_force().all(|time| time.is_some()));
        let last_ns = times_in_force().flatten().max().unwrap_or(0);
        samples.push((last_ns.saturating_sub(acknowledged_ns) / 1_000_000, body.len() / 1_000));
    }
    samples.sort_unstable();
    let (times, kb): (Vec<u128>, Vec<usize>) = samples.into_iter().unzip();
    println!(
        "{LARGE_MESH_ATTENDANTS} attendants, {LARGE_MESH_STEWARDS} stewards: {ROUTE_COUNT} new routes ({} KB), ms from the acknowledgement to the last attendant: \
         {times:?}",
        kb[0]
    );
    let (stewards, attendants) = (cluster.stewards.iter(), cluster.attendants.iter());
    for (role, processes) in [("attendant", attendants.collect::<Vec<_>>()), ("steward", stewards.collect())]
    {
        for (field, name) in [("VmRSS", "current"), ("VmHWM", "peak")] {
            let mut sizes: Vec<f64> = processes.iter().map(|process| memory_mb(process, field)).collect();
            sizes.sort_by(f64::total_cmp);
            println!(
                "{name} memory of {role}s, MB: median {:.1}, maximum {:.1}",
                sizes[sizes.len() / 2],
                sizes[sizes.len() - 1]
            );
        }
    }
}

fn main() {
    let binary = std::env::args().skip(1).find(|arg| !arg.starts_with("--"));
    binary.into_iter().for_each(|binary| drop(PROGRAM_PATH.set(binary)));
    let cluster = MeshCluster::start_default();
    let extra_routes =
        [route_entry("/pay/", "registered", "omega"), route_entry("/big/", "outbound_post", "omega")];
    cluster.replace_configuration(0, &configuration(2, &extra_routes.join(",")));
    cluster.wait_until_in_force("/big/x");
    let (before, start) = (cpu_times_ns(&cluster), Instant::now());
    thread::sleep(IDLE_DURATION);
    let (after, elapsed_s) = (cpu_times_ns(&cluster), start.elapsed().as_secs_f64());
    let idle: Vec<f64> =
        after.iter().zip(before).map(|(after, before)| (after - before) as f64 / 1e3 / elapsed_s).collect();
    println!(
        "idle CPU time, us per second: attendants {:.0} and {:.0}, three stewards {:.0}",
        idle[0], idle[1], idle[2]
    );
    println!(
        "| request | outbound proxy, us | inbound proxy, us | stewards, us | bytes client to outbound proxy | \
         outbound to inbound proxy | inbound proxy to upstream |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for kind in ["plain", "keyed", "large"] {
        let count = if kind == "large" { MEASURED_REQUESTS / 10 } else { MEASURED_REQUESTS };
        let read_all = || (cpu_times_ns(&cluster), Instant::now(), transferred_bytes_by_hop(&cluster));
        let (mut before, mut start, mut bytes_before) = read_all();
        let on_start = || (before, start, bytes_before) = read_all();
        let bytes_after = send_requests(&cluster, kind, count, on_start);
        let (after, elapsed_s) = (cpu_times_ns(&cluster), start.elapsed().as_secs_f64());
        let cpu_us: Vec<f64> = after
            .iter()
            .zip(before)
            .zip(&idle)
            .map(|((after, before), idle)| ((after - before) as f64 / 1e3 - idle * elapsed_s) / count as f64)
            .collect();
        let bytes: Vec<i64> = bytes_after
            .iter()
            .zip(bytes_before)
            .map(|(after, before)| (*after as i64 - before as i64) / count as i64)
            .collect();
        println!(
            "| {kind} | {:.0} | {:.0} | {:.0} | {} | {} | {} |",
            cpu_us[0], cpu_us[1], cpu_us[2], bytes[0], bytes[1], bytes[2]
        );
    }
    println!(
        "peak memory, MB: attendant {:.1}, steward {:.1}",
        memory_mb(&cluster.attendants[0], "VmHWM"),
        memory_mb(&cluster.stewards[0], "VmHWM")
    );
    drop(cluster);
    measure_large_mesh();
}
