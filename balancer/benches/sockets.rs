//! Measures a balancer on loopback sockets by the length of its list of endpoints: requests per second from 64 clients,
//! the share of requests that opened a new connection to an endpoint, and memory. Stub endpoints respond at once.
//!
//! Run it on an otherwise idle machine: `cargo bench -p ochreshed-balancer --bench sockets [BINARY] [ENDPOINTS]`. With
//! `BINARY`, another build is measured instead of this one; with `ENDPOINTS`, only lists of that length are measured.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CLIENT_COUNT: usize = 64;
const WARM_UP_DURATION: Duration = Duration::from_secs(4);
const MEASURED_DURATION: Duration = Duration::from_secs(6);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Stub endpoints, all served by one thread.
struct StubEndpoints {
    ports: Vec<u16>,
    connection_count: Arc<AtomicU64>,
}

/// Reads one message with a `Content-Length` and returns its size in bytes; 0 at the end of the connection.
async fn read_message(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> usize {
    bytes.clear();
    let mut buffer = [0; 2048];
    loop {
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return 0,
        }
        if let Some(head) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..head]).to_lowercase();
            let length = text.lines().find_map(|line| line.strip_prefix("content-length:"));
            let length = length.and_then(|length| length.trim().parse().ok()).unwrap_or(0usize);
            if bytes.len() >= head + 4 + length {
                return bytes.len();
            }
        }
    }
}

fn spawn_runtime_thread(work: impl Future<Output = ()> + Send + 'static) {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(work);
    });
}

fn start_endpoints(number: u64) -> StubEndpoints {
    let connection_count = Arc::new(AtomicU64::new(0));
    let (port_sender, ports) = std::sync::mpsc::channel();
    let count = connection_count.clone();
    spawn_runtime_thread(async move {
        for _ in 0..number {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            port_sender.send(listener.local_addr().expect("an address").port()).expect("sent");
            let count = count.clone();
            tokio::spawn(async move {
                while let Ok((mut stream, _)) = listener.accept().await {
                    count.fetch_add(1, Relaxed);
                    let _ = stream.set_nodelay(true);
                    tokio::spawn(async move {
                        let mut bytes = Vec::new();
                        while read_message(&mut stream, &mut bytes).await > 0 {
                            if stream.write_all(RESPONSE).await.is_err() {
                                return;
                            }
                        }
                    });
                }
            });
        }
        drop(port_sender);
        std::future::pending::<()>().await;
    });
    StubEndpoints { ports: ports.iter().collect(), connection_count }
}

struct Balancer {
    process: Child,
    address: String,
    facts_path: std::path::PathBuf,
}

impl Balancer {
    fn start(
        binary: &str,
        endpoints: &StubEndpoints,
        instances: u64,
        sockets: u64,
        memory_mb: u64,
    ) -> Balancer {
        let mut entries = String::new();
        for (number, port) in endpoints.ports.iter().enumerate() {
            let comma = if number > 0 { "," } else { "" };
            let zone = number % 4;
            let _ = write!(
                entries,
                r#"{comma}{{"instanceId":"s{number:05}","hostPort":"127.0.0.1:{port}","zone":"{zone}","cell":1,
                "lifecycle":"SERVING","weight":1.0,"startedAtMs":0}}"#
            );
        }
        let facts = format!(
            r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"2a",
            "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
            "known":{{"generation":1,"reset":true,"instances":[{entries}]}},
            "settings":{{"NInstances":{instances},"Me":0,"Tier":0,"Tiers":["shop"],"Discovery":"ask",
            "Limits":{{"MaxDispatches":3,"ConnectTimeout":250.0,"ConnIdle":15000.0}},
            "RuleSets":[{{"Name":"read","Effect":"repeatable","ResponseTarget":1000.0,"ClientTimeout":3000.0,
            "Utility":1.0}}]}}}}"#
        );
        let path = std::env::temp_dir().join(format!("ochreshed-bench-{}.json", std::process::id()));
        std::fs::write(&path, facts).expect("the facts");
        let process =
            Command::new(binary).args(["serve", "--facts"]).arg(&path).stderr(Stdio::piped()).spawn();
        let mut process = process.expect("the balancer");
        let mut lines = BufReader::new(process.stderr.take().expect("its log")).lines();
        let line = lines.find_map(|line| line.ok().filter(|line| line.contains(" n1 on ")));
        let address = line.and_then(|line| line.rsplit(' ').next().map(str::to_owned));
        std::thread::spawn(move || lines.for_each(drop));
        Balancer { process, address: address.expect("listen address"), facts_path: path }
    }

    /// Current memory of the process in MB.
    fn memory_mb(&self) -> f64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.process.id())).unwrap_or_default();
        let kb = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        kb.and_then(|kb| kb.trim().trim_end_matches(" kB").parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.facts_path);
    }
}

