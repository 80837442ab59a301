//! An application is started anew on its machine: its upstream signs off, ends, and is back under a new id. The attendant
//! beside it is killed and started again. Then a beat of the former life arrives, some seconds late.

mod mesh;

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use mesh::*;

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
    let lines = ["recibos", "cobro", "cobro", "cobro", "cobro", "cobro", "cobro", "cobro", "cobro"];
    let mut mesh = Mesh::start(record, 3, &lines, &Options::default());
    let first = route("/saldo/", "resendable", "cobro", 2000, 300);
    mesh.configure(&configuration(1, &["recibos", "cobro"], &[first.clone()]));
    mesh.wait_served(&["/saldo/x"]);
    let later = route("/recibo/", "resendable", "recibos", 1000, 150);
    mesh.configure(&configuration(2, &["recibos", "cobro"], &[first, later]));
    mesh.wait_served(&["/recibo/x"]);
    sleep(3.0);
    let stop = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::new()));
    // Clients of all machines but that of the upstream.
    let clients: Vec<_> = (0..8)
        .map(|index| {
            let (to, stop, record, answers) = (mesh.outbound(1 + index), stop.clone(), record.clone(), answers.clone());
            thread::spawn(move || {
                for path in ["/saldo/x", "/recibo/x"].into_iter().cycle() {
                    if stop.load(SeqCst) {
                        return;
                    }
                    let (id, at) = (new_id(), record.now());
                    let answer = send(to, &request("GET", path, &id, None, 1000, b""), Duration::from_secs(2));
                    let status = answer.map_or(0, |answer| answer.status());
                    record.line(&format!("answer   id={id} path={path} sent={at:.3} status={status}"));
                    answers.lock().unwrap().push((path, at, status));
                    thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    sleep(1.0);
    let upstream = mesh.upstreams[0].clone();
    let former = upstream.name();
    upstream.silent.store(true, SeqCst);
    let late = upstream.sequence.fetch_add(1, SeqCst);
    let late_body = upstream.beat_body(late);
    let late_from = record.now();
    record.say(&format!("upstream {former}: sends its beat with postmark_seq {late}, which comes late"));
    sleep(0.2);
    wait_for("the sign-off is acknowledged", 5.0, || {
        rpc(upstream.control, &format!("offices.sign_off&of={former}"), "").is_ok_and(|answer| answer.status() == 200)
    });
    let signed_off = record.now();
    record.say(&format!("upstream {former}: its sign-off is acknowledged"));
    sleep(2.8);
    let living = format!("i-{}", new_id());
    *upstream.id.lock().unwrap() = living.clone();
    upstream.sequence.store(1, SeqCst);
    wait_for("its first beat is acknowledged", 5.0, || upstream.beat());
    upstream.silent.store(false, SeqCst);
    record.say(&format!("upstream {former}: has ended; the same application is back as {living}, its first beat is acknowledged"));
    sleep(0.5);
    if trouble() {
        record.say("platform: the attendant beside it is killed");
        mesh.attendants[0].kill();
        sleep(0.6);
        mesh.attendants[0].start();
        record.say("platform: it is started again");
    } else {
        sleep(0.6);
    }
    let calm_from = record.now() + TOUCH_S + 0.5;
    sleep(signed_off + 6.0 - record.now());
    let answer = rpc(upstream.control, &format!("offices.beat&of={former}"), &late_body);
    let status = answer.map_or(0, |answer| answer.status());
    record.say(&format!("upstream {former}: its beat arrives, {:.1} s late: {status}", record.now() - late_from));
    let calm_from = calm_from.max(record.now() + 2.0);
    sleep(calm_from + 15.0 - record.now());
    record.say(&format!("upstream {living}: its beats are acknowledged: {}", upstream.beat()));
    stop.store(true, SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let answers = answers.lock().unwrap();
    let share = |path: &str, from: f64, to: f64| {
        let sent: Vec<u16> =
            answers.iter().filter(|(known, at, _)| *known == path && (from..to).contains(at)).map(|(_, _, status)| *status).collect();
        let served = sent.iter().filter(|status| **status == 200).count();
        (sent.len(), served, served as f64 / sent.len().max(1) as f64)
    };
    let before = share("/recibo/x", 0.0, late_from);
    record.say(&format!("before: {} of {} requests on the later route served", before.1, before.0));
    let (first, later) = (share("/saldo/x", calm_from, f64::MAX), share("/recibo/x", calm_from, f64::MAX));
    record.say(&format!(
        "calm, all machines in touch: first route {} of {} served, route that was added later {} of {}; CONFIG wants a quarter as often",
        first.1, first.0, later.1, later.0
    ));
    later.0 >= 20 && later.2 < first.2 / 4.0
}
