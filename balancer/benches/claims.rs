//! What the claim of a key costs by itself: three stewards, and claimants that speak to them as gates do. How long a claim
//! takes, what it takes of the stewards' processors, and what goes to their disks, for claims one after the other and for
//! many at once; what the settling of it takes with an answer of 1,000 bytes; and what a keyed req takes longer at a
//! gate. Run it with nothing beside it: `cargo bench -p ochreshed-balancer --bench claims [FOLDER]`; data folders are
//! made in FOLDER, or in memory without it.
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

const ANSWER: usize = 1_000;
const IDLE: Duration = Duration::from_secs(3);

#[derive(Serialize)]
struct Frame {
    id: u64,
    say: Ask,
}

#[derive(Serialize)]
enum Ask {
    Core(CoreRequest),
}

#[derive(Deserialize)]
struct Told {
    say: Reply,
}

#[derive(Deserialize)]
enum Reply {
    Core(CoreResponse),
}

/// A call to a steward and its reply.
fn call(stream: &mut TcpStream, want: CoreRequest) -> CoreResponse {
    let mut bytes = vec![0; 4];
    ciborium::into_writer(&Frame { id: 1, say: Ask::Core(want) }, &mut bytes).expect("a frame");
    let length = (bytes.len() - 4) as u32;
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    stream.write_all(&bytes).expect("sent");
    let mut length = [0; 4];
    stream.read_exact(&mut length).expect("a reply");
    let mut bytes = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut bytes).expect("a reply");
    let told: Told = ciborium::from_reader(&bytes[..]).expect("a reply");
    let Reply::Core(got) = told.say;
    got
}

/// So many claims, and what settles them, by each of some claimants, one after the other. The ms that each claim took.
fn claimants(
    cluster: &MeshCluster,
    count: usize,
    each: usize,
    from: u64,
) -> (Vec<f64>, Vec<(u64, LeaseKey, LeaseToken)>) {
    let stewards: Vec<SocketAddr> = (0..STEWARDS).map(|steward| cluster.inner(steward)).collect();
    thread::scope(|scope| {
        let claimant = |nth: usize| {
            let at = stewards[nth % STEWARDS];
            move || {
                let mut stream = TcpStream::connect(at).expect("a steward");
                stream.set_nodelay(true).expect("a socket");
                let (mut took, mut granted) = (Vec::new(), Vec::new());
                for one in 0..each {
                    let token = from + (nth * each + one) as u64 + 1;
                    let key = LeaseKey::from(token) << 64
                        | LeaseKey::from(token.wrapping_mul(0x9e37_79b9_7f4a_7c15));
                    let began = Instant::now();
                    let got =
                        call(&mut stream, CoreRequest::AcquireLease { key, token, time_left_ms: 2_000 });
                    took.push(began.elapsed().as_secs_f64() * 1e3);
                    assert_eq!(got, CoreResponse::LeaseGranted);
                    granted.push((nth as u64, key, token));
                }
                (took, granted)
            }
        };
        let all: Vec<_> = (0..count).map(|nth| scope.spawn(claimant(nth))).collect();
        let (mut took, mut granted) = (Vec::new(), Vec::new());
        for one in all {
            let (more, keys) = one.join().expect("a claimant");
            took.extend(more);
            granted.extend(keys);
        }
        (took, granted)
    })
}

fn settle(cluster: &MeshCluster, granted: &[(u64, LeaseKey, LeaseToken)]) {
    let answer = StoredResponse {
        status: 200,
        headers: vec![("ochreshed-postmark".into(), "x".into())],
        body: vec![7; ANSWER],
    };
    let answer = Arc::new(answer);
    let mut streams: Vec<TcpStream> =
        (0..STEWARDS).map(|steward| TcpStream::connect(cluster.inner(steward)).expect("a steward")).collect();
    for (nth, key, token) in granted {
        let outcome = Some(LeaseOutcome::Completed(answer.clone()));
        let got = call(
            &mut streams[*nth as usize % STEWARDS],
            CoreRequest::CompleteLease { key: *key, token: *token, outcome },
        );
        assert_eq!(got, CoreResponse::Accepted);
    }
}

/// Of all stewards: microseconds run, bytes on disk, writes that waited for the disk, and records in them.
fn spent(cluster: &MeshCluster) -> [f64; 4] {
    let mut sum = [0.0; 4];
    for (nth, machine) in cluster.stewards.iter().enumerate() {
        let threads =
            std::fs::read_dir(format!("/proc/{}/task", machine.number())).into_iter().flatten().flatten();
        let of = |path: PathBuf| std::fs::read_to_string(path.join("schedstat")).unwrap_or_default();
        let ran = threads.filter_map(|thread| of(thread.path()).split(' ').next()?.parse::<f64>().ok());
        let keys = cluster.ask(nth, "keys.count");
        sum[0] += ran.sum::<f64>() / 1e3;
        sum[1] += machine.on_disk() as f64;
        sum[2] += keys["disk_writes"].as_f64().unwrap_or(0.0);
        sum[3] += keys["disk_records"].as_f64().unwrap_or(0.0);
    }
    sum
}

