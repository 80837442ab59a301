//! An upstream signs off, which is acknowledged, and serves on for some seconds. The core and the attendant beside the
//! upstream are killed at one moment and are back within a second. Then a beat of the upstream arrives that was sent
//! before it signed off.

mod mesh;

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mesh::*;

const DRAIN_S: f64 = 2.0;
const TOUCH_S: f64 = 3.0;

fn main() {
    let path = std::env::args().nth(1).expect("the record's path");
    let record = Record::create(&path);
    limit_time(100);
    let broken = std::panic::catch_unwind(|| play(&record));
    std::process::exit(match broken {
        Ok(false) => 0,
        Ok(true) => 1,
        Err(_) => 2,
    });
}

fn play(record: &Arc<Record>) -> bool {
    let lines = ["cobro"; 6];
    let mut mesh = Mesh::start(record, 3, &lines, &Options::default());
    let routes = [route("/saldo/", "resendable", "cobro", 2000, 300)];
    mesh.configure(&configuration(1, &["cobro"], &routes));
    mesh.wait_served(&["/saldo/x"]);
    sleep(4.0);
    let stop = Arc::new(AtomicBool::new(false));
    // Clients at all machines but that of the upstream that leaves.
    let clients: Vec<_> = (0..10)
        .map(|index| {
            let (to, stop, record) = (mesh.outbound(1 + index % 5), stop.clone(), record.clone());
            thread::spawn(move || {
                while !stop.load(SeqCst) {
                    let id = new_id();
                    record.line(&format!("sent     id={id} to={to}"));
                    let answer = send(to, &request("GET", "/saldo/x?ms=60", &id, None, 2000, b""), Duration::from_secs(3));
                    record.line(&format!("answer   id={id} status={}", answer.map_or(0, |answer| answer.status())));
                    thread::sleep(Duration::from_millis(25));
                }
            })
        })
        .collect();
    sleep(1.5);
    let leaving = mesh.upstreams[0].clone();
    let name = leaving.name();
    // A beat that is sent now and comes 3 s late.
    leaving.silent.store(true, SeqCst);
    let late = (leaving.sequence.fetch_add(1, SeqCst), leaving.control);
    let late_body = leaving.beat_body(late.0);
    sleep(0.2);
    wait_for("the sign-off is acknowledged", 5.0, || {
        rpc(leaving.control, &format!("offices.sign_off&of={name}"), "").is_ok_and(|answer| answer.status() == 200)
    });
    let signed_off = record.now();
    record.say(&format!("upstream {name}: its sign-off is acknowledged; it serves on"));
    // On its way, health answers say that it leaves.
    leaving.closing.store(true, SeqCst);
    sleep(1.0);
    if trouble() {
        record.say("platform: all stewards and the attendant beside that upstream are killed at one moment");
        mesh.stewards.iter().chain(&mesh.attendants[..1]).for_each(|process| process.signal(SIGKILL));
        mesh.stewards.iter_mut().chain(&mut mesh.attendants[..1]).for_each(Process::kill);
        sleep(0.6);
        mesh.stewards.iter_mut().chain(&mut mesh.attendants[..1]).for_each(Process::start);
        record.say("platform: they are started again");
    }
    let calm_from = record.now();
    sleep(signed_off + 2.8 - record.now());
    let answer = rpc(late.1, &format!("offices.beat&of={name}"), &late_body);
    record.say(&format!("upstream {name}: the late beat, postmark_seq {}, arrives: {}", late.0, answer.map_or(0, |answer| answer.status())));
    sleep(signed_off + 12.0 - record.now());
    record.say(&format!("upstream {name}: ends"));
    leaving.stopped.store(true, SeqCst);
    sleep(0.5);
    stop.store(true, SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let runs = mesh.town.runs.lock().unwrap();
    let at_leaving: Vec<f64> = runs.iter().filter(|run| run.upstream == name && run.at > signed_off).map(|run| run.at - signed_off).collect();
    let after_drain = at_leaving.iter().filter(|at| **at > DRAIN_S).count();
    // Only requests that came when all machines had been in touch for a while: twice touch_ms after the start.
    let in_touch = at_leaving.iter().filter(|at| **at > DRAIN_S && signed_off + **at > calm_from + 2.0 * TOUCH_S + 0.5).count();
    record.say(&format!(
        "requests that upstream {name} received after its sign-off was acknowledged: {}; more than drain_ms after it: {after_drain}; of these from machines in touch: {in_touch}; DRAIN allows none",
        at_leaving.len()
    ));
    if let Some(last) = at_leaving.last() {
        record.say(&format!("the last of them {last:.1} s after the acknowledgement"));
    }
    in_touch > 0
}
