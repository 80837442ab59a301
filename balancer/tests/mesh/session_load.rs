//! A load of payments in sessions, whose clients move between outbound proxies in the middle of an operation, while
//! stewards are killed in turn and attendants are suspended and resumed. Moves and faults are drawn from a seed. The
//! results are checked against the upstreams' run log: each operation runs once or is reported as not run.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

use super::helper::{TEST_TIMEOUT, wait_until};
use super::mesh_cluster::*;

/// A configuration with routes that name a session header.
pub fn session_configuration(version: u64) -> String {
    let session_field = r#""tries":2,"session":"X-Person""#;
    let pay = route_entry("/pay/", "registered", "alpha").replacen(r#""tries":2"#, session_field, 1);
    let look = route_entry("/look/", "resendable", "alpha").replacen(r#""tries":2"#, session_field, 1);
    configuration(version, &format!("{pay},{look}"))
}

pub fn session_headers(client: usize, key: &str) -> String {
    format!("X-Person: person-{client}\r\n{IDEMPOTENCY_KEY_HEADER}: {key}\r\n")
}

/// Parameters of a load.
#[derive(Clone, Copy)]
pub struct SessionLoad {
    pub seed: u64,
    pub clients: usize,
    pub operations: usize,
    /// Mean pause of a client between operations; zero to measure the highest throughput.
    pub pause: Duration,
    /// Service of the upstream at each attendant.
    pub services: &'static [&'static str],
    /// Whether stewards are killed and attendants suspended.
    pub has_faults: bool,
}

/// Counts and times of a load.
#[derive(Clone, Debug, Default)]
pub struct SessionLoadResult {
    pub operations: usize,
    /// Operations answered with the stamp of their own run.
    pub succeeded: usize,
    /// Operations whose outcome is unknown to their client.
    pub unknown: usize,
    /// Operations that ran more than once.
    pub duplicated: usize,
    /// Operations that ran although their client was only told that they had not.
    pub falsely_not_run: usize,
    /// Operations answered with the stamp of another operation's run.
    pub mismatched: usize,
    /// Operations that did not run and were reported as such until the client gave up.
    pub not_run: usize,
    /// Runs that follow another of the same client.
    pub follow_up_runs: usize,
    /// Follow-up runs at the same upstream as the run before.
    pub runs_at_same_upstream: usize,
    /// Median time of operations that stayed at one proxy.
    pub stayed_median_ms: f64,
    /// Median time of operations that moved to another proxy.
    pub moved_median_ms: f64,
    pub session_moves: u64,
    pub duration: Duration,
}

/// The result of an operation as its client saw it.
struct OperationResult {
    key: String,
    /// Empty without a response from a run.
    stamp: String,
    /// Whether all responses said that the operation had not run.
    is_not_run: bool,
    has_moved: bool,
    duration: Duration,
}

impl SessionLoad {
    pub fn run(self) -> SessionLoadResult {
        let mut cluster = MeshCluster::start_with(STEWARD_COUNT, self.services);
        cluster.replace_configuration(0, &session_configuration(2));
        cluster.wait_until_in_force("/look/x");
        let proxies = cluster.outbound_proxies();
        let (is_over, next_key, results) =
            (AtomicBool::new(false), AtomicUsize::new(0), Mutex::new(Vec::new()));
        let started = Instant::now();
        thread::scope(|scope| {
            let cluster = &mut cluster;
            let faults = self.has_faults.then(|| scope.spawn(|| inject_faults(cluster, self.seed, &is_over)));
            let clients: Vec<_> = (0..self.clients)
                .map(|client| {
                    scope.spawn({
                        let (proxies, next_key, results) = (&proxies, &next_key, &results);
                        move || self.run_client(proxies, client, next_key, results)
                    })
                })
                .collect();
            clients.into_iter().for_each(|client| client.join().expect("a client"));
            is_over.store(true, Relaxed);
            faults.into_iter().for_each(|faults| faults.join().expect("faults"));
        });
        let mut result = evaluate(&cluster, results.into_inner().expect("results"));
        result.duration = started.elapsed();
        result.session_moves = (0..proxies.len())
            .map(|attendant| {
                cluster.query_attendant(attendant, "sessions.count")["moves"].as_u64().unwrap_or(0)
            })
            .sum();
        result
    }

    /// Runs a client's share of the operations. Each is started at the client's current proxy and completed there or,
    /// one time in three, at another one.
    fn run_client(
        self,
        proxies: &[SocketAddr],
        client: usize,
        next_key: &AtomicUsize,
        results: &Mutex<Vec<OperationResult>>,
    ) {
        let mut random = SeededRandom::new(self.seed * 7_919 + client as u64);
        let mut current = client % proxies.len();
        let operations = self.operations / self.clients;
        for _ in 0..operations {
            let key = format!("w-{}", next_key.fetch_add(1, Relaxed));
            let has_moved = random.next_below(3) == 0;
            let target = if has_moved {
                (current + 1 + random.next_below(proxies.len() as u64 - 1) as usize) % proxies.len()
            } else {
                current
            };
            if has_moved {
                // The client does not wait for the response to its first attempt.
                send_without_reading(proxies[current], client, &key);
            }
            let started = Instant::now();
            let (stamp, is_not_run) = complete_payment(proxies, target, client, &key);
            let duration = started.elapsed();
            results.lock().expect("results").push(OperationResult {
                key,
                stamp,
                is_not_run: is_not_run && !has_moved,
                has_moved,
                duration,
            });
            current = target;
            let pause = self.pause.as_micros() as u64;
            thread::sleep(Duration::from_micros(pause / 2 + random.next_below(pause)));
        }
    }
}

fn send_without_reading(proxy: SocketAddr, client: usize, key: &str) {
    use std::io::Write;
    if let Ok(mut stream) = std::net::TcpStream::connect_timeout(&proxy, Duration::from_secs(1)) {
        let _ = stream.write_all(&request_bytes(
            "POST /pay/x",
            &new_request_id(),
            &session_headers(client, key),
            b"10.00",
        ));
    }
}

/// Sends an operation until its result is known, and moves on to the next proxy when one does not respond. Returns the
/// stamp of the run, and whether all responses said that it had not run.
fn complete_payment(proxies: &[SocketAddr], target: usize, client: usize, key: &str) -> (String, bool) {
    let (started, mut current, mut is_not_run) = (Instant::now(), target, true);
    while started.elapsed() < TEST_TIMEOUT {
        let message =
            request_bytes("POST /pay/x", &new_request_id(), &session_headers(client, key), b"10.00");
        match send_message_with_timeout(proxies[current], &message, RESPONSE_TIMEOUT) {
            Ok(response) if response.status() == "200" => {
                return (response.header(STAMP_HEADER).to_owned(), false);
            }
            Ok(response) if response.status() == "503" => {
                let retry_after: f64 = response.header("retry-after").parse().unwrap_or(0.02);
                thread::sleep(Duration::from_secs_f64(retry_after.clamp(0.005, 0.5)));
            }
            Ok(response) if response.status() == "409" => thread::sleep(Duration::from_millis(10)),
            // The operation may have run, and its outcome is unknown.
            Ok(_) => return (String::new(), false),
            // Without a response, the same key is sent to another proxy.
            Err(_) => {
                is_not_run = false;
                current = (current + 1) % proxies.len();
            }
        }
    }
    (String::new(), is_not_run)
}

/// How long a client waits for a response before it sends the operation to another proxy.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Injects one fault after the other, as drawn from the seed: a steward is killed and restarted, or an attendant is
/// suspended and resumed.
fn inject_faults(cluster: &mut MeshCluster, seed: u64, is_over: &AtomicBool) {
    let mut random = SeededRandom::new(seed);
    while !is_over.load(Relaxed) {
        if random.next_below(2) == 0 {
            let steward = random.next_below(STEWARD_COUNT as u64) as usize;
            cluster.stewards[steward].kill();
            thread::sleep(Duration::from_millis(300));
            let starts_before = cluster.stewards[steward].count_log_lines("full service");
            cluster.start_steward(steward, false);
            wait_until("the steward is back in full service", || {
                cluster.stewards[steward].count_log_lines("full service") > starts_before
            });
        } else {
            let attendant = random.next_below(cluster.attendants.len() as u64) as usize;
            cluster.attendants[attendant].send_signal("STOP");
            thread::sleep(Duration::from_millis(300 + random.next_below(1_200)));
            cluster.attendants[attendant].send_signal("CONT");
        }
        thread::sleep(Duration::from_millis(200 + random.next_below(400)));
    }
}

/// Compares the results that clients saw with the upstreams' run log.
fn evaluate(cluster: &MeshCluster, results: Vec<OperationResult>) -> SessionLoadResult {
    let (mut stamps_by_key, mut last_upstreams): (HashMap<String, Vec<String>>, HashMap<String, String>) =
        Default::default();
    let mut result = SessionLoadResult { operations: results.len(), ..SessionLoadResult::default() };
    for run in cluster.run_log.runs_where(|run| run.request.start_line.contains("/pay/")) {
        stamps_by_key
            .entry(run.request.header(IDEMPOTENCY_KEY_HEADER).to_owned())
            .or_default()
            .push(run.stamp);
        let client = run.request.header("x-person").to_owned();
        if let Some(last_upstream) = last_upstreams.insert(client, run.upstream.clone()) {
            result.follow_up_runs += 1;
            result.runs_at_same_upstream += usize::from(last_upstream == run.upstream);
        }
    }
    let (mut stayed_times, mut moved_times) = (Vec::new(), Vec::new());
    for OperationResult { key, stamp, is_not_run, has_moved, duration } in results {
        let stamps = stamps_by_key.get(&key).map_or(&[][..], Vec::as_slice);
        result.duplicated += usize::from(stamps.len() > 1);
        if stamp.is_empty() {
            result.falsely_not_run += usize::from(is_not_run && !stamps.is_empty());
            result.not_run += usize::from(is_not_run && stamps.is_empty());
            result.unknown += usize::from(!is_not_run);
            continue;
        }
        result.succeeded += usize::from(stamps.contains(&stamp));
        result.mismatched += usize::from(!stamps.contains(&stamp));
        let times = if has_moved { &mut moved_times } else { &mut stayed_times };
        times.push(duration.as_secs_f64() * 1e3);
    }
    let median = |times: &mut Vec<f64>| {
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 2).copied().unwrap_or(0.0)
    };
    (result.stayed_median_ms, result.moved_median_ms) = (median(&mut stayed_times), median(&mut moved_times));
    result
}
