//! Case 3: after the process that took keyed requests was killed, every repeat of their keys gets 409 although no
//! upstream is at work on them.

#[path = "mesh.rs"]
#[allow(dead_code)]
mod mesh;

use std::thread;
use std::time::Duration;

use mesh::*;

/// Ten machines with the three of the stewards, so that one of them is a tenth.
const SERVICES: [&str; 7] = ["lectura", "cobro", "cobro", "lectura", "lectura", "recibos", "recibos"];
const KEYS: usize = 12;
const DEADLINE_MS: u64 = 2_500;

fn work(request: &Message, _: usize) -> Work {
    Work::plain(if request.path().starts_with("/pago/pay") { 700 } else { 10 })
}

fn main() {
    let folder = std::env::args().nth(1).expect("the case's folder");
    let record = Record::new();
    let mut mesh = Mesh::start(&SERVICES, record.clone(), work);
    let routes = [("/lectura/", "resendable", "lectura"), ("/pago/", "registered", "cobro")];
    if !mesh.configure(&configuration(1, &routes)) || !mesh.wait_served(&["/lectura/a", "/pago/warm"]) {
        finish(mesh, &folder, 2, "the mesh did not come up");
    }
    thread::sleep(Duration::from_millis(3_200));
    let gates = [mesh.gate(0), mesh.gate(1), mesh.gate(2)];
    // One try of an operation: the status, and the postmark of the answer.
    let try_key = move |record: &Record, gate: usize, key: &str, note: &str| {
        let id = new_id();
        record.add(format!("client sends {id} key={key} to machine {gate} ({note})"));
        let bytes = request("POST", "/pago/pay", &id, Some(key), DEADLINE_MS, b"{\"amount\":12}");
        let answer = send(gates[gate], &bytes, Duration::from_millis(DEADLINE_MS + 1_500));
        let (status, postmark) = match &answer {
            Ok(answer) => (answer.status(), answer.header("ochreshed-postmark").to_owned()),
            Err(_) => (0, String::new()),
        };
        record.add(format!("client gets {status} for {id} key={key} postmark={postmark:?}"));
        (status, postmark)
    };
    let first_ms = record.ms();
    let clients: Vec<_> = (0..KEYS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let key = format!("k-{number}");
                let first = try_key(&record, 0, &key, "first try");
                if first.0 != 200 {
                    // The failure's further try, on a machine that was not touched.
                    thread::sleep(Duration::from_millis(300));
                    try_key(&record, 1 + number % 2, &key, "further try");
                }
                first
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(350));
    if !calm() {
        record.add(format!("kill {}, which took the requests", mesh.attendants[0].name));
        mesh.attendants[0].kill();
        thread::sleep(Duration::from_millis(500));
        mesh.attendants[0].start();
        record.add(format!("{} is started again", mesh.attendants[0].name));
    }
    let firsts: Vec<_> = clients.into_iter().map(|client| client.join().expect("a client")).collect();
    let (mut denied, mut judged, mut wrong) = (0, 0, 0);
    // The payers try the same operations again, well after the deadline of all tries before.
    for round in 0..3 {
        let due_ms = first_ms + DEADLINE_MS + 4_000 + round * 8_000;
        thread::sleep(Duration::from_millis(due_ms.saturating_sub(record.ms())));
        for (number, (first_status, first_postmark)) in firsts.iter().enumerate() {
            let key = format!("k-{number}");
            let gate = 1 + number % 2;
            let (status, postmark) = try_key(&record, gate, &key, "repeat after the deadline");
            judged += 1;
            let at_work = mesh.runs().iter().any(|run| run.key == key && run.ended_ms.is_none());
            if status == 409 && !at_work {
                denied += 1;
            }
            wrong += usize::from(*first_status == 200 && status == 200 && postmark != *first_postmark);
        }
    }
    let runs = mesh.runs();
    let ran = (0..KEYS).filter(|number| runs.iter().any(|run| run.key == format!("k-{number}"))).count();
    let requests = judged + 2 * KEYS + 6;
    let bound = 5.0 + requests as f64 / 500.0;
    let verdict = format!(
        "{KEYS} keys of which {ran} ran, {judged} repeats at machines in touch: {denied} got 409 with no upstream at work on the key (bound {bound:.2} for {requests} requests), {wrong} got another answer than the first"
    );
    let code = if ran == 0 { 2 } else { i32::from(denied as f64 > bound || wrong > 0) };
    finish(mesh, &folder, code, &verdict);
}
