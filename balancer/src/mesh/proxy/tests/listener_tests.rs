//! Tests of the listener.

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;
use crate::body::ResponseStream;

/// The test uses paused time, which advances when all tasks are idle.
#[tokio::test(start_paused = true)]
async fn a_long_response_in_flight_at_the_shutdown_is_completed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let (state_sender, state_receiver) = watch::channel(ListenerState::Open);
    let (sender, chunks) = ResponseStream::new(Bytes::from_static(b"begins, "), Some(17));
    let chunks = Arc::new(std::sync::Mutex::new(Some(chunks)));
    let handler = move |_: ReceivedRequest| {
        let chunks = chunks.lock().expect("a lock").take().expect("one request");
        async move { Response::new(ResponseBody::Streaming { chunks, guard: None, pacing: None }) }
    };
    let limits = ListenerLimits { max_connections: 4, header_timeout: Duration::from_secs(60) };
    let server = tokio::spawn(serve(listener, Clock::new(), limits, state_receiver, Arc::default(), handler));
    let mut client = TcpStream::connect(address).await.expect("a connection");
    client.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("written");
    let mut received = Vec::new();
    while !received.ends_with(b"begins, ") {
        received.push(client.read_u8().await.expect("a byte"));
    }
    state_sender.send_replace(ListenerState::Closed);
    sleep(DRAIN_READ_TIMEOUT * 5).await;
    sender.send(Some(Bytes::from_static(b"ends well"))).await.expect("a reader");
    // The length is known, so the reader may stop before the end marker.
    let _ = sender.send(None).await;
    client.read_to_end(&mut received).await.expect("an end");
    assert!(received.ends_with(b"begins, ends well"), "{}", String::from_utf8_lossy(&received));
    server.await.expect("no panic");
}

/// Guards against a header that counts as missing because it has letters beyond ASCII.
#[test]
fn header_values_beyond_ascii_are_read() {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_bytes("  cobro.mu\u{f1}oz ".as_bytes()).expect("a value"));
    assert_eq!(header_str(&headers, &HOST), "cobro.mu\u{f1}oz");
    headers.insert(HOST, HeaderValue::from_bytes(b"cobro.mu\xf1oz").expect("a value"));
    assert_eq!(header_str(&headers, &HOST), "", "not UTF-8");
}

/// Guards against a response that is lost because the connection is reset under a client that still sends its body, whether
/// none of the body has been forwarded or a part.
#[tokio::test]
async fn an_early_response_reaches_a_client_that_sends_its_whole_body_first() {
    for forwards_part in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let (_state_sender, state_receiver) = watch::channel(ListenerState::Open);
        let clock = Clock::new();
        let handler = move |received: ReceivedRequest| async move {
            let body_memory = Arc::new(Semaphore::new(1 << 20));
            let read = read_message(received, &body_memory, clock, u64::MAX, Duration::from_secs(5)).await;
            let (message, _permit) = read.expect("a request");
            if let Some(mut body) = Arc::new(message).take_body().filter(|_| forwards_part) {
                // The first frame is what has been read already; the second one is a part of the rest.
                body.frame().await.expect("a frame").expect("data");
                body.frame().await.expect("a frame").expect("data");
            }
            plain_response(503, "early")
        };
        let limits = ListenerLimits { max_connections: 4, header_timeout: Duration::from_secs(60) };
        let server = tokio::spawn(serve(listener, clock, limits, state_receiver, Arc::default(), handler));
        let mut client = TcpStream::connect(address).await.expect("a connection");
        for _ in 0..2 {
            let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n", 8 << 20);
            client.write_all(head.as_bytes()).await.expect("sent");
            client.write_all(&vec![b'x'; 8 << 20]).await.expect("the whole body sent");
            let mut received = Vec::new();
            while !received.ends_with(b"early\n") {
                received.push(client.read_u8().await.expect("the whole response"));
            }
            assert!(received.starts_with(b"HTTP/1.1 503"));
        }
        server.abort();
    }
}
