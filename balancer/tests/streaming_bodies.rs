//! Tests of long messages on loopback sockets: bodies are streamed, memory stays bounded, and a truncated body is never
//! delivered as complete. The tests act as the endpoints, as in `sockets.rs`.

mod helper;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;

use expect_test::expect;
use helper::*;

const BODY_BYTES: usize = 1 << 20;

fn request_head(path: &str, framing: &str) -> String {
    let class = path.split('/').nth(1).unwrap_or_default();
    format!(
        "POST {path} HTTP/1.1\r\nHost: service\r\nX-Call-Id: c0ffee\r\nX-Call-Class: {class}\r\nX-Budget: 2.5\r\n\
         {framing}\r\n\r\n"
    )
}

/// Reads the head of a message and leaves the body unread.
fn read_head(stream: &mut TcpStream) -> String {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|count| count > 0) {
        head.push(byte[0]);
    }
    String::from_utf8_lossy(&head).into()
}

fn body_bytes(count: usize) -> Vec<u8> {
    (0..count).map(|index| (index * 7 + index / 251) as u8).collect()
}

fn read_bytes(stream: &mut TcpStream, count: usize) -> Vec<u8> {
    let mut bytes = vec![0; count];
    stream.read_exact(&mut bytes).expect("all bytes");
    bytes
}

