//! Test of a rolling change of settings: instances with the old and with the new deployment settings route to the same
//! endpoints. The test acts as the endpoints, discovery and the clients.

mod helper;

use std::collections::{BTreeMap, HashMap};
use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use helper::*;

/// New settings: discovery pushes the list, utility is by work, and there are tenants, hedged requests
/// (`SecondCopies`), probes and multiplexed streams.
const NEW_SETTINGS: &str = r#""NInstances":4,"Me":2,"Tier":0,"Tiers":["one"],"Discovery":"push","UtilityBy":"work",
    "Tenants":[{"Name":"north","QuotaPerS":10000.0,"Share":0.5},{"Name":"south","QuotaPerS":10000.0,"Share":0.5}],
    "Report":{"Via":"on_probe","Fields":["tps","depth"]},
    "Guarantees":{"Cold":4000.0,"ColdShare":0.1,"DrainGrace":250.0},
    "Limits":{"MaxDispatches":5,"Cancelling":true,"ConnectTimeout":500.0,"ConnIdle":15000.0,"RetryAfter":true,
    "MaxRetryAfter":500.0,"SecondCopies":true,"Probes":true,"Peers":true,"StreamsPerConn":100},"#;
const OLD_SETTINGS: &str = r#""NInstances":4,"Me":0,"Tier":0,"Tiers":["one"],"Discovery":"ask",
    "Guarantees":{"Cold":4000.0,"ColdShare":0.1,"DrainGrace":250.0},
    "Limits":{"MaxDispatches":3,"Cancelling":true,"ConnectTimeout":500.0,"ConnIdle":15000.0},"#;
const HEADER_FACTS: &str = r#""headers":{"customer":"X-Org","cost_ms":"X-Cost"},"#;

const SERVICE_TIME: Duration = Duration::from_millis(10);
/// Requests that a warm endpoint runs concurrently, and how many more it queues.
const WORKER_COUNT: usize = 2;
const QUEUE_CAPACITY: usize = 8;
/// A starting endpoint has this share of its capacity at first, and linearly more until the warm-up is over.
const INITIAL_CAPACITY_SHARE: f64 = 0.1;
const WARM_UP_DURATION: Duration = Duration::from_secs(4);
/// Limit on the requests sent to a starting endpoint in any second, as a multiple of its capacity in that second.
const MAX_LOAD_FACTOR: f64 = 2.0;

/// A stub endpoint that counts how often each request runs.
struct StubEndpoint {
    listener: TcpListener,
    in_flight: AtomicUsize,
    warm_up_worker: Mutex<()>,
    workers: Vec<Mutex<()>>,
    /// Start of the warm-up; `None` for a warm endpoint.
    started_at: Mutex<Option<Instant>>,
    /// Arrival times of requests.
    arrivals: Mutex<Vec<Instant>>,
    run_counts: Arc<Mutex<HashMap<String, u32>>>,
    next_worker: AtomicUsize,
}

impl StubEndpoint {
    fn start(run_counts: &Arc<Mutex<HashMap<String, u32>>>) -> Arc<StubEndpoint> {
        let endpoint = Arc::new(StubEndpoint {
            listener: bind_listener(),
            in_flight: AtomicUsize::new(0),
            warm_up_worker: Mutex::new(()),
            workers: (0..WORKER_COUNT).map(|_| Mutex::new(())).collect(),
            started_at: Mutex::default(),
            arrivals: Mutex::default(),
            run_counts: run_counts.clone(),
            next_worker: AtomicUsize::new(0),
        });
        let (server, listener) = (endpoint.clone(), endpoint.listener.try_clone().expect("a listener"));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (mut stream, endpoint) = (stream.expect("a stream"), server.clone());
                stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
                thread::spawn(move || {
                    loop {
                        let message = read_message(&mut stream);
                        let Some(id) = message.lines().find_map(|line| line.strip_prefix("x-call-id: "))
                        else {
                            return;
                        };
                        let response = endpoint.serve(id);
                        write_message(&mut stream, response);
                    }
                });
            }
        });
        endpoint
    }

    fn serve(&self, id: &str) -> &'static str {
        self.arrivals.lock().expect("arrivals").push(Instant::now());
        if self.in_flight.fetch_add(1, Relaxed) >= WORKER_COUNT + QUEUE_CAPACITY {
            self.in_flight.fetch_sub(1, Relaxed);
            return REJECTED_RESPONSE;
        }
        let started_at = *self.started_at.lock().expect("start time");
        if let Some(started_at) = started_at {
            let _worker = self.warm_up_worker.lock().expect("a worker");
            thread::sleep(SERVICE_TIME.div_f64(WORKER_COUNT as f64 * capacity_share(started_at.elapsed())));
        } else {
            let worker = self.next_worker.fetch_add(1, Relaxed) % WORKER_COUNT;
            let _worker = self.workers[worker].lock().expect("a worker");
            thread::sleep(SERVICE_TIME);
        }
        *self.run_counts.lock().expect("counts").entry(id.to_owned()).or_default() += 1;
        self.in_flight.fetch_sub(1, Relaxed);
        OK_RESPONSE
    }
}

