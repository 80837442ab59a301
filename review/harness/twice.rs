//! Case 1: the answer to a keyed request with a long body is lost while the body is still on its way. The mesh takes
//! the request as not run, sends it to a second upstream, and the payment runs twice.

#[path = "mesh.rs"]
#[allow(dead_code)]
mod mesh;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

use mesh::*;

const REQUESTS: usize = 120;
const CLIENTS: usize = 10;
const DEADLINE_MS: u64 = 2_500;
const BODY_BYTES: usize = 200_000;
/// The client's pause in the middle of its body.
const PAUSE_MS: u64 = 400;
const WORK_MS: u64 = 120;
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
    Work { from_head: true, is_lost, ..Work::plain(WORK_MS) }
}

/// Sends a request whose body comes in two parts, and returns the answer's status, postmark and `Retry-After`.
fn pay(record: &Record, gate: SocketAddr, key: &str, left_ms: u64) -> (u16, String, f64) {
    let id = new_id();
    record.add(format!("client sends {id} key={key} to {gate}"));
    let body = vec![b'p'; BODY_BYTES];
    let bytes = request("POST", "/pago/pay", &id, Some(key), left_ms, &body);
    let exchange = || -> std::io::Result<Message> {
        let stream = TcpStream::connect_timeout(&gate, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_millis(left_ms + 1_000)))?;
        let mut stream = BufReader::new(stream);
        let half = bytes.len() / 2;
        let mut sent = stream.get_mut().write_all(&bytes[..half]);
        thread::sleep(Duration::from_millis(PAUSE_MS));
        if sent.is_ok() {
            sent = stream.get_mut().write_all(&bytes[half..]);
        }
        // An answer may have come before the body's end.
        match (read_message(&mut stream), sent) {
            (Ok(Some(answer)), _) => Ok(answer),
            (Err(error), _) | (_, Err(error)) => Err(error),
            _ => Err(std::io::ErrorKind::UnexpectedEof.into()),
        }
    };
    match exchange() {
        Ok(answer) => {
            let postmark = answer.header("ochreshed-postmark").to_owned();
            let retry_after = answer.header("retry-after").parse().unwrap_or(0.1);
            record.add(format!("client gets {} for {id} key={key} postmark={postmark:?}", answer.status()));
            (answer.status(), postmark, retry_after)
        }
        Err(error) => {
            record.add(format!("client's connection for {id} key={key} ends without an answer: {error}"));
            (0, String::new(), 0.1)
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
                let mut refused = Vec::new();
                for number in (client..REQUESTS).step_by(CLIENTS) {
                    let key = format!("k-{number}");
                    let started_ms = record.ms();
                    // At most two further tries with the same key, inside the deadline.
                    for _ in 0..3 {
                        let left_ms = (started_ms + DEADLINE_MS).saturating_sub(record.ms());
                        if left_ms < 700 {
                            break;
                        }
                        let (status, _, retry_after) = pay(&record, gate, &key, left_ms);
                        if status == 200 {
                            break;
                        }
                        if status == 429 || status == 503 {
                            refused.push(key.clone());
                        }
                        thread::sleep(Duration::from_secs_f64(retry_after.min(0.4)));
                    }
                }
                refused
            })
        })
        .collect();
    let refused: Vec<String> =
        clients.into_iter().flat_map(|client| client.join().expect("a client")).collect();
    thread::sleep(Duration::from_millis(300));
    let runs = mesh.runs();
    let mut twice = 0;
    for number in 0..REQUESTS {
        let key = format!("k-{number}");
        let of_key: Vec<_> = runs.iter().filter(|run| run.key == key).collect();
        if of_key.len() > 1 {
            twice += 1;
            let ids: Vec<String> = of_key
                .iter()
                .map(|run| format!("{} at {} from {} ms", run.id, run.upstream, run.started_ms))
                .collect();
            record.add(format!(
                "TWICE: key={key} ran {} times: {}; refused as not run: {}",
                of_key.len(),
                ids.join(", "),
                refused.contains(&key)
            ));
        }
    }
    let ran = (0..REQUESTS).filter(|number| runs.iter().any(|run| run.key == format!("k-{number}"))).count();
    let verdict = format!(
        "{REQUESTS} keys, {ran} ran, {twice} of them more than once; {} tries were answered 429 or 503",
        refused.len()
    );
    let code = if twice > 0 {
        1
    } else if ran == REQUESTS {
        0
    } else {
        2
    };
    finish(mesh, &folder, code, &verdict);
}
