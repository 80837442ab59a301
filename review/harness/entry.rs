//! The entry of KNOWN-RED.txt, not one of the three cases: after all stewards were killed at once and are back within a
//! second, keys that were refused as not run get 409, "at work", though nobody ever ran them.
//!
//! `target/review/entry FOLDER` writes `record.txt` there; exit codes and `TROUBLE=0` as for the cases.

#[path = "mesh.rs"]
#[allow(dead_code)]
mod mesh;

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use mesh::*;

const CLIENTS: usize = 40;
/// Deadline of the route and its clients, as `booking-confirm` of dadiva-comum has.
const DEADLINE_MS: u64 = 600;
/// From the start of the first steward to that of the others.
const GAP_MS: u64 = 500;

fn work(_: &Message, _: usize) -> Work {
    Work::plain(40)
}

fn main() {
    let folder = std::env::args().nth(1).expect("a folder for the record");
    let record = Record::new();
    let mut mesh = Mesh::start(&["agenda", "marcacoes", "marcacoes", "marcacoes"], record.clone(), work);
    let routes = [("/agenda/", "resendable", "agenda"), ("/book/", "registered", "marcacoes")];
    let configuration = configuration_within(1, &routes, DEADLINE_MS, 250);
    if !mesh.configure(&configuration) || !mesh.wait_served(&["/agenda/a", "/book/warm"]) {
        finish(mesh, &folder, 2, "the mesh did not come up");
    }
    let gates: Vec<_> = (0..4).map(|attendant| mesh.gate(attendant)).collect();
    let try_key = {
        let (record, gates) = (record.clone(), gates.clone());
        move |machine: usize, key: &str| -> u16 {
            let id = new_id();
            let bytes = request("POST", "/book/confirm", &id, Some(key), DEADLINE_MS, b"{}");
            let status = send(gates[machine], &bytes, Duration::from_millis(DEADLINE_MS + 1_500))
                .map_or(0, |a| a.status());
            record.add(format!("client gets {status} for {id} key={key} at machine {machine}"));
            status
        }
    };
    let (stopped, first) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (stopped, first, try_key) = (stopped.clone(), first.clone(), try_key.clone());
            thread::spawn(move || {
                for number in 0.. {
                    if stopped.load(SeqCst) {
                        return;
                    }
                    let key = format!("k-{client}-{number}");
                    let status = try_key(client % 4, &key);
                    first.lock().unwrap().push((key, status));
                    thread::sleep(Duration::from_millis(250));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    if !calm() {
        record.add("all three stewards are killed".into());
        mesh.stewards.iter_mut().for_each(Process::kill);
        mesh.stewards[0].start();
        record.add("the first steward is started again".into());
        thread::sleep(Duration::from_millis(GAP_MS));
        mesh.stewards[1].start();
        mesh.stewards[2].start();
        record.add("the other two are started again".into());
    }
    thread::sleep(Duration::from_millis(2_500));
    stopped.store(true, SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    // The core has been settled for touch_ms, and no request is under way.
    thread::sleep(Duration::from_millis(3_500));
    let first = first.lock().unwrap().clone();
    let refused: Vec<String> =
        first.iter().filter(|(_, status)| *status != 200).map(|(key, _)| key.clone()).collect();
    let ran_before: Vec<String> = mesh.runs().into_iter().map(|run| run.key).collect();
    let mut denied = 0;
    for (number, key) in refused.iter().enumerate() {
        let status = try_key(number % 4, key);
        if status == 409 && !ran_before.contains(key) {
            denied += 1;
            record.add(format!(
                "DENIED: key={key} never ran and was refused as not run; now it is said to be at work"
            ));
        }
    }
    let requests = first.len() + refused.len();
    let bound = 5.0 + requests as f64 / 500.0;
    let verdict = format!(
        "{} requests, {} of them refused; {denied} of these keys got 409 once all was calm and had never run (bound {bound:.2})",
        first.len(),
        refused.len()
    );
    finish(mesh, &folder, i32::from(denied as f64 > bound), &verdict);
}
