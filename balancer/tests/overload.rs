//! Tests with large numbers of connections that never complete a request, beside clients that do. The tests act as the
//! endpoints, as in `sockets.rs`.

mod helper;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use helper::*;

/// Guards against incomplete requests that hold on to their connections: there is room for 32, and a thousand
/// connections are opened and stay, some silent, some with half a request head, some after one response. Complete
/// requests on new connections are still answered, and so is one that sends its head slowly.
#[test]
fn a_thousand_incomplete_requests_do_not_block_complete_ones() {
    let endpoint = bind_listener();
    spawn_responder(&endpoint, OK_RESPONSE);
    let balancer = Balancer::start_with_options(
        BalancerOptions { max_sockets: 96, ..BalancerOptions::default() },
        "a@x",
        &endpoint,
    );
    let message = |id: &str| request("GET", "/read", "2.9", "").replace("c0ffee", id);
    let slow_client = {
        let (mut stream, message) = (balancer.open_connection(), message("slow"));
        thread::spawn(move || {
            for piece in message.as_bytes().chunks(4) {
                stream.write_all(piece).expect("sent");
                thread::sleep(Duration::from_millis(20));
            }
            read_message(&mut stream)
        })
    };
    let mut connections: Vec<TcpStream> = Vec::new();
    for number in 0..1_000 {
        let mut stream = balancer.open_connection();
        match number % 3 {
            0 => {}
            1 => write_message(&mut stream, "GET /read HTTP/1.1\r\nHost:"),
            _ => {
                write_message(&mut stream, &message(&format!("once-{number}")));
                assert!(
                    read_message(&mut stream).starts_with("HTTP/1.1 200"),
                    "client with one request, {number}"
                );
            }
        }
        connections.push(stream);
        if number % 50 == 0 {
            let response = read_message(&mut balancer.send_message(&message(&format!("complete-{number}"))));
            assert!(response.starts_with("HTTP/1.1 200"), "complete request, {number}: {response}");
        }
        // About a thousand connections a second, so that the slow client sends its head among them.
        thread::sleep(Duration::from_millis(1));
    }
    assert!(slow_client.join().expect("slow client").starts_with("HTTP/1.1 200"), "slow client");
}
