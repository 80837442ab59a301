//! Two processes of one balancer on sockets: the program is started once more while it serves, and the first one is
//! asked to stop. Played as in the tests of the program on sockets.

mod helper;

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::thread;

use helper::*;

/// The answer to a req on a connection; empty if there is none.
fn ask(stream: &mut TcpStream, id: &str) -> String {
    let message = req("GET", "/read", "2.5", "").replace("c0ffee", id);
    if stream.write_all(message.as_bytes()).is_err() {
        return String::new();
    }
    read(stream)
}

/// A balancer with a door, a srv and a discovery that answer at once.
fn serving() -> Balancer {
    let srv = listen();
    let balancer = Balancer::given(Given { operator: true, ..Given::default() }, "a@x", &srv);
    answering(&balancer.discovery, list(42, &entries("a@x", &srv)));
    answering(&srv, OK);
    balancer
}

/// Guards against reqs lost at the door while one process hands over to the next: reset in the queue of a listener
/// that closes, closed on, or left unread. A stream of new connections and some kept ones go on all the while.
#[test]
fn no_req_is_lost_at_the_door_while_a_process_hands_over_to_the_next() {
    let mut old = serving();
    let address = old.address;
    let (over, asked, lost) =
        (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let caller = |number: usize, kept: bool| {
        let (over, asked, lost) = (over.clone(), asked.clone(), lost.clone());
        thread::spawn(move || {
            let mut stream = None;
            while !over.load(Relaxed) {
                let id = format!("r{number}-{}", asked.fetch_add(1, Relaxed));
                let mut on = match stream.take() {
                    Some(stream) => stream,
                    None => TcpStream::connect(address).expect("a connection"),
                };
                on.set_read_timeout(Some(LONG)).expect("a time-out");
                let answer = ask(&mut on, &id);
                lost.fetch_add(usize::from(!answer.starts_with("HTTP/1.1 200 OK")), Relaxed);
                // Paced, so that ports last.
                thread::sleep(std::time::Duration::from_millis(1));
                stream = Some(on).filter(|_| kept && !answer.contains("connection: close"));
            }
        })
    };
    let callers: Vec<_> = (0..8).map(|number| caller(number, number % 2 == 0)).collect();
    while asked.load(Relaxed) < 200 {
        thread::yield_now();
    }
    let mut before = asked.load(Relaxed);
    for _ in 0..3 {
        let newcomer = old.beside();
        assert_eq!(newcomer.ask("GET /api/ready").0, "200 OK");
        old.signal("-TERM");
        let ended = old.process.wait().expect("its end");
        assert!(ended.success(), "{ended}");
        // The address is served on, by the newcomer alone.
        let mut stream = newcomer.connect();
        assert!(ask(&mut stream, "after").contains("200 OK"));
        // The stream goes on there.
        while asked.load(Relaxed) < before + 200 {
            thread::yield_now();
        }
        before = asked.load(Relaxed);
        old = newcomer;
    }
    over.store(true, Relaxed);
    callers.into_iter().for_each(|caller| caller.join().expect("a caller"));
    assert_eq!(lost.load(Relaxed), 0, "of {}", asked.load(Relaxed));
}

/// Guards against a health that says no where another process serves the address, and against kept connections
/// that never learn of the newcomer.
#[test]
fn the_one_that_hands_over_stays_healthy_and_each_answer_ends_its_connection() {
    let (mut old, mut trace) = (serving(), Trace::default());
    let (mut kept, mut idle) = (old.connect(), old.connect());
    trace.first_line("kept", &ask(&mut kept, "one"));
    trace.first_line("idle", &ask(&mut idle, "two"));
    let newcomer = old.beside();
    old.signal("-TERM");
    old.logged("another process has taken over");
    old.logged("Leaving");
    answer(&mut kept, HEALTH);
    trace.message("kept", &read(&mut kept));
    trace.message("idle", &ask(&mut idle, "three"));
    assert!(old.process.wait().expect("its end").success());
    trace.first_line("new", &ask(&mut newcomer.connect(), "four"));
    trace.check(expect_test::expect![[r#"
        kept: HTTP/1.1 200 OK
        idle: HTTP/1.1 200 OK
        kept: HTTP/1.1 200 OK | connection: close | content-length: 0
        idle: HTTP/1.1 200 OK | x-mark: 7 | connection: close | content-length: 4 | good
        new: HTTP/1.1 200 OK
    "#]]);
}

/// Guards against a newcomer that dies and takes the address with it, and against a stale file that passes for a
/// process: the one that serves goes on, and stops as one that is alone.
#[test]
fn an_upgrade_that_is_undone_leaves_the_first_process_as_it_was() {
    let mut old = serving();
    let mut newcomer = old.beside();
    newcomer.process.kill().expect("killed");
    newcomer.process.wait().expect("its end");
    for number in 0..20 {
        let mut stream = old.connect();
        assert!(ask(&mut stream, &format!("u{number}")).contains("200 OK"));
    }
    old.signal("-TERM");
    old.logged("Leaving");
    // Alone, it says that it leaves.
    let mut health = old.send(HEALTH);
    assert!(read(&mut health).contains("503"));
    drop(health);
    assert!(old.process.wait().expect("its end").success());
    assert_eq!(std::fs::read_dir(&old.folder).expect("its folder").count(), 0, "files left behind");
}

/// Guards against a start that fails, or waits, where there is no folder for both.
#[test]
fn a_third_process_and_one_without_a_folder_start_and_serve() {
    let first = serving();
    let mut second = first.beside();
    let third = second.beside();
    assert!(ask(&mut third.connect(), "three").contains("200 OK"));
    second.signal("-TERM");
    assert!(second.process.wait().expect("its end").success());
    std::fs::remove_dir_all(&first.folder).expect("removed");
    let fourth = third.beside();
    assert!(ask(&mut fourth.connect(), "four").contains("200 OK"));
}
