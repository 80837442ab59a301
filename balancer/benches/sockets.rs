//! What one balancer does on loopback sockets by the length of its list: reqs a second for 64 callers, the part of
//! them that opened a new connection, and its memory. Stand-in srvs answer at once. Run it with nothing beside it:
//! `cargo bench -p ochreshed-balancer --bench sockets [BINARY] [SRVS]`; another BINARY, such as an earlier
//! version's, is measured in place of this one; with SRVS only lists of that length.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CALLERS: usize = 64;
const WARM: Duration = Duration::from_secs(4);
const MEASURED: Duration = Duration::from_secs(6);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Stand-in srvs, all on one thread beside the balancer's.
struct Srvs {
    ports: Vec<u16>,
    opened: Arc<AtomicU64>,
}

/// Reads one message, of whose body the length is told; empty at the connection's end.
async fn message(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> usize {
    bytes.clear();
    let mut part = [0; 2048];
    loop {
        match stream.read(&mut part).await {
            Ok(count) if count > 0 => bytes.extend_from_slice(&part[..count]),
            _ => return 0,
        }
        if let Some(head) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..head]).to_lowercase();
            let length = text.lines().find_map(|line| line.strip_prefix("content-length:"));
            let length = length.and_then(|length| length.trim().parse().ok()).unwrap_or(0usize);
            if bytes.len() >= head + 4 + length {
                return bytes.len();
            }
        }
    }
}

fn on_a_thread(work: impl Future<Output = ()> + Send + 'static) {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(work);
    });
}

fn srvs(number: u64) -> Srvs {
    let opened = Arc::new(AtomicU64::new(0));
    let (told, ports) = std::sync::mpsc::channel();
    let count = opened.clone();
    on_a_thread(async move {
        for _ in 0..number {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            told.send(listener.local_addr().expect("an address").port()).expect("told");
            let count = count.clone();
            tokio::spawn(async move {
                while let Ok((mut stream, _)) = listener.accept().await {
                    count.fetch_add(1, Relaxed);
                    let _ = stream.set_nodelay(true);
                    tokio::spawn(async move {
                        let mut bytes = Vec::new();
                        while message(&mut stream, &mut bytes).await > 0 {
                            if stream.write_all(ANSWER).await.is_err() {
                                return;
                            }
                        }
                    });
                }
            });
        }
        drop(told);
        std::future::pending::<()>().await;
    });
    Srvs { ports: ports.iter().collect(), opened }
}

struct Balancer {
    process: Child,
    address: String,
    facts: std::path::PathBuf,
}

impl Balancer {
    fn start(binary: &str, srvs: &Srvs, instances: u64, sockets: u64, memory: u64) -> Balancer {
        let mut entries = String::new();
        for (number, port) in srvs.ports.iter().enumerate() {
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
            "limits":{{"cores":1.0,"memory_mb":{memory},"sockets":{sockets}}},
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
        Balancer { process, address: address.expect("where it listens"), facts: path }
    }

    /// What it holds in memory, in MB.
    fn memory(&self) -> f64 {
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
        let _ = std::fs::remove_file(&self.facts);
    }
}

struct Counts {
    over: AtomicBool,
    done: AtomicU64,
    other: AtomicU64,
}

async fn caller(address: String, number: usize, counts: Arc<Counts>) {
    let mut bytes = Vec::new();
    let mut id = 0u64;
    'connect: while !counts.over.load(Relaxed) {
        let Ok(mut stream) = TcpStream::connect(&address).await else { continue };
        let _ = stream.set_nodelay(true);
        while !counts.over.load(Relaxed) {
            id += 1;
            let req = format!(
                "POST /read HTTP/1.1\r\nhost: b\r\nx-call-id: {number}-{id}\r\nx-call-class: read\r\n\
                 x-budget: 2.5\r\ncontent-length: 2\r\n\r\n{{}}"
            );
            if stream.write_all(req.as_bytes()).await.is_err() || message(&mut stream, &mut bytes).await == 0
            {
                counts.other.fetch_add(1, Relaxed);
                continue 'connect;
            }
            let done = bytes.starts_with(b"HTTP/1.1 200");
            if done { &counts.done } else { &counts.other }.fetch_add(1, Relaxed);
        }
    }
}

fn main() {
    let told = || std::env::args().skip(1).filter(|arg| !arg.starts_with("--"));
    let only: Option<u64> = told().find_map(|arg| arg.parse().ok());
    let binary = told().find(|arg| arg.parse::<u64>().is_err());
    let binary = binary.unwrap_or_else(|| env!("CARGO_BIN_EXE_ochreshed").into());
    println!("| srvs | instances | sockets | reqs/s | not done | new connections a req | memory, MB |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (number, instances, sockets, memory) in [
        (10, 1, 1_024, 192),
        (100, 1, 1_024, 192),
        (1_000, 1, 1_024, 192),
        (1_000, 24, 1_024, 192),
        (1_000, 100, 256, 64),
        (1_000, 1, 4_096, 512),
        (10_000, 1_200, 256, 64),
    ] {
        if only.is_some_and(|only| only != number) {
            continue;
        }
        let srvs = srvs(number);
        let balancer = Balancer::start(&binary, &srvs, instances, sockets, memory);
        let counts =
            Arc::new(Counts { over: false.into(), done: AtomicU64::new(0), other: AtomicU64::new(0) });
        for half in 0..2 {
            let (address, counts) = (balancer.address.clone(), counts.clone());
            on_a_thread(async move {
                let callers =
                    (0..CALLERS / 2).map(|at| caller(address.clone(), half * CALLERS + at, counts.clone()));
                let callers: Vec<_> = callers.map(tokio::spawn).collect();
                for caller in callers {
                    let _ = caller.await;
                }
            });
        }
        std::thread::sleep(WARM);
        let read = || (counts.done.load(Relaxed), counts.other.load(Relaxed), srvs.opened.load(Relaxed));
        let (from, before) = (Instant::now(), read());
        std::thread::sleep(MEASURED);
        let (took, after) = (from.elapsed().as_secs_f64(), read());
        counts.over.store(true, Relaxed);
        let done = after.0 - before.0;
        println!(
            "| {number} | {instances} | {sockets} | {:.0} | {} | {:.4} | {:.0} |",
            done as f64 / took,
            after.1 - before.1,
            (after.2 - before.2) as f64 / done.max(1) as f64,
            balancer.memory()
        );
    }
}
