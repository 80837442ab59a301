//! A test scenario with two members on one platform: `sul` sends payments and bookings, `norte` sends traffic of which
//! part fails, hangs or is too large, and may change its routes repeatedly, partly with invalid documents. The results
//! of `sul` are checked against the upstreams' run log. The same seed draws the same changes, faults and order of
//! requests.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

use super::helper::{TEST_TIMEOUT, wait_until};
use super::mesh_cluster::*;

/// SHA-256 hashes of the member keys `norte-key` and `sul-key`.
pub const NORTE_KEY_SHA256: &str = "ed1143ce99836779979602ca8219619a460b30cf08bb1fdf9d3bfafe985d7e80";
pub const SUL_KEY_SHA256: &str = "a459ac03c95703c44f205b99cd2f6942d4887e14726234488e02d5487ef39baf";
/// An operation of `sul` that takes no longer counts as on time.
const ON_TIME_LIMIT: Duration = Duration::from_millis(300);
/// Interval between operations of a client, without the random part.
const OPERATION_INTERVAL: Duration = Duration::from_millis(40);
/// Interval between changes of `norte`.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1_000);

/// The register of both members, with these services and limits for `norte`.
pub fn member_register(edition: u64, services: &str, limits: &str) -> String {
    let member = |name: &str, hash: &str, services: &str, limits: &str| {
        format!(
            r#"{{"name":"{name}","key_sha256":"{hash}","places":[{{"host":"town.example","prefix":"/{name}/"}}],
                "services":[{services}],"limits":{{"deadline_ms":6000,{limits}}}}}"#
        )
    };
    let norte = member("norte", NORTE_KEY_SHA256, services, limits);
    let sul = member("sul", SUL_KEY_SHA256, r#""alpha""#, r#""changes_per_minute":5"#);
    format!(r#"{{"edition":"r{edition}","members":[{norte},{sul}]}}"#)
}

/// A member's document with these routes. Each of the extra fields is followed by a comma.
pub fn member_document(member: &str, edition: u64, extra_fields: &str, routes: &[Route]) -> String {
    let route = |(path, kind, service, deadline_ms): &(&str, &str, &str, u64)| {
        format!(
            r#"{{"name":"{path}","depot":"town.example","lane_prefix":"/{member}/{path}/","route_kind":"{kind}",
                "deadline_ms":{deadline_ms},"target_ms":300,"post_class":1,"line":"{service}","tries":2}}"#
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    format!(r#"{{"edition":"r{edition}",{extra_fields}"routes":[{}]}}"#, routes.join(","))
}

/// A route: its path below the member's prefix, kind, service and deadline in ms.
pub type Route<'a> = (&'a str, &'a str, &'a str, u64);

/// Sends a member's call to one steward.
pub fn call_as_member(
    cluster: &MeshCluster,
    steward: usize,
    verb: &str,
    member: &str,
    key: &str,
    body: &str,
) -> HttpMessage {
    cluster.call_steward(
        steward,
        &format!("member.{verb}&of={member}"),
        &format!("Ochreshed-Member-Key: {key}\r\n"),
        body,
    )
}

/// Sends a member's change to one steward after the other until it is acknowledged, and returns the response.
pub fn submit_change(cluster: &MeshCluster, verb: &str, member: &str, key: &str, body: &str) -> HttpMessage {
    let last_response = std::cell::RefCell::new(HttpMessage::default());
    wait_until(&format!("{verb} of member {member} is acknowledged"), || {
        (0..cluster.stewards.len()).any(|steward| {
            let response = call_as_member(cluster, steward, verb, member, key, body);
            assert!(["200", "401", "503", ""].contains(&response.status()), "{response:?}");
            last_response.replace(response);
            last_response.borrow().status() == "200"
        })
    });
    last_response.into_inner()
}

/// Sends a register of members until it is accepted.
pub fn replace_member_register(cluster: &MeshCluster, register: &str) {
    wait_until("the register is accepted", || {
        cluster.call_steward(1, "members.replace", "", register).status() == "200"
    });
}

/// Results of `sul`'s operations and of `norte`'s changes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FederationResult {
    pub operations: usize,
    pub on_time: usize,
    /// Operations that did not run, or that got no response from a run.
    pub lost: usize,
    /// Operations that ran more than once.
    pub duplicated: usize,
    /// Responses with the stamp of another run.
    pub mismatched: usize,
    /// Changes of `norte` that were accepted.
    pub accepted_changes: usize,
    /// Changes of `norte` that were rejected.
    pub rejected_changes: usize,
}

impl FederationResult {
    pub fn on_time_share(&self) -> f64 {
        self.on_time as f64 / self.operations.max(1) as f64
    }
}

/// Parameters of the scenario.
#[derive(Clone, Copy)]
pub struct FederationScenario {
    pub seed: u64,
    pub duration: Duration,
    /// Clients of `sul` at each outbound proxy.
    pub clients_per_proxy: usize,
    /// Whether `norte` changes its routes; it sends its traffic in either case.
    pub has_changes: bool,
    /// Whether stewards are killed one after the other, as drawn from the seed.
    pub has_faults: bool,
}

