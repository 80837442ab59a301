//! An entry, no case: `docs/incidents/released-lease-still-held.md`, "What stays". All stewards are killed, the first is back
//! before the others; keys are refused meanwhile. All are killed once more before anybody asks for these keys again.

mod mesh;

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use mesh::*;

const CLIENTS: usize = 60;
const LEFT_MS: u64 = 600;

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

fn kill_all(mesh: &mut Mesh, first_s: f64, others_s: f64) {
    mesh.stewards.iter().for_each(|steward| steward.signal(SIGKILL));
    mesh.stewards.iter_mut().for_each(Process::kill);
    mesh.record.say("platform: all stewards are killed");
    sleep(first_s);
    mesh.stewards[0].start();
    sleep(others_s - first_s);
    mesh.stewards[1].start();
    mesh.stewards[2].start();
    mesh.record.say("platform: all stewards are started again");
}

fn play(record: &Arc<Record>) -> bool {
    let gap = |name: &str, without: f64| std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(without);
    let mut mesh = Mesh::start(record, 3, &["cobro"; 4], &Options::default());
    let routes = [route("/pago/", "registered", "cobro", LEFT_MS, 300), route("/saldo/", "resendable", "cobro", 2000, 300)];
    mesh.configure(&configuration(1, &["cobro"], &routes));
    mesh.wait_served(&["/saldo/x"]);
    sleep(2.0);
    let stop = Arc::new(AtomicBool::new(false));
    let refused = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (to, stop, refused, record) = (mesh.outbound(index % 4), stop.clone(), refused.clone(), record.clone());
            thread::spawn(move || {
                let mut number = 0;
                while !stop.load(SeqCst) {
                    number += 1;
                    let key = format!("k-{}-{index}-{number}", std::process::id());
                    let id = new_id();
                    let answer = send(to, &request("POST", "/pago/x?ms=10", &id, Some(&key), LEFT_MS, b"p"), Duration::from_secs(2));
                    if answer.is_ok_and(|answer| answer.status() == 503) {
                        refused.lock().unwrap().push((record.now(), key));
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    sleep(1.0);
    kill_all(&mut mesh, gap("FIRST", 0.4), gap("OTHERS", 0.9));
    sleep(gap("PAUSE", 0.5));
    stop.store(true, SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    if trouble() {
        kill_all(&mut mesh, 0.6, 0.6);
    }
    sleep(8.0);
    let refused = refused.lock().unwrap().clone();
    let mut results = Vec::new();
    let mut asks = Vec::new();
    for (index, (_, key)) in refused.iter().rev().take(400).enumerate() {
        let (to, key) = (mesh.outbound(index % 4), key.clone());
        asks.push(thread::spawn(move || {
            let bytes = request("POST", "/pago/x?ms=5", &new_id(), Some(&key), 2500, b"p");
            send(to, &bytes, Duration::from_secs(4)).map_or(0, |answer| answer.status()).to_string()
        }));
        if index % 20 == 19 {
            asks.drain(..).for_each(|ask| results.extend(ask.join()));
        }
    }
    asks.into_iter().for_each(|ask| results.extend(ask.join()));
    record.say(&format!("{} keys were refused; asked again: {}", refused.len(), tally(results.iter().map(String::as_str))));
    results.iter().filter(|status| *status == "409").count() > 6
}
