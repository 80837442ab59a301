//! One attendant is killed while keyed requests of its clients are at work. Long after their deadlines, and though no
//! upstream works on them any more, their keys are answered as if they were at work.

mod mesh;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use mesh::*;

const CLIENTS: usize = 24;
const WORK_MS: u64 = 900;
const LEFT_MS: u64 = 2500;

fn main() {
    let path = std::env::args().nth(1).expect("the record's path");
    let record = Record::create(&path);
    limit_time(110);
    let broken = std::panic::catch_unwind(|| play(&record));
    std::process::exit(match broken {
        Ok(false) => 0,
        Ok(true) => 1,
        Err(_) => 2,
    });
}

fn play(record: &Arc<Record>) -> bool {
    let lines = ["cobro"; 9];
    let mut mesh = Mesh::start(record, 3, &lines, &Options::default());
    let routes = [route("/pago/", "registered", "cobro", LEFT_MS, 2000), route("/saldo/", "resendable", "cobro", 2000, 300)];
    mesh.configure(&configuration(1, &["cobro"], &routes));
    mesh.wait_served(&["/saldo/x"]);
    sleep(4.0);
    let path = format!("/pago/x?ms={WORK_MS}");
    let sent = Arc::new(Mutex::new(0_usize));
    let mut clients = Vec::new();
    let started = record.now();
    for index in 0..CLIENTS {
        let (to, other) = (mesh.outbound(0), mesh.outbound(1 + index % 8));
        let (record, path, sent) = (record.clone(), path.clone(), sent.clone());
        clients.push(thread::spawn(move || {
            let key = format!("k-{}-{index}", std::process::id());
            let mut statuses = Vec::new();
            // Three tries with the same key inside the first one's deadline, the further ones at another machine.
            for to in [to, other, other] {
                let left = LEFT_MS.saturating_sub(((record.now() - started) * 1000.0) as u64);
                if left < 300 {
                    break;
                }
                let id = new_id();
                *sent.lock().unwrap() += 1;
                let answer = send(to, &request("POST", &path, &id, Some(&key), left, b"pago"), Duration::from_millis(left));
                let status = answer.as_ref().map_or(0, Message::status);
                record.line(&format!("try      id={id} key={key} to={to} status={status}"));
                statuses.push(status);
                if status == 200 {
                    break;
                }
                thread::sleep(Duration::from_millis(150));
            }
            (key, statuses)
        }));
    }
    sleep(0.45);
    if trouble() {
        record.say("platform: machine 1's attendant is killed");
        mesh.attendants[0].kill();
        sleep(1.0);
        mesh.attendants[0].start();
        record.say("platform: it is started again");
    }
    let keys: Vec<(String, Vec<u16>)> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let first: Vec<String> = keys.iter().map(|(_, statuses)| format!("{:?}", statuses.last().unwrap_or(&0))).collect();
    record.say(&format!("clients: how {} keyed requests ended (0: connection lost): {}", keys.len(), tally(first.iter().map(String::as_str))));
    // All deadlines are over, and all machines have been in touch for more than 3 s.
    sleep(started + 9.0 - record.now());
    let mut results = Vec::new();
    for (index, (key, _)) in keys.iter().enumerate() {
        let id = new_id();
        *sent.lock().unwrap() += 1;
        let to = mesh.outbound(1 + (index + 3) % 8);
        let answer = send(to, &request("POST", &path, &id, Some(key), LEFT_MS, b"pago"), Duration::from_millis(LEFT_MS));
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!("repeat   id={id} key={key} to={to} status={status}"));
        results.push(status.to_string());
    }
    let window = record.now() - started;
    record.say(&format!("clients: the keys once more, 9 to {window:.0} s after the first tries: {}", tally(results.iter().map(String::as_str))));
    let twice = keys.iter().filter(|(key, _)| mesh.town.runs_of_key(key).len() > 1).count();
    record.say(&format!("upstreams: keys of which more than one run began: {twice}"));
    let denied = results.iter().filter(|status| *status == "409").count();
    let all = *sent.lock().unwrap();
    let bound = 5.0 + all as f64 / 500.0;
    record.say(&format!("409 for keys that are not at work: {denied}; DENIED allows {bound:.2} of {all} requests"));
    denied as f64 > bound
}
