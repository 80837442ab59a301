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
/// Of the route whose deadline is far away.
const BOOK_DEADLINE_MS: u64 = 25_000;
const BOOK_BYTES: usize = 4_000_000;
const DOWNLOADERS: usize = 10;

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

type Ends = Arc<Mutex<Vec<End>>>;

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
        route("/libro/", "outbound_post", "recibos", BOOK_DEADLINE_MS, 20_000),
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
    let freeze_s: f64 = std::env::var("FREEZE_S").ok().and_then(|text| text.parse().ok()).unwrap_or(13.0);
    if trouble() {
        record.say(&format!("platform: machine 9 freezes for {freeze_s} s"));
        mesh.attendants[frozen].signal(SIGSTOP);
    }
    let frozen_at = Instant::now();
    sleep(0.3);
    let (sheets, books, payments) = (Ends::default(), Ends::default(), Arc::new(Mutex::new(Vec::new())));
    let mut clients = Vec::new();
    // Clients of machines 4 to 7, each on a connection that it keeps.
    for index in 0..24 {
        let is_book = index >= 12;
        let (to, record) = (mesh.outbound(3 + index % 4), record.clone());
        let ends = if is_book { books.clone() } else { sheets.clone() };
        clients.push(thread::spawn(move || {
            let (what, bytes, left) = if is_book { ("book", BOOK_BYTES, BOOK_DEADLINE_MS) } else { ("sheet", SHEET_BYTES, LEFT_MS) };
            let Ok(mut kept) = connect(to, Duration::from_millis(left + 500)) else { return };
            // The connection is used before, for a small answer.
            let first = request("GET", "/saldo/x", &new_id(), None, 2000, b"");
            let used = kept.get_mut().write_all(&first).is_ok() && matches!(read_message(&mut kept), Ok(Some(_)));
            thread::sleep(Duration::from_millis(30 * index as u64 % 200 + if is_book { 600 } else { 0 }));
            for _ in 0..4 {
                let id = new_id();
                let path = format!("/{}/s?bytes={bytes}&ms=30", if is_book { "libro" } else { "archivo" });
                let at = Instant::now();
                if kept.get_mut().write_all(&request("GET", &path, &id, None, left, b"")).is_err() {
                    break;
                }
                let answer = read_message(&mut kept);
                let result = match &answer {
                    Ok(Some(answer)) if answer.status() == 200 && answer.body.len() == bytes => "200 whole".into(),
                    Ok(Some(answer)) => answer.status().to_string(),
                    Ok(None) => "closed without an answer".into(),
                    Err(error) if error.kind() == std::io::ErrorKind::UnexpectedEof => "closed within the answer".into(),
                    Err(error) => format!("{:?}", error.kind()),
                };
                let seconds = at.elapsed().as_secs_f64();
                record.line(&format!("{what:8} id={id} to={to} kept={used} result={result} after={seconds:.3}"));
                let refused = result == "503";
                let ended = answer.is_err() || matches!(answer, Ok(None));
                ends.lock().unwrap().push(End { result, seconds, id });
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
    let (sheets, books) = (sheets.lock().unwrap(), books.lock().unwrap());
    let results = |ends: &[End]| tally(ends.iter().map(|end| end.result.as_str()));
    record.say(&format!("machines 4 to 7, {BOOK_BYTES} bytes, deadline_ms {BOOK_DEADLINE_MS}: {}", results(&books)));
    record.say(&format!("machines 4 to 7, {SHEET_BYTES} bytes, deadline_ms {DEADLINE_MS}: {}", results(&sheets)));
    record.say(&format!("machines 4 to 7, keyed, {PAGE_BYTES} bytes: {}", tally(payments.lock().unwrap().iter().map(String::as_str))));
    // Only requests that an upstream began to work on count as passed on, and only those cut long before their time.
    let lost = |end: &&End| {
        end.result.starts_with("closed")
            && end.seconds < BOOK_DEADLINE_MS as f64 / 2000.0
            && !mesh.town.runs_of_id(&end.id).is_empty()
    };
    let closed: Vec<f64> = books.iter().filter(lost).map(|end| end.seconds).collect();
    record.say(&format!(
        "requests from kept connections that were passed on to a sound upstream and whose connection was closed without a whole answer in less than half of their time: {} (after {closed:.1?} s); LOST allows 3",
        closed.len()
    ));
    let deadline = DEADLINE_MS as f64 / 1000.0;
    let unanswered = |after: f64| sheets.iter().filter(|end| end.seconds > after).count();
    record.say(&format!("of the others, unanswered at deadline_ms: {}; half a second later: {}", unanswered(deadline), unanswered(deadline + 0.5)));
    closed.len() > 3
}
