//! Crowds on sockets: connections that never finish a req, beside callers who do. Played as in the tests of the
//! program on sockets.

mod helper;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use helper::*;

/// Guards against unfinished connections that keep their places: with room for 32, a thousand come and stay, some
/// silent, some with half a head, some after one answer; each true req comes on a new connection, and one takes
/// its time over its head.
#[test]
fn a_thousand_unfinished_callers_keep_no_true_one_out() {
    let srv = listen();
    answering(&srv, OK);
    let balancer = Balancer::given(Given { sockets: 96, ..Given::default() }, "a@x", &srv);
    let message = |id: &str| req("GET", "/read", "2.9", "").replace("c0ffee", id);
    let slow = {
        let (mut stream, message) = (balancer.connect(), message("slow"));
        thread::spawn(move || {
            for piece in message.as_bytes().chunks(4) {
                stream.write_all(piece).expect("sent");
                thread::sleep(Duration::from_millis(20));
            }
            read(&mut stream)
        })
    };
    let mut crowd: Vec<TcpStream> = Vec::new();
    for number in 0..1_000 {
        let mut stream = balancer.connect();
        match number % 3 {
            0 => {}
            1 => answer(&mut stream, "GET /read HTTP/1.1\r\nHost:"),
            _ => {
                answer(&mut stream, &message(&format!("once-{number}")));
                assert!(read(&mut stream).starts_with("HTTP/1.1 200"), "one that asks once, {number}");
            }
        }
        crowd.push(stream);
        if number % 50 == 0 {
            let said = read(&mut balancer.send(&message(&format!("true-{number}"))));
            assert!(said.starts_with("HTTP/1.1 200"), "a true one, {number}: {said}");
        }
        // As many as come in a second at a busy door, so that the slow one writes among them.
        thread::sleep(Duration::from_millis(1));
    }
    assert!(slow.join().expect("a caller").starts_with("HTTP/1.1 200"), "the slow one");
}