/// One operation of `sul`.
struct Operation {
    key: String,
    /// The stamp in the response to the client; empty without one.
    stamp: String,
    /// The stamp in the response to a repetition.
    repeat_stamp: Option<String>,
    duration: Duration,
}

impl FederationScenario {
    pub fn run(self) -> FederationResult {
        let services = ["alpha", "alpha", "alpha", "omega"];
        let mut cluster = MeshCluster::start_with(STEWARD_COUNT, &services);
        let limits =
            r#""routes":2000,"changes_per_minute":10000,"slot_share":0.5,"retry_share":0.2,"trial_s":2"#;
        replace_member_register(&cluster, &member_register(1, r#""alpha","omega""#, limits));
        let sul = [("pay", "registered", "alpha", 6_000), ("book", "registered", "alpha", 6_000)];
        submit_change(&cluster, "replace", "sul", "sul-key", &member_document("sul", 1, "", &sul));
        submit_change(
            &cluster,
            "replace",
            "norte",
            "norte-key",
            &member_document("norte", 1, "", &NORTE_ROUTES),
        );
        for path in ["/sul/pay/x", "/norte/read/x"] {
            wait_until_accepted(&cluster, path);
        }
        let is_over = AtomicBool::new(false);
        let operations: Mutex<Vec<Operation>> = Mutex::default();
        let mut result = FederationResult::default();
        let proxies = cluster.outbound_proxies();
        thread::scope(|scope| {
            let is_over = &is_over;
            for (home, _) in proxies.iter().enumerate() {
                for client in 0..self.clients_per_proxy {
                    let (proxies, operations) = (&proxies, &operations);
                    let seed = self.seed * 1_000 + (home * 16 + client) as u64;
                    scope.spawn(move || run_operations(proxies, home, seed, is_over, operations));
                }
                let proxies = &proxies;
                scope.spawn(move || send_faulty_traffic(proxies, home, is_over));
            }
            let end = Instant::now() + self.duration;
            let (mut random, mut edition) = (SeededRandom::new(self.seed), 1);
            let mut killed_steward: Option<usize> = None;
            for round in 0.. {
                let next_round = Instant::now() + CHANGE_INTERVAL;
                if Instant::now() >= end {
                    break;
                }
                if self.has_changes {
                    edition += 1;
                    let status = submit_random_document(&cluster, &mut random, edition);
                    result.accepted_changes += usize::from(status == "200");
                    result.rejected_changes += usize::from(status != "200");
                }
                if self.has_faults {
                    // Every fourth round a steward is killed, and it is restarted in the next round.
                    match (round % 4, killed_steward.take()) {
                        (1, None) => {
                            let steward = random.next_below(STEWARD_COUNT as u64) as usize;
                            cluster.stewards[steward].kill();
                            killed_steward = Some(steward);
                        }
                        (_, Some(steward)) => cluster.stewards[steward].restart(),
                        _ => {}
                    }
                }
                thread::sleep(next_round.saturating_duration_since(Instant::now()));
            }
            killed_steward.into_iter().for_each(|steward| cluster.stewards[steward].restart());
            is_over.store(true, Relaxed);
            cluster.run_log.release.store(true, Relaxed);
        });
        evaluate(&cluster, operations.into_inner().expect("operations"), result)
    }
}

/// Adds the results of `sul`'s operations, compared with the upstreams' run log.
fn evaluate(
    cluster: &MeshCluster,
    operations: Vec<Operation>,
    mut result: FederationResult,
) -> FederationResult {
    let mut stamps_by_key: HashMap<String, Vec<String>> = HashMap::new();
    for run in cluster.run_log.runs_where(|run| run.request.start_line.contains("/sul/")) {
        stamps_by_key
            .entry(run.request.header(IDEMPOTENCY_KEY_HEADER).to_owned())
            .or_default()
            .push(run.stamp);
    }
    result.operations = operations.len();
    for Operation { key, stamp, repeat_stamp, duration } in operations {
        let stamps = stamps_by_key.get(&key).map_or(&[][..], Vec::as_slice);
        result.lost += usize::from(stamp.is_empty() || stamps.is_empty());
        result.duplicated += usize::from(stamps.len() > 1);
        result.mismatched += usize::from(!stamp.is_empty() && !stamps.contains(&stamp));
        result.mismatched += usize::from(repeat_stamp.is_some_and(|repeat_stamp| repeat_stamp != stamp));
        result.on_time += usize::from(!stamp.is_empty() && duration <= ON_TIME_LIMIT);
    }
    result
}

/// The initial routes of `norte`.
const NORTE_ROUTES: [Route; 4] = [
    ("read", "resendable", "alpha", 6_000),
    ("fail", "resendable", "alpha", 6_000),
    ("held", "once_only", "alpha", 400),
    ("large", "outbound_post", "alpha", 6_000),
];

fn wait_until_accepted(cluster: &MeshCluster, path: &str) {
    for proxy in cluster.outbound_proxies() {
        wait_until(&format!("{path} accepts keyed requests"), || {
            send_keyed(proxy, path, &format!("open-{}", new_request_id())).status() == "200"
        });
    }
}

/// Runs a client of `sul`, which sends one keyed operation after the other. It repeats each until the result is known,
/// waits as long as responses ask it to, and moves on to the next proxy when one does not respond.
fn run_operations(
    proxies: &[std::net::SocketAddr],
    home: usize,
    seed: u64,
    is_over: &AtomicBool,
    operations: &Mutex<Vec<Operation>>,
) {
    let mut random = SeededRandom::new(seed);
    while !is_over.load(Relaxed) {
        let next_start = Instant::now() + OPERATION_INTERVAL + Duration::from_millis(random.next_below(20));
        let key = format!("sul-{}", new_request_id());
        let path = ["/sul/pay/x", "/sul/book/x"][random.next_below(2) as usize];
        let (started, mut current) = (Instant::now(), home);
        let mut stamp = String::new();
        while started.elapsed() < TEST_TIMEOUT {
            let message = request_bytes(
                &format!("POST {path}"),
                &new_request_id(),
                &format!("{IDEMPOTENCY_KEY_HEADER}: {key}\r\n"),
                b"move",
            );
            match send_message(proxies[current], &message) {
                Ok(response) if response.status() == "200" => {
                    stamp = response.header(STAMP_HEADER).to_owned();
                    break;
                }
                // 409: the operation is still running. 503: it has not run.
                Ok(response) if ["409", "503"].contains(&response.status()) => {
                    let retry_after: f64 = response.header("retry-after").parse().unwrap_or(0.02);
                    thread::sleep(Duration::from_secs_f64(retry_after.clamp(0.005, 1.0)));
                }
                // The operation may have run, and its outcome is unknown.
                Ok(_) => break,
                Err(_) => current = (current + 1) % proxies.len(),
            }
        }
        let duration = started.elapsed();
        // One in four successful operations is repeated at another proxy, which must return the first response.
        let is_repeated = !stamp.is_empty() && random.next_below(4) == 0;
        let repeat_response =
            is_repeated.then(|| send_keyed(proxies[(home + 1) % proxies.len()], path, &key));
        let repeat_stamp = repeat_response
            .filter(|response| response.status() == "200")
            .map(|response| response.header(STAMP_HEADER).to_owned());
        operations.lock().expect("operations").push(Operation { key, stamp, repeat_stamp, duration });
        thread::sleep(next_start.saturating_duration_since(Instant::now()));
    }
}

/// Sends `norte`'s traffic: reads, requests that fail or hang, and large ones. Responses are not checked.
fn send_faulty_traffic(proxies: &[std::net::SocketAddr], home: usize, is_over: &AtomicBool) {
    let paths = ["read", "fail", "held", "fail", "large", "read", "new"];
    for nth in 0.. {
        if is_over.load(Relaxed) {
            break;
        }
        let start_line = format!("GET /norte/{}/x", paths[nth % paths.len()]);
        let _ = send_message(proxies[home], &request_bytes(&start_line, &new_request_id(), "", b""));
        thread::sleep(Duration::from_millis(5));
    }
}

/// The initial routes of `norte` and these.
fn extended_norte_routes<'a>(extra_routes: &[Route<'a>]) -> Vec<Route<'a>> {
    [&NORTE_ROUTES[..], extra_routes].concat()
}