fn part(sorted: &[f64], part: f64) -> f64 {
    sorted.get((sorted.len() as f64 * part) as usize).copied().unwrap_or(0.0)
}

/// What one append and its sync take there, in ms: the middle, and the 99th of 100.
fn sync_alone(folder: &std::path::Path) -> (f64, f64) {
    let path = folder.join(format!("ochreshed-sync-{}", std::process::id()));
    let mut file = OpenOptions::new().create(true).append(true).open(&path).expect("a file");
    let mut one = || {
        let began = Instant::now();
        file.write_all(&[7; 100]).and_then(|()| file.sync_data()).expect("written");
        began.elapsed().as_secs_f64() * 1e3
    };
    let mut took: Vec<f64> = (0..300).map(|_| one()).collect();
    std::fs::remove_file(&path).expect("removed");
    took.sort_by(f64::total_cmp);
    (part(&took, 0.5), part(&took, 0.99))
}

/// Reqs at a gate, one after the other: the middle and the 99th of 100, in ms.
fn reqs(cluster: &MeshCluster, keyed: bool, count: usize) -> (f64, f64) {
    let (mut stream, mut took) = (None, Vec::new());
    for _ in 0..count {
        let id = new_id();
        let (path, more) =
            if keyed { ("/pay/x", format!("{KEY}: k-{id}\r\n")) } else { ("/far/x", String::new()) };
        let message = req(&format!("POST {path}"), &id, &more, b"move");
        let began = Instant::now();
        let answer = kept(cluster.gate(0), &mut stream, &message).expect("an answer");
        took.push(began.elapsed().as_secs_f64() * 1e3);
        assert_eq!(answer.status(), "200", "{answer:?}");
    }
    took.sort_by(f64::total_cmp);
    (part(&took, 0.5), part(&took, 0.99))
}

fn main() {
    let folder = std::env::args().skip(1).find(|arg| !arg.starts_with("--")).map(PathBuf::from);
    let at = folder.clone().unwrap_or_else(|| "/dev/shm".into());
    folder.into_iter().for_each(|folder| drop(FOLDER.set(folder)));
    let sync = sync_alone(&at);
    println!(
        "one append and its sync by itself there, ms, middle and 99 of 100: {:.3}, {:.3}",
        sync.0, sync.1
    );
    let cluster = MeshCluster::start();
    cluster.replace(0, &timetable(2, &route("/pay/", "registered", "omega")));
    cluster.until_in_force("/far/x");
    claimants(&cluster, 4, 50, 0);
    let before = spent(&cluster);
    thread::sleep(IDLE);
    let idle = (spent(&cluster)[0] - before[0]) / IDLE.as_secs_f64();
    println!("stewards with nothing to do: {idle:.0} us a second");
    println!(
        "| claims at once | ms, middle | ms, 99 of 100 | a second | us of stewards | bytes on disks | writes | records a write |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut all = Vec::new();
    for (count, each) in [(1, 600), (4, 300), (16, 150), (64, 60), (256, 30)] {
        let (before, began) = (spent(&cluster), Instant::now());
        let (mut took, granted) = claimants(&cluster, count, each, 1_000_000 * count as u64);
        let (after, seconds) = (spent(&cluster), began.elapsed().as_secs_f64());
        let of = took.len() as f64;
        took.sort_by(f64::total_cmp);
        let [ran, bytes, writes, records] = [0, 1, 2, 3].map(|at| after[at] - before[at]);
        println!(
            "| {count} | {:.2} | {:.2} | {:.0} | {:.0} | {:.0} | {:.2} | {:.1} |",
            part(&took, 0.5),
            part(&took, 0.99),
            of / seconds,
            (ran - idle * seconds) / of,
            bytes / of,
            writes / of,
            records / writes,
        );
        all.extend(granted);
    }
    all.truncate(2_000);
    let (before, began) = (spent(&cluster), Instant::now());
    settle(&cluster, &all);
    // What others are told goes behind the reply.
    thread::sleep(Duration::from_millis(500));
    let (after, seconds, of) = (spent(&cluster), began.elapsed().as_secs_f64(), all.len() as f64);
    println!(
        "settled with an answer of {ANSWER} bytes: {:.0} us of stewards, {:.0} bytes on disks, {:.2} writes",
        (after[0] - before[0] - idle * seconds) / of,
        (after[1] - before[1]) / of,
        (after[2] - before[2]) / of,
    );
    let (plain, keyed) = (reqs(&cluster, false, 1_000), reqs(&cluster, true, 1_000));
    println!(
        "a req at a gate, ms, middle and 99 of 100: plain {:.2}, {:.2}; keyed {:.2}, {:.2}",
        plain.0, plain.1, keyed.0, keyed.1
    );
}