struct RequestCounts {
    is_over: AtomicBool,
    succeeded: AtomicU64,
    failed: AtomicU64,
}

async fn run_client(address: String, number: usize, counts: Arc<RequestCounts>) {
    let mut bytes = Vec::new();
    let mut id = 0u64;
    'connect: while !counts.is_over.load(Relaxed) {
        let Ok(mut stream) = TcpStream::connect(&address).await else { continue };
        let _ = stream.set_nodelay(true);
        while !counts.is_over.load(Relaxed) {
            id += 1;
            let request = format!(
                "POST /read HTTP/1.1\r\nhost: b\r\nx-call-id: {number}-{id}\r\nx-call-class: read\r\n\
                 x-budget: 2.5\r\ncontent-length: 2\r\n\r\n{{}}"
            );
            if stream.write_all(request.as_bytes()).await.is_err()
                || read_message(&mut stream, &mut bytes).await == 0
            {
                counts.failed.fetch_add(1, Relaxed);
                continue 'connect;
            }
            let is_success = bytes.starts_with(b"HTTP/1.1 200");
            if is_success { &counts.succeeded } else { &counts.failed }.fetch_add(1, Relaxed);
        }
    }
}

fn main() {
    let arguments = || std::env::args().skip(1).filter(|arg| !arg.starts_with("--"));
    let only_length: Option<u64> = arguments().find_map(|arg| arg.parse().ok());
    let binary = arguments().find(|arg| arg.parse::<u64>().is_err());
    let binary = binary.unwrap_or_else(|| env!("CARGO_BIN_EXE_ochreshed").into());
    println!(
        "| endpoints | instances | sockets | requests/s | failed | new connections per request | memory, MB |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (number, instances, sockets, memory_mb) in [
        (10, 1, 1_024, 192),
        (100, 1, 1_024, 192),
        (1_000, 1, 1_024, 192),
        (1_000, 24, 1_024, 192),
        (1_000, 100, 256, 64),
        (1_000, 1, 4_096, 512),
        (10_000, 1_200, 256, 64),
    ] {
        if only_length.is_some_and(|length| length != number) {
            continue;
        }
        let endpoints = start_endpoints(number);
        let balancer = Balancer::start(&binary, &endpoints, instances, sockets, memory_mb);
        let counts = Arc::new(RequestCounts {
            is_over: false.into(),
            succeeded: AtomicU64::new(0),
            failed: AtomicU64::new(0),
        });
        for half in 0..2 {
            let (address, counts) = (balancer.address.clone(), counts.clone());
            spawn_runtime_thread(async move {
                let clients = (0..CLIENT_COUNT / 2)
                    .map(|index| run_client(address.clone(), half * CLIENT_COUNT + index, counts.clone()));
                let clients: Vec<_> = clients.map(tokio::spawn).collect();
                for client in clients {
                    let _ = client.await;
                }
            });
        }
        std::thread::sleep(WARM_UP_DURATION);
        let read_counts = || {
            [&counts.succeeded, &counts.failed, &endpoints.connection_count].map(|count| count.load(Relaxed))
        };
        let (start, [succeeded_before, failed_before, connections_before]) = (Instant::now(), read_counts());
        std::thread::sleep(MEASURED_DURATION);
        let (elapsed_s, [succeeded_after, failed_after, connections_after]) =
            (start.elapsed().as_secs_f64(), read_counts());
        counts.is_over.store(true, Relaxed);
        let succeeded = succeeded_after - succeeded_before;
        println!(
            "| {number} | {instances} | {sockets} | {:.0} | {} | {:.4} | {:.0} |",
            succeeded as f64 / elapsed_s,
            failed_after - failed_before,
            (connections_after - connections_before) as f64 / succeeded.max(1) as f64,
            balancer.memory_mb()
        );
    }
}
