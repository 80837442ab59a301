//! A drill of people that walk among sites in the middle of operations, payments and bookings of registered routes that
//! name a session. Stewards are killed in turn, gates stand still and wake again with what they held, all by a seed. The
//! upstreams' ledger is the judge: each operation lands once or is told as not run.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

use super::helper::{TEST_TIMEOUT, wait_until};
use super::mesh_cluster::*;

/// A configuration whose operations name a session.
pub fn with_sessions(version: u64) -> String {
    let named = r#""tries":2,"session":"X-Person""#;
    let pay = route("/pay/", "registered", "alpha").replacen(r#""tries":2"#, named, 1);
    let look = route("/look/", "resendable", "alpha").replacen(r#""tries":2"#, named, 1);
    timetable(version, &format!("{pay},{look}"))
}

pub fn fields(person: usize, key: &str) -> String {
    format!("X-Person: person-{person}\r\n{KEY}: {key}\r\n")
}

/// What is played.
#[derive(Clone, Copy)]
pub struct Walk {
    pub seed: u64,
    pub people: usize,
    pub operations: usize,
    /// How long a person pauses after each, in the mean; none where all the mesh can do is wanted.
    pub pause: Duration,
    /// The service beside each site's gate.
    pub sites: &'static [&'static str],
    /// Whether stewards are killed and gates stand still.
    pub faults: bool,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Walked {
    pub operations: usize,
    /// Answered with its own run; nobody knows; run more than once; told as not run to the end though it ran; answered
    /// with another's stamp.
    pub landed: usize,
    pub unknown: usize,
    pub doubled: usize,
    pub untrue: usize,
    pub mixed: usize,
    /// Told as not run until its client gave up, and it did not run.
    pub not_run: usize,
    /// Runs after another of the same person, and those of them at the same upstream.
    pub followed: usize,
    pub tied: usize,
    /// Middle times in ms of operations that stayed at a gate and of those that moved.
    pub stayed_ms: f64,
    pub moved_ms: f64,
    pub moves: u64,
    pub took: Duration,
}

/// How an operation ended for its client.
struct End {
    key: String,
    /// Empty: no answer of a run.
    stamp: String,
    /// All that it was told is that it has not run.
    not_run: bool,
    moved: bool,
    took: Duration,
}

impl Walk {
    pub fn play(self) -> Walked {
        let mut cluster = MeshCluster::of(STEWARDS, self.sites);
        cluster.replace(0, &with_sessions(2));
        cluster.until_in_force("/look/x");
        let gates = cluster.gates();
        let (over, next, ends) = (AtomicBool::new(false), AtomicUsize::new(0), Mutex::new(Vec::new()));
        let began = Instant::now();
        thread::scope(|scope| {
            let cluster = &mut cluster;
            let faults = self.faults.then(|| scope.spawn(|| harm(cluster, self.seed, &over)));
            let people: Vec<_> = (0..self.people)
                .map(|person| {
                    scope.spawn({
                        let (gates, next, ends) = (&gates, &next, &ends);
                        move || self.person(gates, person, next, ends)
                    })
                })
                .collect();
            people.into_iter().for_each(|person| person.join().expect("a person"));
            over.store(true, Relaxed);
            faults.into_iter().for_each(|faults| faults.join().expect("faults"));
        });
        let mut walked = judge(&cluster, ends.into_inner().expect("ends"));
        walked.took = began.elapsed();
        walked.moves = (0..gates.len())
            .map(|nth| cluster.ask_attendant(nth, "sessions.count")["moves"].as_u64().unwrap_or(0))
            .sum();
        walked
    }

    /// Begins an operation where the person is, and finishes it there or at the next site, until there are enough.
    fn person(self, gates: &[SocketAddr], person: usize, next: &AtomicUsize, ends: &Mutex<Vec<End>>) {
        let mut draw = Draw::new(self.seed * 7_919 + person as u64);
        let mut at = person % gates.len();
        let each = self.operations / self.people;
        for _ in 0..each {
            let key = format!("w-{}", next.fetch_add(1, Relaxed));
            let moves = draw.below(3) == 0;
            let to =
                if moves { (at + 1 + draw.below(gates.len() as u64 - 1) as usize) % gates.len() } else { at };
            if moves {
                // The first try, whose answer this person doesn't wait for.
                begins(gates[at], person, &key);
            }
            let began = Instant::now();
            let (stamp, not_run) = finishes(gates, to, person, &key);
            let took = began.elapsed();
            ends.lock().expect("ends").push(End {
                key,
                stamp,
                not_run: not_run && !moves,
                moved: moves,
                took,
            });
            at = to;
            let pause = self.pause.as_micros() as u64;
            thread::sleep(Duration::from_micros(pause / 2 + draw.below(pause)));
        }
    }
}

fn begins(gate: SocketAddr, person: usize, key: &str) {
    use std::io::Write;
    if let Ok(mut stream) = std::net::TcpStream::connect_timeout(&gate, Duration::from_secs(1)) {
        let _ = stream.write_all(&req("POST /pay/x", &new_id(), &fields(person, key), b"10.00"));
    }
}

/// Sends it until its answer is known, at another gate where this one gives none; the stamp, and whether all it was told
/// is that it has not run.
fn finishes(gates: &[SocketAddr], to: usize, person: usize, key: &str) -> (String, bool) {
    let (began, mut at, mut not_run) = (Instant::now(), to, true);
    while began.elapsed() < TEST_TIMEOUT {
        match call_within(gates[at], &req("POST /pay/x", &new_id(), &fields(person, key), b"10.00"), PATIENCE)
        {
            Ok(answer) if answer.status() == "200" => return (answer.field(STAMP).to_owned(), false),
            Ok(answer) if answer.status() == "503" => {
                let back: f64 = answer.field("retry-after").parse().unwrap_or(0.02);
                thread::sleep(Duration::from_secs_f64(back.clamp(0.005, 0.5)));
            }
            Ok(answer) if answer.status() == "409" => thread::sleep(Duration::from_millis(10)),
            // It may have run, and nobody knows.
            Ok(_) => return (String::new(), false),
            // Nothing came: the same key, elsewhere.
            Err(_) => {
                not_run = false;
                at = (at + 1) % gates.len();
            }
        }
    }
    (String::new(), not_run)
}

/// How long a client waits for an answer before it goes elsewhere.
const PATIENCE: Duration = Duration::from_millis(2_500);

/// One trouble after the other, by the seed: a steward is killed and comes back, a gate stands still and wakes.
fn harm(cluster: &mut MeshCluster, seed: u64, over: &AtomicBool) {
    let mut draw = Draw::new(seed);
    while !over.load(Relaxed) {
        if draw.below(2) == 0 {
            let nth = draw.below(STEWARDS as u64) as usize;
            cluster.stewards[nth].kill();
            thread::sleep(Duration::from_millis(300));
            let before = cluster.stewards[nth].logged("full service");
            cluster.start_steward(nth, false);
            wait_until("back", || cluster.stewards[nth].logged("full service") > before);
        } else {
            let nth = draw.below(cluster.attendants.len() as u64) as usize;
            cluster.attendants[nth].signal("STOP");
            thread::sleep(Duration::from_millis(300 + draw.below(1_200)));
            cluster.attendants[nth].signal("CONT");
        }
        thread::sleep(Duration::from_millis(200 + draw.below(400)));
    }
}

fn judge(cluster: &MeshCluster, ends: Vec<End>) -> Walked {
    let (mut by_key, mut last): (HashMap<String, Vec<String>>, HashMap<String, String>) = Default::default();
    let mut walked = Walked { operations: ends.len(), ..Walked::default() };
    for run in cluster.ledger.runs(|run| run.req.first.contains("/pay/")) {
        by_key.entry(run.req.field(KEY).to_owned()).or_default().push(run.stamp);
        if let Some(before) = last.insert(run.req.field("x-person").to_owned(), run.by.clone()) {
            walked.followed += 1;
            walked.tied += usize::from(before == run.by);
        }
    }
    let (mut stayed, mut moved) = (Vec::new(), Vec::new());
    for End { key, stamp, not_run, moved: moves, took } in ends {
        let runs = by_key.get(&key).map_or(&[][..], Vec::as_slice);
        walked.doubled += usize::from(runs.len() > 1);
        if stamp.is_empty() {
            walked.untrue += usize::from(not_run && !runs.is_empty());
            walked.not_run += usize::from(not_run && runs.is_empty());
            walked.unknown += usize::from(!not_run);
            continue;
        }
        walked.landed += usize::from(runs.contains(&stamp));
        walked.mixed += usize::from(!runs.contains(&stamp));
        let times = if moves { &mut moved } else { &mut stayed };
        times.push(took.as_secs_f64() * 1e3);
    }
    let middle = |times: &mut Vec<f64>| {
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 2).copied().unwrap_or(0.0)
    };
    (walked.stayed_ms, walked.moved_ms) = (middle(&mut stayed), middle(&mut moved));
    walked
}
