//! One attendant's machine freezes while its clients download large answers. Clients of other machines, which are well,
//! ask the same service, whose upstreams are well too.

mod mesh;

use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use mesh::*;

/// The route's `deadline_ms`, as that of the downloads of the small deployment.
const DEADLINE_MS: u64 = 2000;
/// How long clients wait.
const LEFT_MS: u64 = 8000;
const ARCHIVE_BYTES: u64 = 16_000_000;
const SHEET_BYTES: usize = 90_000;
const PAGE_BYTES: usize = 20_000;
const DOWNLOADERS: usize = 12;

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

/// How a request on a kept connection ended.
struct End {
    result: String,
    seconds: f64,
    id: String,
}

fn play(record: &Arc<Record>) -> bool {
    let lines = ["recibos", "recibos", "recibos", "cobro", "cobro", "cobro", "cobro", "cobro", "cobro"];
    let mesh = Mesh::start(record, 3, &lines, &Options::default());
    let routes = [
        route("/archivo/", "outbound_post", "recibos", DEADLINE_MS, DEADLINE_MS),
        route("/hoja/", "registered", "recibos", 2500, 1000),
        route("/saldo/", "resendable", "cobro", 2000, 300),
    ];
    mesh.configure(&configuration(1, &["recibos", "cobro"], &routes));
    mesh.wait_served(&["/saldo/x", "/archivo/x?bytes=100"]);
    sleep(4.0);
    // Clients of machine 9 download archives, one after the other.
    let (frozen, stop) = (8, Arc::new(AtomicBool::new(false)));
    for _ in 0..DOWNLOADERS {
        let (to, stop) = (mesh.outbound(frozen), stop.clone());
        thread::spawn(move || {
            while !stop.load(SeqCst) {
                let path = format!("/archivo/a?bytes={ARCHIVE_BYTES}&ms=30");
                let _ = send(to, &request("GET", &path, &new_id(), None, 4000, b""), Duration::from_secs(12));
                thread::sleep(Duration::from_millis(5));
            }
        });
    }
    sleep(2.0);
    let freeze_s: f64 = std::env::var("FREEZE_S").ok().and_then(|text| text.parse().ok()).unwrap_or(8.0);
    if trouble() {
        record.say(&format!("platform: machine 9 freezes for {freeze_s} s"));
        mesh.attendants[frozen].signal(SIGSTOP);
    }
    let frozen_at = Instant::now();
    sleep(0.3);
    let (sheets, payments) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(Vec::new())));
    let mut clients = Vec::new();
    // Clients of machines 4 to 7, each on a connection that it keeps.
    for index in 0..12 {
        let (to, record, sheets) = (mesh.outbound(3 + index % 4), record.clone(), sheets.clone());
        clients.push(thread::spawn(move || {
            let limit = Duration::from_millis(LEFT_MS + 500);
            let Ok(mut kept) = connect(to, limit) else { return };
            // The connection is used before, for a small answer.
            let first = request("GET", "/saldo/x", &new_id(), None, 2000, b"");
            let used = kept.get_mut().write_all(&first).is_ok() && matches!(read_message(&mut kept), Ok(Some(_)));
            thread::sleep(Duration::from_millis(30 * index as u64 % 200));
            for _ in 0..4 {
                let id = new_id();
                let path = format!("/archivo/s?bytes={SHEET_BYTES}&ms=30");
                let at = Instant::now();
                if kept.get_mut().write_all(&request("GET", &path, &id, None, LEFT_MS, b"")).is_err() {
                    break;
                }
                let answer = read_message(&mut kept);
                let result = match &answer {
                    Ok(Some(answer)) if answer.status() == 200 && answer.body.len() == SHEET_BYTES => "200 whole".into(),
                    Ok(Some(answer)) => answer.status().to_string(),
                    Ok(None) => "closed without an answer".into(),
                    Err(error) if error.kind() == std::io::ErrorKind::UnexpectedEof => "closed within the answer".into(),
                    Err(error) => format!("{:?}", error.kind()),
                };
                let seconds = at.elapsed().as_secs_f64();
                record.line(&format!("sheet    id={id} to={to} kept={used} result={result} after={seconds:.3}"));
                let refused = result == "503";
                let ended = answer.is_err() || matches!(answer, Ok(None));
                sheets.lock().unwrap().push(End { result, seconds, id });
                if ended || !refused {
                    break;
                }
                thread::sleep(Duration::from_millis(120));
            }
        }));
    }
    // Keyed requests with answers of ordinary size, from the same machines.
    for index in 0..6 {
        let (to, record, payments) = (mesh.outbound(3 + index % 4), record.clone(), payments.clone());
        clients.push(thread::spawn(move || {
            let key = format!("k-{}-{index}", std::process::id());
            let path = format!("/hoja/p?bytes={PAGE_BYTES}&ms=30");
            for _ in 0..4 {
                let id = new_id();
                let answer = send(to, &request("POST", &path, &id, Some(&key), 2500, b"p"), Duration::from_secs(4));
                let status = answer.map_or(0, |answer| answer.status());
                record.line(&format!("keyed    id={id} key={key} to={to} status={status}"));
                payments.lock().unwrap().push(status.to_string());
                if status != 503 {
                    break;
                }
                thread::sleep(Duration::from_millis(120));
            }
        }));
    }
    if trouble() {
        sleep(freeze_s - frozen_at.elapsed().as_secs_f64());
        record.say("platform: machine 9 wakes");
        mesh.attendants[frozen].signal(SIGCONT);
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    stop.store(true, SeqCst);
    let sheets = sheets.lock().unwrap();
    record.say(&format!("clients of machines 4 to 7: {}", tally(sheets.iter().map(|end| end.result.as_str()))));
    record.say(&format!("keyed requests of the same machines: {}", tally(payments.lock().unwrap().iter().map(String::as_str))));
    // Only requests that an upstream began to work on count as passed on.
    let passed = |end: &&End| !mesh.town.runs_of_id(&end.id).is_empty();
    let closed = sheets.iter().filter(|end| end.result.starts_with("closed")).filter(passed).count();
    let deadline = DEADLINE_MS as f64 / 1000.0;
    let late = sheets.iter().filter(|end| end.seconds > deadline).count();
    let later = sheets.iter().filter(|end| end.seconds > deadline + 0.5).count();
    record.say(&format!(
        "requests from kept connections that were passed on to a sound upstream and whose connection was then closed without a whole answer: {closed}; LOST allows 3"
    ));
    record.say(&format!("unanswered at the route's deadline: {late}; half a second later: {later}"));
    closed > 3
}