/// Share of its capacity that an endpoint has this long after its start.
fn capacity_share(since_start: Duration) -> f64 {
    (INITIAL_CAPACITY_SHARE + (1.0 - INITIAL_CAPACITY_SHARE) * since_start.div_duration_f64(WARM_UP_DURATION))
        .min(1.0)
}

/// Starts a stub of discovery for one balancer: it sends the complete list whenever that has changed, and records when
/// it sent each generation.
fn spawn_long_poll_discovery(
    balancer: &Balancer,
    list: &Arc<Mutex<(u32, String)>>,
    announced: &Arc<Mutex<Vec<(u32, Instant)>>>,
) {
    let discovery = balancer.discovery.try_clone().expect("a listener");
    let (list, announced) = (list.clone(), announced.clone());
    thread::spawn(move || {
        for stream in discovery.incoming() {
            let (mut stream, list, announced) = (stream.expect("a stream"), list.clone(), announced.clone());
            stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
            thread::spawn(move || {
                loop {
                    let call = read_message(&mut stream);
                    if !call.starts_with("GET ") {
                        return;
                    }
                    let after = call.split_once("after=").map_or("0", |(_, rest)| rest);
                    let after: String = after.chars().take_while(char::is_ascii_digit).collect();
                    let after: u32 = after.parse().unwrap_or(0);
                    let deadline = Instant::now() + Duration::from_millis(900);
                    let (generation, text) = loop {
                        let current = list.lock().expect("a list").clone();
                        if current.0 > after || Instant::now() > deadline {
                            break current;
                        }
                        thread::sleep(Duration::from_millis(2));
                    };
                    write_message(&mut stream, &discovery_response(generation, &text));
                    announced.lock().expect("times").push((generation, Instant::now()));
                }
            });
        }
    });
}

fn endpoint_entry(name: &str, endpoint: &StubEndpoint, lifecycle: &str, started_at_ms: u128) -> String {
    endpoint_entries(&format!("{name}@x"), &endpoint.listener)
        .replace("SERVING", lifecycle)
        .replace("\"startedAtMs\":0", &format!("\"startedAtMs\":{started_at_ms}"))
}

