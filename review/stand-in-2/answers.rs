//! The kept answers of keyed requests after two losses one after the other: one steward is away for 25 s and comes back
//! with its disk; well after that another one loses its disk.

mod mesh;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use mesh::*;

const KEYS: usize = 60;

struct Try {
    key: String,
    stamp: String,
    body: Vec<u8>,
}

fn main() {
    let path = std::env::args().nth(1).expect("the record's path");
    let record = Record::create(&path);
    limit_time(115);
    let broken = std::panic::catch_unwind(|| play(&record));
    std::process::exit(match broken {
        Ok(false) => 0,
        Ok(true) => 1,
        Err(_) => 2,
    });
}

fn play(record: &Arc<Record>) -> bool {
    let lines = ["cobro", "cobro", "cobro"];
    let mut mesh = Mesh::start(record, 3, &lines, &Options::default());
    let routes = [route("/move/", "registered", "cobro", 2500, 400), route("/read/", "resendable", "cobro", 2000, 300)];
    mesh.configure(&configuration(1, &["cobro"], &routes));
    mesh.wait_served(&["/read/x"]);
    sleep(1.0);
    let trouble = trouble();
    if trouble {
        record.say("platform: steward 1 is killed and stays away");
        mesh.stewards[0].kill();
    }
    // All are in touch again touch_ms (3 s) after the kill.
    sleep(4.0);
    let first_at = record.now();
    let served = Mutex::new(Vec::new());
    for index in 0..KEYS {
        let key = format!("k-{}-{index}", std::process::id());
        let mut answer = None;
        // As a client does: 503 promises that it did not run, so it asks again.
        for _ in 0..3 {
            let id = new_id();
            let bytes = request("POST", "/move/x", &id, Some(&key), 2500, b"move");
            let got = send(mesh.outbound(index % 3), &bytes, Duration::from_secs(3));
            let status = got.as_ref().map_or(0, Message::status);
            record.line(&format!("first    id={id} key={key} status={status}"));
            if status == 200 {
                answer = got.ok();
                break;
            }
            sleep(0.2);
        }
        if let Some(answer) = answer {
            let stamp = answer.header("ochreshed-postmark").to_owned();
            served.lock().unwrap().push(Try { key, stamp, body: answer.body });
        }
        sleep(0.03);
    }
    let served = served.into_inner().unwrap();
    record.say(&format!("clients: {} of {KEYS} keyed requests were answered with 200", served.len()));
    if served.len() < KEYS * 9 / 10 {
        panic!("too few were served");
    }
    if trouble {
        // More than 20 s after the last of them.
        sleep(22.0);
        record.say("platform: steward 1 is started again, with its disk");
        mesh.stewards[0].start();
        // catch_up_s is 4 s: until then it counts as lost.
        sleep(7.0);
        record.say("platform: steward 2 loses its disk and is started again at its address");
        mesh.stewards[1].kill();
        let data = mesh.stewards[1].folder.join("data");
        std::fs::remove_dir_all(&data).and_then(|()| std::fs::create_dir(&data)).expect("an empty disk");
        sleep(1.0);
        mesh.stewards[1].start();
        // catch_up_s and touch_ms are over.
        sleep(9.0);
    } else {
        sleep(39.0);
    }
    let mut repeats = Vec::new();
    for (index, first) in served.iter().enumerate() {
        let (to, record) = (mesh.outbound((index + 1) % 3), record.clone());
        let Try { key, stamp, body } = first;
        let (key, stamp, body) = (key.clone(), stamp.clone(), body.clone());
        repeats.push(thread::spawn(move || {
            let id = new_id();
            let at = record.now();
            let answer = send(to, &request("POST", "/move/x", &id, Some(&key), 2500, b"move"), Duration::from_secs(3));
            let result = match &answer {
                Ok(answer) if answer.status() == 200 => {
                    let same = answer.header("ochreshed-postmark") == stamp && answer.body == body;
                    if same { "200 as first".to_owned() } else { "200 other".to_owned() }
                }
                Ok(answer) => answer.status().to_string(),
                Err(error) => format!("no answer ({:?})", error.kind()),
            };
            record.line(&format!("repeat   id={id} key={key} sent={at:.3} result={result}"));
            result
        }));
        sleep(0.03);
    }
    let window = record.now() - first_at;
    let results: Vec<String> = repeats.into_iter().filter_map(|repeat| repeat.join().ok()).collect();
    record.say(&format!("clients: repeats, all sent within {window:.1} s of the first tries: {}", tally(results.iter().map(String::as_str))));
    let twice = served.iter().filter(|first| mesh.town.runs_of_key(&first.key).len() > 1).count();
    record.say(&format!("upstreams: keys that ran more than once: {twice}"));
    let denied = results.iter().filter(|result| *result == "409").count();
    let other = results.iter().filter(|result| *result == "200 other").count();
    let all = KEYS + results.len();
    let bound = 5.0 + all as f64 / 500.0;
    record.say(&format!("409 for keys that are not at work: {denied}; DENIED allows {bound:.2} of {all} requests"));
    if window > 60.0 {
        panic!("the window of the keys is over");
    }
    denied as f64 > bound || other > 0 || twice > 0
}
