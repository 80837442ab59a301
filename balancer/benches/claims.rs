//! Measures the cost of acquiring a lease on a key from three stewards, with clients that speak to them as outbound
//! proxies do: latency, CPU time of the stewards and writes to their disks, for sequential and for concurrent leases;
//! the cost of completing a lease with a response of 1,000 bytes; and the additional latency of a keyed request at a
//! proxy.
//!
//! Run it on an otherwise idle machine: `cargo bench -p ochreshed-balancer --bench claims [DIRECTORY]`. Data
//! directories are created in `DIRECTORY`, or in memory without it.
#![allow(dead_code)]

#[path = "../tests/helper/mod.rs"]
mod helper;
#[path = "../tests/mesh/mesh_cluster.rs"]
mod mesh_cluster;

use std::fs::OpenOptions;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use mesh_cluster::*;
use ochreshed_consensus::messages::{
    CoreRequest, CoreResponse, LeaseKey, LeaseOutcome, LeaseToken, StoredResponse,
};
use serde::{Deserialize, Serialize};

const RESPONSE_BYTES: usize = 1_000;
const IDLE_DURATION: Duration = Duration::from_secs(3);

#[derive(Serialize)]
struct RequestFrame {
    id: u64,
    #[serde(rename = "say")]
    request: RequestBody,
}

#[derive(Serialize)]
enum RequestBody {
    Core(CoreRequest),
}

#[derive(Deserialize)]
struct ResponseFrame {
    #[serde(rename = "say")]
    response: ResponseBody,
}

#[derive(Deserialize)]
enum ResponseBody {
    Core(CoreResponse),
}

/// Sends a request to a steward and returns its response.
fn exchange(stream: &mut TcpStream, request: CoreRequest) -> CoreResponse {
    let mut bytes = vec![0; 4];
    ciborium::into_writer(&RequestFrame { id: 1, request: RequestBody::Core(request) }, &mut bytes)
        .expect("a frame");
    let length = (bytes.len() - 4) as u32;
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    stream.write_all(&bytes).expect("sent");
    let mut length = [0; 4];
    stream.read_exact(&mut length).expect("a response");
    let mut bytes = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut bytes).expect("a response");
    let frame: ResponseFrame = ciborium::from_reader(&bytes[..]).expect("a response");
    let ResponseBody::Core(response) = frame.response;
    response
}

/// Acquires leases with concurrent clients, each of which sends its requests one after the other. Returns the latencies
/// in ms, and the client, key and token of each lease.
fn acquire_leases(
    cluster: &MeshCluster,
    client_count: usize,
    leases_per_client: usize,
    first_token: u64,
) -> (Vec<f64>, Vec<(u64, LeaseKey, LeaseToken)>) {
    let stewards: Vec<SocketAddr> =
        (0..STEWARD_COUNT).map(|steward| cluster.steward_internal_address(steward)).collect();
    thread::scope(|scope| {
        let run_client = |nth: usize| {
            let address = stewards[nth % STEWARD_COUNT];
            move || {
                let mut stream = TcpStream::connect(address).expect("a steward");
                stream.set_nodelay(true).expect("a socket");
                let (mut latencies, mut granted) = (Vec::new(), Vec::new());
                for lease in 0..leases_per_client {
                    let token = first_token + (nth * leases_per_client + lease) as u64 + 1;
                    let key = LeaseKey::from(token) << 64
                        | LeaseKey::from(token.wrapping_mul(0x9e37_79b9_7f4a_7c15));
                    let started = Instant::now();
                    let response =
                        exchange(&mut stream, CoreRequest::AcquireLease { key, token, time_left_ms: 2_000 });
                    latencies.push(started.elapsed().as_secs_f64() * 1e3);
                    assert_eq!(response, CoreResponse::LeaseGranted);
                    granted.push((nth as u64, key, token));
                }
                (latencies, granted)
            }
        };
        let clients: Vec<_> = (0..client_count).map(|nth| scope.spawn(run_client(nth))).collect();
        let (mut latencies, mut granted) = (Vec::new(), Vec::new());
        for client in clients {
            let (client_latencies, client_leases) = client.join().expect("a client");
            latencies.extend(client_latencies);
            granted.extend(client_leases);
        }
        (latencies, granted)
    })
}

fn complete_leases(cluster: &MeshCluster, granted: &[(u64, LeaseKey, LeaseToken)]) {
    let stored_response = StoredResponse {
        status: 200,
        headers: vec![("ochreshed-postmark".into(), "x".into())],
        body: vec![7; RESPONSE_BYTES],
    };
    let stored_response = Arc::new(stored_response);
    let mut streams: Vec<TcpStream> = (0..STEWARD_COUNT)
        .map(|steward| TcpStream::connect(cluster.steward_internal_address(steward)).expect("a steward"))
        .collect();
    for (nth, key, token) in granted {
        let outcome = Some(LeaseOutcome::Completed(stored_response.clone()));
        let response = exchange(
            &mut streams[*nth as usize % STEWARD_COUNT],
            CoreRequest::CompleteLease { key: *key, token: *token, outcome },
        );
        assert_eq!(response, CoreResponse::Accepted);
    }
}

/// Totals of all stewards: CPU time in microseconds, bytes on disk, synced writes, and records in those writes.
fn steward_totals(cluster: &MeshCluster) -> [f64; 4] {
    let mut totals = [0.0; 4];
    for (nth, process) in cluster.stewards.iter().enumerate() {
        let threads =
            std::fs::read_dir(format!("/proc/{}/task", process.pid())).into_iter().flatten().flatten();
        let read_schedstat =
            |path: PathBuf| std::fs::read_to_string(path.join("schedstat")).unwrap_or_default();
        let cpu_ns =
            threads.filter_map(|thread| read_schedstat(thread.path()).split(' ').next()?.parse::<f64>().ok());
        let keys = cluster.query_steward(nth, "keys.count");
        totals[0] += cpu_ns.sum::<f64>() / 1e3;
        totals[1] += process.data_bytes() as f64;
        totals[2] += keys["disk_writes"].as_f64().unwrap_or(0.0);
        totals[3] += keys["disk_records"].as_f64().unwrap_or(0.0);
    }
    totals
}

fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    sorted.get((sorted.len() as f64 * fraction) as usize).copied().unwrap_or(0.0)
}

/// Median and 99th percentile of the time for one append with sync in this directory, in ms.
fn measure_append_and_sync(directory: &std::path::Path) -> (f64, f64) {
    let path = directory.join(format!("ochreshed-sync-{}", std::process::id()));
    let mut file = OpenOptions::new().create(true).append(true).open(&path).expect("a file");
    let mut append = || {
        let started = Instant::now();
        file.write_all(&[7; 100]).and_then(|()| file.sync_data()).expect("written");
        started.elapsed().as_secs_f64() * 1e3
    };
    let mut latencies: Vec<f64> = (0..300).map(|_| append()).collect();
    std::fs::remove_file(&path).expect("removed");
    latencies.sort_by(f64::total_cmp);
    (quantile(&latencies, 0.5), quantile(&latencies, 0.99))
}

/// Median and 99th percentile of the latency of sequential requests at an outbound proxy, in ms.
fn measure_requests(cluster: &MeshCluster, is_keyed: bool, count: usize) -> (f64, f64) {
    let (mut stream, mut latencies) = (None, Vec::new());
    for _ in 0..count {
        let id = new_request_id();
        let (path, extra_headers) = if is_keyed {
            ("/pay/x", format!("{IDEMPOTENCY_KEY_HEADER}: k-{id}\r\n"))
        } else {
            ("/far/x", String::new())
        };
        let message = request_bytes(&format!("POST {path}"), &id, &extra_headers, b"move");
        let started = Instant::now();
        let response =
            send_on_kept_connection(cluster.outbound_proxy(0), &mut stream, &message).expect("a response");
        latencies.push(started.elapsed().as_secs_f64() * 1e3);
        assert_eq!(response.status(), "200", "{response:?}");
    }
    latencies.sort_by(f64::total_cmp);
    (quantile(&latencies, 0.5), quantile(&latencies, 0.99))
}

fn main() {
    let argument = std::env::args().skip(1).find(|arg| !arg.starts_with("--")).map(PathBuf::from);
    let directory = argument.clone().unwrap_or_else(|| "/dev/shm".into());
    argument.into_iter().for_each(|directory| drop(DATA_ROOT.set(directory)));
    let (median, p99) = measure_append_and_sync(&directory);
    println!("one append with sync in that directory, ms, median and 99th percentile: {median:.3}, {p99:.3}");
    let cluster = MeshCluster::start_default();
    cluster.replace_configuration(0, &configuration(2, &route_entry("/pay/", "registered", "omega")));
    cluster.wait_until_in_force("/far/x");
    acquire_leases(&cluster, 4, 50, 0);
    let before = steward_totals(&cluster);
    thread::sleep(IDLE_DURATION);
    let idle = (steward_totals(&cluster)[0] - before[0]) / IDLE_DURATION.as_secs_f64();
    println!("CPU time of idle stewards: {idle:.0} us per second");
    println!(
        "| concurrent clients | ms, median | ms, 99th percentile | leases/s | steward CPU, us | disk bytes | writes | \
         records per write |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut all_granted = Vec::new();
    for (count, leases_per_client) in [(1, 600), (4, 300), (16, 150), (64, 60), (256, 30)] {
        let (before, started) = (steward_totals(&cluster), Instant::now());
        let (mut latencies, granted) =
            acquire_leases(&cluster, count, leases_per_client, 1_000_000 * count as u64);
        let (after, seconds) = (steward_totals(&cluster), started.elapsed().as_secs_f64());
        let leases = latencies.len() as f64;
        latencies.sort_by(f64::total_cmp);
        let [cpu_us, bytes, writes, records] = [0, 1, 2, 3].map(|index| after[index] - before[index]);
        println!(
            "| {count} | {:.2} | {:.2} | {:.0} | {:.0} | {:.0} | {:.2} | {:.1} |",
            quantile(&latencies, 0.5),
            quantile(&latencies, 0.99),
            leases / seconds,
            (cpu_us - idle * seconds) / leases,
            bytes / leases,
            writes / leases,
            records / writes,
        );
        all_granted.extend(granted);
    }
    all_granted.truncate(2_000);
    let (before, started) = (steward_totals(&cluster), Instant::now());
    complete_leases(&cluster, &all_granted);
    // Stewards replicate completed leases after they respond.
    thread::sleep(Duration::from_millis(500));
    let (after, seconds) = (steward_totals(&cluster), started.elapsed().as_secs_f64());
    let leases = all_granted.len() as f64;
    println!(
        "completing a lease with a response of {RESPONSE_BYTES} bytes: {:.0} us of steward CPU, {:.0} disk bytes, \
         {:.2} writes",
        (after[0] - before[0] - idle * seconds) / leases,
        (after[1] - before[1]) / leases,
        (after[2] - before[2]) / leases,
    );
    let (plain, keyed) = (measure_requests(&cluster, false, 1_000), measure_requests(&cluster, true, 1_000));
    println!(
        "a request at a proxy, ms, median and 99th percentile: plain {:.2}, {:.2}; keyed {:.2}, {:.2}",
        plain.0, plain.1, keyed.0, keyed.1
    );
}