/// Guards a rolling change of settings. Two instances with the old and two with the new settings share their endpoints,
/// of which one drains and one starts cold. Each request gets one response, no request runs twice, no denied request
/// runs, the draining endpoint gets nothing after its grace period, the cold one is not overloaded by the instances
/// together, and neither kind of instance crowds out the other.
#[test]
fn instances_with_old_and_new_settings_share_endpoints_correctly() {
    let run_counts = Arc::default();
    let endpoints: Vec<Arc<StubEndpoint>> = (0..4).map(|_| StubEndpoint::start(&run_counts)).collect();
    let cold = StubEndpoint::start(&run_counts);
    let warm_entries = |draining: Option<usize>| {
        let lifecycle = |index: usize| if draining == Some(index) { "DRAINING" } else { "SERVING" };
        let entries = endpoints
            .iter()
            .enumerate()
            .map(|(index, endpoint)| endpoint_entry(&format!("s{index}"), endpoint, lifecycle(index), 0));
        entries.collect::<Vec<_>>().join(",")
    };
    let list = Arc::new(Mutex::new((41, warm_entries(None))));
    let start_instance = |has_new_settings: bool, index: u64| {
        let settings = if has_new_settings { NEW_SETTINGS } else { OLD_SETTINGS };
        let own_index = if has_new_settings { "\"Me\":2" } else { "\"Me\":0" };
        let settings: &'static str = settings.replace(own_index, &format!("\"Me\":{index}")).leak();
        let extra_facts = if has_new_settings { HEADER_FACTS } else { "" };
        let options = BalancerOptions { settings, extra_facts, ..BalancerOptions::default() };
        Balancer::start_with_entries(options, &warm_entries(None))
    };
    let balancers = [(false, 0), (false, 1), (true, 2), (true, 3)]
        .map(|(has_new_settings, index)| (has_new_settings, start_instance(has_new_settings, index)));
    let announced: Arc<Mutex<Vec<(u32, Instant)>>> = Arc::default();
    for (_, balancer) in &balancers {
        spawn_long_poll_discovery(balancer, &list, &announced);
    }
    // Outcomes of requests, by whether the instance has the new settings.
    let outcomes: Arc<Mutex<BTreeMap<(bool, &str), u64>>> = Arc::default();
    let (number, denied) = (Arc::new(AtomicU64::new(0)), Arc::new(Mutex::new(Vec::new())));
    let end = Instant::now() + Duration::from_millis(4_000);
    let mut clients = Vec::new();
    for (has_new_settings, balancer) in &balancers {
        for _ in 0..12 {
            let (has_new_settings, mut stream, address) =
                (*has_new_settings, balancer.open_connection(), balancer.address);
            let (number, outcomes, denied) = (number.clone(), outcomes.clone(), denied.clone());
            clients.push(thread::spawn(move || {
                while Instant::now() < end {
                    let number = number.fetch_add(1, Relaxed);
                    let (id, rule_set) =
                        (format!("id{number}"), ["pay", "move", "read"][number as usize % 3]);
                    let customer = ["north", "south", "nobody"][number as usize % 3];
                    let headers = format!(
                        "X-Org: {customer}\r\nX-Cost: {}\r\nX-Budget",
                        ["10", "12.5", "dear"][number as usize % 3]
                    );
                    let message = request("GET", &format!("/{rule_set}"), "2.5", "").replace("c0ffee", &id);
                    write_message(&mut stream, &message.replace("X-Budget", &headers));
                    let response = read_message(&mut stream);
                    let outcome = match response.lines().next().unwrap_or_default() {
                        "HTTP/1.1 200 OK" => "done",
                        line if line.starts_with("HTTP/1.1 503") => "denied",
                        line if line.starts_with("HTTP/1.1 502") => "aborted",
                        _ => "lost",
                    };
                    *outcomes.lock().expect("counts").entry((has_new_settings, outcome)).or_default() += 1;
                    if outcome == "denied" {
                        denied.lock().expect("ids").push(id);
                    }
                    if response.to_lowercase().contains("connection: close") {
                        stream = std::net::TcpStream::connect(address).expect("a connection");
                        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
                    }
                }
            }));
        }
    }
    // After one second an endpoint starts to drain; after two seconds a cold endpoint is added.
    thread::sleep(Duration::from_millis(1_000));
    *list.lock().expect("a list") = (42, warm_entries(Some(0)));
    thread::sleep(Duration::from_millis(1_000));
    let cold_start = Instant::now();
    *cold.started_at.lock().expect("start time") = Some(cold_start);
    let started_at_ms =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a time").as_millis();
    *list.lock().expect("a list") =
        (43, warm_entries(Some(0)) + "," + &endpoint_entry("cold", &cold, "SERVING", started_at_ms));
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    drop(balancers);

    let outcomes = outcomes.lock().expect("counts");
    let count = |has_new_settings: bool, outcome: &'static str| {
        outcomes.get(&(has_new_settings, outcome)).copied().unwrap_or(0)
    };
    assert_eq!(count(false, "lost") + count(true, "lost"), 0, "{outcomes:?}");
    let run_counts = run_counts.lock().expect("counts");
    let twice: Vec<&String> = run_counts.iter().filter(|(_, times)| **times > 1).map(|(id, _)| id).collect();
    assert!(twice.is_empty(), "ran twice: {twice:?}");
    let denied = denied.lock().expect("ids");
    assert!(denied.iter().all(|id| !run_counts.contains_key(id)), "a denied request ran");

    let drain_announced =
        announced.lock().expect("times").iter().filter(|(g, _)| *g == 42).map(|(_, time)| *time).max();
    let grace_end = drain_announced.expect("the drain was announced") + Duration::from_millis(300);
    let late =
        endpoints[0].arrivals.lock().expect("arrivals").iter().filter(|time| **time > grace_end).count();
    assert_eq!(late, 0, "{late} requests to the draining endpoint after its grace period");

    let arrivals = cold.arrivals.lock().expect("arrivals");
    let second = Duration::from_secs(1);
    // Requests sent in each second, relative to the endpoint's capacity in that second.
    let load_factors = arrivals.iter().filter(|start| **start + second < end).map(|start| {
        let sent = arrivals.iter().filter(|time| **time >= *start && **time < *start + second).count() as f64;
        sent / (capacity_share(*start + second / 2 - cold_start) * WORKER_COUNT as f64
            / SERVICE_TIME.as_secs_f64())
    });
    let max_load_factor = load_factors.fold(0.0, f64::max);
    assert!(
        max_load_factor > 0.0 && max_load_factor <= MAX_LOAD_FACTOR,
        "{max_load_factor:.2} times the capacity of the cold endpoint"
    );

    let (old, new) = (count(false, "done") as f64, count(true, "done") as f64);
    let share = new / (old + new);
    assert!(
        old + new > 200.0 && (0.3..=0.7).contains(&share),
        "{old} requests done with the old settings, {new} with the new"
    );
}