/// Submits a randomly chosen document of `norte`, valid or invalid, and returns the status of the response.
fn submit_random_document(cluster: &MeshCluster, random: &mut SeededRandom, edition: u64) -> String {
    let steward = random.next_below(STEWARD_COUNT as u64) as usize;
    let many: Vec<String> = (0..1_000).map(|nth| format!("many{nth:04}")).collect();
    let many: Vec<Route> = many.iter().map(|path| (&**path, "resendable", "omega", 6_000)).collect();
    let norte_document =
        |extra_fields: &str, routes: &[Route]| member_document("norte", edition, extra_fields, routes);
    let body = match random.next_below(8) {
        // A route that moves between services.
        0 => norte_document("", &extended_norte_routes(&[("new", "once_only", "omega", 6_000)])),
        1 => norte_document("", &extended_norte_routes(&[("new", "resendable", "alpha", 100)])),
        // No routes.
        2 => norte_document("", &[]),
        3 => norte_document("", &extended_norte_routes(&many)),
        // A trial of a route whose requests hang.
        4 => norte_document(r#""trial":0.5,"#, &extended_norte_routes(&[("new", "once_only", "alpha", 300)])),
        // Invalid: another member's prefix, a service not granted, no document.
        5 => norte_document("", &extended_norte_routes(&[("new", "resendable", "alpha", 6_000)]))
            .replace("/norte/new/", "/sul/pay/"),
        6 => norte_document("", &extended_norte_routes(&[("new", "resendable", "nobody", 6_000)])),
        _ => "{".into(),
    };
    call_as_member(cluster, steward, "replace", "norte", "norte-key", &body).status().to_owned()
}
