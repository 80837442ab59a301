//! Case 2: a keyed request whose key holds a letter beyond ASCII runs without a lease, so a repeat runs again.

#[path = "mesh.rs"]
#[allow(dead_code)]
mod mesh;

use std::net::SocketAddr;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

use mesh::*;

/// Payments; every second key is plain ASCII, for comparison.
const REQUESTS: usize = 400;
const CLIENTS: usize = 6;
const DEADLINE_MS: u64 = 2_500;
const WORK_MS: u64 = 30;
/// One of the two upstreams of the service loses the answer of every 20th request that it runs, for four seconds:
/// `share` 0.5, `x` 0.05 and `for_s` 4, as the site file says.
const LOSING_UPSTREAM: usize = 1;
const ONE_IN: u64 = 20;
const LOSING_FOR: Duration = Duration::from_secs(4);

static RAN_THERE: AtomicU64 = AtomicU64::new(0);
static LOSING_SINCE: OnceLock<Instant> = OnceLock::new();

fn work(request: &Message, upstream: usize) -> Work {
    if !request.path().starts_with("/pago/pay") {
        return Work::plain(10);
    }
    let is_lost = !calm()
        && upstream == LOSING_UPSTREAM
        && LOSING_SINCE.get_or_init(Instant::now).elapsed() < LOSING_FOR
        && (RAN_THERE.fetch_add(1, SeqCst) + 1).is_multiple_of(ONE_IN);
    Work { is_lost, ..Work::plain(WORK_MS) }
}

/// The key of a payment: the member's name and the number.
fn key_of(number: usize) -> String {
    if number.is_multiple_of(2) {
        format!("cuota-Mu\u{f1}oz-{number}")
    } else {
        format!("cuota-Quispe-{number}")
    }
}

/// Sends one try of a payment, and returns the answer's status and `Retry-After`.
fn pay(record: &Record, gate: SocketAddr, key: &str, left_ms: u64) -> (u16, f64) {
    let id = new_id();
    record.add(format!("client sends {id} key={key} to {gate}"));
    let bytes = request("POST", "/pago/pay", &id, Some(key), left_ms, b"{\"amount\":12}");
    match send(gate, &bytes, Duration::from_millis(left_ms + 1_000)) {
        Ok(answer) => {
            let postmark = answer.header("ochreshed-postmark");
            record.add(format!("client gets {} for {id} key={key} postmark={postmark:?}", answer.status()));
            (answer.status(), answer.header("retry-after").parse().unwrap_or(0.1))
        }
        Err(error) => {
            record.add(format!("client's connection for {id} key={key} ends without an answer: {error}"));
            (0, 0.1)
        }
    }
}

fn main() {
    let folder = std::env::args().nth(1).expect("the case's folder");
    let record = Record::new();
    let mesh = Mesh::start(&["lectura", "cobro", "cobro"], record.clone(), work);
    let routes = [("/lectura/", "resendable", "lectura"), ("/pago/", "registered", "cobro")];
    if !mesh.configure(&configuration(1, &routes)) || !mesh.wait_served(&["/lectura/a", "/pago/warm"]) {
        finish(mesh, &folder, 2, "the mesh did not come up");
    }
    thread::sleep(Duration::from_millis(1_000));
    let gate = mesh.gate(0);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || {
                for number in (client..REQUESTS).step_by(CLIENTS) {
                    let key = key_of(number);
                    let started_ms = record.ms();
                    // At most two further tries with the same key, inside the deadline, after failures only.
                    for _ in 0..3 {
                        let left_ms = (started_ms + DEADLINE_MS).saturating_sub(record.ms());
                        if left_ms < 300 {
                            break;
                        }
                        let (status, retry_after) = pay(&record, gate, &key, left_ms);
                        if status == 200 {
                            break;
                        }
                        thread::sleep(Duration::from_secs_f64(retry_after.min(0.5)));
                    }
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    thread::sleep(Duration::from_millis(300));
    let runs = mesh.runs();
    let (mut ran, mut twice) = ([0; 2], [0; 2]);
    for number in 0..REQUESTS {
        let key = key_of(number);
        let of_key: Vec<_> = runs.iter().filter(|run| run.key == key).collect();
        ran[number % 2] += usize::from(!of_key.is_empty());
        if of_key.len() > 1 {
            twice[number % 2] += 1;
            let tries: Vec<String> = of_key
                .iter()
                .map(|run| format!("{} at {} from {} ms", run.id, run.upstream, run.started_ms))
                .collect();
            record.add(format!("TWICE: key={key} ran {} times: {}", of_key.len(), tries.join(", ")));
        }
    }
    let verdict = format!(
        "of {} keys with a letter beyond ASCII {} ran more than once; of {} plain keys {}",
        ran[0], twice[0], ran[1], twice[1]
    );
    let code = if twice[0] + twice[1] > 0 {
        1
    } else if ran[0] > 0 && ran[1] > 0 {
        0
    } else {
        2
    };
    finish(mesh, &folder, code, &verdict);
}
