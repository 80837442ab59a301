//! Case 3: a sound upstream that pauses in the middle of its answer is broken off after a SIGTERM.

#[path = "mesh.rs"]
#[allow(dead_code)]
mod mesh;

use std::thread;
use std::time::Duration;

use mesh::*;

const REQUESTS: usize = 8;
/// The deadline of the client and of the route, as for payments at the deployment.
const DEADLINE_MS: u64 = 2_500;
const GRACE_MS: u64 = 6_000;

/// The same time at work with and without the disruption; only the moment of the first half differs.
fn work(request: &Message, _: usize) -> Work {
    match (request.path().starts_with("/pago/pay"), calm()) {
        (true, false) => Work { between_ms: 1_500, ..Work::plain(120) },
        (true, true) => Work::plain(1_620),
        _ => Work::plain(10),
    }
}

fn main() {
    let folder = std::env::args().nth(1).expect("the case's folder");
    let record = Record::new();
    // The first machine takes the clients' requests; its own upstream is of another service.
    let mesh = Mesh::start(&["lectura", "cobro", "cobro"], record.clone(), work);
    let routes = [("/lectura/", "resendable", "lectura"), ("/pago/", "registered", "cobro")];
    if !mesh.configure(&configuration(1, &routes)) || !mesh.wait_served(&["/lectura/a", "/pago/warm"]) {
        finish(mesh, &folder, 2, "the mesh did not come up");
    }
    // Every machine has been calm for touch_ms.
    thread::sleep(Duration::from_millis(3_200));
    let gate = mesh.gate(0);
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let (id, key) = (new_id(), format!("k-{number}"));
                let sent_ms = record.ms();
                record.add(format!("client sends {id} key={key} to {gate}"));
                let bytes = request("POST", "/pago/pay", &id, Some(&key), DEADLINE_MS, b"{\"amount\":12}");
                let answer = send(gate, &bytes, Duration::from_millis(DEADLINE_MS + 1_500));
                let ended_ms = record.ms();
                match &answer {
                    Ok(answer) => record.add(format!(
                        "client gets {} for {id} after {} ms, postmark={:?}",
                        answer.status(),
                        ended_ms - sent_ms,
                        answer.header("ochreshed-postmark")
                    )),
                    Err(error) => record
                        .add(format!("client's connection for {id} ends without a whole answer: {error}")),
                }
                (id, key, sent_ms, ended_ms, answer)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    let term_ms = record.ms();
    record.add(format!("SIGTERM to {}, which took the requests", mesh.attendants[0].name));
    mesh.attendants[0].signal("TERM");
    let results: Vec<_> = clients.into_iter().map(|client| client.join().expect("a client")).collect();
    // The runs that were not broken off end.
    thread::sleep(Duration::from_millis(500));
    let by_id = mesh.runs_by_id();
    let (mut lost, mut served, mut not_run) = (0, 0, 0);
    for (id, key, sent_ms, ended_ms, answer) in results {
        let Some(run) = by_id.get(&id).and_then(|runs| runs.first()) else {
            not_run += 1;
            continue;
        };
        let whole = answer
            .as_ref()
            .is_ok_and(|answer| answer.header("ochreshed-postmark") == run.stamp && answer.status() == 200);
        // Excuses of the rule: the upstream broke off (never here), the deadline, the second half of grace_s.
        let in_time = ended_ms < sent_ms + DEADLINE_MS - 100 && ended_ms < term_ms + GRACE_MS / 2;
        let in_span = ended_ms >= term_ms && ended_ms <= term_ms + GRACE_MS + 1_000;
        if whole {
            served += 1;
        } else if in_time && in_span && run.dropped {
            lost += 1;
            record.add(format!("LOST: {id} key={key}: upstream {} was at work on it; broken off by the mesh {} ms after it was sent", run.upstream, ended_ms - sent_ms));
        }
    }
    let verdict = format!(
        "{REQUESTS} requests around a SIGTERM: {served} served whole, {lost} broken off while their upstream was at work, {not_run} not run"
    );
    if lost > 0 {
        finish(mesh, &folder, 1, &verdict);
    }
    finish(mesh, &folder, if served > 0 { 0 } else { 2 }, &verdict);
}