/// Guards against long messages that are rejected, changed, or held back until they are complete.
#[test]
fn long_requests_and_responses_are_streamed() {
    let (endpoint, body) = (bind_listener(), body_bytes(BODY_BYTES));
    let balancer = Balancer::start("a@x", &endpoint);
    let mut client = balancer.send_message(&request_head("/pay", &format!("Content-Length: {BODY_BYTES}")));
    client.write_all(&body[..BODY_BYTES / 2]).expect("sent");
    // The first half arrives before the second half has been sent.
    let mut endpoint_stream = accept_stream(&endpoint);
    assert!(read_head(&mut endpoint_stream).contains(&format!("content-length: {BODY_BYTES}")));
    assert!(read_bytes(&mut endpoint_stream, BODY_BYTES / 4) == body[..BODY_BYTES / 4]);
    client.write_all(&body[BODY_BYTES / 2..]).expect("sent");
    assert!(read_bytes(&mut endpoint_stream, BODY_BYTES - BODY_BYTES / 4) == body[BODY_BYTES / 4..]);
    write_message(&mut endpoint_stream, &format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n"));
    endpoint_stream.write_all(&body[..BODY_BYTES / 2]).expect("sent");
    assert!(read_head(&mut client).contains(&format!("content-length: {BODY_BYTES}")));
    assert!(read_bytes(&mut client, BODY_BYTES / 4) == body[..BODY_BYTES / 4]);
    endpoint_stream.write_all(&body[BODY_BYTES / 2..]).expect("sent");
    assert!(read_bytes(&mut client, BODY_BYTES - BODY_BYTES / 4) == body[BODY_BYTES / 4..]);
}

/// Guards against a framing that loses or adds bytes: chunks of odd sizes with extensions and trailers, from a client
/// that writes in small pieces, and a response that is delimited by the end of its connection.
#[test]
fn chunks_trailers_and_a_response_ended_by_close_are_forwarded_complete() {
    let (endpoint, body) = (bind_listener(), body_bytes(200_000));
    let balancer = Balancer::start("a@x", &endpoint);
    let mut client = balancer.send_message(&request_head("/read", "Transfer-Encoding: chunked"));
    let (mut remaining, mut size) = (&body[..], 1);
    while !remaining.is_empty() {
        let (chunk, rest) = remaining.split_at(size.min(remaining.len()));
        write!(client, "{:x};name=\"v\"\r\n", chunk.len()).expect("sent");
        for piece in chunk.chunks(1_000) {
            client.write_all(piece).expect("sent");
        }
        client.write_all(b"\r\n").expect("sent");
        (remaining, size) = (rest, size * 3 + 1);
    }
    client.write_all(b"0\r\nX-Sum: 5\r\n\r\n").expect("sent");
    let mut endpoint_stream = accept_stream(&endpoint);
    assert!(read_head(&mut endpoint_stream).contains("transfer-encoding: chunked"));
    let mut received = Vec::new();
    loop {
        let (mut line, mut byte) = (String::new(), [0]);
        while !line.ends_with("\r\n") {
            endpoint_stream.read_exact(&mut byte).expect("a chunk's size");
            line.push(byte[0] as char);
        }
        let size = usize::from_str_radix(line.trim(), 16).expect("a size");
        received.extend(read_bytes(&mut endpoint_stream, size));
        read_bytes(&mut endpoint_stream, 2);
        if size == 0 {
            break;
        }
    }
    assert!(received == body);
    write_message(&mut endpoint_stream, "HTTP/1.1 200 OK\r\n\r\n");
    let writer = thread::spawn(move || {
        endpoint_stream.write_all(&body_bytes(200_000)).expect("sent");
        endpoint_stream.shutdown(Shutdown::Both).expect("closed");
    });
    assert!(read_head(&mut client).contains("transfer-encoding: chunked"));
    let mut raw = Vec::new();
    client.read_to_end(&mut raw).expect("its end");
    writer.join().expect("a writer");
    assert!(raw.ends_with(b"0\r\n\r\n") && raw.len() > 200_000);
}

/// Guards against a streamed request that is sent again although part of its body is gone, and against one reported as
/// done or aborted although it never ran.
#[test]
fn a_long_request_cut_off_before_its_last_byte_is_denied_and_not_retried() {
    let (endpoint, mut trace) = (bind_listener(), Trace::default());
    let balancer = Balancer::start("a@x b@x", &endpoint);
    let mut client =
        balancer.send_message(&request_head("/pay", &format!("Content-Length: {}", 8 * BODY_BYTES)));
    let (mut writer, body) = (client.try_clone().expect("a stream"), body_bytes(8 * BODY_BYTES));
    let sender = thread::spawn(move || drop(writer.write_all(&body)));
    let mut endpoint_stream = accept_stream(&endpoint);
    read_head(&mut endpoint_stream);
    read_bytes(&mut endpoint_stream, BODY_BYTES);
    drop(endpoint_stream);
    trace.add_message("client", &read_message(&mut client));
    drop(client);
    sender.join().expect("a writer");
    endpoint.set_nonblocking(true).expect("a listener");
    let retries = std::iter::from_fn(|| endpoint.accept().ok()).filter(|(stream, _)| {
        stream.set_nonblocking(false).expect("a stream");
        read_head(&mut stream.try_clone().expect("a stream")).contains("POST")
    });
    assert_eq!(retries.count(), 0, "the request was sent again");
    trace.assert_matches(expect![[r#"
        client: HTTP/1.1 503 Service Unavailable | connection: close | content-length: 26 | denied: safe to try again
    "#]]);
}

/// Guards against a truncated response that is delivered as complete, with either framing and HTTP version.
#[test]
fn a_truncated_long_response_is_recognizable_as_truncated() {
    let endpoint = bind_listener();
    let balancer = Balancer::start("a@x", &endpoint);
    for (version, framing) in [
        ("1.1", "Content-Length: 1000000\r\n"),
        ("1.1", "Transfer-Encoding: chunked\r\n"),
        ("1.0", "Content-Length: 1000000\r\n"),
        ("1.0", "Transfer-Encoding: chunked\r\n"),
    ] {
        let mut client = balancer.send_message(
            &request("GET", "/read", "2.5", "").replace("HTTP/1.1", &format!("HTTP/{version}")),
        );
        let mut endpoint_stream = accept_stream(&endpoint);
        read_head(&mut endpoint_stream);
        write_message(&mut endpoint_stream, &format!("HTTP/1.1 200 OK\r\n{framing}\r\n"));
        let chunk = if framing.contains("chunked") { "186a0\r\n" } else { "" };
        write_message(&mut endpoint_stream, chunk);
        endpoint_stream.write_all(&body_bytes(100_000)).expect("sent");
        drop(endpoint_stream);
        let head = read_head(&mut client);
        let mut raw = Vec::new();
        let result = client.read_to_end(&mut raw);
        let is_truncated = head.contains("content-length: 1000000") && raw.len() < 1_000_000
            || head.contains("transfer-encoding: chunked") && !raw.ends_with(b"0\r\n\r\n");
        assert!(is_truncated || result.is_err(), "{version}, {framing}: {head} and {} bytes", raw.len());
    }
}

/// Guards against long messages buffered in memory: a hundred of 16 MB between clients and endpoints that stop reading
/// would take 1,600 MB.
#[test]
fn a_hundred_long_messages_through_slow_peers_stay_in_bounded_memory() {
    let endpoint = bind_listener();
    let balancer = Balancer::start_with_options(
        BalancerOptions { memory_mb: 48, has_operator_api: true, ..BalancerOptions::default() },
        "a@x b@x",
        &endpoint,
    );
    let acceptor = endpoint.try_clone().expect("a listener");
    thread::spawn(move || {
        for stream in acceptor.incoming() {
            let mut stream = stream.expect("a stream");
            thread::spawn(move || {
                // Reads only the head of a long request; sends a long response as fast as it is read.
                if !read_head(&mut stream).starts_with("POST") {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 16777216\r\n\r\n");
                    let _ = stream.write_all(&body_bytes(16 << 20));
                }
                thread::park();
            });
        }
    });
    let body = body_bytes(16 << 20);
    let clients: Vec<TcpStream> = (0..100)
        .map(|number| {
            let id = format!("m{number}");
            let is_upload = number % 2 == 0;
            let message = match is_upload {
                true => request_head("/read", "Content-Length: 16777216"),
                false => request("GET", "/read", "2.5", ""),
            };
            let mut client = balancer.send_message(&message.replace("c0ffee", &id));
            if is_upload {
                client.set_nonblocking(true).expect("a stream");
                // Sends as much as the socket accepts without blocking.
                let mut sent = 0;
                while sent < body.len()
                    && let Ok(count) = client.write(&body[sent..])
                {
                    sent += count;
                }
            }
            client
        })
        .collect();
    // The balancer still responds, and its count of requests in flight returns to zero.
    for _ in 0..20 {
        assert_eq!(balancer.call_operator("GET /api/ready").0, "200 OK");
    }
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", balancer.process.id())).expect("its status");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its peak");
    let peak: u64 = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    assert!(peak < 40 * 1024, "peak memory {peak} kB");
    drop(clients);
    balancer.wait_for_metric("concurrent", 0);
}

/// Guards against a slow client being timed out like a silent one, and the other way round.
#[test]
fn a_slow_body_is_accepted_and_a_missing_one_times_out() {
    let (endpoint, mut trace) = (bind_listener(), Trace::default());
    spawn_responder(&endpoint, OK_RESPONSE);
    let balancer = Balancer::start("a@x", &endpoint);
    // The body takes 3 s, longer than the time-out for a request head, which is extended for the bytes received.
    let mut slow_client = balancer.send_message(
        &request_head("/read", "Content-Length: 60000").replace("X-Budget: 2.5", "X-Budget: 9"),
    );
    let mut silent_client =
        balancer.send_message(&request_head("/read", "Content-Length: 60000").replace("c0ffee", "silent"));
    for piece in body_bytes(60_000).chunks(3_000) {
        slow_client.write_all(piece).expect("sent");
        thread::sleep(std::time::Duration::from_millis(150));
    }
    trace.add_first_line("slow", &read_message(&mut slow_client));
    trace.add_message("silent", &read_message(&mut silent_client));
    trace.assert_matches(expect![[r#"
        slow: HTTP/1.1 200 OK
        silent: HTTP/1.1 408 Request Timeout | connection: close | content-length: 14 | body too slow
    "#]]);
}

/// Guards against a request that must not run twice being aborted because its endpoint pauses within the response.
#[test]
fn a_response_that_pauses_is_completed_for_a_request_that_must_not_run_twice() {
    let endpoint = bind_listener();
    let balancer = Balancer::start("a@x", &endpoint);
    let mut client = balancer.send_message(&request("POST", "/pay", "2.5", "x"));
    let mut endpoint_stream = accept_stream(&endpoint);
    read_message(&mut endpoint_stream);
    let (first_half, second_half) = OK_RESPONSE.split_at(OK_RESPONSE.len() - 2);
    write_message(&mut endpoint_stream, first_half);
    thread::sleep(std::time::Duration::from_millis(1_300));
    write_message(&mut endpoint_stream, second_half);
    let response = read_message(&mut client);
    assert!(response.starts_with("HTTP/1.1 200") && response.ends_with("good"), "{response}");
}
