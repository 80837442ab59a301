//! A drill of two members on one platform: `sul` posts payments and confirms bookings, `norte` sends traffic of its own,
//! part of which fails, hangs or asks for too much, and may reshape its routes all the while, badly at times. The
//! upstreams' ledger is the judge. Seeded: the same seed draws the same changes, faults and order of reqs.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

use super::helper::{TEST_TIMEOUT, wait_until};
use super::mesh_cluster::*;

/// Of `norte-key` and `sul-key`.
pub const NORTE: &str = "ed1143ce99836779979602ca8219619a460b30cf08bb1fdf9d3bfafe985d7e80";
pub const SUL: &str = "a459ac03c95703c44f205b99cd2f6942d4887e14726234488e02d5487ef39baf";
/// Within so long an operation of `sul` is on time.
const ON_TIME: Duration = Duration::from_millis(300);
/// From one operation of a client to the next.
const PACE: Duration = Duration::from_millis(40);
/// From one change of `norte` to the next.
const CHANGE: Duration = Duration::from_millis(1_000);

pub fn register(edition: u64, services: &str, limits: &str) -> String {
    let member = |name: &str, hash: &str, services: &str, limits: &str| {
        format!(
            r#"{{"name":"{name}","key_sha256":"{hash}","places":[{{"host":"town.example","prefix":"/{name}/"}}],
                "services":[{services}],"limits":{{"deadline_ms":6000,{limits}}}}}"#
        )
    };
    let norte = member("norte", NORTE, services, limits);
    let sul = member("sul", SUL, r#""alpha""#, r#""changes_per_minute":5"#);
    format!(r#"{{"edition":"r{edition}","members":[{norte},{sul}]}}"#)
}

/// A member's document: paths of its place, their kinds, services and deadlines.
pub fn document(member: &str, edition: u64, more: &str, routes: &[Route]) -> String {
    let route = |(path, kind, line, deadline): &(&str, &str, &str, u64)| {
        format!(
            r#"{{"name":"{path}","depot":"town.example","lane_prefix":"/{member}/{path}/","route_kind":"{kind}",
                "deadline_ms":{deadline},"target_ms":300,"post_class":1,"line":"{line}","tries":2}}"#
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    format!(r#"{{"edition":"r{edition}",{more}"routes":[{}]}}"#, routes.join(","))
}

/// A route: its path, kind, service and deadline in ms.
pub type Route<'a> = (&'a str, &'a str, &'a str, u64);

/// What one steward answers a member.
pub fn said_to(
    cluster: &MeshCluster,
    steward: usize,
    verb: &str,
    of: &str,
    key: &str,
    body: &str,
) -> Message {
    cluster.call(
        steward,
        &format!("member.{verb}&of={of}"),
        &format!("Ochreshed-Member-Key: {key}\r\n"),
        body,
    )
}

/// Sends a change to one steward after the other until it is acknowledged.
pub fn change(cluster: &MeshCluster, verb: &str, of: &str, key: &str, body: &str) -> Message {
    let answers = std::cell::RefCell::new(Message::default());
    wait_until(&format!("{verb} of {of} acknowledged"), || {
        (0..cluster.stewards.len()).any(|steward| {
            let answer = said_to(cluster, steward, verb, of, key, body);
            assert!(["200", "401", "503", ""].contains(&answer.status()), "{answer:?}");
            answers.replace(answer).status();
            answers.borrow().status() == "200"
        })
    });
    answers.into_inner()
}

pub fn name_members(cluster: &MeshCluster, register: &str) {
    wait_until("the register is taken", || {
        cluster.call(1, "members.replace", "", register).status() == "200"
    });
}

/// What came of `sul`'s operations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Came {
    pub operations: usize,
    pub on_time: usize,
    /// Never answered with what ran, or not run; run more than once; answered with another run's stamp.
    pub lost: usize,
    pub doubled: usize,
    pub mixed: usize,
    /// Of `norte`'s changes, taken and refused.
    pub taken: usize,
    pub refused: usize,
}

impl Came {
    pub fn on_time_share(&self) -> f64 {
        self.on_time as f64 / self.operations.max(1) as f64
    }
}

/// What is played.
#[derive(Clone, Copy)]
pub struct Drill {
    pub seed: u64,
    pub lasts: Duration,
    /// Clients of `sul` at each gate.
    pub clients: usize,
    /// Whether `norte` reshapes its routes; its traffic comes either way.
    pub changes: bool,
    /// Whether stewards are killed one after the other, as the seed draws.
    pub faults: bool,
}

/// One operation of `sul`: the stamp that its client was given, another one that a repeat of it was given, and when it was
/// answered.
struct Operation {
    key: String,
    stamp: String,
    repeat: Option<String>,
    took: Duration,
}

impl Drill {
    pub fn play(self) -> Came {
        let lines = ["alpha", "alpha", "alpha", "omega"];
        let mut cluster = MeshCluster::of(STEWARDS, &lines);
        let limits =
            r#""routes":2000,"changes_per_minute":10000,"slot_share":0.5,"retry_share":0.2,"trial_s":2"#;
        name_members(&cluster, &register(1, r#""alpha","omega""#, limits));
        let sul = [("pay", "registered", "alpha", 6_000), ("book", "registered", "alpha", 6_000)];
        change(&cluster, "replace", "sul", "sul-key", &document("sul", 1, "", &sul));
        change(&cluster, "replace", "norte", "norte-key", &document("norte", 1, "", &NORTES));
        for path in ["/sul/pay/x", "/norte/read/x"] {
            until_open(&cluster, path);
        }
        let over = AtomicBool::new(false);
        let operations: Mutex<Vec<Operation>> = Mutex::default();
        let mut came = Came::default();
        let gates = cluster.gates();
        thread::scope(|scope| {
            let over = &over;
            for (nth, _) in gates.iter().enumerate() {
                for client in 0..self.clients {
                    let (gates, operations) = (&gates, &operations);
                    let seed = self.seed * 1_000 + (nth * 16 + client) as u64;
                    scope.spawn(move || operate(gates, nth, seed, over, operations));
                }
                let gates = &gates;
                scope.spawn(move || spoil(gates, nth, over));
            }
            let ends = Instant::now() + self.lasts;
            let (mut draw, mut edition) = (Draw::new(self.seed), 1);
            let mut down: Option<usize> = None;
            for round in 0.. {
                let next = Instant::now() + CHANGE;
                if Instant::now() >= ends {
                    break;
                }
                if self.changes {
                    edition += 1;
                    let status = reshape(&cluster, &mut draw, edition);
                    came.taken += usize::from(status == "200");
                    came.refused += usize::from(status != "200");
                }
                if self.faults {
                    // A steward is down for a round at a time.
                    match (round % 4, down.take()) {
                        (1, None) => {
                            let of = draw.below(STEWARDS as u64) as usize;
                            cluster.stewards[of].kill();
                            down = Some(of);
                        }
                        (_, Some(of)) => cluster.stewards[of].again(),
                        _ => {}
                    }
                }
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
            down.into_iter().for_each(|of| cluster.stewards[of].again());
            over.store(true, Relaxed);
            cluster.ledger.release.store(true, Relaxed);
        });
        self.judge(&cluster, operations.into_inner().expect("operations"), came)
    }

    fn judge(self, cluster: &MeshCluster, operations: Vec<Operation>, mut came: Came) -> Came {
        let mut by_key: HashMap<String, Vec<String>> = HashMap::new();
        for run in cluster.ledger.runs(|run| run.req.first.contains("/sul/")) {
            by_key.entry(run.req.field(KEY).to_owned()).or_default().push(run.stamp);
        }
        came.operations = operations.len();
        for Operation { key, stamp, repeat, took } in operations {
            let runs = by_key.get(&key).map_or(&[][..], Vec::as_slice);
            came.lost += usize::from(stamp.is_empty() || runs.is_empty());
            came.doubled += usize::from(runs.len() > 1);
            came.mixed += usize::from(!stamp.is_empty() && !runs.contains(&stamp));
            came.mixed += usize::from(repeat.is_some_and(|repeat| repeat != stamp));
            came.on_time += usize::from(!stamp.is_empty() && took <= ON_TIME);
        }
        came
    }
}

/// What `norte` begins with.
const NORTES: [Route; 4] = [
    ("read", "resendable", "alpha", 6_000),
    ("fail", "resendable", "alpha", 6_000),
    ("held", "once_only", "alpha", 400),
    ("large", "outbound_post", "alpha", 6_000),
];

fn until_open(cluster: &MeshCluster, path: &str) {
    for gate in cluster.gates() {
        wait_until("in force", || keyed(gate, path, &format!("open-{}", new_id())).status() == "200");
    }
}

/// A client of `sul`: one keyed operation after the other, each sent until its answer is known, as a client does that
/// heeds what it is told: to another gate where one is not there.
fn operate(
    gates: &[std::net::SocketAddr],
    home: usize,
    seed: u64,
    over: &AtomicBool,
    to: &Mutex<Vec<Operation>>,
) {
    let mut draw = Draw::new(seed);
    while !over.load(Relaxed) {
        let next = Instant::now() + PACE + Duration::from_millis(draw.below(20));
        let key = format!("sul-{}", new_id());
        let path = ["/sul/pay/x", "/sul/book/x"][draw.below(2) as usize];
        let (began, mut at) = (Instant::now(), home);
        let mut stamp = String::new();
        while began.elapsed() < TEST_TIMEOUT {
            let message = req(&format!("POST {path}"), &new_id(), &format!("{KEY}: {key}\r\n"), b"move");
            match call(gates[at], &message) {
                Ok(answer) if answer.status() == "200" => {
                    stamp = answer.field(STAMP).to_owned();
                    break;
                }
                // At work, or not run.
                Ok(answer) if ["409", "503"].contains(&answer.status()) => {
                    let back: f64 = answer.field("retry-after").parse().unwrap_or(0.02);
                    thread::sleep(Duration::from_secs_f64(back.clamp(0.005, 1.0)));
                }
                // It may have run: whoever asked for it doesn't know.
                Ok(_) => break,
                Err(_) => at = (at + 1) % gates.len(),
            }
        }
        let took = began.elapsed();
        // Some are sent again after a good answer, elsewhere, and get the first one's.
        let again = !stamp.is_empty() && draw.below(4) == 0;
        let repeat = again.then(|| keyed(gates[(home + 1) % gates.len()], path, &key));
        let repeat =
            repeat.filter(|answer| answer.status() == "200").map(|answer| answer.field(STAMP).to_owned());
        to.lock().expect("operations").push(Operation { key, stamp, repeat, took });
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

/// Traffic of `norte`: reads, reqs that all fail, some that hang, and large ones. What comes of it is its own affair.
fn spoil(gates: &[std::net::SocketAddr], home: usize, over: &AtomicBool) {
    let paths = ["read", "fail", "held", "fail", "large", "read", "new"];
    for nth in 0.. {
        if over.load(Relaxed) {
            break;
        }
        let line = format!("GET /norte/{}/x", paths[nth % paths.len()]);
        let _ = call(gates[home], &req(&line, &new_id(), "", b""));
        thread::sleep(Duration::from_millis(5));
    }
}

fn with<'a>(more: &[Route<'a>]) -> Vec<Route<'a>> {
    [&NORTES[..], more].concat()
}

/// One change of `norte`, good or bad.
fn reshape(cluster: &MeshCluster, draw: &mut Draw, edition: u64) -> String {
    let steward = draw.below(STEWARDS as u64) as usize;
    let many: Vec<String> = (0..1_000).map(|nth| format!("many{nth:04}")).collect();
    let many: Vec<Route> = many.iter().map(|path| (&**path, "resendable", "omega", 6_000)).collect();
    let doc = |more: &str, routes: &[Route]| document("norte", edition, more, routes);
    let body = match draw.below(8) {
        // Elsewhere, and back.
        0 => doc("", &with(&[("new", "once_only", "omega", 6_000)])),
        1 => doc("", &with(&[("new", "resendable", "alpha", 100)])),
        // All that it has is gone.
        2 => doc("", &[]),
        3 => doc("", &with(&many)),
        // On trial, and bad: it hangs.
        4 => doc(r#""trial":0.5,"#, &with(&[("new", "once_only", "alpha", 300)])),
        // Another's place, a service that it was not given, no document at all.
        5 => doc("", &with(&[("new", "resendable", "alpha", 6_000)])).replace("/norte/new/", "/sul/pay/"),
        6 => doc("", &with(&[("new", "resendable", "nobody", 6_000)])),
        _ => "{".into(),
    };
    said_to(cluster, steward, "replace", "norte", "norte-key", &body).status().to_owned()
}
